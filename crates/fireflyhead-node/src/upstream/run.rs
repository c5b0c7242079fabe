//! One run of a request at an upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Chunk;
use fireflyhead_schema::messages::Header;
use fireflyhead_schema::messages::Started;
use fireflyhead_schema::messages::peer_frame::Body;
use http::HeaderMap;
use http::Method;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::upstream::REQUEST_ID_HEADER;
use crate::upstream::UpstreamClient;
use crate::upstream::sse::EventSplitter;

/// Largest answer of an engine that is not streamed, in bytes.
const MAX_JSON_BYTES: usize = 16 << 20;

/// Bytes of an answer that travel in one chunk.
const CHUNK_BYTES: usize = 256 << 10;

/// Data of the event that ends a stream of an engine.
const DONE: &str = "[DONE]";

/// Event that ends a stream of an engine.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time between two looks at a request without progress.
const WATCH_SLICE: Duration = Duration::from_millis(250);

/// Time without progress after which a connection is given up whose pool was replaced.
const CHECK_SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Largest gap within a stream of an engine before its connection may be silent. Tokens
/// follow each other within tens of milliseconds, whatever the target of the row is.
const CHECK_STREAM_AFTER: Duration = Duration::from_secs(2);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Request as it is sent to the upstream.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Id that the upstream echoes; unique among all requests to it.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers of the caller that the upstream receives.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Adapter that must produce the answer; `None` for plain services.
    pub adapter: Option<AdapterKey>,
    /// Tokens that the caller already has.
    pub resume_from: u32,
    /// Time without progress after which a connection that may be silent is given up,
    /// if the upstream responds on a new one; `None` if the request must not run twice.
    pub check_after: Option<Duration>,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunNote {
    /// The first output arrived.
    Started,
    /// More tokens arrived.
    Tokens(u32),
}

/// End of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The response is complete and was passed on.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The response is missing or incomplete.
    Failed {
        /// Whether bytes of the request may have reached the upstream.
        sent: bool,
        /// What happened.
        reason: String,
    },
    /// The connection fell silent while the upstream responds on others.
    Silent,
    /// The response was made with another adapter or version.
    WrongAdapter,
    /// The run was cancelled.
    Cancelled,
}

impl RunEnd {
    fn failed(reason: impl Into<String>) -> RunEnd {
        RunEnd::Failed { sent: true, reason: reason.into() }
    }
}

/// Response while it is received.
struct Source {
    response: reqwest::Response,
    /// Client whose connection carries the response.
    http: Arc<reqwest::Client>,
    check_after: Option<Duration>,
}

/// Receiver of a run's output.
struct Sink<'a> {
    frames: &'a mpsc::Sender<Body>,
    note: &'a (dyn Fn(RunNote) + Send + Sync),
    queued_ms: u32,
    started: bool,
}

impl Sink<'_> {
    async fn start(
        &mut self,
        status: u16,
        headers: &HeaderMap,
        adapter: Option<&AdapterKey>,
    ) -> Result<(), RunEnd> {
        let adapter = adapter.map(messages::AdapterKey::from);
        let headers = to_wire(headers);
        let (status, queued_ms) = (status.into(), self.queued_ms);
        let frame = Body::Started(Started { adapter, status, headers, queued_ms });
        self.frames.send(frame).await.map_err(|_| RunEnd::Cancelled)
    }

    async fn chunk(&mut self, mut bytes: Bytes, tokens: u32) -> Result<(), RunEnd> {
        if !std::mem::replace(&mut self.started, true) {
            (self.note)(RunNote::Started);
        }
        if tokens > 0 {
            (self.note)(RunNote::Tokens(tokens));
        }
        let mut tokens = tokens;
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            let counted = if bytes.is_empty() { std::mem::take(&mut tokens) } else { 0 };
            let frame = Body::Chunk(Chunk { bytes: part, tokens: counted });
            self.frames.send(frame).await.map_err(|_| RunEnd::Cancelled)?;
        }
        Ok(())
    }
}

