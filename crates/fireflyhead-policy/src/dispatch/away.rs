//! Upstreams that want no requests of this node for a time.
//!
//! Handles an overloaded upstream that names the time at which it wants requests again: those that
//! arrive earlier only add to its load. What it says holds for this node alone. While no upstream of a
//! service wants requests, a request waits if it can still be on time, and is rejected at once
//! otherwise. The rejections name times that are spread, so that the callers don't return together.

use std::time::Duration;

use rand::Rng;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;

use super::DispatchDecision;
use super::Dispatcher;
use super::RETRY_AFTER_RANGE;
use super::RejectReason;

/// Largest addition to the time that a rejection names, as a share of that time.
const SPREAD_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Records that the upstream which started at `incarnation` wants no requests for the duration
    /// of `wait`. The requests that wait for it return to the queue of the node. Returns whether it
    /// wanted requests before.
    pub fn record_retry_after(
        &mut self,
        now: Time,
        id: &Name,
        incarnation: u64,
        wait: Duration,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        if upstream.entry.incarnation != incarnation {
            return false;
        }
        let was_away = upstream.is_away(now);
        upstream.away_until = upstream.away_until.max(now + wait);
        let away = &mut self.services.entry(upstream.entry.service.clone()).or_default().away;
        if !away.contains(id) {
            away.push(id.clone());
        }
        self.withdraw_admissions(id);
        !was_away
    }

    /// Returns whether an upstream wants no requests now.
    pub fn is_away(&self, now: Time, id: &str) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.is_away(now))
    }

    /// Returns whether a request that was decided on before may still be sent to `entry`.
    pub fn may_send(&self, now: Time, entry: &UpstreamEntry) -> bool {
        self.upstreams.get(&entry.id).is_none_or(|upstream| {
            upstream.entry.incarnation != entry.incarnation
                || upstream.entry.state == UpstreamState::Ready && !upstream.is_away(now)
        })
    }

    /// Returns the time at which the first upstream of `service` wants requests again; `None` if one
    /// wants them now, or if there is none.
    pub(super) fn all_away_until(&mut self, now: Time, service: &Name) -> Option<Time> {
        let service = self.services.get_mut(service)?;
        let upstreams = &self.upstreams;
        service.away.retain(|id| upstreams.get(id).is_some_and(|upstream| upstream.is_away(now)));
        if service.away.is_empty() {
            return None;
        }
        let accepting = service
            .members
            .iter()
            .filter_map(|id| upstreams.get(id))
            .filter(|upstream| upstream.accepts_requests());
        accepting.map(|upstream| upstream.away_until).min().filter(|until| now < *until)
    }

    /// Returns the rejection of a request for a service whose upstreams want none before `until`.
    pub(super) fn away_rejection(&mut self, now: Time, until: Time) -> DispatchDecision {
        let wait = until.since(now).max(RETRY_AFTER_RANGE.0);
        let spread = self.rng.random_range(0.0..SPREAD_SHARE);
        DispatchDecision::Reject {
            reason: RejectReason::UpstreamsAway,
            retry_after: wait.mul_f64(1.0 + spread),
        }
    }
}
