//! Streaming of responses to the caller.
//!
//! Data is passed on as it arrives. If the upstream of a resumable stream fails, the stream is
//! resumed at another upstream within the same response. If the upstream sends nothing for too
//! long, another one is selected, and the stream moves there unless data arrives before that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::health::Failure;
use futures::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::task::yield_now;

use crate::body::Body;
use crate::body::BodyError;
use crate::body::SendDeadline;
use crate::clock;
use crate::lifecycle::Phase;
use crate::response_memory::HeldResponse;
use crate::response_memory::MemoryError;
use crate::sse::EventFault;
use crate::sse::EventScanner;

use super::RequestGuard;
use super::attempt::AttemptResult;
use super::attempt::InFlightAttempt;
use super::attempt::UpstreamResponse;
use super::attempt::WaitError;
use super::inbound_request::Attempts;
use super::inbound_request::InboundRequest;
use super::inbound_request::Selection;
use super::response_body::ReadError;
use super::response_body::ResponseBody;
use super::revocation::KeyWatch;

/// Time without data after which another upstream is selected for a resumable stream that has
/// begun, if an attempt is left. Several times the longest pause that any deployment allows,
/// because a request that the engine has preempted may pause longer than allowed and still finish.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of bytes of a stream after which the other tasks of the node have their turn, so that an
/// upstream that sends without end doesn't delay their requests.
const MAX_TURN_BYTES: usize = 16 * 1024;
/// Reason for resuming a stream whose upstream is silent, for the log.
const SILENT: &str = "no data in time";
/// Reason for not ending a stream at the end of a response, for the log.
const CUT_EVENT_MISSING: &str = "the response ended without the event that was cut off";
/// Outcome of a stream that was ended because its key was revoked, for the log.
const REVOKED: &str = "revoked";
/// Content type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// Time after the deadline for which an upstream may still end its stream by itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Time after the deadline for which the rest of a stream may still be sent to the caller. Longer than
/// [`DEADLINE_SLACK`], because hyper polls the stream only while the caller reads.
pub(super) const SEND_SLACK: Duration = Duration::from_millis(300);

/// Passes the stream of one response from its upstreams to the caller.
struct StreamRelay {
    request: Arc<InboundRequest>,
    attempts: Attempts,
    upstream: Name,
    /// Body of the current upstream; `None` while the stream is being resumed, and at its end.
    body: Option<ResponseBody>,
    in_flight: InFlightAttempt,
    /// Splits the data into events; `None` if the stream is not resumable and passed on unchanged.
    scanner: Option<EventScanner>,
    /// Memory of the event that is kept back until it is complete.
    held: HeldResponse,
    key: KeyWatch,
    /// Whether the caller has received data.
    started: bool,
    ended: bool,
    /// Whether the stream may move to another upstream if its own is silent.
    may_move: bool,
    /// Number of bytes received since the other tasks of the node had their turn.
    turn_bytes: usize,
    /// Result of a receive that has not been handled yet.
    received: Option<StreamStep>,
    /// Time at which data for the caller was last received; before the first data, the start of the
    /// response.
    last_data: Time,
    _guard: RequestGuard,
}

/// Result of receiving from the upstream.
enum StreamStep {
    /// Data for the caller.
    Data(Bytes),
    /// Nothing that is passed on, such as part of an event.
    Skip,
    /// Regular end of the stream.
    End,
    /// The stream was interrupted.
    Broken(String, Failure),
    /// No data arrived for [`SILENCE_TIMEOUT`].
    Silent,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The grace period of the node's stop is over.
    NodeStopped,
    /// The key of the request was revoked.
    KeyRevoked,
}

/// Upstream that was selected for the next attempt, see [`Selection::Send`].
struct NextUpstream {
    job: JobId,
    upstream: Arc<UpstreamEntry>,
    version: Option<u64>,
}

