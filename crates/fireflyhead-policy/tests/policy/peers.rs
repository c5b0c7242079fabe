//! Liveness of nodes.

use fireflyhead_policy::Name;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::peers::Peers;

use crate::setup::ms;

fn beat(incarnation: u64, seq: u64, state: NodeState) -> Heartbeat {
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

/// Guards against figures that go back when datagrams overtake each other.
#[test]
fn older_beats_are_dropped() {
    let mut peers = Peers::default();
    assert!(peers.record_heartbeat(ms(0), beat(1, 5, NodeState::Ready)));
    assert!(!peers.record_heartbeat(ms(1), beat(1, 4, NodeState::Ready)));
    assert!(!peers.record_heartbeat(ms(2), beat(1, 5, NodeState::Ready)));
    assert!(
        peers.record_heartbeat(ms(3), beat(2, 1, NodeState::Ready)),
        "a restarted node counts anew"
    );
}

/// Guards against callers that are sent to a node that is killed, frozen or leaving.
#[test]
fn silent_and_leaving_nodes_take_no_callers() {
    let mut peers = Peers::default();
    peers.record_heartbeat(ms(0), beat(1, 1, NodeState::Ready));
    assert_eq!(peers.ready(ms(1_000)).count(), 1);
    assert_eq!(peers.ready(ms(1_300)).count(), 0);
    assert_eq!(peers.prune(ms(1_300)), vec![Name::from("node-2")]);
    peers.record_heartbeat(ms(2_000), beat(1, 2, NodeState::Leaving));
    assert_eq!((peers.ready(ms(2_001)).count(), peers.live(ms(2_001)).count()), (0, 1));
}

/// Guards against nodes that take each other for silent in a large fleet, where beats to other
/// zones are 2.2 s apart.
#[test]
fn silence_grows_with_the_interval_of_beats() {
    let mut peers = Peers::default();
    peers.record_heartbeat(ms(0), beat(1, 1, NodeState::Ready));
    peers.set_heartbeat_interval(std::time::Duration::from_millis(500));
    assert_eq!(peers.ready(ms(1_300)).count(), 0);
    peers.set_heartbeat_interval(std::time::Duration::from_millis(2_200));
    assert_eq!(peers.ready(ms(4_800)).count(), 1);
    assert_eq!(peers.ready(ms(5_000)).count(), 0);
}
