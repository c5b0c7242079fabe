//! Longest recent service times of the routes, and which requests a stopping node may still begin.
//!
//! Handles a planned stop: a request that is sent to an upstream and has not ended when the process
//! does is cut off, and may have run. One that would last too long is rejected instead, so that
//! another node serves it.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::config::Route;
use crate::config::RouteKind;

/// Time after which a service time is forgotten, at the latest after twice as long.
const WINDOW: Duration = Duration::from_secs(60);
/// Number of routes from which those without a recent service time are forgotten.
const MAX_ROUTES: usize = 4_096;

/// Longest service times of a route in two successive windows.
#[derive(Clone, Copy, Debug)]
struct Longest {
    window_start: Time,
    current: Duration,
    previous: Option<Duration>,
}

impl Longest {
    /// Begins the window of `now` if the current one is over.
    fn advance(&mut self, now: Time) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        self.previous = (!self.is_outdated(now)).then_some(self.current);
        (self.window_start, self.current) = (now, Duration::ZERO);
    }

    fn is_outdated(&self, now: Time) -> bool {
        now.since(self.window_start) >= 2 * WINDOW
    }
}

/// Longest recent service times by route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<Name, Longest>,
}

impl ServiceTimes {
    /// Records the time from the sending of a request to the end of its response, or until it was
    /// given up.
    pub fn record(&mut self, now: Time, route: &Name, time: Duration) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.retain(|_, longest| !longest.is_outdated(now));
        }
        let longest = self.routes.entry(route.clone()).or_insert(Longest {
            window_start: now,
            current: time,
            previous: None,
        });
        longest.advance(now);
        longest.current = longest.current.max(time);
    }

    /// Returns the longest service time of `route` that is remembered.
    pub fn longest(&self, now: Time, route: &Name) -> Option<Duration> {
        let longest = self.routes.get(route).filter(|longest| !longest.is_outdated(now))?;
        longest.previous.max(Some(longest.current))
    }

    /// Returns whether a request of `route` that is sent now and ends by `deadline` is expected to end
    /// before the process does, at `process_end`.
    ///
    /// A route without a remembered service time meets its objective if its requests may be repeated;
    /// else they may last until their deadline.
    pub fn ends_before(&self, now: Time, route: &Route, deadline: Time, process_end: Time) -> bool {
        let expected = match (self.longest(now, &route.name), route.kind) {
            (Some(longest), _) => now + longest,
            (None, RouteKind::Idempotent) => now + route.objective,
            (None, RouteKind::NonIdempotent | RouteKind::Streaming { .. }) => deadline,
        };
        expected.min(deadline) <= process_end
    }
}