/// Returns a response that streams `body` to the caller.
pub(super) fn stream_response(
    request: Arc<InboundRequest>,
    attempts: Attempts,
    head: http::response::Parts,
    body: ResponseBody,
    in_flight: InFlightAttempt,
    guard: RequestGuard,
) -> Response<Body> {
    let resumable = request.route.kind == RouteKind::Streaming { resumable: true };
    let scanner = resumable.then(|| EventScanner::new(request.head.last_event_id));
    let key = KeyWatch::new(&request.shared, &request.identity);
    let connection_key = key.is_watching().then(|| key.clone());
    let relay = StreamRelay {
        request: Arc::clone(&request),
        attempts,
        upstream: body.upstream().clone(),
        body: Some(body),
        in_flight,
        scanner,
        held: HeldResponse::new(&request.shared.response_memory),
        key,
        started: false,
        ended: false,
        may_move: true,
        turn_bytes: 0,
        received: None,
        last_data: clock::now(),
        _guard: guard,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_chunk().await?;
        Some((item.map(Frame::data), relay))
    });
    let body = BodyExt::boxed_unsync(StreamBody::new(frames));
    let mut response = request.build_response(head, body);
    response.extensions_mut().insert(SendDeadline(request.deadline + SEND_SLACK));
    if let Some(key) = connection_key {
        response.extensions_mut().insert(key);
    }
    response
}

