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
use super::load::accepts_prompt;
use super::load::avoids_large_prompt;
use super::load::max_in_flight;
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
const PLAIN_OVERCOMMIT: f64 = 1.5;
/// Largest share of a service that is ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Requests for each replica from which a further one is loaded. An adapter with fewer gains
/// nothing from a replica that it would not gain from a short wait, and loads are scarce.
const REQUESTS_PER_REPLICA: u32 = 5;
/// Cost of an engine whose streams all pause for too long, in ms.
const LATE_STREAMS_COST_MS: f64 = 80.0;
/// Cost for each request that an engine runs and each 1,000 tokens of a prompt, in ms: the
/// prompt holds up the streams of them all.
const PREFILL_INTERFERENCE_COST_MS: f64 = 1.5;
/// Cost for each token of the output on an engine whose streams all pause for too long, in ms.
const SLOW_TOKEN_COST_MS: f64 = 0.3;
/// Homes among which the first load of an adapter chooses.
const PREFERRED_ENGINES: usize = 3;
/// Cost difference for which an adapter leaves its first home, in ms.
const PREFERENCE_STEP_MS: f64 = 300.0;
/// Cost of an engine whose adapter slots are all in use, in ms; a stream holds one for seconds.
const NO_FREE_SLOT_COST_MS: f64 = 1_000.0;
/// Gain of an engine that held the adapter lately, in ms; it saves a load from the store, which
/// takes 250 ms and more.
const WARM_GAIN_MS: f64 = 350.0;
/// Share of the version bound after which an old version is no longer used.
const OLD_VERSION_SHARE: f64 = 0.55;
/// Share of the version bound after which engines are told the version that must answer.
const EXPECT_VERSION_SHARE: f64 = 0.3;

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitReason {
    /// The service has no usable upstream.
    NoUpstream,
    /// No engine holds the adapter.
    AdapterAbsent,
    /// Every upstream has its window full.
    AllFull,
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
    Wait(WaitReason),
}

/// Upstream with its cost.
struct Candidate {
    id: Name,
    cost: f64,
    has_capacity: bool,
}

impl Dispatcher {
    pub(super) fn choose_upstream(&mut self, now: Time, job: &Job) -> Choice {
        if !self.services.contains_key(&job.service) {
            return Choice::Wait(WaitReason::NoUpstream);
        }
        let ignore_ejections = self.ignore_ejections(now, &job.service);
        match job.adapter_key() {
            Some(key) => self.choose_replica(now, job, &key, ignore_ejections),
            None => {
                let members = self.services[&job.service].members.clone();
                let candidates = self.candidates(now, job, &members, ignore_ejections);
                match best_candidate(&candidates) {
                    Some(candidate) if candidate.has_capacity => {
                        self.choice_for(now, &candidate.id, None)
                    }
                    Some(_) => Choice::Wait(WaitReason::AllFull),
                    None => Choice::Wait(WaitReason::NoUpstream),
                }
            }
        }
    }

    /// What a request with the same needs as an earlier one waits for.
    pub(super) fn wait_reason(&self, job: &Job) -> WaitReason {
        match job.model.as_ref().is_some_and(|model| model.adapter.is_some()) {
            true => WaitReason::AdapterAbsent,
            false => WaitReason::AllFull,
        }
    }

