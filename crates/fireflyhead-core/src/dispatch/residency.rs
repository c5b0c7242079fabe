//! Which adapters the engine holds: load requests, orders, reports, restarts.

use std::time::Duration;

use rand::Rng;

use crate::types::AdapterKey;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::Time;
use crate::types::UpstreamKind;

use super::DispatchEffect;
use super::Dispatcher;
use super::LoadReport;
use super::adapters::Eviction;
use super::adapters::State;
use super::jobs::Phase;

/// Candidates of one rank that are examined for a slot in one decision.
const CANDIDATES_EXAMINED: usize = 4;

/// Period after which an unanswered load request is repeated.
const REQUEST_REFRESH: Duration = Duration::from_secs(2);

/// Time after which loads start without a first report of the upstream.
const REPORT_GRACE: Duration = Duration::from_secs(1);

/// Shortest time between a denied load and the next request for it.
const MIN_DENIAL: Duration = Duration::from_millis(50);

/// Time in which an adapter stays after a failed unload order.
const UNLOAD_RETRY: Duration = Duration::from_secs(1);

/// One of this many slots is not used by jobs of the lowest rank alone.
const RESERVED_PART: usize = 4;

/// Longest backoff after failed loads.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(30);

impl Dispatcher {
    /// Requests, orders and withdraws loads as the waiting jobs demand.
    pub(super) fn manage_slots(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        if !matches!(self.cfg.kind, UpstreamKind::Engine { .. }) {
            return;
        }
        self.withdraw_loads(now, effects);
        if self.may_order(now) {
            self.use_grants(now, effects);
            self.request_loads(now, effects);
            self.refresh_requests(now, effects);
        }
        if !self.adapters.candidate_ranks().contains(&true) {
            for idx in self.adapters.closing().collect::<Vec<_>>() {
                self.adapters.get_mut(idx).closing = false;
                self.update_lanes(idx);
            }
        }
    }

    /// Whether load and unload orders may be given.
    pub(super) fn may_order(&self, now: Time) -> bool {
        let known = self.boot_id.is_some() || now >= self.started_at + REPORT_GRACE;
        known && self.orders_allowed && !self.cfg.caretaker && !self.draining
    }

    /// Time at which a load may be requested or an unload ordered again.
    pub(super) fn next_load_tick(&self) -> Option<Time> {
        let refresh = |idx: &u32| self.adapters.get(*idx).announced_at + REQUEST_REFRESH;
        let refresh = self.adapters.requested.iter().map(refresh).min();
        let grace = self.boot_id.is_none().then_some(self.started_at + REPORT_GRACE);
        let hold = self.adapters.resident.iter().map(|idx| self.adapters.get(*idx).hold_until);
        let pin = Some(self.cfg.pinned_until);
        let times = [self.adapters.next_backoff(), refresh, grace, pin];
        times.into_iter().flatten().chain(hold).filter(|at| *at > self.now).min()
    }

    /// Expected time until jobs of an adapter that is not ready can start.
    pub(super) fn predicted_load_wait(&self, now: Time, idx: u32, rank: Rank) -> Duration {
        let adapter = self.adapters.get(idx);
        match adapter.state {
            State::Requested | State::Granted | State::Loading => self.loads.wait(),
            _ if adapter.waiting_rank().is_some_and(|first| first <= rank) => self.loads.wait(),
            _ => {
                let ahead = self.adapters.candidates_ahead(rank);
                self.loads.wait_behind(ahead).max(adapter.not_before.since(now))
            }
        }
    }

