//! Shared schedule of adapter loads from one weight store.
//!
//! The weight store allows a number of loads a second and a number in flight.
//! Owners ask for each load; requests wait here and are granted one at a time, in
//! rank order and then by the number of waiting requests. A lower rank keeps a
//! floor of the grants, so that a flood of one rank can't keep the others from
//! loading. The spacing of the grants is also what prevents a thundering herd
//! after an engine restarted empty.
//!
//! A failed load delays further loads of that adapter only. The state is soft: a
//! scheduler that starts empty learns about pending loads from repeated requests.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::types::AdapterKey;
use crate::types::Name;
use crate::types::Rank;
use crate::types::Time;

/// Largest exponent of the backoff after failed loads.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Grants that a rank can be owed; two, because another rank may be owed one at the same time.
const MAX_CREDIT: f64 = 2.0;

/// Tolerance for the sum of many small floors.
const CREDIT_ROUNDING: f64 = 1e-9;

/// Settings of a [`LoadScheduler`].
#[derive(Clone, Debug, PartialEq)]
pub struct LoadConfig {
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
    /// Loads in flight that the weight store allows.
    pub max_in_flight: usize,
    /// Share of the grants that is kept for each rank while it has requests, from 0 to 1.
    pub floors: [f64; 3],
    /// Time after which a pending request is denied.
    pub max_wait: Duration,
    /// Time after which a granted load without a result no longer counts as in flight.
    pub load_timeout: Duration,
    /// Time after which a request for a granted load means that the grant was lost.
    pub regrant_after: Duration,
    /// Delay after the first failed load of an adapter; doubles with each further failure.
    pub backoff: Duration,
    /// Largest delay after failed loads of an adapter.
    pub max_backoff: Duration,
}

impl Default for LoadConfig {
    fn default() -> LoadConfig {
        LoadConfig {
            loads_per_second: 4.0,
            max_in_flight: 8,
            floors: [0.0, 0.2, 0.1],
            max_wait: Duration::from_secs(10),
            load_timeout: Duration::from_secs(30),
            regrant_after: Duration::from_secs(1),
            backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
        }
    }
}

/// Input of a [`LoadScheduler`].
///
/// `owner` names the party that asks. It must differ for each dispatcher if one
/// node owns several workers, because two of them may load the same adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadInput {
    /// An owner wants to load an adapter; a repeated request updates the first.
    Request {
        /// Party that asks.
        owner: Name,
        /// Adapter to load.
        adapter: AdapterKey,
        /// Most urgent rank among the waiting requests.
        rank: Rank,
        /// Requests that wait for the adapter.
        waiting: u32,
    },
    /// The owner no longer needs the load, or returns a grant that it did not use. There is
    /// no reply.
    Cancel {
        /// Party that asked.
        owner: Name,
        /// Adapter that was requested.
        adapter: AdapterKey,
    },
    /// A granted load ended.
    Done {
        /// Party that loaded.
        owner: Name,
        /// Adapter that was loaded.
        adapter: AdapterKey,
        /// Whether the adapter is loaded now.
        ok: bool,
    },
    /// The owner failed or stopped; its requests and loads are forgotten.
    OwnerGone {
        /// Party that is gone.
        owner: Name,
    },
    /// Time passed.
    Tick,
}

/// Effect of a [`LoadScheduler`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadEffect {
    /// The owner may load now.
    Grant {
        /// Party that asked.
        owner: Name,
        /// Adapter to load.
        adapter: AdapterKey,
    },
    /// The owner must not load; it may ask again after the delay.
    Deny {
        /// Party that asked.
        owner: Name,
        /// Adapter that was requested.
        adapter: AdapterKey,
        /// Delay before the next request.
        retry_after: Duration,
    },
}

/// Owner and adapter of a load.
type LoadKey = (Name, AdapterKey);

#[derive(Clone, Copy, Debug)]
struct Pending {
    rank: Rank,
    waiting: u32,
    since: Time,
    /// Order of arrival, which breaks ties.
    seq: u64,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Time,
}

