//! Ownership of quota slots: claims, the right to grant, restarts and restores.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::quota::Slot;
use fireflyhead_policy::quota::slots::QUOTA_LEASE_TTL;
use fireflyhead_policy::quota::slots::QuotaSlots;
use fireflyhead_policy::quota::slots::SlotCandidate;
use fireflyhead_policy::quota::slots::SlotRecord;

use crate::setup::ms;

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_380))
}

/// Returns the view of a node that has read an empty store.
fn slots(node: &str) -> QuotaSlots {
    let mut slots = QuotaSlots::new(Name::from(node), peer(), 7);
    slots.apply_snapshot(ms(0), &[]);
    slots.set_needed(ms(0), true);
    slots
}

fn candidates(nodes: &[(&str, bool)]) -> Vec<SlotCandidate> {
    let candidate = |(node, serving): &(&str, bool)| SlotCandidate {
        node: Name::from(*node),
        serving: *serving,
    };
    nodes.iter().map(candidate).collect()
}

fn record(node: &str, incarnation: u64, era: Era) -> Vec<u8> {
    let record = SlotRecord { node: Name::from(node), peer: peer(), incarnation, era };
    record.encode().into_bytes()
}

fn slot() -> Slot {
    Slot::new(2).expect("a slot")
}

/// Returns a node that owns the slot since a renewal that was sent at 1,000 ms.
fn owner() -> QuotaSlots {
    let mut slots = slots("node-1");
    let claims = slots.claims(ms(1_000), &candidates(&[("node-1", true)]));
    let claim = claims.into_iter().find(|claim| claim.slot == slot()).expect("it is claimed");
    assert_eq!(claim.expected_revision, 0);
    slots.record_lease(5, QUOTA_LEASE_TTL, ms(1_000));
    slots.record_claim(ms(1_100), &claim, 9, 5);
    assert!(slots.may_grant(ms(1_100), slot()));
    slots
}

/// Guards against an owner that still grants when the store gives its slot to another node.
#[test]
fn an_owner_stops_before_its_lease_ends() {
    let mut slots = owner();
    let end = ms(1_000) + QUOTA_LEASE_TTL;
    assert!(slots.may_grant(end - Duration::from_millis(600), slot()));
    assert!(!slots.may_grant(end - Duration::from_millis(400), slot()));
    slots.record_lease(5, QUOTA_LEASE_TTL, ms(4_000));
    assert!(slots.may_grant(end, slot()));
    slots.lose_lease();
    assert!(!slots.may_grant(ms(5_000), slot()));
}

/// Guards against an owner that grants after the store has removed its key or listed another owner,
/// and against one that gives up because of an older state of its key.
#[test]
fn an_owner_stops_when_the_store_lists_another() {
    let mut slots = owner();
    slots.apply(ms(1_200), slot(), None, 8, 0);
    assert!(slots.may_grant(ms(1_200), slot()));
    slots.apply(ms(1_300), slot(), Some(&record("node-2", 3, Era::FIRST)), 10, 6);
    assert!(!slots.may_grant(ms(1_300), slot()));
    assert_eq!(slots.owner(slot()).expect("an owner").node, Name::from("node-2"));
}

/// Guards against a claim whose reply was lost, which would leave the slot without an owner.
#[test]
fn a_claim_that_the_view_shows_counts() {
    let mut slots = slots("node-1");
    slots.record_lease(5, QUOTA_LEASE_TTL, ms(1_000));
    slots.apply(ms(2_000), slot(), Some(&record("node-1", 7, Era::FIRST)), 9, 5);
    assert!(slots.may_grant(ms(2_000), slot()));
    // The same under another lease is of an earlier claim, whose lease has ended.
    slots.apply(ms(2_100), slot(), Some(&record("node-1", 7, Era::FIRST)), 10, 4);
    assert!(!slots.may_grant(ms(2_100), slot()));
}

/// Guards against nodes that all claim a slot at once, and against slots at nodes without clients
/// while others have some.
#[test]
fn nodes_that_serve_claim_first_and_one_after_the_other() {
    let nodes = [("node-1", true), ("node-2", true), ("node-3", false)];
    let first_claim = |node: &str| {
        let slots = slots(node);
        let mut at = (0..20_000).step_by(100);
        at.find(|at| {
            let claims = slots.claims(ms(*at), &candidates(&nodes));
            claims.iter().any(|claim| claim.slot == slot())
        })
    };
    let mut times = [first_claim("node-1"), first_claim("node-2")];
    times.sort();
    assert_eq!(times, [Some(1_000), Some(2_500)]);
    assert_eq!(first_claim("node-3"), Some(4_000));
}

