//! Upstreams as the store lists them, also during and after an outage of the store.

use std::collections::HashMap;

use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::Fleet;
use fireflyhead_policy::fleet::FleetChange;

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
    fleet.start_outage();
    fleet.end_outage(ms(5_000));
    assert!(fleet.replace(ms(5_010), &HashMap::new()).is_empty());
    assert!(fleet.remove_lapsed(ms(7_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
    assert_eq!(fleet.remove_lapsed(ms(7_300)), vec![FleetChange::Removed(id)]);
}

/// Guards against a live upstream that is dropped at the end of the grace period although it was
/// listed again.
#[test]
fn an_entry_that_is_listed_again_within_the_grace_period_is_kept() {
    let (mut fleet, id) = fleet_with_one_upstream();
    fleet.start_outage();
    fleet.end_outage(ms(5_000));
    fleet.apply(ms(5_010), &id, None);
    fleet.apply(ms(6_000), &id, Some(upstream_entry("engine-1", "models", 64)));
    assert!(fleet.remove_lapsed(ms(8_000)).is_empty());
    assert!(fleet.get("engine-1").is_some());
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
