//! At-most-once execution of non-idempotent requests, without a store.
//!
//! A request id names its home node and a witness node. Home grants at most one
//! permit for an id, and only after the witness recorded the intent. The witness
//! closes an id that it has no intent for before it reports `not_run`, so home
//! can never run it afterwards. Both decide from their own memory: neither needs
//! a lease or a synchronized clock.
//!
//! Stored outcomes are bounded. An answer whose body is larger than
//! [`OnceConfig::max_body_bytes`] reaches the calls that wait for it, but is not
//! stored: later retries get `outcome_unknown`. The same holds for the oldest
//! answers when all bodies together pass [`OnceConfig::max_total_body_bytes`].

mod home;
mod retain;
#[cfg(test)]
mod tests;
mod token;
mod witness;

use std::time::Duration;

use bytes::Bytes;

use crate::once::home::Home;
use crate::once::witness::Witness;
use crate::types::Name;
use crate::types::NodeRef;
use crate::types::Outcome;
use crate::types::Time;

pub use token::IdError;
pub use token::PlacementToken;
pub use token::RequestId;

/// Limits of [`Once`].
#[derive(Clone, Debug)]
pub struct OnceConfig {
    /// Time for which finished ids are kept.
    pub retention: Duration,
    /// Largest number of ids in each of the two roles.
    pub max_entries: usize,
    /// Largest body of a stored outcome, in bytes.
    pub max_body_bytes: usize,
    /// Largest sum of the stored bodies in each of the two roles, in bytes.
    pub max_total_body_bytes: usize,
    /// Owners to which a request is submitted before it is reported as `not_run`.
    pub max_attempts: u32,
}

impl Default for OnceConfig {
    fn default() -> OnceConfig {
        OnceConfig {
            retention: Duration::from_secs(15 * 60),
            max_entries: 500_000,
            max_body_bytes: 64 << 10,
            max_total_body_bytes: 16 << 20,
            max_attempts: 3,
        }
    }
}

/// Call that waits for a reply; the number is chosen by the edge that holds the call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerRef(pub u64);

/// Outcome of a request with the upstream's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredOutcome {
    /// Outcome.
    pub outcome: Outcome,
    /// HTTP status; 0 if there is no answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(Name, Bytes)>,
    /// Body of the answer.
    pub body: Bytes,
}

impl StoredOutcome {
    /// Outcome without an answer.
    pub fn bare(outcome: Outcome) -> StoredOutcome {
        StoredOutcome { outcome, status: 0, headers: Vec::new(), body: Bytes::new() }
    }

    /// Size of headers and body in memory, in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    /// The outcome, or `outcome_unknown` if headers and body pass `max_bytes`.
    pub fn bounded(self, max_bytes: usize) -> StoredOutcome {
        match self.size() {
            size if size > max_bytes => StoredOutcome::bare(Outcome::OutcomeUnknown),
            _ => self,
        }
    }
}

/// Event at home or at the witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceInput {
    /// A call reached its home: the first attempt or a retry.
    Begin {
        /// Id of the request.
        id: RequestId,
        /// Call that waits.
        caller: CallerRef,
    },
    /// The entry refuses a call before it is submitted. The id is closed, so that a
    /// duplicate of the call can't run after `not_run` was reported.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// Call that waits.
        caller: CallerRef,
    },
    /// The call's connection ended; it gets no reply.
    CallerGone {
        /// Id of the request.
        id: RequestId,
        /// Call that waited.
        caller: CallerRef,
    },
    /// The witness answered an intent.
    WitnessAck {
        /// Id of the request.
        id: RequestId,
        /// Whether the witness recorded the intent.
        accepted: bool,
    },
    /// The witness gave no answer to an intent in time.
    WitnessUnreachable {
        /// Id of the request.
        id: RequestId,
    },
    /// An owner has capacity for the request.
    PermitRequested {
        /// Id of the request.
        id: RequestId,
        /// Attempt as given in [`OnceEffect::Submit`].
        attempt: u32,
    },
    /// The owner redirected the request, failed or stopped responding. After a
    /// permit the outcome is unknown; before it the next owner gets the request.
    OwnerLost {
        /// Id of the request.
        id: RequestId,
        /// Attempt as given in [`OnceEffect::Submit`].
        attempt: u32,
    },
    /// The owner reported the end of the request. An owner that reports `NotRun`
    /// after a permit states that nothing was sent to the upstream and never will be.
    Completed {
        /// Id of the request.
        id: RequestId,
        /// Attempt as given in [`OnceEffect::Submit`].
        attempt: u32,
        /// Outcome.
        outcome: StoredOutcome,
    },
    /// Home asks this witness to record an intent.
    Intent {
        /// Id of the request.
        id: RequestId,
        /// Node that asks.
        from: NodeRef,
    },
    /// Home replicates an outcome to this witness.
    Outcome {
        /// Id of the request.
        id: RequestId,
        /// Outcome.
        outcome: StoredOutcome,
    },
    /// A retry whose home can't be reached asks this witness.
    Lookup {
        /// Id of the request.
        id: RequestId,
        /// Call that waits.
        caller: CallerRef,
    },
    /// Time passed.
    Tick,
}

/// Reply to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceReply {
    /// The call joined a run that goes on; another reply follows.
    Joined,
    /// The request did not run and never will under this id.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The id is older than the retention period; the request may have run.
    Expired,
    /// The request ended with this outcome.
    Stored(StoredOutcome),
}

