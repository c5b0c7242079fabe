//! Limits of a route on its rate and its number in flight.
//!
//! Answers a flood of one kind of work: what exceeds the operators' limits is rejected before
//! it takes a place. Each node enforces its part of a limit, by the number of live nodes.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::config::RoutePolicy;

/// Seconds of the rate that may come at once after a quiet time.
const BURST_S: f64 = 1.0;

#[derive(Debug)]
struct Usage {
    tokens: f64,
    refilled: Time,
    in_flight: u32,
}

/// Limits of all routes.
#[derive(Debug, Default)]
pub struct RouteLimits {
    routes: HashMap<Name, Usage>,
}

impl RouteLimits {
    /// Counts a request in; `Err` gives the time after which a place is likely.
    ///
    /// # Errors
    /// The request exceeds its route's limits.
    pub fn try_acquire(
        &mut self,
        now: Time,
        route: &Name,
        policy: &RoutePolicy,
        nodes: usize,
    ) -> Result<(), Duration> {
        let nodes = nodes.max(1) as f64;
        let rate = policy.rate.map(|rate| rate / nodes);
        let burst = rate.map_or(0.0, |rate| (rate * BURST_S).max(1.0));
        let usage = self.routes.entry(route.clone()).or_insert(Usage {
            tokens: burst,
            refilled: now,
            in_flight: 0,
        });
        if let Some(rate) = rate {
            let gained = now.since(usage.refilled).as_secs_f64() * rate;
            usage.tokens = (usage.tokens + gained).min(burst);
            usage.refilled = now;
            if usage.tokens < 1.0 {
                return Err(Duration::from_secs_f64((1.0 - usage.tokens) / rate));
            }
        }
        let places = policy.in_flight.map(|count| (f64::from(count) / nodes).max(1.0) as u32);
        if places.is_some_and(|places| usage.in_flight >= places) {
            return Err(Duration::from_millis(500));
        }
        usage.tokens -= 1.0;
        usage.in_flight += 1;
        Ok(())
    }

    /// Counts a request out.
    pub fn release(&mut self, route: &Name) {
        if let Some(usage) = self.routes.get_mut(route) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}
