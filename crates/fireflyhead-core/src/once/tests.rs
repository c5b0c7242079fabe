//! Property tests of at-most-once execution.
//!
//! Several nodes with old incarnations that still run, owners and callers exchange
//! messages that are delivered in any order, repeated, lost, or answered by the
//! wrong incarnation.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use crate::once::CallerRef;
use crate::once::Once;
use crate::once::OnceConfig;
use crate::once::OnceEffect;
use crate::once::OnceInput;
use crate::once::OnceReply;
use crate::once::PlacementToken;
use crate::once::RequestId;
use crate::once::StoredOutcome;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Outcome;
use crate::types::Time;

const NODES: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    New { home: usize, witness: Option<usize>, refuse: bool },
    Retry { id: usize, at: usize, lookup: bool },
    Refuse { id: usize },
    Deliver { at: usize, repeat: bool, old: bool },
    Lose { at: usize },
    Owner { job: usize },
    OwnerRefuses { job: usize },
    OwnerLost { job: usize },
    WitnessUnreachable { id: usize },
    Restart { node: usize },
    Wait { millis: u64, ticks: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let at = 0_usize..1_000;
    prop_oneof![
        3 => (0..NODES, prop::option::weighted(0.9, 1..NODES), prop::bool::weighted(0.2))
            .prop_map(|(home, witness, refuse)| Op::New { home, witness, refuse }),
        4 => (at.clone(), 0..NODES, any::<bool>())
            .prop_map(|(id, at, lookup)| Op::Retry { id, at, lookup }),
        1 => at.clone().prop_map(|id| Op::Refuse { id }),
        12 => (at.clone(), prop::bool::weighted(0.2), prop::bool::weighted(0.3))
            .prop_map(|(at, repeat, old)| Op::Deliver { at, repeat, old }),
        2 => at.clone().prop_map(|at| Op::Lose { at }),
        10 => at.clone().prop_map(|job| Op::Owner { job }),
        1 => at.clone().prop_map(|job| Op::OwnerRefuses { job }),
        2 => at.clone().prop_map(|job| Op::OwnerLost { job }),
        1 => at.prop_map(|id| Op::WitnessUnreachable { id }),
        1 => (0..NODES).prop_map(|node| Op::Restart { node }),
        2 => (1_u64..4_000, any::<u64>()).prop_map(|(millis, ticks)| Op::Wait { millis, ticks }),
    ]
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobState {
    Queued,
    Asked,
    Permitted,
    Dispatched,
    Ended,
}

/// Attempt at an owner; owners outlive the home that submitted it.
#[derive(Debug)]
struct Job {
    home: NodeRef,
    id: RequestId,
    attempt: u32,
    state: JobState,
}

#[derive(Clone, Debug)]
enum Packet {
    Node { to: NodeRef, input: OnceInput },
    Permit { job: usize, granted: bool },
}

/// Incarnation of a node with the start of its clock.
struct Process {
    once: Once,
    start: Time,
}

struct World {
    cfg: OnceConfig,
    now: Time,
    processes: BTreeMap<NodeRef, Process>,
    incarnations: [u64; NODES],
    ids: Vec<RequestId>,
    jobs: Vec<Job>,
    packets: Vec<Packet>,
    dispatched: HashMap<RequestId, u32>,
    not_run: HashSet<RequestId>,
    waiting: HashSet<CallerRef>,
    callers: u64,
}

impl World {
    fn new(cfg: OnceConfig) -> World {
        let mut world = World {
            cfg,
            now: Time::from_millis(50_000),
            processes: BTreeMap::new(),
            incarnations: [0; NODES],
            ids: Vec::new(),
            jobs: Vec::new(),
            packets: Vec::new(),
            dispatched: HashMap::new(),
            not_run: HashSet::new(),
            waiting: HashSet::new(),
            callers: 0,
        };
        (0..NODES).for_each(|node| world.restart(node));
        world
    }

    fn current(&self, node: usize) -> NodeRef {
        let id = Name::from(format!("node-{node}"));
        NodeRef { id, incarnation: self.incarnations[node] }
    }

    fn restart(&mut self, node: usize) {
        self.incarnations[node] += 1;
        let node = self.current(node);
        let once = Once::new(self.cfg.clone(), node.clone());
        self.processes.insert(node, Process { once, start: self.now });
    }

    fn pick_id(&self, at: usize) -> Option<RequestId> {
        self.ids.get(at % self.ids.len().max(1)).cloned()
    }

    fn node_index(node: &NodeRef) -> usize {
        (0..NODES).find(|n| node.id.as_str() == format!("node-{n}")).expect("a node of the test")
    }

    fn caller(&mut self) -> CallerRef {
        self.callers += 1;
        let caller = CallerRef(self.callers);
        self.waiting.insert(caller);
        caller
    }

    fn input(&mut self, to: &NodeRef, input: OnceInput) {
        let Some(process) = self.processes.get_mut(to) else { return };
        let mut effects = Vec::new();
        let local = Time::default() + self.now.since(process.start);
        process.once.handle(local, input, &mut effects);
        for effect in effects {
            self.effect(to.clone(), effect);
        }
    }

    fn effect(&mut self, from: NodeRef, effect: OnceEffect) {
        let packet = match effect {
            OnceEffect::SendIntent { to, id } => {
                Packet::Node { to, input: OnceInput::Intent { id, from } }
            }
            OnceEffect::AckIntent { to, id, accepted } => {
                Packet::Node { to, input: OnceInput::WitnessAck { id, accepted } }
            }
            OnceEffect::ReplicateOutcome { to, id, outcome } => {
                Packet::Node { to, input: OnceInput::Outcome { id, outcome } }
            }
            OnceEffect::AskWitness { to, id, caller } => {
                Packet::Node { to, input: OnceInput::Lookup { id, caller } }
            }
            OnceEffect::Submit { id, attempt } => {
                self.jobs.push(Job { home: from, id, attempt, state: JobState::Queued });
                return;
            }
            OnceEffect::Permit { id, attempt, granted } => {
                let of = |job: &Job| job.id == id && job.attempt == attempt;
                let job = self.jobs.iter().position(of).expect("a permit answers a request");
                Packet::Permit { job, granted }
            }
            OnceEffect::Reply { caller, id, reply } => return self.reply(caller, &id, &reply),
        };
        self.packets.push(packet);
    }

    fn reply(&mut self, caller: CallerRef, id: &RequestId, reply: &OnceReply) {
        if *reply == OnceReply::Joined {
            return;
        }
        assert!(self.waiting.remove(&caller), "a call got two final replies");
        let runs = self.dispatched.get(id).copied().unwrap_or(0);
        match reply {
            OnceReply::NotRun => {
                assert_eq!(runs, 0, "not_run was reported for an id that ran");
                self.not_run.insert(id.clone());
            }
            OnceReply::Stored(outcome) => {
                assert_eq!((outcome.outcome, runs), (Outcome::Answered, 1));
            }
            OnceReply::Unknown | OnceReply::Expired | OnceReply::Joined => {}
        }
    }

    fn deliver(&mut self, packet: Packet, old: bool) {
        match packet {
            Packet::Node { to, input } => {
                // The address may be answered by another incarnation of the node.
                let other = self.current(World::node_index(&to));
                let receiver = if old { to } else { other };
                self.input(&receiver, input);
            }
            Packet::Permit { job, granted } => {
                let job = &mut self.jobs[job];
                match job.state {
                    JobState::Asked if granted => job.state = JobState::Permitted,
                    JobState::Asked => job.state = JobState::Ended,
                    _ => {}
                }
            }
        }
    }

    /// A lost message shows at its sender as a missing answer at the latest in `finish`.
    fn lose(&mut self, packet: Packet) {
        if let Packet::Node { input: OnceInput::Lookup { id, caller }, .. } = packet {
            self.reply(caller, &id, &OnceReply::Unknown);
        }
    }

    fn owner_step(&mut self, at: usize) {
        let Some(job) = self.jobs.get_mut(at) else { return };
        let (home, id, attempt) = (job.home.clone(), job.id.clone(), job.attempt);
        let input = match job.state {
            JobState::Queued => {
                job.state = JobState::Asked;
                OnceInput::PermitRequested { id, attempt }
            }
            JobState::Permitted => {
                job.state = JobState::Dispatched;
                let runs = self.dispatched.entry(id.clone()).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "an id was dispatched twice");
                assert!(!self.not_run.contains(&id), "an id ran after not_run was reported");
                return;
            }
            JobState::Dispatched => {
                job.state = JobState::Ended;
                let body = Bytes::from(vec![7; at % 5 * 10]);
                let outcome = StoredOutcome { body, ..StoredOutcome::bare(Outcome::Answered) };
                OnceInput::Completed { id, attempt, outcome }
            }
            JobState::Asked | JobState::Ended => return,
        };
        self.packets.push(Packet::Node { to: home, input });
    }

    /// A caller with a fresh token calls home, or the entry refuses the call.
    fn new_id(&mut self, home: usize, witness: Option<usize>, refuse: bool) {
        let witness = witness.map(|step| self.current((home + step) % NODES));
        let witness = witness.map(|node| {
            let start = self.processes[&node].start;
            let tick = u64::try_from(self.now.since(start).as_millis()).unwrap_or(0);
            (node, tick)
        });
        let home = self.current(home);
        let process = self.processes.get_mut(&home).expect("current nodes run");
        let local = Time::default() + self.now.since(process.start);
        let token = process.once.issue(local, witness);
        let id = RequestId::new(token, &self.ids.len().to_string()).expect("valid suffix");
        self.ids.push(id.clone());
        let caller = self.caller();
        let input = match refuse {
            true => OnceInput::Refuse { id, caller },
            false => OnceInput::Begin { id, caller },
        };
        self.input(&home, input);
    }

    fn step(&mut self, op: Op) {
        let jobs = self.jobs.len().max(1);
        match op {
            Op::New { home, witness, refuse } => self.new_id(home, witness, refuse),
            Op::Retry { id, at, lookup } => {
                let Some(id) = self.pick_id(id) else { return };
                let node = match (&id.token().witness, lookup) {
                    (Some(witness), true) => World::node_index(witness),
                    (None, true) => at,
                    _ => World::node_index(&id.token().home),
                };
                let (node, caller) = (self.current(node), self.caller());
                let input = match lookup {
                    true => OnceInput::Lookup { id, caller },
                    false => OnceInput::Begin { id, caller },
                };
                self.input(&node, input);
            }
            Op::Refuse { id } => {
                let Some(id) = self.pick_id(id) else { return };
                let (home, caller) = (id.token().home.clone(), self.caller());
                self.input(&home, OnceInput::Refuse { id, caller });
            }
            Op::Deliver { at, repeat, old } if !self.packets.is_empty() => {
                let at = at % self.packets.len();
                let packet = match repeat
                    && !matches!(
                        self.packets[at],
                        // Callers' messages travel over connections that don't repeat them.
                        Packet::Node { input: OnceInput::Lookup { .. }, .. }
                    ) {
                    true => self.packets[at].clone(),
                    false => self.packets.swap_remove(at),
                };
                self.deliver(packet, old);
            }
            Op::Lose { at } if !self.packets.is_empty() => {
                let packet = self.packets.swap_remove(at % self.packets.len());
                self.lose(packet);
            }
            Op::Deliver { .. } | Op::Lose { .. } => {}
            Op::Owner { job } => self.owner_step(job % jobs),
            Op::OwnerRefuses { job } => {
                let Some(job) = self.jobs.get_mut(job % jobs) else { return };
                if !matches!(job.state, JobState::Dispatched | JobState::Ended) {
                    job.state = JobState::Ended;
                    let (to, id, attempt) = (job.home.clone(), job.id.clone(), job.attempt);
                    let outcome = StoredOutcome::bare(Outcome::NotRun);
                    let input = OnceInput::Completed { id, attempt, outcome };
                    self.packets.push(Packet::Node { to, input });
                }
            }
            Op::OwnerLost { job } => self.owner_lost(job % jobs),
            Op::WitnessUnreachable { id } => {
                let Some(id) = self.pick_id(id) else { return };
                self.input(&id.token().home.clone(), OnceInput::WitnessUnreachable { id });
            }
            Op::Restart { node } => self.restart(node),
            Op::Wait { millis, ticks } => {
                self.now = self.now + Duration::from_millis(millis);
                // Paused processes miss ticks.
                let nodes: Vec<NodeRef> = self.processes.keys().cloned().collect();
                for (at, node) in nodes.iter().enumerate() {
                    if ticks >> (at % 64) & 1 == 1 {
                        self.input(node, OnceInput::Tick);
                    }
                }
            }
        }
    }

    /// Home gives up on an owner, which may go on nevertheless.
    fn owner_lost(&mut self, at: usize) {
        let Some(job) = self.jobs.get(at) else { return };
        let (home, id, attempt) = (job.home.clone(), job.id.clone(), job.attempt);
        self.input(&home, OnceInput::OwnerLost { id, attempt });
    }

    /// Delivers everything, reports what got lost, and lets every owner end.
    fn finish(&mut self) {
        while let Some(packet) = self.packets.pop() {
            self.deliver(packet, true);
        }
        for id in self.ids.clone() {
            self.input(&id.token().home.clone(), OnceInput::WitnessUnreachable { id });
        }
        let mut at = 0;
        while at < self.jobs.len() {
            for _ in 0..3 {
                self.owner_step(at);
                while let Some(packet) = self.packets.pop() {
                    self.deliver(packet, true);
                }
            }
            self.owner_lost(at);
            at += 1;
        }
        while let Some(packet) = self.packets.pop() {
            self.deliver(packet, true);
        }
        assert!(self.waiting.is_empty(), "calls without a reply: {:?}", self.waiting);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a second execution, a `not_run` for an id that ran or will
    /// run, and calls that wait forever.
    #[test]
    fn ids_run_at_most_once(
        ops in prop::collection::vec(op(), 1..150),
        max_entries in prop_oneof![Just(1_000_usize), 1_usize..6],
    ) {
        let mut world = World::new(OnceConfig {
            retention: Duration::from_secs(5),
            max_entries,
            max_body_bytes: 35,
            max_total_body_bytes: 60,
            max_attempts: 3,
        });
        ops.into_iter().for_each(|op| world.step(op));
        world.finish();
    }

    /// Guards against ids that change on the way through text, and against panics
    /// on ids that callers made up.
    #[test]
    fn request_ids_survive_their_text(
        text in "[A-Za-z0-9_.-]{0,80}",
        id in "[a-z0-9-]{1,64}",
        numbers in any::<(u64, u64, u64)>(),
        mac in prop::collection::vec(any::<u8>(), 0..=32),
        witness in any::<bool>(),
        suffix in "[A-Za-z0-9_-]{1,64}",
    ) {
        if let Ok(parsed) = RequestId::parse(&text) {
            prop_assert_eq!(parsed.to_string(), text);
        }
        let home = NodeRef { id: Name::from(id), incarnation: numbers.0 };
        let token = PlacementToken {
            witness: witness.then(|| home.clone()),
            home,
            home_tick_ms: numbers.1,
            witness_tick_ms: numbers.2,
            mac,
        };
        let id = RequestId::new(token, &suffix).expect("the suffix is valid");
        prop_assert_eq!(RequestId::parse(&id.to_string()), Ok(id));
    }
}

/// Guards against memory that grows with the number of ids instead of their rate.
#[test]
fn ids_are_discarded_after_retention() {
    let mut world = World::new(OnceConfig::default());
    for _ in 0..50 {
        world.step(Op::New { home: 0, witness: Some(1), refuse: false });
    }
    world.finish();
    let (home, witness) = (world.current(0), world.current(1));
    assert_eq!(world.processes[&home].once.entries().0, 50);
    assert_eq!(world.processes[&witness].once.entries().1, 50);
    world.step(Op::Wait { millis: 2 * 15 * 60 * 1_000, ticks: u64::MAX });
    assert_eq!(world.processes[&home].once.entries().0, 0);
    assert_eq!(world.processes[&witness].once.entries().1, 0);
}
