//! Property tests of ownership against a model of the key-value service.
//!
//! The service is down, slow, cut off from single nodes, or loses replies after
//! the effect; nodes pause, restart while their old process still runs, and are
//! separated from each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::membership::StoreViews;
use crate::ownership::Ownership;
use crate::ownership::OwnershipConfig;
use crate::ownership::OwnershipEffect;
use crate::ownership::OwnershipInput;
use crate::ownership::StoredRecord;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Role;
use crate::types::Time;
use crate::types::UpstreamInfo;
use crate::types::UpstreamKind;

const STEP: Duration = Duration::from_millis(100);
const NODES: usize = 4;
/// Pause after which other nodes declare a process dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);
/// Age of the views of the service that other nodes see.
const VIEW_LAG_STEPS: usize = 10;

fn config() -> OwnershipConfig {
    let pin_for = Duration::from_secs(20);
    let rebalance_after = Duration::from_secs(15);
    OwnershipConfig { pin_for, rebalance_after, ..OwnershipConfig::default() }
}

/// Upstreams; the first two check fencing numbers.
fn upstreams() -> Vec<UpstreamInfo> {
    let upstream = |n: usize| UpstreamInfo {
        name: Name::from(format!("worker-{n}")),
        service: Name::from("models"),
        zone: Name::from("zone-a"),
        address: Name::from("127.0.0.1:1"),
        kind: UpstreamKind::Engine { slots: 8 },
        fencing: n < 2,
        leaving: false,
    };
    (0..4).map(upstream).collect()
}

struct Process {
    machine: Ownership,
    node: NodeRef,
    at: usize,
    start: Time,
    paused_since: Option<Time>,
    stopped: bool,
    /// Members that the process was told last.
    members: Vec<Member>,
    /// Arrival of the last event of its watch, which keeps the order of events.
    watched: Time,
}

impl Process {
    fn local(&self, now: Time) -> Time {
        Time::from_millis(10) + now.since(self.start)
    }

    fn running(&self) -> bool {
        self.paused_since.is_none() && !self.stopped
    }

    fn role(&self, now: Time, upstream: &Name) -> Role {
        self.machine.role(self.local(now), upstream)
    }

    /// Whether the process would give an order now; with `pins`, an unload order.
    fn orders(&self, now: Time, upstream: &Name, pins: bool) -> bool {
        let local = self.local(now);
        match self.role(now, upstream) {
            Role::Owner { orders_allowed, pinned_until, .. } => {
                self.running() && orders_allowed && (!pins || local >= pinned_until)
            }
            Role::Caretaker | Role::None => false,
        }
    }
}

enum Event {
    Call { from: usize, effect: OwnershipEffect, sent: Time },
    Reply { to: usize, inputs: Vec<OwnershipInput> },
}

/// Key-value service.
#[derive(Default)]
struct Service {
    down_since: Option<Time>,
    /// Last outage: start and end.
    outage: Option<(Time, Time)>,
    revision: i64,
    leases: BTreeMap<i64, Time>,
    records: BTreeMap<Name, StoredRecord>,
}

