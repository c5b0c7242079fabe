//! Calls to the store: the node's membership and custody records.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::ownership::Claim;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use kameo::actor::ActorRef;
use tokio::time::sleep;

use crate::clock;
use crate::keeper::Keeper;
use crate::keeper::KeeperMsg;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::StoreClient;

/// Prefix of the members' keys.
pub(super) const MEMBERS: &str = "fireflyhead/members/";
/// Prefix of the custody records.
pub(super) const CUSTODY: &str = "fireflyhead/custody/";

/// Keeps the node's membership in the store.
pub async fn keep(shared: Arc<Shared>, store: Arc<StoreClient>, keeper: ActorRef<Keeper>) {
    let ttl = shared.settings.lease_ttl;
    let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(1_000));
    loop {
        let sent = clock::now();
        let lease = match store.call(&StoreCall::Grant { ttl }).await {
            Ok(StoreReply::Lease { lease, .. }) => lease,
            Ok(reply) => {
                tracing::debug!(event = "lease_not_granted", ?reply);
                sleep(backoff.wait()).await;
                continue;
            }
            Err(error) => {
                tracing::debug!(event = "lease_not_granted", %error);
                sleep(backoff.wait()).await;
                continue;
            }
        };
        backoff.reset();
        if !register(&shared, &store, lease, &mut backoff).await {
            continue;
        }
        tracing::info!(event = "lease_granted", lease);
        if keeper.tell(KeeperMsg::Lease { lease, sent }).await.is_err() {
            return;
        }
        renew(&store, lease, ttl, &keeper, &shared, &mut backoff).await;
        tracing::warn!(event = "lease_lost", lease);
        if keeper.tell(KeeperMsg::LeaseLost).await.is_err() {
            return;
        }
    }
}

/// Writes the member key; `false` if the lease has ended.
async fn register(shared: &Shared, store: &StoreClient, lease: u64, backoff: &mut Backoff) -> bool {
    let settings = &shared.settings;
    let key = Name::from(format!("{MEMBERS}{}", settings.node));
    let value = Bytes::from(settings.peer.to_string());
    let call = StoreCall::Transaction {
        conditions: Vec::new(),
        writes: vec![(key, value, lease)],
        removes: Vec::new(),
    };
    loop {
        match store.call(&call).await {
            Ok(StoreReply::Applied { .. }) => return true,
            Ok(StoreReply::NoLease) => return false,
            Ok(reply) => tracing::debug!(event = "not_registered", ?reply),
            Err(error) => tracing::debug!(event = "not_registered", %error),
        }
        sleep(backoff.wait()).await;
    }
}

/// Renews the lease until it has ended, and writes the member key again if it was taken away.
async fn renew(
    store: &StoreClient,
    lease: u64,
    ttl: Duration,
    keeper: &ActorRef<Keeper>,
    shared: &Shared,
    backoff: &mut Backoff,
) {
    loop {
        let sent = clock::now();
        match store.call(&StoreCall::Renew { lease }).await {
            Ok(StoreReply::Lease { .. }) => {
                backoff.reset();
                if keeper.tell(KeeperMsg::Lease { lease, sent }).await.is_err() {
                    return;
                }
                sleep(ttl / 4).await;
                let present = shared.members().contains_key(&shared.settings.node);
                if !present {
                    tracing::warn!(event = "member_key_missing", lease);
                    register(shared, store, lease, backoff).await;
                }
            }
            Ok(StoreReply::NoLease) => return,
            Ok(reply) => {
                tracing::debug!(event = "lease_not_renewed", ?reply);
                sleep(backoff.wait()).await;
            }
            Err(error) => {
                tracing::debug!(event = "lease_not_renewed", %error);
                sleep(backoff.wait()).await;
            }
        }
    }
}

/// Writes custody records and removes those of engines that are gone.
pub(super) async fn claim(
    store: Arc<StoreClient>,
    claims: Vec<Claim>,
    orphans: Vec<(Name, u64)>,
    keeper: ActorRef<Keeper>,
) {
    let key = |id: &Name| Name::from(format!("{CUSTODY}{id}"));
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
    let revision = match store.call(&call).await {
        Ok(StoreReply::Applied { revision }) => Some(revision),
        Ok(reply) => {
            tracing::info!(event = "custody_not_claimed", ?reply);
            None
        }
        // A claim that was carried out all the same is seen by the watch and claimed again.
        Err(error) => {
            tracing::warn!(event = "custody_not_claimed", %error);
            None
        }
    };
    let claims = if revision.is_some() { claims } else { Vec::new() };
    if keeper.tell(KeeperMsg::Claimed { claims, revision }).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}
