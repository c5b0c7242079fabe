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
}

impl Default for Peers {
    fn default() -> Peers {
        Peers { peers: HashMap::new(), silence_timeout: MIN_SILENCE_TIMEOUT }
    }
}

impl Peers {
    /// Sets the longest interval at which peers send heartbeats, which grows with their number.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.silence_timeout = MIN_SILENCE_TIMEOUT.max(interval.mul_f64(SILENCE_TIMEOUT_INTERVALS));
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
                let placements = heartbeat.placements.clone().or_else(|| {
                    let old = self.peers.get(&heartbeat.node)?;
                    old.heartbeat
                        .placements
                        .clone()
                        .filter(|_| old.heartbeat.incarnation == heartbeat.incarnation)
                });
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
            .filter(|(_, peer)| now.since(peer.last_heard) >= self.silence_timeout)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Returns whether `node` is reachable: it sent a heartbeat recently.
    pub fn is_alive(&self, now: Time, node: &str) -> bool {
        self.peers.get(node).is_some_and(|peer| now.since(peer.last_heard) < self.silence_timeout)
    }

    /// Returns the reachable peers.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let timeout = self.silence_timeout;
        self.peers.values().filter(move |peer| now.since(peer.last_heard) < timeout)
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

    /// Returns all known peers, unreachable ones included.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
}
