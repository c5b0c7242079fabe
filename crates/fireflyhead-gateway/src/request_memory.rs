//! Bound on the memory of all request bodies.
//!
//! Each body has a limit of its own, but many of them at once, sent by slow callers or waiting for
//! slow upstreams, would exceed the memory of the host. A body takes its memory before it is read, and
//! keeps it until the last user of the bytes has dropped them. Small bodies may use all of the memory,
//! larger ones only a part of it, so that requests without a large body are served in any case.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use fireflyhead_policy::Name;

/// Largest number of bytes of a small body.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// Part of the memory, as a fraction, that bodies may use which aren't small.
const LARGE_BODIES_SHARE: (usize, usize) = (3, 4);
/// Part of the memory, as a fraction, that the bodies of one account may use.
const ACCOUNT_SHARE: (usize, usize) = (1, 2);

/// the bodies of requests take all of the memory that they may take
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub struct RequestMemoryFull;

impl std::error::Error for RequestMemoryFull {}

/// Bound on the sum of the sizes of all request bodies.
#[derive(Debug)]
pub struct RequestMemory {
    limit: usize,
    used: Mutex<Used>,
}

#[derive(Debug, Default)]
struct Used {
    sum: usize,
    by_account: HashMap<Name, usize>,
}

fn share(limit: usize, (part, whole): (usize, usize)) -> usize {
    limit / whole * part
}

impl RequestMemory {
    /// Creates the bound. `limit` is the largest sum, in bytes.
    pub fn new(limit: usize) -> RequestMemory {
        RequestMemory { limit, used: Mutex::default() }
    }

    /// Returns the sum of the sizes of all bodies, in bytes.
    pub fn sum(&self) -> usize {
        self.lock().sum
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one body; it is free when this is dropped.
#[derive(Debug)]
pub struct BodyMemory {
    memory: Arc<RequestMemory>,
    account: Option<Name>,
    bytes: usize,
}

impl BodyMemory {
    /// Creates the memory of a body of which nothing has been read. `account` is the account that sends
    /// it, if there are accounts.
    pub fn new(memory: &Arc<RequestMemory>, account: Option<Name>) -> BodyMemory {
        BodyMemory { memory: Arc::clone(memory), account, bytes: 0 }
    }

    /// Raises the size of the body to `bytes`; a lower size has no effect.
    ///
    /// # Errors
    /// The memory is in use by other bodies, or by those of the same account. The size stays as it was.
    pub fn grow(&mut self, bytes: usize) -> Result<(), RequestMemoryFull> {
        let Some(added) = bytes.checked_sub(self.bytes).filter(|added| *added > 0) else {
            return Ok(());
        };
        let mut used = self.memory.lock();
        let limit = match bytes <= SMALL_BODY_BYTES {
            true => self.memory.limit,
            false => share(self.memory.limit, LARGE_BODIES_SHARE),
        };
        if used.sum + added > limit {
            return Err(RequestMemoryFull);
        }
        if let Some(account) = &self.account {
            let of_account = used.by_account.entry(account.clone()).or_default();
            if *of_account + added > share(self.memory.limit, ACCOUNT_SHARE) {
                return Err(RequestMemoryFull);
            }
            *of_account += added;
        }
        used.sum += added;
        self.bytes = bytes;
        Ok(())
    }

    /// Returns `body` as bytes that keep this memory until the last copy has been dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody { body, _memory: self })
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let mut used = self.memory.lock();
        used.sum -= self.bytes;
        if let Some(account) = &self.account
            && let Some(of_account) = used.by_account.get_mut(account)
        {
            *of_account -= self.bytes;
            if *of_account == 0 {
                used.by_account.remove(account);
            }
        }
    }
}

struct HeldBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