impl StreamRelay {
    /// Returns the next data for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.ended {
            match self.receive().await {
                StreamStep::Data(data) => {
                    self.record_output(&data);
                    return Some(Ok(data));
                }
                StreamStep::Skip => {}
                StreamStep::End => {
                    self.finish();
                    return None;
                }
                StreamStep::DeadlineExceeded => {
                    self.abort("deadline", SendOutcome::Failed(Failure::Timeout), "");
                    return Some(Err(BodyError::Deadline));
                }
                StreamStep::NodeStopped => {
                    self.abort("interrupted", SendOutcome::Abandoned, "");
                    return Some(Err(BodyError::NodeStopped));
                }
                StreamStep::KeyRevoked => {
                    self.abort(REVOKED, SendOutcome::Abandoned, "");
                    return Some(Err(BodyError::KeyRevoked));
                }
                StreamStep::Silent => {
                    if let Some(next) = self.select_next().await
                        && let Err(e) = self.resume(SILENT, Failure::Timeout, Some(next)).await
                    {
                        return Some(Err(e));
                    }
                }
                // A stream that broke off is not resumed only to be ended.
                StreamStep::Broken(..) if self.key.is_revoked() => {
                    self.received = Some(StreamStep::KeyRevoked);
                }
                StreamStep::Broken(reason, failure) => {
                    if let Err(e) = self.resume(&reason, failure, None).await {
                        return Some(Err(e));
                    }
                }
            }
        }
        None
    }

    /// Receives one frame from the upstream, or detects that the stream ended or timed out.
    async fn receive(&mut self) -> StreamStep {
        if let Some(step) = self.received.take() {
            return step;
        }
        if let Some(fault) = self.scanner.as_ref().and_then(EventScanner::fault) {
            return self.reject(fault);
        }
        let now = clock::now();
        let end = self.request.deadline + DEADLINE_SLACK;
        // Data that is ready takes precedence in the wait below.
        if now >= end {
            return StreamStep::DeadlineExceeded;
        }
        if self.request.shared.lifecycle.phase() == Phase::Ended {
            return StreamStep::NodeStopped;
        }
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            yield_now().await;
        }
        let receive_deadline = match (&self.scanner, self.started) {
            (Some(_), true)
                if self.may_move && self.request.may_retry(self.attempts.possibly_executed) =>
            {
                now + SILENCE_TIMEOUT
            }
            (Some(_), _) | (None, _) => end,
        };
        let wait = receive_deadline.min(end).since(now);
        let Some(body) = &mut self.body else {
            return broken("the connection is closed");
        };
        let data = async {
            tokio::select! {
                biased;
                () = self.held.given_up() => Err(ReadError::Memory(MemoryError::Exceeded)),
                data = body.next(&self.request.shared) => data,
            }
        };
        let received = tokio::select! {
            biased;
            () = self.key.revoked() => return StreamStep::KeyRevoked,
            received = self.request.wait_for(wait, data) => received,
        };
        match received {
            Ok(data) => self.handle_data(data),
            Err(WaitError::NodeStopped) => StreamStep::NodeStopped,
            Err(WaitError::Timeout) if is_past(end) => StreamStep::DeadlineExceeded,
            Err(WaitError::Timeout) => StreamStep::Silent,
        }
    }

    /// Handles what was received from the upstream; `None` is the end of a whole stream.
    fn handle_data(&mut self, data: Result<Option<Bytes>, ReadError>) -> StreamStep {
        match data {
            Ok(Some(data)) => {
                self.turn_bytes += data.len();
                self.split_events(data)
            }
            Ok(None) => match &mut self.scanner {
                Some(scanner) if scanner.misses_event() => broken(CUT_EVENT_MISSING),
                Some(scanner) if scanner.has_partial_event() => {
                    StreamStep::Data(scanner.take_rest())
                }
                Some(_) | None => StreamStep::End,
            },
            Err(e) if e.is_end() => broken(e),
            Err(e) => self.reject(e),
        }
    }

    /// Keeps back incomplete and repeated events of a resumable stream.
    fn split_events(&mut self, data: Bytes) -> StreamStep {
        let Some(scanner) = &mut self.scanner else { return StreamStep::Data(data) };
        let events = scanner.push(&data);
        let too_large = match scanner.is_oversized() {
            true => Some("an event is too large".to_owned()),
            false => self.held.set(scanner.memory()).err().map(|e| e.to_string()),
        };
        match (scanner.fault(), too_large) {
            (Some(fault @ EventFault::NotContinued), _) => self.reject(fault),
            // Whole events before a fault are passed on first; the next receive reports it.
            (_, _) if !events.is_empty() => StreamStep::Data(events),
            (Some(fault), _) => self.reject(fault),
            (None, Some(reason)) => self.reject(reason),
            (None, None) => StreamStep::Skip,
        }
    }

    /// Gives up a response that is not valid or too large.
    fn reject(&mut self, reason: impl ToString) -> StreamStep {
        self.in_flight.ignore_evidence();
        broken(reason)
    }

    /// Records the time of the first data for the caller, or the pause since the last data.
    fn record_output(&mut self, data: &[u8]) {
        self.in_flight.record_data(data);
        let now = clock::now();
        let pause = now.since(self.last_data);
        self.last_data = now;
        if self.started {
            self.attempts.longest_pause = self.attempts.longest_pause.max(pause);
            return;
        }
        self.started = true;
        self.in_flight.record_first_output();
        let delay = now.since(self.request.arrived);
        self.attempts.first_output = Some(delay);
        self.request.shared.metrics.record_first_output(self.request.route.name.as_str(), delay);
    }

    /// Selects another upstream for a stream whose upstream is silent. Returns `None` if the stream
    /// stays where it is, because data arrived before that or no upstream was selected.
    async fn select_next(&mut self) -> Option<NextUpstream> {
        let upstream = self.upstream.clone();
        if !self.request.reserve_retry(&mut self.attempts, &upstream) {
            self.may_move = false;
            return None;
        }
        let body = self.body.as_mut()?;
        let selection = tokio::select! {
            biased;
            data = body.next(&self.request.shared) => Err(data),
            selection = self.request.select_upstream(&mut self.attempts, self.last_data) => {
                Ok(selection)
            }
        };
        match selection {
            Ok(Selection::Send { job, upstream, version }) => {
                return Some(NextUpstream { job, upstream, version });
            }
            Ok(Selection::Reject { .. } | Selection::DeadlineExceeded) => self.may_move = false,
            Err(data) => self.received = Some(self.handle_data(data)),
        }
        self.attempts.tried.retain(|tried| *tried != upstream);
        None
    }

    /// Resumes the stream at `next` or, if that is `None` or fails, at further upstreams. Reports
    /// the stream as cut off if no attempt is left or none succeeds.
    async fn resume(
        &mut self,
        reason: &str,
        failure: Failure,
        next: Option<NextUpstream>,
    ) -> Result<(), BodyError> {
        if self.try_resume(reason, failure, next).await {
            return Ok(());
        }
        self.abort("broken", SendOutcome::Failed(failure), reason);
        // hyper discards data that it has not written yet when a body fails.
        yield_now().await;
        Err(BodyError::Upstream(reason.to_owned()))
    }

    /// Returns whether the stream was resumed; see [`StreamRelay::resume`].
    async fn try_resume(
        &mut self,
        reason: &str,
        failure: Failure,
        mut next: Option<NextUpstream>,
    ) -> bool {
        let Some(scanner) = &mut self.scanner else { return false };
        scanner.begin_resume();
        self.held = HeldResponse::new(&self.request.shared.response_memory);
        let last_id = scanner.last_id();
        let since = if self.started { self.last_data } else { self.request.arrived };
        self.in_flight.finish(SendOutcome::Failed(failure));
        // Closes the connection, so that the first upstream stops before the second one starts.
        self.close_body();
        loop {
            let upstream = self.upstream.clone();
            let NextUpstream { job, upstream, version } = match next.take() {
                Some(next) => next,
                None if !self.request.reserve_retry(&mut self.attempts, &upstream) => return false,
                None => match self.request.select_upstream(&mut self.attempts, since).await {
                    Selection::Send { job, upstream, version } => {
                        NextUpstream { job, upstream, version }
                    }
                    Selection::Reject { .. } | Selection::DeadlineExceeded => return false,
                },
            };
            let head_deadline = self.request.head_deadline(&self.attempts, &upstream.id);
            let result =
                self.request.send_to(job, &upstream, version, head_deadline, last_id).await;
            self.upstream = upstream.id.clone();
            self.attempts.possibly_executed += 1;
            let response = match result {
                AttemptResult::Response(response) => Some(*response),
                AttemptResult::NotSent(_)
                | AttemptResult::Withdrawn
                | AttemptResult::NotExecuted(_)
                | AttemptResult::Unknown(_)
                | AttemptResult::DeadlineExceeded => None,
            };
            let response = response.filter(may_continue);
            tracing::info!(
                event = "stream_resumed",
                id = %self.request.id,
                upstream = %upstream.id,
                after = last_id,
                reason,
                ok = matches!(response, Some(UpstreamResponse::Streaming { .. }))
            );
            if let Some(UpstreamResponse::Streaming { body, in_flight, .. }) = response {
                self.body = Some(*body);
                self.in_flight = in_flight;
                if self.started {
                    self.in_flight.record_first_output();
                }
                return true;
            }
        }
    }

    /// Reports a complete stream and returns its connection to the pool.
    fn finish(&mut self) {
        self.ended = true;
        if let Some(objective) = self.request.route.pause_objective {
            let share = self.attempts.longest_pause.as_secs_f64() / objective.as_secs_f64();
            let permille = (share * 1_000.0) as u32;
            self.request.shared.dispatcher().record_pause(clock::now(), &self.upstream, permille);
        }
        self.in_flight.finish(SendOutcome::Served);
        self.record_body();
        if let Some(body) = self.body.take() {
            body.release(&self.request.shared);
        }
        self.request.log_completion(&self.attempts, "answered", Some(&self.upstream), 200, "");
    }

    /// Records the framing and the size of the body, for the log line of the request.
    fn record_body(&mut self) {
        if let Some(body) = &self.body {
            self.attempts.record_body(body.framing(), body.len());
        }
    }

    /// Closes the connection to the upstream.
    fn close_body(&mut self) {
        self.record_body();
        self.body = None;
    }

    /// Closes the connection and reports a stream that was cut off.
    fn abort(&mut self, outcome: &'static str, send: SendOutcome, reason: &str) {
        self.ended = true;
        self.close_body();
        self.in_flight.finish(send);
        self.request.log_completion(&self.attempts, outcome, Some(&self.upstream), 200, reason);
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.close_body();
            let outcome = match self.key.is_revoked() {
                true => REVOKED,
                false => self.request.shared.abandoned_outcome(),
            };
            self.request.log_completion(&self.attempts, outcome, Some(&self.upstream), 200, "");
        }
    }
}

/// Returns whether a response may be the rest of a stream that has begun: an error or a document of
/// another type is not.
fn may_continue(response: &UpstreamResponse) -> bool {
    let UpstreamResponse::Streaming { head, .. } = response else { return false };
    let content_type = head.headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    let is_events = content_type
        .is_none_or(|value| value.to_ascii_lowercase().starts_with(EVENT_STREAM_TYPE.as_bytes()));
    head.status == StatusCode::OK && is_events
}

fn broken(reason: impl ToString) -> StreamStep {
    StreamStep::Broken(reason.to_string(), Failure::Broken)
}

fn is_past(time: Time) -> bool {
    clock::now() >= time
}
