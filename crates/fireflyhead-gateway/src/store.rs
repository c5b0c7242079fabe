//! Client of the platform's store.
//!
//! A call is given up when the store is silent, not when its bytes take long: over a slow link, a
//! reply with a large configuration needs longer than a dead store may stay unnoticed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fireflyhead_policy::Time;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::protocol::HttpCall;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::protocol::ProtocolError;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreReply;
use http::HeaderMap;
use rand::Rng;
use reqwest::Client;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::clock;
use crate::metrics::Metrics;
use crate::response_memory::HeldResponse;
use crate::response_memory::MemoryError;
use crate::response_memory::ResponseMemory;

/// Timeout for opening a connection. Hosts in the same region accept within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT`: a connection closes when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a silent store is waited for, beside the time for which it holds a watch: from the
/// call to the head of the reply, and then for each part of the body. A slow store takes about 200 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of bytes of a body that must arrive within the silence timeout; fewer are no progress. The
/// slowest links carry some hundred times as many.
const MIN_PROGRESS_BYTES: usize = 8 * 1024;
/// Rate in bytes per second that a link is expected to carry at least, for the time that the body of a
/// call needs; what the socket has accepted of it can't be observed. A tenth of the slowest links.
const MIN_SEND_RATE: f64 = 128.0 * 1024.0;

/// Part of the memory of the process, as its divisor, that one reply of the store may take.
const REPLY_MEMORY_DIVISOR: usize = 8;
/// Number of largest replies that may be received at once.
const MAX_LARGE_REPLIES: usize = 2;

/// Reason why a call has no usable reply.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum StoreError {
    /// no reply from the store: {0}
    Transport(CallError),
    /// invalid reply from the store: {0}
    Reply(ProtocolError),
    /// the reply is of era {0} of the store, which has been restored since
    OldEra(Era),
    /// the store was restored, and is in era {0}
    Restored(Era),
}

impl std::error::Error for StoreError {}

/// Reply of the store with the era in which the call was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreResponse {
    /// Era of the store.
    pub era: Era,
    /// Reply.
    pub reply: StoreReply,
    /// Time at which the head of the reply arrived: the content is no newer than that, however long
    /// its bytes took.
    pub answered: Time,
    /// Size of the reply in bytes.
    pub bytes: usize,
}

impl StoreResponse {
    /// Returns the response if the call was executed in `era`.
    fn in_era(self, era: Era) -> Result<StoreResponse, StoreError> {
        match self.era == era {
            true => Ok(self),
            false => Err(StoreError::Restored(self.era)),
        }
    }
}

/// Client of the store. A call without a reply may have been executed, or may still be
/// executed later.
pub struct StoreClient {
    http: Client,
    /// Memory that replies may take.
    memory: Arc<ResponseMemory>,
    /// Largest body of a reply, in bytes.
    max_reply: usize,
    address: SocketAddr,
    protocol: Arc<dyn PlatformProtocol>,
    metrics: Arc<Metrics>,
    /// Newest known era.
    era: watch::Sender<Era>,
}

impl StoreClient {
    /// Creates a client for the store at `address`, in a process that may use `memory` bytes.
    ///
    /// # Errors
    /// The HTTP client can't be created.
    pub fn new(
        address: SocketAddr,
        protocol: Arc<dyn PlatformProtocol>,
        metrics: Arc<Metrics>,
        memory: usize,
    ) -> reqwest::Result<StoreClient> {
        let era = watch::Sender::new(Era::FIRST);
        // Apart from those of upstreams, so that these can't keep the node from reading the store.
        let max_reply = memory / REPLY_MEMORY_DIVISOR;
        let memory = Arc::new(ResponseMemory::new(MAX_LARGE_REPLIES * max_reply));
        let http = http_client()?;
        Ok(StoreClient { http, memory, max_reply, address, protocol, metrics, era })
    }

