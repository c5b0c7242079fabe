//! Bound on the tokens of an account in any window, under faults.

use std::thread;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::quota::QuotaSettings;
use rand::Rng;

use crate::quota_sim::Fault;
use crate::quota_sim::Network;
use crate::quota_sim::Sim;

/// Number of schedules. They run in as many threads as [`THREADS`].
const SCHEDULES: u64 = 10_000;
const THREADS: u64 = 3;
/// Tokens that a flood asks for, as a multiple of what the quota permits.
const FLOOD: f64 = 1.6;
/// Time within which all nodes learn of a new configuration.
const SPREAD: Duration = Duration::from_millis(300);
/// Longest lifetime of a grant.
const MAX_LIFETIME: Duration = Duration::from_millis(500);
/// Simulated time at the begin of a schedule.
const START: Time = Time::from_millis(1_000);
/// Time before a flood in which requests that don't run take tokens.
const HOARD_MS: u64 = 1_000;

fn quota(rate: f64, burst: f64) -> Quota {
    let unit = QuotaUnit::Tokens { plain_request: 200 };
    Quota::new(unit, rate, burst).expect("a valid quota").expect("a limit")
}

/// Lowered quotas of a schedule.
#[derive(Clone, Copy)]
struct Lowering {
    /// Time at which the configuration changes, since the begin of the schedule.
    at: Duration,
    /// Rates and bursts as a fraction of the former ones.
    factor: f64,
}

impl Lowering {
    /// Returns the lowered quota.
    fn apply(self, old: &Quota) -> Quota {
        quota(old.rate * self.factor, old.burst * self.factor)
    }
}

/// Returns the bound for a window from `begin` to `end`, since the begin of the schedule.
fn bound(
    settings: &QuotaSettings,
    quota: &Quota,
    lowering: Option<Lowering>,
    (begin, end): (Duration, Duration),
) -> f64 {
    let old = settings.bound(quota);
    let Some(lowering) = lowering else { return old };
    let new = lowering.apply(quota);
    if end < lowering.at {
        old
    } else if begin >= lowering.at + SPREAD + MAX_LIFETIME {
        settings.bound(&new)
    } else {
        // Until all nodes know it, both rates may be granted at different slots.
        old + new.rate * SPREAD.as_secs_f64()
    }
}

/// Returns the largest use in a window, as a multiple of the bound.
fn worst_window(sim: &Sim, account: usize, quota: &Quota, lowering: Option<Lowering>) -> f64 {
    let window = sim.settings.window;
    let used: Vec<_> = sim.used.iter().filter(|(_, used, _)| *used == account).collect();
    let (mut first, mut sum, mut worst) = (0, 0, 0.0_f64);
    for (at, _, tokens) in &used {
        sum += tokens;
        while at.since(used[first].0) > window {
            sum -= used[first].2;
            first += 1;
        }
        let span = (used[first].0.since(START), at.since(START));
        worst = worst.max(sum as f64 / bound(&sim.settings, quota, lowering, span));
    }
    worst
}

/// Returns a random fault.
fn random_fault(sim: &mut Sim, nodes: usize, accounts: &[(Name, Quota)]) -> Fault {
    let node = sim.rng.random_range(0..nodes);
    let other = sim.rng.random_range(0..nodes);
    let ms = |sim: &mut Sim, max: u64| Duration::from_millis(sim.rng.random_range(1..max));
    match sim.rng.random_range(0..12) {
        0..=2 => Fault::Restart(node, ms(sim, 300)),
        3 => Fault::Restart(node, ms(sim, 16_000)),
        4 => Fault::Freeze(node, ms(sim, 1_500)),
        5 => Fault::Freeze(node, ms(sim, 16_000)),
        6 | 7 => Fault::CutFromStore(node, ms(sim, 24_000)),
        8 => Fault::CutLink(node, other, ms(sim, 6_000)),
        9 => Fault::Restore,
        _ => {
            // An account leaves the configuration.
            let left = sim.rng.random_range(0..accounts.len());
            let rest = accounts.iter().enumerate().filter(|(at, _)| *at != left);
            Fault::Accounts(rest.map(|(_, account)| account.clone()).collect(), SPREAD)
        }
    }
}

/// Returns a random fault that doesn't keep a node from the store.
fn random_fault_in_contact(sim: &mut Sim, nodes: usize) -> Fault {
    let node = sim.rng.random_range(0..nodes);
    let pause = Duration::from_millis(sim.rng.random_range(1..3_000));
    match sim.rng.random_range(0..4) {
        0 => Fault::Restart(node, pause),
        1 | 2 => Fault::RemoveKeys,
        _ => Fault::CutLink(node, sim.rng.random_range(0..nodes), pause),
    }
}

