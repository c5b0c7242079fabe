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

/// Timeout for opening a connection. Hosts in the same region accept within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT`: a connection closes when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of all calls except watches. A slow store takes about 200 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for the round trip of a watch, added to the time for which the store holds the call.
const WATCH_ROUND_TRIP: Duration = Duration::from_millis(1_000);

/// Reason why a call has no usable reply.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum StoreError {
    /// no reply from the store: {0}
    Transport(reqwest::Error),
    /// invalid reply from the store: {0}
    Reply(ProtocolError),
}

impl std::error::Error for StoreError {}

/// Client of the store. A call without a reply may have been executed, or may still be
/// executed later.
pub struct StoreClient {
    http: Client,
    address: SocketAddr,
    protocol: Arc<dyn PlatformProtocol>,
    metrics: Arc<Metrics>,
}

impl StoreClient {
    /// Creates a client for the store at `address`.
    ///
    /// # Errors
    /// The HTTP client can't be created.
    pub fn new(
        address: SocketAddr,
        protocol: Arc<dyn PlatformProtocol>,
        metrics: Arc<Metrics>,
    ) -> reqwest::Result<StoreClient> {
        Ok(StoreClient { http: http_client()?, address, protocol, metrics })
    }

    /// Makes a call and counts its outcome.
    ///
    /// # Errors
    /// No reply arrived in time, or it is invalid.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let timeout = match call {
            StoreCall::Watch { wait, .. } => *wait + WATCH_ROUND_TRIP,
            _ => CALL_TIMEOUT,
        };
        let encoded = self.protocol.store_call(call);
        let result = match send_http_call(&self.http, self.address, encoded, None, timeout).await {
            Ok((status, body)) => {
                self.protocol.parse_store_reply(call, status, &body).map_err(StoreError::Reply)
            }
            Err(e) => Err(StoreError::Transport(e)),
        };
        self.metrics.record_store_call(call_name(call), outcome_name(&result));
        result
    }
}

/// Creates an HTTP client for calls to the store and to engines.
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

/// Makes an HTTP call; returns the status and the whole body.
pub(crate) async fn send_http_call(
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

/// Exponential backoff between retries of a failed call, with jitter.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delay doubles from `min` up to `max`.
    pub fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, next: min }
    }

    /// Returns the next delay: a random time between half of the current delay and all of it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.max);
        delay
    }

    /// Sets the delay back to the shortest one, after a success.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}

/// Returns the metrics label of a call.
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

/// Returns the metrics label of a call's outcome.
fn outcome_name(result: &Result<StoreReply, StoreError>) -> &'static str {
    match result {
        Ok(StoreReply::Refused) => "refused",
        Ok(StoreReply::Conflict { .. }) => "conflict",
        Ok(_) => "ok",
        Err(StoreError::Transport(_)) => "no_reply",
        Err(StoreError::Reply(_)) => "bad_reply",
    }
}
