//! Claims quota slots in the store and keeps their lease.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::message::ACCOUNT_PROTOCOL;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use fireflyhead_policy::quota::Slot;
use fireflyhead_policy::quota::slots::QUOTA_LEASE_TTL;
use fireflyhead_policy::quota::slots::QUOTA_RENEWAL_INTERVAL;
use fireflyhead_policy::quota::slots::SlotCandidate;
use fireflyhead_policy::quota::slots::SlotClaim;
use tokio::time::sleep;

use crate::clock;
use crate::lifecycle::Phase;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store::StoreResponse;

use super::SLOT_PREFIX;

/// Interval of the checks for slots to be claimed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest and longest wait after a failed call.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Lease that keys without a lease have.
const NO_LEASE: u64 = 0;

/// Claims slots and renews their lease until the process stops. Makes no call to the store while no
/// account has a quota.
pub async fn hold(shared: Arc<Shared>, store: Arc<StoreClient>) {
    if shared.settings.quota.is_none() {
        return;
    }
    let mut eras = store.subscribe();
    let mut holder = Holder {
        shared: Arc::clone(&shared),
        store,
        renewed_at: None,
        backoff: Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1),
    };
    let step = async {
        loop {
            let pause = holder.step().await;
            sleep(pause).await;
        }
    };
    let follow_eras = async {
        // Can't fail: the sender lives as long as the client in `holder`.
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            enter_era(&shared, era);
        }
    };
    tokio::select! {
        () = step => {}
        () = follow_eras => {}
        () = shared.lifecycle.reached(Phase::Draining) => {}
    }
    holder.release().await;
}

/// Makes this node stop to grant if the store is in a later era.
fn enter_era(shared: &Shared, era: Era) {
    let Some(mut state) = shared.quota.lock() else { return };
    state.node.slots.enter_era(clock::now(), era);
    state.update_owners(shared);
}

struct Holder {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    /// Time at which the last successful renewal was sent.
    renewed_at: Option<Time>,
    backoff: Backoff,
}

