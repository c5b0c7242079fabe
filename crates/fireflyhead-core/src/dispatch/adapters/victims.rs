//! Choice of the adapter that gives up its slot.
//!
//! Adapters are ranked by request frequency with ageing; all loads cost the
//! same, so that the cost of a load does not change the order. The least
//! frequent slots are the probationary ones: a cold adapter that is requested
//! less often than the others may replace only these.

use crate::types::Rank;
use crate::types::Time;

use super::Adapter;
use super::Adapters;
use super::State;

/// Ratio by which a cold adapter must be requested more often to replace an idle one.
const REPLACE_RATIO: f64 = 1.1;

/// Ratio by which a cold adapter must be requested more often to close a slot in use.
const CLOSE_RATIO: f64 = 1.5;

/// Conditions of the choice.
#[derive(Clone, Copy, Debug)]
pub(in crate::dispatch) struct Eviction {
    /// Current time.
    pub(in crate::dispatch) now: Time,
    /// Until then found adapters stay.
    pub(in crate::dispatch) pinned_until: Time,
}

impl Adapters {
    /// Idle adapter that may be unloaded for `candidate`: the least frequent one.
    pub(in crate::dispatch) fn victim(
        &self,
        cx: &Eviction,
        order: &[(f64, u32)],
        candidate: u32,
    ) -> Option<u32> {
        let wanted = self.frequency_of(cx, candidate);
        let probation = self.probation_left();
        let rank = self.get(candidate).waiting_rank().unwrap_or(Rank::Background);
        let may_go = |place: usize, frequency: f64, adapter: &Adapter| {
            let gives_way =
                place < probation || adapter.closing || wanted > frequency * REPLACE_RATIO;
            let awaited = adapter.waiting_rank().is_some_and(|other| other <= rank);
            let idle = adapter.in_use == 0 && (adapter.closing || !awaited);
            idle && gives_way && is_evictable(adapter, cx)
        };
        order
            .iter()
            .enumerate()
            .find(|(place, (frequency, idx))| may_go(*place, *frequency, self.get(*idx)))
            .map(|(_, (_, idx))| *idx)
    }

    /// Adapter in use that should take no more jobs, so that `candidate` gets its slot.
    pub(in crate::dispatch) fn closable(
        &self,
        cx: &Eviction,
        order: &[(f64, u32)],
        candidate: u32,
    ) -> Option<u32> {
        let wanted = self.frequency_of(cx, candidate);
        let probation = self.probation_left();
        let open = || {
            order.iter().enumerate().filter(|(place, (frequency, idx))| {
                let gives_way = *place < probation || wanted > frequency * CLOSE_RATIO;
                gives_way && !self.get(*idx).closing && is_evictable(self.get(*idx), cx)
            })
        };
        let without_waiters = open().find(|(_, (_, idx))| self.get(*idx).due.is_empty());
        without_waiters.or_else(|| open().next()).map(|(_, (_, idx))| *idx)
    }

    /// Adapters that take no more jobs.
    pub(in crate::dispatch) fn closing(&self) -> impl Iterator<Item = u32> + '_ {
        self.resident.iter().copied().filter(|idx| self.get(*idx).closing)
    }

    /// Slots that no adapter occupies.
    pub(in crate::dispatch) fn free_slots(&self) -> usize {
        self.cfg.slots.saturating_sub(self.resident.len())
    }

    /// Slots that are free or are being freed.
    pub(in crate::dispatch) fn open_slots(&self) -> usize {
        let unloading = |idx: &&u32| self.get(**idx).state == State::Unloading;
        self.free_slots() + self.resident.iter().filter(unloading).count()
    }

    /// Probationary slots that adapters occupy; open slots count as the first of them.
    fn probation_left(&self) -> usize {
        self.cfg.probation.saturating_sub(self.open_slots())
    }

    fn frequency_of(&self, cx: &Eviction, idx: u32) -> f64 {
        self.get(idx).frequency(cx.now, self.cfg.half_life)
    }

    /// Resident adapters with their frequencies, least frequent first.
    pub(in crate::dispatch) fn by_frequency(&self, cx: &Eviction) -> Vec<(f64, u32)> {
        let held = self.resident.iter().filter(|idx| self.get(**idx).state != State::Unloading);
        let mut order: Vec<_> = held.map(|idx| (self.frequency_of(cx, *idx), *idx)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order
    }
}

/// Whether an adapter may leave once no job uses it.
fn is_evictable(adapter: &Adapter, cx: &Eviction) -> bool {
    adapter.state == State::Loaded
        && adapter.hold_until <= cx.now
        && !(adapter.found && cx.now < cx.pinned_until)
}
