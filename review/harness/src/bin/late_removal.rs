//! A worker leaves and starts again under its id after some time. Just then the reply to the removal of
//! its ownership record is lost, and the removal is executed late: two nodes send it orders in turn.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::EngineConfig;
use fireflyhead_platform_standin::upstream::UpstreamConfig;
use fireflyhead_review::callers;
use fireflyhead_review::held::HoldingLink;
use fireflyhead_review::node::Node;
use fireflyhead_review::node::RunDir;
use fireflyhead_review::record;
use fireflyhead_review::record::Record;
use fireflyhead_review::workers;
use fireflyhead_review::workers::Worker;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Shortest time between the orders of two holders.
const TURN: Duration = Duration::from_millis(3_000);
/// Time between the orders of two holders beyond which it is no longer judged, for the clocks.
const TURN_SLACK: Duration = Duration::from_millis(50);
/// Id of the worker, and the node that comes first in the order of claims for it.
const ENGINE: &str = "i-engine-1";
const HOLDER: &str = "edge-waco-a-3";
/// Time from the report that it drains to the end of the worker.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// Longest time until the node removes the ownership record of the worker that is gone.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Time from the lost reply to the execution.
const DELAY: Duration = Duration::from_millis(4_000);
/// Time for which requests are sent after the restart of the worker.
const REQUEST_TIME: Duration = Duration::from_secs(16);
/// Interval between two requests; each is for another adapter.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const ADAPTERS: usize = 200;

#[tokio::main]
async fn main() -> ExitCode {
    let record = Record::default();
    let result = run(&record).await;
    record::finish(&record, result)
}

fn engine() -> UpstreamConfig {
    let cfg = EngineConfig {
        adapter_slots: 18,
        adapter_load_time: Duration::from_millis(250),
        ..EngineConfig::default()
    };
    workers::engine(ENGINE, cfg)
}

async fn run(record: &Record) -> Result<Vec<String>> {
    let dir = RunDir::create()?;
    let store = Store::start(0).await?;
    store.put("op/config", &workers::config(10).to_string());
    let key = format!("fireflyhead/custody/{ENGINE}");
    let lost = record::has_trouble().then(|| key.clone());
    let link = HoldingLink::start(store.address(), lost, DELAY, record).await?;
    let worker = Worker::start(&store, engine()).await?;
    let mut nodes = Vec::new();
    for (name, address) in [
        ("edge-waco-a-1", store.address()),
        ("edge-waco-a-2", store.address()),
        (HOLDER, link.address()),
    ] {
        let mut node = Node::new(name, dir.path(), address)?;
        node.start()?;
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready().await?;
    }
    sleep(Duration::from_secs(6)).await;
    ensure!(store.get(&key).as_deref() == Some(HOLDER), "another node is the holder");
    record.add(format!("{HOLDER} is the holder of {ENGINE}"));
    worker.drain();
    record.add(format!("{ENGINE} drains"));
    sleep(SERVES_ON).await;
    worker.exit();
    record.add(format!("{ENGINE} has ended"));
    if record::has_trouble() {
        timeout(REMOVAL_TIMEOUT, link.wait_until_held()).await?;
    } else {
        let start = Instant::now();
        while store.get(&key).is_some() {
            ensure!(start.elapsed() < REMOVAL_TIMEOUT, "the record is not removed");
            sleep(Duration::from_millis(10)).await;
        }
        record.add("the store executes the removal of the record");
    }
    let worker = Worker::restart(&store, engine()).await?;
    record.add(format!("{ENGINE} has started again"));

    let client = callers::client()?;
    let mut calls = JoinSet::new();
    let begin = Instant::now();
    let mut n = 0;
    while begin.elapsed() < REQUEST_TIME {
        let node = &nodes[n % nodes.len()];
        let id = format!("verse-{n}");
        let request = callers::verse(&client, node.front, &id, &format!("f00d:210,ab{n:x}:490"))
            .header("fireflyhead-model", format!("base/a{}", n % ADAPTERS));
        let (lines, name) = (record.clone(), node.name.clone());
        calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
        n += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    for node in &mut nodes {
        node.kill();
    }
    calls.abort_all();
    judge(record, &worker)
}

/// Returns the orders that follow one of another holder sooner than a turn later.
fn judge(record: &Record, worker: &Worker) -> Result<Vec<String>> {
    let orders = worker.upstream.recorded().orders;
    for (at, holder, fence) in &orders {
        record.add_at(*at, format!("order of {holder} with fence {fence} reached {ENGINE}"));
    }
    ensure!(!orders.is_empty(), "the worker got no order");
    let mut violations = Vec::new();
    for pair in orders.windows(2) {
        let [(last, old, old_fence), (first, new, new_fence)] = pair else { continue };
        let gap = first.saturating_duration_since(*last);
        if old != new && gap + TURN_SLACK < TURN {
            violations.push(format!(
                "ONE: order of {new} (fence {new_fence}) {} ms after one of {old} (fence {old_fence})",
                gap.as_millis()
            ));
        }
        if new_fence < old_fence {
            violations.push(format!("ONE: fence {new_fence} of {new} after {old_fence} of {old}"));
        }
    }
    Ok(violations)
}
