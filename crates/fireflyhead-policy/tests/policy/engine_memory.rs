//! Requests of all nodes at one engine whose KV cache they would exceed together.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::message::AdmissionDecision;
use fireflyhead_policy::message::AdmissionRequest;
use fireflyhead_policy::message::ProgressEvent;
use fireflyhead_policy::message::ProgressReport;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::setup::adapter_job;
use crate::setup::ms;

/// The KV cache and the slots of an engine of the deployment with accounts.
const KV_TOKENS: u64 = 87_570;
const SLOTS: u32 = 24;
/// Largest request, in tokens.
const MAX_TOKENS: u32 = 16_000;
const OUTPUT_TOKENS: u32 = 172;
const NODES: u64 = 4;

/// Counts of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Tokens of the requests that ended.
    served_tokens: u64,
    /// Largest sum of the tokens of running requests.
    peak_tokens: u64,
    /// Requests with at least half of [`MAX_TOKENS`] that arrived and that ended, and all requests.
    large: (u64, u64),
    all: (u64, u64),
}

/// Simulates 20 s in which requests of random size arrive at several nodes, one each 40 ms.
/// `sized` says whether the nodes name the output tokens.
fn simulate(sized: bool, slots: u32, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engine = Name::from("engine-1");
    let nodes: Vec<Name> = (0..NODES).map(|n| Name::from(format!("node-{n}"))).collect();
    let mut admission = AdmissionController::default();
    admission.upsert_engine(&engine, slots, 1);
    admission.set_kv_capacity(&engine, KV_TOKENS);
    let mut sizes: Vec<u32> = Vec::new();
    // End, id and tokens of the running requests.
    let mut running: Vec<(Time, u64, u64)> = Vec::new();
    let mut outcome = Outcome::default();
    let tokens_of = |sizes: &[u32], id: u64| u64::from(sizes[id as usize] + OUTPUT_TOKENS);
    let is_large = |tokens: u64| u64::from(tokens >= u64::from(MAX_TOKENS / 2));
    for step in 0..2_000 {
        let now = ms(step * 10);
        let mut granted: Vec<u64> = Vec::new();
        let report = |admission: &mut AdmissionController, id: u64, event: ProgressEvent| {
            let report = ProgressReport { upstream: engine.clone(), event };
            admission.handle_progress(now, &nodes[(id % NODES) as usize], &report);
        };
        for (end, id, tokens) in std::mem::take(&mut running) {
            match end <= now {
                true => {
                    let job = fireflyhead_policy::dispatch::JobId(id);
                    report(&mut admission, id, ProgressEvent::Ended(job));
                    outcome.served_tokens += tokens;
                    outcome.large.1 += is_large(tokens);
                    outcome.all.1 += 1;
                }
                false => running.push((end, id, tokens)),
            }
        }
        if step % 4 == 0 {
            let id = sizes.len() as u64;
            let large = rng.random::<f64>() < 0.2;
            let range = if large { MAX_TOKENS / 2..MAX_TOKENS } else { 500..3_000 };
            sizes.push(rng.random_range(range));
            outcome.large.0 += is_large(tokens_of(&sizes, id));
            outcome.all.0 += 1;
            let job = adapter_job(id, now, "a1", sizes[id as usize]);
            let mut request = AdmissionRequest::new(now, &engine, &job);
            request.output_tokens = if sized { OUTPUT_TOKENS } else { 0 };
            let answer = admission.handle_request(now, &nodes[(id % NODES) as usize], &request);
            if answer.response.decision == AdmissionDecision::Granted {
                granted.push(id);
            }
        }
        for answer in admission.admit_waiting(now) {
            if answer.response.decision == AdmissionDecision::Granted {
                granted.push(answer.response.job.0);
            }
        }
        for id in granted {
            let job = fireflyhead_policy::dispatch::JobId(id);
            report(&mut admission, id, ProgressEvent::FirstOutput(job));
            let time = Duration::from_millis(rng.random_range(1_500..2_500));
            running.push((now + time, id, tokens_of(&sizes, id)));
        }
        let sum = running.iter().map(|(_, _, tokens)| tokens).sum();
        outcome.peak_tokens = outcome.peak_tokens.max(sum);
    }
    outcome
}

/// Guards against an engine that crashes because the requests of all nodes exceed its KV cache, and
/// against a bound that leaves the cache unused or starves large requests. The fixed policy runs as
/// many requests at once as fit in the worst case.
#[test]
fn running_requests_fit_into_the_kv_cache() {
    for seed in 1..=5 {
        let with = simulate(true, SLOTS, seed);
        let without = simulate(false, SLOTS, seed);
        let worst_case = KV_TOKENS as u32 / (MAX_TOKENS + OUTPUT_TOKENS);
        let fixed = simulate(false, worst_case, seed);
        println!("with: {with:?}\n  without: {without:?}\n  fixed: {fixed:?}");
        assert!(with.peak_tokens <= KV_TOKENS, "{with:?}");
        assert!(without.peak_tokens > KV_TOKENS, "the load doesn't exceed the cache: {without:?}");
        assert!(with.served_tokens as f64 >= 0.95 * fixed.served_tokens as f64, "{with:?}");
        let share = |(total, ended): (u64, u64)| ended as f64 / total as f64;
        assert!(share(with.large) >= 0.5 * share(with.all), "{with:?}");
    }
}
