//! Life of a job: admission, queue, permit, run, end.

use std::time::Duration;

use rand::Rng;

use crate::types::Job;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::RowId;
use crate::types::Time;
use crate::types::UpstreamKind;

use super::DispatchEffect;
use super::Dispatcher;
use super::RunResult;
use super::adapters::Waiter;
use super::estimate;
use super::floors::Receiver;
use super::queue::JobKey;
use super::queue::Ticket;
use super::rank_queue::RankQueue;

/// Failed loads in a row after which new jobs are refused during the backoff.
const FAILURES_BEFORE_REFUSAL: u32 = 3;

/// Shortest and longest time after which a refused caller may try again.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(30)];

/// Period after its last job in which a rank has headroom without a class row.
const HEADROOM_MEMORY: Duration = Duration::from_secs(60);

/// Retries that a class may save up for a burst.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retries as a fraction of fresh requests for rows that the table does not name.
const DEFAULT_RETRY_BUDGET: f64 = 0.2;

/// Time until a place becomes free above which places are kept free for higher ranks.
const HEADROOM_WAIT: Duration = Duration::from_millis(50);

/// Weight of a retry's demand for a load in proportion to that of a fresh request.
const RETRY_DEMAND: f64 = 0.1;

/// Where an unfinished job is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// In the queue.
    Queued,
    /// Counted as in flight, without an answer to its permit request yet.
    Granting,
    /// At the upstream.
    Running,
}

/// Unfinished job.
#[derive(Clone, Debug)]
pub(super) struct JobState {
    pub(super) ticket: Ticket,
    pub(super) rank: Rank,
    pub(super) weight: f64,
    /// Time at which half of the time to its deadline is over.
    pub(super) due: Time,
    pub(super) idempotent: bool,
    pub(super) phase: Phase,
    /// Time of the permit request without an answer, so that only one is sent.
    pub(super) asked: bool,
    pub(super) permitted: bool,
    pub(super) ran_at: Time,
    pub(super) started: bool,
    /// The caller cancelled it.
    pub(super) cancelled: bool,
    /// Its upstream restarted during the run; it no longer counts as in flight.
    pub(super) orphaned: bool,
}

impl JobState {
    /// The job as its adapter counts it.
    pub(super) fn waiter(&self) -> Waiter {
        Waiter {
            id: self.ticket.id,
            rank: self.rank,
            demand: demand_rank(self.rank, self.ticket.retry),
            row: self.ticket.row,
            weight: if self.ticket.retry { self.weight * RETRY_DEMAND } else { self.weight },
            due: self.due,
            seq: self.ticket.key.seq,
        }
    }

    fn deadline(&self) -> Time {
        self.ticket.key.deadline
    }
}

/// Rank of a job's demand for a load: a retry counts as the next lower rank, so
/// that loads for retries do not displace loads for fresh requests.
fn demand_rank(rank: Rank, retry: bool) -> Rank {
    match rank {
        Rank::Urgent if retry => Rank::Standard,
        Rank::Standard if retry => Rank::Background,
        _ => rank,
    }
}

/// Whether the receiver of a floor has a job that could run now.
fn has_ready(queues: &[RankQueue; 3], receiver: &Receiver) -> bool {
    let queue = &queues[receiver.rank.index()];
    receiver.class.map_or_else(|| queue.has_ready(), |class| queue.has_ready_class(class))
}

