//! Clock of a process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fireflyhead_policy::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the host started.
///
/// The boot-time clock counts suspensions, which the monotonic clock leaves out, so a node
/// that was suspended sees that its lease has run out.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Time::default() + Duration::new(seconds, nanos)
}

/// Milliseconds of Unix time, used as the incarnation of a process.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
