//! Requests for which a place was asked for at the holder of an engine.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::AdmissionDecision;
use crate::message::AdmissionRequest;
use crate::message::AdmissionResponse;
use crate::message::HolderMessage;
use crate::message::ProgressEvent;
use crate::message::ProgressReport;

use super::DispatchDecision;
use super::Dispatcher;
use super::Job;
use super::JobId;
use super::RETURN_AFTER;
use super::RejectReason;
use super::choice::Choice;
use super::queue::Queue;

/// Time for which an answer is waited for. A host may stand still for the rest of a tenth of a
/// second once its processor quota is used up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a queued request is looked at again: another engine may have got its adapter
/// meanwhile, or the grant was lost.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// Time from the arrival of a request for which a further replica of its adapter is waited for;
/// a load takes 250 ms and more.
const REPLICA_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which a holder that gave no answer is not asked.
const SILENT_FOR: Duration = Duration::from_secs(1);

/// Request for which a place was asked for.
#[derive(Debug)]
pub(super) struct Question {
    pub(super) job: Job,
    pub(super) upstream: Name,
    /// Time of the last question.
    sent: Time,
    /// Whether that one was answered.
    answered: bool,
}

/// Holder that gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnresponsiveHolder {
    /// Engine.
    pub upstream: Name,
    /// Node that holds it.
    pub holder: Name,
}

/// Requests for which places were asked for, and what is to be sent to holders.
#[derive(Debug, Default)]
pub(super) struct Asked {
    questions: HashMap<JobId, Question>,
    outbox: Vec<(Name, HolderMessage)>,
    silent: Vec<UnresponsiveHolder>,
}

impl Asked {
    pub(super) fn len(&self) -> usize {
        self.questions.len()
    }

    pub(super) fn remove(&mut self, id: JobId) -> Option<Question> {
        self.questions.remove(&id)
    }

    /// Moves the requests that were asked for at `upstream` back to the queue of the node.
    pub(super) fn requeue(&mut self, upstream: &Name, queue: &mut Queue) {
        for (_, question) in self.questions.extract_if(|_, q| q.upstream == *upstream) {
            queue.insert(question.job);
        }
    }
}

impl Dispatcher {
    /// Messages to holders since the last call, with the node that each is for.
    pub fn take_holder_messages(&mut self) -> Vec<(Name, HolderMessage)> {
        std::mem::take(&mut self.asked.outbox)
    }

    /// Holders that gave no answer since the last call.
    pub fn take_unresponsive_holders(&mut self) -> Vec<UnresponsiveHolder> {
        std::mem::take(&mut self.asked.silent)
    }

    /// Takes the answer of `holder`; returns the verdict if it decides the request.
    pub fn handle_admission_response(
        &mut self,
        now: Time,
        holder: &Name,
        answer: AdmissionResponse,
    ) -> Option<(JobId, DispatchDecision)> {
        let AdmissionResponse { job: id, decision: reply, load } = answer;
        let name = load.upstream.clone();
        if let Some(upstream) = self.upstreams.get_mut(&name) {
            upstream.figures(now, holder, load);
        }
        let Some(question) = self.asked.questions.get_mut(&id).filter(|q| q.upstream == name)
        else {
            // The request was given up or went elsewhere meanwhile.
            if reply == AdmissionDecision::Granted && !self.runs_at(id, &name) {
                self.tell(&name, ProgressEvent::Ended(id));
            }
            return None;
        };
        question.answered = true;
        if reply == AdmissionDecision::Queued {
            return None;
        }
        let mut question = self.asked.questions.remove(&id)?;
        if matches!(reply, AdmissionDecision::Denied { .. })
            && self.awaits_replica(now, &question.job)
        {
            question.sent = now;
            self.asked.questions.insert(id, question);
            return None;
        }
        match reply {
            AdmissionDecision::Denied { retry_after } => {
                Some((id, Dispatcher::reject(RejectReason::Overload, retry_after)))
            }
            AdmissionDecision::Granted if self.still_fits(now, &question.job, &name) => {
                let expect = self.expected_version(now, &question.job);
                let entry = self.upstreams.get(&name).map(|u| u.entry.clone())?;
                Some((id, self.send(now, &question.job, &entry, expect)))
            }
            AdmissionDecision::Granted => {
                self.tell(&name, ProgressEvent::Ended(id));
                self.waiting.insert(question.job);
                None
            }
            AdmissionDecision::NotHolder | AdmissionDecision::Queued => {
                if let Some(upstream) = self.upstreams.get_mut(&name) {
                    upstream.holder_silent(now, SILENT_FOR);
                }
                self.waiting.insert(question.job);
                None
            }
        }
    }

