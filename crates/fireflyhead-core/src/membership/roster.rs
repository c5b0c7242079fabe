//! Members with the evidence that this node has of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Time;

/// Member with what this node saw of it.
#[derive(Debug)]
struct Entry {
    /// Member; its state is the view of this node.
    member: Member,
    /// State to disseminate: never `Suspect`.
    spread: MemberState,
    heard: Option<Time>,
    suspect_since: Option<Time>,
    failed_probes: u32,
    lease_ended: bool,
    dead_since: Option<Time>,
    tick_ms: Option<u64>,
}

impl Entry {
    fn new(member: Member) -> Entry {
        let spread = member.state;
        let (heard, suspect_since, dead_since, tick_ms) = (None, None, None, None);
        let (failed_probes, lease_ended) = (0, false);
        Entry {
            member,
            spread,
            heard,
            suspect_since,
            failed_probes,
            lease_ended,
            dead_since,
            tick_ms,
        }
    }

    /// Brings the view in line with the evidence; true if it changed.
    fn refresh(&mut self) -> bool {
        let state = match self.spread {
            MemberState::Alive if self.suspect_since.is_some() => MemberState::Suspect,
            state => state,
        };
        std::mem::replace(&mut self.member.state, state) != state
    }
}

/// Position in the only order in which states advance.
fn advance(state: MemberState) -> u8 {
    match state {
        MemberState::Alive | MemberState::Suspect => 0,
        MemberState::Leaving => 1,
        MemberState::Dead => 2,
    }
}

/// All listed members.
#[derive(Debug)]
pub(super) struct Roster {
    me: NodeRef,
    max_members: usize,
    entries: BTreeMap<NodeRef, Entry>,
    /// Members that are suspect.
    suspects: BTreeSet<NodeRef>,
    /// Highest dead incarnation of nodes whose entries were forgotten.
    forgotten: BTreeMap<Name, u64>,
}

