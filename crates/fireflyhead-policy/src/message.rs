//! Messages that nodes send to each other as datagrams.
//!
//! - [`Heartbeat`]: the state of a node, its load on plain upstreams, and the adapters and load of
//!   the engines that it owns. A lost heartbeat only delays this information.
//! - [`AdapterRequest`]: asks the holder of an engine to load an adapter.
//! - [`HolderMessage`]: asks the holder of an engine for admission of a request, or reports the
//!   progress of one. [`AdmissionResponse`] is the holder's response.
//! - [`CrashReport`]: a crash of an engine, with the prompt parts that may have caused it. Sent only
//!   to nodes that announced at least [`EVIDENCE_PROTOCOL`].
//! - [`Feed`]: changes of the store, for nodes that do not follow it themselves. After the store was
//!   restored, sent only to nodes that announced at least [`ERA_PROTOCOL`].
//! - [`Departure`]: an upstream that leaves, before the store says so. Sent only to nodes that
//!   announced at least [`DEPARTURE_PROTOCOL`].
//! - [`EngineModel`]: the speed of an engine, from its holder. Sent only to nodes that announced at
//!   least [`PACE_PROTOCOL`], and only for engines that report their speed.
//! - [`RequestLimit`]: the limit that an upstream names, or its end. Sent only to nodes that announced
//!   at least [`LIMIT_PROTOCOL`]: to all of them when it changes, and to the node that admits requests
//!   there with each reply that names it.
//! - [`Activity`]: part of a heartbeat, sent only to nodes that announced at least
//!   [`ACTIVITY_PROTOCOL`].
//! - [`QuotaRequest`]: asks the owner of a quota slot for tokens of accounts. [`QuotaGrant`] is the
//!   owner's response. Sent only to nodes that announced at least [`ACCOUNT_PROTOCOL`].
//! - [`ConfigNotice`], [`ConfigRequest`], [`ConfigPart`]: the configuration, for nodes that the store
//!   refuses. Sent only to nodes that announced at least [`ACCOUNT_PROTOCOL`].
//!
//! The holder of an engine is the node that owns it: it alone orders adapter loads there and admits
//! requests. Module [`wire`] converts the messages to and from the generated wire types, some of
//! which have different names.

pub mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::config_exchange::ConfigNotice;
use crate::config_exchange::ConfigPart;
use crate::config_exchange::ConfigRequest;
use crate::dispatch::Job;
use crate::dispatch::JobId;
use crate::protocol::ModelRef;
use crate::quarantine::CrashReport;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::readers::Feed;
use crate::request_limit::RequestRate;

/// Version of the protocol between nodes, which each node announces in the store. Nodes without an
/// announcement have version 1.
pub const PROTOCOL_VERSION: u32 = 7;
/// Lowest version of nodes that understand [`Datagram::CrashReports`].
pub const EVIDENCE_PROTOCOL: u32 = 2;
/// Lowest version of nodes that understand a [`Feed`] of a later era than the first one.
pub const ERA_PROTOCOL: u32 = 3;
/// Lowest version of nodes that understand [`Datagram::Departures`].
pub const DEPARTURE_PROTOCOL: u32 = 4;
/// Lowest version of nodes that understand a [`Heartbeat`] with an [`Activity`].
pub const ACTIVITY_PROTOCOL: u32 = 5;
/// Lowest version of nodes that understand messages about client accounts.
pub const ACCOUNT_PROTOCOL: u32 = 6;
/// Lowest version of nodes that understand [`Datagram::EngineModels`], [`ProgressEvent::Pace`] and
/// an [`AdmissionRequest`] with output tokens.
pub const PACE_PROTOCOL: u32 = 6;
/// Lowest version of nodes that understand [`Datagram::RequestLimits`] and admit requests to limited
/// upstreams.
pub const LIMIT_PROTOCOL: u32 = 7;

/// State of a node towards callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// Has no configuration yet.
    Starting,
    /// Accepts requests.
    Ready,
    /// Is shutting down and accepts no new requests.
    Leaving,
}

