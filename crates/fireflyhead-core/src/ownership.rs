//! Ownership of upstreams by records in the key-value service.
//!
//! An upstream's owner holds a record that is bound to the node's lease and was
//! created while no record existed, so a record is never overwritten: the next
//! owner waits until the lease ended. The record's revision in the service is the
//! fencing number; it rises over deletions as well.
//!
//! An owner may give load and unload orders while its lease is valid by its own
//! clock, shortened by a margin. During an outage of the service it may go on in
//! short extensions, each made while the previous one holds, if it is in contact
//! with most members and most of their views agree that the service is down. A
//! broken chain of extensions ends the right until the service confirms the lease.
//! After an outage nobody takes over an upstream within a grace period.
//!
//! While an owner is dead and can't be replaced yet, the next node in rendezvous
//! order serves from adapters already loaded ([`Role::Caretaker`]).

mod authority;
mod events;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use crate::ownership::authority::Authority;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::OwnerRecord;
use crate::types::Role;
use crate::types::Time;
use crate::types::UpstreamInfo;

pub use events::OwnershipConfig;
pub use events::OwnershipEffect;
pub use events::OwnershipInput;
pub use events::StoredRecord;

/// Time between two scans for upstreams without an owner.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Upstream owned by this node.
#[derive(Clone, Debug)]
struct Owned {
    revision: i64,
    since: Time,
    pinned_until: Time,
}

/// State of the decisions of [`Ownership`]; equal values mean equal decisions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Revision {
    version: u64,
    flags: [bool; 4],
}

/// Last record known of an upstream.
#[derive(Clone, Debug)]
struct Known {
    record: OwnerRecord,
    revision: i64,
    /// When the record was last seen.
    seen: Time,
    /// When its absence was first seen; `None` while it exists.
    absent_since: Option<Time>,
}

/// Deletion of this node's record.
#[derive(Clone, Debug)]
struct Release {
    revision: i64,
    since: Time,
    sent: Time,
}

/// Creation of a record without a result so far.
#[derive(Clone, Debug)]
struct Attempt {
    operation: Name,
    sent: Time,
    lease: i64,
}

/// Ownership as one node sees it.
#[derive(Debug)]
pub struct Ownership {
    cfg: OwnershipConfig,
    node: NodeRef,
    authority: Authority,
    upstreams: BTreeMap<Name, UpstreamInfo>,
    /// Members with the time since which they are alive.
    members: BTreeMap<NodeRef, (Member, Time)>,
    owned: BTreeMap<Name, Owned>,
    known: BTreeMap<Name, Known>,
    attempts: BTreeMap<Name, Attempt>,
    releases: BTreeMap<Name, Release>,
    /// Highest revision that this node gave up, so that a slow read does not restore it.
    given_up: BTreeMap<Name, i64>,
    /// Handovers to this node: owner, whether adapters are in use, time.
    handovers: BTreeMap<Name, (NodeRef, bool, Time)>,
    /// First complete read of the records under the current state of the service.
    listed: bool,
    next_read: Time,
    next_check: Time,
    next_scan: Time,
    next_rebalance: Time,
    version: u64,
    operations: u64,
    draining: bool,
}

impl Ownership {
    /// Ownership of a node that has no lease and knows no records.
    pub fn new(cfg: OwnershipConfig, node: NodeRef) -> Ownership {
        Ownership {
            authority: Authority::new(cfg.clone()),
            upstreams: BTreeMap::new(),
            members: BTreeMap::new(),
            owned: BTreeMap::new(),
            known: BTreeMap::new(),
            attempts: BTreeMap::new(),
            releases: BTreeMap::new(),
            given_up: BTreeMap::new(),
            handovers: BTreeMap::new(),
            listed: false,
            next_read: Time::default(),
            next_check: Time::default(),
            next_scan: Time::default(),
            next_rebalance: Time::default(),
            version: 0,
            operations: 0,
            draining: false,
            node,
            cfg,
        }
    }

    /// Last known owner of an upstream, if its record exists.
    pub fn owner_of(&self, upstream: &Name) -> Option<&OwnerRecord> {
        match self.known.get(upstream) {
            Some(known) if known.absent_since.is_none() => Some(&known.record),
            _ => None,
        }
    }

