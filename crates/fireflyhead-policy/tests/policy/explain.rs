//! Explanations of decisions: they have no effect, and say what the decision would be.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::RejectReason;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::dispatch::explain::Exclusion;
use fireflyhead_policy::dispatch::explain::Verdict;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::message::UpstreamLoad;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::setup::ENGINE_SERVICE;
use crate::setup::NODE_ID;
use crate::setup::PLAIN_SERVICE;
use crate::setup::TestNode;
use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::place_adapters;
use crate::setup::placement;
use crate::setup::plain_job;
use crate::setup::test_node;
use crate::setup::upstream_entry;

const ENGINES: usize = 4;
const PLAIN_UPSTREAMS: usize = 3;

fn random_upstream(rng: &mut StdRng) -> (Name, &'static str) {
    match rng.random_range(0..ENGINES + PLAIN_UPSTREAMS) {
        n if n < ENGINES => (Name::from(format!("engine-{n}")), ENGINE_SERVICE),
        n => (Name::from(format!("desk-{}", n - ENGINES)), PLAIN_SERVICE),
    }
}

fn random_job(rng: &mut StdRng, id: u64, now: Time) -> Job {
    match rng.random_bool(0.6) {
        true => {
            let adapter = format!("a{}", rng.random_range(0..6));
            adapter_job(id, now, &adapter, rng.random_range(1..3_000))
        }
        false => plain_job(id, now, rng.random_range(0..3)),
    }
}

/// Changes the state of `node` at random, as messages, responses and the store would.
fn change(node: &mut TestNode, rng: &mut StdRng, now: Time, id: u64) {
    let (upstream, service) = random_upstream(rng);
    match rng.random_range(0..8) {
        0 if service == ENGINE_SERVICE => {
            let adapters: Vec<String> =
                (0..rng.random_range(0..4)).map(|n| format!("a{n}")).collect();
            let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
            let mut placement = placement(upstream.as_str(), &adapters, rng.random_range(1..4));
            placement.holder_active = rng.random_bool(0.8);
            node.apply_placement(&placement);
        }
        1 => {
            let load = UpstreamLoad {
                upstream,
                all_nodes: true,
                in_flight: rng.random_range(0..70),
                pending_prompt_tokens: rng.random_range(0..4_000),
                available_adapter_slots: rng.random_range(0..3),
                ..UpstreamLoad::default()
            };
            node.set_peer_loads(now, &Name::from(NODE_ID), vec![load]);
        }
        2 => {
            let state = match rng.random_bool(0.2) {
                true => UpstreamState::Draining,
                false => UpstreamState::Ready,
            };
            let slots = rng.random_range(1..65);
            let entry = upstream_entry(upstream.as_str(), service, slots);
            node.upsert_upstream(&Arc::new(UpstreamEntry { state, ..entry }));
        }
        3 => {
            let wait = Duration::from_millis(rng.random_range(0..2_000));
            node.record_retry_after(now, &upstream, 1, wait);
        }
        4 => {
            let (model, adapter) = (Name::from("base"), Name::from("a1"));
            node.set_newest_version(now, &model, &adapter, rng.random_range(1..4));
        }
        5 => {
            let outcome = match rng.random_range(0..4) {
                0 => SendOutcome::Served,
                1 => SendOutcome::Failed(Failure::Timeout),
                2 => SendOutcome::Full,
                _ => SendOutcome::AdapterAbsent,
            };
            node.record_outcome(now, JobId(id.saturating_sub(rng.random_range(0..10))), outcome);
        }
        _ => drop(node.submit(now, random_job(rng, id, now))),
    }
}

