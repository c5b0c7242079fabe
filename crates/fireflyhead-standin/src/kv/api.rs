//! Calls of the JSON gateway.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::faults::lock;
use crate::faults::state_routes;
use crate::kv::KvState;
use crate::kv::data::Data;
use crate::kv::data::Entry;
use crate::kv::data::Event;
use crate::kv::data::Notice;
use crate::kv::data::Range;
use crate::kv::wire::Base64;
use crate::kv::wire::Compare;
use crate::kv::wire::CompareResult;
use crate::kv::wire::CompareTarget;
use crate::kv::wire::DeleteRequest;
use crate::kv::wire::Header;
use crate::kv::wire::Int64;
use crate::kv::wire::KeyValue;
use crate::kv::wire::LeaseRequest;
use crate::kv::wire::PutRequest;
use crate::kv::wire::RangeRequest;
use crate::kv::wire::RangeResponse;
use crate::kv::wire::RequestOp;
use crate::kv::wire::TxnRequest;
use crate::kv::wire::WatchRequest;

/// Largest request body: a value in base64 with its envelope.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Codes of the gateway's errors, as gRPC numbers them.
mod code {
    pub(super) const INVALID: u32 = 3;
    pub(super) const NOT_FOUND: u32 = 5;
    pub(super) const EXHAUSTED: u32 = 8;
}

/// Rejection of a call, without effect.
struct Rejection(StatusCode, u32, String);

impl Rejection {
    fn invalid(message: impl Into<String>) -> Rejection {
        Rejection(StatusCode::BAD_REQUEST, code::INVALID, message.into())
    }

    fn lease_not_found() -> Rejection {
        let message = "etcdserver: requested lease not found".to_owned();
        Rejection(StatusCode::NOT_FOUND, code::NOT_FOUND, message)
    }
}

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        let Rejection(status, code, message) = self;
        (status, Json(json!({"error": message, "message": message, "code": code}))).into_response()
    }
}

type Reply = Result<Value, Rejection>;

pub(super) fn router(state: &Arc<KvState>) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/put", post(put))
        .route("/v3/kv/deleterange", post(delete_range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state.clone())
        .merge(state_routes(
            state,
            |s| s.switches.get(),
            KvState::set_faults,
            |s| lock(&s.counters).clone(),
        ))
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Access {
    Read,
    Write,
}

/// Runs one call with the faults and limits in force.
async fn call<T: DeserializeOwned>(
    state: &KvState,
    access: Access,
    body: &[u8],
    run: impl FnOnce(&KvState, &mut Data, T) -> Reply,
) -> Response {
    if let Err(rejection) = admit(state, access) {
        return rejection.into_response();
    }
    let faults = state.switches.get();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if access == Access::Write && state.switches.strikes(faults.lose_requests) {
        state.count(|counters| counters.lost_requests += 1);
        return crate::net::broken_response();
    }
    let req = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(e) => return Rejection::invalid(e.to_string()).into_response(),
    };
    let reply = run(state, &mut lock(&state.data), req);
    match reply {
        Ok(_) if access == Access::Write && state.switches.strikes(faults.lose_replies) => {
            state.count(|counters| counters.lost_replies += 1);
            crate::net::broken_response()
        }
        Ok(value) => Json(value).into_response(),
        Err(rejection) => rejection.into_response(),
    }
}

fn admit(state: &KvState, access: Access) -> Result<(), Rejection> {
    let bucket = match access {
        Access::Read => &state.reads,
        Access::Write => &state.writes,
    };
    if !lock(bucket).take() {
        state.count(|counters| counters.limited += 1);
        let message = "etcdserver: too many requests".to_owned();
        return Err(Rejection(StatusCode::TOO_MANY_REQUESTS, code::EXHAUSTED, message));
    }
    state.count(|counters| match access {
        Access::Read => counters.reads += 1,
        Access::Write => counters.writes += 1,
    });
    Ok(())
}

fn header(data: &Data) -> Header {
    Header { revision: Int64(data.revision()) }
}

fn header_json(data: &Data) -> Value {
    json!({"revision": data.revision().to_string()})
}

