//! HTTP side of an engine: completions, orders and the load report.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use futures::Stream;
use futures::StreamExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::engine::batch::Piece;
use crate::engine::batch::Reserved;
use crate::engine::batch::Sequence;
use crate::engine::batch::Worker;
use crate::faults::state_routes;

/// Header with the id of a request.
const REQUEST_ID: &str = "x-request-id";
/// Tokens generated if the request names no number.
const DEFAULT_MAX_TOKENS: u32 = 16;

pub(super) fn router(worker: &Arc<Worker>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/load_lora_adapter", post(load_adapter))
        .route("/v1/unload_lora_adapter", post(unload_adapter))
        .route("/v1/requests/{id}", delete(cancel))
        .route("/load", get(|State(w): State<Arc<Worker>>| async move { Json(w.lagging_report()) }))
        .with_state(worker.clone())
        .merge(state_routes(worker, |w| w.switches.get(), Worker::set_faults, Worker::counters))
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    priority: i64,
}

#[derive(Clone, Copy)]
enum Form {
    Text,
    Chat,
}

fn error(status: StatusCode, message: impl Into<String>) -> Response {
    (status, Json(json!({"error": {"message": message.into(), "code": status.as_u16()}})))
        .into_response()
}

async fn completions(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    answer(&worker, &headers, &body, Form::Text).await
}

async fn chat(State(worker): State<Arc<Worker>>, headers: HeaderMap, body: Bytes) -> Response {
    answer(&worker, &headers, &body, Form::Chat).await
}

