//! Quotas under load: how much of its quota an account gets, and which requests are refused.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::quota::GrantedTokens;
use fireflyhead_policy::quota::QuotaDemand;
use fireflyhead_policy::quota::QuotaGrant;
use fireflyhead_policy::quota::QuotaRequest;
use fireflyhead_policy::quota::QuotaSettings;
use fireflyhead_policy::quota::Slot;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;
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

/// Adds requests of the deployment's kinds.
fn add_load(sim: &mut Sim, account: usize, tokens_per_s: f64, weights: &[f64]) {
    add_requests(sim, account, tokens_per_s, weights, &COSTS);
}

/// Adds requests of `account` with the given mean tokens per second and `costs`, the tokens of the
/// kinds of requests with their shares. A node gets requests in proportion to its weight.
fn add_requests(
    sim: &mut Sim,
    account: usize,
    tokens_per_s: f64,
    weights: &[f64],
    costs: &[(u64, f64)],
) {
    let mean: f64 = costs.iter().map(|(cost, share)| *cost as f64 * share).sum();
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
        let (cost, _) = costs
            .iter()
            .find(|(_, share)| {
                kind -= share;
                kind < 0.0
            })
            .unwrap_or(&costs[0]);
        sim.request(Duration::from_secs_f64(at), node.unwrap_or(0), account, *cost);
    }
}

/// Returns the tokens that `account` used per second once the load had settled, as a share of
/// `rate`.
fn used_share(sim: &Sim, account: usize, rate: f64) -> f64 {
    let start = Time::from_millis(1_000) + BEGIN + SETTLED;
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

/// Guards against large requests that hardly get tokens while small ones of other nodes take them:
/// the largest tenth must be served at least half as often as all. Without
/// additional time for their own tokens, at eight nodes and 2.5 times the quota, they were served a
/// fifth as often.
#[test]
fn large_requests_of_a_saturating_account_are_not_starved() {
    const LARGE: u64 = 5_000;
    let costs = [(LARGE, 0.1), (1_503, 0.4), (663, 0.25), (200, 0.25)];
    let rate = 495_850.0;
    for seed in 1..=5 {
        let accounts = [account("hot", rate)];
        let mut sim = Sim::new(seed, QuotaSettings::default(), 8, &accounts, NETWORK);
        add_requests(&mut sim, 0, 2.5 * rate, &[1.0; 8], &costs);
        sim.run(BEGIN + LOAD + Duration::from_secs(1));
        let mean: f64 = costs.iter().map(|(cost, share)| *cost as f64 * share).sum();
        let requests = 2.5 * rate / mean * LOAD.as_secs_f64();
        let served = sim.used.len() as f64 / requests;
        let large = sim.used.iter().filter(|(_, _, tokens)| *tokens == LARGE).count() as f64;
        let served_large = large / (requests * 0.1);
        println!("seed {seed}: served {served:.3}, of the largest tenth {served_large:.3}");
        assert!(
            served_large >= 0.5 * served,
            "{served_large:.3} of the largest, {served:.3} of all"
        );
        let share = used_share(&sim, 0, rate);
        assert!(share >= 0.95, "{share:.3} of the quota are used");
    }
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

/// Guards against control traffic that grows with the number of nodes or accounts. The load is that
/// of the deployment with accounts, 504,000 tokens per second, at 300 nodes.
#[test]
fn control_traffic_stays_small() {
    const LARGE_FLEET: usize = 300;
    const TOKENS_PER_S: f64 = 504_000.0;
    for (count, serving) in [(16, 24), (16, LARGE_FLEET), (20_000, 24), (20_000, LARGE_FLEET)] {
        // As in the deployment, the largest of 16 accounts has a third of the load.
        let share = |at: usize| match (count, at) {
            (16, 0) => 1.0 / 3.0,
            _ => (1.0 / count as f64).max(0.01 * f64::from(u8::from(count == 16))),
        };
        let accounts: Vec<(Name, Quota)> = (0..count)
            .map(|at| account(&format!("account{at}"), TOKENS_PER_S * share(at) * 1.5 + 5_000.0))
            .collect();
        let mut sim = Sim::new(3, QuotaSettings::default(), LARGE_FLEET, &accounts, NETWORK);
        sim.bytes = Some(vec![0; LARGE_FLEET]);
        if count == 16 {
            for at in 0..count {
                add_load(&mut sim, at, TOKENS_PER_S * share(at), &vec![1.0; serving]);
            }
        } else {
            add_load_of_many(&mut sim, TOKENS_PER_S, count, serving);
        }
        sim.run(BEGIN + LOAD);
        let bytes = sim.bytes.as_ref().expect("they are counted");
        let per_s = |bytes: u64| bytes as f64 / LOAD.as_secs_f64() / 1_000.0;
        let mean = per_s(bytes.iter().sum::<u64>()) / LARGE_FLEET as f64;
        let most = per_s(*bytes.iter().max().expect("there are nodes"));
        let admitted: u64 = sim.counts.iter().map(|counts| counts.admitted).sum();
        let refused: u64 = sim.counts.iter().map(|counts| counts.refused + counts.unknown).sum();
        println!(
            "{count} accounts, {serving} of {LARGE_FLEET} nodes serve: {mean:.2} KB/s a node, at \
             most {most:.1}; {admitted} admitted, {refused} refused"
        );
        assert!(mean < 1.0, "{mean}");
    }
}

/// Adds requests of as many accounts, each equally likely.
fn add_load_of_many(sim: &mut Sim, tokens_per_s: f64, accounts: usize, nodes: usize) {
    let (cost, _) = COSTS[0];
    let interval = cost as f64 / tokens_per_s;
    let requests = (LOAD.as_secs_f64() / interval) as u32;
    for number in 0..requests {
        let at = BEGIN + Duration::from_secs_f64(interval * f64::from(number));
        let node = sim.rng.random_range(0..nodes);
        let account = sim.rng.random_range(0..accounts);
        sim.request(at, node, account, cost);
    }
}

/// Shows the encoded sizes from which the traffic follows.
#[test]
fn sizes_of_quota_messages_are_small() {
    let size = |datagram: &Datagram| {
        let encoded = codec::encode(&wire::Datagram::from(datagram));
        encoded.expect("it is encoded").len()
    };
    let request = |accounts: usize| {
        let demand = |at: usize| QuotaDemand {
            account: Name::from(format!("account{at}")),
            waiting: vec![1_630],
            expected: 0,
        };
        Datagram::QuotaRequest(QuotaRequest {
            node: Name::from("i-8049e92b2d"),
            incarnation: 1_790_000_000_000,
            seq: 1 << 40,
            slot: Slot::new(3).expect("a slot"),
            demands: (0..accounts).map(demand).collect(),
        })
    };
    let grant = |accounts: usize| {
        let granted = GrantedTokens { tokens: 1_630, retry_after: Duration::from_millis(40) };
        let slot = Slot::new(3).expect("a slot");
        Datagram::QuotaGrant(QuotaGrant { seq: 1 << 40, slot, grants: vec![granted; accounts] })
    };
    for accounts in [1, 16, 128] {
        let (request, grant) = (size(&request(accounts)), size(&grant(accounts)));
        println!("{accounts} accounts: request {request} bytes, grant {grant} bytes");
        assert!(request <= 40 + 24 * accounts && grant <= 20 + 12 * accounts);
    }
}
