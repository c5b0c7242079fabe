//! Pages for the platform and for callers without a connection: readiness, addresses, metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use fireflyhead_policy::Name;
use fireflyhead_policy::message::NodeState;
use rand::seq::SliceRandom;
use tokio::net::TcpListener;

use crate::clock;
use crate::state::Shared;

/// Addresses in one answer; the platform's callers take up to 64.
const MAX_ADDRESSES: usize = 64;
/// Nodes of the caller's own zone from which other zones are left out.
const OWN_ZONE_NODES: usize = 2;

/// Page that a listener serves.
#[derive(Clone, Copy, Debug)]
pub enum Page {
    /// Readiness and addresses.
    Directory,
    /// Metrics.
    Metrics,
}

/// Serves a page until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, page: Page) {
    let router = Router::new().fallback(move |req: Request| {
        let shared = Arc::clone(&shared);
        async move {
            match page {
                Page::Directory => answer(&shared, &req),
                Page::Metrics => metrics(&shared),
            }
        }
    });
    if let Err(error) = axum::serve(listener, router).await {
        tracing::error!(event = "listener_failed", ?page, %error);
    }
}

fn answer(shared: &Shared, req: &Request) -> Response {
    let path = req.uri().path();
    if shared.dialect.is_ready_path(path) {
        return match shared.node_state() {
            NodeState::Ready => StatusCode::OK.into_response(),
            NodeState::Starting | NodeState::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE.into_response()
            }
        };
    }
    match shared.dialect.resolve(path, req.uri().query()) {
        Some(query) => {
            let addresses = addresses(shared, query.zone.as_ref());
            if addresses.is_empty() {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            let body = shared.dialect.resolved(&addresses, shared.settings.resolve_ttl);
            ([("content-type", "application/json")], Body::from(body)).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Nodes that a caller in `zone` should use: those of its zone while enough of them live, else all.
fn addresses(shared: &Shared, zone: Option<&Name>) -> Vec<SocketAddr> {
    let now = clock::now();
    let mut nodes: Vec<(Name, SocketAddr)> =
        shared.peers().ready(now).map(|peer| (peer.beat.zone.clone(), peer.beat.caller)).collect();
    if shared.node_state() == NodeState::Ready {
        nodes.push((shared.settings.zone.clone(), shared.settings.caller));
    }
    let near = nodes.iter().filter(|(node_zone, _)| Some(node_zone) == zone).count();
    if near >= OWN_ZONE_NODES {
        nodes.retain(|(node_zone, _)| Some(node_zone) == zone);
    }
    nodes.shuffle(&mut rand::rng());
    nodes.truncate(MAX_ADDRESSES);
    nodes.into_iter().map(|(_, address)| address).collect()
}

fn metrics(shared: &Shared) -> Response {
    let dispatcher = shared.dispatcher();
    shared.metrics.load(dispatcher.waiting(), dispatcher.in_flight());
    drop(dispatcher);
    match shared.metrics.text() {
        Ok(text) => text.into_response(),
        Err(error) => {
            tracing::warn!(event = "metrics_failed", %error);
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
