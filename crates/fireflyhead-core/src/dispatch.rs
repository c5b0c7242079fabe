//! Scheduling of one upstream: what it runs next, and which adapters it holds.
//!
//! A `Dispatcher` is a state machine without sockets or clocks. Its owner
//! feeds it inputs with the current time and carries out its effects. After
//! each input it ends what has expired, starts jobs while there is capacity
//! (`jobs`), and requests or orders loads (`residency`). Jobs that can't run
//! because their adapter is not loaded take no part in the choice of the next
//! job; they only count as demand for the adapter.

mod adapters;
mod api;
mod concurrency;
mod estimate;
mod floors;
mod jobs;
mod queue;
mod rank_queue;
mod residency;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::adapters::Adapters;
use self::adapters::SlotConfig;
use self::concurrency::Concurrency;
use self::floors::Floors;
use self::jobs::JobState;
use self::rank_queue::RankQueue;
use crate::table::RowKind;
use crate::table::Table;
use crate::table::row_id;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::Role;
use crate::types::RowId;
use crate::types::Time;
use crate::types::UpstreamAdvert;
use crate::types::UpstreamKind;

pub use api::DispatchEffect;
pub use api::DispatchInput;
pub use api::DispatcherConfig;
pub use api::LoadReport;
pub use api::RunResult;

/// Weight of a row that the table does not name, or names without a usable weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Smallest weight, so that one job can't move a row's tag without bound.
const MIN_WEIGHT: f64 = 1e-3;

/// Scheduler of one upstream.
pub struct Dispatcher {
    cfg: DispatcherConfig,
    table: Arc<Table>,
    rng: ChaCha8Rng,
    orders_allowed: bool,
    draining: bool,
    /// Boot id in the last report.
    boot_id: Option<u64>,
    started_at: Time,
    /// Time of the last input.
    now: Time,
    seq: u64,
    jobs: HashMap<JobId, JobState>,
    queues: [RankQueue; 3],
    /// Queued jobs by deadline.
    deadlines: BTreeSet<(Time, JobId)>,
    /// Jobs without an answer to their permit request, by timeout.
    permits: BTreeSet<(Time, JobId)>,
    floors: Floors,
    /// Ranks for which the table has a class of the service.
    has_class: [bool; 3],
    last_seen: [Option<Time>; 3],
    concurrency: Concurrency,
    service: estimate::Service,
    /// Run times by row of a plain service.
    row_times: HashMap<RowId, estimate::Service>,
    /// Retries that each class may make now.
    budgets: HashMap<RowId, f64>,
    loads: estimate::Loads,
    adapters: Adapters,
    /// Only slots kept for higher ranks are idle.
    reserve_only: bool,
}

impl Dispatcher {
    /// Dispatcher without jobs; `seed` is for jitter.
    pub fn new(cfg: DispatcherConfig, table: Arc<Table>, seed: u64) -> Dispatcher {
        let slots = match cfg.kind {
            UpstreamKind::Engine { slots } => slots,
            UpstreamKind::Service => 0,
        };
        let slot_cfg = SlotConfig {
            slots,
            probation: cfg.probation_slots,
            half_life: cfg.frequency_half_life.max(Duration::from_millis(1)),
            waiter_value: cfg.waiter_value,
        };
        let mut dispatcher = Dispatcher {
            concurrency: Concurrency::new(cfg.max_in_flight, cfg.latency_target, cfg.report_lag),
            adapters: Adapters::new(slot_cfg),
            floors: Floors::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            cfg,
            table: Arc::clone(&table),
            orders_allowed: true,
            draining: false,
            boot_id: None,
            started_at: Time::default(),
            now: Time::default(),
            seq: 0,
            jobs: HashMap::new(),
            queues: Default::default(),
            deadlines: BTreeSet::new(),
            permits: BTreeSet::new(),
            has_class: [false; 3],
            last_seen: [None; 3],
            service: estimate::Service::default(),
            row_times: HashMap::new(),
            budgets: HashMap::new(),
            loads: estimate::Loads::default(),
            reserve_only: false,
        };
        dispatcher.set_table(table);
        dispatcher
    }

    /// Puts another version of the table in force.
    pub fn set_table(&mut self, table: Arc<Table>) {
        self.floors = Floors::from_table(&table, &self.cfg.service, self.cfg.min_floor);
        self.has_class = [false; 3];
        for row in table.classes().filter(|row| row.service == self.cfg.service) {
            self.has_class[row.terms.rank.index()] = true;
        }
        for queue in &mut self.queues {
            queue.reweigh(|row| weight_in(&table, row));
        }
        self.table = table;
    }

