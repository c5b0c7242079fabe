//! Content of messages: recent changes first, then members in turn.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::Rumor;
use crate::membership::RumorBody;
use crate::membership::StoreViews;
use crate::membership::roster::Roster;
use crate::types::Member;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Time;

/// Bytes of a member besides its strings, at most.
const MEMBER_OVERHEAD_BYTES: usize = 24;
/// Bytes of a rumor besides its strings, at most.
const RUMOR_OVERHEAD_BYTES: usize = 64;

/// Kind of a rumor; with its origin it names the value that a newer one replaces.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    TableVersion,
    StoreReachable,
    Advert(Name),
}

impl Kind {
    fn of(body: &RumorBody) -> Kind {
        match body {
            RumorBody::TableVersion(_) => Kind::TableVersion,
            RumorBody::StoreReachable(_) => Kind::StoreReachable,
            RumorBody::Advert { upstream, .. } => Kind::Advert(upstream.clone()),
        }
    }
}

/// What a message may carry as a change.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Item {
    Member(NodeRef),
    Rumor(NodeRef, Kind),
}

/// Rumors and changes to disseminate.
#[derive(Debug)]
pub(super) struct Gossip {
    me: NodeRef,
    sequence: u64,
    table_version: u64,
    store_reachable: Option<bool>,
    rumors: BTreeMap<(NodeRef, Kind), (Time, Rumor)>,
    /// Changes with the number of messages that still carry them.
    changes: BTreeMap<Item, u32>,
    /// Last member that filled a message.
    filled: NodeRef,
}

impl Gossip {
    pub(super) fn new(me: NodeRef) -> Gossip {
        Gossip {
            filled: me.clone(),
            me,
            sequence: 0,
            table_version: 0,
            store_reachable: None,
            rumors: BTreeMap::new(),
            changes: BTreeMap::new(),
        }
    }

    pub(super) fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Disseminates a value of this node in `limit` messages.
    pub(super) fn announce(&mut self, now: Time, body: RumorBody, limit: u32) {
        match body {
            RumorBody::TableVersion(version) => {
                self.table_version = self.table_version.max(version);
            }
            RumorBody::StoreReachable(reachable) => self.store_reachable = Some(reachable),
            RumorBody::Advert { .. } => {
                let kind = Kind::of(&body);
                let rumor = self.own(body);
                self.rumors.insert((self.me.clone(), kind.clone()), (now, rumor));
                self.changes.insert(Item::Rumor(self.me.clone(), kind), limit);
            }
        }
    }

    fn own(&mut self, body: RumorBody) -> Rumor {
        self.sequence += 1;
        Rumor { from: self.me.clone(), sequence: self.sequence, body }
    }

    /// Takes a rumor of another node; true if its value is new to this node.
    pub(super) fn learn(&mut self, now: Time, rumor: &Rumor, limit: u32) -> bool {
        if let RumorBody::TableVersion(version) = rumor.body {
            let newer = version > self.table_version;
            self.table_version = self.table_version.max(version);
            return newer;
        }
        let kind = Kind::of(&rumor.body);
        let key = (rumor.from.clone(), kind.clone());
        let known = self.rumors.get(&key);
        if known.is_some_and(|(_, known)| known.sequence >= rumor.sequence) {
            return false;
        }
        let changed = known.is_none_or(|(_, known)| known.body != rumor.body);
        self.rumors.insert(key, (now, rumor.clone()));
        if changed {
            self.changes.insert(Item::Rumor(rumor.from.clone(), kind), limit);
        }
        changed
    }

    /// Disseminates the state of a member in `limit` messages.
    pub(super) fn spread(&mut self, node: NodeRef, limit: u32) {
        let left = self.changes.entry(Item::Member(node)).or_default();
        *left = (*left).max(limit);
    }

    /// Removes the rumors of a dead member.
    pub(super) fn forget(&mut self, node: &NodeRef) {
        self.rumors.retain(|(from, _), _| from != node);
        self.changes.retain(|item, _| !matches!(item, Item::Rumor(from, _) if from == node));
    }

    pub(super) fn store_views(
        &self,
        now: Time,
        max_age: Duration,
        live: impl Fn(&NodeRef) -> bool,
    ) -> StoreViews {
        let mut views = StoreViews::default();
        for ((from, _), (received, rumor)) in &self.rumors {
            match rumor.body {
                _ if now.since(*received) > max_age || !live(from) => {}
                RumorBody::StoreReachable(true) => views.reachable += 1,
                RumorBody::StoreReachable(false) => views.unreachable += 1,
                RumorBody::TableVersion(_) | RumorBody::Advert { .. } => {}
            }
        }
        views
    }

