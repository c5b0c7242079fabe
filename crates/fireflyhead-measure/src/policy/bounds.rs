//! Bounds of the design page, section 1.7, that the policy scenarios check.

use fireflyhead_core::types::Rank;
use serde::Serialize;

use crate::policy::RunResult;
use crate::policy::capacity::Capacity;
use crate::policy::deployment::MAX_LOADS_IN_FLIGHT;
use crate::policy::scenario::Scenario;
use crate::policy::world::PolicyKind;

/// Bound with the figure that it was checked against.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Bound {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Zipf exponent.
    pub exponent: f64,
    /// What is bounded.
    pub what: String,
    /// Measured figure.
    pub figure: f64,
    /// Limit.
    pub limit: f64,
    /// Whether the figure must not be below (`true`) or not above the limit.
    pub at_least: bool,
}

impl Bound {
    /// Whether the bound holds.
    pub fn holds(&self) -> bool {
        match self.at_least {
            true => self.figure >= self.limit,
            false => self.figure <= self.limit,
        }
    }
}

/// Runs of one scenario, deployment and exponent.
pub struct Case<'a> {
    /// Scenario.
    pub scenario: &'a Scenario,
    /// Capacity.
    pub capacity: &'a Capacity,
    /// Run of the project's policy.
    pub core: &'a RunResult,
    /// Run of the FIFO baseline.
    pub fifo: &'a RunResult,
    /// Run of the project's policy in the steady scenario.
    pub steady: &'a RunResult,
}

struct List<'a> {
    case: &'a Case<'a>,
    bounds: Vec<Bound>,
}

impl List<'_> {
    fn push(&mut self, what: impl Into<String>, figure: f64, limit: f64, at_least: bool) {
        let core = self.case.core;
        let (deployment, scenario, exponent) = (core.deployment, core.scenario, core.exponent);
        let what = what.into();
        self.bounds.push(Bound { deployment, scenario, exponent, what, figure, limit, at_least });
    }

    fn at_least(&mut self, what: impl Into<String>, figure: f64, limit: f64) {
        self.push(what, figure, limit, true);
    }

    fn at_most(&mut self, what: impl Into<String>, figure: f64, limit: f64) {
        self.push(what, figure, limit, false);
    }
}

/// Bounds of one scenario.
pub fn check(case: &Case<'_>) -> Vec<Bound> {
    debug_assert_eq!(case.core.policy, PolicyKind::Core.as_str());
    let mut list = List { case, bounds: Vec::new() };
    always(&mut list);
    let scenario = case.scenario;
    let background = scenario.floods.iter().any(|flood| flood.rank == Rank::Background);
    let urgent = scenario.floods.iter().any(|flood| flood.rank == Rank::Urgent);
    if background {
        background_flood(&mut list);
    }
    if urgent {
        urgent_flood(&mut list);
    }
    if scenario.retries > 0.0 {
        retries(&mut list);
    }
    if scenario.floods.is_empty() && scenario.load_failures == 0.0 && !scenario.restarts {
        efficiency(&mut list);
    }
    if scenario.shift {
        recovery(&mut list);
    }
    list.bounds
}

fn always(list: &mut List<'_>) {
    let core = &list.case.core.figures;
    // A token bucket that holds one token.
    list.at_most("loads above the rate in any window from 1 s", core.load_excess, 1.0);
    let in_flight = core.max_loads_in_flight as f64;
    list.at_most("loads in flight", in_flight, MAX_LOADS_IN_FLIGHT as f64);
    list.at_most("broken invariants", core.violations as f64, 0.0);
}

fn background_flood(list: &mut List<'_>) {
    let core = &list.case.core.figures;
    for class in core.rank(false, Rank::Urgent) {
        let name = class.class;
        list.at_most(format!("{name}: p95 to first token, ms"), class.figures.ttft_ms[1], 530.0);
        list.at_least(format!("{name}: answered"), class.figures.fresh_answered, 0.99);
    }
    for engine in [true, false] {
        for class in core.rank(engine, Rank::Standard) {
            let goodput = relative(list.case, class.class);
            list.at_least(format!("{}: goodput against no flood", class.class), goodput, 0.95);
        }
        for class in core.rank(engine, Rank::Background) {
            let what = format!("{}: share against floor", class.class);
            list.at_least(what, class.against_floor, 1.0);
        }
    }
    total_goodput(list);
}

fn urgent_flood(list: &mut List<'_>) {
    let engine = list.case.scenario.floods.iter().any(|flood| flood.engine);
    for rank in [Rank::Standard, Rank::Background] {
        for class in list.case.core.figures.rank(engine, rank) {
            let what = format!("{}: share against floor", class.class);
            list.at_least(what, class.against_floor, 0.95);
        }
    }
    // A flood of one urgent class must leave the others theirs.
    for class in list.case.core.figures.rank(engine, Rank::Urgent) {
        if class.floor > 0.0 {
            let what = format!("{}: share against floor", class.class);
            list.at_least(what, class.against_floor, 0.95);
        }
    }
    total_goodput(list);
}

/// Work completed on the flooded services, against their capacity.
///
/// A flood of retries is refused beyond the retry budget of its row, so that the service need
/// not be full: there the fresh work is the limit.
fn total_goodput(list: &mut List<'_>) {
    let (case, core) = (list.case, &list.case.core.figures);
    let floods = &case.scenario.floods;
    if floods.iter().any(|flood| flood.engine) {
        let of_capacity = core.engines.work / case.capacity.engine_tokens();
        list.at_least("engines: goodput against capacity", of_capacity, 0.95);
    }
    if floods.iter().any(|flood| !flood.engine) {
        let capacity_ms = case.capacity.plain_ms();
        let demand_ms = core.plain.offered_work.min(capacity_ms);
        let of_capacity = core.plain.work / demand_ms;
        list.at_least("plain service: goodput against capacity", of_capacity, 0.95);
    }
}

fn retries(list: &mut List<'_>) {
    for class in &list.case.core.figures.classes {
        if class.figures.fresh > 0 {
            let goodput = relative(list.case, class.class);
            let what = format!("{}: fresh goodput against no retries", class.class);
            list.at_least(what, goodput, 0.95);
        }
    }
}

fn efficiency(list: &mut List<'_>) {
    let (core, fifo) = (&list.case.core.figures, &list.case.fifo.figures);
    let stalled = core.engines.stalled / fifo.engines.stalled.max(1e-9);
    list.at_most("stalled requests against FIFO/LRU", stalled, 0.5);
    let batch = core.mean_batch / fifo.mean_batch.max(1e-9);
    list.at_least("mean batch against FIFO/LRU", batch, 1.5);
}

fn recovery(list: &mut List<'_>) {
    let late = |run: &RunResult| run.figures.engines.late_goodput;
    let recovered = late(list.case.core) / late(list.case.steady).max(1e-9);
    list.at_least("engines: fresh goodput from 30 s after the shift", recovered, 0.95);
}

/// Goodput of a class's fresh requests, against the steady scenario.
fn relative(case: &Case<'_>, class: &str) -> f64 {
    let goodput = |run: &RunResult| {
        let classes = run.figures.classes.iter();
        classes.filter(|c| c.class == class).map(|c| c.figures.fresh_goodput).sum::<f64>()
    };
    goodput(case.core) / goodput(case.steady).max(1e-9)
}
