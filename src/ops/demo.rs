//! Demo: runs three nodes, a store and simulated upstreams in one process under a short load.
//!
//! Every response is compared with the expected one, and the outcome that the caller saw with the
//! number of times that the upstreams ran the request.

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
use fireflyhead_platform::operator::AccountList;
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
use crate::ops::demo::deployments::RequestType;
use crate::ops::demo::deployments::Workload;

/// Number of nodes; each is in a zone of its own.
const NODE_COUNT: usize = 3;
/// Time during which requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time within which all nodes must answer a first generation request.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the engines' base model.
const BASE_MODEL: &str = "base";
/// Number of events in the stream of one generation.
const EVENTS_PER_STREAM: usize = 12;

/// Results of one class.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: &'static str,
    /// Requests sent.
    pub sent: usize,
    /// Requests with status 200 and the expected body.
    pub answered: usize,
    /// Requests rejected with status 429 or 503, which states that they did not run.
    pub not_run: usize,
    /// Requests with another status, or without a response: they may have run.
    pub unknown: usize,
    /// Median time to the complete response of answered requests, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile of the same time, in milliseconds.
    pub p95_ms: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Duration of the run in seconds, including the start of the nodes.
    pub seconds: f64,
    /// Results of each class, sorted by name.
    pub classes: Vec<ClassReport>,
    /// Non-idempotent requests that ran more than once.
    pub duplicates: usize,
    /// Requests rejected as not run that an upstream ran nevertheless.
    pub untrue: usize,
    /// Responses with status 200 that are incomplete or belong to another request.
    pub wrong: usize,
    /// Engines that were ordered to hold more adapters than they have slots for.
    pub overfull: usize,
}

impl Report {
    /// Returns whether no guarantee was violated and at least 90 % of each class was answered.
    pub fn passed(&self) -> bool {
        let violations = self.duplicates + self.untrue + self.wrong + self.overfull;
        violations == 0 && self.classes.iter().all(|class| class.answered * 10 >= class.sent * 9)
    }
}

/// Running store, upstreams and nodes of a deployment.
struct Cluster {
    engines: Vec<Upstream>,
    plain_upstreams: Vec<Upstream>,
    nodes: Vec<Node>,
    /// Kept alive for the nodes, which read the store during the whole run.
    _store: Store,
}

/// Outcome of one request, as the caller saw it.
struct RequestOutcome {
    class: &'static str,
    id: String,
    request_type: RequestType,
    /// `None` if the connection failed.
    status: Option<u16>,
    /// Whether the body is complete and belongs to the request.
    correct_body: bool,
    /// Time to the end of the body.
    latency: Duration,
}

/// Starts `deployment`, sends it the load that `seed` determines, and returns the results.
///
/// # Errors
/// Returns an error if the deployment does not start.
pub async fn run(deployment: &Deployment, seed: u64) -> Result<Report> {
    let started = Instant::now();
    let cluster = Cluster::start(deployment).await?;
    let outcomes = run_load(deployment, &cluster, seed).await?;
    let mut report = build_report(deployment, &cluster, &outcomes);
    report.seconds = started.elapsed().as_secs_f64();
    for node in cluster.nodes {
        node.stop().await;
    }
    Ok(report)
}