    /// Makes a call and counts its outcome.
    ///
    /// # Errors
    /// No reply arrived in time, it is invalid, or it is of an older era than the newest known one.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreResponse, StoreError> {
        self.call_up_to(call, self.max_reply, |_| {}).await
    }

    /// Makes a call whose reply may have `max_body` bytes, if the memory for replies allows them.
    /// `on_head` gets the length that the head of the reply announces.
    async fn call_up_to(
        &self,
        call: &StoreCall,
        max_body: usize,
        on_head: impl Fn(u64),
    ) -> Result<StoreResponse, StoreError> {
        let wait = match call {
            StoreCall::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let encoded = self.protocol.store_call(call);
        let max_body = max_body.min(self.max_reply);
        let limits = CallLimits { wait, silence: SILENCE_TIMEOUT, max_body };
        let begin = clock::now();
        let mut response = None;
        let sent = async {
            let begun = begin_http_call(&self.http, self.address, encoded, None, limits).await?;
            let response = response.insert(begun);
            response.length.into_iter().for_each(on_head);
            response.read(&self.memory).await
        }
        .await;
        if let Err(error) = &sent {
            let ms = clock::now().since(begin).as_millis() as u64;
            let response = response.as_ref();
            tracing::info!(
                event = "store_call_failed",
                call = call_name(call),
                %error,
                cause = error.root_cause(),
                ms,
                status = response.map(|response| response.status),
                length = response.and_then(|response| response.length),
                received = response.map(|response| response.received)
            );
        }
        let result = match sent {
            Ok(response) => {
                let reply = self
                    .protocol
                    .parse_store_reply(call, response.status, &response.body)
                    .map_err(StoreError::Reply);
                let era = self.protocol.store_era(&response.headers);
                match self.observe_era(era) {
                    true => {
                        let (answered, bytes) = (response.answered, response.body.len());
                        reply.map(|reply| StoreResponse { era, reply, answered, bytes })
                    }
                    false => Err(StoreError::OldEra(era)),
                }
            }
            Err(e) => Err(StoreError::Transport(e)),
        };
        self.metrics.record_store_call(call_name(call), outcome_name(&result));
        result
    }

    /// Makes a call whose revisions or leases are those of `era`.
    ///
    /// # Errors
    /// As for [`StoreClient::call`], or the store was restored. The call may have been executed in the
    /// later era, if its revisions or leases were given out again.
    pub async fn call_in(&self, era: Era, call: &StoreCall) -> Result<StoreReply, StoreError> {
        Ok(self.call(call).await?.in_era(era)?.reply)
    }

    /// Makes a call like [`StoreClient::call_in`], but doesn't read a reply of more than `max_body` bytes.
    /// `on_head` gets the length that the head of the reply announces.
    ///
    /// # Errors
    /// As for [`StoreClient::call_in`]; [`CallError::TooLarge`] for a larger reply.
    pub async fn call_in_up_to(
        &self,
        era: Era,
        call: &StoreCall,
        max_body: usize,
        on_head: impl Fn(u64),
    ) -> Result<StoreResponse, StoreError> {
        self.call_up_to(call, max_body, on_head).await?.in_era(era)
    }

    /// Returns the newest known era.
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Returns a receiver that is notified of each new era.
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    /// Records that the store was seen in `era`; returns whether that is the newest known one.
    pub fn observe_era(&self, era: Era) -> bool {
        self.era.send_if_modified(|known| {
            let is_new = era > *known;
            if is_new {
                tracing::warn!(event = "store_restored", %era, previous = %known);
                *known = era;
            }
            is_new
        });
        era == self.era()
    }
}

/// Creates an HTTP client for calls to the store and to engines.
pub(crate) fn http_client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(USER_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(2)
        .pool_idle_timeout(Duration::from_secs(4))
        .build()
}

/// Response to an HTTP call.
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Time at which the head arrived.
    pub(crate) answered: Time,
}

/// Reason why an HTTP call has no response.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum CallError {
    /// {0}
    Transport(reqwest::Error),
    /// no response within {0:?}
    NoResponse(Duration),
    /// the body has made no progress for {0:?}
    Stalled(Duration),
    /// the body is larger than {0} bytes
    TooLarge(usize),
    /// {0}
    Memory(MemoryError),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns the text of the innermost error, which the text of a transport error leaves out.
    fn root_cause(&self) -> Option<String> {
        let CallError::Transport(error) = self else { return None };
        let first = std::error::Error::source(error);
        std::iter::successors(first, |error| error.source()).last().map(ToString::to_string)
    }
}

impl From<reqwest::Error> for CallError {
    fn from(error: reqwest::Error) -> CallError {
        CallError::Transport(error)
    }
}

/// Bounds of an HTTP call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Time for which the server holds the call before it responds.
    pub(crate) wait: Duration,
    /// Time for which a silent server is waited for.
    pub(crate) silence: Duration,
    /// Largest size of the response's body, in bytes.
    pub(crate) max_body: usize,
}

/// Response to an HTTP call whose head has arrived.
pub(crate) struct BegunResponse {
    response: reqwest::Response,
    limits: CallLimits,
    /// Time until which the head was waited for.
    head_due: Instant,
    /// Time at which the head arrived.
    answered: Time,
    status: u16,
    /// Length of the body, if it is announced.
    length: Option<u64>,
    /// Bytes of the body that have arrived.
    received: usize,
}

