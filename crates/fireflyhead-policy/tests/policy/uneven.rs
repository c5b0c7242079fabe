//! Replays of loads on engines that differ in speed and slow down for short periods.
//!
//! The figures are those of the deployment with uneven engines, at a fifth of its size: work takes
//! 0.6, 1.0 or 1.6 times as long, by engine, and 2.5 times of that in periods of 600 ms, in 15% of the
//! time. Times are in microseconds unless a name states another unit.

use std::collections::HashMap;
use std::sync::Arc;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::message::PlacedAdapter;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::protocol::LoadReport;
use fireflyhead_policy::rendezvous;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::setup::ENGINE_SERVICE;
use crate::setup::NODE_ID;
use crate::setup::TestNode;
use crate::setup::adapter_job;
use crate::setup::placement;
use crate::setup::test_node;
use crate::setup::upstream_entry;

const STEP_US: f64 = 10_500.0;
/// Part of a step for each request that takes part in it.
const STEP_PER_REQUEST_US: f64 = 150.0;
const PROMPT_TOKENS_PER_MS: f64 = 19.2;
const CHUNK_TOKENS: u32 = 2_048;
const TOKENS_PER_EVENT: u32 = 3;
const SLOTS: u32 = 32;
const ADAPTER_SLOTS: usize = 14;
const ADAPTER_LOAD_US: u64 = 288_000;
/// Time after a load for which the adapter is kept.
const RECENT_LOAD_US: u64 = 200_000;
const PAUSE_OBJECTIVE_US: u64 = 300_000;
const SLOW_PERIOD_US: u64 = 600_000;
const SLOW_RATIO: f64 = 2.5;
const SLOW_SHARE: f64 = 0.15;
/// Value of a late response; one on time has 1.
const LATE_VALUE: f64 = 0.1;

/// Kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Share of the requests.
    share: f64,
    prompt_tokens: u32,
    events: u32,
    objective_us: u64,
}

/// The mix of the deployment.
const KINDS: [Kind; 3] = [
    Kind { share: 0.57, prompt_tokens: 1_460, events: 57, objective_us: 800_000 },
    Kind { share: 0.08, prompt_tokens: 1_460, events: 57, objective_us: 1_000_000 },
    Kind { share: 0.35, prompt_tokens: 646, events: 23, objective_us: 800_000 },
];
/// A mix of few very long prompts and many short ones.
const LONG_AND_SHORT: [Kind; 2] = [
    Kind { share: 0.1, prompt_tokens: 6_000, events: 40, objective_us: 2_000_000 },
    Kind { share: 0.9, prompt_tokens: 400, events: 30, objective_us: 800_000 },
];

#[derive(Clone, Copy)]
struct Scenario {
    engines: usize,
    /// Factors of the engines, in turn.
    factors: &'static [f64],
    slow_periods: bool,
    requests_per_s: f64,
    seconds: u64,
    adapters: usize,
    kinds: &'static [Kind],
    seed: u64,
}

const UNEVEN: Scenario = Scenario {
    engines: 12,
    factors: &[0.6, 1.0, 1.6],
    slow_periods: true,
    requests_per_s: 60.0,
    seconds: 20,
    adapters: 2_000,
    kinds: &KINDS,
    seed: 1,
};

/// How requests are placed.
#[derive(Clone, Copy, Debug)]
enum Placing {
    /// By the dispatcher; `reports` says whether engines report their speed.
    Dispatcher { reports: bool },
    /// At the engine that is first for the adapter in an order weighted by the speed to the power of
    /// `exponent`, which is given, without regard to the state of the engines.
    Fixed { exponent: f64 },
    /// At the engine with the least work left among those with the adapter, or among all if none has
    /// it, with the exact work and the exact speed at the moment.
    LeastWork,
}

struct Request {
    id: u64,
    kind: usize,
    adapter: Name,
    arrived: u64,
    pending_tokens: u32,
    generated: u32,
    first_event: Option<u64>,
    last_event: u64,
    longest_pause: u64,
}

#[derive(Default)]
struct Engine {
    factor: f64,
    slow_until: u64,
    busy_until: u64,
    running: Vec<Request>,
    /// Requests that wait for their adapter under fixed placement.
    waiting: Vec<Request>,
    /// Adapters, with the end of their load and their last use.
    adapters: HashMap<Name, (u64, u64)>,
}