impl Holder {
    /// Makes the calls to the store that are due. Returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let now = clock::now();
        let (era, lease, claims, owns_any, needed) = {
            let candidates = candidates(&self.shared, now);
            let Some(mut state) = self.shared.quota.lock() else { return CHECK_INTERVAL };
            let era = self.store.era();
            state.node.slots.enter_era(now, era);
            let claims = state.node.slots.claims(now, &candidates);
            let owns_any = Slot::all().any(|slot| state.node.slots.owns(slot));
            (era, state.node.slots.lease(), claims, owns_any, state.node.slots.is_needed())
        };
        let is_due = self.renewed_at.is_none_or(|at| now.since(at) >= QUOTA_RENEWAL_INTERVAL);
        let result = match lease {
            None if claims.is_empty() => Ok(()),
            None => match self.obtain_lease().await {
                Ok(()) => return Duration::ZERO,
                Err(error) => Err(error),
            },
            // Without quotas the lease runs out, and with it the ownership.
            Some(lease) if is_due && needed && (owns_any || !claims.is_empty()) => {
                self.renew(era, lease).await
            }
            Some(lease) => self.claim(era, lease, claims).await,
        };
        match result {
            Ok(()) => {
                self.backoff.reset();
                CHECK_INTERVAL
            }
            Err(error) => {
                tracing::debug!(event = "quota_store_call_failed", error);
                self.backoff.next_delay()
            }
        }
    }

    async fn obtain_lease(&mut self) -> Result<(), String> {
        let sent = clock::now();
        match self.store.call(&StoreCall::Grant { ttl: QUOTA_LEASE_TTL }).await {
            Ok(StoreResponse { era, reply: StoreReply::Lease { lease, ttl }, .. }) => {
                self.renewed_at = Some(sent);
                if let Some(mut state) = self.shared.quota.lock()
                    && state.node.slots.enter_era(clock::now(), era)
                {
                    state.node.slots.record_lease(lease, ttl, sent);
                }
                Ok(())
            }
            Ok(StoreResponse { reply, .. }) => Err(format!("{reply:?}")),
            Err(error) => Err(error.to_string()),
        }
    }

    async fn renew(&mut self, era: Era, lease: u64) -> Result<(), String> {
        let sent = clock::now();
        let reply = self.store.call_in(era, &StoreCall::Renew { lease }).await;
        let Some(mut state) = self.shared.quota.lock() else { return Ok(()) };
        match reply {
            Ok(StoreReply::Lease { ttl, .. }) => {
                self.renewed_at = Some(sent);
                if state.node.slots.era() == era && state.node.slots.lease() == Some(lease) {
                    state.node.slots.record_lease(lease, ttl, sent);
                }
                Ok(())
            }
            Ok(StoreReply::NoLease) => {
                tracing::warn!(event = "quota_lease_lost", lease);
                state.node.slots.lose_lease();
                state.update_owners(&self.shared);
                Ok(())
            }
            Ok(reply) => Err(format!("{reply:?}")),
            Err(error) => {
                if let StoreError::Restored(era) = &error {
                    state.node.slots.enter_era(clock::now(), *era);
                    state.update_owners(&self.shared);
                }
                Err(error.to_string())
            }
        }
    }

    /// Writes the keys of claimed slots, each on the condition that nobody else has claimed it.
    async fn claim(&mut self, era: Era, lease: u64, claims: Vec<SlotClaim>) -> Result<(), String> {
        for claim in claims {
            let key = Name::from(format!("{SLOT_PREFIX}{}", claim.slot));
            let call = StoreCall::Transaction {
                conditions: vec![(key.clone(), claim.expected_revision)],
                writes: vec![(key, Bytes::from(claim.record.encode()), lease)],
                removes: Vec::new(),
            };
            let reply = self.store.call_in(era, &call).await.map_err(|e| e.to_string())?;
            let Some(mut state) = self.shared.quota.lock() else { return Ok(()) };
            let now = clock::now();
            match reply {
                StoreReply::Applied { revision } => {
                    state.node.slots.record_claim(now, &claim, revision, lease);
                    state.update_owners(&self.shared);
                }
                // The watch shows the claim of the other node.
                StoreReply::Conflict { .. } => {
                    tracing::debug!(event = "quota_slot_not_claimed", slot = %claim.slot);
                }
                StoreReply::NoLease => {
                    state.node.slots.lose_lease();
                    state.update_owners(&self.shared);
                    return Ok(());
                }
                reply => return Err(format!("{reply:?}")),
            }
        }
        Ok(())
    }

    /// Stops to grant and gives the slots up, so that other nodes take them over at once.
    async fn release(&mut self) {
        let lease = {
            let Some(mut state) = self.shared.quota.lock() else { return };
            let lease = state.node.slots.lease();
            state.node.slots.lose_lease();
            state.update_owners(&self.shared);
            lease.filter(|lease| *lease != NO_LEASE)
        };
        if let Some(lease) = lease
            && let Err(error) = self.store.call(&StoreCall::Revoke { lease }).await
        {
            tracing::debug!(event = "quota_lease_not_revoked", %error);
        }
    }
}

/// Returns the live nodes that can own slots, this one included.
fn candidates(shared: &Shared, now: Time) -> Vec<SlotCandidate> {
    let mut candidates: Vec<SlotCandidate> = shared
        .peers()
        .ready(now)
        .map(|peer| &peer.heartbeat)
        .filter(|heartbeat| shared.protocol_versions.understands(heartbeat, ACCOUNT_PROTOCOL))
        .map(|heartbeat| SlotCandidate {
            node: heartbeat.node.clone(),
            serving: heartbeat.is_serving(),
        })
        .collect();
    let node = shared.settings.node.clone();
    candidates.push(SlotCandidate { node, serving: shared.serving.is_serving() });
    candidates
}
