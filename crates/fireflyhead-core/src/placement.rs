//! Choice of upstreams for a request.
//!
//! Rendezvous hashing orders the workers of a service for each adapter version.
//! The first `r` workers of that order are the replicas of the adapter, and the
//! better of two replicas by advertised queueing delay is tried first. `r` grows
//! when requests at the replicas wait longer than a load elsewhere would take,
//! and shrinks when the adapter is hardly used. Every entry computes the same
//! order from the same upstream list, so no directory of adapters is exchanged.
//!
//! Plain services have no adapters: every instance is a candidate, and the better
//! of two random instances is tried first.
//!
//! An upstream that is leaving or unreachable is never returned. A full one is
//! returned only if all others are full too, so that the caller receives the
//! dispatcher's refusal with its Retry-After.

mod replicas;
#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hasher;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

use crate::placement::replicas::Replicas;
use crate::types::AdapterKey;
use crate::types::Name;
use crate::types::Rank;
use crate::types::Time;
use crate::types::UpstreamAdvert;
use crate::types::UpstreamInfo;

/// Candidate of a rendezvous choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name that is hashed together with the key.
    pub name: Name,
}

impl Candidate {
    /// Candidate named `name`.
    pub fn new(name: impl Into<Name>) -> Candidate {
        Candidate { name: name.into() }
    }
}

/// Indices of `candidates` in descending order of their hash with `key`.
///
/// The relative order of two candidates depends only on their names and the key,
/// so a membership change moves only the keys of the candidate that changed.
pub fn rendezvous(key: &[u8], candidates: &[Candidate]) -> Vec<usize> {
    let score = |i: &usize| (score(key, &candidates[*i].name), Reverse(*i));
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|i| Reverse(score(i)));
    order
}

/// Stable hash of a key and a candidate's name.
fn score(key: &[u8], name: &Name) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(key.len() as u64);
    hasher.write(key);
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}

/// Settings of [`Placement`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Availability zone of this entry; `None` disables the preference.
    pub zone: Option<Name>,
    /// Upstreams returned for one request.
    pub attempts: usize,
    /// Largest number of replicas of one adapter.
    pub max_replicas: usize,
    /// Assumed cost of an adapter load without waiting for the weight store.
    pub load_cost: Duration,
    /// Queueing delay that a same-zone upstream may have in excess of another one.
    pub zone_bonus: Duration,
    /// Queueing delay that the upstream with the cached prompt prefix may have in excess.
    pub prefix_bonus: Duration,
    /// Shortest time between two increases of an adapter's replicas.
    pub grow_interval: Duration,
    /// Half-life of an adapter's use count.
    pub use_half_life: Duration,
    /// Use count for each replica below which the last replica is given up.
    pub min_uses: f64,
    /// Age after which an advert no longer counts.
    pub advert_ttl: Duration,
    /// Time for which an upstream is left out after a failed connection.
    pub unreachable_for: Duration,
    /// Time for which an upstream is tried last after a redirect.
    pub redirect_for: Duration,
}

impl Default for PlacementConfig {
    fn default() -> PlacementConfig {
        PlacementConfig {
            zone: None,
            attempts: 3,
            max_replicas: 16,
            load_cost: Duration::from_millis(250),
            zone_bonus: Duration::from_millis(2),
            prefix_bonus: Duration::from_millis(20),
            grow_interval: Duration::from_secs(1),
            use_half_life: Duration::from_secs(20),
            min_uses: 1.0,
            advert_ttl: Duration::from_secs(3),
            unreachable_for: Duration::from_secs(1),
            redirect_for: Duration::from_millis(200),
        }
    }
}

/// Request for which upstreams are chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceRequest {
    /// Service whose upstreams do the work.
    pub service: Name,
    /// Adapter, for engines.
    pub adapter: Option<AdapterKey>,
    /// Urgency, which selects the advertised queueing delay.
    pub rank: Rank,
    /// Hash of the beginning of the prompt; equal prefixes prefer the same replica.
    pub prefix: Option<u64>,
}

/// Result of one attempt at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// Time that the request waited at the dispatcher before it ran.
    Delay(Duration),
    /// The dispatcher sent the request elsewhere.
    Redirected,
    /// The dispatcher refused the request.
    Refused,
    /// The owner or the upstream could not be reached.
    Unreachable,
}

