//! State of one upstream as the dispatcher of a node knows it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;
use crate::health::UpstreamHealth;
use crate::message::Placement;
use crate::message::UpstreamLoad;
use crate::protocol::LoadReport;

use super::AdapterKey;
use super::FULL_BACKOFF;
use super::load::EngineLoad;
use super::load::drain;
use super::pace::Pace;
use super::pace::ServicePace;
use super::request_limits::NamedLimit;

/// Time during which an engine is not selected for an adapter that it reported absent.
const ABSENT_ADAPTER_BACKOFF: Duration = Duration::from_millis(150);
/// Age up to which the load reported by a holder is used.
const HOLDER_LOAD_TTL: Duration = Duration::from_secs(3);

/// Time after dropping an adapter during which an engine loads it again, about ten times as fast as
/// other adapters. The platform only says "recently"; in the users' benchmark, evicted adapters
/// were loaded again within this time.
const WARM_DURATION: Duration = Duration::from_secs(30);

/// An adapter that an engine holds, or is loading if not `ready`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replica {
    pub(super) version: u64,
    pub(super) ready: bool,
}

/// An upstream with its health, its load and, for an engine, its adapters and holder.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) health: UpstreamHealth,
    /// Adapters that the engine holds or is loading.
    pub(super) adapters: BTreeMap<AdapterKey, Replica>,
    /// Placement that was applied last, with the node that reported it.
    pub(super) placement: Option<(Name, Placement)>,
    /// Time at which the newest placement was received.
    pub(super) placement_at: Time,
    /// Fencing token of the newest placement.
    pub(super) fencing_token: u64,
    /// Whether the holder may send orders now.
    pub(super) holder_active: bool,
    /// Whether a different upstream responded at its address.
    pub(super) misdirected: bool,
    /// Newest load that the upstream reported itself, with its time.
    pub(super) load_report: Option<(Time, LoadReport)>,
    /// Speed that the upstream reported.
    pub(super) pace: Pace,
    /// Load from the requests of this node.
    pub(super) own_load: EngineLoad,
    /// Requests in flight from the other nodes; only counted at a plain upstream.
    peer_in_flight: u32,
    /// Node that owns the engine and admits requests to it.
    pub(super) holder: Option<Name>,
    /// Time before which the holder is not asked, because it did not respond.
    holder_retry_at: Time,
    /// Load from all nodes at the engine, as its holder reported it, with the time of the report.
    holder_load: Option<(Time, UpstreamLoad)>,
    /// Time before which no request is sent, because the upstream reported being full.
    full_until: Time,
    /// Time before which the upstream wants no requests.
    pub(super) away_until: Time,
    /// Limit on the requests of all nodes together.
    pub(super) request_limit: Option<NamedLimit>,
    /// Adapters that the engine reported absent, with the time until which it is not asked for
    /// them.
    absent_until: HashMap<Name, Time>,
    /// Adapters that the engine held recently, with the time at which they were dropped.
    dropped_at: HashMap<AdapterKey, Time>,
}

impl Upstream {
    /// Creates an upstream without load and adapters.
    pub(super) fn new(entry: Arc<UpstreamEntry>) -> Upstream {
        Upstream {
            entry,
            health: UpstreamHealth::default(),
            adapters: BTreeMap::new(),
            placement: None,
            placement_at: Time::default(),
            fencing_token: 0,
            holder_active: false,
            misdirected: false,
            load_report: None,
            pace: Pace::default(),
            own_load: EngineLoad::default(),
            peer_in_flight: 0,
            holder: None,
            holder_retry_at: Time::default(),
            holder_load: None,
            full_until: Time::default(),
            away_until: Time::default(),
            request_limit: None,
            absent_until: HashMap::new(),
            dropped_at: HashMap::new(),
        }
    }

    /// Returns whether the upstream accepts requests, now or at a later time.
    pub(super) fn accepts_requests(&self) -> bool {
        self.entry.state == UpstreamState::Ready && !self.misdirected
    }

    /// Returns whether the upstream wants no requests of this node now.
    pub(super) fn is_away(&self, now: Time) -> bool {
        now < self.away_until
    }