/// Load of one upstream: at a plain upstream the load from the sender, at an engine the load from
/// all nodes as its holder counts it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Id of the upstream.
    pub upstream: Name,
    /// Whether the load includes the requests of all nodes.
    pub all_nodes: bool,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Prompt tokens that an engine has yet to process at its pace.
    pub pending_prompt_tokens: u32,
    /// Prompt tokens of the requests that wait for an engine at its holder.
    pub queued_prompt_tokens: u32,
    /// Streams that paused for longer than their objective, in thousandths of the engine's recent
    /// streams.
    pub late_streams_permille: u32,
    /// Adapter slots of an engine that a different adapter can take now.
    pub available_adapter_slots: u32,
    /// Adapters in use, with the number of requests for each.
    pub adapters: Vec<(Name, u32)>,
}

/// An adapter that an engine holds or is loading.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedAdapter {
    /// Name of the adapter.
    pub adapter: Name,
    /// Version that is loaded or being loaded.
    pub version: u64,
    /// Whether the adapter is loaded, so that requests may be sent.
    pub ready: bool,
}

/// Adapters of one engine, as reported by its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Id of the engine.
    pub upstream: Name,
    /// Base model of the engine.
    pub model: Name,
    /// Start of the engine in milliseconds of Unix time.
    pub incarnation: u64,
    /// Fencing token of the ownership; a placement with a lower one is stale.
    pub fencing_token: u64,
    /// Whether the holder may order adapter loads and admit requests now.
    pub holder_active: bool,
    /// Adapters that the engine holds or is loading.
    pub adapters: Vec<PlacedAdapter>,
}

/// How much a node has to do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Activity {
    /// Whether the node serves callers and needs the state of all nodes often.
    pub serving: bool,
    /// Share of its capacity that the node used recently, in thousandths.
    pub utilisation_permille: u32,
    /// Number of requests of callers in a second.
    pub requests_per_s: u32,
    /// Number of loads from the adapter store in progress over all nodes, as the sender knows it.
    pub fleet_adapter_loads: u32,
}

/// State of a node, sent at regular intervals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the node.
    pub node: Name,
    /// Start of its process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub seq: u64,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// State towards callers.
    pub state: NodeState,
    /// Capacity of the host relative to others: its processor share in thousandths of a core.
    pub capacity: u32,
    /// Number of loads from the adapter store that this node ordered and that are in progress.
    pub adapter_loads_in_progress: u32,
    /// Load on the plain upstreams that the node uses and on the engines that it owns.
    pub upstream_loads: Vec<UpstreamLoad>,
    /// Adapters of the engines that the node owns; `None` if they are the same as in the previous
    /// heartbeat. In that case, the loads list no adapters either.
    pub placements: Option<Vec<Placement>>,
    /// How much the node has to do; `None` in a heartbeat from or for a node of an earlier build.
    pub activity: Option<Activity>,
}

impl Heartbeat {
    /// Returns whether nodes that serve callers need more of the heartbeat than that its node lives.
    pub fn has_content(&self) -> bool {
        !self.upstream_loads.is_empty()
            || self.placements.as_ref().is_some_and(|placements| !placements.is_empty())
    }

    /// Returns whether the node serves callers, as one that doesn't say may.
    pub fn is_serving(&self) -> bool {
        self.activity.is_none_or(|activity| activity.serving)
    }
}

/// Asks the holder of an engine to load an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterRequest {
    /// Node that needs the adapter.
    pub node: Name,
    /// Id of the engine.
    pub upstream: Name,
    /// Base model.
    pub model: Name,
    /// Name of the adapter.
    pub adapter: Name,
    /// Number of requests that wait for the adapter.
    pub waiting: u32,
    /// Priority of the most urgent of them; 0 is the most urgent.
    pub priority: u8,
    /// Whether this engine is asked for the first time. Used for logging; not sent to other nodes.
    pub is_first: bool,
}

