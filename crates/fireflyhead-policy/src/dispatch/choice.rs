//! Choice of the upstream for one request.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::rendezvous;

use super::AdapterKey;
use super::Dispatcher;
use super::Job;
use super::load::is_too_slow;
use super::load::places;
use super::load::takes_prompt;
use super::upstreams::Upstream;

/// Cost of a prompt token that an engine has still to read, in ms; engines read some 20 tokens a ms.
const TOKEN_COST_MS: f64 = 0.05;
/// Cost of a request that an engine runs, in ms: it lengthens every step a little.
const ENGINE_REQUEST_COST_MS: f64 = 0.6;
/// Cost of a request at a plain service below its slots, in ms.
const REQUEST_COST_MS: f64 = 2.0;
/// Cost of leaving the zone, in ms; small, because it only breaks ties.
const ZONE_COST_MS: f64 = 25.0;
/// Cost of a failure rate of 1, in ms.
const FAILURE_COST_MS: f64 = 600.0;
/// Range of the noise that keeps nodes from choosing alike, in ms.
const NOISE_MS: f64 = 3.0;
/// Cost of the best replica from which another one is loaded, in ms.
const REPLICATE_COST_MS: f64 = 110.0;
/// Share of a plain service's slots that nodes fill; above 1 because responses take a while to be seen.
const SERVICE_WINDOW: f64 = 1.5;
/// Largest share of a service that is ejected at once.
const MAX_EJECTED: f64 = 0.34;
/// Requests for each replica from which a further one is loaded. An adapter with fewer gains
/// nothing from a replica that it would not gain from a short wait, and loads are scarce.
const REPLICA_USES: u32 = 5;
/// Cost of an engine whose streams all pause for too long, in ms.
const LATE_PAUSE_COST_MS: f64 = 80.0;
/// Cost for each request that an engine runs and each 1,000 tokens of a prompt, in ms: the
/// prompt holds up the streams of them all.
const DISTURBANCE_COST_MS: f64 = 1.5;
/// Cost for each token of the output on an engine whose streams all pause for too long, in ms.
const SLOW_TOKEN_COST_MS: f64 = 0.3;
/// Homes among which the first load of an adapter chooses.
const HOMES: usize = 3;
/// Cost difference for which an adapter leaves its first home, in ms.
const HOME_SPREAD_MS: f64 = 300.0;
/// Cost of an engine whose adapter slots are all in use, in ms; a stream holds one for seconds.
const PACKED_COST_MS: f64 = 1_000.0;
/// Gain of an engine that held the adapter lately, in ms; it saves a load from the store, which
/// takes 250 ms and more.
const WARM_GAIN_MS: f64 = 350.0;
/// Share of the version bound after which an old version is no longer used.
const OLD_VERSION_SHARE: f64 = 0.55;
/// Share of the version bound after which engines are told the version that must answer.
const EXPECT_SHARE: f64 = 0.3;

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Blocked {
    /// The service has no usable upstream.
    NoUpstream,
    /// No engine holds the adapter.
    Adapter,
    /// Every upstream has its window full.
    Full,
}

/// Choice for a request.
#[derive(Debug)]
pub(super) enum Choice {
    Send {
        upstream: Arc<UpstreamEntry>,
        version: Option<u64>,
    },
    /// Ask the holder of this engine for a place.
    AskHolder(Name),
    Wait(Blocked),
}

/// Upstream with its cost.
struct Candidate {
    id: Name,
    cost: f64,
    room: bool,
}

impl Dispatcher {
    pub(super) fn choose(&mut self, now: Time, job: &Job) -> Choice {
        if !self.services.contains_key(&job.service) {
            return Choice::Wait(Blocked::NoUpstream);
        }
        let spared = self.spared(now, &job.service);
        match job.adapter_key() {
            Some(key) => self.choose_replica(now, job, &key, spared),
            None => {
                let members = self.services[&job.service].members.clone();
                let candidates = self.candidates(now, job, &members, spared);
                match best(&candidates) {
                    Some(candidate) if candidate.room => self.chosen(now, &candidate.id, None),
                    Some(_) => Choice::Wait(Blocked::Full),
                    None => Choice::Wait(Blocked::NoUpstream),
                }
            }
        }
    }

    /// What a request with the same needs as an earlier one waits for.
    pub(super) fn blocked_reason(&self, job: &Job) -> Blocked {
        match job.model.as_ref().is_some_and(|model| model.adapter.is_some()) {
            true => Blocked::Adapter,
            false => Blocked::Full,
        }
    }

