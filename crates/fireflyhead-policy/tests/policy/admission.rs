//! Admission by the holder of an engine, and nodes whose holder does not answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::RejectReason;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::message::AdmissionDecision;
use fireflyhead_policy::message::AdmissionRequest;
use fireflyhead_policy::message::AdmissionResponse;
use fireflyhead_policy::message::HolderMessage;
use fireflyhead_policy::message::ProgressEvent;
use fireflyhead_policy::message::ProgressReport;
use fireflyhead_policy::message::UpstreamLoad;
use proptest::prelude::*;

use crate::setup::ENGINES;
use crate::setup::entry;
use crate::setup::job;
use crate::setup::ms;
use crate::setup::placement;

const ENGINE: &str = "engine-0";
const HOLDER: &str = "node-9";

fn engine() -> Name {
    Name::from(ENGINE)
}

fn holder() -> AdmissionController {
    let mut admission = AdmissionController::default();
    admission.open_engine(&engine(), 64, 1);
    admission
}

fn node(n: usize) -> Name {
    Name::from(format!("node-{n}"))
}

fn ask(id: u64, now: Time, tokens: u32) -> AdmissionRequest {
    AdmissionRequest::new(now, &engine(), &job(id, now, "hot", tokens))
}

fn progress(event: ProgressEvent) -> ProgressReport {
    ProgressReport { upstream: engine(), event }
}

/// Dispatcher of `node-1` whose only engine is in the custody of `node-9`.
fn asker() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    dispatcher.upsert_upstream(&Arc::new(entry(ENGINE, ENGINES, 64)));
    dispatcher.apply_placement(ms(0), &Name::from(HOLDER), &placement(ENGINE, &["hot"], 1));
    dispatcher
}

fn asked(dispatcher: &mut Dispatcher) -> Vec<JobId> {
    let outbox = dispatcher.take_holder_messages();
    let asks = outbox.into_iter().filter_map(|(_, message)| match message {
        HolderMessage::AdmissionRequest(ask) => Some(ask.job),
        HolderMessage::ProgressReport(_) => None,
    });
    asks.collect()
}

fn answer(id: u64, reply: AdmissionDecision) -> AdmissionResponse {
    let load = UpstreamLoad { upstream: engine(), all_nodes: true, ..UpstreamLoad::default() };
    AdmissionResponse { job: JobId(id), decision: reply, load }
}

/// Replays a burst of 40 nodes with one prompt each at one engine: from their beats, every node
/// sees an idle engine, and running streams stall behind 40 prompts.
#[test]
fn prompts_of_many_nodes_are_paced() {
    let mut admission = holder();
    let replies: Vec<AdmissionDecision> = (0..40)
        .map(|n| admission.handle_request(ms(0), &node(n), &ask(1, ms(0), 1_200)).response.decision)
        .collect();
    let granted = replies.iter().filter(|reply| **reply == AdmissionDecision::Granted).count();
    assert_eq!(granted, 2, "the window takes 2,500 tokens: {replies:?}");
    // The engine reads a prompt in 63 ms and its first output takes 30 ms more.
    let mut unread: VecDeque<Name> = (0..granted).map(node).collect();
    let mut next_output = 93;
    let mut sent = granted;
    for now in 0..2_000 {
        if now >= next_output
            && let Some(node) = unread.pop_front()
        {
            admission.handle_progress(
                ms(now),
                &node,
                &progress(ProgressEvent::FirstOutput(JobId(1))),
            );
            next_output = now + 63;
        }
        for granted in admission.admit_waiting(ms(now)) {
            unread.push_back(granted.node);
            sent += 1;
        }
        assert!(unread.len() <= 2, "{} prompts are unread after {now} ms", unread.len());
    }
    assert!(sent >= 20, "the engine reads 31 prompts in 2 s, {sent} were sent");
}

/// Guards against a queue of one node that passes more urgent work of another.
#[test]
fn the_most_urgent_request_of_all_nodes_goes_first() {
    let mut admission = holder();
    for n in 0..6 {
        admission.handle_request(ms(0), &node(n), &ask(1, ms(0), 1_200));
    }
    let mut urgent = ask(1, ms(1), 1_200);
    urgent.priority = 0;
    assert_eq!(
        admission.handle_request(ms(1), &node(7), &urgent).response.decision,
        AdmissionDecision::Queued
    );
    for n in 0..2 {
        admission.handle_progress(ms(2), &node(n), &progress(ProgressEvent::FirstOutput(JobId(1))));
    }
    let granted = admission.admit_waiting(ms(120));
    assert_eq!(granted.first().map(|to| to.node.clone()), Some(node(7)), "{granted:?}");
}