/// Upstream with what is known of its load.
#[derive(Clone, Debug)]
struct Upstream {
    info: UpstreamInfo,
    advert: Option<(Time, UpstreamAdvert)>,
    /// Requests sent since the last advert, which does not include them yet.
    sent: u32,
    unreachable_until: Time,
    redirect_until: Time,
}

/// Upstreams of one service.
#[derive(Debug, Default)]
struct Service {
    upstreams: Vec<Upstream>,
    /// Changes with every change of the upstream list; outdates cached orders.
    epoch: u64,
}

/// Placement at one entry.
pub struct Placement {
    cfg: PlacementConfig,
    rng: ChaCha8Rng,
    epochs: u64,
    services: HashMap<Name, Service>,
    replicas: Replicas,
}

impl Placement {
    /// Placement without upstreams.
    pub fn new(cfg: PlacementConfig, seed: u64) -> Placement {
        Placement {
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            epochs: 0,
            services: HashMap::new(),
            replicas: Replicas::default(),
        }
    }

    /// Replaces the upstreams of `service`; load figures of those that stay are kept.
    pub fn set_upstreams(&mut self, service: &Name, upstreams: Vec<UpstreamInfo>) {
        self.epochs += 1;
        let entry = self.services.entry(service.clone()).or_default();
        let mut old: HashMap<Name, Upstream> =
            entry.upstreams.drain(..).map(|up| (up.info.name.clone(), up)).collect();
        entry.upstreams = upstreams
            .into_iter()
            .map(|info| match old.remove(&info.name) {
                Some(up) if up.info.address == info.address => Upstream { info, ..up },
                _ => Upstream::new(info),
            })
            .collect();
        entry.epoch = self.epochs;
    }

    /// Records load figures that an owner advertises.
    pub fn update_advert(&mut self, now: Time, upstream: &Name, advert: UpstreamAdvert) {
        if let Some(up) = self.upstream_mut(upstream) {
            up.advert = Some((now, advert));
            up.sent = 0;
        }
    }

    /// Upstreams to try, best first. Leaving or unreachable upstreams are excluded.
    pub fn choose(&mut self, now: Time, req: &PlaceRequest) -> Vec<Name> {
        let Some(service) = self.services.get_mut(&req.service) else {
            return Vec::new();
        };
        let mut order = match &req.adapter {
            Some(adapter) => self.replicas.order(now, &self.cfg, service, adapter, req.rank),
            None => service_order(service, now, &mut self.rng),
        };
        let pick = Pick { cfg: &self.cfg, now, rank: req.rank, prefix: req.prefix };
        pick.sort(&mut order, &service.upstreams, &mut self.rng);
        let names = pick.names(&order.all, &service.upstreams);
        if let Some(&first) = order.all.first() {
            service.upstreams[first].sent += 1;
        }
        names
    }

    /// Feedback of one attempt: queueing delay, or a redirect.
    pub fn observe(
        &mut self,
        now: Time,
        upstream: &Name,
        adapter: Option<&AdapterKey>,
        seen: Observation,
    ) {
        if let (Observation::Delay(delay), Some(adapter)) = (seen, adapter) {
            self.replicas.observe(adapter, delay);
        }
        let unreachable_until = now + self.cfg.unreachable_for;
        let redirect_until = now + self.cfg.redirect_for;
        let Some(up) = self.upstream_mut(upstream) else {
            return;
        };
        match seen {
            Observation::Delay(_) => up.unreachable_until = Time::default(),
            Observation::Redirected | Observation::Refused => up.redirect_until = redirect_until,
            Observation::Unreachable => up.unreachable_until = unreachable_until,
        }
    }

    /// Number of workers that hold `adapter` as far as this entry decides.
    pub fn replica_count(&self, adapter: &AdapterKey) -> usize {
        self.replicas.count(adapter)
    }

    fn upstream_mut(&mut self, name: &Name) -> Option<&mut Upstream> {
        self.services
            .values_mut()
            .flat_map(|service| &mut service.upstreams)
            .find(|up| up.info.name == *name)
    }
}

impl Upstream {
    fn new(info: UpstreamInfo) -> Upstream {
        Upstream {
            info,
            advert: None,
            sent: 0,
            unreachable_until: Time::default(),
            redirect_until: Time::default(),
        }
    }

