//! Messages as they travel between nodes.

use std::net::SocketAddr;

use fireflyhead_schema::messages as wire;

use crate::Name;
use crate::message::Beat;
use crate::message::Datagram;
use crate::message::NodeState;
use crate::message::Placed;
use crate::message::Placement;
use crate::message::UpstreamLoad;
use crate::message::Want;

/// Reason for which a message is not understood.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum WireError {
    /// the datagram is empty
    Empty,
    /// `{0}` is not an address
    Address(String),
    /// {0} is not a state of a node
    State(i32),
}

impl std::error::Error for WireError {}

impl From<&Datagram> for wire::Datagram {
    fn from(datagram: &Datagram) -> wire::Datagram {
        let body = match datagram {
            Datagram::Beat(beat) => wire::datagram::Body::Beat(beat.as_ref().into()),
            Datagram::Wants(wants) => {
                let wants = wants.iter().map(wire::Want::from).collect();
                wire::datagram::Body::Wants(wire::Wants { wants })
            }
        };
        wire::Datagram { body: Some(body) }
    }
}

impl TryFrom<wire::Datagram> for Datagram {
    type Error = WireError;

    fn try_from(datagram: wire::Datagram) -> Result<Datagram, WireError> {
        match datagram.body {
            Some(wire::datagram::Body::Beat(beat)) => {
                Ok(Datagram::Beat(Box::new(beat.try_into()?)))
            }
            Some(wire::datagram::Body::Wants(wants)) => {
                Ok(Datagram::Wants(wants.wants.into_iter().map(Want::from).collect()))
            }
            None => Err(WireError::Empty),
        }
    }
}

impl From<&Beat> for wire::Beat {
    fn from(beat: &Beat) -> wire::Beat {
        wire::Beat {
            node: beat.node.to_string(),
            incarnation: beat.incarnation,
            seq: beat.seq,
            zone: beat.zone.to_string(),
            caller: beat.caller.to_string(),
            peer: beat.peer.to_string(),
            state: wire::NodeState::from(beat.state).into(),
            capacity: beat.capacity,
            loading: beat.loading,
            loads: beat.loads.iter().map(wire::UpstreamLoad::from).collect(),
            placements: beat.placements.iter().map(wire::Placement::from).collect(),
        }
    }
}

impl TryFrom<wire::Beat> for Beat {
    type Error = WireError;

    fn try_from(beat: wire::Beat) -> Result<Beat, WireError> {
        let state = wire::NodeState::try_from(beat.state);
        let state = state.map_err(|_| WireError::State(beat.state))?;
        Ok(Beat {
            node: Name::from(beat.node),
            incarnation: beat.incarnation,
            seq: beat.seq,
            zone: Name::from(beat.zone),
            caller: address(beat.caller)?,
            peer: address(beat.peer)?,
            state: state.try_into()?,
            capacity: beat.capacity,
            loading: beat.loading,
            loads: beat.loads.into_iter().map(UpstreamLoad::from).collect(),
            placements: beat.placements.into_iter().map(Placement::from).collect(),
        })
    }
}

fn address(text: String) -> Result<SocketAddr, WireError> {
    text.parse().map_err(|_| WireError::Address(text))
}

impl From<NodeState> for wire::NodeState {
    fn from(state: NodeState) -> wire::NodeState {
        match state {
            NodeState::Starting => wire::NodeState::Starting,
            NodeState::Ready => wire::NodeState::Ready,
            NodeState::Leaving => wire::NodeState::Leaving,
        }
    }
}

impl TryFrom<wire::NodeState> for NodeState {
    type Error = WireError;

    fn try_from(state: wire::NodeState) -> Result<NodeState, WireError> {
        match state {
            wire::NodeState::Starting => Ok(NodeState::Starting),
            wire::NodeState::Ready => Ok(NodeState::Ready),
            wire::NodeState::Leaving => Ok(NodeState::Leaving),
            wire::NodeState::Unspecified => Err(WireError::State(state.into())),
        }
    }
}

impl From<&UpstreamLoad> for wire::UpstreamLoad {
    fn from(load: &UpstreamLoad) -> wire::UpstreamLoad {
        let usage = |(adapter, requests): &(Name, u32)| wire::AdapterUse {
            adapter: adapter.to_string(),
            requests: *requests,
        };
        wire::UpstreamLoad {
            upstream: load.upstream.to_string(),
            in_flight: load.in_flight,
            pending_tokens: load.pending_tokens,
            adapters: load.adapters.iter().map(usage).collect(),
        }
    }
}

impl From<wire::UpstreamLoad> for UpstreamLoad {
    fn from(load: wire::UpstreamLoad) -> UpstreamLoad {
        let usage = |usage: wire::AdapterUse| (Name::from(usage.adapter), usage.requests);
        UpstreamLoad {
            upstream: Name::from(load.upstream),
            in_flight: load.in_flight,
            pending_tokens: load.pending_tokens,
            adapters: load.adapters.into_iter().map(usage).collect(),
        }
    }
}

impl From<&Placement> for wire::Placement {
    fn from(placement: &Placement) -> wire::Placement {
        let placed = |placed: &Placed| wire::Placed {
            adapter: placed.adapter.to_string(),
            version: placed.version,
            ready: placed.ready,
        };
        wire::Placement {
            upstream: placement.upstream.to_string(),
            model: placement.model.to_string(),
            born: placement.born,
            fence: placement.fence,
            open: placement.open,
            adapters: placement.adapters.iter().map(placed).collect(),
        }
    }
}

impl From<wire::Placement> for Placement {
    fn from(placement: wire::Placement) -> Placement {
        let placed = |placed: wire::Placed| Placed {
            adapter: Name::from(placed.adapter),
            version: placed.version,
            ready: placed.ready,
        };
        Placement {
            upstream: Name::from(placement.upstream),
            model: Name::from(placement.model),
            born: placement.born,
            fence: placement.fence,
            open: placement.open,
            adapters: placement.adapters.into_iter().map(placed).collect(),
        }
    }
}

impl From<&Want> for wire::Want {
    fn from(want: &Want) -> wire::Want {
        wire::Want {
            node: want.node.to_string(),
            upstream: want.upstream.to_string(),
            model: want.model.to_string(),
            adapter: want.adapter.to_string(),
            waiting: want.waiting,
            priority: u32::from(want.priority),
        }
    }
}

impl From<wire::Want> for Want {
    fn from(want: wire::Want) -> Want {
        Want {
            node: Name::from(want.node),
            upstream: Name::from(want.upstream),
            model: Name::from(want.model),
            adapter: Name::from(want.adapter),
            waiting: want.waiting,
            priority: u8::try_from(want.priority).unwrap_or(u8::MAX),
            first: false,
        }
    }
}
