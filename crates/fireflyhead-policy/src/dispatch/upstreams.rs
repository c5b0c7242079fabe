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
use super::FULL_BACKOFF;
use super::load::EngineLoad;
use super::load::drain;

/// Time for which an adapter that an engine denied is not looked for there.
const ABSENT_ADAPTER_BACKOFF: Duration = Duration::from_millis(150);
/// Age up to which the load that a holder stated counts.
const HOLDER_LOAD_TTL: Duration = Duration::from_secs(3);

/// Time for which an engine loads an adapter that it held ten times as fast as others. The
/// platform says "recently"; evicted adapters came back within this time in the users' bench.
const WARM_DURATION: Duration = Duration::from_secs(30);

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
    pub(super) holder_active: bool,
    /// Another upstream answered at its address.
    pub(super) misdirected: bool,
    pub(super) load_report: Option<(Time, LoadReport)>,
    /// Requests of this node.
    pub(super) own_load: EngineLoad,
    /// Requests of the other nodes at a plain upstream.
    peer_in_flight: u32,
    /// Node that admits requests to the engine.
    pub(super) holder: Option<Name>,
    /// The holder gave no answer and is not asked before this time.
    holder_retry_at: Time,
    /// Load of all nodes at the engine as its holder stated it.
    holder_load: Option<(Time, UpstreamLoad)>,
    full_until: Time,
    absent_until: HashMap<Name, Time>,
    /// Adapters that the engine held lately, with the time at which they were dropped.
    dropped_at: HashMap<AdapterKey, Time>,
}

impl Upstream {
    pub(super) fn new(entry: Arc<UpstreamEntry>) -> Upstream {
        Upstream {
            entry,
            health: Health::default(),
            adapters: HashMap::new(),
            fence: 0,
            holder_active: false,
            misdirected: false,
            load_report: None,
            own_load: EngineLoad::default(),
            peer_in_flight: 0,
            holder: None,
            holder_retry_at: Time::default(),
            holder_load: None,
            full_until: Time::default(),
            absent_until: HashMap::new(),
            dropped_at: HashMap::new(),
        }
    }

    /// Whether requests may be sent to it, health aside.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.entry.state == UpstreamState::Ready && !self.misdirected && now >= self.full_until
    }

    /// Holder that admits requests now; without one the node decides by itself.
    pub(super) fn active_holder(&self, now: Time) -> Option<&Name> {
        self.holder.as_ref().filter(|_| self.holder_active && now >= self.holder_retry_at)
    }

    /// Records that the holder gave no answer.
    pub(super) fn skip_holder(&mut self, now: Time, backoff: Duration) {
        self.holder_retry_at = now + backoff;
    }

    /// Requests in flight from all nodes.
    pub(super) fn in_flight(&self, now: Time) -> u32 {
        let from_holder = self.fresh_holder_load(now).map_or(0, |(_, load)| load.in_flight);
        from_holder.max(self.own_load.in_flight()) + self.peer_in_flight
    }

    /// Prompt tokens from all nodes that keep the engine from its other requests.
    pub(super) fn backlog(&self, now: Time) -> u32 {
        let from_holder = self.fresh_holder_load(now).map_or(0, |(at, load)| {
            let tokens = f64::from(load.pending_prompt_tokens + load.queued_prompt_tokens);
            drain(tokens, now.since(at), self.own_load.pace()) as u32
        });
        from_holder.max(self.own_load.paced_backlog(now))
    }

    /// Share of the streams that paused for too long.
    pub(super) fn late_stream_share(&self, now: Time) -> f64 {
        let from_holder = self
            .fresh_holder_load(now)
            .map(|(_, load)| f64::from(load.late_streams_permille) / 1_000.0);
        from_holder.unwrap_or_else(|| self.own_load.late_stream_share())
    }

    /// Requests of all nodes that use `adapter`.
    pub(super) fn requests_using(&self, now: Time, adapter: &Name) -> u32 {
        let from_holder = self
            .fresh_holder_load(now)
            .and_then(|(_, load)| load.adapters.iter().find(|(name, _)| name == adapter))
            .map_or(0, |(_, count)| *count);
        from_holder.max(self.own_load.requests_using(adapter))
    }

    /// Whether all adapter slots of the engine are known to be in use.
    pub(super) fn has_no_free_adapter_slot(&self, now: Time) -> bool {
        self.fresh_holder_load(now).is_some_and(|(_, load)| load.available_adapter_slots == 0)
    }

    fn fresh_holder_load(&self, now: Time) -> Option<(Time, &UpstreamLoad)> {
        let (at, load) = self.holder_load.as_ref()?;
        (now.since(*at) < HOLDER_LOAD_TTL).then_some((*at, load))
    }

    /// Takes the load that `node` states, if it is the holder.
    pub(super) fn set_holder_load(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        if self.holder.as_ref() == Some(node) {
            self.holder_load = Some((now, load));
        }
    }

    /// Takes figures that came with an answer of `node`; they name no adapters.
    pub(super) fn update_holder_load(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        let adapters = self.holder_load.take().map(|(_, load)| load.adapters).unwrap_or_default();
        self.set_holder_load(now, node, UpstreamLoad { adapters, ..load });
    }

    /// Whether the engine holds `key` at version `least` or newer and answers for it.
    pub(super) fn serves(&self, now: Time, key: &AdapterKey, min_version: u64) -> bool {
        self.adapters
            .get(key)
            .is_some_and(|replica| replica.ready && replica.version >= min_version)
            && !self.is_reported_absent(now, &key.1)
    }

    /// Records that the engine holds `key` no longer.
    pub(super) fn remove_adapter(&mut self, now: Time, key: &AdapterKey) {
        self.dropped_at.retain(|_, at| now.since(*at) < WARM_DURATION);
        if self.adapters.remove(key).is_some_and(|replica| replica.ready) {
            self.dropped_at.insert(key.clone(), now);
        }
    }

    /// Whether the engine held `key` lately, so that it loads it without the store.
    pub(super) fn held_recently(&self, now: Time, key: &AdapterKey) -> bool {
        self.dropped_at.get(key).is_some_and(|at| now.since(*at) < WARM_DURATION)
    }

    fn is_reported_absent(&self, now: Time, adapter: &Name) -> bool {
        self.absent_until.get(adapter).is_some_and(|until| now < *until)
    }

    pub(super) fn record_full(&mut self, now: Time) {
        self.full_until = now + FULL_BACKOFF;
    }

    pub(super) fn record_adapter_absent(&mut self, now: Time, adapter: Option<&Name>) {
        self.absent_until.retain(|_, until| now < *until);
        if let Some(adapter) = adapter {
            self.absent_until.insert(adapter.clone(), now + ABSENT_ADAPTER_BACKOFF);
        }
    }

    pub(super) fn add_peer_load(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight += load.in_flight;
    }

    pub(super) fn remove_peer_load(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_sub(load.in_flight);
    }

    /// Load of this node at a plain upstream; `None` if there is none.
    pub(super) fn own_plain_load(&self) -> Option<UpstreamLoad> {
        (self.holder.is_none() && self.own_load.in_flight() > 0).then(|| UpstreamLoad {
            upstream: self.entry.id.clone(),
            in_flight: self.own_load.in_flight(),
            ..UpstreamLoad::default()
        })
    }
}
