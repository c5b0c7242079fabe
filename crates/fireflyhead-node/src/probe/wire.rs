//! Conversions between the messages of the schema and those of the membership.

use fireflyhead_core::membership::Message;
use fireflyhead_core::membership::MessageBody;
use fireflyhead_core::membership::Rumor;
use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_schema::messages as wire;

/// Node as sent on the wire.
pub(crate) fn node_to_wire(node: &NodeRef) -> wire::NodeRef {
    wire::NodeRef { id: node.id.to_string(), incarnation: node.incarnation }
}

/// Node of a message; `None` if its name is empty.
pub(crate) fn node_from_wire(node: wire::NodeRef) -> Option<NodeRef> {
    let wire::NodeRef { id, incarnation } = node;
    (!id.is_empty()).then(|| NodeRef { id: Name::from(id), incarnation })
}

/// Member as sent on the wire and written to the key-value service.
pub(crate) fn member_to_wire(member: &Member) -> wire::Member {
    let state = match member.state {
        MemberState::Alive => wire::MemberState::Alive,
        MemberState::Suspect => wire::MemberState::Suspect,
        MemberState::Leaving => wire::MemberState::Leaving,
        MemberState::Dead => wire::MemberState::Dead,
    };
    wire::Member {
        node: Some(node_to_wire(&member.node)),
        zone: member.zone.to_string(),
        caller_address: member.caller_address.to_string(),
        peer_address: member.peer_address.to_string(),
        state: state as i32,
    }
}

/// Member of a message; `None` if a part is missing or unknown.
pub(crate) fn member_from_wire(member: wire::Member) -> Option<Member> {
    let state = match wire::MemberState::try_from(member.state).ok()? {
        wire::MemberState::Alive => MemberState::Alive,
        wire::MemberState::Suspect => MemberState::Suspect,
        wire::MemberState::Leaving => MemberState::Leaving,
        wire::MemberState::Dead => MemberState::Dead,
    };
    Some(Member {
        node: node_from_wire(member.node?)?,
        zone: Name::from(member.zone),
        caller_address: Name::from(member.caller_address),
        peer_address: Name::from(member.peer_address),
        state,
    })
}

fn rumor_to_wire(rumor: &Rumor) -> wire::Rumor {
    let body = match &rumor.body {
        RumorBody::TableVersion(version) => wire::rumor::Body::TableVersion(*version),
        RumorBody::StoreReachable(reachable) => wire::rumor::Body::StoreReachable(*reachable),
        RumorBody::Advert { upstream, advert } => wire::rumor::Body::Advert(wire::UpstreamAdvert {
            upstream: upstream.to_string(),
            queue_delay_ms: advert.queue_delay_ms.to_vec(),
            in_flight: advert.in_flight,
            queued: advert.queued,
            load_delay_ms: advert.load_delay_ms,
            full: advert.full,
        }),
    };
    let from = Some(node_to_wire(&rumor.from));
    wire::Rumor { from, sequence: rumor.sequence, body: Some(body) }
}

fn rumor_from_wire(rumor: wire::Rumor) -> Option<Rumor> {
    let body = match rumor.body? {
        wire::rumor::Body::TableVersion(version) => RumorBody::TableVersion(version),
        wire::rumor::Body::StoreReachable(reachable) => RumorBody::StoreReachable(reachable),
        wire::rumor::Body::Advert(advert) => RumorBody::Advert {
            upstream: Name::from(advert.upstream),
            advert: UpstreamAdvert {
                queue_delay_ms: advert.queue_delay_ms.try_into().ok()?,
                in_flight: advert.in_flight,
                queued: advert.queued,
                load_delay_ms: advert.load_delay_ms,
                full: advert.full,
            },
        },
    };
    Some(Rumor { from: node_from_wire(rumor.from?)?, sequence: rumor.sequence, body })
}

/// Datagram of a message.
pub(crate) fn message_to_wire(
    from: &NodeRef,
    sequence: u64,
    message: &Message,
) -> wire::ProbeDatagram {
    let body = match &message.body {
        MessageBody::Probe { sequence } => {
            wire::probe_datagram::Body::Probe(wire::Probe { sequence: *sequence })
        }
        MessageBody::Ack { sequence, tick_ms } => {
            let (sequence, tick_ms) = (*sequence, *tick_ms);
            wire::probe_datagram::Body::Ack(wire::ProbeAck { sequence, tick_ms })
        }
        MessageBody::Indirect { sequence, target } => {
            let (sequence, target) = (*sequence, Some(node_to_wire(target)));
            wire::probe_datagram::Body::Indirect(wire::ProbeIndirect { sequence, target })
        }
    };
    wire::ProbeDatagram {
        from: Some(node_to_wire(from)),
        sequence,
        members: message.members.iter().map(member_to_wire).collect(),
        rumors: message.rumors.iter().map(rumor_to_wire).collect(),
        body: Some(body),
    }
}

/// Sender, sequence number and message of a datagram; `None` if a part is missing.
pub(crate) fn message_from_wire(datagram: wire::ProbeDatagram) -> Option<(NodeRef, u64, Message)> {
    let body = match datagram.body? {
        wire::probe_datagram::Body::Probe(probe) => MessageBody::Probe { sequence: probe.sequence },
        wire::probe_datagram::Body::Ack(ack) => {
            MessageBody::Ack { sequence: ack.sequence, tick_ms: ack.tick_ms }
        }
        wire::probe_datagram::Body::Indirect(indirect) => MessageBody::Indirect {
            sequence: indirect.sequence,
            target: node_from_wire(indirect.target?)?,
        },
    };
    let members = datagram.members.into_iter().map(member_from_wire).collect::<Option<_>>()?;
    let rumors = datagram.rumors.into_iter().map(rumor_from_wire).collect::<Option<_>>()?;
    let message = Message { body, members, rumors };
    Some((node_from_wire(datagram.from?)?, datagram.sequence, message))
}
