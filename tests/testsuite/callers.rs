//! Contract of the callers' interface: resolve answers and error codes, in tables.

use std::collections::BTreeSet;
use std::time::Duration;

use fireflyhead::ops::call::Resolved;
use fireflyhead_node::node::Node;
use fireflyhead_standin::engine::expected_text;
use fireflyhead_standin::kv::KvFaults;
use reqwest::Client;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Time after which resolve answers must reflect a change.
const REFLECTED: Duration = Duration::from_secs(5);

fn http() -> Client {
    Client::builder().no_proxy().build().expect("the client can be set up")
}

fn base(node: &Node) -> String {
    format!("http://{}", node.addresses().caller)
}

async fn resolve(node: &Node) -> Result<Resolved, reqwest::Error> {
    let response = http().get(format!("{}/v1/resolve", base(node))).send().await?;
    response.error_for_status()?.json().await
}

async fn resolved_urls(node: &Node) -> BTreeSet<String> {
    let resolved = resolve(node).await.expect("a resolve answer");
    resolved.addresses.into_iter().map(|address| address.url).collect()
}

/// Waits until the answers of `node` name exactly `wanted`.
async fn wait_for_urls(name: &str, node: &Node, wanted: &BTreeSet<String>) {
    let end = Instant::now() + REFLECTED;
    loop {
        let urls = resolved_urls(node).await;
        if urls == *wanted {
            return;
        }
        assert!(Instant::now() < end, "{name}: {urls:?}, wanted {wanted:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against callers that are sent to nodes that are gone or stopping, and
/// against a resolve interface that fails with the key-value service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resolve_answers_name_the_nodes_that_take_requests() {
    let cluster = Cluster::start().await;
    let nodes = &cluster.nodes;
    let all: BTreeSet<String> = nodes.iter().map(base).collect();
    wait_for_urls("all", &nodes[0], &all).await;
    let resolved = resolve(&nodes[0]).await.expect("an answer");
    let zones: BTreeSet<&str> = resolved.addresses.iter().map(|a| a.zone.as_str()).collect();
    assert_eq!(zones, BTreeSet::from(cluster.plan.zones));
    assert_eq!(resolved.ttl_ms, 2_000);
    let tokens: BTreeSet<&str> = resolved.addresses.iter().map(|a| a.placement.as_str()).collect();
    assert_eq!(tokens.len(), 3, "nodes share a placement token");

    cluster.fleet.kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    sleep(Duration::from_secs(4)).await;
    assert_eq!(resolved_urls(&nodes[0]).await, all, "during an outage longer than the lease");
    cluster.fleet.kv.set_faults(KvFaults::default());

    let stop = nodes[2].shutdown();
    let gone: BTreeSet<String> = [base(&nodes[0]), base(&nodes[1])].into();
    let (_, ()) = tokio::join!(stop, wait_for_urls("planned stop", &nodes[0], &gone));
    nodes[1].kill();
    wait_for_urls("killed", &nodes[0], &[base(&nodes[0])].into()).await;
}

async fn send(node: &Node, method: &str, path: &str, body: &str, class: Option<&str>) -> Response {
    let method = method.parse().expect("a method");
    let mut request = http().request(method, format!("{}{path}", base(node)));
    if let Some(class) = class {
        request = request.header("x-work-class", class);
    }
    request.body(body.to_owned()).send().await.expect("an answer")
}

/// Guards against an error without a stable code, or one that hides that nothing ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn errors_have_a_stable_code_and_an_outcome() {
    let cluster = Cluster::start().await;
    let model = |model: &str| json!({"model": model, "prompt": "p"}).to_string();
    let large = json!({"model": "adapter-0001", "prompt": "x".repeat(2 << 20)}).to_string();
    let completions = "/v1/completions";
    let cases = [
        ("POST", completions, model("nobody"), None, "unknown_adapter"),
        ("POST", completions, model("adapter-0001@v9"), None, "unknown_version"),
        ("POST", completions, model("adapter-0001"), Some("nothing"), "unknown_class"),
        ("POST", completions, model("adapter-0001"), Some("orders"), "unknown_class"),
        ("POST", completions, "{\"model\":".to_owned(), None, "malformed_body"),
        ("POST", completions, "{}".to_owned(), None, "malformed_body"),
        ("POST", completions, large, None, "body_too_large"),
        ("GET", "/svc/nowhere/orders", String::new(), None, "unknown_service"),
        ("DELETE", "/svc/desk/orders", String::new(), None, "unknown_service"),
    ];
    for (method, path, body, class, code) in cases {
        let response = send(&cluster.nodes[0], method, path, &body, class).await;
        let status = response.status();
        let body: Value = response.json().await.unwrap_or_default();
        let error = &body["error"];
        assert_eq!(error["code"], code, "{method} {path}: {status} {body}");
        assert_eq!(error["outcome"], "not_run", "{code}: {body}");
        assert!(status.is_client_error(), "{code}: {status}");
    }
    let runs: usize = cluster.fleet.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 0);
}

/// Guards against answers that differ between the forms of the completions interface.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_form_of_a_completion_gives_the_whole_answer() {
    let cluster = Cluster::start().await;
    let wanted = expected_text("adapter-0002@v1", "a question", 12);
    for node in &cluster.nodes {
        for (path, stream) in [
            ("/v1/completions", false),
            ("/v1/completions", true),
            ("/v1/chat/completions", false),
            ("/v1/chat/completions", true),
        ] {
            let messages = json!([{"role": "user", "content": "a question"}]);
            let body = json!({"model": "adapter-0002", "prompt": "a question",
                "messages": messages, "max_tokens": 12, "stream": stream});
            let response = send(node, "POST", path, &body.to_string(), None).await;
            assert!(response.status().is_success(), "{path}: {}", response.status());
            let text = response.text().await.expect("a whole answer");
            let events = text.lines().map(|line| line.strip_prefix("data: ").unwrap_or(line));
            let parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
            let texts = parsed.filter_map(|json| {
                let choice = &json["choices"][0];
                let places = [&choice["text"], &choice["delta"]["content"]];
                let whole = choice["message"]["content"].as_str();
                places.into_iter().find_map(|p| p.as_str()).or(whole).map(str::to_owned)
            });
            assert_eq!(texts.collect::<String>(), wanted, "{path} stream {stream}");
        }
    }
}
