//! Replays of whole loads against the decisions, with a small model of the engines.
//!
//! An engine of the model runs its requests in steps; a step reads up to one chunk of a
//! prompt and then gives each running request one token. Figures are those of the users'
//! deployments: 9.5 ms a step, 19 prompt tokens a ms, chunks of 2,048 tokens, 18 slots.

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
const TOKENS_PER_MS: u64 = 19;
const CHUNK: u64 = 2_048;
const SLOTS: usize = 18;
const LOAD_US: u64 = 250_000;
const OUTPUT_TOKENS: u64 = 90;
/// Tokens of one event of a stream.
const STRIDE: u64 = 3;

struct Run {
    id: JobId,
    unread: u64,
    made: u64,
    last_event: Option<u64>,
    first: Option<u64>,
    pause: u64,
}

#[derive(Default)]
struct Engine {
    runs: VecDeque<Run>,
    busy_until: u64,
    held: HashMap<Name, (u64, u64)>,
    lost: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    rejected: usize,
    unfinished: usize,
    loads: usize,
    /// Answers with a pause over 300 ms.
    stalls: usize,
    /// Steps of all engines and the requests that they served together.
    steps: usize,
    batched: usize,
}

impl Outcome {
    fn share_on_time(&self) -> f64 {
        let total = self.on_time + self.late + self.rejected + self.unfinished;
        self.on_time as f64 / total as f64
    }

    fn share_of_stalls(&self) -> f64 {
        self.stalls as f64 / (self.on_time + self.late) as f64
    }

    fn mean_batch(&self) -> f64 {
        self.batched as f64 / self.steps as f64
    }
}

/// Load of a run.
#[derive(Clone, Copy)]
struct Scenario {
    engines: usize,
    per_s: u64,
    seconds: u64,
    adapters: usize,
    seed: u64,
    /// Second at which the popular adapters fall silent and others rise.
    shift_at: Option<u64>,
    /// Seconds within which twice as many requests come.
    burst: Option<(u64, u64)>,
    /// Second at which the first engine is lost.
    lost_at: Option<u64>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            engines: 6,
            per_s: 30,
            seconds: 20,
            adapters: 300,
            seed: 1,
            shift_at: None,
            burst: None,
            lost_at: None,
        }
    }
}

/// What decides on requests: the product, or the usual baseline that sends a request at once to
/// the engine that holds its adapter, else to the one with the fewest requests, which loads it
/// in place of the adapter used least lately.
enum Policy {
    Product(Box<TestNode>),
    FifoLru {
        /// Requests whose adapter is loaded: time, request, engine.
        loading: Vec<(u64, JobId, usize)>,
    },
}

impl Policy {
    fn product(scenario: Scenario) -> Policy {
        Policy::Product(Box::new(test_node(scenario.engines, 0)))
    }

    fn fifo_lru() -> Policy {
        Policy::FifoLru { loading: Vec::new() }
    }

    /// Takes a request; returns those that are sent now, with their engines.
    fn submit(
        &mut self,
        now: u64,
        (id, adapter, prompt): (JobId, &str, u64),
        world: &mut [Engine],
        outcome: &mut Outcome,
    ) -> Vec<(JobId, usize)> {
        match self {
            Policy::Product(node) => {
                let time = Time::from_micros(now);
                let decision = node.submit(time, adapter_job(id.0, time, adapter, prompt as u32));
                sent(decision.map(|decision| (id, decision)), outcome)
            }
            Policy::FifoLru { loading } => {
                let adapter = Name::from(adapter);
                let live = || (0..world.len()).filter(|at| !world[*at].lost);
                let least = |at: &usize| world[*at].runs.len();
                let holder = live().filter(|at| world[*at].held.contains_key(&adapter));
                let at = holder.min_by_key(least).or_else(|| live().min_by_key(least));
                let at = at.expect("an engine is left");
                let ready = match world[at].held.get_mut(&adapter) {
                    Some((ready, used)) => {
                        *used = now;
                        *ready
                    }
                    None => {
                        let held = &mut world[at].held;
                        let oldest = held.iter().min_by_key(|(_, (_, used))| *used);
                        let oldest = oldest.map(|(name, _)| name.clone());
                        if let Some(oldest) = oldest.filter(|_| held.len() >= SLOTS) {
                            held.remove(&oldest);
                        }
                        outcome.loads += 1;
                        held.insert(adapter, (now + LOAD_US, now));
                        now + LOAD_US
                    }
                };
                loading.push((ready, id, at));
                Vec::new()
            }
        }
    }

