//! Selection of the nodes to which callers are directed.
//!
//! Handles deployments with many more hosts than the load needs: a node that serves callers has to
//! know the placements and loads of all engines, which costs more than the requests if every host
//! does it. Callers are therefore directed to the hosts with the most capacity, as many as carry
//! the measured demand with room for a burst. The others only own engines and stay ready to take
//! over; they are sent little. When demand rises or hosts are lost, the next answer to callers
//! names more hosts.

use crate::Name;

/// Utilisation of the selected hosts at the measured demand; the rest is room for a burst.
const TARGET_UTILISATION: f64 = 0.5;
/// Share of the highest rate of requests from which a host's utilisation tells what a request costs.
/// At lower rates, the cost of what a node does without requests outweighs it.
const REPRESENTATIVE_RATE: f64 = 0.5;
/// Smallest number of selected hosts, so that callers have an alternative when one fails.
const MIN_HOSTS: usize = 2;
/// Smallest number of selected hosts while the next one has a similar capacity.
const MIN_SIMILAR_HOSTS: usize = 3;
/// Share of the largest capacity from which a host counts as similar. Callers choose among the
/// selected hosts at random, so that a much smaller one would be overloaded.
const SIMILAR_CAPACITY: f64 = 0.5;

/// Share of what is divided among the nodes that one gets which doesn't serve callers, as a fraction
/// of the share of one that does.
const IDLE_SHARE: f64 = 1.0 / 16.0;

/// Host of a node that accepts callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Node.
    pub node: Name,
    /// Processor share in thousandths of a core.
    pub capacity: u32,
    /// Load; `None` if unknown.
    pub load: Option<HostLoad>,
}

/// Recent load of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLoad {
    /// Share of its capacity that the node used, in thousandths.
    pub utilisation_permille: u32,
    /// Number of requests of callers in a second.
    pub requests_per_s: u32,
}

impl Host {
    /// Returns the processor time that the node used, in thousandths of a core. A node that doesn't
    /// tell may use all.
    fn used(&self) -> f64 {
        let permille = self.load.map_or(1_000, |load| load.utilisation_permille.min(1_000));
        f64::from(self.capacity) * f64::from(permille) / 1_000.0
    }

    fn rate(&self) -> f64 {
        self.load.map_or(0.0, |load| f64::from(load.requests_per_s))
    }
}

/// Returns the processor time that the requests of `hosts` need, in thousandths of a core.
fn demand(hosts: &[Host]) -> f64 {
    let highest_rate = hosts.iter().map(Host::rate).fold(0.0, f64::max);
    let is_representative =
        |host: &&Host| host.rate() > 0.0 && host.rate() >= highest_rate * REPRESENTATIVE_RATE;
    let sum = |value: fn(&Host) -> f64| hosts.iter().filter(is_representative).map(value).sum();
    let (used, rate): (f64, f64) = (sum(Host::used), sum(Host::rate));
    let total_rate: f64 = hosts.iter().map(Host::rate).sum();
    let known = if rate > 0.0 { used / rate * total_rate } else { 0.0 };
    let unknown: f64 = hosts.iter().filter(|host| host.load.is_none()).map(Host::used).sum();
    known + unknown
}

/// Returns how many of `hosts` callers are directed to, and sorts them so that these come first.
/// All nodes that know the same figures select the same hosts.
pub fn select(hosts: &mut [Host]) -> usize {
    hosts.sort_unstable_by(|a, b| b.capacity.cmp(&a.capacity).then_with(|| a.node.cmp(&b.node)));
    let required = demand(hosts) / TARGET_UTILISATION;
    let largest = hosts.first().map_or(0.0, |host| f64::from(host.capacity));
    let mut selected = 0;
    let mut capacity = 0.0;
    for host in hosts.iter() {
        let is_similar = f64::from(host.capacity) >= largest * SIMILAR_CAPACITY;
        let enough = selected >= if is_similar { MIN_SIMILAR_HOSTS } else { MIN_HOSTS };
        if enough && capacity >= required {
            break;
        }
        selected += 1;
        capacity += f64::from(host.capacity);
    }
    selected
}

/// Returns the number of equal parts into which a node divides what all nodes share, given the
/// numbers of nodes that serve callers and that don't, itself included. The parts of all nodes
/// together are at most the whole.
pub fn equivalent_nodes(own_serving: bool, serving: usize, idle: usize) -> usize {
    let total = serving as f64 + idle as f64 * IDLE_SHARE;
    let own = if own_serving { 1.0 } else { IDLE_SHARE };
    ((total / own).ceil() as usize).max(1)
}
