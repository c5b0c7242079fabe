//! The demo's own checks, against a fake entry that breaks one invariant at a time.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use fireflyhead::ops::demo::deployment::Deployment;
use fireflyhead::ops::demo::deployment::Plan;
use fireflyhead::ops::demo::drive;
use fireflyhead::ops::demo::drive::Progress;
use fireflyhead::ops::demo::fleet::Fleet;
use fireflyhead::ops::demo::fleet::FleetOptions;
use fireflyhead::ops::demo::report::Report;
use fireflyhead_standin::engine::expected_token;
use serde_json::Value;
use serde_json::json;

/// Invariant that the fake breaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Breach {
    None,
    WrongAdapter,
    WrongText,
    IncompleteText,
    WrongOrder,
    DuplicateOrder,
    NotRunButRan,
    AnsweredWithoutRunning,
    NoOutcome,
}

#[derive(Clone)]
struct Fake {
    breach: Breach,
    base: String,
    service: String,
    http: reqwest::Client,
}

async fn resolve(State(fake): State<Fake>) -> Json<Value> {
    let address = json!({"url": fake.base, "zone": "z", "placement": "token"});
    Json(json!({"addresses": [address], "ttl_ms": 60_000}))
}

async fn completions(State(fake): State<Fake>, Json(body): Json<Value>) -> String {
    let model = body["model"].as_str().expect("a model");
    let prompt = body["prompt"].as_str().expect("a prompt");
    let tokens = body["max_tokens"].as_u64().expect("a number");
    let shown = if fake.breach == Breach::WrongAdapter { "other@v1" } else { model };
    let prompt = if fake.breach == Breach::WrongText { "another prompt" } else { prompt };
    let count = tokens - u64::from(fake.breach == Breach::IncompleteText);
    let events = (0..count).map(|index| {
        let text = expected_token(model, prompt, u32::try_from(index).expect("a few tokens"));
        format!("data: {}\n\n", json!({"model": shown, "choices": [{"text": text}]}))
    });
    events.collect::<String>() + "data: [DONE]\n\n"
}

async fn forward(
    State(fake): State<Fake>,
    method: axum::http::Method,
    uri: axum::http::Uri,
    headers: HeaderMap,
    body: bytes::Bytes,
) -> Response {
    let path = uri.path().splitn(4, '/').nth(3).expect("a path behind the service").to_owned();
    let order = method == axum::http::Method::POST;
    let id = headers["x-request-id"].clone();
    let send = || {
        let url = format!("http://{}/{path}", fake.service);
        let request = fake.http.request(method.clone(), url).header("x-request-id", &id);
        async { request.body(body.clone()).send().await.expect("an answer").bytes().await }
    };
    match fake.breach {
        Breach::AnsweredWithoutRunning if order => return body.into_response(),
        Breach::DuplicateOrder if order => drop(send().await),
        Breach::WrongOrder if order => {
            drop(send().await);
            return Json(json!({"order_id": "another"})).into_response();
        }
        Breach::NotRunButRan if order => {
            drop(send().await);
            let error = json!({"error": {"code": "overloaded", "outcome": "not_run"}});
            return (StatusCode::SERVICE_UNAVAILABLE, Json(error)).into_response();
        }
        Breach::NoOutcome => return StatusCode::BAD_GATEWAY.into_response(),
        _ => {}
    }
    send().await.expect("an answer").into_response()
}

async fn fake_entry(breach: Breach, service: String) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let app = Router::new()
        .route("/v1/resolve", get(resolve))
        .route("/v1/completions", post(completions))
        .route("/svc/{*path}", any(forward))
        .with_state(Fake { breach, base: base.clone(), service, http });
    tokio::spawn(async move { axum::serve(listener, app).await });
    base
}

async fn report_of(breach: Breach) -> Report {
    let plan = Plan { workers: 1, instances: 1, ..Deployment::default().plan() };
    let plan = Arc::new(plan);
    let fleet = Fleet::start(&plan, &FleetOptions::default()).await.expect("free ports");
    let bases = [fake_entry(breach, fleet.services[0].address().to_string()).await];
    let load = Duration::from_millis(500);
    let progress = Arc::new(Progress::default());
    let records = drive::drive(&plan, &fleet, &bases, load, 7, &progress).await.expect("a run");
    assert!(records.len() > 20, "{} requests", records.len());
    Report::new(plan.name, &records, &fleet)
}

/// Guards against a demo that reports success whatever the nodes do.
#[tokio::test]
async fn each_broken_invariant_is_reported() {
    let cases = [
        (Breach::WrongAdapter, "wrong answer"),
        (Breach::WrongText, "wrong answer"),
        (Breach::IncompleteText, "wrong answer"),
        (Breach::WrongOrder, "wrong answer"),
        (Breach::DuplicateOrder, "ran 2 times"),
        (Breach::NotRunButRan, "reported as not run, but it ran"),
        (Breach::AnsweredWithoutRunning, "never ran"),
        (Breach::NoOutcome, "without an outcome"),
    ];
    for (breach, wanted) in cases {
        let report = report_of(breach).await;
        let found = report.violations.iter().any(|violation| violation.contains(wanted));
        assert!(found, "{breach:?}: {:?}", report.violations);
    }
}

#[tokio::test]
async fn a_run_without_faults_breaks_nothing() {
    let report = report_of(Breach::None).await;
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.ranks.iter().all(|rank| rank.answered == rank.offered), "{report:?}");
    assert_eq!((report.duplicate_orders, report.wrong_answers), (0, 0));
}

/// Guards against a table of a deployment that nodes would refuse.
#[tokio::test]
async fn the_tables_of_the_deployments_are_valid() {
    for name in Deployment::NAMES {
        let plan = Deployment::from_name(name).expect("a known name").plan();
        let plan = Plan { workers: 1, instances: 1, ..plan };
        let fleet = Fleet::start(&plan, &FleetOptions::default()).await.expect("free ports");
        assert_eq!(fleet.write_table(&plan.table_csv()).await.expect("accepted"), 1);
    }
}