impl Engine {
    fn current_factor(&self, now: u64) -> f64 {
        if now < self.slow_until { self.factor * SLOW_RATIO } else { self.factor }
    }

    /// Returns the time in us for the prompts and the output of all requests here.
    fn work_left(&self, now: u64) -> f64 {
        let work = |request: &Request| {
            f64::from(request.pending_tokens) / PROMPT_TOKENS_PER_MS * 1_000.0 + STEP_US
        };
        let requests = self.running.iter().chain(&self.waiting);
        requests.map(work).sum::<f64>() * self.current_factor(now)
    }

    /// Makes room for `adapter` and loads it. Returns `false` if all adapters are in use.
    fn load(&mut self, now: u64, adapter: &Name, in_use: impl Fn(&Name) -> bool) -> bool {
        if self.adapters.contains_key(adapter) {
            return true;
        }
        if self.adapters.len() >= ADAPTER_SLOTS {
            // One that was loaded recently is about to be used.
            let idle = self
                .adapters
                .iter()
                .filter(|(name, (ready, _))| !in_use(name) && ready + RECENT_LOAD_US <= now);
            let Some(victim) =
                idle.min_by_key(|(_, (_, used))| *used).map(|(name, _)| name.clone())
            else {
                return false;
            };
            self.adapters.remove(&victim);
        }
        self.adapters.insert(adapter.clone(), (now + ADAPTER_LOAD_US, now));
        true
    }
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Requests, and those on time, by kind.
    total: Vec<usize>,
    on_time: Vec<usize>,
    finished: Vec<usize>,
    /// Times from arrival to the first event, by kind, in ms.
    first_ms: Vec<Vec<u64>>,
    paused: usize,
    loads: usize,
    /// Prompt tokens by engine.
    tokens: Vec<u64>,
}

impl Outcome {
    /// Returns the mean value of a response.
    fn value(&self) -> f64 {
        let total: usize = self.total.iter().sum();
        let on_time: usize = self.on_time.iter().sum();
        let finished: usize = self.finished.iter().sum();
        (on_time as f64 + (finished - on_time) as f64 * LATE_VALUE) / total as f64
    }

    /// Returns the times to the first event of a kind at the given percentiles, in ms.
    fn first_ms(&self, kind: usize) -> [u64; 3] {
        let mut times = self.first_ms[kind].clone();
        times.sort_unstable();
        [50, 90, 99].map(|p| times.get(times.len() * p / 100).copied().unwrap_or(0))
    }

    fn figures(&self) -> String {
        let kinds: Vec<String> = (0..self.total.len())
            .map(|kind| {
                let [p50, p90, p99] = self.first_ms(kind);
                format!(
                    "{}/{} on time, first event {p50}/{p90}/{p99} ms",
                    self.on_time[kind], self.total[kind]
                )
            })
            .collect();
        format!(
            "value {:.3}, {} paused, {} loads, tokens {:?}, {}",
            self.value(),
            self.paused,
            self.loads,
            self.tokens,
            kinds.join("; ")
        )
    }
}

