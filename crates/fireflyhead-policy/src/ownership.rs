//! Ownership of engines: which node may send orders to an engine.
//!
//! Guards against two nodes that send orders to one engine concurrently after a node was killed,
//! paused or partitioned. Each engine has an ownership record in the store, below `custody/`. The
//! record names the holder, the only node that may send orders, and the fencing token follows from
//! its revision.
//!
//! A holder sends orders only if its membership lease was renewed and its view of the store was
//! complete within the last lease time-to-live; a renewal counts from the moment at which it was
//! sent. A successor that takes over a record waits for that time-to-live and the order turn
//! ([`OwnershipSettings::order_turn`]) before its first order. The orders of two holders are
//! therefore at least one order turn apart, even if the old holder does not know that it was
//! replaced.
//!
//! A restore of the store loses records and leases, and gives out revisions again. Each era needs
//! new claims: at once by the nodes that could send orders until they learned of it, and by all
//! others after they have waited for the holders that learn of it later. Fencing tokens contain the
//! era and rise across restores.
//!
//! Claims follow rendezvous hashing, which spreads ownership over all nodes: when one node fails,
//! most engines keep their holder.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::era::Era;
use crate::rendezvous;

/// Additional wait of a node for each member that ranks before it in the rendezvous order of an
/// engine, so that the best-ranked member claims first.
const RANK_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which an engine without a record stays unclaimed, so that nodes that start together
/// discover each other before one of them claims it.
const UNCLAIMED_WAIT: Duration = Duration::from_millis(1_000);
/// Time after the removal of a holder's membership entry at which its engines are claimed.
const ABSENCE_WAIT: Duration = Duration::from_millis(1_000);
/// Same as [`ABSENCE_WAIT`] for a holder that still sends heartbeats.
const ABSENCE_WAIT_ALIVE: Duration = Duration::from_millis(2_500);
/// Time from the start of an era to the first claims of engines that a node didn't own before. The
/// nodes that own them learn of the era, and write their records again, in that time.
const RECLAIM_WAIT: Duration = Duration::from_millis(3_000);
/// Number of remembered former holders of engines whose records were removed. A deployment has some
/// hundred engines.
const MAX_FORMER_HOLDERS: usize = 4_096;
/// Previous holder in an encoded record that has none.
const NO_HOLDER: &str = "-";
/// Time before the end of the lease at which the holder stops, because timers can fire late.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Timing of leases and handovers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// Time-to-live of a node's membership lease.
    pub lease_ttl: Duration,
    /// Minimum time between the last order of one holder and the first order of the next.
    pub order_turn: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings { lease_ttl: Duration::from_secs(5), order_turn: Duration::from_secs(3) }
    }
}

/// Content of an ownership record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipRecord {
    /// Node that may send orders to the engine.
    pub holder: Name,
    /// Previous holder, until the takeover wait is over. It is stored in the record so that a
    /// holder that restarts during the wait waits again.
    pub previous: Option<Name>,
    /// Era of the store in which the record was written. A record of an earlier era is part of the
    /// copy from which the store was restored, and may be out of date.
    pub era: Era,
}

impl OwnershipRecord {
    /// Encodes the record for the store: the holder and, separated by spaces, the previous holder if
    /// there is one and the era unless it is the first one.
    pub fn encode(&self) -> String {
        let OwnershipRecord { holder, previous, era } = self;
        match previous {
            Some(previous) if *era == Era::FIRST => format!("{holder} {previous}"),
            None if *era == Era::FIRST => holder.to_string(),
            previous => {
                format!("{holder} {} {era}", previous.as_ref().map_or(NO_HOLDER, Name::as_str))
            }
        }
    }

    /// Decodes a stored record; `None` if it is not UTF-8.
    pub fn decode(value: &[u8]) -> Option<OwnershipRecord> {
        let mut fields = std::str::from_utf8(value).ok()?.split(' ');
        let holder = Name::from(fields.next()?);
        let previous = fields.next().filter(|previous| *previous != NO_HOLDER).map(Name::from);
        let era = fields.next().and_then(|number| number.parse().ok()).map_or(Era::FIRST, Era::new);
        Some(OwnershipRecord { holder, previous, era })
    }
}