    fn choose_replica(&mut self, now: Time, job: &Job, key: &AdapterKey, spared: bool) -> Choice {
        let (least, expect) = self.version_rule(now, key);
        let replicas: Vec<Name> = self
            .replicas
            .get(key)
            .into_iter()
            .flatten()
            .filter(|id| {
                self.upstreams.get(*id).is_some_and(|upstream| upstream.serves(now, key, least))
            })
            .cloned()
            .collect();
        let candidates = self.candidates(now, job, &replicas, spared);
        let best = best(&candidates).map(|c| (c.id.clone(), c.cost, c.room));
        match best {
            Some((id, cost, true)) => {
                let old = self.newest_version(&key.0, &key.1).is_some_and(|newest| {
                    self.upstreams[&id].adapters.get(key).is_some_and(|r| r.version < newest)
                });
                if old || (cost > REPLICATE_COST_MS && self.is_hot(now, key)) {
                    self.want(now, job, key, spared);
                } else {
                    self.wants.met(key);
                }
                self.chosen(now, &id, expect)
            }
            Some((id, _, false)) => {
                let slow = self.upstreams[&id].too_slow(now, job);
                if slow || self.is_hot(now, key) {
                    self.want(now, job, key, spared);
                }
                Choice::Wait(Blocked::Full)
            }
            None => match self.want(now, job, key, spared) {
                true => Choice::Wait(Blocked::Adapter),
                false => Choice::Wait(Blocked::NoUpstream),
            },
        }
    }

    /// Oldest version that may still answer, and the version to insist on.
    fn version_rule(&self, now: Time, key: &AdapterKey) -> (u64, Option<u64>) {
        let Some(news) = self.versions.get(key) else { return (0, None) };
        let age = now.since(news.seen);
        let bound = self.settings.version_bound;
        let least = if age >= bound.mul_f64(OLD_VERSION_SHARE) { news.version } else { 0 };
        let expect = (age >= bound.mul_f64(EXPECT_SHARE) && least > 0).then_some(news.version);
        (least, expect)
    }

    /// States that `key` is needed; `false` if no engine can take it.
    pub(super) fn want(&mut self, now: Time, job: &Job, key: &AdapterKey, spared: bool) -> bool {
        let target = match self.wants.target(now, key) {
            Some(target) if self.can_load(now, &target, key, spared) => Some(target),
            Some(_) | None => self.home(now, job, key, spared),
        };
        let Some(target) = target else {
            return !self.services[&job.service].members.is_empty();
        };
        self.wants.state(now, key, &target, job);
        true
    }

