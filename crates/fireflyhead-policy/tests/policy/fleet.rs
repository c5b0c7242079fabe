//! Upstreams as the store lists them, also during and after an outage of the store.

use std::collections::HashMap;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::Fleet;
use fireflyhead_policy::fleet::FleetChange;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;

use crate::setup::ms;
use crate::setup::upstream_entry;

/// Returns a fleet with one listed upstream, and its id.
fn fleet_with_one_upstream() -> (Fleet, Name) {
    let mut fleet = Fleet::default();
    let id = Name::from("engine-1");
    let changes = fleet.apply(ms(0), &id, Some(upstream_entry("engine-1", "models", 64)));
    assert!(matches!(changes[..], [FleetChange::Listed(_)]));
    (fleet, id)
}

/// Guards against changes that are reported for an upstream that only wrote the same entry again.
#[test]
fn an_unchanged_entry_reports_no_change() {
    let (mut fleet, id) = fleet_with_one_upstream();
    assert!(fleet.apply(ms(10), &id, Some(upstream_entry("engine-1", "models", 64))).is_empty());
}

/// Guards against requests to an upstream whose entry was removed while the store was reachable.
#[test]
fn a_removed_entry_is_dropped_at_once_without_an_outage() {
    let (mut fleet, id) = fleet_with_one_upstream();
    assert_eq!(fleet.apply(ms(10), &id, None), vec![FleetChange::Removed(id.clone())]);
    assert!(fleet.get("engine-1").is_none());
}

/// Guards against an outage of the store that removes all upstreams: their leases expire during the
/// outage, so that the first read after it lists none, although they still serve.
#[test]
fn entries_that_lapse_in_an_outage_are_kept_for_the_grace_period() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.record_store_reply(ms(1_000));
    assert_eq!(fleet.record_store_reply(ms(5_000)), Some(Duration::from_secs(4)));
    assert!(fleet.replace(ms(5_010), &HashMap::new()).is_empty());
    assert!(fleet.end_grace(ms(7_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
    assert_eq!(fleet.end_grace(ms(7_300)), vec![FleetChange::Removed(id)]);
}

/// Guards against a live upstream that is dropped at the end of the grace period although it was
/// listed again.
#[test]
fn an_entry_that_is_listed_again_within_the_grace_period_is_kept() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.record_store_reply(ms(1_000));
    assert_eq!(fleet.record_store_reply(ms(5_000)), Some(Duration::from_secs(4)));
    fleet.apply(ms(5_010), &id, None);
    fleet.apply(ms(6_000), &id, Some(upstream_entry("engine-1", "models", 64)));
    assert!(fleet.end_grace(ms(8_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
}

/// Guards against an upstream that stays in use after its entry was removed, because calls to the
/// store failed for a time in which no entry lapses, or failed only at one node.
#[test]
fn a_short_pause_in_the_replies_of_the_store_is_no_outage() {
    let (mut fleet, id) = fleet_with_one_upstream();
    for at in [0, 1_250, 3_600, 5_900] {
        assert_eq!(fleet.record_store_reply(ms(at)), None);
    }
    assert_eq!(fleet.apply(ms(5_910), &id, None), vec![FleetChange::Removed(id)]);
}

/// Guards against a live upstream that is dropped because a second outage begins before it could
/// write its entry again.
#[test]
fn lapsed_entries_are_kept_through_a_second_outage() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.record_store_reply(ms(0));
    fleet.record_store_reply(ms(5_000));
    fleet.apply(ms(5_010), &id, None);
    assert!(fleet.end_grace(ms(7_500)).is_empty());
    fleet.record_store_reply(ms(9_000));
    assert!(fleet.end_grace(ms(11_000)).is_empty());
    assert_eq!(fleet.end_grace(ms(11_300)), vec![FleetChange::Removed(id)]);
}

/// Returns the entry of the fleet's upstream with this state.
fn entry_with_state(state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry { state, ..upstream_entry("engine-1", "models", 64) }
}

/// Guards against requests to an upstream that has left, because the copy from which the store was
/// restored still lists it.
#[test]
fn an_upstream_that_left_is_not_listed_again_by_an_old_copy() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.apply(ms(1_000), &id, None);
    fleet.begin_era(ms(5_000));
    let copy = HashMap::from([(id.clone(), entry_with_state(UpstreamState::Ready))]);
    assert!(fleet.replace(ms(5_010), &copy).is_empty());
    assert!(fleet.get("engine-1").is_none());
    // A later start of the upstream is known to be newer, as is an entry that is written again.
    let mut restarted = entry_with_state(UpstreamState::Ready);
    restarted.incarnation += 1;
    assert_eq!(fleet.replace(ms(5_020), &HashMap::from([(id.clone(), restarted)])).len(), 1);
    fleet.apply(ms(5_030), &id, None);
    fleet.end_grace(ms(8_000));
    assert_eq!(fleet.apply(ms(8_010), &id, Some(entry_with_state(UpstreamState::Ready))).len(), 1);
}

/// Guards against requests to an upstream that has said that it drains, because the copy from which
/// the store was restored is older.
#[test]
fn a_draining_upstream_is_not_ready_again_by_an_old_copy() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.apply(ms(1_000), &id, Some(entry_with_state(UpstreamState::Draining)));
    fleet.begin_era(ms(5_000));
    let copy = HashMap::from([(id.clone(), entry_with_state(UpstreamState::Ready))]);
    assert!(fleet.replace(ms(5_010), &copy).is_empty());
    let state = |fleet: &Fleet| fleet.get("engine-1").map(|entry| entry.state);
    assert_eq!(state(&fleet), Some(UpstreamState::Draining));
    assert!(fleet.end_grace(ms(9_900)).is_empty());
    let still_listed = fleet.end_grace(ms(10_000));
    assert!(matches!(still_listed[..], [FleetChange::Listed(_)]));
    assert_eq!(state(&fleet), Some(UpstreamState::Ready));
}

/// Guards against live upstreams that are dropped because the copy from which the store was restored
/// is older than their entries.
#[test]
fn an_upstream_that_an_old_copy_lacks_is_kept_for_the_grace_period() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.begin_era(ms(5_000));
    assert!(fleet.replace(ms(5_010), &HashMap::new()).is_empty());
    assert!(fleet.get("engine-1").is_some());
    assert_eq!(fleet.end_grace(ms(7_300)), vec![FleetChange::Removed(id)]);
}

