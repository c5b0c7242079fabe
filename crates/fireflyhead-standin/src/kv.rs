//! Stand-in for the platform's key-value service, in the shape of the etcd v3 JSON gateway.
//!
//! Keys and values travel in base64, 64-bit numbers as strings, and fields with
//! their default value are left out, as the gateway does.

mod api;
mod data;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::Switches;
use crate::faults::lock;
use crate::kv::data::Data;
use crate::net::Connections;
use crate::net::Server;
use crate::net::serve;
use crate::weights::Bucket;

/// Limits of a key-value service.
#[derive(Clone, Debug)]
pub struct KvConfig {
    /// Port on loopback; 0 for a free one.
    pub port: u16,
    /// Writes per second, lease calls included; further ones are rejected with status 429.
    pub writes_per_second: f64,
    /// Reads per second, new watches included; further ones are rejected with status 429.
    pub reads_per_second: f64,
    /// Largest value, in bytes.
    pub max_value_bytes: usize,
    /// Time between two progress messages of a watch.
    pub progress_interval: Duration,
    /// Seed of the faults at a rate.
    pub seed: u64,
}

impl Default for KvConfig {
    fn default() -> KvConfig {
        KvConfig {
            port: 0,
            writes_per_second: 500.0,
            reads_per_second: 2_000.0,
            max_value_bytes: 1_000_000,
            progress_interval: Duration::from_secs(1),
            seed: 1,
        }
    }
}

/// Fault switches of a key-value service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Closes all connections. Leases do not lapse meanwhile and are extended afterwards.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of writes that take effect but whose reply is lost.
    pub lose_replies: f64,
    /// Fraction of writes that are lost before they take effect.
    pub lose_requests: f64,
    /// Ends all leases now; resets itself.
    pub expire_leases: bool,
    /// Closes the open watches; resets itself.
    pub close_watches: bool,
    /// Makes the connections open now silent; resets itself.
    pub freeze_connections: bool,
}

/// What a key-value service counted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvCounters {
    /// Reads, new watches included.
    pub reads: u64,
    /// Writes that reached the service, lease calls included.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Calls rejected for the rate limit.
    pub limited: u64,
    /// Replies lost after the effect.
    pub lost_replies: u64,
    /// Requests lost before the effect.
    pub lost_requests: u64,
    /// Largest value written, in bytes.
    pub largest_value: usize,
    /// Leases that lapsed.
    pub lapsed_leases: u64,
}

struct KvState {
    cfg: KvConfig,
    switches: Switches<KvFaults>,
    data: Mutex<Data>,
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    counters: Mutex<KvCounters>,
    connections: Arc<Connections>,
}

/// Time between two checks of the leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl KvState {
    fn set_faults(&self, faults: KvFaults) {
        let was_down = self.switches.get().down;
        if faults.freeze_connections {
            self.connections.freeze();
        }
        {
            let mut data = lock(&self.data);
            if was_down && !faults.down {
                data.extend_leases();
            }
            if faults.expire_leases {
                let lapsed = data.expire_leases(true);
                lock(&self.counters).lapsed_leases += lapsed;
            }
            if faults.close_watches {
                data.close_watches();
            }
        }
        self.connections.refuse(faults.down);
        self.switches.set(KvFaults {
            expire_leases: false,
            close_watches: false,
            freeze_connections: false,
            ..faults
        });
    }

    fn count(&self, change: impl FnOnce(&mut KvCounters)) {
        change(&mut lock(&self.counters));
    }
}

/// Handle of a running key-value service.
#[derive(Clone)]
pub struct Kv {
    server: Arc<Server>,
    state: Arc<KvState>,
}

/// Starts an empty key-value service.
///
/// # Errors
/// The port can't be bound.
pub async fn start(cfg: KvConfig) -> io::Result<Kv> {
    let connections = Connections::new();
    let port = cfg.port;
    let state = Arc::new(KvState {
        switches: Switches::new(cfg.seed),
        data: Mutex::new(Data::new()),
        reads: Mutex::new(Bucket::new(cfg.reads_per_second, cfg.reads_per_second)),
        writes: Mutex::new(Bucket::new(cfg.writes_per_second, cfg.writes_per_second)),
        counters: Mutex::default(),
        connections: connections.clone(),
        cfg,
    });
    tokio::spawn(connections.stop_token().run_until_cancelled_owned(check_leases(state.clone())));
    let server = Arc::new(serve(api::router(&state), port, connections).await?);
    Ok(Kv { server, state })
}

async fn check_leases(state: Arc<KvState>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        if !state.switches.get().down {
            let lapsed = lock(&state.data).expire_leases(false);
            state.count(|counters| counters.lapsed_leases += lapsed);
        }
    }
}

impl Kv {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Counters now.
    pub fn counters(&self) -> KvCounters {
        lock(&self.state.counters).clone()
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: KvFaults) {
        self.state.set_faults(faults);
    }

    /// Value of `key`, read without a call.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state.data).value(key.as_bytes())
    }

    /// Keys that begin with `prefix`, read without a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        lock(&self.state.data).keys(prefix.as_bytes())
    }

    /// Number of changes of `key` since it was created; 0 if it does not exist.
    pub fn changes(&self, key: &str) -> i64 {
        lock(&self.state.data).changes(key.as_bytes())
    }

    /// Writes a value without a call.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state.data).put(key.as_bytes(), value, 0);
    }

    /// Connections of the server.
    pub fn connections(&self) -> &Connections {
        &self.server.connections
    }
}
