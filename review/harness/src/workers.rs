//! Workers that register in the store, and the operator's configuration.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::EngineConfig;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;
use serde_json::Value;
use serde_json::json;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::HOST;

/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from a crash of a worker to its restart, with which it registers again.
pub const DOWNTIME: Duration = Duration::from_millis(2_500);

/// Entry of a worker in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    Ready,
    Draining,
    Removed,
}

/// Worker with its entry in the store.
#[derive(Debug)]
pub struct Worker {
    /// Id of the worker.
    pub id: String,
    /// Server of the worker.
    pub upstream: Upstream,
    store: Store,
    entry: Arc<Mutex<Entry>>,
    heartbeat: AbortHandle,
}

impl Worker {
    /// Starts a worker and writes its entry.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(store: &Store, cfg: UpstreamConfig) -> Result<Worker> {
        let upstream = Upstream::start(cfg.clone()).await?;
        Ok(Worker::register(store, cfg.id, upstream))
    }

    /// Writes the entry of a worker from now on.
    fn register(store: &Store, id: String, upstream: Upstream) -> Worker {
        let entry = Arc::new(Mutex::new(Entry::Ready));
        let (writer, current, server) = (store.clone(), Arc::clone(&entry), upstream.clone());
        write(store, &upstream, Entry::Ready);
        let heartbeat = tokio::spawn(async move {
            loop {
                sleep(HEARTBEAT).await;
                if !is_down(&server) {
                    let entry = current.lock().unwrap_or_else(PoisonError::into_inner);
                    write(&writer, &server, *entry);
                }
            }
        })
        .abort_handle();
        Worker { id, upstream, store: store.clone(), entry, heartbeat }
    }

    /// Starts a worker again under the id that it had, and writes its entry.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn restart(store: &Store, cfg: UpstreamConfig) -> Result<Worker> {
        let upstream = Upstream::start(cfg.clone()).await?;
        upstream.restart();
        Ok(Worker::register(store, cfg.id, upstream))
    }

    /// Reports that the worker drains, in the store and in all its answers. Returns the time at
    /// which the store had accepted the report.
    pub fn drain(&self) -> Instant {
        self.upstream.leave();
        self.set(Entry::Draining)
    }

    /// Removes the entry of the worker, which goes on serving. Returns the time at which the store
    /// had accepted that.
    pub fn remove_entry(&self) -> Instant {
        self.set(Entry::Removed)
    }

    /// Removes the entry and ends the worker with all its connections.
    pub fn exit(self) {
        self.set(Entry::Removed);
        self.heartbeat.abort();
    }

    fn set(&self, entry: Entry) -> Instant {
        let mut current = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        *current = entry;
        write(&self.store, &self.upstream, entry);
        Instant::now()
    }
}

/// Returns whether the worker is down after a crash; it then writes nothing.
fn is_down(upstream: &Upstream) -> bool {
    let crashes = upstream.recorded().crashes;
    crashes.last().is_some_and(|(at, _)| at.elapsed() < DOWNTIME + HEARTBEAT)
}

fn write(store: &Store, upstream: &Upstream, entry: Entry) {
    let state = match entry {
        Entry::Ready => "ready",
        Entry::Draining => "draining",
        Entry::Removed => return store.remove(&upstream.store_key()),
    };
    store.put(&upstream.store_key(), &upstream.store_entry(state));
}

/// Returns the properties of a worker of the order desk.
pub fn desk_worker(id: &str, processing_time: Duration) -> UpstreamConfig {
    UpstreamConfig {
        id: id.to_owned(),
        service: "order-desk".to_owned(),
        zone: "waco-a".to_owned(),
        slots: 6,
        processing_time,
        ..UpstreamConfig::default()
    }
}

/// Returns the properties of a model engine.
pub fn engine(id: &str, engine: EngineConfig) -> UpstreamConfig {
    UpstreamConfig {
        id: id.to_owned(),
        service: "verse-models".to_owned(),
        zone: "waco-a".to_owned(),
        slots: 64,
        engine: Some(engine),
        ..UpstreamConfig::default()
    }
}

/// Returns the operator's configuration.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64| {
        json!({
            "name": name,
            "host": HOST,
            "pathPrefix": format!("/{name}/"),
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": service,
            "maxAttempts": 1,
            "resumable": false,
            "gapTargetMs": if kind == "streaming" { Some(300) } else { None },
        })
    };
    json!({
        "version": version,
        "routes": [
            route("order-submit", "non_idempotent", "order-desk", 2_000),
            route("verse-draft", "streaming", "verse-models", 15_000),
        ],
        "services": [
            { "name": "order-desk", "healthPath": "/healthz", "maxConns": 110 },
            {
                "name": "verse-models",
                "healthPath": "/healthz",
                "maxConns": 370,
                "engine": {
                    "models": [{
                        "name": "base", "weightsMb": 16_100.0, "loadS": 1.3, "adapters": 3_000,
                        "adapterMb": 14.0
                    }],
                    "weightsMb": 17_000.0,
                    "adapterSlots": 18,
                    "kvCapacity": 122_748,
                    "loadsPerS": 4.2,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    })
}
