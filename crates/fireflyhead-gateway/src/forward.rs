//! Forwards requests from callers to upstreams and returns the responses.
//!
//! Delivery is at most once: a request that an upstream may have executed is retried only if its
//! route is idempotent or its stream resumable. Status codes 429 and 503 tell the caller that the
//! request was not executed, so the node returns them only when that is certain. In all other cases
//! it returns 502 or 504.

mod attempt;
mod authentication;
mod inbound_request;
mod local_responses;
mod response_body;
mod revocation;
mod streaming;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::authentication::Identity;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_policy::protocol::RequestHead;
use fireflyhead_policy::quarantine::PartId;
use fireflyhead_policy::quarantine::RequestContent;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body;
use crate::body::Body;
use crate::body::ReadError;
use crate::clock;
use crate::lifecycle::Phase;
use crate::quarantine::RequestParts;
use crate::quota;
use crate::quota::QuotaPermit;
use crate::request_memory::BodyMemory;
use crate::serving;
use crate::state::Shared;

use self::inbound_request::InboundRequest;
use self::local_responses::empty_response;
use self::local_responses::quota_refused;
use self::local_responses::service_unavailable;
pub(crate) use self::response_body::Framing;
pub(crate) use self::revocation::KeyWatch;

/// `Retry-After` while the node has no configuration, or no service for the request.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` while the bodies of other requests take all of their memory. Most requests end within
/// a second.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the rest of a request's body is awaited before a response that doesn't need it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a request as open, and against the limits of its route, until it is dropped: once the
/// response is known or, for a stream, at the end of the stream.
pub(crate) struct RequestGuard {
    shared: Arc<Shared>,
    /// Route whose limits the request counts against; `None` until the route has admitted it.
    route: Option<Name>,
}

impl RequestGuard {
    fn new(shared: &Arc<Shared>) -> RequestGuard {
        shared.open_requests().fetch_add(1, Ordering::Relaxed);
        serving::record_request(shared);
        RequestGuard { shared: Arc::clone(shared), route: None }
    }

    /// Counts the request against the limits of `route`.
    ///
    /// # Errors
    /// The route is at its limit; the value is the time after which the caller may retry.
    fn enter_route(&mut self, route: &Route) -> Result<(), Duration> {
        let now = clock::now();
        let nodes = self.shared.node_count(now);
        self.shared.limits().try_acquire(now, &route.name, &route.policy, nodes)?;
        self.route = Some(route.name.clone());
        Ok(())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.open_requests().fetch_sub(1, Ordering::Relaxed);
        if let Some(route) = &self.route {
            self.shared.limits().release(route);
        }
    }
}

