//! All node processes are killed at once after a prompt part that crashes workers was found: its
//! requests reach workers again, and crash them.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::CrashFault;
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

/// Time without disruption after which a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Number of requests with the part that may reach workers later than [`CONTACT`] after the fifth
/// crash.
const MAX_LATE: usize = 3;
/// Crash from which the bound counts.
const FIFTH: usize = 4;
/// Part that crashes workers, and the first part of all prompts.
const DEADLY_PART: &str = "dead01";
const FIRST_PART: &str = "f00d";
/// Number of model engines, and the time between the first heartbeats of two of them.
const ENGINES: usize = 8;
const HEARTBEAT_OFFSET: Duration = Duration::from_millis(130);
/// Number of requests with the part that come together.
const BURST: usize = 15;
/// Number of such groups, and the time between two of them.
const BURSTS: usize = 3;
const BURST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which the killed processes are down.
const NODE_DOWNTIME: Duration = Duration::from_millis(1_000);

#[tokio::main]
async fn main() -> ExitCode {
    let record = Record::default();
    let result = run(&record).await;
    record::finish(&record, result)
}

async fn run(record: &Record) -> Result<Vec<String>> {
    let dir = RunDir::create()?;
    let store = Store::start(0).await?;
    store.allow_all_writers();
    store.put("op/config", &workers::config(10).to_string());
    let mut engines = Vec::new();
    for n in 1..=ENGINES {
        let cfg = EngineConfig {
            events_per_stream: 40,
            event_interval: Duration::from_millis(40),
            ..EngineConfig::default()
        };
        let worker = Worker::start(&store, workers::engine(&format!("i-engine-{n}"), cfg)).await?;
        worker.upstream.set_crash(Some(CrashFault {
            part: DEADLY_PART.to_owned(),
            downtime: workers::DOWNTIME,
            store: store.address(),
        }));
        engines.push(worker);
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
    let targets: Vec<_> = nodes.iter().map(|n| (n.name.clone(), n.front)).collect();
    // Sound requests, all the time.
    let sound = {
        let (record, client, targets) = (record.clone(), client.clone(), targets.clone());
        tokio::spawn(async move {
            let mut calls = JoinSet::new();
            for n in 0.. {
                let (name, front) = targets[n % targets.len()].clone();
                let id = format!("sound-{n}");
                let parts = format!("{FIRST_PART}:210,ca{:x}:140,ab{n:x}:350", n % 7);
                let request =
                    callers::verse(&client, front, &id, &parts).header("fireflyhead-model", "base");
                let lines = record.clone();
                calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
                while calls.try_join_next().is_some() {}
                sleep(SOUND_INTERVAL).await;
            }
        })
    };
    let mut calls = send_deadly(record, &client, &targets, 0).await;
    let fifth = crashes(&engines).get(FIFTH).copied();
    ensure!(fifth.is_some(), "fewer than five crashes");
    let fifth = fifth.unwrap_or_else(Instant::now);
    sleep(CONTACT.saturating_sub(fifth.elapsed())).await;
    calls.extend(send_deadly(record, &client, &targets, 1).await);
    if record::has_trouble() {
        record.add("all node processes killed");
        nodes.iter_mut().for_each(Node::kill);
        sleep(NODE_DOWNTIME).await;
        for node in &mut nodes {
            node.start()?;
        }
        record.add("all node processes started");
    }
    for node in &nodes {
        node.wait_until_ready().await?;
    }
    // The nodes are in touch again, and all workers are back.
    sleep(CONTACT + Duration::from_millis(500)).await;
    calls.extend(send_deadly(record, &client, &targets, 2).await);
    sound.abort();
    for node in &mut nodes {
        node.kill();
    }
    judge(record, &engines, &calls, fifth)
}

/// Sends groups of requests with the part to all nodes; no two are alike.
async fn send_deadly(
    record: &Record,
    client: &Client,
    targets: &[(String, std::net::SocketAddr)],
    phase: usize,
) -> Vec<Call> {
    let mut calls = JoinSet::new();
    for burst in 0..BURSTS {
        for n in 0..BURST {
            let (name, front) = targets[n % targets.len()].clone();
            let id = format!("deadly-{phase}-{burst}-{n}");
            let own = format!("{phase}{burst}{n}");
            let parts = format!("{FIRST_PART}:210,{DEADLY_PART}:140,cc{own}:100,dd{own}:250");
            let request =
                callers::verse(client, front, &id, &parts).header("fireflyhead-model", "base");
            let lines = record.clone();
            calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
        }
        sleep(BURST_INTERVAL).await;
    }
    calls.join_all().await
}

/// Returns the times of all crashes, in order.
fn crashes(engines: &[Worker]) -> Vec<Instant> {
    let recorded = engines.iter().map(|engine| engine.upstream.recorded().crashes);
    let mut times: Vec<Instant> = recorded.flatten().map(|(at, _)| at).collect();
    times.sort();
    times
}

/// Counts the requests with the part that reached workers later than the bound.
fn judge(
    record: &Record,
    engines: &[Worker],
    calls: &[Call],
    fifth: Instant,
) -> Result<Vec<String>> {
    let mut late = Vec::new();
    for engine in engines {
        let recorded = engine.upstream.recorded();
        for (at, id) in &recorded.crashes {
            record.add_at(*at, format!("{} crashed on {id}", engine.id));
        }
        for (at, id) in recorded.arrivals.iter().filter(|(_, id)| id.starts_with("deadly")) {
            record.add_at(*at, format!("request {id} reached {}", engine.id));
            let sent = calls.iter().find(|call| call.id == *id).map(|call| call.sent);
            if sent.is_some_and(|sent| sent > fifth + CONTACT) {
                late.push(id.clone());
            }
        }
    }
    record.add_at(fifth, "fifth crash");
    let mut violations = Vec::new();
    if late.len() > MAX_LATE {
        violations.push(format!(
            "BUDGET: {} requests with the part reached workers later than {} ms after the fifth \
             crash: {}",
            late.len(),
            CONTACT.as_millis(),
            late.join(", ")
        ));
    }
    Ok(violations)
}
