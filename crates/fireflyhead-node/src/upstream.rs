//! Client of one upstream: requests, orders and load figures.
//!
//! A request is sent at most once by each run. Whether bytes of it may have
//! reached the upstream decides whether the request may be sent elsewhere, so
//! neither redirects nor retries of the HTTP library are enabled.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use fireflyhead_core::dispatch::LoadReport;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use serde_json::Value;
use serde_json::json;

mod run;
pub mod sse;
#[cfg(test)]
mod tests;

pub use run::RunEnd;
pub use run::RunNote;
pub use run::RunRequest;

pub(crate) use run::from_wire;
pub(crate) use run::to_wire;

/// Header with the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Header with the id of a request, which the upstream echoes.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest time of a load or unload order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time of a read of the load figures.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time of the order to cancel a request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections kept for each upstream.
const IDLE_CONNECTIONS: usize = 64;

/// Failure of an order or of a read of the load figures.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum UpstreamError {
    /// the upstream cannot be reached: {0}
    Transport(reqwest::Error),
    /// the upstream rejected the order: a newer owner exists
    Fenced,
    /// this node may not give orders to the upstream now
    NotAllowed,
    /// the upstream answered with status {0}
    Status(u16),
    /// the upstream's answer is malformed: {0}
    Malformed(&'static str),
}

impl std::error::Error for UpstreamError {}

impl UpstreamError {
    /// Whether no connection could be opened.
    pub fn is_refused(&self) -> bool {
        matches!(self, UpstreamError::Transport(e) if e.is_connect())
    }
}

impl From<reqwest::Error> for UpstreamError {
    fn from(e: reqwest::Error) -> UpstreamError {
        UpstreamError::Transport(e)
    }
}

/// Timeouts of an [`UpstreamClient`].
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTimeouts {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time without progress of a request.
    pub progress: Duration,
}

/// Client of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    /// Connections in use; replaced when they stop responding.
    http: Arc<ArcSwap<reqwest::Client>>,
    /// Opens a connection for each call, to find out whether the upstream responds.
    fresh: reqwest::Client,
    base: String,
    name: Name,
    engine: bool,
    timeouts: UpstreamTimeouts,
}

impl UpstreamClient {
    /// Client of the upstream `info`.
    ///
    /// # Errors
    /// An HTTP client that can't be built.
    pub fn new(
        info: &UpstreamInfo,
        timeouts: UpstreamTimeouts,
    ) -> Result<UpstreamClient, UpstreamError> {
        Ok(UpstreamClient {
            http: Arc::new(ArcSwap::from_pointee(http_client(timeouts, IDLE_CONNECTIONS)?)),
            fresh: http_client(timeouts, 0)?,
            base: format!("http://{}", info.address),
            name: info.name.clone(),
            engine: matches!(info.kind, UpstreamKind::Engine { .. }),
            timeouts,
        })
    }

    /// Name of the upstream.
    pub fn name(&self) -> &Name {
        &self.name
    }

    fn http(&self) -> Arc<reqwest::Client> {
        self.http.load_full()
    }

    /// Whether the upstream responds on a new connection while `used` does not.
    ///
    /// If so, the connections of `used` are no longer used for new requests.
    async fn is_connection_silent(&self, used: &Arc<reqwest::Client>) -> bool {
        let request = self.fresh.get(format!("{}/load", self.base)).timeout(REPORT_TIMEOUT);
        if request.send().await.is_err() {
            return false;
        }
        match http_client(self.timeouts, IDLE_CONNECTIONS) {
            Ok(client) => {
                let replaced = self.http.compare_and_swap(used, Arc::new(client));
                if Arc::ptr_eq(&replaced, used) {
                    tracing::warn!(upstream = %self.name, "connections replaced: a new one responds");
                }
            }
            Err(e) => tracing::error!(error = %e, "no new HTTP client"),
        }
        true
    }

    /// Orders the engine to load `adapter`.
    ///
    /// # Errors
    /// A refused, failed or unanswered order.
    pub async fn load(&self, adapter: &AdapterKey, fencing: u64) -> Result<(), UpstreamError> {
        let path = format!("/weights/{}/{}", adapter.name, adapter.version);
        let body = json!({ "lora_name": adapter.to_string(), "lora_path": path });
        self.order("/v1/load_lora_adapter", &body, fencing).await
    }

    /// Orders the engine to unload `adapter`.
    ///
    /// # Errors
    /// A refused, failed or unanswered order.
    pub async fn unload(&self, adapter: &AdapterKey, fencing: u64) -> Result<(), UpstreamError> {
        let body = json!({ "lora_name": adapter.to_string() });
        self.order("/v1/unload_lora_adapter", &body, fencing).await
    }

    async fn order(&self, path: &str, body: &Value, fencing: u64) -> Result<(), UpstreamError> {
        let request = self
            .http()
            .post(format!("{}{path}", self.base))
            .header(FENCING_HEADER, fencing)
            .timeout(ORDER_TIMEOUT)
            .json(body);
        match request.send().await?.status().as_u16() {
            200..=299 => Ok(()),
            409 => Err(UpstreamError::Fenced),
            status => Err(UpstreamError::Status(status)),
        }
    }

    /// Reads the load figures.
    ///
    /// # Errors
    /// An unanswered call or a malformed answer.
    pub async fn report(&self) -> Result<LoadReport, UpstreamError> {
        let http = self.http();
        let request = http.get(format!("{}/load", self.base)).timeout(REPORT_TIMEOUT);
        let response = match request.send().await {
            Err(e) if e.is_timeout() && !e.is_connect() => {
                self.is_connection_silent(&http).await;
                return Err(e.into());
            }
            result => result?,
        };
        match response.status().as_u16() {
            200 => parse_report(&response.json().await?),
            status => Err(UpstreamError::Status(status)),
        }
    }

    /// Orders the engine to stop the request `id`; plain services have no such order.
    pub async fn cancel(&self, id: &str) {
        if !self.engine {
            return;
        }
        let url = format!("{}/v1/requests/{id}", self.base);
        let request = self.http().delete(url).timeout(CANCEL_TIMEOUT);
        if let Err(e) = request.send().await {
            tracing::debug!(upstream = %self.name, error = %e, "cancel order failed");
        }
    }
}

fn http_client(timeouts: UpstreamTimeouts, idle: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(timeouts.connect)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .no_proxy()
        .http1_only()
        .build()
}

/// Load figures from the JSON of `GET /load`.
fn parse_report(json: &Value) -> Result<LoadReport, UpstreamError> {
    let boot_id = match &json["boot_id"] {
        Value::Number(number) => number.as_u64(),
        Value::String(text) => Some(text.parse().unwrap_or_else(|_| hash(text))),
        _ => None,
    };
    let count = |field: &str| {
        let number = json[field].as_u64().unwrap_or_default();
        u32::try_from(number).unwrap_or(u32::MAX)
    };
    let loaded = json["loaded"].as_array().into_iter().flatten();
    let loaded = loaded.map(|name| name.as_str().and_then(AdapterKey::parse));
    Ok(LoadReport {
        boot_id: boot_id.ok_or(UpstreamError::Malformed("boot_id"))?,
        loaded: loaded.collect::<Option<_>>().ok_or(UpstreamError::Malformed("loaded"))?,
        running: count("running"),
        waiting: count("waiting"),
    })
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
