//! Adapters that this node needs, and the engines that should load them.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::AdapterRequest;

use super::AdapterKey;
use super::Job;

/// Time between two statements of one want.
const REPEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Time after which another engine is tried. Loads queue for seconds when many adapters are
/// asked for at once, and a second load of one of them lengthens the queue.
const LOAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a want that no request renewed is dropped.
const EXPIRY: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct PendingRequest {
    target: Name,
    target_since: Time,
    last_needed: Time,
    last_sent: Option<Time>,
    waiting: u32,
    priority: u8,
    failed_target: Option<Name>,
}

#[derive(Debug, Default)]
pub(super) struct AdapterRequests {
    pending: HashMap<AdapterKey, PendingRequest>,
}

impl AdapterRequests {
    /// Engine that was asked to load `key`, while it may still do so.
    pub(super) fn target(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let request = self.pending.get(key)?;
        (now.since(request.target_since) < LOAD_TIMEOUT).then(|| request.target.clone())
    }

    /// Engine that did not load `key` in time.
    pub(super) fn failed_target(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let request = self.pending.get(key)?;
        match now.since(request.target_since) >= LOAD_TIMEOUT {
            true => Some(request.target.clone()),
            false => request.failed_target.clone(),
        }
    }

    /// States that `job` needs `key` on `target`.
    pub(super) fn add(&mut self, now: Time, key: &AdapterKey, target: &Name, job: &Job) {
        let failed_target = self.failed_target(now, key);
        let request = self.pending.entry(key.clone()).or_insert(PendingRequest {
            target: target.clone(),
            target_since: now,
            last_needed: now,
            last_sent: None,
            waiting: 0,
            priority: job.priority,
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
        request.priority = request.priority.min(job.priority);
    }

    /// Counts another request for an adapter that was stated in the same pass.
    pub(super) fn count_request(&mut self, job: &Job) {
        let Some(model) = &job.model else { return };
        let Some(adapter) = &model.adapter else { return };
        if let Some(request) = self.pending.get_mut(&(model.model.clone(), adapter.clone())) {
            request.waiting += 1;
        }
    }

    /// Drops the want for `key`.
    pub(super) fn remove(&mut self, key: &AdapterKey) {
        self.pending.remove(key);
    }

    /// Wants that are due to be stated.
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
