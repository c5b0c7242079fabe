//! Which nodes callers are directed to.

use fireflyhead_policy::Name;
use fireflyhead_policy::serving::Host;
use fireflyhead_policy::serving::HostLoad;
use fireflyhead_policy::serving::equivalent_nodes;
use fireflyhead_policy::serving::select;

/// Returns `count` hosts with this capacity, utilisation and rate of requests.
fn hosts(prefix: &str, count: usize, capacity: u32, load: Option<(u32, u32)>) -> Vec<Host> {
    let load = load.map(|(utilisation_permille, requests_per_s)| HostLoad {
        utilisation_permille,
        requests_per_s,
    });
    (0..count)
        .map(|n| Host { node: Name::from(format!("{prefix}-{n:03}")), capacity, load })
        .collect()
}

/// Returns the names of the selected hosts.
fn selected(mut hosts: Vec<Host>) -> Vec<String> {
    let count = select(&mut hosts);
    hosts[..count].iter().map(|host| host.node.to_string()).collect()
}

/// Guards against callers that are directed to many small hosts although few large ones carry the
/// load, against what small hosts do without requests that counts as demand, and against a small
/// host that gets as many callers as the large ones.
#[test]
fn the_fewest_hosts_that_carry_the_demand_are_selected() {
    let fleet = |utilisation| {
        let mut fleet = hosts("small", 26, 120, Some((250, 1)));
        fleet.extend(hosts("large", 2, 500, Some((utilisation, 100))));
        fleet
    };
    assert_eq!(selected(fleet(400)), ["large-000", "large-001"]);
    let busy = selected(fleet(900));
    assert!(busy.len() > 6 && busy[..2] == ["large-000", "large-001"], "{busy:?}");
}

/// Guards against fewer alternatives than callers need when a host fails, in small deployments and
/// where all hosts are alike.
#[test]
fn few_similar_hosts_are_all_selected() {
    assert_eq!(selected(hosts("node", 3, 250, Some((0, 0)))).len(), 3);
    assert_eq!(selected(hosts("node", 9, 250, Some((0, 0)))).len(), 3);
    assert_eq!(selected(hosts("node", 9, 250, Some((600, 40)))).len(), 9);
    assert_eq!(selected(hosts("node", 1, 250, Some((0, 0)))).len(), 1);
    assert!(selected(Vec::new()).is_empty());
}

/// Guards against an overload while nodes of an earlier build, which report no load, serve callers.
#[test]
fn hosts_of_unknown_load_count_as_fully_used() {
    assert_eq!(selected(hosts("node", 9, 250, None)).len(), 9);
}

/// Guards against a demand that outgrows the selected hosts: whatever they report when they are
/// saturated, the selection grows until it carries the demand, and stays there. Nodes that know the
/// same figures in another order select the same hosts.
#[test]
fn the_selection_follows_the_demand() {
    // Processor time of a request in thousandths of a core second, and utilisation of a host of 120
    // without requests.
    const REQUEST_COST: f64 = 2.0;
    const IDLE_UTILISATION: f64 = 100.0;
    for rate in [50.0, 350.0, 1_000.0, 2_500.0] {
        let mut fleet = hosts("small", 60, 120, Some((0, 0)));
        fleet.extend(hosts("large", 4, 500, Some((0, 0))));
        let mut capacity = 0.0;
        for round in 0..8 {
            let mut reversed: Vec<Host> = fleet.iter().rev().cloned().collect();
            let count = select(&mut fleet);
            assert_eq!((select(&mut reversed), &reversed), (count, &fleet));
            capacity = fleet[..count].iter().map(|host| f64::from(host.capacity)).sum();
            for (n, host) in fleet.iter_mut().enumerate() {
                let own_rate =
                    if n < count { rate * f64::from(host.capacity) / capacity } else { 0.0 };
                let used = own_rate * REQUEST_COST + IDLE_UTILISATION * 0.12;
                let utilisation = (used / f64::from(host.capacity) * 1_000.0).min(1_000.0) as u32;
                let served = own_rate.min(f64::from(host.capacity) / REQUEST_COST);
                host.load = Some(HostLoad {
                    utilisation_permille: utilisation,
                    requests_per_s: served as u32,
                });
            }
            let demand = rate * REQUEST_COST;
            assert!(round < 4 || capacity > demand, "{demand}: {capacity} in round {round}");
        }
        let demand = rate * REQUEST_COST;
        assert!(capacity < 3.0 * demand || capacity <= 1_500.0, "{demand}: {capacity}");
    }
}

/// Guards against a retry budget or a rate limit that the nodes exceed together, and against nodes
/// that serve all callers and get as little as those that serve none.
#[test]
fn the_shares_of_all_nodes_together_are_at_most_the_whole() {
    for serving in 0..20_u32 {
        for idle in 0..200_u32 {
            let parts = |own| equivalent_nodes(own, serving as usize, idle as usize) as f64;
            let sum = f64::from(serving) / parts(true) + f64::from(idle) / parts(false);
            assert!(sum < 1.000_001, "{serving} {idle}: {sum}");
        }
    }
    assert_eq!(equivalent_nodes(true, 8, 0), 8);
    assert!(equivalent_nodes(true, 8, 67) <= 13);
}
