//! Number of replicas of each adapter and the order of its workers.

use std::collections::HashMap;
use std::time::Duration;

use crate::placement::Candidate;
use crate::placement::Order;
use crate::placement::PlacementConfig;
use crate::placement::Service;
use crate::placement::rendezvous;
use crate::types::AdapterKey;
use crate::types::Rank;
use crate::types::Time;

/// Weight of the newest observation in the average queueing delay.
const DELAY_GAIN: f64 = 0.3;

/// Workers beyond the largest number of replicas that are kept in the cached order.
const SPARE_WORKERS: usize = 8;

/// What this entry knows of one adapter.
#[derive(Debug, Default)]
struct Entry {
    /// Workers in rendezvous order, as indices into the service's list.
    order: Vec<usize>,
    epoch: u64,
    replicas: usize,
    /// Average queueing delay of this adapter's requests, in milliseconds.
    delay_ms: f64,
    /// Number of uses, decayed over time.
    uses: f64,
    used_at: Time,
    grown_at: Time,
}

/// Replicas of all adapters in use.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    adapters: HashMap<AdapterKey, Entry>,
    swept_at: Time,
}

impl Replicas {
    /// Available workers of `adapter` in the order in which they should be tried.
    pub(super) fn order(
        &mut self,
        now: Time,
        cfg: &PlacementConfig,
        service: &Service,
        adapter: &AdapterKey,
        rank: Rank,
    ) -> Order {
        self.sweep(now, cfg);
        let entry = self.adapters.entry(adapter.clone()).or_default();
        entry.refresh(cfg, service, adapter);
        entry.count_use(now, cfg);
        entry.resize(now, cfg, service, rank);
        let available = |i: &usize| service.upstreams[*i].available(now);
        let mut all: Vec<usize> = entry.order.iter().copied().filter(available).collect();
        if all.is_empty() {
            all = rendezvous_order(service, adapter).into_iter().filter(available).collect();
        }
        Order { replicas: entry.replicas.min(all.len()), all }
    }

    /// Records the queueing delay of one request.
    pub(super) fn observe(&mut self, adapter: &AdapterKey, delay: Duration) {
        if let Some(entry) = self.adapters.get_mut(adapter) {
            let delay_ms = delay.as_secs_f64() * 1e3;
            entry.delay_ms += DELAY_GAIN * (delay_ms - entry.delay_ms);
        }
    }

    pub(super) fn count(&self, adapter: &AdapterKey) -> usize {
        self.adapters.get(adapter).map_or(1, |entry| entry.replicas)
    }

    /// Forgets adapters that have not been used for many half-lives, once every half-life.
    fn sweep(&mut self, now: Time, cfg: &PlacementConfig) {
        if now.since(self.swept_at) < cfg.use_half_life {
            return;
        }
        self.swept_at = now;
        self.adapters.retain(|_, entry| now.since(entry.used_at) < cfg.use_half_life * 16);
    }
}

impl Entry {
    fn refresh(&mut self, cfg: &PlacementConfig, service: &Service, adapter: &AdapterKey) {
        if self.epoch == service.epoch {
            return;
        }
        self.order = rendezvous_order(service, adapter);
        self.order.truncate(cfg.max_replicas + SPARE_WORKERS);
        // The order of all workers would stay allocated for each adapter.
        self.order.shrink_to_fit();
        self.epoch = service.epoch;
        self.replicas = self.replicas.max(1);
    }

    fn count_use(&mut self, now: Time, cfg: &PlacementConfig) {
        let half_lives =
            now.since(self.used_at).as_secs_f64() / cfg.use_half_life.as_secs_f64().max(1e-3);
        self.uses = self.uses * (-half_lives).exp2() + 1.0;
        self.used_at = now;
    }

    /// Adds a replica if waiting costs more than a load, drops one that is hardly used.
    fn resize(&mut self, now: Time, cfg: &PlacementConfig, service: &Service, rank: Rank) {
        if now.since(self.grown_at) < cfg.grow_interval {
            return;
        }
        if self.replicas > 1 && self.uses < cfg.min_uses * self.replicas as f64 {
            self.replicas -= 1;
            self.grown_at = now;
            return;
        }
        let next = self.order.get(self.replicas).map(|&i| &service.upstreams[i]);
        let Some(next) = next.filter(|up| up.available(now) && !up.avoid(now, cfg.advert_ttl))
        else {
            return;
        };
        let load_delay = next.fresh_advert(now, cfg.advert_ttl).map_or(0, |ad| ad.load_delay_ms);
        let load_ms = cfg.load_cost.as_secs_f64() * 1e3 + f64::from(load_delay);
        let elsewhere = next.delay_ms(now, rank, cfg.advert_ttl) + load_ms;
        let justified = self.uses >= cfg.min_uses * (self.replicas + 1) as f64;
        if justified && self.replicas < cfg.max_replicas && self.delay_ms > elsewhere {
            self.replicas += 1;
            self.grown_at = now;
        }
    }
}

/// All workers of the service that are not leaving, in rendezvous order.
fn rendezvous_order(service: &Service, adapter: &AdapterKey) -> Vec<usize> {
    let key = adapter.to_string();
    let candidates: Vec<Candidate> =
        service.upstreams.iter().map(|up| Candidate::new(up.info.name.clone())).collect();
    let mut order = rendezvous(key.as_bytes(), &candidates);
    order.retain(|&i| !service.upstreams[i].info.leaving);
    order
}
