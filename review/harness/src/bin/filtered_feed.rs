//! A node is restarted as planned while a worker of the order desk leaves as planned: the node never
//! learns that the worker drains, and sends it orders until the worker ends.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::EngineConfig;
use fireflyhead_review::callers;
use fireflyhead_review::callers::Call;
use fireflyhead_review::node::Node;
use fireflyhead_review::node::RunDir;
use fireflyhead_review::record;
use fireflyhead_review::record::Record;
use fireflyhead_review::workers;
use fireflyhead_review::workers::Worker;
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bound of the rule for requests to a worker that drains.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time without disruption after which a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the report that it drains to the end of a worker.
const SERVES_ON: Duration = Duration::from_millis(3_600);
/// Time from the readiness of the restarted node to the report that the worker drains.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Time from the start of a node to its first orders. By then, it is in touch.
const FIRST_ORDERS: Duration = Duration::from_millis(3_650);
/// Number of rounds, in each of which one worker leaves and is replaced.
const ROUNDS: usize = 6;
/// Number of workers of the order desk.
const DESK: usize = 3;
/// Number of model engines, and the time between the first heartbeats of two workers.
const ENGINES: usize = 6;
const HEARTBEAT_OFFSET: Duration = Duration::from_millis(130);
/// Interval between two orders to the nodes that are not restarted.
const ORDER_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a worker takes for an order.
const WORK: Duration = Duration::from_millis(250);

#[tokio::main]
async fn main() -> ExitCode {
    let record = Record::default();
    let result = run(&record).await;
    record::finish(&record, result)
}

async fn run(record: &Record) -> Result<Vec<String>> {
    let dir = RunDir::create()?;
    let store = Store::start(0).await?;
    store.put("op/config", &workers::config(10).to_string());
    let mut desk = Vec::new();
    for n in 1..=DESK {
        desk.push(start_desk_worker(&store, n).await?);
    }
    let mut engines = Vec::new();
    for n in 1..=ENGINES {
        let cfg = workers::engine(&format!("i-engine-{n}"), EngineConfig::default());
        engines.push(Worker::start(&store, cfg).await?);
        sleep(HEARTBEAT_OFFSET).await;
    }
    let mut nodes = Vec::new();
    for name in ["edge-waco-a-1", "edge-waco-a-2", "edge-waco-a-3"] {
        let mut node = Node::new(name, dir.path(), store.address())?;
        node.start()?;
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready().await?;
    }
    sleep(CONTACT).await;
    let client = callers::client()?;
    // Orders to the other two nodes, all the time.
    let background = {
        let (record, client) = (record.clone(), client.clone());
        let targets: Vec<_> = nodes[..2].iter().map(|n| (n.name.clone(), n.front)).collect();
        tokio::spawn(async move {
            let mut calls = JoinSet::new();
            for n in 0.. {
                let (name, front) = targets[n % targets.len()].clone();
                let id = format!("other-{n}");
                let request = callers::order(&client, front, &id);
                let lines = record.clone();
                calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
                while calls.try_join_next().is_some() {}
                sleep(ORDER_INTERVAL).await;
            }
        })
    };
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        let leaving = desk.remove(0);
        desk.push(start_desk_worker(&store, DESK + 1 + round).await?);
        violations.extend(leave(record, &client, &mut nodes[2], leaving, round).await?);
    }
    background.abort();
    for node in &mut nodes {
        node.kill();
    }
    Ok(violations)
}

async fn start_desk_worker(store: &Store, n: usize) -> Result<Worker> {
    Worker::start(store, workers::desk_worker(&format!("i-desk-{n}"), WORK)).await
}

/// Restarts `node`, unless the run is one without trouble, lets `leaving` drain and end, and sends
/// orders to the node. Returns those that reached the worker later than the bound allows.
async fn leave(
    record: &Record,
    client: &Client,
    node: &mut Node,
    leaving: Worker,
    round: usize,
) -> Result<Vec<String>> {
    if record::has_trouble() {
        record.add(format!("SIGTERM to {}", node.name));
        node.terminate().await?;
        record.add(format!("{} has ended", node.name));
        node.start()?;
    }
    let started = Instant::now();
    node.wait_until_ready().await?;
    record.add(format!("{} is ready", node.name));
    sleep(REPORT_DELAY).await;
    let drained = leaving.drain();
    record.add_at(drained, format!("store accepted the report that {} drains", leaving.id));
    sleep(FIRST_ORDERS.saturating_sub(started.elapsed())).await;
    let mut calls = JoinSet::new();
    let mut n = 0;
    while drained.elapsed() < SERVES_ON {
        n += 1;
        let id = format!("order-{round}-{n}");
        let request = callers::order(client, node.front, &id);
        let (lines, name) = (record.clone(), node.name.clone());
        calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
        // The first orders of several clients come together.
        if n % 8 == 0 {
            sleep(ORDER_INTERVAL * 5).await;
        }
    }
    let arrivals = leaving.upstream.recorded().arrivals;
    record.add(format!("{} ends", leaving.id));
    let id = leaving.id.clone();
    leaving.exit();
    let calls = calls.join_all().await;
    sleep(Duration::from_millis(500)).await;
    judge(record, &calls, &arrivals, drained, &id)
}

fn judge(
    record: &Record,
    calls: &[Call],
    arrivals: &[(Instant, String)],
    drained: Instant,
    worker: &str,
) -> Result<Vec<String>> {
    ensure!(arrivals.iter().any(|(at, _)| *at < drained), "{worker} got no order before it left");
    let mut violations = Vec::new();
    for call in calls {
        let Some((at, _)) = arrivals.iter().find(|(_, id)| *id == call.id) else { continue };
        record.add_at(*at, format!("request {} reached {worker}", call.id));
        let late = call.sent.saturating_duration_since(drained);
        if late > DRAIN {
            let status = call.answer.as_ref().map(|(status, _)| *status);
            violations.push(format!(
                "DRAIN: {} was sent {} ms after the report and reached {worker}; answer: {status:?}",
                call.id,
                late.as_millis()
            ));
        }
    }
    Ok(violations)
}
