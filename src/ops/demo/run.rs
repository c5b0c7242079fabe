//! One run of the demo from the start of the stand-ins to the report.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use fireflyhead_node::node::Node;
use tokio::time::Instant;

use crate::ops::demo::deployment::Deployment;
use crate::ops::demo::deployment::Plan;
use crate::ops::demo::drive;
use crate::ops::demo::drive::Progress;
use crate::ops::demo::fleet::Fleet;
use crate::ops::demo::fleet::FleetOptions;
use crate::ops::demo::nodes;
use crate::ops::demo::report::Report;

/// Nodes of the demo, one in each availability zone.
const NODES: usize = 3;
/// Longest time until all nodes serve.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Seed of the workload, the same in every run so that runs can be compared.
const SEED: u64 = 20_261_204;

/// Runs `deployment` under load for `load`; `show` draws the progress on the terminal.
///
/// # Errors
/// Stand-ins or nodes that can't be started.
pub async fn run(deployment: Deployment, load: Duration, show: bool) -> Result<Report> {
    let start = Instant::now();
    let plan = Arc::new(deployment.plan());
    let options = FleetOptions::default();
    let fleet = Fleet::start(&plan, &options).await?;
    fleet.write_table(&plan.table_csv()).await?;
    let nodes = start_nodes(&plan, &fleet).await?;
    let bases: Vec<String> =
        nodes.iter().map(|node| format!("http://{}", node.addresses().caller)).collect();
    let progress = Arc::new(Progress::default());
    let display = show.then(|| drive::show(&progress, load));
    let records = drive::drive(&plan, &fleet, &bases, load, SEED, &progress).await?;
    drop(display);
    // Every request has ended for its caller, so that nothing is left to interrupt.
    let interrupted: u64 = nodes.iter().map(|node| node.kill().interrupted).sum();
    let mut report = Report::new(plan.name, &records, &fleet);
    if interrupted > 0 {
        report.violations.push(format!("{interrupted} requests had no outcome at the end"));
    }
    report.warm_slots = options.warm_slots;
    report.load_seconds = load.as_secs_f64();
    report.total_seconds = start.elapsed().as_secs_f64();
    Ok(report)
}

async fn start_nodes(plan: &Plan, fleet: &Fleet) -> Result<Vec<Node>> {
    let mut nodes: Vec<Node> = Vec::new();
    for index in 0..NODES {
        let mut settings = fleet.node_settings(plan, index)?;
        settings.seeds = nodes.iter().map(|node| node.addresses().peer.to_string()).collect();
        let node = Node::start(settings).await;
        nodes.push(node.with_context(|| format!("cannot start node {}", index + 1))?);
    }
    for node in &nodes {
        nodes::wait_until_ready(node, plan.workers + plan.instances, READY_TIMEOUT).await?;
    }
    Ok(nodes)
}
