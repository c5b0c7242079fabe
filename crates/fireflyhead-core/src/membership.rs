//! Failure detection by probes, and dissemination of membership and rumors.
//!
//! A node probes one member per interval, in a shuffled order, and asks other
//! members to probe it indirectly if it does not answer. A member that answers
//! neither is suspect; suspicion is local, so no refutation has to overtake it. A
//! suspect that stays silent is declared dead, provided that this node itself is in
//! contact with more than half of the members: an isolated node declares nobody.
//!
//! `Alive`, `Leaving` and `Dead` are disseminated and only ever advance in this
//! order for one incarnation, so all nodes converge whatever the order of messages.
//! A node that learns that it was declared dead must stop and start again with a
//! higher incarnation; its own entry in [`Membership::members`] shows `Dead`.
//!
//! Each message carries the sender's own entry, its table version and its view of
//! the key-value service, then recent changes, then other members in turn, up to a
//! fixed size. The load on a node is therefore constant.

mod gossip;
mod roster;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::membership::gossip::Gossip;
use crate::membership::roster::Roster;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Time;
use crate::types::UpstreamAdvert;

/// Intervals without a tick after which the node assumes that it was paused.
const PAUSE_INTERVALS: u32 = 3;
/// Suspects probed in addition to the regular target of an interval.
const EXTRA_PROBES: usize = 3;
/// Failed probes without which no member is declared dead.
const MIN_FAILED_PROBES: u32 = 2;

/// Timing and limits of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time after which indirect probes follow an unanswered direct one.
    pub probe_timeout: Duration,
    /// Members asked to probe indirectly.
    pub relays: usize,
    /// Time for which a member must be suspect before it is declared dead.
    pub suspicion: Duration,
    /// Time for which an answer counts as contact; below `suspicion`, so that
    /// answers from before a partition don't count when a suspicion ends.
    pub contact_window: Duration,
    /// Time for which dead members are listed.
    pub forget_after: Duration,
    /// Budget of members and rumors in a message, in bytes.
    pub message_bytes: usize,
    /// Messages that carry a change, multiplied by the logarithm of the member count.
    pub retransmit: u32,
    /// Largest number of listed members.
    pub max_members: usize,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig::with_interval(Duration::from_millis(500))
    }
}

impl MembershipConfig {
    /// Configuration whose times follow from the probe interval.
    pub fn with_interval(probe_interval: Duration) -> MembershipConfig {
        MembershipConfig {
            probe_interval,
            probe_timeout: probe_interval * 2 / 5,
            relays: 3,
            suspicion: probe_interval * 5,
            contact_window: probe_interval * 4,
            forget_after: Duration::from_secs(10 * 60),
            message_bytes: 1_000,
            retransmit: 4,
            max_members: 4_096,
        }
    }
}

/// Value that a node disseminates.
#[derive(Clone, Debug, PartialEq)]
pub enum RumorBody {
    /// Highest table version that the sender knows.
    TableVersion(u64),
    /// Load figures of an upstream.
    Advert {
        /// Upstream.
        upstream: Name,
        /// Load figures.
        advert: UpstreamAdvert,
    },
    /// Whether the sender reaches the key-value service.
    StoreReachable(bool),
}

/// Value with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Rumor {
    /// Node that announced it.
    pub from: NodeRef,
    /// Rises with each rumor of the node; a higher one replaces a lower one.
    pub sequence: u64,
    /// Value.
    pub body: RumorBody,
}

/// Purpose of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageBody {
    /// Asks for an acknowledgement.
    Probe {
        /// Number of the probe at the sender.
        sequence: u64,
    },
    /// Answers a probe, directly or for the target of an indirect one.
    Ack {
        /// Number of the probe at the receiver.
        sequence: u64,
        /// Clock of the answering node, in milliseconds.
        tick_ms: u64,
    },
    /// Asks the receiver to probe another member.
    Indirect {
        /// Number of the probe at the sender.
        sequence: u64,
        /// Member to probe.
        target: NodeRef,
    },
}

/// Message between two members.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Purpose.
    pub body: MessageBody,
    /// Members as the sender knows them, the sender first; never `Suspect`.
    pub members: Vec<Member>,
    /// Rumors.
    pub rumors: Vec<Rumor>,
}

