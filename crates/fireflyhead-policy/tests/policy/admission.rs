//! Admission of requests by the holder of an engine, and dispatch by a node that must ask another
//! node, the holder, for admission.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
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

use crate::setup::ENGINE_SERVICE;
use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::placement;
use crate::setup::upstream_entry;

const ENGINE: &str = "engine-0";
const HOLDER: &str = "node-9";

fn engine() -> Name {
    Name::from(ENGINE)
}

/// Returns the admission controller of the holder of [`ENGINE`].
fn admission_controller() -> AdmissionController {
    let mut admission = AdmissionController::default();
    admission.upsert_engine(&engine(), 64, 1);
    admission
}

fn node_id(n: usize) -> Name {
    Name::from(format!("node-{n}"))
}

/// Returns a request for admission with a prompt of `tokens` for the adapter `hot`.
fn admission_request(id: u64, now: Time, tokens: u32) -> AdmissionRequest {
    AdmissionRequest::new(now, &engine(), &adapter_job(id, now, "hot", tokens))
}

fn progress_report(event: ProgressEvent) -> ProgressReport {
    ProgressReport { upstream: engine(), event }
}

/// Returns a dispatcher that knows one engine, which holds the adapter `hot` and whose holder is
/// another node, [`HOLDER`].
fn dispatcher_with_remote_holder() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    dispatcher.upsert_upstream(&Arc::new(upstream_entry(ENGINE, ENGINE_SERVICE, 64)));
    dispatcher.apply_placement(ms(0), &Name::from(HOLDER), &placement(ENGINE, &["hot"], 1));
    dispatcher
}

/// Takes the dispatcher's messages and returns the requests for admission among them.
fn take_requested_jobs(dispatcher: &mut Dispatcher) -> Vec<JobId> {
    let outbox = dispatcher.take_holder_messages();
    let requested = outbox.into_iter().filter_map(|(_, message)| match message {
        HolderMessage::AdmissionRequest(request) => Some(request.job),
        HolderMessage::ProgressReport(_) => None,
    });
    requested.collect()
}

fn admission_response(id: u64, decision: AdmissionDecision) -> AdmissionResponse {
    let load = UpstreamLoad { upstream: engine(), all_nodes: true, ..UpstreamLoad::default() };
    AdmissionResponse { job: JobId(id), decision, load }
}

/// Guards against streams that stall behind the prompts of a burst. 40 nodes send one prompt each
/// to one engine at the same time, because in the heartbeats the engine still looks idle to each of
/// them; the holder must pace the 40 prompts.
#[test]
fn prompts_of_many_nodes_are_paced() {
    let mut admission = admission_controller();
    let decisions: Vec<AdmissionDecision> = (0..40)
        .map(|n| {
            admission
                .handle_request(ms(0), &node_id(n), &admission_request(1, ms(0), 1_200))
                .response
                .decision
        })
        .collect();
    let granted =
        decisions.iter().filter(|decision| **decision == AdmissionDecision::Granted).count();
    assert_eq!(granted, 2, "the window admits 2,500 tokens: {decisions:?}");
    // The engine processes a prompt in 63 ms and sends the first output 30 ms later.
    let mut unprocessed: VecDeque<Name> = (0..granted).map(node_id).collect();
    let mut next_output = 93;
    let mut sent = granted;
    for now in 0..2_000 {
        if now >= next_output
            && let Some(node) = unprocessed.pop_front()
        {
            admission.handle_progress(
                ms(now),
                &node,
                &progress_report(ProgressEvent::FirstOutput(JobId(1))),
            );
            next_output = now + 63;
        }
        for response in admission.admit_waiting(ms(now)) {
            unprocessed.push_back(response.node);
            sent += 1;
        }
        assert!(
            unprocessed.len() <= 2,
            "{} prompts are unprocessed after {now} ms",
            unprocessed.len()
        );
    }
    assert!(sent >= 20, "the engine can process 31 prompts in 2 s, but only {sent} were sent");
}

/// Guards against priority inversion between nodes: requests that other nodes sent earlier must not
/// be admitted before a more urgent one.
#[test]
fn the_most_urgent_request_of_all_nodes_is_admitted_first() {
    let mut admission = admission_controller();
    for n in 0..6 {
        admission.handle_request(ms(0), &node_id(n), &admission_request(1, ms(0), 1_200));
    }
    let mut urgent = admission_request(1, ms(1), 1_200);
    urgent.priority = 0;
    assert_eq!(
        admission.handle_request(ms(1), &node_id(7), &urgent).response.decision,
        AdmissionDecision::Queued
    );
    for n in 0..2 {
        admission.handle_progress(
            ms(2),
            &node_id(n),
            &progress_report(ProgressEvent::FirstOutput(JobId(1))),
        );
    }
    let granted = admission.admit_waiting(ms(120));
    assert_eq!(
        granted.first().map(|response| response.node.clone()),
        Some(node_id(7)),
        "{granted:?}"
    );
}

