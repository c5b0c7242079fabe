//! Datagrams between nodes.
//!
//! A [`Heartbeat`] states a node's requests at plain upstreams, and of the engines that it gives
//! orders to the adapters and the load. A lost one costs only freshness. An [`AdmissionRequest`] requests a place at an engine from its holder.

pub mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::dispatch::Job;
use crate::dispatch::JobId;
use crate::protocol::ModelRef;
use crate::readers::Feed;

/// State of a node towards callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// Has no configuration yet.
    Starting,
    /// Takes callers.
    Ready,
    /// Stops and takes no new callers.
    Leaving,
}

/// Load of one upstream: at a plain upstream that of the sender, at an engine that of all nodes
/// as its holder counts it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Upstream.
    pub upstream: Name,
    /// Whether the figures count the requests of all nodes.
    pub all_nodes: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens that an engine has still to read.
    pub pending_prompt_tokens: u32,
    /// Prompt tokens of the requests that wait for an engine.
    pub queued_prompt_tokens: u32,
    /// Streams that paused for longer than their objective, in thousandths of an engine's
    /// recent streams.
    pub late_streams_permille: u32,
    /// Adapter slots of an engine that another adapter can take now.
    pub available_adapter_slots: u32,
    /// Adapters in use, with the number of their requests.
    pub adapters: Vec<(Name, u32)>,
}

/// Adapter in an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedAdapter {
    /// Adapter.
    pub adapter: Name,
    /// Version.
    pub version: u64,
    /// Whether requests may be sent.
    pub ready: bool,
}

/// Adapters of one engine, stated by the node that gives it orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Engine.
    pub upstream: Name,
    /// Base model that it holds.
    pub model: Name,
    /// Start of the engine in milliseconds of Unix time.
    pub incarnation: u64,
    /// Fencing number of the custody; a placement with a lower one is stale.
    pub fencing_token: u64,
    /// Whether the node may give orders now.
    pub holder_active: bool,
    /// Adapters.
    pub adapters: Vec<PlacedAdapter>,
}

/// State of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Node.
    pub node: Name,
    /// Start of its process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Number of the beat.
    pub seq: u64,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// State towards callers.
    pub state: NodeState,
    /// Capacity of the host relative to the others, as its processor share in thousandths.
    pub capacity: u32,
    /// Adapter loads under way that this node ordered.
    pub adapter_loads_in_progress: u32,
    /// Load of the plain upstreams that the node uses and of the engines in its custody.
    pub upstream_loads: Vec<UpstreamLoad>,
    /// Adapters of the engines in this node's custody; `None` if they are those of the beat
    /// before, in which case the loads name no adapters either.
    pub placements: Option<Vec<Placement>>,
}

/// Request to the node that gives orders to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterRequest {
    /// Node that asks.
    pub node: Name,
    /// Engine.
    pub upstream: Name,
    /// Base model.
    pub model: Name,
    /// Adapter.
    pub adapter: Name,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Rank of the most urgent of them.
    pub priority: u8,
    /// Whether the engine was not asked before; not sent to other nodes.
    pub is_first: bool,
}

/// Question for a place at an engine. Times are spans, because the clocks of hosts differ.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Engine.
    pub upstream: Name,
    /// Number of the request at the node that asks.
    pub job: JobId,
    /// Route.
    pub route: Name,
    /// Weight among the routes of its rank, above 0.
    pub weight: f64,
    /// Share of the engine's requests that the route is served with before more urgent work.
    pub floor: f64,
    /// Base model.
    pub model: Name,
    /// Adapter.
    pub adapter: Option<Name>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Time since the arrival of the request at the node.
    pub waited: Duration,
    /// Time from the arrival up to which the response is on time.
    pub objective: Duration,
    /// Time from the arrival at which the caller leaves if there is no output.
    pub first_output_deadline: Duration,
    /// Time from the arrival after which nobody waits for the response.
    pub deadline: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

impl AdmissionRequest {
    /// Question for `job` at `upstream`.
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
        }
    }

    /// The request as the holder keeps it, under its own number.
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
            output_tokens: 0,
            tried: Vec::new(),
        }
    }
}

/// Decision of the holder of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request may be sent.
    Granted,
    /// The request waits at the holder.
    Queued,
    /// The request would wait for too long.
    Denied {
        /// Time after which a place is likely.
        retry_after: Duration,
    },
    /// The node has no custody of the engine.
    NotHolder,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionResponse {
    /// Number of the request at the node that asked.
    pub job: JobId,
    /// Decision.
    pub decision: AdmissionDecision,
    /// Load of the engine, without adapters.
    pub load: UpstreamLoad,
}

/// What became of a request at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProgressEvent {
    /// Its first output came.
    FirstOutput(JobId),
    /// It ended, or is not wanted any more.
    Ended(JobId),
    /// The engine had no place for it.
    EngineFull(JobId),
    /// A stream ended.
    LongestPause {
        /// Its longest pause, in thousandths of its objective.
        permille: u32,
    },
    /// It was admitted by an earlier holder, or by none.
    Running {
        /// Number of the request at the node.
        job: JobId,
        /// Adapter.
        adapter: Option<Name>,
        /// Time to its deadline.
        time_left: Duration,
    },
}

/// Message to the holder of an engine about a request there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgressReport {
    /// Engine.
    pub upstream: Name,
    /// Event.
    pub event: ProgressEvent,
}

/// Message to the holder of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderMessage {
    /// Question for a place.
    AdmissionRequest(AdmissionRequest),
    /// What became of a request.
    ProgressReport(ProgressReport),
}

/// Datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// State of a node.
    Heartbeat(Box<Heartbeat>),
    /// Adapters that a node needs.
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
    /// Answers of the holder of engines.
    AdmissionResponses {
        /// Node that sends them.
        holder: Name,
        /// Answers.
        responses: Vec<AdmissionResponse>,
    },
}
