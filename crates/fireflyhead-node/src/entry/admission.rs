//! Limits of table rows, and recognition of callers' retries.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use fireflyhead_core::limits::Attempt;
use fireflyhead_core::limits::LimitRefusal;
use fireflyhead_core::limits::LimitsConfig;
use fireflyhead_core::limits::RowLimits;
use fireflyhead_core::limits::RowUsage;
use fireflyhead_core::table::Policy;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::RefuseReason;
use fireflyhead_core::types::RowId;
use fireflyhead_core::types::Time;
use rand::Rng;

use crate::context::NodeContext;
use crate::entry::error::EntryError;

/// Time for which a request id is remembered to recognise a retry.
const RECENT_FOR: Duration = Duration::from_secs(60);

/// Request ids remembered at most.
const MAX_RECENT: usize = 200_000;

/// Retries a second that a node allows in excess of the rows' budgets.
const SPARE_RETRIES_PER_SECOND: f64 = 1.0;

/// Retries in excess of the rows' budgets that a node may save up.
const SPARE_RETRIES: f64 = 10.0;

/// Row limits and recent request ids of one entry.
#[derive(Clone)]
pub(super) struct Admission {
    limits: Arc<Mutex<RowLimits>>,
    recent: Arc<Mutex<Recent>>,
    spare: Arc<Mutex<Spare>>,
}

/// Retries that a node allows in excess of the rows' budgets.
///
/// A fraction of few requests is less than one, so that without them the only failed
/// request of a quiet row could not run again.
struct Spare {
    tokens: f64,
    at: Time,
}

impl Default for Spare {
    fn default() -> Spare {
        Spare { tokens: SPARE_RETRIES, at: Time::default() }
    }
}

impl Spare {
    fn take(&mut self, now: Time) -> bool {
        let gained = now.since(self.at).as_secs_f64() * SPARE_RETRIES_PER_SECOND;
        self.tokens = (self.tokens + gained).min(SPARE_RETRIES);
        self.at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

/// Request within the limits of its row; dropping it releases its place.
pub(super) struct Admitted {
    limits: Arc<Mutex<RowLimits>>,
    row: RowId,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.limits).release(self.row);
    }
}

impl Admission {
    pub(super) fn new(cx: &NodeContext) -> Admission {
        let limits = RowLimits::new(LimitsConfig::default(), cx.me.id.clone());
        let limits = Arc::new(Mutex::new(limits));
        Admission { limits, recent: Arc::default(), spare: Arc::default() }
    }

    /// Admits a request of a caller.
    pub(super) fn admit(
        &self,
        now: Time,
        policy: &Policy,
        retry: bool,
    ) -> Result<Admitted, EntryError> {
        let mut limits = lock(&self.limits);
        let admitted = match retry {
            false => limits.admit(now, policy, Attempt::Fresh),
            true => match limits.admit(now, policy, Attempt::CallerRetry) {
                Err(LimitRefusal { reason: RefuseReason::RetryBudget, .. })
                    if lock(&self.spare).take(now) =>
                {
                    limits.admit(now, policy, Attempt::Fresh)
                }
                admitted => admitted,
            },
        };
        drop(limits);
        match admitted {
            Ok(()) => Ok(Admitted { limits: self.limits.clone(), row: policy.row }),
            Err(refusal) => {
                let message = "the limits of the table row are reached";
                // Jitter up to the delay itself keeps refused callers from returning together.
                let jitter = rand::rng().random_range(1.0..=2.0);
                let delay = refusal.retry_after.mul_f64(jitter);
                Err(EntryError::not_run(refusal.reason.code(), message).retry_after(delay))
            }
        }
    }

    /// Whether this entry may run an admitted request once more.
    pub(super) fn admit_rerun(&self, now: Time, policy: &Policy) -> bool {
        let admitted = lock(&self.limits).admit(now, policy, Attempt::EntryRetry);
        admitted.is_ok() || lock(&self.spare).take(now)
    }

    /// Whether a request with this id arrived at this node not long ago.
    pub(super) fn is_retry(&self, now: Time, id: &str) -> bool {
        !id.is_empty() && lock(&self.recent).seen(now, id)
    }

    /// Puts the live entry nodes in force.
    pub(super) fn set_members(&self, members: &[Member]) {
        let live = members.iter().filter(|member| member.state == MemberState::Alive);
        let nodes = live.map(|member| member.node.id.clone()).collect();
        lock(&self.limits).set_nodes(nodes);
    }

    /// Demand at this node, for its peers.
    pub(super) fn advertise(&self, now: Time) -> Vec<RowUsage> {
        lock(&self.limits).advertise(now)
    }

    /// Demand at a peer.
    pub(super) fn update_peer(&self, now: Time, peer: Name, usage: &[RowUsage]) {
        lock(&self.limits).update_peer(now, peer, usage);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

/// Hashes of the request ids of the last minute.
#[derive(Default)]
struct Recent {
    hasher: RandomState,
    ids: HashMap<u64, Time>,
    order: VecDeque<(u64, Time)>,
}

impl Recent {
    fn seen(&mut self, now: Time, id: &str) -> bool {
        while let Some((hash, at)) = self.order.front().copied() {
            if now.since(at) < RECENT_FOR && self.order.len() < MAX_RECENT {
                break;
            }
            self.order.pop_front();
            if self.ids.get(&hash) == Some(&at) {
                self.ids.remove(&hash);
            }
        }
        let hash = self.hasher.hash_one(id);
        self.order.push_back((hash, now));
        self.ids.insert(hash, now).is_some()
    }
}