    /// The weight store allows a load.
    pub(super) fn load_granted(
        &mut self,
        now: Time,
        key: AdapterKey,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let usable = |idx: &u32| {
            let adapter = self.adapters.get(*idx);
            let wanted = !adapter.due.is_empty() && !adapter.stale_load;
            wanted && matches!(adapter.state, State::Absent | State::Requested)
        };
        match self.adapters.find(&key).filter(usable) {
            Some(idx) if self.may_order(now) => {
                self.adapters.set_state(now, idx, State::Granted);
            }
            Some(idx) => {
                self.adapters.set_state(now, idx, State::Absent);
                effects.push(DispatchEffect::CancelLoadRequest { adapter: key });
            }
            // A repeated grant of a load that is under way needs no answer.
            None if self.is_loading(&key) => {}
            None => effects.push(DispatchEffect::CancelLoadRequest { adapter: key }),
        }
    }

    fn is_loading(&self, key: &AdapterKey) -> bool {
        let state = self.adapters.find(key).map(|idx| self.adapters.get(idx).state);
        matches!(state, Some(State::Granted | State::Loading))
    }

    /// The weight store does not allow a load now.
    pub(super) fn load_denied(&mut self, now: Time, key: &AdapterKey, retry_after: Duration) {
        let Some(idx) = self.adapters.find(key) else { return };
        let adapter = self.adapters.get_mut(idx);
        if adapter.state == State::Requested {
            adapter.not_before = now + retry_after.max(MIN_DENIAL);
            self.adapters.set_state(now, idx, State::Absent);
        }
    }

    /// The upstream answered a load order.
    pub(super) fn load_done(
        &mut self,
        now: Time,
        key: &AdapterKey,
        ok: bool,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let Some(idx) = self.adapters.find(key) else { return };
        if self.adapters.get(idx).stale_load {
            self.adapters.get_mut(idx).stale_load = false;
            return self.adapters.reposition(now, idx);
        }
        if self.adapters.get(idx).state != State::Loading {
            return;
        }
        if !ok {
            return self.load_failed(now, idx, effects);
        }
        let adapter = self.adapters.get_mut(idx);
        adapter.failures = 0;
        adapter.loaded_at = now;
        let requested = adapter.requested_at;
        self.adapters.set_state(now, idx, State::Loaded);
        self.update_lanes(idx);
        let more =
            self.adapters.candidate_ranks().contains(&true) || !self.adapters.requested.is_empty();
        self.loads.on_done(now, requested, more);
    }

    /// Starts the backoff of one adapter and refuses the jobs that can't wait for its end.
    fn load_failed(&mut self, now: Time, idx: u32, effects: &mut Vec<DispatchEffect>) {
        let doublings = self.adapters.get(idx).failures.min(10);
        let full = (self.cfg.load_backoff * (1 << doublings)).min(MAX_LOAD_BACKOFF);
        let backoff = full.mul_f64(self.rng.random_range(0.5..1.0));
        let adapter = self.adapters.get_mut(idx);
        adapter.failures += 1;
        adapter.not_before = now + backoff;
        let again = adapter.not_before + self.loads.wait();
        let waiting: Vec<JobId> = adapter.due.values().copied().collect();
        self.adapters.set_state(now, idx, State::Absent);
        for job in waiting {
            if self.jobs.get(&job).is_some_and(|state| state.ticket.key.deadline < again) {
                self.forget(now, job);
                self.refuse(job, RefuseReason::LoadFailed, backoff, effects);
            }
        }
    }

    /// The upstream answered an unload order.
    pub(super) fn unload_done(&mut self, now: Time, key: &AdapterKey, ok: bool) {
        let Some(idx) = self.adapters.find(key) else { return };
        let adapter = self.adapters.get_mut(idx);
        if adapter.state != State::Unloading {
            return;
        }
        if ok {
            adapter.unloaded_at = Some(now);
            return self.adapters.set_state(now, idx, State::Absent);
        }
        adapter.hold_until = now + UNLOAD_RETRY;
        self.adapters.set_state(now, idx, State::Loaded);
        self.update_lanes(idx);
    }

