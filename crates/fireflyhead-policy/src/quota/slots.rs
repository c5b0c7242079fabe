//! Which node owns a quota slot.
//!
//! Handles owners that crash, freeze, restart or are cut off from the store. A slot is owned through
//! a key in the store that is attached to a lease. The owner grants only while its last renewal,
//! counted from the moment it was sent, is younger than the lease, so that it has stopped before the
//! store removes the key and another node can claim the slot. After the store was restored, nobody
//! claims a slot until all owners of the earlier era have stopped.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::era::Era;
use crate::quota::SLOT_COUNT;
use crate::quota::Slot;
use crate::rendezvous;

/// Time to live of the lease of quota slots. Outages of the store below 10 s must have no effect.
pub const QUOTA_LEASE_TTL: Duration = Duration::from_secs(12);
/// Interval of renewals.
pub const QUOTA_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time before the end of the lease from which on an owner doesn't grant. It covers clocks that run
/// at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Time by which a node waits longer than the node before it in rendezvous order to claim a slot
/// without an owner. A claim and the view of it take about a watch interval, 1.2 s.
const CLAIM_STEP: Duration = Duration::from_millis(1_500);
/// Time after a node begins to claim slots before which it claims none without an owner, so that it
/// knows the nodes before it in rendezvous order.
const START_DELAY: Duration = Duration::from_millis(1_000);

/// Time by which a node waits longer to claim a slot whose last owner still runs: its key may have been
/// removed before its lease ended, and it grants until its view shows that. A view is at most a watch
/// interval and the wait for a feed behind, 2.8 s.
const LIVE_OWNER_DELAY: Duration = Duration::from_secs(3);

/// Value of the key of a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotRecord {
    /// Owner.
    pub node: Name,
    /// Its address for datagrams.
    pub peer: SocketAddr,
    /// Start of its process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Era of the store in which it was written. A restored store may contain older ones.
    pub era: Era,
}

impl SlotRecord {
    /// Encodes the record as the value of a key in the store.
    pub fn encode(&self) -> String {
        let SlotRecord { node, peer, incarnation, era } = self;
        format!("{node} {peer} {incarnation} {era}")
    }

    /// Decodes the value of a key in the store; `None` if it is malformed. Later versions may append
    /// further fields.
    pub fn decode(value: &[u8]) -> Option<SlotRecord> {
        let mut fields = std::str::from_utf8(value).ok()?.split_ascii_whitespace();
        Some(SlotRecord {
            node: Name::from(fields.next()?),
            peer: fields.next()?.parse().ok()?,
            incarnation: fields.next()?.parse().ok()?,
            era: Era::new(fields.next()?.parse().ok()?),
        })
    }
}

/// Key of a slot in the store, as this node knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum SlotView {
    /// The key doesn't exist, as far as known since this time.
    Absent(Time),
    /// The key exists; without a record if its value is malformed.
    Present { record: Option<SlotRecord>, revision: u64, since: Time },
}

/// Claim of a slot, to be written on a condition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotClaim {
    /// Slot.
    pub slot: Slot,
    /// Record to be written.
    pub record: SlotRecord,
    /// Revision that the key must have; 0 if it must not exist.
    pub expected_revision: u64,
}

/// Lease of this node for its slots.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    /// Time from which on the node no longer grants.
    end: Time,
}

/// Node that may claim a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotCandidate {
    /// Name.
    pub node: Name,
    /// Whether it serves callers.
    pub serving: bool,
}

/// View of the quota slots, and the right of this node to grant for them.
#[derive(Debug)]
pub struct QuotaSlots {
    own: SlotRecord,
    /// Time at which this node first knew of the era; `None` before the store has been read.
    era_since: Option<Time>,
    /// Time from which on this node claims slots without an owner; `None` while no account has a
    /// quota.
    claims_from: Option<Time>,
    slots: [SlotView; SLOT_COUNT],
    /// Node that owned the slot last, for the slots without a key.
    last_owners: [Option<Name>; SLOT_COUNT],
    /// Revision at which this process wrote its record, for the slots that it owns.
    owned: [Option<u64>; SLOT_COUNT],
    lease: Option<Lease>,
}

