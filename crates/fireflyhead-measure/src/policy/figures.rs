//! Figures of a run, by rank and by class.
//!
//! Requests are counted by their first arrival in the window. Work and total goodput are counted
//! at the time at which the response is complete. The goodput of the steady demand counts the
//! requests that arrived in the window and started within the deadline of their class: by
//! completion, a rise of the latency would show as a loss although nothing is lost. Time to first token runs from the first arrival at an entry, so
//! that it includes the delay of a refused caller's retries. A request that is still
//! queued at the end of the run is `open`.

use std::time::Duration;

use fireflyhead_core::types::Rank;
use fireflyhead_core::types::Time;
use serde::Serialize;

use crate::policy::capacity::Capacity;
use crate::policy::deployment::Deployment;
use crate::policy::scenario::EVENT_AT;
use crate::policy::scenario::MEASURE_UNTIL;
use crate::policy::world::Request;
use crate::policy::world::State;
use crate::policy::world::World;
use crate::policy::world::secs;

/// Time after a popularity shift or restart by which service must be as before, in seconds.
pub const RECOVERY_SECS: f64 = 30.0;

/// Figures of one class, rank or service.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Figures {
    /// Requests in the window, synthetic retries and floods included.
    pub offered: usize,
    /// Requests of the steady demand in the window.
    pub fresh: usize,
    /// Share of the steady demand that was answered.
    pub fresh_answered: f64,
    /// Share of all requests that were answered.
    pub answered: f64,
    /// Share that was refused for good.
    pub refused: f64,
    /// Share still queued at the end.
    pub open: f64,
    /// Responses completed a second.
    pub goodput: f64,
    /// Requests of the steady demand a second that were answered and started within their
    /// deadline, counted by arrival.
    pub fresh_goodput: f64,
    /// The same from 30 s after the event.
    pub late_goodput: f64,
    /// Work completed a second: tokens, or milliseconds of service time.
    pub work: f64,
    /// Work offered a second, without retries: a row may ask for its floor by fresh requests only.
    pub offered_work: f64,
    /// Time to first token of the steady demand in milliseconds: p50, p95, p99.
    pub ttft_ms: [f64; 3],
    /// The same of all requests.
    pub all_ttft_ms: [f64; 3],
    /// Requests that waited for a load, as a share.
    pub stalled: f64,
    /// Mean wait of those, in milliseconds.
    pub stall_ms: f64,
}

impl Figures {
    fn of<'a>(dep: &Deployment, requests: impl Iterator<Item = &'a Request>) -> Figures {
        let span = MEASURE_UNTIL - EVENT_AT;
        let late = secs(EVENT_AT + RECOVERY_SECS);
        let (mut figures, mut ttft, mut fresh_ttft) = (Figures::default(), Vec::new(), Vec::new());
        let in_time = |req: &Request| {
            let deadline = Duration::from_millis(dep.classes[req.class].deadline_ms);
            req.first.is_some_and(|first| first.since(req.arrived) <= deadline)
        };
        let (mut answered, mut fresh_answered, mut refused, mut stalled) = (0, 0, 0, 0);
        let mut stall = Duration::ZERO;
        for req in requests {
            if req.state == State::Answered && World::counts(req.ended) {
                figures.goodput += 1.0 / span;
                figures.work += req.work / span;
            }
            if !World::counts(req.arrived) {
                continue;
            }
            figures.offered += 1;
            figures.fresh += usize::from(req.fresh);
            figures.offered_work += if req.retry { 0.0 } else { req.work / span };
            stalled += usize::from(req.stalled);
            stall += req.stall;
            match req.state {
                State::Answered => {
                    answered += 1;
                    fresh_answered += usize::from(req.fresh);
                    if req.fresh && in_time(req) {
                        figures.fresh_goodput += 1.0 / span;
                        if req.arrived >= late {
                            figures.late_goodput += 1.0 / (span - RECOVERY_SECS);
                        }
                    }
                }
                State::Refused(_) => refused += 1,
                State::Open => {}
            }
            if let Some(first) = req.first {
                let ms = first.since(req.arrived).as_secs_f64() * 1e3;
                ttft.push(ms);
                if req.fresh {
                    fresh_ttft.push(ms);
                }
            }
        }
        let share = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        let offered = figures.offered;
        Figures {
            answered: share(answered, offered),
            fresh_answered: share(fresh_answered, figures.fresh),
            refused: share(refused, offered),
            open: share(offered - answered - refused, offered),
            ttft_ms: percentiles(&mut fresh_ttft),
            all_ttft_ms: percentiles(&mut ttft),
            stalled: share(stalled, offered),
            stall_ms: stall.as_secs_f64() * 1e3 / stalled.max(1) as f64,
            ..figures
        }
    }
}

