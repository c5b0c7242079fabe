//! Tests of membership over a network that delays, repeats, reorders and loses messages.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::membership::Membership;
use crate::membership::MembershipConfig;
use crate::membership::MembershipEffect;
use crate::membership::MembershipInput;
use crate::membership::Message;
use crate::membership::MessageBody;
use crate::membership::RumorBody;
use crate::membership::gossip;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Time;

const STEP: Duration = Duration::from_millis(50);

struct Process {
    machine: Membership,
    node: NodeRef,
    paused: bool,
    /// Last states that this process listed; they must only advance.
    seen: BTreeMap<NodeRef, MemberState>,
}

struct Packet {
    due: Time,
    from: NodeRef,
    to: usize,
    message: Message,
}

struct World {
    now: Time,
    rng: ChaCha8Rng,
    processes: Vec<Option<Process>>,
    packets: Vec<Packet>,
    incarnation: u64,
    /// Side of each node; messages between sides are lost.
    side: Vec<u8>,
    loss: f64,
    max_delay_ms: u64,
}

fn address(node: usize) -> Name {
    Name::from(format!("127.0.0.1:{}", 7_000 + node))
}

impl World {
    fn new(nodes: usize, seed: u64) -> World {
        let mut world = World {
            now: Time::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            processes: (0..nodes).map(|_| None).collect(),
            packets: Vec::new(),
            incarnation: 0,
            side: vec![0; nodes],
            loss: 0.0,
            max_delay_ms: 20,
        };
        (0..nodes).for_each(|node| world.start(node));
        world
    }

    fn start(&mut self, node: usize) {
        self.incarnation += 1;
        let id = Name::from(format!("node-{node}"));
        let me = Member {
            node: NodeRef { id, incarnation: self.incarnation },
            zone: Name::from("zone-a"),
            caller_address: address(node),
            peer_address: address(node),
            state: MemberState::Alive,
        };
        let (node_ref, seed) = (me.node.clone(), self.rng.random());
        let machine = Membership::new(MembershipConfig::default(), me, seed);
        let process = Process { machine, node: node_ref, paused: false, seen: BTreeMap::new() };
        self.processes[node] = Some(process);
        let contacts = (0..self.processes.len()).map(address).collect();
        self.input(node, MembershipInput::Contacts(contacts));
    }

    fn input(&mut self, at: usize, input: MembershipInput) {
        let Some(process) = self.processes[at].as_mut() else { return };
        let mut effects = Vec::new();
        process.machine.handle(self.now, input, &mut effects);
        check_advance(process);
        let from = process.node.clone();
        for effect in effects {
            let MembershipEffect::Send { to, message } = effect else { continue };
            let bytes: usize = gossip::sizes(&message);
            assert!(
                bytes <= MembershipConfig::default().message_bytes,
                "a message of {bytes} bytes"
            );
            let to =
                (0..self.processes.len()).find(|n| address(*n) == to).expect("a known address");
            for _ in 0..self.rng.random_range(1..=2) {
                if self.side[at] == self.side[to] && !self.rng.random_bool(self.loss) {
                    let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
                    let (from, message) = (from.clone(), message.clone());
                    self.packets.push(Packet { due: self.now + delay, from, to, message });
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + STEP;
            for at in 0..self.processes.len() {
                let running = self.processes[at].as_ref().is_some_and(|process| !process.paused);
                if !running {
                    continue;
                }
                let due = |packet: &mut Packet| packet.to == at && packet.due <= self.now;
                let received: Vec<Packet> = self.packets.extract_if(.., due).collect();
                // After a pause the timer may fire before the socket is read.
                self.input(at, MembershipInput::Tick);
                for Packet { from, message, .. } in received {
                    self.input(at, MembershipInput::Received { from, message });
                }
            }
        }
    }

    fn states(&self, at: usize) -> BTreeMap<NodeRef, MemberState> {
        let process = self.processes[at].as_ref().expect("the process runs");
        process.machine.members().map(|member| (member.node.clone(), member.state)).collect()
    }

    fn node(&self, at: usize) -> &NodeRef {
        &self.processes[at].as_ref().expect("the process runs").node
    }

    fn state_at(&self, observer: usize, node: &NodeRef) -> Option<MemberState> {
        self.states(observer).get(node).copied()
    }
}

fn check_advance(process: &mut Process) {
    for member in process.machine.members() {
        let old = process.seen.insert(member.node.clone(), member.state);
        let allowed = match old {
            None | Some(MemberState::Alive | MemberState::Suspect) => true,
            Some(MemberState::Leaving) => {
                matches!(member.state, MemberState::Leaving | MemberState::Dead)
            }
            Some(MemberState::Dead) => member.state == MemberState::Dead,
        };
        assert!(allowed, "{:?} went from {old:?} to {:?}", member.node, member.state);
    }
}

#[derive(Clone, Debug)]
enum Op {
    Run { millis: u64, loss: f64, max_delay_ms: u64 },
    Side { node: usize, side: u8 },
    Pause { node: usize, paused: bool },
    Kill { node: usize },
    Start { node: usize },
    Leave { node: usize },
}

fn op(nodes: usize) -> impl Strategy<Value = Op> {
    let node = 0..nodes;
    prop_oneof![
        6 => (100_u64..4_000, 0.0..0.6, 0_u64..2_000)
            .prop_map(|(millis, loss, max_delay_ms)| Op::Run { millis, loss, max_delay_ms }),
        2 => (node.clone(), 0_u8..2).prop_map(|(node, side)| Op::Side { node, side }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, paused)| Op::Pause { node, paused }),
        1 => node.clone().prop_map(|node| Op::Kill { node }),
        2 => node.clone().prop_map(|node| Op::Start { node }),
        1 => node.prop_map(|node| Op::Leave { node }),
    ]
}

impl World {
    fn step(&mut self, op: Op) {
        match op {
            Op::Run { millis, loss, max_delay_ms } => {
                (self.loss, self.max_delay_ms) = (loss, max_delay_ms);
                self.run(millis);
            }
            Op::Side { node, side } => self.side[node] = side,
            Op::Pause { node, paused } => {
                if let Some(process) = &mut self.processes[node] {
                    process.paused = paused;
                }
            }
            Op::Kill { node } => self.processes[node] = None,
            Op::Start { node } => self.start(node),
            Op::Leave { node } => self.input(node, MembershipInput::Leave),
        }
    }

