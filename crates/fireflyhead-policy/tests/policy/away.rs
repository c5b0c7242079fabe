//! Upstreams that want no requests for a time, and what becomes of the requests meanwhile.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::RejectReason;

use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::place_adapters;
use crate::setup::plain_job;
use crate::setup::test_node;

/// Returns the upstream to which a request is sent.
fn target(decision: Option<DispatchDecision>) -> Option<Name> {
    match decision? {
        DispatchDecision::Send { upstream, .. } => Some(upstream.id.clone()),
        DispatchDecision::Reject { .. } => None,
    }
}

/// Guards against requests to an upstream that wants none, also one that restarted or whose time is
/// over, and against a shorter time that replaces a longer one.
#[test]
fn an_upstream_is_spared_for_the_longest_time_that_it_named() {
    let mut node = test_node(0, 2);
    let away = Name::from("desk-0");
    assert!(node.record_retry_after(ms(0), &away, 1, Duration::from_secs(3)));
    assert!(!node.record_retry_after(ms(10), &away, 1, Duration::from_millis(100)));
    assert!(!node.record_retry_after(ms(10), &away, 7, Duration::from_secs(60)), "another start");
    for n in 0..8 {
        let sent = target(node.submit(ms(2_900), plain_job(n, ms(2_900), 1)));
        assert_eq!(sent.as_ref().map(Name::as_str), Some("desk-1"), "{n}");
    }
    assert!(!node.is_away(ms(3_010), "desk-0"));
    let sent = target(node.submit(ms(3_010), plain_job(9, ms(3_010), 1)));
    assert_eq!(sent, Some(away), "the idle one is preferred");
}

/// Guards against requests that wait although no upstream wants them in time, and against those that
/// are rejected although they could be on time.
#[test]
fn requests_are_rejected_at_once_if_no_upstream_wants_them_in_time() {
    let mut node = test_node(0, 2);
    let (first, second) = (Name::from("desk-0"), Name::from("desk-1"));
    node.record_retry_after(ms(0), &first, 1, Duration::from_secs(3));
    node.record_retry_after(ms(0), &second, 1, Duration::from_secs(2));
    for n in 0..20 {
        let decision = node.submit(ms(100), plain_job(n, ms(100), 1));
        let Some(DispatchDecision::Reject { reason, retry_after }) = decision else {
            panic!("{decision:?}")
        };
        assert_eq!(reason, RejectReason::UpstreamsAway);
        assert!((1.9..2.9).contains(&retry_after.as_secs_f64()), "{retry_after:?}");
    }
    assert_eq!(node.submit(ms(1_800), plain_job(30, ms(1_800), 1)), None, "waits for 200 ms");
    let decided = node.dispatch_waiting(ms(2_000));
    let sent = decided.into_iter().next().and_then(|(_, decision)| target(Some(decision)));
    assert_eq!(sent, Some(second));
}

/// Guards against a request that waits at the holder of an engine which wants none or leaves, while
/// another engine holds the adapter.
#[test]
fn a_request_that_waits_for_an_engine_moves_when_it_is_away() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    // Fills the prompt window of the only engine with the adapter.
    for n in 0..3 {
        node.submit(ms(0), adapter_job(n, ms(0), "a1", 2_400));
    }
    assert!(node.waiting() > 0);
    place_adapters(&mut node, "engine-1", &["a1"]);
    node.record_retry_after(ms(20), &Name::from("engine-0"), 1, Duration::from_secs(3));
    let moved = node.dispatch_waiting(ms(30));
    let targets: Vec<Name> =
        moved.into_iter().filter_map(|(_, decision)| target(Some(decision))).collect();
    assert!(!targets.is_empty());
    assert!(targets.iter().all(|target| target.as_str() == "engine-1"), "{targets:?}");
}
