//! Outlier detection for one upstream, based on the outcomes of real requests.
//!
//! Handles upstreams that crash, stop responding or fail some of their requests while their health
//! check still passes. An upstream is ejected for a while and then receives a growing share of the
//! requests again as its failure rate falls. The caller of this module bounds how many upstreams
//! are ejected at once.

use std::time::Duration;

use crate::Time;

/// Smoothing factor of the failure rate: the weight of the newest outcome.
const FAILURE_RATE_ALPHA: f64 = 0.15;
/// Failure rate from which an upstream is ejected.
const EJECT_RATE: f64 = 0.35;
/// Weighted number of consecutive failures from which an upstream is ejected.
const EJECT_CONSECUTIVE: u32 = 3;
/// Duration of the first ejection; each further one lasts twice as long, up to [`EJECT_MAX`].
const EJECT_FIRST: Duration = Duration::from_millis(600);
/// Maximum duration of an ejection.
const EJECT_MAX: Duration = Duration::from_millis(2_400);

/// Kind of a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection could not be opened.
    Connect,
    /// The connection broke or the response was malformed.
    Broken,
    /// The upstream returned an error response.
    ErrorResponse,
    /// No response or no further event arrived in time.
    Timeout,
}

/// Failure statistics and ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Weighted number of failures since the last success or ejection.
    consecutive_failures: u32,
    /// Ejections since the failure rate was last low.
    ejections: u32,
    ejected_until: Option<Time>,
}

impl UpstreamHealth {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_RATE_ALPHA;
        if self.failure_rate < EJECT_RATE / 3.0 {
            self.ejections = 0;
        }
    }

    /// Records a failed request. If it ejects the upstream, returns the end of the ejection.
    pub fn record_failure(&mut self, now: Time, kind: Failure) -> Option<Time> {
        // Application errors are frequent on some routes and don't by themselves indicate a broken
        // upstream.
        let weight = match kind {
            Failure::ErrorResponse => 0.5,
            Failure::Broken => 1.0,
            Failure::Connect | Failure::Timeout => 2.0,
        };
        self.failure_rate =
            (self.failure_rate + (1.0 - self.failure_rate) * FAILURE_RATE_ALPHA * weight).min(1.0);
        self.consecutive_failures += match kind {
            Failure::ErrorResponse => 0,
            Failure::Broken => 1,
            Failure::Connect | Failure::Timeout => 2,
        };
        if self.is_ejected(now)
            || (self.failure_rate < EJECT_RATE && self.consecutive_failures < EJECT_CONSECUTIVE)
        {
            return None;
        }
        let duration = EJECT_FIRST.saturating_mul(1 << self.ejections.min(4)).min(EJECT_MAX);
        self.ejections += 1;
        self.consecutive_failures = 0;
        let until = now + duration;
        self.ejected_until = Some(until);
        Some(until)
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
