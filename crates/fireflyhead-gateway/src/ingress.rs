//! Accepts connections from callers and serves their requests.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Time;
use fireflyhead_policy::config::RequestLimits;
use http::Extensions;
use http::Version;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::body::Body;
use crate::body::BodyError;
use crate::body::SendDeadline;
use crate::clock;
use crate::forward;
use crate::forward::KeyWatch;
use crate::lifecycle::Phase;
use crate::response_memory::CountedResponse;
use crate::response_memory::SendProgress;
use crate::state::Shared;

/// Interval at which the timeouts of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// `TCP_USER_TIMEOUT`: a connection closes when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Send buffer of a connection in bytes, which the kernel doubles. It would otherwise grow to 4 MB for a
/// caller that reads nothing, in memory that counts for the host; twice this size carries 200 Mbit/s
/// over a round trip of 5 ms.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Wait after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of connections in the listener's queue that are accepted when the node stops listening.
const MAX_LATE_CONNECTIONS: usize = 1_024;
/// Wait for the next connection in the listener's queue when the node stops listening.
const LATE_CONNECTION_WAIT: Duration = Duration::from_millis(5);
/// Time for which a closing node waits for the request of a connection that has begun to send one
/// or has sent none yet. hyper closes such a connection at once in a graceful shutdown.
const LATE_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Interval at which such a connection is checked for a request.
const LATE_REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Smallest size of hyper's read buffer, in bytes; hyper panics below it.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Time from the revocation of a key to the end of the connection with its stream, if the caller reads
/// nothing; the stream to one that reads ends by itself within it.
const REVOCATION_SLACK: Duration = Duration::from_millis(300);
/// Largest number of headers in a request.
const MAX_HEADERS: usize = 128;

/// Activity of a connection, from which its timeouts are determined.
#[derive(Debug, Default)]
struct Activity {
    /// Time of the last activity, in microseconds of [`clock::now`]: the opening of the connection,
    /// the first byte of a request head, the end of a response, or a write.
    last_activity: AtomicU64,
    /// Whether bytes have been received that don't form a complete request head yet.
    head_incomplete: AtomicBool,
    /// Number of requests whose response has not ended.
    active_requests: AtomicUsize,
    /// Whether a request has arrived on the connection.
    had_request: AtomicBool,
    /// [`SendDeadline`] of the response in progress, in microseconds of [`clock::now`]; 0 if there
    /// is none.
    send_deadline: AtomicU64,
    /// Whether the connection must be reset if it is closed now, so that the caller does not take a
    /// response that is cut off for complete.
    must_reset: AtomicBool,
    /// Notified when the response to a request has ended.
    request_ended: Notify,
    /// Progress of the writes.
    progress: Arc<SendProgress>,
    /// Last response whose memory counts.
    counted: Mutex<Option<CountedResponse>>,
}