/// Handles one request and returns its response.
///
/// # Errors
/// Never. A request whose body can't be read gets an error status.
pub async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let guard = RequestGuard::new(&shared);
    let mut response = respond(&shared, req, guard).await;
    if shared.lifecycle.phase() >= Phase::Draining {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Returns the response to a request, and discards what is left of the request's body before.
///
/// If bytes of the body arrive after the connection has been closed, the kernel resets the
/// connection, and the caller may lose the response.
async fn respond(
    shared: &Arc<Shared>,
    req: Request<Incoming>,
    guard: RequestGuard,
) -> Response<Body> {
    let (parts, mut body) = req.into_parts();
    // A caller that expects status 100 sends no body before it has a response.
    let sends_body = !parts.headers.contains_key(header::EXPECT);
    let mut deadline = None;
    let response = route_request(shared, parts, &mut body, &mut deadline, guard).await;
    if sends_body && !body.is_end_stream() {
        // A node that is shutting down waits for the response.
        let _open = RequestGuard::new(shared);
        let now = clock::now();
        let left = deadline.map_or(DISCARD_TIMEOUT, |deadline: Time| deadline.since(now));
        let limit = shared.config().map(|config| config.limits).unwrap_or_default().body_bytes;
        let discard = timeout(left.min(DISCARD_TIMEOUT), body::discard(&mut body, limit));
        let error = tokio::select! {
            result = discard => match result {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(format!("{error:?}")),
                Err(_) => Some("timeout".to_owned()),
            },
            () = shared.lifecycle.reached(Phase::Ended) => Some("the node stopped".to_owned()),
        };
        if let Some(error) = error {
            tracing::debug!(event = "body_not_discarded", error);
        }
    }
    response
}

/// Validates and routes a request, reads its body and forwards it. Sets `deadline` once it is
/// known. The response may be known before the body has been read to its end.
async fn route_request(
    shared: &Arc<Shared>,
    parts: http::request::Parts,
    body: &mut Incoming,
    deadline: &mut Option<Time>,
    mut guard: RequestGuard,
) -> Response<Body> {
    let arrived = clock::now();
    let parsed = shared.protocol.parse_request(&parts);
    *deadline = parsed.as_ref().ok().and_then(|head| head.deadline).map(|left| arrived + left);
    if shared.lifecycle.phase() >= Phase::Closing {
        shared.metrics.record_rejection("stopping");
        return service_unavailable(Duration::ZERO);
    }
    let Some(config) = shared.config() else {
        shared.metrics.record_rejection("no_config");
        return service_unavailable(NO_CONFIG_RETRY_AFTER);
    };
    let head = match parsed {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(event = "bad_request", %error);
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let route = match find_route(&config, &parts) {
        Ok(route) => route,
        Err(status) => return empty_response(status),
    };
    let Some(id) = head.id.clone() else { return empty_response(StatusCode::BAD_REQUEST) };
    let (identity, permit) = match identify(shared, &config, route, &id, &head).await {
        Ok(identified) => identified,
        Err(response) => return *response,
    };
    if let Err(retry_after) = guard.enter_route(route) {
        shared.metrics.record_rejection("limit");
        tracing::info!(event = "limited", %id, route = %route.name);
        return service_unavailable(retry_after);
    }
    let Some(service) = route.service_for(id.as_str()).cloned() else {
        return service_unavailable(NO_CONFIG_RETRY_AFTER);
    };
    if exceeds_engine_memory(shared, &config, &service, &head) {
        shared.metrics.record_rejection("too_large");
        tracing::info!(event = "too_large", %id, prompt = head.tokens.prompt, output = head.tokens.output);
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let end = arrived + head.deadline.unwrap_or(route.timeout).min(route.timeout);
    *deadline = Some(end);
    let memory = BodyMemory::new(
        &shared.request_memory,
        identity.account().map(|account| account.name.clone()),
    );
    let limit = config.limits.body_bytes;
    let body = match read_body(shared, body, limit, memory, end, &id).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let served_by_engines = config.service(service.as_str()).is_some_and(|s| s.engine.is_some());
    shared.budget().record_request(arrived, &service);
    let content = request_content(&parts, &head, &identity, &body);
    let request_parts = RequestParts::new(&service, &head.prompt_parts, content);
    let request = InboundRequest {
        shared: Arc::clone(shared),
        parts,
        head,
        id,
        content,
        request_parts,
        identity,
        route: Arc::clone(route),
        service,
        served_by_engines,
        body,
        arrived,
        objective: objective(arrived, route),
        deadline: end,
        quota: permit,
        stage: Mutex::default(),
    };
    request.forward(guard).await
}

/// Returns the id of what a request asks for, which is the same if its caller sends it again.
fn request_content(
    parts: &http::request::Parts,
    head: &RequestHead,
    identity: &Identity,
    body: &[u8],
) -> PartId {
    let empty = Name::default();
    let account = identity.account().map_or("", |account| account.name.as_str());
    let (model, adapter) = match &head.model {
        Some(ModelRef { model, adapter }) => (model, adapter.as_ref().unwrap_or(&empty)),
        None => (&empty, &empty),
    };
    let content = RequestContent {
        host: host(parts).unwrap_or_default(),
        method: parts.method.as_str(),
        target: parts.uri.path_and_query().map_or("", |target| target.as_str()),
        account,
        model: model.as_str(),
        adapter: adapter.as_str(),
        body,
    };
    content.id()
}

/// Returns the route of a request.
///
/// # Errors
/// No route serves it; the value is the status of the response.
fn find_route<'a>(
    config: &'a Config,
    parts: &http::request::Parts,
) -> Result<&'a Arc<Route>, StatusCode> {
    let Some(host) = host(parts) else { return Err(StatusCode::BAD_REQUEST) };
    let Some(route) = config.route(host, parts.uri.path()) else {
        tracing::info!(event = "no_route", host, path = parts.uri.path(), config = config.version);
        return Err(StatusCode::NOT_FOUND);
    };
    match route.method.as_ref().is_some_and(|method| method.as_str() != parts.method.as_str()) {
        true => Err(StatusCode::METHOD_NOT_ALLOWED),
        false => Ok(route),
    }
}

/// Returns who a request belongs to, and the permit of its account's quota.
///
/// # Errors
/// The request is not served; the value is its response.
async fn identify(
    shared: &Arc<Shared>,
    config: &Config,
    route: &Route,
    id: &Name,
    head: &RequestHead,
) -> Result<(Identity, Option<QuotaPermit>), Box<Response<Body>>> {
    let identity = authentication::authenticate(shared, config, route, id, head)?;
    let permit = enter_quota(shared, identity.account(), id, head).await?;
    Ok((identity, permit))
}

/// Takes the tokens of a request from the quota of its account.
///
/// # Errors
/// The quota doesn't admit the request; the value is the response.
async fn enter_quota(
    shared: &Arc<Shared>,
    account: Option<&Arc<ClientAccount>>,
    id: &Name,
    head: &RequestHead,
) -> Result<Option<QuotaPermit>, Box<Response<Body>>> {
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota.as_ref()?))) else {
        return Ok(None);
    };
    match quota::acquire(shared, id, account, quota.cost(head.token_count())).await {
        Ok(permit) => Ok(Some(permit)),
        Err(refusal) => Err(Box::new(quota_refused(&refusal))),
    }
}

