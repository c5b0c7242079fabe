//! Limits of a route on its request rate and its requests in flight.
//!
//! Guards against a flood of one kind of request: requests above the operators' limits are rejected
//! before they take up capacity. Each node enforces its share of a limit: the limit divided by the
//! number of live nodes.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::config::RoutePolicy;

/// Capacity of the token bucket, in seconds of the permitted rate: the burst that is admitted at
/// once after an idle time.
const BURST_S: f64 = 1.0;

/// Token bucket and requests in flight of one route.
#[derive(Clone, Debug)]
struct Usage {
    tokens: f64,
    refilled_at: Time,
    in_flight: u32,
}

/// Usage of the limits of all routes on this node.
#[derive(Clone, Debug, Default)]
pub struct RouteLimits {
    routes: HashMap<Name, Usage>,
}

impl RouteLimits {
    /// Admits a request of `route` if the limits in `policy`, shared by `nodes` nodes, allow it.
    ///
    /// # Errors
    /// The request exceeds a limit; the error is the time after which the caller should retry.
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
            refilled_at: now,
            in_flight: 0,
        });
        if let Some(rate) = rate {
            let refill = now.since(usage.refilled_at).as_secs_f64() * rate;
            usage.tokens = (usage.tokens + refill).min(burst);
            usage.refilled_at = now;
            if usage.tokens < 1.0 {
                return Err(Duration::from_secs_f64((1.0 - usage.tokens) / rate));
            }
        }
        let max_in_flight =
            policy.in_flight.map(|count| (f64::from(count) / nodes).max(1.0) as u32);
        if max_in_flight.is_some_and(|max| usage.in_flight >= max) {
            return Err(Duration::from_millis(500));
        }
        if rate.is_some() {
            usage.tokens -= 1.0;
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request of `route` ended.
    pub fn release(&mut self, route: &Name) {
        if let Some(usage) = self.routes.get_mut(route) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }
}