/// Guards against leaked slots: one slot counted twice because an admission request was repeated,
/// and slots that stay occupied after the request ended, its node was removed, or the report of its
/// end was lost.
#[test]
fn slots_are_counted_once_and_released() {
    let mut admission = admission_controller();
    let in_flight = |admission: &AdmissionController, now| admission.engine_loads(now)[0].in_flight;
    for _ in 0..3 {
        let decision = admission
            .handle_request(ms(0), &node_id(1), &admission_request(1, ms(0), 100))
            .response
            .decision;
        assert_eq!(decision, AdmissionDecision::Granted);
    }
    admission.handle_request(ms(0), &node_id(1), &admission_request(2, ms(0), 100));
    admission.handle_request(ms(0), &node_id(2), &admission_request(1, ms(0), 100));
    assert_eq!(in_flight(&admission, ms(0)), 3);
    for _ in 0..2 {
        admission.handle_progress(
            ms(1),
            &node_id(1),
            &progress_report(ProgressEvent::Ended(JobId(1))),
        );
    }
    assert_eq!(in_flight(&admission, ms(1)), 2);
    admission.remove_node(&node_id(2));
    assert_eq!(in_flight(&admission, ms(1)), 1);
    admission.admit_waiting(ms(15_900));
    assert_eq!(in_flight(&admission, ms(15_900)), 1, "released before the deadline of 15 s");
    admission.admit_waiting(ms(16_100));
    assert_eq!(in_flight(&admission, ms(16_100)), 0);
}

/// Guards against an engine that admits nothing because datagrams were lost: in the users' grown
/// deployment, the requests of one adapter were rejected for 16 s after two reports of first
/// outputs were lost.
#[test]
fn lost_output_reports_block_an_engine_for_one_second_only() {
    let mut admission = admission_controller();
    for n in 0..3 {
        admission.handle_request(ms(0), &node_id(n), &admission_request(1, ms(0), 1_200));
    }
    assert!(admission.admit_waiting(ms(900)).is_empty());
    let granted = admission.admit_waiting(ms(1_010));
    assert_eq!(granted.len(), 1, "{granted:?}");
    assert_eq!(granted[0].node, node_id(2));
}

/// Guards against an adapter that is evicted, or gets no replica, while requests wait for it,
/// because the usage counts running requests only.
#[test]
fn waiting_requests_count_in_the_usage_of_their_adapter() {
    let mut admission = admission_controller();
    for n in 0..9 {
        admission.handle_request(ms(0), &node_id(n), &admission_request(1, ms(0), 1_200));
    }
    assert_eq!(admission.adapter_usage(ENGINE).get("hot"), Some(&9));
    for n in 2..9 {
        admission.handle_progress(
            ms(1),
            &node_id(n),
            &progress_report(ProgressEvent::Ended(JobId(1))),
        );
    }
    assert_eq!(admission.adapter_usage(ENGINE).get("hot"), Some(&2));
}

/// Guards against a request that is queued although its predicted wait exceeds its deadline: its
/// caller would wait for nothing.
#[test]
fn a_request_that_would_wait_past_its_deadline_is_denied_at_once() {
    let mut admission = admission_controller();
    let decisions: Vec<AdmissionDecision> = (0..200)
        .map(|n| {
            admission
                .handle_request(ms(0), &node_id(n), &admission_request(1, ms(0), 1_100))
                .response
                .decision
        })
        .collect();
    let queued =
        decisions.iter().filter(|decision| **decision == AdmissionDecision::Queued).count();
    // The engine processes 10 prompts a second, within the 4 s after which callers leave.
    assert!((36..=40).contains(&queued), "{queued} requests are queued");
    let Some(AdmissionDecision::Denied { retry_after }) = decisions.last() else {
        panic!("{decisions:?}")
    };
    assert!(*retry_after < Duration::from_secs(1), "retry after {retry_after:?}");
}

