//! Whole request paths through nodes whose contexts the tests fill by hand.

mod faults;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::OwnerRecord;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;
use fireflyhead_schema::NodeSettings;
use fireflyhead_standin::engine;
use fireflyhead_standin::engine::Engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::engine::expected_text;
use fireflyhead_standin::service;
use fireflyhead_standin::service::Service;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::service::ServiceFaults;
use futures::future::BoxFuture;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Listeners;
use super::Node;
use crate::context::NodeContext;
use crate::context::Ownership;
use crate::kv::KeyValue;
use crate::kv::LeaseId;
use crate::kv::Store;
use crate::kv::StoreError;
use crate::kv::StoreResult;
use crate::kv::Swap;
use crate::kv::WatchEvent;

const TABLE: &str = "\
kind,name,class,service,match,version,rank,weight,floor,rate,in_flight,target_ms,deadline_ms,retry_budget,idempotent
class,draft,,models,,,standard,1,0.1,,,530,20000,0.2,true
class,order,,desk,POST /orders,,urgent,1,,,,530,10000,0.2,false
class,status,,desk,GET /orders,,urgent,1,,,,530,10000,0.2,true
class,quote,,desk,GET /quotes,,standard,1,,2,,530,10000,0.2,true
adapter,haiku,draft,,,1 2,,,,,,,,,
";

/// Store in memory that can be switched off.
#[derive(Default)]
struct FakeStore {
    values: Mutex<HashMap<String, KeyValue>>,
    down: std::sync::atomic::AtomicBool,
}

impl FakeStore {
    fn up(&self) -> StoreResult<()> {
        match self.down.load(std::sync::atomic::Ordering::SeqCst) {
            true => Err(StoreError::Unreachable("switched off".to_owned())),
            false => Ok(()),
        }
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> BoxFuture<'_, StoreResult<Option<KeyValue>>> {
        let found = self.values.lock().unwrap().get(key).cloned();
        Box::pin(async move { self.up().map(|()| found) })
    }

    fn list(&self, _prefix: &str) -> BoxFuture<'_, StoreResult<Vec<KeyValue>>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, StoreResult<Swap>> {
        let mut values = self.values.lock().unwrap();
        let found = values.get(key).cloned();
        let result = match found.as_ref().map_or(0, |found| found.revision) == expected {
            true => {
                let revision = expected + 1;
                let lease = lease.unwrap_or_default();
                let key = key.to_owned();
                values.insert(key.clone(), KeyValue { key, value, revision, lease });
                Swap::Done(revision)
            }
            false => Swap::Conflict(found),
        };
        Box::pin(async move { self.up().map(|()| result) })
    }

    fn delete(&self, _key: &str, _expected: i64) -> BoxFuture<'_, StoreResult<Swap>> {
        Box::pin(async { Ok(Swap::Done(1)) })
    }

    fn grant_lease(&self, _ttl: Duration) -> BoxFuture<'_, StoreResult<LeaseId>> {
        Box::pin(async { self.up().map(|()| 7) })
    }

    fn keep_alive(&self, _lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        Box::pin(async { Ok(()) })
    }

    fn revoke_lease(&self, _lease: LeaseId) -> BoxFuture<'_, StoreResult<()>> {
        Box::pin(async { Ok(()) })
    }

    fn watch(&self, _prefix: &str) -> mpsc::Receiver<WatchEvent> {
        mpsc::channel(1).1
    }
}

/// Nodes, one engine and one plain service; the upstreams belong to the node `owner`.
pub(crate) struct Fleet {
    upstreams: Vec<UpstreamInfo>,
    pub(crate) nodes: Vec<Node>,
    service: Service,
    store: Arc<FakeStore>,
    pub(crate) http: reqwest::Client,
    engine: Engine,
}

impl Fleet {
    pub(crate) async fn start(count: usize, owner: usize) -> Fleet {
        Fleet::with_service(count, owner, ServiceConfig::default()).await
    }

    async fn with_service(count: usize, owner: usize, cfg: ServiceConfig) -> Fleet {
        let engine = engine::start(EngineConfig::default()).await.unwrap();
        let service = service::start(cfg).await.unwrap();
        let store = Arc::new(FakeStore::default());
        let mut nodes = Vec::new();
        for i in 0..count {
            let mut settings = NodeSettings {
                node_id: format!("node-{i}"),
                zone: format!("zone-{i}"),
                caller_address: "127.0.0.1:0".parse().unwrap(),
                operator_address: "127.0.0.1:0".parse().unwrap(),
                peer_address: "127.0.0.1:0".parse().unwrap(),
                peer_key: "secret".to_owned().into(),
                request_timeout: Duration::from_secs(5),
                header_timeout: Duration::from_secs(1),
                resolve_ttl: Duration::from_secs(1),
                ..NodeSettings::default()
            };
            let listeners = Listeners::bind(&mut settings).await.unwrap();
            let cx = NodeContext::new(settings, 1);
            nodes.push(Node::assemble(cx, store.clone(), listeners));
        }
        let upstreams = [
            info("engine", "models", engine.address(), UpstreamKind::Engine { slots: 8 }),
            info("service", "desk", service.address(), UpstreamKind::Service),
        ];
        let http = reqwest::Client::new();
        let fleet = Fleet { upstreams: upstreams.to_vec(), nodes, service, store, http, engine };
        fleet.publish(&upstreams, owner);
        sleep(Duration::from_millis(300)).await;
        fleet
    }

