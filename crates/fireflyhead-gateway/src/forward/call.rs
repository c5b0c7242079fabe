//! Tries of one request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::protocol::RequestHead;
use http::Response;
use http::StatusCode;
use http::request::Parts;

use crate::body;
use crate::body::Body;
use crate::clock;
use crate::state::Shared;

use super::Open;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::NotRun;
use super::replies::refusal;
use super::replies::status;
use super::streaming;

/// Tries without any byte sent, after which a request is given up.
const MAX_NOT_SENT: u32 = 6;
/// Sends that upstreams refused, after which a request is given up.
const MAX_NOT_RUN: u32 = 5;
/// Objectives after which a stream that may go on elsewhere is given up without a head.
const STREAM_PATIENCE: u32 = 3;
/// Shortest wait for an answer before a repeatable request is sent again.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);
/// Time after which a caller is asked to return when upstreams refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// Request of a caller.
pub(super) struct Call {
    pub(super) shared: Arc<Shared>,
    pub(super) parts: Parts,
    pub(super) head: RequestHead,
    pub(super) id: Name,
    pub(super) route: Arc<Route>,
    pub(super) service: Name,
    /// Whether the service consists of model engines.
    pub(super) engine: bool,
    pub(super) body: Bytes,
    pub(super) arrived: Time,
    pub(super) objective: Time,
    pub(super) deadline: Time,
    /// The line for the end was written.
    pub(super) logged: AtomicBool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.logged.load(Ordering::Relaxed) {
            self.log_end(&Tries::default(), "caller_left", None, 0, "before the answer began");
        }
    }
}

/// What became of a request so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    pub(super) tried: Vec<Name>,
    /// Sends that may have run.
    pub(super) runs: u32,
    /// Sends that reached an upstream.
    arrivals: u32,
    not_sent: u32,
    not_run: u32,
    pub(super) queued: Duration,
    /// Time from the arrival to the first bytes of a stream.
    pub(super) first_output: Option<Duration>,
    /// Longest time between two parts of a stream.
    pub(super) longest_pause: Duration,
}

/// End of all tries.
enum End {
    /// An upstream answered.
    Answer { response: Response<Body>, upstream: Arc<UpstreamEntry> },
    /// Nothing can take the request.
    Reject { reason: &'static str, retry_after: Duration },
    /// The request may have run.
    Unknown(String),
    /// The time of the request is over.
    Deadline,
}

/// Result of placing a request.
pub(super) enum Placed {
    /// An upstream with the number of the send.
    Send { job: JobId, upstream: Arc<UpstreamEntry>, version: Option<u64> },
    /// Nothing can take it.
    Reject { reason: &'static str, retry_after: Duration },
    /// The time of the request is over.
    Deadline,
}

impl Call {
    /// Answers the request.
    pub(super) async fn run(self, open: Open) -> Response<Body> {
        let mut tries = Tries::default();
        // Error answer of an upstream that is delivered if no other try does better.
        let mut fallback: Option<Response<Body>> = None;
        loop {
            let (job, upstream, version) = match self.place(&mut tries, self.arrived).await {
                Placed::Send { job, upstream, version } => (job, upstream, version),
                Placed::Reject { reason, retry_after } => {
                    return self.end(&tries, End::Reject { reason, retry_after }, fallback);
                }
                Placed::Deadline => return self.end(&tries, End::Deadline, fallback),
            };
            let patience = self.patience(&tries);
            let exchange = self.exchange(job, &upstream, version, patience, None).await;
            let end = match exchange {
                Exchange::Answer(answer) => {
                    tries.runs += 1;
                    tries.arrivals += 1;
                    match *answer {
                        Answer::Stream { head, body, lease, flight } => {
                            let call = Arc::new(self);
                            return streaming::respond(
                                call, tries, head, body, lease, flight, &upstream, open,
                            );
                        }
                        Answer::Whole { head, body } => {
                            let failed = head.status.is_server_error();
                            let response = self.response(head, body::full(body));
                            match failed && self.may_repeat(&mut tries, &upstream.id) {
                                true => {
                                    self.log_try(&upstream.id, "error", "the upstream failed");
                                    fallback = Some(response);
                                    None
                                }
                                false => Some(End::Answer { response, upstream }),
                            }
                        }
                    }
                }
                Exchange::NotSent(error) => {
                    tries.not_sent += 1;
                    self.log_try(&upstream.id, "not_sent", &error);
                    tries.tried.push(upstream.id.clone());
                    (tries.not_sent >= MAX_NOT_SENT)
                        .then_some(End::Reject { reason: "not_sent", retry_after: REFUSED_RETRY })
                }
                Exchange::NotRun(reason) => {
                    tries.arrivals += 1;
                    tries.not_run += 1;
                    self.log_try(&upstream.id, "not_run", &format!("{reason:?}"));
                    (!self.may_try_elsewhere(&tries, &upstream.id, reason))
                        .then_some(End::Reject { reason: "refused", retry_after: REFUSED_RETRY })
                }
                Exchange::Unknown(error) => {
                    tries.runs += 1;
                    tries.arrivals += 1;
                    self.log_try(&upstream.id, "unknown", &error);
                    let repeat = self.may_repeat(&mut tries, &upstream.id);
                    (!repeat).then_some(End::Unknown(error))
                }
                Exchange::Deadline => {
                    tries.runs += 1;
                    Some(End::Deadline)
                }
            };
            if let Some(end) = end {
                return self.end(&tries, end, fallback);
            }
        }
    }

