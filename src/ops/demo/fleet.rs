//! Stand-ins of one deployment.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use fireflyhead_core::placement::Candidate;
use fireflyhead_core::placement::rendezvous;
use fireflyhead_core::table::Table;
use fireflyhead_node::context::NodeContext;
use fireflyhead_node::kv::HttpStore;
use fireflyhead_node::kv::HttpStoreConfig;
use fireflyhead_node::tables;
use fireflyhead_node::tables::Edit;
use fireflyhead_node::tables::NoPeers;
use fireflyhead_schema::NodeSettings;
use fireflyhead_standin::engine;
use fireflyhead_standin::engine::Engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::hosts;
use fireflyhead_standin::hosts::Host;
use fireflyhead_standin::hosts::HostKind;
use fireflyhead_standin::hosts::HostList;
use fireflyhead_standin::hosts::HostState;
use fireflyhead_standin::kv;
use fireflyhead_standin::kv::Kv;
use fireflyhead_standin::kv::KvConfig;
use fireflyhead_standin::service;
use fireflyhead_standin::service::Ledger;
use fireflyhead_standin::service::Service;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::weights;
use fireflyhead_standin::weights::Weights;
use fireflyhead_standin::weights::WeightsConfig;

use crate::ops::demo::deployment::Plan;

/// Running stand-ins.
pub struct Fleet {
    /// Key-value service.
    pub kv: Kv,
    /// Host list.
    pub hosts: HostList,
    /// Weight store.
    pub weights: Weights,
    /// Model workers.
    pub engines: Vec<Engine>,
    /// Instances of the plain service.
    pub services: Vec<Service>,
    /// Executions of orders over all instances.
    pub ledger: Ledger,
}

/// What differs from the default fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Time of one token with a batch of one.
    pub token_time: Duration,
    /// Tokens in each chunk.
    pub chunk_tokens: u32,
    /// Time of one call of the plain service.
    pub call_time: Duration,
    /// Whether engines check fencing numbers.
    pub fencing: bool,
    /// Burst of the weight store.
    pub load_burst: f64,
    /// Slots of each engine that hold popular adapters at the start.
    pub warm_slots: usize,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            token_time: Duration::from_millis(15),
            chunk_tokens: 1,
            call_time: Duration::from_millis(8),
            fencing: true,
            load_burst: 4.0,
            warm_slots: 6,
        }
    }
}

impl Fleet {
    /// Starts the stand-ins of `plan`.
    ///
    /// # Errors
    /// A port can't be bound.
    pub async fn start(plan: &Plan, options: &FleetOptions) -> Result<Fleet> {
        let weights = weights::start(WeightsConfig {
            loads_per_second: plan.loads_per_second,
            burst: options.load_burst,
            ..WeightsConfig::default()
        })
        .await?;
        let mut engines = Vec::new();
        for (name, preloaded) in warm_workers(plan, options.warm_slots) {
            let index = engines.len() as u64;
            let cfg = EngineConfig {
                name,
                preloaded,
                slots: plan.slots,
                token_time: options.token_time,
                chunk_tokens: options.chunk_tokens,
                weights: Some(weights.address()),
                fencing: options.fencing,
                seed: index,
                ..EngineConfig::default()
            };
            engines.push(engine::start(cfg).await?);
        }
        let ledger = Ledger::default();
        let mut services = Vec::new();
        for index in 0..plan.instances {
            let cfg = ServiceConfig {
                name: format!("{}-{}", plan.plain_service, index + 1),
                call_time: options.call_time,
                ledger: ledger.clone(),
                seed: index as u64,
                ..ServiceConfig::default()
            };
            services.push(service::start(cfg).await?);
        }
        let kv = kv::start(KvConfig::default()).await?;
        let hosts = hosts::start(0, host_entries(plan, options, &engines, &services)).await?;
        Ok(Fleet { kv, hosts, weights, engines, services, ledger })
    }