impl QuotaSlots {
    /// Creates the view of a node before it has read the store.
    pub fn new(node: Name, peer: SocketAddr, incarnation: u64) -> QuotaSlots {
        QuotaSlots {
            own: SlotRecord { node, peer, incarnation, era: Era::FIRST },
            era_since: None,
            claims_from: None,
            slots: [const { SlotView::Absent(Time::from_micros(0)) }; SLOT_COUNT],
            last_owners: [const { None }; SLOT_COUNT],
            owned: [None; SLOT_COUNT],
            lease: None,
        }
    }

    /// Returns the era of the store that the view follows.
    pub fn era(&self) -> Era {
        self.own.era
    }

    /// Follows the store into `era`; returns `false` if that era is over. In a later era this node
    /// owns nothing.
    pub fn enter_era(&mut self, now: Time, era: Era) -> bool {
        if era > self.own.era {
            self.own.era = era;
            self.era_since = Some(now);
            self.slots.fill(SlotView::Absent(now));
            self.owned = [None; SLOT_COUNT];
            self.lease = None;
        }
        era == self.own.era
    }

    /// Applies all slots that the store lists: the value, revision and lease of each key.
    pub fn apply_snapshot(&mut self, now: Time, listed: &[(Slot, &[u8], u64, u64)]) {
        self.era_since.get_or_insert(now);
        for slot in Slot::all() {
            let item = listed.iter().find(|(listed, ..)| *listed == slot);
            match item {
                Some((_, value, revision, lease)) => {
                    self.apply(now, slot, Some(*value), *revision, *lease)
                }
                // A claim that was written after the snapshot appears in the changes.
                None if self.owned[slot.index()].is_some() => {}
                None => self.apply(now, slot, None, u64::MAX, 0),
            }
        }
    }

    /// Applies a change of the key of `slot`; no value if it was removed.
    pub fn apply(
        &mut self,
        now: Time,
        slot: Slot,
        value: Option<&[u8]>,
        revision: u64,
        lease: u64,
    ) {
        let owned = &mut self.owned[slot.index()];
        if owned.is_some_and(|own| own > revision) {
            return;
        }
        let view = &mut self.slots[slot.index()];
        let Some(value) = value else {
            *owned = None;
            if let SlotView::Present { record, .. } = view {
                self.last_owners[slot.index()] = record.take().map(|record| record.node);
                *view = SlotView::Absent(now);
            }
            return;
        };
        let record = SlotRecord::decode(value);
        // The reply to the own claim may have been lost.
        let is_own = record.as_ref() == Some(&self.own)
            && self.lease.is_some_and(|own| own.id == lease)
            && lease != 0;
        *owned = is_own.then_some(revision);
        match view {
            SlotView::Present { revision: known, .. } if *known == revision => {}
            _ => *view = SlotView::Present { record, revision, since: now },
        }
    }

    /// Records that the lease was granted or renewed by a call that was sent at `sent`.
    pub fn record_lease(&mut self, lease: u64, ttl: Duration, sent: Time) {
        let end = sent + ttl.min(QUOTA_LEASE_TTL).saturating_sub(LEASE_MARGIN);
        if self.lease.is_some_and(|known| known.id != lease) {
            self.owned = [None; SLOT_COUNT];
        }
        self.lease = Some(Lease { id: lease, end });
    }

    /// Records that the lease has ended, and with it the ownership of all slots.
    pub fn lose_lease(&mut self) {
        self.lease = None;
        self.owned = [None; SLOT_COUNT];
    }

    /// Returns the lease of this node in the current era.
    pub fn lease(&self) -> Option<u64> {
        self.lease.map(|lease| lease.id)
    }

    /// Records that a claim was written at `revision` with `lease`.
    pub fn record_claim(&mut self, now: Time, claim: &SlotClaim, revision: u64, lease: u64) {
        if claim.record.era != self.own.era || self.lease() != Some(lease) {
            return;
        }
        let view = &mut self.slots[claim.slot.index()];
        if matches!(view, SlotView::Present { revision: known, .. } if *known > revision) {
            return;
        }
        self.owned[claim.slot.index()] = Some(revision);
        let record = Some(claim.record.clone());
        *view = SlotView::Present { record, revision, since: now };
    }

