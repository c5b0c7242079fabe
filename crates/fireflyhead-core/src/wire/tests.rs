//! Tests of the conversions: nothing is lost, and malformed values are refused.

use fireflyhead_schema::messages;

use crate::types::AdapterKey;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Outcome;
use crate::types::OwnerRecord;
use crate::types::UpstreamAdvert;
use crate::wire;
use crate::wire::NamedAdvert;
use crate::wire::WireError;

fn member() -> Member {
    Member {
        node: NodeRef { id: Name::from("n1"), incarnation: 7 },
        zone: Name::from("z"),
        caller_address: Name::from("127.0.0.1:1"),
        peer_address: Name::from("127.0.0.1:2"),
        state: MemberState::Leaving,
    }
}

/// Guards against a field that one direction of a conversion forgets.
#[test]
fn values_survive_a_round_trip() {
    let member = member();
    assert_eq!(Member::try_from(messages::Member::from(&member)), Ok(member.clone()));
    let record = OwnerRecord { owner: member.node, fencing: 3, operation: Name::from("op") };
    assert_eq!(OwnerRecord::try_from(messages::OwnerRecord::from(&record)), Ok(record));
    let advert = UpstreamAdvert {
        queue_delay_ms: [1, 2, 3],
        in_flight: 4,
        queued: 5,
        load_delay_ms: 6,
        full: true,
    };
    let named = NamedAdvert { upstream: Name::from("u"), advert };
    assert_eq!(NamedAdvert::try_from(messages::UpstreamAdvert::from(&named)), Ok(named));
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::OutcomeUnknown] {
        assert_eq!(Outcome::try_from(messages::Outcome::from(outcome)), Ok(outcome));
    }
}

/// Guards against state machines that see half-filled messages.
#[test]
fn malformed_values_are_refused() {
    let mut no_node = messages::Member::from(&member());
    no_node.node = None;
    assert_eq!(Member::try_from(no_node), Err(WireError::Missing("member.node")));
    let mut bad_state = messages::Member::from(&member());
    bad_state.state = 99;
    assert_eq!(Member::try_from(bad_state), Err(WireError::Invalid("member.state")));
    let empty = messages::AdapterKey::default();
    assert_eq!(AdapterKey::try_from(empty), Err(WireError::Missing("adapter.name")));
    let short = messages::UpstreamAdvert { upstream: "u".to_owned(), ..Default::default() };
    let short = NamedAdvert::try_from(short);
    assert_eq!(short, Err(WireError::Invalid("advert.queue_delay_ms")));
    assert_eq!(wire::rank_from_wire(3), Err(WireError::Invalid("rank")));
    assert_eq!(
        Outcome::try_from(messages::Outcome::Unspecified),
        Err(WireError::Missing("outcome"))
    );
}