impl Activity {
    fn record_activity(&self) {
        self.last_activity.store(clock::now().as_micros(), Ordering::Relaxed);
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.record_activity();
            self.progress.record_write(clock::now());
        }
    }

    /// Records the head of a response that is sent now.
    fn begin_response(&self, extensions: &Extensions) {
        if let Some(SendDeadline(deadline)) = extensions.get() {
            self.send_deadline.store(deadline.as_micros(), Ordering::Relaxed);
        }
        let counted = extensions.get::<CountedResponse>().cloned();
        if let Some(counted) = &counted {
            counted.begin_send(clock::now(), &self.progress);
        }
        *self.counted.lock().unwrap_or_else(PoisonError::into_inner) = counted;
    }

    /// Returns whether a whole response that counts has not been written to its end.
    fn has_unsent(&self) -> bool {
        let counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        counted.as_ref().is_some_and(CountedResponse::is_unsent)
    }

    /// Returns whether a request is arriving on the connection, or the caller is about to send the
    /// first one.
    fn expects_request(&self) -> bool {
        self.head_incomplete.load(Ordering::Relaxed) || !self.had_request.load(Ordering::Relaxed)
    }

    fn send_deadline(&self) -> Option<Time> {
        match self.send_deadline.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Time::from_micros(micros)),
        }
    }

    /// Brings the end of the response in progress forward to `deadline`.
    fn bring_forward(&self, deadline: Time) {
        if self.send_deadline().is_some() {
            self.send_deadline.fetch_min(deadline.as_micros(), Ordering::Relaxed);
        }
    }

    /// Returns the time until the next check of the timeouts.
    fn check_delay(&self, now: Time) -> Duration {
        self.send_deadline().map_or(TIMEOUT_CHECK_INTERVAL, |deadline| {
            deadline.since(now).min(TIMEOUT_CHECK_INTERVAL)
        })
    }

    /// Returns whether the connection has been idle, its request head incomplete, or its response
    /// in progress for longer than allowed.
    fn is_timed_out(&self, now: Time, limits: &RequestLimits) -> bool {
        if self.active_requests.load(Ordering::Relaxed) > 0 || self.has_unsent() {
            return self.send_deadline().is_some_and(|deadline| now >= deadline);
        }
        self.send_deadline.store(0, Ordering::Relaxed);
        let age = now.since(Time::from_micros(self.last_activity.load(Ordering::Relaxed)));
        match self.head_incomplete.load(Ordering::Relaxed) {
            true => age >= limits.header_timeout,
            false => age >= limits.idle_timeout,
        }
    }
}

/// TCP stream that records when the first byte of a request head is received and when bytes of a
/// response are sent.
struct ActivityStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Whether the socket resets the connection when it is closed, also by the end of the process.
    resets_on_close: bool,
}

