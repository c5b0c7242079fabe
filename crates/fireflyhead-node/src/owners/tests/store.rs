//! Key-value service in memory with faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::kv::KeyValue;
use crate::kv::LeaseId;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::StoreResult;
use crate::kv::Swap;
use crate::kv::WatchEvent;

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    /// Calls can't connect; leases run on.
    pub(super) down: bool,
    /// Time that each call takes.
    pub(super) delay: Duration,
    /// Every other swap takes effect without an answer.
    pub(super) lose_swaps: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    revision: i64,
    swaps: u64,
    keys: BTreeMap<String, KeyValue>,
    leases: BTreeMap<LeaseId, (Instant, Duration)>,
    watches: Vec<(String, mpsc::Sender<WatchEvent>)>,
}

impl State {
    fn tell(&mut self, key: &str, event: &WatchEvent) {
        self.watches.retain(|(prefix, tx)| {
            !key.starts_with(prefix.as_str()) || tx.try_send(event.clone()).is_ok()
        });
    }

    fn remove(&mut self, key: &str) {
        self.keys.remove(key);
        self.tell(key, &WatchEvent::Delete(key.to_owned()));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (ends, _)| *ends > now);
        let leases = &self.leases;
        let gone = |kv: &&KeyValue| kv.lease != 0 && !leases.contains_key(&kv.lease);
        let gone: Vec<String> = self.keys.values().filter(gone).map(|kv| kv.key.clone()).collect();
        gone.iter().for_each(|key| self.remove(key));
    }

    fn swap(&mut self, key: &str, expected: i64, write: Option<(Bytes, LeaseId)>) -> Swap {
        let found = self.keys.get(key);
        if found.map_or(0, |kv| kv.revision) != expected {
            return Swap::Conflict(found.cloned());
        }
        self.revision += 1;
        match write {
            Some((value, lease)) => {
                let (key, revision) = (key.to_owned(), self.revision);
                let kv = KeyValue { key: key.clone(), value, revision, lease };
                self.keys.insert(key.clone(), kv.clone());
                self.tell(&key, &WatchEvent::Put(kv));
            }
            None => self.remove(key),
        }
        Swap::Done(self.revision)
    }
}

/// Store whose clones share their state.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeStore(Arc<Mutex<State>>);

impl FakeStore {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no test panics with the lock")
    }

    pub(super) fn set(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Keys that begin with `prefix`.
    pub(super) fn keys(&self, prefix: &str) -> Vec<KeyValue> {
        let mut state = self.state();
        state.expire();
        state.keys.values().filter(|kv| kv.key.starts_with(prefix)).cloned().collect()
    }

    fn call<T: Send + 'static>(
        &self,
        effect: impl FnOnce(&mut State) -> StoreResult<T> + Send + 'static,
    ) -> BoxFuture<'_, StoreResult<T>> {
        async move {
            let faults = self.state().faults;
            tokio::time::sleep(faults.delay).await;
            if faults.down {
                return Err(StoreError::Unreachable("down".to_owned()));
            }
            let mut state = self.state();
            state.expire();
            effect(&mut state)
        }
        .boxed()
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> BoxFuture<'_, StoreResult<Option<KeyValue>>> {
        let key = key.to_owned();
        self.call(move |state| Ok(state.keys.get(&key).cloned()))
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, StoreResult<Vec<KeyValue>>> {
        let prefix = prefix.to_owned();
        self.call(move |state| {
            Ok(state.keys.values().filter(|kv| kv.key.starts_with(&prefix)).cloned().collect())
        })
    }

    fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, StoreResult<Swap>> {
        let key = key.to_owned();
        self.call(move |state| {
            if let Some(lease) = lease.filter(|lease| !state.leases.contains_key(lease)) {
                return Err(StoreError::LeaseNotFound(lease));
            }
            let swap = state.swap(&key, expected, Some((value, lease.unwrap_or(0))));
            state.swaps += 1;
            match state.faults.lose_swaps && state.swaps % 2 == 1 {
                true => Err(StoreError::NoAnswer("lost".to_owned())),
                false => Ok(swap),
            }
        })
    }

    fn delete(&self, key: &str, expected: i64) -> BoxFuture<'_, StoreResult<Swap>> {
        let key = key.to_owned();
        self.call(move |state| Ok(state.swap(&key, expected, None)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        self.call(move |state| {
            state.revision += 1;
            let lease = state.revision;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            Ok(lease)
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.call(move |state| match state.leases.get_mut(&lease) {
            Some((ends, ttl)) => {
                *ends = Instant::now() + *ttl;
                Ok(())
            }
            None => Err(StoreError::LeaseNotFound(lease)),
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        self.call(move |state| {
            state.leases.remove(&lease);
            state.expire();
            Ok(())
        })
    }

    fn watch(&self, prefix: &str) -> mpsc::Receiver<WatchEvent> {
        let (tx, rx) = mpsc::channel(64);
        self.state().watches.push((prefix.to_owned(), tx));
        rx
    }
}
