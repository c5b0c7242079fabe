//! Cost and speed of membership, with all nodes as values in virtual time.
//!
//! Messages arrive after one millisecond. The size of a datagram is that of its
//! encoded members and rumors plus a fixed header.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fireflyhead_core::membership::Membership;
use fireflyhead_core::membership::MembershipConfig;
use fireflyhead_core::membership::MembershipEffect;
use fireflyhead_core::membership::MembershipInput;
use fireflyhead_core::membership::Message;
use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Time;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages;

use crate::control::report;
use crate::control::report::Figure;
use crate::control::report::Report;

/// Numbers of nodes, up to the size to design for.
const NODES: [usize; 6] = [3, 9, 18, 36, 110, 330];
/// Virtual time before the measurement.
const WARM_UP: Duration = Duration::from_secs(20);
/// Virtual time of the measurement.
const SPAN: Duration = Duration::from_secs(30);
/// Longest virtual time for a change to reach all nodes.
const LIMIT: Duration = Duration::from_secs(120);
/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// Delay of a message.
const DELAY: Duration = Duration::from_millis(1);
/// Bytes of a datagram besides members and rumors: headers of IP and UDP, sender,
/// sequence number, body and authentication code.
const HEADER_BYTES: usize = 28 + 24 + 8 + 16 + 16;
/// Bytes of an encoded rumor.
const RUMOR_BYTES: usize = 32;

struct Nodes {
    nodes: Vec<Membership>,
    addresses: HashMap<Name, usize>,
    refs: Vec<NodeRef>,
    down: Option<usize>,
    in_flight: Vec<(usize, NodeRef, Message)>,
    now: Time,
    messages: u64,
    bytes: u64,
}

fn member(i: usize) -> Member {
    Member {
        node: NodeRef { id: Name::from(format!("node-{i:03}")), incarnation: 1_796_000_000 },
        zone: Name::from(format!("zone-{}", i % 6)),
        caller_address: Name::from(format!("127.0.{}.{}:8080", i / 250, i % 250)),
        peer_address: Name::from(format!("127.0.{}.{}:8082", i / 250, i % 250)),
        state: MemberState::Alive,
    }
}

impl Nodes {
    fn new(count: usize) -> Nodes {
        let members: Vec<Member> = (0..count).map(member).collect();
        let nodes = members.iter().enumerate().map(|(i, me)| {
            let mut node = Membership::new(MembershipConfig::default(), me.clone(), i as u64);
            let seed = MembershipInput::Seed(members.clone());
            node.handle(Time::default(), seed, &mut Vec::new());
            node
        });
        Nodes {
            nodes: nodes.collect(),
            addresses: members
                .iter()
                .enumerate()
                .map(|(i, m)| (m.peer_address.clone(), i))
                .collect(),
            refs: members.into_iter().map(|member| member.node).collect(),
            down: None,
            in_flight: Vec::new(),
            now: Time::default(),
            messages: 0,
            bytes: 0,
        }
    }

    fn handle(&mut self, i: usize, input: MembershipInput) {
        if self.down == Some(i) {
            return;
        }
        let mut effects = Vec::new();
        self.nodes[i].handle(self.now, input, &mut effects);
        for effect in effects {
            if let MembershipEffect::Send { to, message } = effect {
                self.messages += 1;
                self.bytes += size(&message) as u64;
                if let Some(&target) = self.addresses.get(&to) {
                    self.in_flight.push((target, self.refs[i].clone(), message));
                }
            }
        }
    }

    /// Advances by one tick; the messages of each millisecond arrive in the next one.
    fn step(&mut self) {
        let end = self.now + TICK;
        for i in 0..self.nodes.len() {
            self.handle(i, MembershipInput::Tick);
        }
        while !self.in_flight.is_empty() && self.now < end {
            self.now = self.now + DELAY;
            for (target, from, message) in std::mem::take(&mut self.in_flight) {
                self.handle(target, MembershipInput::Received { from, message });
            }
        }
        self.now = end;
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Virtual time until `holds` for every node that is up; [`LIMIT`] if it never does.
    fn time_until(&mut self, holds: impl Fn(&Membership) -> bool) -> Duration {
        let start = self.now;
        let done = |nodes: &Nodes| {
            let up = nodes.nodes.iter().enumerate().filter(|(i, _)| nodes.down != Some(*i));
            up.map(|(_, node)| node).all(&holds)
        };
        while !done(self) && self.now.since(start) < LIMIT {
            self.step();
        }
        self.now.since(start)
    }
}

fn size(message: &Message) -> usize {
    let member = |member: &Member| {
        codec::encode(&messages::Member::from(member)).map_or(0, |bytes| bytes.len())
    };
    let members: usize = message.members.iter().map(member).sum();
    HEADER_BYTES + members + message.rumors.len() * RUMOR_BYTES
}

/// Measures growing numbers of nodes.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn measure(report: &mut Report) {
    for count in NODES {
        let (mut nodes, bytes, _) = report::build(|| {
            let mut nodes = Nodes::new(count);
            nodes.run(WARM_UP);
            nodes
        });
        (nodes.messages, nodes.bytes) = (0, 0);
        let start = Instant::now();
        nodes.run(SPAN);
        let per_node = 1.0 / (count as f64 * SPAN.as_secs_f64());
        let cpu = start.elapsed().as_secs_f64() * 1e6 * per_node;
        let (sent, sent_bytes) = (nodes.messages as f64, nodes.bytes as f64);
        nodes.handle(0, MembershipInput::Announce(RumorBody::TableVersion(7)));
        let spread = nodes.time_until(|node| node.table_version() >= 7);
        nodes.down = Some(count - 1);
        let lost = nodes.refs[count - 1].clone();
        let detected = nodes.time_until(|node| {
            node.member(&lost).is_none_or(|member| member.state == MemberState::Dead)
        });
        let mut add = |quantity, value, unit| {
            report.add(Figure {
                section: "membership",
                variable: "nodes",
                size: count,
                quantity,
                value,
                unit,
            });
        };
        add("memory of a node", bytes as f64 / count as f64, "B");
        add("processor time of a node", cpu, "us/s");
        add("messages sent by a node", sent * per_node, "1/s");
        add("bytes sent by a node", sent_bytes * per_node, "B/s");
        add("table version everywhere", spread.as_secs_f64(), "s");
        add("failure known everywhere", detected.as_secs_f64(), "s");
    }
}
