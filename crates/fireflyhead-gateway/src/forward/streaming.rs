//! Event streams on their way to the caller.
//!
//! Events are passed on as they come. A stream that may go on elsewhere is resumed at another
//! upstream after a break or a silence, within the same response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::config::RouteKind;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::health::Failure;
use futures::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body::Body;
use crate::body::BodyError;
use crate::clock;
use crate::pool::Lease;
use crate::stream::EventScanner;

use super::Open;
use super::call::Call;
use super::call::Placed;
use super::call::Tries;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::Flight;

/// Pause between events after which a stream that may go on elsewhere is given up. Several
/// times the longest pause that any deployment allows; a preempted request may pause longer
/// than that and still finish.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Time past the deadline for which an upstream may end its stream by itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Stream of one response.
struct Streaming {
    call: Arc<Call>,
    tries: Tries,
    upstream: Name,
    body: Incoming,
    lease: Option<Lease>,
    flight: Flight,
    /// Splits into events; `None` for a stream that is passed on as it is.
    scanner: Option<EventScanner>,
    started: bool,
    ended: bool,
    /// Time of the last bytes from the upstream.
    last_data: Time,
    _open: Open,
}

/// What came from the upstream.
enum Next {
    Data(Bytes),
    Skip,
    End,
    Broken(String, Failure),
    Deadline,
}

/// Response that streams `body` to the caller.
#[expect(clippy::too_many_arguments, reason = "the parts of one answer, moved into the stream")]
pub(super) fn respond(
    call: Arc<Call>,
    tries: Tries,
    head: http::response::Parts,
    body: Incoming,
    lease: Lease,
    flight: Flight,
    upstream: &UpstreamEntry,
    open: Open,
) -> Response<Body> {
    let resumable = call.route.kind == RouteKind::Streaming { resumable: true };
    let scanner = resumable.then(|| EventScanner::after(call.head.last_event));
    let streaming = Streaming {
        call: Arc::clone(&call),
        tries,
        upstream: upstream.id.clone(),
        body,
        lease: Some(lease),
        flight,
        scanner,
        started: false,
        ended: false,
        last_data: clock::now(),
        _open: open,
    };
    let frames = stream::unfold(streaming, |mut streaming| async move {
        let item = streaming.next().await?;
        Some((item.map(Frame::data), streaming))
    });
    call.response(head, BodyExt::boxed_unsync(StreamBody::new(frames)))
}

impl Streaming {
    /// Next bytes for the caller; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.ended {
            match self.receive().await {
                Next::Data(data) => {
                    self.begin();
                    return Some(Ok(data));
                }
                Next::Skip => {}
                Next::End => {
                    self.finish();
                    return None;
                }
                Next::Deadline => {
                    self.stop("deadline", SendOutcome::Failed(Failure::Timeout), "");
                    return Some(Err(BodyError::Deadline));
                }
                Next::Broken(reason, failure) => {
                    if !self.resume(&reason, failure).await {
                        self.stop("broken", SendOutcome::Failed(failure), &reason);
                        return Some(Err(BodyError::Upstream(reason)));
                    }
                }
            }
        }
        None
    }

    async fn receive(&mut self) -> Next {
        let now = clock::now();
        let end = self.call.deadline + DEADLINE_SLACK;
        let silent_at = match (&self.scanner, self.started) {
            (Some(_), true) => now + SILENCE,
            (Some(_), false) | (None, _) => end,
        };
        let wait = silent_at.min(end).since(now);
        match timeout(wait, self.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.scan(data),
                Err(_) => Next::Skip,
            },
            Ok(Some(Err(e))) => Next::Broken(e.to_string(), Failure::Broken),
            Ok(None) => match &self.scanner {
                Some(scanner) if scanner.has_partial() => {
                    Next::Broken("the last event is not complete".to_owned(), Failure::Broken)
                }
                Some(_) | None => Next::End,
            },
            Err(_) if reached(end) => Next::Deadline,
            Err(_) => Next::Broken("no event in time".to_owned(), Failure::Timeout),
        }
    }

    fn scan(&mut self, data: Bytes) -> Next {
        let data = match &mut self.scanner {
            Some(scanner) => scanner.feed(&data),
            None => data,
        };
        if data.is_empty() { Next::Skip } else { Next::Data(data) }
    }

    /// Records that bytes go to the caller.
    fn begin(&mut self) {
        let now = clock::now();
        let pause = now.since(self.last_data);
        self.last_data = now;
        if self.started {
            self.tries.longest_pause = self.tries.longest_pause.max(pause);
            return;
        }
        self.started = true;
        self.flight.output();
        let delay = now.since(self.call.arrived);
        self.tries.first_output = Some(delay);
        self.call.shared.metrics.first_output(self.call.route.name.as_str(), delay);
    }

    /// Goes on at another upstream; `false` if that is not possible.
    async fn resume(&mut self, reason: &str, failure: Failure) -> bool {
        let Some(scanner) = &mut self.scanner else { return false };
        scanner.drop_partial();
        let last = scanner.last_id();
        let since = if self.started { self.last_data } else { self.call.arrived };
        self.flight.end(SendOutcome::Failed(failure));
        // The connection closes here, so the first upstream stops before the second one starts.
        self.lease = None;
        loop {
            let upstream = self.upstream.clone();
            if !self.call.may_repeat(&mut self.tries, &upstream) {
                return false;
            }
            let (job, upstream, version) = match self.call.place(&mut self.tries, since).await {
                Placed::Send { job, upstream, version } => (job, upstream, version),
                Placed::Reject { .. } | Placed::Deadline => return false,
            };
            let patience = self.call.patience(&self.tries);
            let exchange = self.call.exchange(job, &upstream, version, patience, last).await;
            self.upstream = upstream.id.clone();
            self.tries.runs += 1;
            let answer = match exchange {
                Exchange::Answer(answer) => Some(*answer),
                Exchange::NotSent(_)
                | Exchange::NotRun(_)
                | Exchange::Unknown(_)
                | Exchange::Deadline => None,
            };
            tracing::info!(
                event = "stream_resumed",
                id = %self.call.id,
                upstream = %upstream.id,
                after = last,
                reason,
                ok = matches!(answer, Some(Answer::Stream { .. }))
            );
            if let Some(Answer::Stream { body, lease, flight, .. }) = answer {
                self.body = body;
                self.lease = Some(lease);
                self.flight = flight;
                if self.started {
                    self.flight.output();
                }
                return true;
            }
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(objective) = self.call.route.pause_objective {
            let share = self.tries.longest_pause.as_secs_f64() / objective.as_secs_f64();
            let permille = (share * 1_000.0) as u32;
            self.call.shared.dispatcher().record_pause(clock::now(), &self.upstream, permille);
        }
        self.flight.end(SendOutcome::Served);
        if let Some(lease) = self.lease.take() {
            self.call.shared.pool.give_back(lease);
        }
        self.call.log_end(&self.tries, "answered", Some(&self.upstream), 200, "");
    }

    fn stop(&mut self, outcome: &'static str, send: SendOutcome, reason: &str) {
        self.ended = true;
        self.lease = None;
        self.flight.end(send);
        self.call.log_end(&self.tries, outcome, Some(&self.upstream), 200, reason);
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        if !self.ended {
            self.lease = None;
            self.call.log_end(&self.tries, "caller_left", Some(&self.upstream), 200, "");
        }
    }
}

fn reached(at: Time) -> bool {
    clock::now() >= at
}