    /// Answer at the end of all tries. An error that an upstream answered before goes first, since
    /// it says more than an answer of the node.
    fn end(&self, tries: &Tries, end: End, fallback: Option<Response<Body>>) -> Response<Body> {
        match (end, fallback) {
            (End::Answer { response, upstream }, _) => {
                let total = clock::now().since(self.arrived);
                self.shared.metrics.first_output(self.route.name.as_str(), total);
                let code = response.status().as_u16();
                self.log_end(tries, "answered", Some(&upstream.id), code, "");
                response
            }
            (_, Some(response)) => {
                let code = response.status().as_u16();
                self.log_end(tries, "answered", None, code, "the error of an earlier try");
                response
            }
            (End::Reject { reason, retry_after }, None) if tries.runs == 0 => {
                self.shared.metrics.rejection(reason);
                self.log_end(tries, "rejected", None, 503, reason);
                refusal(retry_after)
            }
            // An earlier try may have run, so that nothing else is certain.
            (End::Reject { reason, .. }, None) => self.fail(tries, reason),
            (End::Unknown(reason), None) => self.fail(tries, &reason),
            (End::Deadline, None) => {
                self.log_end(tries, "deadline", None, 504, "");
                status(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Waits until the dispatcher has chosen an upstream. The caller has had no output since
    /// `since`, which is its arrival or the last event before a break.
    pub(super) async fn place(&self, tries: &mut Tries, since: Time) -> Placed {
        let now = clock::now();
        let left = self.deadline.since(now);
        if left.is_zero() {
            return Placed::Deadline;
        }
        let id = self.shared.job_id();
        let job = Job {
            id,
            route: self.route.name.clone(),
            weight: self.route.policy.weight,
            floor: self.route.policy.floor,
            service: self.service.clone(),
            model: self.engine.then(|| self.head.model.clone()).flatten(),
            priority: self.route.priority,
            arrived: since,
            objective: match (since > self.arrived, self.route.pause_objective) {
                (true, Some(pause)) => since + pause,
                (true, None) | (false, _) => self.objective,
            },
            first_output_deadline: match self.route.stall_timeout {
                Some(patience) => self.deadline.min(since + patience),
                None => self.deadline,
            },
            deadline: self.deadline,
            prompt_tokens: self.head.tokens.prompt,
            output_tokens: self.head.tokens.output,
            tried: tries.tried.clone(),
        };
        let mut pending = self.shared.submit(now, job);
        let verdict = tokio::time::timeout(left, pending.verdict()).await;
        tries.queued += clock::now().since(now);
        match verdict {
            Ok(Some(DispatchDecision::Send { upstream, version })) => {
                Placed::Send { job: id, upstream, version }
            }
            Ok(Some(DispatchDecision::Reject { reason, retry_after })) => {
                Placed::Reject { reason: reason.code(), retry_after }
            }
            Ok(None) => Placed::Reject { reason: "stopped", retry_after: REFUSED_RETRY },
            Err(_) => Placed::Deadline,
        }
    }

    /// Whether a request that may have run is sent once more; takes it out of the budget.
    pub(super) fn may_repeat(&self, tries: &mut Tries, upstream: &Name) -> bool {
        let allowed = self.route.kind.is_retryable() && tries.runs < self.route.max_attempts;
        if !allowed || !self.take_budget() {
            return false;
        }
        tries.tried.push(upstream.clone());
        true
    }

    fn take_budget(&self) -> bool {
        let now = clock::now();
        let nodes = self.shared.node_count(now);
        self.shared.budget().try_take(now, &self.service, nodes)
    }

    /// Whether a request that `upstream` did not run is sent to another one; takes it out of the
    /// budget.
    fn may_try_elsewhere(&self, tries: &Tries, upstream: &Name, reason: NotRun) -> bool {
        // The dispatcher avoids the upstream by itself for an absent adapter or a full queue.
        if reason == NotRun::Misdirected {
            self.shared.pool.forget(upstream.as_str());
        }
        tries.not_run < MAX_NOT_RUN && self.take_budget()
    }

    /// Moment up to which the head of the response is waited for.
    pub(super) fn patience(&self, tries: &Tries) -> Time {
        let span = match self.route.kind {
            RouteKind::Idempotent => self.route.objective.max(LEAST_PATIENCE),
            RouteKind::Streaming { resumable: true } => self.route.objective * STREAM_PATIENCE,
            RouteKind::NonIdempotent | RouteKind::Streaming { resumable: false } => {
                return self.deadline;
            }
        };
        match tries.runs + 1 < self.route.max_attempts {
            true => clock::now() + span,
            false => self.deadline,
        }
    }

    /// Response to the caller from an upstream's.
    pub(super) fn response(&self, head: http::response::Parts, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.protocol.caller_response_headers(&head.headers);
        response
    }

    fn fail(&self, tries: &Tries, reason: &str) -> Response<Body> {
        self.log_end(tries, "unknown", None, 502, reason);
        status(StatusCode::BAD_GATEWAY)
    }

    fn log_try(&self, upstream: &Name, result: &'static str, reason: &str) {
        tracing::info!(
            event = "try_failed",
            id = %self.id,
            %upstream,
            result,
            reason,
            ms = clock::now().since(self.arrived).as_millis() as u64
        );
    }

    /// One line for the end of a request.
    pub(super) fn log_end(
        &self,
        tries: &Tries,
        outcome: &'static str,
        upstream: Option<&Name>,
        code: u16,
        reason: &str,
    ) {
        self.logged.store(true, Ordering::Relaxed);
        let total = clock::now().since(self.arrived);
        self.shared.metrics.request(self.route.name.as_str(), outcome, total);
        self.shared.metrics.queued(tries.queued);
        tracing::info!(
            event = "request",
            id = %self.id,
            route = %self.route.name,
            service = %self.service,
            adapter = self.head.model.as_ref().and_then(|m| m.adapter.as_ref()).map(Name::as_str),
            outcome,
            upstream = upstream.map(Name::as_str),
            code,
            reason,
            queued_ms = tries.queued.as_millis() as u64,
            total_ms = total.as_millis() as u64,
            first_ms = tries.first_output.map(|delay| delay.as_millis() as u64),
            pause_ms = tries.longest_pause.as_millis() as u64,
            tokens = self.head.tokens.prompt,
            sends = tries.arrivals,
        );
    }
}
