//! Ownership of engines among several nodes, with a store that may be unreachable.
//!
//! proptest finds the recorded failures in `tests/proptest-regressions/custody.txt` by the name of
//! this file.

use std::collections::HashMap;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::ownership::Ownership;
use fireflyhead_policy::ownership::OwnershipRecord;
use fireflyhead_policy::ownership::OwnershipSettings;
use proptest::prelude::*;

use crate::setup::ms;

const ENGINE: &str = "engine-1";
const LEASE_TTL_MS: u64 = 5_000;
const ORDER_TURN_MS: u64 = 3_000;
const STEP_MS: u64 = 100;

/// Node with its own view of the store. Times are in milliseconds.
struct SimulatedNode {
    name: Name,
    ownership: Ownership,
    /// The store is unreachable from this node.
    partitioned: bool,
    /// The process is paused until this time.
    paused_until: u64,
    last_renewal: u64,
}

/// Nodes, a store with leases, and the orders that one engine received. Times are in milliseconds.
struct Simulation {
    now: u64,
    nodes: Vec<SimulatedNode>,
    /// Ownership record of the engine with its revision.
    record: Option<(OwnershipRecord, u64)>,
    /// Revision of the newest write.
    revision: u64,
    /// End of the membership lease, by node.
    leases: HashMap<Name, u64>,
    /// Time, sender and fencing token of each order.
    orders: Vec<(u64, Name, u64)>,
    /// Era of the store.
    era: Era,
    /// Copies of the store, one for each step.
    copies: Vec<StoreCopy>,
}

/// Copy of the store, from which it may be restored.
#[derive(Clone)]
struct StoreCopy {
    record: Option<(OwnershipRecord, u64)>,
    revision: u64,
    leases: HashMap<Name, u64>,
}

impl Simulation {
    fn new(nodes: usize) -> Simulation {
        let nodes = (0..nodes).map(|n| SimulatedNode::new(&format!("node-{n}"))).collect();
        Simulation {
            now: 0,
            nodes,
            record: None,
            revision: 1,
            leases: HashMap::new(),
            orders: Vec::new(),
            era: Era::FIRST,
            copies: Vec::new(),
        }
    }

    /// Advances the time by one step: leases expire, and each running node renews its lease, reads
    /// the store, claims the engine and sends an order if it may.
    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        self.leases.retain(|_, end| *end > now);
        self.copies.push(StoreCopy {
            record: self.record.clone(),
            revision: self.revision,
            leases: self.leases.clone(),
        });
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused_until > now {
                continue;
            }
            if !self.nodes[index].partitioned {
                self.learn_era(index);
                self.renew(index);
                self.read_store(index);
                self.claim(index);
            }
            let node = &self.nodes[index];
            if let Some(fencing_token) = node.ownership.order_fencing_token(ms(now), ENGINE) {
                self.orders.push((now, node.name.clone(), fencing_token));
            }
        }
    }

    /// Makes a node that reaches the store know its era.
    fn learn_era(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.ownership.era() < self.era {
            node.ownership.begin_era(ms(self.now), self.era);
            node.last_renewal = 0;
        }
    }

    /// Restores the store from the copy that was made `age` steps ago.
    fn restore(&mut self, age: usize) {
        let Some(copy) = self.copies.iter().rev().nth(age).cloned() else { return };
        self.record = copy.record;
        self.revision = copy.revision;
        // Leases run from the restore again.
        let end = self.now + LEASE_TTL_MS;
        self.leases = copy.leases.into_keys().map(|node| (node, end)).collect();
        self.era = Era::new(self.era.number() + 1);
    }

    /// Renews the lease of a node after a quarter of its time-to-live.
    fn renew(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now >= node.last_renewal + LEASE_TTL_MS / 4 {
            node.last_renewal = self.now;
            self.leases.insert(node.name.clone(), self.now + LEASE_TTL_MS);
            node.ownership.record_lease_renewal(ms(self.now));
        }
    }

    /// Updates a node's view of the membership entries and of the ownership record.
    fn read_store(&mut self, index: usize) {
        let now = ms(self.now);
        let names: Vec<Name> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let ownership = &mut self.nodes[index].ownership;
        ownership.record_complete_view(now);
        for name in names {
            ownership.set_member(now, &name, self.leases.contains_key(&name));
        }
        if let Some((record, revision)) = &self.record {
            ownership.apply_record(&Name::from(ENGINE), Some(record.clone()), *revision);
        }
    }

    /// Writes the claims of a node whose expected revision is that of the record.
    fn claim(&mut self, index: usize) {
        let now = ms(self.now);
        let claims = self.nodes[index].ownership.due_claims(now, &[Name::from(ENGINE)], |_| false);
        for claim in claims {
            if claim.expected_revision != self.record.as_ref().map_or(0, |(_, revision)| *revision)
            {
                continue;
            }
            self.revision += 1;
            self.record = Some((claim.record.clone(), self.revision));
            self.nodes[index].ownership.record_claim(now, &claim, self.revision);
        }
    }

    /// Replaces a node by a new process of the same name.
    fn restart(&mut self, index: usize) {
        let name = self.nodes[index].name.to_string();
        self.nodes[index] = SimulatedNode::new(&name);
    }

    /// Returns the first two successive orders that are from different nodes and closer than the
    /// order turn, or of which the later one has a lower fencing token.
    fn first_violation(&self) -> Option<String> {
        self.orders.windows(2).find_map(|pair| {
            let ((earlier, first, low), (later, second, high)) = (&pair[0], &pair[1]);
            let close = first != second && later - earlier < ORDER_TURN_MS;
            (close || high < low).then(|| format!("{:?} then {:?}", pair[0], pair[1]))
        })
    }
}

