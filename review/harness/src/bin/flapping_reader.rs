//! The link between one node and the store is cut for moments while a worker of the order desk leaves
//! without a report: another node of the zone goes on sending it orders.

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
use fireflyhead_review::proxy::Link;
use fireflyhead_review::record;
use fireflyhead_review::record::Record;
use fireflyhead_review::workers;
use fireflyhead_review::workers::Worker;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bound of the rule for requests to a worker that has left.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time without disruption after which a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the removal of its entry to the end of the worker.
const SERVES_ON: Duration = Duration::from_millis(6_500);
/// Time between the first possible cut and the removal.
const LEAD: Duration = Duration::from_millis(4_300);
/// Number of model engines, and the time between the first heartbeats of two of them.
const ENGINES: usize = 6;
const HEARTBEAT_OFFSET: Duration = Duration::from_millis(150);
/// Interval between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);
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
    let link = Link::start("link of edge-waco-a-1 to the store", store.address(), record).await?;
    store.put("op/config", &workers::config(10).to_string());
    let leaving = Worker::start(&store, workers::desk_worker("i-desk-1", WORK)).await?;
    let mut others = Vec::new();
    for id in ["i-desk-2", "i-desk-3"] {
        others.push(Worker::start(&store, workers::desk_worker(id, WORK)).await?);
    }
    for n in 1..=ENGINES {
        let cfg = workers::engine(&format!("i-engine-{n}"), EngineConfig::default());
        others.push(Worker::start(&store, cfg).await?);
        sleep(HEARTBEAT_OFFSET).await;
    }
    let mut nodes = Vec::new();
    for (name, address) in [
        ("edge-waco-a-1", link.address()),
        ("edge-waco-a-2", store.address()),
        ("edge-waco-a-3", store.address()),
    ] {
        let mut node = Node::new(name, dir.path(), address)?;
        node.start()?;
        nodes.push(node);
    }
    for node in &nodes {
        node.wait_until_ready().await?;
    }
    sleep(CONTACT).await;

    // Only the link of the first node is disturbed, not the store and the other nodes.
    link.set_unsteady(record::has_trouble());
    let client = callers::client()?;
    let mut calls = JoinSet::new();
    let begin = Instant::now();
    let mut removed: Option<Instant> = None;
    let mut leaving = Some(leaving);
    let mut arrivals = Vec::new();
    let mut n = 0;
    loop {
        n += 1;
        let id = format!("order-{n}");
        let node = &nodes[2];
        let request = callers::order(&client, node.front, &id);
        let (lines, name) = (record.clone(), node.name.clone());
        calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
        sleep(ORDER_INTERVAL).await;
        if removed.is_none() && begin.elapsed() >= LEAD {
            let at = leaving.as_ref().map_or_else(Instant::now, Worker::remove_entry);
            record.add_at(at, "store accepted the removal of the entry of i-desk-1");
            removed = Some(at);
        }
        if removed.is_some_and(|at| at.elapsed() >= SERVES_ON)
            && let Some(worker) = leaving.take()
        {
            arrivals = worker.upstream.recorded().arrivals;
            record.add("i-desk-1 ends");
            worker.exit();
        }
        if removed.is_some_and(|at| at.elapsed() >= SERVES_ON + DRAIN) {
            break;
        }
    }
    let calls = calls.join_all().await;
    for node in &mut nodes {
        node.kill();
    }
    let removed = removed.unwrap_or(begin);
    judge(record, &calls, &arrivals, removed)
}

/// Returns the requests that reached the worker although they were sent later than the bound allows.
fn judge(
    record: &Record,
    calls: &[Call],
    arrivals: &[(Instant, String)],
    removed: Instant,
) -> Result<Vec<String>> {
    for (at, id) in arrivals {
        record.add_at(*at, format!("request {id} reached i-desk-1"));
    }
    ensure!(arrivals.iter().any(|(at, _)| *at < removed), "the worker got no order before it left");
    let mut violations = Vec::new();
    for call in calls {
        let late = call.sent.saturating_duration_since(removed);
        if late > DRAIN && arrivals.iter().any(|(_, id)| *id == call.id) {
            let status = call.answer.as_ref().map(|(status, _)| *status);
            violations.push(format!(
                "DRAIN: {} was sent {} ms after the removal and reached i-desk-1; answer: {status:?}",
                call.id,
                late.as_millis()
            ));
        }
    }
    Ok(violations)
}
