//! Home role: permits and outcomes of ids that this node issued.

use crate::once::CallerRef;
use crate::once::OnceConfig;
use crate::once::OnceEffect;
use crate::once::OnceReply;
use crate::once::RequestId;
use crate::once::StoredOutcome;
use crate::once::retain::Entry;
use crate::once::retain::Retained;
use crate::once::witness::stored_reply;
use crate::types::Outcome;
use crate::types::Time;

/// Run of an id that has no final outcome.
#[derive(Debug)]
struct Run {
    /// Calls that wait for the outcome.
    callers: Vec<CallerRef>,
    /// Attempt that is queued or running.
    attempt: u32,
    /// Whether the witness recorded the intent, or the id has no witness.
    confirmed: bool,
    /// Whether the owner of the attempt asked for a permit.
    asked: bool,
    /// Whether the owner of the attempt has the only permit.
    permitted: bool,
}

#[derive(Debug)]
enum State {
    Running(Run),
    /// Final outcome; `permitted` is the attempt that had the permit, and may still
    /// report an outcome that is better than unknown.
    Done {
        outcome: StoredOutcome,
        permitted: Option<u32>,
    },
}

impl Entry for State {
    fn finished(&self) -> bool {
        matches!(self, State::Done { .. })
    }

    fn outcome_mut(&mut self) -> Option<&mut StoredOutcome> {
        match self {
            State::Done { outcome, .. } => Some(outcome),
            State::Running(_) => None,
        }
    }
}

/// Entries of the home role.
#[derive(Debug)]
pub(super) struct Home {
    max_attempts: u32,
    entries: Retained<State>,
}

impl Home {
    pub(super) fn new(cfg: OnceConfig) -> Home {
        Home { max_attempts: cfg.max_attempts, entries: Retained::new(cfg) }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn begin(
        &mut self,
        now: Time,
        id: RequestId,
        caller: CallerRef,
        effects: &mut Vec<OnceEffect>,
    ) {
        if let Some(reply) = self.known(now, &id, caller) {
            effects.push(OnceEffect::Reply { caller, id, reply });
            return;
        }
        let witness = id.token().witness.clone();
        let run = Run {
            callers: vec![caller],
            attempt: 1,
            confirmed: witness.is_none(),
            asked: false,
            permitted: false,
        };
        self.entries.insert(now, id.clone(), State::Running(run));
        if let Some(to) = witness {
            effects.push(OnceEffect::SendIntent { to, id: id.clone() });
        }
        effects.push(OnceEffect::Submit { id, attempt: 1 });
    }

    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        caller: CallerRef,
        effects: &mut Vec<OnceEffect>,
    ) {
        let reply = match self.known(now, &id, caller) {
            Some(reply) => reply,
            None => {
                let outcome = StoredOutcome::bare(Outcome::NotRun);
                self.entries.insert(now, id.clone(), State::Done { outcome, permitted: None });
                OnceReply::NotRun
            }
        };
        effects.push(OnceEffect::Reply { caller, id, reply });
    }

    /// Reply to a call whose id is known or can't be accepted; `None` for a new id.
    fn known(&mut self, now: Time, id: &RequestId, caller: CallerRef) -> Option<OnceReply> {
        let too_old = self.entries.too_old(now, id.token().home_tick_ms);
        let full = self.entries.full();
        match self.entries.get_mut(id) {
            Some(State::Running(run)) => {
                run.callers.push(caller);
                Some(OnceReply::Joined)
            }
            Some(State::Done { outcome, .. }) => Some(stored_reply(outcome)),
            None if too_old => Some(OnceReply::Expired),
            // Without room for an entry, `not_run` could not be kept.
            None if full => Some(OnceReply::Unknown),
            None => None,
        }
    }

    pub(super) fn caller_gone(&mut self, id: &RequestId, caller: CallerRef) {
        if let Some(State::Running(run)) = self.entries.get_mut(id) {
            run.callers.retain(|other| *other != caller);
        }
    }

    pub(super) fn witness_ack(
        &mut self,
        now: Time,
        id: &RequestId,
        accepted: bool,
        effects: &mut Vec<OnceEffect>,
    ) {
        let Some(State::Running(run)) = self.entries.get_mut(id) else { return };
        match accepted {
            _ if run.confirmed => {}
            true => {
                run.confirmed = true;
                grant_if_ready(run, id, effects);
            }
            false => self.finish(now, id, StoredOutcome::bare(Outcome::NotRun), effects),
        }
    }

