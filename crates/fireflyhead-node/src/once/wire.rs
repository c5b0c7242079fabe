//! Outcomes as they travel between home and witness.

use bytes::Bytes;
use fireflyhead_core::once::OnceReply;
use fireflyhead_core::once::PlacementToken;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::once::StoredOutcome;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Outcome;
use fireflyhead_core::wire::WireError;
use fireflyhead_core::wire::required;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Header;
use fireflyhead_schema::messages::LookupAnswer;

/// Message that replicates an outcome.
pub(crate) fn outcome_to_wire(id: &RequestId, outcome: &StoredOutcome) -> messages::StoredOutcome {
    let header =
        |(name, value): &(Name, Bytes)| Header { name: name.to_string(), value: value.clone() };
    messages::StoredOutcome {
        request_id: id.to_string(),
        outcome: messages::Outcome::from(outcome.outcome).into(),
        status: outcome.status.into(),
        headers: outcome.headers.iter().map(header).collect(),
        body: outcome.body.clone(),
    }
}

/// Outcome of a message from another node.
pub(crate) fn outcome_from_wire(wire: messages::StoredOutcome) -> Result<StoredOutcome, WireError> {
    let status = u16::try_from(wire.status).map_err(|_| WireError::Invalid("status"))?;
    let headers = wire.headers.into_iter().map(|header| (Name::from(header.name), header.value));
    let outcome =
        messages::Outcome::try_from(wire.outcome).map_err(|_| WireError::Invalid("outcome"))?;
    Ok(StoredOutcome {
        outcome: Outcome::try_from(outcome)?,
        status,
        headers: headers.collect(),
        body: wire.body,
    })
}

/// Answer of a witness to a lookup.
pub(crate) fn reply_to_wire(id: &RequestId, reply: &OnceReply) -> LookupAnswer {
    let outcome = match reply {
        OnceReply::Stored(outcome) => outcome.clone(),
        OnceReply::NotRun => StoredOutcome::bare(Outcome::NotRun),
        OnceReply::Joined | OnceReply::Unknown | OnceReply::Expired => {
            StoredOutcome::bare(Outcome::OutcomeUnknown)
        }
    };
    let running = *reply == OnceReply::Joined;
    LookupAnswer { outcome: Some(outcome_to_wire(id, &outcome)), running }
}

/// Reply for a caller by a witness's answer; a malformed one leaves the outcome unknown.
pub(crate) fn reply_from_wire(wire: messages::StoredOutcome) -> OnceReply {
    match outcome_from_wire(wire) {
        Ok(outcome) => OnceReply::Stored(outcome),
        Err(_) => OnceReply::Unknown,
    }
}

/// Token as it travels to another node.
pub(crate) fn token_to_wire(token: &PlacementToken) -> messages::PlacementToken {
    messages::PlacementToken {
        home: Some(messages::NodeRef::from(&token.home)),
        witness: token.witness.as_ref().map(messages::NodeRef::from),
        home_tick_ms: token.home_tick_ms,
        witness_tick_ms: token.witness_tick_ms,
        mac: Bytes::copy_from_slice(&token.mac),
    }
}

/// Token of a message from another node.
pub(crate) fn token_from_wire(wire: messages::PlacementToken) -> Result<PlacementToken, WireError> {
    Ok(PlacementToken {
        home: NodeRef::try_from(required(wire.home, "token.home")?)?,
        witness: wire.witness.map(NodeRef::try_from).transpose()?,
        home_tick_ms: wire.home_tick_ms,
        witness_tick_ms: wire.witness_tick_ms,
        mac: wire.mac.to_vec(),
    })
}
