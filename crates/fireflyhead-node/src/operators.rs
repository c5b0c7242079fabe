//! Listener for operators: state of the node, the table, planned stop.
//!
//! Every route needs the operators' token, which is compared in constant time.
//! Without a configured token all calls are refused.

pub mod api;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Role;
use futures::future;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use serde_json::json;
use subtle::ConstantTimeEq;
use tokio::sync::Notify;

use crate::context::NodeContext;
use crate::context::StoreState;
use crate::operators::api::CellError;
use crate::operators::api::EditAccepted;
use crate::operators::api::EditBody;
use crate::operators::api::EditEntry;
use crate::operators::api::EditRefused;
use crate::operators::api::NodeEntry;
use crate::operators::api::StatusBody;
use crate::operators::api::TableBody;
use crate::operators::api::UpstreamEntry;
use crate::tables::Edit;
use crate::tables::EditError;
use crate::tables::History;
use crate::tables::Tables;

/// Largest body of an edit, in bytes: a whole table.
pub const MAX_EDIT_BYTES: usize = 16 << 20;

/// Number of requests by outcome since the start of the node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Of these, not run.
    pub not_run: u64,
    /// Of these, with an unknown outcome.
    pub outcome_unknown: u64,
}

/// What the listener needs of the rest of the node.
pub trait NodeView: Send + Sync + 'static {
    /// Requests by outcome.
    fn counts(&self) -> OutcomeCounts;

    /// Table version in force at another node; `None` without an answer.
    fn table_version(&self, node: NodeRef) -> BoxFuture<'_, Option<u64>>;
}

/// State of the listener.
#[derive(Clone)]
pub struct Operators {
    /// Snapshots and settings.
    pub cx: NodeContext,
    /// Actor that edits the table.
    pub tables: ActorRef<Tables>,
    /// Rest of the node.
    pub view: Arc<dyn NodeView>,
    /// Told when an operator asks for a planned stop.
    pub drain: Arc<Notify>,
}

/// Routes of the listener.
pub fn router(state: Operators) -> Router {
    let open = Router::new()
        .route("/livez", routing::get(async || StatusCode::OK))
        .route("/readyz", routing::get(ready));
    let guarded = Router::new()
        .route("/op/v1/status", routing::get(status))
        .route("/op/v1/nodes", routing::get(nodes))
        .route("/op/v1/upstreams", routing::get(upstreams))
        .route("/op/v1/table", routing::get(table))
        .route("/op/v1/table/history", routing::get(history))
        .route("/op/v1/table/edits", routing::post(edit))
        .route("/op/v1/drain", routing::post(drain))
        .layer(DefaultBodyLimit::max(MAX_EDIT_BYTES))
        .layer(middleware::from_fn_with_state(state.clone(), authorize));
    open.merge(guarded).with_state(state)
}

/// Refuses calls without the operators' token; the answer tells nothing more.
async fn authorize(State(state): State<Operators>, req: Request, next: Next) -> Response {
    let expected = state.cx.settings.operator_token.expose().as_bytes();
    let given = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
        .unwrap_or_default();
    if expected.is_empty() || !bool::from(expected.ct_eq(given)) {
        let body = json!({ "error": { "code": "unauthorized", "outcome": "not_run" } });
        return (StatusCode::UNAUTHORIZED, Json(body)).into_response();
    }
    next.run(req).await
}

fn is_ready(cx: &NodeContext) -> bool {
    cx.table.borrow().version > 0 && !*cx.draining.borrow()
}

