//! Client of the key-value service's JSON gateway.
//!
//! A failure while connecting took no effect; a failure after bytes may have
//! left, or a status of 500 and above, may have taken effect.

use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::kv::KeyValue;
use crate::kv::LeaseId;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::StoreResult;
use crate::kv::Swap;
use crate::kv::WatchEvent;
use crate::kv::watch;
use crate::kv::wire;

/// Address and timeouts of the client.
#[derive(Clone, Debug)]
pub struct HttpStoreConfig {
    /// URL of the service.
    pub url: String,
    /// Timeout for new connections.
    pub connect_timeout: Duration,
    /// Timeout for a whole call, watches excepted.
    pub call_timeout: Duration,
    /// Time without events or progress after which a watch is opened anew.
    pub watch_idle_timeout: Duration,
    /// First delay before a watch is opened anew; doubles with each failure.
    pub min_reconnect_delay: Duration,
    /// Longest delay before a watch is opened anew.
    pub max_reconnect_delay: Duration,
}

impl Default for HttpStoreConfig {
    fn default() -> HttpStoreConfig {
        HttpStoreConfig {
            url: "http://127.0.0.1:2379".to_owned(),
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            watch_idle_timeout: Duration::from_secs(5),
            min_reconnect_delay: Duration::from_millis(100),
            max_reconnect_delay: Duration::from_secs(2),
        }
    }
}

/// Events that a slow reader of a watch may lag behind before the watch waits for it.
const WATCH_BUFFER: usize = 256;

/// Key-value service behind its JSON gateway.
#[derive(Clone, Debug)]
pub struct HttpStore {
    pub(super) client: reqwest::Client,
    pub(super) cfg: HttpStoreConfig,
}

impl HttpStore {
    /// Client of the service at `cfg.url`; no connection is opened yet.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(cfg: HttpStoreConfig) -> Result<HttpStore, reqwest::Error> {
        let client = reqwest::Client::builder()
            .connect_timeout(cfg.connect_timeout)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(HttpStore { client, cfg })
    }

    fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Value,
        lease: LeaseId,
    ) -> impl Future<Output = StoreResult<T>> + Send + 'static {
        let request = self
            .client
            .post(format!("{}{path}", self.cfg.url))
            .timeout(self.cfg.call_timeout)
            .json(&body);
        async move {
            let response = request.send().await.map_err(|e| transport_error(&e))?;
            let status = response.status();
            let bytes = response.bytes().await.map_err(|e| no_answer(&e))?;
            match status {
                StatusCode::OK => serde_json::from_slice(&bytes)
                    .map_err(|e| StoreError::NoAnswer(format!("malformed answer: {e}"))),
                status => Err(status_error(status, &bytes, lease)),
            }
        }
    }

    async fn swap_outcome(
        txn: impl Future<Output = StoreResult<wire::TxnResponse>>,
    ) -> StoreResult<Swap> {
        let response = txn.await?;
        if response.succeeded {
            return Ok(Swap::Done(response.header.revision));
        }
        let found = response.responses.into_iter().find_map(|op| op.response_range);
        let current = found.and_then(|range| range.kvs.into_iter().next());
        Ok(Swap::Conflict(current.map(KeyValue::from)))
    }
}

/// Error of a call that got no status.
fn transport_error(error: &reqwest::Error) -> StoreError {
    match error {
        e if e.is_connect() || e.is_builder() => StoreError::Unreachable(chain(e)),
        e => no_answer(e),
    }
}

fn no_answer(error: &reqwest::Error) -> StoreError {
    StoreError::NoAnswer(chain(error))
}

/// The error with its causes, which name the actual failure.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

fn status_error(status: StatusCode, body: &[u8], lease: LeaseId) -> StoreError {
    let error: wire::ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    match error.code {
        wire::CODE_NOT_FOUND if lease != 0 => StoreError::LeaseNotFound(lease),
        _ if status.is_client_error() => {
            StoreError::Refused(format!("status {status}: {}", error.message))
        }
        _ => StoreError::NoAnswer(format!("status {status}: {}", error.message)),
    }
}

/// Time to live in whole seconds, rounded up.
fn whole_seconds(ttl: Duration) -> u64 {
    ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0)
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> BoxFuture<'_, StoreResult<Option<KeyValue>>> {
        let body = json!({"key": wire::encode(key.as_bytes())});
        let call = self.call::<wire::RangeResponse>("/v3/kv/range", body, 0);
        async move { Ok(call.await?.kvs.into_iter().next().map(KeyValue::from)) }.boxed()
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, StoreResult<Vec<KeyValue>>> {
        let body = json!({
            "key": wire::encode(prefix.as_bytes()),
            "range_end": wire::encode(&wire::prefix_end(prefix)),
        });
        let call = self.call::<wire::RangeResponse>("/v3/kv/range", body, 0);
        async move { Ok(call.await?.kvs.into_iter().map(KeyValue::from).collect()) }.boxed()
    }

    fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, StoreResult<Swap>> {
        let lease = lease.unwrap_or(0);
        let put = json!({"request_put": {
            "key": wire::encode(key.as_bytes()),
            "value": wire::encode(&value),
            "lease": lease.to_string(),
        }});
        let body = wire::swap_request(key, expected, &put);
        HttpStore::swap_outcome(self.call("/v3/kv/txn", body, lease)).boxed()
    }

    fn delete(&self, key: &str, expected: i64) -> BoxFuture<'_, StoreResult<Swap>> {
        let delete = json!({"request_delete_range": {"key": wire::encode(key.as_bytes())}});
        let body = wire::swap_request(key, expected, &delete);
        HttpStore::swap_outcome(self.call("/v3/kv/txn", body, 0)).boxed()
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        let body = json!({"TTL": whole_seconds(ttl).to_string(), "ID": "0"});
        let call = self.call::<wire::LeaseResponse>("/v3/lease/grant", body, 0);
        async move { Ok(call.await?.id) }.boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        let body = json!({"ID": lease.to_string()});
        let call =
            self.call::<wire::Streamed<wire::LeaseResponse>>("/v3/lease/keepalive", body, lease);
        async move {
            match call.await?.result {
                Some(answer) if answer.ttl > 0 => Ok(()),
                _ => Err(StoreError::LeaseNotFound(lease)),
            }
        }
        .boxed()
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        let body = json!({"ID": lease.to_string()});
        let call = self.call::<Value>("/v3/lease/revoke", body, lease);
        async move { call.await.map(|_| ()) }.boxed()
    }

    /// Watches until the receiver is dropped, over any number of connections.
    ///
    /// [`WatchEvent::Lost`] is sent when a connection breaks and again each time
    /// a watch is established, the first time included: the reader reads back
    /// then and misses nothing.
    fn watch(&self, prefix: &str) -> mpsc::Receiver<WatchEvent> {
        let (tx, rx) = mpsc::channel(WATCH_BUFFER);
        tokio::spawn(watch::run(self.clone(), prefix.to_owned(), tx));
        rx
    }
}
