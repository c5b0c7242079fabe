//! Custody of engines: which node gives orders to which engine.
//!
//! Answers killed, frozen and cut nodes. Each engine has one holder, recorded in the store;
//! the revision of the record is the fencing number. A holder acts only while the lease of
//! its membership and its view of the store are both younger than the lease's time to live,
//! counted from the moment at which the renewal was sent. A successor that takes over a
//! record waits for that time and the turn interval before its first order, so the orders
//! of two holders never come within one interval, whatever the old holder believes.
//!
//! Spreading custody over all nodes leaves most engines with a holder when one node fails.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::rendezvous;

/// Wait for each place in the rendezvous order before a node claims in place of a better one.
const PLACE_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which an engine without a record is left, so that nodes that start together know
/// each other before one of them claims it.
const SETTLE: Duration = Duration::from_millis(1_000);
/// Absence of a holder's membership after which its engines are claimed.
const ABSENCE: Duration = Duration::from_millis(1_000);
/// Absence after which they are claimed although the holder still sends beats.
const ABSENCE_ALIVE: Duration = Duration::from_millis(2_500);
/// Time before the end of the lease at which the holder stops, for timers that fire late.
const MARGIN: Duration = Duration::from_millis(250);

/// Times of custody.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// Time to live of a membership lease.
    pub lease_ttl: Duration,
    /// Shortest time between the orders of two holders.
    pub order_turn: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings { lease_ttl: Duration::from_secs(5), order_turn: Duration::from_secs(3) }
    }
}

/// Content of a custody record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipRecord {
    /// Node that gives the orders.
    pub holder: Name,
    /// Node from which it took over, until it has waited for that node's last order. Kept in
    /// the record, so that a holder that restarts meanwhile waits again.
    pub previous: Option<Name>,
}

impl OwnershipRecord {
    /// Record as the store keeps it: the holder, and after a space the previous one.
    pub fn encode(&self) -> String {
        match &self.previous {
            Some(previous) => format!("{} {previous}", self.holder),
            None => self.holder.to_string(),
        }
    }

    /// Reads a record; `None` if it is not text.
    pub fn decode(value: &[u8]) -> Option<OwnershipRecord> {
        let text = std::str::from_utf8(value).ok()?;
        let (holder, previous) = match text.split_once(' ') {
            Some((holder, previous)) => (holder, Some(Name::from(previous))),
            None => (text, None),
        };
        Some(OwnershipRecord { holder: Name::from(holder), previous })
    }
}

#[derive(Clone, Debug)]
struct StoredRecord {
    value: OwnershipRecord,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    fencing_token: u64,
    active_from: Time,
}

/// Change of a record that this node should try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Engine.
    pub upstream: Name,
    /// Revision that the record must have; 0 for none.
    pub expected_revision: u64,
    /// Record to write.
    pub record: OwnershipRecord,
}

/// Ownership as one node sees it.
#[derive(Debug)]
pub struct Ownership {
    me: Name,
    settings: OwnershipSettings,
    records: HashMap<Name, StoredRecord>,
    members: HashMap<Name, bool>,
    changed: HashMap<Name, Time>,
    tenures: HashMap<Name, Tenure>,
    unclaimed: HashMap<Name, Time>,
    lease_sent: Option<Time>,
    view_at: Option<Time>,
}

impl Ownership {
    /// Custody of node `me`, which holds nothing yet.
    pub fn new(me: Name, settings: OwnershipSettings) -> Ownership {
        Ownership {
            me,
            settings,
            records: HashMap::new(),
            members: HashMap::new(),
            changed: HashMap::new(),
            tenures: HashMap::new(),
            unclaimed: HashMap::new(),
            lease_sent: None,
            view_at: None,
        }
    }

    /// Takes a record from the store.
    pub fn apply_record(
        &mut self,
        upstream: &Name,
        record: Option<OwnershipRecord>,
        revision: u64,
    ) {
        if self.records.get(upstream).is_some_and(|record| record.revision > revision) {
            return;
        }
        match record {
            Some(record) => {
                if record.holder != self.me {
                    self.tenures.remove(upstream);
                }
                self.records.insert(upstream.clone(), StoredRecord { value: record, revision });
            }
            None => {
                self.records.remove(upstream);
                self.tenures.remove(upstream);
            }
        }
    }

    /// Takes the presence of a node's membership from the store.
    pub fn set_member(&mut self, now: Time, node: &Name, present: bool) {
        if self.members.insert(node.clone(), present) != Some(present) {
            self.changed.insert(node.clone(), now);
        }
    }

    /// Names of the nodes whose membership is present.
    pub fn live_members(&self) -> impl Iterator<Item = &Name> {
        self.members.iter().filter(|(_, present)| **present).map(|(node, _)| node)
    }

    /// Records that the lease was granted or renewed by a call sent at `sent`.
    pub fn record_lease_renewal(&mut self, sent: Time) {
        self.lease_sent = Some(sent);
    }