/// Guards against a second owner while the first one doesn't know yet that its key was removed before
/// its lease ended: the first one may claim the slot again before others.
#[test]
fn a_removed_key_is_claimed_by_its_last_owner_first() {
    let nodes = candidates(&[("node-1", true), ("node-2", true)]);
    let without_owner = candidates(&[("node-2", true)]);
    let is_claimed = |slots: &QuotaSlots, at: u64, nodes: &[SlotCandidate]| {
        slots.claims(ms(at), nodes).iter().any(|claim| claim.slot == slot())
    };
    let mut owner = owner();
    owner.apply(ms(5_000), slot(), None, 11, 0);
    assert!(!owner.may_grant(ms(5_000), slot()));
    assert!(is_claimed(&owner, 5_000, &nodes));
    let mut other = slots("node-2");
    other.apply(ms(2_000), slot(), Some(&record("node-1", 7, Era::FIRST)), 9, 5);
    other.apply(ms(5_000), slot(), None, 11, 0);
    assert!(!is_claimed(&other, 7_999, &nodes));
    assert!(is_claimed(&other, 9_500, &nodes));
    assert!(is_claimed(&other, 5_000, &without_owner), "the owner was killed");
}

/// Guards against a restarted node that waits for the end of its own lease, and against one that
/// takes the slot of another node.
#[test]
fn a_restarted_node_claims_its_own_slot_at_once() {
    let nodes = candidates(&[("node-1", true), ("node-2", true)]);
    for (node, expected) in [("node-1", Some(9)), ("node-2", None)] {
        let mut slots = QuotaSlots::new(Name::from("node-1"), peer(), 8);
        let value = record(node, 7, Era::FIRST);
        slots.apply_snapshot(ms(10), &[(slot(), &value, 9, 5)]);
        slots.set_needed(ms(10), true);
        let claims = slots.claims(ms(10), &nodes);
        let claim = claims.iter().find(|claim| claim.slot == slot());
        assert_eq!(claim.map(|claim| claim.expected_revision), expected);
        assert!(!slots.may_grant(ms(10), slot()));
    }
}

/// Guards against a second owner after the store was restored: an owner that knows of it stops at
/// once, and nobody claims before all others have stopped.
#[test]
fn a_restore_ends_ownership_and_delays_claims() {
    let era = Era::new(2);
    let nodes = candidates(&[("node-1", true)]);
    let mut slots = owner();
    slots.enter_era(ms(3_000), era);
    assert!(!slots.may_grant(ms(3_000), slot()));
    assert_eq!(slots.lease(), None);
    // The copy contains the key of the earlier era.
    slots.apply_snapshot(ms(3_100), &[(slot(), &record("node-1", 7, Era::FIRST), 9, 5)]);
    assert_eq!(slots.owner(slot()), None);
    let end = ms(3_000) + QUOTA_LEASE_TTL;
    assert!(slots.claims(end - Duration::from_millis(1), &nodes).is_empty());
    assert_eq!(slots.claims(end + Duration::from_millis(200), &nodes).len(), 4);
    assert!(!slots.enter_era(ms(4_000), Era::FIRST));
}

/// Guards against claims while no account has a quota, or before the store was read.
#[test]
fn nothing_is_claimed_without_need() {
    let nodes = candidates(&[("node-1", true)]);
    let mut unread = QuotaSlots::new(Name::from("node-1"), peer(), 7);
    unread.set_needed(ms(0), true);
    assert!(unread.claims(ms(60_000), &nodes).is_empty());
    let mut slots = slots("node-1");
    slots.set_needed(ms(0), false);
    assert!(slots.claims(ms(60_000), &nodes).is_empty());
}

/// Guards against records that nodes of the same build can't read, and against a panic on others.
#[test]
fn records_are_read_as_written_and_malformed_ones_have_no_owner() {
    let decoded = SlotRecord::decode(&record("node-1", 7, Era::new(3))).expect("a record");
    assert_eq!((decoded.incarnation, decoded.era, decoded.peer), (7, Era::new(3), peer()));
    for malformed in ["", "node-1", "node-1 here 7 1", "node-1 127.0.0.1:1 x 1"] {
        assert_eq!(SlotRecord::decode(malformed.as_bytes()), None);
    }
}
