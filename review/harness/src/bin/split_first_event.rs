//! A prompt part crashes each worker that has begun to write an answer on it, and the workers write
//! the lines of their first event one by one: the part is never found.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_review::callers;
use fireflyhead_review::callers::Call;
use fireflyhead_review::node::Node;
use fireflyhead_review::node::RunDir;
use fireflyhead_review::raw_engine::RawEngine;
use fireflyhead_review::record;
use fireflyhead_review::record::Record;
use fireflyhead_review::workers;
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
/// Time for which requests are sent.
const REQUEST_TIME: Duration = Duration::from_secs(20);
/// Interval between two requests; each twelfth has the part.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const DEADLY_EVERY: usize = 12;

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
    let deadly_part = record::has_trouble().then_some(DEADLY_PART);
    let mut engines = Vec::new();
    for n in 1..=ENGINES {
        engines.push(RawEngine::start(&format!("i-engine-{n}"), deadly_part, &store).await?);
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
    let mut calls = JoinSet::new();
    let begin = Instant::now();
    let mut n = 0;
    while begin.elapsed() < REQUEST_TIME {
        let deadly = n % DEADLY_EVERY == 5;
        let (kind, middle) = match deadly {
            true => ("deadly", DEADLY_PART.to_owned()),
            false => ("sound", format!("ca{:x}", n % 7)),
        };
        let node = &nodes[(n / DEADLY_EVERY + n) % nodes.len()];
        let id = format!("{kind}-{n}");
        let parts = format!("{FIRST_PART}:210,{middle}:140,ab{n:x}:350");
        let request =
            callers::verse(&client, node.front, &id, &parts).header("fireflyhead-model", "base");
        let (lines, name) = (record.clone(), node.name.clone());
        calls.spawn(async move { callers::send(&lines, &name, &id, request).await });
        n += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    let calls = calls.join_all().await;
    for node in &mut nodes {
        node.kill();
    }
    judge(record, &engines, &calls)
}

/// Counts the requests with the part that reached workers later than the bound.
fn judge(record: &Record, engines: &[RawEngine], calls: &[Call]) -> Result<Vec<String>> {
    let mut crashes = Vec::new();
    let mut arrivals = Vec::new();
    for engine in engines {
        let seen = engine.seen();
        for (at, id) in seen.crashes {
            record.add_at(at, format!("{} crashed on {id}", engine.id));
            crashes.push(at);
        }
        for (at, id) in seen.arrivals.into_iter().filter(|(_, id)| id.starts_with("deadly")) {
            record.add_at(at, format!("request {id} reached {}", engine.id));
            arrivals.push(id);
        }
    }
    crashes.sort();
    ensure!(!arrivals.is_empty(), "no request with the part reached a worker");
    let Some(fifth) = crashes.get(FIFTH).copied() else { return Ok(Vec::new()) };
    record.add_at(fifth, "fifth crash");
    let is_late =
        |id: &&String| calls.iter().any(|call| call.id == **id && call.sent > fifth + CONTACT);
    let late = arrivals.iter().filter(is_late).count();
    let cut = calls.iter().filter(|call| call.id.starts_with("sound") && call.answer.is_none());
    let mut violations = Vec::new();
    if late > MAX_LATE {
        violations.push(format!(
            "BUDGET: {late} requests with the part reached workers later than {} ms after the fifth \
             crash; {} crashes in all; {} sound streams were cut off",
            CONTACT.as_millis(),
            crashes.len(),
            cut.count()
        ));
    }
    Ok(violations)
}
