//! Budget for repeated sends.
//!
//! Answers retry storms: a failing service must not receive a multiple of its fresh load.
//! Each node spends its own share, without asking the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;
use crate::Time;

/// Share of the allowance that nodes use; the rest covers requests that change windows.
const SAFETY: f64 = 0.7;

/// Allowance over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats allowed as a fraction of the requests.
    pub ratio: f64,
    /// Repeats allowed besides, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

#[derive(Debug, Default)]
struct Usage {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// Repeats of all services.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: HashMap<Name, Usage>,
}

impl RetryBudget {
    /// Empty budget.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        RetryBudget { settings, services: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        let start = now - self.settings.window;
        let usage = self.usage(service);
        usage.requests.push_back(now);
        expire(&mut usage.requests, start);
    }

    /// Takes one repeat out of the budget of `service` if `nodes` nodes share it.
    pub fn try_take(&mut self, now: Time, service: &Name, nodes: usize) -> bool {
        let RetryBudgetSettings { ratio, slack, window } = self.settings;
        let start = now - window;
        let usage = self.usage(service);
        expire(&mut usage.requests, start);
        expire(&mut usage.repeats, start);
        let allowed = SAFETY * (ratio * usage.requests.len() as f64 + slack / nodes.max(1) as f64);
        let granted = ((usage.repeats.len() + 1) as f64) <= allowed;
        if granted {
            usage.repeats.push_back(now);
        }
        granted
    }

    fn usage(&mut self, service: &Name) -> &mut Usage {
        self.services.entry(service.clone()).or_default()
    }
}

fn expire(times: &mut VecDeque<Time>, start: Time) {
    while times.front().is_some_and(|at| *at < start) {
        times.pop_front();
    }
}
