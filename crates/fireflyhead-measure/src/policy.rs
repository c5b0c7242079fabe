//! Experiments with placement, dispatch and load scheduling in virtual time.
//!
//! Each run drives the project's own decision code against a small model of engines, plain
//! services, the weight store and the callers. Two baselines see the same
//! arrivals in the same invocation. The results hold for this model only; it is not a
//! simulation of the network or of the nodes. Modelling assumptions are stated in the
//! module that makes them: demand in [`workload`], engines in [`engine`], plain services in
//! [`service`], delays and reports in [`world`], capacity in [`capacity`], sizes and classes
//! in [`deployment`], the course of a run in [`scenario`].
//!
//! All runs are deterministic for a seed, up to the wall time.

pub mod baseline;
pub mod bounds;
pub mod capacity;
pub mod deployment;
pub mod engine;
pub mod figures;
pub mod report;
pub mod scenario;
pub mod service;
#[cfg(test)]
mod tests;
pub mod workload;
pub mod world;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use fireflyhead_core::table::Table;
use serde::Serialize;

use crate::policy::bounds::Bound;
use crate::policy::bounds::Case;
use crate::policy::capacity::Capacity;
use crate::policy::deployment::Deployment;
use crate::policy::figures::RunFigures;
use crate::policy::scenario::Scenario;
use crate::policy::world::PolicyKind;
use crate::policy::world::World;

/// Zipf exponents of the adapters' popularity.
pub const EXPONENTS: [f64; 4] = [0.9, 1.0, 1.1, 1.3];

/// Name of the scenario that the others are compared with.
const REFERENCE: &str = "steady";

/// What to run.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Only this scenario, and its reference.
    pub scenario: Option<String>,
    /// Only this deployment.
    pub deployment: Option<String>,
    /// Only this exponent.
    pub exponent: Option<f64>,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Result of one run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RunResult {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Zipf exponent.
    pub exponent: f64,
    /// Policy.
    pub policy: &'static str,
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
    /// Duration of the run in real time, in seconds.
    pub wall_secs: f64,
    /// Figures.
    pub figures: RunFigures,
}

/// Results of all runs.
#[derive(Debug)]
pub struct Report {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Capacity by deployment and exponent.
    pub capacities: Vec<(&'static str, Capacity)>,
    /// Runs.
    pub runs: Vec<RunResult>,
    /// Checked bounds.
    pub bounds: Vec<Bound>,
}

/// One run to do.
struct Task {
    dep: Arc<Deployment>,
    table: Arc<Table>,
    scenario: Scenario,
    capacity: Capacity,
    policy: PolicyKind,
}

/// Runs the selected scenarios on all processors and checks the bounds.
///
/// # Errors
/// An unknown name in the selection, or a deployment's table that is not valid.
pub fn run(selection: &Selection) -> anyhow::Result<Report> {
    let tasks = tasks(selection)?;
    let runs = run_all(&tasks, selection.seed);
    let mut capacities: Vec<(&'static str, Capacity)> = Vec::new();
    let mut bounds = Vec::new();
    for (task, core) in tasks.iter().zip(&runs) {
        if task.policy != PolicyKind::Core {
            continue;
        }
        if task.scenario.name == REFERENCE {
            capacities.push((task.dep.name, task.capacity));
        }
        let same = |run: &&RunResult, scenario: &str, policy: PolicyKind| {
            run.deployment == core.deployment
                && run.exponent == core.exponent
                && run.scenario == scenario
                && run.policy == policy.as_str()
        };
        let find = |scenario, policy| runs.iter().find(|run| same(run, scenario, policy));
        let steady = find(REFERENCE, PolicyKind::Core);
        let fifo = find(core.scenario, PolicyKind::Fifo);
        if let (Some(steady), Some(fifo)) = (steady, fifo) {
            let (scenario, capacity) = (&task.scenario, &task.capacity);
            bounds.extend(bounds::check(&Case { scenario, capacity, core, fifo, steady }));
        }
    }
    Ok(Report { seed: selection.seed, capacities, runs, bounds })
}

fn tasks(selection: &Selection) -> anyhow::Result<Vec<Task>> {
    let chosen = |choice: &Option<String>, name: &str| choice.as_deref().is_none_or(|c| c == name);
    let mut deployments = Deployment::all();
    deployments.retain(|dep| chosen(&selection.deployment, dep.name));
    anyhow::ensure!(!deployments.is_empty(), "unknown deployment");
    let mut scenarios = Scenario::all();
    scenarios.retain(|s| s.name == REFERENCE || chosen(&selection.scenario, s.name));
    let known = scenarios.iter().any(|s| chosen(&selection.scenario, s.name));
    anyhow::ensure!(known, "unknown scenario");
    let mut tasks = Vec::new();
    for dep in deployments {
        let table = Table::from_csv(1, &dep.table_csv())
            .map_err(|errors| anyhow::anyhow!("table of {}: {}", dep.name, errors[0]))?;
        let (dep, table) = (Arc::new(dep), Arc::new(table));
        for exponent in EXPONENTS {
            if selection.exponent.is_some_and(|chosen| chosen != exponent) {
                continue;
            }
            let capacity = Capacity::new(&dep, exponent);
            for scenario in &scenarios {
                for policy in PolicyKind::ALL {
                    let (dep, table) = (Arc::clone(&dep), Arc::clone(&table));
                    let scenario = scenario.clone();
                    tasks.push(Task { dep, table, scenario, capacity, policy });
                }
            }
        }
    }
    Ok(tasks)
}

/// Runs all tasks on as many threads as there are processors, the longest ones first; results are
/// in task order.
fn run_all(tasks: &[Task], seed: u64) -> Vec<RunResult> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    let mut order: Vec<usize> = (0..tasks.len()).collect();
    order.sort_by(|a, b| {
        tasks[*b].scenario.extra_work().total_cmp(&tasks[*a].scenario.extra_work())
    });
    let next = Mutex::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(tasks.len()) {
            scope.spawn(|| {
                loop {
                    let i = {
                        let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
                        *next += 1;
                        *next - 1
                    };
                    let Some(&i) = order.get(i) else { return };
                    let result = run_one(&tasks[i], seed);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push((i, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(i, _)| *i);
    results.into_iter().map(|(_, result)| result).collect()
}

fn run_one(task: &Task, seed: u64) -> RunResult {
    let start = Instant::now();
    let Task { dep, table, scenario, capacity, policy } = task;
    let mut world = World::new(Arc::clone(dep), table, capacity, scenario, *policy, seed);
    world.run();
    RunResult {
        deployment: dep.name,
        scenario: scenario.name,
        exponent: capacity.exponent,
        policy: policy.as_str(),
        loads_per_second: dep.loads_per_second,
        wall_secs: start.elapsed().as_secs_f64(),
        figures: RunFigures::new(dep, capacity, &world),
    }
}
