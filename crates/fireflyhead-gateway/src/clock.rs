//! Clocks of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fireflyhead_policy::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the host booted.
///
/// Unlike the monotonic clock, the boot-time clock includes the time for which the host was
/// suspended, so that a node notices after a suspension that its lease has expired.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Time::default() + Duration::new(seconds, nanos)
}

/// Returns the Unix time in milliseconds. The value at startup serves as the incarnation number of
/// a process.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
