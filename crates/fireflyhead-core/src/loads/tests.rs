//! Tests of the load scheduler: rate, order, backoff, lost owners and answers.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

use crate::loads::LoadConfig;
use crate::loads::LoadEffect;
use crate::loads::LoadInput;
use crate::loads::LoadScheduler;
use crate::types::AdapterKey;
use crate::types::Name;
use crate::types::Rank;
use crate::types::Time;

fn key(owner: u8, adapter: u8) -> (Name, AdapterKey) {
    (Name::from(format!("owner-{owner}")), AdapterKey::new(format!("adapter-{adapter}"), "v1"))
}

fn request(owner: u8, adapter: u8, rank: Rank, waiting: u32) -> LoadInput {
    let (owner, adapter) = key(owner, adapter);
    LoadInput::Request { owner, adapter, rank, waiting }
}

fn done(owner: u8, adapter: u8, ok: bool) -> LoadInput {
    let (owner, adapter) = key(owner, adapter);
    LoadInput::Done { owner, adapter, ok }
}

fn grant(owner: u8, adapter: u8) -> LoadEffect {
    let (owner, adapter) = key(owner, adapter);
    LoadEffect::Grant { owner, adapter }
}

fn deny(owner: u8, adapter: u8, retry_after: Duration) -> LoadEffect {
    let (owner, adapter) = key(owner, adapter);
    LoadEffect::Deny { owner, adapter, retry_after }
}

fn handle(loads: &mut LoadScheduler, ms: u64, input: LoadInput) -> Vec<LoadEffect> {
    let mut effects = Vec::new();
    loads.handle(Time::from_millis(ms), input, &mut effects);
    effects
}

/// Delivers each tick that the scheduler asks for up to `until_ms`.
fn run(loads: &mut LoadScheduler, until_ms: u64) -> Vec<(Time, LoadEffect)> {
    let mut seen = Vec::new();
    while let Some(at) = loads.next_tick().filter(|at| *at <= Time::from_millis(until_ms)) {
        let mut effects = Vec::new();
        loads.handle(at, LoadInput::Tick, &mut effects);
        assert!(!effects.is_empty(), "a tick at {at:?} without effect would be repeated forever");
        seen.extend(effects.into_iter().map(|effect| (at, effect)));
    }
    seen
}

fn strict() -> LoadConfig {
    LoadConfig { floors: [0.0; 3], ..LoadConfig::default() }
}

/// Guards against grants in order of arrival, which would let floods go first.
#[test]
fn grants_go_by_rank_then_waiters_then_arrival() {
    let mut loads = LoadScheduler::new(strict());
    assert_eq!(handle(&mut loads, 0, request(0, 0, Rank::Background, 1)), [grant(0, 0)]);
    for (owner, rank, waiting) in [
        (1, Rank::Background, 90),
        (2, Rank::Standard, 2),
        (3, Rank::Standard, 5),
        (4, Rank::Urgent, 1),
        (5, Rank::Standard, 5),
    ] {
        assert_eq!(handle(&mut loads, 1, request(owner, owner, rank, waiting)), []);
    }
    let order: Vec<LoadEffect> = run(&mut loads, 9_000).into_iter().map(|(_, e)| e).collect();
    assert_eq!(order, [grant(4, 4), grant(3, 3), grant(5, 5), grant(2, 2), grant(1, 1)]);
}

/// Guards against a flood of a higher rank that keeps the lower ones from loading at all.
#[test]
fn each_rank_keeps_its_floor_of_the_grants() {
    let floors = [0.0, 0.2, 0.1];
    let cfg = LoadConfig { floors, max_wait: Duration::from_secs(600), ..LoadConfig::default() };
    let mut loads = LoadScheduler::new(LoadConfig { max_in_flight: 1_000, ..cfg });
    for i in 0..200 {
        for (owner, rank) in Rank::ALL.into_iter().enumerate() {
            handle(&mut loads, 0, request(owner as u8, i, rank, 1));
        }
    }
    let grants = run(&mut loads, 25_000);
    for (owner, at_least) in [(0, 65), (1, 19), (2, 9)] {
        let name = key(owner, 0).0;
        let count = grants
            .iter()
            .filter(|(_, e)| matches!(e, LoadEffect::Grant { owner, .. } if *owner == name))
            .count();
        assert!(count >= at_least, "{count} of {} grants for {name}", grants.len());
    }
}

