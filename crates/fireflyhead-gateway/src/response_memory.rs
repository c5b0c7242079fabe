//! Bound on the memory of all responses that the node holds back.
//!
//! Each response has a limit of its own, but many of them at once, from upstreams that send without
//! end, would exceed the memory of the host. Small responses, such as almost all sound ones, don't
//! count. When the sum exceeds its limit, the largest response is given up: one that is still being
//! received, or a whole one whose caller reads nothing, so that such callers don't take the memory of
//! the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Time;
use tokio::sync::Notify;

use crate::clock;

/// Largest number of bytes of a response that doesn't count.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Time without a write to a caller after which its whole response may be given up. A caller that reads
/// takes less time for a round trip, also between zones.
const MAX_SEND_PAUSE: Duration = Duration::from_millis(250);

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
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    /// The response is being received; notified when it is given up.
    Receiving(Arc<Notify>),
    /// The response is whole, and is not being sent yet.
    Whole,
    /// The response is being sent on this connection.
    Sending(Arc<SendProgress>),
}

impl Entry {
    /// Returns what is notified if the response is given up; `None` if it must be sent.
    fn notice(&self, now: Time) -> Option<&Notify> {
        match &self.stage {
            Stage::Receiving(given_up) => Some(given_up),
            Stage::Sending(progress) if progress.is_stalled(now) => Some(&progress.given_up),
            Stage::Whole | Stage::Sending(_) => None,
        }
    }
}

/// Progress of the writes on the connection of a caller.
#[derive(Debug, Default)]
pub struct SendProgress {
    /// Time of the last write, in microseconds of [`clock::now`].
    last_write: AtomicU64,
    /// Notified when the response on the connection is given up.
    given_up: Notify,
}

impl SendProgress {
    /// Records that bytes were written.
    pub fn record_write(&self, now: Time) {
        self.last_write.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns the time since the last write.
    pub fn pause(&self, now: Time) -> Duration {
        now.since(Time::from_micros(self.last_write.load(Ordering::Relaxed)))
    }

    /// Waits until the response on the connection is given up, which may be never.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }

    fn is_stalled(&self, now: Time) -> bool {
        self.pause(now) >= MAX_SEND_PAUSE
    }
}

/// Extension of a whole response that counts: whose connection is to be closed if it is given up.
#[derive(Clone, Debug)]
pub struct CountedResponse {
    memory: Arc<ResponseMemory>,
    id: u64,
}

impl CountedResponse {
    /// Records that the response is being sent on the connection with this progress.
    pub fn begin_send(&self, now: Time, progress: &Arc<SendProgress>) {
        let mut responses = self.memory.lock();
        if let Some(entry) = responses.by_id.get_mut(&self.id) {
            progress.record_write(now);
            entry.stage = Stage::Sending(Arc::clone(progress));
        }
    }

    /// Returns whether bytes of the response have not been written yet, and it was not given up.
    pub fn is_unsent(&self) -> bool {
        self.memory.lock().by_id.contains_key(&self.id)
    }
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

    /// Gives up the largest response that need not be sent; returns `false` if there is none.
    fn give_up_largest(&mut self, now: Time) -> bool {
        let candidates = self.by_id.iter().filter(|(_, entry)| entry.notice(now).is_some());
        let largest = candidates.max_by_key(|(_, entry)| entry.bytes).map(|(id, _)| *id);
        let entry = largest.and_then(|id| self.remove(id));
        if let Some(given_up) = entry.as_ref().and_then(|entry| entry.notice(now)) {
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
            let entry = Entry { bytes: 0, stage: Stage::Receiving(Arc::clone(&given_up)) };
            responses.by_id.insert(id, entry);
            (id, given_up)
        });
        let mut is_held = responses.set(*id, bytes);
        while is_held
            && responses.sum > self.memory.limit
            && responses.give_up_largest(clock::now())
        {
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
        entry.stage = Stage::Whole;
        Ok(())
    }

    /// Returns the response for the connection on which it is sent; `None` if it doesn't count.
    pub fn counted(&self) -> Option<CountedResponse> {
        let (id, _) = self.counted.as_ref()?;
        Some(CountedResponse { memory: Arc::clone(&self.memory), id: *id })
    }

    /// Returns `body` as bytes that keep this memory until the last copy has been dropped. hyper drops
    /// a body once its bytes are queued, long before they are written to a caller that reads nothing.
    pub fn attach(self, body: Bytes) -> Bytes {
        match self.counted {
            Some(_) => Bytes::from_owner(SentBody { body, _held: self }),
            None => body,
        }
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

struct SentBody {
    body: Bytes,
    _held: HeldResponse,
}

impl AsRef<[u8]> for SentBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