    /// Records that the lease has ended.
    pub fn record_lease_loss(&mut self) {
        self.lease_sent = None;
    }

    /// Records that the view of the store was complete at `now`.
    pub fn record_view(&mut self, now: Time) {
        self.view_at = Some(now);
    }

    /// Fencing number for an order to `upstream`, if this node may give one now.
    pub fn order_fencing_token(&self, now: Time, upstream: &str) -> Option<u64> {
        let tenure = self.tenures.get(upstream)?;
        (self.valid(now) && now >= tenure.active_from).then_some(tenure.fencing_token)
    }

    /// Fencing number of `upstream` if this node is its holder, open or not.
    pub fn fencing_token(&self, upstream: &str) -> Option<u64> {
        self.tenures.get(upstream).map(|tenure| tenure.fencing_token)
    }

    /// Records of engines that are not in `listed`.
    pub fn unlisted_records(&self, listed: impl Fn(&str) -> bool) -> Vec<(Name, u64)> {
        self.records
            .iter()
            .filter(|(upstream, record)| {
                record.value.holder == self.me && !listed(upstream.as_str())
            })
            .map(|(upstream, record)| (upstream.clone(), record.revision))
            .collect()
    }

    /// Claims for `engines` that this node should try, with `alive` telling which peers were heard.
    pub fn due_claims(
        &mut self,
        now: Time,
        engines: &[Name],
        alive: impl Fn(&str) -> bool,
    ) -> Vec<Claim> {
        if !self.valid(now) {
            return Vec::new();
        }
        engines.iter().filter_map(|engine| self.claim(now, engine, &alive)).collect()
    }

    /// Records that a claim was written at `revision`.
    pub fn record_claim(&mut self, now: Time, claim: &Claim, revision: u64) {
        let active_from = match (&claim.record.previous, self.tenures.get(&claim.upstream)) {
            // The old holder may act until its lease ends by its own clock.
            (Some(_), _) => now + self.settings.lease_ttl + self.settings.order_turn + MARGIN,
            (None, Some(tenure)) => tenure.active_from,
            (None, None) => now,
        };
        self.unclaimed.remove(&claim.upstream);
        let record = StoredRecord { value: claim.record.clone(), revision };
        self.records.insert(claim.upstream.clone(), record);
        self.tenures
            .insert(claim.upstream.clone(), Tenure { fencing_token: revision, active_from });
    }

    /// Whether lease and view are young enough to act on.
    fn valid(&self, now: Time) -> bool {
        let fresh = |at: Option<Time>| {
            at.is_some_and(|at| now.since(at) + MARGIN < self.settings.lease_ttl)
        };
        fresh(self.lease_sent) && fresh(self.view_at)
    }

    fn claim(&mut self, now: Time, engine: &Name, alive: impl Fn(&str) -> bool) -> Option<Claim> {
        let write = |revision, previous| Claim {
            upstream: engine.clone(),
            expected_revision: revision,
            record: OwnershipRecord { holder: self.me.clone(), previous },
        };
        let tenure = self.tenures.get(engine).copied();
        match (self.records.get(engine).cloned(), tenure) {
            (Some(StoredRecord { value: record, revision }), Some(tenure))
                if record.holder == self.me =>
            {
                let settled = record.previous.is_none() || now < tenure.active_from;
                (!settled).then(|| write(revision, None))
            }
            // The same host started again: its earlier orders are its own.
            (Some(StoredRecord { value: record, revision }), None) if record.holder == self.me => {
                Some(write(revision, record.previous))
            }
            (Some(StoredRecord { value: record, revision }), _) => {
                let holder = record.holder;
                let present = self.members.get(&holder).copied().unwrap_or(false);
                let since = self.changed.get(&holder).copied().unwrap_or_default();
                let wait = if alive(holder.as_str()) { ABSENCE_ALIVE } else { ABSENCE };
                let place = self.place(engine.as_str(), Some(&holder));
                let due = !present && now.since(since) >= wait + PLACE_DELAY * place;
                due.then(|| write(revision, Some(holder)))
            }
            (None, _) => {
                let place = self.place(engine.as_str(), None);
                let since = *self.unclaimed.entry(engine.clone()).or_insert(now);
                (now.since(since) >= SETTLE + PLACE_DELAY * place).then(|| write(0, None))
            }
        }
    }

    /// Number of members that come before this node in the rendezvous order of `engine`.
    fn place(&self, engine: &str, without: Option<&Name>) -> u32 {
        let mine = rendezvous::weight(engine, self.me.as_str());
        let better = self
            .live_members()
            .filter(|node| Some(*node) != without && **node != self.me)
            .filter(|node| rendezvous::weight(engine, node.as_str()) > mine)
            .count();
        u32::try_from(better).unwrap_or(u32::MAX).min(4)
    }
}