impl Roster {
    pub(super) fn new(me: Member, max_members: usize) -> Roster {
        let node = me.node.clone();
        let entries = BTreeMap::from([(node.clone(), Entry::new(me))]);
        let (suspects, forgotten) = (BTreeSet::new(), BTreeMap::new());
        Roster { me: node, max_members, entries, suspects, forgotten }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    pub(super) fn member(&self, node: &NodeRef) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    pub(super) fn address(&self, node: &NodeRef) -> Option<Name> {
        self.member(node).map(|member| member.peer_address.clone())
    }

    pub(super) fn has_address(&self, address: &Name) -> bool {
        self.members().any(|m| m.peer_address == *address && m.state != MemberState::Dead)
    }

    pub(super) fn is_live(&self, node: &NodeRef) -> bool {
        self.member(node).is_some_and(|member| member.state != MemberState::Dead)
    }

    pub(super) fn is_dead(&self, node: &NodeRef) -> bool {
        match self.member(node) {
            Some(member) => member.state == MemberState::Dead,
            None => self.is_forgotten(node),
        }
    }

    fn is_forgotten(&self, node: &NodeRef) -> bool {
        self.forgotten.get(&node.id).is_some_and(|last| node.incarnation <= *last)
    }

    /// Other members that are not dead.
    pub(super) fn probe_targets(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|m| m.node != self.me && m.state != MemberState::Dead)
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &NodeRef> {
        self.suspects.iter()
    }

    pub(super) fn tick_of(&self, node: &NodeRef) -> Option<u64> {
        self.entries.get(node).and_then(|entry| entry.tick_ms)
    }

    pub(super) fn set_tick(&mut self, node: &NodeRef, tick_ms: u64) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.tick_ms = entry.tick_ms.max(Some(tick_ms));
        }
    }

    /// Member as it is disseminated.
    pub(super) fn wire(&self, node: &NodeRef) -> Option<Member> {
        let entry = self.entries.get(node)?;
        Some(Member { state: entry.spread, ..entry.member.clone() })
    }

    /// The listed member after `node`, in a circle.
    pub(super) fn after(&self, node: &NodeRef) -> Option<&NodeRef> {
        let later = (Bound::Excluded(node), Bound::Unbounded);
        self.entries.range(later).next().or_else(|| self.entries.iter().next()).map(|(n, _)| n)
    }

    /// Merges `member`; its state only advances. Changed members go to `changed`.
    pub(super) fn adopt(&mut self, now: Time, mut member: Member, changed: &mut Vec<Member>) {
        if member.state == MemberState::Suspect {
            member.state = MemberState::Alive;
        }
        if self.is_forgotten(&member.node) {
            member.state = MemberState::Dead;
        }
        let node = member.node.clone();
        let state = member.state;
        if !self.entries.contains_key(&node) {
            if self.entries.len() >= self.max_members {
                return;
            }
            if state != MemberState::Dead {
                self.replace_older(now, &member, changed);
            }
            changed.push(member.clone());
            self.entries.insert(node.clone(), Entry::new(member));
            // Sets the time of a death that is news to this node.
            self.set_state(now, &node, state, &mut Vec::new());
            return;
        }
        self.set_state(now, &node, state, changed);
    }

    fn set_state(
        &mut self,
        now: Time,
        node: &NodeRef,
        state: MemberState,
        changed: &mut Vec<Member>,
    ) {
        let Some(entry) = self.entries.get_mut(node) else { return };
        if advance(state) > advance(entry.spread) {
            entry.spread = state;
            entry.refresh();
            changed.push(entry.member.clone());
        }
        if entry.spread == MemberState::Dead {
            entry.dead_since.get_or_insert(now);
            self.suspects.remove(node);
        }
    }

    /// An address belongs to one process: a higher incarnation on it ends lower ones.
    fn replace_older(&mut self, now: Time, new: &Member, changed: &mut Vec<Member>) {
        let older: Vec<NodeRef> = self
            .incarnations(new)
            .filter(|m| m.node.incarnation < new.node.incarnation)
            .map(|m| m.node.clone())
            .collect();
        for node in older {
            self.set_state(now, &node, MemberState::Dead, changed);
        }
    }

    /// Listed incarnations of the same node at the same address.
    fn incarnations<'a>(&'a self, of: &'a Member) -> impl Iterator<Item = &'a Member> {
        let first = NodeRef { id: of.node.id.clone(), incarnation: 0 };
        let last = NodeRef { id: of.node.id.clone(), incarnation: u64::MAX };
        let same = move |m: &&Member| m.peer_address == of.peer_address;
        self.entries.range(first..=last).map(|(_, entry)| &entry.member).filter(same)
    }

    /// Notes that `node` answered; the member if its state changed.
    pub(super) fn heard(&mut self, now: Time, node: &NodeRef) -> Option<Member> {
        let entry = self.entries.get_mut(node)?;
        if entry.spread == MemberState::Dead {
            return None;
        }
        entry.heard = Some(now);
        entry.suspect_since = None;
        entry.failed_probes = 0;
        entry.lease_ended = false;
        self.suspects.remove(node);
        entry.refresh().then(|| entry.member.clone())
    }

    /// Notes that `node` did not answer a probe; the member if its state changed.
    pub(super) fn unanswered(&mut self, now: Time, node: &NodeRef) -> Option<Member> {
        let entry = self.entries.get_mut(node)?;
        if entry.spread == MemberState::Dead {
            return None;
        }
        entry.failed_probes = entry.failed_probes.saturating_add(1);
        entry.suspect_since.get_or_insert(now);
        self.suspects.insert(node.clone());
        entry.refresh().then(|| entry.member.clone())
    }

    pub(super) fn lease_ended(&mut self, node: &NodeRef) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.lease_ended = true;
        }
    }

    pub(super) fn restart_suspicions(&mut self, now: Time) {
        for node in &self.suspects {
            if let Some(entry) = self.entries.get_mut(node) {
                entry.suspect_since = Some(now);
                entry.failed_probes = 0;
            }
        }
    }

    /// Suspects to declare dead, with that state.
    pub(super) fn expired_suspects(
        &self,
        now: Time,
        suspicion: Duration,
        min_failed: u32,
        in_contact: bool,
    ) -> Vec<Member> {
        let expired = |entry: &&Entry| {
            entry.failed_probes >= min_failed
                && (in_contact || entry.lease_ended)
                && entry.suspect_since.is_some_and(|since| now.since(since) >= suspicion)
        };
        self.suspects
            .iter()
            .filter_map(|node| self.entries.get(node))
            .filter(expired)
            .map(|entry| Member { state: MemberState::Dead, ..entry.member.clone() })
            .collect()
    }

    /// Numbers of other members that answered within `window` and that don't answer.
    pub(super) fn contact(&self, now: Time, window: Duration) -> (usize, usize) {
        let live = self
            .entries
            .values()
            .filter(|entry| entry.spread != MemberState::Dead && entry.member.node != self.me);
        let (mut answering, mut silent) = (0, 0);
        for entry in live {
            match entry.heard {
                _ if entry.suspect_since.is_some() => silent += 1,
                Some(heard) if now.since(heard) <= window => answering += 1,
                _ => {}
            }
        }
        (answering, silent)
    }

    /// Removes entries of members that have been dead for `after`.
    pub(super) fn forget(&mut self, now: Time, after: Duration) {
        let (me, forgotten) = (&self.me, &mut self.forgotten);
        self.entries.retain(|node, entry| {
            let old = entry.dead_since.is_some_and(|since| now.since(since) >= after);
            if old && node != me {
                let last = forgotten.entry(node.id.clone()).or_default();
                *last = (*last).max(node.incarnation);
            }
            !old || node == me
        });
    }
}
