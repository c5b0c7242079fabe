//! The stand-ins themselves: a fault that they do not really produce would make other tests pass.

use std::time::Duration;

use fireflyhead_standin::engine;
use fireflyhead_standin::engine::Engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::engine::EngineFaults;
use fireflyhead_standin::engine::LoadReport;
use fireflyhead_standin::engine::expected_text;
use fireflyhead_standin::hosts;
use fireflyhead_standin::hosts::Host;
use fireflyhead_standin::hosts::HostKind;
use fireflyhead_standin::hosts::HostListFaults;
use fireflyhead_standin::hosts::HostState;
use fireflyhead_standin::service;
use fireflyhead_standin::service::Service;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::service::ServiceFaults;
use fireflyhead_standin::weights;
use fireflyhead_standin::weights::WeightsConfig;
use reqwest::Client;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout;

fn http() -> Client {
    Client::builder().no_proxy().build().expect("the client can be set up")
}

async fn worker(cfg: EngineConfig) -> Engine {
    let fast = EngineConfig {
        token_time: Duration::from_millis(5),
        local_load_time: Duration::from_millis(20),
        report_lag: Duration::from_millis(100),
        ..cfg
    };
    engine::start(fast).await.expect("a free port")
}

async fn order(engine: &Engine, verb: &str, model: &str, fencing: u64) -> StatusCode {
    let url = format!("http://{}/v1/{verb}_lora_adapter", engine.address());
    let request = http().post(url).header("x-fencing-number", fencing);
    let body = json!({"lora_name": model, "lora_path": model});
    request.json(&body).send().await.expect("an answer").status()
}

async fn complete(
    engine: &Engine,
    id: &str,
    model: &str,
    tokens: u32,
) -> Result<(String, Value), reqwest::Error> {
    let url = format!("http://{}/v1/completions", engine.address());
    let body = json!({"model": model, "prompt": id, "max_tokens": tokens});
    let response = http().post(url).header("x-request-id", id).json(&body).send().await?;
    let echoed = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let echoed = echoed.unwrap_or_default().to_owned();
    Ok((echoed, response.json().await?))
}

fn text(body: &Value) -> &str {
    body["choices"][0]["text"].as_str().unwrap_or_default()
}

#[tokio::test]
async fn engine_answers_depend_on_the_request() {
    let engine = worker(EngineConfig::default()).await;
    let (id, refused) = complete(&engine, "r0", "a@v1", 4).await.expect("an answer");
    assert_eq!((id.as_str(), refused["error"]["code"].as_u64()), ("r0", Some(404)));
    assert_eq!(order(&engine, "load", "a@v1", 1).await, StatusCode::OK);
    let (id, body) = complete(&engine, "r1", "a@v1", 4).await.expect("an answer");
    assert_eq!((id.as_str(), body["model"].as_str()), ("r1", Some("a@v1")));
    assert_eq!(text(&body), expected_text("a@v1", "r1", 4));
    assert_ne!(expected_text("a@v1", "r1", 4), expected_text("a@v2", "r1", 4));
    assert_eq!(engine.runs().get("r1"), Some(&1));
    assert_eq!(engine.runs().get("r0"), None);
}

#[tokio::test]
async fn engine_resumes_and_cancels_streams() {
    let engine =
        worker(EngineConfig { preloaded: vec!["a@v1".into()], ..Default::default() }).await;
    let url = format!("http://{}/v1/completions", engine.address());
    let body =
        json!({"model": "a@v1", "prompt": "p", "max_tokens": 6, "stream": true, "resume_from": 4});
    let response = http().post(&url).json(&body).send().await.expect("an answer");
    let streamed = response.text().await.expect("a whole stream");
    let events: Vec<&str> = streamed.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    assert_eq!((events.len(), events[2]), (3, "[DONE]"));
    let first: Value = serde_json::from_str(events[0]).expect("JSON");
    assert_eq!(text(&first), engine::expected_token("a@v1", "p", 4));
    let long = json!({"model": "a@v1", "prompt": "p", "max_tokens": 100_000, "stream": true});
    let request = http().post(&url).header("x-request-id", "long").json(&long);
    let response = request.send().await.expect("an answer");
    let cancel = format!("http://{}/v1/requests/long", engine.address());
    assert_eq!(http().delete(&cancel).send().await.expect("an answer").status(), StatusCode::OK);
    let cut = timeout(Duration::from_secs(5), response.bytes()).await.expect("an end in time");
    assert!(cut.is_err(), "a cancelled stream looks complete");
}