impl SimulatedNode {
    fn new(name: &str) -> SimulatedNode {
        let settings = OwnershipSettings {
            lease_ttl: Duration::from_millis(LEASE_TTL_MS),
            order_turn: Duration::from_millis(ORDER_TURN_MS),
        };
        SimulatedNode {
            name: Name::from(name),
            ownership: Ownership::new(Name::from(name), settings),
            partitioned: false,
            paused_until: 0,
            last_renewal: 0,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two nodes that send orders at the same time because one does not know that it
    /// was replaced: while nodes are partitioned, paused, restarted or lose their lease, and the store
    /// is restored from older copies, the orders of two nodes are never closer than the order turn
    /// and fencing tokens never go back.
    #[test]
    fn holders_never_overlap(
        count in 2_usize..5,
        faults in proptest::collection::vec((1_u64..40, 0_usize..5, 0_u8..6, 1_u64..90), 0..25),
    ) {
        let mut simulation = Simulation::new(count);
        for (gap, node, kind, span) in faults {
            (0..gap).for_each(|_| simulation.step());
            let index = node % count;
            let name = simulation.nodes[index].name.clone();
            match kind {
                0 => simulation.nodes[index].partitioned = true,
                1 => simulation.nodes[index].partitioned = false,
                2 => simulation.nodes[index].paused_until = simulation.now + span * STEP_MS,
                3 => simulation.restart(index),
                5 => simulation.restore(span as usize),
                _ => {
                    simulation.leases.remove(&name);
                }
            }
            prop_assert_eq!(simulation.first_violation(), None);
        }
        (0..300).for_each(|_| simulation.step());
        prop_assert_eq!(simulation.first_violation(), None);
    }
}

/// Guards against an engine that stays without a holder after its holder loses the store, and
/// against orders of the old holder after its lease has expired.
#[test]
fn a_holder_that_loses_the_store_is_replaced() {
    let mut simulation = Simulation::new(3);
    (0..30).for_each(|_| simulation.step());
    let first = simulation.orders.last().map(|(_, node, _)| node.clone()).expect("an order");
    let index = simulation.nodes.iter().position(|node| node.name == first).expect("a known node");
    simulation.nodes[index].partitioned = true;
    let lost = simulation.now;
    (0..250).for_each(|_| simulation.step());
    let next = simulation.orders.iter().find(|(_, node, _)| *node != first).expect("a successor");
    // The lease, the wait after the removal of the membership entry, the delay by rendezvous rank,
    // the wait for the old holder's last order, and a margin.
    let bound = LEASE_TTL_MS + 1_000 + 1_500 + LEASE_TTL_MS + ORDER_TURN_MS + 1_000;
    assert!(next.0 - lost <= bound, "successor after {} ms", next.0 - lost);
    assert!(
        simulation.orders.iter().all(|(at, node, _)| *node != first || *at <= lost + LEASE_TTL_MS)
    );
}

/// Guards against a gap in the orders when a holder restarts before its lease expires: the orders
/// before the restart were its own, so that it need not wait as a successor must.
#[test]
fn a_restarted_holder_resumes_orders_without_the_takeover_wait() {
    let mut simulation = Simulation::new(2);
    (0..30).for_each(|_| simulation.step());
    let first = simulation.orders.last().map(|(_, node, _)| node.clone()).expect("an order");
    let index = simulation.nodes.iter().position(|node| node.name == first).expect("a known node");
    simulation.restart(index);
    (0..20).for_each(|_| simulation.step());
    let last = simulation.orders.last().expect("an order");
    assert_eq!((&last.1, last.0), (&first, simulation.now));
}

/// Guards against engines that no adapters are loaded to after a restore: a holder that could send
/// orders until then resumes them without the takeover wait, also if the copy has no record of it.
#[test]
fn a_holder_resumes_orders_after_a_restore() {
    for age in [2, 20, 60] {
        let mut simulation = Simulation::new(3);
        (0..60).for_each(|_| simulation.step());
        let first = simulation.orders.last().map(|(_, node, _)| node.clone()).expect("an order");
        simulation.restore(age);
        (0..5).for_each(|_| simulation.step());
        let last = simulation.orders.last().expect("an order");
        assert_eq!((&last.1, last.0), (&first, simulation.now), "copy of {age} steps ago");
        assert_eq!(simulation.first_violation(), None);
    }
}

/// Guards against orders of a holder whose process was paused until its lease had expired: it
/// may send orders again only after it has renewed the lease and read the store.
#[test]
fn an_expired_lease_forbids_orders_until_renewal_and_a_store_read() {
    let mut ownership = SimulatedNode::new("node-0").ownership;
    ownership.record_lease_renewal(ms(0));
    ownership.record_complete_view(ms(0));
    assert!(ownership.due_claims(ms(0), &[Name::from(ENGINE)], |_| false).is_empty());
    let claims = ownership.due_claims(ms(1_000), &[Name::from(ENGINE)], |_| false);
    ownership.record_claim(ms(1_000), &claims[0], 7);
    assert_eq!(ownership.order_fencing_token(ms(1_001), ENGINE), Some(7));
    assert_eq!(ownership.order_fencing_token(ms(LEASE_TTL_MS), ENGINE), None);
    ownership.record_lease_renewal(ms(LEASE_TTL_MS));
    assert_eq!(
        ownership.order_fencing_token(Time::from_millis(LEASE_TTL_MS + 1), ENGINE),
        None,
        "the view of the store is out of date"
    );
    ownership.record_complete_view(ms(LEASE_TTL_MS));
    assert_eq!(ownership.order_fencing_token(ms(LEASE_TTL_MS + 1), ENGINE), Some(7));
}

/// Guards against two nodes that send orders to one engine after the removal of its record is executed
/// late, when the engine is listed again: its holder goes on until it learns of the removal, and the
/// others have seen the engine without a record long ago, before it was claimed.
#[test]
fn a_removed_record_is_claimed_with_the_takeover_wait() {
    let mut ownership = SimulatedNode::new("node-0").ownership;
    let engines = [Name::from(ENGINE)];
    let holder = Name::from("node-1");
    let refresh = |ownership: &mut Ownership, at: u64| {
        ownership.record_lease_renewal(ms(at));
        ownership.record_complete_view(ms(at));
    };
    refresh(&mut ownership, 0);
    ownership.set_member(ms(0), &holder, true);
    assert!(ownership.due_claims(ms(0), &engines, |_| true).is_empty());
    let record = OwnershipRecord { holder: holder.clone(), previous: None, era: Era::FIRST };
    ownership.apply_record(&engines[0], Some(record), 5);
    refresh(&mut ownership, 60_000);
    assert!(ownership.due_claims(ms(60_000), &engines, |_| true).is_empty());
    ownership.apply_record(&engines[0], None, 9);
    assert!(ownership.due_claims(ms(60_000), &engines, |_| true).is_empty(), "seen before");
    refresh(&mut ownership, 64_000);
    let claims = ownership.due_claims(ms(64_000), &engines, |_| true);
    assert_eq!(claims[0].record.previous, Some(holder));
    ownership.record_claim(ms(64_000), &claims[0], 10);
    for at in [65_000, 64_000 + LEASE_TTL_MS + ORDER_TURN_MS] {
        refresh(&mut ownership, at);
        assert_eq!(ownership.order_fencing_token(ms(at), ENGINE), None);
    }
    let end = 64_250 + LEASE_TTL_MS + ORDER_TURN_MS;
    refresh(&mut ownership, end);
    assert_eq!(ownership.order_fencing_token(ms(end), ENGINE), Some(10));
}
