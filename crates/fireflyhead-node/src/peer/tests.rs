//! Contract of the peer protocol: faults of the other side, and decoders on any input.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::messages::CallRequest;
use fireflyhead_schema::messages::Chunk;
use fireflyhead_schema::messages::Dispatch;
use fireflyhead_schema::messages::Done;
use fireflyhead_schema::messages::End;
use fireflyhead_schema::messages::PeerFrame;
use fireflyhead_schema::messages::TableFetch;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use fireflyhead_schema::messages::peer_frame::Body;
use futures::future::BoxFuture;
use http::HeaderMap;
use http::Request;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::CALL_PATH;
use super::DISPATCH_PATH;
use super::PeerHandler;
use super::auth::Authenticator;
use super::client::PeerError;
use super::client::Peers;
use super::frame;
use super::frame::FrameDecoder;
use super::frame::MAX_FRAME_BYTES;
use super::server::PeerServer;
use super::stream::RunPort;

const BODY_LIMIT: u64 = 2 << 20;

/// Answers calls, and echoes the body of a request in its last frame but one.
struct Echo;

impl PeerHandler for Echo {
    fn dispatch(&self, _from: NodeRef, dispatch: Dispatch, port: RunPort) {
        tokio::spawn(async move {
            let _orders = port.orders;
            for part in dispatch.body.chunks(100_000) {
                let bytes = Bytes::copy_from_slice(part);
                let _gone = port.frames.send(Body::Chunk(Chunk { bytes, tokens: 0 })).await;
            }
            let _gone = port.frames.send(Body::End(End::default())).await;
        });
    }

    fn call(&self, _: NodeRef, _: call_request::Body) -> BoxFuture<'static, call_answer::Body> {
        Box::pin(std::future::ready(call_answer::Body::Done(Done {})))
    }
}

fn node() -> NodeRef {
    NodeRef { id: "node-1".into(), incarnation: 1 }
}

/// Address of a server, which ends with the returned token.
async fn server() -> (std::net::SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let auth = Arc::new(Authenticator::new("key"));
    let handler = Arc::new(Echo);
    let server = PeerServer { auth, handler, body_limit: BODY_LIMIT, stop: stop.clone() };
    tokio::spawn(server.serve(listener));
    (address, stop)
}

fn peers(key: &str) -> Peers {
    let auth = Arc::new(Authenticator::new(key));
    Peers::new(node(), auth, Duration::from_secs(1), CancellationToken::new())
}

/// Status of the answer to a request with these headers and this body.
async fn status(address: std::net::SocketAddr, path: &str, headers: HeaderMap, body: Bytes) -> u16 {
    let socket = TcpStream::connect(address).await.unwrap();
    let (client, connection) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::post(format!("http://{address}{path}")).body(()).unwrap();
    *request.headers_mut() = headers;
    let (response, mut sender) =
        client.ready().await.unwrap().send_request(request, false).unwrap();
    // A rejected stream may be closed before the body is sent.
    let _closed = sender.send_data(body, true);
    let response = timeout(Duration::from_secs(5), response).await.unwrap();
    response.unwrap().status().as_u16()
}

fn dispatch_frame(body: &'static [u8], body_bytes: u64) -> Bytes {
    let dispatch = Dispatch { body: Bytes::from_static(body), body_bytes, ..Dispatch::default() };
    let frame = PeerFrame { body: Some(Body::Dispatch(dispatch)) };
    frame::encode(&frame, MAX_FRAME_BYTES).unwrap()
}

fn joined(parts: &[Bytes]) -> Bytes {
    Bytes::from(parts.concat())
}