    pub(super) fn permit_requested(
        &mut self,
        id: RequestId,
        attempt: u32,
        effects: &mut Vec<OnceEffect>,
    ) {
        match self.entries.get_mut(&id) {
            // A repeated request gets no second permit and no contradicting answer.
            Some(State::Running(run)) if run.attempt == attempt && run.permitted => {}
            Some(State::Running(run)) if run.attempt == attempt => {
                run.asked = true;
                grant_if_ready(run, &id, effects);
            }
            Some(State::Done { permitted: Some(holder), .. }) if *holder == attempt => {}
            _ => effects.push(OnceEffect::Permit { id, attempt, granted: false }),
        }
    }

    pub(super) fn owner_lost(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: u32,
        effects: &mut Vec<OnceEffect>,
    ) {
        let max_attempts = self.max_attempts;
        let Some(State::Running(run)) = self.entries.get_mut(id) else { return };
        let outcome = match attempt {
            attempt if attempt != run.attempt => return,
            _ if run.permitted => Outcome::OutcomeUnknown,
            _ if attempt >= max_attempts => Outcome::NotRun,
            _ => {
                run.attempt += 1;
                run.asked = false;
                effects.push(OnceEffect::Submit { id: id.clone(), attempt: run.attempt });
                return;
            }
        };
        self.finish(now, id, StoredOutcome::bare(outcome), effects);
    }

    pub(super) fn completed(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: u32,
        outcome: StoredOutcome,
        effects: &mut Vec<OnceEffect>,
    ) {
        match self.entries.get(id) {
            // An earlier attempt has no permit; its late refusal says nothing about this one.
            Some(State::Running(run)) if run.attempt == attempt => {
                self.finish(now, id, outcome, effects);
            }
            Some(State::Done { outcome: old, permitted: Some(holder) })
                if *holder == attempt
                    && old.outcome == Outcome::OutcomeUnknown
                    && outcome.outcome != Outcome::OutcomeUnknown =>
            {
                self.finish(now, id, outcome, effects);
            }
            _ => {}
        }
    }

    /// Ends runs without a permit whose id expired; runs with a permit go on.
    pub(super) fn tick(&mut self, now: Time, effects: &mut Vec<OnceEffect>) {
        for id in self.entries.expire(now, |id| id.token().home_tick_ms) {
            match self.entries.get(&id) {
                Some(State::Running(run)) if !run.permitted => {
                    self.finish(now, &id, StoredOutcome::bare(Outcome::NotRun), effects);
                }
                _ => {}
            }
        }
    }

    /// Stores the outcome, answers the waiting calls and tells the witness.
    fn finish(
        &mut self,
        now: Time,
        id: &RequestId,
        outcome: StoredOutcome,
        effects: &mut Vec<OnceEffect>,
    ) {
        let (callers, permitted) = match self.entries.get_mut(id) {
            Some(State::Running(run)) => {
                if run.asked && !run.permitted {
                    let (id, attempt) = (id.clone(), run.attempt);
                    effects.push(OnceEffect::Permit { id, attempt, granted: false });
                }
                (std::mem::take(&mut run.callers), run.permitted.then_some(run.attempt))
            }
            Some(State::Done { permitted, .. }) => (Vec::new(), *permitted),
            None => return,
        };
        let reply = stored_reply(&outcome);
        effects.extend(callers.into_iter().map(|caller| {
            let (id, reply) = (id.clone(), reply.clone());
            OnceEffect::Reply { caller, id, reply }
        }));
        let outcome = self.entries.admit(id, outcome);
        if let Some(to) = id.token().witness.clone() {
            let (id, outcome) = (id.clone(), outcome.clone());
            effects.push(OnceEffect::ReplicateOutcome { to, id, outcome });
        }
        if let Some(state) = self.entries.get_mut(id) {
            *state = State::Done { outcome, permitted };
        }
        self.entries.touch(now, id);
    }
}

/// Grants the only permit once the owner asked and the witness confirmed.
fn grant_if_ready(run: &mut Run, id: &RequestId, effects: &mut Vec<OnceEffect>) {
    if run.asked && run.confirmed && !run.permitted {
        run.permitted = true;
        effects.push(OnceEffect::Permit { id: id.clone(), attempt: run.attempt, granted: true });
    }
}
