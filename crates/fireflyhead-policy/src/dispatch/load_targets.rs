//! Engine that loads an adapter, under pressure.
//!
//! Handles many rare adapters, requested by several nodes at once, on engines whose slots hold
//! adapters of different popularity: all nodes select the same engine, one that already loads the
//! adapter, one that held it recently, or one where it displaces an adapter that is unlikely to be
//! requested again soon. The preference among three engines alone left popular adapters crowded on
//! some engines beside cold ones on others.

use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::rendezvous;

use super::AdapterKey;
use super::Dispatcher;
use super::upstreams::Upstream;

/// Cost of each further engine in the adapter's rendezvous order, in ms. Below the time of a load,
/// so that a backlog of one prompt more doesn't lead different nodes to different engines.
const ORDER_STEP_MS: f64 = 60.0;
/// Number of engines with room, in the adapter's rendezvous order, among which a load chooses.
const CHOICES: u32 = 4;
/// Cost of an engine without a slot that another adapter can take at little loss, in ms: the
/// displaced adapter is likely to be loaded again.
const NO_ROOM_COST_MS: f64 = 300.0;
/// Cost of each adapter that an engine is loading, in ms: while many loads are in progress, an engine
/// without one may start at once.
const LOADING_COST_MS: f64 = 100.0;
/// Cost reduction for an engine that held the adapter recently, in ms: the time that it saves.
const WARM_GAIN_MS: f64 = 450.0;

/// Age up to which a placement tells that an engine is loading an adapter; a load takes less. Nodes
/// that serve no callers hear of placements seldom.
const LOADING_TTL: Duration = Duration::from_millis(1_000);

/// Where the adapter of a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterPresence {
    /// An engine holds it, in any version.
    Held,
    /// An engine is loading it, and none holds it.
    Loading,
    /// No engine holds or loads it.
    Absent,
}

impl AdapterPresence {
    /// Returns the code that logs and metrics use.
    pub const fn code(self) -> &'static str {
        match self {
            AdapterPresence::Held => "held",
            AdapterPresence::Loading => "loading",
            AdapterPresence::Absent => "absent",
        }
    }
}

impl Dispatcher {
    /// Returns where `adapter` is among the engines besides `except`.
    pub fn adapter_presence(
        &self,
        model: &Name,
        adapter: &Name,
        except: Option<&Name>,
    ) -> AdapterPresence {
        let key = (model.clone(), adapter.clone());
        let replicas = self.replicas.get(&key).into_iter().flatten();
        let ready = replicas
            .filter(|id| Some(*id) != except)
            .filter_map(|id| self.upstreams.get(id)?.adapters.get(&key))
            .map(|replica| replica.ready)
            .max();
        match ready {
            Some(true) => AdapterPresence::Held,
            Some(false) => AdapterPresence::Loading,
            None => AdapterPresence::Absent,
        }
    }

    /// Returns whether another engine holds `adapter` and is to keep it rather than engine `id`: the
    /// first one of those that hold it, in its rendezvous order. If `id` holds an older version, any
    /// engine that holds or loads the newest one is to keep it.
    pub fn is_spare_replica(&self, now: Time, id: &Name, model: &Name, adapter: &Name) -> bool {
        let key = (model.clone(), adapter.clone());
        let newest = self.versions.get(&key).map_or(0, |named| named.version);
        let own = self.upstreams.get(id).and_then(|upstream| upstream.adapters.get(&key));
        let is_outdated = own.is_some_and(|replica| replica.version < newest);
        let own_weight = rendezvous::weight(adapter.as_str(), id.as_str());
        let mut others =
            self.replicas.get(&key).into_iter().flatten().filter(|replica| *replica != id);
        others.any(|replica| {
            let Some(upstream) = self.upstreams.get(replica) else { return false };
            let precedes = rendezvous::weight(adapter.as_str(), replica.as_str()) > own_weight;
            upstream.is_usable(now)
                && (upstream.serves(now, &key, newest) && (is_outdated || precedes)
                    || is_outdated && self.is_loading(replica, &key))
        })
    }

    /// Returns whether an engine other than `id` is loading the newest version of `adapter`, and its
    /// holder can see the load to its end.
    pub fn is_loading_elsewhere(&self, now: Time, id: &Name, model: &Name, adapter: &Name) -> bool {
        let key = (model.clone(), adapter.clone());
        let replicas = self.replicas.get(&key).into_iter().flatten();
        replicas.filter(|replica| *replica != id).any(|replica| {
            self.is_loading(replica, &key)
                && self.upstreams.get(replica).is_some_and(|upstream| {
                    upstream.holder_active
                        && upstream.accepts_requests()
                        && now.since(upstream.placement_at) < LOADING_TTL
                })
        })
    }

    /// Returns the engine that should load `key` under pressure, one of `engines`, which are in the
    /// adapter's order of preference; `cost` is the cost of a request there, in ms.
    pub(super) fn load_target<'a>(
        &self,
        now: Time,
        key: &AdapterKey,
        engines: impl Iterator<Item = &'a Name> + Clone,
        cost: impl Fn(&Upstream) -> f64,
    ) -> Option<Name> {
        if let Some(loading) = engines.clone().find(|id| self.is_loading(id, key)) {
            return Some(loading.clone());
        }
        let mut choices = 0;
        engines
            .map(|id| (id, &self.upstreams[id]))
            .enumerate()
            .filter_map(|(rank, (id, upstream))| {
                let has_room = !upstream.has_no_free_adapter_slot(now);
                let is_warm = upstream.held_recently(now, key);
                let is_choice = rank == 0 || is_warm || has_room && choices < CHOICES;
                if !is_choice {
                    return None;
                }
                let room_cost = if has_room { 0.0 } else { NO_ROOM_COST_MS };
                let warm_gain = if is_warm { WARM_GAIN_MS } else { 0.0 };
                let loading = upstream.adapters.values().filter(|replica| !replica.ready).count();
                let queue_cost = LOADING_COST_MS * loading as f64;
                let order_cost = ORDER_STEP_MS * f64::from(choices);
                choices += 1;
                Some((cost(upstream) + order_cost + queue_cost + room_cost - warm_gain, id))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Returns whether engine `id` is loading the newest version of `key`.
    fn is_loading(&self, id: &Name, key: &AdapterKey) -> bool {
        let newest = self.versions.get(key).map_or(0, |named| named.version);
        self.upstreams
            .get(id)
            .and_then(|upstream| upstream.adapters.get(key))
            .is_some_and(|replica| !replica.ready && replica.version >= newest)
    }
}