/// Guards against a log line for each adapter or model that an engine loads: only `Listed` and
/// `Removed` are logged.
#[test]
fn changed_models_are_reported_as_updated() {
    let (mut fleet, id) = fleet_with_one_upstream();
    let mut changed = upstream_entry("engine-1", "models", 64);
    changed.models.clear();
    let changes = fleet.apply(ms(10), &id, Some(changed));
    assert!(matches!(changes[..], [FleetChange::Updated(_)]));
}

/// Guards against state that is kept over the restart of an upstream under the same id.
#[test]
fn a_restarted_upstream_is_reported_as_listed() {
    let (mut fleet, id) = fleet_with_one_upstream();
    let mut restarted = upstream_entry("engine-1", "models", 64);
    restarted.incarnation = 2;
    let changes = fleet.apply(ms(10), &id, Some(restarted));
    assert!(matches!(&changes[..], [FleetChange::Listed(entry)] if entry.incarnation == 2));
}

/// Guards against requests to an upstream that announced that it leaves, because its entry says
/// `ready`: the one that is known, one that is written again, or that of a restored copy. A new start
/// is used, also one without a start time once the old entry was removed.
#[test]
fn an_upstream_that_announced_its_departure_drains_until_it_starts_anew() {
    let (mut fleet, id) = fleet_with_one_upstream();
    let ready = || entry_with_state(UpstreamState::Ready);
    let state = |fleet: &Fleet| fleet.get("engine-1").map(|entry| entry.state);
    let changes = fleet.record_departure(ms(10), &id, 1);
    assert!(matches!(&changes[..], [FleetChange::Listed(e)] if e.state == UpstreamState::Draining));
    assert!(fleet.record_departure(ms(20), &id, 1).is_empty(), "known already");
    let rewritten = UpstreamEntry { slots: 32, ..ready() };
    fleet.apply(ms(30), &id, Some(rewritten));
    assert_eq!(state(&fleet), Some(UpstreamState::Draining));
    fleet.apply(ms(40), &id, None);
    fleet.apply(ms(50), &id, Some(ready()));
    assert_eq!(state(&fleet), Some(UpstreamState::Draining));
    fleet.begin_era(ms(60));
    fleet.replace(ms(70), &HashMap::from([(id.clone(), ready())]));
    fleet.end_grace(ms(6_000));
    assert_eq!(state(&fleet), Some(UpstreamState::Draining));
    fleet.apply(ms(7_000), &id, Some(UpstreamEntry { incarnation: 2, ..ready() }));
    assert_eq!(state(&fleet), Some(UpstreamState::Ready));
    assert!(fleet.record_departure(ms(7_010), &id, 1).is_empty(), "of the earlier start");
    assert_eq!(state(&fleet), Some(UpstreamState::Ready));

    let unknown_start = || UpstreamEntry { incarnation: 0, ..ready() };
    fleet.apply(ms(8_000), &id, Some(unknown_start()));
    fleet.record_departure(ms(8_010), &id, 0);
    assert_eq!(state(&fleet), Some(UpstreamState::Draining), "a start with an earlier clock");
    fleet.apply(ms(8_020), &id, None);
    fleet.apply(ms(8_030), &id, Some(unknown_start()));
    assert_eq!(state(&fleet), Some(UpstreamState::Ready));
}