    /// Returns whether requests may be sent to the upstream, apart from its health.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.accepts_requests() && now >= self.full_until && !self.is_away(now)
    }

    /// Returns the node that admits requests now; without one, the node decides by itself.
    pub(super) fn active_holder(&self, now: Time) -> Option<&Name> {
        self.admitting_node().filter(|_| now >= self.holder_retry_at)
    }

    /// Stops asking the holder for the duration of `backoff`.
    pub(super) fn skip_holder(&mut self, now: Time, backoff: Duration) {
        self.holder_retry_at = now + backoff;
    }

    /// Returns the number of requests in flight from all nodes.
    pub(super) fn in_flight(&self, now: Time) -> u32 {
        let from_holder = self.fresh_holder_load(now).map_or(0, |(_, load)| load.in_flight);
        from_holder.max(self.own_load.in_flight()).saturating_add(self.peer_in_flight)
    }

    /// Returns the number of prompt tokens from all nodes that the engine has yet to process at its
    /// pace, including those of requests that wait at the holder.
    pub(super) fn backlog(&self, now: Time) -> u32 {
        let from_holder = self.fresh_holder_load(now).map_or(0, |(at, load)| {
            let tokens =
                f64::from(load.pending_prompt_tokens) + f64::from(load.queued_prompt_tokens);
            drain(tokens, now.since(at), self.own_load.effective_pace()) as u32
        });
        from_holder.max(self.own_load.paced_backlog(now))
    }

    /// Returns the share of recent streams that paused for too long, from 0 to 1.
    pub(super) fn late_stream_share(&self, now: Time) -> f64 {
        let from_holder = self
            .fresh_holder_load(now)
            .map(|(_, load)| f64::from(load.late_streams_permille) / 1_000.0);
        from_holder.unwrap_or_else(|| self.own_load.late_stream_share())
    }

    /// Returns the number of requests from all nodes that use `adapter`.
    pub(super) fn requests_using(&self, now: Time, adapter: &Name) -> u32 {
        let from_holder = self
            .fresh_holder_load(now)
            .and_then(|(_, load)| load.adapters.iter().find(|(name, _)| name == adapter))
            .map_or(0, |(_, count)| *count);
        from_holder.max(self.own_load.requests_using(adapter))
    }

    /// Returns whether all adapter slots of the engine are known to be in use.
    pub(super) fn has_no_free_adapter_slot(&self, now: Time) -> bool {
        self.fresh_holder_load(now).is_some_and(|(_, load)| load.available_adapter_slots == 0)
    }

    /// Returns whether an adapter slot of the engine is known to be free or not in use.
    pub(super) fn has_free_adapter_slot(&self, now: Time) -> bool {
        self.fresh_holder_load(now).is_some_and(|(_, load)| load.available_adapter_slots > 0)
    }

    /// Returns the time from which requests may be sent to the upstream that reported being full.
    pub(super) fn full_until(&self) -> Time {
        self.full_until
    }

    /// Returns the time of the holder's last report; `None` if there is none that is used.
    pub(super) fn holder_load_time(&self, now: Time) -> Option<Time> {
        self.fresh_holder_load(now).map(|(at, _)| at)
    }

    /// Returns the expected time that work takes at the upstream at `now`, where 1 is the usual
    /// time; the median of its service before the first report.
    pub(super) fn work_factor(&self, now: Time, service: &ServicePace) -> f64 {
        self.pace.expected(now).unwrap_or(service.median)
    }

    /// Returns the time that work takes at the upstream outside slow periods.
    pub(super) fn base_factor(&self, service: &ServicePace) -> f64 {
        self.pace.base().unwrap_or(service.median)
    }

    /// Returns the age of the load that the holder reported, unless it is too old.
    pub(super) fn holder_load_age(&self, now: Time) -> Option<Duration> {
        self.holder_load_time(now).map(|at| now.since(at))
    }

    /// Returns the load that the holder reported, with its time, unless it is too old.
    fn fresh_holder_load(&self, now: Time) -> Option<(Time, &UpstreamLoad)> {
        let (at, load) = self.holder_load.as_ref()?;
        (now.since(*at) < HOLDER_LOAD_TTL).then_some((*at, load))
    }

    /// Sets the load that `node` reported, if that node is the holder.
    pub(super) fn set_holder_load(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        if self.holder.as_ref() == Some(node) {
            self.holder_load = Some((now, load));
        }
    }

    /// Updates the load with a report of `node` that names no adapters; those of the last report
    /// are kept. A report of a node that is not the holder drops the last load.
    pub(super) fn update_holder_load(&mut self, now: Time, node: &Name, load: UpstreamLoad) {
        let adapters = self.holder_load.take().map(|(_, load)| load.adapters).unwrap_or_default();
        self.set_holder_load(now, node, UpstreamLoad { adapters, ..load });
    }

    /// Returns whether the engine holds `key` at `min_version` or newer and has not reported it
    /// absent.
    pub(super) fn serves(&self, now: Time, key: &AdapterKey, min_version: u64) -> bool {
        self.adapters
            .get(key)
            .is_some_and(|replica| replica.ready && replica.version >= min_version)
            && !self.is_reported_absent(now, &key.1)
    }

    /// Records that the engine no longer holds `key`.
    pub(super) fn remove_adapter(&mut self, now: Time, key: &AdapterKey) {
        self.dropped_at.retain(|_, at| now.since(*at) < WARM_DURATION);
        if self.adapters.remove(key).is_some_and(|replica| replica.ready) {
            self.dropped_at.insert(key.clone(), now);
        }
    }

    /// Returns whether the engine held `key` recently, so that it can load it without the adapter
    /// store.
    pub(super) fn held_recently(&self, now: Time, key: &AdapterKey) -> bool {
        self.dropped_at.get(key).is_some_and(|at| now.since(*at) < WARM_DURATION)
    }

    /// Returns whether the engine reported `adapter` absent recently.
    pub(super) fn is_reported_absent(&self, now: Time, adapter: &Name) -> bool {
        self.absent_until.get(adapter).is_some_and(|until| now < *until)
    }

    /// Records that the upstream reported being full.
    pub(super) fn record_full(&mut self, now: Time) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Records that the engine reported `adapter` absent.
    pub(super) fn record_adapter_absent(&mut self, now: Time, adapter: Option<&Name>) {
        self.absent_until.retain(|_, until| now < *until);
        if let Some(adapter) = adapter {
            self.absent_until.insert(adapter.clone(), now + ABSENT_ADAPTER_BACKOFF);
        }
    }

    /// Adds the load that a peer reported for this plain upstream.
    pub(super) fn add_peer_load(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_add(load.in_flight);
    }

    /// Removes a load that [`Upstream::add_peer_load`] added.
    pub(super) fn remove_peer_load(&mut self, load: &UpstreamLoad) {
        self.peer_in_flight = self.peer_in_flight.saturating_sub(load.in_flight);
    }

    /// Returns the load of this node at a plain upstream; `None` if it has none there. An upstream
    /// with a holder is an engine, whose load the holder reports.
    pub(super) fn own_plain_load(&self) -> Option<UpstreamLoad> {
        (self.holder.is_none() && self.own_load.in_flight() > 0).then(|| UpstreamLoad {
            upstream: self.entry.id.clone(),
            in_flight: self.own_load.in_flight(),
            ..UpstreamLoad::default()
        })
    }
}