fn key_value(entry: Entry) -> KeyValue {
    KeyValue {
        key: Base64(entry.key),
        create_revision: Int64(entry.created),
        mod_revision: Int64(entry.modified),
        version: Int64(entry.version),
        value: Base64(entry.value),
        lease: Int64(entry.lease),
    }
}

fn do_range(data: &Data, req: RangeRequest) -> RangeResponse {
    let found = data.range(&Range { key: req.key.0, end: req.range_end.0 });
    let count = found.len();
    let limit = match usize::try_from(req.limit.0) {
        Ok(limit) if limit > 0 => limit,
        _ => usize::MAX,
    };
    RangeResponse {
        header: header(data),
        more: count > limit,
        count: Int64(i64::try_from(count).unwrap_or(i64::MAX)),
        kvs: found.into_iter().take(limit).map(key_value).collect(),
    }
}

fn check_put(state: &KvState, data: &Data, req: &PutRequest) -> Result<(), Rejection> {
    match req {
        _ if req.key.0.is_empty() => Err(Rejection::invalid("etcdserver: key is not provided")),
        _ if req.value.0.len() > state.cfg.max_value_bytes => {
            Err(Rejection::invalid("etcdserver: request is too large"))
        }
        _ if !data.has_lease(req.lease.0) => Err(Rejection::lease_not_found()),
        _ => Ok(()),
    }
}

fn do_put(state: &KvState, data: &mut Data, req: &PutRequest) {
    state.count(|counters| {
        counters.largest_value = counters.largest_value.max(req.value.0.len());
    });
    data.put(&req.key.0, &req.value.0, req.lease.0);
}

async fn range(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Read, &body, |_, data, req| Ok(json!(do_range(data, req)))).await
}

async fn put(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, |state, data, req: PutRequest| {
        check_put(state, data, &req)?;
        do_put(state, data, &req);
        Ok(json!({"header": header(data)}))
    })
    .await
}

fn do_delete(data: &mut Data, req: DeleteRequest) -> Value {
    let deleted = data.delete(&Range { key: req.key.0, end: req.range_end.0 });
    json!({"header": header(data), "deleted": deleted.to_string()})
}

async fn delete_range(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, |_, data, req| Ok(do_delete(data, req))).await
}

fn holds(data: &Data, compare: &Compare) -> Result<bool, Rejection> {
    if compare.target != CompareTarget::Mod {
        return Err(Rejection::invalid("the stand-in compares only `mod_revision`"));
    }
    let revision = data.modified(&compare.key.0);
    let wanted = compare.mod_revision.0;
    Ok(match compare.result {
        CompareResult::Equal => revision == wanted,
        CompareResult::Greater => revision > wanted,
        CompareResult::Less => revision < wanted,
        CompareResult::NotEqual => revision != wanted,
    })
}

fn do_txn(state: &KvState, data: &mut Data, req: TxnRequest) -> Reply {
    let mut succeeded = true;
    for compare in &req.compare {
        succeeded &= holds(data, compare)?;
    }
    let ops = if succeeded { req.success } else { req.failure };
    for put in ops.iter().filter_map(|op| op.request_put.as_ref()) {
        check_put(state, data, put)?;
    }
    let responses: Vec<Value> = ops.into_iter().map(|op| run_op(state, data, op)).collect();
    let mut reply = json!({"header": header(data), "responses": responses});
    // The gateway leaves out fields with their default value.
    if succeeded {
        reply["succeeded"] = json!(true);
    }
    Ok(reply)
}

fn run_op(state: &KvState, data: &mut Data, op: RequestOp) -> Value {
    match (op.request_range, op.request_put, op.request_delete_range) {
        (Some(range), _, _) => json!({"response_range": do_range(data, range)}),
        (_, Some(put), _) => {
            do_put(state, data, &put);
            json!({"response_put": {"header": header(data)}})
        }
        (_, _, Some(delete)) => json!({"response_delete_range": do_delete(data, delete)}),
        _ => json!({}),
    }
}

async fn txn(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, do_txn).await
}

