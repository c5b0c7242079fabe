//! Scheduling of one upstream: what it runs next, and which adapters it holds.
//!
//! A `Dispatcher` is a state machine without sockets or clocks. Its owner
//! feeds it inputs with the current time and carries out its effects.

mod api;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::table::Table;
use crate::types::AdapterKey;
use crate::types::Job;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::Role;
use crate::types::Time;
use crate::types::UpstreamAdvert;
use crate::types::UpstreamKind;

pub use api::DispatchEffect;
pub use api::DispatchInput;
pub use api::DispatcherConfig;
pub use api::LoadReport;
pub use api::RunResult;

/// Time after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Slot {
    Requested,
    Loading,
    Loaded,
    Unloading,
}

#[derive(Clone, Debug)]
struct Queued {
    job: Job,
    deadline: Time,
    running: bool,
}

/// Scheduler of one upstream.
pub struct Dispatcher {
    cfg: DispatcherConfig,
    orders_allowed: bool,
    draining: bool,
    seq: u64,
    queue: BTreeMap<(Rank, u64), JobId>,
    jobs: HashMap<JobId, Queued>,
    in_flight: usize,
    slots: HashMap<AdapterKey, (Slot, usize)>,
}

impl Dispatcher {
    /// Dispatcher without jobs whose upstream holds nothing; `seed` is for jitter.
    pub fn new(cfg: DispatcherConfig, _table: Arc<Table>, _seed: u64) -> Dispatcher {
        Dispatcher {
            cfg,
            orders_allowed: true,
            draining: false,
            seq: 0,
            queue: BTreeMap::new(),
            jobs: HashMap::new(),
            in_flight: 0,
            slots: HashMap::new(),
        }
    }

    /// Puts another version of the table in force.
    pub fn set_table(&mut self, _table: Arc<Table>) {}

    /// Changes what the node may do with the upstream.
    pub fn set_role(&mut self, role: &Role) {
        match role {
            Role::Owner { orders_allowed, pinned_until, .. } => {
                self.cfg.caretaker = false;
                self.cfg.pinned_until = *pinned_until;
                self.orders_allowed = *orders_allowed;
            }
            Role::Caretaker => self.cfg.caretaker = true,
            Role::None => self.draining = true,
        }
    }

    /// Reacts to one input; appends what is to be done to `effects`.
    pub fn handle(&mut self, now: Time, input: DispatchInput, effects: &mut Vec<DispatchEffect>) {
        match input {
            DispatchInput::Submit(job) => self.submit(now, job, effects),
            DispatchInput::Cancel(job) => self.cancel(job, effects),
            DispatchInput::Permit { job, granted: true } => {
                effects.push(DispatchEffect::Run { job })
            }
            DispatchInput::Permit { job, granted: false } | DispatchInput::Finished { job, .. } => {
                self.release(job)
            }
            DispatchInput::LoadGranted { adapter } => effects.push(self.load(adapter)),
            DispatchInput::LoadDenied { adapter, .. } => {
                self.slots.remove(&adapter);
            }
            DispatchInput::LoadDone { adapter, ok: true } => {
                self.slots.insert(adapter, (Slot::Loaded, 0));
            }
            DispatchInput::LoadDone { adapter, ok: false }
            | DispatchInput::UnloadDone { adapter, .. } => {
                self.slots.remove(&adapter);
            }
            DispatchInput::OrdersAllowed(allowed) => self.orders_allowed = allowed,
            DispatchInput::Drain => self.drain(effects),
            DispatchInput::Report(_)
            | DispatchInput::Started { .. }
            | DispatchInput::Progress { .. }
            | DispatchInput::Tick => {}
        }
        self.expire(now, effects);
        self.dispatch(effects);
    }

    /// Load figures that the owner advertises to entries.
    pub fn advert(&self, _now: Time) -> UpstreamAdvert {
        UpstreamAdvert {
            in_flight: u32::try_from(self.in_flight).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            full: self.queue.len() >= self.cfg.max_queue,
            ..UpstreamAdvert::default()
        }
    }

    /// Earliest time at which `Tick` must be delivered.
    pub fn next_tick(&self) -> Option<Time> {
        self.queue.values().map(|id| self.jobs[id].deadline).min()
    }

