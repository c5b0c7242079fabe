//! Nodes that are alive and what they reported last.
//!
//! Answers killed, frozen and cut nodes: a node that stays silent leaves the answers to
//! callers after [`SILENCE`], long before its entry in the store lapses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::Heartbeat;
use crate::message::NodeState;
use crate::readers::Candidate;

/// Shortest silence after which a node is treated as unreachable.
pub const SILENCE: Duration = Duration::from_millis(1_200);

/// Beats that a silent node has missed at least. One may be lost, and the next one is awaited.
const MISSED_BEATS: f64 = 2.25;

/// Silence after which a node is forgotten.
const FORGET: Duration = Duration::from_secs(30);

/// Peer with its newest beat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Newest beat.
    pub beat: Heartbeat,
    /// Arrival of the newest beat.
    pub heard: Time,
}

/// All peers.
#[derive(Debug)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
    silence: Duration,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers { peers: HashMap::new(), silence: SILENCE }
    }
}

impl Peers {
    /// Sets the longest interval at which peers send beats; it grows with their number.
    pub fn expect_beats(&mut self, interval: Duration) {
        self.silence = SILENCE.max(interval.mul_f64(MISSED_BEATS));
    }

    /// Takes a beat; `false` if it is older than the newest one of its node.
    pub fn heard(&mut self, now: Time, beat: Heartbeat) -> bool {
        match self.peers.get(&beat.node) {
            Some(peer)
                if (peer.beat.incarnation, peer.beat.seq) >= (beat.incarnation, beat.seq) =>
            {
                false
            }
            Some(_) | None => {
                let placements = beat.placements.clone().or_else(|| {
                    let old = self.peers.get(&beat.node)?;
                    old.beat.placements.clone().filter(|_| old.beat.incarnation == beat.incarnation)
                });
                let beat = Heartbeat { placements, ..beat };
                self.peers.insert(beat.node.clone(), Peer { beat, heard: now });
                true
            }
        }
    }

    /// Forgets nodes that have been silent for long; returns the nodes that are silent.
    pub fn tick(&mut self, now: Time) -> Vec<Name> {
        self.peers.retain(|_, peer| now.since(peer.heard) < FORGET);
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) >= self.silence)
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Whether `node` was heard lately.
    pub fn alive(&self, now: Time, node: &str) -> bool {
        self.peers.get(node).is_some_and(|peer| now.since(peer.heard) < self.silence)
    }

    /// Peers that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let silence = self.silence;
        self.peers.values().filter(move |peer| now.since(peer.heard) < silence)
    }

    /// Peers of `zone` that were heard lately and don't leave, as candidates for readers.
    pub fn candidates(&self, now: Time, zone: &Name) -> Vec<Candidate> {
        self.live(now)
            .filter(|peer| peer.beat.zone == *zone && peer.beat.state != NodeState::Leaving)
            .map(|peer| Candidate { node: peer.beat.node.clone(), capacity: peer.beat.capacity })
            .collect()
    }

    /// Peers that take callers.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.live(now).filter(|peer| peer.beat.state == NodeState::Ready)
    }

    /// Peer address of `node`.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.beat.peer_address)
    }

    /// All peers that are remembered.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }
}
