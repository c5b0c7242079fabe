//! Queue of store changes that were received from other nodes and wait to be applied.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fireflyhead_policy::readers::Feed;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Largest number of waiting feeds. A node that is further behind reads the store itself.
const MAX_WAITING: usize = 16;

/// Bounded queue of feeds that drops the oldest one when it is full.
#[derive(Debug, Default)]
pub struct FeedQueue {
    waiting: Mutex<VecDeque<Feed>>,
    arrived: Notify,
}

impl FeedQueue {
    /// Appends a feed. If the queue is full, drops the oldest one; the consumer detects the gap
    /// from the revisions.
    pub fn push(&self, feed: Feed) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(feed);
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Waits for the next feed; `None` if none arrives within `limit`.
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

    /// Drops all waiting feeds.
    pub fn clear(&self) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn pop(&self) -> Option<Feed> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}
