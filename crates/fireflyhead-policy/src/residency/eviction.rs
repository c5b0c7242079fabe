//! Adapters that an engine gives up for others.
//!
//! Handles many rare adapters beside popular ones, whose popularity changes within seconds: an adapter
//! that another engine keeps goes first, then the one whose next request is expected last. Under pressure the engine reports as available only slots whose
//! adapter is unlikely to be requested again soon, so that loads go to the engines where they
//! displace the least.

use std::time::Duration;

use crate::Name;
use crate::Time;

use super::AdapterSlot;
use super::AdapterState;
use super::RequestedAdapter;
use super::Residency;

/// Minimum time for which a loaded adapter stays, so that two requested adapters don't keep
/// evicting each other.
const MIN_RESIDENCE: Duration = Duration::from_millis(400);
/// Popularity from which an adapter counts as used recently: a request of a tenth of a second is
/// forgotten after about ten seconds.
const MIN_POPULARITY: f64 = 0.05;
/// Time without a request after which an adapter is unlikely to be requested again soon: the
/// requests of a session follow each other within seconds.
const COLD_AFTER: Duration = Duration::from_secs(3);

/// Time since the last request up to which a new version of an adapter is loaded before a request
/// needs it.
const PREFETCH_WITHIN: Duration = Duration::from_secs(10);

/// Longest time for which a request waits for the load at another engine, whose holder may have failed.
/// Other nodes miss it after 1.2 to 11 s.
const MAX_DEFERRAL: Duration = Duration::from_millis(1_000);

impl RequestedAdapter {
    /// Returns whether the adapter is left to another engine, which is loading it.
    pub(super) fn is_deferred(&self, now: Time) -> bool {
        self.deferred_since.is_some_and(|since| now.since(since) < MAX_DEFERRAL)
    }
}

impl AdapterSlot {
    /// Returns a value that grows with the expected time to the next request, in seconds.
    ///
    /// Requests for an adapter come in sessions, so that the time without one tells more than their
    /// number: by popularity alone, the adapter of a session that has just begun goes before one
    /// whose sessions have ended. An adapter with many requests is expected back sooner.
    fn expected_idle_s(&self, now: Time) -> f64 {
        now.since(self.last_used).as_secs_f64() / (1.0 + self.popularity)
    }

    /// Returns whether a new version of the adapter, loaded before it is requested, would probably be
    /// used: the adapter was used recently, and no other engine holds or loads the new version.
    pub(super) fn is_replacement_likely_used(&self, now: Time) -> bool {
        !self.is_spare && now.since(self.last_used) < PREFETCH_WITHIN
    }

    /// Returns whether the slot can be given to another adapter at little loss.
    fn is_cold(&self, now: Time) -> bool {
        self.is_spare || now.since(self.last_used) >= COLD_AFTER
    }
}

/// What the decision on an order for an adapter was based on, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderInputs {
    /// Whether the engine holds an earlier version of the adapter.
    pub holds_earlier: bool,
    /// Whether the engine held the adapter recently, so that it is loaded fast.
    pub is_warm: bool,
    /// Whether another engine keeps the adapter.
    pub is_spare: bool,
    /// Time since the last request that used the adapter; `None` if the engine doesn't hold it.
    pub idle: Option<Duration>,
    /// Decaying sum of request-seconds of the adapter.
    pub popularity: f64,
    /// Requests that wait for it, the highest count that a node reported.
    pub waiting: u32,
    /// Time since the first of the requests for it that follow each other.
    pub requested_for: Duration,
}

impl Residency {
    /// Returns what a decision at `now` on an order for `adapter` is based on.
    pub fn order_inputs(&self, now: Time, adapter: &Name) -> OrderInputs {
        let slot = self.adapters.get(adapter);
        let request = self.requested_adapters.get(adapter);
        OrderInputs {
            holds_earlier: slot.is_some_and(|slot| slot.outdated_since.is_some()),
            is_warm: self.reloads_fast(now, adapter),
            is_spare: slot.is_some_and(|slot| slot.is_spare),
            idle: slot.map(|slot| now.since(slot.last_used)),
            popularity: slot.map_or(0.0, |slot| slot.popularity),
            waiting: request.map_or(0, |request| request.waiting),
            requested_for: request.map_or(Duration::ZERO, |request| now.since(request.first_seen)),
        }
    }

    /// Sets for which adapters another engine holds the replica that is to be kept.
    pub fn update_spare_replicas(&mut self, is_spare: impl Fn(&Name) -> bool) {
        for (adapter, slot) in &mut self.adapters {
            slot.is_spare = is_spare(adapter);
        }
    }

    /// Records which requested adapters another engine loads. Nodes that select different engines for an
    /// adapter would otherwise have it loaded twice. That holds for as long as the request is repeated,
    /// because nodes repeat it until they learn that the load has ended.
    pub fn update_loads_elsewhere(&mut self, now: Time, loads_elsewhere: impl Fn(&Name) -> bool) {
        if !self.pressure {
            return;
        }
        for (adapter, request) in &mut self.requested_adapters {
            if request.deferred_since.is_none() && loads_elsewhere(adapter) {
                request.deferred_since = Some(now);
            }
        }
    }

    /// Returns the loaded adapters that requests have used recently.
    pub fn popular_adapters(&self) -> Vec<Name> {
        self.adapters
            .iter()
            .filter(|(_, slot)| matches!(slot.state, AdapterState::Resident { .. }))
            .filter(|(_, slot)| slot.popularity >= MIN_POPULARITY)
            .map(|(adapter, _)| adapter.clone())
            .collect()
    }

    /// Returns the number of adapter slots that another adapter can take now: free slots and those
    /// of adapters that no request uses, under pressure only of cold ones.
    pub fn available_slots(&self, now: Time) -> u32 {
        let taken = self
            .adapters
            .values()
            .filter(|slot| {
                slot.active_requests > 0
                    || !matches!(slot.state, AdapterState::Resident { .. })
                    || (self.pressure && !slot.is_cold(now))
            })
            .count();
        u32::try_from(self.slots.saturating_sub(taken)).unwrap_or(u32::MAX)
    }

    /// Returns the least popular adapter that is neither in use nor requested; under pressure one that
    /// another engine keeps or else the one whose next request is expected last. `None` while an
    /// unload is in progress.
    pub(super) fn eviction_candidate(&self, now: Time) -> Option<&Name> {
        if self.adapters.values().any(|slot| matches!(slot.state, AdapterState::Unloading { .. })) {
            return None;
        }
        let value = |slot: &AdapterSlot| match self.pressure {
            true => -slot.expected_idle_s(now),
            false => slot.popularity,
        };
        self.adapters
            .iter()
            .filter(|(adapter, slot)| match slot.state {
                AdapterState::Resident { since } => {
                    slot.active_requests == 0
                        && !self.requested_adapters.contains_key(*adapter)
                        && now.since(since) >= MIN_RESIDENCE
                }
                AdapterState::Loading { .. } | AdapterState::Unloading { .. } => false,
            })
            .min_by(|(_, a), (_, b)| {
                let is_kept = |slot: &AdapterSlot| self.pressure && !slot.is_spare;
                is_kept(a).cmp(&is_kept(b)).then(value(a).total_cmp(&value(b)))
            })
            .map(|(adapter, _)| adapter)
    }
}
