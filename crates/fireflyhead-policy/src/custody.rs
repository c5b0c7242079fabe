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
pub struct CustodySettings {
    /// Time to live of a membership lease.
    pub ttl: Duration,
    /// Shortest time between the orders of two holders.
    pub turn: Duration,
}

impl Default for CustodySettings {
    fn default() -> CustodySettings {
        CustodySettings { ttl: Duration::from_secs(5), turn: Duration::from_secs(3) }
    }
}

/// Content of a custody record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// Node that gives the orders.
    pub holder: Name,
    /// Node from which it took over, until it has waited for that node's last order. Kept in
    /// the record, so that a holder that restarts meanwhile waits again.
    pub previous: Option<Name>,
}

impl Holding {
    /// Record as the store keeps it: the holder, and after a space the previous one.
    pub fn encode(&self) -> String {
        match &self.previous {
            Some(previous) => format!("{} {previous}", self.holder),
            None => self.holder.to_string(),
        }
    }

    /// Reads a record; `None` if it is not text.
    pub fn decode(value: &[u8]) -> Option<Holding> {
        let text = std::str::from_utf8(value).ok()?;
        let (holder, previous) = match text.split_once(' ') {
            Some((holder, previous)) => (holder, Some(Name::from(previous))),
            None => (text, None),
        };
        Some(Holding { holder: Name::from(holder), previous })
    }
}

#[derive(Clone, Debug)]
struct Record {
    holding: Holding,
    revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    fence: u64,
    open_at: Time,
}

/// Change of a record that this node should try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Engine.
    pub upstream: Name,
    /// Revision that the record must have; 0 for none.
    pub revision: u64,
    /// Record to write.
    pub holding: Holding,
}

/// Custody as one node sees it.
#[derive(Debug)]
pub struct Custody {
    me: Name,
    settings: CustodySettings,
    records: HashMap<Name, Record>,
    members: HashMap<Name, bool>,
    changed: HashMap<Name, Time>,
    tenures: HashMap<Name, Tenure>,
    unclaimed: HashMap<Name, Time>,
    lease_sent: Option<Time>,
    view_at: Option<Time>,
}

impl Custody {
    /// Custody of node `me`, which holds nothing yet.
    pub fn new(me: Name, settings: CustodySettings) -> Custody {
        Custody {
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
    pub fn record(&mut self, upstream: &Name, holding: Option<Holding>, revision: u64) {
        if self.records.get(upstream).is_some_and(|record| record.revision > revision) {
            return;
        }
        match holding {
            Some(holding) => {
                if holding.holder != self.me {
                    self.tenures.remove(upstream);
                }
                self.records.insert(upstream.clone(), Record { holding, revision });
            }
            None => {
                self.records.remove(upstream);
                self.tenures.remove(upstream);
            }
        }
    }

    /// Takes the presence of a node's membership from the store.
    pub fn member(&mut self, now: Time, node: &Name, present: bool) {
        if self.members.insert(node.clone(), present) != Some(present) {
            self.changed.insert(node.clone(), now);
        }
    }

    /// Names of the nodes whose membership is present.
    pub fn members(&self) -> impl Iterator<Item = &Name> {
        self.members.iter().filter(|(_, present)| **present).map(|(node, _)| node)
    }

    /// Records that the lease was granted or renewed by a call sent at `sent`.
    pub fn lease_renewed(&mut self, sent: Time) {
        self.lease_sent = Some(sent);
    }

    /// Records that the lease has ended.
    pub fn lease_lost(&mut self) {
        self.lease_sent = None;
    }

    /// Records that the view of the store was complete at `now`.
    pub fn viewed(&mut self, now: Time) {
        self.view_at = Some(now);
    }

    /// Fencing number for an order to `upstream`, if this node may give one now.
    pub fn may_order(&self, now: Time, upstream: &str) -> Option<u64> {
        let tenure = self.tenures.get(upstream)?;
        (self.valid(now) && now >= tenure.open_at).then_some(tenure.fence)
    }

    /// Fencing number of `upstream` if this node is its holder, open or not.
    pub fn fence(&self, upstream: &str) -> Option<u64> {
        self.tenures.get(upstream).map(|tenure| tenure.fence)
    }

    /// Records of engines that are not in `listed`.
    pub fn orphans(&self, listed: impl Fn(&str) -> bool) -> Vec<(Name, u64)> {
        self.records
            .iter()
            .filter(|(upstream, record)| {
                record.holding.holder == self.me && !listed(upstream.as_str())
            })
            .map(|(upstream, record)| (upstream.clone(), record.revision))
            .collect()
    }

    /// Claims for `engines` that this node should try, with `alive` telling which peers were heard.
    pub fn claims(
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
    pub fn claimed(&mut self, now: Time, claim: &Claim, revision: u64) {
        let open_at = match (&claim.holding.previous, self.tenures.get(&claim.upstream)) {
            // The old holder may act until its lease ends by its own clock.
            (Some(_), _) => now + self.settings.ttl + self.settings.turn + MARGIN,
            (None, Some(tenure)) => tenure.open_at,
            (None, None) => now,
        };
        self.unclaimed.remove(&claim.upstream);
        let record = Record { holding: claim.holding.clone(), revision };
        self.records.insert(claim.upstream.clone(), record);
        self.tenures.insert(claim.upstream.clone(), Tenure { fence: revision, open_at });
    }

    /// Whether lease and view are young enough to act on.
    fn valid(&self, now: Time) -> bool {
        let fresh =
            |at: Option<Time>| at.is_some_and(|at| now.since(at) + MARGIN < self.settings.ttl);
        fresh(self.lease_sent) && fresh(self.view_at)
    }

    fn claim(&mut self, now: Time, engine: &Name, alive: impl Fn(&str) -> bool) -> Option<Claim> {
        let write = |revision, previous| Claim {
            upstream: engine.clone(),
            revision,
            holding: Holding { holder: self.me.clone(), previous },
        };
        let tenure = self.tenures.get(engine).copied();
        match (self.records.get(engine).cloned(), tenure) {
            (Some(Record { holding, revision }), Some(tenure)) if holding.holder == self.me => {
                let settled = holding.previous.is_none() || now < tenure.open_at;
                (!settled).then(|| write(revision, None))
            }
            // The same host started again: its earlier orders are its own.
            (Some(Record { holding, revision }), None) if holding.holder == self.me => {
                Some(write(revision, holding.previous))
            }
            (Some(Record { holding, revision }), _) => {
                let holder = holding.holder;
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
            .members()
            .filter(|node| Some(*node) != without && **node != self.me)
            .filter(|node| rendezvous::weight(engine, node.as_str()) > mine)
            .count();
        u32::try_from(better).unwrap_or(u32::MAX).min(4)
    }
}
