//! Tests of placement: order, replicas, left-out upstreams and affinity.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

use crate::placement::Candidate;
use crate::placement::Observation;
use crate::placement::PlaceRequest;
use crate::placement::Placement;
use crate::placement::PlacementConfig;
use crate::placement::rendezvous;
use crate::types::AdapterKey;
use crate::types::Name;
use crate::types::Rank;
use crate::types::Time;
use crate::types::UpstreamAdvert;
use crate::types::UpstreamInfo;
use crate::types::UpstreamKind;

fn upstream(i: usize) -> UpstreamInfo {
    UpstreamInfo {
        name: Name::from(format!("up-{i}")),
        service: Name::from("models"),
        zone: Name::from(format!("zone-{}", i % 3)),
        address: Name::from(format!("127.0.0.1:{}", 9000 + i)),
        kind: UpstreamKind::Engine { slots: 8 },
        fencing: true,
        leaving: false,
    }
}

fn placement(count: usize, cfg: PlacementConfig) -> Placement {
    let mut placement = Placement::new(cfg, 7);
    placement.set_upstreams(&Name::from("models"), (0..count).map(upstream).collect());
    placement
}

fn request(adapter: Option<&str>, prefix: Option<u64>) -> PlaceRequest {
    let adapter = adapter.map(|name| AdapterKey::new(name, "v1"));
    PlaceRequest { service: Name::from("models"), adapter, rank: Rank::Standard, prefix }
}

