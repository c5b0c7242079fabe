//! Adapters that this node needs loaded, and the engines that are asked to load them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::AdapterRequest;

use super::AdapterKey;
use super::Job;

/// Interval at which a request is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Time after which a different engine is asked. Loads queue for seconds when many adapters are
/// requested at once, and a second load of one of them lengthens the queue.
const LOAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a request is dropped unless a waiting job renewed it.
const EXPIRY: Duration = Duration::from_millis(250);

/// A request for the load of one adapter.
#[derive(Clone, Debug)]
struct PendingRequest {
    /// Engine that should load the adapter.
    target: Name,
    /// Time at which this engine was selected.
    target_since: Time,
    /// Time at which a job last needed the adapter.
    last_needed: Time,
    /// Time at which the request was last sent to this engine; `None` if not yet.
    last_sent: Option<Time>,
    /// Number of jobs that needed the adapter since the request was last sent; a job counts once in
    /// each pass over the queue.
    waiting: u32,
    /// Most urgent priority of these jobs; 0 is the most urgent.
    priority: u8,
    /// Engine that last failed to load the adapter in time.
    failed_target: Option<Name>,
}

/// Adapter requests of this node, at most one per adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct AdapterRequests {
    pending: BTreeMap<AdapterKey, PendingRequest>,
}

impl AdapterRequests {
    /// Returns the engine that was asked to load `key`, while it may still do so.
    pub(super) fn target(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let request = self.pending.get(key)?;
        (now.since(request.target_since) < LOAD_TIMEOUT).then(|| request.target.clone())
    }

    /// Returns the engine that did not load `key` in time.
    pub(super) fn failed_target(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let request = self.pending.get(key)?;
        match now.since(request.target_since) >= LOAD_TIMEOUT {
            true => Some(request.target.clone()),
            false => request.failed_target.clone(),
        }
    }

    /// Records that a job with `priority` needs `key` to be loaded by `target`.
    pub(super) fn add(&mut self, now: Time, key: &AdapterKey, target: &Name, priority: u8) {
        let failed_target = self.failed_target(now, key);
        let request = self.pending.entry(key.clone()).or_insert(PendingRequest {
            target: target.clone(),
            target_since: now,
            last_needed: now,
            last_sent: None,
            waiting: 0,
            priority,
            failed_target: None,
        });
        if request.target != *target {
            request.target = target.clone();
            request.target_since = now;
            request.last_sent = None;
            request.failed_target = failed_target;
        }
        request.last_needed = now;
        request.waiting += 1;
        request.priority = request.priority.min(priority);
    }

    /// Counts a further job that waits for an adapter already requested in the same pass.
    pub(super) fn count_job(&mut self, job: &Job) {
        let Some(model) = &job.model else { return };
        let Some(adapter) = &model.adapter else { return };
        if let Some(request) = self.pending.get_mut(&(model.model.clone(), adapter.clone())) {
            request.waiting += 1;
        }
    }

    /// Returns whether no adapter is requested.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the request for `key`.
    pub(super) fn remove(&mut self, key: &AdapterKey) {
        self.pending.remove(key);
    }

    /// Returns the requests that are due to be sent, and drops expired ones.
    pub(super) fn take_due(&mut self, now: Time, node: &Name) -> Vec<AdapterRequest> {
        self.pending.retain(|_, request| now.since(request.last_needed) < EXPIRY);
        let mut due = Vec::new();
        for ((model, adapter), request) in &mut self.pending {
            if request.last_sent.is_some_and(|sent| now.since(sent) < REPEAT_INTERVAL) {
                continue;
            }
            let is_first = request.last_sent.replace(now).is_none();
            due.push(AdapterRequest {
                node: node.clone(),
                upstream: request.target.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                waiting: request.waiting.max(1),
                priority: request.priority,
                is_first,
            });
            request.waiting = 0;
        }
        due
    }
}
