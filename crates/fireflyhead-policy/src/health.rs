//! Health of an upstream, judged by the outcomes of real requests.
//!
//! Answers upstreams that crash, fall silent or fail a part of their requests while their
//! health check passes. An upstream is ejected for a while and then tried again with a
//! growing share; the caller of this module bounds how many are ejected at once.

use std::time::Duration;

use crate::Time;

/// Weight of the newest outcome in the failure rate.
const ALPHA: f64 = 0.15;
/// Failure rate from which an upstream is ejected.
const EJECT_RATE: f64 = 0.35;
/// Consecutive failures from which an upstream is ejected.
const EJECT_RUN: u32 = 3;
/// First ejection; doubled with each further one up to [`EJECT_MAX`].
const EJECT_FIRST: Duration = Duration::from_millis(600);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_millis(2_400);

/// Kind of failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    Connect,
    /// The connection broke or the response was damaged.
    Broken,
    /// The upstream answered with an error of its own.
    ErrorResponse,
    /// No answer came in time.
    Timeout,
}

/// Record of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    rate: f64,
    run: u32,
    ejections: u32,
    until: Option<Time>,
}

impl UpstreamHealth {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.run = 0;
        self.rate *= 1.0 - ALPHA;
        if self.rate < EJECT_RATE / 3.0 {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns the time until which the upstream is newly ejected.
    pub fn record_failure(&mut self, now: Time, kind: Failure) -> Option<Time> {
        // Errors of the application are frequent on some routes and don't show a broken upstream by themselves.
        let weight = match kind {
            Failure::ErrorResponse => 0.5,
            Failure::Broken => 1.0,
            Failure::Connect | Failure::Timeout => 2.0,
        };
        self.rate = (self.rate + (1.0 - self.rate) * ALPHA * weight).min(1.0);
        self.run += match kind {
            Failure::ErrorResponse => 0,
            Failure::Broken => 1,
            Failure::Connect | Failure::Timeout => 2,
        };
        if self.is_ejected(now) || (self.rate < EJECT_RATE && self.run < EJECT_RUN) {
            return None;
        }
        let span = EJECT_FIRST.saturating_mul(1 << self.ejections.min(4)).min(EJECT_MAX);
        self.ejections += 1;
        self.run = 0;
        let until = now + span;
        self.until = Some(until);
        Some(until)
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }
}
