//! Changes of the store that other nodes handed on and that wait to be applied.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fireflyhead_policy::readers::Feed;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Feeds that wait; a node that is behind by more reads the store itself.
const MAX_WAITING: usize = 16;

/// Feeds that wait.
#[derive(Debug, Default)]
pub struct Feeds {
    waiting: Mutex<VecDeque<Feed>>,
    arrived: Notify,
}

impl Feeds {
    /// Takes a feed; the oldest one is dropped if too many wait, which shows as a gap.
    pub fn offer(&self, feed: Feed) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(feed);
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Next feed; `None` if none comes within `limit`.
    pub async fn next(&self, limit: Duration) -> Option<Feed> {
        timeout(limit, async {
            loop {
                if let Some(feed) = self.pop() {
                    return feed;
                }
                self.arrived.notified().await;
            }
        })
        .await
        .ok()
    }

    /// Drops what waits.
    pub fn clear(&self) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn pop(&self) -> Option<Feed> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}