/// Guards against faulty peers that are answered as if nothing were wrong, or hang a stream.
#[tokio::test]
async fn faulty_requests_of_peers_are_rejected() {
    let (address, _stop) = server().await;
    let call = CallRequest { body: Some(call_request::Body::TableFetch(TableFetch::default())) };
    let call = frame::encode(&call, MAX_FRAME_BYTES).unwrap();
    let chunk =
        PeerFrame { body: Some(Body::Chunk(Chunk { bytes: Bytes::from("abc"), tokens: 0 })) };
    let chunk = frame::encode(&chunk, MAX_FRAME_BYTES).unwrap();
    let huge = Bytes::from((MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec());
    let cases: [(&str, &str, Bytes, u16); 12] = [
        ("call", CALL_PATH, call.clone(), 200),
        ("unknown path", "/peer/v2/call", call.clone(), 404),
        ("no message", CALL_PATH, Bytes::new(), 400),
        ("truncated call", CALL_PATH, call.slice(..call.len() - 1), 400),
        ("trailing bytes in a message", CALL_PATH, Bytes::from_static(b"\0\0\0\x03\0\0\0"), 400),
        ("no variant", CALL_PATH, Bytes::from_static(b"\0\0\0\x01\0"), 400),
        ("oversized frame", DISPATCH_PATH, huge, 400),
        ("garbage", DISPATCH_PATH, Bytes::from_static(b"\0\0\0\x04\xff\xff\xff\xff"), 400),
        ("first frame is no request", DISPATCH_PATH, chunk.clone(), 400),
        ("body above the limit", DISPATCH_PATH, dispatch_frame(b"", BODY_LIMIT + 1), 400),
        (
            "body longer than announced",
            DISPATCH_PATH,
            joined(&[dispatch_frame(b"a", 2), chunk.clone()]),
            400,
        ),
        (
            "body shorter than announced",
            DISPATCH_PATH,
            joined(&[dispatch_frame(b"a", 9), chunk]),
            400,
        ),
    ];
    let auth = Authenticator::new("key");
    for (name, path, body, expected) in cases {
        let headers = auth.sign(&node(), path);
        assert_eq!(status(address, path, headers, body).await, expected, "{name}");
    }
    let headers = auth.sign(&node(), CALL_PATH);
    assert_eq!(status(address, CALL_PATH, headers.clone(), call.clone()).await, 200);
    assert_eq!(status(address, CALL_PATH, headers, call.clone()).await, 401, "replayed");
    let foreign = Authenticator::new("other").sign(&node(), CALL_PATH);
    assert_eq!(status(address, CALL_PATH, foreign, call).await, 401, "wrong key");
}

/// Guards against bodies that are cut or reordered when they take several frames.
#[tokio::test]
async fn a_large_body_arrives_whole_and_a_stopped_peer_is_reported() {
    let (address, stop) = server().await;
    let address = address.to_string().into();
    let peers = peers("key");
    let body: Bytes = (0..1_500_000_u32).map(|i| (i % 251) as u8).collect();
    let dispatch = Dispatch { body: body.clone(), ..Dispatch::default() };
    let mut run = peers.dispatch(&address, dispatch).await.unwrap();
    let mut received = Vec::new();
    while let Some(Body::Chunk(chunk)) = run.frames.recv().await {
        received.extend_from_slice(&chunk.bytes);
    }
    assert!(received == body, "{} bytes of {}", received.len(), body.len());
    stop.cancel();
    let fetch = || call_request::Body::TableFetch(TableFetch::default());
    let call = peers.call(&address, fetch(), Duration::from_secs(2)).await;
    assert!(
        matches!(call, Err(PeerError::Lost { .. } | PeerError::Unreachable { .. })),
        "{call:?}"
    );
}

/// Guards against calls that wait forever for a node that accepts connections but does not respond.
#[tokio::test]
async fn a_silent_node_is_unreachable_after_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string().into();
    let fetch = call_request::Body::TableFetch(TableFetch::default());
    let peers = peers("key");
    let call = timeout(Duration::from_secs(4), peers.call(&address, fetch, Duration::from_secs(1)));
    assert!(call.await.unwrap().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against input that panics the decoder or makes it keep more than it received.
    #[test]
    fn any_bytes_are_decoded_or_refused(parts in vec(vec(any::<u8>(), 0..64), 0..16)) {
        let mut decoder = FrameDecoder::new(256);
        let mut received = 0;
        for part in parts {
            decoder.push(&part);
            received += part.len();
            while let Ok(Some(_)) = decoder.next_frame::<PeerFrame>() {}
            assert!(decoder.capacity() <= (2 * received).max(64), "{} of {received}", decoder.capacity());
        }
    }

    /// Guards against frames that depend on how the bytes are split on their way.
    #[test]
    fn frames_survive_any_split(bodies in vec(vec(any::<u8>(), 0..100), 1..8), cut in 1_usize..50) {
        let frames: Vec<PeerFrame> = bodies
            .into_iter()
            .map(|bytes| PeerFrame { body: Some(Body::Chunk(Chunk { bytes: bytes.into(), tokens: 1 })) })
            .collect();
        let encoded: Vec<Bytes> =
            frames.iter().map(|frame| frame::encode(frame, MAX_FRAME_BYTES).unwrap()).collect();
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        let mut decoded = Vec::new();
        for part in encoded.concat().chunks(cut) {
            decoder.push(part);
            while let Some(frame) = decoder.next_frame::<PeerFrame>().unwrap() {
                decoded.push(frame);
            }
        }
        assert_eq!(decoded, frames);
        assert!(decoder.is_empty());
    }
}