impl Cluster {
    /// Starts everything and waits until every node serves.
    async fn start(deployment: &Deployment) -> Result<Cluster> {
        let store = Store::start(0).await.context("cannot start the store")?;
        let table = Table::from_csv(1, &deployment.table_csv())
            .map_err(|errors| anyhow!("the table of the deployment is invalid: {errors:?}"))?;
        let config = table.config(services(deployment));
        let (key, value, _) = operator::config_item(&config, &AccountList::default());
        store.put(key.as_str(), &String::from_utf8_lossy(&value));
        let mut engines = Vec::new();
        for n in 0..deployment.engines {
            let engine = EngineConfig {
                model: BASE_MODEL.to_owned(),
                adapter_slots: usize::try_from(deployment.adapter_slots)?,
                events_per_stream: EVENTS_PER_STREAM as u64,
                ..EngineConfig::default()
            };
            engines.push(start_upstream(n, deployment.engine_service, 64, Some(engine)).await?);
        }
        let mut plain_upstreams = Vec::new();
        for n in 0..deployment.plain_upstreams {
            plain_upstreams.push(start_upstream(n, deployment.plain_service, 6, None).await?);
        }
        for upstream in engines.iter().chain(&plain_upstreams) {
            store.put(&upstream.store_key(), &upstream.store_entry("ready"));
        }
        let mut nodes = Vec::new();
        for n in 0..NODE_COUNT {
            nodes.push(start_node(n, store.address()).await?);
        }
        let cluster = Cluster { engines, plain_upstreams, nodes, _store: store };
        cluster.wait_until_served(deployment).await?;
        Ok(cluster)
    }

