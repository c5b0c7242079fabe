//! Connection pool for upstreams.
//!
//! A connection carries one request at a time. After a failed send, the pool reports exactly
//! whether bytes of the request may have been sent: a request that hyper returns with the error
//! was never written. A connection whose exchange was not completed is closed, which also makes
//! the upstream stop its work on the request.

use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::quarantine::ProbeResult;
use fireflyhead_policy::response::ConnectionHistory;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock;

/// Timeout for opening a connection. Upstreams in the same region accept within milliseconds, but
/// a lost packet is retransmitted only after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// `TCP_USER_TIMEOUT`: a connection closes when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is closed. A `keep-alive` header of the upstream can only
/// shorten it.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Subtracted from the idle timeout that the upstream announces, so that no request is sent while
/// the upstream closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Largest idle time of a connection that is reused for a request that must not be sent again.
pub const MAX_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(400);
/// Time from the end of a connection to the first [`Pool::probe`]. The sockets of a crashed process
/// close one after the other.
pub const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Largest number of idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Largest size of a response head and of hyper's read buffer, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of bytes that are read until the head of the response is known. Larger than
/// [`MAX_HEAD_BYTES`], because hyper may read on before [`PooledConnection::send`] returns.
const MAX_BYTES_BEFORE_RESPONSE: usize = 8 * MAX_HEAD_BYTES;

/// TCP stream whose reads fail after [`MAX_BYTES_BEFORE_RESPONSE`] bytes without the head of a
/// response. hyper skips interim responses, however many there are.
struct UpstreamStream {
    stream: TcpStream,
    /// Number of bytes that may still be read; `usize::MAX` if there is no limit.
    read_limit: Arc<AtomicUsize>,
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.read_limit.load(Ordering::Relaxed);
        if limit == 0 {
            return Poll::Ready(Err(io::Error::other("no response head within the size limit")));
        }
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if limit != usize::MAX {
            let read = buf.filled().len() - before;
            self.read_limit.store(limit.saturating_sub(read), Ordering::Relaxed);
        }
        poll
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Open connection; its socket closes when it is dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Handle of the task that does the I/O of the connection.
    driver: AbortHandle,
    /// Read limit of its [`UpstreamStream`].
    read_limit: Arc<AtomicUsize>,
    /// Idle time after which it is closed.
    idle_limit: Duration,
    history: ConnectionHistory,
}

impl Connection {
    /// Opens a connection to `address`.
    async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let read_limit = Arc::new(AtomicUsize::new(usize::MAX));
        let io = TokioIo::new(UpstreamStream { stream, read_limit: Arc::clone(&read_limit) });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection to upstream {address} failed");
            }
        })
        .abort_handle();
        let (idle_limit, history) = (MAX_IDLE_TIME, ConnectionHistory::default());
        Ok(Connection { sender, driver, read_limit, idle_limit, history })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connection in use by one request. Dropping it closes the connection; [`Pool::release`] keeps
/// it open.
pub struct PooledConnection {
    upstream: Name,
    connection: Connection,
}

/// Open connection that no request uses.
struct IdleConnection {
    connection: Connection,
    /// Time from which it has been idle.
    since: Time,
}

/// Reason why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The connection ended, and the upstream may have received the request.
    Unknown(String),
    /// What the upstream sent is no response, or is too large. It may have received the request.
    Invalid(String),
}

impl SendError {
    /// Returns the reason for the log.
    pub fn into_reason(self) -> String {
        match self {
            SendError::NotSent(reason)
            | SendError::Unknown(reason)
            | SendError::Invalid(reason) => reason,
        }
    }
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<IdleConnection>>>,
}

impl Pool {
    /// Returns a connection to `upstream` that has been idle for less than `max_idle`, or opens a
    /// new one.
    ///
    /// # Errors
    /// No connection could be opened in time.
    pub async fn acquire(
        &self,
        upstream: &Name,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<PooledConnection, SendError> {
        if let Some(pooled) = self.take_idle(upstream, max_idle) {
            return Ok(pooled);
        }
        let connected = timeout(CONNECT_TIMEOUT, Connection::open(address)).await;
        match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(connection) => Ok(PooledConnection { upstream: upstream.clone(), connection }),
            Err(e) => Err(SendError::NotSent(e.to_string())),
        }
    }