impl UpstreamClient {
    /// Sends `request` once and passes the response on to `frames`.
    ///
    /// A cancelled run and a run whose receiver is gone are cancelled at the engine as well.
    pub async fn run(
        &self,
        request: &RunRequest,
        queued_ms: u32,
        frames: &mpsc::Sender<Body>,
        note: &(dyn Fn(RunNote) + Send + Sync),
        cancel: &CancellationToken,
    ) -> RunEnd {
        let mut sink = Sink { frames, note, queued_ms, started: false };
        let end = tokio::select! {
            () = cancel.cancelled() => RunEnd::Cancelled,
            end = self.exchange(request, &mut sink) => end.unwrap_or_else(|end| end),
        };
        if !matches!(end, RunEnd::Answered { .. }) {
            self.cancel(&request.id).await;
        }
        end
    }

    async fn exchange(&self, request: &RunRequest, sink: &mut Sink<'_>) -> Result<RunEnd, RunEnd> {
        let http = self.http();
        let response = self.send(request, &http).await?;
        check_echo(request, response.headers(), self.engine)?;
        let status = response.status().as_u16();
        match &request.adapter {
            None => {
                let check_after = request.check_after;
                self.pass(Source { response, http, check_after }, sink).await
            }
            Some(_) if !(200..300).contains(&status) => {
                self.engine_error(Source { response, http, check_after: request.check_after }, sink)
                    .await
            }
            Some(adapter) => {
                let events = is_event_stream(response.headers());
                let source = Source { response, http, check_after: request.check_after };
                match events {
                    true => self.stream(source, request, adapter, sink).await,
                    false => self.json(source, request, adapter, sink).await,
                }
            }
        }
    }

    async fn send(
        &self,
        request: &RunRequest,
        http: &Arc<reqwest::Client>,
    ) -> Result<reqwest::Response, RunEnd> {
        let body = match request.resume_from {
            0 => request.body.clone(),
            offset => with_resume(&request.body, offset),
        };
        let built = http
            .request(request.method.clone(), format!("{}{}", self.base, request.path))
            .headers(request.headers.clone())
            .header(REQUEST_ID_HEADER, &request.id)
            .body(body);
        match self.watched(http, request.check_after, built.send()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => {
                let sent = !e.is_connect() && !e.is_builder();
                Err(RunEnd::Failed { sent, reason: e.to_string() })
            }
            Err(end) => Err(end),
        }
    }

    /// Waits for progress; an error after the progress timeout, or if the connection is silent.
    async fn watched<T>(
        &self,
        http: &Arc<reqwest::Client>,
        check_after: Option<Duration>,
        progress: impl Future<Output = T>,
    ) -> Result<T, RunEnd> {
        tokio::pin!(progress);
        let started = Instant::now();
        let mut probe_after = Duration::ZERO;
        loop {
            let waited = started.elapsed();
            let Some(left) = self.timeouts.progress.checked_sub(waited) else {
                return Err(RunEnd::failed("no progress within the timeout"));
            };
            let slice = if check_after.is_some() { left.min(WATCH_SLICE) } else { left };
            if let Ok(done) = timeout(slice, &mut progress).await {
                return Ok(done);
            }
            let Some(check_after) = check_after else { continue };
            // Where other connections were silent, this one is suspected much sooner.
            let replaced = !Arc::ptr_eq(http, &self.http());
            let check_after =
                if replaced { check_after.min(CHECK_SUSPECT_AFTER) } else { check_after };
            let waited = started.elapsed();
            if waited < check_after.max(probe_after) {
                continue;
            }
            if self.is_connection_silent(http).await {
                return Err(RunEnd::Silent);
            }
            // The upstream does not respond at all; it may do so later.
            probe_after = waited + CHECK_SUSPECT_AFTER;
        }
    }

