//! One attempt: sending a request to one upstream and checking its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::protocol::NodeSetHeaders;
use fireflyhead_policy::protocol::ResponseHead;
use fireflyhead_policy::response::ResponseKind;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::clock;
use crate::departures;
use crate::lifecycle::Phase;
use crate::pool::MAX_IDLE_NOT_RETRYABLE;
use crate::pool::PooledConnection;
use crate::pool::SendError;
use crate::quarantine::PartObserver;
use crate::quarantine::QUARANTINED;
use crate::request_limits;
use crate::response_memory::HeldResponse;
use crate::state::Shared;

use super::inbound_request::InboundRequest;
use super::inbound_request::Stage;
use super::response_body::Content;
use super::response_body::Framing;
use super::response_body::ReadError;
use super::response_body::ResponseBody;

/// Longest time for which an upstream is not sent requests because it wants none. A longer one would
/// keep an upstream with a malformed header away for good.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Largest body of a response that is not a stream, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Attempt in progress. Dropping it before [`InFlightAttempt::finish`] reports that the caller
/// left, so that the dispatcher learns of the end of the attempt in any case.
pub(super) struct InFlightAttempt {
    shared: Arc<Shared>,
    id: JobId,
    parts: PartObserver,
    ended: bool,
}

impl InFlightAttempt {
    pub(super) fn new(shared: &Arc<Shared>, id: JobId, parts: PartObserver) -> InFlightAttempt {
        InFlightAttempt { shared: Arc::clone(shared), id, parts, ended: false }
    }

    /// Records data of a stream, for evidence on the parts of the prompt.
    pub(super) fn record_data(&mut self, data: &[u8]) {
        self.parts.record_data(&self.shared, data);
    }

    /// Records that the node gives the response up, so that the end of its connection is no evidence of
    /// a crash.
    pub(super) fn ignore_evidence(&mut self) {
        self.parts.ignore();
    }

    /// Reports the first output to the dispatcher and to the engine's holder.
    pub(super) fn record_first_output(&self) {
        let now = clock::now();
        self.shared.dispatcher().record_first_output(now, self.id);
        self.shared.send_holder_messages(now);
    }

    /// Reports the outcome of the attempt; later calls have no effect.
    pub(super) fn finish(&mut self, outcome: SendOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.parts.record_end(&self.shared, outcome);
        self.shared.metrics.record_send(outcome_name(outcome));
        let now = clock::now();
        self.shared.dispatcher().record_outcome(now, self.id, outcome);
        self.shared.dispatch_waiting(now);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.finish(SendOutcome::Abandoned);
    }
}

/// Response of an upstream.
pub(super) enum UpstreamResponse {
    /// Head and complete body.
    Buffered {
        /// Head.
        head: http::response::Parts,
        /// Body.
        body: Bytes,
        /// Memory of the body, to be kept until it has been sent.
        held: HeldResponse,
        /// How the end of the body was marked.
        framing: Framing,
    },
    /// Head, and a body that is still being received.
    Streaming {
        /// Head.
        head: http::response::Parts,
        /// Body.
        body: Box<ResponseBody>,
        /// Attempt, to be finished at the end of the body.
        in_flight: InFlightAttempt,
    },
}

/// Reason why an upstream did not execute a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotExecutedReason {
    /// It is full.
    Full,
    /// It wants no requests before a time that it named.
    Away,
    /// The adapter is not loaded.
    AdapterAbsent,
    /// Another upstream now uses the address.
    Misdirected,
}

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// The upstream responded.
    Response(Box<UpstreamResponse>),
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, because the upstream began to leave or wants no requests for
    /// a time.
    Withdrawn,
    /// The upstream refused the request without executing it.
    NotExecuted(NotExecutedReason),
    /// The attempt failed, and the upstream may have executed the request.
    Unknown(String),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// Reason why waiting for an upstream ended.
pub(super) enum WaitError {
    /// The limit has passed.
    Timeout,
    /// The grace period of the node's stop is over.
    NodeStopped,
}

