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
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::dispatch::Verdict;
use fireflyhead_policy::message::Placed;
use fireflyhead_policy::message::Placement;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::setup::MODEL;
use crate::setup::Node;
use crate::setup::job;
use crate::setup::node;

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
}

#[derive(Debug, Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    rejected: usize,
    unfinished: usize,
    loads: usize,
}

/// Plays requests of one node: `per_s` a second for `seconds`, adapters by a Zipf law.
fn play(engines: usize, per_s: u64, seconds: u64, adapters: usize, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut node = node(engines, 0);
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
        let time = Time::from_micros(now);
        let mut verdicts: Vec<(JobId, Verdict)> = Vec::new();
        while next_arrival <= now && next_arrival < end {
            next_arrival += rng.random_range(0..2_000_000 / per_s);
            let mut point = rng.random::<f64>() * total;
            let rank = weights.iter().position(|weight| {
                point -= weight;
                point <= 0.0
            });
            let adapter = format!("a{}", rank.unwrap_or(0));
            // Log-normal by two uniform numbers is close enough for sizes from 200 to 4,000.
            let size = 300.0 * (rng.random::<f64>() * 1.6 + rng.random::<f64>()).exp();
            let prompt = (size as u64).min(4_000);
            id += 1;
            arrived.insert(JobId(id), now);
            prompts.insert(JobId(id), prompt);
            let verdict = node.submit(time, job(id, time, &adapter, prompt as u32));
            verdicts.extend(verdict.map(|verdict| (JobId(id), verdict)));
        }
        if now % 10_000 == 0 {
            verdicts.extend(node.pump(time));
            load(&mut node, &mut world, now, &mut outcome);
        }
        for (id, verdict) in verdicts {
            match verdict {
                Verdict::Send { upstream, .. } => {
                    let at: usize =
                        upstream.id.as_str()["engine-".len()..].parse().expect("a number");
                    let unread = prompts[&id];
                    world[at].runs.push_back(Run {
                        id,
                        unread,
                        made: 0,
                        last_event: None,
                        first: None,
                        pause: 0,
                    });
                }
                Verdict::Reject { .. } => outcome.rejected += 1,
            }
        }
        for (at, engine) in world.iter_mut().enumerate() {
            step(
                &Name::from(format!("engine-{at}")),
                engine,
                now,
                &mut node,
                &arrived,
                &mut outcome,
            );
        }
    }
    outcome.unfinished = node.waiting() + node.in_flight();
    outcome
}

/// Loads what the node wants, in place of the adapter that was used least lately.
fn load(node: &mut Node, world: &mut [Engine], now: u64, outcome: &mut Outcome) {
    let time = Time::from_micros(now);
    for want in node.wants(time, &Name::from("node-1")) {
        let at: usize = want.upstream.as_str()["engine-".len()..].parse().expect("a number");
        let usage = node.usage(time, want.upstream.as_str());
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
        let usage = node.usage(time, upstream.as_str());
        for (name, (_, used)) in &mut engine.held {
            if usage.contains_key(name) {
                *used = now;
            }
        }
        let adapters = engine
            .held
            .iter()
            .map(|(name, (ready, _))| Placed {
                adapter: name.clone(),
                version: 1,
                ready: *ready <= now,
            })
            .collect();
        let model = Name::from(MODEL);
        node.place(&Placement { upstream, model, born: 1, fence: 1, open: true, adapters });
    }
}

/// One step of an engine, if the one before has ended.
fn step(
    engine_name: &Name,
    engine: &mut Engine,
    now: u64,
    node: &mut Node,
    arrived: &HashMap<JobId, u64>,
    outcome: &mut Outcome,
) {
    if engine.busy_until > now || engine.runs.is_empty() {
        return;
    }
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
                node.output(time, run.id);
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
        match on_time {
            true => outcome.on_time += 1,
            false => outcome.late += 1,
        }
        let permille = u32::try_from(run.pause / 300).unwrap_or(u32::MAX);
        node.paused(time, engine_name, permille);
        node.done(time, run.id, SendOutcome::Served);
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

/// Guards against a decision that gets slow in a flood: 10,000 decisions with 2,000 waiting
/// requests take under 10 us each on the mean, measured with a wide margin for busy machines.
#[test]
fn decisions_stay_fast_in_a_flood() {
    let mut node = node(18, 0);
    for n in 0..2_000 {
        let time = Time::from_micros(n);
        node.submit(time, job(n, time, &format!("a{n}"), 500));
    }
    let started = std::time::Instant::now();
    for n in 0..200 {
        node.pump(Time::from_micros(2_000 + n));
    }
    let pass = started.elapsed() / 200;
    assert!(pass < Duration::from_millis(60), "a pass takes {pass:?}");
}