    fn submit(&mut self, now: Time, job: Job, effects: &mut Vec<DispatchEffect>) {
        if self.draining {
            return effects.push(DispatchEffect::Redirect { job: job.id });
        }
        if self.queue.len() >= self.cfg.max_queue {
            let reason = RefuseReason::Overloaded;
            let retry_after = RETRY_AFTER;
            return effects.push(DispatchEffect::Refuse { job: job.id, reason, retry_after });
        }
        self.seq += 1;
        self.queue.insert((job.rank, self.seq), job.id);
        let deadline = now + job.deadline;
        self.jobs.insert(job.id, Queued { job, deadline, running: false });
    }

    fn cancel(&mut self, job: JobId, effects: &mut Vec<DispatchEffect>) {
        match self.jobs.get(&job) {
            Some(queued) if queued.running => effects.push(DispatchEffect::CancelRun { job }),
            Some(_) => {
                self.queue.retain(|_, id| *id != job);
                self.jobs.remove(&job);
            }
            None => {}
        }
    }

    fn release(&mut self, job: JobId) {
        let Some(queued) = self.jobs.remove(&job) else { return };
        self.in_flight -= 1;
        if let Some((_, used)) = queued.job.adapter.and_then(|key| self.slots.get_mut(&key)) {
            *used -= 1;
        }
    }

    fn load(&mut self, adapter: AdapterKey) -> DispatchEffect {
        self.slots.insert(adapter.clone(), (Slot::Loading, 0));
        DispatchEffect::Load { adapter }
    }

    fn drain(&mut self, effects: &mut Vec<DispatchEffect>) {
        self.draining = true;
        for (_, job) in std::mem::take(&mut self.queue) {
            self.jobs.remove(&job);
            effects.push(DispatchEffect::Redirect { job });
        }
    }

    fn expire(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let expired = |id: &JobId| self.jobs[id].deadline <= now;
        let keys: Vec<_> =
            self.queue.iter().filter(|(_, id)| expired(id)).map(|(key, _)| *key).collect();
        for key in keys {
            let Some(job) = self.queue.remove(&key) else { continue };
            self.jobs.remove(&job);
            let reason = RefuseReason::Deadline;
            effects.push(DispatchEffect::Refuse { job, reason, retry_after: RETRY_AFTER });
        }
    }

    fn dispatch(&mut self, effects: &mut Vec<DispatchEffect>) {
        let keys: Vec<_> = self.queue.keys().copied().collect();
        for key in keys {
            if self.in_flight >= self.cfg.max_in_flight {
                return;
            }
            let id = self.queue[&key];
            let job = self.jobs[&id].job.clone();
            match job.adapter.as_ref().map(|adapter| self.slots.get(adapter).copied()) {
                None => self.start(key, &job, effects),
                Some(Some((Slot::Loaded, _))) => self.start(key, &job, effects),
                Some(Some(_)) => {}
                Some(None) => self.want(&job, effects),
            }
        }
    }

    fn start(&mut self, key: (Rank, u64), job: &Job, effects: &mut Vec<DispatchEffect>) {
        self.queue.remove(&key);
        self.in_flight += 1;
        if let Some((_, used)) = job.adapter.as_ref().and_then(|key| self.slots.get_mut(key)) {
            *used += 1;
        }
        if let Some(queued) = self.jobs.get_mut(&job.id) {
            queued.running = true;
        }
        effects.push(match job.idempotent {
            true => DispatchEffect::Run { job: job.id },
            false => DispatchEffect::RequestPermit { job: job.id },
        });
    }

    fn want(&mut self, job: &Job, effects: &mut Vec<DispatchEffect>) {
        let (UpstreamKind::Engine { slots }, Some(adapter), true) =
            (self.cfg.kind, &job.adapter, self.orders_allowed && !self.cfg.caretaker)
        else {
            return;
        };
        if self.slots.len() < slots {
            self.slots.insert(adapter.clone(), (Slot::Requested, 0));
            let (adapter, rank) = (adapter.clone(), job.rank);
            return effects.push(DispatchEffect::RequestLoad { adapter, rank, waiting: 1 });
        }
        let idle = self.slots.iter().find(|(_, slot)| **slot == (Slot::Loaded, 0));
        if let Some(adapter) = idle.map(|(key, _)| key.clone()) {
            self.slots.insert(adapter.clone(), (Slot::Unloading, 0));
            effects.push(DispatchEffect::Unload { adapter });
        }
    }
}