    fn choose_replica(
        &mut self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> Choice {
        let (min_version, expected) = self.version_requirements(now, key);
        let replicas: Vec<Name> = self
            .replicas
            .get(key)
            .into_iter()
            .flatten()
            .filter(|id| {
                self.upstreams
                    .get(*id)
                    .is_some_and(|upstream| upstream.serves(now, key, min_version))
            })
            .cloned()
            .collect();
        let candidates = self.candidates(now, job, &replicas, ignore_ejections);
        let best = best_candidate(&candidates).map(|c| (c.id.clone(), c.cost, c.has_capacity));
        match best {
            Some((id, cost, true)) => {
                let is_outdated = self.newest_version(&key.0, &key.1).is_some_and(|newest| {
                    self.upstreams[&id].adapters.get(key).is_some_and(|r| r.version < newest)
                });
                if is_outdated || (cost > REPLICATE_COST_MS && self.is_hot(now, key)) {
                    self.request_adapter(now, job, key, ignore_ejections);
                } else {
                    self.adapter_requests.remove(key);
                }
                self.choice_for(now, &id, expected)
            }
            Some((id, _, false)) => {
                let avoided = self.upstreams[&id].should_avoid_for(now, job);
                if avoided || self.is_hot(now, key) {
                    self.request_adapter(now, job, key, ignore_ejections);
                }
                Choice::Wait(WaitReason::AllFull)
            }
            None => match self.request_adapter(now, job, key, ignore_ejections) {
                true => Choice::Wait(WaitReason::AdapterAbsent),
                false => Choice::Wait(WaitReason::NoUpstream),
            },
        }
    }

    /// Oldest version that may still answer, and the version to insist on.
    fn version_requirements(&self, now: Time, key: &AdapterKey) -> (u64, Option<u64>) {
        let Some(named) = self.versions.get(key) else { return (0, None) };
        let age = now.since(named.seen_at);
        let bound = self.settings.version_bound;
        let min_version = if age >= bound.mul_f64(OLD_VERSION_SHARE) { named.version } else { 0 };
        let expected = (age >= bound.mul_f64(EXPECT_VERSION_SHARE) && min_version > 0)
            .then_some(named.version);
        (min_version, expected)
    }

    /// States that `key` is needed; `false` if no engine can take it.
    pub(super) fn request_adapter(
        &mut self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> bool {
        let target = match self.adapter_requests.target(now, key) {
            Some(target) if self.can_load(now, &target, key, ignore_ejections) => Some(target),
            Some(_) | None => self.preferred_engine(now, job, key, ignore_ejections),
        };
        let Some(target) = target else {
            return !self.services[&job.service].members.is_empty();
        };
        self.adapter_requests.add(now, key, &target, job);
        true
    }

    /// Engine on which `key` should be loaded: among its first homes the cheapest, with a lead for the first.
    fn preferred_engine(
        &self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> Option<Name> {
        let adapter_name = key.1.as_str();
        let failed = self.adapter_requests.failed_target(now, key);
        let mut engines: Vec<(u64, &Name)> = self.services[&job.service]
            .members
            .iter()
            .filter(|id| {
                self.can_load(now, id, key, ignore_ejections) && Some(*id) != failed.as_ref()
            })
            .filter(|id| !job.tried.contains(id) && !self.upstreams[*id].should_avoid_for(now, job))
            .map(|id| (rendezvous::weight(adapter_name, id.as_str()), id))
            .collect();
        engines.sort_unstable_by(|a, b| b.cmp(a));
        engines
            .iter()
            .take(PREFERRED_ENGINES)
            .enumerate()
            .map(|(rank, (_, id))| {
                let upstream = &self.upstreams[*id];
                let penalty = PREFERENCE_STEP_MS * rank as f64;
                let warm_gain = if upstream.held_recently(now, key) { WARM_GAIN_MS } else { 0.0 };
                let slot_cost =
                    if upstream.has_no_free_adapter_slot(now) { NO_FREE_SLOT_COST_MS } else { 0.0 };
                (upstream.engine_cost(now, job) + penalty + slot_cost - warm_gain, *id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Whether the replicas of `key` have enough requests for a further one.
    pub(super) fn is_hot(&self, now: Time, key: &AdapterKey) -> bool {
        let Some(replicas) = self.replicas.get(key) else { return false };
        let requests: u32 = replicas
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .map(|upstream| upstream.requests_using(now, &key.1))
            .sum();
        requests as usize >= replicas.len() * REQUESTS_PER_REPLICA as usize
    }

    fn can_load(&self, now: Time, id: &Name, key: &AdapterKey, ignore_ejections: bool) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            let newest = self.versions.get(key).map_or(0, |named| named.version);
            let held = upstream.adapters.get(key).is_some_and(|r| r.ready && r.version >= newest);
            let ejected = !ignore_ejections && upstream.health.ejected(now);
            upstream.holder_active && upstream.is_usable(now) && !held && !ejected
        })
    }

    /// Whether so many upstreams of `service` are ejected that ejection is ignored.
    pub(super) fn ignore_ejections(&mut self, now: Time, service: &Name) -> bool {
        let Some(service) = self.services.get_mut(service) else { return false };
        let upstreams = &self.upstreams;
        service.ejected.retain(|id| upstreams.get(id).is_some_and(|u| u.health.ejected(now)));
        service.ejected.len() as f64 > service.members.len() as f64 * MAX_EJECTED_SHARE
    }

    fn candidates(
        &mut self,
        now: Time,
        job: &Job,
        ids: &[Name],
        ignore_ejections: bool,
    ) -> Vec<Candidate> {
        let is_engine = job.model.is_some();
        let unpaced = job.is_exempt_from_pacing(now);
        let mut candidates = Vec::with_capacity(ids.len());
        for id in ids {
            let noise = self.rng.random::<f64>() * NOISE_MS;
            let Some(upstream) = self.upstreams.get(id) else { continue };
            let ejected = !ignore_ejections && upstream.health.ejected(now);
            if !upstream.is_usable(now) || ejected || job.tried.contains(id) {
                continue;
            }
            let zone_cost =
                if upstream.entry.zone == self.settings.zone { 0.0 } else { ZONE_COST_MS };
            let load_cost = match is_engine {
                true => upstream.engine_cost(now, job),
                false => upstream.plain_cost(now),
            };
            let slots = upstream.entry.slots;
            let max_in_flight = match is_engine {
                true => max_in_flight(slots),
                false => (f64::from(slots) * PLAIN_OVERCOMMIT).max(1.0),
            };
            let admitted = upstream.active_holder(now).is_some();
            let has_capacity = admitted
                || f64::from(upstream.in_flight(now)) < max_in_flight
                    && (!is_engine || upstream.accepts_prompt(now, job, unpaced));
            let failure_cost = upstream.health.failure_rate() * FAILURE_COST_MS;
            candidates.push(Candidate {
                id: id.clone(),
                cost: load_cost + zone_cost + failure_cost + noise,
                has_capacity,
            });
        }
        candidates
    }

    fn choice_for(&self, now: Time, id: &Name, version: Option<u64>) -> Choice {
        let upstream = &self.upstreams[id];
        match upstream.active_holder(now) {
            Some(_) => Choice::AskHolder(id.clone()),
            None => Choice::Send { upstream: Arc::clone(&upstream.entry), version },
        }
    }

    /// Whether `job` may still be sent to `id` once a place was granted.
    pub(super) fn may_still_send(&mut self, now: Time, job: &Job, id: &Name) -> bool {
        let ignore_ejections = self.ignore_ejections(now, &job.service);
        let min_version = job.adapter_key().map_or(0, |key| self.version_requirements(now, &key).0);
        self.upstreams.get(id).is_some_and(|upstream| {
            let held = job.adapter_key().is_none_or(|key| upstream.serves(now, &key, min_version));
            held && upstream.is_usable(now) && (ignore_ejections || !upstream.health.ejected(now))
        })
    }

    /// Version that must answer `job`.
    pub(super) fn expected_version(&self, now: Time, job: &Job) -> Option<u64> {
        self.version_requirements(now, &job.adapter_key()?).1
    }
}

impl Upstream {
    /// Whether a prompt may be added, by the requests that this node knows of.
    fn accepts_prompt(&self, now: Time, job: &Job, unpaced: bool) -> bool {
        accepts_prompt(self.backlog(now), self.late_stream_share(now), job.prompt_tokens, unpaced)
    }

    /// Whether a large prompt should go elsewhere.
    fn should_avoid_for(&self, now: Time, job: &Job) -> bool {
        avoids_large_prompt(self.late_stream_share(now), job.prompt_tokens)
    }

    fn engine_cost(&self, now: Time, job: &Job) -> f64 {
        let prompt = f64::from(job.prompt_tokens) / 1_000.0;
        let output = f64::from(job.output_tokens);
        let running = f64::from(self.in_flight(now));
        f64::from(self.backlog(now)) * TOKEN_COST_MS
            + running * ENGINE_REQUEST_COST_MS
            + running * prompt * PREFILL_INTERFERENCE_COST_MS
            + self.late_stream_share(now) * (LATE_STREAMS_COST_MS + output * SLOW_TOKEN_COST_MS)
    }

    fn plain_cost(&self, now: Time) -> f64 {
        let slots = self.entry.slots.max(1);
        // A report covers requests of nodes whose beats are late; it loses weight within half a second.
        let reported = match self.load_report {
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
fn best_candidate(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates
        .iter()
        .min_by(|a, b| b.has_capacity.cmp(&a.has_capacity).then(a.cost.total_cmp(&b.cost)))
}
