//! Limits on the requests that an upstream takes from all nodes together.

use std::fmt;
use std::time::Duration;

use crate::Time;

/// Number of [`RequestRate`] units in one request per second.
const UNITS_PER_REQUEST: f64 = 1_000.0;
/// Lowest rate at which a limited upstream is sent requests, per second. Only an answer tells that a
/// limit has ended.
const MIN_RATE: f64 = 0.25;
/// Time whose requests are admitted at once after a pause, in seconds.
const BURST_S: f64 = 0.5;
/// Smallest number of requests that are admitted at once after a pause, so that a pause in the demand
/// doesn't cost a part of a low limit.
const MIN_BURST: f64 = 2.0;
/// Time whose requests may be admitted in advance, in seconds. Requests that were sent without
/// admission hold back later ones for no longer.
const MAX_DEBT_S: f64 = 2.0;

/// Rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates the rate of `requests` per second, at most the largest one that the type holds;
    /// `None` if it is negative or no number.
    pub fn from_per_second(requests: f64) -> Option<RequestRate> {
        // The conversion saturates.
        (requests >= 0.0).then(|| RequestRate((requests * UNITS_PER_REQUEST).round() as u32))
    }

    /// Creates the rate of `thousandths` of a request per second.
    pub const fn from_thousandths(thousandths: u32) -> RequestRate {
        RequestRate(thousandths)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / UNITS_PER_REQUEST
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// Returns the number of requests per second that an upstream with the limit `rate` is sent.
pub(crate) fn sent_per_second(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_RATE)
}

/// Token bucket for the requests to one upstream with a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
    /// Requests that were told to come back since the bucket was last full.
    deferred: u32,
}

impl LimitBucket {
    /// Creates an empty bucket: the upstream has just got the requests that led to its limit.
    pub(crate) fn new(now: Time, limit: RequestRate) -> LimitBucket {
        LimitBucket { rate: sent_per_second(limit), tokens: 0.0, refilled_at: now, deferred: 0 }
    }

    /// Sets the limit from `now` on.
    pub(crate) fn set_limit(&mut self, now: Time, limit: RequestRate) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
        self.rate = sent_per_second(limit);
    }

    /// Returns whether a request may be sent.
    pub(crate) fn allows_request(&self, now: Time) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Returns whether a call of the upstream's holder may be sent. It doesn't wait behind requests,
    /// some of which may need its effect.
    pub(crate) fn allows_call(&self, now: Time) -> bool {
        self.tokens_at(now) >= 0.0
    }

    /// Takes the token of a request or a call.
    pub(crate) fn take(&mut self, now: Time) {
        let tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (tokens - 1.0).max(-(self.rate * MAX_DEBT_S).max(1.0));
        self.deferred = self.deferred.saturating_sub(1);
    }

    /// Returns the time until a request may be sent if `ahead` others are sent before it.
    pub(crate) fn wait(&self, now: Time, ahead: usize) -> Duration {
        let missing = (ahead + 1) as f64 - self.tokens_at(now);
        Duration::try_from_secs_f64(missing.max(0.0) / self.rate).unwrap_or(Duration::MAX)
    }

    /// Returns the time after which a request that is turned away may come back. The requests that are
    /// turned away together are given successive times.
    pub(crate) fn defer(&mut self, now: Time) -> Duration {
        if self.tokens_at(now) >= self.capacity() {
            self.deferred = 0;
        }
        let wait = self.wait(now, self.deferred as usize);
        self.deferred = self.deferred.saturating_add(1);
        wait
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_S).max(MIN_BURST)
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens + refill).min(self.capacity())
    }
}
