//! Requests for which this node has asked the holder of an engine for admission.

use std::collections::BTreeMap;
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
use super::GIVEN_UP_RETRY_AFTER;
use super::Job;
use super::JobId;
use super::RejectReason;
use super::choice::Choice;
use super::queue::Queue;

/// Time after which a holder that has not responded is treated as unresponsive. A host may stall
/// for the rest of a tenth of a second once its processor quota is used up.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a queued request is checked again: a different engine may have loaded its
/// adapter since, or the grant may have been lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the arrival of a request during which it waits for a further replica of its adapter. A
/// load takes 250 ms or more.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(1_000);
/// Time during which an unresponsive holder is not asked.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);

/// A request for which a holder was asked for admission.
#[derive(Clone, Debug)]
pub(super) struct PendingAdmission {
    pub(super) job: Job,
    /// Engine whose holder was asked.
    pub(super) upstream: Name,
    /// Time at which the holder was last asked, or at which it denied a request that keeps waiting
    /// for a further replica.
    sent_at: Time,
    /// Whether the holder has responded.
    has_response: bool,
}

/// A holder that did not respond to an admission request in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnresponsiveHolder {
    /// Id of the engine.
    pub upstream: Name,
    /// Node that owns the engine.
    pub holder: Name,
}

/// Requests that wait for the decision of a holder, and the messages to be sent to holders.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingAdmissions {
    requests: BTreeMap<JobId, PendingAdmission>,
    /// Messages not sent yet, with the node that each is for.
    outbox: Vec<(Name, HolderMessage)>,
    /// Unresponsive holders not reported yet.
    unresponsive: Vec<UnresponsiveHolder>,
}

impl PendingAdmissions {
    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes and returns a request.
    pub(super) fn remove(&mut self, id: JobId) -> Option<PendingAdmission> {
        self.requests.remove(&id)
    }

    /// Removes the requests that no upstream can have executed and returns each with the engine
    /// whose holder was asked.
    pub(super) fn extract_not_executed(&mut self) -> Vec<(JobId, Name)> {
        self.requests
            .extract_if(.., |_, pending| !pending.job.possibly_executed)
            .map(|(id, pending)| (id, pending.upstream))
            .collect()
    }

    /// Returns the ids of the requests for admission to `upstream`.
    fn ids(&self, upstream: &Name) -> Vec<JobId> {
        let requests = self.requests.iter();
        requests.filter(|(_, pending)| pending.upstream == *upstream).map(|(id, _)| *id).collect()
    }

    /// Moves the requests for admission to `upstream` back to the queue of the node.
    pub(super) fn requeue(&mut self, upstream: &Name, queue: &mut Queue) {
        for (_, pending) in self.requests.extract_if(.., |_, pending| pending.upstream == *upstream)
        {
            queue.insert(pending.job);
        }
    }
}

impl Dispatcher {
    /// Returns the messages to holders since the last call, each with the node that it is for.
    pub fn take_holder_messages(&mut self) -> Vec<(Name, HolderMessage)> {
        std::mem::take(&mut self.pending_admissions.outbox)
    }

    /// Returns the holders that became unresponsive since the last call.
    pub fn take_unresponsive_holders(&mut self) -> Vec<UnresponsiveHolder> {
        std::mem::take(&mut self.pending_admissions.unresponsive)
    }

    /// Handles the response of `holder`. Returns the decision if the response leads to one.
    pub fn handle_admission_response(
        &mut self,
        now: Time,
        holder: &Name,
        response: AdmissionResponse,
    ) -> Option<(JobId, DispatchDecision)> {
        let AdmissionResponse { job: id, decision, load } = response;
        let name = load.upstream.clone();
        if let Some(upstream) = self.upstreams.get_mut(&name) {
            upstream.update_holder_load(now, holder, load);
        }
        let Some(pending) = self
            .pending_admissions
            .requests
            .get_mut(&id)
            .filter(|pending| pending.upstream == name)
        else {
            // The request was given up or sent elsewhere in the meantime, so the slot is returned.
            if decision == AdmissionDecision::Granted && !self.is_running_at(id, &name) {
                self.report_progress(&name, ProgressEvent::Ended(id));
            }
            return None;
        };
        pending.has_response = true;
        if decision == AdmissionDecision::Queued {
            return None;
        }
        let mut pending = self.pending_admissions.requests.remove(&id)?;
        if let AdmissionDecision::Denied { retry_after } = decision
            && self.close_limited(now, &name, retry_after)
        {
            let decision = self.submit(now, pending.job)?;
            return Some((id, decision));
        }
        if matches!(decision, AdmissionDecision::Denied { .. })
            && self.should_wait_for_replica(now, &pending.job)
        {
            pending.sent_at = now;
            self.pending_admissions.requests.insert(id, pending);
            return None;
        }
        if decision == AdmissionDecision::Granted {
            self.open_limited(now, &name);
        }
        match decision {
            AdmissionDecision::Denied { retry_after } => {
                Some((id, self.give_up(&pending.job, RejectReason::Overload, retry_after)))
            }
            AdmissionDecision::Granted if self.may_still_send(now, &pending.job, &name) => {
                let version = self.expected_version(now, &pending.job);
                let entry = self.upstreams.get(&name).map(|u| u.entry.clone())?;
                Some((id, self.send(now, &pending.job, &entry, version)))
            }
            AdmissionDecision::Granted => {
                self.report_progress(&name, ProgressEvent::Ended(id));
                self.waiting.insert(pending.job);
                None
            }
            AdmissionDecision::NotHolder | AdmissionDecision::Queued => {
                if let Some(upstream) = self.upstreams.get_mut(&name) {
                    upstream.skip_holder(now, UNRESPONSIVE_BACKOFF);
                }
                self.waiting.insert(pending.job);
                None
            }
        }
    }