    /// Passes the response of a plain service on as it is.
    async fn pass(&self, mut source: Source, sink: &mut Sink<'_>) -> Result<RunEnd, RunEnd> {
        let status = source.response.status().as_u16();
        sink.start(status, source.response.headers(), None).await?;
        while let Some(bytes) = self.next(&mut source).await? {
            sink.chunk(bytes, 0).await?;
        }
        Ok(RunEnd::Answered { status })
    }

    /// Errors in the caller's request are answers; all others are failures of the engine.
    async fn engine_error(&self, source: Source, sink: &mut Sink<'_>) -> Result<RunEnd, RunEnd> {
        match source.response.status().as_u16() {
            400 | 413 | 422 => self.pass(source, sink).await,
            status => Err(RunEnd::failed(format!("the engine answered with status {status}"))),
        }
    }

    async fn json(
        &self,
        mut source: Source,
        request: &RunRequest,
        adapter: &AdapterKey,
        sink: &mut Sink<'_>,
    ) -> Result<RunEnd, RunEnd> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next(&mut source).await? {
            if body.len() + bytes.len() > MAX_JSON_BYTES {
                return Err(RunEnd::failed("the answer is too large"));
            }
            body.extend_from_slice(&bytes);
        }
        let json: Value = serde_json::from_slice(&body)
            .map_err(|e| RunEnd::failed(format!("the answer is not JSON: {e}")))?;
        check_model(&json, adapter)?;
        check_id(&json, request)?;
        let tokens = json["usage"]["completion_tokens"].as_u64().unwrap_or_default();
        let status = source.response.status().as_u16();
        sink.start(status, source.response.headers(), Some(adapter)).await?;
        sink.chunk(body.freeze(), u32::try_from(tokens).unwrap_or(u32::MAX)).await?;
        Ok(RunEnd::Answered { status })
    }

    async fn stream(
        &self,
        mut source: Source,
        request: &RunRequest,
        adapter: &AdapterKey,
        sink: &mut Sink<'_>,
    ) -> Result<RunEnd, RunEnd> {
        let status = source.response.status().as_u16();
        sink.start(status, source.response.headers(), Some(adapter)).await?;
        source.check_after =
            source.check_after.map(|check_after| check_after.min(CHECK_STREAM_AFTER));
        let mut events = EventSplitter::default();
        let mut check = StreamCheck::new(request, adapter);
        loop {
            let received = match self.next(&mut source).await {
                Ok(Some(bytes)) => bytes,
                // Only the closing event is missing.
                Ok(None) | Err(_) if check.finished => {
                    sink.chunk(Bytes::from_static(DONE_EVENT), 0).await?;
                    return Ok(RunEnd::Answered { status });
                }
                Ok(None) => {
                    return Err(RunEnd::failed("the stream ended without its last event"));
                }
                Err(end) => return Err(end),
            };
            events.push(&received);
            let (mut ready, mut tokens, mut done) = (BytesMut::new(), 0, false);
            let mut failure = None;
            while let (None, false) = (&failure, done) {
                match events.next_event() {
                    Ok(Some(event)) => match check.event(&event.data) {
                        Ok(counted) => {
                            tokens += counted;
                            ready.extend_from_slice(&event.raw);
                            done = event.data == DONE;
                        }
                        Err(end) => failure = Some(end),
                    },
                    Ok(None) => break,
                    Err(e) => failure = Some(RunEnd::failed(e.to_string())),
                }
            }
            if !ready.is_empty() {
                sink.chunk(ready.freeze(), tokens).await?;
            }
            match failure {
                Some(end) => return Err(end),
                None if done => return Ok(RunEnd::Answered { status }),
                None => {}
            }
        }
    }

    async fn next(&self, source: &mut Source) -> Result<Option<Bytes>, RunEnd> {
        let Source { response, http, check_after } = source;
        match self.watched(http, *check_after, response.chunk()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(e)) => Err(RunEnd::failed(e.to_string())),
            Err(end) => Err(end),
        }
    }
}

