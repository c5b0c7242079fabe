//! Order of the engines in which an adapter is placed, weighted by their speed.
//!
//! Handles many requests for absent adapters in a large service: hashing the name of every engine for
//! each of them would take a third of a millisecond with 1,700 engines. The hashes of the engines are
//! kept, and combined with that of the adapter.

use crate::Name;
use crate::rendezvous;

use super::AdapterKey;
use super::Dispatcher;
use super::Job;
use super::Time;

/// Exponent of the speed in the share of adapters that an engine gets. Above 1, because a long
/// prompt in a slow period of a slow engine delays all streams there beyond their objective.
const SPEED_EXPONENT: f64 = 1.5;
/// Number of engines whose state is examined first. A few of them hold the adapter, are ejected or
/// were tried.
pub(super) const FIRST_ENGINES: usize = 12;

/// Engines of a service with their shares of the adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementOrder {
    engines: Vec<PlacedEngine>,
}

#[derive(Clone, Debug)]
struct PlacedEngine {
    id: Name,
    hash: u64,
    share: f64,
}

impl PlacementOrder {
    /// Creates the order of engines, given with the time that work takes there.
    fn new(engines: impl Iterator<Item = (Name, f64)>) -> PlacementOrder {
        let engines = engines.map(|(id, factor)| PlacedEngine {
            hash: rendezvous::weight("", id.as_str()),
            share: factor.powf(-SPEED_EXPONENT),
            id,
        });
        PlacementOrder { engines: engines.collect() }
    }

    /// Returns the first `count` engines for `adapter`.
    fn first(&self, adapter: &str, count: usize) -> Vec<&Name> {
        let subject = rendezvous::weight(adapter, "");
        let mut best: Vec<(f64, &Name)> = Vec::with_capacity(count + 1);
        for engine in &self.engines {
            let score = rendezvous::weighted_score(subject, engine.hash, engine.share);
            let is_full = best.len() >= count;
            if is_full && best.last().is_some_and(|(last, _)| score <= *last) {
                continue;
            }
            let position = best.partition_point(|(other, _)| *other > score);
            best.insert(position, (score, &engine.id));
            best.truncate(count);
        }
        best.into_iter().map(|(_, id)| id).collect()
    }
}

impl Dispatcher {
    /// Brings the order of the engines of `service` up to date, if they report their speed.
    pub(super) fn update_placement_order(&mut self, service: &Name) {
        let Some(service) = self.services.get_mut(service) else { return };
        if let (Some(pace), None) = (service.pace, &service.placement_order) {
            let known = service.members.iter().filter_map(|id| self.upstreams.get(id));
            let engines = known.map(|known| (known.entry.id.clone(), known.base_factor(&pace)));
            service.placement_order = Some(PlacementOrder::new(engines));
        }
    }

    /// Returns the engines in the order of `key`, up to `count`, that can load it and that `job` may
    /// use; `None` if the engines don't report their speed.
    pub(super) fn engines_by_speed(
        &self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
        count: usize,
    ) -> Option<Vec<Name>> {
        let service = self.services.get(&job.service)?;
        let (pace, order) = (service.pace?, service.placement_order.as_ref()?);
        let failed = self.adapter_requests.failed_target(now, key);
        let can_use = |id: &Name| {
            self.can_load(now, id, key, ignore_ejections)
                && Some(id) != failed.as_ref()
                && !job.tried.contains(id)
        };
        let usable = |limit: usize| -> Vec<&Name> {
            let engines = order.first(key.1.as_str(), limit).into_iter();
            engines.filter(|id| can_use(id)).collect()
        };
        let mut engines = usable(FIRST_ENGINES);
        if engines.len() < count && order.engines.len() > FIRST_ENGINES {
            engines = usable(order.engines.len());
        }
        // A prompt that is too long for all of them is placed like any other.
        let avoided = |id: &Name| self.upstreams[id].should_avoid_for(now, job, Some(&pace));
        if engines.iter().any(|id| !avoided(id)) {
            engines.retain(|id| !avoided(id));
        }
        Some(engines.into_iter().take(count).cloned().collect())
    }
}
