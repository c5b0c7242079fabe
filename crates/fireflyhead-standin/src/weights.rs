//! Stand-in for the rate-limited weight store: `GET /weights/{adapter}/{version}`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::faults::Switches;
use crate::faults::lock;
use crate::faults::state_routes;
use crate::net::Connections;
use crate::net::Server;
use crate::net::serve;

/// Capacity of a weight store.
#[derive(Clone, Debug)]
pub struct WeightsConfig {
    /// Port on loopback; 0 for a free one.
    pub port: u16,
    /// Loads per second; further ones wait.
    pub loads_per_second: f64,
    /// Loads that may start at once after an idle time.
    pub burst: f64,
    /// Duration of one load while at most `max_in_flight` are in flight.
    pub load_time: Duration,
    /// Loads in flight beyond which each becomes slower in proportion.
    pub max_in_flight: usize,
    /// Seed of the faults at a rate.
    pub seed: u64,
}

impl Default for WeightsConfig {
    fn default() -> WeightsConfig {
        WeightsConfig {
            port: 0,
            loads_per_second: 4.0,
            burst: 4.0,
            load_time: Duration::from_millis(250),
            max_in_flight: 8,
            seed: 1,
        }
    }
}

/// Fault switches of a weight store.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsFaults {
    /// Fraction of loads that fail.
    pub fail: f64,
}

/// What a weight store counted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WeightsCounters {
    /// Loads served.
    pub loads: u64,
    /// Loads that failed by a fault.
    pub failed: u64,
    /// Loads that had to wait because the rate was exceeded.
    pub over_rate: u64,
    /// Most loads in flight at once.
    pub peak_in_flight: usize,
}

/// Token bucket; may go into debt, which is the time to wait.
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst, level: burst, at: Instant::now() }
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
    }

    /// Takes one token; the result is the time until it is available.
    pub(crate) fn reserve(&mut self) -> Duration {
        self.refill();
        self.level -= 1.0;
        Duration::from_secs_f64((-self.level / self.rate).max(0.0))
    }

    /// Takes one token if available now.
    pub(crate) fn take(&mut self) -> bool {
        self.refill();
        let available = self.level >= 1.0;
        if available {
            self.level -= 1.0;
        }
        available
    }
}

struct Store {
    cfg: WeightsConfig,
    switches: Switches<WeightsFaults>,
    bucket: Mutex<Bucket>,
    in_flight: Mutex<usize>,
    counters: Mutex<WeightsCounters>,
}

/// Handle of a running weight store.
#[derive(Clone)]
pub struct Weights {
    server: Arc<Server>,
    store: Arc<Store>,
}

/// Starts a weight store.
///
/// # Errors
/// The port can't be bound.
pub async fn start(cfg: WeightsConfig) -> io::Result<Weights> {
    let port = cfg.port;
    let store = Arc::new(Store {
        switches: Switches::new(cfg.seed),
        bucket: Mutex::new(Bucket::new(cfg.loads_per_second, cfg.burst)),
        in_flight: Mutex::new(0),
        counters: Mutex::default(),
        cfg,
    });
    let app = Router::new()
        .route("/weights/{adapter}/{version}", get(weights))
        .with_state(store.clone())
        .merge(state_routes(
            &store,
            |s| s.switches.get(),
            |s, faults| s.switches.set(faults),
            |s| lock(&s.counters).clone(),
        ));
    let server = Arc::new(serve(app, port, Connections::new()).await?);
    Ok(Weights { server, store })
}

impl Weights {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Counters now.
    pub fn counters(&self) -> WeightsCounters {
        lock(&self.store.counters).clone()
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: WeightsFaults) {
        self.store.switches.set(faults);
    }

    /// Connections of the server.
    pub fn connections(&self) -> &Connections {
        &self.server.connections
    }
}

/// Counts one load in flight until dropped.
struct InFlight<'a>(&'a Store);

impl<'a> InFlight<'a> {
    fn enter(store: &'a Store) -> (InFlight<'a>, usize) {
        let mut count = lock(&store.in_flight);
        *count += 1;
        let mut counters = lock(&store.counters);
        counters.peak_in_flight = counters.peak_in_flight.max(*count);
        (InFlight(store), *count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        *lock(&self.0.in_flight) -= 1;
    }
}

async fn weights(
    State(store): State<Arc<Store>>,
    Path((adapter, version)): Path<(String, String)>,
) -> Result<String, axum::http::StatusCode> {
    let wait = lock(&store.bucket).reserve();
    if wait > Duration::ZERO {
        lock(&store.counters).over_rate += 1;
        tokio::time::sleep(wait).await;
    }
    let (_guard, in_flight) = InFlight::enter(&store);
    #[expect(clippy::cast_precision_loss, reason = "a few loads")]
    let slowdown = (in_flight as f64 / store.cfg.max_in_flight as f64).max(1.0);
    tokio::time::sleep(store.cfg.load_time.mul_f64(slowdown)).await;
    if store.switches.strikes(store.switches.get().fail) {
        lock(&store.counters).failed += 1;
        return Err(axum::http::StatusCode::INTERNAL_SERVER_ERROR);
    }
    lock(&store.counters).loads += 1;
    Ok(format!("{adapter}@{version}"))
}
