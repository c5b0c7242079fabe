//! Three nodes in one process between stand-ins, under load and faults.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead::ops::demo::deployment::Kind;
use fireflyhead::ops::demo::deployment::Plan;
use fireflyhead::ops::demo::deployment::Work;
use fireflyhead::ops::demo::drive;
use fireflyhead::ops::demo::drive::Progress;
use fireflyhead::ops::demo::fleet::Fleet;
use fireflyhead::ops::demo::fleet::FleetOptions;
use fireflyhead::ops::demo::nodes;
use fireflyhead::ops::demo::report;
use fireflyhead::ops::demo::workload::Ended;
use fireflyhead::ops::demo::workload::Record;
use fireflyhead_core::types::Rank;
use fireflyhead_node::node::Node;
use fireflyhead_schema::NodeSettings;
use tokio::time::Instant;

/// Longest time until all nodes serve.
const READY: Duration = Duration::from_secs(10);
const CLASSES: &str = "\
class,orders,,desk,POST /orders,,urgent,4,0.3,,,530,10000,0.5,false
class,status,,desk,GET /,,urgent,2,0.2,,,530,10000,0.5,true
class,drafts,,models,,,standard,4,0.4,,,5000,20000,0.5,true
class,backlog,,models,,,background,1,0.1,,,20000,30000,0.5,true
";

/// Stand-ins and nodes of one test.
pub(crate) struct Cluster {
    pub(crate) plan: Arc<Plan>,
    pub(crate) fleet: Fleet,
    pub(crate) nodes: Vec<Node>,
    tune: fn(&mut NodeSettings),
}

/// Timeouts that meet the bounds of 5 s for the next owner and for silent connections.
pub(crate) fn short_timeouts(settings: &mut NodeSettings) {
    settings.lease_ttl = Duration::from_secs(3);
    settings.request_timeout = Duration::from_secs(3);
}

/// Small deployment with all ranks.
pub(crate) fn plan() -> Plan {
    let kind = |class, rank, work, per_second| Kind { class, rank, work, per_second };
    Plan {
        name: "test",
        zones: ["zone-a", "zone-b", "zone-c"],
        model_service: "models",
        workers: 6,
        slots: 8,
        plain_service: "desk",
        instances: 3,
        orders_path: "/orders",
        adapter_prefix: "adapter",
        adapters: 60,
        zipf: 1.1,
        loads_per_second: 8.0,
        kinds: vec![
            kind("orders", Rank::Urgent, Work::Order, 20.0),
            kind("status", Rank::Urgent, Work::Status, 20.0),
            kind("drafts", Rank::Standard, Work::Draft { tokens: 20 }, 12.0),
            kind("backlog", Rank::Background, Work::Draft { tokens: 20 }, 3.0),
        ],
        classes: CLASSES,
    }
}

impl Cluster {
    pub(crate) async fn start() -> Cluster {
        Cluster::start_with(short_timeouts, |_| {}).await
    }

    /// Starts three nodes; `prepare` sets faults before the first node starts.
    pub(crate) async fn start_with(
        tune: fn(&mut NodeSettings),
        prepare: impl FnOnce(&Fleet),
    ) -> Cluster {
        // The log is shown with a failed test.
        let _already_set = tracing_subscriber::fmt().with_test_writer().try_init();
        let plan = Arc::new(plan());
        let options = FleetOptions { warm_slots: 7, ..FleetOptions::default() };
        let fleet = Fleet::start(&plan, &options).await.expect("free ports");
        fleet.write_table(&plan.table_csv()).await.expect("a valid table");
        prepare(&fleet);
        let mut cluster = Cluster { plan, fleet, nodes: Vec::new(), tune };
        for _ in 0..3 {
            cluster.add_node().await;
        }
        let upstreams = cluster.plan.workers + cluster.plan.instances;
        for node in &cluster.nodes {
            nodes::wait_until_ready(node, upstreams, READY).await.expect("a ready node");
        }
        cluster
    }

    pub(crate) async fn add_node(&mut self) {
        let mut settings =
            self.fleet.node_settings(&self.plan, self.nodes.len()).expect("valid settings");
        (self.tune)(&mut settings);
        settings.seeds = self.nodes.iter().map(|node| node.addresses().peer.to_string()).collect();
        self.nodes.push(Node::start(settings).await.expect("free ports"));
    }

    pub(crate) fn bases(&self) -> Vec<String> {
        self.nodes.iter().map(|node| format!("http://{}", node.addresses().caller)).collect()
    }

    /// Offers load for `seconds`; all requests have ended when it returns.
    pub(crate) async fn drive(&self, seconds: u64) -> Vec<Record> {
        let load = Duration::from_secs(seconds);
        let progress = Arc::new(Progress::default());
        drive::drive(&self.plan, &self.fleet, &self.bases(), load, 11, &progress)
            .await
            .expect("the callers can be set up")
    }

    /// Checks that the requests broke no invariant.
    pub(crate) fn check(&self, records: &[Record]) {
        let violations = report::violations(records, &self.fleet);
        assert_eq!(violations, Vec::<String>::new());
    }
}

/// Fraction of the idempotent requests that were answered.
#[expect(clippy::cast_precision_loss, reason = "some hundred requests")]
pub(crate) fn answered(records: &[Record]) -> f64 {
    let idempotent: Vec<&Record> = records.iter().filter(|r| r.order.is_none()).collect();
    let answered = idempotent.iter().filter(|r| r.ended == Ended::Answered).count();
    answered as f64 / idempotent.len() as f64
}

/// Requests by how they ended and their error code, for messages.
pub(crate) fn summary(records: &[Record]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for record in records {
        let code = record.code.as_deref().unwrap_or("-");
        let key = format!("{} {:?} {code}", record.class, record.ended);
        *counts.entry(key).or_insert(0) += 1;
    }
    format!("{counts:?}")
}

/// Waits until `holds`; whether it did within `limit`.
pub(crate) async fn within(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}
