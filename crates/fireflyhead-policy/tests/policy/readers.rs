//! Nodes that read the store for the others of their zone, and the feeds of changes that they send.

use std::collections::HashMap;

use fireflyhead_policy::Name;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::era::Position;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::FeedFilter;
use fireflyhead_policy::readers::FeedOutcome;
use fireflyhead_policy::readers::READERS_PER_ZONE;
use fireflyhead_policy::readers::ReaderCandidate;
use fireflyhead_policy::readers::WatchProgress;
use fireflyhead_policy::readers::is_reader;
use proptest::prelude::*;

use crate::setup::upstream_entry;

fn reader_candidate(name: &str, capacity: u32) -> ReaderCandidate {
    ReaderCandidate { node: Name::from(name), capacity }
}

fn item(revision: u64) -> Item {
    Item { key: Name::from(format!("k{revision}")), value: None, revision, lease: 0 }
}

/// Returns a position in the first era.
fn known(revision: u64) -> Position {
    Position { era: Era::FIRST, revision }
}

/// Returns a feed with one change for each revision after `from` up to `to`.
fn feed(from: u64, to: u64) -> Feed {
    Feed {
        era: Era::FIRST,
        from,
        to,
        since_outage: None,
        items: (from + 1..=to).map(item).collect(),
    }
}

/// Guards against a zone without a reader, and against a store that every node reads: all nodes
/// agree on two readers, those with the largest hosts, and the next largest replaces a reader that
/// is lost.
#[test]
fn a_zone_has_two_readers() {
    let mut zone: Vec<ReaderCandidate> =
        (0..26).map(|n| reader_candidate(&format!("node-{n}"), 120 + (n % 5) * 90)).collect();
    while !zone.is_empty() {
        let readers: Vec<&ReaderCandidate> = zone
            .iter()
            .filter(|own| is_reader(own, zone.iter().filter(|other| *other != *own)))
            .collect();
        assert_eq!(readers.len(), READERS_PER_ZONE.min(zone.len()));
        let lowest_capacity = readers.iter().map(|reader| reader.capacity).min();
        assert!(
            zone.iter().filter(|c| Some(c.capacity) > lowest_capacity).count() < READERS_PER_ZONE
        );
        let lost = readers[0].node.clone();
        zone.retain(|candidate| candidate.node != lost);
    }
}

/// Guards against changes that are applied twice or skipped when feeds are lost, repeated or
/// received from two readers.
#[test]
fn a_feed_is_applied_only_without_a_gap() {
    assert_eq!(feed(5, 7).changes_after(known(5)), FeedOutcome::Apply(vec![item(6), item(7)], 7));
    assert_eq!(feed(5, 7).changes_after(known(6)), FeedOutcome::Apply(vec![item(7)], 7));
    assert_eq!(feed(5, 7).changes_after(known(9)), FeedOutcome::Apply(Vec::new(), 9));
    assert_eq!(feed(5, 7).changes_after(known(4)), FeedOutcome::Gap);
    // A reader sends this feed instead of changes that do not fit into a datagram.
    let without_items =
        Feed { era: Era::FIRST, from: 7, to: 7, since_outage: None, items: Vec::new() };
    assert_eq!(without_items.changes_after(known(5)), FeedOutcome::Gap);
}

/// Guards against nodes that wait for the reader's next feed although it has announced a change that is
/// too large for one: some of them know more than the reader.
#[test]
fn an_announced_change_is_a_gap_for_each_node() {
    for revision in [0, 5, 7_000] {
        assert_eq!(
            Feed::gap(Era::FIRST, u64::MAX).changes_after(known(revision)),
            FeedOutcome::Gap
        );
    }
}

/// Guards against changes that are compared by their revisions although the store was restored
/// between.
#[test]
fn feeds_of_other_eras_are_not_applied() {
    let later = Era::new(2);
    let restored = Position { era: later, revision: 5 };
    assert_eq!(Feed { era: later, ..feed(5, 7) }.changes_after(known(9)), FeedOutcome::Gap);
    assert_eq!(feed(5, 7).changes_after(restored), FeedOutcome::Outdated);
    let items = vec![item(6), item(7)];
    let applied = Feed { era: later, ..feed(5, 7) }.changes_after(restored);
    assert_eq!(applied, FeedOutcome::Apply(items, 7));
}

/// Guards against a node of the zone that never learns that an upstream drains, returns or starts
/// anew, and against feeds with each periodic write of an upstream.
#[test]
fn a_feed_holds_each_change_of_a_published_state() {
    let id = Name::from("engine-1");
    let ready = || upstream_entry("engine-1", "models", 64);
    let draining = UpstreamEntry { state: UpstreamState::Draining, ..ready() };
    let mut filter = FeedFilter::default();
    filter.replace(&HashMap::from([(id.clone(), ready())]));
    let mut rewritten = ready();
    rewritten.models.clear();
    assert!(!filter.apply(&id, Some(&rewritten)), "nothing that others need has changed");
    assert!(filter.apply(&id, Some(&draining)));
    assert!(!filter.apply(&id, Some(&draining)));
    assert!(filter.apply(&id, None));
    assert!(filter.apply(&id, Some(&draining)), "listed again");
    let restarted = UpstreamEntry { incarnation: 2, ..draining };
    assert!(filter.apply(&id, Some(&restarted)));
    filter.replace(&HashMap::new());
    assert!(filter.apply(&id, Some(&restarted)));
}

proptest! {
    /// Guards against changes that are lost, repeated or out of order when the feeds of two readers
    /// interleave: a node that reads the store itself at each gap applies every change once and in
    /// the order of the revisions.
    #[test]
    fn every_change_is_applied_once_and_in_order(
        steps in prop::collection::vec((0_u64..6, 0_u64..6, prop::bool::weighted(0.8)), 1..60)
    ) {
        let mut after = 0;
        let mut applied = Vec::new();
        // Revision up to which each reader has sent feeds.
        let (mut first_sent, mut second_sent) = (0, 0);
        for (by_first, by_second, delivered) in steps {
            let feeds =
                [(first_sent, first_sent + by_first), (second_sent, second_sent + by_second)];
            (first_sent, second_sent) = (first_sent + by_first, second_sent + by_second);
            for (from, to) in feeds.into_iter().filter(|_| delivered) {
                match feed(from, to).changes_after(known(after)) {
                    FeedOutcome::Apply(items, to) => {
                        applied.extend(items.iter().map(|item| item.revision));
                        after = to;
                    }
                    FeedOutcome::Gap => {
                        applied.extend(after + 1..=to);
                        after = to;
                    }
                    FeedOutcome::Outdated => prop_assert!(false, "all feeds are of one era"),
                }
            }
        }
        prop_assert_eq!(applied, (1..=after).collect::<Vec<u64>>());
    }
}

/// Guards against a node that takes a reply which the store has cut short for the present state, and
/// against one that never catches up because some change is always new.
#[test]
fn a_watch_is_complete_once_a_reply_is_not_cut_short() {
    let mut progress = WatchProgress::default();
    assert!(!progress.record_reply(3), "the pages of a full read are no snapshot");
    assert!(progress.record_reply(0));
    for _ in 0..20 {
        assert!(progress.record_reply(10));
    }
    assert!(!progress.record_reply(290));
    assert!(!progress.record_reply(290));
    assert!(!progress.record_reply(150));
    assert!(progress.record_reply(12));
    progress.record_gap();
    assert!(progress.is_behind());
    assert!(!progress.record_reply(40), "a store with a lower limit");
    assert!(!progress.record_reply(40));
    assert!(progress.record_reply(7));
}