    /// Fills the contexts of all nodes.
    fn publish(&self, upstreams: &[UpstreamInfo], owner: usize) {
        let members: Vec<Member> = self.nodes.iter().map(member).collect();
        self.publish_members(upstreams, owner, &members);
    }

    /// Fills the contexts with `members` instead of the nodes as they are.
    fn publish_members(&self, upstreams: &[UpstreamInfo], owner: usize, members: &[Member]) {
        let upstreams: HashMap<Name, UpstreamInfo> =
            upstreams.iter().map(|info| (info.name.clone(), info.clone())).collect();
        for (i, node) in self.nodes.iter().enumerate() {
            let cx = node.context();
            cx.table.send_replace(Arc::new(Table::from_csv(1, TABLE).unwrap()));
            cx.members.send_replace(Arc::new(members.to_vec()));
            let role = match i == owner {
                true => {
                    Role::Owner { fencing: 1, orders_allowed: true, pinned_until: Time::default() }
                }
                false => Role::None,
            };
            let record = OwnerRecord {
                owner: members[owner].node.clone(),
                fencing: 1,
                operation: Name::from("op"),
            };
            let owned = Ownership { record: Some(record), role };
            let owners = upstreams.keys().map(|name| (name.clone(), owned.clone())).collect();
            cx.owners.send_replace(Arc::new(owners));
            cx.upstreams.send_replace(Arc::new(upstreams.clone()));
        }
    }

