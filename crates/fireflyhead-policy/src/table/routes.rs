//! Routes and adapter versions that are derived from the table.

use crate::Name;
use crate::config::Config;
use crate::config::RequestLimits;
use crate::config::Route;
use crate::config::RouteKind;
use crate::config::RoutePolicy;
use crate::config::Service;
use crate::config::TrafficShare;
use crate::table::Policy;
use crate::table::Row;
use crate::table::RowKind;
use crate::table::Table;
use crate::types::Rank;

/// Objective for the longest pause between two events of a stream.
const PAUSE_OBJECTIVE: std::time::Duration = std::time::Duration::from_millis(300);
/// [`Route::max_attempts`] for requests that may be retried.
const RETRYABLE_ATTEMPTS: u32 = 2;

impl Table {
    /// Returns the configuration with one route for each class.
    ///
    /// The host of a route is the service; its path prefix is the one of the class's `match` cell,
    /// or the name of the class if that cell is empty.
    pub fn config(&self, services: Vec<Service>) -> Config {
        let routes = self.classes().map(class_route).collect();
        Config::new(self.version, RequestLimits::default(), routes, services)
    }

    /// Returns the newest version of each adapter whose versions are numbered, such as `v3`.
    pub fn adapter_versions(&self) -> Vec<(Name, u64)> {
        self.rows()
            .filter(|row| row.kind == RowKind::Adapter)
            .filter_map(|row| {
                let numbers = row.versions.iter().filter_map(version_number);
                Some((row.name.clone(), numbers.max()?))
            })
            .collect()
    }
}

/// Returns the route of a class row.
fn class_route(row: &Row) -> Route {
    let Policy { weight, floor, rate, in_flight, target, deadline, idempotent, .. } = row.policy;
    let (method, prefix) = match &row.request_match {
        Some(call) => (
            (call.method != "*").then(|| Name::from(call.method.as_str())),
            format!("{}/", call.prefix.trim_end_matches('/')),
        ),
        None => (None, format!("/{}/", row.name)),
    };
    let kind = match (&row.request_match, idempotent) {
        (Some(_), true) => RouteKind::Idempotent,
        (Some(_), false) => RouteKind::NonIdempotent,
        (None, resumable) => RouteKind::Streaming { resumable },
    };
    Route {
        name: row.name.clone(),
        host: row.service.clone(),
        prefix: Name::from(prefix),
        method,
        is_public: row.is_public,
        kind,
        timeout: deadline,
        objective: target,
        pause_objective: row.request_match.is_none().then_some(PAUSE_OBJECTIVE),
        stall_timeout: None,
        priority: match row.policy.rank {
            Rank::Urgent => 0,
            Rank::Standard => 1,
            Rank::Background => 2,
        },
        traffic_split: vec![TrafficShare { service: row.service.clone(), weight: 1 }],
        max_attempts: if kind.is_retryable() { RETRYABLE_ATTEMPTS } else { 1 },
        policy: RoutePolicy { weight, floor, rate, in_flight },
    }
}

/// Returns the number of a version such as `v3`; `None` if it is not numbered.
fn version_number(version: &Name) -> Option<u64> {
    version.as_str().trim_start_matches('v').parse().ok()
}