/// Guards against a place that is taken twice by a question that was repeated, and against
/// places that stay taken when a node ends, is forgotten, or its report is lost.
#[test]
fn places_are_counted_once_and_given_back() {
    let mut admission = holder();
    let in_flight = |admission: &AdmissionController, now| admission.engine_loads(now)[0].in_flight;
    for _ in 0..3 {
        let reply =
            admission.handle_request(ms(0), &node(1), &ask(1, ms(0), 100)).response.decision;
        assert_eq!(reply, AdmissionDecision::Granted);
    }
    admission.handle_request(ms(0), &node(1), &ask(2, ms(0), 100));
    admission.handle_request(ms(0), &node(2), &ask(1, ms(0), 100));
    assert_eq!(in_flight(&admission, ms(0)), 3);
    for _ in 0..2 {
        admission.handle_progress(ms(1), &node(1), &progress(ProgressEvent::Ended(JobId(1))));
    }
    assert_eq!(in_flight(&admission, ms(1)), 2);
    admission.remove_node(&node(2));
    assert_eq!(in_flight(&admission, ms(1)), 1);
    admission.admit_waiting(ms(15_900));
    assert_eq!(in_flight(&admission, ms(15_900)), 1, "the caller may wait for 15 s");
    admission.admit_waiting(ms(16_100));
    assert_eq!(in_flight(&admission, ms(16_100)), 0);
}

/// Guards against an engine that is closed by lost datagrams: on the users' grown deployment one
/// adapter's requests were rejected for 16 s after two reports of outputs were lost.
#[test]
fn lost_reports_close_an_engine_for_a_second_only() {
    let mut admission = holder();
    for n in 0..3 {
        admission.handle_request(ms(0), &node(n), &ask(1, ms(0), 1_200));
    }
    assert!(admission.admit_waiting(ms(900)).is_empty());
    let granted = admission.admit_waiting(ms(1_010));
    assert_eq!(granted.len(), 1, "{granted:?}");
    assert_eq!(granted[0].node, node(2));
}

/// Guards against an adapter that is evicted, or gets no replica, while requests wait for it.
#[test]
fn waiting_requests_use_their_adapter() {
    let mut admission = holder();
    for n in 0..9 {
        admission.handle_request(ms(0), &node(n), &ask(1, ms(0), 1_200));
    }
    assert_eq!(admission.adapter_usage(ENGINE).get("hot"), Some(&9));
    for n in 2..9 {
        admission.handle_progress(ms(1), &node(n), &progress(ProgressEvent::Ended(JobId(1))));
    }
    assert_eq!(admission.adapter_usage(ENGINE).get("hot"), Some(&2));
}

/// Guards against a request that is held although its wait passes its deadline.
#[test]
fn a_wait_beyond_the_deadline_is_denied_at_once() {
    let mut admission = holder();
    let replies: Vec<AdmissionDecision> = (0..200)
        .map(|n| admission.handle_request(ms(0), &node(n), &ask(1, ms(0), 1_100)).response.decision)
        .collect();
    let queued = replies.iter().filter(|reply| **reply == AdmissionDecision::Queued).count();
    // 4 s at 10 prompts a second.
    assert!((36..=40).contains(&queued), "{queued} wait");
    let Some(AdmissionDecision::Denied { retry_after }) = replies.last() else {
        panic!("{replies:?}")
    };
    assert!(*retry_after < Duration::from_secs(1), "a place is free after {retry_after:?}");
}

/// Guards against a lost holder that holds up its engine's requests: the node decides by itself
/// after a timeout, and asks again a second later.
#[test]
fn a_silent_holder_costs_one_timeout() {
    let mut dispatcher = asker();
    assert_eq!(dispatcher.submit(ms(0), job(1, ms(0), "hot", 500)), None);
    assert_eq!(asked(&mut dispatcher), [JobId(1)]);
    assert!(dispatcher.dispatch_waiting(ms(100)).is_empty());
    let decided = dispatcher.dispatch_waiting(ms(130));
    assert!(matches!(decided[..], [(JobId(1), DispatchDecision::Send { .. })]), "{decided:?}");
    let silent = dispatcher.take_unresponsive_holders();
    assert_eq!(silent.iter().map(|s| s.holder.as_str()).collect::<Vec<_>>(), [HOLDER]);
    let next = dispatcher.submit(ms(200), job(2, ms(200), "hot", 500));
    assert!(matches!(next, Some(DispatchDecision::Send { .. })), "{next:?}");
    assert_eq!(dispatcher.submit(ms(1_200), job(3, ms(1_200), "hot", 500)), None);
    assert_eq!(asked(&mut dispatcher), [JobId(3)]);
}

