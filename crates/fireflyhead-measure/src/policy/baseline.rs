//! Baseline schedulers that the dispatcher is compared with.
//!
//! FIFO admits requests strictly in order of arrival; the adapters of the first requests in
//! the queue are loaded ahead. Strict priority admits by rank and passes over requests
//! whose adapter is not loaded. Both evict the least recently used idle adapter, have no
//! floors, refuse a request only at its deadline or when the queue is full, and keep the
//! weight store's limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use fireflyhead_core::dispatch::DispatchEffect;
use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Job;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Rank;
use fireflyhead_core::types::RefuseReason;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamAdvert;

/// Delay that refused callers are told.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Queued requests that are looked at for admission or loading.
const SCAN: usize = 64;
/// Adapters that are loaded ahead.
const LOADS_AHEAD: usize = 3;
/// Largest queue.
const MAX_QUEUE: usize = 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Requested,
    Loading,
    Loaded,
    Unloading,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    state: State,
    running: usize,
    used: Time,
}

/// Position in the queue: rank (FIFO: always the same) and arrival.
type Position = (Rank, u64);

/// Scheduler of one upstream.
#[derive(Debug)]
pub struct Baseline {
    strict: bool,
    slots: usize,
    max_in_flight: usize,
    seq: u64,
    queue: BTreeMap<Position, Job>,
    deadlines: BTreeSet<(Time, Position)>,
    running: HashMap<JobId, Job>,
    deadline_of: HashMap<JobId, Time>,
    held: HashMap<AdapterKey, Slot>,
    boot: u64,
}

impl Baseline {
    /// Scheduler by rank (`strict`) or in order of arrival.
    pub fn new(strict: bool, slots: usize, max_in_flight: usize) -> Baseline {
        Baseline {
            strict,
            slots,
            max_in_flight,
            seq: 0,
            queue: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            deadline_of: HashMap::new(),
            held: HashMap::new(),
            boot: 0,
        }
    }

    /// Same interface as the dispatcher.
    pub fn handle(&mut self, now: Time, input: DispatchInput, effects: &mut Vec<DispatchEffect>) {
        match input {
            DispatchInput::Submit(job) => self.submit(now, job, effects),
            DispatchInput::Permit { job, granted: true } => {
                effects.push(DispatchEffect::Run { job });
            }
            DispatchInput::Permit { job, .. } => self.finish(now, job),
            DispatchInput::Finished { job, result } => self.finished(now, job, result),
            DispatchInput::LoadGranted { adapter } => {
                self.set(now, &adapter, State::Loading);
                effects.push(DispatchEffect::Load { adapter });
            }
            DispatchInput::LoadDone { adapter, ok: true } => self.set(now, &adapter, State::Loaded),
            DispatchInput::LoadDone { adapter, ok: false }
            | DispatchInput::LoadDenied { adapter, .. }
            | DispatchInput::UnloadDone { adapter, .. } => {
                self.held.remove(&adapter);
            }
            DispatchInput::Report(report) if report.boot_id != self.boot => {
                let restarted = self.boot != 0;
                self.boot = report.boot_id;
                if restarted {
                    self.restarted(effects);
                }
            }
            _ => {}
        }
        self.expire(now, effects);
        self.admit(now, effects);
        self.load(effects);
    }

    /// Load figures.
    pub fn advert(&self) -> UpstreamAdvert {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        UpstreamAdvert {
            queue_delay_ms: [waiting * 100; 3],
            in_flight: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: waiting,
            load_delay_ms: 0,
            full: self.queue.len() >= MAX_QUEUE,
        }
    }