    /// What this node may do with an upstream.
    pub fn role(&self, now: Time, upstream: &Name) -> Role {
        match self.owned.get(upstream) {
            _ if self.authority.isolated() => Role::None,
            Some(owned) => Role::Owner {
                fencing: fencing(owned.revision),
                orders_allowed: self.authority.orders_allowed(now),
                pinned_until: owned.pinned_until,
            },
            None if self.is_caretaker(upstream) => Role::Caretaker,
            None => Role::None,
        }
    }

    /// Value that changes whenever [`Ownership::owner_of`] or [`Ownership::role`] may.
    pub fn revision(&self, now: Time) -> Revision {
        Revision {
            version: self.version,
            flags: [
                self.authority.orders_allowed(now),
                self.authority.isolated(),
                self.authority.majority(),
                self.authority.store_reachable(),
            ],
        }
    }

    /// Whether the service answers this node.
    pub fn store_reachable(&self) -> bool {
        self.authority.store_reachable()
    }

    /// Lease of this node.
    pub fn lease(&self) -> Option<i64> {
        self.authority.lease()
    }

    /// Upstreams that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &Name> {
        self.owned.keys()
    }

    /// Whether every record of this node was handed over or released.
    pub fn released(&self) -> bool {
        self.owned.is_empty() && self.releases.is_empty() && self.attempts.is_empty()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, input: OwnershipInput, effects: &mut Vec<OwnershipEffect>) {
        match input {
            OwnershipInput::LeaseGranted { lease, sent } => {
                if self.authority.granted(now, lease, sent) {
                    effects.push(OwnershipEffect::Register { lease });
                }
            }
            OwnershipInput::KeptAlive { lease, sent } => self.authority.kept_alive(lease, sent),
            OwnershipInput::LeaseLost { lease } => self.lease_lost(now, lease, effects),
            OwnershipInput::LeaseCallFailed => self.authority.call_ended(),
            OwnershipInput::Registered { lease } => self.authority.registered(lease),
            OwnershipInput::Listed { records, sent } => self.listed(now, records, sent, effects),
            OwnershipInput::Read { upstream, stored, sent } => {
                self.read(now, upstream, stored, sent, effects);
            }
            OwnershipInput::WatchLost => self.next_read = now,
            OwnershipInput::SwapDone { upstream, operation, revision } => {
                self.created(now, upstream, &operation, revision, effects);
            }
            OwnershipInput::SwapConflict { upstream, operation }
            | OwnershipInput::SwapLost { upstream, operation } => {
                if self.attempts.get(&upstream).is_some_and(|a| a.operation == operation) {
                    effects.push(OwnershipEffect::Read { upstream });
                }
            }
            OwnershipInput::Called { ok } => {
                if self.authority.called(now, ok) {
                    self.listed = false;
                    self.next_read = now;
                }
            }
            OwnershipInput::Members(members) => self.set_members(now, members),
            OwnershipInput::Contact { majority, isolated, views } => {
                self.authority.set_contact(now, majority, isolated, views);
            }
            OwnershipInput::Upstreams(upstreams) => {
                self.version += 1;
                self.upstreams = upstreams.into_iter().map(|u| (u.name.clone(), u)).collect();
            }
            OwnershipInput::Handover { upstream, from, in_use, .. } => {
                self.handovers.insert(upstream.clone(), (from, in_use, now));
                effects.push(OwnershipEffect::Read { upstream });
            }
            OwnershipInput::Drain => {
                self.draining = true;
                self.version += 1;
            }
            OwnershipInput::Tick => {}
        }
        self.advance(now, effects);
    }

    /// Everything that depends on the time and on the sum of what is known.
    fn advance(&mut self, now: Time, effects: &mut Vec<OwnershipEffect>) {
        self.authority.advance(now, effects);
        if now >= self.next_read && self.authority.store_reachable() {
            self.next_read = now + self.cfg.read_interval;
            effects.push(OwnershipEffect::ReadAll);
        }
        self.repeat_calls(now, effects);
        self.hand_over(now, effects);
        if now >= self.next_scan && self.listed && self.authority.has_lease(now) && !self.draining {
            self.next_scan = now + SCAN_INTERVAL;
            let allowed = self.authority.may_take_over(now);
            let ownerless = |name: &&Name| {
                self.known.get(*name).is_none_or(|known| known.absent_since.is_some())
            };
            let names: Vec<Name> = self.upstreams.keys().filter(ownerless).cloned().collect();
            for upstream in names {
                if allowed || self.may_reclaim(now, &upstream) {
                    self.take_over(now, upstream, effects);
                }
            }
        }
    }

    /// Whether this node owned the upstream during an outage that ended the lease.
    fn may_reclaim(&self, now: Time, upstream: &Name) -> bool {
        self.handovers
            .get(upstream)
            .is_some_and(|(from, _, at)| *from == self.node && now.since(*at) < self.cfg.grace)
    }

    fn set_members(&mut self, now: Time, members: Vec<Member>) {
        self.version += 1;
        let old = std::mem::take(&mut self.members);
        self.members = members
            .into_iter()
            .map(|member| {
                let since = match old.get(&member.node) {
                    Some((before, since)) if before.state == MemberState::Alive => *since,
                    _ => now,
                };
                (member.node.clone(), (member, since))
            })
            .collect();
    }

    /// The service ended the lease, and with it every record of this node.
    fn lease_lost(&mut self, now: Time, lease: i64, effects: &mut Vec<OwnershipEffect>) {
        if self.authority.lease() != Some(lease) {
            return;
        }
        let reclaim = self.authority.lost(now);
        self.version += 1;
        self.attempts.clear();
        self.releases.clear();
        for (upstream, owned) in std::mem::take(&mut self.owned) {
            if let Some(known) = self.known.get_mut(&upstream) {
                known.absent_since = Some(now);
            }
            if reclaim {
                // No other node takes over within the grace period.
                let in_use = owned.pinned_until > now;
                self.handovers.insert(upstream.clone(), (self.node.clone(), in_use, now));
            }
            effects.push(OwnershipEffect::Stop { upstream });
        }
        self.next_read = now;
    }

    fn listed(
        &mut self,
        now: Time,
        records: Vec<(Name, StoredRecord)>,
        sent: Time,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        let records: BTreeMap<Name, StoredRecord> = records.into_iter().collect();
        let absent: Vec<Name> =
            self.known.keys().filter(|name| !records.contains_key(*name)).cloned().collect();
        for upstream in absent {
            self.read(now, upstream, None, sent, effects);
        }
        for (upstream, stored) in records {
            self.read(now, upstream, Some(stored), sent, effects);
        }
        self.listed = true;
    }

    fn read(
        &mut self,
        now: Time,
        upstream: Name,
        stored: Option<StoredRecord>,
        sent: Time,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        match stored {
            Some(stored) => self.present(now, upstream, stored, sent, effects),
            None => self.absent(now, &upstream, sent, effects),
        }
    }

    fn present(
        &mut self,
        now: Time,
        upstream: Name,
        stored: StoredRecord,
        sent: Time,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        let stale = self.known.get(&upstream).is_some_and(|known| {
            known.revision > stored.revision
                || (known.revision == stored.revision
                    && known.absent_since.is_some_and(|absent| sent <= absent))
        });
        if stale {
            return;
        }
        let mine = stored.record.owner == self.node;
        let current = mine && self.authority.lease() == Some(stored.lease);
        self.note(now, &upstream, stored.record, stored.revision);
        if current {
            // Either the result of a creation whose reply was lost, or known already.
            self.attempts.remove(&upstream);
            self.own(now, upstream, stored.revision, effects);
            return;
        }
        if mine {
            // The record is bound to a lease that ended, and is about to disappear.
            self.next_read = self.next_read.min(now + self.cfg.call_timeout);
        } else {
            self.attempts.remove(&upstream);
            let owner = self.known.get(&upstream).map(|known| known.record.owner.clone());
            // A handover by an earlier owner says nothing about the present one.
            if self.handovers.get(&upstream).map(|(from, ..)| from) != owner.as_ref() {
                self.handovers.remove(&upstream);
            }
        }
        self.stop(upstream, effects);
    }

    fn stop(&mut self, upstream: Name, effects: &mut Vec<OwnershipEffect>) -> Option<Owned> {
        let owned = self.owned.remove(&upstream)?;
        self.version += 1;
        self.given_up.insert(upstream.clone(), owned.revision);
        effects.push(OwnershipEffect::Stop { upstream });
        Some(owned)
    }

    fn absent(
        &mut self,
        now: Time,
        upstream: &Name,
        sent: Time,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        let of_watch = sent == Time::default();
        match self.owned.get(upstream) {
            Some(owned) if sent > owned.since => {
                self.stop(upstream.clone(), effects);
            }
            // The absence may be older than the record: an event of a watch, or a slow read.
            Some(_) => {
                if of_watch {
                    effects.push(OwnershipEffect::Read { upstream: upstream.clone() });
                }
                return;
            }
            None => {}
        }
        if self.attempts.get(upstream).is_some_and(|attempt| sent > attempt.sent) {
            self.attempts.remove(upstream);
        }
        if self.releases.get(upstream).is_some_and(|release| sent >= release.since) {
            self.releases.remove(upstream);
        }
        match self.known.get_mut(upstream) {
            Some(known) if of_watch || sent >= known.seen => {
                if known.absent_since.is_none() {
                    self.version += 1;
                }
                known.absent_since.get_or_insert(now);
            }
            _ => {}
        }
    }

    fn note(&mut self, now: Time, upstream: &Name, record: OwnerRecord, revision: i64) {
        let record = OwnerRecord { fencing: fencing(revision), ..record };
        let known = Known { record, revision, seen: now, absent_since: None };
        let before = self.known.insert(upstream.clone(), known);
        let same = before.is_some_and(|b| b.revision == revision && b.absent_since.is_none());
        self.version += u64::from(!same);
    }

    fn created(
        &mut self,
        now: Time,
        upstream: Name,
        operation: &Name,
        revision: i64,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        match self.attempts.get(&upstream) {
            Some(a) if a.operation == *operation && self.authority.lease() == Some(a.lease) => {
                let (owner, operation) = (self.node.clone(), operation.clone());
                self.attempts.remove(&upstream);
                self.note(now, &upstream, OwnerRecord { owner, fencing: 0, operation }, revision);
                self.own(now, upstream, revision, effects);
            }
            _ => effects.push(OwnershipEffect::Read { upstream }),
        }
    }

    /// Notes that this node owns the upstream by the record with `revision`.
    fn own(
        &mut self,
        now: Time,
        upstream: Name,
        revision: i64,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        if self.given_up.get(&upstream).is_some_and(|last| revision <= *last)
            || self.owned.get(&upstream).is_some_and(|owned| owned.revision == revision)
        {
            return;
        }
        let in_use = match self.handovers.remove(&upstream) {
            Some((_, in_use, at)) if now.since(at) <= self.cfg.lease_ttl => in_use,
            _ => true,
        };
        let fencing = self.upstreams.get(&upstream).is_some_and(|info| info.fencing);
        let pinned_until = if in_use && !fencing { now + self.cfg.pin_for } else { now };
        self.version += 1;
        self.owned.insert(upstream.clone(), Owned { revision, since: now, pinned_until });
        effects.push(OwnershipEffect::Start { upstream });
    }

    /// Creates the record of an upstream without an owner, if it is this node's turn.
    fn take_over(&mut self, now: Time, upstream: Name, effects: &mut Vec<OwnershipEffect>) {
        let leaving = self.upstreams.get(&upstream).is_some_and(|info| info.leaving);
        let busy = self.owned.contains_key(&upstream)
            || self.attempts.contains_key(&upstream)
            || self.releases.contains_key(&upstream);
        let absent_since = match self.known.get(&upstream) {
            Some(known) => known.absent_since,
            None => Some(self.authority.takeover_start()),
        };
        let Some(absent_since) = absent_since else { return };
        let Some(lease) = self.authority.lease() else { return };
        let Some(place) = self.place(&upstream) else { return };
        let handed = self.handovers.contains_key(&upstream);
        let delay = if handed { 0 } else { u32::try_from(place).unwrap_or(u32::MAX) };
        let since = absent_since.max(self.authority.takeover_start());
        if leaving || busy || now.since(since) < self.cfg.rank_delay.saturating_mul(delay) {
            return;
        }
        self.operations += 1;
        let NodeRef { id, incarnation } = &self.node;
        let operation = Name::from(format!("{id}/{incarnation}/{}", self.operations));
        let record =
            OwnerRecord { owner: self.node.clone(), fencing: 0, operation: operation.clone() };
        self.attempts.insert(upstream.clone(), Attempt { operation, sent: now, lease });
        effects.push(OwnershipEffect::Create { upstream, record, lease });
    }

    /// Reads back creations and repeats deletions that gave no result.
    fn repeat_calls(&mut self, now: Time, effects: &mut Vec<OwnershipEffect>) {
        let timeout = self.cfg.call_timeout;
        if !self.authority.store_reachable() {
            return;
        }
        for (upstream, attempt) in &mut self.attempts {
            if now.since(attempt.sent) >= timeout {
                attempt.sent = now;
                effects.push(OwnershipEffect::Read { upstream: upstream.clone() });
            }
        }
        for (upstream, release) in &mut self.releases {
            if now.since(release.sent) >= timeout {
                release.sent = now;
                let (upstream, revision) = (upstream.clone(), release.revision);
                effects.push(OwnershipEffect::Release { upstream: upstream.clone(), revision });
                effects.push(OwnershipEffect::Read { upstream });
            }
        }
        self.check_dead_owners(now, effects);
    }

    /// Reads the records of dead owners that this node follows, in case the watch lags.
    fn check_dead_owners(&mut self, now: Time, effects: &mut Vec<OwnershipEffect>) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + self.cfg.call_timeout / 2;
        let followed = self.known.iter().filter(|(upstream, known)| {
            known.absent_since.is_none()
                && self.is_dead(&known.record.owner)
                && self.place(upstream) == Some(0)
        });
        effects.extend(
            followed.map(|(upstream, _)| OwnershipEffect::Read { upstream: upstream.clone() }),
        );
    }

    fn is_dead(&self, node: &NodeRef) -> bool {
        self.members.get(node).is_some_and(|(member, _)| member.state == MemberState::Dead)
    }

    /// Hands over upstreams on a planned stop, and one at a time to a better node.
    fn hand_over(&mut self, now: Time, effects: &mut Vec<OwnershipEffect>) {
        if !self.authority.store_reachable() || self.authority.lease().is_none() {
            return;
        }
        if !self.draining && now < self.next_rebalance {
            return;
        }
        self.next_rebalance = now + self.cfg.call_timeout;
        let owned: Vec<Name> = self.owned.keys().cloned().collect();
        let mut moved = false;
        for upstream in owned {
            let listed = self.upstreams.contains_key(&upstream) || self.upstreams.is_empty();
            match self.successor(now, &upstream) {
                next if self.draining => self.release(now, upstream, next, effects),
                _ if !listed => self.release(now, upstream, None, effects),
                Some(next) if !moved && self.authority.may_take_over(now) => {
                    moved = true;
                    self.release(now, upstream, Some(next), effects);
                }
                _ => {}
            }
        }
    }

    fn release(
        &mut self,
        now: Time,
        upstream: Name,
        next: Option<NodeRef>,
        effects: &mut Vec<OwnershipEffect>,
    ) {
        let Some(Owned { revision, .. }) = self.stop(upstream.clone(), effects) else { return };
        let release = Release { revision, since: now, sent: now };
        self.releases.insert(upstream.clone(), release);
        if let Some(to) = next {
            let (upstream, fencing) = (upstream.clone(), fencing(revision));
            effects.push(OwnershipEffect::SendHandover { to, upstream, fencing });
        }
        effects.push(OwnershipEffect::Release { upstream: upstream.clone(), revision });
        effects.push(OwnershipEffect::Read { upstream });
    }

    /// Node that should own the upstream instead of this one.
    fn successor(&self, now: Time, upstream: &Name) -> Option<NodeRef> {
        let order = self.order(upstream);
        let first = order.into_iter().find(|member| !self.draining || member.node != self.node)?;
        let (_, since) = self.members.get(&first.node)?;
        let settled = self.draining || now.since(*since) >= self.cfg.rebalance_after;
        (settled && first.node != self.node).then(|| first.node.clone())
    }

    /// Living members in rendezvous order of the upstream.
    fn order(&self, upstream: &Name) -> Vec<&Member> {
        let alive = |member: &&Member| member.state == MemberState::Alive;
        let mut order: Vec<&Member> =
            self.members.values().map(|(member, _)| member).filter(alive).collect();
        order.sort_by_cached_key(|m| (std::cmp::Reverse(score(upstream, &m.node)), &m.node));
        order
    }

    /// Place of this node in the order; `None` if it is not alive.
    fn place(&self, upstream: &Name) -> Option<usize> {
        self.order(upstream).iter().position(|member| member.node == self.node)
    }

    fn is_caretaker(&self, upstream: &Name) -> bool {
        let listed = self.upstreams.contains_key(upstream);
        let ownerless = match self.known.get(upstream) {
            Some(known) => self.is_dead(&known.record.owner),
            None => !self.authority.store_reachable(),
        };
        listed
            && ownerless
            && !self.draining
            && self.authority.majority()
            && self.place(upstream) == Some(0)
    }
}

/// Fencing number of a record's revision.
fn fencing(revision: i64) -> u64 {
    u64::try_from(revision).unwrap_or(0)
}

/// Rank of a node for an upstream; stable over restarts of the node.
fn score(upstream: &Name, node: &NodeRef) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(upstream.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(node.id.as_str().as_bytes());
    hasher.finish()
}
