//! Conversion of the messages about quotas.

use std::time::Duration;

use fireflyhead_schema::messages as wire;

use crate::Name;
use crate::quota::GrantedTokens;
use crate::quota::QuotaDemand;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::quota::Slot;

use super::WireError;

fn slot(number: u32) -> Result<Slot, WireError> {
    Slot::new(number).ok_or(WireError::Slot(number))
}

impl From<&QuotaRequest> for wire::QuotaRequest {
    fn from(request: &QuotaRequest) -> wire::QuotaRequest {
        let demand = |demand: &QuotaDemand| wire::QuotaDemand {
            account: demand.account.to_string(),
            waiting: demand.waiting.clone(),
            expected: demand.expected,
        };
        wire::QuotaRequest {
            node: request.node.to_string(),
            incarnation: request.incarnation,
            seq: request.seq,
            slot: request.slot.number(),
            demands: request.demands.iter().map(demand).collect(),
        }
    }
}

impl TryFrom<wire::QuotaRequest> for QuotaRequest {
    type Error = WireError;

    fn try_from(request: wire::QuotaRequest) -> Result<QuotaRequest, WireError> {
        let demand = |demand: wire::QuotaDemand| QuotaDemand {
            account: Name::from(demand.account),
            waiting: demand.waiting,
            expected: demand.expected,
        };
        Ok(QuotaRequest {
            node: Name::from(request.node),
            incarnation: request.incarnation,
            seq: request.seq,
            slot: slot(request.slot)?,
            demands: request.demands.into_iter().map(demand).collect(),
        })
    }
}

impl From<&QuotaGrant> for wire::QuotaGrant {
    fn from(grant: &QuotaGrant) -> wire::QuotaGrant {
        let granted = |granted: &GrantedTokens| wire::GrantedTokens {
            tokens: granted.tokens,
            retry_after_us: u64::try_from(granted.retry_after.as_micros()).unwrap_or(u64::MAX),
        };
        wire::QuotaGrant {
            seq: grant.seq,
            slot: grant.slot.number(),
            grants: grant.grants.iter().map(granted).collect(),
        }
    }
}

impl TryFrom<wire::QuotaGrant> for QuotaGrant {
    type Error = WireError;

    fn try_from(grant: wire::QuotaGrant) -> Result<QuotaGrant, WireError> {
        let granted = |granted: wire::GrantedTokens| GrantedTokens {
            tokens: granted.tokens,
            retry_after: Duration::from_micros(granted.retry_after_us),
        };
        Ok(QuotaGrant {
            seq: grant.seq,
            slot: slot(grant.slot)?,
            grants: grant.grants.into_iter().map(granted).collect(),
        })
    }
}