struct Simulation {
    scenario: Scenario,
    placing: Placing,
    node: TestNode,
    cluster: Vec<Engine>,
    /// Requests that the dispatcher has not sent yet.
    undecided: HashMap<u64, Request>,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

fn engine_name(index: usize) -> Name {
    Name::from(format!("engine-{index}"))
}

fn engine_index(name: &Name) -> usize {
    name.as_str()["engine-".len()..].parse().expect("a number")
}

fn simulate(scenario: Scenario, placing: Placing) -> Outcome {
    let mut node = test_node(scenario.engines, 0);
    let mut cluster = Vec::new();
    for index in 0..scenario.engines {
        let name = engine_name(index);
        node.upsert_upstream(&Arc::new(upstream_entry(name.as_str(), ENGINE_SERVICE, SLOTS)));
        node.admission.upsert_engine(&name, SLOTS, 1);
        let factor = scenario.factors[index % scenario.factors.len()];
        cluster.push(Engine { factor, ..Engine::default() });
    }
    let kinds = scenario.kinds.len();
    let outcome = Outcome {
        total: vec![0; kinds],
        on_time: vec![0; kinds],
        finished: vec![0; kinds],
        first_ms: vec![Vec::new(); kinds],
        tokens: vec![0; scenario.engines],
        ..Outcome::default()
    };
    let rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut simulation =
        Simulation { scenario, placing, node, cluster, undecided: HashMap::new(), outcome, rng };
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn run(&mut self) {
        let weights: Vec<f64> =
            (1..=self.scenario.adapters).map(|rank| (rank as f64).powf(-1.0)).collect();
        let total: f64 = weights.iter().sum();
        let end = self.scenario.seconds * 1_000_000;
        let (mut now, mut next_arrival, mut id) = (0, 0.0, 0);
        let pause_between = SLOW_PERIOD_US as f64 * (1.0 / SLOW_SHARE - 1.0);
        while now < end + 5_000_000 {
            now += 1_000;
            if self.scenario.slow_periods {
                for engine in &mut self.cluster {
                    if now >= engine.slow_until
                        && self.rng.random::<f64>() < 1_000.0 / pause_between
                    {
                        engine.slow_until = now + SLOW_PERIOD_US;
                    }
                }
            }
            while next_arrival <= now as f64 && now < end {
                let gap = -(1.0 - self.rng.random::<f64>()).ln();
                next_arrival += gap * 1_000_000.0 / self.scenario.requests_per_s;
                let mut point = self.rng.random::<f64>() * total;
                let rank = weights.iter().position(|weight| {
                    point -= weight;
                    point <= 0.0
                });
                let mut point = self.rng.random::<f64>();
                let kind = self.scenario.kinds.iter().position(|kind| {
                    point -= kind.share;
                    point <= 0.0
                });
                id += 1;
                let adapter = Name::from(format!("a{}", rank.unwrap_or(0)));
                self.arrive(now, id, kind.unwrap_or(0), adapter);
            }
            if now % 10_000 == 0 {
                self.dispatch_waiting(now);
            }
            for index in 0..self.cluster.len() {
                self.run_step(now, index);
            }
        }
    }

    fn arrive(&mut self, now: u64, id: u64, kind: usize, adapter: Name) {
        let Kind { prompt_tokens, objective_us, events, .. } = self.scenario.kinds[kind];
        self.outcome.total[kind] += 1;
        let request = Request {
            id,
            kind,
            adapter: adapter.clone(),
            arrived: now,
            pending_tokens: prompt_tokens,
            generated: 0,
            first_event: None,
            last_event: 0,
            longest_pause: 0,
        };
        match self.placing {
            Placing::Dispatcher { .. } => {
                let time = Time::from_micros(now);
                let mut job = adapter_job(id, time, adapter.as_str(), prompt_tokens);
                job.objective = Time::from_micros(now + objective_us);
                job.give_up = Some(job.objective);
                job.output_tokens = events * TOKENS_PER_EVENT;
                self.undecided.insert(id, request);
                let decision = self.node.submit(time, job);
                self.deliver(decision.map(|decision| (JobId(id), decision)));
            }
            Placing::LeastWork => {
                let work = |index: &usize| self.cluster[*index].work_left(now);
                let holds = |index: &usize| self.cluster[*index].adapters.contains_key(&adapter);
                let all = 0..self.cluster.len();
                let best = all.clone().filter(holds).min_by(|a, b| work(a).total_cmp(&work(b)));
                let best = best.or_else(|| all.min_by(|a, b| work(a).total_cmp(&work(b))));
                self.cluster[best.expect("an engine")].waiting.push(request);
            }
            Placing::Fixed { exponent } => {
                let score = |index: &usize| {
                    let share = self.cluster[*index].factor.powf(-exponent);
                    let name = engine_name(*index);
                    let subject = rendezvous::weight(adapter.as_str(), "");
                    let member = rendezvous::weight("", name.as_str());
                    rendezvous::weighted_score(subject, member, share)
                };
                let best = (0..self.cluster.len()).max_by(|a, b| score(a).total_cmp(&score(b)));
                self.cluster[best.expect("an engine")].waiting.push(request);
            }
        }
    }

    /// Starts the requests that the dispatcher sends.
    fn deliver(&mut self, decided: impl IntoIterator<Item = (JobId, DispatchDecision)>) {
        for (id, decision) in decided {
            let request = self.undecided.remove(&id.0).expect("a request that waits");
            if let DispatchDecision::Send { upstream, .. } = decision {
                let index = engine_index(&upstream.id);
                self.outcome.tokens[index] += u64::from(request.pending_tokens);
                self.cluster[index].running.push(request);
            }
        }
    }

    fn dispatch_waiting(&mut self, now: u64) {
        match self.placing {
            Placing::Dispatcher { .. } => {
                let decided = self.node.dispatch_waiting(Time::from_micros(now));
                self.load_requested(now);
                self.deliver(decided);
            }
            Placing::Fixed { .. } | Placing::LeastWork => {
                for (index, engine) in self.cluster.iter_mut().enumerate() {
                    for request in std::mem::take(&mut engine.waiting) {
                        let running = &engine.running;
                        let used: Vec<Name> = running.iter().map(|r| r.adapter.clone()).collect();
                        let held = engine.adapters.contains_key(&request.adapter);
                        let loaded = engine.load(now, &request.adapter, |name| used.contains(name));
                        self.outcome.loads += usize::from(loaded && !held);
                        let ready = engine.adapters.get(&request.adapter);
                        match ready.is_some_and(|(ready, _)| *ready <= now)
                            && engine.running.len() < SLOTS as usize
                        {
                            true => {
                                let used = engine.adapters.get_mut(&request.adapter);
                                used.expect("a held adapter").1 = now;
                                self.outcome.tokens[index] += u64::from(request.pending_tokens);
                                engine.running.push(request);
                            }
                            false => engine.waiting.push(request),
                        }
                    }
                }
            }
        }
    }

    /// Loads the adapters that the node requests, and reports the placements to the node.
    fn load_requested(&mut self, now: u64) {
        let time = Time::from_micros(now);
        for request in self.node.due_adapter_requests(time, &Name::from(NODE_ID)) {
            let usage = self.node.adapter_usage(time, request.upstream.as_str());
            let engine = &mut self.cluster[engine_index(&request.upstream)];
            let held = engine.adapters.contains_key(&request.adapter);
            let loaded = engine.load(now, &request.adapter, |name| usage.contains_key(name));
            self.outcome.loads += usize::from(loaded && !held);
        }
        for (index, engine) in self.cluster.iter_mut().enumerate() {
            let name = engine_name(index);
            let usage = self.node.adapter_usage(time, name.as_str());
            for (adapter, (_, used)) in &mut engine.adapters {
                if usage.contains_key(adapter) {
                    *used = now;
                }
            }
            let placed = engine.adapters.iter().map(|(adapter, (ready, _))| PlacedAdapter {
                adapter: adapter.clone(),
                version: 1,
                ready: *ready <= now,
            });
            let adapters = placed.collect();
            self.node.apply_placement(&Placement { adapters, ..placement(name.as_str(), &[], 1) });
            let idle = engine
                .adapters
                .iter()
                .filter(|(name, (ready, _))| {
                    !usage.contains_key(*name) && ready + RECENT_LOAD_US <= now
                })
                .count();
            let free = ADAPTER_SLOTS - engine.adapters.len() + idle;
            self.node.admission.set_available_adapter_slots(&name, free as u32);
        }
        let loads = self.node.admission.engine_loads(time);
        self.node.set_peer_loads(time, &Name::from(NODE_ID), loads);
    }

    /// Runs the next step of an engine unless it is idle or still runs the step before.
    fn run_step(&mut self, now: u64, index: usize) {
        let engine = &mut self.cluster[index];
        if engine.busy_until > now || engine.running.is_empty() {
            return;
        }
        let factor = engine.current_factor(now);
        let mut tokens_left = CHUNK_TOKENS;
        for request in &mut engine.running {
            let processed = request.pending_tokens.min(tokens_left);
            request.pending_tokens -= processed;
            tokens_left -= processed;
        }
        let prefill = f64::from(CHUNK_TOKENS - tokens_left) * 1_000.0 / PROMPT_TOKENS_PER_MS;
        let step = STEP_US + engine.running.len() as f64 * STEP_PER_REQUEST_US;
        let end = now + ((step + prefill) * factor) as u64;
        engine.busy_until = end;
        let time = Time::from_micros(end);
        let reports = matches!(self.placing, Placing::Dispatcher { reports: true });
        let mut done = Vec::new();
        for (position, request) in engine.running.iter_mut().enumerate() {
            if request.pending_tokens > 0 {
                continue;
            }
            request.generated += 1;
            if request.generated % TOKENS_PER_EVENT != 0 {
                continue;
            }
            match request.first_event {
                Some(_) => {
                    let pause = end - request.last_event;
                    request.longest_pause = request.longest_pause.max(pause);
                }
                None => {
                    request.first_event = Some(end);
                    let pace = reports.then_some((factor * 100.0) as u32);
                    let load = LoadReport { pace, ..LoadReport::default() };
                    self.node.record_load_report(time, engine_name(index).as_str(), load);
                    self.node.record_first_output(time, JobId(request.id));
                }
            }
            request.last_event = end;
            if request.generated >= self.scenario.kinds[request.kind].events * TOKENS_PER_EVENT {
                done.push(position);
            }
        }
        for position in done.into_iter().rev() {
            let request = engine.running.remove(position);
            let kind = self.scenario.kinds[request.kind];
            let first = request.first_event.expect("a first event") - request.arrived;
            let paused = request.longest_pause > PAUSE_OBJECTIVE_US;
            self.outcome.finished[request.kind] += 1;
            self.outcome.first_ms[request.kind].push(first / 1_000);
            self.outcome.paused += usize::from(paused);
            let on_time = !paused && first <= kind.objective_us;
            self.outcome.on_time[request.kind] += usize::from(on_time);
            let permille = (request.longest_pause * 1_000 / PAUSE_OBJECTIVE_US) as u32;
            self.node.record_pause(time, &engine_name(index), permille);
            self.node.record_outcome(time, JobId(request.id), SendOutcome::Served);
        }
    }
}

/// Simulates a scenario with the engines' reports, without them, and with the fixed placements, of
/// which the best is returned.
fn compare(name: &str, scenario: Scenario) -> (Outcome, Outcome, Outcome) {
    let with = simulate(scenario, Placing::Dispatcher { reports: true });
    let without = simulate(scenario, Placing::Dispatcher { reports: false });
    let fixed = [0.0, 1.0, 1.5, 2.0, 3.0].map(|exponent| Placing::Fixed { exponent });
    let fixed = fixed
        .into_iter()
        .chain([Placing::LeastWork])
        .map(|placing| simulate(scenario, placing))
        .max_by(|a, b| a.value().total_cmp(&b.value()))
        .expect("a placement");
    println!("{name}\n  with: {}", with.figures());
    println!("  without: {}\n  best fixed: {}", without.figures(), fixed.figures());
    (with, without, fixed)
}

/// Guards against slow engines that get as many requests as fast ones, so that their streams pause.
#[test]
fn uneven_engines_get_requests_by_their_speed() {
    let (with, without, fixed) = compare("uneven", UNEVEN);
    assert!(with.value() >= without.value(), "{}", with.figures());
    assert!(with.value() >= 0.95 * fixed.value(), "{}", with.figures());
}

/// Guards against long prompts that delay the short ones on their engine, and against long ones that
/// are never served.
#[test]
fn long_prompts_are_served_beside_short_ones() {
    let scenario = Scenario { kinds: &LONG_AND_SHORT, ..UNEVEN };
    let (with, without, fixed) = compare("long beside short", scenario);
    assert!(with.value() >= without.value(), "{}", with.figures());
    assert!(with.value() >= 0.95 * fixed.value(), "{}", with.figures());
    let share = |kind: usize| with.finished[kind] as f64 / with.total[kind] as f64;
    assert!(share(0) >= 0.5 * share(1), "{}", with.figures());
}

/// Guards against requests that wait for longer than their objective in an overload, so that those
/// behind them are late too.
#[test]
fn an_overload_is_shed_before_requests_are_late() {
    let scenario = Scenario { requests_per_s: 84.0, ..UNEVEN };
    let (with, without, fixed) = compare("1.4 times the load", scenario);
    assert!(with.value() >= 1.15 * without.value(), "{}", with.figures());
    assert!(with.value() >= 0.95 * fixed.value(), "{}", with.figures());
}
