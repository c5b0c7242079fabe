//! Retry budget.
//!
//! Guards against retry storms: a failing service must not receive a multiple of its fresh load.
//! Each node spends its own share of the budget without coordination with the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;
use crate::Time;

/// Fraction of the allowed retries that nodes use; the rest covers requests that are
/// counted in different windows.
const USABLE_FRACTION: f64 = 0.7;

/// Retries that are allowed within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Allowed retries as a fraction of the requests.
    pub ratio: f64,
    /// Number of further retries that are allowed, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// Requests and retries of one service, oldest first.
#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Retry budget of one node for all services.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<Name, Usage>,
}

impl RetryBudget {
    /// Creates a budget that has counted no requests yet.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Counts a fresh request for `service`.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        let start = now - self.settings.window;
        let usage = self.usage(service);
        usage.requests.push_back(now);
        expire(&mut usage.requests, start);
    }

    /// Takes one retry from the budget of `service`, which `nodes` nodes share; returns `false` if
    /// it is exhausted.
    pub fn try_take(&mut self, now: Time, service: &Name, nodes: usize) -> bool {
        let RetryBudgetSettings { ratio, slack, window } = self.settings;
        let start = now - window;
        let usage = self.usage(service);
        expire(&mut usage.requests, start);
        expire(&mut usage.retries, start);
        let allowed =
            USABLE_FRACTION * (ratio * usage.requests.len() as f64 + slack / nodes.max(1) as f64);
        let granted = ((usage.retries.len() + 1) as f64) <= allowed;
        if granted {
            usage.retries.push_back(now);
        }
        granted
    }

    fn usage(&mut self, service: &Name) -> &mut Usage {
        self.services.entry(service.clone()).or_default()
    }
}

/// Removes the times before `start`.
fn expire(times: &mut VecDeque<Time>, start: Time) {
    while times.front().is_some_and(|at| *at < start) {
        times.pop_front();
    }
}
