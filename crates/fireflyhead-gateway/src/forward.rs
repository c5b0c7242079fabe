//! Way of one request from its caller to an upstream and back.
//!
//! At most once: a request that may have reached an upstream is sent again only if its route
//! allows that it runs twice. The answers 429 and 503 state that it has not run and are given
//! only while that is certain; otherwise the answer is 502 or 504.

mod call;
mod exchange;
mod replies;
mod streaming;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::config::Route;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body;
use crate::body::Body;
use crate::body::ReadError;
use crate::clock;
use crate::state::Shared;

use self::call::Call;
use self::replies::refusal;
use self::replies::status;

/// Time for which a caller waits before it asks a node without configuration again.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Counts a request until its response has ended.
pub(crate) struct Open {
    shared: Arc<Shared>,
    /// Route whose limits it was counted in.
    route: Option<Name>,
}

impl Open {
    fn new(shared: &Arc<Shared>) -> Open {
        shared.requests().fetch_add(1, Ordering::Relaxed);
        Open { shared: Arc::clone(shared), route: None }
    }

    /// Counts the request in at its route.
    fn enter(&mut self, route: &Route) -> Result<(), Duration> {
        let now = clock::now();
        let nodes = self.shared.node_count(now);
        self.shared.limits().try_acquire(now, &route.name, &route.policy, nodes)?;
        self.route = Some(route.name.clone());
        Ok(())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.requests().fetch_sub(1, Ordering::Relaxed);
        if let Some(route) = &self.route {
            self.shared.limits().release(route);
        }
    }
}

/// Answers one request.
///
/// # Errors
/// Never; a request whose body breaks off is answered, too.
pub async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let open = Open::new(&shared);
    let mut response = answer(&shared, req, open).await;
    if shared.is_leaving() {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn answer(shared: &Arc<Shared>, req: Request<Incoming>, mut open: Open) -> Response<Body> {
    let arrived = clock::now();
    let (parts, body) = req.into_parts();
    let Some(config) = shared.config() else {
        shared.metrics.rejection("no_config");
        return refusal(NO_CONFIG_RETRY);
    };
    let head = match shared.protocol.parse_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            tracing::info!(event = "bad_request", %error);
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let Some(host) = host(&parts) else { return status(StatusCode::BAD_REQUEST) };
    let Some(route) = config.route(host, parts.uri.path()) else {
        tracing::info!(event = "no_route", host, path = parts.uri.path(), config = config.version);
        return status(StatusCode::NOT_FOUND);
    };
    if route.method.as_ref().is_some_and(|method| method.as_str() != parts.method.as_str()) {
        return status(StatusCode::METHOD_NOT_ALLOWED);
    }
    let Some(id) = head.id.clone() else { return status(StatusCode::BAD_REQUEST) };
    if let Err(retry_after) = open.enter(route) {
        shared.metrics.rejection("limit");
        tracing::info!(event = "limited", %id, route = %route.name);
        return refusal(retry_after);
    }
    let Some(service) = route.service_for(id.as_str()).cloned() else {
        return refusal(NO_CONFIG_RETRY);
    };
    let deadline = arrived + head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let left = deadline.since(clock::now());
    let body = match timeout(left, body::read(body, config.limits.body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadError::TooLarge)) => return status(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(ReadError::Broken(error))) => {
            tracing::info!(event = "body_broken", %id, error);
            return status(StatusCode::BAD_REQUEST);
        }
        Err(_) => return status(StatusCode::REQUEST_TIMEOUT),
    };
    let engine = config.service(service.as_str()).is_some_and(|s| s.engine.is_some());
    shared.budget().record_request(arrived, &service);
    let call = Call {
        shared: Arc::clone(shared),
        parts,
        head,
        id,
        route: Arc::clone(route),
        service,
        engine,
        body,
        arrived,
        objective: objective(arrived, route),
        deadline,
        logged: AtomicBool::new(false),
    };
    call.run(open).await
}

fn objective(arrived: Time, route: &Route) -> Time {
    arrived + route.objective
}

/// Host that the request names; `None` if it names none or several.
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