/// Guards against a failed load that blocks other adapters or is repeated at once.
#[test]
fn failed_loads_delay_only_their_adapter() {
    let mut loads = LoadScheduler::new(strict());
    let ms = Duration::from_millis;
    assert_eq!(handle(&mut loads, 0, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(handle(&mut loads, 100, request(1, 1, Rank::Standard, 1)), []);
    assert_eq!(handle(&mut loads, 200, done(0, 1, false)), [deny(1, 1, ms(500))]);
    assert_eq!(handle(&mut loads, 300, request(0, 1, Rank::Urgent, 9)), [deny(0, 1, ms(400))]);
    assert_eq!(handle(&mut loads, 300, request(0, 2, Rank::Background, 1)), [grant(0, 2)]);
    assert_eq!(handle(&mut loads, 800, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(handle(&mut loads, 900, done(0, 1, false)), []);
    assert_eq!(handle(&mut loads, 901, request(0, 1, Rank::Standard, 1)), [deny(0, 1, ms(999))]);
    assert_eq!(handle(&mut loads, 2_000, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(handle(&mut loads, 2_100, done(0, 1, true)), []);
    assert_eq!(handle(&mut loads, 2_300, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
}

/// Guards against loads of a lost owner that hold the in-flight limit forever.
#[test]
fn loads_of_a_lost_owner_are_forgotten() {
    let mut loads = LoadScheduler::new(LoadConfig { max_in_flight: 1, ..strict() });
    assert_eq!(handle(&mut loads, 0, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(handle(&mut loads, 300, request(0, 2, Rank::Urgent, 1)), []);
    assert_eq!(handle(&mut loads, 300, request(1, 3, Rank::Background, 1)), []);
    let gone = LoadInput::OwnerGone { owner: key(0, 0).0 };
    assert_eq!(handle(&mut loads, 400, gone), [grant(1, 3)]);
    assert_eq!((loads.pending(), loads.in_flight()), (0, 1));
}

/// Guards against an owner that waits forever because a grant or a result was lost.
#[test]
fn lost_messages_are_repaired() {
    let timeout = Duration::from_secs(2);
    let cfg = LoadConfig { max_in_flight: 1, load_timeout: timeout, ..strict() };
    let mut loads = LoadScheduler::new(cfg);
    assert_eq!(handle(&mut loads, 0, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(handle(&mut loads, 500, request(0, 1, Rank::Standard, 2)), [], "crossed the grant");
    assert_eq!(handle(&mut loads, 1_000, request(0, 1, Rank::Standard, 1)), [grant(0, 1)]);
    assert_eq!(loads.in_flight(), 1);
    assert_eq!(handle(&mut loads, 1_100, request(1, 2, Rank::Standard, 1)), []);
    assert_eq!(run(&mut loads, 5_000), [(Time::from_millis(2_000), grant(1, 2))]);
}

/// Guards against a burst of loads when an engine restarts empty with many waiting adapters.
#[test]
fn an_empty_engine_reloads_at_the_rate() {
    let cfg = LoadConfig { max_wait: Duration::from_secs(60), ..strict() };
    let mut loads = LoadScheduler::new(cfg);
    let mut effects = Vec::new();
    for adapter in 0..100 {
        effects.extend(handle(&mut loads, 10_000, request(0, adapter, Rank::Standard, 1)));
    }
    assert_eq!(effects, [grant(0, 0)]);
    let mut at = 10_000;
    for adapter in 1..100 {
        handle(&mut loads, at + 249, done(0, adapter - 1, true));
        at += 250;
        assert_eq!(handle(&mut loads, at, LoadInput::Tick), [grant(0, adapter)]);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Request(u8, u8, Rank, u32),
    Cancel(u8, u8),
    Done(u8, u8, bool),
    Gone(u8),
    Tick,
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let rank = (0usize..3).prop_map(|i| Rank::ALL[i]);
    let step = proptest::prop_oneof![
        8 => (0u8..4, 0u8..20, rank, 1u32..9).prop_map(|(o, a, r, w)| Step::Request(o, a, r, w)),
        1 => (0u8..4, 0u8..20).prop_map(|(o, a)| Step::Cancel(o, a)),
        6 => (0u8..4, 0u8..20, any::<bool>()).prop_map(|(o, a, ok)| Step::Done(o, a, ok)),
        1 => (0u8..4).prop_map(Step::Gone),
        2 => proptest::prelude::Just(Step::Tick),
    ];
    (0u64..400, step)
}

fn input(step: Step) -> LoadInput {
    match step {
        Step::Request(o, a, rank, waiting) => request(o, a, rank, waiting),
        Step::Cancel(o, a) => {
            let (owner, adapter) = key(o, a);
            LoadInput::Cancel { owner, adapter }
        }
        Step::Done(o, a, ok) => done(o, a, ok),
        Step::Gone(o) => LoadInput::OwnerGone { owner: key(o, 0).0 },
        Step::Tick => LoadInput::Tick,
    }
}

/// Grants of loads that were not yet running, in order.
fn fresh_grants(
    running: &mut HashSet<(Name, AdapterKey)>,
    effects: &[LoadEffect],
    now: Time,
) -> Vec<(Time, (Name, AdapterKey))> {
    let grants = effects.iter().filter_map(|effect| match effect {
        LoadEffect::Grant { owner, adapter } => Some((owner.clone(), adapter.clone())),
        LoadEffect::Deny { .. } => None,
    });
    grants.filter(|key| running.insert(key.clone())).map(|key| (now, key)).collect()
}

proptest! {
    /// Guards against more grants in any window than the weight store allows, more loads
    /// in flight than it allows, and requests that are never answered.
    #[test]
    fn limits_hold_and_every_request_is_answered(
        steps in proptest::collection::vec(step(), 1..200),
        rate in 1u32..20,
        max_in_flight in 1usize..9,
    ) {
        let rate = f64::from(rate);
        let load_timeout = Duration::from_secs(100_000);
        let cfg = LoadConfig {
            loads_per_second: rate,
            max_in_flight,
            load_timeout,
            regrant_after: Duration::ZERO,
            ..LoadConfig::default()
        };
        let mut loads = LoadScheduler::new(cfg);
        let (mut ms, mut grants) = (0, Vec::new());
        let mut running: HashSet<(Name, AdapterKey)> = HashSet::new();
        let mut waiting: HashSet<(Name, AdapterKey)> = HashSet::new();
        for (wait, step) in steps {
            ms += wait;
            let input = input(step);
            match &input {
                LoadInput::Request { owner, adapter, .. } => {
                    waiting.insert((owner.clone(), adapter.clone()));
                }
                LoadInput::Cancel { owner, adapter } => {
                    let key = (owner.clone(), adapter.clone());
                    waiting.remove(&key);
                    // A returned grant was not used and does not count.
                    if running.remove(&key) {
                        let last = grants.iter().rposition(|(_, granted)| *granted == key);
                        grants.remove(last.expect("a running load was granted"));
                    }
                }
                LoadInput::Done { owner, adapter, .. } => {
                    running.remove(&(owner.clone(), adapter.clone()));
                }
                LoadInput::OwnerGone { owner } => {
                    running.retain(|(name, _)| name != owner);
                    waiting.retain(|(name, _)| name != owner);
                }
                LoadInput::Tick => {}
            }
            let effects = handle(&mut loads, ms, input);
            for effect in &effects {
                let (LoadEffect::Grant { owner, adapter } | LoadEffect::Deny { owner, adapter, .. }) = effect;
                prop_assert!(waiting.remove(&(owner.clone(), adapter.clone())), "answer without request");
            }
            let now = Time::from_millis(ms);
            grants.extend(fresh_grants(&mut running, &effects, now));
            prop_assert!(running.len() <= max_in_flight);
            prop_assert_eq!(loads.in_flight(), running.len());
            prop_assert_eq!(loads.pending(), waiting.len());
        }
        for (at, effect) in run(&mut loads, ms + 60_000) {
            let (LoadEffect::Grant { owner, adapter } | LoadEffect::Deny { owner, adapter, .. }) = &effect;
            waiting.remove(&(owner.clone(), adapter.clone()));
            grants.extend(fresh_grants(&mut running, std::slice::from_ref(&effect), at));
        }
        prop_assert!(waiting.is_empty(), "without an answer: {:?}", waiting);
        for (i, (from, _)) in grants.iter().enumerate() {
            for (n, (to, _)) in grants[i..].iter().enumerate() {
                let allowed = to.since(*from).as_secs_f64() * rate + 1.0;
                prop_assert!((n + 1) as f64 <= allowed + 1e-6, "{} grants in {:?}", n + 1, to.since(*from));
            }
        }
    }
}
