//! Names, identifiers and values that several decisions share.

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

/// Adapter and the version of it that a caller asked for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct AdapterKey {
    /// Name of the adapter.
    pub name: Name,
    /// Version of the adapter.
    pub version: Name,
}

impl AdapterKey {
    /// Key of `name` at `version`.
    pub fn new(name: impl Into<Name>, version: impl Into<Name>) -> AdapterKey {
        AdapterKey { name: name.into(), version: version.into() }
    }

    /// Parses `name@version`.
    pub fn parse(text: &str) -> Option<AdapterKey> {
        match text.rsplit_once('@') {
            Some((name, version)) if !name.is_empty() && !version.is_empty() => {
                Some(AdapterKey::new(name, version))
            }
            _ => None,
        }
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

/// Table row, as a stable hash of its kind and name.
///
/// The same row has the same id at every node and in every table version.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RowId(pub u64);

/// Job at one dispatcher; unique within the process that created it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct JobId(pub u64);

/// One incarnation of a node: a restarted process is another incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct NodeRef {
    /// Name of the node, stable over restarts.
    pub id: Name,
    /// Number that differs for every start of the process.
    pub incarnation: u64,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum UpstreamKind {
    /// Model engine with a number of adapter slots.
    Engine {
        /// Adapters that the engine can hold at once.
        slots: usize,
    },
    /// Service without adapters.
    Service,
}

/// Upstream as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamInfo {
    /// Name of the instance.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Availability zone of its host.
    pub zone: Name,
    /// Address as `ip:port`.
    pub address: Name,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// Load figures of one upstream, advertised by its owner to entries.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamAdvert {
    /// Expected wait of new work by rank, in milliseconds.
    pub queue_delay_ms: [u32; 3],
    /// Requests running at the upstream.
    pub in_flight: u32,
    /// Requests queued at the dispatcher.
    pub queued: u32,
    /// Expected wait of an adapter load, in milliseconds.
    pub load_delay_ms: u32,
    /// Whether the dispatcher refuses new work.
    pub full: bool,
}

/// Request as a dispatcher sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Job {
    /// Identifier at the dispatcher.
    pub id: JobId,
    /// Table row that governs the request.
    pub row: RowId,
    /// Urgency.
    pub rank: Rank,
    /// Adapter, for engines.
    pub adapter: Option<AdapterKey>,
    /// Estimated prompt tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Estimated tokens to generate; 0 for plain services.
    pub output_tokens: u32,
    /// Time left until the deadline when the job is submitted.
    pub deadline: Duration,
    /// Whether this is a retry of an earlier request.
    pub retry: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Final outcome of an accepted request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The upstream's answer was passed on.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; its answer is lost.
    OutcomeUnknown,
}

/// Reason for which a dispatcher or an entry refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RefuseReason {
    /// The predicted wait passes the deadline, or the deadline passed in the queue.
    Deadline,
    /// The queue is full.
    Overloaded,
    /// The row's rate or in-flight limit is reached.
    RowLimit,
    /// The row's retry budget is spent.
    RetryBudget,
    /// The adapter could not be loaded.
    LoadFailed,
    /// No upstream of the service can take the request.
    NoUpstream,
    /// The node is stopping.
    Draining,
}

impl RefuseReason {
    /// Stable error code for callers.
    pub const fn code(self) -> &'static str {
        match self {
            RefuseReason::Deadline => "deadline",
            RefuseReason::Overloaded => "overloaded",
            RefuseReason::RowLimit => "row_limit",
            RefuseReason::RetryBudget => "retry_budget",
            RefuseReason::LoadFailed => "load_failed",
            RefuseReason::NoUpstream => "no_upstream",
            RefuseReason::Draining => "draining",
        }
    }
}

/// State of a node as its peers see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer probes and may be dead.
    Suspect,
    /// Stops as planned and takes no new work.
    Leaving,
    /// Declared dead; this incarnation never comes back.
    Dead,
}

/// Node as its peers see it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Node and its incarnation.
    pub node: NodeRef,
    /// Availability zone of its host.
    pub zone: Name,
    /// Address for callers, as `ip:port`.
    pub caller_address: Name,
    /// Address for other nodes, TCP and UDP, as `ip:port`.
    pub peer_address: Name,
    /// State.
    pub state: MemberState,
}

/// Record of an upstream's owner in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OwnerRecord {
    /// Owner and its incarnation.
    pub owner: NodeRef,
    /// Fencing number; rises with each change of the owner.
    pub fencing: u64,
    /// Id of the write, by which its author recognises it after a lost reply.
    pub operation: Name,
}

/// What a node may do with an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Dispatches to it.
    Owner {
        /// Fencing number for orders.
        fencing: u64,
        /// Whether load and unload orders are allowed now.
        orders_allowed: bool,
        /// Until then adapters found on an engine without fencing stay loaded.
        pinned_until: Time,
    },
    /// Dispatches to adapters already loaded while the owner is dead and the
    /// key-value service is down; gives no orders.
    Caretaker,
    /// Sends its requests to the owner.
    None,
}
