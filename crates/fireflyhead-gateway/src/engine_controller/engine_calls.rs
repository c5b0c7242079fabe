//! HTTP calls to engines: orders to load and unload adapters, and reports of the engine's state.

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
use crate::departures;
use crate::engine_controller::ControllerMsg;
use crate::engine_controller::EngineController;
use crate::request_limits;
use crate::state::Shared;
use crate::store::CallError;
use crate::store::CallLimits;
use crate::store::HttpResponse;
use crate::store::send_http_call;

/// Time for which a silent engine is waited for. Engines reply within milliseconds, and a lost packet
/// is retransmitted after about 200 ms. An order without a reply is repeated, which its precondition
/// makes safe.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Limits of a call. A report has some ten bytes for each request and adapter of the engine.
const CALL_LIMITS: CallLimits =
    CallLimits { wait: Duration::ZERO, silence: SILENCE_TIMEOUT, max_body: 256 * 1024 };

/// Status with which another engine replies at the address.
const MISDIRECTED: u16 = 421;

/// Requests a report from an engine and passes it to the controller.
pub(super) async fn fetch_report(
    shared: Arc<Shared>,
    http: Client,
    upstream: Name,
    address: SocketAddr,
    incarnation: u64,
    controller: ActorRef<EngineController>,
) {
    let sent = clock::now();
    let header = Some((shared.protocol.target_upstream_header(), upstream.as_str()));
    let http_call = shared.protocol.report_call();
    let memory = &shared.response_memory;
    let result = send_http_call(&http, memory, address, http_call, header, CALL_LIMITS).await;
    observe_head(&shared, &upstream, incarnation, &result);
    let report = match result {
        Ok(HttpResponse { status: 200, body, .. }) => match shared.protocol.parse_report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                tracing::warn!(event = "bad_report", %upstream, %error);
                None
            }
        },
        Ok(HttpResponse { status, .. }) => {
            tracing::info!(event = "no_report", %upstream, status);
            None
        }
        Err(error) => {
            tracing::info!(event = "no_report", %upstream, %error);
            None
        }
    };
    shared.metrics.record_report(if report.is_some() { "received" } else { "failed" });
    if let Some(limit) = shared.dispatcher().request_limit(upstream.as_str()) {
        let ms = clock::now().since(sent).as_millis() as u64;
        tracing::info!(event = "report", %upstream, limit_per_s = limit.per_second(), ms);
    }
    let msg = ControllerMsg::ReportReceived { upstream, incarnation, sent, report };
    if controller.tell(msg).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}

/// Sends an order to an engine and passes its reply to the controller.
#[expect(clippy::too_many_arguments, reason = "one call site, which moves them into a task")]
pub(super) async fn send_order(
    shared: Arc<Shared>,
    http: Client,
    upstream: Name,
    address: SocketAddr,
    incarnation: u64,
    order: Order,
    call: EngineCall,
    controller: ActorRef<EngineController>,
) {
    let sent = clock::now();
    let header = Some((shared.protocol.target_upstream_header(), upstream.as_str()));
    let http_call = shared.protocol.order_call(&order);
    let memory = &shared.response_memory;
    let result = send_http_call(&http, memory, address, http_call, header, CALL_LIMITS).await;
    observe_head(&shared, &upstream, incarnation, &result);
    let reply = match result.as_ref().map(|response| response.status) {
        Ok(202) => OrderReply::Accepted,
        Ok(200) => OrderReply::AlreadyApplied,
        Ok(409) => OrderReply::Conflict,
        Ok(MISDIRECTED) => OrderReply::Misdirected,
        Ok(500..) | Err(_) => OrderReply::Unanswered,
        Ok(_) => OrderReply::Rejected,
    };
    let kind = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    shared.metrics.record_order(kind, reply_name(reply));
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
    let msg = ControllerMsg::OrderReplied { upstream, incarnation, call, reply };
    if controller.tell(msg).await.is_err() {
        tracing::debug!(event = "keeper_stopped");
    }
}

/// Handles what an engine says of itself in the head of a reply, unless another engine replied at its
/// address: its load, and that it leaves.
fn observe_head(
    shared: &Shared,
    upstream: &Name,
    incarnation: u64,
    result: &Result<HttpResponse, CallError>,
) {
    match result {
        Ok(response) if response.status != MISDIRECTED => {
            let head = shared.protocol.parse_response(&response.headers);
            departures::handle_response(shared, upstream, incarnation, &head);
            request_limits::handle_response(shared, upstream, incarnation, None, &head);
            if let Some(load) = head.load {
                shared.record_load_report(clock::now(), upstream, load);
            }
        }
        Ok(_) | Err(_) => {}
    }
}

/// Returns the log and metrics code of a reply.
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