/// Event of a node's membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipInput {
    /// An authenticated message that is not a replay arrived.
    Received {
        /// Sender.
        from: NodeRef,
        /// Message.
        message: Message,
    },
    /// Members that another source lists, for example the key-value service.
    Seed(Vec<Member>),
    /// Peer addresses from the settings; they are probed until a member has the address.
    Contacts(Vec<Name>),
    /// The key-value service reports that the node's lease ended. A suspect is then
    /// declared dead without contact to the other members.
    LeaseEnded(NodeRef),
    /// This node begins a planned stop.
    Leave,
    /// Disseminate a value of this node.
    Announce(RumorBody),
    /// Time passed; expected several times per probe interval.
    Tick,
}

/// What the node must do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message.
    Send {
        /// Peer address of the receiver.
        to: Name,
        /// Message.
        message: Message,
    },
    /// A member is new or its state changed.
    Changed(Member),
    /// A value that is newer than the one known.
    Rumor(Rumor),
}

/// Views of the key-value service by other members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreViews {
    /// Members that reach the service.
    pub reachable: usize,
    /// Members that don't.
    pub unreachable: usize,
}

/// Probe without an answer so far.
#[derive(Debug)]
struct Pending {
    target: NodeRef,
    sent: Time,
    indirect: bool,
    /// Address and number of the member that asked for the probe.
    relay_for: Option<(Name, u64)>,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    me: NodeRef,
    rng: ChaCha8Rng,
    roster: Roster,
    gossip: Gossip,
    pending: BTreeMap<u64, Pending>,
    next_sequence: u64,
    /// Members still to be probed in this round.
    round: Vec<NodeRef>,
    contacts: Vec<Name>,
    next_contact: usize,
    next_probe: Time,
    last_tick: Time,
}

impl Membership {
    /// Membership that knows only `me`.
    pub fn new(cfg: MembershipConfig, me: Member, seed: u64) -> Membership {
        let node = me.node.clone();
        Membership {
            rng: ChaCha8Rng::seed_from_u64(seed),
            roster: Roster::new(me, cfg.max_members),
            gossip: Gossip::new(node.clone()),
            pending: BTreeMap::new(),
            next_sequence: 1,
            round: Vec::new(),
            contacts: Vec::new(),
            next_contact: 0,
            next_probe: Time::default(),
            last_tick: Time::default(),
            me: node,
            cfg,
        }
    }

