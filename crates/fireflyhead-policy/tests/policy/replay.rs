//! Replays of whole loads, in which the policy crate dispatches requests to simulated engines.
//!
//! A simulated engine runs its requests in steps; a step processes up to one chunk of prompt tokens
//! and then generates one token for each request whose prompt is processed. The figures are those
//! of the users' deployments: 9.5 ms a step, 19 prompt tokens a ms, chunks of 2,048 tokens, 18
//! adapter slots. Times are in microseconds unless a name states another unit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::health::Failure;
use fireflyhead_policy::message::PlacedAdapter;
use fireflyhead_policy::message::Placement;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::setup::MODEL;
use crate::setup::TestNode;
use crate::setup::adapter_job;
use crate::setup::test_node;

const STEP_US: u64 = 9_500;
const PROMPT_TOKENS_PER_MS: u64 = 19;
const CHUNK_TOKENS: u64 = 2_048;
const ADAPTER_SLOTS: usize = 18;
const ADAPTER_LOAD_US: u64 = 250_000;
const OUTPUT_TOKENS: u64 = 90;
/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: u64 = 3;

/// Request that an engine runs.
struct RunningRequest {
    id: JobId,
    /// Prompt tokens that the engine has yet to process.
    pending_prompt_tokens: u64,
    generated_tokens: u64,
    /// Time of the newest event of the stream.
    last_event: Option<u64>,
    /// Time of the first event of the stream.
    first_event: Option<u64>,
    /// Longest time between two events.
    longest_pause: u64,
}

/// Simulated engine.
#[derive(Default)]
struct Engine {
    requests: VecDeque<RunningRequest>,
    /// End of the current step.
    busy_until: u64,
    /// Adapters, with the end of their load and their last use.
    adapters: HashMap<Name, (u64, u64)>,
    crashed: bool,
}

/// Counts of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests whose first event arrived within 1 s and whose pauses were at most 300 ms.
    on_time: usize,
    /// Finished requests that were not on time.
    late: usize,
    /// Requests that were rejected or lost in the crash of their engine.
    rejected: usize,
    /// Requests that neither finished nor were rejected 8 s after the end of the load.
    unfinished: usize,
    adapter_loads: usize,
    /// Finished requests with a pause over 300 ms.
    stalled: usize,
    /// Steps of all engines.
    steps: usize,
    /// Requests that took part in a step, summed over all steps.
    batched: usize,
}

impl Outcome {
    fn on_time_share(&self) -> f64 {
        let total = self.on_time + self.late + self.rejected + self.unfinished;
        self.on_time as f64 / total as f64
    }

    fn stalled_share(&self) -> f64 {
        self.stalled as f64 / (self.on_time + self.late) as f64
    }

    fn mean_batch_size(&self) -> f64 {
        self.batched as f64 / self.steps as f64
    }
}

/// Load and events of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    engines: usize,
    requests_per_s: u64,
    /// Seconds in which requests arrive.
    seconds: u64,
    /// Number of different adapters.
    adapters: usize,
    seed: u64,
    /// Second at which the popular adapters are no longer requested and others become popular.
    shift_at: Option<u64>,
    /// First second in which twice as many requests arrive, and the second at which this ends.
    burst: Option<(u64, u64)>,
    /// Second at which the first engine crashes.
    crash_at: Option<u64>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            engines: 6,
            requests_per_s: 30,
            seconds: 20,
            adapters: 300,
            seed: 1,
            shift_at: None,
            burst: None,
            crash_at: None,
        }
    }
}

/// Dispatch policy that a simulation uses: this crate's, or the usual baseline, which sends a
/// request at once to the engine that has its adapter, else to the one with the fewest requests,
/// which loads it in place of the least recently used adapter.
enum Policy {
    Dispatcher(Box<TestNode>),
    FifoLru {
        /// Requests that wait for the load of their adapter: end of the load, request, engine.
        loading: Vec<(u64, JobId, usize)>,
    },
}

impl Policy {
    fn dispatcher(scenario: Scenario) -> Policy {
        Policy::Dispatcher(Box::new(test_node(scenario.engines, 0)))
    }

    fn fifo_lru() -> Policy {
        Policy::FifoLru { loading: Vec::new() }
    }