/// Guards against requests that are delayed by a holder that was lost: after one timeout the node
/// decides without it, and sends it requests for admission again a second later.
#[test]
fn an_unresponsive_holder_delays_requests_by_one_timeout_only() {
    let mut dispatcher = dispatcher_with_remote_holder();
    assert_eq!(dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 500)), None);
    assert_eq!(take_requested_jobs(&mut dispatcher), [JobId(1)]);
    assert!(dispatcher.dispatch_waiting(ms(100)).is_empty());
    let decided = dispatcher.dispatch_waiting(ms(130));
    assert!(matches!(decided[..], [(JobId(1), DispatchDecision::Send { .. })]), "{decided:?}");
    let unresponsive = dispatcher.take_unresponsive_holders();
    assert_eq!(unresponsive.iter().map(|u| u.holder.as_str()).collect::<Vec<_>>(), [HOLDER]);
    let next = dispatcher.submit(ms(200), adapter_job(2, ms(200), "hot", 500));
    assert!(matches!(next, Some(DispatchDecision::Send { .. })), "{next:?}");
    assert_eq!(dispatcher.submit(ms(1_200), adapter_job(3, ms(1_200), "hot", 500)), None);
    assert_eq!(take_requested_jobs(&mut dispatcher), [JobId(3)]);
}

/// Guards against a request that stays queued forever because the datagram with its grant was
/// lost: the node repeats the request for admission.
#[test]
fn a_lost_grant_is_requested_again() {
    let mut dispatcher = dispatcher_with_remote_holder();
    dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 500));
    dispatcher.handle_admission_response(
        ms(2),
        &Name::from(HOLDER),
        admission_response(1, AdmissionDecision::Queued),
    );
    assert_eq!(take_requested_jobs(&mut dispatcher), [JobId(1)]);
    dispatcher.dispatch_waiting(ms(200));
    assert!(take_requested_jobs(&mut dispatcher).is_empty());
    dispatcher.dispatch_waiting(ms(410));
    assert_eq!(take_requested_jobs(&mut dispatcher), [JobId(1)]);
    let decision = dispatcher.handle_admission_response(
        ms(412),
        &Name::from(HOLDER),
        admission_response(1, AdmissionDecision::Granted),
    );
    assert!(matches!(decision, Some((JobId(1), DispatchDecision::Send { .. }))));
    // A repeated grant is for the same slot.
    assert_eq!(
        dispatcher.handle_admission_response(
            ms(413),
            &Name::from(HOLDER),
            admission_response(1, AdmissionDecision::Granted)
        ),
        None
    );
    assert_eq!(dispatcher.in_flight(), 1);
}

/// Guards against requests that stay queued at an overloaded engine until their callers leave,
/// although another engine has loaded the adapter meanwhile. This occurs when an adapter that only
/// one engine has becomes popular.
#[test]
fn waiting_requests_move_to_a_new_replica() {
    let mut dispatcher = dispatcher_with_remote_holder();
    let queued_at_overloaded_engine = |id| {
        let mut response = admission_response(id, AdmissionDecision::Queued);
        response.load.pending_prompt_tokens = 2_500;
        response.load.queued_prompt_tokens = 30_000;
        response
    };
    for id in 1..=5 {
        dispatcher.submit(ms(0), adapter_job(id, ms(0), "hot", 500));
        dispatcher.handle_admission_response(
            ms(1),
            &Name::from(HOLDER),
            queued_at_overloaded_engine(id),
        );
    }
    dispatcher.take_holder_messages();
    dispatcher.upsert_upstream(&Arc::new(upstream_entry("engine-1", ENGINE_SERVICE, 64)));
    dispatcher.apply_placement(ms(100), &node_id(5), &placement("engine-1", &["hot"], 1));
    dispatcher.dispatch_waiting(ms(260));
    let (mut withdrawn, mut requested) = (0, 0);
    for (to, message) in dispatcher.take_holder_messages() {
        match message {
            HolderMessage::ProgressReport(report) => {
                assert!(matches!(report.event, ProgressEvent::Ended(_)));
                assert_eq!(to.as_str(), HOLDER);
                withdrawn += 1;
            }
            HolderMessage::AdmissionRequest(request) => {
                assert_eq!((&to, request.upstream.as_str()), (&node_id(5), "engine-1"));
                requested += 1;
            }
        }
    }
    assert_eq!((withdrawn, requested), (5, 5));
}

