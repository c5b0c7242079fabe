//! Stand-in for a model engine worker: adapter slots, continuous batching, orders and a load report.
//!
//! The text of an answer is a function of model, prompt and position, so that a
//! caller can tell a crossed or wrong answer: see [`expected_text`].

mod api;
mod batch;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::batch::Worker;
use crate::net::Connections;
use crate::net::Server;
use crate::net::serve;

/// Size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Port on loopback; 0 for a free one.
    pub port: u16,
    /// Name of the worker.
    pub name: String,
    /// Adapters that can be loaded at once.
    pub slots: usize,
    /// Sequences that run at once; further ones wait.
    pub max_batch: usize,
    /// Time of one token with a batch of one.
    pub token_time: Duration,
    /// Growth of the token time for each further sequence of the batch, as a fraction.
    pub batch_growth: f64,
    /// Time to read one prompt token.
    pub prefill_time: Duration,
    /// Tokens in each streamed chunk.
    pub chunk_tokens: u32,
    /// Weight store; without one a load takes `local_load_time`.
    pub weights: Option<SocketAddr>,
    /// Adapters loaded at the first start, as `adapter@version`.
    pub preloaded: Vec<String>,
    /// Duration of a load without a weight store.
    pub local_load_time: Duration,
    /// Age of the load report.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are rejected.
    pub fencing: bool,
    /// Seed of the faults at a rate.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            port: 0,
            name: "worker-1".to_owned(),
            slots: 8,
            max_batch: 16,
            token_time: Duration::from_millis(20),
            batch_growth: 0.03,
            prefill_time: Duration::from_micros(20),
            chunk_tokens: 1,
            weights: None,
            preloaded: Vec::new(),
            local_load_time: Duration::from_millis(250),
            report_lag: Duration::from_millis(300),
            fencing: true,
            seed: 1,
        }
    }
}

/// Fault switches of an engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Fraction of loads that fail.
    pub fail_loads: f64,
    /// Delay of the response after the first output, in milliseconds.
    pub late_ms: u64,
    /// Fraction of new requests whose response is exchanged with that of another running request.
    pub swap: f64,
    /// Requests run but get no response.
    pub stop_responding: bool,
    /// Fraction of requests whose stream breaks off in the middle.
    pub cut: f64,
    /// Orders with an old fencing number are accepted.
    pub ignore_fencing: bool,
    /// Restarts empty with a new boot id; resets itself.
    pub restart: bool,
    /// Makes the connections open now silent; resets itself.
    pub freeze_connections: bool,
}

/// What an engine counted since it was started by the handle, restarts included.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCounters {
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests refused because their adapter was not loaded.
    pub not_loaded: u64,
    /// Adapters loaded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Load orders refused for want of a free slot.
    pub no_slot: u64,
    /// Adapters unloaded.
    pub unloads: u64,
    /// Adapters unloaded while a request for them was running or waiting.
    pub unloaded_while_serving: u64,
    /// Orders rejected for an old fencing number.
    pub fenced: u64,
    /// Requests cancelled by order or because their caller disconnected.
    pub cancelled: u64,
    /// Decoding steps.
    pub steps: u64,
    /// Sum of the batch sizes of all steps.
    pub batch_sum: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Restarts.
    pub restarts: u64,
}

/// Load report, as `GET /load` shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// Id of the process's start.
    pub boot_id: String,
    /// Loaded adapters as `adapter@version`.
    pub loaded: Vec<String>,
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Adapter slots.
    pub slots: usize,
}

/// Handle of a running engine.
#[derive(Clone)]
pub struct Engine {
    server: Arc<Server>,
    worker: Arc<Worker>,
}

/// Starts an engine.
///
/// # Errors
/// The port can't be bound.
pub async fn start(cfg: EngineConfig) -> io::Result<Engine> {
    let connections = Connections::new();
    let port = cfg.port;
    let worker = Arc::new(Worker::new(cfg, connections.clone()));
    let stop = connections.stop_token();
    tokio::spawn(stop.clone().run_until_cancelled_owned(batch::decode(worker.clone())));
    tokio::spawn(stop.run_until_cancelled_owned(batch::sample(worker.clone())));
    let server = Arc::new(serve(api::router(&worker), port, connections).await?);
    Ok(Engine { server, worker })
}

impl Engine {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Name of the worker.
    pub fn name(&self) -> &str {
        &self.worker.cfg.name
    }

    /// Id of the process's start now.
    pub fn boot_id(&self) -> String {
        self.worker.report().boot_id
    }

    /// Counters now.
    pub fn counters(&self) -> EngineCounters {
        self.worker.counters()
    }

    /// How often each request id began to run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.worker.runs()
    }

    /// Adapters loaded now, as `adapter@version`.
    pub fn loaded(&self) -> BTreeSet<String> {
        self.worker.report().loaded.into_iter().collect()
    }

    /// Whether `model` (`adapter@version`) is loaded now.
    pub fn has_loaded(&self, model: &str) -> bool {
        self.worker.has_loaded(model)
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.worker.set_faults(faults);
    }

    /// Restarts empty with a new boot id: running requests break off.
    pub fn restart(&self) {
        self.worker.restart();
    }

    /// Connections of the server.
    pub fn connections(&self) -> &Connections {
        &self.server.connections
    }
}

/// Token at `index` of the answer of `model` to `prompt`.
pub fn expected_token(model: &str, prompt: &str, index: u32) -> String {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(model.as_bytes());
    hasher.write_u8(0);
    hasher.write(prompt.as_bytes());
    hasher.write_u32(index);
    format!(" {:08x}", hasher.finish() >> 32)
}

/// Whole answer of `model` (`adapter@version`) to `prompt` with `max_tokens` tokens.
///
/// The prompt of a chat request is the text of its messages, joined by line ends.
pub fn expected_text(model: &str, prompt: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|index| expected_token(model, prompt, index)).collect()
}