    /// Submits a request and returns those that are sent now, with their engines.
    fn submit(
        &mut self,
        now: u64,
        (id, adapter, prompt): (JobId, &str, u64),
        cluster: &mut [Engine],
        outcome: &mut Outcome,
    ) -> Vec<(JobId, usize)> {
        match self {
            Policy::Dispatcher(node) => {
                let time = Time::from_micros(now);
                let decision = node.submit(time, adapter_job(id.0, time, adapter, prompt as u32));
                sent_requests(decision.map(|decision| (id, decision)), outcome)
            }
            Policy::FifoLru { loading } => {
                let adapter = Name::from(adapter);
                let running_engines =
                    || (0..cluster.len()).filter(|index| !cluster[*index].crashed);
                let request_count = |index: &usize| cluster[*index].requests.len();
                let with_adapter = running_engines()
                    .filter(|index| cluster[*index].adapters.contains_key(&adapter));
                let index = with_adapter
                    .min_by_key(request_count)
                    .or_else(|| running_engines().min_by_key(request_count));
                let index = index.expect("an engine that has not crashed");
                let ready = match cluster[index].adapters.get_mut(&adapter) {
                    Some((ready, last_used)) => {
                        *last_used = now;
                        *ready
                    }
                    None => {
                        let adapters = &mut cluster[index].adapters;
                        let oldest = adapters.iter().min_by_key(|(_, (_, last_used))| *last_used);
                        let oldest = oldest.map(|(name, _)| name.clone());
                        if let Some(oldest) = oldest.filter(|_| adapters.len() >= ADAPTER_SLOTS) {
                            adapters.remove(&oldest);
                        }
                        outcome.adapter_loads += 1;
                        adapters.insert(adapter, (now + ADAPTER_LOAD_US, now));
                        now + ADAPTER_LOAD_US
                    }
                };
                loading.push((ready, id, index));
                Vec::new()
            }
        }
    }

    /// Returns the waiting requests that are sent now, with their engines.
    fn dispatch_waiting(
        &mut self,
        now: u64,
        cluster: &mut [Engine],
        outcome: &mut Outcome,
    ) -> Vec<(JobId, usize)> {
        match self {
            Policy::Dispatcher(node) => {
                let decided = node.dispatch_waiting(Time::from_micros(now));
                load_requested_adapters(node, cluster, now, outcome);
                sent_requests(decided, outcome)
            }
            Policy::FifoLru { loading } => {
                let (ready, rest) = std::mem::take(loading)
                    .into_iter()
                    .partition::<Vec<_>, _>(|(ready, ..)| *ready <= now);
                *loading = rest;
                ready.into_iter().map(|(_, id, index)| (id, index)).collect()
            }
        }
    }

    /// Returns the node of this crate's policy; `None` for the baseline.
    fn node(&mut self) -> Option<&mut TestNode> {
        match self {
            Policy::Dispatcher(node) => Some(node),
            Policy::FifoLru { .. } => None,
        }
    }
}

/// Returns the requests that are sent, with their engines, and counts those that are rejected.
fn sent_requests(
    decided: impl IntoIterator<Item = (JobId, DispatchDecision)>,
    outcome: &mut Outcome,
) -> Vec<(JobId, usize)> {
    let sent = decided.into_iter().filter_map(|(id, decision)| match decision {
        DispatchDecision::Send { upstream, .. } => {
            let index = upstream.id.as_str()["engine-".len()..].parse().expect("a number");
            Some((id, index))
        }
        DispatchDecision::Reject { .. } => {
            outcome.rejected += 1;
            None
        }
    });
    sent.collect()
}

/// Simulates a steady load with this crate's policy.
fn simulate_steady_load(
    engines: usize,
    requests_per_s: u64,
    seconds: u64,
    adapters: usize,
    seed: u64,
) -> Outcome {
    let scenario =
        Scenario { engines, requests_per_s, seconds, adapters, seed, ..Scenario::default() };
    simulate(scenario, Policy::dispatcher(scenario))
}

