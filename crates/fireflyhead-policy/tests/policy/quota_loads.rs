//! Quotas under load: how much of its quota an account gets, and which requests are refused.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::quota::QuotaSettings;
use rand::Rng;

use crate::quota_sim::Fault;
use crate::quota_sim::Network;
use crate::quota_sim::Sim;

/// Nodes of the deployment with accounts.
const NODES: usize = 63;
/// Tokens of the kinds of requests of that deployment: two kinds of streams and plain requests.
const COSTS: [(u64, f64); 3] = [(1_503, 0.5), (663, 0.25), (200, 0.25)];
/// Time at which the load begins. The slots have owners and the buckets are full by then.
const BEGIN: Duration = Duration::from_secs(8);
/// Time after the begin from which on the quota must be available.
const SETTLED: Duration = Duration::from_secs(2);
/// Duration of the load.
const LOAD: Duration = Duration::from_secs(12);

/// Round trips between zones on loaded hosts.
const NETWORK: Network =
    Network { max_delay: Duration::from_millis(6), loss: 0.001, duplicates: 0.0 };

fn account(name: &str, rate: f64) -> (Name, Quota) {
    let unit = QuotaUnit::Tokens { plain_request: 200 };
    let quota = Quota::new(unit, rate, rate).expect("a valid quota").expect("a limit");
    (Name::from(name), quota)
}

/// Adds requests of `account` with the given mean tokens per second. A node gets requests in
/// proportion to its weight.
fn add_load(sim: &mut Sim, account: usize, tokens_per_s: f64, weights: &[f64]) {
    let mean: f64 = COSTS.iter().map(|(cost, share)| *cost as f64 * share).sum();
    let interval = mean / tokens_per_s;
    let total: f64 = weights.iter().sum();
    let mut at = BEGIN.as_secs_f64();
    while at < (BEGIN + LOAD).as_secs_f64() {
        at -= (1.0 - sim.rng.random::<f64>()).ln() * interval;
        let mut point = sim.rng.random::<f64>() * total;
        let node = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let mut kind = sim.rng.random::<f64>();
        let (cost, _) = COSTS
            .iter()
            .find(|(_, share)| {
                kind -= share;
                kind < 0.0
            })
            .unwrap_or(&COSTS[0]);
        sim.request(Duration::from_secs_f64(at), node.unwrap_or(0), account, *cost);
    }
}

/// Returns the tokens that `account` used per second once the load had settled, as a share of
/// `rate`.
fn used_share(sim: &Sim, account: usize, rate: f64) -> f64 {
    let start = fireflyhead_policy::Time::from_millis(1_000) + BEGIN + SETTLED;
    let end = start + (LOAD - SETTLED);
    let used =
        sim.used.iter().filter(|(at, used, _)| *used == account && *at >= start && *at < end);
    let tokens: u64 = used.map(|(_, _, tokens)| tokens).sum();
    tokens as f64 / (LOAD - SETTLED).as_secs_f64() / rate
}

/// Weights of nodes of which the first of each three get ten times the requests of the others.
fn uneven(nodes: usize) -> Vec<f64> {
    (0..nodes).map(|node| if node % 3 == 0 { 10.0 } else { 1.0 }).collect()
}

/// Guards against quota that is lost in the stocks of nodes or by a division among nodes: an account
/// that asks for more than its quota must get it, at however many nodes its requests arrive.
#[test]
fn a_saturating_account_gets_its_quota() {
    let accounts = [
        account("a", 319_440.0),
        account("b", 90_000.0),
        account("c", 40_000.0),
        account("d", 9_000.0),
    ];
    for (excess, nodes, even) in [
        (1.5, 1, true),
        (1.5, 3, true),
        (1.5, 3, false),
        (1.5, NODES, true),
        (1.5, NODES, false),
        (7.5, 3, false),
        (7.5, NODES, false),
    ] {
        let mut sim = Sim::new(7, QuotaSettings::default(), NODES, &accounts, NETWORK);
        let weights = if even { vec![1.0; nodes] } else { uneven(nodes) };
        add_load(&mut sim, 0, 319_440.0 * excess, &weights);
        for (at, (_, quota)) in accounts.iter().enumerate().skip(1) {
            add_load(&mut sim, at, quota.rate * 0.6, &uneven(6));
        }
        sim.run(BEGIN + LOAD);
        let share = used_share(&sim, 0, 319_440.0);
        let datagrams = sim.datagrams as f64 / LOAD.as_secs_f64();
        println!(
            "{excess} times the quota at {nodes} nodes, even {even}: {share:.3} of the quota, \
             {datagrams:.0} datagrams per second, {:?}",
            sim.counts
        );
        assert!(share >= 0.95, "{share}");
        for (counts, (name, _)) in sim.counts.iter().zip(&accounts).skip(1) {
            assert_eq!((counts.refused, counts.unknown), (0, 0), "{name}");
        }
    }
}

/// Guards against refusals of accounts below their quota beside one that asks for 7.5 times its
/// quota, and against small accounts that are refused because a part holds too few tokens.
#[test]
fn accounts_below_their_quota_are_not_refused() {
    let mut accounts = vec![account("flood", 60_000.0)];
    let rates = [150_000.0, 80_000.0, 40_000.0, 20_000.0, 12_000.0, 9_000.0];
    accounts.extend(rates.iter().enumerate().map(|(at, rate)| account(&format!("a{at}"), *rate)));
    let mut sim = Sim::new(11, QuotaSettings::default(), NODES, &accounts, NETWORK);
    add_load(&mut sim, 0, 60_000.0 * 7.5, &uneven(9));
    for (at, (_, quota)) in accounts.iter().enumerate().skip(1) {
        add_load(&mut sim, at, quota.rate * 0.7, &uneven(9));
    }
    sim.run(BEGIN + LOAD);
    println!("{:?}", sim.counts);
    for (counts, (name, _)) in sim.counts.iter().zip(&accounts).skip(1) {
        println!("{name}: {counts:?}");
        assert!(counts.admitted > 50, "{name}: {counts:?}");
        assert_eq!((counts.refused, counts.unknown), (0, 0), "{name}");
    }
}

/// Guards against a lost owner that costs more than its part: until another node has its slot, an
/// account gets the parts of the other slots, and no request waits for the lost owner until its end.
#[test]
fn a_lost_owner_costs_a_quarter_of_the_quota() {
    let accounts = [account("a", 160_000.0)];
    let mut sim = Sim::new(5, QuotaSettings::default(), 9, &accounts, NETWORK);
    add_load(&mut sim, 0, 160_000.0 * 1.5, &uneven(9));
    sim.run(BEGIN);
    let owner = sim.owners()[0].expect("the slot has an owner");
    let slots = sim.owners().iter().filter(|other| **other == Some(owner)).count();
    sim.fault(BEGIN + Duration::from_secs(1), Fault::Restart(owner, LOAD * 2));
    sim.run(BEGIN + LOAD);
    let share = used_share(&sim, 0, 160_000.0);
    let left = 1.0 - slots as f64 / 4.0;
    println!("{slots} slots lost: {share:.3} of the quota, {:?}", sim.counts);
    assert!(share >= 0.9 * left, "{share}");
    assert_eq!(sim.counts[0].unknown, 0, "other owners reply");
}
