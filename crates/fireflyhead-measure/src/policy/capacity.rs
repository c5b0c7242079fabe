//! Capacity of a deployment, by which demand and goodput are measured.
//!
//! The capacity of the engines is the smaller of their token capacity and the throughput
//! that the weight store allows. The latter assumes that the most popular adapters fill all
//! slots permanently and all others are loaded on demand: `loads/s / miss ratio`. A load
//! also serves the requests for the same adapter that arrive while the first one waits; that
//! wait is taken as the target of standard work (2 s), so that an adapter with the arrival
//! rate `r` needs `1 / (wait + 1/r)` loads a second.
//!
//! Token capacity is that of full batches, less the time for prompts.

use crate::policy::deployment::ADAPTERS;
use crate::policy::deployment::Deployment;
use crate::policy::engine::EngineModel;
use crate::policy::service::ServiceModel;

/// Wait of the first request of a cold adapter, during which others join it, in seconds.
const BATCHING_WAIT_SECS: f64 = 2.0;

/// Capacity of one deployment at one Zipf exponent.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Zipf exponent of the adapters' popularity.
    pub exponent: f64,
    /// Adapter slots of all engines.
    pub slots: usize,
    /// Mean tokens of one request in the steady mix.
    pub mean_tokens: f64,
    /// Requests a second that the engines can generate.
    pub token_rps: f64,
    /// Share of the requests whose adapter is not in the best static slot set.
    pub miss_ratio: f64,
    /// Requests a second that the weight store allows if each load serves one request.
    pub load_rps: f64,
    /// The same with the waiters batched per load.
    pub batched_load_rps: f64,
    /// Requests a second that the plain service can serve.
    pub plain_rps: f64,
    /// Requests that the plain service runs concurrently.
    pub plain_concurrency: usize,
}

impl Capacity {
    /// Capacity of the deployment's steady mix.
    pub fn new(dep: &Deployment, exponent: f64) -> Capacity {
        let weights = zipf_weights(exponent);
        let miss_ratio: f64 = weights[dep.slots()..].iter().sum();
        let mean_tokens = mean_work(dep, true);
        let prompt = EngineModel::PROMPT_TOKENS * EngineModel::PREFILL_MS_PER_TOKEN;
        let batch = EngineModel::MAX_BATCH as f64;
        let request_ms =
            prompt + mean_tokens * EngineModel::step_ms(EngineModel::MAX_BATCH) / batch;
        let plain_ms = mean_work(dep, false) / ServiceModel::CONCURRENCY as f64;
        Capacity {
            exponent,
            slots: dep.slots(),
            mean_tokens,
            token_rps: dep.workers as f64 * 1e3 / request_ms,
            miss_ratio,
            load_rps: dep.loads_per_second / miss_ratio,
            batched_load_rps: batched(&weights[dep.slots()..], dep.loads_per_second),
            plain_rps: dep.instances as f64 * 1e3 / plain_ms,
            plain_concurrency: dep.instances * ServiceModel::CONCURRENCY,
        }
    }

    /// Requests a second of the steady mix that the engines can serve.
    pub fn engine_rps(&self) -> f64 {
        self.token_rps.min(self.batched_load_rps)
    }

    /// Service time that the plain service can provide in a second, in milliseconds.
    pub fn plain_ms(&self) -> f64 {
        self.plain_concurrency as f64 * 1e3
    }

    /// Generated tokens a second at that rate.
    pub fn engine_tokens(&self) -> f64 {
        self.engine_rps() * self.mean_tokens
    }
}

/// Popularity of the adapters, the most popular first; sums to 1.
pub fn zipf_weights(exponent: f64) -> Vec<f64> {
    let raw: Vec<f64> = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter().map(|weight| weight / sum).collect()
}

/// Mean work of a request in the steady mix of one service.
///
/// Shares are shares of requests, because the weight store limits requests.
fn mean_work(dep: &Deployment, engine: bool) -> f64 {
    let classes = dep.classes.iter().filter(|class| class.engine == engine);
    let (work, share) = classes.fold((0.0, 0.0), |(work, share), class| {
        (work + class.share * class.work, share + class.share)
    });
    work / share
}

/// Rate at which the loads of the cold adapters reach `loads_per_second`, by bisection.
fn batched(cold: &[f64], loads_per_second: f64) -> f64 {
    let loads = |rate: f64| -> f64 {
        cold.iter().map(|weight| 1.0 / (BATCHING_WAIT_SECS + 1.0 / (rate * weight))).sum()
    };
    let (mut low, mut high) = (0.0, 1e6);
    for _ in 0..100 {
        let mid = f64::midpoint(low, high);
        if loads(mid) < loads_per_second { low = mid } else { high = mid }
    }
    low
}