    /// Requests that can be sent now, with their engines.
    fn dispatch_waiting(
        &mut self,
        now: u64,
        world: &mut [Engine],
        outcome: &mut Outcome,
    ) -> Vec<(JobId, usize)> {
        match self {
            Policy::Product(node) => {
                let decided = node.dispatch_waiting(Time::from_micros(now));
                load(node, world, now, outcome);
                sent(decided, outcome)
            }
            Policy::FifoLru { loading } => {
                let (ready, rest) = std::mem::take(loading)
                    .into_iter()
                    .partition::<Vec<_>, _>(|(ready, ..)| *ready <= now);
                *loading = rest;
                ready.into_iter().map(|(_, id, at)| (id, at)).collect()
            }
        }
    }

    fn node(&mut self) -> Option<&mut TestNode> {
        match self {
            Policy::Product(node) => Some(node),
            Policy::FifoLru { .. } => None,
        }
    }
}

/// Requests that were sent, with their engines; rejected ones are counted.
fn sent(
    decided: impl IntoIterator<Item = (JobId, DispatchDecision)>,
    outcome: &mut Outcome,
) -> Vec<(JobId, usize)> {
    let sent = decided.into_iter().filter_map(|(id, decision)| match decision {
        DispatchDecision::Send { upstream, .. } => {
            let at = upstream.id.as_str()["engine-".len()..].parse().expect("a number");
            Some((id, at))
        }
        DispatchDecision::Reject { .. } => {
            outcome.rejected += 1;
            None
        }
    });
    sent.collect()
}

fn play(engines: usize, per_s: u64, seconds: u64, adapters: usize, seed: u64) -> Outcome {
    let scenario = Scenario { engines, per_s, seconds, adapters, seed, ..Scenario::default() };
    play_with(scenario, Policy::product(scenario))
}

/// Plays requests with adapters by a Zipf law.
fn play_with(scenario: Scenario, mut policy: Policy) -> Outcome {
    let Scenario { engines, per_s, seconds, adapters, seed, shift_at, burst, lost_at } = scenario;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let weights: Vec<f64> = (1..=adapters).map(|rank| (rank as f64).powf(-1.2)).collect();
    let total: f64 = weights.iter().sum();
    let mut outcome = Outcome::default();
    let mut arrived: HashMap<JobId, u64> = HashMap::new();
    let mut prompts: HashMap<JobId, u64> = HashMap::new();
    let mut next_arrival = 0;
    let mut id = 0;
    let end = seconds * 1_000_000;
    let mut now = 0;
    while now < end + 8_000_000 {
        now += 1_000;
        let mut sends: Vec<(JobId, usize)> = Vec::new();
        let second = now / 1_000_000;
        let rate = match burst {
            Some((from, to)) if (from..to).contains(&second) => per_s * 2,
            Some(_) | None => per_s,
        };
        let shift = if shift_at.is_some_and(|at| second >= at) { adapters / 3 } else { 0 };
        if lost_at.is_some_and(|at| at * 1_000_000 == now) {
            lose(&mut world[0], now, &mut policy, &mut outcome);
        }
        while next_arrival <= now && next_arrival < end {
            next_arrival += rng.random_range(0..2_000_000 / rate);
            let mut point = rng.random::<f64>() * total;
            let rank = weights.iter().position(|weight| {
                point -= weight;
                point <= 0.0
            });
            let adapter = format!("a{}", (rank.unwrap_or(0) + shift) % adapters);
            // Log-normal by two uniform numbers is close enough for sizes from 200 to 4,000.
            let size = 300.0 * (rng.random::<f64>() * 1.6 + rng.random::<f64>()).exp();
            let prompt = (size as u64).min(4_000);
            id += 1;
            arrived.insert(JobId(id), now);
            prompts.insert(JobId(id), prompt);
            let request = (JobId(id), adapter.as_str(), prompt);
            sends.extend(policy.submit(now, request, &mut world, &mut outcome));
        }
        if now % 10_000 == 0 {
            sends.extend(policy.dispatch_waiting(now, &mut world, &mut outcome));
        }
        for (id, at) in sends {
            let unread = prompts[&id];
            let run = Run { id, unread, made: 0, last_event: None, first: None, pause: 0 };
            match world[at].lost {
                true => outcome.rejected += 1,
                false => world[at].runs.push_back(run),
            }
        }
        for (at, engine) in world.iter_mut().enumerate() {
            let name = Name::from(format!("engine-{at}"));
            step(&name, engine, now, &mut policy, &arrived, &mut outcome);
        }
    }
    outcome.unfinished = match &mut policy {
        Policy::Product(node) => node.waiting() + node.in_flight(),
        Policy::FifoLru { loading } => {
            loading.len() + world.iter().map(|engine| engine.runs.len()).sum::<usize>()
        }
    };
    outcome
}

