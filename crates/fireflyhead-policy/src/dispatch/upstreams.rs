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

/// Weight of the newest stream in the share of late pauses.
const PAUSE_ALPHA: f64 = 0.08;

/// Prompt tokens that one engine may be sent a second.
///
/// Engines read about 20,000 a second while they generate nothing. At half of that, steps
/// that read a prompt alternate with steps that don't, and pauses stay within objectives.
const READ_TOKENS_PER_S: f64 = 11_000.0;
/// Share of the read rate that an engine loses whose streams all pause for too long.
const LATE_PACE_CUT: f64 = 0.5;

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
    /// Prompt tokens of this node's requests without output.
    pub(super) pending_tokens: u32,
    /// Prompt tokens that this node sent lately, drained at the read rate.
    level: f64,
    level_at: Time,
    in_flight: u32,
    in_use: HashMap<Name, u32>,
    peer_in_use: HashMap<Name, u32>,
    /// Share of the streams whose longest pause was over its objective, newest first.
    late_pauses: f64,
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
            level: 0.0,
            level_at: Time::default(),
            in_flight: 0,
            in_use: HashMap::new(),
            peer_in_use: HashMap::new(),
            late_pauses: 0.0,
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

    /// Prompt tokens from all nodes that keep the engine from its other requests.
    pub(super) fn backlog(&self, now: Time) -> u32 {
        self.own_backlog(now) + self.peer_pending
    }

    fn own_backlog(&self, now: Time) -> u32 {
        self.pending_tokens.max(self.level(now) as u32)
    }

    fn level(&self, now: Time) -> f64 {
        let drained = now.since(self.level_at).as_secs_f64() * READ_TOKENS_PER_S * self.pace();
        (self.level - drained).max(0.0)
    }

    /// Pace relative to an engine whose streams are on time.
    fn pace(&self) -> f64 {
        1.0 - LATE_PACE_CUT * self.late_pauses
    }

    pub(super) fn denies(&self, now: Time, adapter: &Name) -> bool {
        self.denied.get(adapter).is_some_and(|until| now < *until)
    }

    pub(super) fn departed(&mut self, now: Time, adapter: Option<&Name>, tokens: u32) {
        self.level = self.level(now) + f64::from(tokens);
        self.level_at = now;
        self.in_flight += 1;
        self.pending_tokens += tokens;
        if let Some(adapter) = adapter {
            *self.in_use.entry(adapter.clone()).or_insert(0) += 1;
        }
    }

    pub(super) fn landed(&mut self, adapter: Option<&Name>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(adapter) = adapter {
            subtract(&mut self.in_use, adapter, 1);
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
        for (adapter, count) in &load.adapters {
            *self.peer_in_use.entry(adapter.clone()).or_insert(0) += count;
        }
    }

    pub(super) fn remove_peer(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_sub(load.in_flight);
        self.peer_pending = self.peer_pending.saturating_sub(load.pending_tokens);
        for (adapter, count) in &load.adapters {
            subtract(&mut self.peer_in_use, adapter, *count);
        }
    }

    /// Requests of all nodes that use `adapter`.
    pub(super) fn uses(&self, adapter: &Name) -> u32 {
        let count = |uses: &HashMap<Name, u32>| uses.get(adapter).copied().unwrap_or(0);
        count(&self.in_use) + count(&self.peer_in_use)
    }

    /// Records whether a stream paused for longer than its objective.
    pub(super) fn paused(&mut self, late: bool) {
        let sample = if late { 1.0 } else { 0.0 };
        self.late_pauses += PAUSE_ALPHA * (sample - self.late_pauses);
    }

    /// Share of the streams that paused for too long.
    pub(super) fn late_pauses(&self) -> f64 {
        self.late_pauses
    }

    /// Load of this node; `None` if there is none.
    pub(super) fn load(&self, now: Time) -> Option<UpstreamLoad> {
        (self.in_flight > 0).then(|| UpstreamLoad {
            upstream: self.entry.id.clone(),
            in_flight: self.in_flight,
            pending_tokens: self.own_backlog(now),
            adapters: self.in_use.iter().map(|(name, count)| (name.clone(), *count)).collect(),
        })
    }
}

/// Lowers a count and drops it at zero.
fn subtract(counts: &mut HashMap<Name, u32>, key: &Name, by: u32) {
    match counts.get_mut(key) {
        Some(count) if *count > by => *count -= by,
        Some(_) => {
            counts.remove(key);
        }
        None => {}
    }
}
