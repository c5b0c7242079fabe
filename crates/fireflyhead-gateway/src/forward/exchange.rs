//! One send of a request to one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::protocol::SendFields;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::clock;
use crate::pool::FRESH_IDLE;
use crate::pool::Lease;
use crate::pool::SendError;
use crate::state::Shared;

use super::call::Call;

/// Largest response that is read as a whole before it is passed on.
const MAX_BUFFERED: usize = 4 * 1024 * 1024;

/// Send that is under way; the dispatcher learns its end in any case.
pub(super) struct Flight {
    shared: Arc<Shared>,
    id: JobId,
    ended: bool,
}

impl Flight {
    pub(super) fn new(shared: &Arc<Shared>, id: JobId) -> Flight {
        Flight { shared: Arc::clone(shared), id, ended: false }
    }

    /// Records the first output.
    pub(super) fn output(&self) {
        let now = clock::now();
        self.shared.dispatcher().record_first_output(now, self.id);
        self.shared.flush(now);
    }

    /// Records the end.
    pub(super) fn end(&mut self, outcome: SendOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.shared.metrics.send(outcome_name(outcome));
        let now = clock::now();
        self.shared.dispatcher().record_outcome(now, self.id, outcome);
        self.shared.pump(now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(SendOutcome::CallerLeft);
    }
}

/// Response of an upstream.
pub(super) enum Answer {
    /// Head and whole body.
    Whole {
        /// Head.
        head: http::response::Parts,
        /// Body.
        body: Bytes,
    },
    /// Head, and a body that is still being sent.
    Stream {
        /// Head.
        head: http::response::Parts,
        /// Body.
        body: Incoming,
        /// Connection.
        lease: Lease,
        /// Send.
        flight: Flight,
    },
}

/// Reason for which the upstream states that it did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotRun {
    Full,
    AdapterAbsent,
    Misdirected,
}

/// Result of a send.
pub(super) enum Exchange {
    /// The upstream answered.
    Answer(Box<Answer>),
    /// Nothing left the node.
    NotSent(String),
    /// The upstream did not run the request.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(String),
    /// The time of the request is over.
    Deadline,
}

impl Call {
    /// Sends the request to `upstream`. `patience` ends the wait for the head before the
    /// deadline; `resume` goes on after an event.
    pub(super) async fn exchange(
        &self,
        job: JobId,
        upstream: &UpstreamEntry,
        version: Option<u64>,
        patience: Time,
        resume: Option<u64>,
    ) -> Exchange {
        let mut flight = Flight::new(&self.shared, job);
        let max_idle = match self.route.kind.is_retryable() {
            true => Duration::MAX,
            false => FRESH_IDLE,
        };
        let connected = self.shared.pool.connect(&upstream.id, upstream.address, max_idle).await;
        let mut lease = match connected {
            Ok(lease) => lease,
            Err(SendError::NotSent(error) | SendError::Unknown(error)) => {
                flight.end(SendOutcome::Failed(Failure::Connect));
                return Exchange::NotSent(error);
            }
        };
        let left = self.deadline.since(clock::now());
        if left.is_zero() {
            return Exchange::Deadline;
        }
        let fields = SendFields {
            deadline: left,
            upstream: upstream.id.clone(),
            priority: self.engine.then_some(self.route.priority),
            version,
            last_event: resume,
        };
        let Some(req) = self.request(&fields) else {
            return Exchange::NotSent("the request can't be encoded".to_owned());
        };
        let wait = patience.min(self.deadline).since(clock::now());
        let response = match timeout(wait, lease.send(req)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(error))) => {
                flight.end(SendOutcome::CallerLeft);
                return Exchange::NotSent(error);
            }
            Ok(Err(SendError::Unknown(error))) => {
                flight.end(SendOutcome::Failed(Failure::Broken));
                return Exchange::Unknown(error);
            }
            Err(_) if clock::now() >= self.deadline => {
                flight.end(SendOutcome::Failed(Failure::Timeout));
                return Exchange::Deadline;
            }
            Err(_) => {
                flight.end(SendOutcome::Failed(Failure::Timeout));
                return Exchange::Unknown("no answer in time".to_owned());
            }
        };
        self.received(upstream, response, lease, flight).await
    }

    fn request(&self, fields: &SendFields) -> Option<Request<Full<Bytes>>> {
        let target = self.parts.uri.path_and_query()?.as_str();
        let mut req = Request::builder()
            .method(self.parts.method.clone())
            .uri(target)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *req.headers_mut() =
            self.shared.protocol.upstream_request_headers(&self.parts.headers, fields);
        Some(req)
    }

    /// Judges a response whose head has come.
    async fn received(
        &self,
        upstream: &UpstreamEntry,
        response: Response<Incoming>,
        lease: Lease,
        mut flight: Flight,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let info = self.shared.protocol.parse_response(&head.headers);
        let broken = |flight: &mut Flight, reason: &str| {
            flight.end(SendOutcome::Failed(Failure::Broken));
            Exchange::Unknown(reason.to_owned())
        };
        if info.id.as_ref().is_some_and(|id| *id != self.id) {
            return broken(&mut flight, "the response belongs to another request");
        }
        if let Some(load) = info.load {
            self.shared.dispatcher().record_load_report(clock::now(), upstream.id.as_str(), load);
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            let other = info.upstream.as_ref().is_some_and(|id| *id != upstream.id);
            let (reason, outcome) = match other {
                true => (NotRun::Misdirected, SendOutcome::Misdirected),
                false => (NotRun::AdapterAbsent, SendOutcome::AdapterAbsent),
            };
            flight.end(outcome);
            return Exchange::NotRun(reason);
        }
        if info.not_run {
            flight.end(SendOutcome::Full);
            self.keep_connection(body, lease).await;
            return Exchange::NotRun(NotRun::Full);
        }
        if info.id.is_none() || !info.signed {
            return broken(&mut flight, "the response bears no id or signature");
        }
        if head.status.is_success() && head.headers.contains_key(header::CONTENT_ENCODING) {
            return broken(&mut flight, "the response is encoded");
        }
        if self.route.kind.is_stream() && head.status.is_success() {
            return Exchange::Answer(Box::new(Answer::Stream { head, body, lease, flight }));
        }
        self.whole(head, body, lease, flight).await
    }

    /// Reads a response that is passed on as a whole.
    async fn whole(
        &self,
        head: http::response::Parts,
        body: Incoming,
        lease: Lease,
        mut flight: Flight,
    ) -> Exchange {
        let left = self.deadline.since(clock::now());
        let outcome = match head.status.is_server_error() {
            true => SendOutcome::Failed(Failure::ErrorResponse),
            false => SendOutcome::Served,
        };
        match timeout(left, crate::body::read(body, MAX_BUFFERED)).await {
            Ok(Ok(body)) => {
                flight.end(outcome);
                self.shared.pool.give_back(lease);
                Exchange::Answer(Box::new(Answer::Whole { head, body }))
            }
            Ok(Err(error)) => {
                flight.end(SendOutcome::Failed(Failure::Broken));
                Exchange::Unknown(format!("{error:?}"))
            }
            Err(_) => {
                flight.end(SendOutcome::Failed(Failure::Timeout));
                Exchange::Deadline
            }
        }
    }

    /// Reads what is left of a short answer, so that its connection can be used again.
    async fn keep_connection(&self, body: Incoming, lease: Lease) {
        const SHORT: Duration = Duration::from_millis(20);
        if let Ok(Ok(_)) = timeout(SHORT, body.collect()).await {
            self.shared.pool.give_back(lease);
        }
    }
}

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
        SendOutcome::CallerLeft => "abandoned",
    }
}
