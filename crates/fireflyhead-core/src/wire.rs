//! Conversions between the wire types of the schema and the domain types.
//!
//! Values from another node are checked here, so that the state machines see
//! only well-formed ones.

use fireflyhead_schema::messages;

use crate::types::AdapterKey;
use crate::types::Member;
use crate::types::MemberState;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Outcome;
use crate::types::OwnerRecord;
use crate::types::Rank;
use crate::types::UpstreamAdvert;

#[cfg(test)]
mod tests;

/// Reason for which a message of another node is malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum WireError {
    /// the field `{0}` is missing
    Missing(&'static str),
    /// the field `{0}` has an unknown or invalid value
    Invalid(&'static str),
}

impl std::error::Error for WireError {}

/// `value`, or an error that names the missing `field`.
///
/// # Errors
/// A missing field.
pub fn required<T>(value: Option<T>, field: &'static str) -> Result<T, WireError> {
    value.ok_or(WireError::Missing(field))
}

fn name(text: String, field: &'static str) -> Result<Name, WireError> {
    if text.is_empty() { Err(WireError::Missing(field)) } else { Ok(Name::from(text)) }
}

impl From<&AdapterKey> for messages::AdapterKey {
    fn from(key: &AdapterKey) -> messages::AdapterKey {
        messages::AdapterKey { name: key.name.to_string(), version: key.version.to_string() }
    }
}

impl TryFrom<messages::AdapterKey> for AdapterKey {
    type Error = WireError;

    fn try_from(wire: messages::AdapterKey) -> Result<AdapterKey, WireError> {
        Ok(AdapterKey {
            name: name(wire.name, "adapter.name")?,
            version: name(wire.version, "adapter.version")?,
        })
    }
}

impl From<&NodeRef> for messages::NodeRef {
    fn from(node: &NodeRef) -> messages::NodeRef {
        messages::NodeRef { id: node.id.to_string(), incarnation: node.incarnation }
    }
}

impl TryFrom<messages::NodeRef> for NodeRef {
    type Error = WireError;

    fn try_from(wire: messages::NodeRef) -> Result<NodeRef, WireError> {
        Ok(NodeRef { id: name(wire.id, "node.id")?, incarnation: wire.incarnation })
    }
}

impl From<MemberState> for messages::MemberState {
    fn from(state: MemberState) -> messages::MemberState {
        match state {
            MemberState::Alive => messages::MemberState::Alive,
            MemberState::Suspect => messages::MemberState::Suspect,
            MemberState::Leaving => messages::MemberState::Leaving,
            MemberState::Dead => messages::MemberState::Dead,
        }
    }
}

impl From<messages::MemberState> for MemberState {
    fn from(wire: messages::MemberState) -> MemberState {
        match wire {
            messages::MemberState::Alive => MemberState::Alive,
            messages::MemberState::Suspect => MemberState::Suspect,
            messages::MemberState::Leaving => MemberState::Leaving,
            messages::MemberState::Dead => MemberState::Dead,
        }
    }
}

impl From<&Member> for messages::Member {
    fn from(member: &Member) -> messages::Member {
        messages::Member {
            node: Some((&member.node).into()),
            zone: member.zone.to_string(),
            caller_address: member.caller_address.to_string(),
            peer_address: member.peer_address.to_string(),
            state: messages::MemberState::from(member.state).into(),
        }
    }
}

impl TryFrom<messages::Member> for Member {
    type Error = WireError;

    fn try_from(wire: messages::Member) -> Result<Member, WireError> {
        let state = messages::MemberState::try_from(wire.state)
            .map_err(|_| WireError::Invalid("member.state"))?;
        Ok(Member {
            node: required(wire.node, "member.node")?.try_into()?,
            zone: Name::from(wire.zone),
            caller_address: Name::from(wire.caller_address),
            peer_address: name(wire.peer_address, "member.peer_address")?,
            state: state.into(),
        })
    }
}

impl From<&OwnerRecord> for messages::OwnerRecord {
    fn from(record: &OwnerRecord) -> messages::OwnerRecord {
        messages::OwnerRecord {
            owner: Some((&record.owner).into()),
            fencing: record.fencing,
            operation: record.operation.to_string(),
        }
    }
}

impl TryFrom<messages::OwnerRecord> for OwnerRecord {
    type Error = WireError;

    fn try_from(wire: messages::OwnerRecord) -> Result<OwnerRecord, WireError> {
        Ok(OwnerRecord {
            owner: required(wire.owner, "owner")?.try_into()?,
            fencing: wire.fencing,
            operation: name(wire.operation, "operation")?,
        })
    }
}

/// Load figures together with the upstream that they belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedAdvert {
    /// Name of the upstream.
    pub upstream: Name,
    /// Its load figures.
    pub advert: UpstreamAdvert,
}

impl From<&NamedAdvert> for messages::UpstreamAdvert {
    fn from(named: &NamedAdvert) -> messages::UpstreamAdvert {
        let advert = &named.advert;
        messages::UpstreamAdvert {
            upstream: named.upstream.to_string(),
            queue_delay_ms: advert.queue_delay_ms.to_vec(),
            in_flight: advert.in_flight,
            queued: advert.queued,
            load_delay_ms: advert.load_delay_ms,
            full: advert.full,
        }
    }
}

impl TryFrom<messages::UpstreamAdvert> for NamedAdvert {
    type Error = WireError;

    fn try_from(wire: messages::UpstreamAdvert) -> Result<NamedAdvert, WireError> {
        let queue_delay_ms = wire
            .queue_delay_ms
            .try_into()
            .map_err(|_| WireError::Invalid("advert.queue_delay_ms"))?;
        let advert = UpstreamAdvert {
            queue_delay_ms,
            in_flight: wire.in_flight,
            queued: wire.queued,
            load_delay_ms: wire.load_delay_ms,
            full: wire.full,
        };
        Ok(NamedAdvert { upstream: name(wire.upstream, "advert.upstream")?, advert })
    }
}

impl From<Outcome> for messages::Outcome {
    fn from(outcome: Outcome) -> messages::Outcome {
        match outcome {
            Outcome::Answered => messages::Outcome::Answered,
            Outcome::NotRun => messages::Outcome::NotRun,
            Outcome::OutcomeUnknown => messages::Outcome::Unknown,
        }
    }
}

impl TryFrom<messages::Outcome> for Outcome {
    type Error = WireError;

    fn try_from(wire: messages::Outcome) -> Result<Outcome, WireError> {
        match wire {
            messages::Outcome::Answered => Ok(Outcome::Answered),
            messages::Outcome::NotRun => Ok(Outcome::NotRun),
            messages::Outcome::Unknown => Ok(Outcome::OutcomeUnknown),
            messages::Outcome::Unspecified => Err(WireError::Missing("outcome")),
        }
    }
}

/// Rank with the index that a message carries.
///
/// # Errors
/// An index without a rank.
pub fn rank_from_wire(index: u32) -> Result<Rank, WireError> {
    let index = usize::try_from(index).map_err(|_| WireError::Invalid("rank"))?;
    Rank::ALL.get(index).copied().ok_or(WireError::Invalid("rank"))
}