/// Returns whether `verdict` is what the real decision on the same request was.
fn agrees(verdict: &Verdict, decision: Option<&DispatchDecision>) -> bool {
    match (verdict, decision) {
        (
            Verdict::Send { upstream, version },
            Some(DispatchDecision::Send { upstream: entry, version: real }),
        ) => *upstream == entry.id && version == real,
        (
            Verdict::Reject { reason, retry_after },
            Some(DispatchDecision::Reject { reason: real, retry_after: after }),
        ) => reason == real && retry_after == after,
        (Verdict::Send { .. } | Verdict::Reject { .. }, _) | (_, Some(_)) => false,
        (_, None) => true,
    }
}

/// Guards against an explanation that changes what happens to later requests, and against one that differs
/// from the decision: in 10,000 random states the state is the same before and after.
#[test]
fn an_explanation_changes_nothing_and_equals_the_decision() {
    let mut rng = StdRng::seed_from_u64(20_261_206);
    let mut verdicts = [0; 3];
    for _ in 0..500 {
        let mut node = test_node(ENGINES, PLAIN_UPSTREAMS);
        let mut now = ms(1_000);
        for id in 0..20 {
            now = now + Duration::from_millis(rng.random_range(0..200));
            for _ in 0..3 {
                change(&mut node, &mut rng, now, id);
            }
            let job = random_job(&mut rng, 1_000 + id, now);
            let before = format!("{:?}", *node);
            let explanation = node.explain(now, &job);
            assert_eq!(before, format!("{:?}", *node), "{job:?}");
            let mut copy: Dispatcher = (*node).clone();
            let decision = copy.submit(now, job.clone());
            assert!(
                agrees(&explanation.verdict, decision.as_ref()),
                "{:?} and {decision:?} of {job:?}",
                explanation.verdict
            );
            if let Verdict::Send { upstream, .. } | Verdict::AskHolder { upstream } =
                &explanation.verdict
            {
                let chosen = explanation.candidates.iter().find(|c| c.upstream == *upstream);
                assert!(chosen.is_some_and(|c| c.excluded.is_none()), "{explanation:?}");
            }
            verdicts[match explanation.verdict {
                Verdict::Send { .. } | Verdict::AskHolder { .. } => 0,
                Verdict::Reject { .. } => 1,
                _ => 2,
            }] += 1;
        }
    }
    assert!(verdicts.iter().all(|count| *count >= 100), "states of one kind only: {verdicts:?}");
}

/// Guards against an explanation that doesn't tell the operators why an upstream gets no requests.
#[test]
fn an_explanation_names_what_excludes_each_upstream() {
    let mut node = test_node(4, 0);
    let now = ms(1_000);
    let job = adapter_job(1, now, "a0", 100);
    assert!(matches!(
        node.explain(now, &job).verdict,
        Verdict::WaitForAdapter { upstream: Some(_) }
    ));
    assert!(
        node.due_adapter_requests(now, &Name::from(NODE_ID)).is_empty(),
        "nothing is requested"
    );
    place_adapters(&mut node, "engine-0", &["a0"]);
    let mut loading = placement("engine-1", &["a0"], 1);
    loading.adapters[0].ready = false;
    node.apply_placement(&loading);
    let id = Name::from("engine-2");
    node.record_retry_after(now, &id, 1, Duration::from_millis(700));
    let explanation = node.explain(now, &job);
    assert_eq!(explanation.verdict, Verdict::AskHolder { upstream: Name::from("engine-0") });
    let excluded: Vec<_> = explanation.candidates.iter().map(|c| c.excluded.clone()).collect();
    let expected = [
        None,
        Some(Exclusion::AdapterLoading),
        Some(Exclusion::Away(Duration::from_millis(700))),
        Some(Exclusion::AdapterAbsent),
    ];
    assert_eq!(excluded, expected);
    let orphan = Job { service: Name::from("unknown"), ..plain_job(2, now, 0) };
    assert_eq!(node.explain(now, &orphan).verdict, Verdict::WaitForUpstream);
    node.stop();
    let rejected = node.explain(now, &job).verdict;
    assert!(matches!(rejected, Verdict::Reject { reason: RejectReason::Stopping, .. }));
}