impl Dispatcher {
    /// Queues a new job, or ends it at once.
    pub(super) fn submit(&mut self, now: Time, job: &Job, effects: &mut Vec<DispatchEffect>) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.last_seen[job.rank.index()] = Some(now);
        if self.draining {
            return effects.push(DispatchEffect::Redirect { job: job.id });
        }
        let lane = match (&job.adapter, self.cfg.kind) {
            (Some(key), UpstreamKind::Engine { .. }) => Some(self.adapters.intern(now, key)),
            _ => None,
        };
        if self.is_out_of_reach(lane) {
            return effects.push(DispatchEffect::Redirect { job: job.id });
        }
        let within_budget = self.count_retry(job);
        if !within_budget && !self.has_idle_place(now, job.rank, lane) {
            let wait = self.predicted_queue_wait(job.rank, |q| q.ready_cost() as f64);
            return self.refuse(job.id, RefuseReason::RetryBudget, wait, effects);
        }
        let objection = self.objection(now, job, lane);
        // Refused work of the lowest rank is usually a flood and must not make its adapters look hot.
        let counts = objection.is_none() || job.rank < Rank::Background;
        if let Some(idx) = lane.filter(|_| counts && !job.retry) {
            self.adapters.touch(now, idx, job.rank);
        }
        if let Some((reason, wait)) = objection {
            return self.refuse(job.id, reason, wait, effects);
        }
        let state = self.new_job(now, job, lane);
        self.enqueue(now, state);
    }

    /// Expected service time of a job of a plain service, by the earlier jobs of its row. The
    /// wait inside the upstream is the same for all rows and is left out: it would make short
    /// jobs look expensive.
    fn expected_millis(&self, row: RowId) -> u32 {
        let of_all = self.service.mean().unwrap_or_default();
        let of_row = self.row_times.get(&row).and_then(estimate::Service::mean).unwrap_or(of_all);
        let wait = of_all.mul_f64(self.concurrency.waiting_share());
        u32::try_from(of_row.saturating_sub(wait).as_millis()).unwrap_or(u32::MAX)
    }

    /// Counts a job for the retry budget of its class; false for a retry beyond the budget.
    fn count_retry(&mut self, job: &Job) -> bool {
        let class = self.class_of(job.row);
        let budget =
            self.table.row(class).map_or(DEFAULT_RETRY_BUDGET, |row| row.terms.retry_budget);
        let left = self.budgets.entry(class).or_insert(MAX_SAVED_RETRIES);
        match job.retry {
            false => *left = (*left + budget).min(MAX_SAVED_RETRIES),
            true if *left < 1.0 => return false,
            true => *left -= 1.0,
        }
        true
    }

    /// Whether a job could start at once without delaying any other.
    fn has_idle_place(&self, now: Time, rank: Rank, lane: Option<u32>) -> bool {
        let place = self.concurrency.in_flight() + self.headroom_above(now, rank);
        place < self.concurrency.capacity()
            && lane.is_none_or(|idx| self.adapters.get(idx).is_ready())
            && !self.queues.iter().any(RankQueue::has_ready)
    }

    /// Whether a substitute dispatcher has to leave the job to others.
    pub(super) fn is_out_of_reach(&self, lane: Option<u32>) -> bool {
        let loaded = lane.is_none_or(|idx| self.adapters.get(idx).is_ready());
        self.cfg.caretaker && self.boot_id.is_some() && !loaded
    }

    fn new_job(&mut self, now: Time, job: &Job, lane: Option<u32>) -> JobState {
        self.seq += 1;
        let key = JobKey { deadline: now + job.deadline, seq: self.seq };
        let cost = match self.cfg.kind {
            UpstreamKind::Engine { .. } => job.prompt_tokens.saturating_add(job.output_tokens),
            UpstreamKind::Service => self.expected_millis(job.row),
        };
        let (id, row, cost) = (job.id, job.row, cost.max(1));
        let class = self.class_of(row);
        JobState {
            ticket: Ticket { id, row, class, lane, key, submitted: now, retry: job.retry, cost },
            rank: job.rank,
            weight: self.weight_of(job.row),
            due: now + job.deadline / 2,
            idempotent: job.idempotent,
            phase: Phase::Queued,
            asked: false,
            permitted: false,
            ran_at: now,
            started: false,
            cancelled: false,
            orphaned: false,
        }
    }

    /// Reason for which a job can't be served in time, with the time to wait.
    fn objection(
        &self,
        now: Time,
        job: &Job,
        lane: Option<u32>,
    ) -> Option<(RefuseReason, Duration)> {
        let queue = &self.queues[job.rank.index()];
        let limit = self.rank_limit();
        let wait = self.predicted_wait(now, job, lane);
        if queue.len() >= limit || (job.retry && queue.retries() >= limit.div_ceil(2)) {
            return Some((RefuseReason::Overloaded, wait));
        }
        if let Some(adapter) = lane.map(|idx| self.adapters.get(idx))
            && adapter.failures > 0
            && adapter.not_before > now
        {
            let backoff = adapter.not_before.since(now);
            if backoff > job.deadline || adapter.failures >= FAILURES_BEFORE_REFUSAL {
                return Some((RefuseReason::LoadFailed, backoff));
            }
        }
        (wait > job.deadline).then(|| (RefuseReason::Deadline, wait - job.deadline))
    }

    /// Expected time until the job starts.
    fn predicted_wait(&self, now: Time, job: &Job, lane: Option<u32>) -> Duration {
        let ready = self.predicted_queue_wait(job.rank, |queue| {
            queue.cost_ahead(job.row, self.weight_of(job.row), job.retry)
        });
        match lane.filter(|idx| !self.adapters.get(*idx).is_ready()) {
            Some(idx) => {
                ready.max(self.predicted_load_wait(now, idx, demand_rank(job.rank, job.retry)))
            }
            None => ready,
        }
    }

    /// Expected time in the queue of `rank` for a job whose adapter is loaded.
    pub(super) fn predicted_queue_wait(
        &self,
        rank: Rank,
        own: impl Fn(&RankQueue) -> f64,
    ) -> Duration {
        let capacity = self.concurrency.capacity();
        let own = own(&self.queues[rank.index()]);
        let above = &self.queues[..rank.index()];
        let above: f64 = above.iter().map(|queue| queue.ready_cost() as f64).sum();
        let in_order = self.service.time_for(above + own, capacity);
        let share = self.floors.share(rank);
        if share <= 0.0 {
            return in_order;
        }
        in_order.min(self.service.time_for(own / share, capacity))
    }

    /// Puts a job into its queue.
    pub(super) fn enqueue(&mut self, now: Time, mut state: JobState) {
        state.phase = Phase::Queued;
        state.orphaned = false;
        state.started = false;
        let ticket = state.ticket;
        if let Some(idx) = ticket.lane {
            self.adapters.add_waiting(now, idx, &state.waiter());
        }
        let ready = ticket.lane.is_none_or(|idx| self.lane_ready(state.rank, idx));
        self.queues[state.rank.index()].insert(&ticket, state.weight, ready);
        self.deadlines.insert((state.deadline(), ticket.id));
        self.jobs.insert(ticket.id, state);
    }

    /// Takes a job out of its queue.
    fn dequeue(&mut self, now: Time, state: &JobState) {
        self.queues[state.rank.index()].remove(&state.ticket);
        self.deadlines.remove(&(state.deadline(), state.ticket.id));
        if let Some(idx) = state.ticket.lane {
            self.adapters.remove_waiting(now, idx, &state.waiter());
        }
    }

    /// Forgets a job wherever it is, and frees what it holds.
    pub(super) fn forget(&mut self, now: Time, job: JobId) -> Option<JobState> {
        let state = self.jobs.remove(&job)?;
        match state.phase {
            Phase::Queued => self.dequeue(now, &state),
            Phase::Granting | Phase::Running if state.orphaned => {}
            Phase::Granting | Phase::Running => {
                self.concurrency.release();
                if let Some(idx) = state.ticket.lane {
                    let adapter = self.adapters.get_mut(idx);
                    adapter.in_use = adapter.in_use.saturating_sub(1);
                    if adapter.in_use == 0 {
                        self.update_lanes(idx);
                    }
                }
            }
        }
        if state.phase == Phase::Granting {
            self.permits.remove(&(state.ran_at + self.cfg.permit_timeout, job));
        }
        Some(state)
    }

    /// Starts jobs while there is capacity.
    pub(super) fn dispatch(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        while let Some(id) = self.next_job(now) {
            let Some(mut state) = self.jobs.remove(&id) else { return };
            let ticket = state.ticket;
            let queues = &self.queues;
            let ready = |receiver: &Receiver| has_ready(queues, receiver);
            self.floors.charge(state.rank, ticket.class, f64::from(ticket.cost), ready);
            self.queues[state.rank.index()].charge(&ticket);
            self.dequeue(now, &state);
            self.concurrency.acquire(now);
            if let Some(idx) = ticket.lane {
                let adapter = self.adapters.get_mut(idx);
                adapter.in_use += 1;
                if adapter.in_use == 1 {
                    self.update_lanes(idx);
                    self.refresh_reserve();
                }
            }
            state.ran_at = now;
            self.run_or_ask(&mut state, effects);
            self.jobs.insert(id, state);
        }
    }

    fn run_or_ask(&mut self, state: &mut JobState, effects: &mut Vec<DispatchEffect>) {
        let job = state.ticket.id;
        if state.idempotent || state.permitted {
            state.phase = Phase::Running;
            return effects.push(DispatchEffect::Run { job });
        }
        state.phase = Phase::Granting;
        self.permits.insert((state.ran_at + self.cfg.permit_timeout, job));
        if !state.asked {
            state.asked = true;
            effects.push(DispatchEffect::RequestPermit { job });
        }
    }

    /// Job that is served next: for a floor first, else in the order of the ranks.
    fn next_job(&self, now: Time) -> Option<JobId> {
        let (in_flight, capacity) = (self.concurrency.in_flight(), self.concurrency.capacity());
        if in_flight >= capacity {
            return None;
        }
        let age_bound = self.cfg.age_bound;
        if let Some(due) = self.floors.due(|receiver| has_ready(&self.queues, receiver)) {
            let queue = &self.queues[due.rank.index()];
            return match due.class {
                Some(class) => queue.peek_class(class, now, age_bound),
                None => queue.peek(now, age_bound),
            };
        }
        let fits = |rank: &Rank| {
            self.queues[rank.index()].has_ready()
                && in_flight + self.headroom_above(now, *rank) < capacity
        };
        let rank = Rank::ALL.into_iter().find(fits)?;
        self.queues[rank.index()].peek(now, age_bound)
    }

    /// Places that jobs of `rank` leave free for more urgent ones.
    fn headroom_above(&self, now: Time, rank: Rank) -> usize {
        let capacity = self.concurrency.capacity();
        let wait = self.service.mean().map(|mean| mean.div_f64(capacity as f64));
        if wait.is_some_and(|wait| wait < HEADROOM_WAIT) {
            return 0;
        }
        let each = ((capacity as f64 * self.cfg.headroom).ceil() as usize).max(1);
        let seen = |i: usize| self.last_seen[i].is_some_and(|at| now.since(at) < HEADROOM_MEMORY);
        let ranks = (0..rank.index()).filter(|&i| self.has_class[i] || seen(i)).count();
        (each * ranks).min(capacity - 1)
    }

    /// The caller gave the job up.
    pub(super) fn cancel(&mut self, now: Time, job: JobId, effects: &mut Vec<DispatchEffect>) {
        let Some(state) = self.jobs.get_mut(&job) else { return };
        if state.phase != Phase::Running {
            self.forget(now, job);
        } else if !state.cancelled {
            state.cancelled = true;
            effects.push(DispatchEffect::CancelRun { job });
        }
    }

    /// The job's home answered. A job without a permit ends here without an effect.
    pub(super) fn permit(
        &mut self,
        now: Time,
        job: JobId,
        granted: bool,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(state) = self.jobs.get_mut(&job).filter(|state| state.asked) else { return };
        match (state.phase, granted) {
            (Phase::Running, _) => {}
            (_, false) => {
                self.forget(now, job);
            }
            (Phase::Queued, true) => state.permitted = true,
            (Phase::Granting, true) => {
                self.permits.remove(&(state.ran_at + self.cfg.permit_timeout, job));
                state.permitted = true;
                state.phase = Phase::Running;
                state.ran_at = now;
                effects.push(DispatchEffect::Run { job });
            }
        }
    }

    /// First or further output of a running job.
    pub(super) fn started(&mut self, now: Time, job: JobId) {
        if let Some(state) = self.jobs.get_mut(&job)
            && state.phase == Phase::Running
            && !state.orphaned
            && !state.started
        {
            state.started = true;
            self.concurrency.on_latency(now, now.since(state.ran_at));
        }
    }

    /// A run ended. Only a run that this dispatcher itself cancelled leads back to the queue.
    pub(super) fn finished(
        &mut self,
        now: Time,
        job: JobId,
        result: RunResult,
        effects: &mut Vec<DispatchEffect>,
    ) {
        if self.jobs.get(&job).is_none_or(|state| state.phase != Phase::Running) {
            return;
        }
        let Some(state) = self.forget(now, job) else { return };
        let span = now.since(state.ran_at);
        if result == RunResult::Ok && !state.orphaned {
            self.service.record(state.ticket.cost, span);
            if self.cfg.kind == UpstreamKind::Service {
                self.row_times.entry(state.ticket.row).or_default().record(1, span);
            }
            if !state.started {
                self.concurrency.on_latency(now, span);
            }
        }
        let again = state.orphaned && state.idempotent && !state.cancelled && !state.started;
        if again && result == RunResult::Cancelled {
            self.run_again(now, state, effects);
        }
    }

    fn run_again(&mut self, now: Time, state: JobState, effects: &mut Vec<DispatchEffect>) {
        let job = state.ticket.id;
        if state.deadline() <= now {
            return self.refuse(job, RefuseReason::Deadline, Duration::ZERO, effects);
        }
        if self.draining || self.is_out_of_reach(state.ticket.lane) {
            return effects.push(DispatchEffect::Redirect { job });
        }
        self.enqueue(now, state);
    }

    /// Refuses queued jobs whose deadline has passed and redirects jobs without a permit answer.
    pub(super) fn expire(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        while let Some(&(at, job)) = self.deadlines.first()
            && at <= now
        {
            let Some(state) = self.forget(now, job) else { return };
            let load_failed = state.ticket.lane.is_some_and(|idx| {
                let adapter = self.adapters.get(idx);
                adapter.failures > 0 && !adapter.is_ready()
            });
            let reason =
                if load_failed { RefuseReason::LoadFailed } else { RefuseReason::Deadline };
            let wait = self.predicted_queue_wait(state.rank, |q| q.ready_cost() as f64);
            self.refuse(job, reason, wait, effects);
        }
        while let Some(&(at, job)) = self.permits.first()
            && at <= now
        {
            self.permits.remove(&(at, job));
            self.forget(now, job);
            effects.push(DispatchEffect::Redirect { job });
        }
    }

    /// Refuses a job that is in no queue; `wait` is when it could be served, before jitter.
    pub(super) fn refuse(
        &mut self,
        job: JobId,
        reason: RefuseReason,
        wait: Duration,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let [least, most] = RETRY_AFTER;
        let base = wait.clamp(least, most);
        let retry_after = base + base.mul_f64(self.rng.random_range(0.0..1.0));
        effects.push(DispatchEffect::Refuse { job, reason, retry_after });
    }

    /// Sends all jobs that are not running elsewhere, in the order of their submission.
    pub(super) fn redirect_where(
        &mut self,
        now: Time,
        unwanted: impl Fn(&Dispatcher, &JobState) -> bool,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let waiting = |state: &&JobState| state.phase != Phase::Running && unwanted(self, state);
        let mut jobs: Vec<_> = self
            .jobs
            .values()
            .filter(waiting)
            .map(|state| (state.ticket.key.seq, state.ticket.id))
            .collect();
        jobs.sort_unstable();
        for (_, job) in jobs {
            self.forget(now, job);
            effects.push(DispatchEffect::Redirect { job });
        }
    }
}
