//! Explanation of the decision on a request, for operators.
//!
//! The request is evaluated by the code that decides on real ones, on a copy of the state, so that
//! the explanation can't differ from the decision and has no effect on later ones.

use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamState;

use super::AdapterKey;
use super::DispatchDecision;
use super::Dispatcher;
use super::Evaluation;
use super::Job;
use super::RejectReason;
use super::choice::Choice;
use super::choice::WaitReason;
use super::upstreams::Upstream;

/// What would happen to a request now.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Decision.
    pub verdict: Verdict,
    /// Upstreams of its service, by name.
    pub candidates: Vec<CandidateReport>,
    /// Number of requests that wait in this node or at holders.
    pub waiting: usize,
    /// Newest version that the operators named for the adapter.
    pub newest_version: Option<u64>,
}

/// Decision on a request that would arrive now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is sent to this upstream.
    Send {
        /// Id of the upstream.
        upstream: Name,
        /// Adapter version that must serve it; `None` if any may.
        version: Option<u64>,
    },
    /// The holder of this engine is asked to admit it.
    AskHolder {
        /// Id of the engine.
        upstream: Name,
    },
    /// It waits until this engine has loaded its adapter.
    WaitForAdapter {
        /// Id of the engine that is asked to load it; `None` if no engine can.
        upstream: Option<Name>,
    },
    /// It waits because every upstream has reached its limit.
    WaitForCapacity,
    /// It waits until an upstream is listed.
    WaitForUpstream,
    /// It waits until an upstream wants requests again.
    WaitUntil {
        /// Time until then.
        wait: Duration,
    },
    /// It is rejected.
    Reject {
        /// Reason.
        reason: RejectReason,
        /// Time after which a retry is likely to succeed.
        retry_after: Duration,
    },
}

/// Why an upstream is not selected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// It is about to stop.
    Draining,
    /// Another upstream uses its address.
    Misdirected,
    /// It reported being full, for this time from now on.
    Full(Duration),
    /// It wants no requests for this time from now on.
    Away(Duration),
    /// It is ejected after failures.
    Ejected,
    /// It does not hold the adapter.
    AdapterAbsent,
    /// It is loading the adapter.
    AdapterLoading,
    /// It holds this version of the adapter, which is no longer used.
    AdapterOutdated(u64),
    /// It reported a short time ago that the adapter is absent.
    AdapterReportedAbsent,
    /// It has reached its limit of requests or of unprocessed prompt tokens.
    AtLimit,
}

/// Upstream as the decision sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateReport {
    /// Id.
    pub upstream: Name,
    /// Availability zone.
    pub zone: Name,
    /// Why it is not selected, if it can't be.
    pub excluded: Option<Exclusion>,
    /// Cost in ms, roughly the delay of the request there; `None` for an upstream that can't be used.
    /// It has a random part of up to 3 ms.
    pub cost_ms: Option<f64>,
    /// Number of requests in flight from all nodes.
    pub in_flight: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that an engine has yet to process at its pace.
    pub backlog_tokens: u32,
    /// Share of recent streams that paused for too long, from 0 to 1.
    pub late_stream_share: f64,
    /// Node that admits requests to the engine now.
    pub holder: Option<Name>,
    /// Age of the holder's last report; `None` if the load is that of the node's own requests.
    pub holder_report_age: Option<Duration>,
    /// Age of the load that the upstream last reported itself.
    pub own_report_age: Option<Duration>,
}

