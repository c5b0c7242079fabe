//! Waiting requests and the order in which they are dispatched.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Name;
use crate::Time;

use super::Job;
use super::JobId;

/// Time from a send to the first output of an engine without a backlog.
const MIN_FIRST_OUTPUT_TIME: Duration = Duration::from_millis(200);
/// Number of waiting requests that one pass over the queue considers, which keeps a pass short in a
/// flood.
const MAX_REQUESTS_PER_PASS: usize = 256;
/// Factor by which older requests lose weight in the route shares with each new one; about the last
/// hundred requests count.
const SHARE_DECAY: f64 = 0.99;

/// Sort key of a waiting request: priority, objective scaled by the route's weight, id.
pub(crate) type QueueKey = (u8, Time, JobId);

/// Returns the sort key of `job`. A higher weight moves the scaled objective closer to the arrival.
fn queue_key(job: &Job) -> QueueKey {
    let slack = job.objective.since(job.arrived).as_secs_f64() / job.weight.max(0.001);
    let weighted = Duration::try_from_secs_f64(slack).unwrap_or(Duration::MAX);
    (job.priority, job.arrived + weighted, job.id)
}

/// Waiting requests, sorted by [`QueueKey`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<QueueKey, Job>,
}

impl Queue {
    /// Adds a request.
    pub(crate) fn insert(&mut self, job: Job) {
        self.waiting.insert(queue_key(&job), job);
    }

    /// Removes and returns a request.
    pub(crate) fn remove(&mut self, key: &QueueKey) -> Option<Job> {
        self.waiting.remove(key)
    }

    /// Removes a request by its id, if it waits.
    pub(crate) fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|key, _| key.2 != id);
    }

    /// Removes and returns the requests that no upstream can have executed.
    pub(crate) fn extract_not_executed(&mut self) -> impl Iterator<Item = Job> {
        self.waiting.extract_if(.., |_, job| !job.possibly_executed).map(|(_, job)| job)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Iterates over the waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.waiting.values()
    }

    /// Iterates over the requests that sort before `job`.
    pub(crate) fn ahead_of(&self, job: &Job) -> impl Iterator<Item = &Job> {
        self.waiting.range(..queue_key(job)).map(|(_, other)| other)
    }

    /// Returns the keys of the requests in dispatch order, at most [`MAX_REQUESTS_PER_PASS`].
    /// `shares` gives the route shares of a request's service.
    ///
    /// Requests of routes below their floor come first. Within a priority, requests that can still
    /// be on time come before those that are already late: in an overload, an oldest-first order
    /// would make every request late.
    pub(crate) fn order<'a>(
        &self,
        now: Time,
        shares: impl Fn(&Job) -> Option<&'a RouteShares>,
    ) -> Vec<QueueKey> {
        let earliest_output = now + MIN_FIRST_OUTPUT_TIME;
        let below_floor =
            |job: &Job| shares(job).is_some_and(|shares| shares.share_of(&job.route) < job.floor);
        let mut order: Vec<(u8, bool, QueueKey)> = self
            .waiting
            .iter()
            .map(|(key, job)| match below_floor(job) {
                true => (0, false, *key),
                false => (job.priority.saturating_add(1), job.objective < earliest_output, *key),
            })
            .collect();
        order.sort_unstable();
        order.truncate(MAX_REQUESTS_PER_PASS);
        order.into_iter().map(|(_, _, key)| key).collect()
    }
}

/// Decaying count of the requests sent recently, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteShares {
    sent: BTreeMap<Name, f64>,
}

impl RouteShares {
    /// Records that a request of `route` was sent.
    pub(crate) fn record(&mut self, route: &Name) {
        for sent in self.sent.values_mut() {
            *sent *= SHARE_DECAY;
        }
        self.sent.retain(|_, sent| *sent > 0.01);
        *self.sent.entry(route.clone()).or_insert(0.0) += 1.0;
    }

    /// Returns the share of `route` in the requests sent recently; 1 if there were none.
    fn share_of(&self, route: &Name) -> f64 {
        let total: f64 = self.sent.values().sum();
        let own = self.sent.get(route).copied().unwrap_or(0.0);
        if total > 0.0 { own / total } else { 1.0 }
    }
}