/// Schedule of the loads from one weight store.
pub struct LoadScheduler {
    cfg: LoadConfig,
    pending: HashMap<LoadKey, Pending>,
    in_flight: HashMap<LoadKey, Time>,
    backoffs: HashMap<AdapterKey, Backoff>,
    /// Earliest time of the next grant: a token bucket that holds one token.
    next_grant: Time,
    /// Grants owed to each rank by its floor.
    credits: [f64; 3],
    seq: u64,
}

impl LoadScheduler {
    /// Replaces the share of the grants that is kept for each rank.
    pub fn set_floors(&mut self, floors: [f64; 3]) {
        self.cfg.floors = floors;
    }

    /// Scheduler without requests.
    pub fn new(cfg: LoadConfig) -> LoadScheduler {
        LoadScheduler {
            cfg,
            pending: HashMap::new(),
            in_flight: HashMap::new(),
            backoffs: HashMap::new(),
            next_grant: Time::default(),
            credits: [0.0; 3],
            seq: 0,
        }
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Time, input: LoadInput, effects: &mut Vec<LoadEffect>) {
        match input {
            LoadInput::Request { owner, adapter, rank, waiting } => {
                self.request(now, (owner, adapter), rank, waiting, effects);
            }
            LoadInput::Cancel { owner, adapter } => {
                self.cancel((owner, adapter));
            }
            LoadInput::Done { owner, adapter, ok } => {
                self.done(now, (owner, adapter), ok, effects);
            }
            LoadInput::OwnerGone { owner } => {
                self.pending.retain(|(name, _), _| *name != owner);
                self.in_flight.retain(|(name, _), _| *name != owner);
            }
            LoadInput::Tick => {}
        }
        self.expire(now, effects);
        self.grant(now, effects);
    }

    /// Earliest time at which `Tick` must be delivered.
    pub fn next_tick(&self) -> Option<Time> {
        let oldest = self.pending.values().map(|req| req.since).min()?;
        let expiry = oldest + self.cfg.max_wait;
        if self.in_flight.len() < self.cfg.max_in_flight {
            return Some(expiry.min(self.next_grant));
        }
        let stuck = self.in_flight.values().min().map(|&at| at + self.cfg.load_timeout);
        Some(stuck.map_or(expiry, |at| at.min(expiry)))
    }

