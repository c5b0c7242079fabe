//! Phases of a node from its start to the end of a graceful stop.
//!
//! Every request that the node has read gets a response before the process ends. New requests are
//! served while callers learn that the node is leaving. After that, requests that still wait for an
//! upstream are rejected early enough for their callers to be served by other nodes, and those that
//! were sent may take the rest of the grace period.

use tokio::sync::watch;

/// Phase of a node; the phases follow each other in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Accepts connections and requests.
    Serving,
    /// Still accepts both, and directs callers to other nodes.
    Draining,
    /// Accepts no connections, rejects new requests and finishes those in progress.
    Closing,
    /// The grace period is over: ends the requests in progress.
    Ended,
}

/// Current phase of a node.
#[derive(Debug)]
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { phase: watch::Sender::new(Phase::Serving) }
    }
}

impl Lifecycle {
    /// Enters `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the node is in `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _reached = rx.wait_for(|current| *current >= phase).await;
    }
}
