//! Non-idempotent requests that are sent again, at any node and after any failure.

use std::time::Duration;

use fireflyhead::ops::call::Resolved;
use fireflyhead_node::node::Node;
use fireflyhead_standin::service::ServiceFaults;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::short_timeouts;

/// Answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Answer {
    status: u16,
    /// `order_id` of a response of the service.
    order: Option<String>,
    /// `outcome` of an error.
    outcome: Option<String>,
    code: Option<String>,
}

fn http() -> Client {
    Client::builder().no_proxy().build().expect("the client can be set up")
}

fn base(node: &Node) -> String {
    format!("http://{}", node.addresses().caller)
}

/// Request id whose home is `node`.
async fn id_at(node: &Node, suffix: &str) -> String {
    let url = format!("{}/v1/resolve", base(node));
    let response = http().get(url).send().await.expect("an answer");
    let resolved: Resolved = response.json().await.expect("a resolve answer");
    let own = resolved.addresses.iter().find(|address| address.url == base(node));
    format!("{}.{suffix}", own.expect("the node takes requests").placement)
}

async fn order(node: &Node, id: &str, order: &str) -> Answer {
    let request = http()
        .post(format!("{}/svc/desk/orders", base(node)))
        .header("x-request-id", id)
        .json(&json!({"order_id": order}));
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap_or_default();
    let text = |value: &Value| value.as_str().map(str::to_owned);
    Answer {
        status,
        order: text(&body["order_id"]),
        outcome: text(&body["error"]["outcome"]),
        code: text(&body["error"]["code"]),
    }
}

fn answered(answer: &Answer, order: &str) -> bool {
    answer.status == 200 && answer.order.as_deref() == Some(order)
}

/// Guards against a retry that runs again or gets another answer than the first attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retry_joins_the_run_or_gets_its_answer() {
    let cluster = Cluster::start().await;
    for service in &cluster.fleet.services {
        service.set_faults(ServiceFaults { late_ms: 300, ..ServiceFaults::default() });
    }
    for (home, retry) in [(0, 0), (0, 1), (1, 2), (2, 0)] {
        let name = format!("order-{home}-{retry}");
        let (home, retry) = (&cluster.nodes[home], &cluster.nodes[retry]);
        let id = id_at(home, &name).await;
        let late = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            order(retry, &id, &name).await
        };
        let (first, joined) = tokio::join!(order(home, &id, &name), late);
        let again = order(retry, &id, &name).await;
        for (attempt, answer) in [("first", first), ("joined", joined), ("again", again)] {
            assert!(answered(&answer, &name), "{name}, {attempt}: {answer:?}");
        }
        assert_eq!(cluster.fleet.ledger.runs(&name), 1, "{name}");
    }
}

/// Guards against a retry that runs again, or is reported as not run, after its home failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_retry_after_the_home_failed_never_runs_again() {
    let mut cluster = Cluster::start().await;
    let home = &cluster.nodes[1];
    let done = id_at(home, "done").await;
    assert!(answered(&order(home, &done, "done").await, "done"));
    let unused = id_at(home, "unused").await;
    // The outcome travels to the witness right after the answer.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut settings = cluster.fleet.node_settings(&cluster.plan, 1).expect("valid settings");
    let addresses = home.addresses();
    home.kill();
    for retry in [&cluster.nodes[0], &cluster.nodes[2]] {
        let answer = order(retry, &done, "done").await;
        let node = &retry.context().me.id;
        assert!(answered(&answer, "done"), "at {node}, id {done}: {answer:?}");
        let answer = order(retry, &unused, "unused").await;
        assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    }
    // Another incarnation on the same addresses follows the ids of the old one.
    short_timeouts(&mut settings);
    settings.caller_address = addresses.caller;
    settings.operator_address = addresses.operator;
    settings.peer_address = addresses.peer;
    settings.seeds = vec![cluster.nodes[0].addresses().peer.to_string()];
    let replaced = loop {
        match Node::start(settings.clone()).await {
            Ok(node) => break node,
            // The listeners of the old incarnation close in tasks of their own.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    cluster.nodes.push(replaced);
    let upstreams = cluster.plan.workers + cluster.plan.instances;
    let replaced = &cluster.nodes[3];
    let limit = Duration::from_secs(10);
    fireflyhead::ops::demo::nodes::wait_until_ready(replaced, upstreams, limit)
        .await
        .expect("a ready node");
    for retry in [0, 2, 3].map(|index| &cluster.nodes[index]) {
        let answer = order(retry, &done, "done").await;
        let unknown = answer.outcome.as_deref() == Some("outcome_unknown");
        assert!(answered(&answer, "done") || unknown, "{answer:?}");
        let answer = order(retry, &unused, "unused").await;
        assert_eq!(answer.outcome.as_deref(), Some("not_run"), "{answer:?}");
    }
    let ledger = &cluster.fleet.ledger;
    assert_eq!((ledger.runs("done"), ledger.runs("unused")), (1, 0));
}

/// Guards against a lost response of the service that leads to a second run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_response_is_an_unknown_outcome_and_stays_one() {
    let cluster = Cluster::start().await;
    let cases = [
        ("cut", ServiceFaults { cut_after_effect: 1.0, ..ServiceFaults::default() }),
        ("silent", ServiceFaults { silent: 1.0, ..ServiceFaults::default() }),
    ];
    for (name, faults) in cases {
        for service in &cluster.fleet.services {
            service.set_faults(faults.clone());
        }
        let id = id_at(&cluster.nodes[0], name).await;
        let first = order(&cluster.nodes[0], &id, name).await;
        assert_eq!(first.outcome.as_deref(), Some("outcome_unknown"), "{name}: {first:?}");
        for service in &cluster.fleet.services {
            service.set_faults(ServiceFaults::default());
        }
        for node in &cluster.nodes {
            let again = order(node, &id, name).await;
            assert_eq!(again.outcome.as_deref(), Some("outcome_unknown"), "{name}: {again:?}");
        }
        assert_eq!(cluster.fleet.ledger.runs(name), 1, "{name}");
    }
}