    /// Figures of the upstream arrived; they are older than the dispatcher's own counts.
    pub(super) fn report(
        &mut self,
        now: Time,
        report: &LoadReport,
        effects: &mut Vec<DispatchEffect>,
    ) {
        let restarted = self.boot_id.is_some_and(|boot_id| boot_id != report.boot_id);
        let first = self.boot_id.replace(report.boot_id).is_none();
        if restarted {
            self.restart(now, effects);
        }
        self.concurrency.on_report(now, report.running, report.waiting);
        if !matches!(self.cfg.kind, UpstreamKind::Engine { .. }) {
            return;
        }
        for key in &report.loaded {
            self.adopt(now, key, effects);
        }
        self.drop_missing(now, report);
        if first && self.cfg.caretaker {
            self.redirect_where(now, |d, state| d.is_out_of_reach(state.ticket.lane), effects);
        }
    }

    /// Takes over an adapter that the engine holds unless this is news from before its unload.
    fn adopt(&mut self, now: Time, key: &AdapterKey, effects: &mut Vec<DispatchEffect>) {
        let idx = self.adapters.intern(now, key);
        let adapter = self.adapters.get(idx);
        let lag = self.cfg.report_lag;
        if adapter.unloaded_at.is_some_and(|at| now.since(at) <= lag) {
            return;
        }
        match adapter.state {
            State::Absent => {}
            State::Requested | State::Granted => {
                effects.push(DispatchEffect::CancelLoadRequest { adapter: key.clone() });
            }
            State::Loading | State::Loaded | State::Unloading => return,
        }
        self.adapters.set_state(now, idx, State::Loaded);
        let adapter = self.adapters.get_mut(idx);
        adapter.found = true;
        adapter.loaded_at = now;
        self.update_lanes(idx);
    }

    /// Gives up adapters that the engine no longer reports, long after they were loaded.
    fn drop_missing(&mut self, now: Time, report: &LoadReport) {
        let lag = self.cfg.report_lag;
        let missing = |idx: &u32| {
            let adapter = self.adapters.get(*idx);
            adapter.state == State::Loaded
                && adapter.in_use == 0
                && now.since(adapter.loaded_at) > lag
                && !report.loaded.contains(&adapter.key)
        };
        let gone: Vec<u32> = self.adapters.resident.iter().copied().filter(missing).collect();
        for idx in gone {
            self.adapters.set_state(now, idx, State::Absent);
            self.update_lanes(idx);
        }
    }

    /// The upstream restarted: it holds nothing, and what ran on it is lost.
    fn restart(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let in_flight: Vec<JobId> = self
            .jobs
            .values()
            .filter(|state| state.phase != Phase::Queued && !state.orphaned)
            .map(|state| state.ticket.id)
            .collect();
        for job in in_flight {
            self.orphan(now, job, effects);
        }
        for idx in std::mem::take(&mut self.adapters.resident) {
            let adapter = self.adapters.get_mut(idx);
            adapter.stale_load = adapter.state == State::Loading;
            adapter.unloaded_at = None;
            self.adapters.set_state(now, idx, State::Absent);
            self.update_lanes(idx);
        }
        self.concurrency.on_restart();
    }

    /// Queues a job without a permit again, and stops a run that may be repeated.
    fn orphan(&mut self, now: Time, job: JobId, effects: &mut Vec<DispatchEffect>) {
        let Some(mut state) = self.forget(now, job) else { return };
        if state.phase == Phase::Granting {
            return self.enqueue(now, state);
        }
        state.orphaned = true;
        if state.idempotent && !state.started && !state.cancelled {
            effects.push(DispatchEffect::CancelRun { job });
        }
        self.jobs.insert(job, state);
    }

    /// Tells the queues whether the jobs of an adapter can run.
    pub(super) fn update_lanes(&mut self, idx: u32) {
        let adapter = self.adapters.get(idx);
        for (rank, row, _) in &adapter.lanes {
            let ready = self.lane_ready(*rank, idx);
            self.queues[rank.index()].set_ready(*row, Some(idx), ready);
        }
    }