    /// All listed members, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.members()
    }

    /// Member of an incarnation.
    pub fn member(&self, node: &NodeRef) -> Option<&Member> {
        self.roster.member(node)
    }

    /// Whether more than half of the members with recent evidence, this node
    /// included, answer it.
    pub fn in_contact(&self, now: Time) -> bool {
        let (answering, silent) = self.roster.contact(now, self.cfg.contact_window);
        2 * (answering + 1) > answering + 1 + silent
    }

    /// Whether other members are known and none of them answers.
    pub fn is_isolated(&self, now: Time) -> bool {
        let (answering, silent) = self.roster.contact(now, self.cfg.contact_window);
        answering == 0 && silent > 0
    }

    /// Views of the key-value service that living members sent within `max_age`.
    pub fn store_views(&self, now: Time, max_age: Duration) -> StoreViews {
        self.gossip.store_views(now, max_age, |node| self.roster.is_live(node))
    }

    /// Last clock value that a member sent, in milliseconds.
    pub fn tick_of(&self, node: &NodeRef) -> Option<u64> {
        self.roster.tick_of(node)
    }

    /// Highest table version that any member announced.
    pub fn table_version(&self) -> u64 {
        self.gossip.table_version()
    }

    /// Handles one event.
    pub fn handle(
        &mut self,
        now: Time,
        input: MembershipInput,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match input {
            MembershipInput::Received { from, message } => {
                self.received(now, &from, message, effects);
            }
            MembershipInput::Seed(members) => self.adopt(now, members, effects),
            MembershipInput::Contacts(addresses) => self.contacts = addresses,
            MembershipInput::LeaseEnded(node) => self.roster.lease_ended(&node),
            MembershipInput::Leave => {
                let me = self.roster.member(&self.me).cloned();
                let leaving = me.map(|me| Member { state: MemberState::Leaving, ..me });
                self.adopt(now, leaving.into_iter().collect(), effects);
            }
            MembershipInput::Announce(body) => {
                let limit = self.transmissions();
                self.gossip.announce(now, body, limit);
            }
            MembershipInput::Tick => self.tick(now, effects),
        }
    }

    fn received(
        &mut self,
        now: Time,
        from: &NodeRef,
        message: Message,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if *from == self.me {
            return;
        }
        self.adopt(now, message.members, effects);
        let changed = self.roster.heard(now, from);
        effects.extend(changed.map(MembershipEffect::Changed));
        let limit = self.transmissions();
        for rumor in message.rumors {
            let live = self.roster.is_live(&rumor.from);
            if live && rumor.from != self.me && self.gossip.learn(now, &rumor, limit) {
                effects.push(MembershipEffect::Rumor(rumor));
            }
        }
        let Some(address) = self.roster.address(from) else { return };
        match message.body {
            MessageBody::Probe { sequence } => {
                let body = MessageBody::Ack { sequence, tick_ms: now.as_millis() };
                // A dead member that still sends must learn its state with the answer.
                let dead = self.roster.is_dead(from).then_some(from);
                self.send_with(address, body, dead, effects);
            }
            MessageBody::Ack { sequence, tick_ms } => {
                self.acked(now, from, sequence, tick_ms, effects);
            }
            MessageBody::Indirect { sequence, target } => {
                self.probe(now, target, Some((address, sequence)), effects);
            }
        }
    }

    fn acked(
        &mut self,
        now: Time,
        from: &NodeRef,
        sequence: u64,
        tick_ms: u64,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(pending) = self.pending.get(&sequence) else { return };
        let direct = pending.target == *from;
        if !direct && !pending.indirect {
            return;
        }
        let Some(pending) = self.pending.remove(&sequence) else { return };
        if direct {
            self.roster.set_tick(from, tick_ms);
        }
        if let Some(changed) = self.roster.heard(now, &pending.target) {
            effects.push(MembershipEffect::Changed(changed));
        }
        if let Some((address, sequence)) = pending.relay_for {
            self.send(address, MessageBody::Ack { sequence, tick_ms }, effects);
        }
    }

    /// Merges members from a message or another source.
    fn adopt(&mut self, now: Time, members: Vec<Member>, effects: &mut Vec<MembershipEffect>) {
        let mut changed = Vec::new();
        for member in members {
            self.roster.adopt(now, member, &mut changed);
        }
        self.publish(changed, effects);
    }

    /// Disseminates changes and reports them.
    fn publish(&mut self, changed: Vec<Member>, effects: &mut Vec<MembershipEffect>) {
        let limit = self.transmissions();
        for member in changed {
            if member.state == MemberState::Dead {
                self.gossip.forget(&member.node);
                self.pending.retain(|_, pending| pending.target != member.node);
            }
            self.gossip.spread(member.node.clone(), limit);
            effects.push(MembershipEffect::Changed(member));
        }
    }

    fn tick(&mut self, now: Time, effects: &mut Vec<MembershipEffect>) {
        if now.since(self.last_tick) > self.cfg.probe_interval * PAUSE_INTERVALS {
            // Answers may wait in the socket's buffer, so silence proves nothing.
            self.pending.clear();
            self.roster.restart_suspicions(now);
        }
        self.last_tick = now;
        self.check_pending(now, effects);
        self.declare_dead(now, effects);
        self.roster.forget(now, self.cfg.forget_after);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.probe_interval;
            self.start_probes(now, effects);
        }
    }

    /// Sends indirect probes and ends probes without an answer.
    fn check_pending(&mut self, now: Time, effects: &mut Vec<MembershipEffect>) {
        let timeout = self.cfg.probe_timeout;
        let interval = self.cfg.probe_interval;
        let mut relay = Vec::new();
        let mut failed = Vec::new();
        self.pending.retain(|sequence, pending| {
            let age = now.since(pending.sent);
            let own = pending.relay_for.is_none();
            if age >= interval {
                failed.extend(own.then(|| pending.target.clone()));
                return false;
            }
            if age >= timeout && own && !pending.indirect {
                pending.indirect = true;
                relay.push((*sequence, pending.target.clone()));
            }
            true
        });
        for (sequence, target) in relay {
            for address in self.relays(&target) {
                let target = target.clone();
                self.send(address, MessageBody::Indirect { sequence, target }, effects);
            }
        }
        for target in failed {
            let changed = self.roster.unanswered(now, &target);
            effects.extend(changed.map(MembershipEffect::Changed));
        }
    }

    fn relays(&mut self, target: &NodeRef) -> Vec<Name> {
        let mut others: Vec<Name> = self
            .roster
            .probe_targets()
            .filter(|member| member.node != *target && member.state != MemberState::Suspect)
            .map(|member| member.peer_address.clone())
            .collect();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, self.cfg.relays);
        chosen.to_vec()
    }

    fn declare_dead(&mut self, now: Time, effects: &mut Vec<MembershipEffect>) {
        // A node that was declared dead itself still follows the others while it stops.
        if self.roster.is_dead(&self.me) {
            return;
        }
        let in_contact = self.in_contact(now);
        let dead =
            self.roster.expired_suspects(now, self.cfg.suspicion, MIN_FAILED_PROBES, in_contact);
        self.adopt(now, dead, effects);
    }

    /// Probes the next member of the round, some suspects and one unknown contact.
    fn start_probes(&mut self, now: Time, effects: &mut Vec<MembershipEffect>) {
        let mut targets = Vec::new();
        targets.extend(self.next_target());
        let mut suspects: Vec<NodeRef> = self.roster.suspects().cloned().collect();
        let (chosen, _) = suspects.partial_shuffle(&mut self.rng, EXTRA_PROBES);
        targets.extend(chosen.iter().cloned());
        targets.sort();
        targets.dedup();
        for target in targets {
            self.probe(now, target, None, effects);
        }
        self.probe_contact(effects);
    }

    fn next_target(&mut self) -> Option<NodeRef> {
        loop {
            if self.round.is_empty() {
                self.round = self.roster.probe_targets().map(|m| m.node.clone()).collect();
                self.round.shuffle(&mut self.rng);
            }
            let node = self.round.pop()?;
            if self.roster.is_live(&node) {
                return Some(node);
            }
        }
    }

    /// Probes a seed address that no member has; the answer makes its node known.
    fn probe_contact(&mut self, effects: &mut Vec<MembershipEffect>) {
        let unknown: Vec<&Name> =
            self.contacts.iter().filter(|address| !self.roster.has_address(address)).collect();
        if unknown.is_empty() {
            return;
        }
        let address = unknown[self.next_contact % unknown.len()].clone();
        self.next_contact = self.next_contact.wrapping_add(1);
        let sequence = self.take_sequence();
        self.send(address, MessageBody::Probe { sequence }, effects);
    }

    fn probe(
        &mut self,
        now: Time,
        target: NodeRef,
        relay_for: Option<(Name, u64)>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(address) = self.roster.address(&target) else { return };
        let sequence = self.take_sequence();
        let pending = Pending { target, sent: now, indirect: false, relay_for };
        self.pending.insert(sequence, pending);
        self.send(address, MessageBody::Probe { sequence }, effects);
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        // Steps of random width keep numbers of other members from matching by chance.
        self.next_sequence += self.rng.random_range(1..=1_000);
        sequence
    }

    fn send(&mut self, to: Name, body: MessageBody, effects: &mut Vec<MembershipEffect>) {
        self.send_with(to, body, None, effects);
    }

    /// Sends a message that carries the state of `first` before other changes.
    fn send_with(
        &mut self,
        to: Name,
        body: MessageBody,
        first: Option<&NodeRef>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let (members, rumors) = self.gossip.compose(&self.roster, first, self.cfg.message_bytes);
        let message = Message { body, members, rumors };
        effects.push(MembershipEffect::Send { to, message });
    }

    /// Messages that carry a change before it counts as disseminated.
    fn transmissions(&self) -> u32 {
        self.cfg.retransmit * (self.roster.len() + 1).ilog2().max(1)
    }
}
