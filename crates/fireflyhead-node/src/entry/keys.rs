//! Binding of bare idempotency keys to request ids.
//!
//! A caller that sends only `Idempotency-Key` has no placement token, so every
//! node must agree on the id of its request: a create-if-absent record in the
//! key-value service decides. The records expire with a lease.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use fireflyhead_core::once::PlacementToken;
use fireflyhead_core::once::RequestId;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::kv::KeyValue;
use crate::kv::LeaseId;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::StoreResult;
use crate::kv::Swap;

/// Prefix of the records.
const PREFIX: &str = "/fireflyhead/idempotency/";

/// Bytes of the hash of a key.
const HASH_BYTES: usize = 24;

/// Records of idempotency keys.
pub(super) struct Keys {
    store: Arc<dyn Store>,
    retention: Duration,
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl Keys {
    pub(super) fn new(store: Arc<dyn Store>, retention: Duration) -> Keys {
        Keys { store, retention, lease: Mutex::default() }
    }

    /// Id that all requests to `service` with `key` share; a new one is made under `token`.
    pub(super) async fn bind(
        &self,
        service: &str,
        key: &str,
        token: PlacementToken,
    ) -> StoreResult<RequestId> {
        let mut hasher = Sha256::new();
        hasher.update((service.len() as u64).to_be_bytes());
        hasher.update(service.as_bytes());
        hasher.update(key.as_bytes());
        let hash = URL_SAFE_NO_PAD.encode(&hasher.finalize()[..HASH_BYTES]);
        let path = format!("{PREFIX}{hash}");
        let fresh = RequestId::new(token, &hash).map_err(|e| StoreError::Refused(e.to_string()))?;
        let lease = self.lease().await?;
        let value = Bytes::from(fresh.to_string());
        match self.store.swap(&path, 0, value, Some(lease)).await {
            Ok(Swap::Done(_)) => Ok(fresh),
            Ok(Swap::Conflict(Some(found))) => read(&found),
            // The reply may be lost after the write took effect.
            Err(StoreError::NoAnswer(reason)) => match self.store.get(&path).await? {
                Some(found) => read(&found),
                None => Err(StoreError::NoAnswer(reason)),
            },
            Ok(Swap::Conflict(None)) => Err(StoreError::Refused("the record vanished".to_owned())),
            Err(e) => {
                if let StoreError::LeaseNotFound(_) = e {
                    *self.lease.lock().await = None;
                }
                Err(e)
            }
        }
    }

    /// Lease under which a record outlives the retention of its id.
    async fn lease(&self) -> StoreResult<LeaseId> {
        let mut lease = self.lease.lock().await;
        match *lease {
            Some((id, granted)) if granted.elapsed() < self.retention => Ok(id),
            _ => {
                let id = self.store.grant_lease(self.retention * 3).await?;
                *lease = Some((id, Instant::now()));
                Ok(id)
            }
        }
    }
}

fn read(found: &KeyValue) -> StoreResult<RequestId> {
    let text = std::str::from_utf8(&found.value).ok();
    let id = text.and_then(|text| RequestId::parse(text).ok());
    id.ok_or_else(|| StoreError::Refused("the record is malformed".to_owned()))
}
