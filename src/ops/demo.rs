//! Demo: a deployment of stand-ins and three nodes in one process, under a bounded load.
//!
//! Every answer is checked against what its request must give, and every order against the
//! upstreams' own count of runs.

pub mod deployments;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use fireflyhead_gateway::node::Node;
use fireflyhead_gateway::settings::GatewaySettings;
use fireflyhead_platform::Platform;
use fireflyhead_platform::operator;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::EngineConfig;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;
use fireflyhead_policy::Name;
use fireflyhead_policy::config::EngineSpec;
use fireflyhead_policy::config::ModelSpec;
use fireflyhead_policy::config::Service;
use fireflyhead_policy::table::Table;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::Zipf;
use reqwest::Client;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::ops::demo::deployments::Deployment;
use crate::ops::demo::deployments::Kind;
use crate::ops::demo::deployments::Work;

/// Nodes of the demo.
const NODES: usize = 3;
/// Duration of the load.
const LOAD: Duration = Duration::from_secs(8);
/// Time for the nodes to know the deployment.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Base model of the engines.
const MODEL: &str = "base";
/// Events of a stream.
const EVENTS: usize = 12;

/// Figures of one class of work.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ClassReport {
    /// Class.
    pub class: &'static str,
    /// Requests sent.
    pub sent: usize,
    /// Requests answered with what they asked for.
    pub answered: usize,
    /// Requests that were rejected without having run.
    pub not_run: usize,
    /// Requests whose outcome is unknown.
    pub unknown: usize,
    /// Median time to the whole answer, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile of the same.
    pub p95_ms: u64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: &'static str,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Figures by class.
    pub classes: Vec<ClassReport>,
    /// Orders that ran more than once.
    pub duplicates: usize,
    /// Rejected requests that ran all the same.
    pub untrue: usize,
    /// Answers of another request, or incomplete ones.
    pub wrong: usize,
    /// Engines that were ordered to hold more than they can.
    pub overfull: usize,
}

impl Report {
    /// Whether everything held that must always hold, and every class was served.
    pub fn good(&self) -> bool {
        let broken = self.duplicates + self.untrue + self.wrong + self.overfull;
        broken == 0 && self.classes.iter().all(|class| class.answered * 10 >= class.sent * 9)
    }
}

/// Stand-ins and nodes.
struct Fleet {
    engines: Vec<Upstream>,
    desks: Vec<Upstream>,
    nodes: Vec<Node>,
    _store: Store,
}

/// End of one request.
struct Ended {
    class: &'static str,
    id: String,
    work: Work,
    status: Option<u16>,
    right: bool,
    time: Duration,
}

/// Plays the demo.
///
/// # Errors
/// The deployment does not start.
pub async fn run(deployment: &Deployment, seed: u64) -> Result<Report> {
    let started = Instant::now();
    let fleet = Fleet::start(deployment).await?;
    let ended = load(deployment, &fleet, seed).await?;
    let mut report = report(deployment, &fleet, &ended);
    report.seconds = started.elapsed().as_secs_f64();
    for node in fleet.nodes {
        node.stop().await;
    }
    Ok(report)
}

impl Fleet {
    async fn start(deployment: &Deployment) -> Result<Fleet> {
        let store = Store::start(0).await.context("cannot start the store")?;
        let table = Table::from_csv(1, &deployment.table_csv())
            .map_err(|errors| anyhow!("the table of the deployment is invalid: {errors:?}"))?;
        let (key, value, _) = operator::config_item(&table.config(services(deployment)));
        store.put(key.as_str(), &String::from_utf8_lossy(&value));
        let mut engines = Vec::new();
        for n in 0..deployment.engines {
            let engine = EngineConfig {
                model: MODEL.to_owned(),
                adapter_slots: usize::try_from(deployment.adapter_slots)?,
                events_per_stream: EVENTS as u64,
                ..EngineConfig::default()
            };
            engines.push(upstream(n, deployment.engines_service, 64, Some(engine)).await?);
        }
        let mut desks = Vec::new();
        for n in 0..deployment.desks {
            desks.push(upstream(n, deployment.desk_service, 6, None).await?);
        }
        for upstream in engines.iter().chain(&desks) {
            store.put(&upstream.store_key(), &upstream.store_entry("ready"));
        }
        let mut nodes = Vec::new();
        for n in 0..NODES {
            nodes.push(node(n, store.address()).await?);
        }
        let fleet = Fleet { engines, desks, nodes, _store: store };
        fleet.until_served(deployment).await?;
        Ok(fleet)
    }