impl Dispatcher {
    /// Returns what would happen to `job` if it arrived now. Changes no state.
    pub fn explain(&self, now: Time, job: &Job) -> Explanation {
        let mut copy = self.clone();
        let mut job = job.clone();
        copy.clear_unused_give_up(&mut job);
        let job = &job;
        let evaluation = copy.evaluate(now, job);
        let verdict = match evaluation {
            Evaluation::Choice(Choice::Send { upstream, version }) => {
                Verdict::Send { upstream: upstream.id.clone(), version }
            }
            Evaluation::Choice(Choice::AskHolder(upstream)) => Verdict::AskHolder { upstream },
            Evaluation::Choice(Choice::Wait(WaitReason::AdapterAbsent)) => {
                let key = job.adapter_key();
                let upstream = key.and_then(|key| copy.adapter_requests.target(now, &key));
                Verdict::WaitForAdapter { upstream }
            }
            Evaluation::Choice(Choice::Wait(WaitReason::AllFull)) => Verdict::WaitForCapacity,
            Evaluation::Choice(Choice::Wait(WaitReason::NoUpstream)) => Verdict::WaitForUpstream,
            Evaluation::Choice(Choice::Wait(WaitReason::Away { until })) => {
                Verdict::WaitUntil { wait: until.since(now) }
            }
            Evaluation::Rejected(DispatchDecision::Reject { reason, retry_after }) => {
                Verdict::Reject { reason, retry_after }
            }
            Evaluation::Rejected(DispatchDecision::Send { upstream, version }) => {
                Verdict::Send { upstream: upstream.id.clone(), version }
            }
        };
        let key = job.adapter_key();
        Explanation {
            verdict,
            candidates: copy.candidate_reports(now, job, key.as_ref()),
            waiting: self.waiting(),
            newest_version: key.and_then(|(model, adapter)| self.newest_version(&model, &adapter)),
        }
    }

    /// Returns all upstreams of the service of `job`. Draws random numbers.
    fn candidate_reports(
        &mut self,
        now: Time,
        job: &Job,
        key: Option<&AdapterKey>,
    ) -> Vec<CandidateReport> {
        let Some(service) = self.services.get(&job.service) else { return Vec::new() };
        let mut members = service.members.clone();
        members.sort_unstable();
        let ignore_ejections = self.should_ignore_ejections(now, &job.service);
        let usable = self.candidates(now, job, &members, ignore_ejections);
        let min_version = key.map_or(0, |key| self.version_requirements(now, key).0);
        let reports = members.iter().filter_map(|id| {
            let upstream = self.upstreams.get(id)?;
            let candidate = usable.iter().find(|candidate| candidate.id == *id);
            let is_ejected = !ignore_ejections && upstream.health.is_ejected(now);
            let at_limit = candidate.is_some_and(|candidate| !candidate.has_capacity);
            let excluded = upstream
                .exclusion(now, is_ejected)
                .or_else(|| upstream.adapter_exclusion(now, key?, min_version))
                .or(at_limit.then_some(Exclusion::AtLimit));
            Some(CandidateReport {
                upstream: id.clone(),
                zone: upstream.entry.zone.clone(),
                excluded,
                cost_ms: candidate.map(|candidate| candidate.cost),
                in_flight: upstream.in_flight(now),
                slots: upstream.entry.slots,
                backlog_tokens: upstream.backlog(now),
                late_stream_share: upstream.late_stream_share(now),
                holder: upstream.active_holder(now).cloned(),
                holder_report_age: upstream.holder_load_time(now).map(|at| now.since(at)),
                own_report_age: upstream.load_report.map(|(at, _)| now.since(at)),
            })
        });
        reports.collect()
    }
}

impl Upstream {
    /// Returns why no request is sent to the upstream.
    fn exclusion(&self, now: Time, is_ejected: bool) -> Option<Exclusion> {
        if self.entry.state == UpstreamState::Draining {
            return Some(Exclusion::Draining);
        }
        if self.misdirected {
            return Some(Exclusion::Misdirected);
        }
        if self.is_away(now) {
            return Some(Exclusion::Away(self.away_until.since(now)));
        }
        if now < self.full_until() {
            return Some(Exclusion::Full(self.full_until().since(now)));
        }
        is_ejected.then_some(Exclusion::Ejected)
    }

    /// Returns why the engine does not serve the adapter `key`.
    fn adapter_exclusion(
        &self,
        now: Time,
        key: &AdapterKey,
        min_version: u64,
    ) -> Option<Exclusion> {
        match self.adapters.get(key) {
            _ if self.serves(now, key, min_version) => None,
            None => Some(Exclusion::AdapterAbsent),
            Some(replica) if !replica.ready => Some(Exclusion::AdapterLoading),
            Some(_) if self.is_reported_absent(now, &key.1) => {
                Some(Exclusion::AdapterReportedAbsent)
            }
            Some(replica) => Some(Exclusion::AdapterOutdated(replica.version)),
        }
    }
}