/// Guards against rejections in the first second of a popularity shift: if only one engine has a
/// hot adapter, a request that its holder denies waits up to 1 s for a further replica, and is
/// rejected only if there is none by then.
#[test]
fn denied_requests_wait_for_a_replica_of_a_hot_adapter() {
    let mut dispatcher = dispatcher_with_remote_holder();
    dispatcher.upsert_upstream(&Arc::new(upstream_entry("engine-1", ENGINE_SERVICE, 64)));
    dispatcher.apply_placement(ms(0), &node_id(5), &placement("engine-1", &[], 1));
    let hot = UpstreamLoad {
        upstream: engine(),
        all_nodes: true,
        in_flight: 9,
        adapters: vec![(Name::from("hot"), 9)],
        ..UpstreamLoad::default()
    };
    dispatcher.set_peer_loads(ms(0), &Name::from(HOLDER), vec![hot]);
    let denied = AdmissionDecision::Denied { retry_after: Duration::from_millis(700) };
    dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 500));
    assert_eq!(
        dispatcher.handle_admission_response(
            ms(1),
            &Name::from(HOLDER),
            admission_response(1, denied)
        ),
        None
    );
    let requests = dispatcher.due_adapter_requests(ms(1), &node_id(1));
    assert_eq!(requests[0].upstream.as_str(), "engine-1");
    for now in (250..1_000).step_by(250) {
        assert!(dispatcher.dispatch_waiting(ms(now)).is_empty());
        assert_eq!(
            dispatcher.handle_admission_response(
                ms(now),
                &Name::from(HOLDER),
                admission_response(1, denied)
            ),
            None
        );
    }
    dispatcher.dispatch_waiting(ms(1_010));
    let decision = dispatcher.handle_admission_response(
        ms(1_010),
        &Name::from(HOLDER),
        admission_response(1, denied),
    );
    assert!(matches!(decision, Some((JobId(1), DispatchDecision::Reject { .. }))), "{decision:?}");
}

/// Guards against a request that stays queued until its caller leaves, and against a slot that
/// stays occupied because the grant arrived after the node had rejected the request.
#[test]
fn a_grant_that_arrives_after_the_rejection_is_released() {
    let mut dispatcher = dispatcher_with_remote_holder();
    dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 500));
    dispatcher.take_holder_messages();
    let mut decided = Vec::new();
    for now in (0..3_300).step_by(100) {
        dispatcher.handle_admission_response(
            ms(now),
            &Name::from(HOLDER),
            admission_response(1, AdmissionDecision::Queued),
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
            admission_response(1, AdmissionDecision::Granted)
        ),
        None
    );
    let outbox = dispatcher.take_holder_messages();
    let ended = HolderMessage::ProgressReport(progress_report(ProgressEvent::Ended(JobId(1))));
    assert_eq!(outbox, [(Name::from(HOLDER), ended)]);
}

/// Guards against a new holder that counts an engine as idle: the node must report its running
/// requests to it and repeat the requests for admission that the previous holder had queued.
#[test]
fn a_new_holder_receives_running_and_queued_requests() {
    let mut dispatcher = dispatcher_with_remote_holder();
    dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 500));
    dispatcher.handle_admission_response(
        ms(1),
        &Name::from(HOLDER),
        admission_response(1, AdmissionDecision::Granted),
    );
    dispatcher.submit(ms(1), adapter_job(2, ms(1), "hot", 500));
    dispatcher.handle_admission_response(
        ms(2),
        &Name::from(HOLDER),
        admission_response(2, AdmissionDecision::Queued),
    );
    dispatcher.take_holder_messages();
    let mut new_placement = placement(ENGINE, &["hot"], 1);
    new_placement.fencing_token = 2;
    dispatcher.apply_placement(ms(10), &node_id(5), &new_placement);
    dispatcher.dispatch_waiting(ms(10));
    let outbox = dispatcher.take_holder_messages();
    assert!(outbox.iter().all(|(to, _)| *to == node_id(5)), "{outbox:?}");
    let mut admission = admission_controller();
    for (_, message) in outbox {
        match message {
            HolderMessage::AdmissionRequest(request) => {
                assert_eq!(
                    admission.handle_request(ms(10), &node_id(1), &request).response.decision,
                    AdmissionDecision::Granted
                );
            }
            HolderMessage::ProgressReport(report) => {
                admission.handle_progress(ms(10), &node_id(1), &report)
            }
        }
    }
    assert_eq!(admission.engine_loads(ms(10))[0].in_flight, 2);
    dispatcher.record_outcome(ms(20), JobId(1), SendOutcome::Served);
}

