//! Listener for callers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Json;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use fireflyhead_core::once::PlacementToken;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_schema::messages::TokenRequest;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use http::HeaderValue;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;
use tracing::Instrument;

use crate::context::NodeContext;
use crate::entry::CallerRequest;
use crate::entry::Entry;
use crate::entry::calls::split_path;
use crate::entry::error::EntryError;
use crate::once::OnceHandle;
use crate::once::token_from_wire;
use crate::peer::client::Peers;
use crate::telemetry;

pub mod serve;
#[cfg(test)]
mod tests;

/// Addresses in a resolve answer.
const MAX_ADDRESSES: usize = 3;

/// Longest wait for a peer's placement token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What the listener for callers works with.
#[derive(Clone)]
pub struct CallerApi {
    /// Context of the node.
    pub cx: NodeContext,
    /// Entry role.
    pub entry: Entry,
    /// Home and witness entries of this node.
    pub once: OnceHandle,
    /// Connections to other nodes.
    pub peers: Peers,
}

impl CallerApi {
    /// Routes of the listener.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/resolve", get(resolve))
            .route("/v1/completions", post(serve_request))
            .route("/v1/chat/completions", post(serve_request))
            .route("/svc/{service}", any(serve_request))
            .route("/svc/{service}/{*path}", any(serve_request))
            .merge(health_routes())
            .method_not_allowed_fallback(async || {
                let e = EntryError::not_run("malformed_body", "the path has no such method");
                EntryError { status: StatusCode::METHOD_NOT_ALLOWED, ..e }.field("method")
            })
            .fallback(async || EntryError::not_run("unknown_service", "no such path").field("path"))
            .layer(middleware::from_fn_with_state(self.cx.clone(), close_when_draining))
            .with_state(Arc::new(self))
    }

    /// Whether the node serves callers.
    fn ready(&self) -> bool {
        is_ready(&self.cx)
    }

    async fn token_of(&self, member: &Member) -> Option<PlacementToken> {
        if member.node.id == self.cx.me.id {
            return self.once.issue().await;
        }
        let body = call_request::Body::Token(TokenRequest {});
        match self.peers.call(&member.peer_address, body, TOKEN_TIMEOUT).await {
            Ok(call_answer::Body::Token(token)) => token_from_wire(token).ok(),
            Ok(_) | Err(_) => None,
        }
    }

    /// Live nodes in the order in which a caller of `zone` should try them.
    fn candidates(&self, zone: &str) -> Vec<Member> {
        let members = self.cx.members.borrow().clone();
        let draining = *self.cx.draining.borrow();
        let usable = |member: &&Member| {
            member.state == MemberState::Alive && !(draining && member.node == self.cx.me)
        };
        let mut list: Vec<Member> = members.iter().filter(usable).cloned().collect();
        list.shuffle(&mut rand::rng());
        list.sort_by_key(|member| member.zone.as_str() != zone);
        list.truncate(MAX_ADDRESSES);
        list
    }
}

/// Asks callers of a stopping node to open their next connection elsewhere.
async fn close_when_draining(
    State(cx): State<NodeContext>,
    request: Request,
    next: Next,
) -> Response {
    let http1 = request.version() <= Version::HTTP_11;
    let mut response = next.run(request).await;
    if http1 && *cx.draining.borrow() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Whether the node of `cx` serves callers: it has a table and knows upstreams.
pub(crate) fn is_ready(cx: &NodeContext) -> bool {
    cx.table.borrow().version > 0 && !cx.upstreams.borrow().is_empty() && !*cx.draining.borrow()
}

fn health_routes() -> Router<Arc<CallerApi>> {
    Router::new().route("/livez", get(async || "ok\n")).route("/readyz", get(readyz))
}

async fn readyz(State(api): State<Arc<CallerApi>>) -> Response {
    match api.ready() {
        true => "ok\n".into_response(),
        false if *api.cx.draining.borrow() => {
            EntryError::not_run("draining", "the node is stopping").into_response()
        }
        false => EntryError::not_run("not_ready", "the node has no table or no upstreams yet")
            .into_response(),
    }
}

#[derive(Deserialize)]
struct ResolveQuery {
    /// Zone of the caller; the node's own if absent.
    zone: Option<String>,
}

async fn resolve(
    State(api): State<Arc<CallerApi>>,
    query: Result<Query<ResolveQuery>, QueryRejection>,
) -> Response {
    let zone = match query {
        Ok(Query(query)) => query.zone,
        Err(e) => {
            return EntryError::not_run("malformed_body", e.to_string())
                .field("query")
                .into_response();
        }
    };
    let zone = zone.unwrap_or_else(|| api.cx.settings.zone.clone());
    let members = api.candidates(&zone);
    let tokens = futures::future::join_all(members.iter().map(|member| api.token_of(member))).await;
    let addresses: Vec<Value> = members
        .iter()
        .zip(tokens)
        .filter_map(|(member, token)| {
            token.map(|token| {
                json!({
                    "url": format!("http://{}", member.caller_address),
                    "zone": member.zone.as_str(),
                    "placement": token.to_string(),
                })
            })
        })
        .collect();
    if addresses.is_empty() {
        return EntryError::not_run("not_ready", "no node takes requests").into_response();
    }
    let ttl_ms = u64::try_from(api.cx.settings.resolve_ttl.as_millis()).unwrap_or(u64::MAX);
    Json(json!({ "addresses": addresses, "ttl_ms": ttl_ms })).into_response()
}

async fn serve_request(State(api): State<Arc<CallerApi>>, request: Request) -> Response {
    let span = telemetry::caller_span(request.headers());
    async move {
        match read(&api.cx, request).await {
            Ok(request) => api.entry.serve(request).await,
            Err(e) => e.into_response(),
        }
    }
    .instrument(span)
    .await
}

/// Reads a request within the limits of size and time.
async fn read(cx: &NodeContext, request: Request) -> Result<CallerRequest, EntryError> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Some((target, path)) = split_path(path) else {
        return Err(EntryError::not_run("unknown_service", "no such path").field("path"));
    };
    let body = read_body(cx, body).await?;
    Ok(CallerRequest { target, method: parts.method, path, headers: parts.headers, body })
}

async fn read_body(cx: &NodeContext, body: Body) -> Result<Bytes, EntryError> {
    let limit = usize::try_from(cx.settings.body_limit).unwrap_or(usize::MAX);
    let collected = timeout(cx.settings.header_timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let message = format!("the body has more than {limit} bytes");
            Err(EntryError::not_run("body_too_large", message).field("body"))
        }
        Ok(Err(e)) => {
            let message = format!("the body can't be read: {e}");
            Err(EntryError::not_run("malformed_body", message).field("body"))
        }
        Err(_) => {
            let e = EntryError::not_run("malformed_body", "the body was not sent in time");
            Err(EntryError { status: StatusCode::REQUEST_TIMEOUT, ..e }.field("body"))
        }
    }
}