    /// Writes the table into the key-value service, through the code that nodes use.
    ///
    /// # Errors
    /// An invalid table, or no answer of the service.
    pub async fn write_table(&self, csv: &str) -> Result<u64> {
        let table = Table::from_csv(1, csv).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            anyhow!("the table is invalid: {}", lines.join("; "))
        })?;
        let settings = NodeSettings::read(|_| None).map_err(|e| anyhow!("settings: {e:?}"))?;
        let cfg = HttpStoreConfig { url: self.kv.url(), ..HttpStoreConfig::default() };
        let store = Arc::new(HttpStore::new(cfg).context("cannot set up the HTTP client")?);
        let actor = tables::spawn(NodeContext::new(settings, 0), store, Arc::new(NoPeers));
        let edit = Edit {
            id: "first-table".to_owned(),
            summary: "First table".to_owned(),
            changes: Table::default().diff(&table),
        };
        let version = actor.ask(edit).await.map_err(|e| anyhow!("the table was refused: {e}"))?;
        actor.kill();
        Ok(version)
    }

    /// Settings of the node `index` of this deployment, on free ports.
    ///
    /// # Errors
    /// Settings that are out of range.
    pub fn node_settings(&self, plan: &Plan, index: usize) -> Result<NodeSettings> {
        let lookup = |name: &str| match name {
            "node-id" => Some(format!("{}-node-{}", plan.name, index + 1)),
            "zone" => Some(plan.zones[index % plan.zones.len()].to_owned()),
            "caller-address" | "operator-address" | "peer-address" => {
                Some("127.0.0.1:0".to_owned())
            }
            "store-url" => Some(self.kv.url()),
            "host-list-url" => Some(self.hosts.url()),
            "host-list-interval" => Some("250ms".to_owned()),
            "resolve-ttl" => Some("2s".to_owned()),
            "probe-interval" => Some("250ms".to_owned()),
            "loads-per-second" => Some(plan.loads_per_second.to_string()),
            "operator-token" => Some("demo-operator".to_owned()),
            "peer-key" => Some("demo-peers".to_owned()),
            _ => None,
        };
        NodeSettings::read(lookup).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            anyhow!("invalid settings: {}", lines.join("; "))
        })
    }

    /// Whether `model` (`adapter@version`) is loaded anywhere.
    pub fn has_loaded(&self, model: &str) -> bool {
        self.engines.iter().any(|engine| engine.has_loaded(model))
    }

    /// Mean number of sequences in a decoding step, over all engines.
    #[expect(clippy::cast_precision_loss, reason = "the counts of a short run")]
    pub fn mean_batch(&self) -> f64 {
        let counters: Vec<_> = self.engines.iter().map(Engine::counters).collect();
        let steps: u64 = counters.iter().map(|c| c.steps).sum();
        let sequences: u64 = counters.iter().map(|c| c.batch_sum).sum();
        if steps == 0 { 0.0 } else { sequences as f64 / steps as f64 }
    }

    /// Adapters that were unloaded while a request for them ran.
    pub fn unloaded_while_serving(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counters().unloaded_while_serving).sum()
    }
}

/// Workers with the most popular adapters that are placed on them, as after some hours of service.
fn warm_workers(plan: &Plan, warm_slots: usize) -> Vec<(String, Vec<String>)> {
    let mut workers: Vec<(String, Vec<String>)> = (1..=plan.workers)
        .map(|number| (format!("{}-{number}", plan.model_service), Vec::new()))
        .collect();
    let candidates: Vec<Candidate> =
        workers.iter().map(|(name, _)| Candidate::new(name.as_str())).collect();
    for model in (0..plan.adapters).map(|index| plan.model(index)) {
        let first = rendezvous(model.as_bytes(), &candidates).first().copied();
        match first.map(|index| &mut workers[index].1) {
            Some(loaded) if loaded.len() < warm_slots => loaded.push(model),
            _ => {}
        }
    }
    workers
}

fn host_entries(
    plan: &Plan,
    options: &FleetOptions,
    engines: &[Engine],
    services: &[Service],
) -> Vec<Host> {
    let zone = |index: usize| plan.zones[index % plan.zones.len()].to_owned();
    let engines = engines.iter().enumerate().map(|(index, engine)| Host {
        name: engine.name().to_owned(),
        address: engine.address().to_string(),
        zone: zone(index),
        service: plan.model_service.to_owned(),
        kind: HostKind::Engine,
        state: HostState::Live,
        slots: plan.slots,
        fencing: options.fencing,
        boot_id: engine.boot_id(),
    });
    let services = services.iter().enumerate().map(|(index, service)| Host {
        name: service.name().to_owned(),
        address: service.address().to_string(),
        zone: zone(index),
        service: plan.plain_service.to_owned(),
        kind: HostKind::Service,
        state: HostState::Live,
        slots: 0,
        fencing: false,
        boot_id: service.boot_id().to_owned(),
    });
    engines.chain(services).collect()
}
