//! Response of a request while it is produced.

use std::io;
use std::time::Duration;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use fireflyhead_core::types::Outcome;
use futures::Stream;
use futures::stream;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::entry::account::Accepted;
use crate::entry::error::EntryError;
use crate::entry::error::ErrorOutcome;

/// Longest time for which a caller may leave its response unread.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Parts of a response buffered between its producer and the caller's connection.
const PARTS: usize = 16;

enum Part {
    Head(StatusCode, HeaderMap),
    Data(Bytes),
    Fail(EntryError),
    End,
}

/// Producer's end of a response.
///
/// The head is sent with the first byte of the body, so that a request without
/// output can run again elsewhere.
pub(super) struct Output {
    tx: mpsc::Sender<Part>,
    head: Option<(StatusCode, HeaderMap)>,
    events: bool,
    accepted: Accepted,
    /// Bytes passed on.
    pub(super) bytes: u64,
    /// Tokens passed on.
    pub(super) tokens: u32,
}

/// the caller's connection ended
#[derive(Debug)]
pub(super) struct CallerGone;

impl Output {
    /// Both ends of a response; the second one is the response once it has a head.
    pub(super) fn new(accepted: Accepted) -> (Output, impl Future<Output = Response>) {
        let (tx, rx) = mpsc::channel(PARTS);
        let output = Output { tx, head: None, events: false, accepted, bytes: 0, tokens: 0 };
        (output, respond(rx))
    }

    /// Takes note that the request was passed on and may run.
    pub(super) fn may_run(&mut self) {
        self.accepted.may_run();
    }

    /// Sets the head; it replaces that of an earlier run without output.
    pub(super) fn head(&mut self, status: StatusCode, headers: HeaderMap) {
        if self.bytes == 0 {
            let kind = headers.get(http::header::CONTENT_TYPE);
            self.events =
                kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
            self.head = Some((status, headers));
        }
    }

    /// Whether the request can run again: nothing was passed on, or the engine can
    /// resume behind what was.
    pub(super) fn can_run_again(&self) -> bool {
        self.bytes == 0 || (self.events && self.tokens > 0)
    }

    /// Waits until the caller's connection ends.
    pub(super) async fn caller_gone(&self) {
        self.tx.closed().await;
    }

    /// Passes on a part of the body.
    pub(super) async fn data(&mut self, bytes: Bytes, tokens: u32) -> Result<(), CallerGone> {
        if let Some((status, headers)) = self.head.take() {
            self.accepted.first_output();
            self.send(Part::Head(status, headers)).await?;
        }
        self.bytes += bytes.len() as u64;
        self.tokens = self.tokens.saturating_add(tokens);
        self.send(Part::Data(bytes)).await
    }

    /// Ends the response as complete.
    pub(super) async fn answered(mut self) {
        let mut sent = Ok(());
        if let Some((status, headers)) = self.head.take() {
            sent = self.send(Part::Head(status, headers)).await;
        }
        if sent.is_ok() {
            let _gone = self.send(Part::End).await;
        }
        self.accepted.finish(Outcome::Answered);
    }

    /// Ends the response with an error.
    pub(super) async fn failed(self, e: EntryError) {
        let outcome = match e.outcome {
            ErrorOutcome::NotRun => Outcome::NotRun,
            ErrorOutcome::OutcomeUnknown => Outcome::OutcomeUnknown,
        };
        let _gone = self.send(Part::Fail(e)).await;
        self.accepted.finish(outcome);
    }

    async fn send(&self, part: Part) -> Result<(), CallerGone> {
        match timeout(STALL_TIMEOUT, self.tx.send(part)).await {
            Ok(sent) => sent.map_err(|_| CallerGone),
            // A caller that does not read must not hold a place at the upstream.
            Err(_) => Err(CallerGone),
        }
    }
}

async fn respond(mut rx: mpsc::Receiver<Part>) -> Response {
    match rx.recv().await {
        Some(Part::Head(status, headers)) => {
            let kind = headers.get(http::header::CONTENT_TYPE);
            let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
            let mut response = Response::new(Body::from_stream(body(rx, events)));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Some(Part::Fail(e)) => e.into_response(),
        // The producer ends without a part only if the node stops at once.
        Some(Part::Data(_) | Part::End) | None => {
            EntryError::unknown("draining", "the node stopped before the request ended")
                .into_response()
        }
    }
}

/// Body of a response; it fails unless the producer states that it is complete.
fn body(
    rx: mpsc::Receiver<Part>,
    events: bool,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send {
    let broken = || Err(io::Error::other("the response is incomplete"));
    stream::unfold(Some((rx, false)), move |state| async move {
        let (mut rx, failed) = state?;
        if failed {
            return Some((broken(), None));
        }
        match rx.recv().await {
            Some(Part::Data(bytes)) => Some((Ok(bytes), Some((rx, false)))),
            Some(Part::Fail(e)) if events => {
                let event = format!("data: {}\n\n", e.to_json());
                Some((Ok(Bytes::from(event)), Some((rx, true))))
            }
            Some(Part::End) => None,
            Some(Part::Fail(_) | Part::Head(..)) | None => Some((broken(), None)),
        }
    })
}
