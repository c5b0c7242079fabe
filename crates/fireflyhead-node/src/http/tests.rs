//! Bad input on the listener for callers.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use reqwest::Method;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::entry::calls::split_path;
use crate::node::tests::Fleet;

/// Guards against bad requests that are accepted, or refused without a stable code and the field.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_a_stable_code_and_name_the_field() {
    let fleet = Fleet::start(1, 0).await;
    let long = format!(r#"{{"model":"haiku","prompt":"{}"}}"#, "x".repeat(2 << 20));
    let completions = "/v1/completions";
    let cases: [(Method, &str, &str, u16, &str, &str); 16] = [
        (Method::POST, completions, "", 400, "malformed_body", "body"),
        (Method::POST, completions, "[]", 400, "malformed_body", "body"),
        (Method::POST, completions, "{\"model\":", 400, "malformed_body", "body"),
        (Method::POST, completions, "{}", 400, "malformed_body", "model"),
        (Method::POST, completions, r#"{"model":7}"#, 400, "malformed_body", "model"),
        (Method::POST, completions, r#"{"model":""}"#, 400, "malformed_body", "model"),
        (
            Method::POST,
            completions,
            r#"{"model":"haiku","stream":1}"#,
            400,
            "malformed_body",
            "stream",
        ),
        (
            Method::POST,
            completions,
            r#"{"model":"haiku","max_tokens":0}"#,
            400,
            "malformed_body",
            "max_tokens",
        ),
        (
            Method::POST,
            completions,
            r#"{"model":"haiku","max_tokens":-1}"#,
            400,
            "malformed_body",
            "max_tokens",
        ),
        (Method::POST, completions, r#"{"model":"nobody"}"#, 404, "unknown_adapter", "model"),
        (
            Method::POST,
            "/v1/chat/completions",
            r#"{"model":"haiku@9"}"#,
            404,
            "unknown_version",
            "model",
        ),
        (Method::POST, completions, &long, 413, "body_too_large", "body"),
        (Method::GET, "/svc/nowhere/orders", "", 404, "unknown_service", "path"),
        (Method::GET, "/svc/desk/elsewhere", "", 404, "unknown_service", "path"),
        (Method::GET, "/nothing", "", 404, "unknown_service", "path"),
        (Method::DELETE, completions, "", 405, "malformed_body", "method"),
    ];
    for (method, path, body, status, code, field) in cases {
        let request = fleet.http.request(method, fleet.url(0, path)).body(body.to_owned());
        let response = request.send().await.unwrap();
        let (found, name) = (response.status().as_u16(), body.get(..40).unwrap_or(body));
        let json: Value = response.json().await.unwrap();
        let error = &json["error"];
        assert_eq!(
            (found, &error["code"], &error["field"]),
            (status, &code.into(), &field.into()),
            "{path} {name}: {json}"
        );
        assert_eq!(error["outcome"], "not_run", "{path} {name}");
    }
    assert_eq!(fleet.nodes[0].counts().accepted, 0);
}

/// Guards against forged tokens, unknown classes and headers that break a request.
#[tokio::test(flavor = "multi_thread")]
async fn bad_headers_get_a_stable_code() {
    let fleet = Fleet::start(1, 0).await;
    let id = fleet.id(0, "a").await;
    let last = id.find('.').unwrap() - 3;
    let swapped = if &id[last..=last] == "A" { "B" } else { "A" };
    let forged = format!("{}{swapped}{}", &id[..last], &id[last + 1..]);
    let (status, body) = fleet.order(0, &[("x-request-id", &forged)]).await;
    assert_eq!((status, &body["error"]["code"]), (400, &"malformed_body".into()), "{body}");
    assert_eq!(body["error"]["field"], "x-request-id");
    let request = fleet.http.post(fleet.url(0, "/v1/completions")).header("x-work-class", "order");
    let response = request.body(r#"{"model":"haiku"}"#).send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert_eq!(response.json::<Value>().await.unwrap()["error"]["code"], "unknown_class");
}

/// Guards against callers that hold a connection without sending a request, or send endless headers.
#[tokio::test(flavor = "multi_thread")]
async fn slow_and_oversized_senders_are_cut_off() {
    let fleet = Fleet::start(1, 0).await;
    let address = fleet.nodes[0].addresses().caller;
    let long = format!("GET /livez HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(80 << 10));
    let cases = [
        ("half a head", "GET /livez HTTP/1.1\r\nhost: a\r\n".to_owned(), ""),
        (
            "half a body",
            "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{".to_owned(),
            "408",
        ),
        ("long headers", long, "431"),
        ("no HTTP", "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(), "400"),
    ];
    for (name, sent, status) in cases {
        let mut socket = TcpStream::connect(address).await.unwrap();
        // The node may close the connection before everything is sent.
        let _closed = socket.write_all(sent.as_bytes()).await;
        let mut received = vec![0; 512];
        let read = timeout(Duration::from_secs(4), socket.read(&mut received));
        let count = read.await.expect(name).unwrap_or_default();
        let answer = String::from_utf8_lossy(&received[..count]);
        assert!(answer.contains(status), "{name}: {answer}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against paths that panic or reach an upstream without a leading slash.
    #[test]
    fn any_path_is_split_or_refused(path in "(/svc/|/v1/completions)?[a-z/?%é.]{0,40}") {
        if let Some((_, upstream)) = split_path(&path) {
            assert!(upstream.starts_with('/'), "{path} -> {upstream}");
        }
    }
}
