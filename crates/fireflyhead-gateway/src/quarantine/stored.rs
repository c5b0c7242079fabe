//! Evidence of the verdicts in the store, for nodes that start when no other one has it.
//!
//! Nodes exchange evidence among themselves and lose it if all of them end at the same time. The node
//! that ranks first for a quarantined group therefore writes the crashes of the group to the store,
//! once for each change, under a lease that ends with the age at which they no longer count.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use fireflyhead_policy::quarantine::CrashId;
use fireflyhead_policy::quarantine::CrashReport;
use fireflyhead_policy::quarantine::MAX_CRASH_AGE;
use fireflyhead_policy::quarantine::PartId;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;

use crate::clock;
use crate::state::Shared;
use crate::store::Backoff;
use crate::store::StoreClient;

use super::is_first_in_order;

/// Prefix of the keys, which end with the first part of a group.
const PREFIX: &str = "fireflyhead/evidence/";
/// Interval at which a node checks whether it ranks first for a group that is not in the store. A lost
/// node is noticed after about a second.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest wait after a failed call.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));

/// Crashes of the groups in the store, by key, as the watch has shown them.
pub(super) type StoredGroups = HashMap<Name, BTreeSet<CrashId>>;

/// Crash as it is stored.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct StoredCrash {
    crash: u64,
    /// Time of the crash in milliseconds of Unix time.
    unix_ms: u64,
    suspects: Vec<u64>,
    cleared: Vec<u64>,
}

impl From<&CrashReport> for StoredCrash {
    fn from(report: &CrashReport) -> StoredCrash {
        let age_ms = u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX);
        StoredCrash {
            crash: report.crash.0,
            unix_ms: clock::unix_millis().saturating_sub(age_ms),
            suspects: report.suspects.iter().map(|part| part.0).collect(),
            cleared: report.cleared.iter().map(|part| part.0).collect(),
        }
    }
}

impl From<StoredCrash> for CrashReport {
    fn from(stored: StoredCrash) -> CrashReport {
        let age_ms = clock::unix_millis().saturating_sub(stored.unix_ms);
        CrashReport {
            crash: CrashId(stored.crash),
            age: Duration::from_millis(age_ms),
            suspects: stored.suspects.into_iter().map(PartId).collect(),
            cleared: stored.cleared.into_iter().map(PartId).collect(),
        }
    }
}

/// Applies what is stored. `is_snapshot` tells that these are all items of the store.
pub(crate) fn apply_store_items(shared: &Shared, items: &[Item], is_snapshot: bool) {
    let mut stored = shared.quarantine.stored();
    if is_snapshot {
        stored.clear();
    }
    let mut reports: Vec<CrashReport> = Vec::new();
    for item in items.iter().filter(|item| item.key.as_str().starts_with(PREFIX)) {
        let crashes = item.value.as_deref().map(serde_json::from_slice::<Vec<StoredCrash>>);
        match crashes {
            Some(Ok(crashes)) => {
                let ids = crashes.iter().map(|crash| CrashId(crash.crash)).collect();
                stored.insert(item.key.clone(), ids);
                reports.extend(crashes.into_iter().map(CrashReport::from));
            }
            Some(Err(error)) => {
                tracing::warn!(event = "evidence_undecodable", key = %item.key, %error);
                stored.remove(&item.key);
            }
            None => {
                stored.remove(&item.key);
            }
        }
    }
    drop(stored);
    if !reports.is_empty() {
        super::handle_reports(shared, &reports);
    }
}

/// Writes the evidence of the groups for which this node ranks first, until the process ends.
pub async fn keep(shared: Arc<Shared>, store: Arc<StoreClient>) {
    let mut verdicts = shared.quarantine.subscribe();
    let mut backoff = Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1);
    let mut pause = CHECK_INTERVAL;
    loop {
        // An elapsed pause is no error: the groups are then checked again.
        let _elapsed = timeout(pause, verdicts.changed()).await;
        pause = CHECK_INTERVAL;
        for (key, crashes) in unstored_groups(&shared) {
            match write(&store, key.clone(), &crashes).await {
                Ok(()) => {
                    backoff.reset();
                    tracing::info!(event = "evidence_stored", %key, crashes = crashes.len());
                    let ids = crashes.iter().map(|crash| crash.crash).collect();
                    shared.quarantine.stored().insert(key, ids);
                }
                Err(error) => {
                    tracing::info!(event = "evidence_not_stored", %key, error);
                    pause = backoff.next_delay();
                }
            }
        }
    }
}

/// Returns the groups for which this node ranks first and of which a crash is not in the store.
fn unstored_groups(shared: &Shared) -> Vec<(Name, Vec<CrashReport>)> {
    let now = clock::now();
    let groups = shared.quarantine.policy().group_reports(now);
    let key = |part: PartId| Name::from(format!("{PREFIX}{part}"));
    let is_stored = |key: &Name, crashes: &[CrashReport]| {
        let stored = shared.quarantine.stored();
        stored.get(key).is_some_and(|ids| crashes.iter().all(|crash| ids.contains(&crash.crash)))
    };
    groups
        .into_iter()
        .map(|(first, crashes)| (first, key(first), crashes))
        .filter(|(_, key, crashes)| !is_stored(key, crashes))
        .filter(|(first, ..)| is_first_in_order(shared, now, *first))
        .map(|(_, key, crashes)| (key, crashes))
        .collect()
}

async fn write(store: &StoreClient, key: Name, crashes: &[CrashReport]) -> Result<(), String> {
    let crashes: Vec<StoredCrash> = crashes.iter().map(StoredCrash::from).collect();
    let value = serde_json::to_vec(&crashes).map_err(|e| e.to_string())?;
    let grant = store.call(&StoreCall::Grant { ttl: MAX_CRASH_AGE }).await;
    let response = grant.map_err(|e| e.to_string())?;
    let StoreReply::Lease { lease, .. } = response.reply else {
        return Err(format!("{:?}", response.reply));
    };
    let call = StoreCall::Transaction {
        conditions: Vec::new(),
        writes: vec![(key, Bytes::from(value), lease)],
        removes: Vec::new(),
    };
    match store.call_in(response.era, &call).await.map_err(|e| e.to_string())? {
        StoreReply::Applied { .. } => Ok(()),
        reply => Err(format!("{reply:?}")),
    }
}