/// Guards against a grant that was lost: a queued request is asked about again.
#[test]
fn a_lost_grant_is_asked_for_again() {
    let mut dispatcher = asker();
    dispatcher.submit(ms(0), job(1, ms(0), "hot", 500));
    dispatcher.handle_admission_response(
        ms(2),
        &Name::from(HOLDER),
        answer(1, AdmissionDecision::Queued),
    );
    assert_eq!(asked(&mut dispatcher), [JobId(1)]);
    dispatcher.dispatch_waiting(ms(200));
    assert!(asked(&mut dispatcher).is_empty());
    dispatcher.dispatch_waiting(ms(410));
    assert_eq!(asked(&mut dispatcher), [JobId(1)]);
    let verdict = dispatcher.handle_admission_response(
        ms(412),
        &Name::from(HOLDER),
        answer(1, AdmissionDecision::Granted),
    );
    assert!(matches!(verdict, Some((JobId(1), DispatchDecision::Send { .. }))));
    // A second grant is for the same place.
    assert_eq!(
        dispatcher.handle_admission_response(
            ms(413),
            &Name::from(HOLDER),
            answer(1, AdmissionDecision::Granted)
        ),
        None
    );
    assert_eq!(dispatcher.in_flight(), 1);
}

/// Replays a popularity shift: requests wait for the one engine that holds a newly popular
/// adapter. When another engine gets it, those that wait go there; before, they stayed in the
/// queue of the first until their callers left.
#[test]
fn waiting_requests_go_to_a_new_replica() {
    let mut dispatcher = asker();
    let busy = |id| {
        let mut answer = answer(id, AdmissionDecision::Queued);
        answer.load.pending_prompt_tokens = 2_500;
        answer.load.queued_prompt_tokens = 30_000;
        answer
    };
    for id in 1..=5 {
        dispatcher.submit(ms(0), job(id, ms(0), "hot", 500));
        dispatcher.handle_admission_response(ms(1), &Name::from(HOLDER), busy(id));
    }
    dispatcher.take_holder_messages();
    dispatcher.upsert_upstream(&Arc::new(entry("engine-1", ENGINES, 64)));
    dispatcher.apply_placement(ms(100), &node(5), &placement("engine-1", &["hot"], 1));
    dispatcher.dispatch_waiting(ms(260));
    let (mut left, mut asked) = (0, 0);
    for (to, message) in dispatcher.take_holder_messages() {
        match message {
            HolderMessage::ProgressReport(progress) => {
                assert!(matches!(progress.event, ProgressEvent::Ended(_)));
                assert_eq!(to.as_str(), HOLDER);
                left += 1;
            }
            HolderMessage::AdmissionRequest(ask) => {
                assert_eq!((&to, ask.upstream.as_str()), (&node(5), "engine-1"));
                asked += 1;
            }
        }
    }
    assert_eq!((left, asked), (5, 5));
}

/// Replays the first second of a popularity shift: requests that the only holder denies wait for
/// a further replica, and are rejected if none comes.
#[test]
fn denied_requests_wait_for_a_replica_of_a_hot_adapter() {
    let mut dispatcher = asker();
    dispatcher.upsert_upstream(&Arc::new(entry("engine-1", ENGINES, 64)));
    dispatcher.apply_placement(ms(0), &node(5), &placement("engine-1", &[], 1));
    let hot = UpstreamLoad {
        upstream: engine(),
        all_nodes: true,
        in_flight: 9,
        adapters: vec![(Name::from("hot"), 9)],
        ..UpstreamLoad::default()
    };
    dispatcher.set_peer_loads(ms(0), &Name::from(HOLDER), vec![hot]);
    let denied = AdmissionDecision::Denied { retry_after: Duration::from_millis(700) };
    dispatcher.submit(ms(0), job(1, ms(0), "hot", 500));
    assert_eq!(
        dispatcher.handle_admission_response(ms(1), &Name::from(HOLDER), answer(1, denied)),
        None
    );
    let wants = dispatcher.due_adapter_requests(ms(1), &node(1));
    assert_eq!(wants[0].upstream.as_str(), "engine-1");
    for now in (250..1_000).step_by(250) {
        assert!(dispatcher.dispatch_waiting(ms(now)).is_empty());
        assert_eq!(
            dispatcher.handle_admission_response(ms(now), &Name::from(HOLDER), answer(1, denied)),
            None
        );
    }
    dispatcher.dispatch_waiting(ms(1_010));
    let verdict =
        dispatcher.handle_admission_response(ms(1_010), &Name::from(HOLDER), answer(1, denied));
    assert!(matches!(verdict, Some((JobId(1), DispatchDecision::Reject { .. }))), "{verdict:?}");
}

