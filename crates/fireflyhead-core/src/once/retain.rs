//! Entries by request id that are kept for the retention period.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::once::OnceConfig;
use crate::once::RequestId;
use crate::once::StoredOutcome;
use crate::types::Outcome;
use crate::types::Time;

/// Time between two checks of an entry that outlives its retention period.
const RECHECK: Duration = Duration::from_secs(1);

/// What [`Retained`] needs to know of an entry.
pub(super) trait Entry {
    /// Whether the entry may be discarded after the retention period.
    fn finished(&self) -> bool;
    /// Stored outcome.
    fn outcome_mut(&mut self) -> Option<&mut StoredOutcome>;
}

/// Entries by request id.
///
/// An entry is discarded when it is finished, the retention period passed since
/// its last change, and its id is too old to be accepted again.
#[derive(Debug)]
pub(super) struct Retained<E> {
    cfg: OnceConfig,
    entries: HashMap<RequestId, (Time, E)>,
    /// Ids by a lower bound of the time at which they expire.
    expiry: VecDeque<(Time, RequestId)>,
    /// Ids with a stored body, oldest first.
    bodies: VecDeque<(usize, RequestId)>,
    body_bytes: usize,
}

impl<E: Entry> Retained<E> {
    pub(super) fn new(cfg: OnceConfig) -> Retained<E> {
        Retained {
            cfg,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            bodies: VecDeque::new(),
            body_bytes: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn full(&self) -> bool {
        self.entries.len() >= self.cfg.max_entries
    }

    /// Whether an id with the issue tick `tick_ms` of this node is too old to be accepted.
    pub(super) fn too_old(&self, now: Time, tick_ms: u64) -> bool {
        now.since(Time::from_micros(tick_ms.saturating_mul(1_000))) > self.cfg.retention
    }

    pub(super) fn get(&self, id: &RequestId) -> Option<&E> {
        self.entries.get(id).map(|(_, entry)| entry)
    }

    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut E> {
        self.entries.get_mut(id).map(|(_, entry)| entry)
    }

    /// Restarts the retention period of an entry.
    pub(super) fn touch(&mut self, now: Time, id: &RequestId) {
        if let Some((changed, _)) = self.entries.get_mut(id) {
            *changed = now;
        }
    }

    pub(super) fn insert(&mut self, now: Time, id: RequestId, entry: E) {
        self.expiry.push_back((now + self.cfg.retention, id.clone()));
        self.entries.insert(id, (now, entry));
    }

    /// `outcome` as it may be stored for `id`; drops the oldest bodies beyond the limit.
    pub(super) fn admit(&mut self, id: &RequestId, outcome: StoredOutcome) -> StoredOutcome {
        let outcome = outcome.bounded(self.cfg.max_body_bytes);
        let size = outcome.size();
        if size > 0 {
            self.body_bytes += size;
            self.bodies.push_back((size, id.clone()));
        }
        while self.body_bytes > self.cfg.max_total_body_bytes {
            let Some((size, oldest)) = self.bodies.pop_front() else { break };
            self.body_bytes -= size;
            if let Some(stored) = self.get_mut(&oldest).and_then(E::outcome_mut) {
                *stored = StoredOutcome::bare(Outcome::OutcomeUnknown);
            }
        }
        outcome
    }

    /// Discards finished entries and returns the unfinished ones whose retention
    /// period is over. `tick_ms` gives this node's clock in the token of an id.
    pub(super) fn expire(
        &mut self,
        now: Time,
        tick_ms: impl Fn(&RequestId) -> u64,
    ) -> Vec<RequestId> {
        let mut unfinished = Vec::new();
        while self.expiry.front().is_some_and(|(due, _)| *due < now) {
            let Some((_, id)) = self.expiry.pop_front() else { break };
            let Some((changed, entry)) = self.entries.get(&id) else { continue };
            let due = *changed + self.cfg.retention;
            match entry.finished() {
                true if due < now && self.too_old(now, tick_ms(&id)) => {
                    self.entries.remove(&id);
                }
                finished => {
                    let next = if due < now { now + RECHECK } else { due };
                    self.requeue(next, id.clone());
                    if !finished {
                        unfinished.push(id);
                    }
                }
            }
        }
        self.drop_expired_bodies();
        unfinished
    }

    fn requeue(&mut self, due: Time, id: RequestId) {
        let at = self.expiry.partition_point(|(other, _)| *other <= due);
        self.expiry.insert(at, (due, id));
    }

    fn drop_expired_bodies(&mut self) {
        while let Some((size, id)) = self.bodies.front() {
            if self.entries.contains_key(id) {
                break;
            }
            self.body_bytes -= size;
            self.bodies.pop_front();
        }
    }
}
