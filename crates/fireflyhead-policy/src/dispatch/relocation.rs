//! Loads of the adapters of an engine that leaves, at other engines.
//!
//! Without them, the first request for each of its adapters would wait for a load after its departure.

use crate::Name;
use crate::Time;
use crate::rendezvous;

use super::AdapterKey;
use super::Dispatcher;

/// Priority of the loads, after those that requests wait for.
const RELOCATION_PRIORITY: u8 = u8::MAX;

impl Dispatcher {
    /// Requests loads of `adapters`, which the leaving engine `id` holds, at engines with room for
    /// them. Adapters that another engine holds or loads are left out. The requests lapse unless they
    /// are repeated.
    pub fn relocate_adapters(&mut self, now: Time, id: &Name, model: &Name, adapters: &[Name]) {
        for adapter in adapters {
            let key = (model.clone(), adapter.clone());
            if self.has_other_replica(now, id, &key) {
                continue;
            }
            let target = self.adapter_requests.target(now, &key);
            if let Some(target) = target.or_else(|| self.engine_with_room(now, id, &key)) {
                self.adapter_requests.add(now, &key, &target, RELOCATION_PRIORITY);
            }
        }
    }

    fn has_other_replica(&self, now: Time, id: &Name, key: &AdapterKey) -> bool {
        let replicas = self.replicas.get(key).into_iter().flatten();
        replicas
            .filter(|replica| *replica != id)
            .filter_map(|replica| self.upstreams.get(replica))
            .any(|upstream| upstream.is_usable(now))
    }

    /// Returns the first engine in the adapter's rendezvous order that belongs to the service of `id`
    /// and has an adapter slot that no request uses.
    fn engine_with_room(&self, now: Time, id: &Name, key: &AdapterKey) -> Option<Name> {
        let service = &self.upstreams.get(id)?.entry.service;
        let members = &self.services.get(service)?.members;
        members
            .iter()
            .filter(|member| self.can_load(now, member, key, false))
            .filter(|member| self.upstreams[*member].has_free_adapter_slot(now))
            .max_by_key(|member| rendezvous::weight(key.1.as_str(), member.as_str()))
            .cloned()
    }
}
