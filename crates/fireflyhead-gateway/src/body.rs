//! Bodies of responses and requests.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::body::Incoming;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Reason for which a body ends before its time; the connection closes, so that nobody takes
/// what came for the whole.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum BodyError {
    /// the upstream broke off: {0}
    Upstream(String),
    /// the time of the request is over
    Deadline,
}

impl std::error::Error for BodyError {}

/// Reason for which a body can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// It is larger than the limit.
    TooLarge,
    /// It broke off.
    Broken(String),
}

/// Body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// The body is larger or breaks off.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
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