/// Simulates a load whose requests choose their adapters by a Zipf distribution.
fn simulate(scenario: Scenario, mut policy: Policy) -> Outcome {
    let Scenario { engines, requests_per_s, seconds, adapters, seed, shift_at, burst, crash_at } =
        scenario;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let weights: Vec<f64> = (1..=adapters).map(|rank| (rank as f64).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let mut outcome = Outcome::default();
    let mut arrived: HashMap<JobId, u64> = HashMap::new();
    let mut prompt_tokens: HashMap<JobId, u64> = HashMap::new();
    let mut next_arrival = 0;
    let mut id = 0;
    let end = seconds * 1_000_000;
    let mut now = 0;
    while now < end + 8_000_000 {
        now += 1_000;
        let mut sends: Vec<(JobId, usize)> = Vec::new();
        let second = now / 1_000_000;
        let rate = match burst {
            Some((from, to)) if (from..to).contains(&second) => requests_per_s * 2,
            Some(_) | None => requests_per_s,
        };
        let shift = if shift_at.is_some_and(|at| second >= at) { adapters / 3 } else { 0 };
        if crash_at.is_some_and(|at| at * 1_000_000 == now) {
            crash_engine(&mut cluster[0], now, &mut policy, &mut outcome);
        }
        while next_arrival <= now && next_arrival < end {
            next_arrival += rng.random_range(0..2_000_000 / rate);
            let mut point = rng.random::<f64>() * total;
            let rank = weights.iter().position(|weight| {
                point -= weight;
                point <= 0.0
            });
            let adapter = format!("a{}", (rank.unwrap_or(0) + shift) % adapters);
            // Two uniform numbers approximate a log-normal distribution of 200 to 4,000 tokens
            // closely enough.
            let size = 300.0 * (rng.random::<f64>() * 1.6 + rng.random::<f64>()).exp();
            let prompt = (size as u64).min(4_000);
            id += 1;
            arrived.insert(JobId(id), now);
            prompt_tokens.insert(JobId(id), prompt);
            let request = (JobId(id), adapter.as_str(), prompt);
            sends.extend(policy.submit(now, request, &mut cluster, &mut outcome));
        }
        if now % 10_000 == 0 {
            sends.extend(policy.dispatch_waiting(now, &mut cluster, &mut outcome));
        }
        for (id, index) in sends {
            let pending_prompt_tokens = prompt_tokens[&id];
            let request = RunningRequest {
                id,
                pending_prompt_tokens,
                generated_tokens: 0,
                last_event: None,
                first_event: None,
                longest_pause: 0,
            };
            match cluster[index].crashed {
                true => outcome.rejected += 1,
                false => cluster[index].requests.push_back(request),
            }
        }
        for (index, engine) in cluster.iter_mut().enumerate() {
            let name = Name::from(format!("engine-{index}"));
            run_engine_step(&name, engine, now, &mut policy, &arrived, &mut outcome);
        }
    }
    outcome.unfinished = match &mut policy {
        Policy::Dispatcher(node) => node.waiting() + node.in_flight(),
        Policy::FifoLru { loading } => {
            loading.len() + cluster.iter().map(|engine| engine.requests.len()).sum::<usize>()
        }
    };
    outcome
}

/// Crashes an engine; its requests are lost and count as rejected.
fn crash_engine(engine: &mut Engine, now: u64, policy: &mut Policy, outcome: &mut Outcome) {
    engine.crashed = true;
    outcome.rejected += engine.requests.len();
    for request in std::mem::take(&mut engine.requests) {
        if let Some(node) = policy.node() {
            let broken = SendOutcome::Failed(Failure::Broken);
            node.record_outcome(Time::from_micros(now), request.id, broken);
        }
    }
    if let Some(node) = policy.node() {
        node.remove_upstream(&Name::from("engine-0"));
        node.admission.retain_engines(|upstream| upstream.as_str() != "engine-0");
    }
}

/// Loads the adapters that the node requests, in place of the least recently used ones, and reports
/// the placements of all engines to the node.
fn load_requested_adapters(
    node: &mut TestNode,
    cluster: &mut [Engine],
    now: u64,
    outcome: &mut Outcome,
) {
    let time = Time::from_micros(now);
    for request in node.due_adapter_requests(time, &Name::from("node-1")) {
        let index: usize = request.upstream.as_str()["engine-".len()..].parse().expect("a number");
        let usage = node.adapter_usage(time, request.upstream.as_str());
        let engine = &mut cluster[index];
        if engine.adapters.contains_key(&request.adapter) {
            continue;
        }
        if engine.adapters.len() >= ADAPTER_SLOTS {
            let victim = engine
                .adapters
                .iter()
                .filter(|(name, _)| !usage.contains_key(*name))
                .min_by_key(|(_, (_, last_used))| *last_used)
                .map(|(name, _)| name.clone());
            match victim {
                Some(victim) => engine.adapters.remove(&victim),
                None => continue,
            };
        }
        outcome.adapter_loads += 1;
        engine.adapters.insert(request.adapter.clone(), (now + ADAPTER_LOAD_US, now));
    }
    for (index, engine) in cluster.iter_mut().enumerate() {
        let upstream = Name::from(format!("engine-{index}"));
        let usage = node.adapter_usage(time, upstream.as_str());
        for (name, (_, last_used)) in &mut engine.adapters {
            if usage.contains_key(name) {
                *last_used = now;
            }
        }
        let adapters = engine
            .adapters
            .iter()
            .map(|(name, (ready, _))| PlacedAdapter {
                adapter: name.clone(),
                version: 1,
                ready: *ready <= now,
            })
            .collect();
        let model = Name::from(MODEL);
        node.apply_placement(&Placement {
            upstream,
            model,
            incarnation: 1,
            fencing_token: 1,
            holder_active: true,
            adapters,
        });
    }
}

/// Runs the next step of an engine unless it is idle or still runs the step before.
fn run_engine_step(
    engine_name: &Name,
    engine: &mut Engine,
    now: u64,
    policy: &mut Policy,
    arrived: &HashMap<JobId, u64>,
    outcome: &mut Outcome,
) {
    if engine.busy_until > now || engine.requests.is_empty() {
        return;
    }
    outcome.steps += 1;
    outcome.batched += engine.requests.len();
    let mut tokens_left = CHUNK_TOKENS;
    for request in &mut engine.requests {
        let processed = request.pending_prompt_tokens.min(tokens_left);
        request.pending_prompt_tokens -= processed;
        tokens_left -= processed;
    }
    let end = now + STEP_US + (CHUNK_TOKENS - tokens_left) * 1_000 / PROMPT_TOKENS_PER_MS;
    engine.busy_until = end;
    let time = Time::from_micros(end);
    for request in engine.requests.iter_mut().filter(|request| request.pending_prompt_tokens == 0) {
        request.generated_tokens += 1;
        if request.generated_tokens % TOKENS_PER_EVENT == 0 {
            if request.first_event.is_none() {
                request.first_event = Some(end);
                if let Some(node) = policy.node() {
                    node.record_first_output(time, request.id);
                }
            }
            if let Some(last) = request.last_event {
                request.longest_pause = request.longest_pause.max(end - last);
            }
            request.last_event = Some(end);
        }
    }
    let (done, running): (VecDeque<RunningRequest>, VecDeque<RunningRequest>) =
        std::mem::take(&mut engine.requests)
            .into_iter()
            .partition(|request| request.generated_tokens >= OUTPUT_TOKENS);
    engine.requests = running;
    for request in done {
        let first = request.first_event.unwrap_or(end) - arrived[&request.id];
        let on_time = first <= 1_000_000 && request.longest_pause <= 300_000;
        outcome.stalled += usize::from(request.longest_pause > 300_000);
        match on_time {
            true => outcome.on_time += 1,
            false => outcome.late += 1,
        }
        let permille = u32::try_from(request.longest_pause / 300).unwrap_or(u32::MAX);
        if let Some(node) = policy.node() {
            node.record_pause(time, engine_name, permille);
            node.record_outcome(time, request.id, SendOutcome::Served);
        }
    }
}

/// Guards against late responses because several prompts reach one engine at the same time while
/// others are idle. The target for days without overload is 95 in 100 on time.
#[test]
fn a_steady_load_is_served_on_time() {
    let outcome = simulate_steady_load(6, 36, 20, 300, 1);
    let total = outcome.on_time + outcome.late + outcome.rejected + outcome.unfinished;
    let share = outcome.on_time as f64 / total as f64;
    assert!(share >= 0.95, "on time: {share:.3}, {outcome:?}");
    assert_eq!(outcome.rejected + outcome.unfinished, 0, "{outcome:?}");
}

/// Guards against a collapse of the goodput at twice the engines' capacity: when requests were
/// served oldest first, not one was on time. The target is 0.8 of the half that the engines can
/// serve.
#[test]
fn an_overload_does_not_make_all_requests_late() {
    let outcome = simulate_steady_load(2, 60, 15, 60, 2);
    let total = outcome.on_time + outcome.late + outcome.rejected;
    assert_eq!(outcome.unfinished, 0, "{outcome:?}");
    assert!(outcome.on_time as f64 >= 0.4 * total as f64, "{outcome:?}");
}

/// Guards against rare adapters that are loaded at several engines: the number of loads must stay
/// near the number of different adapters that are requested.
#[test]
fn rare_adapters_are_loaded_once() {
    let outcome = simulate_steady_load(6, 30, 20, 2_000, 3);
    // About 150 of the 2,000 adapters are requested; popular ones have replicas.
    assert!(outcome.adapter_loads < 250, "{outcome:?}");
    assert_eq!(outcome.rejected, 0, "{outcome:?}");
}

/// Simulates a load with this crate's policy and with the baseline.
fn compare_with_baseline(scenario: Scenario) -> (Outcome, Outcome) {
    (simulate(scenario, Policy::dispatcher(scenario)), simulate(scenario, Policy::fifo_lru()))
}

/// Guards against streams that stall while adapters are loaded after a popularity shift, in which
/// the third of the adapters that was requested most is no longer requested. Compared with FIFO
/// dispatch and LRU eviction, at most half as many streams may stall and no fewer requests may be
/// on time; 9 in 10 must be on time.
#[test]
fn a_popularity_shift_stalls_fewer_streams_than_fifo_and_lru() {
    let scenario = Scenario { requests_per_s: 40, shift_at: Some(8), ..Scenario::default() };
    let (dispatcher, baseline) = compare_with_baseline(scenario);
    let figures = format!("dispatcher: {dispatcher:?}, baseline: {baseline:?}");
    assert!(dispatcher.stalled_share() <= 0.5 * baseline.stalled_share(), "{figures}");
    assert!(dispatcher.on_time_share() >= baseline.on_time_share(), "{figures}");
    assert!(dispatcher.on_time_share() >= 0.9, "{figures}");
}

/// Guards against late and stalled streams when the demand doubles at the same time as other
/// adapters become popular.
#[test]
fn a_burst_during_a_shift_is_served_better_than_with_fifo_and_lru() {
    let scenario = Scenario { shift_at: Some(6), burst: Some((6, 12)), ..Scenario::default() };
    let (dispatcher, baseline) = compare_with_baseline(scenario);
    let figures = format!("dispatcher: {dispatcher:?}, baseline: {baseline:?}");
    assert!(dispatcher.on_time_share() >= 1.1 * baseline.on_time_share(), "{figures}");
    assert!(dispatcher.stalled_share() <= 0.5 * baseline.stalled_share(), "{figures}");
}

/// Guards against overloaded engines when another one crashes during a burst: requests must wait
/// instead of sharing steps, so that batches are no larger than with FIFO and LRU.
#[test]
fn a_crash_during_a_burst_is_served_better_than_with_fifo_and_lru() {
    let scenario = Scenario { burst: Some((6, 12)), crash_at: Some(7), ..Scenario::default() };
    let (dispatcher, baseline) = compare_with_baseline(scenario);
    let figures = format!("dispatcher: {dispatcher:?}, baseline: {baseline:?}");
    assert!(dispatcher.on_time_share() >= 1.1 * baseline.on_time_share(), "{figures}");
    assert!(dispatcher.mean_batch_size() <= baseline.mean_batch_size(), "{figures}");
}

/// Guards against decisions whose time grows with the number of waiting requests. The target is a
/// mean of under 10 us for each of 10,000 decisions while 2,000 requests wait; the bound leaves a
/// wide margin for busy machines.
#[test]
fn a_dispatch_pass_stays_fast_with_2000_waiting_requests() {
    let mut node = test_node(18, 0);
    for n in 0..2_000 {
        let time = Time::from_micros(n);
        node.submit(time, adapter_job(n, time, &format!("a{n}"), 500));
    }
    let started = std::time::Instant::now();
    for n in 0..200 {
        node.dispatch_waiting(Time::from_micros(2_000 + n));
    }
    let pass = started.elapsed() / 200;
    assert!(pass < Duration::from_millis(60), "a dispatch pass takes {pass:?}");
}
