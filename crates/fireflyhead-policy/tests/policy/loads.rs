//! Dispatch decisions of one node under single load patterns.

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

/// Returns the id of the upstream that a request is sent to; `None` if it waits or is rejected.
fn target_upstream(decision: Option<&DispatchDecision>) -> Option<String> {
    match decision {
        Some(DispatchDecision::Send { upstream, .. }) => Some(upstream.id.to_string()),
        Some(DispatchDecision::Reject { .. }) | None => None,
    }
}

/// Guards against head-of-line blocking: a request that waits until its adapter is loaded must not
/// delay later requests for adapters that are loaded.
#[test]
fn a_request_for_an_absent_adapter_does_not_block_later_requests() {
    let mut node = test_node(3, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    assert_eq!(node.submit(ms(0), adapter_job(1, ms(0), "rare", 500)), None);
    let hot = node.submit(ms(0), adapter_job(2, ms(0), "hot", 500));
    assert_eq!(target_upstream(hot.as_ref()).as_deref(), Some("engine-0"));
    let requests = node.due_adapter_requests(ms(0), &Name::from("node-1"));
    assert_eq!(requests.len(), 1);
    let preferred = requests[0].upstream.to_string();
    place_adapters(&mut node, &preferred, &["rare"]);
    let decided = node.dispatch_waiting(ms(250));
    assert_eq!(decided.len(), 1);
    assert_eq!(target_upstream(Some(&decided[0].1)), Some(preferred));
}

/// Guards against a request that waits for its adapter at an engine that refused it, to which it is not
/// sent again: another engine must load the adapter.
#[test]
fn an_adapter_is_loaded_for_a_request_where_it_was_not_refused() {
    let mut node = test_node(3, 0);
    node.submit(ms(0), adapter_job(1, ms(0), "rare", 500));
    let first = node.due_adapter_requests(ms(0), &Name::from("node-1"))[0].upstream.clone();
    let refused = Job { tried: vec![first.clone()], ..adapter_job(2, ms(0), "rare", 500) };
    assert_eq!(node.submit(ms(1), refused), None);
    let requests = node.due_adapter_requests(ms(1), &Name::from("node-1"));
    assert!(requests.iter().any(|request| request.upstream != first), "{requests:?}");
}

/// Guards against a rare adapter that is loaded at several engines because nodes prefer different
/// engines for it, and against a few engines that are preferred for most adapters.
#[test]
fn nodes_agree_on_the_preferred_engine_of_an_adapter() {
    let preferred_by_each_node = |adapter: &str| {
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
        let preferred = preferred_by_each_node(&format!("a{n}"));
        assert!(preferred.iter().all(|engine| *engine == preferred[0]), "a{n}: {preferred:?}");
        used.insert(preferred[0].clone());
    }
    assert!(used.len() > 12, "only {} engines are preferred for 60 adapters", used.len());
}

/// Guards against avoidable loads from the adapter store, which are the scarcest resource when many
/// rare adapters are requested: an engine that held an evicted adapter recently can load it again
/// without the adapter store.
#[test]
fn an_evicted_adapter_is_requested_from_the_engine_that_held_it() {
    for n in 0..40 {
        let mut node = test_node(6, 0);
        let adapter = format!("a{n}");
        node.submit(ms(0), adapter_job(1, ms(0), &adapter, 500));
        let first = node.due_adapter_requests(ms(0), &Name::from("node"))[0].upstream.clone();
        node.cancel(JobId(1));
        // The request failed at the preferred engine, so the second in the order of preference
        // loads the adapter and evicts it later.
        let retry = Job { tried: vec![first.clone()], ..adapter_job(2, ms(4_000), &adapter, 500) };
        node.submit(ms(4_000), retry);
        let second =
            node.due_adapter_requests(ms(4_000), &Name::from("node"))[0].upstream.to_string();
        assert_ne!(second, first.as_str());
        place_adapters(&mut node, &second, &[&adapter]);
        node.dispatch_waiting(ms(4_250));
        place_adapters(&mut node, &second, &[]);
        node.submit(ms(9_000), adapter_job(3, ms(9_000), &adapter, 500));
        let requests = node.due_adapter_requests(ms(9_000), &Name::from("node"));
        assert_eq!(
            requests[0].upstream.as_str(),
            second,
            "{adapter} is loaded from the adapter store again"
        );
    }
}

/// Guards against rare adapters that are evicted to make room for unnecessary replicas: one engine
/// serves an adapter well enough until several requests use it at the same time.
#[test]
fn only_adapters_with_many_requests_get_replicas() {
    let mut node = test_node(6, 0);
    place_adapters(&mut node, "engine-0", &["warm"]);
    node.submit(ms(0), adapter_job(1, ms(0), "warm", 2_400));
    // The engine has a backlog, but no other requests use the adapter.
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
    assert_eq!(requests.len(), 1, "no replica requested although six requests use the adapter");
}

/// Guards against pauses in running streams: an engine processes prompts between the steps of its
/// streams, so several prompts at one engine must be spread over the replicas and over time.
#[test]
fn prompts_are_spread_over_replicas_and_paced() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    place_adapters(&mut node, "engine-1", &["hot"]);
    let sent: Vec<Option<String>> = (0..6)
        .map(|n| target_upstream(node.submit(ms(n), adapter_job(n, ms(n), "hot", 1_200)).as_ref()))
        .collect();
    let on = |id: &str| sent.iter().flatten().filter(|sent| *sent == id).count();
    assert_eq!((on("engine-0"), on("engine-1")), (2, 2), "{sent:?}");
    // After 390 ms both engines have processed their prompts.
    (0..6).for_each(|n| node.record_first_output(ms(390), JobId(n)));
    assert_eq!(node.dispatch_waiting(ms(400)).len(), 2);
}

