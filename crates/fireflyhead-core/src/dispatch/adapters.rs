//! Adapters of one engine: which are resident, who waits for them, how often
//! they are requested.

mod victims;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::types::AdapterKey;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RowId;
use crate::types::Time;

pub(super) use victims::Eviction;

/// Value of one request by rank in the frequency of an adapter, so that a
/// flood of a lower rank does not evict the adapters of a higher one.
const RANK_VALUE: [f64; 3] = [4.0, 1.0, 0.1];

/// Frequency that requests of the lowest rank alone approach. One request of a higher rank
/// outweighs it, so that a flood cannot hold all slots by the number of its requests.
const BACKGROUND_LIMIT: f64 = 0.6;

/// Requests that a frequency may let expect in a time without any; a higher
/// frequency is taken to have fallen. The frequency of an adapter that is no
/// longer requested would otherwise outlast a popularity shift by several half-lives.
const EXPECTED_IN_IDLE: f64 = 3.0;

/// Adapters kept before adapters that hold no state are dropped.
const ADAPTERS_BEFORE_SWEEP: usize = 4096;

/// Frequency below which an adapter is forgotten.
const NEGLIGIBLE_FREQUENCY: f64 = 0.05;

/// Place of an adapter in the sequence from request to unload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// Not on the engine.
    Absent,
    /// Waits for a grant of the weight store.
    Requested,
    /// Has a grant and waits for a free slot.
    Granted,
    /// A load order is under way.
    Loading,
    /// On the engine.
    Loaded,
    /// An unload order is under way.
    Unloading,
}

/// Limits of the choice of adapters.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotConfig {
    pub(super) slots: usize,
    pub(super) probation: usize,
    pub(super) half_life: Duration,
    pub(super) waiter_value: Duration,
}

/// Job that waits for or runs on an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) id: JobId,
    /// Queue that holds it.
    pub(super) rank: Rank,
    /// Rank of its demand for a load.
    pub(super) demand: Rank,
    pub(super) row: RowId,
    /// Weight of its demand for a load.
    pub(super) weight: f64,
    /// Time at which its slack is used up.
    pub(super) due: Time,
    pub(super) seq: u64,
}

/// One adapter.
#[derive(Clone, Debug)]
pub(super) struct Adapter {
    pub(super) key: AdapterKey,
    pub(super) state: State,
    /// Jobs running or granted.
    pub(super) in_use: u32,
    /// Takes no more jobs, so that its slot becomes free.
    pub(super) closing: bool,
    /// Found on the engine instead of loaded by this dispatcher.
    pub(super) found: bool,
    /// A load order from before a restart has not been answered yet.
    pub(super) stale_load: bool,
    pub(super) failures: u32,
    /// No load is requested before.
    pub(super) not_before: Time,
    /// Not evicted before.
    pub(super) hold_until: Time,
    /// Time of the first request for the load that is pending.
    pub(super) requested_at: Time,
    /// Time of the last request, which repeats the first.
    pub(super) announced_at: Time,
    /// Waiting jobs when the load was last requested.
    pub(super) announced: u32,
    pub(super) request_rank: Rank,
    pub(super) loaded_at: Time,
    pub(super) unloaded_at: Option<Time>,
    /// Waiting jobs by the rank of their demand.
    pub(super) waiting: [u32; 3],
    waiting_weight: f64,
    /// Waiting jobs by the time at which their slack is used up.
    pub(super) due: BTreeMap<(Time, u64), JobId>,
    /// Rows with waiting jobs, and their number.
    pub(super) lanes: Vec<(Rank, RowId, u32)>,
    /// Requests of the ranks above the lowest one, and of the lowest one.
    frequency: f64,
    background: f64,
    frequency_at: Time,
    /// Value of the last request.
    last_value: f64,
    position: Option<(Rank, i64)>,
}

impl Adapter {
    fn new(key: AdapterKey) -> Adapter {
        Adapter {
            key,
            state: State::Absent,
            in_use: 0,
            closing: false,
            found: false,
            stale_load: false,
            failures: 0,
            not_before: Time::default(),
            hold_until: Time::default(),
            requested_at: Time::default(),
            announced_at: Time::default(),
            announced: 0,
            request_rank: Rank::Background,
            loaded_at: Time::default(),
            unloaded_at: None,
            waiting: [0; 3],
            waiting_weight: 0.0,
            due: BTreeMap::new(),
            lanes: Vec::new(),
            frequency: 0.0,
            background: 0.0,
            frequency_at: Time::default(),
            last_value: 0.0,
            position: None,
        }
    }

    /// Waiting jobs of the most urgent demand.
    pub(super) fn waiting_first(&self) -> u32 {
        self.waiting_rank().map_or(0, |rank| self.waiting[rank.index()])
    }

    /// Whether jobs may start on it.
    pub(super) fn is_ready(&self) -> bool {
        self.state == State::Loaded && !self.closing
    }