/// Record with its revision in the store.
#[derive(Clone, Debug)]
struct StoredRecord {
    value: OwnershipRecord,
    revision: u64,
}

/// Ownership of one engine by this node.
#[derive(Clone, Copy, Debug)]
struct OwnedEngine {
    fencing_token: u64,
    /// Era of the claim. After a restore, the node sends orders only once it has claimed the engine
    /// again.
    era: Era,
    /// Time from which this node may send orders.
    active_from: Time,
}

/// Conditional write of an ownership record that this node should attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Id of the engine.
    pub upstream: Name,
    /// Revision that the record must have in the store; 0 if it must not exist.
    pub expected_revision: u64,
    /// Record to write.
    pub record: OwnershipRecord,
}

/// Ownership of all engines as one node sees it.
#[derive(Debug)]
pub struct Ownership {
    own_node: Name,
    settings: OwnershipSettings,
    /// Era of the store to which the view of the store belongs.
    era: Era,
    /// Time at which this node learned of the era; `None` in the first one.
    era_began: Option<Time>,
    /// Ownership record by engine.
    records: HashMap<Name, StoredRecord>,
    /// Whether a node's membership entry is present in the store, by node.
    members: HashMap<Name, bool>,
    /// Time at which a node's membership entry last appeared or disappeared.
    member_changed_at: HashMap<Name, Time>,
    /// Engines that this node owns.
    owned: HashMap<Name, OwnedEngine>,
    /// Time at which an engine without a record was first seen.
    unclaimed_since: HashMap<Name, Time>,
    /// Other nodes that were the holders of engines whose records were removed. They may send orders
    /// until they learn of it.
    former_holders: HashMap<Name, Name>,
    /// Time at which the last successful grant or renewal of the own lease was sent.
    lease_sent: Option<Time>,
    /// Time at which the view of the store, that is `members` and `records`, was last complete.
    view_complete_at: Option<Time>,
}

impl Ownership {
    /// Creates the view of node `own_node`, which owns no engine yet.
    pub fn new(own_node: Name, settings: OwnershipSettings) -> Ownership {
        Ownership {
            own_node,
            settings,
            era: Era::FIRST,
            era_began: None,
            records: HashMap::new(),
            members: HashMap::new(),
            member_changed_at: HashMap::new(),
            owned: HashMap::new(),
            unclaimed_since: HashMap::new(),
            former_holders: HashMap::new(),
            lease_sent: None,
            view_complete_at: None,
        }
    }

    /// Returns the era of the store to which the view belongs.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records that the store was restored from a copy and that `era` has begun.
    ///
    /// The lease and the known records are gone. The node claims the engines again for which it
    /// could send orders until now; no other node could send orders to them. It must wait for all
    /// others, because a holder that the store no longer knows may not have learned of the era yet.
    pub fn begin_era(&mut self, now: Time, era: Era) {
        let may_act = self.may_act(now);
        self.owned.retain(|_, owned_engine| may_act && now >= owned_engine.active_from);
        self.era = era;
        self.era_began = Some(now);
        self.records.clear();
        self.unclaimed_since.clear();
        self.former_holders.clear();
        self.lease_sent = None;
        self.view_complete_at = None;
    }

    /// Applies an ownership record that was read from the store; `None` if it was removed there.
    ///
    /// A record that is older than the known one is ignored.
    pub fn apply_record(
        &mut self,
        upstream: &Name,
        record: Option<OwnershipRecord>,
        revision: u64,
    ) {
        if self.records.get(upstream).is_some_and(|record| record.revision > revision) {
            return;
        }
        self.unclaimed_since.remove(upstream);
        match record {
            Some(record) => {
                self.former_holders.remove(upstream);
                let reclaims = self.owned.get(upstream).is_some_and(|owned| owned.era < self.era);
                let from_copy = record.era < self.era;
                if record.holder != self.own_node && !(reclaims && from_copy) {
                    self.owned.remove(upstream);
                }
                self.records.insert(upstream.clone(), StoredRecord { value: record, revision });
            }
            None => {
                let removed = self.records.remove(upstream).map(|record| record.value.holder);
                if let Some(holder) = removed.filter(|holder| *holder != self.own_node) {
                    if self.former_holders.len() >= MAX_FORMER_HOLDERS {
                        // Engines that are not listed for long; those that are claimed are removed.
                        self.former_holders.clear();
                    }
                    self.former_holders.insert(upstream.clone(), holder);
                }
                self.owned.remove(upstream);
            }
        }
    }

