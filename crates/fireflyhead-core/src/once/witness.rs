//! Witness role: intents and outcomes of ids whose home is another node.

use crate::once::OnceConfig;
use crate::once::OnceReply;
use crate::once::RequestId;
use crate::once::StoredOutcome;
use crate::once::retain::Entry;
use crate::once::retain::Retained;
use crate::types::Outcome;
use crate::types::Time;

/// What the witness knows of an id.
#[derive(Debug)]
enum State {
    /// Home may grant a permit.
    Intent,
    /// No intent was recorded and none will be.
    Closed,
    /// Home replicated the outcome.
    Done(StoredOutcome),
}

impl Entry for State {
    fn finished(&self) -> bool {
        true
    }

    fn outcome_mut(&mut self) -> Option<&mut StoredOutcome> {
        match self {
            State::Done(outcome) => Some(outcome),
            State::Intent | State::Closed => None,
        }
    }
}

/// Entries of the witness role.
#[derive(Debug)]
pub(super) struct Witness {
    entries: Retained<State>,
}

impl Witness {
    pub(super) fn new(cfg: OnceConfig) -> Witness {
        Witness { entries: Retained::new(cfg) }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records an intent; false if the id is closed, too old, or there is no room.
    pub(super) fn intent(&mut self, now: Time, id: &RequestId) -> bool {
        match self.entries.get(id) {
            Some(State::Intent) => true,
            Some(State::Closed | State::Done(_)) => false,
            None if self.too_old(now, id) || self.entries.full() => false,
            None => {
                self.entries.insert(now, id.clone(), State::Intent);
                true
            }
        }
    }

    /// Records the outcome that home replicated. Home improves an unknown outcome
    /// at most once, so a known outcome is never replaced.
    pub(super) fn outcome(&mut self, now: Time, id: &RequestId, outcome: StoredOutcome) {
        let replace = match self.entries.get(id) {
            Some(State::Intent) => true,
            Some(State::Done(old)) => old.outcome == Outcome::OutcomeUnknown,
            Some(State::Closed) | None => false,
        };
        if replace {
            let outcome = self.entries.admit(id, outcome);
            if let Some(state) = self.entries.get_mut(id) {
                *state = State::Done(outcome);
            }
            self.entries.touch(now, id);
        }
    }

    /// Reply to a retry whose home can't be reached; closes an id without an intent.
    pub(super) fn lookup(&mut self, now: Time, id: &RequestId) -> OnceReply {
        match self.entries.get(id) {
            Some(State::Intent) => OnceReply::Unknown,
            Some(State::Closed) => OnceReply::NotRun,
            Some(State::Done(outcome)) => stored_reply(outcome),
            None if self.too_old(now, id) => OnceReply::Expired,
            None if self.entries.full() => OnceReply::Unknown,
            None => {
                self.entries.insert(now, id.clone(), State::Closed);
                OnceReply::NotRun
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.entries.expire(now, |id| id.token().witness_tick_ms);
    }

    fn too_old(&self, now: Time, id: &RequestId) -> bool {
        self.entries.too_old(now, id.token().witness_tick_ms)
    }
}

/// Reply that carries a stored outcome.
pub(super) fn stored_reply(outcome: &StoredOutcome) -> OnceReply {
    match outcome.outcome {
        Outcome::Answered => OnceReply::Stored(outcome.clone()),
        // The stored response states why the request did not run.
        Outcome::NotRun if outcome.status != 0 => OnceReply::Stored(outcome.clone()),
        Outcome::NotRun => OnceReply::NotRun,
        Outcome::OutcomeUnknown => OnceReply::Unknown,
    }
}
