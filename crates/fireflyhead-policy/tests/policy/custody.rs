//! Custody of engines among several nodes, with a store that may be out of reach.

use std::collections::HashMap;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::ownership::Ownership;
use fireflyhead_policy::ownership::OwnershipRecord;
use fireflyhead_policy::ownership::OwnershipSettings;
use proptest::prelude::*;

use crate::setup::ms;

const ENGINE: &str = "engine-1";
const TTL: u64 = 5_000;
const TURN: u64 = 3_000;
const STEP: u64 = 100;

/// Node with its clock-independent view of the store.
struct Node {
    name: Name,
    ownership: Ownership,
    cut: bool,
    frozen_until: u64,
    renewed: u64,
}

/// Store with leases, and the orders that the engine received.
struct World {
    now: u64,
    nodes: Vec<Node>,
    record: Option<(OwnershipRecord, u64)>,
    revision: u64,
    leases: HashMap<Name, u64>,
    orders: Vec<(u64, Name, u64)>,
}

impl World {
    fn new(count: usize) -> World {
        let nodes = (0..count).map(|n| Node::new(&format!("node-{n}"))).collect();
        World {
            now: 0,
            nodes,
            record: None,
            revision: 1,
            leases: HashMap::new(),
            orders: Vec::new(),
        }
    }

    /// One step of time: leases run out, nodes renew, see the store, claim and give orders.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.leases.retain(|_, end| *end > now);
        for at in 0..self.nodes.len() {
            if self.nodes[at].frozen_until > now {
                continue;
            }
            if !self.nodes[at].cut {
                self.renew(at);
                self.view(at);
                self.claim(at);
            }
            let node = &self.nodes[at];
            if let Some(fence) = node.ownership.order_fencing_token(ms(now), ENGINE) {
                self.orders.push((now, node.name.clone(), fence));
            }
        }
    }

    fn renew(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if self.now >= node.renewed + TTL / 4 {
            node.renewed = self.now;
            self.leases.insert(node.name.clone(), self.now + TTL);
            node.ownership.record_lease_renewal(ms(self.now));
        }
    }

    fn view(&mut self, at: usize) {
        let now = ms(self.now);
        let names: Vec<Name> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let ownership = &mut self.nodes[at].ownership;
        ownership.record_view(now);
        for name in names {
            ownership.set_member(now, &name, self.leases.contains_key(&name));
        }
        if let Some((record, revision)) = &self.record {
            ownership.apply_record(&Name::from(ENGINE), Some(record.clone()), *revision);
        }
    }

    fn claim(&mut self, at: usize) {
        let now = ms(self.now);
        let claims = self.nodes[at].ownership.due_claims(now, &[Name::from(ENGINE)], |_| false);
        for claim in claims {
            if claim.expected_revision != self.record.as_ref().map_or(0, |(_, revision)| *revision)
            {
                continue;
            }
            self.revision += 1;
            self.record = Some((claim.record.clone(), self.revision));
            self.nodes[at].ownership.record_claim(now, &claim, self.revision);
        }
    }

    fn restart(&mut self, at: usize) {
        let name = self.nodes[at].name.to_string();
        self.nodes[at] = Node::new(&name);
    }

    /// Orders of two nodes within the turn interval, or a lower fencing number after a higher one.
    fn violation(&self) -> Option<String> {
        self.orders.windows(2).find_map(|pair| {
            let ((earlier, first, low), (later, second, high)) = (&pair[0], &pair[1]);
            let close = first != second && later - earlier < TURN;
            (close || high < low).then(|| format!("{:?} then {:?}", pair[0], pair[1]))
        })
    }
}

impl Node {
    fn new(name: &str) -> Node {
        let settings = OwnershipSettings {
            lease_ttl: Duration::from_millis(TTL),
            order_turn: Duration::from_millis(TURN),
        };
        Node {
            name: Name::from(name),
            ownership: Ownership::new(Name::from(name), settings),
            cut: false,
            frozen_until: 0,
            renewed: 0,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two holders: whatever nodes are cut, frozen, restarted or have their
    /// membership taken away, orders of two nodes are never closer than the turn interval.
    #[test]
    fn holders_never_overlap(
        count in 2_usize..5,
        faults in proptest::collection::vec((1_u64..40, 0_usize..5, 0_u8..5, 1_u64..90), 0..25),
    ) {
        let mut world = World::new(count);
        for (gap, node, kind, span) in faults {
            (0..gap).for_each(|_| world.step());
            let at = node % count;
            let name = world.nodes[at].name.clone();
            match kind {
                0 => world.nodes[at].cut = true,
                1 => world.nodes[at].cut = false,
                2 => world.nodes[at].frozen_until = world.now + span * STEP,
                3 => world.restart(at),
                _ => {
                    world.leases.remove(&name);
                }
            }
            prop_assert_eq!(world.violation(), None);
        }
        (0..300).for_each(|_| world.step());
        prop_assert_eq!(world.violation(), None);
    }
}

/// Guards against an engine without a holder after its node is lost.
#[test]
fn a_lost_holder_is_replaced() {
    let mut world = World::new(3);
    (0..30).for_each(|_| world.step());
    let first = world.orders.last().map(|(_, node, _)| node.clone()).expect("an order");
    let at = world.nodes.iter().position(|node| node.name == first).expect("a known node");
    world.nodes[at].cut = true;
    let lost = world.now;
    (0..250).for_each(|_| world.step());
    let next = world.orders.iter().find(|(_, node, _)| *node != first).expect("a successor");
    // The lease, the absence, the place in the order, and the wait for the old holder's last order.
    let bound = TTL + 1_000 + 1_500 + TTL + TURN + 1_000;
    assert!(next.0 - lost <= bound, "successor after {} ms", next.0 - lost);
    assert!(world.orders.iter().all(|(at, node, _)| *node != first || *at <= lost + TTL));
}

/// Guards against a pause of orders when a holder restarts quickly.
#[test]
fn a_restarted_holder_goes_on_at_once() {
    let mut world = World::new(2);
    (0..30).for_each(|_| world.step());
    let first = world.orders.last().map(|(_, node, _)| node.clone()).expect("an order");
    let at = world.nodes.iter().position(|node| node.name == first).expect("a known node");
    world.restart(at);
    (0..20).for_each(|_| world.step());
    let last = world.orders.last().expect("an order");
    assert_eq!((&last.1, last.0), (&first, world.now));
}

/// Guards against a holder that acts after a suspension in which its lease ran out.
#[test]
fn a_lease_that_ran_out_gives_no_orders() {
    let mut ownership = Node::new("node-0").ownership;
    ownership.record_lease_renewal(ms(0));
    ownership.record_view(ms(0));
    assert!(ownership.due_claims(ms(0), &[Name::from(ENGINE)], |_| false).is_empty());
    let claims = ownership.due_claims(ms(1_000), &[Name::from(ENGINE)], |_| false);
    ownership.record_claim(ms(1_000), &claims[0], 7);
    assert_eq!(ownership.order_fencing_token(ms(1_001), ENGINE), Some(7));
    assert_eq!(ownership.order_fencing_token(ms(TTL), ENGINE), None);
    ownership.record_lease_renewal(ms(TTL));
    assert_eq!(
        ownership.order_fencing_token(Time::from_millis(TTL + 1), ENGINE),
        None,
        "the view is old"
    );
    ownership.record_view(ms(TTL));
    assert_eq!(ownership.order_fencing_token(ms(TTL + 1), ENGINE), Some(7));
}