    fn heal(&mut self) {
        self.side.fill(0);
        (self.loss, self.max_delay_ms) = (0.0, 20);
        self.processes.iter_mut().flatten().for_each(|process| process.paused = false);
    }

    /// Running processes agree, list each other, and know if they were declared dead.
    fn check_converged(&self) {
        let running: Vec<usize> =
            (0..self.processes.len()).filter(|at| self.processes[*at].is_some()).collect();
        for &observer in &running {
            for &at in &running {
                let node = self.node(at);
                let view = self.state_at(observer, node);
                let own = self.state_at(at, node);
                assert_eq!(view, own, "view of {node:?} at {observer}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against incarnations that come back from the dead or stop leaving,
    /// against nodes that disagree for good after a partition, and against messages
    /// above the budget.
    #[test]
    fn states_only_advance_and_converge(
        seed in any::<u64>(),
        ops in prop::collection::vec(op(4), 1..14),
    ) {
        let mut world = World::new(4, seed);
        ops.into_iter().for_each(|op| world.step(op));
        world.heal();
        world.run(15_000);
        world.check_converged();
    }
}

/// Guards against slow failure detection, which delays the next owner.
#[test]
fn a_killed_node_is_dead_everywhere_within_5_s() {
    for seed in 0..20 {
        let mut world = World::new(6, seed);
        world.run(5_000);
        let node = world.node(3).clone();
        world.processes[3] = None;
        world.run(5_000);
        for at in [0, 1, 2, 4, 5] {
            assert_eq!(world.state_at(at, &node), Some(MemberState::Dead), "seed {seed} at {at}");
        }
        world.check_converged();
    }
}

/// Guards against a partition of one node after whose end everybody is dead.
#[test]
fn an_isolated_node_declares_nobody_dead() {
    for seed in 0..20 {
        let mut world = World::new(6, seed);
        world.run(5_000);
        world.side[0] = 1;
        world.run(20_000);
        let dead = world.states(0).values().filter(|state| **state == MemberState::Dead).count();
        assert_eq!(dead, 0, "seed {seed}");
        let process = world.processes[0].as_ref().expect("it runs");
        assert!(!process.machine.in_contact(world.now) && process.machine.is_isolated(world.now));
        world.heal();
        world.run(5_000);
        world.check_converged();
        assert_eq!(world.state_at(0, world.node(0)), Some(MemberState::Dead), "seed {seed}");
    }
}

/// Guards against a long pause after which the paused node, or the node itself,
/// declares others dead from answers that it did not read.
#[test]
fn a_short_pause_or_heavy_loss_kills_nobody() {
    for seed in 0..20 {
        let mut world = World::new(6, seed);
        world.run(3_000);
        world.loss = 0.1;
        for at in 0..6 {
            world.step(Op::Pause { node: at, paused: true });
            world.run(2_000);
            world.step(Op::Pause { node: at, paused: false });
            world.run(2_000);
        }
        for at in 0..6 {
            assert!(world.states(at).values().all(|state| *state != MemberState::Dead), "{seed}");
        }
    }
}

/// Guards against a suspicion that runs on while the suspecting node is paused, so
/// that the suspect is declared dead although its answers wait in the socket.
#[test]
fn a_pause_does_not_use_up_a_suspicion() {
    for (seed, pause) in (1_000..2_500).step_by(50).enumerate() {
        let mut world = World::new(6, seed as u64);
        world.run(5_000);
        world.step(Op::Pause { node: 1, paused: true });
        world.run(1_700);
        world.step(Op::Pause { node: 1, paused: false });
        world.step(Op::Pause { node: 0, paused: true });
        world.run(pause);
        world.step(Op::Pause { node: 0, paused: false });
        world.run(500);
        let state = world.state_at(0, world.node(1));
        assert_eq!(state, Some(MemberState::Alive), "seed {seed}, pause {pause} ms");
    }
}

/// Guards against a node of a large cluster that does not learn that it was declared dead.
#[test]
fn the_answer_to_a_dead_member_says_so() {
    let mut world = World::new(1, 1);
    let mut member =
        world.processes[0].as_ref().expect("it runs").machine.members().next().cloned();
    let mut others: Vec<Member> = (0..300)
        .map(|n| {
            let mut other = member.take().expect("a member");
            other.node.id = Name::from(format!("other-{n}"));
            member = Some(other.clone());
            other
        })
        .collect();
    others[150].state = MemberState::Dead;
    let dead = others[150].clone();
    let process = world.processes[0].as_mut().expect("it runs");
    let mut effects = Vec::new();
    process.machine.handle(world.now, MembershipInput::Seed(others), &mut effects);
    for sequence in 0..50 {
        let body = MessageBody::Probe { sequence };
        let message = Message { body, members: Vec::new(), rumors: Vec::new() };
        let input = MembershipInput::Received { from: dead.node.clone(), message };
        effects.clear();
        process.machine.handle(world.now, input, &mut effects);
        let told = effects.iter().any(|effect| match effect {
            MembershipEffect::Send { message, .. } => message.members.contains(&dead),
            _ => false,
        });
        assert!(told, "answer {sequence}");
    }
}

/// Guards against requests to a process that was replaced on the same address.
#[test]
fn a_restart_ends_the_old_incarnation_at_once() {
    let mut world = World::new(4, 1);
    world.run(5_000);
    let old = world.node(2).clone();
    world.start(2);
    world.run(1_500);
    for at in 0..4 {
        assert_eq!(world.state_at(at, &old), Some(MemberState::Dead));
        assert_eq!(world.state_at(at, world.node(2)), Some(MemberState::Alive));
    }
}

/// Guards against a last survivor that waits forever for a majority.
#[test]
fn the_end_of_the_lease_ends_a_suspect_without_a_majority() {
    let mut world = World::new(2, 1);
    world.run(3_000);
    let node = world.node(1).clone();
    world.processes[1] = None;
    world.run(10_000);
    assert_eq!(world.state_at(0, &node), Some(MemberState::Suspect));
    world.input(0, MembershipInput::LeaseEnded(node.clone()));
    world.run(500);
    assert_eq!(world.state_at(0, &node), Some(MemberState::Dead));
}

/// Guards against table versions that spread slower than edits must be in force.
#[test]
fn announced_values_reach_everybody_within_2_s() {
    let mut world = World::new(9, 7);
    world.run(5_000);
    world.input(0, MembershipInput::Announce(RumorBody::TableVersion(42)));
    world.input(0, MembershipInput::Announce(RumorBody::StoreReachable(false)));
    world.run(2_000);
    for at in 1..9 {
        let machine = &world.processes[at].as_ref().expect("it runs").machine;
        assert_eq!(machine.table_version(), 42);
        assert_eq!(machine.store_views(world.now, Duration::from_secs(5)).unreachable, 1);
    }
}
