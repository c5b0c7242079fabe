//! Contract of the upstream client against engine and plain service, with fault cases in tables.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::Method;
use bytes::Bytes;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use fireflyhead_node::upstream::RunEnd;
use fireflyhead_node::upstream::RunRequest;
use fireflyhead_node::upstream::UpstreamClient;
use fireflyhead_node::upstream::UpstreamError;
use fireflyhead_node::upstream::UpstreamTimeouts;
use fireflyhead_schema::messages::peer_frame::Body;
use fireflyhead_standin::engine;
use fireflyhead_standin::engine::Engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::engine::EngineFaults;
use fireflyhead_standin::engine::expected_text;
use fireflyhead_standin::service;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::service::ServiceFaults;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Time without progress after which the client gives up.
const PROGRESS: Duration = Duration::from_millis(400);

fn client(address: SocketAddr, kind: UpstreamKind) -> UpstreamClient {
    let info = UpstreamInfo {
        name: Name::from("u"),
        service: Name::from("s"),
        zone: Name::from("z"),
        address: Name::from(address.to_string()),
        kind,
        fencing: true,
        leaving: false,
    };
    let timeouts = UpstreamTimeouts { connect: Duration::from_millis(400), progress: PROGRESS };
    UpstreamClient::new(&info, timeouts).expect("the client can be set up")
}

async fn worker() -> Engine {
    worker_with(Duration::from_millis(20)).await
}

async fn worker_with(token_time: Duration) -> Engine {
    let cfg = EngineConfig {
        preloaded: vec!["a@v1".to_owned(), "b@v1".to_owned()],
        token_time,
        ..EngineConfig::default()
    };
    engine::start(cfg).await.expect("a free port")
}

fn completion(id: &str, model: &str, stream: bool) -> RunRequest {
    let body = json!({"model": model, "prompt": id, "max_tokens": 8, "stream": stream});
    RunRequest {
        id: id.to_owned(),
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(body.to_string()),
        adapter: AdapterKey::parse(model),
        resume_from: 0,
        check_after: None,
    }
}

/// End of a run and the bytes that were passed on.
async fn run(client: &UpstreamClient, request: &RunRequest) -> (RunEnd, Vec<u8>) {
    let (tx, mut rx) = mpsc::channel(1_024);
    let end = client.run(request, 0, &tx, &|_| {}, &CancellationToken::new()).await;
    drop(tx);
    let mut passed = Vec::new();
    while let Some(frame) = rx.recv().await {
        if let Body::Chunk(chunk) = frame {
            passed.extend_from_slice(&chunk.bytes);
        }
    }
    (end, passed)
}