impl ActivityStream {
    /// Makes the socket follow [`Activity::must_reset`].
    fn update_linger(&mut self) {
        let must_reset = self.activity.must_reset.load(Ordering::Relaxed);
        if must_reset == self.resets_on_close {
            return;
        }
        self.resets_on_close = must_reset;
        let linger = must_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            tracing::debug!(event = "linger_not_set", %error);
        }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let idle = self.activity.active_requests.load(Ordering::Relaxed) == 0;
        // Only the first byte counts, so that the timeout also ends a head that is sent byte by
        // byte.
        if buf.filled().len() > before
            && idle
            && !self.activity.head_incomplete.swap(true, Ordering::Relaxed)
        {
            self.activity.record_activity();
        }
        poll
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_linger();
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.record_write(&poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_linger();
        match self.resets_on_close {
            // Dropping the stream resets the connection.
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(cx),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_linger();
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Drop for ActivityStream {
    fn drop(&mut self) {
        self.update_linger();
    }
}

/// Counts a request as active on its connection until it is dropped.
struct ActiveRequest(Arc<Activity>);

impl ActiveRequest {
    fn new(activity: &Arc<Activity>) -> ActiveRequest {
        activity.active_requests.fetch_add(1, Ordering::Relaxed);
        activity.head_incomplete.store(false, Ordering::Relaxed);
        activity.had_request.store(true, Ordering::Relaxed);
        ActiveRequest(Arc::clone(activity))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
        if !self.0.has_unsent() {
            self.0.send_deadline.store(0, Ordering::Relaxed);
        }
        self.0.record_activity();
        self.0.request_ended.notify_one();
    }
}

/// Response body whose request is active until the body has ended or was dropped. A stream may last
/// for longer than a connection may be idle.
struct ActiveBody {
    body: Body,
    active: ActiveRequest,
    /// Whether the end of the connection is the end of the body, as for callers of HTTP/1.0.
    ends_with_connection: bool,
}

impl ActiveBody {
    /// Creates the body of a response to a caller of `version`.
    fn new(body: Body, active: ActiveRequest, version: Version) -> ActiveBody {
        let ends_with_connection = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        if ends_with_connection {
            active.0.must_reset.store(true, Ordering::Relaxed);
        }
        ActiveBody { body, active, ends_with_connection }
    }
}

impl hyper::body::Body for ActiveBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let poll = Pin::new(&mut self.body).poll_frame(cx);
        if self.ends_with_connection && matches!(poll, Poll::Ready(None)) {
            self.active.0.must_reset.store(false, Ordering::Relaxed);
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Accepts connections until the phase is [`Phase::Closing`], then waits for the open ones to end.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    // Dropped with this task, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        shared.open_connections().store(connections.len(), Ordering::Relaxed);
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.lifecycle.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(Arc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections in the queue would be reset with the listener.
    for _ in 0..MAX_LATE_CONNECTIONS {
        let Ok(Ok((stream, _))) = timeout(LATE_CONNECTION_WAIT, listener.accept()).await else {
            break;
        };
        connections.spawn(serve_connection(Arc::clone(&shared), stream));
    }
    drop(listener);
    while connections.join_next().await.is_some() {
        shared.open_connections().store(connections.len(), Ordering::Relaxed);
    }
}

/// Serves the requests of one connection.
async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES))
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = configured {
        tracing::debug!(event = "connection_not_set_up", %error);
        return;
    }
    let caller = stream.peer_addr().ok();
    let limits = || shared.config().map(|config| config.limits).unwrap_or_default();
    let activity = Arc::new(Activity::default());
    activity.record_activity();
    let open_key: Mutex<Option<KeyWatch>> = Mutex::default();
    let service = service_fn(|req| {
        let active = ActiveRequest::new(&activity);
        let version = req.version();
        let response = forward::handle(Arc::clone(&shared), req);
        let open_key = &open_key;
        async move {
            let response = response.await?;
            *open_key.lock().unwrap_or_else(PoisonError::into_inner) =
                response.extensions().get().cloned();
            active.0.begin_response(response.extensions());
            Ok::<_, Infallible>(response.map(|body| ActiveBody::new(body, active, version)))
        }
    });
    let io = TokioIo::new(ActivityStream {
        stream,
        activity: Arc::clone(&activity),
        resets_on_close: false,
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits().header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(io, service);
    let closing = begin_closing(&shared, &activity);
    tokio::pin!(connection, closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                match ended {
                    Err(error) if activity.has_unsent() => {
                        log_not_sent(&activity, caller, &error.to_string());
                    }
                    Err(error) => tracing::debug!(event = "connection_ended", %error),
                    Ok(()) => {}
                }
                return;
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(activity.check_delay(clock::now())) => {
                let key = open_key.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if key.is_some_and(|key| key.is_revoked()) {
                    activity.bring_forward(clock::now() + REVOCATION_SLACK);
                }
                if activity.is_timed_out(clock::now(), &limits()) {
                    let is_active = activity.active_requests.load(Ordering::Relaxed) > 0;
                    let cuts_response = is_active || activity.has_unsent();
                    activity.must_reset.store(cuts_response, Ordering::Relaxed);
                    if cuts_response {
                        log_not_sent(&activity, caller, "timeout");
                    }
                    return;
                }
            }
            () = activity.progress.given_up() => {
                activity.must_reset.store(true, Ordering::Relaxed);
                log_not_sent(&activity, caller, "memory");
                return;
            }
        }
    }
}

/// Logs that a connection is closed before its response has been written to its end.
fn log_not_sent(activity: &Activity, caller: Option<SocketAddr>, reason: &str) {
    tracing::info!(
        event = "response_not_sent",
        caller = caller.map(|caller| caller.to_string()),
        reason,
        pause_ms = activity.progress.pause(clock::now()).as_millis() as u64
    );
}

/// Waits until the node is closing and no request is in progress or expected on the connection.
/// hyper would not read a request that the caller has sent after one in progress.
async fn begin_closing(shared: &Shared, activity: &Activity) {
    shared.lifecycle.reached(Phase::Closing).await;
    let closing_since = clock::now();
    loop {
        if activity.active_requests.load(Ordering::Relaxed) > 0 {
            activity.request_ended.notified().await;
        } else if activity.expects_request()
            && clock::now().since(closing_since) < LATE_REQUEST_WAIT
        {
            sleep(LATE_REQUEST_CHECK_INTERVAL).await;
        } else {
            return;
        }
    }
}