fn advert(delay_ms: u32) -> UpstreamAdvert {
    UpstreamAdvert { queue_delay_ms: [delay_ms; 3], in_flight: 1, ..UpstreamAdvert::default() }
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

proptest! {
    /// Guards against a hash that depends on position or list length: the loss of one
    /// upstream would then move keys of the others and reload their adapters everywhere.
    #[test]
    fn loss_of_an_upstream_moves_only_its_keys(
        count in 2usize..40,
        lost in any::<proptest::sample::Index>(),
        key in any::<[u8; 8]>(),
    ) {
        let all: Vec<Candidate> = (0..count).map(|i| Candidate::new(format!("up-{i}"))).collect();
        let lost = lost.index(count);
        let mut left = all.clone();
        left.remove(lost);
        let names = |order: Vec<usize>, of: &[Candidate]| -> Vec<Name> {
            order.into_iter().map(|i| of[i].name.clone()).collect()
        };
        let mut before = names(rendezvous(&key, &all), &all);
        before.retain(|name| *name != all[lost].name);
        prop_assert_eq!(before, names(rendezvous(&key, &left), &left));
    }

    /// Guards against the use of an upstream that takes no new work.
    #[test]
    fn leaving_and_unreachable_upstreams_are_never_returned(
        leaving in proptest::collection::vec(any::<bool>(), 1..12),
        unreachable in proptest::collection::vec(any::<bool>(), 12),
        adapter in proptest::option::of("[a-z]{1,6}"),
    ) {
        let mut placement = placement(0, PlacementConfig::default());
        let ups = leaving.iter().enumerate().map(|(i, &leaving)| UpstreamInfo { leaving, ..upstream(i) });
        placement.set_upstreams(&Name::from("models"), ups.collect());
        for i in (0..leaving.len()).filter(|&i| unreachable[i]) {
            placement.observe(at(1), &upstream(i).name, None, Observation::Unreachable);
        }
        let chosen = placement.choose(at(1), &request(adapter.as_deref(), None));
        let good: Vec<Name> = (0..leaving.len())
            .filter(|&i| !leaving[i] && !unreachable[i])
            .map(|i| upstream(i).name)
            .collect();
        prop_assert!(chosen.iter().all(|name| good.contains(name)));
        prop_assert_eq!(chosen.len(), good.len().min(3));
    }
}

/// Guards against an order that loads workers unevenly.
#[test]
fn adapters_spread_evenly_over_the_workers() {
    let mut placement = placement(18, PlacementConfig::default());
    let mut counts: HashMap<Name, usize> = HashMap::new();
    for i in 0..3_000 {
        let chosen = placement.choose(at(1), &request(Some(&format!("adapter-{i}")), None));
        *counts.entry(chosen[0].clone()).or_default() += 1;
    }
    let (min, max) = (counts.values().min().copied(), counts.values().max().copied());
    assert_eq!(counts.len(), 18);
    assert!(min >= Some(110) && max <= Some(230), "{min:?} to {max:?} of 167 on average");
}

/// Guards against replicas that never grow under load, and against ones that never shrink.
#[test]
fn replicas_follow_the_queueing_delay() {
    let mut placement = placement(18, PlacementConfig::default());
    let hot = AdapterKey::new("hot", "v1");
    let first = placement.choose(at(1), &request(Some("hot"), None))[0].clone();
    for ms in 1_000..6_000 {
        let now = Time::from_millis(ms);
        let chosen = placement.choose(now, &request(Some("hot"), None));
        let seen = Observation::Delay(Duration::from_millis(900));
        placement.observe(now, &chosen[0], Some(&hot), seen);
    }
    let grown = placement.replica_count(&hot);
    assert!((3..=6).contains(&grown), "{grown} replicas after 5 s");
    for minute in 2..20 {
        placement.choose(at(minute * 60), &request(Some("hot"), None));
    }
    assert_eq!(placement.replica_count(&hot), 1);
    assert_eq!(placement.choose(at(1_200), &request(Some("hot"), None))[0], first);
}

/// Guards against replicas that grow although a load would take longer than the wait.
#[test]
fn replicas_stay_when_a_load_costs_more_than_waiting() {
    let cases = [(200, 0, 1), (900, 5_000, 1), (900, 100, 2)];
    for (delay_ms, load_delay_ms, expected) in cases {
        let mut placement = placement(4, PlacementConfig::default());
        let hot = AdapterKey::new("hot", "v1");
        for i in 0..4 {
            let advert = UpstreamAdvert { load_delay_ms, ..advert(0) };
            placement.update_advert(at(1), &upstream(i).name, advert);
        }
        for _ in 0..50 {
            let chosen = placement.choose(at(2), &request(Some("hot"), None));
            let seen = Observation::Delay(Duration::from_millis(delay_ms));
            placement.observe(at(2), &chosen[0], Some(&hot), seen);
        }
        assert_eq!(placement.replica_count(&hot), expected, "{delay_ms} {load_delay_ms}");
    }
}

/// Guards against plain calls that keep going to the longest queue.
#[test]
fn the_instance_with_the_longest_queue_is_never_first() {
    let mut placement = placement(3, PlacementConfig::default());
    for _ in 0..20 {
        for i in 0..3 {
            placement.update_advert(at(1), &upstream(i).name, advert(50 * i as u32));
        }
        let chosen = placement.choose(at(1), &request(None, None));
        assert_ne!(chosen[0], upstream(2).name);
    }
}

/// Guards against entries that all follow one advert until the next one arrives.
#[test]
fn requests_since_the_advert_count_as_load() {
    let mut placement = placement(3, PlacementConfig::default());
    for (i, delay) in [10, 12, 14].into_iter().enumerate() {
        placement.update_advert(at(1), &upstream(i).name, advert(delay));
    }
    let mut counts: HashMap<Name, usize> = HashMap::new();
    for _ in 0..300 {
        *counts.entry(placement.choose(at(1), &request(None, None))[0].clone()).or_default() += 1;
    }
    assert!(counts.values().all(|&n| (60..=140).contains(&n)), "{counts:?}");
}

/// Guards against full upstreams that are tried before others, and against no answer at all.
#[test]
fn full_upstreams_are_used_only_if_all_are_full() {
    let mut placement = placement(3, PlacementConfig::default());
    let full = UpstreamAdvert { full: true, ..advert(5) };
    for i in 0..2 {
        placement.update_advert(at(1), &upstream(i).name, full.clone());
    }
    for adapter in [None, Some("a"), Some("b"), Some("c")] {
        assert_eq!(placement.choose(at(1), &request(adapter, None)), [upstream(2).name]);
    }
    placement.update_advert(at(1), &upstream(2).name, full);
    assert_eq!(placement.choose(at(1), &request(Some("a"), None)).len(), 3);
}

/// Guards against equal prompt prefixes that lose their cache to random choice.
#[test]
fn equal_prefixes_and_the_same_zone_are_preferred() {
    let zone = Some(Name::from("zone-1"));
    let mut near = placement(3, PlacementConfig { zone, ..PlacementConfig::default() });
    for i in 0..3 {
        near.update_advert(at(1), &upstream(i).name, advert(5));
    }
    let firsts: Vec<Name> = (0..30)
        .map(|i| {
            near.update_advert(at(1), &upstream(1).name, advert(4 + i % 3));
            near.choose(at(1), &request(None, None))[0].clone()
        })
        .collect();
    assert!(firsts.iter().filter(|name| **name == upstream(1).name).count() >= 15);

    let mut affine = placement(3, PlacementConfig::default());
    let first = affine.choose(at(1), &request(None, Some(5)));
    assert_eq!(first.len(), 3);
    let hot = AdapterKey::new("hot", "v1");
    for _ in 0..50 {
        affine.choose(at(2), &request(Some("hot"), Some(5)));
        let seen = Observation::Delay(Duration::from_secs(2));
        affine.observe(at(2), &upstream(0).name, Some(&hot), seen);
    }
    assert_eq!(affine.replica_count(&hot), 2);
    let chosen: Vec<Name> = (0..10)
        .map(|_| {
            (0..3).for_each(|i| affine.update_advert(at(2), &upstream(i).name, advert(5)));
            affine.choose(at(2), &request(Some("hot"), Some(5)))[0].clone()
        })
        .collect();
    assert!(chosen.iter().all(|name| *name == chosen[0]), "{chosen:?}");
}