async fn grant(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, |_, data, req: LeaseRequest| {
        let seconds = u64::try_from(req.ttl.0).unwrap_or(0).max(1);
        let id = data.grant(Duration::from_secs(seconds));
        Ok(json!({"header": header_json(data), "ID": id.to_string(), "TTL": seconds.to_string()}))
    })
    .await
}

async fn keep_alive(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, |_, data, req: LeaseRequest| {
        let ttl = data.keep_alive(req.id.0);
        let mut result = json!({"header": header_json(data), "ID": req.id});
        // A lease that does not exist is reported by the absence of its time to live.
        if let Some(ttl) = ttl {
            result["TTL"] = json!(ttl.as_secs().to_string());
        }
        Ok(json!({"result": result}))
    })
    .await
}

async fn revoke(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    call(&state, Access::Write, &body, |_, data, req: LeaseRequest| match data.revoke(req.id.0) {
        true => Ok(json!({"header": header_json(data)})),
        false => Err(Rejection::lease_not_found()),
    })
    .await
}

async fn watch(State(state): State<Arc<KvState>>, body: Bytes) -> Response {
    if let Err(rejection) = admit(&state, Access::Read) {
        return rejection.into_response();
    }
    let req: WatchRequest = match serde_json::from_slice(&body) {
        Ok(req) => req,
        Err(e) => return Rejection::invalid(e.to_string()).into_response(),
    };
    state.count(|counters| counters.watches += 1);
    tokio::time::sleep(Duration::from_millis(state.switches.get().slow_ms)).await;
    let (tx, rx) = mpsc::channel(16);
    tokio::spawn(watch_keys(state, req, tx));
    Body::from_stream(ReceiverStream::new(rx)).into_response()
}

type Lines = mpsc::Sender<Result<Bytes, std::io::Error>>;

async fn send(tx: &Lines, result: &Value) -> Result<(), ()> {
    let line = format!("{}\n", json!({"result": result}));
    tx.send(Ok(Bytes::from(line))).await.map_err(|_| ())
}

fn event_json(event: Event) -> Value {
    match event.entry.version {
        0 => json!({"type": "DELETE", "kv": key_value(event.entry)}),
        _ => json!({"kv": key_value(event.entry)}),
    }
}

/// Sends the events of one watch until its caller leaves.
async fn watch_keys(state: Arc<KvState>, req: WatchRequest, tx: Lines) {
    let req = req.create_request;
    let range = Range { key: req.key.0, end: req.range_end.0 };
    let (created, past, mut notices) = {
        let data = lock(&state.data);
        let (past, notices) = data.watch(req.start_revision.0);
        (json!({"header": header(&data), "created": true}), past, notices)
    };
    if send(&tx, &created).await.is_err() {
        return;
    }
    for event in past.into_iter().filter(|event| range.covers(&event.entry.key)) {
        if send_event(&state, &tx, event).await.is_err() {
            return;
        }
    }
    let progress = match req.progress_notify {
        true => state.cfg.progress_interval,
        false => Duration::from_secs(3_600),
    };
    let stop = state.connections.stop_token();
    loop {
        let sent = tokio::select! {
            notice = notices.recv() => match notice {
                Ok(Notice::Event(event)) if range.covers(&event.entry.key) => {
                    send_event(&state, &tx, event).await
                }
                Ok(Notice::Event(_)) => Ok(()),
                Ok(Notice::Close) | Err(broadcast::error::RecvError::Closed) => Err(()),
                Err(broadcast::error::RecvError::Lagged(_)) => Err(()),
            },
            () = tokio::time::sleep(progress) => {
                let header = header(&lock(&state.data));
                send(&tx, &json!({"header": header})).await
            }
            () = tx.closed() => Err(()),
            () = stop.cancelled() => Err(()),
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn send_event(state: &KvState, tx: &Lines, event: Event) -> Result<(), ()> {
    tokio::time::sleep(Duration::from_millis(state.switches.get().slow_ms)).await;
    let revision = event.revision.to_string();
    send(tx, &json!({"header": {"revision": revision}, "events": [event_json(event)]})).await
}