    /// Next deadline.
    pub fn next_tick(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    fn submit(&mut self, now: Time, job: Job, effects: &mut Vec<DispatchEffect>) {
        if self.queue.len() >= MAX_QUEUE {
            let (reason, retry_after) = (RefuseReason::Overloaded, RETRY_AFTER);
            return effects.push(DispatchEffect::Refuse { job: job.id, reason, retry_after });
        }
        let deadline = now + job.deadline;
        self.deadline_of.insert(job.id, deadline);
        self.enqueue(job, deadline);
    }

    fn enqueue(&mut self, job: Job, deadline: Time) {
        self.seq += 1;
        let rank = if self.strict { job.rank } else { Rank::Urgent };
        let position = (rank, self.seq);
        self.deadlines.insert((deadline, position));
        self.queue.insert(position, job);
    }

    fn finished(&mut self, now: Time, job: JobId, result: RunResult) {
        let again = match result {
            RunResult::Cancelled => self.running.get(&job).cloned(),
            _ => None,
        };
        let deadline = self.deadline_of.get(&job).copied().unwrap_or(now);
        self.finish(now, job);
        if let Some(job) = again {
            self.deadline_of.insert(job.id, deadline);
            self.enqueue(job, deadline);
        }
    }

    fn finish(&mut self, now: Time, job: JobId) {
        self.deadline_of.remove(&job);
        let Some(job) = self.running.remove(&job) else { return };
        if let Some(slot) = job.adapter.and_then(|adapter| self.held.get_mut(&adapter)) {
            slot.running = slot.running.saturating_sub(1);
            slot.used = now;
        }
    }

    fn set(&mut self, now: Time, adapter: &AdapterKey, state: State) {
        let slot = Slot { state, running: 0, used: now };
        self.held.insert(adapter.clone(), slot);
    }

    fn restarted(&mut self, effects: &mut Vec<DispatchEffect>) {
        self.held.clear();
        let mut jobs: Vec<JobId> = self.running.keys().copied().collect();
        jobs.sort();
        effects.extend(jobs.into_iter().map(|job| DispatchEffect::CancelRun { job }));
    }

    fn expire(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        while let Some(&(at, position)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, position));
            let Some(job) = self.queue.remove(&position) else { continue };
            self.deadline_of.remove(&job.id);
            let (reason, retry_after) = (RefuseReason::Deadline, RETRY_AFTER);
            effects.push(DispatchEffect::Refuse { job: job.id, reason, retry_after });
        }
    }

    fn admit(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let mut admitted = Vec::new();
        let mut free = self.max_in_flight.saturating_sub(self.running.len());
        for (position, job) in self.queue.iter().take(SCAN) {
            if free == 0 {
                break;
            }
            let ready = job.adapter.as_ref().is_none_or(|adapter| {
                self.held.get(adapter).is_some_and(|slot| slot.state == State::Loaded)
            });
            match (ready, self.strict) {
                (true, _) => {
                    free -= 1;
                    admitted.push(*position);
                }
                (false, true) => {}
                (false, false) => break,
            }
        }
        for position in admitted {
            let Some(job) = self.queue.remove(&position) else { continue };
            if let Some(deadline) = self.deadline_of.get(&job.id) {
                self.deadlines.remove(&(*deadline, position));
            }
            if let Some(slot) = job.adapter.as_ref().and_then(|key| self.held.get_mut(key)) {
                slot.running += 1;
                slot.used = now;
            }
            effects.push(match job.idempotent {
                true => DispatchEffect::Run { job: job.id },
                false => DispatchEffect::RequestPermit { job: job.id },
            });
            self.running.insert(job.id, job);
        }
    }

    /// Requests the adapters of the first queued requests; frees a slot if none is free.
    fn load(&mut self, effects: &mut Vec<DispatchEffect>) {
        let mut wanted: Vec<(AdapterKey, Rank)> = Vec::new();
        for job in self.queue.values().take(SCAN) {
            let Some(adapter) = &job.adapter else { return };
            if wanted.len() < LOADS_AHEAD && wanted.iter().all(|(key, _)| key != adapter) {
                wanted.push((adapter.clone(), job.rank));
            }
        }
        for i in 0..wanted.len() {
            let (adapter, rank) = wanted[i].clone();
            if self.held.contains_key(&adapter) {
                continue;
            }
            if self.held.len() < self.slots {
                let slot = Slot { state: State::Requested, running: 0, used: Time::default() };
                self.held.insert(adapter.clone(), slot);
                let rank = if self.strict { rank } else { Rank::Urgent };
                effects.push(DispatchEffect::RequestLoad { adapter, rank, waiting: 1 });
                continue;
            }
            if self.held.values().any(|slot| slot.state == State::Unloading) {
                return;
            }
            let idle = self.held.iter().filter(|(key, slot)| {
                slot.state == State::Loaded
                    && slot.running == 0
                    && wanted.iter().all(|(wanted, _)| wanted != *key)
            });
            let Some(oldest) = idle.min_by_key(|(key, slot)| (slot.used, (*key).clone())) else {
                return;
            };
            let adapter = oldest.0.clone();
            if let Some(slot) = self.held.get_mut(&adapter) {
                slot.state = State::Unloading;
            }
            effects.push(DispatchEffect::Unload { adapter });
        }
    }
}
