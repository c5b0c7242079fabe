//! Upstreams over outages of the store.

use std::collections::HashMap;

use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::Fleet;
use fireflyhead_policy::fleet::FleetChange;

use crate::setup::ms;
use crate::setup::upstream_entry;

fn with_one() -> (Fleet, Name) {
    let mut fleet = Fleet::default();
    let id = Name::from("engine-1");
    let changes = fleet.apply(ms(0), &id, Some(upstream_entry("engine-1", "models", 64)));
    assert!(matches!(changes[..], [FleetChange::Listed(_)]));
    (fleet, id)
}

/// Guards against a heartbeat that looks like a change.
#[test]
fn an_entry_without_change_is_no_news() {
    let (mut fleet, id) = with_one();
    assert!(fleet.apply(ms(10), &id, Some(upstream_entry("engine-1", "models", 64))).is_empty());
}

/// Guards against requests to an upstream that has left.
#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let (mut fleet, id) = with_one();
    assert_eq!(fleet.apply(ms(10), &id, None), vec![FleetChange::Removed(id.clone())]);
    assert!(fleet.get("engine-1").is_none());
}

/// Guards against an outage that empties the deployment: leases run out while the store is
/// away, and all entries vanish from the first read after its return.
#[test]
fn entries_that_lapse_in_an_outage_stay_until_they_had_time_to_return() {
    let (mut fleet, id) = with_one();
    fleet.start_outage();
    fleet.end_outage(ms(5_000));
    assert!(fleet.replace(ms(5_010), &HashMap::new()).is_empty());
    assert!(fleet.remove_lapsed(ms(7_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
    assert_eq!(fleet.remove_lapsed(ms(7_300)), vec![FleetChange::Removed(id)]);
}

/// Guards against a live upstream that is dropped although it came back.
#[test]
fn an_entry_that_returns_in_time_stays() {
    let (mut fleet, id) = with_one();
    fleet.start_outage();
    fleet.end_outage(ms(5_000));
    fleet.apply(ms(5_010), &id, None);
    fleet.apply(ms(6_000), &id, Some(upstream_entry("engine-1", "models", 64)));
    assert!(fleet.remove_lapsed(ms(8_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
}

/// Guards against a log line for each adapter that an engine loads.
#[test]
fn new_adapters_are_an_update() {
    let (mut fleet, id) = with_one();
    let mut changed = upstream_entry("engine-1", "models", 64);
    changed.models.clear();
    let changes = fleet.apply(ms(10), &id, Some(changed));
    assert!(matches!(changes[..], [FleetChange::Updated(_)]));
}

/// Guards against state that outlives a restart under the same id.
#[test]
fn a_new_start_is_news() {
    let (mut fleet, id) = with_one();
    let mut restarted = upstream_entry("engine-1", "models", 64);
    restarted.incarnation = 2;
    let changes = fleet.apply(ms(10), &id, Some(restarted));
    assert!(matches!(&changes[..], [FleetChange::Listed(entry)] if entry.incarnation == 2));
}
