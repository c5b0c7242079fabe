//! Calls to the key-value service on behalf of the ownership.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::ownership::OwnershipConfig;
use fireflyhead_core::ownership::OwnershipEffect;
use fireflyhead_core::ownership::OwnershipInput;
use fireflyhead_core::ownership::StoredRecord;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::OwnerRecord;
use fireflyhead_core::types::Time;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;

use crate::clock::Clock;
use crate::kv::KeyValue;
use crate::kv::LeaseId;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::StoreResult;
use crate::kv::Swap;
use crate::owners::NODE_PREFIX;
use crate::owners::OWNER_PREFIX;
use crate::probe::wire::member_from_wire;
use crate::probe::wire::member_to_wire;
use crate::probe::wire::node_from_wire;
use crate::probe::wire::node_to_wire;

/// Executes effects of the ownership that are calls to the service.
#[derive(Clone)]
pub(super) struct Calls {
    store: Arc<dyn Store>,
    clock: Clock,
    lease_ttl: Duration,
    timeout: Duration,
    me: Member,
}

impl Calls {
    pub(super) fn new(
        store: Arc<dyn Store>,
        cfg: &OwnershipConfig,
        clock: Clock,
        me: Member,
    ) -> Calls {
        let (lease_ttl, timeout) = (cfg.lease_ttl, cfg.call_timeout);
        Calls { store, clock, lease_ttl, timeout, me }
    }

    /// Executes one call; its results as inputs of the ownership.
    pub(super) async fn run(&self, effect: OwnershipEffect) -> Vec<OwnershipInput> {
        match effect {
            OwnershipEffect::GrantLease => self.grant().await,
            OwnershipEffect::KeepAlive { lease } => self.keep_alive(lease).await,
            OwnershipEffect::Register { lease } => self.register(lease).await,
            OwnershipEffect::ReadAll => self.read_all().await,
            OwnershipEffect::Read { upstream } => self.read(upstream).await,
            OwnershipEffect::Create { upstream, record, lease } => {
                self.create(upstream, &record, lease).await
            }
            OwnershipEffect::Release { upstream, revision } => {
                self.release(upstream, revision).await
            }
            OwnershipEffect::SendHandover { .. }
            | OwnershipEffect::Start { .. }
            | OwnershipEffect::Stop { .. } => Vec::new(),
        }
    }

