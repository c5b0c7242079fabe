//! Routes, services and limits of one configuration version.
//!
//! A configuration is immutable; a newer version replaces it as a whole. Route look-up
//! costs one hash probe for each slash of the path, however many routes there are.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::rendezvous;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A response is an event stream.
    Streaming {
        /// Whether a broken stream may go on at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub const fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resumable: true })
    }

    /// Whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Streaming { .. })
    }
}

/// Service that takes a share of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Service name.
    pub service: Name,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Share of a service that every route is served with in a flood of more urgent work, if the
/// operators name no other.
pub const DEFAULT_FLOOR: f64 = 0.05;

/// Weight and limits of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Weight among routes of one rank, above 0; twice the weight waits half as long.
    pub weight: f64,
    /// Share of the service's requests that the route is served with before more urgent work.
    pub floor: f64,
    /// Largest number of requests a second, over all nodes.
    pub rate: Option<f64>,
    /// Largest number of requests in flight, over all nodes.
    pub in_flight: Option<u32>,
}

impl Default for RoutePolicy {
    fn default() -> RoutePolicy {
        RoutePolicy { weight: 1.0, floor: DEFAULT_FLOOR, rate: None, in_flight: None }
    }
}

/// Route of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// Method that requests must have; `None` for any.
    pub method: Option<Name>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which a response is on time; up to the first event of a stream.
    pub objective: Duration,
    /// Longest pause between the events of a stream that is on time.
    pub pause_objective: Option<Duration>,
    /// Time without output after which callers leave a stream, also before its first event.
    pub stall_timeout: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services, with their share of the requests.
    pub traffic_split: Vec<TrafficShare>,
    /// Largest number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Weight and limits.
    pub policy: RoutePolicy,
}

impl Route {
    /// Service for a request; the same id always gets the same service.
    pub fn service_for(&self, request_id: &str) -> Option<&Name> {
        let total: u64 = self.traffic_split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.traffic_split.first().map(|share| &share.service);
        }
        let mut point = rendezvous::weight(request_id, "split") % total;
        for share in &self.traffic_split {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Model that the engines of a service serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Model name.
    pub name: Name,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
    /// Duration of a load of the model from the weight store.
    pub load_time: Duration,
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Models that the service serves.
    pub models: Vec<ModelSpec>,
    /// Adapters that one engine may hold, those under way included.
    pub adapter_slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub kv_capacity: u64,
    /// Loads of models that the weight store allows a second, over all engines.
    pub model_loads_per_s: f64,
}

/// Service with its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Connections that one upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Properties of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Values for the time before the first configuration arrives.
    fn default() -> RequestLimits {
        RequestLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: RequestLimits,
    routes: HashMap<Name, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
}

impl Config {
    /// Configuration of `routes` and `services`; of two routes with one host and prefix the last one holds.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Config {
        let mut config = Config { version, limits, ..Config::default() };
        for route in routes {
            let host = config.routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        for service in services {
            config.services.insert(service.name.clone(), Arc::new(service));
        }
        config
    }

    /// Route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Service called `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
