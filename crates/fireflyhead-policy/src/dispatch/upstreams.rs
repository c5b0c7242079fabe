//! An upstream as the dispatcher sees it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::dialect::LoadReport;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;
use crate::health::Health;
use crate::message::UpstreamLoad;

use super::AdapterKey;

/// Time for which an upstream that said it was full gets no request.
const FULL_FOR: Duration = Duration::from_millis(60);
/// Time for which an adapter that an engine denied is not looked for there.
const ABSENT_FOR: Duration = Duration::from_millis(150);

/// Adapter in an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replica {
    pub(super) version: u64,
    pub(super) ready: bool,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) health: Health,
    pub(super) adapters: HashMap<AdapterKey, Replica>,
    /// Fencing number of the newest placement.
    pub(super) fence: u64,
    /// Whether its holder may give orders.
    pub(super) open: bool,
    /// Another upstream answered at its address.
    pub(super) misdirected: bool,
    pub(super) reported: Option<(Time, LoadReport)>,
    pub(super) pending_tokens: u32,
    in_flight: u32,
    in_use: HashMap<Name, u32>,
    peer_in_flight: u32,
    peer_pending: u32,
    full_until: Time,
    denied: HashMap<Name, Time>,
}

impl Upstream {
    pub(super) fn new(entry: Arc<UpstreamEntry>) -> Upstream {
        Upstream {
            entry,
            health: Health::default(),
            adapters: HashMap::new(),
            fence: 0,
            open: false,
            misdirected: false,
            reported: None,
            pending_tokens: 0,
            in_flight: 0,
            in_use: HashMap::new(),
            peer_in_flight: 0,
            peer_pending: 0,
            full_until: Time::default(),
            denied: HashMap::new(),
        }
    }

    /// Whether requests may be sent to it, health aside.
    pub(super) fn usable(&self, now: Time) -> bool {
        self.entry.state == UpstreamState::Ready && !self.misdirected && now >= self.full_until
    }

    /// Requests in flight from all nodes.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight + self.peer_in_flight
    }

    /// Prompt tokens without output from all nodes.
    pub(super) fn pending(&self) -> u32 {
        self.pending_tokens + self.peer_pending
    }

    pub(super) fn denies(&self, now: Time, adapter: &Name) -> bool {
        self.denied.get(adapter).is_some_and(|until| now < *until)
    }

    pub(super) fn departed(&mut self, adapter: Option<&Name>, tokens: u32) {
        self.in_flight += 1;
        self.pending_tokens += tokens;
        if let Some(adapter) = adapter {
            *self.in_use.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    pub(super) fn landed(&mut self, adapter: Option<&Name>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(adapter) = adapter else { return };
        match self.in_use.get_mut(adapter) {
            Some(count) if *count > 1 => *count -= 1,
            Some(_) => {
                self.in_use.remove(adapter);
            }
            None => {}
        }
    }

    pub(super) fn full(&mut self, now: Time) {
        self.full_until = now + FULL_FOR;
    }

    pub(super) fn absent(&mut self, now: Time, adapter: Option<&Name>) {
        self.denied.retain(|_, until| now < *until);
        if let Some(adapter) = adapter {
            self.denied.insert(adapter.clone(), now + ABSENT_FOR);
        }
    }

    pub(super) fn add_peer(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight += load.in_flight;
        self.peer_pending += load.pending_tokens;
    }

    pub(super) fn remove_peer(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_sub(load.in_flight);
        self.peer_pending = self.peer_pending.saturating_sub(load.pending_tokens);
    }

    /// Load of this node; `None` if there is none.
    pub(super) fn load(&self) -> Option<UpstreamLoad> {
        (self.in_flight > 0).then(|| UpstreamLoad {
            upstream: self.entry.id.clone(),
            in_flight: self.in_flight,
            pending_tokens: self.pending_tokens,
            adapters: self.in_use.iter().map(|(name, count)| (name.clone(), *count)).collect(),
        })
    }
}
