//! Connections to other nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::messages::CallAnswer;
use fireflyhead_schema::messages::CallRequest;
use fireflyhead_schema::messages::Chunk;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::PeerFrame;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use fireflyhead_schema::messages::peer_frame::Body;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::peer::CALL_PATH;
use crate::peer::CONNECTION_WINDOW;
use crate::peer::DISPATCH_PATH;
use crate::peer::STREAM_WINDOW;
use crate::peer::auth::Authenticator;
use crate::peer::frame::FrameError;
use crate::peer::frame::FrameReader;
use crate::peer::frame::FrameWriter;
use crate::peer::frame::MAX_CALL_BYTES;
use crate::peer::frame::MAX_FRAME_BYTES;
use crate::peer::stream;
use crate::peer::stream::RunPort;
use crate::peer::stream::RunStream;
use crate::peer::watch_liveness;

/// Bytes of a request body that travel in one frame.
const BODY_PART_BYTES: usize = 512 << 10;

/// Failure of a request to a peer.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum PeerError {
    /// the node at {address} cannot be reached: {reason}
    Unreachable {
        /// Address of the peer.
        address: Name,
        /// What failed.
        reason: String,
    },
    /// the node at {address} did not complete the request: {reason}
    Lost {
        /// Address of the peer.
        address: Name,
        /// What failed.
        reason: String,
    },
    /// the node at {address} answered with status {status}
    Refused {
        /// Address of the peer.
        address: Name,
        /// HTTP status of the answer.
        status: u16,
    },
}

impl std::error::Error for PeerError {}

/// Connections to other nodes, one for each address.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

struct Inner {
    me: NodeRef,
    auth: Arc<Authenticator>,
    connect_timeout: Duration,
    slots: Mutex<HashMap<Name, Arc<Slot>>>,
    stop: CancellationToken,
}

#[derive(Default)]
struct Slot {
    connection: tokio::sync::Mutex<Option<Connection>>,
}

#[derive(Clone)]
struct Connection {
    send: SendRequest<Bytes>,
    ended: CancellationToken,
}

impl Peers {
    /// Connections of the node `me`, ended by `stop`.
    pub fn new(
        me: NodeRef,
        auth: Arc<Authenticator>,
        connect_timeout: Duration,
        stop: CancellationToken,
    ) -> Peers {
        let slots = Mutex::default();
        Peers { inner: Arc::new(Inner { me, auth, connect_timeout, slots, stop }) }
    }

    /// Keys of the node.
    pub fn authenticator(&self) -> &Arc<Authenticator> {
        &self.inner.auth
    }

    /// Sends `dispatch` to the owner at `address`.
    ///
    /// # Errors
    /// Nothing was queued if the peer can't be reached; otherwise the request may be
    /// queued, but a non-idempotent one doesn't run without a permit.
    pub async fn dispatch(
        &self,
        address: &Name,
        dispatch: Dispatch,
    ) -> Result<RunStream, PeerError> {
        let (response, writer) = self.open(address, DISPATCH_PATH, MAX_FRAME_BYTES).await?;
        let (run, port) = stream::pair();
        let stop = self.inner.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                result = pump(response, writer, dispatch, port) => match result {
                    Ok(()) => {}
                    Err(e) => tracing::debug!(error = %e, "dispatch stream failed"),
                },
            }
        });
        Ok(run)
    }

    /// Sends a short call to the node at `address` and waits for its answer.
    ///
    /// # Errors
    /// The call took no effect if the peer can't be reached; otherwise it may have.
    pub async fn call(
        &self,
        address: &Name,
        body: call_request::Body,
        limit: Duration,
    ) -> Result<call_answer::Body, PeerError> {
        let (response, mut writer) = self.open(address, CALL_PATH, MAX_CALL_BYTES).await?;
        let lost = |reason: String| PeerError::Lost { address: address.clone(), reason };
        let exchange = async {
            writer.send(&CallRequest { body: Some(body) }).await?;
            // The peer may have answered and closed the stream already.
            let _closed = writer.finish();
            let response = response.await?;
            let status = response.status();
            let mut reader = FrameReader::new(response.into_body(), MAX_CALL_BYTES);
            let answer = match status {
                StatusCode::OK => reader.next::<CallAnswer>().await?.and_then(|answer| answer.body),
                _ => None,
            };
            Ok::<_, FrameError>((status, answer))
        };
        match timeout(limit, exchange).await {
            Ok(Ok((_, Some(answer)))) => Ok(answer),
            Ok(Ok((status, None))) => {
                Err(PeerError::Refused { address: address.clone(), status: status.as_u16() })
            }
            Ok(Err(e)) => Err(lost(e.to_string())),
            Err(_) => Err(lost("no answer in time".to_owned())),
        }
    }

    async fn open(
        &self,
        address: &Name,
        path: &'static str,
        limit: usize,
    ) -> Result<(ResponseFuture, FrameWriter), PeerError> {
        let unreachable =
            |reason: String| PeerError::Unreachable { address: address.clone(), reason };
        let mut connection = self.connection(address).await.map_err(unreachable)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("http://{address}{path}")
            .parse()
            .map_err(|e: http::uri::InvalidUri| unreachable(e.to_string()))?;
        *request.headers_mut() = self.inner.auth.sign(&self.inner.me, path);
        let (response, body) =
            connection.send.send_request(request, false).map_err(|e| unreachable(e.to_string()))?;
        Ok((response, FrameWriter::new(body, limit)))
    }

    /// A live connection to `address`, opened if there is none.
    async fn connection(&self, address: &Name) -> Result<Connection, String> {
        let slot = {
            let mut slots = self.inner.slots.lock().expect("no holder of this lock panics");
            slots.entry(address.clone()).or_default().clone()
        };
        let open = slot.connection.lock().await.clone();
        if let Some(open) = open.filter(|open| !open.ended.is_cancelled()) {
            match timeout(self.inner.connect_timeout, open.send.clone().ready()).await {
                Ok(Ok(send)) => return Ok(Connection { send, ended: open.ended }),
                Ok(Err(_)) | Err(_) => open.ended.cancel(),
            }
        }
        let mut guard = slot.connection.lock().await;
        if let Some(open) = guard.as_ref().filter(|open| !open.ended.is_cancelled()) {
            return Ok(open.clone());
        }
        let limit = self.inner.connect_timeout;
        let connect = connect(address, self.inner.stop.child_token());
        let opened = timeout(limit, connect).await.map_err(|_| "connect timeout".to_owned())??;
        *guard = Some(opened.clone());
        Ok(opened)
    }
}

