//! Nodes that are alive and what they reported last.
//!
//! Answers killed, frozen and cut nodes: a node that stays silent leaves the answers to
//! callers after [`MIN_SILENCE_TIMEOUT`], long before its entry in the store lapses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::Heartbeat;
use crate::message::NodeState;
use crate::readers::ReaderCandidate;

/// Shortest silence after which a node is treated as unreachable.
pub const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Beats that a silent node has missed at least. One may be lost, and the next one is awaited.
const MISSED_BEATS: f64 = 2.25;

/// Silence after which a node is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// Peer with its newest beat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Newest beat.
    pub heartbeat: Heartbeat,
    /// Arrival of the newest beat.
    pub last_heard: Time,
}

/// All peers.
#[derive(Debug)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
    silence: Duration,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers { peers: HashMap::new(), silence: MIN_SILENCE_TIMEOUT }
    }
}

impl Peers {
    /// Sets the longest interval at which peers send beats; it grows with their number.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.silence = MIN_SILENCE_TIMEOUT.max(interval.mul_f64(MISSED_BEATS));
    }

    /// Takes a beat; `false` if it is older than the newest one of its node.
    pub fn record_heartbeat(&mut self, now: Time, beat: Heartbeat) -> bool {
        match self.peers.get(&beat.node) {
            Some(peer)
                if (peer.heartbeat.incarnation, peer.heartbeat.seq)
                    >= (beat.incarnation, beat.seq) =>
            {
                false
            }
            Some(_) | None => {
                let placements = beat.placements.clone().or_else(|| {
                    let old = self.peers.get(&beat.node)?;
                    old.heartbeat
                        .placements
                        .clone()
                        .filter(|_| old.heartbeat.incarnation == beat.incarnation)
                });
                let beat = Heartbeat { placements, ..beat };
                self.peers.insert(beat.node.clone(), Peer { heartbeat: beat, last_heard: now });
                true
            }
        }
    }

    /// Forgets nodes that have been silent for long; returns the nodes that are silent.
    pub fn prune(&mut self, now: Time) -> Vec<Name> {
        self.peers.retain(|_, peer| now.since(peer.last_heard) < FORGET);
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_heard) >= self.silence)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Whether `node` was heard lately.
    pub fn is_alive(&self, now: Time, node: &str) -> bool {
        self.peers.get(node).is_some_and(|peer| now.since(peer.last_heard) < self.silence)
    }

    /// Peers that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let silence = self.silence;
        self.peers.values().filter(move |peer| now.since(peer.last_heard) < silence)
    }

    /// Peers of `zone` that were heard lately and don't leave, as candidates for readers.
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

    /// Peers that take callers.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.heartbeat.state == NodeState::Ready)
    }

    /// Peer address of `node`.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.heartbeat.peer_address)
    }

    /// All peers that are remembered.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
}
