//! Loopback listener whose connections can be frozen, cut or refused.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::faults::lock;

/// Connections of one stand-in.
pub struct Connections {
    /// Number of the next connection.
    next: AtomicU64,
    /// Connections with a lower number no longer read or write.
    frozen: AtomicU64,
    refusing: AtomicBool,
    stop: CancellationToken,
    /// Cancelled when all connections open now are cut.
    cut: Mutex<CancellationToken>,
}

impl Connections {
    pub(crate) fn new() -> Arc<Connections> {
        let stop = CancellationToken::new();
        Arc::new(Connections {
            next: AtomicU64::new(1),
            frozen: AtomicU64::new(0),
            refusing: AtomicBool::new(false),
            cut: Mutex::new(stop.child_token()),
            stop,
        })
    }

    /// Makes the connections open now silent forever; new ones work.
    pub fn freeze(&self) {
        self.frozen.store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes the connections open now without further output.
    pub fn cut(&self) {
        let old = std::mem::replace(&mut *lock(&self.cut), self.stop.child_token());
        old.cancel();
    }

    /// Closes all connections, and new ones at once, until called with `false`.
    pub fn refuse(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
        if refusing {
            self.cut();
        }
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.next.load(Ordering::SeqCst) - 1
    }

    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }
}

/// Running server; it stops when dropped.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Arc<Connections>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.connections.stop.cancel();
    }
}

/// Serves `app` on a loopback port; port 0 picks a free one.
pub(crate) async fn serve(
    app: Router,
    port: u16,
    connections: Arc<Connections>,
) -> io::Result<Server> {
    let inner = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = inner.local_addr()?;
    let listener = Listener { inner, connections: connections.clone() };
    let stop = connections.stop_token();
    tokio::spawn(async move {
        tokio::select! {
            _ = axum::serve(listener, app) => {}
            () = stop.cancelled() => {}
        }
    });
    Ok(Server { address, connections })
}

/// Response whose body breaks off, which closes the connection: the caller learns nothing.
pub(crate) fn broken_response() -> Response {
    let failure = futures::stream::once(std::future::ready(Err::<bytes::Bytes, _>(
        io::Error::other("the reply is lost"),
    )));
    Response::new(Body::from_stream(failure))
}

struct Listener {
    inner: TcpListener,
    connections: Arc<Connections>,
}

impl axum::serve::Listener for Listener {
    type Io = Stream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Stream, SocketAddr) {
        loop {
            match self.inner.accept().await {
                Ok(_) if self.connections.refusing.load(Ordering::SeqCst) => {}
                Ok((io, address)) => {
                    // Small chunks must not wait for the acknowledgement of earlier ones.
                    let _ = io.set_nodelay(true);
                    return (Stream::new(io, self.connections.clone()), address);
                }
                Err(error) => {
                    tracing::debug!(%error, "cannot accept a connection");
                    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

struct Stream {
    io: TcpStream,
    number: u64,
    connections: Arc<Connections>,
    cut: CancellationToken,
    cut_wait: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Stream {
    fn new(io: TcpStream, connections: Arc<Connections>) -> Stream {
        let cut = lock(&connections.cut).clone();
        let cut_wait = Box::pin(cut.clone().cancelled_owned());
        let number = connections.next.fetch_add(1, Ordering::SeqCst);
        Stream { io, number, connections, cut, cut_wait }
    }

    /// Ready with an error if cut, pending if frozen.
    fn poll_usable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut.is_cancelled() || self.cut_wait.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        match self.number < self.connections.frozen.load(Ordering::SeqCst) {
            true => Poll::Pending,
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_usable(cx))?;
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_usable(cx))?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_usable(cx))?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_usable(cx))?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
