//! Liveness of peers, from their heartbeats.

use fireflyhead_policy::Name;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
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
    peers.set_heartbeat_interval(std::time::Duration::from_millis(500));
    assert_eq!(peers.ready(ms(1_300)).count(), 0);
    peers.set_heartbeat_interval(std::time::Duration::from_millis(2_200));
    assert_eq!(peers.ready(ms(4_800)).count(), 1);
    assert_eq!(peers.ready(ms(5_000)).count(), 0);
}