/// Makes an HTTP call and waits for the head of the response.
async fn begin_http_call(
    http: &Client,
    address: SocketAddr,
    call: HttpCall,
    header: Option<(&'static str, &str)>,
    limits: CallLimits,
) -> Result<BegunResponse, CallError> {
    let url = format!("http://{address}{}", call.target);
    let mut request = http.request(call.method, url);
    let sent_bytes = call.body.as_ref().map_or(0, Bytes::len);
    if let Some((name, value)) = header {
        request = request.header(name, value);
    }
    if let Some(body) = call.body {
        request = request.header("content-type", "application/json").body(body);
    }
    let send_time = Duration::from_secs_f64(sent_bytes as f64 / MIN_SEND_RATE);
    let head_timeout = limits.wait + limits.silence + send_time;
    let head_due = Instant::now() + head_timeout;
    let response = timeout_at(head_due, request.send()).await;
    let response = response.map_err(|_| CallError::NoResponse(head_timeout))??;
    let (status, length) = (response.status().as_u16(), response.content_length());
    let answered = clock::now();
    Ok(BegunResponse { response, limits, head_due, answered, status, length, received: 0 })
}

impl BegunResponse {
    /// Reads the body, which counts as a response that is held back.
    async fn read(&mut self, memory: &Arc<ResponseMemory>) -> Result<HttpResponse, CallError> {
        let CallLimits { silence, max_body, .. } = self.limits;
        if self.length.is_some_and(|length| length > max_body as u64) {
            return Err(CallError::TooLarge(max_body));
        }
        let mut body = BytesMut::new();
        let mut held = HeldResponse::new(memory);
        // A server may send the head before it holds the call.
        let mut window = ProgressWindow::new(silence);
        window.end = window.end.max(self.head_due);
        loop {
            let chunk = tokio::select! {
                biased;
                () = held.given_up() => return Err(CallError::Memory(MemoryError::Exceeded)),
                chunk = timeout_at(window.end, self.response.chunk()) => chunk,
            };
            let chunk = chunk.map_err(|_| CallError::Stalled(silence))??;
            let Some(chunk) = chunk else { break };
            window.record(chunk.len());
            self.received += chunk.len();
            if self.received > max_body {
                return Err(CallError::TooLarge(max_body));
            }
            body.extend_from_slice(&chunk);
            held.set(body.capacity()).map_err(CallError::Memory)?;
        }
        let headers = self.response.headers().clone();
        let BegunResponse { status, answered, .. } = *self;
        Ok(HttpResponse { status, headers, body: body.freeze(), answered })
    }
}

/// Makes an HTTP call and reads the whole response, whose body counts as a response that is held
/// back.
pub(crate) async fn send_http_call(
    http: &Client,
    memory: &Arc<ResponseMemory>,
    address: SocketAddr,
    call: HttpCall,
    header: Option<(&'static str, &str)>,
    limits: CallLimits,
) -> Result<HttpResponse, CallError> {
    begin_http_call(http, address, call, header, limits).await?.read(memory).await
}

/// Time within which the next bytes of a response must arrive.
struct ProgressWindow {
    length: Duration,
    end: Instant,
    /// Bytes that have arrived in the window.
    bytes: usize,
}

impl ProgressWindow {
    fn new(length: Duration) -> ProgressWindow {
        ProgressWindow { length, end: Instant::now() + length, bytes: 0 }
    }

    /// Records received bytes. Enough of them begin the next window.
    fn record(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_PROGRESS_BYTES {
            *self = ProgressWindow::new(self.length);
        }
    }
}

/// Exponential backoff between retries of a failed call, with jitter.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose delay doubles from `min` up to `max`.
    pub fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, next: min }
    }

    /// Returns the next delay: a random time between half of the current delay and all of it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.max);
        delay
    }

    /// Sets the delay back to the shortest one, after a success.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}

/// Returns the metrics label of a call.
const fn call_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Transaction { .. } => "transaction",
        StoreCall::Grant { .. } => "grant",
        StoreCall::Renew { .. } => "renew",
        StoreCall::Revoke { .. } => "revoke",
    }
}

/// Returns the metrics label of a call's outcome.
fn outcome_name(result: &Result<StoreResponse, StoreError>) -> &'static str {
    match result {
        Ok(StoreResponse { reply: StoreReply::Refused, .. }) => "refused",
        Ok(StoreResponse { reply: StoreReply::Conflict { .. }, .. }) => "conflict",
        Ok(_) => "ok",
        Err(StoreError::OldEra(_) | StoreError::Restored(_)) => "other_era",
        Err(StoreError::Transport(_)) => "no_reply",
        Err(StoreError::Reply(_)) => "bad_reply",
    }
}