    /// Waits until every node answers a generation request.
    ///
    /// # Errors
    /// Returns an error if not all of them do within [`STARTUP_TIMEOUT`].
    async fn wait_until_served(&self, deployment: &Deployment) -> Result<()> {
        let client = build_client()?;
        let start = Instant::now();
        let generation = deployment
            .workloads
            .iter()
            .find(|workload| workload.request_type == RequestType::Generation);
        let generation = *generation.context("the deployment has no generation workload")?;
        for index in 0..self.nodes.len() {
            loop {
                let address = self.nodes[index].settings().caller;
                let id = format!("start-{index}-{}", start.elapsed().as_millis());
                let outcome =
                    send_request(&client, address, generation, deployment, id, "a0").await;
                if outcome.status == Some(200) {
                    break;
                }
                anyhow::ensure!(
                    start.elapsed() < STARTUP_TIMEOUT,
                    "node {index} did not answer a generation request within {STARTUP_TIMEOUT:?}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns how many times the upstreams ran the request `id`.
    fn run_count(&self, id: &str) -> u32 {
        let upstreams = self.engines.iter().chain(&self.plain_upstreams);
        upstreams.map(|u| u.recorded().run_counts.get(id).copied().unwrap_or(0)).sum()
    }
}

/// Returns the engine service and the plain service for the configuration.
fn services(deployment: &Deployment) -> Vec<Service> {
    let service = |name: &str, engine| Service {
        name: Name::from(name),
        health_path: Name::from("/healthz"),
        max_connections: 300,
        engine,
    };
    let model = ModelSpec {
        name: Name::from(BASE_MODEL),
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
    vec![service(deployment.engine_service, Some(engine)), service(deployment.plain_service, None)]
}

/// Starts the `n`-th upstream of `service`.
async fn start_upstream(
    n: usize,
    service: &str,
    slots: u32,
    engine: Option<EngineConfig>,
) -> Result<Upstream> {
    let cfg = UpstreamConfig {
        id: format!("{service}-{n}"),
        service: service.to_owned(),
        zone: format!("zone-{}", n % NODE_COUNT),
        slots,
        engine,
        ..UpstreamConfig::default()
    };
    Upstream::start(cfg).await.context("cannot start an upstream")
}

/// Starts the `n`-th node.
async fn start_node(n: usize, store: SocketAddr) -> Result<Node> {
    let settings = GatewaySettings {
        node: Name::from(format!("node-{n}")),
        zone: Name::from(format!("zone-{n}")),
        store,
        grace: Duration::from_secs(3),
        ..GatewaySettings::default()
    };
    Node::start(settings, Arc::new(Platform)).await
}

fn build_client() -> Result<Client> {
    Client::builder().no_proxy().build().context("cannot create the HTTP client")
}

/// Sends the requests of all workloads at random times and returns their outcomes.
async fn run_load(
    deployment: &Deployment,
    cluster: &Cluster,
    seed: u64,
) -> Result<Vec<RequestOutcome>> {
    let client = build_client()?;
    let mut tasks: JoinSet<RequestOutcome> = JoinSet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let popularity = Zipf::new(deployment.adapters as f64, deployment.zipf_exponent)?;
    let mut arrivals: Vec<(Duration, Workload)> = Vec::new();
    for workload in &deployment.workloads {
        let interarrival = Exp::new(workload.requests_per_s)?;
        let mut at = Duration::ZERO;
        while at < LOAD_DURATION {
            at += Duration::from_secs_f64(interarrival.sample(&mut rng));
            arrivals.push((at, *workload));
        }
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let start = Instant::now();
    for (n, (at, workload)) in arrivals.into_iter().enumerate() {
        tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
        let adapter = format!("a{}", popularity.sample(&mut rng) as usize - 1);
        let address = cluster.nodes[rng.random_range(0..NODE_COUNT)].settings().caller;
        let (client, deployment) = (client.clone(), deployment.clone());
        tasks.spawn(async move {
            send_request(&client, address, workload, &deployment, format!("r{n}"), &adapter).await
        });
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = tasks.join_next().await {
        outcomes.push(outcome?);
    }
    Ok(outcomes)
}

/// Sends one request to the node at `address` and checks the response.
async fn send_request(
    client: &Client,
    address: SocketAddr,
    workload: Workload,
    deployment: &Deployment,
    id: String,
    adapter: &str,
) -> RequestOutcome {
    let start = Instant::now();
    let (method, host) = match workload.request_type {
        RequestType::NonIdempotent => (reqwest::Method::POST, deployment.plain_service),
        RequestType::Idempotent => (reqwest::Method::GET, deployment.plain_service),
        RequestType::Generation => (reqwest::Method::POST, deployment.engine_service),
    };
    let mut request =
        client.request(method, format!("http://{address}{}", workload.path)).header("host", host);
    for (name, value) in operator::caller_headers(&id, BASE_MODEL, adapter) {
        request = request.header(name, value);
    }
    let (status, correct_body) = match request.send().await {
        Ok(response) => {
            let status = response.status().as_u16();
            let correct_body = match response.text().await {
                Ok(text) if workload.request_type == RequestType::Generation => {
                    text.matches("data: ").count() == EVENTS_PER_STREAM
                }
                Ok(text) => text == format!("done {id}"),
                Err(_) => false,
            };
            (Some(status), correct_body)
        }
        Err(_) => (None, false),
    };
    RequestOutcome {
        class: workload.class,
        id,
        request_type: workload.request_type,
        status,
        correct_body,
        latency: start.elapsed(),
    }
}

/// Computes the results from the callers' outcomes and the upstreams' records.
fn build_report(deployment: &Deployment, cluster: &Cluster, outcomes: &[RequestOutcome]) -> Report {
    let mut classes: BTreeMap<&str, (ClassReport, Vec<u64>)> = BTreeMap::new();
    let mut report = Report { deployment: deployment.name, ..Report::default() };
    for outcome in outcomes {
        let (class, latencies) = classes.entry(outcome.class).or_default();
        class.class = outcome.class;
        class.sent += 1;
        match outcome.status {
            Some(200) if outcome.correct_body => {
                class.answered += 1;
                latencies.push(u64::try_from(outcome.latency.as_millis()).unwrap_or(u64::MAX));
            }
            Some(200) => report.wrong += 1,
            Some(429 | 503) => class.not_run += 1,
            Some(_) | None => class.unknown += 1,
        }
        let runs = cluster.run_count(&outcome.id);
        report.duplicates +=
            usize::from(outcome.request_type == RequestType::NonIdempotent && runs > 1);
        report.untrue += usize::from(matches!(outcome.status, Some(429 | 503)) && runs > 0);
    }
    report.overfull =
        cluster.engines.iter().filter(|engine| engine.recorded().adapter_slots_exceeded).count();
    report.classes = classes
        .into_values()
        .map(|(class, latencies)| {
            let mut histogram =
                Histogram::<u64>::new(3).expect("three significant digits are valid");
            latencies.iter().for_each(|latency| histogram.saturating_record(*latency));
            let (p50_ms, p95_ms) =
                (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.95));
            ClassReport { p50_ms, p95_ms, ..class }
        })
        .collect();
    report
}
