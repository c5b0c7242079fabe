//! Request and response bodies.

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_policy::Time;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::request_memory::BodyMemory;
use crate::request_memory::RequestMemoryFull;

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
    /// The bodies of all requests exceed their memory.
    MemoryFull(RequestMemoryFull),
    /// The connection failed before the end of the body.
    Broken(String),
}

/// Creates a response body from `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes, which keeps its share of `memory` until the last copy
/// has been dropped. A body of a known length is not read at all if there is no room for it.
///
/// # Errors
/// The body is larger than `limit`, its memory is in use, or the connection fails before its end.
pub async fn read(
    body: &mut Incoming,
    limit: usize,
    mut memory: BodyMemory,
) -> Result<Bytes, ReadError> {
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let expected = size.exact().and_then(|len| usize::try_from(len).ok()).unwrap_or(0);
    memory.grow(expected).map_err(ReadError::MemoryFull)?;
    // Pages of it that are never written take no memory.
    let mut buf = BytesMut::with_capacity(expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        buf.extend_from_slice(&data);
        memory.grow(buf.capacity()).map_err(ReadError::MemoryFull)?;
    }
    match buf.is_empty() {
        true => Ok(Bytes::new()),
        false => Ok(memory.attach(buf.freeze())),
    }
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