/// Guards against requests that are late only because of the pacing: after 0.45 of its objective, a
/// request waits only for prompts that the engine has in fact not processed yet.
#[test]
fn pacing_ends_before_the_objective_of_a_request() {
    let mut node = test_node(1, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    for n in 0..8 {
        node.submit(ms(0), adapter_job(n, ms(0), "hot", 2_000));
    }
    // The engine processes prompts twice as fast as the pace.
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
        "a request is paced after 0.45 of its objective"
    );
    assert!(
        node.dispatch_waiting(ms(460)).is_empty(),
        "sent although the engine has not processed the previous prompt"
    );
    (0..=sent).for_each(|n| node.record_first_output(ms(465), JobId(n)));
    assert_eq!(node.dispatch_waiting(ms(465)).len(), 1);
}

/// Guards against an engine that is overloaded by requests of several nodes, each of which counts
/// only its own, and against load that stays counted after its node is removed.
#[test]
fn engines_loaded_by_other_nodes_are_avoided() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["hot"]);
    place_adapters(&mut node, "engine-1", &["hot"]);
    let other = Name::from("node-2");
    for n in 0..2 {
        let request = AdmissionRequest::new(
            ms(0),
            &Name::from("engine-0"),
            &adapter_job(n, ms(0), "hot", 1_200),
        );
        assert_eq!(
            node.admission.handle_request(ms(0), &other, &request).response.decision,
            AdmissionDecision::Granted
        );
    }
    for n in 2..8 {
        let running = ProgressEvent::Running {
            job: JobId(n),
            adapter: Some(Name::from("hot")),
            time_left: Duration::from_secs(10),
        };
        let report = ProgressReport { upstream: Name::from("engine-0"), event: running };
        node.admission.handle_progress(ms(0), &other, &report);
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
        "requests of a removed node are still counted"
    );
}

