//! Datagrams between nodes.
//!
//! A [`Beat`] states what a node has in flight and which adapters the engines hold that it
//! gives orders to. Each beat is complete by itself, so a lost one costs only freshness.

pub mod wire;

use std::net::SocketAddr;

use crate::Name;

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

/// Load that a node has on one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Upstream.
    pub upstream: Name,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of the requests that have no output yet.
    pub pending_tokens: u32,
    /// Adapters in use, with the number of their requests.
    pub adapters: Vec<(Name, u32)>,
}

/// Adapter in an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
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
    pub born: u64,
    /// Fencing number of the custody; a placement with a lower one is stale.
    pub fence: u64,
    /// Whether the node may give orders now.
    pub open: bool,
    /// Adapters.
    pub adapters: Vec<Placed>,
}

/// State of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Beat {
    /// Node.
    pub node: Name,
    /// Start of its process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Number of the beat.
    pub seq: u64,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// State towards callers.
    pub state: NodeState,
    /// Capacity of the host relative to the others, as its processor share in thousandths.
    pub capacity: u32,
    /// Adapter loads under way that this node ordered.
    pub loading: u32,
    /// Load by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// Adapters of the engines in this node's custody.
    pub placements: Vec<Placement>,
}

/// Request to the node that gives orders to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Want {
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
    pub first: bool,
}

/// Datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Datagram {
    /// State of a node.
    Beat(Box<Beat>),
    /// Adapters that a node needs.
    Wants(Vec<Want>),
}
