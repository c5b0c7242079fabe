//! Adaptive concurrency limit of one upstream.
//!
//! The dispatcher's own in-flight count is exact. Latency above the target and
//! queueing inside the upstream shrink the limit; good latency near the limit
//! raises it. Reports lag: they only tell of load that this dispatcher did not
//! cause, which is what exceeds its own highest count within the lag.

use std::time::Duration;

use crate::types::Time;

/// Weight of one latency sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Factor by which an overloaded upstream's limit shrinks.
const DECREASE: f64 = 0.9;

/// Shortest time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// Smallest limit as a share of the configured bound.
const MIN_SHARE: f64 = 0.25;

/// Ratio of latency to its recent minimum below which latency is not due to load.
const CONGESTION_RATIO: f64 = 2.0;

/// Growth of the minimum with each sample, so that it follows a slower upstream.
const BASELINE_DRIFT: f64 = 1.001;

/// Adaptive limit and exact count of jobs in flight.
#[derive(Clone, Debug)]
pub(super) struct Concurrency {
    max: f64,
    limit: f64,
    target: f64,
    latency: f64,
    baseline: f64,
    decreased: Time,
    lag: Duration,
    /// Highest count in the current and the previous interval of one lag.
    peaks: [usize; 2],
    peaks_since: Time,
    foreign: usize,
    in_flight: usize,
    /// Average share of the reported requests that wait inside the upstream.
    waiting_share: f64,
}

impl Concurrency {
    /// Limit that starts at its bound.
    pub(super) fn new(max: usize, target: Duration, lag: Duration) -> Concurrency {
        Concurrency {
            max: max.max(1) as f64,
            limit: max.max(1) as f64,
            target: target.as_secs_f64(),
            latency: 0.0,
            baseline: f64::INFINITY,
            decreased: Time::default(),
            lag,
            peaks: [0; 2],
            peaks_since: Time::default(),
            foreign: 0,
            in_flight: 0,
            waiting_share: 0.0,
        }
    }

    /// Jobs in flight or granted.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Jobs that may be in flight at once.
    pub(super) fn capacity(&self) -> usize {
        (self.limit as usize).saturating_sub(self.foreign).max(1)
    }

    /// Average share of the requests at the upstream that wait inside it.
    pub(super) fn waiting_share(&self) -> f64 {
        self.waiting_share
    }

    /// Counts a job that starts.
    pub(super) fn acquire(&mut self, now: Time) {
        self.in_flight += 1;
        self.rotate(now);
        self.peaks[0] = self.peaks[0].max(self.in_flight);
    }

    /// Counts a job that ends.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Time from the start of a job to its first output.
    pub(super) fn on_latency(&mut self, now: Time, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.baseline = (self.baseline * BASELINE_DRIFT).min(sample);
        self.latency = match self.latency {
            0.0 => sample,
            latency => latency + SAMPLE_WEIGHT * (sample - latency),
        };
        let congested =
            self.latency > self.target && self.latency > self.baseline * CONGESTION_RATIO;
        if congested {
            self.decrease(now);
        } else if self.in_flight as f64 >= self.limit * 0.8 {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Figures of the upstream, as old as the lag allows.
    pub(super) fn on_report(&mut self, now: Time, running: u32, waiting: u32) {
        self.rotate(now);
        let reported = (running as usize).saturating_add(waiting as usize);
        let share = f64::from(waiting) / reported.max(1) as f64;
        self.waiting_share += SAMPLE_WEIGHT * (share - self.waiting_share);
        self.foreign = reported.saturating_sub(self.peaks[0].max(self.peaks[1]));
        if f64::from(waiting) > (self.limit / 8.0).max(1.0) {
            self.decrease(now);
        }
    }

    /// Forgets foreign load and latency of the earlier boot.
    pub(super) fn on_restart(&mut self) {
        self.foreign = 0;
        self.peaks = [0; 2];
        self.latency = 0.0;
        self.limit = self.max;
    }

    fn decrease(&mut self, now: Time) {
        if now.since(self.decreased) >= DECREASE_INTERVAL {
            self.limit = (self.limit * DECREASE).max(self.max * MIN_SHARE).max(1.0);
            self.decreased = now;
        }
    }

    fn rotate(&mut self, now: Time) {
        let elapsed = now.since(self.peaks_since);
        if elapsed >= self.lag {
            let previous = if elapsed < self.lag * 2 { self.peaks[0] } else { self.in_flight };
            self.peaks = [self.in_flight, previous];
            self.peaks_since = now;
        }
    }
}