/// Text of the events or of the JSON body that was passed on.
fn text(passed: &[u8]) -> String {
    let passed = String::from_utf8_lossy(passed);
    let events = passed.lines().map(|line| line.strip_prefix("data: ").unwrap_or(line));
    let parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed.filter_map(|json| json["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

/// What a run must end with.
#[derive(Clone, Copy, Debug)]
enum Wanted {
    Answered(u16),
    /// Bytes may have reached the upstream.
    FailedSent,
    /// The answer of another request or adapter is not passed on.
    Rejected,
}

fn check(name: &str, wanted: Wanted, end: &RunEnd) {
    let right = match (wanted, end) {
        (Wanted::Answered(wanted), RunEnd::Answered { status }) => *status == wanted,
        (Wanted::FailedSent, RunEnd::Failed { sent, .. }) => *sent,
        (Wanted::Rejected, RunEnd::Failed { sent: true, .. } | RunEnd::WrongAdapter) => true,
        _ => false,
    };
    assert!(right, "{name}: wanted {wanted:?}, got {end:?}");
}

/// Guards against a missing, foreign or incomplete answer that is passed on as an answer.
#[tokio::test]
async fn engine_runs_end_as_the_fault_requires() {
    let cases = [
        ("none", EngineFaults::default(), Wanted::Answered(200)),
        ("late", EngineFaults { late_ms: 100, ..Default::default() }, Wanted::Answered(200)),
        ("cut", EngineFaults { cut: 1.0, ..Default::default() }, Wanted::FailedSent),
        (
            "no response",
            EngineFaults { stop_responding: true, ..Default::default() },
            Wanted::FailedSent,
        ),
    ];
    for (name, faults, wanted) in cases {
        for stream in [true, false] {
            let engine = worker().await;
            engine.set_faults(faults.clone());
            let client = client(engine.address(), UpstreamKind::Engine { slots: 8 });
            let (end, passed) = run(&client, &completion("r1", "a@v1", stream)).await;
            check(name, wanted, &end);
            let whole = expected_text("a@v1", "r1", 8);
            let found = text(&passed);
            assert!(whole.starts_with(&found), "{name}: {found}");
            assert_eq!(found == whole, matches!(wanted, Wanted::Answered(_)), "{name}");
        }
    }
}

/// Guards against the response to another request, with the same or another adapter.
#[tokio::test]
async fn swapped_engine_responses_are_rejected() {
    for (other, stream) in [("a@v1", true), ("b@v1", true), ("a@v1", false), ("b@v1", false)] {
        // Long enough that both requests arrive before the first token.
        let engine = worker_with(Duration::from_millis(150)).await;
        engine.set_faults(EngineFaults { swap: 1.0, ..Default::default() });
        let client = client(engine.address(), UpstreamKind::Engine { slots: 8 });
        let (one, two) = (completion("r1", "a@v1", stream), completion("r2", other, stream));
        let (one, two) = tokio::join!(run(&client, &one), run(&client, &two));
        for (end, passed) in [one, two] {
            check(other, Wanted::Rejected, &end);
            assert_eq!(text(&passed), "");
        }
    }
}

/// Guards against an engine that restarts or loses an adapter and looks like a caller's mistake.
#[tokio::test]
async fn an_engine_without_the_adapter_is_a_failure() {
    let engine = worker().await;
    let client = client(engine.address(), UpstreamKind::Engine { slots: 8 });
    let (end, passed) = run(&client, &completion("r1", "c@v1", true)).await;
    check("not loaded", Wanted::FailedSent, &end);
    assert!(passed.is_empty());
    let request = completion("r2", "a@v1", true);
    let restart = async {
        tokio::time::sleep(Duration::from_millis(70)).await;
        engine.restart();
    };
    let ((end, _), ()) = tokio::join!(run(&client, &request), restart);
    check("restart", Wanted::FailedSent, &end);
}

/// Guards against a request that is sent elsewhere although it may have arrived, and
/// against one that is given up although it can't have arrived.
#[tokio::test]
async fn only_a_failed_connection_means_not_sent() {
    let engine = worker().await;
    let client = client(engine.address(), UpstreamKind::Engine { slots: 8 });
    let (end, _) = run(&client, &completion("r1", "a@v1", true)).await;
    check("first", Wanted::Answered(200), &end);
    engine.connections().freeze();
    let (end, _) = run(&client, &completion("r2", "a@v1", true)).await;
    check("silent connection", Wanted::FailedSent, &end);
    let (end, _) = run(&client, &completion("r3", "a@v1", true)).await;
    check("new connection", Wanted::Answered(200), &end);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let nobody = self::client(address, UpstreamKind::Engine { slots: 8 });
    let (end, _) = run(&nobody, &completion("r4", "a@v1", true)).await;
    assert!(matches!(end, RunEnd::Failed { sent: false, .. }), "{end:?}");
}

#[tokio::test]
async fn orders_carry_the_fencing_number() {
    let engine = worker().await;
    let client = client(engine.address(), UpstreamKind::Engine { slots: 8 });
    let adapter = AdapterKey::new("c", "v1");
    client.load(&adapter, 7).await.expect("loaded");
    assert!(engine.has_loaded("c@v1"));
    assert!(matches!(client.unload(&adapter, 6).await, Err(UpstreamError::Fenced)));
    assert!(engine.has_loaded("c@v1"));
    engine.set_faults(EngineFaults { fail_loads: 1.0, ..Default::default() });
    let failed = client.load(&AdapterKey::new("d", "v1"), 7).await;
    assert!(matches!(failed, Err(UpstreamError::Status(500))), "{failed:?}");
    let before = client.report().await.expect("a report").boot_id;
    engine.restart();
    // The restart closed the client's connection, which the first read may find out.
    let after = match client.report().await {
        Err(UpstreamError::Transport(_)) => client.report().await,
        report => report,
    };
    let after = after.expect("a report");
    assert_ne!(after.boot_id, before);
    assert!(after.loaded.is_empty());
}

/// Guards against a call that ran and is reported as not sent.
#[tokio::test]
async fn service_calls_end_as_the_fault_requires() {
    let cases = [
        ("none", ServiceFaults::default(), Wanted::Answered(200)),
        ("late", ServiceFaults { late_ms: 100, ..Default::default() }, Wanted::Answered(200)),
        (
            "fails after the effect",
            ServiceFaults { fail_after_effect: 1.0, ..Default::default() },
            Wanted::Answered(500),
        ),
        (
            "cut after the effect",
            ServiceFaults { cut_after_effect: 1.0, ..Default::default() },
            Wanted::FailedSent,
        ),
        ("silent", ServiceFaults { silent: 1.0, ..Default::default() }, Wanted::FailedSent),
    ];
    for (name, faults, wanted) in cases {
        let service = service::start(ServiceConfig::default()).await.expect("a free port");
        service.set_faults(faults);
        let client = client(service.address(), UpstreamKind::Service);
        let request = RunRequest {
            id: name.to_owned(),
            method: Method::POST,
            path: "/orders".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from(json!({"order_id": name}).to_string()),
            adapter: None,
            resume_from: 0,
            check_after: None,
        };
        let (end, _) = run(&client, &request).await;
        check(name, wanted, &end);
        assert_eq!(service.ledger().runs(name), 1, "{name}");
    }
}
