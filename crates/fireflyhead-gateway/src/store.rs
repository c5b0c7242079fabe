//! Client of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::protocol::HttpCall;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::protocol::ProtocolError;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use rand::Rng;
use reqwest::Client;

use crate::metrics::Metrics;

/// Time for a connection to open; hosts of one region answer within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which sent bytes without acknowledgement close a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a call that the store does not keep waiting. A slow store takes some 200 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for the way there and back of a call that the store keeps waiting.
const WATCH_MARGIN: Duration = Duration::from_millis(1_000);

/// Reason for which a call has no reply.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum StoreError {
    /// no reply: {0}
    Transport(reqwest::Error),
    /// the reply is not understood: {0}
    Reply(ProtocolError),
}

impl std::error::Error for StoreError {}

/// Client of the store. A call without a reply may have been carried out, also later.
pub struct StoreClient {
    http: Client,
    address: SocketAddr,
    protocol: Arc<dyn PlatformProtocol>,
    metrics: Arc<Metrics>,
}

impl StoreClient {
    /// Client for the store at `address`.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(
        address: SocketAddr,
        protocol: Arc<dyn PlatformProtocol>,
        metrics: Arc<Metrics>,
    ) -> reqwest::Result<StoreClient> {
        Ok(StoreClient { http: http_client()?, address, protocol, metrics })
    }

    /// Makes a call.
    ///
    /// # Errors
    /// No reply came in time, or it can't be understood.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let timeout = match call {
            StoreCall::Watch { wait, .. } => *wait + WATCH_MARGIN,
            _ => CALL_TIMEOUT,
        };
        let encoded = self.protocol.store_call(call);
        let result = match http_call(&self.http, self.address, encoded, None, timeout).await {
            Ok((status, body)) => {
                self.protocol.parse_store_reply(call, status, &body).map_err(StoreError::Reply)
            }
            Err(e) => Err(StoreError::Transport(e)),
        };
        self.metrics.store_call(call_name(call), outcome_name(&result));
        result
    }
}

/// HTTP client for calls of the control plane.
pub(crate) fn http_client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(USER_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(2)
        .pool_idle_timeout(Duration::from_secs(4))
        .build()
}

/// Makes an HTTP call and reads the whole body.
pub(crate) async fn http_call(
    http: &Client,
    address: SocketAddr,
    call: HttpCall,
    header: Option<(&'static str, &str)>,
    timeout: Duration,
) -> reqwest::Result<(u16, Bytes)> {
    let url = format!("http://{address}{}", call.target);
    let mut request = http.request(call.method, url).timeout(timeout);
    if let Some((name, value)) = header {
        request = request.header(name, value);
    }
    if let Some(body) = call.body {
        request = request.header("content-type", "application/json").body(body);
    }
    let response = request.send().await?;
    let status = response.status().as_u16();
    Ok((status, response.bytes().await?))
}

/// Waits between tries of a call that fails, with full jitter.
#[derive(Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// Waits that double from `least` to `most`.
    pub fn new(least: Duration, most: Duration) -> Backoff {
        Backoff { least, most, next: least }
    }

    /// Next wait.
    pub fn wait(&mut self) -> Duration {
        let wait = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.most);
        wait
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.next = self.least;
    }
}

const fn call_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Transaction { .. } => "transaction",
        StoreCall::Grant { .. } => "grant",
        StoreCall::Renew { .. } => "renew",
        StoreCall::Revoke { .. } => "revoke",
    }
}

fn outcome_name(result: &Result<StoreReply, StoreError>) -> &'static str {
    match result {
        Ok(StoreReply::Refused) => "refused",
        Ok(StoreReply::Conflict { .. }) => "conflict",
        Ok(_) => "ok",
        Err(StoreError::Transport(_)) => "no_reply",
        Err(StoreError::Reply(_)) => "bad_reply",
    }
}
