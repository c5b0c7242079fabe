//! An upstream as the dispatcher sees it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;
use crate::health::UpstreamHealth;
use crate::message::UpstreamLoad;
use crate::protocol::LoadReport;

use super::AdapterKey;
use super::FULL_FOR;
use super::load::EngineLoad;
use super::load::drained;

/// Time for which an adapter that an engine denied is not looked for there.
const ABSENT_FOR: Duration = Duration::from_millis(150);
/// Age up to which the load that a holder stated counts.
const STATED_FOR: Duration = Duration::from_secs(3);

/// Time for which an engine loads an adapter that it held ten times as fast as others. The
/// platform says "recently"; evicted adapters came back within this time in the users' bench.
const WARM_FOR: Duration = Duration::from_secs(30);

/// Adapter in an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replica {
    pub(super) version: u64,
    pub(super) ready: bool,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) health: UpstreamHealth,
    pub(super) adapters: HashMap<AdapterKey, Replica>,
    /// Fencing number of the newest placement.
    pub(super) fence: u64,
    /// Whether its holder may give orders.
    pub(super) open: bool,
    /// Another upstream answered at its address.
    pub(super) misdirected: bool,
    pub(super) reported: Option<(Time, LoadReport)>,
    /// Requests of this node.
    pub(super) own: EngineLoad,
    /// Requests of the other nodes at a plain upstream.
    peer_in_flight: u32,
    /// Node that admits requests to the engine.
    pub(super) holder: Option<Name>,
    /// The holder gave no answer and is not asked before this time.
    silent_until: Time,
    /// Load of all nodes at the engine as its holder stated it.
    stated: Option<(Time, UpstreamLoad)>,
    full_until: Time,
    denied: HashMap<Name, Time>,
    /// Adapters that the engine held lately, with the time at which they were dropped.
    dropped: HashMap<AdapterKey, Time>,
}

impl Upstream {
    pub(super) fn new(entry: Arc<UpstreamEntry>) -> Upstream {
        Upstream {
            entry,
            health: UpstreamHealth::default(),
            adapters: HashMap::new(),
            fence: 0,
            open: false,
            misdirected: false,
            reported: None,
            own: EngineLoad::default(),
            peer_in_flight: 0,
            holder: None,
            silent_until: Time::default(),
            stated: None,
            full_until: Time::default(),
            denied: HashMap::new(),
            dropped: HashMap::new(),
        }
    }

    /// Whether requests may be sent to it, health aside.
    pub(super) fn usable(&self, now: Time) -> bool {
        self.entry.state == UpstreamState::Ready && !self.misdirected && now >= self.full_until
    }

    /// Holder that admits requests now; without one the node decides by itself.
    pub(super) fn asked_holder(&self, now: Time) -> Option<&Name> {
        self.holder.as_ref().filter(|_| self.open && now >= self.silent_until)
    }

    /// Records that the holder gave no answer.
    pub(super) fn holder_silent(&mut self, now: Time, span: Duration) {
        self.silent_until = now + span;
    }

    /// Requests in flight from all nodes.
    pub(super) fn in_flight(&self, now: Time) -> u32 {
        let stated = self.stated(now).map_or(0, |(_, load)| load.in_flight);
        stated.max(self.own.in_flight()) + self.peer_in_flight
    }

    /// Prompt tokens from all nodes that keep the engine from its other requests.
    pub(super) fn backlog(&self, now: Time) -> u32 {
        let stated = self.stated(now).map_or(0, |(at, load)| {
            let tokens = f64::from(load.pending_prompt_tokens + load.queued_prompt_tokens);
            drained(tokens, now.since(at), self.own.pace()) as u32
        });
        stated.max(self.own.backlog(now))
    }

    /// Share of the streams that paused for too long.
    pub(super) fn late_pauses(&self, now: Time) -> f64 {
        let stated =
            self.stated(now).map(|(_, load)| f64::from(load.late_streams_permille) / 1_000.0);
        stated.unwrap_or_else(|| self.own.late_pauses())
    }

    /// Requests of all nodes that use `adapter`.
    pub(super) fn uses(&self, now: Time, adapter: &Name) -> u32 {
        let stated = self
            .stated(now)
            .and_then(|(_, load)| load.adapters.iter().find(|(name, _)| name == adapter))
            .map_or(0, |(_, count)| *count);
        stated.max(self.own.uses(adapter))
    }

    /// Whether all adapter slots of the engine are known to be in use.
    pub(super) fn is_packed(&self, now: Time) -> bool {
        self.stated(now).is_some_and(|(_, load)| load.available_adapter_slots == 0)
    }

    fn stated(&self, now: Time) -> Option<(Time, &UpstreamLoad)> {
        let (at, load) = self.stated.as_ref()?;
        (now.since(*at) < STATED_FOR).then_some((*at, load))
    }

    /// Takes the load that `node` states, if it is the holder.
    pub(super) fn stated_by(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        if self.holder.as_ref() == Some(node) {
            self.stated = Some((now, load));
        }
    }

    /// Takes figures that came with an answer of `node`; they name no adapters.
    pub(super) fn figures(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        let adapters = self.stated.take().map(|(_, stated)| stated.adapters).unwrap_or_default();
        self.stated_by(now, node, UpstreamLoad { adapters, ..load });
    }

    /// Whether the engine holds `key` at version `least` or newer and answers for it.
    pub(super) fn serves(&self, now: Time, key: &AdapterKey, least: u64) -> bool {
        self.adapters.get(key).is_some_and(|replica| replica.ready && replica.version >= least)
            && !self.denies(now, &key.1)
    }

    /// Records that the engine holds `key` no longer.
    pub(super) fn dropped(&mut self, now: Time, key: &AdapterKey) {
        self.dropped.retain(|_, at| now.since(*at) < WARM_FOR);
        if self.adapters.remove(key).is_some_and(|replica| replica.ready) {
            self.dropped.insert(key.clone(), now);
        }
    }

    /// Whether the engine held `key` lately, so that it loads it without the store.
    pub(super) fn is_warm(&self, now: Time, key: &AdapterKey) -> bool {
        self.dropped.get(key).is_some_and(|at| now.since(*at) < WARM_FOR)
    }

    fn denies(&self, now: Time, adapter: &Name) -> bool {
        self.denied.get(adapter).is_some_and(|until| now < *until)
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
    }

    pub(super) fn remove_peer(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_sub(load.in_flight);
    }

    /// Load of this node at a plain upstream; `None` if there is none.
    pub(super) fn plain_load(&self) -> Option<UpstreamLoad> {
        (self.holder.is_none() && self.own.in_flight() > 0).then(|| UpstreamLoad {
            upstream: self.entry.id.clone(),
            in_flight: self.own.in_flight(),
            ..UpstreamLoad::default()
        })
    }
}