    /// Waits until every node gets a draft from the engines.
    async fn until_served(&self, deployment: &Deployment) -> Result<()> {
        let client = client()?;
        let start = Instant::now();
        let draft = deployment.kinds.iter().find(|kind| kind.work == Work::Draft);
        let draft = *draft.context("the deployment has no drafts")?;
        for at in 0..self.nodes.len() {
            loop {
                let address = self.nodes[at].settings().caller;
                let id = format!("start-{at}-{}", start.elapsed().as_millis());
                let ended = send(&client, address, draft, deployment, id, "a0").await;
                if ended.status == Some(200) {
                    break;
                }
                anyhow::ensure!(start.elapsed() < START_LIMIT, "the nodes don't serve");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn runs(&self, id: &str) -> u32 {
        let upstreams = self.engines.iter().chain(&self.desks);
        upstreams.map(|u| u.recorded().runs.get(id).copied().unwrap_or(0)).sum()
    }
}

fn services(deployment: &Deployment) -> Vec<Service> {
    let service = |name: &str, engine| Service {
        name: Name::from(name),
        health_path: Name::from("/healthz"),
        max_connections: 300,
        engine,
    };
    let model = ModelSpec {
        name: Name::from(MODEL),
        weights_mb: 100.0,
        adapter_mb: 1.0,
        load_time: Duration::from_secs(1),
    };
    let engine = EngineSpec {
        models: vec![model],
        adapter_slots: deployment.adapter_slots,
        kv_capacity: 100_000,
        model_loads_per_s: 4.0,
    };
    vec![service(deployment.engines_service, Some(engine)), service(deployment.desk_service, None)]
}

async fn upstream(
    n: usize,
    service: &str,
    slots: u32,
    engine: Option<EngineConfig>,
) -> Result<Upstream> {
    let cfg = UpstreamConfig {
        id: format!("{service}-{n}"),
        service: service.to_owned(),
        zone: format!("zone-{}", n % NODES),
        slots,
        engine,
        ..UpstreamConfig::default()
    };
    Upstream::start(cfg).await.context("cannot start an upstream")
}

async fn node(n: usize, store: SocketAddr) -> Result<Node> {
    let settings = GatewaySettings {
        node: Name::from(format!("node-{n}")),
        zone: Name::from(format!("zone-{n}")),
        store,
        grace: Duration::from_secs(3),
        ..GatewaySettings::default()
    };
    Node::start(settings, Arc::new(Platform)).await
}

fn client() -> Result<Client> {
    Client::builder().no_proxy().build().context("cannot set up a client")
}

/// Offers the load of the deployment and returns how every request ended.
async fn load(deployment: &Deployment, fleet: &Fleet, seed: u64) -> Result<Vec<Ended>> {
    let client = client()?;
    let mut tasks: JoinSet<Ended> = JoinSet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let popularity = Zipf::new(deployment.adapters as f64, deployment.zipf)?;
    let mut arrivals: Vec<(Duration, Kind)> = Vec::new();
    for kind in &deployment.kinds {
        let gaps = Exp::new(kind.per_second)?;
        let mut at = Duration::ZERO;
        while at < LOAD {
            at += Duration::from_secs_f64(gaps.sample(&mut rng));
            arrivals.push((at, *kind));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let start = Instant::now();
    for (n, (at, kind)) in arrivals.into_iter().enumerate() {
        tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
        let adapter = format!("a{}", popularity.sample(&mut rng) as usize - 1);
        let address = fleet.nodes[rng.random_range(0..NODES)].settings().caller;
        let (client, deployment) = (client.clone(), deployment.clone());
        tasks.spawn(async move {
            send(&client, address, kind, &deployment, format!("r{n}"), &adapter).await
        });
    }
    let mut ended = Vec::new();
    while let Some(end) = tasks.join_next().await {
        ended.push(end?);
    }
    Ok(ended)
}

async fn send(
    client: &Client,
    address: SocketAddr,
    kind: Kind,
    deployment: &Deployment,
    id: String,
    adapter: &str,
) -> Ended {
    let start = Instant::now();
    let (method, host) = match kind.work {
        Work::Order => (reqwest::Method::POST, deployment.desk_service),
        Work::Status => (reqwest::Method::GET, deployment.desk_service),
        Work::Draft => (reqwest::Method::POST, deployment.engines_service),
    };
    let mut request =
        client.request(method, format!("http://{address}{}", kind.path)).header("host", host);
    for (name, value) in operator::caller_headers(&id, MODEL, adapter) {
        request = request.header(name, value);
    }
    let (status, right) = match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            let right = match response.text().await {
                Ok(text) if kind.work == Work::Draft => text.matches("data: ").count() == EVENTS,
                Ok(text) => text == format!("done {id}"),
                Err(_) => false,
            };
            (Some(status), right)
        }
        Err(_) => (None, false),
    };
    Ended { class: kind.class, id, work: kind.work, status, right, time: start.elapsed() }
}

fn report(deployment: &Deployment, fleet: &Fleet, ended: &[Ended]) -> Report {
    let mut classes: BTreeMap<&str, (ClassReport, Vec<u64>)> = BTreeMap::new();
    let mut report = Report { deployment: deployment.name, ..Report::default() };
    for end in ended {
        let (class, times) = classes.entry(end.class).or_default();
        class.class = end.class;
        class.sent += 1;
        match end.status {
            Some(200) if end.right => {
                class.answered += 1;
                times.push(u64::try_from(end.time.as_millis()).unwrap_or(u64::MAX));
            }
            Some(200) => report.wrong += 1,
            Some(429 | 503) => class.not_run += 1,
            Some(_) | None => class.unknown += 1,
        }
        let runs = fleet.runs(&end.id);
        report.duplicates += usize::from(end.work == Work::Order && runs > 1);
        report.untrue += usize::from(matches!(end.status, Some(429 | 503)) && runs > 0);
    }
    report.overfull =
        fleet.engines.iter().filter(|engine| engine.recorded().adapter_slots_exceeded).count();
    report.classes = classes
        .into_values()
        .map(|(class, times)| {
            let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
            times.iter().for_each(|time| histogram.saturating_record(*time));
            let (p50_ms, p95_ms) =
                (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.95));
            ClassReport { p50_ms, p95_ms, ..class }
        })
        .collect();
    report
}
