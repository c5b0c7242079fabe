//! Monotonic clock of a process.

use fireflyhead_core::types::Time;
use tokio::time::Instant;

/// Clock that starts with the node.
///
/// It follows tokio's clock, so that tests can pause and advance it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::default() + self.start.elapsed()
    }

    /// The instant for timers that corresponds to `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time::default())
    }
}
