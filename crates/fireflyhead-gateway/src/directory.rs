//! HTTP endpoints besides the proxy: readiness checks, node addresses for callers, metrics and
//! explanations of decisions.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use fireflyhead_policy::Name;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::serving::Host;
use fireflyhead_policy::serving::select;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::net::TcpListener;

use crate::clock;
use crate::explain;
use crate::explain::EXPLAIN_PATH;
use crate::explain::ExplainLimit;
use crate::serving;
use crate::state::Shared;

/// Largest number of addresses in a response; the platform's callers use up to 64.
const MAX_ADDRESSES: usize = 64;
/// Number of ready nodes in the caller's zone that suffices to leave out the nodes of other zones.
const MIN_SAME_ZONE_NODES: usize = 2;
/// Smallest number of addresses in a response, if there are as many nodes, so that callers have an
/// alternative when a node fails.
const MIN_ADDRESSES: usize = 3;

/// Node that is ready to accept callers.
struct Candidate {
    zone: Name,
    address: SocketAddr,
    host: Host,
}

/// Endpoints that a listener serves.
#[derive(Clone, Copy, Debug)]
pub enum Page {
    /// Readiness checks and node addresses.
    Directory,
    /// Metrics, and explanations of decisions.
    Metrics,
}

/// Serves the endpoints of `page` until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, page: Page) {
    let limit = Arc::new(ExplainLimit::default());
    let router = Router::new().fallback(move |req: Request| {
        let (shared, limit) = (Arc::clone(&shared), Arc::clone(&limit));
        async move {
            match page {
                Page::Directory => respond(&shared, &req),
                Page::Metrics if req.uri().path() == EXPLAIN_PATH => {
                    explain::respond(&shared, &limit, req.uri())
                }
                Page::Metrics => render_metrics(&shared),
            }
        }
    });
    if let Err(error) = axum::serve(listener, router).await {
        tracing::error!(event = "listener_failed", ?page, %error);
    }
}

/// Responds to a readiness check or a query for addresses.
fn respond(shared: &Shared, req: &Request) -> Response {
    let path = req.uri().path();
    if shared.protocol.is_ready_path(path) {
        return match shared.node_state() {
            NodeState::Ready => StatusCode::OK.into_response(),
            NodeState::Starting | NodeState::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE.into_response()
            }
        };
    }
    match shared.protocol.parse_resolve_query(path, req.uri().query()) {
        Some(query) => {
            let addresses = select_addresses(shared, query.zone.as_ref());
            if addresses.is_empty() {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            let body = shared.protocol.resolve_response(&addresses, shared.settings.resolve_ttl);
            ([("content-type", "application/json")], Body::from(body)).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Selects the nodes for a caller in `zone`: among those of its zone if enough of them are ready,
/// else among all, the ones that callers are directed to. Callers pick one at random, so a node is
/// included with a probability in proportion to its capacity.
fn select_addresses(shared: &Shared, zone: Option<&Name>) -> Vec<SocketAddr> {
    let now = clock::now();
    let candidate = |heartbeat: &Heartbeat| Candidate {
        zone: heartbeat.zone.clone(),
        address: heartbeat.caller_address,
        host: serving::host(heartbeat),
    };
    let mut nodes: Vec<Candidate> =
        shared.peers().ready(now).map(|peer| candidate(&peer.heartbeat)).collect();
    if shared.node_state() == NodeState::Ready {
        nodes.push(Candidate {
            zone: shared.settings.zone.clone(),
            address: shared.settings.caller,
            host: serving::own_host(shared),
        });
    }
    let same_zone = nodes.iter().filter(|node| Some(&node.zone) == zone).count();
    if same_zone >= MIN_SAME_ZONE_NODES {
        nodes.retain(|node| Some(&node.zone) == zone);
    }
    let mut hosts: Vec<Host> = nodes.iter().map(|node| node.host.clone()).collect();
    let selected = select(&mut hosts);
    nodes.retain(|node| hosts[..selected].iter().any(|host| host.node == node.host.node));
    let mut rng = rand::rng();
    nodes.shuffle(&mut rng);
    let capacity = |node: &Candidate| f64::from(node.host.capacity);
    let largest = nodes.iter().map(capacity).fold(f64::MIN_POSITIVE, f64::max);
    let mut kept = Vec::new();
    let mut rest = Vec::new();
    for node in nodes {
        match rng.random_bool((capacity(&node) / largest).clamp(0.0, 1.0)) {
            true => kept.push(node.address),
            false => rest.push(node.address),
        }
    }
    let missing = MIN_ADDRESSES.saturating_sub(kept.len());
    kept.extend(rest.into_iter().take(missing));
    kept.truncate(MAX_ADDRESSES);
    kept
}

/// Updates the load gauges and returns all metrics.
fn render_metrics(shared: &Shared) -> Response {
    let dispatcher = shared.dispatcher();
    shared.metrics.set_load(dispatcher.waiting(), dispatcher.in_flight());
    drop(dispatcher);
    match shared.metrics.encode_text() {
        Ok(text) => text.into_response(),
        Err(error) => {
            tracing::warn!(event = "metrics_failed", %error);
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
