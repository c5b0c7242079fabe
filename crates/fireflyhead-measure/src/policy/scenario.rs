//! Scenarios: what happens to a deployment, and when.
//!
//! Every run warms up from empty engines for [`EVENT_AT`] seconds. The event of the scenario
//! lasts from then until [`MEASURE_UNTIL`], and figures count requests that arrive in this
//! window. Arrivals go on until [`ARRIVALS_UNTIL`] and the run until [`END`], so that the
//! requests of the window can end.

use fireflyhead_core::types::Rank;

use crate::policy::capacity::Capacity;
use crate::policy::deployment::Deployment;
use crate::policy::service::ServiceModel;
use crate::policy::workload::Source;

/// Time of the event, in seconds.
pub const EVENT_AT: f64 = 90.0;
/// End of the window, in seconds.
pub const MEASURE_UNTIL: f64 = 150.0;
/// End of arrivals, in seconds.
pub const ARRIVALS_UNTIL: f64 = 160.0;
/// End of the run, in seconds.
pub const END: f64 = 190.0;
/// Time between the restarts of two engines, in seconds.
pub const RESTART_EVERY: f64 = 5.0;
/// Steady demand as a fraction of the capacity is the sum of the classes' shares, at most 0.9.
const FIRST_ARRIVAL: f64 = 0.0;

/// Extra work of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    /// Whether the engines are flooded.
    pub engine: bool,
    /// Rank of the flooding class.
    pub rank: Rank,
    /// Whether the flooding class is idempotent, if several classes have the rank.
    pub idempotent: bool,
    /// Rate as a multiple of the capacity.
    pub factor: f64,
    /// Whether the requests are retries.
    pub retry: bool,
}

/// Scenario of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Extra work.
    pub floods: Vec<Flood>,
    /// Whether the popularity of the adapters shifts.
    pub shift: bool,
    /// Whether the engines restart empty, one after another.
    pub restarts: bool,
    /// Share of the loads that fail.
    pub load_failures: f64,
    /// Retries in the demand of each class, as a multiple of its fresh requests.
    pub retries: f64,
}

impl Scenario {
    /// All scenarios; the first one is the reference of the others.
    pub fn all() -> Vec<Scenario> {
        let base = Scenario::default;
        let urgent = |engine, idempotent, retry| {
            vec![Flood { engine, rank: Rank::Urgent, idempotent, factor: 3.0, retry }]
        };
        vec![
            Scenario { name: "steady", ..base() },
            Scenario { name: "shift", shift: true, ..base() },
            Scenario { name: "background-3x", floods: background(3.0), ..base() },
            Scenario { name: "background-10x", floods: background(10.0), ..base() },
            Scenario {
                name: "urgent-status-retries-3x",
                floods: urgent(false, true, true),
                ..base()
            },
            Scenario { name: "urgent-orders-3x", floods: urgent(false, false, false), ..base() },
            Scenario { name: "urgent-engine-3x", floods: urgent(true, true, false), ..base() },
            Scenario { name: "retries-2x", retries: 2.0, ..base() },
            Scenario { name: "restarts", restarts: true, ..base() },
            Scenario { name: "load-failures", load_failures: 0.2, ..base() },
            Scenario {
                name: "shift+background-3x",
                shift: true,
                floods: background(3.0),
                ..base()
            },
            Scenario {
                name: "restarts+load-failures",
                restarts: true,
                load_failures: 0.2,
                ..base()
            },
            Scenario { name: "shift+retries-2x", shift: true, retries: 2.0, ..base() },
        ]
    }

    /// Work beyond the steady demand, roughly in multiples of it.
    pub fn extra_work(&self) -> f64 {
        self.floods.iter().map(|flood| flood.factor).sum::<f64>() + self.retries
    }

    /// Arrivals of all classes.
    pub fn sources(&self, dep: &Deployment, cap: &Capacity, seed: u64) -> Vec<Source> {
        let mut sources = Vec::new();
        let window = (EVENT_AT, MEASURE_UNTIL);
        for (i, class) in dep.classes.iter().enumerate() {
            let service_rps = if class.engine { cap.engine_rps() } else { cap.plain_rps };
            let rate = class.share * service_rps;
            let seed = seed.wrapping_mul(1_000).wrapping_add(i as u64 * 10);
            if rate > 0.0 {
                sources.push(Source::new(i, rate, (FIRST_ARRIVAL, ARRIVALS_UNTIL), seed));
            }
            // A retry of a request that may run only once carries its id and joins it.
            if self.retries > 0.0 && rate > 0.0 && class.idempotent {
                let retries = Source::new(i, rate * self.retries, window, seed + 1);
                sources.push(retries.into_flood(true));
            }
        }
        for flood in &self.floods {
            let fits = |&i: &usize| {
                let class = &dep.classes[i];
                class.engine == flood.engine
                    && class.rank == flood.rank
                    && class.idempotent == flood.idempotent
            };
            let Some(i) = (0..dep.classes.len()).find(fits) else { continue };
            let rate = flood.factor * class_capacity(dep, cap, i);
            let seed = seed.wrapping_mul(1_000).wrapping_add(i as u64 * 10 + 2);
            let source = Source::new(i, rate, window, seed);
            sources.push(source.into_flood(flood.retry));
        }
        sources
    }
}

/// Requests a second of one class alone that its service can serve.
fn class_capacity(dep: &Deployment, cap: &Capacity, class: usize) -> f64 {
    let class = &dep.classes[class];
    match class.engine {
        true => cap.engine_rps(),
        false => (dep.instances * ServiceModel::CONCURRENCY) as f64 * 1e3 / class.work,
    }
}

/// Background work on the engines and on the plain service.
fn background(factor: f64) -> Vec<Flood> {
    let flood =
        |engine| Flood { engine, rank: Rank::Background, idempotent: true, factor, retry: false };
    vec![flood(true), flood(false)]
}
