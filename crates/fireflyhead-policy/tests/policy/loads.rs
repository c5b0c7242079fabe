//! Decisions under single load patterns.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::RejectReason;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::message::AdmissionDecision;
use fireflyhead_policy::message::AdmissionRequest;
use fireflyhead_policy::message::ProgressEvent;
use fireflyhead_policy::message::ProgressReport;

use crate::setup::MODEL;
use crate::setup::NODE_ID;
use crate::setup::PLAIN_SERVICE;
use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::place_adapters;
use crate::setup::placement;
use crate::setup::plain_job;
use crate::setup::test_node;
use crate::setup::upstream_entry;

fn target_upstream(decision: Option<&DispatchDecision>) -> Option<String> {
    match decision {
        Some(DispatchDecision::Send { upstream, .. }) => Some(upstream.id.to_string()),
        Some(DispatchDecision::Reject { .. }) | None => None,
    }
}

/// Guards against a request for an absent adapter that holds back requests behind it.
#[test]
fn a_rare_adapter_waits_without_holding_back_others() {
    let mut node = test_node(3, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    assert_eq!(node.submit(ms(0), adapter_job(1, ms(0), "rare", 500)), None);
    let hot = node.submit(ms(0), adapter_job(2, ms(0), "hot", 500));
    assert_eq!(target_upstream(hot.as_ref()).as_deref(), Some("engine-0"));
    let requests = node.due_adapter_requests(ms(0), &Name::from("node-1"));
    assert_eq!(requests.len(), 1);
    let home = requests[0].upstream.to_string();
    place_adapters(&mut node, &home, &["rare"]);
    let decided = node.dispatch_waiting(ms(250));
    assert_eq!(decided.len(), 1);
    assert_eq!(target_upstream(Some(&decided[0].1)), Some(home));
}

/// Guards against several loads of one rare adapter: all nodes name the same engine.
#[test]
fn nodes_agree_on_the_home_of_an_adapter() {
    let homes = |adapter: &str| {
        (0..3)
            .map(|_| {
                let mut node = test_node(18, 0);
                node.submit(ms(0), adapter_job(1, ms(0), adapter, 500));
                node.due_adapter_requests(ms(0), &Name::from("node"))[0].upstream.clone()
            })
            .collect::<Vec<Name>>()
    };
    let mut used = std::collections::HashSet::new();
    for n in 0..60 {
        let homes = homes(&format!("a{n}"));
        assert!(homes.iter().all(|home| *home == homes[0]), "a{n}: {homes:?}");
        used.insert(homes[0].clone());
    }
    assert!(used.len() > 12, "60 adapters have only {} homes", used.len());
}

/// Replays adapters that are evicted and asked for again: an engine that held one lately loads
/// it without the store, whose loads are the scarcest resource when rare adapters are asked for.
#[test]
fn an_evicted_adapter_returns_to_the_engine_that_held_it() {
    for n in 0..40 {
        let mut node = test_node(6, 0);
        let adapter = format!("a{n}");
        node.submit(ms(0), adapter_job(1, ms(0), &adapter, 500));
        let first = node.due_adapter_requests(ms(0), &Name::from("node"))[0].upstream.clone();
        node.cancel(JobId(1));
        // The first home failed once, so the second one loaded the adapter and dropped it later.
        let again = Job { tried: vec![first.clone()], ..adapter_job(2, ms(4_000), &adapter, 500) };
        node.submit(ms(4_000), again);
        let second =
            node.due_adapter_requests(ms(4_000), &Name::from("node"))[0].upstream.to_string();
        assert_ne!(second, first.as_str());
        place_adapters(&mut node, &second, &[&adapter]);
        node.dispatch_waiting(ms(4_250));
        place_adapters(&mut node, &second, &[]);
        node.submit(ms(9_000), adapter_job(3, ms(9_000), &adapter, 500));
        let requests = node.due_adapter_requests(ms(9_000), &Name::from("node"));
        assert_eq!(requests[0].upstream.as_str(), second, "{adapter} comes from the store again");
    }
}

/// Guards against replicas of adapters that one engine serves well, which evict rare ones.
#[test]
fn only_adapters_in_use_get_replicas() {
    let mut node = test_node(6, 0);
    place_adapters(&mut node, "engine-0", &["warm"]);
    node.submit(ms(0), adapter_job(1, ms(0), "warm", 2_400));
    // The engine has a backlog, but nobody else uses the adapter.
    assert_eq!(node.submit(ms(5), adapter_job(2, ms(5), "warm", 2_400)), None);
    assert!(node.due_adapter_requests(ms(5), &Name::from("node")).is_empty());
    for n in 3..9 {
        let now = ms(n * 1_000);
        node.record_first_output(now, JobId(n - 2));
        node.dispatch_waiting(now);
        node.submit(now, adapter_job(n, now, "warm", 2_400));
    }
    node.submit(ms(8_100), adapter_job(20, ms(8_100), "warm", 2_400));
    let requests = node.due_adapter_requests(ms(8_100), &Name::from("node"));
    assert_eq!(requests.len(), 1, "six requests in use call for a replica");
}

/// Guards against pauses in running streams: an engine reads prompts between their steps.
#[test]
fn prompts_are_spread_and_paced() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    place_adapters(&mut node, "engine-1", &["hot"]);
    let sent: Vec<Option<String>> = (0..6)
        .map(|n| target_upstream(node.submit(ms(n), adapter_job(n, ms(n), "hot", 1_200)).as_ref()))
        .collect();
    let on = |id: &str| sent.iter().flatten().filter(|sent| *sent == id).count();
    assert_eq!((on("engine-0"), on("engine-1")), (2, 2), "{sent:?}");
    // Half a second later both engines have read what they had.
    (0..6).for_each(|n| node.record_first_output(ms(390), JobId(n)));
    assert_eq!(node.dispatch_waiting(ms(400)).len(), 2);
}