/// Guards against a stand-in that hides a violation of the rule for unloading.
#[tokio::test]
async fn engine_counts_an_adapter_unloaded_while_it_serves() {
    let engine =
        worker(EngineConfig { preloaded: vec!["a@v1".into()], ..Default::default() }).await;
    let run = complete(&engine, "r1", "a@v1", 1_000);
    let unload = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        order(&engine, "unload", "a@v1", 1).await
    };
    let (run, unload) = tokio::join!(run, unload);
    assert_eq!(unload, StatusCode::OK);
    assert!(run.is_err(), "the request went on without its adapter");
    assert_eq!(engine.counters().unloaded_while_serving, 1);
}

#[tokio::test]
async fn engine_faults_are_visible() {
    let with = |faults: EngineFaults| async move {
        let preloaded = vec!["a@v1".to_owned(), "b@v1".to_owned()];
        let engine = worker(EngineConfig { preloaded, ..Default::default() }).await;
        engine.set_faults(faults);
        engine
    };
    let cfg = EngineConfig {
        preloaded: vec!["a@v1".to_owned(), "b@v1".to_owned()],
        token_time: Duration::from_millis(300),
        ..Default::default()
    };
    let engine = engine::start(cfg).await.expect("a free port");
    engine.set_faults(EngineFaults { swap: 1.0, ..Default::default() });
    let (one, two) =
        tokio::join!(complete(&engine, "r1", "a@v1", 1), complete(&engine, "r2", "b@v1", 1));
    let ids = [one.expect("an answer").0, two.expect("an answer").0];
    assert_eq!(ids, ["r2", "r1"], "responses were not swapped");
    let engine = with(EngineFaults { cut: 1.0, ..Default::default() }).await;
    assert!(complete(&engine, "r1", "a@v1", 9).await.is_err());
    let engine = with(EngineFaults { stop_responding: true, ..Default::default() }).await;
    let silent = timeout(Duration::from_millis(300), complete(&engine, "r1", "a@v1", 1)).await;
    assert!(silent.is_err());
    assert_eq!(engine.runs().get("r1"), Some(&1));
    let engine = with(EngineFaults { fail_loads: 1.0, ..Default::default() }).await;
    let failed = order(&engine, "load", "c@v1", 1).await;
    assert_eq!(failed, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!engine.has_loaded("c@v1"));
}

#[tokio::test]
async fn engine_checks_fencing_unless_switched_off() {
    let engine = worker(EngineConfig::default()).await;
    let statuses = [
        order(&engine, "load", "a@v1", 5).await,
        order(&engine, "load", "b@v1", 4).await,
        order(&engine, "unload", "a@v1", 4).await,
    ];
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT, StatusCode::CONFLICT]);
    assert_eq!(engine.counters().fenced, 2);
    engine.set_faults(EngineFaults { ignore_fencing: true, ..Default::default() });
    assert_eq!(order(&engine, "load", "b@v1", 4).await, StatusCode::OK);
}