    /// Result of a call within the timeout, and whether the service answered.
    async fn call<T>(
        &self,
        call: impl Future<Output = StoreResult<T>>,
    ) -> (StoreResult<T>, OwnershipInput) {
        let result = match tokio::time::timeout(self.timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::NoAnswer("timeout".to_owned())),
        };
        let ok = !matches!(result, Err(StoreError::NoAnswer(_) | StoreError::Unreachable(_)));
        if let Err(error) = &result {
            tracing::debug!(%error, "a call to the key-value service failed");
        }
        (result, OwnershipInput::Called { ok })
    }

    async fn grant(&self) -> Vec<OwnershipInput> {
        let sent = self.clock.now();
        let (result, called) = self.call(self.store.grant_lease(self.lease_ttl)).await;
        let outcome = match result {
            Ok(lease) => OwnershipInput::LeaseGranted { lease, sent },
            Err(_) => OwnershipInput::LeaseCallFailed,
        };
        vec![called, outcome]
    }

    async fn keep_alive(&self, lease: LeaseId) -> Vec<OwnershipInput> {
        let sent = self.clock.now();
        let (result, called) = self.call(self.store.keep_alive(lease)).await;
        let outcome = match result {
            Ok(()) => OwnershipInput::KeptAlive { lease, sent },
            Err(StoreError::LeaseNotFound(_)) => OwnershipInput::LeaseLost { lease },
            Err(_) => OwnershipInput::LeaseCallFailed,
        };
        // The lease's end comes before the end of the outage, which starts a grace period.
        vec![outcome, called]
    }

    async fn register(&self, lease: LeaseId) -> Vec<OwnershipInput> {
        let key = format!("{NODE_PREFIX}{}", self.me.node.id);
        let Ok(value) = codec::encode(&member_to_wire(&self.me)) else { return Vec::new() };
        let (found, called) = self.call(self.store.get(&key)).await;
        let expected = match found {
            Ok(found) => found.map_or(0, |kv| kv.revision),
            Err(_) => return vec![called],
        };
        let write = self.store.swap(&key, expected, Bytes::from(value), Some(lease));
        match self.call(write).await {
            (Ok(Swap::Done(_)), called) => vec![called, OwnershipInput::Registered { lease }],
            (_, called) => vec![called],
        }
    }

    async fn read_all(&self) -> Vec<OwnershipInput> {
        let sent = self.clock.now();
        let (result, called) = self.call(self.store.list(OWNER_PREFIX)).await;
        match result {
            Ok(found) => {
                let records = found.iter().filter_map(stored_record).collect();
                vec![called, OwnershipInput::Listed { records, sent }]
            }
            Err(_) => vec![called, OwnershipInput::WatchLost],
        }
    }

    async fn read(&self, upstream: Name) -> Vec<OwnershipInput> {
        let sent = self.clock.now();
        let (result, called) = self.call(self.store.get(&owner_key(&upstream))).await;
        match result {
            Ok(found) => {
                let stored = found.as_ref().and_then(stored_record).map(|(_, stored)| stored);
                vec![called, OwnershipInput::Read { upstream, stored, sent }]
            }
            // The ownership repeats reads that it needs.
            Err(_) => vec![called],
        }
    }

    async fn create(
        &self,
        upstream: Name,
        record: &OwnerRecord,
        lease: LeaseId,
    ) -> Vec<OwnershipInput> {
        let operation = record.operation.clone();
        let record = wire::OwnerRecord {
            owner: Some(node_to_wire(&record.owner)),
            fencing: record.fencing,
            operation: record.operation.to_string(),
        };
        let Ok(value) = codec::encode(&record) else { return Vec::new() };
        let key = owner_key(&upstream);
        let write = self.store.swap(&key, 0, Bytes::from(value), Some(lease));
        let (result, called) = self.call(write).await;
        let outcome = match result {
            Ok(Swap::Done(revision)) => OwnershipInput::SwapDone { upstream, operation, revision },
            Ok(Swap::Conflict(_)) | Err(StoreError::Refused(_)) => {
                OwnershipInput::SwapConflict { upstream, operation }
            }
            Err(StoreError::LeaseNotFound(_)) => OwnershipInput::LeaseLost { lease },
            Err(StoreError::NoAnswer(_) | StoreError::Unreachable(_)) => {
                OwnershipInput::SwapLost { upstream, operation }
            }
        };
        vec![called, outcome]
    }

    async fn release(&self, upstream: Name, revision: i64) -> Vec<OwnershipInput> {
        let (_, called) = self.call(self.store.delete(&owner_key(&upstream), revision)).await;
        // Whatever the answer was, reading back tells whether the record is gone.
        let mut inputs = vec![called];
        inputs.extend(self.read(upstream).await);
        inputs
    }

    /// Entries of all nodes; `None` if the read failed.
    pub(super) async fn nodes(&self) -> Option<Vec<Member>> {
        let (result, _) = self.call(self.store.list(NODE_PREFIX)).await;
        let entries = result.ok()?;
        let member = |kv: KeyValue| member_from_wire(codec::decode(&kv.value).ok()?);
        Some(entries.into_iter().filter_map(member).collect())
    }

    /// Ends a lease; whether the service confirmed it.
    pub(super) async fn revoke(&self, lease: Option<LeaseId>) -> bool {
        match lease {
            Some(lease) => self.call(self.store.revoke_lease(lease)).await.0.is_ok(),
            None => true,
        }
    }
}

fn owner_key(upstream: &Name) -> String {
    format!("{OWNER_PREFIX}{upstream}")
}

/// Upstream and record of an entry; `None` if it is malformed.
fn stored_record(kv: &KeyValue) -> Option<(Name, StoredRecord)> {
    let upstream = Name::from(kv.key.strip_prefix(OWNER_PREFIX)?);
    let record: wire::OwnerRecord = codec::decode(&kv.value).ok()?;
    let record = OwnerRecord {
        owner: node_from_wire(record.owner?)?,
        fencing: record.fencing,
        operation: Name::from(record.operation),
    };
    Some((upstream, StoredRecord { record, revision: kv.revision, lease: kv.lease }))
}

/// Input for a record that was read or seen by the watch.
pub(super) fn stored_input(kv: &KeyValue, sent: Time) -> Option<OwnershipInput> {
    let (upstream, stored) = stored_record(kv)?;
    Some(OwnershipInput::Read { upstream, stored: Some(stored), sent })
}

/// Input for a record that the watch saw disappear.
pub(super) fn deleted_input(key: &str) -> Option<OwnershipInput> {
    let upstream = Name::from(key.strip_prefix(OWNER_PREFIX)?);
    Some(OwnershipInput::Read { upstream, stored: None, sent: Time::default() })
}
