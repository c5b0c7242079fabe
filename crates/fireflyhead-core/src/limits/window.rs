//! Count of events in a sliding window.

use std::time::Duration;

use crate::types::Time;

/// Parts of a window that expire one at a time.
const BUCKETS: u64 = 10;

/// Events in a sliding window of ten buckets.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    counts: [u32; BUCKETS as usize],
    /// Number of the newest bucket since the start of the clock.
    newest: u64,
}

impl Window {
    /// Counts one event.
    pub(super) fn add(&mut self, now: Time, window: Duration) {
        self.expire(now, window);
        let count = &mut self.counts[(self.newest % BUCKETS) as usize];
        *count = count.saturating_add(1);
    }

    /// Events within the window.
    pub(super) fn sum(&mut self, now: Time, window: Duration) -> f64 {
        self.expire(now, window);
        self.counts.iter().map(|count| f64::from(*count)).sum()
    }

    fn expire(&mut self, now: Time, window: Duration) {
        let width = (window.as_micros() as u64 / BUCKETS).max(1);
        let bucket = now.as_micros() / width;
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS);
        for i in 0..passed {
            self.counts[((bucket - i) % BUCKETS) as usize] = 0;
        }
        self.newest = self.newest.max(bucket);
    }
}