    pub(crate) fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[node].addresses().caller)
    }

    async fn resolve(&self, node: usize) -> Value {
        let url = self.url(node, &format!("/v1/resolve?zone=zone-{node}"));
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// Id of a new request with `node` as home.
    pub(crate) async fn id(&self, node: usize, suffix: &str) -> String {
        let resolved = self.resolve(node).await;
        format!("{}.{suffix}", resolved["addresses"][0]["placement"].as_str().unwrap())
    }

    pub(crate) async fn order(&self, node: usize, headers: &[(&str, &str)]) -> (u16, Value) {
        let mut request = self.http.post(self.url(node, "/svc/desk/orders"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.body("{}").send().await.unwrap();
        (response.status().as_u16(), response.json().await.unwrap())
    }

    async fn complete(&self, node: usize, stream: bool) -> reqwest::Response {
        let body =
            json!({"model": "haiku@2", "prompt": "spring", "max_tokens": 8, "stream": stream});
        let request = self.http.post(self.url(node, "/v1/completions")).body(body.to_string());
        request.send().await.unwrap()
    }

    /// Every accepted request has one outcome and none is left.
    async fn assert_settled(&self) {
        for node in &self.nodes {
            timeout(Duration::from_secs(5), node.entry.accounting().idle()).await.unwrap();
            assert!(node.counts().balanced(), "{:?}", node.counts());
        }
    }
}

fn info(
    name: &str,
    service: &str,
    address: std::net::SocketAddr,
    kind: UpstreamKind,
) -> UpstreamInfo {
    UpstreamInfo {
        name: name.into(),
        service: service.into(),
        zone: "zone-0".into(),
        address: address.to_string().into(),
        kind,
        fencing: true,
        leaving: false,
    }
}

fn member(node: &Node) -> Member {
    let addresses = node.addresses();
    Member {
        node: node.context().me.clone(),
        zone: node.context().settings.zone.as_str().into(),
        caller_address: addresses.caller.to_string().into(),
        peer_address: addresses.peer.to_string().into(),
        state: MemberState::Alive,
    }
}

fn streamed_text(body: &str) -> String {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let texts = data.filter(|data| *data != "[DONE]").map(|data| {
        let json: Value = serde_json::from_str(data).unwrap();
        json["choices"][0]["text"].as_str().unwrap().to_owned()
    });
    texts.collect()
}

/// Guards the path through the local and through a remote dispatcher.
#[tokio::test(flavor = "multi_thread")]
async fn completions_and_calls_pass_through_local_and_remote_dispatchers() {
    let fleet = Fleet::start(2, 0).await;
    for node in [0, 1] {
        let streamed = fleet.complete(node, true).await;
        assert_eq!(streamed.status(), 200);
        let body = streamed.text().await.unwrap();
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
        assert_eq!(streamed_text(&body), expected_text("haiku@2", "spring", 8));
        let whole: Value = fleet.complete(node, false).await.json().await.unwrap();
        assert_eq!(whole["model"], "haiku@2");
        assert_eq!(whole["choices"][0]["text"], expected_text("haiku@2", "spring", 8));
        let status =
            fleet.http.get(fleet.url(node, "/svc/desk/orders/5?x=1")).send().await.unwrap();
        assert_eq!(status.json::<Value>().await.unwrap()["path"], "/orders/5");
    }
    fleet.assert_settled().await;
    assert_eq!(fleet.nodes[1].counts().answered, 3);
}

/// Guards against a second execution by a retry at home, at another node or without a token.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_an_order_join_the_first_run() {
    let fleet = Fleet::start(3, 2).await;
    sleep(Duration::from_millis(300)).await;
    let id = fleet.id(0, "a").await;
    let headers = [("x-request-id", id.as_str())];
    let (first, second, third) =
        tokio::join!(fleet.order(0, &headers), fleet.order(0, &headers), fleet.order(1, &headers));
    for (status, body) in [first, second, third] {
        assert_eq!((status, &body["run"]), (200, &json!(1)), "{body}");
    }
    let (status, body) = fleet.order(1, &headers).await;
    assert_eq!((status, &body["run"]), (200, &json!(1)), "{body}");
    let key = [("idempotency-key", "k-1")];
    for node in [0, 1, 2] {
        let (status, body) = fleet.order(node, &key).await;
        assert_eq!((status, &body["run"]), (200, &json!(1)), "{body}");
    }
    fleet.store.down.store(true, std::sync::atomic::Ordering::SeqCst);
    let (status, body) = fleet.order(0, &key).await;
    assert_eq!((status, &body["error"]["code"]), (503, &json!("idempotency_unavailable")));
    assert_eq!(body["error"]["outcome"], "not_run");
    assert_eq!(fleet.service.ledger().duplicates(), 0);
    fleet.assert_settled().await;
}

/// Guards against `not_run` for an order that may have run, and against a second send.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_answer_is_lost_has_an_unknown_outcome() {
    let fleet = Fleet::start(2, 0).await;
    fleet.service.set_faults(ServiceFaults { cut_after_effect: 1.0, ..ServiceFaults::default() });
    let id = fleet.id(1, "b").await;
    for node in [1, 0] {
        let (status, body) = fleet.order(node, &[("x-request-id", &id)]).await;
        assert_eq!((status, &body["error"]["outcome"]), (502, &json!("outcome_unknown")), "{body}");
    }
    assert_eq!(fleet.service.ledger().runs(&id), 1);
    fleet.assert_settled().await;
}

/// Guards against an order that is refused without its reason, and against a repetition of
/// the same id that runs after all.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_order_states_why_it_did_not_run() {
    let fleet = Fleet::start(3, 2).await;
    sleep(Duration::from_millis(300)).await;
    let id = fleet.id(0, "refused").await;
    for node in &fleet.nodes {
        node.context().upstreams.send_replace(Arc::default());
    }
    for node in [0, 1] {
        let (status, body) = fleet.order(node, &[("x-request-id", &id)]).await;
        assert_ne!(body["error"]["code"], "closed_id", "{body}");
        assert_eq!((status, &body["error"]["outcome"]), (503, &json!("not_run")), "{body}");
    }
    assert_eq!(fleet.service.ledger().runs(&id), 0);
    fleet.assert_settled().await;
}

/// Guards against an execution after home is gone and the witness has answered `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn the_witness_closes_an_id_that_home_never_saw() {
    let fleet = Fleet::start(3, 2).await;
    sleep(Duration::from_millis(300)).await;
    let id = fleet.id(0, "c").await;
    fleet.nodes[0].kill();
    let (status, body) = fleet.order(1, &[("x-request-id", &id)]).await;
    assert_eq!((status, &body["error"]["code"]), (409, &json!("closed_id")), "{body}");
    assert!(body["error"]["placement"].is_string());
    assert_eq!(fleet.service.ledger().runs(&id), 0);
}

/// Guards against a planned stop that interrupts requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_the_requests_in_flight() {
    let call_time = Duration::from_millis(400);
    let cfg = ServiceConfig { call_time, ..ServiceConfig::default() };
    let fleet = Arc::new(Fleet::with_service(2, 1, cfg).await);
    let order = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.order(0, &[]).await }
    });
    sleep(Duration::from_millis(100)).await;
    let report = fleet.nodes[0].shutdown().await;
    assert_eq!(report.interrupted, 0);
    assert_eq!(report.counts.answered, 1);
    assert_eq!(order.await.unwrap().0, 200);
}
