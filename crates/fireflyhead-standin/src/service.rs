//! Stand-in for an instance of a plain service, which counts how often each order ran.
//!
//! Every path but the stand-in's own is a call. The order id is the field
//! `order_id` of a JSON body; without one the header `x-request-id` serves.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Semaphore;

use crate::faults::Switches;
use crate::faults::lock;
use crate::faults::state_routes;
use crate::net::Connections;
use crate::net::Server;
use crate::net::serve;

/// Size and speed of an instance.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Port on loopback; 0 for a free one.
    pub port: u16,
    /// Name of the instance.
    pub name: String,
    /// Time of one call.
    pub call_time: Duration,
    /// Calls that run at once; further ones wait.
    pub concurrency: usize,
    /// Record of executions, shared by the instances of one service.
    pub ledger: Ledger,
    /// Seed of the faults at a rate.
    pub seed: u64,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            port: 0,
            name: "service-1".to_owned(),
            call_time: Duration::from_millis(8),
            concurrency: 16,
            ledger: Ledger::default(),
            seed: 1,
        }
    }
}

/// Executions by order id.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<HashMap<String, u32>>>);

impl Ledger {
    fn record(&self, order: &str) -> u32 {
        let mut runs = lock(&self.0);
        let count = runs.entry(order.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// How often the order ran.
    pub fn runs(&self, order: &str) -> u32 {
        lock(&self.0).get(order).copied().unwrap_or(0)
    }

    /// All executions.
    pub fn all(&self) -> HashMap<String, u32> {
        lock(&self.0).clone()
    }

    /// Executions beyond the first of each order.
    pub fn duplicates(&self) -> u64 {
        lock(&self.0).values().map(|&count| u64::from(count) - 1).sum()
    }
}

/// Fault switches of an instance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between the effect and the response, in milliseconds.
    pub late_ms: u64,
    /// Fraction of calls that run but never get a response.
    pub silent: f64,
    /// Fraction of calls that run and are answered with status 500.
    pub fail_after_effect: f64,
    /// Fraction of calls that run and whose connection is then closed.
    pub cut_after_effect: f64,
    /// Makes the connections open now silent; resets itself.
    pub freeze_connections: bool,
}

/// What an instance counted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceCounters {
    /// Calls that ran, of every method.
    pub calls: u64,
    /// Calls running now.
    pub running: u64,
    /// Calls waiting now.
    pub waiting: u64,
    /// Executions by order id, for methods other than `GET` and `HEAD`.
    pub orders: HashMap<String, u32>,
}

struct Instance {
    cfg: ServiceConfig,
    boot_id: String,
    switches: Switches<ServiceFaults>,
    permits: Semaphore,
    counters: Mutex<ServiceCounters>,
    connections: Arc<Connections>,
}

/// Handle of a running instance.
#[derive(Clone)]
pub struct Service {
    server: Arc<Server>,
    instance: Arc<Instance>,
}

/// Starts an instance.
///
/// # Errors
/// The port can't be bound.
pub async fn start(cfg: ServiceConfig) -> io::Result<Service> {
    let connections = Connections::new();
    let port = cfg.port;
    let instance = Arc::new(Instance {
        boot_id: format!("{}-{:08x}", cfg.name, rand::random::<u32>()),
        switches: Switches::new(cfg.seed),
        permits: Semaphore::new(cfg.concurrency),
        counters: Mutex::default(),
        connections: connections.clone(),
        cfg,
    });
    let app =
        Router::new().route("/load", get(load)).fallback(call).with_state(instance.clone()).merge(
            state_routes(
                &instance,
                |s| s.switches.get(),
                Instance::set,
                |s| lock(&s.counters).clone(),
            ),
        );
    let server = Arc::new(serve(app, port, connections).await?);
    Ok(Service { server, instance })
}

impl Service {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Name of the instance.
    pub fn name(&self) -> &str {
        &self.instance.cfg.name
    }

    /// Id of the process's start.
    pub fn boot_id(&self) -> &str {
        &self.instance.boot_id
    }

    /// Counters now.
    pub fn counters(&self) -> ServiceCounters {
        lock(&self.instance.counters).clone()
    }

    /// Executions of the instance's service.
    pub fn ledger(&self) -> &Ledger {
        &self.instance.cfg.ledger
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.instance.set(faults);
    }

    /// Connections of the server.
    pub fn connections(&self) -> &Connections {
        &self.server.connections
    }
}

impl Instance {
    fn set(&self, faults: ServiceFaults) {
        if faults.freeze_connections {
            self.connections.freeze();
        }
        self.switches.set(ServiceFaults { freeze_connections: false, ..faults });
    }
}

async fn load(State(instance): State<Arc<Instance>>) -> impl IntoResponse {
    let counters = lock(&instance.counters).clone();
    Json(json!({
        "boot_id": instance.boot_id,
        "running": counters.running,
        "waiting": counters.waiting,
        "slots": 0,
        "loaded": [],
    }))
}

/// Runs the call in a task of its own: a caller that disconnects does not undo the effect.
async fn call(
    State(instance): State<Arc<Instance>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let task = tokio::spawn(execute(instance, method, uri, headers, body));
    task.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn execute(
    instance: Arc<Instance>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let request_id = header(&headers, "x-request-id");
    let order = order_id(&body).or_else(|| request_id.clone()).unwrap_or_default();
    lock(&instance.counters).waiting += 1;
    let permit = instance.permits.acquire().await;
    {
        let mut counters = lock(&instance.counters);
        counters.waiting -= 1;
        counters.running += 1;
        counters.calls += 1;
    }
    let run = match method {
        Method::GET | Method::HEAD => 0,
        _ => {
            *lock(&instance.counters).orders.entry(order.clone()).or_default() += 1;
            instance.cfg.ledger.record(&order)
        }
    };
    tokio::time::sleep(instance.cfg.call_time).await;
    drop(permit);
    lock(&instance.counters).running -= 1;
    let answer = json!({
        "order_id": order,
        "request_id": request_id,
        "instance": instance.cfg.name,
        "method": method.as_str(),
        "path": uri.path(),
        "run": run,
    });
    respond(&instance, request_id, answer).await
}

async fn respond(
    instance: &Instance,
    request_id: Option<String>,
    answer: serde_json::Value,
) -> Response {
    let faults = instance.switches.get();
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    if instance.switches.strikes(faults.silent) {
        std::future::pending::<()>().await;
    }
    if instance.switches.strikes(faults.cut_after_effect) {
        return crate::net::broken_response();
    }
    let status = match instance.switches.strikes(faults.fail_after_effect) {
        true => StatusCode::INTERNAL_SERVER_ERROR,
        false => StatusCode::OK,
    };
    let mut response = (status, Json(answer)).into_response();
    if let Some(id) = request_id.and_then(|id| id.parse().ok()) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn order_id(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("order_id")?.as_str().map(str::to_owned)
}