async fn connect(address: &Name, ended: CancellationToken) -> Result<Connection, String> {
    let socket = TcpStream::connect(address.as_str()).await.map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
    let (send, mut connection) =
        builder.handshake::<_, Bytes>(socket).await.map_err(|e| e.to_string())?;
    let pings = connection.ping_pong().expect("the handle is taken once");
    let (token, address) = (ended.clone(), address.clone());
    tokio::spawn(async move {
        // Dropping the connection fails its streams, so that their requests are tried elsewhere.
        tokio::select! {
            () = token.cancelled() => {}
            _ = connection => {}
            () = watch_liveness(pings) => {
                tracing::warn!(peer = %address, "connection replaced after missing PING answers");
            }
        }
        token.cancel();
    });
    let send = send.ready().await.map_err(|e| e.to_string())?;
    Ok(Connection { send, ended })
}

/// Moves frames between the h2 stream and `port` until the owner's last frame.
async fn pump(
    response: ResponseFuture,
    mut writer: FrameWriter,
    dispatch: Dispatch,
    mut port: RunPort,
) -> Result<(), FrameError> {
    send_dispatch(&mut writer, dispatch).await?;
    let orders = async {
        while let Some(order) = port.orders.recv().await {
            writer.send(&PeerFrame { body: Some(order) }).await?;
        }
        // The entry dropped the request.
        writer.reset();
        Ok::<(), FrameError>(())
    };
    let frames = async {
        let response = response.await?;
        if response.status() != StatusCode::OK {
            return Err(FrameError::Ended);
        }
        let mut reader = FrameReader::new(response.into_body(), MAX_FRAME_BYTES);
        while let Some(PeerFrame { body }) = reader.next().await? {
            let Some(body) = body else { continue };
            let last = stream::is_final(&body);
            if port.frames.send(body).await.is_err() || last {
                return Ok(());
            }
        }
        Err(FrameError::Ended)
    };
    tokio::pin!(frames);
    tokio::select! {
        result = &mut frames => result,
        result = orders => result,
    }
}

/// Sends a request whose body may take several frames.
async fn send_dispatch(writer: &mut FrameWriter, mut dispatch: Dispatch) -> Result<(), FrameError> {
    let mut body = std::mem::take(&mut dispatch.body);
    dispatch.body_bytes = body.len() as u64;
    dispatch.body = body.split_to(body.len().min(BODY_PART_BYTES));
    writer.send(&PeerFrame { body: Some(Body::Dispatch(dispatch)) }).await?;
    while !body.is_empty() {
        let bytes = body.split_to(body.len().min(BODY_PART_BYTES));
        writer.send(&PeerFrame { body: Some(Body::Chunk(Chunk { bytes, tokens: 0 })) }).await?;
    }
    Ok(())
}
