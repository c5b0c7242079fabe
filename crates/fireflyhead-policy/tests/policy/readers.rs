//! Nodes that follow the store for others, and continuity of what they hand on.

use fireflyhead_policy::Name;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::readers::Feed;
use fireflyhead_policy::readers::FeedOutcome;
use fireflyhead_policy::readers::READERS_PER_ZONE;
use fireflyhead_policy::readers::ReaderCandidate;
use fireflyhead_policy::readers::is_reader;
use proptest::prelude::*;

fn candidate(name: &str, capacity: u32) -> ReaderCandidate {
    ReaderCandidate { node: Name::from(name), capacity }
}

fn item(revision: u64) -> Item {
    Item { key: Name::from(format!("k{revision}")), value: None, revision, lease: 0 }
}

fn feed(from: u64, to: u64) -> Feed {
    Feed { from, to, since_outage: None, items: (from + 1..=to).map(item).collect() }
}

/// Guards against a zone without a reader, and against every node reading: all nodes agree on
/// two, the largest hosts, and the next one takes the place of a lost one.
#[test]
fn a_zone_has_two_readers() {
    let mut zone: Vec<ReaderCandidate> =
        (0..26).map(|n| candidate(&format!("node-{n}"), 120 + (n % 5) * 90)).collect();
    while !zone.is_empty() {
        let readers: Vec<&ReaderCandidate> = zone
            .iter()
            .filter(|own| is_reader(own, zone.iter().filter(|other| *other != *own)))
            .collect();
        assert_eq!(readers.len(), READERS_PER_ZONE.min(zone.len()));
        let least = readers.iter().map(|reader| reader.capacity).min();
        assert!(zone.iter().filter(|c| Some(c.capacity) > least).count() < READERS_PER_ZONE);
        let lost = readers[0].node.clone();
        zone.retain(|candidate| candidate.node != lost);
    }
}

/// Guards against changes that are applied twice or skipped when feeds are lost, repeated or come
/// from two readers.
#[test]
fn a_feed_is_applied_only_without_a_gap() {
    assert_eq!(feed(5, 7).changes_after(5), FeedOutcome::Apply(vec![item(6), item(7)], 7));
    assert_eq!(feed(5, 7).changes_after(6), FeedOutcome::Apply(vec![item(7)], 7));
    assert_eq!(feed(5, 7).changes_after(9), FeedOutcome::Apply(Vec::new(), 9));
    assert_eq!(feed(5, 7).changes_after(4), FeedOutcome::Gap);
    let too_large = Feed { from: 7, to: 7, since_outage: None, items: Vec::new() };
    assert_eq!(too_large.changes_after(5), FeedOutcome::Gap);
}

proptest! {
    /// Guards against changes that are lost or go back for any order of feeds of two readers: a
    /// node that reads the store itself at each gap sees every change once, in order.
    #[test]
    fn every_change_is_seen_once(
        cuts in prop::collection::vec((0_u64..6, 0_u64..6, prop::bool::weighted(0.8)), 1..60)
    ) {
        let mut after = 0;
        let mut seen = Vec::new();
        let (mut first, mut second) = (0, 0);
        for (by_first, by_second, arrives) in cuts {
            let sent = [(first, first + by_first), (second, second + by_second)];
            (first, second) = (first + by_first, second + by_second);
            for (from, to) in sent.into_iter().filter(|_| arrives) {
                match feed(from, to).changes_after(after) {
                    FeedOutcome::Apply(items, to) => {
                        seen.extend(items.iter().map(|item| item.revision));
                        after = to;
                    }
                    FeedOutcome::Gap => {
                        seen.extend(after + 1..=to);
                        after = to;
                    }
                }
            }
        }
        prop_assert_eq!(seen, (1..=after).collect::<Vec<u64>>());
    }
}