fn percentiles(values: &mut [f64]) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    [0.5, 0.95, 0.99].map(|q| {
        let at = (values.len() as f64 * q) as usize;
        values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
    })
}

/// Largest `loads - rate * time` over all windows of at least one second.
fn load_excess(orders: &[Time], rate: f64) -> f64 {
    let mut excess: f64 = 0.0;
    for (i, from) in orders.iter().enumerate() {
        for (n, to) in orders[i..].iter().enumerate() {
            let window = to.since(*from).as_secs_f64().max(1.0);
            excess = excess.max((n + 1) as f64 - rate * window);
        }
    }
    excess
}

/// Figures of one class.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub class: &'static str,
    /// Whether the engines do the work.
    pub engine: bool,
    /// Urgency.
    pub rank: Rank,
    /// Guaranteed share.
    pub floor: f64,
    /// Work completed, as a share of the work that all classes of the service completed.
    pub share: f64,
    /// Work completed divided by the smaller of the floor's part of the capacity and the work
    /// that the class asked for; 1 if the class has no floor.
    pub against_floor: f64,
    /// Figures.
    pub figures: Figures,
}

/// Figures of a whole run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct RunFigures {
    /// Figures by class.
    pub classes: Vec<ClassFigures>,
    /// Figures of all classes on the engines.
    pub engines: Figures,
    /// Figures of all classes on the plain service.
    pub plain: Figures,
    /// Mean batch over the engine steps of the window.
    pub mean_batch: f64,
    /// Loads a second in the window.
    pub loads_per_second: f64,
    /// Share of the loads that failed.
    pub failed_loads: f64,
    /// Largest number of loads above the rate in any window of at least one second.
    pub load_excess: f64,
    /// Largest number of loads in flight.
    pub max_loads_in_flight: usize,
    /// Broken invariants.
    pub violations: u64,
    /// Inputs processed by all schedulers.
    pub decisions: u64,
}

impl RunFigures {
    /// Figures of a finished run.
    pub fn new(dep: &Deployment, cap: &Capacity, world: &World) -> RunFigures {
        let of_service = |engine: bool| {
            let requests = world.requests.iter();
            Figures::of(dep, requests.filter(|req| dep.classes[req.class].engine == engine))
        };
        let (engines, plain) = (of_service(true), of_service(false));
        let classes = dep.classes.iter().enumerate().map(|(i, class)| {
            let figures = Figures::of(dep, world.requests.iter().filter(|req| req.class == i));
            let total = if class.engine { &engines } else { &plain };
            let share = figures.work / total.work.max(1e-9);
            let capacity = if class.engine { cap.engine_tokens() } else { cap.plain_ms() };
            let due = (class.floor * capacity).min(figures.offered_work);
            let against_floor = if due > 0.0 { figures.work / due } else { 1.0 };
            let (rank, floor, engine) = (class.rank, class.floor, class.engine);
            ClassFigures { class: class.name, engine, rank, floor, share, against_floor, figures }
        });
        let span = MEASURE_UNTIL - EVENT_AT;
        let counters = &world.counters;
        RunFigures {
            classes: classes.collect(),
            engines,
            plain,
            mean_batch: counters.batch_sum as f64 / counters.steps.max(1) as f64,
            loads_per_second: counters.loads as f64 / span,
            failed_loads: counters.failed_loads as f64 / counters.loads.max(1) as f64,
            load_excess: load_excess(&counters.load_orders, dep.loads_per_second),
            max_loads_in_flight: counters.max_loads_in_flight,
            violations: counters.violations,
            decisions: counters.decisions,
        }
    }

    /// Figures of the classes of one rank on the engines or on the plain service.
    pub fn rank(&self, engine: bool, rank: Rank) -> impl Iterator<Item = &ClassFigures> {
        self.classes.iter().filter(move |class| class.engine == engine && class.rank == rank)
    }
}