    /// Returns whether a further engine is likely to hold the adapter of `job` soon because many
    /// requests use it, and requests that load.
    fn should_wait_for_replica(&mut self, now: Time, job: &Job) -> bool {
        let Some(key) = job.adapter_key() else { return false };
        let wait = now.since(job.arrived) < MAX_REPLICA_WAIT && self.is_hot(now, &key);
        if wait {
            let ignore_ejections = self.should_ignore_ejections(now, &job.service);
            self.request_adapter(now, job, &key, ignore_ejections);
        }
        wait
    }

    /// Asks the holder of `upstream` to admit `job`, or queues `job` if there is no active holder.
    pub(super) fn request_admission(&mut self, now: Time, job: Job, upstream: &Name) {
        let Some(holder) = self.upstreams.get(upstream).and_then(|u| u.active_holder(now)) else {
            self.waiting.insert(job);
            return;
        };
        let holder = holder.clone();
        self.record_limited_ask(now, upstream, &job);
        let mut request = AdmissionRequest::new(now, upstream, &job);
        if self.limits_engine_memory(&job.service) {
            request.output_tokens = job.output_tokens;
        }
        let message = HolderMessage::AdmissionRequest(request);
        self.pending_admissions.outbox.push((holder, message));
        let pending =
            PendingAdmission { upstream: upstream.clone(), sent_at: now, has_response: false, job };
        self.pending_admissions.requests.insert(pending.job.id, pending);
    }

    /// Rejects requests that have waited for too long, and returns the requests at unresponsive
    /// holders to the queue of the node. For a request that its holder queued, or denied while a
    /// further replica is expected, selects the upstream again after each [`RETRY_INTERVAL`]: the
    /// same holder is asked again, or the request moves to a different upstream.
    pub(super) fn check_pending_admissions(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut expired = Vec::new();
        let mut unresponsive: Vec<Name> = Vec::new();
        let mut retry: Vec<JobId> = Vec::new();
        for (id, pending) in &self.pending_admissions.requests {
            let job = &pending.job;
            let age = now.since(pending.sent_at);
            if job.has_waited_too_long(now) {
                expired.push(*id);
            } else if !pending.has_response && age >= RESPONSE_TIMEOUT {
                unresponsive.push(pending.upstream.clone());
            } else if pending.has_response && age >= RETRY_INTERVAL {
                retry.push(*id);
            }
        }
        let mut decisions = Vec::new();
        for id in retry {
            let Some(PendingAdmission { job, upstream, .. }) = self.pending_admissions.remove(id)
            else {
                continue;
            };
            match self.choose_upstream(now, &job) {
                Choice::AskHolder(other) if other != upstream => {
                    self.report_progress(&upstream, ProgressEvent::Ended(id));
                    self.request_admission(now, job, &other);
                }
                Choice::Send { upstream: other, version } => {
                    self.report_progress(&upstream, ProgressEvent::Ended(id));
                    decisions.push((id, self.send_without_admission(now, &job, &other, version)));
                }
                Choice::AskHolder(_) | Choice::Wait(_) => {
                    self.request_admission(now, job, &upstream)
                }
            }
        }
        for name in unresponsive {
            if let Some(upstream) = self.upstreams.get_mut(&name) {
                if let Some(holder) = upstream.active_holder(now).cloned() {
                    self.pending_admissions
                        .unresponsive
                        .push(UnresponsiveHolder { upstream: name.clone(), holder });
                }
                upstream.skip_holder(now, UNRESPONSIVE_BACKOFF);
            }
            self.pending_admissions.requeue(&name, &mut self.waiting);
        }
        for id in expired {
            let Some(pending) = self.pending_admissions.remove(id) else { continue };
            self.report_progress(&pending.upstream, ProgressEvent::Ended(id));
            let reason = RejectReason::Overload;
            decisions.push((id, self.give_up(&pending.job, reason, GIVEN_UP_RETRY_AFTER)));
        }
        decisions
    }

    /// Returns the requests for admission to `upstream` to the queue of the node, and tells the
    /// holder.
    pub(super) fn withdraw_admissions(&mut self, upstream: &Name) {
        for id in self.pending_admissions.ids(upstream) {
            self.report_progress(upstream, ProgressEvent::Ended(id));
        }
        self.pending_admissions.requeue(upstream, &mut self.waiting);
    }

    /// Reports an event to the holder of `upstream`, if it has one.
    pub(super) fn report_progress(&mut self, upstream: &Name, event: ProgressEvent) {
        let holder = self.upstreams.get(upstream).and_then(|u| u.admitting_node().cloned());
        if let Some(holder) = holder {
            let progress = ProgressReport { upstream: upstream.clone(), event };
            self.pending_admissions.outbox.push((holder, HolderMessage::ProgressReport(progress)));
        }
    }

    /// Reports the sends in progress at `upstream` to its new holder, and returns the requests that
    /// waited at the previous holder to the queue of the node.
    pub(super) fn report_running_sends(&mut self, now: Time, upstream: &Name) {
        let running: Vec<ProgressEvent> = self
            .active_sends
            .iter()
            .filter(|(_, send)| send.upstream == *upstream)
            .map(|(id, send)| send.running_event(now, *id))
            .collect();
        for event in running {
            self.report_progress(upstream, event);
        }
        self.pending_admissions.requeue(upstream, &mut self.waiting);
    }

    /// Returns whether request `id` is being sent to `upstream`.
    fn is_running_at(&self, id: JobId, upstream: &Name) -> bool {
        self.active_sends.get(&id).is_some_and(|send| send.upstream == *upstream)
    }
}
