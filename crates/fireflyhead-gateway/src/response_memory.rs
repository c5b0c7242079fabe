//! Bound on the memory of all responses that the node holds back.
//!
//! Each response has a limit of its own, but many of them at once, from upstreams that send without
//! end, would exceed the memory of the host. Small responses, such as almost all sound ones, don't
//! count. When the sum exceeds its limit, the largest response is given up.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

/// Largest number of bytes of a response that doesn't count.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// The response was given up, because it was the largest when the sum exceeded its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum MemoryError {
    /// all responses that the node holds back exceed their limit
    Exceeded,
}

impl std::error::Error for MemoryError {}

/// Responses that count, with the sum of their sizes.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    responses: Mutex<Responses>,
}

#[derive(Debug, Default)]
struct Responses {
    sum: usize,
    next_id: u64,
    by_id: HashMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// Notified when the response is given up; `None` if it is whole and must be sent.
    given_up: Option<Arc<Notify>>,
}

impl Responses {
    /// Changes the size of response `id`; returns `false` if it was given up.
    fn set(&mut self, id: u64, bytes: usize) -> bool {
        let Some(entry) = self.by_id.get_mut(&id) else { return false };
        self.sum = self.sum - entry.bytes + bytes;
        entry.bytes = bytes;
        true
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let entry = self.by_id.remove(&id)?;
        self.sum -= entry.bytes;
        Some(entry)
    }

    /// Gives up the largest response that is not whole; returns `false` if there is none.
    fn give_up_largest(&mut self) -> bool {
        let incomplete = self.by_id.iter().filter(|(_, entry)| entry.given_up.is_some());
        let largest = incomplete.max_by_key(|(_, entry)| entry.bytes).map(|(id, _)| *id);
        let entry = largest.and_then(|id| self.remove(id));
        if let Some(given_up) = entry.as_ref().and_then(|entry| entry.given_up.as_ref()) {
            given_up.notify_one();
        }
        entry.is_some()
    }
}

impl ResponseMemory {
    /// Creates the bound. `limit` is the largest sum, in bytes.
    pub fn new(limit: usize) -> ResponseMemory {
        ResponseMemory { limit, responses: Mutex::default() }
    }

    /// Returns the sum of the sizes of the responses that count, in bytes.
    pub fn sum(&self) -> usize {
        self.lock().sum
    }

    fn lock(&self) -> MutexGuard<'_, Responses> {
        self.responses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one response; it is free when this is dropped.
#[derive(Debug)]
pub struct HeldResponse {
    memory: Arc<ResponseMemory>,
    /// Id of the response, once it counts, with the notice that it was given up.
    counted: Option<(u64, Arc<Notify>)>,
}

impl HeldResponse {
    /// Creates the memory of a response of which nothing has been received.
    pub fn new(memory: &Arc<ResponseMemory>) -> HeldResponse {
        HeldResponse { memory: Arc::clone(memory), counted: None }
    }

    /// Records that the response takes `bytes` of memory.
    ///
    /// # Errors
    /// The response was given up, now or earlier.
    pub fn set(&mut self, bytes: usize) -> Result<(), MemoryError> {
        if self.counted.is_none() && bytes <= UNCOUNTED_BYTES {
            return Ok(());
        }
        let mut responses = self.memory.lock();
        let (id, _) = self.counted.get_or_insert_with(|| {
            let given_up = Arc::new(Notify::new());
            let id = responses.next_id;
            responses.next_id += 1;
            let entry = Entry { bytes: 0, given_up: Some(Arc::clone(&given_up)) };
            responses.by_id.insert(id, entry);
            (id, given_up)
        });
        let mut is_held = responses.set(*id, bytes);
        while is_held && responses.sum > self.memory.limit && responses.give_up_largest() {
            is_held = responses.by_id.contains_key(id);
        }
        is_held.then_some(()).ok_or(MemoryError::Exceeded)
    }

    /// Records that the response is whole, so that it isn't given up any more.
    ///
    /// # Errors
    /// The response was given up earlier.
    pub fn complete(&mut self) -> Result<(), MemoryError> {
        let Some((id, _)) = &self.counted else { return Ok(()) };
        let mut responses = self.memory.lock();
        let entry = responses.by_id.get_mut(id).ok_or(MemoryError::Exceeded)?;
        entry.given_up = None;
        Ok(())
    }

    /// Waits until the response is given up, which may be never.
    pub async fn given_up(&self) {
        match &self.counted {
            Some((_, given_up)) => given_up.notified().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        if let Some((id, _)) = &self.counted {
            self.memory.lock().remove(*id);
        }
    }
}