    /// Records whether the membership entry of `node` is present in the store.
    pub fn set_member(&mut self, now: Time, node: &Name, present: bool) {
        if self.members.insert(node.clone(), present) != Some(present) {
            self.member_changed_at.insert(node.clone(), now);
        }
    }

    /// Returns the nodes whose membership entry is present in the store.
    pub fn live_members(&self) -> impl Iterator<Item = &Name> {
        self.members.iter().filter(|(_, present)| **present).map(|(node, _)| node)
    }

    /// Records that this node's lease was granted or renewed by a call sent at `sent`.
    pub fn record_lease_renewal(&mut self, sent: Time) {
        self.lease_sent = Some(sent);
    }

    /// Records that this node's lease has ended.
    pub fn record_lease_loss(&mut self) {
        self.lease_sent = None;
    }

    /// Records that this node's view of the store was complete at `now`: it has read the store in
    /// full or received the changes since without a gap.
    pub fn record_complete_view(&mut self, now: Time) {
        self.view_complete_at = self.view_complete_at.max(Some(now));
    }

    /// Returns the fencing token for an order to `upstream`, or `None` if this node may not send
    /// one now.
    pub fn order_fencing_token(&self, now: Time, upstream: &str) -> Option<u64> {
        let owned_engine = self.owned.get(upstream)?;
        let may_act = self.may_act(now) && owned_engine.era == self.era;
        (may_act && now >= owned_engine.active_from).then_some(owned_engine.fencing_token)
    }

