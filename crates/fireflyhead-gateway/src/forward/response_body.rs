//! Body of an upstream's response, and the decision whether it is whole.
//!
//! A body ends with its length, its last chunk or its connection. Only the first two prove that the
//! upstream has sent all of it: the connections of a process that crashes end in the regular way. A
//! body that ends with its connection is whole if its upstream still accepts connections. A stream
//! of events is whole if it also doesn't end within an event or, unless its end is proved, before
//! the first one. That holds for the rest of a stream too, which may be empty only if its end is
//! proved.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_policy::Name;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::quarantine::ProbeResult;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::pool;
use crate::pool::MAX_HEAD_BYTES;
use crate::pool::PROBE_DELAY;
use crate::pool::PooledConnection;
use crate::response_memory::HeldResponse;
use crate::response_memory::MemoryError;
use crate::sse::EventEnd;
use crate::state::Shared;

/// Time for which a connection attempt may delay the end of a response. Upstreams in the same
/// region accept within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// By a length, or by a status that excludes a body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing of a response as hyper reads it.
    pub(super) fn of(head: &Parts, body: &Incoming) -> Framing {
        match body.size_hint().exact() {
            Some(_) => Framing::Length,
            None if is_chunked(head) => Framing::Chunked,
            None => Framing::Connection,
        }
    }

    /// Returns the name for the log.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Connection => "connection",
        }
    }
}

/// Returns whether `chunked` is the last transfer coding.
fn is_chunked(head: &Parts) -> bool {
    let last = head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    last.and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// What is known of the content of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Content {
    /// Nothing.
    Opaque,
    /// A stream of events, or the rest of one.
    Events,
}

/// Reason why a body can't be read to its end, or isn't whole.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub(super) enum ReadError {
    /// the connection failed: {0}
    Connection(hyper::Error),
    /// the stream ended before its first event
    BeforeFirstEvent,
    /// the stream ended within an event
    InsideEvent,
    /// the connection ended with the process of the upstream
    UpstreamCrashed,
    /// the body is larger than the limit
    TooLarge,
    /// {0}
    Memory(MemoryError),
}

impl std::error::Error for ReadError {}

impl ReadError {
    /// Returns whether the connection has ended, rather than that the node gives the response up.
    pub(super) fn is_end(&self) -> bool {
        match self {
            ReadError::Connection(error) => pool::is_end(error),
            ReadError::BeforeFirstEvent | ReadError::InsideEvent | ReadError::UpstreamCrashed => {
                true
            }
            ReadError::TooLarge | ReadError::Memory(_) => false,
        }
    }
}

/// Body of a response, with its connection. Dropping it closes the connection.
pub(super) struct ResponseBody {
    body: Incoming,
    connection: PooledConnection,
    upstream: Arc<UpstreamEntry>,
    framing: Framing,
    content: Content,
    event_end: EventEnd,
    /// Number of bytes received.
    len: usize,
    /// Whether the end has been received.
    at_end: bool,
}

impl ResponseBody {
    /// Creates the body of a response of `upstream` that is received on `connection`.
    pub(super) fn new(
        head: &Parts,
        body: Incoming,
        content: Content,
        connection: PooledConnection,
        upstream: Arc<UpstreamEntry>,
    ) -> ResponseBody {
        let framing = Framing::of(head, &body);
        ResponseBody {
            body,
            connection,
            upstream,
            framing,
            content,
            event_end: EventEnd::default(),
            len: 0,
            at_end: false,
        }
    }

    /// Returns the id of the upstream.
    pub(super) fn upstream(&self) -> &Name {
        &self.upstream.id
    }

    /// Returns how the end of the body is marked.
    pub(super) fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the number of bytes received so far.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the next data; `None` at the end of a whole body. Can be cancelled without loss of
    /// data.
    ///
    /// # Errors
    /// The connection failed, or the body ended without being whole.
    pub(super) async fn next(&mut self, shared: &Shared) -> Result<Option<Bytes>, ReadError> {
        while !self.at_end {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.len += data.len();
                    self.event_end.push(&data);
                    return Ok(Some(data));
                }
                Some(Err(e)) => return Err(ReadError::Connection(e)),
                None => self.at_end = true,
            }
        }
        self.check_whole(shared).await.map(|()| None)
    }

    /// Reads the whole body of at most `limit` bytes. Returns it with its share of the memory for
    /// responses.
    ///
    /// # Errors
    /// The body is larger than `limit`, its connection failed, it isn't whole, or the memory for
    /// responses is exhausted.
    pub(super) async fn read_whole(
        &mut self,
        shared: &Shared,
        limit: usize,
    ) -> Result<(Bytes, HeldResponse), ReadError> {
        if self.body.size_hint().lower() > limit as u64 {
            return Err(ReadError::TooLarge);
        }
        let mut buf = BytesMut::new();
        let mut held = HeldResponse::new(&shared.response_memory);
        loop {
            let data = tokio::select! {
                biased;
                () = held.given_up() => return Err(ReadError::Memory(MemoryError::Exceeded)),
                data = self.next(shared) => data?,
            };
            let Some(data) = data else { break };
            if buf.len() + data.len() > limit {
                return Err(ReadError::TooLarge);
            }
            buf.extend_from_slice(&data);
            // hyper's read buffer grows with the data, up to its limit.
            let read_buffer = buf.len().min(MAX_HEAD_BYTES);
            held.set(buf.capacity() + read_buffer).map_err(ReadError::Memory)?;
        }
        held.set(buf.capacity()).map_err(ReadError::Memory)?;
        held.complete().map_err(ReadError::Memory)?;
        Ok((buf.freeze(), held))
    }

    /// Returns the connection to the pool after a whole body.
    pub(super) fn release(self, shared: &Shared) {
        if self.framing != Framing::Connection {
            shared.pool.release(self.connection);
        }
    }

    /// Decides whether the body, whose end has been received, is whole.
    async fn check_whole(&self, shared: &Shared) -> Result<(), ReadError> {
        if self.content != Content::Opaque && !self.event_end.is_complete() {
            return Err(ReadError::InsideEvent);
        }
        if self.framing != Framing::Connection {
            return Ok(());
        }
        if self.content == Content::Events && self.len == 0 {
            return Err(ReadError::BeforeFirstEvent);
        }
        sleep(PROBE_DELAY).await;
        let UpstreamEntry { id, address, .. } = &*self.upstream;
        match shared.pool.probe(id, *address, PROBE_TIMEOUT).await {
            ProbeResult::Refused => Err(ReadError::UpstreamCrashed),
            ProbeResult::Accepted | ProbeResult::NoReply => Ok(()),
        }
    }
}
