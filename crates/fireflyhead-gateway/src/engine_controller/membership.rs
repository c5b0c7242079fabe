//! Writes the node's membership entry and ownership records to the store.
//!
//! The membership entry is bound to a lease, so that it disappears when the node fails.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::message::PROTOCOL_VERSION;
use fireflyhead_policy::ownership::Claim;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use crate::clock;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
use crate::protocol_versions::Announcement;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::StoreClient;
use crate::store::StoreResponse;

/// Key prefix of the nodes' membership entries.
pub(super) const MEMBER_PREFIX: &str = "fireflyhead/members/";
/// Key prefix of the ownership records.
pub(super) const OWNERSHIP_PREFIX: &str = "fireflyhead/custody/";
/// Key prefix of the protocol versions that nodes announce. Builds before version 2 ignore it.
pub(super) const PROTOCOL_PREFIX: &str = "fireflyhead/protocol/";

/// Lease of the node. Its id may be given out to another node in a later era of the store.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    era: Era,
}

/// Obtains a lease, writes the membership entry and renews the lease, and starts over when the
/// lease is lost. Ends when the controller stops.
pub async fn maintain(
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    controller: ActorRef<EngineController>,
) {
    let ttl = shared.settings.lease_ttl;
    let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(1_000));
    let mut eras = store.subscribe();
    loop {
        let sent = clock::now();
        let lease = match store.call(&StoreCall::Grant { ttl }).await {
            Ok(StoreResponse { era, reply: StoreReply::Lease { lease: id, .. }, .. }) => {
                Lease { id, era }
            }
            Ok(StoreResponse { reply, .. }) => {
                tracing::debug!(event = "lease_not_granted", ?reply);
                sleep(backoff.next_delay()).await;
                continue;
            }
            Err(error) => {
                tracing::debug!(event = "lease_not_granted", %error);
                sleep(backoff.next_delay()).await;
                continue;
            }
        };
        backoff.reset();
        if !write_membership_entry(&shared, &store, lease, &mut backoff).await {
            continue;
        }
        let Lease { id, era } = lease;
        tracing::info!(event = "lease_granted", lease = id, %era);
        if controller.tell(ControllerMsg::LeaseRenewed { lease: id, era, sent }).await.is_err() {
            return;
        }
        tokio::select! {
            () = renew_until_lost(&store, lease, ttl, &controller, &shared, &mut backoff) => {}
            // Can't fail: the sender lives as long as `store`.
            _ = eras.wait_for(|newest| *newest > era) => {}
        }
        tracing::warn!(event = "lease_lost", lease = id, %era);
        if controller.tell(ControllerMsg::LeaseLost { era: store.era() }).await.is_err() {
            return;
        }
    }
}

/// Writes the membership entry and the protocol version, retrying until that succeeds; `false` if
/// the lease has expired or the store was restored.
async fn write_membership_entry(
    shared: &Shared,
    store: &StoreClient,
    lease: Lease,
    backoff: &mut Backoff,
) -> bool {
    let settings = &shared.settings;
    let key = Name::from(format!("{MEMBER_PREFIX}{}", settings.node));
    let value = Bytes::from(settings.peer.to_string());
    let protocol_key = Name::from(format!("{PROTOCOL_PREFIX}{}", settings.node));
    let protocol =
        Announcement { version: PROTOCOL_VERSION, incarnation: shared.incarnation }.encode();
    let call = StoreCall::Transaction {
        conditions: Vec::new(),
        writes: vec![(key, value, lease.id), (protocol_key, Bytes::from(protocol), lease.id)],
        removes: Vec::new(),
    };
    while store.era() == lease.era {
        match store.call_in(lease.era, &call).await {
            Ok(StoreReply::Applied { .. }) => return true,
            Ok(StoreReply::NoLease) => return false,
            Ok(reply) => tracing::debug!(event = "not_registered", ?reply),
            Err(error) => tracing::debug!(event = "not_registered", %error),
        }
        sleep(backoff.next_delay()).await;
    }
    false
}

/// Renews the lease until it has expired or the controller stops. Writes the membership entry again
/// if the store no longer lists it.
async fn renew_until_lost(
    store: &StoreClient,
    lease: Lease,
    ttl: Duration,
    controller: &ActorRef<EngineController>,
    shared: &Shared,
    backoff: &mut Backoff,
) {
    loop {
        let sent = clock::now();
        match store.call_in(lease.era, &StoreCall::Renew { lease: lease.id }).await {
            Ok(StoreReply::Lease { .. }) => {
                backoff.reset();
                shared.record_store_reply(clock::now());
                let Lease { id, era } = lease;
                let renewed = ControllerMsg::LeaseRenewed { lease: id, era, sent };
                if controller.tell(renewed).await.is_err() {
                    return;
                }
                sleep(ttl / 4).await;
                let present = shared.members().contains_key(&shared.settings.node);
                if !present {
                    tracing::warn!(event = "member_key_missing", lease = lease.id);
                    write_membership_entry(shared, store, lease, backoff).await;
                }
            }
            Ok(StoreReply::NoLease) => return,
            Ok(reply) => {
                tracing::debug!(event = "lease_not_renewed", ?reply);
                sleep(backoff.next_delay()).await;
            }
            Err(error) => {
                tracing::debug!(event = "lease_not_renewed", %error);
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Writes claimed ownership records and removes orphaned ones in one transaction, whose revisions are
/// those of `era`.
pub(super) async fn write_claims(
    store: Arc<StoreClient>,
    claims: Vec<Claim>,
    orphans: Vec<(Name, u64)>,
    era: Era,
    controller: ActorRef<EngineController>,
) {
    let key = |id: &Name| Name::from(format!("{OWNERSHIP_PREFIX}{id}"));
    let call = StoreCall::Transaction {
        conditions: claims
            .iter()
            .map(|claim| (key(&claim.upstream), claim.expected_revision))
            .chain(orphans.iter().map(|(id, revision)| (key(id), *revision)))
            .collect(),
        writes: claims
            .iter()
            .map(|claim| (key(&claim.upstream), Bytes::from(claim.record.encode()), 0))
            .collect(),
        removes: orphans.iter().map(|(id, _)| key(id)).collect(),
    };
    let revision = match store.call_in(era, &call).await {
        Ok(StoreReply::Applied { revision }) => Some(revision),
        Ok(reply) => {
            tracing::info!(event = "custody_not_claimed", ?reply);
            None
        }
        // The transaction may have been applied all the same. The watch then shows the record, and
        // the node claims the engine again.
        Err(error) => {
            tracing::warn!(event = "custody_not_claimed", %error);
            None
        }
    };
    let claims = if revision.is_some() { claims } else { Vec::new() };
    if controller.tell(ControllerMsg::ClaimsWritten { claims, revision, era }).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}
