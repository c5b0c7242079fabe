//! `fireflyhead explain`: against a running node, one that is starting, none, and with invalid flags.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fireflyhead_gateway::node::Node;
use fireflyhead_gateway::settings::GatewaySettings;
use fireflyhead_platform::Platform;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Runs `fireflyhead explain` with `args`; again after a time if the node has just explained another
/// request.
async fn explain(args: &[&str]) -> Output {
    loop {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let run = move || {
            let mut command = Command::new(env!("CARGO_BIN_EXE_fireflyhead"));
            command.arg("explain").args(args).output().expect("the program runs")
        };
        let output = tokio::task::spawn_blocking(run).await.expect("the program runs to its end");
        if !String::from_utf8_lossy(&output.stderr).contains("429") {
            return output;
        }
        sleep(Duration::from_millis(150)).await;
    }
}

/// Returns the only line that a failed command has written.
fn error_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).trim_end().to_owned();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(output.stdout.is_empty());
    text
}

/// Starts a node that uses `store`, and returns it with its metrics address.
async fn start_node(store: &Store) -> (Node, String) {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let settings = GatewaySettings {
        store: store.address(),
        metrics: Some(local),
        ..GatewaySettings::default()
    };
    let node = Node::start(settings, Arc::new(Platform)).await.expect("the node starts");
    let metrics = node.settings().metrics.expect("a metrics address");
    (node, metrics.to_string())
}

fn config() -> Value {
    json!({
        "version": 4,
        "routes": [{
            "name": "order", "host": "shop.example", "pathPrefix": "/order/",
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2,
            "service": "desk",
        }, {
            "name": "draft", "host": "shop.example", "pathPrefix": "/draft/",
            "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1,
            "service": "models", "fireflyhead": { "rate": 0.001 },
        }],
        "services": [
            { "name": "desk", "maxConns": 100 },
            { "name": "models", "maxConns": 100, "engine": { "adapterSlots": 4 } },
        ],
    })
}

/// Guards against flags whose error the operators have to search in a page of help, or that are sent to
/// the node as they are.
#[tokio::test]
async fn invalid_flags_give_one_line_and_exit_status_2() {
    let cases: [(&[&str], &str); 7] = [
        (&["--route", "order"], "--node is missing"),
        (&["--node", "edge-1", "--route", "order"], "--node `edge-1`"),
        (&["--node", "127.0.0.1:1"], "--route is missing"),
        (&["--node", "127.0.0.1:1", "--route", "order", "--tokens", "1460"], "--tokens `1460`"),
        (&["--node", "127.0.0.1:1", "--route", "order", "--tokens", "a,1"], "--tokens `a,1`"),
        (&["--node", "127.0.0.1:1", "--route", "order", "--model", "base/"], "--model `base/`"),
        (&["--node", "127.0.0.1:1", "--route", "order", "--model", "/a"], "--model `/a`"),
    ];
    for (args, expected) in cases {
        let output = explain(args).await;
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(error_line(&output).contains(expected), "{args:?}: {}", error_line(&output));
    }
}

/// Guards against a node that is absent or starting and looks like one that refuses requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_absent_or_starting_node_is_reported_as_such() {
    let absent = explain(&["--node", "127.0.0.1:1", "--route", "order"]).await;
    assert_eq!(absent.status.code(), Some(1));
    assert!(error_line(&absent).contains("no node answers at 127.0.0.1:1"));
    let store = Store::start(0).await.expect("the store starts");
    let (_node, address) = start_node(&store).await;
    let starting = explain(&["--node", &address, "--route", "order"]).await;
    assert_eq!(starting.status.code(), Some(1));
    let text = String::from_utf8_lossy(&starting.stdout);
    assert!(text.contains("is starting: it has no configuration yet"), "{text}");
}

/// Guards against an explanation that isn't what the node would do, or that has an effect: the limit of a
/// route with one token must still admit a request after several explanations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_node_explains_its_decision() {
    let store = Store::start(0).await.expect("the store starts");
    store.put("op/config", &config().to_string());
    let upstream = Upstream::start(UpstreamConfig::default()).await.expect("the upstream starts");
    store.put(&upstream.store_key(), &upstream.store_entry("ready"));
    let (node, address) = start_node(&store).await;
    let start = Instant::now();
    let order = ["--node", &address, "--route", "order", "--format", "json"];
    let report = loop {
        let output = explain(&order).await;
        let report: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
        if report["decision"]["action"] == "send" {
            break report;
        }
        assert!(start.elapsed() < Duration::from_secs(5), "{report}");
    };
    assert_eq!(report["config_version"], 4);
    assert_eq!(report["state"], "ready");
    assert_eq!(report["route"]["service"], "desk");
    assert_eq!(report["route"]["priority"], 2);
    assert_eq!(report["decision"]["upstream"], "upstream-1");
    assert_eq!(report["candidates"][0]["upstream"], "upstream-1");

    let draft = ["--node", &address, "--route", "draft", "--model", "base/a7", "--tokens", "9,3"];
    for _ in 0..3 {
        let output = explain(&draft).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(0), "{text}");
        assert!(text.contains("decision  wait: no_upstream"), "{text}");
    }
    let unknown = explain(&["--node", &address, "--route", "drafts"]).await;
    assert_eq!(unknown.status.code(), Some(1));
    assert!(error_line(&unknown).contains("configuration 4 has no route `drafts`"));
    let account = explain(&["--node", &address, "--route", "order", "--account", "nobody"]).await;
    assert!(error_line(&account).contains("no account `nobody`"));
    assert_eq!(upstream.recorded().run_counts.len(), 0, "nothing was sent");
    drop(node);
}
