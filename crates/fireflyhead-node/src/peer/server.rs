//! Listener for other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::messages::CallAnswer;
use fireflyhead_schema::messages::CallRequest;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::PeerFrame;
use fireflyhead_schema::messages::peer_frame::Body;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::peer::CALL_PATH;
use crate::peer::CONNECTION_WINDOW;
use crate::peer::DISPATCH_PATH;
use crate::peer::PeerHandler;
use crate::peer::STREAM_WINDOW;
use crate::peer::auth::Authenticator;
use crate::peer::frame::FrameError;
use crate::peer::frame::FrameReader;
use crate::peer::frame::FrameWriter;
use crate::peer::frame::MAX_CALL_BYTES;
use crate::peer::frame::MAX_FRAME_BYTES;
use crate::peer::stream;
use crate::peer::watch_liveness;

/// Longest time of a handshake and of receiving a request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed `accept`, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Streams that one peer may have open.
const MAX_STREAMS: u32 = 20_000;

/// Connections of peers at the same time.
const MAX_CONNECTIONS: usize = 2_048;

/// What every connection of the listener shares.
pub struct PeerServer {
    /// Verifies requests.
    pub auth: Arc<Authenticator>,
    /// Does the work.
    pub handler: Arc<dyn PeerHandler>,
    /// Largest request body, in bytes.
    pub body_limit: u64,
    /// Ends the listener and its connections.
    pub stop: CancellationToken,
}

impl PeerServer {
    /// Serves `listener` until the stop.
    pub async fn serve(self, listener: TcpListener) {
        let server = Arc::new(self);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                () = server.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (Ok((socket, _)), Ok(permit)) = (accepted, permits.clone().try_acquire_owned())
            else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = server.clone();
            tokio::spawn(async move {
                server.connection(socket).await;
                drop(permit);
            });
        }
    }

    async fn connection(self: Arc<Self>, socket: TcpStream) {
        let _ignored = socket.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS);
        let handshake = timeout(RECEIVE_TIMEOUT, builder.handshake::<_, Bytes>(socket)).await;
        let Ok(Ok(mut connection)) = handshake else { return };
        let pings = connection.ping_pong().expect("the handle is taken once");
        let ended = self.stop.child_token();
        let accept = async {
            while let Some(Ok((request, respond))) = connection.accept().await {
                let (server, ended) = (self.clone(), ended.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = ended.cancelled() => {}
                        result = server.request(request, respond) => match result {
                            Ok(()) => {}
                            Err(e) => tracing::debug!(error = %e, "request of a peer failed"),
                        },
                    }
                });
            }
        };
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = watch_liveness(pings) => {}
            () = accept => {}
        }
        ended.cancel();
    }

    async fn request(
        self: Arc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), FrameError> {
        let path = request.uri().path().to_owned();
        let from = match self.auth.verify(request.headers(), &path) {
            Ok(from) => from,
            Err(e) => {
                tracing::warn!(error = %e, "rejected a request on the peer listener");
                return reject(&mut respond, StatusCode::UNAUTHORIZED);
            }
        };
        match (request.method(), path.as_str()) {
            (&Method::POST, DISPATCH_PATH) => {
                self.dispatch(from, request.into_body(), respond).await
            }
            (&Method::POST, CALL_PATH) => self.call(from, request.into_body(), respond).await,
            _ => reject(&mut respond, StatusCode::NOT_FOUND),
        }
    }

    async fn call(
        &self,
        from: NodeRef,
        body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), FrameError> {
        let mut reader = FrameReader::new(body, MAX_CALL_BYTES);
        // The end of the request is awaited as well: dropping an unfinished request resets
        // its stream, which the peer could take for a lost call.
        let receive = async {
            let message = reader.next::<CallRequest>().await?;
            let trailing = reader.next::<CallRequest>().await?;
            Ok::<_, FrameError>((message, trailing))
        };
        let received = timeout(RECEIVE_TIMEOUT, receive).await;
        let Ok(Ok((Some(CallRequest { body: Some(body) }), None))) = received else {
            return reject(&mut respond, StatusCode::BAD_REQUEST);
        };
        let answer = self.handler.call(from, body).await;
        let mut writer = FrameWriter::new(accept(&mut respond)?, MAX_CALL_BYTES);
        writer.send(&CallAnswer { body: Some(answer) }).await?;
        writer.finish()
    }

    async fn dispatch(
        &self,
        from: NodeRef,
        body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), FrameError> {
        let mut reader = FrameReader::new(body, MAX_FRAME_BYTES);
        let received = timeout(RECEIVE_TIMEOUT, self.receive_dispatch(&mut reader)).await;
        let Ok(Ok(dispatch)) = received else {
            return reject(&mut respond, StatusCode::BAD_REQUEST);
        };
        let mut writer = FrameWriter::new(accept(&mut respond)?, MAX_FRAME_BYTES);
        let (run, port) = stream::pair();
        self.handler.dispatch(from, dispatch, port);
        pump(&mut reader, &mut writer, run).await
    }

    async fn receive_dispatch(&self, reader: &mut FrameReader) -> Result<Dispatch, FrameError> {
        let Some(PeerFrame { body: Some(Body::Dispatch(mut dispatch)) }) = reader.next().await?
        else {
            return Err(FrameError::Ended);
        };
        let (length, limit) = (dispatch.body_bytes, self.body_limit);
        if length > limit {
            let size = |bytes| usize::try_from(bytes).unwrap_or(usize::MAX);
            return Err(FrameError::TooLarge { length: size(length), limit: size(limit) });
        }
        if (dispatch.body.len() as u64) == length {
            return Ok(dispatch);
        }
        let mut whole = BytesMut::from(&dispatch.body[..]);
        while (whole.len() as u64) < length {
            match reader.next().await? {
                Some(PeerFrame { body: Some(Body::Chunk(part)) }) if !part.bytes.is_empty() => {
                    whole.extend_from_slice(&part.bytes);
                }
                _ => return Err(FrameError::Ended),
            }
        }
        if (whole.len() as u64) > length {
            return Err(FrameError::Truncated);
        }
        dispatch.body = whole.freeze();
        Ok(dispatch)
    }
}

/// Moves frames between the h2 stream and the dispatcher until its last frame.
async fn pump(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    run: stream::RunStream,
) -> Result<(), FrameError> {
    let stream::RunStream { orders, mut frames } = run;
    let receive = async {
        while let Some(PeerFrame { body }) = reader.next().await? {
            let accepted = matches!(body, Some(Body::Permit(_) | Body::Cancel(_)));
            let Some(order) = body.filter(|_| accepted) else { return Err(FrameError::Ended) };
            if orders.send(order).await.is_err() {
                // The dispatcher needs no more orders; its frames still have to be sent.
                std::future::pending::<()>().await;
            }
        }
        Err(FrameError::Ended)
    };
    let send = async {
        while let Some(frame) = frames.recv().await {
            let last = stream::is_final(&frame);
            writer.send(&PeerFrame { body: Some(frame) }).await?;
            if last {
                return writer.finish();
            }
        }
        // The dispatcher was stopped before the request ended.
        writer.reset();
        Ok(())
    };
    tokio::select! {
        result = send => result,
        result = receive => result,
    }
}

fn accept(respond: &mut SendResponse<Bytes>) -> Result<h2::SendStream<Bytes>, FrameError> {
    Ok(respond.send_response(Response::new(()), false)?)
}

fn reject(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), FrameError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true)?;
    Ok(())
}
