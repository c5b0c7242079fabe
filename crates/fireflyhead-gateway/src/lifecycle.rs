//! Phases of a node from its start to the end of a graceful stop.
//!
//! Every request that the node has read gets a response before the process ends. New requests are
//! served while callers learn that the node is leaving, unless they are expected to outlast the grace
//! period. After that, requests that still wait for an
//! upstream are rejected early enough for their callers to be served by other nodes, and those that
//! were sent may take the rest of the grace period.

use std::sync::OnceLock;

use fireflyhead_policy::Time;
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
    /// End of the grace period of a stop.
    process_end: OnceLock<Time>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { phase: watch::Sender::new(Phase::Serving), process_end: OnceLock::new() }
    }
}

impl Lifecycle {
    /// Begins the stop of the node, whose grace period ends at `process_end`. Has no effect in a later
    /// stop.
    pub fn begin_stop(&self, process_end: Time) {
        self.process_end.get_or_init(|| process_end);
        self.enter(Phase::Draining);
    }

    /// Returns the end of the grace period; `None` unless the node stops.
    pub fn process_end(&self) -> Option<Time> {
        self.process_end.get().copied()
    }

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
