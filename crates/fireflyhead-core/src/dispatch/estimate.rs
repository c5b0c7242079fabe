//! Estimates of service and load times, from which waits are predicted.

use std::time::Duration;

use crate::types::Time;

/// Factor by which older samples lose weight with each new one.
const SAMPLE_DECAY: f64 = 0.98;

/// Weight of one sample in the averages of loads.
const LOAD_SAMPLE_WEIGHT: f64 = 0.2;

/// Time of one load while nothing has been measured.
const DEFAULT_LOAD: f64 = 0.25;

/// Longest prediction.
const MAX_WAIT: f64 = 3_600.0;

/// Decayed sums over finished jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    jobs: f64,
    cost: f64,
    seconds: f64,
}

impl Service {
    /// Counts a job of `cost` that ran for `span`.
    pub(super) fn record(&mut self, cost: u32, span: Duration) {
        self.jobs = self.jobs * SAMPLE_DECAY + 1.0;
        self.cost = self.cost * SAMPLE_DECAY + f64::from(cost);
        self.seconds = self.seconds * SAMPLE_DECAY + span.as_secs_f64();
    }

    /// Mean time of a run; `None` while unknown.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.jobs > 0.0).then(|| seconds(self.seconds / self.jobs))
    }

    /// Time to serve `cost` with `capacity` jobs at once; zero while unknown.
    pub(super) fn time_for(&self, cost: f64, capacity: usize) -> Duration {
        if self.cost <= 0.0 {
            return Duration::ZERO;
        }
        seconds(cost * self.seconds / self.cost / capacity as f64)
    }
}

/// Averages over adapter loads.
#[derive(Clone, Debug)]
pub(super) struct Loads {
    wait: f64,
    gap: f64,
    /// Last end of a load, or first demand after an idle period.
    busy_since: Option<Time>,
}

impl Default for Loads {
    fn default() -> Loads {
        Loads { wait: DEFAULT_LOAD, gap: DEFAULT_LOAD, busy_since: None }
    }
}

impl Loads {
    /// A load was requested.
    pub(super) fn on_request(&mut self, now: Time) {
        self.busy_since.get_or_insert(now);
    }

    /// A load ended that was requested at `requested`; `more` says whether others wait.
    pub(super) fn on_done(&mut self, now: Time, requested: Time, more: bool) {
        let wait = now.since(requested).as_secs_f64();
        self.wait += LOAD_SAMPLE_WEIGHT * (wait - self.wait);
        if let Some(since) = self.busy_since {
            let gap = now.since(since).as_secs_f64();
            self.gap += LOAD_SAMPLE_WEIGHT * (gap - self.gap);
        }
        self.busy_since = more.then_some(now);
    }

    /// Expected time from a request to the loaded adapter.
    pub(super) fn wait(&self) -> Duration {
        seconds(self.wait)
    }

    /// Expected time until an adapter with `ahead` others before it is loaded.
    pub(super) fn wait_behind(&self, ahead: usize) -> Duration {
        seconds(self.wait.min(self.gap * 2.0) + self.gap * ahead as f64)
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_WAIT))
}
