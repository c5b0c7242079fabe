//! HTTP listener with limits on the size and the time of headers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Largest headers of a request, in bytes.
pub const MAX_HEADER_BYTES: usize = 64 << 10;

/// Header lines of a request.
const MAX_HEADERS: usize = 100;

/// Pause after a failed `accept`, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two PING frames to an HTTP/2 caller, and the time to answer one.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Limits and ends of a listener.
#[derive(Clone)]
pub struct ServeOptions {
    /// Longest time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Connections at the same time; more wait to be accepted.
    pub max_connections: usize,
    /// Accepts no more connections and ends each one after its current request.
    pub drain: CancellationToken,
    /// Drops all connections.
    pub stop: CancellationToken,
}

/// Serves `router` until the stop, or until the last connection ended after the drain.
pub async fn serve(listener: TcpListener, router: Router, options: ServeOptions) {
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let all = u32::try_from(options.max_connections).unwrap_or(u32::MAX);
    loop {
        let accept = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            () = options.stop.cancelled() => return,
            () = options.drain.cancelled() => break,
            accepted = accept => accepted,
        };
        let (Ok(permit), Ok((socket, _))) = (permit, accepted) else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (router, options) = (router.clone(), options.clone());
        tokio::spawn(async move {
            connection(socket, router, options).await;
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        () = options.stop.cancelled() => {}
        _all = permits.acquire_many(all) => {}
    }
}

async fn connection(socket: TcpStream, router: Router, options: ServeOptions) {
    let _ignored = socket.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(MAX_HEADER_BYTES).unwrap_or(u32::MAX))
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE);
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        () = options.stop.cancelled() => return,
        _ended = connection.as_mut() => return,
        () = options.drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        () = options.stop.cancelled() => {}
        _ended = connection => {}
    }
}
