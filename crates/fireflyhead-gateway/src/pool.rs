//! Connections to upstreams.
//!
//! One request at a time uses a connection. The pool tells exactly whether bytes of a
//! request may have left: a request that hyper hands back was never written. A connection
//! that does not end in a complete exchange is closed, which also tells the upstream to
//! stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock;

/// Time for a connection to open; upstreams of one region answer within milliseconds, and
/// one lost packet costs a retransmission after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which sent bytes without acknowledgement close a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time after which a connection is not used again, if the upstream states no other.
const IDLE_LIMIT: Duration = Duration::from_millis(2_500);
/// Part of the upstream's own idle time that is left unused, for bytes that cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle time up to which a connection is used for requests that must not be repeated.
pub const FRESH_IDLE: Duration = Duration::from_millis(400);
/// Idle connections kept for one upstream.
const MAX_IDLE: usize = 16;

/// Open connection; its socket closes when it is dropped.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Time for which it may stay idle.
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connection that carries one request; dropping it closes the connection.
pub struct Lease {
    upstream: Name,
    connection: Connection,
}

struct Idle {
    connection: Connection,
    since: Time,
}

/// Result of a send that has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request left the node.
    NotSent(String),
    /// The request may have arrived.
    Unknown(String),
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

impl Pool {
    /// Idle or new connection to `upstream`; an idle one must be younger than `max_idle`.
    ///
    /// # Errors
    /// No connection could be opened in time.
    pub async fn connect(
        &self,
        upstream: &Name,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<Lease, SendError> {
        if let Some(lease) = self.reuse(upstream, max_idle) {
            return Ok(lease);
        }
        let not_sent = |e: &dyn std::fmt::Display| SendError::NotSent(e.to_string());
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_sent(&e)),
            Err(_) => return Err(SendError::NotSent("no connection in time".to_owned())),
        };
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .map_err(|e| not_sent(&e))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "a connection to an upstream ended");
            }
        })
        .abort_handle();
        let connection = Connection { sender, driver, idle_limit: IDLE_LIMIT };
        Ok(Lease { upstream: upstream.clone(), connection })
    }

    /// Takes back a connection after a complete exchange.
    pub fn give_back(&self, lease: Lease) {
        let Lease { upstream, connection } = lease;
        if connection.sender.is_closed() || connection.idle_limit.is_zero() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(upstream).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, since: clock::now() });
        }
    }

    /// Closes all idle connections to `upstream`.
    pub fn forget(&self, upstream: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(upstream);
    }

    /// Closes connections that have been idle for long.
    pub fn tick(&self, now: Time) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|Idle { connection, since }| {
                !connection.sender.is_closed() && now.since(*since) < connection.idle_limit
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn reuse(&self, upstream: &Name, max_idle: Duration) -> Option<Lease> {
        let now = clock::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(upstream)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            let age = now.since(since);
            if age >= max_idle {
                // The newest one is too old for this request; it may serve another one.
                connections.push(Idle { connection, since });
                return None;
            }
            if connection.sender.is_ready() && age < connection.idle_limit {
                return Some(Lease { upstream: upstream.clone(), connection });
            }
        }
        None
    }
}

impl Lease {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The connection ended first; the error says whether the request may have arrived.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.connection.sender.try_send_request(req).await {
            Ok(response) => {
                if let Some(limit) = idle_limit(&response) {
                    self.connection.idle_limit = limit;
                }
                Ok(response)
            }
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.error().to_string())),
                None => Err(SendError::Unknown(e.error().to_string())),
            },
        }
    }
}

/// Time for which an upstream keeps an idle connection, less a margin; zero if it closes it.
fn idle_limit(response: &Response<Incoming>) -> Option<Duration> {
    let headers = response.headers();
    let closes = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let seconds: u64 =
        stated.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?.parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT))
}
