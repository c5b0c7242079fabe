//! Streams and short calls between nodes, over h2 with bincode frames.
//!
//! A request to the owner of an upstream takes one h2 stream in both
//! directions; everything else is a short call with one message each way. Every
//! connection is probed with PING frames; one that stays silent is dropped, which
//! fails its streams, and the next request opens a new one.

use std::time::Duration;

use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use futures::future::BoxFuture;
use h2::Ping;
use h2::PingPong;
use tokio::time::sleep;
use tokio::time::timeout;

pub mod auth;
pub mod client;
pub mod frame;
pub mod server;
pub mod stream;
#[cfg(test)]
mod tests;

use crate::peer::stream::RunPort;

/// Path of dispatch streams.
pub const DISPATCH_PATH: &str = "/peer/v1/dispatch";

/// Path of short calls.
pub const CALL_PATH: &str = "/peer/v1/call";

/// Time between two PING frames on a connection.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer to a PING after which a connection is replaced.
pub const PING_TIMEOUT: Duration = Duration::from_secs(3);

/// Receive window of one stream, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;

/// Receive window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 << 20;

/// What a node does for its peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Queues a request at the dispatcher of one of this node's upstreams.
    fn dispatch(&self, from: NodeRef, dispatch: Dispatch, port: RunPort);

    /// Answers a short call.
    fn call(
        &self,
        from: NodeRef,
        body: call_request::Body,
    ) -> BoxFuture<'static, call_answer::Body>;
}

/// Returns when the peer has not answered a PING in time or the connection ended.
async fn watch_liveness(mut pings: PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        match timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