/// Asks the holder of an engine to admit a request there. Times are durations because the clocks of
/// hosts differ.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Id of the engine.
    pub upstream: Name,
    /// Id of the request at the node that asks.
    pub job: JobId,
    /// Route that the request matched.
    pub route: Name,
    /// Weight among the routes of the same priority, above 0.
    pub weight: f64,
    /// Share of the engine's requests that the route is guaranteed, ahead of more urgent work.
    pub floor: f64,
    /// Base model; empty for a plain upstream.
    pub model: Name,
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<Name>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time since the request arrived at the node.
    pub waited: Duration,
    /// Time from the arrival up to which the response counts as on time.
    pub objective: Duration,
    /// Time from the arrival at which the caller leaves unless there was output.
    pub first_output_deadline: Duration,
    /// Time from the arrival after which the caller no longer waits for the response.
    pub deadline: Duration,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens in the output; 0 if the holder doesn't need it or is of an earlier
    /// build.
    pub output_tokens: u32,
    /// Time from the arrival at which the node gives the request up; `None` if it waits as long as
    /// its caller, or if the holder is of an earlier build.
    pub give_up: Option<Duration>,
}

impl AdmissionRequest {
    /// Returns whether the request has limits that only nodes understand which announced
    /// [`PACE_PROTOCOL`].
    pub fn is_limited(&self) -> bool {
        self.output_tokens > 0 || self.give_up.is_some()
    }

    /// Returns whether the request is for an upstream without models.
    pub fn is_for_plain_upstream(&self) -> bool {
        self.model.as_str().is_empty()
    }

    /// Creates the admission request for `job` at `upstream`.
    pub fn new(now: Time, upstream: &Name, job: &Job) -> AdmissionRequest {
        AdmissionRequest {
            upstream: upstream.clone(),
            job: job.id,
            route: job.route.clone(),
            weight: job.weight,
            floor: job.floor,
            model: job.model.as_ref().map_or_else(|| Name::from(""), |model| model.model.clone()),
            adapter: job.adapter().cloned(),
            priority: job.priority,
            waited: now.since(job.arrived),
            objective: job.objective.since(job.arrived),
            first_output_deadline: job.first_output_deadline.since(job.arrived),
            deadline: job.deadline.since(job.arrived),
            prompt_tokens: job.prompt_tokens,
            output_tokens: 0,
            give_up: job.give_up.map(|at| at.since(job.arrived)),
        }
    }

    /// Returns the request as the holder queues it, under its own `id`.
    pub fn to_job(&self, now: Time, id: JobId) -> Job {
        let arrived = now - self.waited;
        Job {
            id,
            route: self.route.clone(),
            weight: self.weight,
            floor: self.floor,
            service: Name::from(""),
            model: Some(ModelRef { model: self.model.clone(), adapter: self.adapter.clone() }),
            priority: self.priority,
            arrived,
            objective: arrived + self.objective,
            first_output_deadline: arrived + self.first_output_deadline,
            deadline: arrived + self.deadline,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            tried: Vec::new(),
            possibly_executed: false,
            give_up: self.give_up.map(|time| arrived + time),
        }
    }
}

/// Decision of a holder on an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request may be sent to the engine.
    Granted,
    /// The request waits at the holder.
    Queued,
    /// The request is not admitted: its wait was or would be too long, or too many requests wait.
    Denied {
        /// Time after which a slot is likely to be free.
        retry_after: Duration,
    },
    /// The node does not own the engine.
    NotHolder,
}

/// Response to an [`AdmissionRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionResponse {
    /// Id of the request at the node that asked.
    pub job: JobId,
    /// Decision.
    pub decision: AdmissionDecision,
    /// Load of the engine, without its adapters.
    pub load: UpstreamLoad,
}

/// Event of a request or a stream at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProgressEvent {
    /// The first output of the request arrived.
    FirstOutput(JobId),
    /// The request ended, or no longer needs a slot.
    Ended(JobId),
    /// The engine rejected the request because it was full.
    EngineFull(JobId),
    /// A stream ended; its longest pause between two events.
    LongestPause {
        /// Duration of the pause in thousandths of the stream's objective.
        permille: u32,
    },
    /// The engine reported how long work takes there now.
    Pace {
        /// Time that work takes, in percent of the usual time.
        percent: u32,
    },
    /// The request is running without this holder's admission: a previous holder admitted it, or
    /// none did.
    Running {
        /// Id of the request at the sending node.
        job: JobId,
        /// Adapter that the request uses.
        adapter: Option<Name>,
        /// Time until its deadline.
        time_left: Duration,
    },
}