    fn available(&self, now: Time) -> bool {
        !self.info.leaving && self.unreachable_until <= now
    }

    fn fresh_advert(&self, now: Time, ttl: Duration) -> Option<&UpstreamAdvert> {
        match &self.advert {
            Some((at, advert)) if now.since(*at) <= ttl => Some(advert),
            _ => None,
        }
    }

    /// Whether new work should go elsewhere if it can.
    fn avoid(&self, now: Time, ttl: Duration) -> bool {
        self.redirect_until > now || self.fresh_advert(now, ttl).is_some_and(|advert| advert.full)
    }

    /// Expected queueing delay of new work of `rank`, in milliseconds.
    ///
    /// Requests sent since the last advert count as if each added an equal part of
    /// the delay, so that the entries do not all follow one advert to one upstream.
    fn delay_ms(&self, now: Time, rank: Rank, ttl: Duration) -> f64 {
        let Some(advert) = self.fresh_advert(now, ttl) else {
            return f64::from(self.sent);
        };
        let delay = f64::from(advert.queue_delay_ms[rank.index()]);
        let ahead = f64::from(advert.in_flight + advert.queued).max(1.0);
        delay + f64::from(self.sent) * (delay / ahead).max(1.0)
    }
}

/// Candidates of a request: indices of upstreams, the first `replicas` of them equally suited.
#[derive(Debug, Default)]
struct Order {
    all: Vec<usize>,
    replicas: usize,
}

/// All available instances in random order.
fn service_order(service: &Service, now: Time, rng: &mut ChaCha8Rng) -> Order {
    let ups = &service.upstreams;
    let mut all: Vec<usize> = (0..ups.len()).filter(|&i| ups[i].available(now)).collect();
    for i in (1..all.len()).rev() {
        all.swap(i, rng.random_range(0..=i));
    }
    Order { replicas: all.len(), all }
}

/// Parameters of the choice among the replicas.
struct Pick<'a> {
    cfg: &'a PlacementConfig,
    now: Time,
    rank: Rank,
    prefix: Option<u64>,
}

impl Pick<'_> {
    /// Moves the better of two replicas to the front; full upstreams go last.
    fn sort(&self, order: &mut Order, ups: &[Upstream], rng: &mut ChaCha8Rng) {
        let usable = |i: &usize| !ups[*i].avoid(self.now, self.cfg.advert_ttl);
        let replicas = order.all[..order.replicas].iter().filter(|i| usable(i)).count();
        order.all.sort_by_key(|i| !usable(i));
        let head = &mut order.all[..replicas];
        if head.len() < 2 {
            return;
        }
        let affine = self.prefix.map(|prefix| (prefix % head.len() as u64) as usize);
        let first = affine.unwrap_or_else(|| rng.random_range(0..head.len()));
        let second = (first + rng.random_range(1..head.len())) % head.len();
        let cost = |i: usize| {
            let bonus = if affine == Some(i) { self.cfg.prefix_bonus } else { Duration::ZERO };
            self.cost_ms(&ups[head[i]]) - bonus.as_secs_f64() * 1e3
        };
        let (best, other) =
            if cost(second) < cost(first) { (second, first) } else { (first, second) };
        let (best, other) = (head[best], head[other]);
        let rest = head.iter().copied().filter(|&i| i != best && i != other);
        let sorted: Vec<usize> = [best, other].into_iter().chain(rest).collect();
        head.copy_from_slice(&sorted);
    }

    fn cost_ms(&self, up: &Upstream) -> f64 {
        let near = self.cfg.zone.as_ref() == Some(&up.info.zone);
        let bonus = if near { self.cfg.zone_bonus } else { Duration::ZERO };
        up.delay_ms(self.now, self.rank, self.cfg.advert_ttl) - bonus.as_secs_f64() * 1e3
    }

    /// Names of the first upstreams; full ones are left out if another one remains.
    fn names(&self, all: &[usize], ups: &[Upstream]) -> Vec<Name> {
        let usable = |i: &&usize| !ups[**i].avoid(self.now, self.cfg.advert_ttl);
        let count = match all.iter().filter(usable).count() {
            0 => all.len(),
            n => n,
        };
        let first = all.iter().take(count.min(self.cfg.attempts));
        first.map(|&i| ups[i].info.name.clone()).collect()
    }
}