    /// Engine on which `key` should be loaded: among its first homes the cheapest, with a lead for the first.
    fn home(&self, now: Time, job: &Job, key: &AdapterKey, spared: bool) -> Option<Name> {
        let subject = key.1.as_str();
        let failed = self.wants.failed(now, key);
        let mut homes: Vec<(u64, &Name)> = self.services[&job.service]
            .members
            .iter()
            .filter(|id| self.can_load(now, id, key, spared) && Some(*id) != failed.as_ref())
            .filter(|id| !job.tried.contains(id) && !self.upstreams[*id].too_slow(now, job))
            .map(|id| (rendezvous::weight(subject, id.as_str()), id))
            .collect();
        homes.sort_unstable_by(|a, b| b.cmp(a));
        homes
            .iter()
            .take(HOMES)
            .enumerate()
            .map(|(place, (_, id))| {
                let upstream = &self.upstreams[*id];
                let lead = HOME_SPREAD_MS * place as f64;
                let warm = if upstream.is_warm(now, key) { WARM_GAIN_MS } else { 0.0 };
                let packed = if upstream.is_packed(now) { PACKED_COST_MS } else { 0.0 };
                (upstream.engine_cost(now, job) + lead + packed - warm, *id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Whether the replicas of `key` have enough requests for a further one.
    pub(super) fn is_hot(&self, now: Time, key: &AdapterKey) -> bool {
        let Some(replicas) = self.replicas.get(key) else { return false };
        let uses: u32 = replicas
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .map(|upstream| upstream.uses(now, &key.1))
            .sum();
        uses as usize >= replicas.len() * REPLICA_USES as usize
    }

    fn can_load(&self, now: Time, id: &Name, key: &AdapterKey, spared: bool) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            let newest = self.versions.get(key).map_or(0, |news| news.version);
            let held = upstream.adapters.get(key).is_some_and(|r| r.ready && r.version >= newest);
            let ejected = !spared && upstream.health.is_ejected(now);
            upstream.open && upstream.usable(now) && !held && !ejected
        })
    }

    /// Whether so many upstreams of `service` are ejected that ejection is ignored.
    pub(super) fn spared(&mut self, now: Time, service: &Name) -> bool {
        let Some(service) = self.services.get_mut(service) else { return false };
        let upstreams = &self.upstreams;
        service.ejected.retain(|id| upstreams.get(id).is_some_and(|u| u.health.is_ejected(now)));
        service.ejected.len() as f64 > service.members.len() as f64 * MAX_EJECTED
    }

    fn candidates(&mut self, now: Time, job: &Job, ids: &[Name], spared: bool) -> Vec<Candidate> {
        let engine = job.model.is_some();
        let late = job.is_hurried(now);
        let mut candidates = Vec::with_capacity(ids.len());
        for id in ids {
            let noise = self.rng.random::<f64>() * NOISE_MS;
            let Some(upstream) = self.upstreams.get(id) else { continue };
            let ejected = !spared && upstream.health.is_ejected(now);
            if !upstream.usable(now) || ejected || job.tried.contains(id) {
                continue;
            }
            let zone = if upstream.entry.zone == self.settings.zone { 0.0 } else { ZONE_COST_MS };
            let load = match engine {
                true => upstream.engine_cost(now, job),
                false => upstream.service_cost(now),
            };
            let slots = upstream.entry.slots;
            let places = match engine {
                true => places(slots),
                false => (f64::from(slots) * SERVICE_WINDOW).max(1.0),
            };
            let admitted = upstream.asked_holder(now).is_some();
            let room = admitted
                || f64::from(upstream.in_flight(now)) < places
                    && (!engine || upstream.takes_prompt(now, job, late));
            let failures = upstream.health.failure_rate() * FAILURE_COST_MS;
            candidates.push(Candidate {
                id: id.clone(),
                cost: load + zone + failures + noise,
                room,
            });
        }
        candidates
    }

    fn chosen(&self, now: Time, id: &Name, version: Option<u64>) -> Choice {
        let upstream = &self.upstreams[id];
        match upstream.asked_holder(now) {
            Some(_) => Choice::AskHolder(id.clone()),
            None => Choice::Send { upstream: Arc::clone(&upstream.entry), version },
        }
    }

    /// Whether `job` may still be sent to `id` once a place was granted.
    pub(super) fn still_fits(&mut self, now: Time, job: &Job, id: &Name) -> bool {
        let spared = self.spared(now, &job.service);
        let least = job.adapter_key().map_or(0, |key| self.version_rule(now, &key).0);
        self.upstreams.get(id).is_some_and(|upstream| {
            let held = job.adapter_key().is_none_or(|key| upstream.serves(now, &key, least));
            held && upstream.usable(now) && (spared || !upstream.health.is_ejected(now))
        })
    }

    /// Version that must answer `job`.
    pub(super) fn expected_version(&self, now: Time, job: &Job) -> Option<u64> {
        self.version_rule(now, &job.adapter_key()?).1
    }
}

impl Upstream {
    /// Whether a prompt may be added, by the requests that this node knows of.
    fn takes_prompt(&self, now: Time, job: &Job, late: bool) -> bool {
        takes_prompt(self.backlog(now), self.late_pauses(now), job.prompt_tokens, late)
    }

    /// Whether a large prompt should go elsewhere.
    fn too_slow(&self, now: Time, job: &Job) -> bool {
        is_too_slow(self.late_pauses(now), job.prompt_tokens)
    }

    fn engine_cost(&self, now: Time, job: &Job) -> f64 {
        let prompt = f64::from(job.prompt_tokens) / 1_000.0;
        let output = f64::from(job.output_tokens);
        let running = f64::from(self.in_flight(now));
        f64::from(self.backlog(now)) * TOKEN_COST_MS
            + running * ENGINE_REQUEST_COST_MS
            + running * prompt * DISTURBANCE_COST_MS
            + self.late_pauses(now) * (LATE_PAUSE_COST_MS + output * SLOW_TOKEN_COST_MS)
    }

    fn service_cost(&self, now: Time) -> f64 {
        let slots = self.entry.slots.max(1);
        // A report covers requests of nodes whose beats are late; it loses weight within half a second.
        let reported = match self.reported {
            Some((at, load)) if now.since(at) < Duration::from_millis(500) => {
                load.running + load.waiting
            }
            Some(_) | None => 0,
        };
        let load = self.in_flight(now).max(reported / 2);
        let excess = load.saturating_sub(slots.saturating_sub(1));
        f64::from(load) / f64::from(slots) * 6.0 * REQUEST_COST_MS + f64::from(excess) * 20.0
    }
}

/// Cheapest candidate, those with room first.
fn best(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates.iter().min_by(|a, b| b.room.cmp(&a.room).then(a.cost.total_cmp(&b.cost)))
}