/// Guards against a request that waits until its caller leaves, and
/// against a place that a grant keeps after its request was given up.
#[test]
fn a_request_that_is_given_up_returns_its_place() {
    let mut dispatcher = asker();
    dispatcher.submit(ms(0), job(1, ms(0), "hot", 500));
    dispatcher.take_holder_messages();
    let mut decided = Vec::new();
    for now in (0..3_300).step_by(100) {
        dispatcher.handle_admission_response(
            ms(now),
            &Name::from(HOLDER),
            answer(1, AdmissionDecision::Queued),
        );
        decided.extend(dispatcher.dispatch_waiting(ms(now)));
    }
    assert!(matches!(
        decided[..],
        [(JobId(1), DispatchDecision::Reject { reason: RejectReason::Overload, .. })]
    ));
    dispatcher.take_holder_messages();
    assert_eq!(
        dispatcher.handle_admission_response(
            ms(3_400),
            &Name::from(HOLDER),
            answer(1, AdmissionDecision::Granted)
        ),
        None
    );
    let outbox = dispatcher.take_holder_messages();
    let ended = HolderMessage::ProgressReport(progress(ProgressEvent::Ended(JobId(1))));
    assert_eq!(outbox, [(Name::from(HOLDER), ended)]);
}

/// Guards against a new holder that takes an engine for idle: it learns what runs there, and
/// what waited at the holder before is asked for again.
#[test]
fn a_new_holder_learns_what_runs() {
    let mut dispatcher = asker();
    dispatcher.submit(ms(0), job(1, ms(0), "hot", 500));
    dispatcher.handle_admission_response(
        ms(1),
        &Name::from(HOLDER),
        answer(1, AdmissionDecision::Granted),
    );
    dispatcher.submit(ms(1), job(2, ms(1), "hot", 500));
    dispatcher.handle_admission_response(
        ms(2),
        &Name::from(HOLDER),
        answer(2, AdmissionDecision::Queued),
    );
    dispatcher.take_holder_messages();
    let mut moved = placement(ENGINE, &["hot"], 1);
    moved.fencing_token = 2;
    dispatcher.apply_placement(ms(10), &node(5), &moved);
    dispatcher.dispatch_waiting(ms(10));
    let outbox = dispatcher.take_holder_messages();
    assert!(outbox.iter().all(|(to, _)| *to == node(5)), "{outbox:?}");
    let mut admission = holder();
    for (_, message) in outbox {
        match message {
            HolderMessage::AdmissionRequest(ask) => {
                assert_eq!(
                    admission.handle_request(ms(10), &node(1), &ask).response.decision,
                    AdmissionDecision::Granted
                );
            }
            HolderMessage::ProgressReport(progress) => {
                admission.handle_progress(ms(10), &node(1), &progress)
            }
        }
    }
    assert_eq!(admission.engine_loads(ms(10))[0].in_flight, 2);
    dispatcher.record_outcome(ms(20), JobId(1), SendOutcome::Served);
}

proptest! {
    /// Guards against places that are lost or counted twice when datagrams are lost, repeated
    /// or late: whatever arrives, the load falls back to zero once all requests have ended.
    #[test]
    fn no_order_of_messages_leaves_load_behind(
        events in prop::collection::vec((0_u64..6, 0_usize..3, 0_u8..7, 0_u64..40), 1..120)
    ) {
        let mut admission = holder();
        let mut now = 0;
        for (id, from, kind, pause) in events {
            now += pause;
            let job = JobId(id);
            let event = match kind {
                0 | 1 => {
                    admission.handle_request(ms(now), &node(from), &ask(id, ms(now), 900));
                    continue;
                }
                2 => ProgressEvent::FirstOutput(job),
                3 => ProgressEvent::Ended(job),
                4 => ProgressEvent::EngineFull(job),
                5 => ProgressEvent::Running { job, adapter: None, time_left: Duration::from_secs(3) },
                _ => {
                    admission.admit_waiting(ms(now));
                    admission.remove_node(&node(from));
                    continue;
                }
            };
            admission.handle_progress(ms(now), &node(from), &progress(event));
        }
        prop_assert!(admission.engine_loads(ms(now))[0].in_flight <= 18, "six requests of three nodes");
        admission.admit_waiting(ms(now + 20_000));
        let load = &admission.engine_loads(ms(now + 40_000))[0];
        prop_assert_eq!((load.in_flight, load.pending_prompt_tokens, load.queued_prompt_tokens), (0, 0, 0));
        prop_assert!(load.adapters.is_empty());
        prop_assert_eq!(admission.waiting(), 0);
    }
}