    /// Returns the engines that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &Name> {
        self.owned.keys()
    }

    /// Returns the fencing token of `upstream` if this node is its holder, even if it may not send
    /// orders now.
    pub fn fencing_token(&self, upstream: &str) -> Option<u64> {
        self.owned.get(upstream).map(|owned_engine| owned_engine.fencing_token)
    }

    /// Returns the engines with a record that names this node but that `listed` does not contain,
    /// with the record's revision.
    pub fn unlisted_records(&self, listed: impl Fn(&str) -> bool) -> Vec<(Name, u64)> {
        self.records
            .iter()
            .filter(|(upstream, record)| {
                record.value.holder == self.own_node && !listed(upstream.as_str())
            })
            .map(|(upstream, record)| (upstream.clone(), record.revision))
            .collect()
    }

    /// Returns the claims for `engines` that this node should attempt now; none if its lease or its
    /// view of the store is out of date. `alive` returns whether a peer sent heartbeats recently.
    pub fn due_claims(
        &mut self,
        now: Time,
        engines: &[Name],
        alive: impl Fn(&str) -> bool,
    ) -> Vec<Claim> {
        if !self.may_act(now) {
            return Vec::new();
        }
        engines.iter().filter_map(|engine| self.claim_for(now, engine, &alive)).collect()
    }

    /// Records that `claim` was written to the store at `revision`.
    pub fn record_claim(&mut self, now: Time, claim: &Claim, revision: u64) {
        // An old holder may send orders until its lease ends by its own clock.
        let wait = self.settings.lease_ttl + self.settings.order_turn + LEASE_MARGIN;
        let active_from = match (&claim.record.previous, self.owned.get(&claim.upstream)) {
            (Some(_), _) => now + wait,
            (None, Some(owned_engine)) => owned_engine.active_from,
            // After a restore, the store may have lost the record of an old holder.
            (None, None) => self.era_began.map_or(now, |began| now.max(began + wait)),
        };
        self.unclaimed_since.remove(&claim.upstream);
        self.former_holders.remove(&claim.upstream);
        let record = StoredRecord { value: claim.record.clone(), revision };
        self.records.insert(claim.upstream.clone(), record);
        let fencing_token = self.era.fencing_token(revision);
        let owned_engine = OwnedEngine { fencing_token, era: self.era, active_from };
        self.owned.insert(claim.upstream.clone(), owned_engine);
    }

    /// Returns whether the lease and the view of the store are recent enough to act on.
    fn may_act(&self, now: Time) -> bool {
        let is_recent = |at: Option<Time>| {
            at.is_some_and(|at| now.since(at) + LEASE_MARGIN < self.settings.lease_ttl)
        };
        is_recent(self.lease_sent) && is_recent(self.view_complete_at)
    }

    /// Returns the claim for `engine` that is due now.
    fn claim_for(
        &mut self,
        now: Time,
        engine: &Name,
        alive: impl Fn(&str) -> bool,
    ) -> Option<Claim> {
        let claim = |expected_revision, previous| Claim {
            upstream: engine.clone(),
            expected_revision,
            record: OwnershipRecord { holder: self.own_node.clone(), previous, era: self.era },
        };
        let settled = self.era_began.is_none_or(|began| now.since(began) >= RECLAIM_WAIT);
        let owned_engine = self.owned.get(engine).copied();
        match (self.records.get(engine).cloned(), owned_engine) {
            (record, Some(owned_engine)) if owned_engine.era < self.era => {
                Some(claim(record.map_or(0, |record| record.revision), None))
            }
            (Some(StoredRecord { value: record, revision }), Some(owned_engine))
                if record.holder == self.own_node =>
            {
                // Removes the previous holder from the record once the takeover wait is over.
                let unchanged = record.previous.is_none() || now < owned_engine.active_from;
                (!unchanged).then(|| claim(revision, None))
            }
            // This node restarted: the orders before the restart were its own, so it waits only if
            // the record still names a previous holder.
            (Some(StoredRecord { value: record, revision }), None)
                if record.holder == self.own_node && record.era == self.era =>
            {
                Some(claim(revision, record.previous))
            }
            _ if !settled => None,
            // The copy names this node, but another one may have been the holder later.
            (Some(StoredRecord { value: record, revision }), None)
                if record.holder == self.own_node =>
            {
                Some(claim(revision, Some(record.holder)))
            }
            (Some(StoredRecord { value: record, revision }), _) => {
                let holder = record.holder;
                let present = self.members.get(&holder).copied().unwrap_or(false);
                let changed_at = self.member_changed_at.get(&holder).copied().unwrap_or_default();
                let wait = if alive(holder.as_str()) { ABSENCE_WAIT_ALIVE } else { ABSENCE_WAIT };
                let rank = self.rendezvous_rank(engine.as_str(), Some(&holder));
                let due = !present && now.since(changed_at) >= wait + RANK_DELAY * rank;
                due.then(|| claim(revision, Some(holder)))
            }
            (None, _) => {
                let rank = self.rendezvous_rank(engine.as_str(), None);
                let since = *self.unclaimed_since.entry(engine.clone()).or_insert(now);
                let former = self.former_holders.get(engine).cloned();
                (now.since(since) >= UNCLAIMED_WAIT + RANK_DELAY * rank).then(|| claim(0, former))
            }
        }
    }

    /// Returns the number of members, without `excluded`, that rank before this node in the
    /// rendezvous order of `engine`; at most 4.
    fn rendezvous_rank(&self, engine: &str, excluded: Option<&Name>) -> u32 {
        let own_weight = rendezvous::weight(engine, self.own_node.as_str());
        let ranked_before = self
            .live_members()
            .filter(|node| Some(*node) != excluded && **node != self.own_node)
            .filter(|node| rendezvous::weight(engine, node.as_str()) > own_weight)
            .count();
        u32::try_from(ranked_before).unwrap_or(u32::MAX).min(4)
    }
}
