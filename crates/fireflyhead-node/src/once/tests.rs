//! Outcomes and tokens on their way between nodes.

use fireflyhead_core::once::OnceReply;
use fireflyhead_core::once::PlacementToken;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::once::StoredOutcome;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Outcome;
use fireflyhead_schema::messages;

use super::outcome_from_wire;
use super::outcome_to_wire;
use super::reply_to_wire;
use super::token_from_wire;
use super::token_to_wire;
use super::wire::reply_from_wire;

fn token() -> PlacementToken {
    let node = |id: &str| NodeRef { id: id.into(), incarnation: 3 };
    PlacementToken {
        home: node("a"),
        witness: Some(node("b")),
        home_tick_ms: 5,
        witness_tick_ms: 6,
        mac: vec![1; 16],
    }
}

/// Guards against an unknown outcome that another node takes for `not_run`.
#[test]
fn replies_keep_their_meaning_between_nodes() {
    let id = RequestId::new(token(), "x").unwrap();
    let stored = StoredOutcome {
        outcome: Outcome::Answered,
        status: 201,
        headers: vec![("content-type".into(), "a/b".into())],
        body: "body".into(),
    };
    let bare = |outcome| OnceReply::Stored(StoredOutcome::bare(outcome));
    let cases = [
        (OnceReply::Stored(stored.clone()), OnceReply::Stored(stored)),
        (OnceReply::NotRun, bare(Outcome::NotRun)),
        (OnceReply::Unknown, bare(Outcome::OutcomeUnknown)),
        (OnceReply::Expired, bare(Outcome::OutcomeUnknown)),
        (OnceReply::Joined, bare(Outcome::OutcomeUnknown)),
    ];
    for (reply, expected) in cases {
        let wire = reply_to_wire(&id, &reply);
        assert_eq!(reply_from_wire(wire.outcome.unwrap()), expected, "{reply:?}");
    }
    assert_eq!(token_from_wire(token_to_wire(&token())).unwrap(), token());
}

/// Guards against malformed outcomes that are stored as if they were complete.
#[test]
fn malformed_outcomes_are_refused() {
    let id = RequestId::new(token(), "x").unwrap();
    let good = outcome_to_wire(&id, &StoredOutcome::bare(Outcome::NotRun));
    let cases = [
        ("no outcome", messages::StoredOutcome { outcome: 0, ..good.clone() }),
        ("unknown outcome", messages::StoredOutcome { outcome: 9, ..good.clone() }),
        ("status", messages::StoredOutcome { status: 70_000, ..good.clone() }),
    ];
    for (name, wire) in cases {
        assert!(outcome_from_wire(wire.clone()).is_err(), "{name}");
        assert_eq!(reply_from_wire(wire), OnceReply::Unknown, "{name}");
    }
    assert!(outcome_from_wire(good).is_ok());
}