async fn ready(State(state): State<Operators>) -> StatusCode {
    match is_ready(&state.cx) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn status(State(state): State<Operators>) -> Json<StatusBody> {
    let cx = &state.cx;
    let counts = state.view.counts();
    let ended = counts.answered + counts.not_run + counts.outcome_unknown;
    let owned = |role: Role| matches!(role, Role::Owner { .. } | Role::Caretaker);
    let owned = cx.owners.borrow().values().filter(|ownership| owned(ownership.role)).count();
    Json(StatusBody {
        id: cx.me.id.to_string(),
        incarnation: cx.me.incarnation,
        zone: cx.settings.zone.clone(),
        ready: is_ready(cx),
        draining: *cx.draining.borrow(),
        store_reachable: *cx.store.borrow() == StoreState::Reachable,
        table_version: cx.table.borrow().version,
        owned_upstreams: u32::try_from(owned).unwrap_or(u32::MAX),
        accepted: counts.accepted,
        answered: counts.answered,
        not_run: counts.not_run,
        outcome_unknown: counts.outcome_unknown,
        in_flight: counts.accepted.saturating_sub(ended),
    })
}

async fn nodes(State(state): State<Operators>) -> Json<Vec<NodeEntry>> {
    let members = Arc::clone(&state.cx.members.borrow());
    let entries = members.iter().map(|member| node_entry(&state, member));
    Json(future::join_all(entries).await)
}

async fn node_entry(state: &Operators, member: &Member) -> NodeEntry {
    let table_version = match member.state {
        _ if member.node == state.cx.me => Some(state.cx.table.borrow().version),
        MemberState::Dead => None,
        _ => state.view.table_version(member.node.clone()).await,
    };
    NodeEntry {
        id: member.node.id.to_string(),
        incarnation: member.node.incarnation,
        zone: member.zone.to_string(),
        caller_address: member.caller_address.to_string(),
        state: state_name(member.state).to_owned(),
        table_version,
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

async fn upstreams(State(state): State<Operators>) -> Json<Vec<UpstreamEntry>> {
    let upstreams = Arc::clone(&state.cx.upstreams.borrow());
    let owners = Arc::clone(&state.cx.owners.borrow());
    let adverts = Arc::clone(&state.cx.adverts.borrow());
    let entry = |upstream: &fireflyhead_core::types::UpstreamInfo| {
        let record = owners.get(&upstream.name).and_then(|ownership| ownership.record.clone());
        let advert = adverts.get(&upstream.name).cloned().unwrap_or_default();
        UpstreamEntry {
            name: upstream.name.to_string(),
            service: upstream.service.to_string(),
            zone: upstream.zone.to_string(),
            address: upstream.address.to_string(),
            leaving: upstream.leaving,
            fencing: record.as_ref().map_or(0, |record| record.fencing),
            owner: record.map(|record| record.owner.id.to_string()),
            in_flight: advert.in_flight,
            queued: advert.queued,
        }
    };
    let mut entries: Vec<UpstreamEntry> = upstreams.values().map(entry).collect();
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    Json(entries)
}

async fn table(State(state): State<Operators>) -> Json<TableBody> {
    let table = Arc::clone(&state.cx.table.borrow());
    Json(TableBody { version: table.version, csv: table.to_csv() })
}

async fn history(State(state): State<Operators>) -> Json<Vec<EditEntry>> {
    // The actor is gone only while the node stops.
    let edits = state.tables.ask(History).await.unwrap_or_default();
    let entry = |edit: fireflyhead_schema::messages::TableEdit| EditEntry {
        id: edit.id,
        version: edit.version,
        summary: edit.summary,
    };
    Json(edits.into_iter().map(entry).collect())
}

async fn edit(State(state): State<Operators>, Json(body): Json<EditBody>) -> Response {
    let edit = Edit { id: body.id, summary: body.summary, changes: body.changes };
    tracing::info!(edit = edit.id, rows = edit.changes.len(), "an operator edits the table");
    match state.tables.ask(edit).await {
        Ok(version) => Json(EditAccepted { version }).into_response(),
        Err(kameo::error::SendError::HandlerError(error)) => refusal(error),
        Err(error) => refusal(EditError::StoreUnavailable(error.to_string())),
    }
}

fn refusal(error: EditError) -> Response {
    let message = error.to_string();
    let (status, code) = match &error {
        EditError::Conflicts(_) => (StatusCode::CONFLICT, "conflict"),
        EditError::Invalid(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_table"),
        EditError::StoreUnavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "store_unavailable"),
        EditError::OutcomeUnknown(_) => (StatusCode::SERVICE_UNAVAILABLE, "outcome_unknown"),
    };
    let mut body = EditRefused { code: code.to_owned(), message, ..EditRefused::default() };
    match error {
        EditError::Conflicts(conflicts) => body.conflicts = conflicts,
        EditError::Invalid(errors) => {
            let cell = |error: fireflyhead_core::table::RowError| CellError {
                line: error.line,
                column: error.column,
                reason: error.reason,
            };
            body.errors = errors.into_iter().map(cell).collect();
        }
        EditError::StoreUnavailable(_) | EditError::OutcomeUnknown(_) => {}
    }
    (status, Json(body)).into_response()
}

async fn drain(State(state): State<Operators>) -> StatusCode {
    tracing::info!("an operator asked for a planned stop");
    state.drain.notify_one();
    StatusCode::ACCEPTED
}