    /// Expected wait of a new request of `rank`.
    pub fn expected_wait(&self, now: Time, rank: Rank) -> Duration {
        let ahead = self.pending.values().filter(|req| req.rank <= rank).count();
        self.next_grant.since(now) + self.interval() * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Requests without a grant.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Granted loads without a result.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Time between two grants, rounded up so that the rate is never exceeded.
    fn interval(&self) -> Duration {
        let micros = (1e6 / self.cfg.loads_per_second.max(1e-3)).ceil();
        Duration::from_micros(micros as u64)
    }

    fn request(
        &mut self,
        now: Time,
        key: LoadKey,
        rank: Rank,
        waiting: u32,
        effects: &mut Vec<LoadEffect>,
    ) {
        // A repeated request that crossed its grant needs no answer. If it comes later, the
        // grant was lost.
        if let Some(granted) = self.in_flight.get(&key) {
            if now.since(*granted) >= self.cfg.regrant_after {
                effects.push(grant_effect(key));
            }
            return;
        }
        match self.backoffs.get(&key.1) {
            Some(backoff) if backoff.until > now => {
                effects.push(deny_effect(key, backoff.until.since(now)));
                return;
            }
            _ => {}
        }
        self.seq += 1;
        let new = Pending { rank, waiting, since: now, seq: self.seq };
        self.pending
            .entry(key)
            .and_modify(|old| {
                old.rank = rank;
                old.waiting = waiting;
            })
            .or_insert(new);
    }

    fn cancel(&mut self, key: LoadKey) {
        self.pending.remove(&key);
        // The latest grant was not used, so the one before it sets the spacing.
        if let Some(granted) = self.in_flight.remove(&key)
            && granted + self.interval() == self.next_grant
        {
            self.next_grant = granted;
        }
    }

    fn done(&mut self, now: Time, key: LoadKey, ok: bool, effects: &mut Vec<LoadEffect>) {
        self.in_flight.remove(&key);
        if ok {
            self.backoffs.remove(&key.1);
            return;
        }
        let adapter = key.1;
        let failures = self.backoffs.get(&adapter).map_or(0, |backoff| backoff.failures);
        let delay = self.cfg.backoff * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        let delay = delay.min(self.cfg.max_backoff);
        let backoff = Backoff { failures: failures + 1, until: now + delay };
        self.backoffs.insert(adapter.clone(), backoff);
        self.deny_where(effects, |key, _| (key.1 == adapter).then_some(delay));
    }

    /// Denies requests that have waited too long and forgets results that never came.
    fn expire(&mut self, now: Time, effects: &mut Vec<LoadEffect>) {
        let (max_wait, timeout) = (self.cfg.max_wait, self.cfg.load_timeout);
        let retry_after = self.interval();
        self.deny_where(effects, |_, req| {
            (now.since(req.since) >= max_wait).then_some(retry_after)
        });
        self.in_flight.retain(|_, at| now.since(*at) < timeout);
        let keep = self.cfg.max_backoff;
        self.backoffs.retain(|_, backoff| now.since(backoff.until) < keep);
    }

    /// Denies the pending requests for which `delay` gives a value, in order of arrival.
    fn deny_where(
        &mut self,
        effects: &mut Vec<LoadEffect>,
        delay: impl Fn(&LoadKey, &Pending) -> Option<Duration>,
    ) {
        let mut denied: Vec<(u64, LoadKey, Duration)> = self
            .pending
            .iter()
            .filter_map(|(key, req)| Some((req.seq, key.clone(), delay(key, req)?)))
            .collect();
        denied.sort_by_key(|(seq, ..)| *seq);
        for (_, key, retry_after) in denied {
            self.pending.remove(&key);
            effects.push(deny_effect(key, retry_after));
        }
    }

    fn grant(&mut self, now: Time, effects: &mut Vec<LoadEffect>) {
        while now >= self.next_grant && self.in_flight.len() < self.cfg.max_in_flight {
            let Some(key) = self.best() else {
                return;
            };
            self.pending.remove(&key);
            self.in_flight.insert(key.clone(), now);
            self.next_grant = now + self.interval();
            effects.push(grant_effect(key));
        }
    }

    /// Next request to grant: a rank below its floor first, then by rank, waiters and arrival.
    fn best(&mut self) -> Option<LoadKey> {
        let owed = self.owed_rank();
        let order =
            |req: &Pending| (Some(req.rank) != owed, req.rank, Reverse(req.waiting), req.seq);
        let (key, req) = self.pending.iter().min_by_key(|(_, req)| order(req))?;
        self.credits[req.rank.index()] -= 1.0;
        Some(key.clone())
    }

    /// Adds the floors of the ranks that wait, and gives the rank that is owed a grant.
    fn owed_rank(&mut self) -> Option<Rank> {
        for rank in Rank::ALL {
            let i = rank.index();
            let waits = self.pending.values().any(|req| req.rank == rank);
            let credit = if waits { self.credits[i] + self.cfg.floors[i] } else { 0.0 };
            self.credits[i] = credit.clamp(0.0, MAX_CREDIT);
        }
        Rank::ALL.into_iter().find(|rank| self.credits[rank.index()] >= 1.0 - CREDIT_ROUNDING)
    }
}

fn grant_effect((owner, adapter): LoadKey) -> LoadEffect {
    LoadEffect::Grant { owner, adapter }
}

fn deny_effect((owner, adapter): LoadKey, retry_after: Duration) -> LoadEffect {
    LoadEffect::Deny { owner, adapter, retry_after }
}