/// Runs a random schedule. Returns the largest use in a window, as a multiple of the bound, and the
/// number of admitted requests.
fn run_schedule(seed: u64) -> (f64, u64) {
    let window = [1_000, 3_000, 8_000][(seed % 3) as usize];
    let overage = [0.0, 0.1][(seed / 3 % 2) as usize];
    let slack = [1_700.0, 6_700.0][(seed / 6 % 2) as usize];
    let settings = QuotaSettings { window: Duration::from_millis(window), overage, slack };
    let accounts = [
        (Name::from("large"), quota(20_000.0, 64_000.0)),
        (Name::from("small"), quota(9_000.0, 9_000.0)),
    ];
    let network = Network {
        max_delay: Duration::from_millis(if seed.is_multiple_of(8) { 80 } else { 8 }),
        loss: [0.0, 0.0, 0.02, 0.2][(seed / 5 % 4) as usize],
        duplicates: 0.1,
    };
    let nodes = 2 + (seed / 2 % 4) as usize;
    let mut sim = Sim::new(seed, settings, nodes, &accounts, network);
    sim.not_run = if seed.is_multiple_of(4) { 0.2 } else { 0.0 };
    let mut last = Duration::ZERO;
    let end = 24_000;
    let copied_at = Duration::from_millis(sim.rng.random_range(1..end));
    sim.fault(copied_at, Fault::Copy);
    let lowering = seed.is_multiple_of(5).then(|| Lowering {
        at: Duration::from_millis(sim.rng.random_range(8_000..end)),
        factor: 0.4,
    });
    if let Some(lowering) = lowering {
        let lowered = accounts.iter().map(|(name, quota)| (name.clone(), lowering.apply(quota)));
        sim.fault(lowering.at, Fault::Accounts(lowered.collect(), SPREAD));
        let at = lowering.at.as_millis() as u64 + sim.rng.random_range(0..window);
        last = last.max(add_flood(&mut sim, at, nodes, &accounts));
    }
    for _ in 0..sim.rng.random_range(1..4) {
        // The owners have their slots, and the buckets are full.
        let at = sim.rng.random_range(8_000..end);
        for _ in 0..sim.rng.random_range(1..4) {
            let fault = match lowering {
                Some(_) => random_fault_in_contact(&mut sim, nodes),
                None => random_fault(&mut sim, nodes, &accounts),
            };
            let fault_at = Duration::from_millis(at + sim.rng.random_range(0..500));
            if let Fault::Accounts(..) = fault {
                let back_at = fault_at + Duration::from_millis(sim.rng.random_range(1..2_000));
                sim.fault(back_at, Fault::Accounts(accounts.to_vec(), SPREAD));
            }
            sim.fault(fault_at, fault);
        }
        // The account floods the nodes about the time of the fault, or of a takeover after it.
        let flood_at = at + if sim.rng.random_bool(0.4) { 12_000 } else { 0 };
        last = last.max(add_flood(&mut sim, flood_at, nodes, &accounts));
    }
    sim.run(last + Duration::from_secs(1));
    let worst = accounts
        .iter()
        .enumerate()
        .map(|(at, (_, quota))| worst_window(&sim, at, quota, lowering))
        .fold(0.0, f64::max);
    (worst, sim.counts.iter().map(|counts| counts.admitted).sum())
}

/// Adds requests for several times the bound in windows about a time. Returns their end.
fn add_flood(sim: &mut Sim, at: u64, nodes: usize, accounts: &[(Name, Quota)]) -> Duration {
    let window = sim.settings.window.as_millis() as u64;
    let account = usize::from(sim.rng.random_bool(0.3));
    let (_, quota) = &accounts[account];
    let max_cost = (quota.burst / 10.0).min(4_000.0) as u64;
    let begin = at - sim.rng.random_range(0..window);
    let length = window * 3 / 2;
    let bound = quota.rate * length as f64 / 1_000.0 + quota.burst;
    if sim.rng.random_bool(0.5) {
        // Requests that don't run leave their tokens in the stocks of the nodes until the flood.
        let mut tokens = quota.rate * HOARD_MS as f64 / 1_000.0 + quota.burst;
        while tokens > 0.0 {
            let at = begin - sim.rng.random_range(0..HOARD_MS.min(begin));
            let node = sim.rng.random_range(0..nodes);
            sim.futile_request(Duration::from_millis(at), node, account, max_cost);
            tokens -= max_cost as f64;
        }
    }
    let mut tokens = bound * FLOOD;
    while tokens > 0.0 {
        let cost = sim.rng.random_range(max_cost / 4..=max_cost);
        let at = Duration::from_millis(begin + sim.rng.random_range(0..length));
        let node = sim.rng.random_range(0..nodes);
        sim.request(at, node, account, cost);
        tokens -= cost as f64;
    }
    Duration::from_millis(begin + length)
}

/// Guards against more tokens in a window than the page permits, while messages are lost, delayed
/// and duplicated, nodes restart, freeze and are cut off, slots change their owner, the store is
/// restored, accounts leave and return and quotas are lowered.
#[test]
fn no_schedule_exceeds_the_bound() {
    let results: Vec<(u64, f64, u64)> = thread::scope(|scope| {
        let run = |thread: u64| {
            let seeds = (thread..SCHEDULES).step_by(THREADS as usize);
            scope.spawn(move || {
                let result = |seed| {
                    let (worst, admitted) = run_schedule(seed);
                    (seed, worst, admitted)
                };
                seeds.map(result).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(run).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    let (seed, worst, _) =
        results.iter().copied().max_by(|a, b| a.1.total_cmp(&b.1)).expect("schedules ran");
    let admitted: u64 = results.iter().map(|(.., admitted)| admitted).sum();
    let above_half = results.iter().filter(|(_, worst, _)| *worst > 0.5).count();
    println!("{admitted} admitted; worst window {worst:.3} of the bound in schedule {seed}");
    println!("{above_half} schedules used over half of the bound");
    assert!(worst <= 1.0, "schedule {seed} used {worst:.3} of the bound");
    assert!(above_half > 5_000, "the schedules hardly use quotas");
}