    /// Rank of the most urgent demand for it.
    pub(super) fn waiting_rank(&self) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| self.waiting[rank.index()] > 0)
    }

    /// Requests within about one half-life, weighted by rank.
    pub(super) fn frequency(&self, now: Time, half_life: Duration) -> f64 {
        let idle = now.since(self.frequency_at).as_secs_f64() / half_life.as_secs_f64();
        let background = self.background * (-idle).exp2();
        let limited = BACKGROUND_LIMIT * background / (BACKGROUND_LIMIT + background);
        let decayed = self.frequency * (-idle).exp2() + limited;
        if idle <= 0.0 {
            return decayed;
        }
        decayed.min(EXPECTED_IN_IDLE * self.last_value / std::f64::consts::LN_2 / idle)
    }

    fn is_idle_record(&self, now: Time, half_life: Duration) -> bool {
        self.state == State::Absent
            && self.in_use == 0
            && !self.stale_load
            && self.due.is_empty()
            && self.not_before <= now
            && self.frequency(now, half_life) < NEGLIGIBLE_FREQUENCY
    }
}

/// All adapters that the dispatcher knows of.
#[derive(Debug)]
pub(super) struct Adapters {
    pub(super) cfg: SlotConfig,
    adapters: Vec<Option<Adapter>>,
    index: HashMap<AdapterKey, u32>,
    vacant: Vec<u32>,
    sweep_at: usize,
    /// Adapters that occupy a slot.
    pub(super) resident: Vec<u32>,
    /// Adapters that wait for a grant.
    pub(super) requested: Vec<u32>,
    /// Adapters that wait for a free slot.
    pub(super) granted: Vec<u32>,
    /// Adapters that could be requested, best first, by most urgent waiting rank.
    candidates: [BTreeSet<(i64, u32)>; 3],
    /// Adapters with waiting jobs that may not be requested yet.
    backoff: BTreeSet<(Time, u32)>,
}

impl Adapters {
    /// No adapters.
    pub(super) fn new(cfg: SlotConfig) -> Adapters {
        Adapters {
            cfg,
            adapters: Vec::new(),
            index: HashMap::new(),
            vacant: Vec::new(),
            sweep_at: ADAPTERS_BEFORE_SWEEP,
            resident: Vec::new(),
            requested: Vec::new(),
            granted: Vec::new(),
            candidates: Default::default(),
            backoff: BTreeSet::new(),
        }
    }

    /// Adapter at an index that [`Adapters::intern`] or [`Adapters::find`] gave.
    pub(super) fn get(&self, idx: u32) -> &Adapter {
        self.adapters[idx as usize].as_ref().expect("records with jobs or state are kept")
    }

    /// Mutable form of [`Adapters::get`].
    pub(super) fn get_mut(&mut self, idx: u32) -> &mut Adapter {
        self.adapters[idx as usize].as_mut().expect("records with jobs or state are kept")
    }

    /// Index of a known adapter.
    pub(super) fn find(&self, key: &AdapterKey) -> Option<u32> {
        self.index.get(key).copied()
    }

    /// Index of an adapter, created if unknown.
    pub(super) fn intern(&mut self, now: Time, key: &AdapterKey) -> u32 {
        if let Some(idx) = self.find(key) {
            return idx;
        }
        self.sweep(now);
        let adapter = Some(Adapter::new(key.clone()));
        let idx = match self.vacant.pop() {
            Some(idx) => {
                self.adapters[idx as usize] = adapter;
                idx
            }
            None => {
                self.adapters.push(adapter);
                u32::try_from(self.adapters.len() - 1).expect("fewer adapters than 2^32")
            }
        };
        self.index.insert(key.clone(), idx);
        idx
    }

    /// Counts a request for the eviction order.
    pub(super) fn touch(&mut self, now: Time, idx: u32, rank: Rank) {
        let half_life = self.cfg.half_life.as_secs_f64();
        let adapter = self.get_mut(idx);
        let decay = (-now.since(adapter.frequency_at).as_secs_f64() / half_life).exp2();
        adapter.frequency *= decay;
        adapter.background *= decay;
        match rank {
            Rank::Background => adapter.background += RANK_VALUE[rank.index()],
            Rank::Urgent | Rank::Standard => adapter.frequency += RANK_VALUE[rank.index()],
        }
        adapter.last_value = RANK_VALUE[rank.index()];
        adapter.frequency_at = now;
    }

    /// Adds a waiting job.
    pub(super) fn add_waiting(&mut self, now: Time, idx: u32, waiter: &Waiter) {
        let adapter = self.get_mut(idx);
        adapter.waiting[waiter.demand.index()] += 1;
        adapter.waiting_weight += waiter.weight;
        adapter.due.insert((waiter.due, waiter.seq), waiter.id);
        match adapter.lanes.iter_mut().find(|lane| (lane.0, lane.1) == (waiter.rank, waiter.row)) {
            Some(lane) => lane.2 += 1,
            None => adapter.lanes.push((waiter.rank, waiter.row, 1)),
        }
        self.reposition(now, idx);
    }

