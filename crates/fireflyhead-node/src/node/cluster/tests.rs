//! Three whole nodes with stand-ins of the outside systems.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fireflyhead_core::table::Table;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_schema::NodeSettings;
use fireflyhead_standin::engine;
use fireflyhead_standin::engine::Engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::engine::expected_text;
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
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::context::NodeContext;
use crate::kv::HttpStore;
use crate::kv::HttpStoreConfig;
use crate::members::Seed;
use crate::node::Node;
use crate::tables;
use crate::tables::Edit;
use crate::tables::NoPeers;

const TABLE: &str = "\
kind,name,class,service,match,version,rank,weight,floor,rate,in_flight,target_ms,deadline_ms,retry_budget,idempotent
class,draft,,models,,,standard,1,0.1,,,530,20000,0.2,true
class,order,,desk,POST /orders,,urgent,1,,,,530,15000,0.2,false
class,status,,desk,GET /orders,,urgent,1,,,,530,15000,0.2,true
adapter,haiku,draft,,,1 2,,,,,,,,,
adapter,sonnet,draft,,,1,,,,,,,,,
";

struct Cluster {
    nodes: Vec<Node>,
    ledger: Ledger,
    http: reqwest::Client,
    engines: Vec<Engine>,
    _services: Vec<Service>,
    _kv: Kv,
    _hosts: HostList,
}

fn host(name: &str, address: String, service: &str, kind: HostKind, boot_id: String) -> Host {
    let slots = if kind == HostKind::Engine { 8 } else { 0 };
    Host {
        name: name.to_owned(),
        address,
        zone: "zone-0".to_owned(),
        service: service.to_owned(),
        kind,
        state: HostState::Live,
        slots,
        fencing: true,
        boot_id,
    }
}

impl Cluster {
    async fn start(count: usize) -> Cluster {
        let ledger = Ledger::default();
        let (mut engines, mut services, mut list) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..2 {
            let name = format!("worker-{i}");
            let engine =
                engine::start(EngineConfig { name: name.clone(), ..EngineConfig::default() });
            let engine = engine.await.unwrap();
            let (address, boot) = (engine.address().to_string(), engine.boot_id());
            list.push(host(&name, address, "models", HostKind::Engine, boot));
            engines.push(engine);
            let name = format!("desk-{i}");
            let cfg = ServiceConfig {
                name: name.clone(),
                ledger: ledger.clone(),
                ..ServiceConfig::default()
            };
            let service = service::start(cfg).await.unwrap();
            let (address, boot) = (service.address().to_string(), service.boot_id().to_owned());
            list.push(host(&name, address, "desk", HostKind::Service, boot));
            services.push(service);
        }
        let kv = kv::start(KvConfig::default()).await.unwrap();
        let hosts = hosts::start(0, list).await.unwrap();
        write_table(&kv).await;
        let mut nodes: Vec<Node> = Vec::new();
        for i in 0..count {
            let seeds = nodes.first().map(|node| node.addresses().peer.to_string());
            let settings = NodeSettings {
                node_id: format!("node-{i}"),
                zone: format!("zone-{i}"),
                caller_address: "127.0.0.1:0".parse().unwrap(),
                operator_address: "127.0.0.1:0".parse().unwrap(),
                peer_address: "127.0.0.1:0".parse().unwrap(),
                peer_key: "secret".to_owned().into(),
                store_url: kv.url(),
                host_list_url: hosts.url(),
                host_list_interval: Duration::from_millis(200),
                probe_interval: Duration::from_millis(100),
                lease_ttl: Duration::from_secs(2),
                resolve_ttl: Duration::from_secs(1),
                request_timeout: Duration::from_secs(10),
                seeds: seeds.into_iter().collect(),
                ..NodeSettings::default()
            };
            nodes.push(Node::start(settings).await.unwrap());
        }
        let http = reqwest::Client::new();
        let cluster =
            Cluster { nodes, ledger, http, engines, _services: services, _kv: kv, _hosts: hosts };
        for node in 0..count {
            cluster.wait_until_owned(node).await;
        }
        cluster
    }

    fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[node].addresses().caller)
    }

    /// Waits until `node` knows a live owner of all four upstreams.
    async fn wait_until_owned(&self, node: usize) {
        let cx = self.nodes[node].context();
        let started = Instant::now();
        loop {
            let owned = cx.owners.borrow().values().filter(|owned| owned.record.is_some()).count();
            if owned == 4
                && cx.table.borrow().version > 0
                && cx.members.borrow().len() >= self.nodes.len()
            {
                return;
            }
            assert!(started.elapsed() < Duration::from_secs(10), "owned: {owned}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn complete(&self, node: usize, model: &str) -> Result<Value, reqwest::Error> {
        let body = json!({"model": model, "prompt": "spring", "max_tokens": 6});
        let request = self.http.post(self.url(node, "/v1/completions")).body(body.to_string());
        request.send().await?.json().await
    }

    async fn order(&self, node: usize, id: &str) -> Result<(u16, Value), reqwest::Error> {
        let request = self.http.post(self.url(node, "/svc/desk/orders"));
        let response = request.header("x-request-id", id).body("{}").send().await?;
        Ok((response.status().as_u16(), response.json().await?))
    }

    /// Id of a new request with `home` as its home.
    async fn id(&self, home: usize, suffix: &str) -> String {
        let url = self.url(home, &format!("/v1/resolve?zone=zone-{home}"));
        let resolved: Value = self.http.get(url).send().await.unwrap().json().await.unwrap();
        format!("{}.{suffix}", resolved["addresses"][0]["placement"].as_str().unwrap())
    }
}

async fn write_table(kv: &Kv) {
    let cfg = HttpStoreConfig { url: kv.url(), ..HttpStoreConfig::default() };
    let store = Arc::new(HttpStore::new(cfg).unwrap());
    let cx = NodeContext::new(NodeSettings::default(), 0);
    let actor = tables::spawn(cx, store, Arc::new(NoPeers));
    let table = Table::from_csv(1, TABLE).unwrap();
    let changes = Table::default().diff(&table);
    let edit = Edit { id: "first".to_owned(), summary: String::new(), changes };
    actor.ask(edit).await.unwrap();
    actor.kill();
}

/// Guards the wiring of all actors, and the takeover of a dead node's upstreams within 5 s.
#[tokio::test(flavor = "multi_thread")]
async fn three_nodes_serve_requests_and_survive_the_loss_of_one() {
    let cluster = Cluster::start(3).await;
    for node in 0..3 {
        for model in ["haiku@2", "sonnet"] {
            let exact = if model == "sonnet" { "sonnet@1" } else { model };
            let answer = cluster.complete(node, model).await.unwrap();
            assert_eq!(answer["model"], exact, "{answer}");
            assert_eq!(answer["choices"][0]["text"], expected_text(exact, "spring", 6));
        }
        let id = cluster.id(node, "first").await;
        for entry in 0..3 {
            let (status, body) = cluster.order(entry, &id).await.unwrap();
            assert_eq!((status, &body["run"]), (200, &json!(1)), "{body}");
        }
    }
    cluster.nodes[1].kill();
    let killed = Instant::now();
    for i in 0..20 {
        for node in [0, 2] {
            let answer = cluster.complete(node, "haiku@2").await.unwrap();
            assert_eq!(answer["model"], "haiku@2", "{answer}");
            let id = cluster.id(node, &format!("after-{i}")).await;
            let (status, body) = cluster.order(node, &id).await.unwrap();
            assert!(status == 200 || body["error"]["outcome"] == "not_run", "{body}");
            // The bound for service by the next owner.
            if killed.elapsed() > Duration::from_secs(5) {
                assert_eq!(status, 200, "{body}");
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(cluster.ledger.duplicates(), 0);
    let unloaded: u64 = cluster.engines.iter().map(|e| e.counters().unloaded_while_serving).sum();
    assert_eq!(unloaded, 0);
}

/// Guards against requests that a planned stop of their entry or owner interrupts.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_interrupts_nothing() {
    let cluster = Arc::new(Cluster::start(3).await);
    let load = |node: usize| {
        let cluster = cluster.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let mut served = 0;
            while started.elapsed() < Duration::from_secs(4) {
                let answer = cluster.complete(node, "haiku@2").await.unwrap();
                assert_eq!(answer["model"], "haiku@2", "{answer}");
                let id = cluster.id(node, &format!("{node}-{served}")).await;
                let (status, body) = cluster.order(node, &id).await.unwrap();
                assert_eq!(status, 200, "{body}");
                served += 1;
            }
            served
        })
    };
    let loads = [load(0), load(2)];
    sleep(Duration::from_millis(500)).await;
    let report = cluster.nodes[1].shutdown().await;
    assert_eq!(report.interrupted, 0);
    for load in loads {
        assert!(load.await.unwrap() > 5);
    }
    assert_eq!(cluster.ledger.duplicates(), 0);
}

/// What the callers of one entry saw.
#[derive(Default)]
struct Seen {
    idempotent: u32,
    answered: u32,
    orders: Vec<(String, u16, Value)>,
}

async fn call_until(cluster: Arc<Cluster>, node: usize, caller: usize, end: Instant) -> Seen {
    let mut seen = Seen::default();
    for i in 0.. {
        if Instant::now() > end {
            break;
        }
        let model = ["haiku@1", "haiku@2", "sonnet@1"][(caller + i) % 3];
        let draft = cluster.complete(node, model).await.unwrap();
        let text = expected_text(model, "spring", 6);
        seen.idempotent += 1;
        match draft["choices"][0]["text"].as_str() {
            Some(found) => {
                assert_eq!(found, text, "{draft}");
                seen.answered += 1;
            }
            None => assert!(draft["error"]["outcome"].is_string(), "{draft}"),
        }
        let url = cluster.url(node, &format!("/svc/desk/orders/{i}"));
        let status = cluster.http.get(url).send().await.unwrap();
        seen.idempotent += 1;
        seen.answered += u32::from(status.status() == 200);
        let id = cluster.id(node, &format!("o-{node}-{caller}-{i}")).await;
        let (status, body) = cluster.order(node, &id).await.unwrap();
        seen.orders.push((id, status, body));
    }
    seen
}

/// Guards the bound for nodes that are killed one after another during orders and drafts.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_killed_one_after_another_cause_no_duplicate_and_lose_no_outcome() {
    let cluster = Arc::new(Cluster::start(4).await);
    let end = Instant::now() + Duration::from_secs(9);
    let callers: Vec<_> = (0..12)
        .map(|i| tokio::spawn(call_until(cluster.clone(), if i % 2 == 0 { 0 } else { 3 }, i, end)))
        .collect();
    for victim in [1, 2] {
        sleep(Duration::from_millis(1_500)).await;
        cluster.nodes[victim].kill();
        sleep(Duration::from_millis(2_500)).await;
    }
    let (mut idempotent, mut answered, mut orders, mut unknown) = (0, 0, 0, 0);
    for caller in callers {
        let seen = caller.await.unwrap();
        idempotent += seen.idempotent;
        answered += seen.answered;
        for (id, status, body) in seen.orders {
            orders += 1;
            let runs = cluster.ledger.runs(&id);
            match (status, body["error"]["outcome"].as_str()) {
                (200, None) => assert_eq!(runs, 1, "{id}"),
                (_, Some("not_run")) => assert_eq!(runs, 0, "{id}: {body}"),
                (_, Some("outcome_unknown")) => unknown += 1,
                other => panic!("{id}: {other:?} {body}"),
            }
        }
    }
    assert_eq!(cluster.ledger.duplicates(), 0);
    let share = f64::from(answered) / f64::from(idempotent);
    assert!(share >= 0.99, "{answered} of {idempotent} idempotent requests answered");
    // At most the orders that ran at an owner when it was killed: one of each caller, twice.
    assert!(unknown <= 24, "{unknown} of {orders} orders with an unknown outcome");
    for node in [0, 3] {
        assert!(cluster.nodes[node].counts().balanced());
        assert_eq!(cluster.nodes[node].counts().in_flight, 0);
    }
}

/// Guards against a node that goes on beside the new owners of its upstreams after the
/// others declared it dead, for example because it was paused.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_declared_dead_stops() {
    let cluster = Cluster::start(3).await;
    let node = &cluster.nodes[1];
    let members = node.context().members.borrow().to_vec();
    let me = members.into_iter().find(|member| member.node == node.context().me).unwrap();
    let dead = Member { state: MemberState::Dead, ..me };
    let actor = &node.cluster.as_ref().unwrap().members;
    actor.tell(Seed(vec![dead])).await.unwrap();
    timeout(Duration::from_secs(5), node.drain_requested()).await.unwrap();
    assert!(node.shutdown().await.declared_dead);
}