/// Guards against urgent requests that wait behind background requests queued before them.
#[test]
fn urgent_requests_leave_the_queue_first() {
    let mut node = test_node(0, 1);
    let sent: Vec<u64> = (0..9).collect();
    for n in &sent {
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

/// Guards against requests that are queued until their deadline although the queue before them is
/// already too long for them to be served in time.
#[test]
fn a_request_that_would_wait_past_its_deadline_is_rejected_at_once() {
    let mut node = test_node(0, 1);
    // Samples of one second set the mean service time.
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
    // Nine are sent. A slot becomes free every sixth of a second, which is enough for 24 more
    // requests within the deadline of 4 s.
    assert_eq!(rejected.len(), 60 - 9 - 24, "{} requests rejected", rejected.len());
    assert!(rejected.iter().all(|(reason, _)| *reason == RejectReason::Overload));
    assert!(rejected.iter().all(|(_, retry_after)| *retry_after >= Duration::from_millis(200)));
    assert_eq!(node.waiting(), 24);
}

/// Guards against a request that waits nearly until its deadline for an adapter that is never
/// loaded.
#[test]
fn a_request_is_rejected_if_its_adapter_is_not_loaded_in_time() {
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

/// Guards against new requests to an upstream that is draining, or to one whose connections fail.
#[test]
fn draining_and_failing_upstreams_are_avoided() {
    let mut node = test_node(0, 3);
    let mut draining = upstream_entry("desk-0", PLAIN_SERVICE, 6);
    draining.state = UpstreamState::Draining;
    node.upsert_upstream(&Arc::new(draining));
    for n in 0..3 {
        let decision = node.submit(ms(0), plain_job(100 + n, ms(0), 0));
        assert_ne!(target_upstream(decision.as_ref()).as_deref(), Some("desk-0"));
    }
    let mut last_failed = None;
    for n in 0..40 {
        let now = ms(1_000 + n);
        let decision = node.submit(now, plain_job(200 + n, now, 0));
        let outcome = match target_upstream(decision.as_ref()).as_deref() {
            Some("desk-1") => {
                last_failed = Some(n);
                SendOutcome::Failed(Failure::Connect)
            }
            Some(_) | None => SendOutcome::Served,
        };
        node.record_outcome(now, JobId(200 + n), outcome);
    }
    assert!(last_failed.is_some_and(|last| last < 20), "last request to desk-1: {last_failed:?}");
}

/// Guards against a service that is unavailable because all of its upstreams are ejected, when each
/// of them fails requests.
#[test]
fn a_service_whose_upstreams_all_fail_still_receives_requests() {
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

/// Guards against a request that starts on an old version of its adapter after the version bound,
/// and against one that waits for the new version while the old one may still be used.
#[test]
fn an_old_version_is_used_only_within_the_version_bound() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    node.set_newest_version(ms(0), &Name::from(MODEL), &Name::from("a1"), 2);
    let within_bound = node.submit(ms(1_000), adapter_job(1, ms(1_000), "a1", 100));
    assert!(matches!(within_bound, Some(DispatchDecision::Send { version: None, .. })));
    assert_eq!(node.submit(ms(3_000), adapter_job(2, ms(3_000), "a1", 100)), None);
    node.apply_placement(&placement("engine-1", &["a1"], 2));
    let decided = node.dispatch_waiting(ms(3_100));
    let Some((_, DispatchDecision::Send { upstream, version })) = decided.first() else {
        panic!("not sent: {decided:?}");
    };
    assert_eq!((upstream.id.as_str(), *version), ("engine-1", Some(2)));
}

/// Guards against a retry at the upstream that failed the request before.
#[test]
fn a_retry_goes_to_another_upstream() {
    let mut node = test_node(0, 2);
    let tried = vec![Name::from("desk-0")];
    for n in 0..4 {
        let retry = Job { tried: tried.clone(), ..plain_job(n, ms(0), 0) };
        let decision = node.submit(ms(0), retry);
        assert_eq!(target_upstream(decision.as_ref()).as_deref(), Some("desk-1"));
    }
}

/// Guards against requests for adapters that an engine lost in a restart: a placement of the
/// incarnation before the restart must have no effect, also if it arrives late.
#[test]
fn a_restarted_engine_has_no_adapters() {
    let mut node = test_node(1, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    let mut restarted = upstream_entry("engine-0", "models", 64);
    restarted.incarnation = 2;
    node.upsert_upstream(&Arc::new(restarted));
    assert_eq!(node.submit(ms(0), adapter_job(1, ms(0), "a1", 100)), None);
    // A late placement of the first incarnation is ignored.
    place_adapters(&mut node, "engine-0", &["a1"]);
    assert!(node.dispatch_waiting(ms(1)).is_empty());
}

/// Guards against an adapter that is requested from an engine whose adapter slots are all in use,
/// which can't load it for seconds. This occurs when many rare adapters are requested at once; the
/// engine next in the order of preference must load it.
#[test]
fn an_adapter_is_not_requested_from_an_engine_without_a_free_adapter_slot() {
    let mut node = test_node(6, 0);
    node.submit(ms(0), adapter_job(1, ms(0), "rare", 500));
    let preferred = node.due_adapter_requests(ms(0), &Name::from("node"))[0].upstream.clone();
    node.cancel(JobId(1));
    node.admission.set_available_adapter_slots(&preferred, 0);
    let loads = node.admission.engine_loads(ms(4_000));
    node.set_peer_loads(ms(4_000), &Name::from(NODE_ID), loads);
    node.submit(ms(4_000), adapter_job(2, ms(4_000), "rare", 500));
    let requests = node.due_adapter_requests(ms(4_000), &Name::from("node"));
    assert_ne!(requests[0].upstream, preferred);
}
