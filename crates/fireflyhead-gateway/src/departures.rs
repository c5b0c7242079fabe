//! Upstreams that announce in a response that they leave.
//!
//! Such an upstream drains from that moment on, before its entry in the store says so and also while
//! the store is away. The other nodes are told at once, since each of them would otherwise find out
//! with a request of its own.

use std::net::SocketAddr;

use fireflyhead_policy::Name;
use fireflyhead_policy::message::DEPARTURE_PROTOCOL;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Departure;
use fireflyhead_policy::protocol::ResponseHead;

use crate::clock;
use crate::state::Shared;
use crate::store_watch;

/// Handles the announcement in the head of a response of `upstream`, if there is one.
/// `incarnation` is the start of the upstream that the request was sent to.
pub(crate) fn handle_response(
    shared: &Shared,
    upstream: &Name,
    incarnation: u64,
    head: &ResponseHead,
) {
    let is_other_upstream = head.upstream.as_ref().is_some_and(|id| id != upstream);
    if !head.leaving || is_other_upstream {
        return;
    }
    let departure = Departure { upstream: upstream.clone(), incarnation };
    if apply(shared, &departure, "response") {
        let peers = shared.peers_with_protocol(clock::now(), DEPARTURE_PROTOCOL);
        let targets: Vec<SocketAddr> = peers.into_iter().map(|(_, address)| address).collect();
        shared.datagrams().send_all(&targets, &Datagram::Departures(vec![departure]));
    }
}

/// Handles the notice of another node.
pub(crate) fn handle_notice(shared: &Shared, departures: &[Departure]) {
    for departure in departures {
        apply(shared, departure, "node");
    }
}

/// Makes the upstream drain; returns whether that is new.
fn apply(shared: &Shared, departure: &Departure, source: &'static str) -> bool {
    let Departure { upstream, incarnation } = departure;
    let changes = shared.fleet().record_departure(clock::now(), upstream, *incarnation);
    let is_new = !changes.is_empty();
    if is_new {
        tracing::info!(event = "upstream_leaving", %upstream, born = incarnation, source);
        store_watch::apply_fleet_changes(shared, changes);
    }
    is_new
}