    /// Whether another engine is likely to hold the adapter of `job` soon, because many use it.
    fn awaits_replica(&mut self, now: Time, job: &Job) -> bool {
        let Some(key) = job.adapter_key() else { return false };
        let hot = now.since(job.arrived) < REPLICA_WAIT && self.is_hot(now, &key);
        if hot {
            let spared = self.spared(now, &job.service);
            self.want(now, job, &key, spared);
        }
        hot
    }

    /// Asks for a place for `job` at `upstream`.
    pub(super) fn ask(&mut self, now: Time, job: Job, upstream: &Name) {
        let Some(holder) = self.upstreams.get(upstream).and_then(|u| u.asked_holder(now)) else {
            self.waiting.insert(job);
            return;
        };
        let ask = HolderMessage::AdmissionRequest(AdmissionRequest::new(now, upstream, &job));
        self.asked.outbox.push((holder.clone(), ask));
        let question = Question { upstream: upstream.clone(), sent: now, answered: false, job };
        self.asked.questions.insert(question.job.id, question);
    }

    /// Gives up what waited for too long, asks again or elsewhere, and decides without holders
    /// that are silent.
    pub(super) fn check_asked(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut rejected = Vec::new();
        let mut silent: Vec<Name> = Vec::new();
        let mut again: Vec<JobId> = Vec::new();
        for (id, question) in &self.asked.questions {
            let job = &question.job;
            let age = now.since(question.sent);
            if job.is_given_up(now) {
                rejected.push(*id);
            } else if !question.answered && age >= ANSWER_TIMEOUT {
                silent.push(question.upstream.clone());
            } else if question.answered && age >= ASK_AGAIN {
                again.push(*id);
            }
        }
        let mut decided = Vec::new();
        for id in again {
            let Some(Question { job, upstream, .. }) = self.asked.remove(id) else { continue };
            match self.choose(now, &job) {
                Choice::AskHolder(other) if other != upstream => {
                    self.tell(&upstream, ProgressEvent::Ended(id));
                    self.ask(now, job, &other);
                }
                Choice::Send { upstream: other, version } => {
                    self.tell(&upstream, ProgressEvent::Ended(id));
                    decided.push((id, self.send_unasked(now, &job, &other, version)));
                }
                Choice::AskHolder(_) | Choice::Wait(_) => self.ask(now, job, &upstream),
            }
        }
        for name in silent {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                if let Some(holder) = upstream.asked_holder(now).cloned() {
                    self.asked.silent.push(UnresponsiveHolder { upstream: name.clone(), holder });
                }
                upstream.holder_silent(now, SILENT_FOR);
            }
            self.asked.requeue(&name, &mut self.waiting);
        }
        for id in rejected {
            if let Some(question) = self.asked.remove(id) {
                self.tell(&question.upstream, ProgressEvent::Ended(id));
            }
            decided.push((id, Dispatcher::reject(RejectReason::Overload, RETURN_AFTER)));
        }
        decided
    }

    /// Tells the holder of `upstream`, if it has one.
    pub(super) fn tell(&mut self, upstream: &Name, event: ProgressEvent) {
        let holder = self.upstreams.get(upstream).and_then(|upstream| upstream.holder.clone());
        if let Some(holder) = holder {
            let progress = ProgressReport { upstream: upstream.clone(), event };
            self.asked.outbox.push((holder, HolderMessage::ProgressReport(progress)));
        }
    }

    /// Tells a new holder of `upstream` what runs there, and asks it for what waited at the one
    /// before.
    pub(super) fn tell_running(&mut self, now: Time, upstream: &Name) {
        let running: Vec<ProgressEvent> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.upstream == *upstream)
            .map(|(id, flight)| flight.running(now, *id))
            .collect();
        for event in running {
            self.tell(upstream, event);
        }
        self.asked.requeue(upstream, &mut self.waiting);
    }

    fn runs_at(&self, id: JobId, upstream: &Name) -> bool {
        self.flights.get(&id).is_some_and(|flight| flight.upstream == *upstream)
    }
}
