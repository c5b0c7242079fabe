//! Adapters that this node needs, and the engines that should load them.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::AdapterRequest;

use super::AdapterKey;
use super::Job;

/// Time between two statements of one want.
const REPEAT: Duration = Duration::from_millis(80);
/// Time after which another engine is tried. Loads queue for seconds when many adapters are
/// asked for at once, and a second load of one of them lengthens the queue.
const GIVE_UP: Duration = Duration::from_millis(3_000);
/// Time after which a want that no request renewed is dropped.
const EXPIRE: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct State {
    target: Name,
    since: Time,
    renewed: Time,
    sent: Option<Time>,
    waiting: u32,
    priority: u8,
    failed: Option<Name>,
}

#[derive(Debug, Default)]
pub(super) struct Wants {
    states: HashMap<AdapterKey, State>,
}

impl Wants {
    /// Engine that was asked to load `key`, while it may still do so.
    pub(super) fn target(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let state = self.states.get(key)?;
        (now.since(state.since) < GIVE_UP).then(|| state.target.clone())
    }

    /// Engine that did not load `key` in time.
    pub(super) fn failed(&self, now: Time, key: &AdapterKey) -> Option<Name> {
        let state = self.states.get(key)?;
        match now.since(state.since) >= GIVE_UP {
            true => Some(state.target.clone()),
            false => state.failed.clone(),
        }
    }

    /// States that `job` needs `key` on `target`.
    pub(super) fn state(&mut self, now: Time, key: &AdapterKey, target: &Name, job: &Job) {
        let failed = self.failed(now, key);
        let state = self.states.entry(key.clone()).or_insert(State {
            target: target.clone(),
            since: now,
            renewed: now,
            sent: None,
            waiting: 0,
            priority: job.priority,
            failed: None,
        });
        if state.target != *target {
            state.target = target.clone();
            state.since = now;
            state.sent = None;
            state.failed = failed;
        }
        state.renewed = now;
        state.waiting += 1;
        state.priority = state.priority.min(job.priority);
    }

    /// Counts another request for an adapter that was stated in the same pass.
    pub(super) fn more(&mut self, job: &Job) {
        let Some(model) = &job.model else { return };
        let Some(adapter) = &model.adapter else { return };
        if let Some(state) = self.states.get_mut(&(model.model.clone(), adapter.clone())) {
            state.waiting += 1;
        }
    }

    /// Drops the want for `key`.
    pub(super) fn met(&mut self, key: &AdapterKey) {
        self.states.remove(key);
    }

    /// Wants that are due to be stated.
    pub(super) fn due(&mut self, now: Time, node: &Name) -> Vec<AdapterRequest> {
        self.states.retain(|_, state| now.since(state.renewed) < EXPIRE);
        let mut due = Vec::new();
        for ((model, adapter), state) in &mut self.states {
            if state.sent.is_some_and(|sent| now.since(sent) < REPEAT) {
                continue;
            }
            let first = state.sent.replace(now).is_none();
            due.push(AdapterRequest {
                node: node.clone(),
                upstream: state.target.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                waiting: state.waiting.max(1),
                priority: state.priority,
                is_first: first,
            });
            state.waiting = 0;
        }
        due
    }
}