    /// Returns whether this node may grant for `slot`.
    pub fn may_grant(&self, now: Time, slot: Slot) -> bool {
        self.owned[slot.index()].is_some() && self.lease.is_some_and(|lease| now < lease.end)
    }

    /// Returns whether this node owns `slot`, although it may not grant without a recent renewal.
    pub fn owns(&self, slot: Slot) -> bool {
        self.owned[slot.index()].is_some()
    }

    /// Returns the owner of `slot` as the store lists it.
    pub fn owner(&self, slot: Slot) -> Option<&SlotRecord> {
        match &self.slots[slot.index()] {
            SlotView::Present { record: Some(record), .. } if record.era == self.own.era => {
                Some(record)
            }
            SlotView::Present { .. } | SlotView::Absent(_) => None,
        }
    }

    /// Sets whether an account has a quota, so that slots need owners.
    pub fn set_needed(&mut self, now: Time, needed: bool) {
        self.claims_from = match (needed, self.claims_from) {
            (true, None) => Some(now + START_DELAY),
            (true, from) => from,
            (false, _) => None,
        };
    }

    /// Returns whether an account has a quota.
    pub fn is_needed(&self) -> bool {
        self.claims_from.is_some()
    }

    /// Returns the slots that this node should claim. `candidates` are the live nodes that can own
    /// slots, this one included.
    pub fn claims(&self, now: Time, candidates: &[SlotCandidate]) -> Vec<SlotClaim> {
        let (Some(era_since), Some(claims_from)) = (self.era_since, self.claims_from) else {
            return Vec::new();
        };
        let can_claim = |slot: Slot| {
            let since = self.claimable_since(slot, era_since)?;
            let expected_revision = match &self.slots[slot.index()] {
                SlotView::Present { revision, .. } => *revision,
                SlotView::Absent(_) => 0,
            };
            let from = match self.is_own_earlier_process(slot) {
                true => since,
                false => since.max(claims_from) + self.claim_delay(slot, candidates),
            };
            let is_due = now >= from;
            is_due.then(|| SlotClaim { slot, record: self.own.clone(), expected_revision })
        };
        Slot::all().filter(|slot| !self.owns(*slot)).filter_map(can_claim).collect()
    }

    /// Returns the time from which on `slot` may be claimed; `None` while another node owns it.
    fn claimable_since(&self, slot: Slot, era_since: Time) -> Option<Time> {
        // Until then owners of the earlier era may grant that don't know of the restore.
        let all_stopped = match self.own.era {
            Era::FIRST => Time::default(),
            _ => era_since + QUOTA_LEASE_TTL,
        };
        match &self.slots[slot.index()] {
            SlotView::Absent(since) => Some(all_stopped.max(*since)),
            SlotView::Present { record: Some(record), since, .. } => {
                if record.era != self.own.era {
                    return Some(all_stopped.max(*since));
                }
                // The earlier process of this node has ended, or this one has a new lease.
                (record.node == self.own.node).then_some(*since)
            }
            // The lease of a malformed record ends some day.
            SlotView::Present { record: None, .. } => None,
        }
    }

    fn is_own_earlier_process(&self, slot: Slot) -> bool {
        self.owner(slot).is_some_and(|record| record.node == self.own.node)
    }

    /// Returns how long this node waits to claim `slot` after nobody owns it.
    fn claim_delay(&self, slot: Slot, candidates: &[SlotCandidate]) -> Duration {
        let by_rank = CLAIM_STEP * self.rank(slot, candidates);
        match &self.last_owners[slot.index()] {
            Some(last) if *last == self.own.node => Duration::ZERO,
            Some(last) if candidates.iter().any(|candidate| candidate.node == *last) => {
                LIVE_OWNER_DELAY + by_rank
            }
            Some(_) | None => by_rank,
        }
    }

    /// Returns the number of nodes that claim `slot` before this one.
    fn rank(&self, slot: Slot, candidates: &[SlotCandidate]) -> u32 {
        let subject = format!("quota/{slot}");
        let key = |node: &Name, serving: bool| {
            (serving, rendezvous::weight(&subject, node.as_str()), node.clone())
        };
        let own = candidates.iter().find(|candidate| candidate.node == self.own.node);
        let own = key(&self.own.node, own.is_some_and(|own| own.serving));
        let before = candidates.iter().filter(|c| key(&c.node, c.serving) > own).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}