proptest! {
    /// Guards against slots that are leaked or counted twice when datagrams are lost, repeated or
    /// late: after any sequence of messages, the load returns to zero once the deadlines of all
    /// requests have passed.
    #[test]
    fn the_load_returns_to_zero_after_any_sequence_of_messages(
        events in prop::collection::vec((0_u64..6, 0_usize..3, 0_u8..7, 0_u64..40), 1..120)
    ) {
        let mut admission = admission_controller();
        let mut now = 0;
        for (id, from, kind, pause) in events {
            now += pause;
            let job = JobId(id);
            let event = match kind {
                0 | 1 => {
                    admission.handle_request(ms(now), &node_id(from), &admission_request(id, ms(now), 900));
                    continue;
                }
                2 => ProgressEvent::FirstOutput(job),
                3 => ProgressEvent::Ended(job),
                4 => ProgressEvent::EngineFull(job),
                5 => ProgressEvent::Running { job, adapter: None, time_left: Duration::from_secs(3) },
                _ => {
                    admission.admit_waiting(ms(now));
                    admission.remove_node(&node_id(from));
                    continue;
                }
            };
            admission.handle_progress(ms(now), &node_id(from), &progress_report(event));
        }
        prop_assert!(admission.engine_loads(ms(now))[0].in_flight <= 18, "three nodes have six requests each");
        admission.admit_waiting(ms(now + 20_000));
        let load = &admission.engine_loads(ms(now + 40_000))[0];
        prop_assert_eq!((load.in_flight, load.pending_prompt_tokens, load.queued_prompt_tokens), (0, 0, 0));
        prop_assert!(load.adapters.is_empty());
        prop_assert_eq!(admission.waiting(), 0);
    }
}

/// Guards against requests that wait in a node until its process ends: a node that is about to stop
/// must reject those in its queue and those at holders, send no request on a late grant, and return
/// that slot to the holder.
#[test]
fn a_stopping_node_rejects_waiting_requests_and_returns_late_grants() {
    let mut dispatcher = dispatcher_with_remote_holder();
    assert_eq!(dispatcher.submit(ms(0), adapter_job(1, ms(0), "hot", 100)), None);
    assert_eq!(dispatcher.submit(ms(0), adapter_job(2, ms(0), "absent", 100)), None);
    assert_eq!(take_requested_jobs(&mut dispatcher), [JobId(1)]);
    let mut rejected = dispatcher.stop();
    rejected.sort_by_key(|(id, _)| *id);
    assert_eq!(rejected.iter().map(|(id, _)| id.0).collect::<Vec<u64>>(), [1, 2]);
    let is_stopping = |decision: &DispatchDecision| {
        matches!(decision, DispatchDecision::Reject { reason: RejectReason::Stopping, .. })
    };
    assert!(rejected.iter().all(|(_, decision)| is_stopping(decision)), "{rejected:?}");
    assert_eq!(dispatcher.waiting(), 0);
    let ended = |dispatcher: &mut Dispatcher| {
        dispatcher.take_holder_messages().into_iter().any(|(_, message)| {
            let HolderMessage::ProgressReport(report) = message else { return false };
            report.event == ProgressEvent::Ended(JobId(1))
        })
    };
    assert!(ended(&mut dispatcher), "the holder still counts the request");
    let granted = admission_response(1, AdmissionDecision::Granted);
    assert_eq!(dispatcher.handle_admission_response(ms(5), &Name::from(HOLDER), granted), None);
    assert!(ended(&mut dispatcher), "the slot of the late grant is not returned");
    let late = dispatcher.submit(ms(10), adapter_job(3, ms(10), "hot", 100));
    assert!(late.as_ref().is_some_and(is_stopping), "{late:?}");
    assert_eq!(dispatcher.in_flight(), 0);
}

/// Guards against a request that gets an error from a stopping node because its upstream failed: an
/// upstream may have executed it, so that it can't be rejected, and another one may still serve it.
#[test]
fn a_stopping_node_still_retries_requests_that_were_sent() {
    let retry = |id: u64, adapter: &str| Job {
        possibly_executed: true,
        ..adapter_job(id, ms(0), adapter, 100)
    };
    let mut dispatcher = dispatcher_with_remote_holder();
    assert_eq!(dispatcher.submit(ms(0), retry(1, "hot")), None);
    assert_eq!(dispatcher.submit(ms(0), retry(2, "absent")), None);
    assert_eq!(dispatcher.stop(), []);
    assert_eq!(dispatcher.waiting(), 2);
    let granted = admission_response(1, AdmissionDecision::Granted);
    let sent = dispatcher.handle_admission_response(ms(5), &Name::from(HOLDER), granted);
    assert!(matches!(sent, Some((JobId(1), DispatchDecision::Send { .. }))), "{sent:?}");
    assert_eq!(dispatcher.submit(ms(10), retry(3, "hot")), None);
    assert_eq!(dispatcher.waiting(), 2);
}
