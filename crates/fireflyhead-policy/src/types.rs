//! Names, times and ranks that several modules share.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Immutable string with cheap clones, for the names of adapters, upstreams, services and zones.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Name(Arc<str>);

impl Default for Name {
    fn default() -> Name {
        Name::from("")
    }
}

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Name {
        Name(Arc::from(text))
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Instant of the monotonic clock of one process, in microseconds since the start of the clock.
///
/// Instants of different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Creates the instant `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates the instant `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

/// Urgency of a request; the more urgent rank compares as less.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Served after urgent requests, but always with at least its floor.
    #[default]
    Standard,
    /// Served last, but always with at least its floor.
    Background,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Standard, Rank::Background];

    /// Returns the position in [`Rank::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name that the table and the metrics use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Rank::Urgent => "urgent",
            Rank::Standard => "standard",
            Rank::Background => "background",
        }
    }

    /// Returns the rank with the given name; `None` for an unknown name.
    pub fn from_name(name: &str) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| rank.as_str() == name)
    }
}
