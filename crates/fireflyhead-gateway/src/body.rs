//! Request and response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_policy::Time;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::response_memory::HeldResponse;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Error that ends a response body early. It makes hyper close the connection, so that the caller
/// doesn't mistake the truncated body for a complete one.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum BodyError {
    /// the upstream's response was interrupted: {0}
    Upstream(String),
    /// the deadline of the request has passed
    Deadline,
    /// the node stopped
    NodeStopped,
    /// the key of the request was revoked
    KeyRevoked,
}

impl std::error::Error for BodyError {}

/// Extension of a response: time at which its connection is closed if the body has not been sent.
#[derive(Clone, Copy, Debug)]
pub struct SendDeadline(pub Time);

/// Reason why a body can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken(String),
}

/// Creates a response body from `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Body that keeps its memory until it has been sent.
struct HeldBody {
    body: Full<Bytes>,
    _held: HeldResponse,
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Creates a response body from `bytes`, whose memory is free once it has been sent.
pub fn held(bytes: Bytes, held: HeldResponse) -> Body {
    let body = HeldBody { body: Full::new(bytes), _held: held };
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The body is larger than `limit`, or the connection fails before its end.
pub async fn read(body: &mut Incoming, limit: usize) -> Result<Bytes, ReadError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Reads and drops the rest of a body, or at least `limit` bytes of it.
///
/// # Errors
/// More than `limit` bytes have been read, or the connection fails before the end of the body.
pub async fn discard(body: &mut Incoming, limit: usize) -> Result<(), ReadError> {
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        len += frame.data_ref().map_or(0, Bytes::len);
        if len > limit && !body.is_end_stream() {
            return Err(ReadError::TooLarge);
        }
    }
    Ok(())
}