/// Guards against pacing that makes a request late by itself: past 0.45 of its objective only
/// prompts that the engine has really not read hold it back.
#[test]
fn pacing_ends_before_the_objective() {
    let mut node = test_node(1, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    for n in 0..8 {
        node.submit(ms(0), adapter_job(n, ms(0), "hot", 2_000));
    }
    // An engine that reads twice as fast as the pace.
    let mut sent = 1;
    for now in (0..450).step_by(90) {
        (0..sent).for_each(|n| node.record_first_output(ms(now), JobId(n)));
        sent += node.dispatch_waiting(ms(now)).len() as u64;
    }
    assert!(sent < 4, "the pace allows {sent} prompts of 2,000 tokens in 0.45 s");
    (0..sent).for_each(|n| node.record_first_output(ms(455), JobId(n)));
    assert_eq!(
        node.dispatch_waiting(ms(455)).len(),
        1,
        "a request waits past 0.45 of its objective"
    );
    assert!(node.dispatch_waiting(ms(460)).is_empty(), "the engine has not read the prompt before");
    (0..=sent).for_each(|n| node.record_first_output(ms(465), JobId(n)));
    assert_eq!(node.dispatch_waiting(ms(465)).len(), 1);
}

/// Guards against bursts from several nodes: what the others sent counts like the own.
#[test]
fn load_of_other_nodes_is_avoided() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    place_adapters(&mut node, "engine-1", &["hot"]);
    let other = Name::from("node-2");
    for n in 0..2 {
        let ask = AdmissionRequest::new(
            ms(0),
            &Name::from("engine-0"),
            &adapter_job(n, ms(0), "hot", 1_200),
        );
        assert_eq!(
            node.admission.handle_request(ms(0), &other, &ask).response.decision,
            AdmissionDecision::Granted
        );
    }
    for n in 2..8 {
        let running = ProgressEvent::Running {
            job: JobId(n),
            adapter: Some(Name::from("hot")),
            time_left: Duration::from_secs(10),
        };
        let progress = ProgressReport { upstream: Name::from("engine-0"), event: running };
        node.admission.handle_progress(ms(0), &other, &progress);
    }
    for load in node.admission.engine_loads(ms(0)) {
        node.set_peer_loads(ms(0), &Name::from(NODE_ID), vec![load]);
    }
    for n in 0..2 {
        let decision = node.submit(ms(0), adapter_job(n, ms(0), "hot", 1_000));
        assert_eq!(target_upstream(decision.as_ref()).as_deref(), Some("engine-1"));
    }
    assert_eq!(node.adapter_usage(ms(0), "engine-0").get("hot"), Some(&8));
    node.admission.remove_node(&other);
    assert!(
        node.adapter_usage(ms(0), "engine-0").is_empty(),
        "a silent node's requests are forgotten"
    );
}