    /// Members and rumors of the next message, at most `budget` bytes. This node goes
    /// first, then the member `first`.
    pub(super) fn compose(
        &mut self,
        roster: &Roster,
        first: Option<&NodeRef>,
        budget: usize,
    ) -> (Vec<Member>, Vec<Rumor>) {
        let mut content = Content { left: budget, members: Vec::new(), rumors: Vec::new() };
        content.members.extend(roster.wire(&self.me));
        content.left = content.left.saturating_sub(content.members.iter().map(member_size).sum());
        if let Some(member) = first.and_then(|node| roster.wire(node)) {
            content.add_member(member);
        }
        if self.table_version > 0 {
            let rumor = self.own(RumorBody::TableVersion(self.table_version));
            content.add_rumor(rumor);
        }
        if let Some(reachable) = self.store_reachable {
            let rumor = self.own(RumorBody::StoreReachable(reachable));
            content.add_rumor(rumor);
        }
        self.add_changes(roster, &mut content);
        self.fill(roster, &mut content);
        (content.members, content.rumors)
    }

    /// Adds the changes of members and of rumors that the fewest messages carried.
    fn add_changes(&mut self, roster: &Roster, content: &mut Content) {
        let mut order: Vec<(u32, Item)> =
            self.changes.iter().map(|(item, left)| (*left, item.clone())).collect();
        // Changes of members go before rumors, which may be many.
        order.sort_by_key(|(left, item)| (matches!(item, Item::Rumor(..)), Reverse(*left)));
        for (left, item) in order {
            let added = match &item {
                Item::Member(node) if content.members.iter().any(|m| m.node == *node) => true,
                Item::Member(node) => roster.wire(node).is_none_or(|m| content.add_member(m)),
                Item::Rumor(from, kind) => match self.rumors.get(&(from.clone(), kind.clone())) {
                    Some((_, rumor)) => content.add_rumor(rumor.clone()),
                    None => true,
                },
            };
            match (added, left) {
                (false, _) => {}
                (true, 0 | 1) => {
                    self.changes.remove(&item);
                }
                (true, left) => {
                    self.changes.insert(item, left - 1);
                }
            }
        }
    }

    /// Adds members in turn, so that a lost change is repaired in time.
    fn fill(&mut self, roster: &Roster, content: &mut Content) {
        for _ in 0..roster.len() {
            let Some(node) = roster.after(&self.filled).cloned() else { return };
            let known = content.members.iter().any(|m| m.node == node);
            let added = known || roster.wire(&node).is_none_or(|m| content.add_member(m));
            if !added {
                return;
            }
            self.filled = node;
        }
    }
}

/// Content of a message within its budget.
struct Content {
    left: usize,
    members: Vec<Member>,
    rumors: Vec<Rumor>,
}

impl Content {
    fn add_member(&mut self, member: Member) -> bool {
        let added = self.take(member_size(&member));
        if added {
            self.members.push(member);
        }
        added
    }

    fn add_rumor(&mut self, rumor: Rumor) -> bool {
        let added = self.take(rumor_size(&rumor));
        if added {
            self.rumors.push(rumor);
        }
        added
    }

    fn take(&mut self, size: usize) -> bool {
        let left = self.left.checked_sub(size);
        self.left = left.unwrap_or(self.left);
        left.is_some()
    }
}

fn member_size(member: &Member) -> usize {
    let strings = [&member.node.id, &member.zone, &member.caller_address, &member.peer_address];
    MEMBER_OVERHEAD_BYTES + strings.iter().map(|name| name.as_str().len()).sum::<usize>()
}

fn rumor_size(rumor: &Rumor) -> usize {
    let upstream = match &rumor.body {
        RumorBody::Advert { upstream, .. } => upstream.as_str().len(),
        RumorBody::TableVersion(_) | RumorBody::StoreReachable(_) => 0,
    };
    RUMOR_OVERHEAD_BYTES + rumor.from.id.as_str().len() + upstream
}

/// Estimated bytes of a message's members and rumors.
#[cfg(test)]
pub(super) fn sizes(message: &crate::membership::Message) -> usize {
    message.members.iter().map(member_size).sum::<usize>()
        + message.rumors.iter().map(rumor_size).sum::<usize>()
}