#[tokio::test]
async fn engine_restarts_empty_and_reports_with_a_lag() {
    let engine =
        worker(EngineConfig { preloaded: vec!["a@v1".into()], ..Default::default() }).await;
    let report = || async {
        let url = format!("http://{}/load", engine.address());
        let response = http().get(url).send().await.expect("an answer");
        response.json::<LoadReport>().await.expect("a report")
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(order(&engine, "load", "b@v1", 1).await, StatusCode::OK);
    assert_eq!(report().await.loaded, ["a@v1"], "the report has no lag");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = report().await;
    assert_eq!(before.loaded, ["a@v1", "b@v1"]);
    let faults = format!("http://{}/faults", engine.address());
    let restart = http().post(&faults).json(&json!({"restart": true})).send().await;
    assert!(restart.is_err() || restart.is_ok_and(|r| r.status().is_success()));
    let after = report().await;
    assert_ne!(after.boot_id, before.boot_id);
    assert!(after.loaded.is_empty(), "{after:?}");
    let unknown = http().post(&faults).json(&json!({"restrat": true})).send().await;
    assert_eq!(unknown.expect("an answer").status(), StatusCode::BAD_REQUEST);
}

async fn post_order(service: &Service, id: &str) -> Result<StatusCode, reqwest::Error> {
    let url = format!("http://{}/orders", service.address());
    let response = http().post(url).json(&json!({"order_id": id})).send().await?;
    let status = response.status();
    response.bytes().await?;
    Ok(status)
}

/// Guards against a service fault that prevents the effect it is meant to leave.
#[tokio::test]
async fn service_faults_strike_after_the_effect() {
    let cases = [
        ("fail", ServiceFaults { fail_after_effect: 1.0, ..Default::default() }, Some(500)),
        ("cut", ServiceFaults { cut_after_effect: 1.0, ..Default::default() }, None),
        ("silent", ServiceFaults { silent: 1.0, ..Default::default() }, None),
        ("late", ServiceFaults { late_ms: 100, ..Default::default() }, Some(200)),
    ];
    for (name, faults, wanted) in cases {
        let service = service::start(ServiceConfig::default()).await.expect("a free port");
        service.set_faults(faults);
        let answer = timeout(Duration::from_millis(400), post_order(&service, name)).await;
        let status = answer.ok().and_then(Result::ok).map(|status| status.as_u16());
        assert_eq!(status, wanted, "{name}");
        assert_eq!(service.ledger().runs(name), 1, "{name}");
    }
    let service = service::start(ServiceConfig::default()).await.expect("a free port");
    for _ in 0..3 {
        post_order(&service, "twice").await.expect("an answer");
    }
    assert_eq!(service.ledger().duplicates(), 2);
}

/// Guards against a weight store that is faster than its limit.
#[tokio::test]
async fn weight_store_keeps_its_rate() {
    let cfg = WeightsConfig { loads_per_second: 20.0, burst: 2.0, ..WeightsConfig::default() };
    let store = weights::start(cfg).await.expect("a free port");
    let start = Instant::now();
    let loads = (0..12).map(|i| {
        let url = format!("http://{}/weights/a/{i}", store.address());
        async move { http().get(url).send().await.expect("an answer").status() }
    });
    let statuses = futures::future::join_all(loads).await;
    assert!(statuses.iter().all(StatusCode::is_success));
    // Ten loads beyond the burst at 20 loads/s, and the duration of the last one.
    assert!(start.elapsed() >= Duration::from_millis(700), "{:?}", start.elapsed());
    assert_eq!(store.counters().over_rate, 10);
}

#[tokio::test]
async fn host_list_shows_an_older_state() {
    let host = |name: &str| Host {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "z".to_owned(),
        service: "s".to_owned(),
        kind: HostKind::Service,
        state: HostState::Live,
        slots: 0,
        fencing: false,
        boot_id: String::new(),
    };
    let list = hosts::start(0, vec![host("a")]).await.expect("a free port");
    let shown = || async {
        let response = http().get(list.url()).send().await.expect("an answer");
        response.json::<Vec<Host>>().await.expect("a list")
    };
    tokio::time::sleep(Duration::from_millis(350)).await;
    list.set_faults(HostListFaults { lag_ms: 300, down: false });
    list.set_state("a", HostState::Leaving);
    list.add(host("b"));
    let early = shown().await;
    assert_eq!((early.len(), early[0].state), (1, HostState::Live));
    tokio::time::sleep(Duration::from_millis(350)).await;
    let late = shown().await;
    assert_eq!((late.len(), late[0].state), (2, HostState::Leaving));
}