/// Guards against a flood of lesser work in front of urgent work.
#[test]
fn urgent_work_leaves_the_queue_first() {
    let mut node = test_node(0, 1);
    let filled: Vec<u64> = (0..9).collect();
    for n in &filled {
        assert!(node.submit(ms(0), plain_job(*n, ms(0), 2)).is_some());
    }
    for n in 10..14 {
        assert_eq!(node.submit(ms(1), plain_job(n, ms(1), 2)), None);
    }
    assert_eq!(node.submit(ms(2), plain_job(20, ms(2), 0)), None);
    node.record_outcome(ms(60), JobId(0), SendOutcome::Served);
    let decided = node.dispatch_waiting(ms(60));
    assert_eq!(decided.iter().map(|(id, _)| *id).collect::<Vec<_>>(), vec![JobId(20)]);
}

/// Guards against requests that are held until their deadline although they can't be served.
#[test]
fn a_wait_beyond_the_deadline_is_rejected_at_once() {
    let mut node = test_node(0, 1);
    // Samples of one second teach the pace of the service.
    for n in 0..200 {
        node.submit(ms(n * 1_000), plain_job(n, ms(n * 1_000), 2));
        node.record_outcome(ms(n * 1_000 + 1_000), JobId(n), SendOutcome::Served);
    }
    let now = ms(200_000);
    let mut rejected = Vec::new();
    for n in 1_000..1_060 {
        match node.submit(now, plain_job(n, now, 2)) {
            Some(DispatchDecision::Reject { reason, retry_after }) => {
                rejected.push((reason, retry_after))
            }
            Some(DispatchDecision::Send { .. }) | None => {}
        }
    }
    // Nine are sent, and one place a sixth of a second serves 24 within the deadline of 4 s.
    assert_eq!(rejected.len(), 60 - 9 - 24, "rejected {}", rejected.len());
    assert!(rejected.iter().all(|(reason, _)| *reason == RejectReason::Overload));
    assert!(rejected.iter().all(|(_, wait)| *wait >= Duration::from_millis(200)));
    assert_eq!(node.waiting(), 24);
}

/// Guards against a request that is held to near its deadline for an adapter that never comes.
#[test]
fn an_adapter_that_does_not_come_is_given_up() {
    let mut node = test_node(2, 0);
    node.submit(ms(0), adapter_job(1, ms(0), "rare", 500));
    assert!(node.dispatch_waiting(ms(3_100)).is_empty());
    let decided = node.dispatch_waiting(ms(3_300));
    assert!(matches!(
        decided[..],
        [(JobId(1), DispatchDecision::Reject { reason: RejectReason::AdapterUnavailable, .. })]
    ));
    assert_eq!(node.waiting(), 0);
}

