//! Liveness of peers, from their heartbeats.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::message::Activity;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::message::UpstreamLoad;
use fireflyhead_policy::peers::HeartbeatIntervals;
use fireflyhead_policy::peers::Peers;

use crate::setup::ms;

/// Returns a heartbeat of `node-2`.
fn heartbeat(incarnation: u64, seq: u64, state: NodeState) -> Heartbeat {
    let address = "127.0.0.1:7380".parse().expect("a socket address");
    Heartbeat {
        node: Name::from("node-2"),
        incarnation,
        seq,
        zone: Name::from("zone-1"),
        caller_address: address,
        peer_address: address,
        state,
        capacity: 250,
        adapter_loads_in_progress: 0,
        upstream_loads: Vec::new(),
        placements: Some(Vec::new()),
        activity: None,
    }
}

/// Guards against an older state of a peer that replaces a newer one, when datagrams arrive out of
/// order or twice.
#[test]
fn older_and_repeated_heartbeats_are_dropped() {
    let mut peers = Peers::default();
    assert!(peers.record_heartbeat(ms(0), heartbeat(1, 5, NodeState::Ready)));
    assert!(!peers.record_heartbeat(ms(1), heartbeat(1, 4, NodeState::Ready)));
    assert!(!peers.record_heartbeat(ms(2), heartbeat(1, 5, NodeState::Ready)));
    assert!(
        peers.record_heartbeat(ms(3), heartbeat(2, 1, NodeState::Ready)),
        "a restarted node numbers its heartbeats from 1 again"
    );
}

/// Guards against callers that are sent to a node that was killed, is paused or shuts down.
#[test]
fn unreachable_and_leaving_nodes_are_not_ready() {
    let mut peers = Peers::default();
    peers.record_heartbeat(ms(0), heartbeat(1, 1, NodeState::Ready));
    assert_eq!(peers.ready(ms(1_000)).count(), 1);
    assert_eq!(peers.ready(ms(1_300)).count(), 0);
    assert_eq!(peers.prune_and_list_unreachable(ms(1_300)), vec![Name::from("node-2")]);
    peers.record_heartbeat(ms(2_000), heartbeat(1, 2, NodeState::Leaving));
    assert_eq!((peers.ready(ms(2_001)).count(), peers.live(ms(2_001)).count()), (0, 1));
}

/// Guards against live nodes that count as unreachable in a large deployment, where heartbeats to
/// other zones are 2.2 s apart.
#[test]
fn the_silence_timeout_grows_with_the_heartbeat_interval() {
    let mut peers = Peers::default();
    peers.record_heartbeat(ms(0), heartbeat(1, 1, NodeState::Ready));
    let intervals = |ms| {
        let regular = Duration::from_millis(ms);
        HeartbeatIntervals { regular, idle: regular }
    };
    peers.set_heartbeat_intervals(intervals(500));
    assert_eq!(peers.ready(ms(1_300)).count(), 0);
    peers.set_heartbeat_intervals(intervals(2_200));
    assert_eq!(peers.ready(ms(4_800)).count(), 1);
    assert_eq!(peers.ready(ms(5_000)).count(), 0);
}

/// Guards against nodes that serve no callers and count as unreachable between their heartbeats,
/// which are seldom, and against ones that serve callers and are noticed as late as those.
#[test]
fn nodes_that_serve_callers_are_missed_sooner() {
    let intervals =
        HeartbeatIntervals { regular: Duration::from_millis(400), idle: Duration::from_secs(4) };
    let with = |serving| Heartbeat {
        activity: Some(Activity { serving, ..Activity::default() }),
        upstream_loads: vec![UpstreamLoad::default()],
        ..heartbeat(1, 1, NodeState::Ready)
    };
    for (own_serving, peer_serving, is_live) in
        [(false, false, true), (false, true, false), (true, false, false), (true, true, false)]
    {
        let mut peers = Peers::default();
        peers.set_heartbeat_intervals(intervals);
        peers.set_serving(ms(0), own_serving);
        peers.record_heartbeat(ms(10_000), with(peer_serving));
        assert!(peers.is_alive(ms(11_000), "node-2"));
        assert_eq!(peers.is_alive(ms(11_500), "node-2"), is_live, "{own_serving} {peer_serving}");
        assert!(!peers.is_alive(ms(19_100), "node-2"));
    }
    let mut peers = Peers::default();
    peers.set_heartbeat_intervals(intervals);
    peers.record_heartbeat(ms(10_000), with(false));
    peers.set_serving(ms(13_000), true);
    assert!(peers.is_alive(ms(13_100), "node-2"), "the peer has not learned of the change yet");
}