struct World {
    now: Time,
    rng: ChaCha8Rng,
    service: Service,
    processes: Vec<Process>,
    events: Vec<(Time, Event)>,
    incarnation: u64,
    cut: [bool; NODES],
    side: [u8; NODES],
    loss: f64,
    max_delay_ms: u64,
    dead: BTreeSet<NodeRef>,
    /// States of the service as seen by each process, by step.
    views: Vec<BTreeMap<NodeRef, bool>>,
    /// Fencing number of the last unload order by upstream.
    ordered: BTreeMap<Name, u64>,
    last_owner: BTreeMap<Name, NodeRef>,
    released: BTreeSet<Name>,
    /// Handovers that arrived: upstream, old and new owner.
    handed: BTreeSet<(Name, NodeRef, NodeRef)>,
    /// Last takeovers with the previous owner, unless it handed over.
    taken: BTreeMap<Name, (Time, NodeRef)>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            now: Time::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            service: Service::default(),
            processes: Vec::new(),
            events: Vec::new(),
            incarnation: 0,
            cut: [false; NODES],
            side: [0; NODES],
            loss: 0.0,
            max_delay_ms: 5,
            dead: BTreeSet::new(),
            views: Vec::new(),
            ordered: BTreeMap::new(),
            last_owner: BTreeMap::new(),
            released: BTreeSet::new(),
            handed: BTreeSet::new(),
            taken: BTreeMap::new(),
        };
        (0..NODES).for_each(|at| world.start(at));
        world
    }

    fn start(&mut self, at: usize) {
        self.incarnation += 1;
        let id = Name::from(format!("node-{at}"));
        let node = NodeRef { id, incarnation: self.incarnation };
        let machine = Ownership::new(config(), node.clone());
        let process = Process {
            machine,
            node,
            at,
            start: self.now,
            paused_since: None,
            stopped: false,
            members: Vec::new(),
            watched: self.now,
        };
        self.processes.push(process);
        self.input(self.processes.len() - 1, OwnershipInput::Upstreams(upstreams()));
    }

    /// Index of the current process of a node.
    fn current(&self, at: usize) -> usize {
        self.processes.iter().rposition(|process| process.at == at).expect("nodes run")
    }

    fn input(&mut self, to: usize, input: OwnershipInput) {
        if let OwnershipInput::Handover { upstream, from, .. } = &input {
            if self.taken.get(upstream).is_some_and(|(_, last)| last == from) {
                self.taken.remove(upstream);
            }
            let to = self.processes[to].node.clone();
            self.handed.insert((upstream.clone(), from.clone(), to));
        }
        let process = &mut self.processes[to];
        let mut effects = Vec::new();
        let sent = process.local(self.now);
        process.machine.handle(sent, input, &mut effects);
        for effect in effects {
            match effect {
                OwnershipEffect::Start { .. } | OwnershipEffect::Stop { .. } => {}
                OwnershipEffect::SendHandover { to: next, upstream, fencing } => {
                    let from = self.processes[to].node.clone();
                    let in_use = self.rng.random();
                    let input = OwnershipInput::Handover { upstream, from, fencing, in_use };
                    let next = self.processes.iter().position(|process| process.node == next);
                    if let Some(to) = next.filter(|_| !self.rng.random_bool(self.loss)) {
                        self.push(Event::Reply { to, inputs: vec![input] });
                    }
                }
                effect => self.push(Event::Call { from: to, effect, sent }),
            }
        }
    }

    fn push(&mut self, event: Event) {
        let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
        self.events.push((self.now + delay, event));
    }

    /// Tells every process that reaches the service of a change.
    fn tell(&mut self, upstream: &Name) {
        let stored = self.service.records.get(upstream).cloned();
        for to in 0..self.processes.len() {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
            let process = &mut self.processes[to];
            process.watched = process.watched.max(self.now + delay);
            let lost = self.cut[process.at] || self.rng.random_bool(self.loss);
            let (upstream, stored) = (upstream.clone(), stored.clone());
            let input = match lost {
                true => OwnershipInput::WatchLost,
                false => OwnershipInput::Read { upstream, stored, sent: Time::default() },
            };
            self.events.push((process.watched, Event::Reply { to, inputs: vec![input] }));
        }
    }

    /// One call at the service: its result, or `None` if there is no answer.
    fn call(
        &mut self,
        from: usize,
        effect: &OwnershipEffect,
        sent: Time,
    ) -> Option<OwnershipInput> {
        let now = self.now;
        if self.service.down_since.is_some() || self.cut[self.processes[from].at] {
            return None;
        }
        let service = &mut self.service;
        let alive = |lease: &i64| service.leases.contains_key(lease);
        Some(match effect {
            OwnershipEffect::GrantLease => {
                service.revision += 1;
                let lease = service.revision;
                service.leases.insert(lease, now + config().lease_ttl);
                OwnershipInput::LeaseGranted { lease, sent }
            }
            OwnershipEffect::KeepAlive { lease } if alive(lease) => {
                service.leases.insert(*lease, now + config().lease_ttl);
                OwnershipInput::KeptAlive { lease: *lease, sent }
            }
            OwnershipEffect::KeepAlive { lease } => OwnershipInput::LeaseLost { lease: *lease },
            OwnershipEffect::Register { lease } => OwnershipInput::Registered { lease: *lease },
            OwnershipEffect::ReadAll => {
                let records = service.records.clone().into_iter().collect();
                OwnershipInput::Listed { records, sent }
            }
            OwnershipEffect::Read { upstream } => {
                let stored = service.records.get(upstream).cloned();
                OwnershipInput::Read { upstream: upstream.clone(), stored, sent }
            }
            OwnershipEffect::Create { lease, .. } if !alive(lease) => {
                OwnershipInput::LeaseLost { lease: *lease }
            }
            OwnershipEffect::Create { upstream, record, lease } => {
                let (upstream, operation) = (upstream.clone(), record.operation.clone());
                if service.records.contains_key(&upstream) {
                    return Some(OwnershipInput::SwapConflict { upstream, operation });
                }
                service.revision += 1;
                let (revision, lease) = (service.revision, *lease);
                let stored = StoredRecord { record: record.clone(), revision, lease };
                service.records.insert(upstream.clone(), stored);
                self.check_grace(from, &upstream);
                self.tell(&upstream);
                OwnershipInput::SwapDone { upstream, operation, revision }
            }
            OwnershipEffect::Release { upstream, revision } => {
                if service.records.get(upstream).is_some_and(|s| s.revision == *revision) {
                    service.records.remove(upstream);
                    self.released.insert(upstream.clone());
                    self.tell(upstream);
                }
                let stored = self.service.records.get(upstream).cloned();
                OwnershipInput::Read { upstream: upstream.clone(), stored, sent }
            }
            OwnershipEffect::SendHandover { .. }
            | OwnershipEffect::Start { .. }
            | OwnershipEffect::Stop { .. } => return None,
        })
    }

    fn run_call(&mut self, from: usize, effect: OwnershipEffect, sent: Time) {
        let result = self.call(from, &effect, sent);
        let lost = self.rng.random_bool(self.loss);
        let inputs = match result.filter(|_| !lost) {
            Some(input @ (OwnershipInput::LeaseLost { .. } | OwnershipInput::KeptAlive { .. })) => {
                vec![input, OwnershipInput::Called { ok: true }]
            }
            Some(input) => vec![OwnershipInput::Called { ok: true }, input],
            None => {
                let mut inputs = vec![OwnershipInput::Called { ok: false }];
                match effect {
                    OwnershipEffect::GrantLease | OwnershipEffect::KeepAlive { .. } => {
                        inputs.push(OwnershipInput::LeaseCallFailed);
                    }
                    OwnershipEffect::Create { upstream, record, .. } => {
                        let operation = record.operation;
                        inputs.push(OwnershipInput::SwapLost { upstream, operation });
                    }
                    OwnershipEffect::ReadAll => inputs.push(OwnershipInput::WatchLost),
                    _ => {}
                }
                inputs
            }
        };
        self.push(Event::Reply { to: from, inputs });
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            self.expire_leases();
            self.declare_dead();
            // A process that resumes may act before it reads anything.
            self.check_orders();
            self.observe();
            self.check_orders();
            let due: Vec<(Time, Event)> = {
                let (now, processes) = (self.now, &self.processes);
                let ready = |(due, event): &mut (Time, Event)| {
                    let (Event::Call { from: at, .. } | Event::Reply { to: at, .. }) = event;
                    *due <= now && (processes[*at].running() || matches!(event, Event::Call { .. }))
                };
                self.events.extract_if(.., ready).collect()
            };
            for (_, event) in due {
                match event {
                    Event::Call { from, effect, sent } => self.run_call(from, effect, sent),
                    Event::Reply { to, inputs } => {
                        for input in inputs {
                            self.input(to, input);
                            self.check_orders();
                        }
                    }
                }
            }
        }
    }

    fn expire_leases(&mut self) {
        let (now, service) = (self.now, &mut self.service);
        // While the service is down, nothing expires in it; time catches up afterwards.
        if service.down_since.is_none() {
            service.leases.retain(|_, ends| *ends > now);
            let leases = &service.leases;
            let ended = |(name, stored): (&Name, &StoredRecord)| {
                (!leases.contains_key(&stored.lease)).then(|| name.clone())
            };
            for name in service.records.iter().filter_map(ended).collect::<Vec<_>>() {
                self.service.records.remove(&name);
                self.tell(&name);
            }
        }
    }

    fn declare_dead(&mut self) {
        for process in &self.processes {
            let long = |since: Time| self.now.since(since) >= DEAD_AFTER;
            let replaced = process.node.incarnation
                < self
                    .processes
                    .iter()
                    .filter(|p| p.at == process.at)
                    .map(|p| p.node.incarnation)
                    .max()
                    .unwrap_or(0);
            if process.stopped || replaced || process.paused_since.is_some_and(long) {
                self.dead.insert(process.node.clone());
            }
        }
    }

    /// Members, contact and views of the service for every running process.
    fn observe(&mut self) {
        let view = |p: &Process| (p.node.clone(), p.machine.store_reachable());
        self.views.push(self.processes.iter().map(view).collect());
        let lag = self.rng.random_range(0..=VIEW_LAG_STEPS).min(self.views.len() - 1);
        let views = self.views[self.views.len() - 1 - lag].clone();
        let listed: Vec<Member> = self
            .processes
            .iter()
            .map(|process| {
                let dead = self.dead.contains(&process.node);
                let state = if dead { MemberState::Dead } else { MemberState::Alive };
                let address = Name::from(format!("127.0.0.1:{}", process.at));
                let (caller_address, peer_address) = (address.clone(), address);
                let (node, zone) = (process.node.clone(), Name::from("zone-a"));
                Member { node, zone, caller_address, peer_address, state }
            })
            .collect();
        for at in 0..self.processes.len() {
            if !self.processes[at].running() {
                continue;
            }
            let others = self.processes.iter().filter(|other| {
                other.node != self.processes[at].node && !self.dead.contains(&other.node)
            });
            let (mut answering, mut silent, mut seen) = (0, 0, StoreViews::default());
            for other in others {
                if other.running() && self.side[other.at] == self.side[self.processes[at].at] {
                    answering += 1;
                    match views.get(&other.node) {
                        Some(true) => seen.reachable += 1,
                        Some(false) => seen.unreachable += 1,
                        None => {}
                    }
                } else {
                    silent += 1;
                }
            }
            let majority = 2 * (answering + 1) > answering + 1 + silent;
            let isolated = answering == 0 && silent > 0;
            if self.processes[at].members != listed {
                self.processes[at].members.clone_from(&listed);
                self.input(at, OwnershipInput::Members(listed.clone()));
            }
            self.input(at, OwnershipInput::Contact { majority, isolated, views: seen });
        }
    }

    /// At most one process may give orders, never after a later owner did, and after
    /// a takeover an engine without fencing keeps the adapters found on it.
    fn check_orders(&mut self) {
        for upstream in upstreams() {
            let name = &upstream.name;
            let ordering: Vec<&Process> =
                self.processes.iter().filter(|p| p.orders(self.now, name, false)).collect();
            assert!(
                ordering.len() <= 1,
                "{name}: orders by {:?}",
                ordering.iter().map(|p| &p.node).collect::<Vec<_>>()
            );
            let Some(process) = ordering.first() else { continue };
            if let Role::Owner { fencing, .. } = process.role(self.now, name) {
                let last = self.ordered.entry(name.clone()).or_default();
                assert!(fencing >= *last, "{name}: an order with {fencing} after {last}");
                *last = fencing;
            }
            let pinned = self
                .taken
                .get(name)
                .is_some_and(|(at, _)| !upstream.fencing && self.now.since(*at) < config().pin_for);
            let unloads = process.orders(self.now, name, true);
            assert!(!pinned || !unloads, "{name}: unload right after a takeover");
        }
    }

    /// After an outage, old owners renew before others take over.
    fn check_grace(&mut self, from: usize, upstream: &Name) {
        let process = &self.processes[from];
        let (now, owner) = (self.now, process.node.clone());
        let noticed = |start: Time, end: Time| {
            end.since(start) >= Duration::from_secs(4) && process.start < start
        };
        let other = self.last_owner.get(upstream).is_some_and(|last| *last != owner);
        if let Some((_, end)) = self.service.outage.filter(|(start, end)| noticed(*start, *end)) {
            let handed = self.released.contains(upstream);
            assert!(
                !other || handed || now.since(end) >= config().grace,
                "{upstream}: takeover {:?} after the outage",
                now.since(end)
            );
        }
        self.released.remove(upstream);
        self.taken.remove(upstream);
        if let Some(last) = self.last_owner.insert(upstream.clone(), owner.clone())
            && last != owner
            && !self.handed.contains(&(upstream.clone(), last.clone(), owner))
        {
            self.taken.insert(upstream.clone(), (now, last));
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Run { millis: u64, loss: f64, max_delay_ms: u64 },
    Service { up: bool },
    Cut { node: usize, cut: bool },
    Side { node: usize, side: u8 },
    Pause { node: usize, paused: bool },
    PauseOld { process: usize, paused: bool },
    Restart { node: usize, keep: bool },
    Drain { node: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let flag = any::<bool>();
    prop_oneof![
        8 => (100_u64..12_000, prop_oneof![Just(0.0), 0.0..0.5], prop_oneof![Just(5_u64), 0_u64..3_000])
            .prop_map(|(millis, loss, max_delay_ms)| Op::Run { millis, loss, max_delay_ms }),
        3 => flag.prop_map(|up| Op::Service { up }),
        2 => (node.clone(), flag).prop_map(|(node, cut)| Op::Cut { node, cut }),
        1 => (node.clone(), 0_u8..2).prop_map(|(node, side)| Op::Side { node, side }),
        3 => (node.clone(), flag).prop_map(|(node, paused)| Op::Pause { node, paused }),
        1 => (0_usize..12, flag).prop_map(|(process, paused)| Op::PauseOld { process, paused }),
        2 => (node.clone(), flag).prop_map(|(node, keep)| Op::Restart { node, keep }),
        1 => node.prop_map(|node| Op::Drain { node }),
    ]
}

impl World {
    fn step(&mut self, op: Op) {
        match op {
            Op::Run { millis, loss, max_delay_ms } => {
                (self.loss, self.max_delay_ms) = (loss, max_delay_ms);
                self.run(millis);
            }
            Op::Service { up } => self.set_service(up),
            Op::Cut { node, cut } => self.cut[node] = cut,
            Op::Side { node, side } => self.side[node] = side,
            Op::Pause { node, paused } => self.pause(self.current(node), paused),
            Op::PauseOld { process, paused } => self.pause(process % self.processes.len(), paused),
            Op::Restart { node, keep } => {
                let old = self.current(node);
                self.processes[old].stopped = !keep;
                self.start(node);
            }
            Op::Drain { node } => {
                let current = self.current(node);
                if self.processes[current].running() {
                    self.input(current, OwnershipInput::Drain);
                }
            }
        }
    }

    fn set_service(&mut self, up: bool) {
        match (up, self.service.down_since) {
            (true, Some(since)) => {
                self.service.outage = Some((since, self.now));
                self.service.down_since = None;
            }
            (false, None) => self.service.down_since = Some(self.now),
            _ => {}
        }
    }

    fn pause(&mut self, process: usize, paused: bool) {
        let process = &mut self.processes[process];
        process.paused_since = match (paused, process.paused_since) {
            (true, None) => Some(self.now),
            (true, since) => since,
            (false, _) => None,
        };
    }

    /// Ends all faults and starts every node anew that is dead or stopping.
    fn heal(&mut self) {
        self.set_service(true);
        (self.cut, self.side) = ([false; NODES], [0; NODES]);
        (self.loss, self.max_delay_ms) = (0.0, 5);
        for at in 0..self.processes.len() {
            self.pause(at, false);
        }
        self.run(1_000);
        for node in 0..NODES {
            let current = self.current(node);
            for (at, process) in self.processes.iter_mut().enumerate() {
                process.stopped |= process.at == node && at != current;
            }
            if self.dead.contains(&self.processes[current].node)
                || self.processes[current].machine.draining
            {
                self.processes[current].stopped = true;
                self.start(node);
            }
        }
    }

    fn check_owned(&self) {
        for upstream in upstreams() {
            let name = upstream.name;
            let owners: Vec<&Process> =
                self.processes.iter().filter(|p| p.orders(self.now, &name, true)).collect();
            assert_eq!(owners.len(), 1, "owners of {name}");
            let record = self.service.records.get(&name).map(|stored| &stored.record.owner);
            assert_eq!(record, Some(&owners[0].node), "record of {name}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two owners that give orders, against takeovers before
    /// old owners could renew, and against upstreams that stay without an owner.
    #[test]
    fn one_owner_gives_orders(
        seed in any::<u64>(),
        ops in prop::collection::vec(op(), 1..25),
    ) {
        let mut world = World::new(seed);
        world.run(6_000);
        ops.into_iter().for_each(|op| world.step(op));
        world.heal();
        world.run(50_000);
        world.check_owned();
    }
}

/// Guards against loads and evictions that end with an outage of the service, and
/// against upstreams that change hands because of it.
#[test]
fn owners_go_on_through_an_outage() {
    let mut world = World::new(1);
    world.run(30_000);
    world.check_owned();
    let owners = world.last_owner.clone();
    world.step(Op::Service { up: false });
    let check = |world: &World| {
        for upstream in upstreams() {
            let at = world.processes.iter().position(|p| p.node == owners[&upstream.name]);
            let owner = &world.processes[at.expect("owners run")];
            assert!(owner.orders(world.now, &upstream.name, false), "{}", upstream.name);
        }
    };
    for _ in 0..600 {
        world.run(100);
        check(&world);
    }
    world.step(Op::Service { up: true });
    // Others wait for the grace period, the owners don't.
    world.run(3_000);
    check(&world);
    world.run(30_000);
    world.check_owned();
    assert_eq!(world.last_owner, owners);
}

/// Guards against a killed owner whose adapters nobody uses until its lease ends.
#[test]
fn the_next_node_serves_from_loaded_adapters_until_the_lease_ends() {
    let mut world = World::new(2);
    world.run(10_000);
    let upstream = upstreams().swap_remove(0).name;
    let owner = world.last_owner[&upstream].clone();
    let at = world.processes.iter().position(|p| p.node == owner).expect("owners run");
    world.processes[at].stopped = true;
    world.run(500);
    let caretakers = |world: &World| {
        let is = |p: &&Process| p.running() && p.role(world.now, &upstream) == Role::Caretaker;
        world.processes.iter().filter(is).count()
    };
    assert_eq!(caretakers(&world), 1);
    world.run(8_000);
    assert_eq!(caretakers(&world), 0);
    assert_ne!(world.last_owner[&upstream], owner);
}
