//! Liveness of the other nodes and the state that they last reported.
//!
//! Detects nodes that were killed, paused or partitioned: a node without heartbeats for
//! [`MIN_SILENCE_TIMEOUT`] is no longer offered to callers, long before its entry in the store
//! lapses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::Heartbeat;
use crate::message::NodeState;
use crate::readers::ReaderCandidate;

/// Lower bound of the time without heartbeats after which a node counts as unreachable.
pub const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Heartbeat intervals without a heartbeat after which a node counts as unreachable: one heartbeat
/// may be lost, and the next one may be late.
const SILENCE_TIMEOUT_INTERVALS: f64 = 2.25;

/// Time without heartbeats after which a node is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// Intervals at which nodes send heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatIntervals {
    /// Longest interval between nodes of which one serves callers and the other has something to
    /// tell. It grows with the number of nodes.
    pub regular: Duration,
    /// Longest interval between other nodes.
    pub idle: Duration,
}

/// Other node with its newest heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Time at which it arrived.
    pub last_heard: Time,
}

/// Known peers.
#[derive(Debug)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
    /// Time without heartbeats after which a peer counts as unreachable.
    silence_timeout: Duration,
    /// The same for a peer that sends heartbeats at the idle interval.
    idle_silence_timeout: Duration,
    /// Time from which all peers with something to tell send heartbeats at the regular interval,
    /// because this node serves callers; `None` if it doesn't.
    regular_from: Option<Time>,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers {
            peers: HashMap::new(),
            silence_timeout: MIN_SILENCE_TIMEOUT,
            idle_silence_timeout: MIN_SILENCE_TIMEOUT,
            regular_from: None,
        }
    }
}

impl Peers {
    /// Sets the intervals at which peers send heartbeats.
    pub fn set_heartbeat_intervals(&mut self, intervals: HeartbeatIntervals) {
        let timeout = |interval: Duration| interval.mul_f64(SILENCE_TIMEOUT_INTERVALS);
        self.silence_timeout = MIN_SILENCE_TIMEOUT.max(timeout(intervals.regular));
        self.idle_silence_timeout = self.silence_timeout.max(timeout(intervals.idle));
    }

    /// Sets whether this node serves callers. If it begins to, peers change to the regular interval
    /// only when they learn of it.
    pub fn set_serving(&mut self, now: Time, serving: bool) {
        self.regular_from = match (serving, self.regular_from) {
            (true, None) => Some(now + self.idle_silence_timeout),
            (true, from) => from,
            (false, _) => None,
        };
    }

    /// Returns whether `peer` is reachable.
    fn is_live(&self, now: Time, peer: &Peer) -> bool {
        let heartbeat = &peer.heartbeat;
        let is_regular = heartbeat.is_serving()
            || heartbeat.has_content() && self.regular_from.is_some_and(|from| now >= from);
        let timeout = if is_regular { self.silence_timeout } else { self.idle_silence_timeout };
        now.since(peer.last_heard) < timeout
    }

    /// Returns the number of adapter loads in progress that the reachable peers ordered.
    pub fn adapter_loads_in_progress(&self, now: Time) -> u32 {
        let loads = self.live(now).map(|peer| peer.heartbeat.adapter_loads_in_progress);
        loads.fold(0, u32::saturating_add)
    }

    /// Returns the number of adapter loads in progress over all nodes that the serving peer heard
    /// last has reported; `None` if no peer serves callers.
    pub fn fleet_adapter_loads(&self, now: Time) -> Option<u32> {
        let serving = self.live(now).filter(|peer| peer.heartbeat.is_serving());
        let newest = serving.max_by_key(|peer| peer.last_heard)?;
        newest.heartbeat.activity.map(|activity| activity.fleet_adapter_loads)
    }

    /// Records a heartbeat; returns `false` and ignores it if it is not newer than the last one of
    /// its node.
    ///
    /// A heartbeat without placements keeps those of the previous one of the same process.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        match self.peers.get(&heartbeat.node) {
            Some(peer)
                if (peer.heartbeat.incarnation, peer.heartbeat.seq)
                    >= (heartbeat.incarnation, heartbeat.seq) =>
            {
                false
            }
            Some(_) | None => {
                let old = self.peers.remove(&heartbeat.node).map(|peer| peer.heartbeat);
                let kept = || {
                    old.filter(|old| old.incarnation == heartbeat.incarnation)
                        .and_then(|old| old.placements)
                };
                let placements = heartbeat.placements.or_else(kept);
                let heartbeat = Heartbeat { placements, ..heartbeat };
                self.peers.insert(heartbeat.node.clone(), Peer { heartbeat, last_heard: now });
                true
            }
        }
    }

    /// Removes the nodes that sent no heartbeat for 30 s, and returns the names of the other
    /// unreachable nodes.
    pub fn prune_and_list_unreachable(&mut self, now: Time) -> Vec<Name> {
        self.peers.retain(|_, peer| now.since(peer.last_heard) < REMOVE_AFTER);
        self.peers
            .iter()
            .filter(|(_, peer)| !self.is_live(now, peer))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Returns whether `node` is reachable: it sent a heartbeat recently.
    pub fn is_alive(&self, now: Time, node: &str) -> bool {
        self.peers.get(node).is_some_and(|peer| self.is_live(now, peer))
    }

    /// Returns the reachable peers.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| self.is_live(now, peer))
    }

    /// Returns the reachable peers of `zone` that are not leaving, as candidates for store readers.
    pub fn reader_candidates(&self, now: Time, zone: &Name) -> Vec<ReaderCandidate> {
        self.live(now)
            .filter(|peer| {
                peer.heartbeat.zone == *zone && peer.heartbeat.state != NodeState::Leaving
            })
            .map(|peer| ReaderCandidate {
                node: peer.heartbeat.node.clone(),
                capacity: peer.heartbeat.capacity,
            })
            .collect()
    }

    /// Returns the reachable peers that accept callers.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.heartbeat.state == NodeState::Ready)
    }

    /// Returns the address of `node` for other nodes; `None` if the node is unknown.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.heartbeat.peer_address)
    }

    /// Returns the start of the process of `node` that was heard last; `None` if the node is unknown.
    pub fn incarnation(&self, node: &str) -> Option<u64> {
        self.peers.get(node).map(|peer| peer.heartbeat.incarnation)
    }

    /// Returns the number of known peers in `zone`.
    pub fn count_same_zone(&self, zone: &Name) -> usize {
        self.peers.values().filter(|peer| peer.heartbeat.zone == *zone).count()
    }

    /// Returns the number of known peers outside `zone`.
    pub fn count_other_zones(&self, zone: &Name) -> usize {
        self.peers.len() - self.count_same_zone(zone)
    }

    /// Returns whether `node` is known.
    pub fn contains(&self, node: &str) -> bool {
        self.peers.contains_key(node)
    }

    /// Returns all known peers, unreachable ones included.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
}