impl InboundRequest {
    /// Waits for `upstream`, at most for `limit` and until the node stops.
    pub(super) async fn wait_for<F: Future>(
        &self,
        limit: Duration,
        upstream: F,
    ) -> Result<F::Output, WaitError> {
        tokio::select! {
            biased;
            result = timeout(limit, upstream) => result.map_err(|_| WaitError::Timeout),
            () = self.shared.lifecycle.reached(Phase::Ended) => Err(WaitError::NodeStopped),
        }
    }

    /// Sends the request to `upstream` and waits for the head of the response until
    /// `head_deadline`. `resume_after` is the id of the last event that the caller has, if the
    /// attempt resumes a stream.
    pub(super) async fn send_to(
        &self,
        job: JobId,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
        head_deadline: Time,
        resume_after: Option<u64>,
    ) -> AttemptResult {
        let parts = PartObserver::new(&self.id, &self.request_parts, upstream);
        let mut in_flight = InFlightAttempt::new(&self.shared, job, parts);
        self.set_stage(Stage::Sent(upstream.id.clone()));
        let max_idle = match self.route.kind.is_retryable() {
            true => Duration::MAX,
            false => MAX_IDLE_NOT_RETRYABLE,
        };
        let left = self.deadline.since(clock::now());
        let connect = self.shared.pool.acquire(&upstream.id, upstream.address, max_idle);
        let mut connection = match self.wait_for(left, connect).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                in_flight.finish(SendOutcome::Failed(Failure::Connect));
                return AttemptResult::NotSent(error.into_reason());
            }
            Err(WaitError::NodeStopped) => {
                return AttemptResult::NotSent("the node stopped".to_owned());
            }
            Err(WaitError::Timeout) => return AttemptResult::DeadlineExceeded,
        };
        let left = self.deadline.since(clock::now());
        if left.is_zero() {
            return AttemptResult::DeadlineExceeded;
        }
        if !self.shared.dispatcher().may_send(clock::now(), upstream) {
            in_flight.finish(SendOutcome::Abandoned);
            self.shared.pool.release(connection);
            return AttemptResult::Withdrawn;
        }
        let node_set = NodeSetHeaders {
            deadline: left,
            upstream: upstream.id.clone(),
            priority: self.served_by_engines.then(|| self.priority()),
            expected_version: version,
            last_event_id: resume_after,
            account: self.identity.caller_account(),
        };
        let Some(req) = self.build_request(&node_set) else {
            return AttemptResult::NotSent("the request target is not valid".to_owned());
        };
        if !self.request_parts.may_send(&self.shared) {
            in_flight.finish(SendOutcome::Abandoned);
            return AttemptResult::NotSent(QUARANTINED.to_owned());
        }
        if let Some(permit) = &self.quota {
            permit.consumed();
        }
        let sent = clock::now();
        let wait = head_deadline.min(self.deadline).since(sent);
        let response = match self.wait_for(wait, connection.send(req)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(error))) => {
                in_flight.finish(SendOutcome::Abandoned);
                return AttemptResult::NotSent(error);
            }
            Ok(Err(SendError::Unknown(error))) => {
                in_flight.finish(SendOutcome::Failed(Failure::Broken));
                return AttemptResult::Unknown(error);
            }
            Ok(Err(SendError::Invalid(error))) => {
                in_flight.ignore_evidence();
                in_flight.finish(SendOutcome::Failed(Failure::Broken));
                return AttemptResult::Unknown(error);
            }
            Err(WaitError::NodeStopped) => {
                return AttemptResult::Unknown("the node stopped".to_owned());
            }
            Err(WaitError::Timeout) if clock::now() >= self.deadline => {
                in_flight.finish(SendOutcome::Failed(Failure::Timeout));
                return AttemptResult::DeadlineExceeded;
            }
            Err(WaitError::Timeout) => {
                in_flight.finish(SendOutcome::Failed(Failure::Timeout));
                return AttemptResult::Unknown("no response head in time".to_owned());
            }
        };
        self.check_response(upstream, sent, response, connection, in_flight).await
    }

    /// Records with the quota of the account that the request has not run, if an attempt proves it.
    /// `possibly_executed` is the number of earlier attempts that an upstream may have executed, and
    /// `repeated` whether this upstream refused the request before: a further refusal may be a copy.
    pub(super) fn settle_quota(
        &self,
        possibly_executed: u32,
        repeated: bool,
        result: &AttemptResult,
    ) {
        let not_executed = match result {
            AttemptResult::NotSent(_) | AttemptResult::Withdrawn => true,
            AttemptResult::NotExecuted(_) => !repeated,
            AttemptResult::Response(_)
            | AttemptResult::Unknown(_)
            | AttemptResult::DeadlineExceeded => false,
        };
        if let Some(permit) = &self.quota
            && not_executed
            && possibly_executed == 0
        {
            permit.not_run();
        }
    }

    /// Builds the request to the upstream; `None` if the request target is not valid.
    fn build_request(&self, node_set: &NodeSetHeaders) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query()?.as_str();
        let mut req = Request::builder()
            .method(self.parts.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *req.headers_mut() =
            self.shared.protocol.upstream_request_headers(&self.parts.headers, node_set);
        Some(req)
    }

    /// Checks the head of the response to a request that was sent at `sent`, and reads the body
    /// unless it is a stream.
    async fn check_response(
        &self,
        upstream: &Arc<UpstreamEntry>,
        sent: Time,
        response: Response<Incoming>,
        mut connection: PooledConnection,
        mut in_flight: InFlightAttempt,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let info = self.shared.protocol.parse_response(&head.headers);
        let kind = connection.history().record_response(&self.id, head.status, &info);
        let content = match self.route.kind.is_stream() && head.status.is_success() {
            false => Content::Opaque,
            true => Content::Events,
        };
        let body = ResponseBody::new(&head, body, content, connection, Arc::clone(upstream));
        in_flight.parts.record_framing(body.framing());
        let fail = |in_flight: &mut InFlightAttempt, reason: &str| {
            in_flight.parts.ignore();
            in_flight.finish(SendOutcome::Failed(Failure::Broken));
            AttemptResult::Unknown(reason.to_owned())
        };
        self.record_retry_after(upstream, head.status, &info);
        if let ResponseKind::Invalid(reason) = kind {
            return fail(&mut in_flight, reason);
        }
        departures::handle_response(&self.shared, &upstream.id, upstream.incarnation, &info);
        let answered_at = (kind == ResponseKind::Answer).then_some(sent);
        let UpstreamEntry { id, incarnation, .. } = upstream.as_ref();
        request_limits::handle_response(&self.shared, id, *incarnation, answered_at, &info);
        if let Some(load) = info.load {
            self.shared.record_load_report(clock::now(), &upstream.id, load);
        }
        if kind == ResponseKind::Refusal {
            return self.handle_refusal(upstream, head.status, &info, body, in_flight).await;
        }
        if head.status.is_success() && head.headers.contains_key(header::CONTENT_ENCODING) {
            return fail(&mut in_flight, "the response has a content encoding");
        }
        if content != Content::Opaque {
            let body = Box::new(body);
            let response = UpstreamResponse::Streaming { head, body, in_flight };
            return AttemptResult::Response(Box::new(response));
        }
        self.read_buffered(head, body, in_flight).await
    }

    /// Records the time for which `upstream` wants no requests, if it names one.
    fn record_retry_after(
        &self,
        upstream: &UpstreamEntry,
        status: StatusCode,
        info: &ResponseHead,
    ) {
        let overloaded =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        let wait = match &info.retry_after {
            Some(Ok(wait)) if overloaded => (*wait).min(MAX_RETRY_AFTER),
            Some(Err(error)) if overloaded => {
                tracing::info!(event = "bad_retry_after", upstream = %upstream.id, %error);
                return;
            }
            Some(_) | None => return,
        };
        let now = clock::now();
        let UpstreamEntry { id, incarnation, .. } = upstream;
        let is_new = self.shared.dispatcher().record_retry_after(now, id, *incarnation, wait);
        self.shared.send_holder_messages(now);
        if is_new {
            let limited = wait == MAX_RETRY_AFTER;
            let ms = wait.as_millis() as u64;
            tracing::info!(event = "upstream_away", upstream = %id, ms, limited);
        }
    }

    /// Reports why `upstream` refused the request, and returns the connection to the pool unless
    /// the upstream may be another one.
    async fn handle_refusal(
        &self,
        upstream: &UpstreamEntry,
        status: StatusCode,
        info: &ResponseHead,
        body: ResponseBody,
        mut in_flight: InFlightAttempt,
    ) -> AttemptResult {
        let is_other_upstream = info.upstream.as_ref().is_some_and(|id| *id != upstream.id);
        let (reason, outcome) = match status {
            StatusCode::MISDIRECTED_REQUEST if is_other_upstream => {
                (NotExecutedReason::Misdirected, SendOutcome::Misdirected)
            }
            StatusCode::MISDIRECTED_REQUEST => {
                (NotExecutedReason::AdapterAbsent, SendOutcome::AdapterAbsent)
            }
            _ if matches!(info.retry_after, Some(Ok(wait)) if !wait.is_zero()) => {
                (NotExecutedReason::Away, SendOutcome::Full)
            }
            _ => (NotExecutedReason::Full, SendOutcome::Full),
        };
        in_flight.finish(outcome);
        if outcome == SendOutcome::Full {
            self.reuse_connection(body).await;
        }
        AttemptResult::NotExecuted(reason)
    }

    /// Reads the whole body of a response.
    async fn read_buffered(
        &self,
        head: http::response::Parts,
        mut body: ResponseBody,
        mut in_flight: InFlightAttempt,
    ) -> AttemptResult {
        let left = self.deadline.since(clock::now());
        let outcome = match head.status.is_server_error() {
            true => SendOutcome::Failed(Failure::ErrorResponse),
            false => SendOutcome::Served,
        };
        let read = body.read_whole(&self.shared, MAX_BUFFERED_BYTES);
        match self.wait_for(left, read).await {
            Ok(Ok((data, held))) => {
                match head.status.is_success() {
                    true => in_flight.parts.record_complete(&self.shared),
                    false => in_flight.parts.ignore(),
                }
                in_flight.finish(outcome);
                let framing = body.framing();
                body.release(&self.shared);
                let response = UpstreamResponse::Buffered { head, body: data, held, framing };
                AttemptResult::Response(Box::new(response))
            }
            // Says nothing about the upstream: other responses may have taken the memory.
            Ok(Err(error @ ReadError::Memory(_))) => {
                in_flight.finish(SendOutcome::Abandoned);
                AttemptResult::Unknown(error.to_string())
            }
            Ok(Err(error)) => {
                if !error.is_end() {
                    in_flight.ignore_evidence();
                }
                in_flight.finish(SendOutcome::Failed(Failure::Broken));
                AttemptResult::Unknown(error.to_string())
            }
            Err(WaitError::Timeout) => {
                in_flight.finish(SendOutcome::Failed(Failure::Timeout));
                AttemptResult::DeadlineExceeded
            }
            Err(WaitError::NodeStopped) => AttemptResult::Unknown("the node stopped".to_owned()),
        }
    }

    /// Reads the rest of a short response and returns the connection to the pool. The connection
    /// is closed if the rest takes too long or is too large.
    async fn reuse_connection(&self, mut body: ResponseBody) {
        const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
        const MAX_REFUSAL_BYTES: usize = 16 * 1024;
        if body.framing() == Framing::Connection {
            return;
        }
        let read = body.read_whole(&self.shared, MAX_REFUSAL_BYTES);
        if let Ok(Ok(_)) = timeout(DRAIN_TIMEOUT, read).await {
            body.release(&self.shared);
        }
    }
}

/// Returns the metrics label of an outcome.
const fn outcome_name(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Served => "served",
        SendOutcome::Failed(Failure::Connect) => "no_connection",
        SendOutcome::Failed(Failure::Broken) => "broken",
        SendOutcome::Failed(Failure::ErrorResponse) => "error",
        SendOutcome::Failed(Failure::Timeout) => "silent",
        SendOutcome::Full => "full",
        SendOutcome::AdapterAbsent => "adapter_absent",
        SendOutcome::Misdirected => "misdirected",
        SendOutcome::Abandoned => "abandoned",
    }
}