    /// Whether jobs of `rank` may start on an adapter. The lowest rank may not start on an idle
    /// one if its jobs would then hold the slots that are kept for loads of higher ranks.
    pub(super) fn lane_ready(&self, rank: Rank, idx: u32) -> bool {
        let adapter = self.adapters.get(idx);
        let allowed = rank < Rank::Background || adapter.in_use > 0 || !self.reserve_only;
        adapter.is_ready() && allowed
    }

    /// Notes whether only the slots that are kept for higher ranks are idle.
    pub(super) fn refresh_reserve(&mut self) {
        let higher = self.has_class[..Rank::Background.index()].contains(&true);
        let reserve = if higher { self.adapters.cfg.slots / RESERVED_PART } else { 0 };
        let in_use = |idx: &&u32| self.adapters.get(**idx).in_use > 0;
        let busy = self.adapters.resident.iter().filter(in_use).count();
        let reserve_only = reserve > 0 && busy + reserve >= self.adapters.cfg.slots;
        if reserve_only != self.reserve_only {
            self.reserve_only = reserve_only;
            for idx in self.adapters.resident.clone() {
                self.update_lanes(idx);
            }
        }
    }

    /// Withdraws requests and returns grants that no job waits for any more.
    fn withdraw_loads(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let stop = !self.orders_allowed || self.cfg.caretaker || self.draining;
        let pending = self.adapters.requested.iter().chain(&self.adapters.granted);
        let unwanted = |idx: &u32| stop || self.adapters.get(*idx).due.is_empty();
        for idx in pending.copied().filter(unwanted).collect::<Vec<_>>() {
            self.withdraw(now, idx, effects);
        }
    }

    fn withdraw(&mut self, now: Time, idx: u32, effects: &mut Vec<DispatchEffect>) {
        self.adapters.set_state(now, idx, State::Absent);
        let adapter = self.adapters.get(idx).key.clone();
        effects.push(DispatchEffect::CancelLoadRequest { adapter });
    }

    fn eviction(&self, now: Time) -> Eviction {
        Eviction { now, pinned_until: self.cfg.pinned_until }
    }

    /// Orders granted loads. Slots are freed before a load is requested, because a grant
    /// that is held back would let loads follow each other faster than the weight store allows.
    fn use_grants(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        for idx in self.adapters.granted.clone() {
            if self.adapters.free_slots() == 0 {
                self.withdraw(now, idx, effects);
                continue;
            }
            self.adapters.set_state(now, idx, State::Loading);
            let adapter = self.adapters.get(idx).key.clone();
            effects.push(DispatchEffect::Load { adapter });
        }
    }

    fn unload(&mut self, now: Time, idx: u32, effects: &mut Vec<DispatchEffect>) {
        self.adapters.set_state(now, idx, State::Unloading);
        self.update_lanes(idx);
        let adapter = self.adapters.get(idx).key.clone();
        effects.push(DispatchEffect::Unload { adapter });
    }

    /// Requests loads for the best candidates, one for each free slot, and frees slots for more.
    fn request_loads(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        while let Some(idx) = self.next_candidate() {
            let used = self.adapters.requested.len() + self.adapters.granted.len();
            match self.displaced_by(idx) {
                Some(other) if used >= self.adapters.free_slots() => {
                    self.withdraw(now, other, effects);
                }
                _ if used >= self.adapters.free_slots() => break,
                _ => {}
            }
            self.adapters.set_state(now, idx, State::Requested);
            self.adapters.get_mut(idx).requested_at = now;
            self.loads.on_request(now);
            self.announce(now, idx, effects);
        }
        self.open_slot(now, effects);
    }

