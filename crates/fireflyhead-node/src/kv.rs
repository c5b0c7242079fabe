//! Client of the platform's key-value service.
//!
//! [`Store`] is the edge of the process: what the actors need of the service.
//! A failed call may have taken effect; callers read back before they decide.

pub mod http;
mod watch;
mod wire;

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use tokio::sync::mpsc;

pub use http::HttpStore;
pub use http::HttpStoreConfig;

/// Identifier of a lease.
pub type LeaseId = i64;

/// Key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change; rises with every change of the service.
    pub revision: i64,
    /// Lease that the key is bound to; 0 if none.
    pub lease: LeaseId,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written with this revision.
    Done(i64),
    /// The key has another revision; its value now, if it exists.
    Conflict(Option<KeyValue>),
}

/// Change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted or its lease ended.
    Delete(String),
    /// The watch ended; events may be missing until a new one is read back.
    Lost,
}

/// Failure of a call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum StoreError {
    /// the key-value service gave no answer in time; the call may have taken effect: {0}
    NoAnswer(String),
    /// the key-value service cannot be reached; the call took no effect: {0}
    Unreachable(String),
    /// the key-value service refused the call: {0}
    Refused(String),
    /// the lease {0} does not exist
    LeaseNotFound(LeaseId),
}

impl std::error::Error for StoreError {}

/// Result of a call to the key-value service.
pub type StoreResult<T> = Result<T, StoreError>;

/// Key-value service with compare-and-swap, leases and watches.
pub trait Store: Send + Sync + 'static {
    /// Value of `key`.
    fn get(&self, key: &str) -> BoxFuture<'_, StoreResult<Option<KeyValue>>>;

    /// All keys that begin with `prefix`, in order.
    fn list(&self, prefix: &str) -> BoxFuture<'_, StoreResult<Vec<KeyValue>>>;

    /// Writes `value` if the key's revision is `expected`; 0 means that it must not exist.
    fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, StoreResult<Swap>>;

    /// Deletes the key if its revision is `expected`.
    fn delete(&self, key: &str, expected: i64) -> BoxFuture<'_, StoreResult<Swap>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>>;

    /// Extends a lease by its time to live.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>>;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, StoreResult<()>>;

    /// Watches the keys that begin with `prefix` until the receiver is dropped.
    fn watch(&self, prefix: &str) -> mpsc::Receiver<WatchEvent>;
}