    /// Changes what the node may do with the upstream. Follow it with a `Tick`.
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
        if self.now == Time::default() {
            self.started_at = now;
        }
        self.now = self.now.max(now);
        match input {
            DispatchInput::Submit(job) => self.submit(now, &job, effects),
            DispatchInput::Cancel(job) => self.cancel(now, job, effects),
            DispatchInput::Permit { job, granted } => self.permit(now, job, granted, effects),
            DispatchInput::Started { job } | DispatchInput::Progress { job, .. } => {
                self.started(now, job);
            }
            DispatchInput::Finished { job, result } => self.finished(now, job, result, effects),
            DispatchInput::LoadGranted { adapter } => self.load_granted(now, adapter, effects),
            DispatchInput::LoadDenied { adapter, retry_after } => {
                self.load_denied(now, &adapter, retry_after);
            }
            DispatchInput::LoadDone { adapter, ok } => self.load_done(now, &adapter, ok, effects),
            DispatchInput::UnloadDone { adapter, ok } => self.unload_done(now, &adapter, ok),
            DispatchInput::Report(report) => self.report(now, &report, effects),
            DispatchInput::OrdersAllowed(allowed) => self.orders_allowed = allowed,
            DispatchInput::Drain => self.draining = true,
            DispatchInput::Tick => self.shed(now, effects),
        }
        if self.draining {
            self.shed(now, effects);
        }
        self.expire(now, effects);
        self.adapters.end_backoffs(now);
        self.refresh_reserve();
        self.dispatch(now, effects);
        self.manage_slots(now, effects);
    }

    /// Load figures that the owner advertises to entries.
    pub fn advert(&self, _now: Time) -> UpstreamAdvert {
        let wait = |rank| self.predicted_queue_wait(rank, |q| q.ready_cost() as f64);
        let queued: usize = self.queues.iter().map(RankQueue::len).sum();
        let ahead = self.adapters.candidates_ahead(Rank::Background);
        UpstreamAdvert {
            queue_delay_ms: Rank::ALL.map(|rank| millis(wait(rank))),
            in_flight: count(self.concurrency.in_flight()),
            queued: count(queued),
            load_delay_ms: millis(self.loads.wait_behind(ahead)),
            full: self.draining || self.is_full(),
        }
    }

    /// Whether the most urgent rank in use has no room, so that a flood of a lower one does not count.
    fn is_full(&self) -> bool {
        let used = |i: &usize| self.last_seen[*i].is_some();
        (0..self.queues.len()).find(used).is_some_and(|i| self.queues[i].len() >= self.rank_limit())
    }

    /// Jobs that one rank may queue.
    fn rank_limit(&self) -> usize {
        (self.cfg.max_queue / Rank::ALL.len()).max(1)
    }

    /// Earliest time at which `Tick` must be delivered.
    pub fn next_tick(&self) -> Option<Time> {
        let first = |set: &BTreeSet<(Time, JobId)>| set.first().map(|(at, _)| *at);
        let times = [first(&self.deadlines), first(&self.permits), self.next_load_tick()];
        times.into_iter().flatten().min()
    }

    /// Redirects the jobs that this dispatcher will not run, once it leaves or may not load.
    fn shed(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        if self.draining {
            self.redirect_where(now, |_, _| true, effects);
        } else if self.cfg.caretaker {
            self.redirect_where(now, |d, state| d.is_out_of_reach(state.ticket.lane), effects);
        }
    }

    /// Class of a row; the row itself if the table does not name it.
    fn class_of(&self, row: RowId) -> RowId {
        self.table.row(row).map_or(row, |found| match found.kind {
            RowKind::Class => row,
            RowKind::Adapter => row_id(RowKind::Class, &found.class),
        })
    }

    /// Weight of a row in fair queueing.
    fn weight_of(&self, row: RowId) -> f64 {
        weight_in(&self.table, row)
    }
}

fn weight_in(table: &Table, row: RowId) -> f64 {
    match table.row(row) {
        Some(row) if row.terms.weight > 0.0 => row.terms.weight.max(MIN_WEIGHT),
        _ => DEFAULT_WEIGHT,
    }
}

fn count(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
