//! Tests of the operators' listener: authorization and bad input.

use std::sync::Arc;

use axum::body::Body;
use axum::http::Request;
use axum::http::StatusCode;
use axum::http::header;
use fireflyhead_core::types::NodeRef;
use fireflyhead_schema::NodeSettings;
use fireflyhead_schema::settings::Secret;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use tokio::sync::Notify;
use tower::ServiceExt;

use crate::context::NodeContext;
use crate::kv::HttpStore;
use crate::kv::HttpStoreConfig;
use crate::operators;
use crate::operators::NodeView;
use crate::operators::Operators;
use crate::operators::OutcomeCounts;
use crate::tables;
use crate::tables::NoPeers;

struct View;

impl NodeView for View {
    fn counts(&self) -> OutcomeCounts {
        OutcomeCounts { accepted: 10, answered: 6, not_run: 2, outcome_unknown: 1 }
    }

    fn table_version(&self, _node: NodeRef) -> BoxFuture<'_, Option<u64>> {
        Box::pin(std::future::ready(None))
    }
}

/// Listener of a node whose key-value service can't be reached.
fn listener(token: &str) -> axum::Router {
    let settings =
        NodeSettings { operator_token: Secret::from(token.to_owned()), ..NodeSettings::default() };
    let cx = NodeContext::new(settings, 1);
    let cfg =
        HttpStoreConfig { url: "http://127.0.0.1:1".to_owned(), ..HttpStoreConfig::default() };
    let store = Arc::new(HttpStore::new(cfg).expect("a client without TLS"));
    let tables = tables::spawn(cx.clone(), store, Arc::new(NoPeers));
    operators::router(Operators {
        cx,
        tables,
        view: Arc::new(View),
        drain: Arc::new(Notify::new()),
    })
}

async fn call(
    router: axum::Router,
    method: &str,
    path: &str,
    token: Option<&str>,
    body: &str,
) -> (StatusCode, String) {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, token);
    }
    let request = request.body(Body::from(body.to_owned())).expect("a valid request");
    let answer = router.oneshot(request).await.expect("the router is infallible");
    let status = answer.status();
    let bytes = answer.into_body().collect().await.expect("a body in memory").to_bytes();
    (status, String::from_utf8_lossy(&bytes).into_owned())
}

/// Guards against a route that answers without the token, and against answers that tell more.
#[tokio::test]
async fn every_route_needs_the_token() {
    let routes = [
        ("GET", "/op/v1/status"),
        ("GET", "/op/v1/nodes"),
        ("GET", "/op/v1/upstreams"),
        ("GET", "/op/v1/table"),
        ("GET", "/op/v1/table/history"),
        ("POST", "/op/v1/table/edits"),
        ("POST", "/op/v1/drain"),
    ];
    let tokens =
        [None, Some("Bearer wrong"), Some("Bearer "), Some("secret"), Some("Bearer secretx")];
    for (method, path) in routes {
        for token in tokens {
            let (status, body) = call(listener("secret"), method, path, token, "{}").await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{method} {path} {token:?}");
            assert!(!body.contains("version"), "{body}");
        }
        let (status, _) = call(listener(""), method, path, Some("Bearer "), "{}").await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "without a configured token");
    }
}

/// Guards against a status whose counts don't add up.
#[tokio::test]
async fn the_status_accounts_for_every_request() {
    let (status, body) = call(listener("t"), "GET", "/op/v1/status", Some("Bearer t"), "").await;
    assert_eq!(status, StatusCode::OK);
    let body: operators::api::StatusBody = serde_json::from_str(&body).expect("a status");
    let sum = body.answered + body.not_run + body.outcome_unknown + body.in_flight;
    assert_eq!((body.accepted, sum, body.ready), (10, 10, false));
}

/// Guards against edits that are half applied or fail without a reason.
#[tokio::test]
async fn bad_edits_are_refused() {
    let huge = format!("{{\"id\":\"{}\"", "x".repeat(operators::MAX_EDIT_BYTES));
    let cases = [
        ("{", StatusCode::BAD_REQUEST),
        ("{\"id\":\"a\"}", StatusCode::UNPROCESSABLE_ENTITY),
        (huge.as_str(), StatusCode::PAYLOAD_TOO_LARGE),
    ];
    for (body, expected) in cases {
        let (status, text) =
            call(listener("t"), "POST", "/op/v1/table/edits", Some("Bearer t"), body).await;
        assert_eq!(status, expected, "{text}");
    }
}
