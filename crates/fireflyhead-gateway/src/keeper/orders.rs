//! Calls to engines: orders and reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::protocol::Order;
use fireflyhead_policy::protocol::OrderKind;
use fireflyhead_policy::residency::EngineCall;
use fireflyhead_policy::residency::OrderReply;
use kameo::actor::ActorRef;
use reqwest::Client;

use crate::clock;
use crate::keeper::Keeper;
use crate::keeper::KeeperMsg;
use crate::state::Shared;
use crate::store::http_call;

/// Time for an order or a report. Engines answer within milliseconds; one lost packet costs some
/// 200 ms. An order without an answer is repeated, which its precondition makes safe.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks an engine for its state.
pub(super) async fn report(
    shared: Arc<Shared>,
    http: Client,
    upstream: Name,
    address: SocketAddr,
    incarnation: u64,
    keeper: ActorRef<Keeper>,
) {
    let sent = clock::now();
    let header = Some((shared.protocol.target_upstream_header(), upstream.as_str()));
    let call = shared.protocol.report_call();
    let report = match http_call(&http, address, call, header, ORDER_TIMEOUT).await {
        Ok((200, body)) => match shared.protocol.parse_report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                tracing::warn!(event = "bad_report", %upstream, %error);
                None
            }
        },
        Ok((status, _)) => {
            tracing::info!(event = "no_report", %upstream, status);
            None
        }
        Err(error) => {
            tracing::info!(event = "no_report", %upstream, %error);
            None
        }
    };
    let msg = KeeperMsg::Reported { upstream, incarnation, sent, report };
    if keeper.tell(msg).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}

/// Gives an order to an engine.
#[expect(clippy::too_many_arguments, reason = "one call site; the arguments are one order's")]
pub(super) async fn give_order(
    shared: Arc<Shared>,
    http: Client,
    upstream: Name,
    address: SocketAddr,
    incarnation: u64,
    order: Order,
    step: EngineCall,
    keeper: ActorRef<Keeper>,
) {
    let sent = clock::now();
    let header = Some((shared.protocol.target_upstream_header(), upstream.as_str()));
    let call = shared.protocol.order_call(&order);
    let result = http_call(&http, address, call, header, ORDER_TIMEOUT).await;
    let reply = match &result {
        Ok((202, _)) => OrderReply::Accepted,
        Ok((200, _)) => OrderReply::AlreadyApplied,
        Ok((409, _)) => OrderReply::Conflict,
        Ok((421, _)) => OrderReply::Misdirected,
        Ok((500.., _)) | Err(_) => OrderReply::Unanswered,
        Ok(_) => OrderReply::Rejected,
    };
    let kind = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    shared.metrics.order(kind, reply_name(reply));
    tracing::info!(
        event = "order",
        %upstream,
        kind,
        adapter = order.adapter.as_ref().map(Name::as_str),
        version = order.version,
        precondition = order.precondition,
        fence = order.fencing_token,
        reply = reply_name(reply),
        error = result.err().map(|e| e.to_string()),
        ms = clock::now().since(sent).as_millis() as u64
    );
    let msg = KeeperMsg::Ordered { upstream, incarnation, step, reply };
    if keeper.tell(msg).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}

const fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::AlreadyApplied => "holds",
        OrderReply::Conflict => "conflict",
        OrderReply::Rejected => "rejected",
        OrderReply::Misdirected => "misdirected",
        OrderReply::Unanswered => "unanswered",
    }
}