/// Response that echoes the request id, error responses included.
async fn answer(worker: &Worker, headers: &HeaderMap, body: &[u8], form: Form) -> Response {
    let id = request_id(headers);
    let mut response = complete(worker, &id, body, form).await;
    // The response to another request, by the fault that swaps them, carries that one's id.
    if let Ok(id) = HeaderValue::from_str(&id) {
        response.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    response
}

async fn complete(worker: &Worker, id: &str, body: &[u8], form: Form) -> Response {
    let req: CompletionRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(e) => return error(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let prompt = match form {
        Form::Text => req.prompt,
        Form::Chat => req.messages.into_iter().map(|m| m.content).collect::<Vec<_>>().join("\n"),
    };
    let prompt_tokens = prompt.len() / 4;
    let end = req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    if req.resume_from >= end {
        return error(StatusCode::BAD_REQUEST, "`resume_from` lies behind the answer");
    }
    let (output, mut pieces) = mpsc::unbounded_channel();
    let sequence = Sequence {
        id: id.to_owned(),
        model: req.model.clone(),
        prompt,
        next: req.resume_from,
        end,
        priority: req.priority,
        cut_at: None,
        output,
    };
    if !worker.submit(sequence) {
        let message = format!("the adapter `{}` is not loaded", req.model);
        return error(StatusCode::NOT_FOUND, message);
    }
    let Some(first) = pieces.recv().await else { return crate::net::broken_response() };
    let faults = worker.switches.get();
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    if faults.stop_responding {
        std::future::pending::<()>().await;
    }
    let id = HeaderValue::from_str(&first.id);
    let mut response = match req.stream {
        true => streamed(first, pieces, form),
        false => whole(first, pieces, form, prompt_tokens).await,
    };
    if let Ok(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}

fn request_id(headers: &HeaderMap) -> String {
    match headers.get(REQUEST_ID).and_then(|value| value.to_str().ok()) {
        Some(id) => id.to_owned(),
        None => format!("engine-{:016x}", rand::random::<u64>()),
    }
}

/// Body of one chunk or, with `whole`, of a complete answer.
fn body_of(piece: &Piece, text: &str, form: Form, whole: bool) -> Value {
    let finish = piece.last.then_some("length");
    let (object, choice) = match (form, whole) {
        (Form::Text, _) => ("text_completion", json!({"text": text})),
        (Form::Chat, false) => ("chat.completion.chunk", json!({"delta": {"content": text}})),
        (Form::Chat, true) => {
            ("chat.completion", json!({"message": {"role": "assistant", "content": text}}))
        }
    };
    let mut choice = choice;
    choice["index"] = json!(0);
    choice["finish_reason"] = json!(finish);
    json!({
        "id": piece.id,
        "object": object,
        "model": piece.model,
        "choices": [choice],
        "token_offset": piece.offset,
        "tokens": piece.tokens,
    })
}

fn event(piece: &Piece, form: Form) -> Bytes {
    let mut event = format!("data: {}\n\n", body_of(piece, &piece.text, form, false));
    if piece.last {
        event.push_str("data: [DONE]\n\n");
    }
    Bytes::from(event)
}

fn streamed(first: Piece, pieces: mpsc::UnboundedReceiver<Piece>, form: Form) -> Response {
    let body = Body::from_stream(events(first, pieces, form));
    ([("content-type", "text/event-stream")], body).into_response()
}

/// Events of a response; an error, which closes the connection, if it breaks off.
fn events(
    first: Piece,
    pieces: mpsc::UnboundedReceiver<Piece>,
    form: Form,
) -> impl Stream<Item = io::Result<Bytes>> {
    let all = futures::stream::iter([first]).chain(UnboundedReceiverStream::new(pieces));
    let ended = all.map(Some).chain(futures::stream::iter([None]));
    ended.scan(false, move |done, piece| {
        let item = match piece {
            Some(piece) => {
                *done = piece.last;
                Some(Ok(event(&piece, form)))
            }
            None if *done => None,
            None => Some(Err(io::Error::other("the response broke off"))),
        };
        std::future::ready(item)
    })
}

async fn whole(
    first: Piece,
    mut pieces: mpsc::UnboundedReceiver<Piece>,
    form: Form,
    prompt_tokens: usize,
) -> Response {
    let offset = first.offset;
    let mut last = first.clone();
    let mut text = first.text;
    while !last.last {
        match pieces.recv().await {
            Some(piece) => {
                text.push_str(&piece.text);
                last = piece;
            }
            None => return crate::net::broken_response(),
        }
    }
    let tokens = last.offset + last.tokens - offset;
    let all = Piece { offset, tokens, ..last };
    let mut body = body_of(&all, &text, form, true);
    body["usage"] = json!({"prompt_tokens": prompt_tokens, "completion_tokens": tokens});
    Json(body).into_response()
}

async fn cancel(State(worker): State<Arc<Worker>>, Path(id): Path<String>) -> StatusCode {
    match worker.cancel(&id) {
        true => StatusCode::OK,
        false => StatusCode::NOT_FOUND,
    }
}

#[derive(Deserialize)]
struct Order {
    lora_name: String,
}

/// Checks the fencing number of an order.
fn check_fencing(worker: &Worker, headers: &HeaderMap) -> Option<Response> {
    let number = headers.get("x-fencing-number").and_then(|value| value.to_str().ok());
    let number = match number.map(str::parse::<u64>) {
        None => None,
        Some(Ok(number)) => Some(number),
        Some(Err(_)) => return Some(error(StatusCode::BAD_REQUEST, "bad fencing number")),
    };
    match worker.accepts_order(number) {
        true => None,
        false => Some(error(StatusCode::CONFLICT, "the fencing number is old")),
    }
}

/// Loads in a task of its own: an order is carried out even if its author disconnects.
async fn load_adapter(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if let Some(rejection) = check_fencing(&worker, &headers) {
        return rejection;
    }
    let model = order.lora_name;
    let boot_id = match worker.reserve_slot(&model) {
        Reserved::Free(boot_id) => boot_id,
        Reserved::Full => return error(StatusCode::INSUFFICIENT_STORAGE, "no slot is free"),
        Reserved::Present => return wait_until_loaded(&worker, &model).await,
    };
    let task = tokio::spawn(async move {
        let fetched = fetch(&worker, &model).await;
        let ok = fetched && !worker.switches.strikes(worker.switches.get().fail_loads);
        worker.finish_load(&model, &boot_id, ok)
    });
    match task.await {
        Ok(true) => StatusCode::OK.into_response(),
        _ => error(StatusCode::INTERNAL_SERVER_ERROR, "the adapter could not be loaded"),
    }
}

/// Answers a second order for the same adapter when the first one ends.
async fn wait_until_loaded(worker: &Worker, model: &str) -> Response {
    loop {
        match worker.slot(model) {
            Some(crate::engine::batch::Slot::Ready) => return StatusCode::OK.into_response(),
            Some(crate::engine::batch::Slot::Loading) => {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            None => {
                return error(StatusCode::INTERNAL_SERVER_ERROR, "the adapter could not be loaded");
            }
        }
    }
}

async fn fetch(worker: &Worker, model: &str) -> bool {
    let Some(store) = worker.cfg.weights else {
        tokio::time::sleep(worker.cfg.local_load_time).await;
        return true;
    };
    let (adapter, version) = model.rsplit_once('@').unwrap_or((model, "base"));
    let adapter = adapter.replace('/', "%2F");
    let url = format!("http://{store}/weights/{adapter}/{version}");
    match worker.client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}

async fn unload_adapter(
    State(worker): State<Arc<Worker>>,
    headers: HeaderMap,
    Json(order): Json<Order>,
) -> Response {
    if let Some(rejection) = check_fencing(&worker, &headers) {
        return rejection;
    }
    match worker.unload(&order.lora_name) {
        true => StatusCode::OK.into_response(),
        false => error(StatusCode::NOT_FOUND, "the adapter is not loaded"),
    }
}