/// An engine crashes; its requests are lost.
fn lose(engine: &mut Engine, now: u64, policy: &mut Policy, outcome: &mut Outcome) {
    engine.lost = true;
    outcome.rejected += engine.runs.len();
    for run in std::mem::take(&mut engine.runs) {
        if let Some(node) = policy.node() {
            let broken = SendOutcome::Failed(Failure::Broken);
            node.record_outcome(Time::from_micros(now), run.id, broken);
        }
    }
    if let Some(node) = policy.node() {
        node.remove_upstream(&Name::from("engine-0"));
        node.admission.retain_engines(|upstream| upstream.as_str() != "engine-0");
    }
}

/// Loads what the node wants, in place of the adapter that was used least lately.
fn load(node: &mut TestNode, world: &mut [Engine], now: u64, outcome: &mut Outcome) {
    let time = Time::from_micros(now);
    for want in node.due_adapter_requests(time, &Name::from("node-1")) {
        let at: usize = want.upstream.as_str()["engine-".len()..].parse().expect("a number");
        let usage = node.adapter_usage(time, want.upstream.as_str());
        let engine = &mut world[at];
        if engine.held.contains_key(&want.adapter) {
            continue;
        }
        if engine.held.len() >= SLOTS {
            let victim = engine
                .held
                .iter()
                .filter(|(name, _)| !usage.contains_key(*name))
                .min_by_key(|(_, (_, used))| *used)
                .map(|(name, _)| name.clone());
            match victim {
                Some(victim) => engine.held.remove(&victim),
                None => continue,
            };
        }
        outcome.loads += 1;
        engine.held.insert(want.adapter.clone(), (now + LOAD_US, now));
    }
    for (at, engine) in world.iter_mut().enumerate() {
        let upstream = Name::from(format!("engine-{at}"));
        let usage = node.adapter_usage(time, upstream.as_str());
        for (name, (_, used)) in &mut engine.held {
            if usage.contains_key(name) {
                *used = now;
            }
        }
        let adapters = engine
            .held
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

/// One step of an engine, if the one before has ended.
fn step(
    engine_name: &Name,
    engine: &mut Engine,
    now: u64,
    policy: &mut Policy,
    arrived: &HashMap<JobId, u64>,
    outcome: &mut Outcome,
) {
    if engine.busy_until > now || engine.runs.is_empty() {
        return;
    }
    outcome.steps += 1;
    outcome.batched += engine.runs.len();
    let mut left = CHUNK;
    for run in &mut engine.runs {
        let read = run.unread.min(left);
        run.unread -= read;
        left -= read;
    }
    let end = now + STEP_US + (CHUNK - left) * 1_000 / TOKENS_PER_MS;
    engine.busy_until = end;
    let time = Time::from_micros(end);
    for run in engine.runs.iter_mut().filter(|run| run.unread == 0) {
        run.made += 1;
        if run.made % STRIDE == 0 {
            if run.first.is_none() {
                run.first = Some(end);
                if let Some(node) = policy.node() {
                    node.record_first_output(time, run.id);
                }
            }
            if let Some(last) = run.last_event {
                run.pause = run.pause.max(end - last);
            }
            run.last_event = Some(end);
        }
    }
    let (done, running): (VecDeque<Run>, VecDeque<Run>) =
        std::mem::take(&mut engine.runs).into_iter().partition(|run| run.made >= OUTPUT_TOKENS);
    engine.runs = running;
    for run in done {
        let first = run.first.unwrap_or(end) - arrived[&run.id];
        let on_time = first <= 1_000_000 && run.pause <= 300_000;
        outcome.stalls += usize::from(run.pause > 300_000);
        match on_time {
            true => outcome.on_time += 1,
            false => outcome.late += 1,
        }
        let permille = u32::try_from(run.pause / 300).unwrap_or(u32::MAX);
        if let Some(node) = policy.node() {
            node.record_pause(time, engine_name, permille);
            node.record_outcome(time, run.id, SendOutcome::Served);
        }
    }
}

/// Guards against prompts that are bunched at single engines: the target for days without
/// overload is 95 in 100 on time.
#[test]
fn a_steady_load_is_served_on_time() {
    let outcome = play(6, 36, 20, 300, 1);
    let total = outcome.on_time + outcome.late + outcome.rejected + outcome.unfinished;
    let share = outcome.on_time as f64 / total as f64;
    assert!(share >= 0.95, "on time: {share:.3}, {outcome:?}");
    assert_eq!(outcome.rejected + outcome.unfinished, 0, "{outcome:?}");
}

/// Guards against a collapse when twice the engines' capacity arrives: served oldest first, not
/// one request was on time. The target is 0.8 of the half that the engines can serve.
#[test]
fn an_overload_does_not_collapse() {
    let outcome = play(2, 60, 15, 60, 2);
    let total = outcome.on_time + outcome.late + outcome.rejected;
    assert_eq!(outcome.unfinished, 0, "{outcome:?}");
    assert!(outcome.on_time as f64 >= 0.4 * total as f64, "{outcome:?}");
}

/// Guards against loading one rare adapter at several engines: loads stay near the number of
/// different adapters.
#[test]
fn rare_adapters_are_loaded_once() {
    let outcome = play(6, 30, 20, 2_000, 3);
    // Some 150 of the 2,000 adapters are asked for; popular ones have replicas.
    assert!(outcome.loads < 250, "{outcome:?}");
    assert_eq!(outcome.rejected, 0, "{outcome:?}");
}

/// Plays a load on the product and on the baseline.
fn beside_baseline(scenario: Scenario) -> (Outcome, Outcome) {
    (play_with(scenario, Policy::product(scenario)), play_with(scenario, Policy::fifo_lru()))
}

/// Replays a popularity shift: the third of the adapters that was asked for most falls silent.
/// Fewer streams stall than with FIFO and LRU, and more are on time.
#[test]
fn a_popularity_shift_stalls_fewer_streams_than_fifo_and_lru() {
    let scenario = Scenario { per_s: 40, shift_at: Some(8), ..Scenario::default() };
    let (product, baseline) = beside_baseline(scenario);
    let figures = format!("{product:?} beside {baseline:?}");
    assert!(product.share_of_stalls() <= 0.5 * baseline.share_of_stalls(), "{figures}");
    assert!(product.share_on_time() >= baseline.share_on_time(), "{figures}");
    assert!(product.share_on_time() >= 0.9, "{figures}");
}

/// Replays two events at once: demand doubles while other adapters become popular.
#[test]
fn a_burst_during_a_shift_is_served_better_than_with_fifo_and_lru() {
    let scenario = Scenario { shift_at: Some(6), burst: Some((6, 12)), ..Scenario::default() };
    let (product, baseline) = beside_baseline(scenario);
    let figures = format!("{product:?} beside {baseline:?}");
    assert!(product.share_on_time() >= 1.1 * baseline.share_on_time(), "{figures}");
    assert!(product.share_of_stalls() <= 0.5 * baseline.share_of_stalls(), "{figures}");
}

/// Replays two events at once: an engine crashes during a burst. Batches stay no larger than with
/// FIFO and LRU, because requests wait instead of sharing steps.
#[test]
fn a_crash_during_a_burst_is_served_better_than_with_fifo_and_lru() {
    let scenario = Scenario { burst: Some((6, 12)), lost_at: Some(7), ..Scenario::default() };
    let (product, baseline) = beside_baseline(scenario);
    let figures = format!("{product:?} beside {baseline:?}");
    assert!(product.share_on_time() >= 1.1 * baseline.share_on_time(), "{figures}");
    assert!(product.mean_batch() <= baseline.mean_batch(), "{figures}");
}

/// Guards against a decision that gets slow in a flood: 10,000 decisions with 2,000 waiting
/// requests take under 10 us each on the mean, measured with a wide margin for busy machines.
#[test]
fn decisions_stay_fast_in_a_flood() {
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
    assert!(pass < Duration::from_millis(60), "a pass takes {pass:?}");
}