    /// Finds out whether a process listens at the address of `upstream`, within `limit`. Keeps the
    /// connection for the next request.
    pub async fn probe(
        &self,
        upstream: &Name,
        address: SocketAddr,
        limit: Duration,
    ) -> ProbeResult {
        match timeout(limit, Connection::open(address)).await {
            Ok(Ok(connection)) => {
                self.release(PooledConnection { upstream: upstream.clone(), connection });
                ProbeResult::Accepted
            }
            Ok(Err(e)) => probe_failure(&e),
            Err(_) => ProbeResult::NoReply,
        }
    }

    /// Finds out whether a process listens at `address`, within `limit`, and closes the connection: an
    /// upstream whose responses were given up is not given another idle one.
    pub async fn probe_and_close(address: SocketAddr, limit: Duration) -> ProbeResult {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(e)) => probe_failure(&e),
            Err(_) => ProbeResult::NoReply,
        }
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn release(&self, pooled: PooledConnection) {
        let PooledConnection { upstream, connection } = pooled;
        let is_reusable = connection.history.is_reusable() && !connection.idle_limit.is_zero();
        if connection.sender.is_closed() || !is_reusable {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(upstream).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection { connection, since: clock::now() });
        }
    }

    /// Closes all idle connections to `upstream`.
    pub fn close_idle(&self, upstream: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(upstream);
    }

    /// Closes connections that have been idle for longer than their limit.
    pub fn close_expired(&self, now: Time) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|IdleConnection { connection, since }| {
                !connection.sender.is_closed() && now.since(*since) < connection.idle_limit
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the connection to `upstream` that was used last.
    fn take_idle(&self, upstream: &Name, max_idle: Duration) -> Option<PooledConnection> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(upstream)?;
        let position = connections.iter().rposition(|IdleConnection { connection, since }| {
            let age = now.since(*since);
            age < max_idle.min(connection.idle_limit) && connection.sender.is_ready()
        })?;
        let IdleConnection { connection, .. } = connections.remove(position);
        Some(PooledConnection { upstream: upstream.clone(), connection })
    }
}

impl PooledConnection {
    /// Returns the responses that the connection has carried.
    pub fn history(&mut self) -> &mut ConnectionHistory {
        &mut self.connection.history
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The connection failed before the head was received; the variant says whether the upstream
    /// may have received the request.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.connection.read_limit.store(MAX_BYTES_BEFORE_RESPONSE, Ordering::Relaxed);
        match self.connection.sender.try_send_request(req).await {
            Ok(response) => {
                self.connection.read_limit.store(usize::MAX, Ordering::Relaxed);
                if let Some(limit) = idle_limit(&response) {
                    self.connection.idle_limit = limit;
                }
                Ok(response)
            }
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.error().to_string())),
                None if is_end(e.error()) => Err(SendError::Unknown(e.error().to_string())),
                None => Err(SendError::Invalid(e.error().to_string())),
            },
        }
    }
}

/// Returns whether an exchange failed because its connection ended, rather than for what was received.
pub(crate) fn is_end(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_lost = cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::TimedOut
                | io::ErrorKind::UnexpectedEof
        )
    });
    is_lost || error.is_incomplete_message() || error.is_closed() || error.is_canceled()
}

/// Returns what a failed connection attempt says about the process at the address.
fn probe_failure(error: &io::Error) -> ProbeResult {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::NoReply,
    }
}

/// Returns the idle limit that a response sets for its connection: zero if the upstream closes
/// it, or the announced `keep-alive` timeout less a margin. `None` if the response sets no limit.
fn idle_limit(response: &Response<Incoming>) -> Option<Duration> {
    let headers = response.headers();
    let closes = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let keep_alive = headers.get("keep-alive")?.to_str().ok()?;
    let seconds: u64 = keep_alive
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME))
}