/// What the node must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnceEffect {
    /// Ask the witness to record the intent; answer with `WitnessAck` or `WitnessUnreachable`.
    SendIntent {
        /// Witness.
        to: NodeRef,
        /// Id of the request.
        id: RequestId,
    },
    /// Queue the request at the next owner.
    Submit {
        /// Id of the request.
        id: RequestId,
        /// Attempt, from 1.
        attempt: u32,
    },
    /// Answer an owner's permit request.
    Permit {
        /// Id of the request.
        id: RequestId,
        /// Attempt of the owner.
        attempt: u32,
        /// Whether the owner may dispatch the request, once.
        granted: bool,
    },
    /// Send the outcome to the witness; a loss makes a later lookup `outcome_unknown`.
    ReplicateOutcome {
        /// Witness.
        to: NodeRef,
        /// Id of the request.
        id: RequestId,
        /// Outcome.
        outcome: StoredOutcome,
    },
    /// Answer home's intent.
    AckIntent {
        /// Home.
        to: NodeRef,
        /// Id of the request.
        id: RequestId,
        /// Whether the intent is recorded.
        accepted: bool,
    },
    /// The id belongs to another incarnation of this home: look it up at the
    /// witness. If the witness can't be reached, the reply is [`OnceReply::Unknown`].
    AskWitness {
        /// Witness.
        to: NodeRef,
        /// Id of the request.
        id: RequestId,
        /// Call that waits.
        caller: CallerRef,
    },
    /// Reply to a call.
    Reply {
        /// Call that waits.
        caller: CallerRef,
        /// Id of the request.
        id: RequestId,
        /// Reply.
        reply: OnceReply,
    },
}

/// Home and witness entries of one incarnation of a node.
#[derive(Debug)]
pub struct Once {
    node: NodeRef,
    home: Home,
    witness: Witness,
}

impl Once {
    /// Empty state of `node`, which must be a new incarnation.
    pub fn new(cfg: OnceConfig, node: NodeRef) -> Once {
        Once { node, home: Home::new(cfg.clone()), witness: Witness::new(cfg) }
    }

    /// Token of a resolve answer; `witness` is a node with its last known clock in milliseconds.
    ///
    /// The edge fills in the message authentication code.
    pub fn issue(&mut self, now: Time, witness: Option<(NodeRef, u64)>) -> PlacementToken {
        let (witness, witness_tick_ms) = witness.unzip();
        PlacementToken {
            home: self.node.clone(),
            witness,
            home_tick_ms: now.as_millis(),
            witness_tick_ms: witness_tick_ms.unwrap_or(0),
            mac: Vec::new(),
        }
    }

    /// Number of ids held as home and as witness.
    pub fn entries(&self) -> (usize, usize) {
        (self.home.len(), self.witness.len())
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, input: OnceInput, effects: &mut Vec<OnceEffect>) {
        match input {
            OnceInput::Begin { id, caller } | OnceInput::Refuse { id, caller }
                if id.token().home != self.node =>
            {
                self.begin_elsewhere(now, id, caller, effects);
            }
            OnceInput::Begin { id, caller } => self.home.begin(now, id, caller, effects),
            OnceInput::Refuse { id, caller } => self.home.refuse(now, id, caller, effects),
            OnceInput::CallerGone { id, caller } => self.home.caller_gone(&id, caller),
            OnceInput::WitnessAck { id, accepted } => {
                self.home.witness_ack(now, &id, accepted, effects);
            }
            OnceInput::WitnessUnreachable { id } => {
                self.home.witness_ack(now, &id, false, effects);
            }
            OnceInput::PermitRequested { id, attempt } => {
                self.home.permit_requested(id, attempt, effects);
            }
            OnceInput::OwnerLost { id, attempt } => {
                self.home.owner_lost(now, &id, attempt, effects);
            }
            OnceInput::Completed { id, attempt, outcome } => {
                self.home.completed(now, &id, attempt, outcome, effects);
            }
            OnceInput::Intent { id, from } => {
                let accepted = self.is_witness_of(&id)
                    && from == id.token().home
                    && self.witness.intent(now, &id);
                effects.push(OnceEffect::AckIntent { to: from, id, accepted });
            }
            OnceInput::Outcome { id, outcome } if self.is_witness_of(&id) => {
                self.witness.outcome(now, &id, outcome);
            }
            OnceInput::Outcome { .. } => {}
            OnceInput::Lookup { id, caller } => self.lookup(now, id, caller, effects),
            OnceInput::Tick => {
                self.home.tick(now, effects);
                self.witness.tick(now);
            }
        }
    }

    fn is_witness_of(&self, id: &RequestId) -> bool {
        id.token().witness.as_ref() == Some(&self.node)
    }

    /// A call whose home is another node or another incarnation of this one.
    fn begin_elsewhere(
        &mut self,
        now: Time,
        id: RequestId,
        caller: CallerRef,
        effects: &mut Vec<OnceEffect>,
    ) {
        match id.token().witness.clone() {
            Some(witness) if witness.id == self.node.id => self.lookup(now, id, caller, effects),
            Some(to) => effects.push(OnceEffect::AskWitness { to, id, caller }),
            None => effects.push(OnceEffect::Reply { caller, id, reply: OnceReply::Unknown }),
        }
    }

    fn lookup(
        &mut self,
        now: Time,
        id: RequestId,
        caller: CallerRef,
        effects: &mut Vec<OnceEffect>,
    ) {
        let reply = match self.is_witness_of(&id) {
            true => self.witness.lookup(now, &id),
            false => OnceReply::Unknown,
        };
        effects.push(OnceEffect::Reply { caller, id, reply });
    }
}
