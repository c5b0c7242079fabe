//! Forwarding of one request, with its retries.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::authentication::Identity;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::protocol::RequestHead;
use fireflyhead_policy::quarantine::PartId;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use tokio::sync::watch;

use crate::body;
use crate::body::Body;
use crate::body::SendDeadline;
use crate::clock;
use crate::lifecycle::Phase;
use crate::quarantine::QUARANTINED;
use crate::quarantine::RequestParts;
use crate::quota::QuotaPermit;
use crate::response_memory::HeldResponse;
use crate::state::PendingJob;
use crate::state::Shared;

use super::RequestGuard;
use super::attempt::AttemptResult;
use super::attempt::NotExecutedReason;
use super::attempt::UpstreamResponse;
use super::attempt::WaitError;
use super::local_responses::empty_response;
use super::local_responses::service_unavailable;
use super::response_body::Framing;
use super::streaming;
use super::streaming::SEND_SLACK;

/// Number of attempts that sent no byte after which a request is rejected.
const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// Number of refusals by upstreams after which a request is rejected.
const MAX_REFUSED_ATTEMPTS: usize = 5;
/// Multiple of the route's objective for which the response head of a resumable stream is awaited
/// before the next attempt.
const STREAM_HEAD_OBJECTIVES: u32 = 3;
/// Shortest time for which the response head of an idempotent request is awaited before the next
/// attempt.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(150);
/// `Retry-After` of a request that was not executed because it could not be sent, the upstreams
/// refused it, or the node stopped.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Selection for a request that would outlast the grace period of a stopping node. Another node can
/// serve it at once.
const STOPPING: Selection = Selection::Reject { reason: "stopping", retry_after: Duration::ZERO };

/// Validated request of a caller, with its route and its deadline.
pub(super) struct InboundRequest {
    pub(super) shared: Arc<Shared>,
    /// Head of the HTTP request as received.
    pub(super) parts: Parts,
    /// Platform headers of the request, parsed.
    pub(super) head: RequestHead,
    pub(super) id: Name,
    /// Id of what the request asks for.
    pub(super) content: PartId,
    pub(super) request_parts: RequestParts,
    pub(super) identity: Identity,
    pub(super) route: Arc<Route>,
    pub(super) service: Name,
    /// Whether the upstreams of the service are model engines.
    pub(super) served_by_engines: bool,
    pub(super) body: Bytes,
    pub(super) arrived: Time,
    /// Time up to which the response meets the latency objective.
    pub(super) objective: Time,
    /// Time after which the caller no longer waits for the response.
    pub(super) deadline: Time,
    /// Tokens of the account's quota; `None` without a quota. Returned if no upstream runs the
    /// request.
    pub(super) quota: Option<QuotaPermit>,
    /// Stage of the request, for the log line of a request that is dropped.
    pub(super) stage: Mutex<Stage>,
}

/// Stage of a request that is being served.
#[derive(Clone, Debug, Default)]
pub(super) enum Stage {
    /// Waits for an upstream to be selected.
    #[default]
    Waiting,
    /// Was sent to this upstream, whose response has not begun.
    Sent(Name),
    /// Its final log line has been written.
    Logged,
}

impl Drop for InboundRequest {
    fn drop(&mut self) {
        let stage = self.stage.get_mut().unwrap_or_else(PoisonError::into_inner).clone();
        let (upstream, reason) = match &stage {
            Stage::Waiting => (None, "while waiting for an upstream"),
            Stage::Sent(upstream) => (Some(upstream), "before the response began"),
            Stage::Logged => return,
        };
        let outcome = self.shared.abandoned_outcome();
        self.log_completion(&Attempts::default(), outcome, upstream, 0, reason);
    }
}