    /// Removes a waiting job.
    pub(super) fn remove_waiting(&mut self, now: Time, idx: u32, waiter: &Waiter) {
        let adapter = self.get_mut(idx);
        if adapter.due.remove(&(waiter.due, waiter.seq)).is_none() {
            return;
        }
        adapter.waiting[waiter.demand.index()] -= 1;
        adapter.waiting_weight = match adapter.due.is_empty() {
            true => 0.0,
            false => (adapter.waiting_weight - waiter.weight).max(0.0),
        };
        let place = adapter.lanes.iter().position(|l| (l.0, l.1) == (waiter.rank, waiter.row));
        if let Some(i) = place {
            adapter.lanes[i].2 -= 1;
            if adapter.lanes[i].2 == 0 {
                adapter.lanes.swap_remove(i);
            }
        }
        self.reposition(now, idx);
    }

    /// Moves an adapter to another state and keeps the lists in step.
    pub(super) fn set_state(&mut self, now: Time, idx: u32, state: State) {
        for list in [&mut self.resident, &mut self.requested, &mut self.granted] {
            list.retain(|other| *other != idx);
        }
        match state {
            State::Absent => {}
            State::Requested => self.requested.push(idx),
            State::Granted => self.granted.push(idx),
            State::Loading | State::Loaded | State::Unloading => self.resident.push(idx),
        }
        let adapter = self.get_mut(idx);
        adapter.state = state;
        if state != State::Loaded {
            adapter.closing = false;
            adapter.found = false;
        }
        self.reposition(now, idx);
    }

    /// Adapters that would like a load, with the urgency `rank`.
    pub(super) fn candidates(&self, rank: Rank) -> impl Iterator<Item = u32> + '_ {
        self.candidates[rank.index()].iter().map(|(_, idx)| *idx)
    }

    /// Which ranks have adapters that would like a load.
    pub(super) fn candidate_ranks(&self) -> [bool; 3] {
        [0, 1, 2].map(|i| !self.candidates[i].is_empty())
    }

    /// Number of adapters that would like a load before a new one of `rank`.
    pub(super) fn candidates_ahead(&self, rank: Rank) -> usize {
        self.candidates[..=rank.index()].iter().map(BTreeSet::len).sum()
    }

    /// End of the first backoff.
    pub(super) fn next_backoff(&self) -> Option<Time> {
        self.backoff.first().map(|(at, _)| *at)
    }

    /// Makes adapters whose backoff is over available again.
    pub(super) fn end_backoffs(&mut self, now: Time) {
        while let Some(&(at, idx)) = self.backoff.first()
            && at <= now
        {
            self.backoff.remove(&(at, idx));
            self.reposition(now, idx);
        }
    }

    /// Restores the place of an adapter among the candidates after any change.
    pub(super) fn reposition(&mut self, now: Time, idx: u32) {
        let value = self.cfg.waiter_value.as_micros() as f64;
        let adapter = self.get_mut(idx);
        let old = adapter.position.take();
        let wanted = adapter.state == State::Absent && !adapter.stale_load;
        let first = adapter.due.first_key_value().map(|((due, _), _)| *due);
        let new = match (adapter.waiting_rank(), first) {
            (Some(rank), Some(due)) if wanted && adapter.not_before <= now => {
                let bonus = (adapter.waiting_weight * value) as i64;
                Some((rank, (due.as_micros() as i64).saturating_sub(bonus)))
            }
            _ => None,
        };
        adapter.position = new;
        let backoff =
            (wanted && first.is_some() && new.is_none()).then_some((adapter.not_before, idx));
        if let Some((rank, score)) = old {
            self.candidates[rank.index()].remove(&(score, idx));
        }
        if let Some((rank, score)) = new {
            self.candidates[rank.index()].insert((score, idx));
        }
        if let Some(entry) = backoff {
            self.backoff.insert(entry);
        }
    }

    /// Drops records without effect, so that memory follows the adapters in use.
    fn sweep(&mut self, now: Time) {
        if self.index.len() < self.sweep_at {
            return;
        }
        let half_life = self.cfg.half_life;
        let in_backoff: BTreeSet<u32> = self.backoff.iter().map(|(_, idx)| *idx).collect();
        for (i, place) in self.adapters.iter_mut().enumerate() {
            let idx = i as u32;
            let idle = place.as_ref().is_some_and(|a| a.is_idle_record(now, half_life));
            if idle
                && !in_backoff.contains(&idx)
                && let Some(adapter) = place.take()
            {
                self.index.remove(&adapter.key);
                self.vacant.push(idx);
            }
        }
        self.sweep_at = (self.index.len() * 2).max(ADAPTERS_BEFORE_SWEEP);
    }
}