/// Reports an event at an engine to its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressReport {
    /// Id of the engine.
    pub upstream: Name,
    /// Event.
    pub event: ProgressEvent,
}

/// Message to the holder of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderMessage {
    /// Asks for admission of a request.
    AdmissionRequest(AdmissionRequest),
    /// Reports the progress of a request.
    ProgressReport(ProgressReport),
}

/// Upstream that announced in a response that it leaves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Id of the upstream.
    pub upstream: Name,
    /// Start of the upstream in milliseconds of Unix time.
    pub incarnation: u64,
}

impl HolderMessage {
    /// Returns the message in a form that nodes understand which announced no more than the version
    /// before [`PACE_PROTOCOL`]; `None` if there is none.
    pub fn for_earlier_build(self) -> Option<HolderMessage> {
        match self {
            HolderMessage::AdmissionRequest(request) => {
                let request = AdmissionRequest { output_tokens: 0, give_up: None, ..request };
                Some(HolderMessage::AdmissionRequest(request))
            }
            HolderMessage::ProgressReport(report) => match report.event {
                ProgressEvent::Pace { .. } => None,
                ProgressEvent::FirstOutput(_)
                | ProgressEvent::Ended(_)
                | ProgressEvent::EngineFull(_)
                | ProgressEvent::LongestPause { .. }
                | ProgressEvent::Running { .. } => Some(HolderMessage::ProgressReport(report)),
            },
        }
    }

    /// Returns whether only nodes that announced [`PACE_PROTOCOL`] understand the message.
    pub fn needs_pace_protocol(&self) -> bool {
        match self {
            HolderMessage::AdmissionRequest(request) => request.is_limited(),
            HolderMessage::ProgressReport(report) => {
                matches!(report.event, ProgressEvent::Pace { .. })
            }
        }
    }
}

/// Speed of an engine as its holder knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineModel {
    /// Id of the engine.
    pub upstream: Name,
    /// Start of the engine in milliseconds of Unix time.
    pub incarnation: u64,
    /// Time that work takes there outside slow periods, in percent of the usual time.
    pub base_percent: u32,
    /// Newest value that the engine reported, in percent of the usual time.
    pub newest_percent: u32,
    /// Age of that value.
    pub age: Duration,
}

/// Limit that an upstream names on the requests of all nodes together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestLimit {
    /// Id of the upstream.
    pub upstream: Name,
    /// Start of the upstream in milliseconds of Unix time.
    pub incarnation: u64,
    /// Limit; `None` if the upstream names none any more.
    pub rate: Option<RequestRate>,
}

/// Content of one datagram between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// State of a node.
    Heartbeat(Box<Heartbeat>),
    /// Adapter loads that a node asks for.
    AdapterRequests(Vec<AdapterRequest>),
    /// Messages to the holder of engines.
    HolderMessages {
        /// Node that sends them.
        node: Name,
        /// Messages.
        messages: Vec<HolderMessage>,
    },
    /// Changes of the store.
    Feed(Feed),
    /// Responses of the holder of engines.
    AdmissionResponses {
        /// Node that sends them.
        holder: Name,
        /// Responses.
        responses: Vec<AdmissionResponse>,
    },
    /// Crashes of engines.
    CrashReports(Vec<CrashReport>),
    /// Upstreams that leave.
    Departures(Vec<Departure>),
    /// Request for tokens of accounts.
    QuotaRequest(QuotaRequest),
    /// Grants of tokens of accounts.
    QuotaGrant(QuotaGrant),
    /// Configuration that a node has.
    ConfigNotice(ConfigNotice),
    /// Request for parts of a configuration.
    ConfigRequest(ConfigRequest),
    /// Part of a configuration.
    ConfigPart(ConfigPart),
    /// Speeds of engines.
    EngineModels(Vec<EngineModel>),
    /// Limits of upstreams.
    RequestLimits(Vec<RequestLimit>),
}