/// Guards against new work at an upstream that is leaving or failing.
#[test]
fn leaving_and_failing_upstreams_are_avoided() {
    let mut node = test_node(0, 3);
    let mut leaving = upstream_entry("desk-0", PLAIN_SERVICE, 6);
    leaving.state = UpstreamState::Draining;
    node.upsert_upstream(&Arc::new(leaving));
    for n in 0..3 {
        let decision = node.submit(ms(0), plain_job(100 + n, ms(0), 0));
        assert_ne!(target_upstream(decision.as_ref()).as_deref(), Some("desk-0"));
    }
    let mut failing = None;
    for n in 0..40 {
        let now = ms(1_000 + n);
        let decision = node.submit(now, plain_job(200 + n, now, 0));
        let outcome = match target_upstream(decision.as_ref()).as_deref() {
            Some("desk-1") => {
                failing = Some(n);
                SendOutcome::Failed(Failure::Connect)
            }
            Some(_) | None => SendOutcome::Served,
        };
        node.record_outcome(now, JobId(200 + n), outcome);
    }
    assert!(failing.is_some_and(|last| last < 20), "last request to it: {failing:?}");
}

/// Guards against ejecting a whole service when all of its upstreams fail a part of their requests.
#[test]
fn not_all_upstreams_are_ejected() {
    let mut node = test_node(0, 3);
    for n in 0..200 {
        let now = ms(n);
        if node.submit(now, plain_job(n, now, 0)).is_some() {
            node.record_outcome(now, JobId(n), SendOutcome::Failed(Failure::Broken));
        }
    }
    let decision = node.submit(ms(201), plain_job(900, ms(201), 0));
    assert!(matches!(decision, Some(DispatchDecision::Send { .. })));
}

/// Guards against a request that begins on an old version after its bound, and against
/// waiting for the new one while the old one may still answer.
#[test]
fn an_old_version_is_used_only_within_its_bound() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    node.set_newest_version(ms(0), &Name::from(MODEL), &Name::from("a1"), 2);
    let early = node.submit(ms(1_000), adapter_job(1, ms(1_000), "a1", 100));
    assert!(matches!(early, Some(DispatchDecision::Send { version: None, .. })));
    assert_eq!(node.submit(ms(3_000), adapter_job(2, ms(3_000), "a1", 100)), None);
    node.apply_placement(&placement("engine-1", &["a1"], 2));
    let decided = node.dispatch_waiting(ms(3_100));
    let Some((_, DispatchDecision::Send { upstream, version })) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!((upstream.id.as_str(), *version), ("engine-1", Some(2)));
}

/// Guards against sending a request again to an upstream that failed it.
#[test]
fn a_tried_upstream_is_not_chosen_again() {
    let mut node = test_node(0, 2);
    let tried = vec![Name::from("desk-0")];
    for n in 0..4 {
        let again = Job { tried: tried.clone(), ..plain_job(n, ms(0), 0) };
        let decision = node.submit(ms(0), again);
        assert_eq!(target_upstream(decision.as_ref()).as_deref(), Some("desk-1"));
    }
}

/// Guards against state of the incarnation before a restart.
#[test]
fn a_restarted_engine_holds_nothing() {
    let mut node = test_node(1, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    let mut restarted = upstream_entry("engine-0", "models", 64);
    restarted.incarnation = 2;
    node.upsert_upstream(&Arc::new(restarted));
    assert_eq!(node.submit(ms(0), adapter_job(1, ms(0), "a1", 100)), None);
    // A late statement about the first incarnation changes nothing.
    place_adapters(&mut node, "engine-0", &["a1"]);
    assert!(node.dispatch_waiting(ms(1)).is_empty());
}

/// Replays many rare adapters at once: an engine whose slots are all in use can't load another
/// one for seconds, so the adapter goes to its next home.
#[test]
fn engines_without_a_free_slot_are_no_homes() {
    let mut node = test_node(6, 0);
    node.submit(ms(0), adapter_job(1, ms(0), "rare", 500));
    let home = node.due_adapter_requests(ms(0), &Name::from("node"))[0].upstream.clone();
    node.cancel(JobId(1));
    node.admission.set_available_adapter_slots(&home, 0);
    let loads = node.admission.engine_loads(ms(4_000));
    node.set_peer_loads(ms(4_000), &Name::from(NODE_ID), loads);
    node.submit(ms(4_000), adapter_job(2, ms(4_000), "rare", 500));
    let requests = node.due_adapter_requests(ms(4_000), &Name::from("node"));
    assert_ne!(requests[0].upstream, home);
}
