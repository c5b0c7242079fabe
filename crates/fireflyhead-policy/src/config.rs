//! Routes, services and limits of one configuration version.
//!
//! A configuration is immutable; a newer version replaces it as a whole. A route lookup costs one
//! hash-map probe for each slash in the path, independent of the number of routes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::accounts::Accounts;
use crate::rendezvous;

/// Kind of a route: whether its requests may be retried, and whether its responses are streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once.
    NonIdempotent,
    /// The response is an event stream.
    Streaming {
        /// Whether a broken stream may be resumed at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again although it may have been executed.
    pub const fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resumable: true })
    }

    /// Returns whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Streaming { .. })
    }
}

/// Service with its share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Service name.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Minimum share of a service's requests that a route keeps under a flood of more urgent requests,
/// unless the operators configure another one.
pub const DEFAULT_FLOOR: f64 = 0.05;

/// Scheduling weight and limits of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutePolicy {
    /// Weight among the routes of the same priority, above 0; requests of a route with twice the
    /// weight wait half as long.
    pub weight: f64,
    /// Minimum share of the service's requests, from 0 to 1, that is served from this route even
    /// before more urgent requests.
    pub floor: f64,
    /// Maximum number of requests per second over all nodes; `None` for no limit.
    pub rate: Option<f64>,
    /// Maximum number of requests in flight over all nodes; `None` for no limit.
    pub in_flight: Option<u32>,
}

impl Default for RoutePolicy {
    fn default() -> RoutePolicy {
        RoutePolicy { weight: 1.0, floor: DEFAULT_FLOOR, rate: None, in_flight: None }
    }
}

/// Route for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub name: Name,
    /// Host that requests must name.
    pub host: Name,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Name,
    /// Method that requests must have; `None` for any.
    pub method: Option<Name>,
    /// Whether requests need no key although the configuration has accounts.
    pub is_public: bool,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Maximum time for which a caller waits for its response.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the longest pause between two events of a stream; `None` without one.
    pub pause_objective: Option<Duration>,
    /// Time without an event after which callers abandon a stream, also before the first event;
    /// `None` if they don't.
    pub stall_timeout: Option<Duration>,
    /// Priority, 0 being the most urgent.
    pub priority: u8,
    /// Services of the route with their shares of the requests.
    pub traffic_split: Vec<TrafficShare>,
    /// Maximum number of sends of one request that may have been executed. Sends that an upstream
    /// certainly did not execute don't count.
    pub max_attempts: u32,
    /// Scheduling weight and limits.
    pub policy: RoutePolicy,
}

impl Route {
    /// Returns the service for a request; the same request id always maps to the same service.
    ///
    /// `None` if the route has no service.
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

/// Base model that the engines of a service serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Model name.
    pub name: Name,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
    /// Time to load the model from the weight store.
    pub load_time: Duration,
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Base models that the service serves.
    pub models: Vec<ModelSpec>,
    /// Maximum number of adapters in one engine, including those being loaded.
    pub adapter_slots: u32,
    /// Number of tokens that fit into the KV cache of one engine.
    pub kv_capacity: u64,
    /// Model loads per second that the weight store allows over all engines.
    pub model_loads_per_s: f64,
}

/// Properties of a service, which a set of upstreams provides.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Service name.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Maximum number of connections that one upstream accepts from all nodes together.
    pub max_connections: u32,
    /// Properties of its engines; `None` for a plain service without models.
    pub engine: Option<EngineSpec>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Limits that apply until the first configuration is read.
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
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: RequestLimits,
    /// Accounts of clients; `None` if requests need no keys.
    pub accounts: Option<Accounts>,
    /// Routes by host and path prefix.
    routes: HashMap<Name, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
}

impl Config {
    /// Creates a configuration; of two routes with the same host and prefix the last one wins.
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

    /// Returns the route on `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
