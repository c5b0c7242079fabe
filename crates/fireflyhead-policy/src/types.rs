//! Names, times and ranks that several decisions share.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Shared immutable string for the name of an adapter, upstream, service or zone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Name(Arc<str>);

impl Default for Name {
    fn default() -> Name {
        Name::from("")
    }
}

impl Name {
    /// Name as a string slice.
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

/// Point on the monotonic clock of one process, in microseconds since its start.
///
/// Values of two processes can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// Time at `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Time at `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

/// Urgency of a request, most urgent first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Rank {
    /// Served first, with head-room kept for it.
    Urgent,
    /// Served after urgent work, above its floor in any case.
    #[default]
    Standard,
    /// Served last, above its floor in any case.
    Background,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Standard, Rank::Background];

    /// Position in [`Rank::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Name as written in the table and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Rank::Urgent => "urgent",
            Rank::Standard => "standard",
            Rank::Background => "background",
        }
    }

    /// Rank of a name as written in the table.
    pub fn from_name(name: &str) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| rank.as_str() == name)
    }
}