/// Record of the attempts to serve a request.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Upstreams that the next attempt avoids, since they failed or refused the request.
    pub(super) tried: Vec<Name>,
    /// Attempts that an upstream may have executed.
    pub(super) possibly_executed: u32,
    /// Attempts that reached an upstream.
    delivered: u32,
    /// Attempts of which no byte was sent.
    not_sent: u32,
    /// Upstreams that refused the request without executing it.
    refused_by: Vec<Name>,
    /// Total time that the request waited for an upstream to be selected.
    pub(super) queued: Duration,
    /// Time from the arrival to the first bytes of a stream.
    pub(super) first_output: Option<Duration>,
    /// Longest time between two chunks of a stream.
    pub(super) longest_pause: Duration,
    /// How the end of the last response that was received was marked.
    framing: Option<Framing>,
    /// Number of bytes of response bodies that were received from all upstreams.
    body_bytes: usize,
}

impl Attempts {
    /// Records what was received of a response's body.
    pub(super) fn record_body(&mut self, framing: Framing, len: usize) {
        self.framing = Some(framing);
        self.body_bytes += len;
    }
}

/// Final outcome of a request.
enum Outcome {
    /// An upstream responded.
    Response { response: Response<Body>, upstream: Arc<UpstreamEntry> },
    /// The request was rejected by the node or refused by the upstreams.
    Reject { reason: &'static str, retry_after: Duration },
    /// The last attempt failed, and the upstream may have executed the request.
    Unknown(String),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// Result of selecting an upstream for an attempt.
pub(super) enum Selection {
    /// Upstream, the dispatcher's id of the attempt and the adapter version that must serve it.
    Send { job: JobId, upstream: Arc<UpstreamEntry>, version: Option<u64> },
    /// No upstream can serve the request in time.
    Reject { reason: &'static str, retry_after: Duration },
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl InboundRequest {
    /// Sends the request to upstreams until one responds, or until no further attempt is allowed.
    pub(super) async fn forward(self, guard: RequestGuard) -> Response<Body> {
        let mut attempts = Attempts::default();
        // Error response of an upstream, returned to the caller if no later attempt gets one.
        let mut fallback: Option<Response<Body>> = None;
        loop {
            let (job, upstream, version) =
                match self.select_upstream(&mut attempts, self.arrived).await {
                    Selection::Send { job, upstream, version } => (job, upstream, version),
                    Selection::Reject { reason, retry_after } => {
                        let outcome = Outcome::Reject { reason, retry_after };
                        return self.finish(&attempts, outcome, fallback);
                    }
                    Selection::DeadlineExceeded => {
                        return self.finish(&attempts, Outcome::DeadlineExceeded, fallback);
                    }
                };
            let head_deadline = self.head_deadline(&attempts, &upstream.id);
            let result = self.send_to(job, &upstream, version, head_deadline, None).await;
            let repeated = attempts.refused_by.contains(&upstream.id);
            self.settle_quota(attempts.possibly_executed, repeated, &result);
            let outcome = match result {
                AttemptResult::Response(response) => {
                    attempts.possibly_executed += 1;
                    attempts.delivered += 1;
                    match *response {
                        UpstreamResponse::Streaming { head, body, in_flight } => {
                            let request = Arc::new(self);
                            return streaming::stream_response(
                                request, attempts, head, *body, in_flight, guard,
                            );
                        }
                        UpstreamResponse::Buffered { head, body, held, framing } => {
                            attempts.record_body(framing, body.len());
                            let failed = head.status.is_server_error();
                            let response = self.build_buffered(head, body, held);
                            match failed && self.reserve_retry(&mut attempts, &upstream.id) {
                                true => {
                                    self.log_failed_attempt(&upstream.id, "error", "server error");
                                    fallback = Some(response);
                                    None
                                }
                                false => Some(Outcome::Response { response, upstream }),
                            }
                        }
                    }
                }
                AttemptResult::NotSent(error) => {
                    attempts.not_sent += 1;
                    self.log_failed_attempt(&upstream.id, "not_sent", &error);
                    attempts.tried.push(upstream.id.clone());
                    (attempts.not_sent >= MAX_UNSENT_ATTEMPTS).then_some(Outcome::Reject {
                        reason: "not_sent",
                        retry_after: REFUSED_RETRY_AFTER,
                    })
                }
                AttemptResult::Withdrawn => {
                    self.log_failed_attempt(&upstream.id, "withdrawn", "");
                    None
                }
                AttemptResult::NotExecuted(_) if attempts.refused_by.contains(&upstream.id) => {
                    let error = "the refusal may be an earlier one".to_owned();
                    self.settle_unknown(&mut attempts, &upstream.id, error)
                }
                AttemptResult::NotExecuted(reason) => {
                    self.log_failed_attempt(&upstream.id, "not_run", &format!("{reason:?}"));
                    self.settle_refusal(&mut attempts, &upstream.id, reason)
                }
                AttemptResult::Unknown(error) => {
                    self.settle_unknown(&mut attempts, &upstream.id, error)
                }
                AttemptResult::DeadlineExceeded => {
                    attempts.possibly_executed += 1;
                    Some(Outcome::DeadlineExceeded)
                }
            };
            if let Some(outcome) = outcome {
                return self.finish(&attempts, outcome, fallback);
            }
        }
    }

    /// Logs the outcome of a request and returns the response to the caller. The error response of
    /// an earlier attempt takes precedence over an error of the node, since it says more.
    fn finish(
        &self,
        attempts: &Attempts,
        outcome: Outcome,
        fallback: Option<Response<Body>>,
    ) -> Response<Body> {
        match (outcome, fallback) {
            (Outcome::Response { response, upstream }, _) => {
                let total = clock::now().since(self.arrived);
                self.shared.metrics.record_first_output(self.route.name.as_str(), total);
                let code = response.status().as_u16();
                self.log_completion(attempts, "answered", Some(&upstream.id), code, "");
                response
            }
            (_, Some(response)) => {
                let code = response.status().as_u16();
                self.log_completion(
                    attempts,
                    "answered",
                    None,
                    code,
                    "error response of an earlier attempt",
                );
                response
            }
            (Outcome::Reject { reason, retry_after }, None) if attempts.possibly_executed == 0 => {
                self.shared.metrics.record_rejection(reason);
                self.log_completion(attempts, "rejected", None, 503, reason);
                service_unavailable(retry_after)
            }
            // An upstream may have executed an earlier attempt, so 503 would be wrong.
            (Outcome::Reject { reason, .. }, None) => self.bad_gateway(attempts, reason),
            (Outcome::Unknown(reason), None) => self.bad_gateway(attempts, &reason),
            (Outcome::DeadlineExceeded, None) => {
                self.log_completion(attempts, "deadline", None, 504, "");
                empty_response(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Waits until the dispatcher selects an upstream or rejects the request. `since` is the time
    /// since which the caller has received no output: the arrival of the request, or the last
    /// event before a stream was interrupted.
    pub(super) async fn select_upstream(&self, attempts: &mut Attempts, since: Time) -> Selection {
        let now = clock::now();
        let left = self.deadline.since(now);
        if left.is_zero() {
            return Selection::DeadlineExceeded;
        }
        if self.shared.lifecycle.phase() >= Phase::Ended {
            return Selection::Reject { reason: "stopped", retry_after: REFUSED_RETRY_AFTER };
        }
        if !self.ends_before_process(attempts) {
            return STOPPING;
        }
        self.set_stage(Stage::Waiting);
        // Created first, so that a verdict between the check and the decision is not missed.
        let mut verdicts = self.shared.quarantine.subscribe();
        if let Some(retry_after) = self.request_parts.check(&self.shared, &self.id) {
            return Selection::Reject { reason: QUARANTINED, retry_after };
        }
        let id = self.shared.new_job_id();
        let job = Job {
            id,
            route: self.route.name.clone(),
            weight: self.route.policy.weight,
            floor: self.route.policy.floor,
            service: self.service.clone(),
            model: self.served_by_engines.then(|| self.head.model.clone()).flatten(),
            priority: self.priority(),
            arrived: since,
            objective: match (since > self.arrived, self.route.pause_objective) {
                (true, Some(pause)) => since + pause,
                (true, None) | (false, _) => self.objective,
            },
            first_output_deadline: match self.route.stall_timeout {
                Some(stall_timeout) => self.deadline.min(since + stall_timeout),
                None => self.deadline,
            },
            deadline: self.deadline,
            prompt_tokens: self.head.tokens.prompt,
            output_tokens: self.head.tokens.output,
            tried: attempts.tried.clone(),
            possibly_executed: attempts.possibly_executed > 0,
            give_up: (since == self.arrived).then_some(self.objective),
        };
        let pending = self.shared.submit(now, job);
        let decision = self.decision(attempts, pending, &mut verdicts, left).await;
        let decided = clock::now();
        attempts.queued += decided.since(now);
        match decision {
            Ok(DispatchDecision::Send { .. }) if !self.ends_before_process(attempts) => {
                self.shared.dispatcher().record_outcome(decided, id, SendOutcome::Abandoned);
                self.shared.dispatch_waiting(decided);
                STOPPING
            }
            Ok(DispatchDecision::Send { upstream, version }) => {
                self.log_selection(decided, &upstream.id);
                Selection::Send { job: id, upstream, version }
            }
            Ok(DispatchDecision::Reject { reason, retry_after }) => {
                Selection::Reject { reason: reason.code(), retry_after }
            }
            Err(selection) => selection,
        }
    }

    /// Waits for the dispatcher's decision on a submitted request, at most for `limit`.
    ///
    /// # Errors
    /// The request is rejected for another reason meanwhile, which the value tells.
    async fn decision(
        &self,
        attempts: &Attempts,
        mut pending: PendingJob,
        verdicts: &mut watch::Receiver<()>,
        limit: Duration,
    ) -> Result<DispatchDecision, Selection> {
        let decided = self.wait_for(limit, pending.decision());
        let stopping = self.shared.lifecycle.reached(Phase::Draining);
        tokio::pin!(decided, stopping);
        let mut is_stopping = false;
        let decision = loop {
            tokio::select! {
                decision = &mut decided => break decision,
                () = &mut stopping, if !is_stopping => {
                    is_stopping = true;
                    if !self.ends_before_process(attempts) {
                        return Err(STOPPING);
                    }
                }
                Ok(()) = verdicts.changed() => {
                    if let Some(retry_after) = self.request_parts.check(&self.shared, &self.id) {
                        return Err(Selection::Reject { reason: QUARANTINED, retry_after });
                    }
                }
            }
        };
        match decision {
            Ok(Some(decision)) => Ok(decision),
            Ok(None) | Err(WaitError::NodeStopped) => {
                let retry_after = REFUSED_RETRY_AFTER;
                Err(Selection::Reject { reason: "stopped", retry_after })
            }
            Err(WaitError::Timeout) => Err(Selection::DeadlineExceeded),
        }
    }

    /// Returns whether the request, if no upstream may have executed it yet, is expected to end before
    /// a stopping node does. Another node can serve it only as long as it was not sent.
    fn ends_before_process(&self, attempts: &Attempts) -> bool {
        let Some(process_end) = self.shared.lifecycle.process_end() else { return true };
        let times = self.shared.service_times();
        attempts.possibly_executed > 0
            || times.ends_before(clock::now(), &self.route, self.deadline, process_end)
    }

    /// Returns whether a request that `upstream` may have executed is sent once more. If so, counts
    /// the retry against the budget and excludes `upstream` from the retry.
    pub(super) fn reserve_retry(&self, attempts: &mut Attempts, upstream: &Name) -> bool {
        if !self.may_retry(attempts.possibly_executed) || !self.spend_retry_budget() {
            return false;
        }
        attempts.tried.push(upstream.clone());
        true
    }

    /// Returns whether a further attempt is allowed after `possibly_executed` attempts that an
    /// upstream may have executed, if the retry budget admits it.
    pub(super) fn may_retry(&self, possibly_executed: u32) -> bool {
        self.route.kind.is_retryable()
            && possibly_executed < self.route.max_attempts
            && self.shared.lifecycle.phase() < Phase::Ended
    }

    fn spend_retry_budget(&self) -> bool {
        let now = clock::now();
        let nodes = self.shared.node_count(now);
        self.shared.budget().try_take(now, &self.service, nodes)
    }

    /// Counts an attempt that `upstream` may have executed. Returns the outcome unless the request is
    /// sent once more.
    fn settle_unknown(
        &self,
        attempts: &mut Attempts,
        upstream: &Name,
        error: String,
    ) -> Option<Outcome> {
        attempts.possibly_executed += 1;
        attempts.delivered += 1;
        self.log_failed_attempt(upstream, "unknown", &error);
        let retry = self.reserve_retry(attempts, upstream);
        (!retry).then_some(Outcome::Unknown(error))
    }

    /// Logs what the selection of `upstream` was based on, if its service reports speeds.
    fn log_selection(&self, now: Time, upstream: &Name) {
        let Some(inputs) = self.shared.dispatcher().selection_inputs(now, upstream) else { return };
        self.shared.metrics.record_selected_slowness(f64::from(inputs.expected_percent) / 100.0);
        let age_ms = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
        tracing::info!(
            event = "selected",
            id = %self.id,
            %upstream,
            prompt_tokens = self.head.tokens.prompt,
            base = inputs.base_percent,
            pace = inputs.expected_percent,
            pace_age_ms = age_ms(inputs.pace_age),
            in_flight = inputs.in_flight,
            backlog = inputs.backlog_tokens,
            late_permille = inputs.late_streams_permille,
            load_age_ms = age_ms(inputs.load_age),
        );
    }

    /// Counts the first refusal of `upstream`. Returns the outcome unless the request is sent once
    /// more.
    ///
    /// Later refusals of the same upstream may be copies of this one. The request returns there only
    /// if the upstream named a time, or if no other one could load the adapter that was absent.
    fn settle_refusal(
        &self,
        attempts: &mut Attempts,
        upstream: &Name,
        reason: NotExecutedReason,
    ) -> Option<Outcome> {
        attempts.delivered += 1;
        attempts.refused_by.push(upstream.clone());
        let dispatcher = self.shared.dispatcher();
        let has_other = dispatcher.has_other_upstream(&self.service, upstream, &attempts.tried);
        drop(dispatcher);
        let may_return = match reason {
            NotExecutedReason::Away => true,
            NotExecutedReason::AdapterAbsent => !has_other,
            NotExecutedReason::Full | NotExecutedReason::Misdirected => false,
        };
        if reason == NotExecutedReason::Misdirected {
            self.shared.pool.close_idle(upstream.as_str());
        }
        if !may_return {
            attempts.tried.push(upstream.clone());
        }
        let retry = (has_other || may_return)
            && attempts.refused_by.len() < MAX_REFUSED_ATTEMPTS
            && self.spend_retry_budget();
        let retry_after = REFUSED_RETRY_AFTER;
        (!retry).then_some(Outcome::Reject { reason: "refused", retry_after })
    }

    /// Returns the time up to which an attempt at `upstream` waits for the head of the response. It
    /// is earlier than the deadline if a further attempt may follow at another upstream.
    pub(super) fn head_deadline(&self, attempts: &Attempts, upstream: &Name) -> Time {
        let span = match self.route.kind {
            RouteKind::Idempotent => self.route.objective.max(MIN_HEAD_TIMEOUT),
            RouteKind::Streaming { resumable: true } => {
                self.route.objective * STREAM_HEAD_OBJECTIVES
            }
            RouteKind::NonIdempotent | RouteKind::Streaming { resumable: false } => {
                return self.deadline;
            }
        };
        let may_retry = attempts.possibly_executed + 1 < self.route.max_attempts
            && self.shared.dispatcher().has_other_upstream(
                &self.service,
                upstream,
                &attempts.tried,
            );
        if may_retry { clock::now() + span } else { self.deadline }
    }

    /// Builds the response to the caller from the head of an upstream's response.
    pub(super) fn build_response(&self, head: http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.protocol.caller_response_headers(&head.headers);
        response
    }

    /// Builds the response to the caller from a whole response of an upstream.
    fn build_buffered(
        &self,
        head: http::response::Parts,
        body: Bytes,
        held: HeldResponse,
    ) -> Response<Body> {
        let counted = held.counted();
        let mut response = self.build_response(head, body::full(held.attach(body)));
        if let Some(counted) = counted {
            response.extensions_mut().insert(counted);
            response.extensions_mut().insert(SendDeadline(self.deadline + SEND_SLACK));
        }
        response
    }

    /// Returns status 502, for a request that an upstream may have executed.
    fn bad_gateway(&self, attempts: &Attempts, reason: &str) -> Response<Body> {
        self.log_completion(attempts, "unknown", None, 502, reason);
        empty_response(StatusCode::BAD_GATEWAY)
    }

    /// Returns the priority of the request, 0 being the most urgent.
    pub(super) fn priority(&self) -> u8 {
        self.identity.priority(self.route.priority)
    }

    pub(super) fn set_stage(&self, stage: Stage) {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    fn log_failed_attempt(&self, upstream: &Name, result: &'static str, reason: &str) {
        tracing::info!(
            event = "try_failed",
            id = %self.id,
            %upstream,
            result,
            reason,
            ms = clock::now().since(self.arrived).as_millis() as u64
        );
    }

    /// Records the metrics of a finished request and writes its final log line.
    pub(super) fn log_completion(
        &self,
        attempts: &Attempts,
        outcome: &'static str,
        upstream: Option<&Name>,
        code: u16,
        reason: &str,
    ) {
        self.set_stage(Stage::Logged);
        let now = clock::now();
        let total = now.since(self.arrived);
        let grant_age = self.quota.as_ref().and_then(QuotaPermit::grant_age);
        if matches!(outcome, "answered" | "deadline" | "interrupted") {
            let time = total.saturating_sub(attempts.queued);
            self.shared.service_times().record(now, &self.route.name, time);
        }
        self.shared.metrics.record_request(self.route.name.as_str(), outcome, total);
        if let Some(account) = self.identity.account() {
            self.shared.metrics.accounts.record_request(&account.name, outcome);
        }
        self.shared.metrics.record_queue_time(attempts.queued);
        tracing::info!(
            event = "request",
            id = %self.id,
            content = %self.content,
            route = %self.route.name,
            account = self.identity.account().map(|account| account.name.as_str()),
            service = %self.service,
            adapter = self.head.model.as_ref().and_then(|m| m.adapter.as_ref()).map(Name::as_str),
            outcome,
            upstream = upstream.map(Name::as_str),
            code,
            reason,
            queued_ms = attempts.queued.as_millis() as u64,
            total_ms = total.as_millis() as u64,
            first_ms = attempts.first_output.map(|delay| delay.as_millis() as u64),
            pause_ms = attempts.longest_pause.as_millis() as u64,
            tokens = self.head.tokens.prompt,
            quota_tokens = self.quota.as_ref().map(QuotaPermit::tokens),
            grant_ms = grant_age.map(|age| age.as_millis() as u64),
            sends = attempts.delivered,
            framing = attempts.framing.map(Framing::name),
            bytes = attempts.body_bytes,
        );
    }
}
