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
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::net::TcpListener;

use crate::clock;
use crate::state::Shared;

/// Addresses in one answer; the platform's callers take up to 64.
const MAX_ADDRESSES: usize = 64;
/// Nodes of the caller's own zone from which other zones are left out.
const OWN_ZONE_NODES: usize = 2;
/// Addresses that an answer holds at least, if there are as many, so that callers have a choice
/// when one of them fails.
const LEAST_ADDRESSES: usize = 3;

/// Node that callers may use.
struct Candidate {
    zone: Name,
    address: SocketAddr,
    /// Processor time in cores.
    capacity: f64,
}

impl From<&Heartbeat> for Candidate {
    fn from(beat: &Heartbeat) -> Candidate {
        let capacity = f64::from(beat.capacity) / 1_000.0;
        Candidate { zone: beat.zone.clone(), address: beat.caller_address, capacity }
    }
}

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
            let addresses = addresses(shared, query.zone.as_ref());
            if addresses.is_empty() {
                return StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            let body = shared.protocol.resolve_response(&addresses, shared.settings.resolve_ttl);
            ([("content-type", "application/json")], Body::from(body)).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Nodes that a caller in `zone` should use: those of its zone while enough of them live, else
/// all. Callers choose among them at random, so smaller hosts stand in fewer answers.
fn addresses(shared: &Shared, zone: Option<&Name>) -> Vec<SocketAddr> {
    let now = clock::now();
    let mut nodes: Vec<Candidate> =
        shared.peers().ready(now).map(|peer| Candidate::from(&peer.heartbeat)).collect();
    if shared.node_state() == NodeState::Ready {
        nodes.push(Candidate {
            zone: shared.settings.zone.clone(),
            address: shared.settings.caller,
            capacity: shared.settings.capacity,
        });
    }
    let near = nodes.iter().filter(|node| Some(&node.zone) == zone).count();
    if near >= OWN_ZONE_NODES {
        nodes.retain(|node| Some(&node.zone) == zone);
    }
    let mut rng = rand::rng();
    nodes.shuffle(&mut rng);
    let largest = nodes.iter().map(|node| node.capacity).fold(f64::MIN_POSITIVE, f64::max);
    let mut kept = Vec::new();
    let mut rest = Vec::new();
    for node in nodes {
        match rng.random_bool((node.capacity / largest).clamp(0.0, 1.0)) {
            true => kept.push(node.address),
            false => rest.push(node.address),
        }
    }
    let missing = LEAST_ADDRESSES.saturating_sub(kept.len());
    kept.extend(rest.into_iter().take(missing));
    kept.truncate(MAX_ADDRESSES);
    kept
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