/// Checks that the events of a stream belong to the request and follow each other.
pub(super) struct StreamCheck<'a> {
    request: &'a RunRequest,
    adapter: &'a AdapterKey,
    /// Tokens before the next event, counted from the start of the answer.
    offset: u64,
    /// Whether the engine stated that the answer is complete.
    finished: bool,
}

impl<'a> StreamCheck<'a> {
    pub(super) fn new(request: &'a RunRequest, adapter: &'a AdapterKey) -> StreamCheck<'a> {
        StreamCheck { request, adapter, offset: request.resume_from.into(), finished: false }
    }

    /// Tokens of an event, after it was checked.
    pub(super) fn event(&mut self, data: &str) -> Result<u32, RunEnd> {
        if data.is_empty() || data == DONE {
            return Ok(0);
        }
        let json: Value = serde_json::from_str(data)
            .map_err(|e| RunEnd::failed(format!("an event is not JSON: {e}")))?;
        if !json["error"].is_null() {
            return Err(RunEnd::failed("the engine reported an error within the stream"));
        }
        check_model(&json, self.adapter)?;
        check_id(&json, self.request)?;
        if json["token_offset"].as_u64().is_some_and(|offset| offset != self.offset) {
            return Err(RunEnd::failed("the stream has a gap or repeats tokens"));
        }
        let choice = &json["choices"][0];
        self.finished |= !choice["finish_reason"].is_null();
        // Engines that don't state the number send one token in each event.
        let default = u64::from(choice.is_object());
        let tokens = json["tokens"].as_u64().unwrap_or(default);
        self.offset = self.offset.saturating_add(tokens);
        Ok(u32::try_from(tokens).unwrap_or(u32::MAX))
    }
}

/// Rejects an event or answer that names another request.
fn check_id(json: &Value, request: &RunRequest) -> Result<(), RunEnd> {
    match json["id"].as_str() {
        Some(id) if id != request.id => {
            Err(RunEnd::failed("the response belongs to another request"))
        }
        _ => Ok(()),
    }
}

fn check_model(json: &Value, adapter: &AdapterKey) -> Result<(), RunEnd> {
    let found = json["model"].as_str().and_then(AdapterKey::parse);
    match found {
        Some(found) if found == *adapter => Ok(()),
        _ => Err(RunEnd::WrongAdapter),
    }
}

/// Rejects the response to another request. Engines must echo the id; plain services may.
fn check_echo(request: &RunRequest, headers: &HeaderMap, engine: bool) -> Result<(), RunEnd> {
    match headers.get(REQUEST_ID_HEADER) {
        Some(id) if id.as_bytes() == request.id.as_bytes() => Ok(()),
        None if !engine => Ok(()),
        _ => Err(RunEnd::failed("the response belongs to another request")),
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(http::header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn with_resume(body: &Bytes, offset: u32) -> Bytes {
    match serde_json::from_slice::<Value>(body) {
        Ok(Value::Object(mut object)) => {
            object.insert("resume_from".to_owned(), offset.into());
            Bytes::from(Value::Object(object).to_string())
        }
        _ => body.clone(),
    }
}

/// Whether a header is passed on between connections.
fn is_end_to_end(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name)
}

/// Headers of a message as they travel between nodes.
pub(crate) fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let passed = headers.iter().filter(|(name, _)| is_end_to_end(name.as_str()));
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    passed.map(header).collect()
}

/// Headers of a message from another node; malformed ones are left out.
pub(crate) fn from_wire(headers: &[Header]) -> HeaderMap {
    let parse = |header: &Header| {
        let name = http::HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = http::HeaderValue::from_bytes(&header.value).ok()?;
        is_end_to_end(name.as_str()).then_some((name, value))
    };
    headers.iter().filter_map(parse).collect()
}
