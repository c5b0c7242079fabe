//! Connections of callers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use fireflyhead_policy::Time;
use fireflyhead_policy::config::RequestLimits;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::clock;
use crate::forward;
use crate::state::Shared;

/// Interval at which the times of a connection are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which bytes that a caller does not acknowledge close its connection.
const USER_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Wait after a failed accept, for example without a free descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Least size of hyper's read buffer.
const LEAST_BUFFER: usize = 8 * 1024;
/// Largest number of headers.
const MAX_HEADERS: usize = 128;

/// What connections do when the node stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Take requests.
    Open,
    /// Finish the present request and close.
    Closing,
}

/// Activity of a connection.
#[derive(Debug, Default)]
struct Activity {
    /// Last byte read or request ended, in microseconds of the clock.
    last: AtomicU64,
    /// Bytes came that belong to no request yet.
    partial: AtomicBool,
    requests: AtomicUsize,
}

impl Activity {
    fn touch(&self) {
        self.last.store(clock::now().as_micros(), Ordering::Relaxed);
    }

    /// Whether the connection has been idle, or its request head incomplete, for too long.
    fn overdue(&self, now: Time, limits: &RequestLimits) -> bool {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return false;
        }
        let age = now.since(Time::from_micros(self.last.load(Ordering::Relaxed)));
        match self.partial.load(Ordering::Relaxed) {
            true => age >= limits.header_timeout,
            false => age >= limits.idle_timeout,
        }
    }
}

/// Stream that records when bytes come.
struct Watched {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let idle = self.activity.requests.load(Ordering::Relaxed) == 0;
        // The time of the first byte counts, so that a head sent byte by byte doesn't last forever.
        if buf.filled().len() > before
            && idle
            && !self.activity.partial.swap(true, Ordering::Relaxed)
        {
            self.activity.touch();
        }
        poll
    }
}

impl AsyncWrite for Watched {
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

/// Counts a request of a connection until it is answered.
struct Busy(Arc<Activity>);

impl Busy {
    fn new(activity: &Arc<Activity>) -> Busy {
        activity.requests.fetch_add(1, Ordering::Relaxed);
        activity.partial.store(false, Ordering::Relaxed);
        Busy(Arc::clone(activity))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.touch();
    }
}

/// Takes callers until the node stops listening.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let mut closing = phase.clone();
    // Ends with the node, and its connections with it.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(Arc::clone(&shared), stream, phase.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    let set = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = set {
        tracing::debug!(event = "connection_not_set_up", %error);
        return;
    }
    let limits = || shared.config().map(|config| config.limits).unwrap_or_default();
    let activity = Arc::new(Activity::default());
    activity.touch();
    let service = service_fn(|req| {
        let busy = Busy::new(&activity);
        let answer = forward::handle(Arc::clone(&shared), req);
        async move {
            let answer = answer.await;
            drop(busy);
            answer
        }
    });
    let io = TokioIo::new(Watched { stream, activity: Arc::clone(&activity) });
    let connection = http1::Builder::new()
        .max_buf_size(limits().header_bytes.max(LEAST_BUFFER))
        .max_headers(MAX_HEADERS)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(event = "connection_ended", %error);
                }
                return;
            }
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(CHECK_INTERVAL) => {
                if activity.overdue(clock::now(), &limits()) {
                    return;
                }
            }
        }
    }
}