    /// Frees a slot for the first candidate that deserves one, up to the limit of open slots.
    fn open_slot(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let cx = self.eviction(now);
        while self.adapters.open_slots() < self.cfg.max_load_requests {
            if !self.adapters.candidate_ranks().contains(&true) {
                return;
            }
            let order = self.adapters.by_frequency(&cx);
            let waiting = || {
                let examined = |rank| self.adapters.candidates(rank).take(CANDIDATES_EXAMINED);
                Rank::ALL.into_iter().flat_map(examined)
            };
            let victim = waiting().find_map(|idx| self.adapters.victim(&cx, &order, idx));
            if let Some(victim) = victim {
                self.unload(now, victim, effects);
                continue;
            }
            let opening = self.adapters.open_slots() + self.adapters.closing().count();
            if opening >= self.cfg.max_load_requests {
                return;
            }
            let closable = waiting().find_map(|idx| self.adapters.closable(&cx, &order, idx));
            let Some(victim) = closable else { return };
            self.adapters.get_mut(victim).closing = true;
            self.update_lanes(victim);
        }
    }

    /// Best candidate. One request is kept for ranks below the first.
    fn next_candidate(&self) -> Option<u32> {
        let max = self.cfg.max_load_requests;
        let ranks = self.adapters.candidate_ranks();
        let below = |rank: &Rank| ranks[rank.index()] && self.floors.is_below(*rank);
        if let Some(rank) = Rank::ALL.into_iter().skip(1).find(below)
            && !self
                .adapters
                .requested
                .iter()
                .any(|idx| self.adapters.get(*idx).waiting_rank() == Some(rank))
        {
            return self.adapters.candidates(rank).next();
        }
        for rank in Rank::ALL.into_iter().filter(|rank| ranks[rank.index()]) {
            let rank_of = |idx: &u32| self.adapters.get(*idx).waiting_rank();
            let own = |idx: &&u32| rank_of(idx).is_some_and(|other| other <= rank);
            let used = self.adapters.requested.iter().filter(own).count();
            let lower = ranks[rank.index() + 1..].contains(&true);
            if used + usize::from(lower && max > 1) < max {
                return self.adapters.candidates(rank).next();
            }
        }
        None
    }

    /// Requested adapter that gives way to a more urgent candidate.
    fn displaced_by(&self, idx: u32) -> Option<u32> {
        let rank_of = |idx: u32| self.adapters.get(idx).waiting_rank();
        let last = self.adapters.requested.iter().copied().max_by_key(|idx| rank_of(*idx))?;
        let same = self.adapters.requested.iter().filter(|i| rank_of(**i) == rank_of(last));
        (rank_of(last) > rank_of(idx) && same.count() > 1).then_some(last)
    }

    /// Repeats requests whose demand has doubled or that have waited for long.
    fn refresh_requests(&mut self, now: Time, effects: &mut Vec<DispatchEffect>) {
        let stale = |idx: &u32| {
            let adapter = self.adapters.get(*idx);
            adapter.waiting_first() >= adapter.announced.saturating_mul(2)
                || adapter.waiting_rank().is_some_and(|rank| rank < adapter.request_rank)
                || now.since(adapter.announced_at) >= REQUEST_REFRESH
        };
        for idx in self.adapters.requested.iter().copied().filter(stale).collect::<Vec<_>>() {
            self.announce(now, idx, effects);
        }
    }

    fn announce(&mut self, now: Time, idx: u32, effects: &mut Vec<DispatchEffect>) {
        let Some(rank) = self.adapters.get(idx).waiting_rank() else { return };
        let raised = match rank {
            Rank::Standard if self.floors.is_below(rank) => Rank::Urgent,
            Rank::Background if self.floors.is_below(rank) => Rank::Standard,
            _ => rank,
        };
        let adapter = self.adapters.get_mut(idx);
        adapter.announced = adapter.waiting_first();
        adapter.request_rank = rank;
        adapter.announced_at = now;
        let waiting = adapter.announced;
        let adapter = adapter.key.clone();
        effects.push(DispatchEffect::RequestLoad { adapter, rank: raised, waiting });
    }
}
