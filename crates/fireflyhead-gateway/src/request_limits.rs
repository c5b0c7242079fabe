//! Limits that upstreams name in their replies on the requests of all nodes together.
//!
//! A node that learns of a limit, of a change or of its end from a reply tells the other nodes once, so
//! that not each of them overruns the upstream with a request of its own. With each further reply that
//! names the limit it tells only the node that admits requests there, which may have missed the
//! message or have restarted.

use std::net::SocketAddr;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::LimitNews;
use fireflyhead_policy::dispatch::LimitedUpstream;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::LIMIT_PROTOCOL;
use fireflyhead_policy::message::RequestLimit;
use fireflyhead_policy::protocol::ResponseHead;
use fireflyhead_policy::request_limit::RequestRate;

use crate::clock;
use crate::state::Shared;

/// Handles the limit in the head of a reply of `upstream`, which started at `incarnation`.
/// `answered_at` is the time at which the request was sent if the reply is its answer. Without a limit,
/// only such a reply says that the upstream has none.
pub(crate) fn handle_response(
    shared: &Shared,
    upstream: &Name,
    incarnation: u64,
    answered_at: Option<Time>,
    head: &ResponseHead,
) {
    if head.upstream.as_ref().is_some_and(|id| id != upstream) {
        return;
    }
    let limit = |rate| RequestLimit { upstream: upstream.clone(), incarnation, rate };
    match &head.request_limit {
        Some(Ok(rate)) => match apply_rate(shared, upstream, incarnation, *rate, "response") {
            LimitNews::Changed => announce(shared, limit(Some(*rate))),
            LimitNews::Known => {
                let coordinator = shared.dispatcher().coordinator(upstream.as_str()).cloned();
                if let Some(node) = coordinator {
                    inform(shared, upstream, &node);
                }
            }
            LimitNews::Ignored => {}
        },
        Some(Err(error)) => tracing::info!(event = "bad_request_limit", %upstream, %error),
        None => {
            let Some(sent) = answered_at else { return };
            if apply_end(shared, upstream, incarnation, sent, "response") {
                announce(shared, limit(None));
            }
        }
    }
}

/// Handles what another node learned.
pub(crate) fn handle_notice(shared: &Shared, limits: &[RequestLimit]) {
    for RequestLimit { upstream, incarnation, rate } in limits {
        match rate {
            Some(rate) => {
                apply_rate(shared, upstream, *incarnation, *rate, "node");
            }
            None => {
                apply_end(shared, upstream, *incarnation, clock::now(), "node");
            }
        }
    }
}

/// Tells `node` of the limit of an upstream, if it has one.
pub(crate) fn inform(shared: &Shared, upstream: &Name, node: &Name) {
    let limited = shared.dispatcher().limited_upstream(upstream.as_str());
    let Some(LimitedUpstream { entry, rate }) = limited else { return };
    if *node != shared.settings.node && shared.node_understands(node, LIMIT_PROTOCOL) {
        let upstream = upstream.clone();
        let limit = RequestLimit { upstream, incarnation: entry.incarnation, rate: Some(rate) };
        shared.send_to_node(node, &Datagram::RequestLimits(vec![limit]));
    }
}

/// Passes the live nodes that can admit requests to limited upstreams to the dispatcher.
pub(crate) fn update_coordinators(shared: &Shared, now: Time) {
    let peers = shared.peers_with_protocol(now, LIMIT_PROTOCOL);
    let mut nodes: Vec<Name> = peers.into_iter().map(|(node, _)| node).collect();
    nodes.push(shared.settings.node.clone());
    shared.dispatcher().set_coordinators(nodes);
}

/// Applies a limit that `source` named.
fn apply_rate(
    shared: &Shared,
    upstream: &Name,
    incarnation: u64,
    rate: RequestRate,
    source: &'static str,
) -> LimitNews {
    let now = clock::now();
    let news = shared.dispatcher().record_request_limit(now, upstream, incarnation, rate);
    if news != LimitNews::Ignored {
        shared.admission().set_request_limit(now, upstream, Some(rate));
    }
    if news == LimitNews::Changed {
        let coordinator = shared.dispatcher().coordinator(upstream.as_str()).cloned();
        tracing::info!(
            event = "upstream_limited",
            %upstream,
            per_s = rate.per_second(),
            source,
            coordinator = coordinator.as_ref().map(Name::as_str)
        );
    }
    news
}

/// Applies the end of a limit, as an answer to a request shows that was sent at `sent`. Returns whether
/// there was a limit.
fn apply_end(
    shared: &Shared,
    upstream: &Name,
    incarnation: u64,
    sent: Time,
    source: &'static str,
) -> bool {
    let ended = shared.dispatcher().record_no_request_limit(upstream, incarnation, sent);
    if ended {
        tracing::info!(event = "upstream_unlimited", %upstream, source);
        shared.admission().set_request_limit(clock::now(), upstream, None);
        shared.dispatch_now.notify_one();
    }
    ended
}

/// Sends a limit that has changed to all nodes that understand it.
fn announce(shared: &Shared, limit: RequestLimit) {
    let peers = shared.peers_with_protocol(clock::now(), LIMIT_PROTOCOL);
    let targets: Vec<SocketAddr> = peers.into_iter().map(|(_, address)| address).collect();
    shared.datagrams().send_all(&targets, &Datagram::RequestLimits(vec![limit]));
}