/// Reads the body of the request `id` until `end`.
///
/// # Errors
/// The body can't be read; the value is the response.
async fn read_body(
    shared: &Shared,
    body: &mut Incoming,
    limit: usize,
    memory: BodyMemory,
    end: Time,
    id: &Name,
) -> Result<Bytes, Response<Body>> {
    let left = end.since(clock::now());
    let body = tokio::select! {
        body = timeout(left, body::read(body, limit, memory)) => body,
        () = shared.lifecycle.reached(Phase::Ended) => {
            tracing::info!(event = "body_broken", %id, error = "the node stopped");
            return Err(service_unavailable(Duration::ZERO));
        }
    };
    match body {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(empty_response(StatusCode::PAYLOAD_TOO_LARGE)),
        Ok(Err(ReadError::MemoryFull(error))) => {
            shared.metrics.record_rejection("request_memory");
            let bytes = shared.request_memory.sum();
            tracing::info!(event = "limited", %id, reason = %error, bytes);
            Err(service_unavailable(MEMORY_RETRY_AFTER))
        }
        Ok(Err(ReadError::Broken(error))) => {
            tracing::info!(event = "body_broken", %id, error);
            Err(empty_response(StatusCode::BAD_REQUEST))
        }
        Err(_) => Err(empty_response(StatusCode::REQUEST_TIMEOUT)),
    }
}

/// Returns whether the tokens of a request don't fit into the KV cache of any engine of `service`.
fn exceeds_engine_memory(
    shared: &Shared,
    config: &Config,
    service: &Name,
    head: &RequestHead,
) -> bool {
    let engine = config.service(service.as_str()).and_then(|service| service.engine.as_ref());
    let Some(capacity) = engine.map(|engine| engine.kv_capacity).filter(|tokens| *tokens > 0)
    else {
        return false;
    };
    let tokens = u64::from(head.tokens.prompt) + u64::from(head.tokens.output);
    tokens > capacity && shared.dispatcher().limits_engine_memory(service)
}

/// Returns the time up to which the response meets the latency objective of the route.
fn objective(arrived: Time, route: &Route) -> Time {
    arrived + route.objective
}

/// Returns the value of the `Host` header without the port; `None` if the header is missing,
/// repeated or not readable as text.
fn host(parts: &http::request::Parts) -> Option<&str> {
    let mut values = parts.headers.get_all(header::HOST).iter();
    let host = match (values.next(), values.next()) {
        (Some(host), None) => host.to_str().ok()?,
        (Some(_), Some(_)) | (None, _) => return None,
    };
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => Some(name),
        Some(_) | None => Some(host),
    }
}
