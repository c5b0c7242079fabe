//! Selection of the upstream for one request.
//!
//! Every usable upstream has a cost in milliseconds, roughly the delay that the request would incur
//! there or cause to others. The cheapest one with capacity is selected.

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
use super::load::PAUSE_OBJECTIVE_MS;
use super::load::PREFILL_TOKENS_PER_MS;
use super::load::accepts_prompt;
use super::load::avoids_large_prompt;
use super::load::expected_pause_ms;
use super::load::max_in_flight;
use super::pace::ServicePace;
use super::placement::FIRST_ENGINES;
use super::upstreams::Upstream;

/// Cost of a prompt token that an engine has not processed yet, in ms. Engines process about 20
/// tokens per ms.
const TOKEN_COST_MS: f64 = 0.05;
/// Cost of a request that an engine runs, in ms: it lengthens every decoding step a little.
const ENGINE_REQUEST_COST_MS: f64 = 0.6;
/// Cost of a request in flight at a plain upstream with six slots, in ms. It is inversely
/// proportional to the number of slots.
const PLAIN_REQUEST_COST_MS: f64 = 2.0;
/// Cost of leaving the availability zone, in ms. It is small because it only breaks ties.
const ZONE_COST_MS: f64 = 25.0;
/// Cost of a failure rate of 1, in ms.
const FAILURE_COST_MS: f64 = 600.0;
/// Range of the random noise that keeps nodes from choosing the same upstream, in ms.
const NOISE_MS: f64 = 3.0;
/// Cost of the best replica above which a further one is requested, in ms.
const REPLICATE_COST_MS: f64 = 110.0;
/// Maximum number of requests in flight at a plain upstream, as a multiple of its slots. Above 1,
/// because nodes notice the end of a response with a delay.
const PLAIN_OVERCOMMIT: f64 = 1.5;
/// Largest share of a service's upstreams that may be ejected at once. Above it, ejections are
/// ignored.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Number of requests per replica from which a further one is loaded. With fewer requests, a
/// replica gains no more than a short wait would, and loads are scarce.
const REQUESTS_PER_REPLICA: u64 = 5;
/// Cost of an engine whose streams all pause for too long, in ms.
const LATE_STREAMS_COST_MS: f64 = 80.0;
/// Cost per running request and per 1,000 tokens of the prompt, in ms: the prefill delays the
/// streams of all running requests.
const PREFILL_INTERFERENCE_COST_MS: f64 = 1.5;
/// Cost per output token on an engine whose streams all pause for too long, in ms.
const SLOW_TOKEN_COST_MS: f64 = 0.3;
/// Number of engines, in the adapter's rendezvous order, among which its first load chooses.
const PREFERRED_ENGINES: usize = 3;
/// Extra cost of each further engine in the adapter's rendezvous order, in ms.
const PREFERENCE_STEP_MS: f64 = 300.0;
/// Cost of an engine whose adapter slots are all in use, in ms. A stream occupies its slot for
/// seconds.
const NO_FREE_SLOT_COST_MS: f64 = 1_000.0;
/// Cost reduction for an engine that held the adapter recently, in ms. It saves a load from the
/// adapter store, which takes 250 ms or more.
const WARM_GAIN_MS: f64 = 350.0;
/// Share of the version bound after which an old version is no longer used.
const OLD_VERSION_SHARE: f64 = 0.55;
/// Share of the version bound after which a request names the version that must serve it, provided
/// that older versions are excluded by then ([`OLD_VERSION_SHARE`]).
const EXPECT_VERSION_SHARE: f64 = 0.3;

/// Number of requests per replica from which a further one is loaded if engines report their speed:
/// the best replica may be at a slow engine. 2 needs 15% more loads than 5, and 3 needs 6%.
const PACED_REQUESTS_PER_REPLICA: u64 = 3;
/// Cost per ms of an expected pause beyond the margin, for each stream that it affects.
const LATE_PAUSE_COST: f64 = 0.5;
/// Share of the pause objective above which an expected pause has a cost.
const PAUSE_MARGIN_SHARE: f64 = 0.8;

/// Why a request can't be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitReason {
    /// The service has no usable upstream.
    NoUpstream,
    /// No engine holds the adapter.
    AdapterAbsent,
    /// Every upstream has reached its limit.
    AllFull,
    /// No upstream wants requests before this time.
    Away {
        /// Time at which the first one wants requests again.
        until: Time,
    },
}

/// Result of selecting an upstream for a request.
#[derive(Debug)]
pub(super) enum Choice {
    /// Send the request to this upstream without asking a holder.
    Send { upstream: Arc<UpstreamEntry>, version: Option<u64> },
    /// Ask the holder of this engine to admit the request.
    AskHolder(Name),
    /// Keep the request waiting.
    Wait(WaitReason),
}

/// A usable upstream with its cost.
pub(super) struct Candidate {
    pub(super) id: Name,
    pub(super) cost: f64,
    /// Whether the request may be sent there now, or a holder decides on its admission.
    pub(super) has_capacity: bool,
}

impl Dispatcher {
    /// Returns whether `service` has an upstream besides `upstream` and those in `tried`.
    pub fn has_other_upstream(&self, service: &Name, upstream: &Name, tried: &[Name]) -> bool {
        self.services.get(service).is_some_and(|service| {
            service.members.iter().any(|member| member != upstream && !tried.contains(member))
        })
    }

    /// Selects the upstream for `job`, and requests a load of its adapter where that helps.
    pub(super) fn choose_upstream(&mut self, now: Time, job: &Job) -> Choice {
        if !self.services.contains_key(&job.service) {
            return Choice::Wait(WaitReason::NoUpstream);
        }
        if let Some(until) = self.all_away_until(now, &job.service) {
            return Choice::Wait(WaitReason::Away { until });
        }
        let ignore_ejections = self.should_ignore_ejections(now, &job.service);
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

    /// Returns why a request waits if an earlier one with the same needs can't be sent.
    pub(super) fn wait_reason(&self, job: &Job) -> WaitReason {
        match job.model.as_ref().is_some_and(|model| model.adapter.is_some()) {
            true => WaitReason::AdapterAbsent,
            false => WaitReason::AllFull,
        }
    }

    /// Selects among the engines that hold the adapter `key`.
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
                let is_busy = cost > REPLICATE_COST_MS && self.needs_replica(now, key, &id);
                if is_outdated || is_busy {
                    self.request_adapter(now, job, key, ignore_ejections);
                } else {
                    self.adapter_requests.remove(key);
                }
                self.choice_for(now, &id, expected)
            }
            Some((id, _, false)) => {
                let pace = self.service_pace(&job.service);
                let avoided = self.upstreams[&id].should_avoid_for(now, job, pace.as_ref());
                if avoided || self.needs_replica(now, key, &id) {
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

    /// Returns the oldest version that may serve a request, and the version that the request must
    /// name, if any.
    pub(super) fn version_requirements(&self, now: Time, key: &AdapterKey) -> (u64, Option<u64>) {
        let Some(named) = self.versions.get(key) else { return (0, None) };
        let age = now.since(named.seen_at);
        let bound = self.settings.version_bound;
        let min_version = if age >= bound.mul_f64(OLD_VERSION_SHARE) { named.version } else { 0 };
        let expected = (age >= bound.mul_f64(EXPECT_VERSION_SHARE) && min_version > 0)
            .then_some(named.version);
        (min_version, expected)
    }

    /// Requests a load of the adapter `key`. Returns `false` if the service has no upstreams at
    /// all.
    pub(super) fn request_adapter(
        &mut self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> bool {
        self.update_placement_order(&job.service);
        let target = match self.adapter_requests.target(now, key) {
            Some(target)
                if !job.tried.contains(&target)
                    && self.can_load(now, &target, key, ignore_ejections) =>
            {
                Some(target)
            }
            Some(_) | None => self.preferred_engine(now, job, key, ignore_ejections),
        };
        let Some(target) = target else {
            return !self.services[&job.service].members.is_empty();
        };
        self.adapter_requests.add(now, key, &target, job.priority);
        true
    }

    /// Selects the engine that should load `key`: the cheapest among the first
    /// [`PREFERRED_ENGINES`] in the adapter's rendezvous order, with an advantage for earlier ones.
    /// Under pressure, it depends on where the adapter displaces others as well, and on the speed of
    /// the engines if they report it.
    fn preferred_engine(
        &self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> Option<Name> {
        if self.is_under_pressure(job.service.as_str()) {
            let pace = self.service_pace(&job.service);
            let engines = self
                .engines_by_speed(now, job, key, ignore_ejections, FIRST_ENGINES)
                .unwrap_or_else(|| self.engines_by_name(now, job, key, ignore_ejections));
            let cost = |upstream: &Upstream| upstream.engine_cost(now, job, pace.as_ref());
            return self.load_target(now, key, engines.iter(), cost);
        }
        self.engines_by_name(now, job, key, ignore_ejections)
            .into_iter()
            .take(PREFERRED_ENGINES)
            .enumerate()
            .map(|(rank, id)| {
                let upstream = &self.upstreams[&id];
                let penalty = PREFERENCE_STEP_MS * rank as f64;
                let warm_gain = if upstream.held_recently(now, key) { WARM_GAIN_MS } else { 0.0 };
                let slot_cost =
                    if upstream.has_no_free_adapter_slot(now) { NO_FREE_SLOT_COST_MS } else { 0.0 };
                (upstream.engine_cost(now, job, None) + penalty + slot_cost - warm_gain, id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    /// Returns the engines in the rendezvous order of `key` that can load it and that `job` may use.
    fn engines_by_name(
        &self,
        now: Time,
        job: &Job,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> Vec<Name> {
        let adapter_name = key.1.as_str();
        let failed = self.adapter_requests.failed_target(now, key);
        let mut engines: Vec<(u64, &Name)> = self.services[&job.service]
            .members
            .iter()
            .filter(|id| {
                self.can_load(now, id, key, ignore_ejections) && Some(*id) != failed.as_ref()
            })
            .filter(|id| {
                !job.tried.contains(id) && !self.upstreams[*id].should_avoid_for(now, job, None)
            })
            .map(|id| (rendezvous::weight(adapter_name, id.as_str()), id))
            .collect();
        engines.sort_unstable_by(|a, b| b.cmp(a));
        engines.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns whether a further replica of `key` is worth its load while the best one, at `best`, can't
    /// take a request at once.
    fn needs_replica(&self, now: Time, key: &AdapterKey, best: &Name) -> bool {
        !self.upstreams[best].is_unlimited() || self.is_hot(now, key)
    }

    /// Returns whether the replicas of `key` have enough requests to justify a further one.
    pub(super) fn is_hot(&self, now: Time, key: &AdapterKey) -> bool {
        let Some(replicas) = self.replicas.get(key) else { return false };
        let requests: u64 = replicas
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .map(|upstream| u64::from(upstream.requests_using(now, &key.1)))
            .sum();
        let upstream = replicas.first().and_then(|id| self.upstreams.get(id));
        let paced = upstream.is_some_and(|known| self.service_pace(&known.entry.service).is_some());
        let per_replica = if paced { PACED_REQUESTS_PER_REPLICA } else { REQUESTS_PER_REPLICA };
        requests >= replicas.len() as u64 * per_replica
    }

    /// Returns whether engine `id` can load the newest version of `key` and does not hold it yet.
    pub(super) fn can_load(
        &self,
        now: Time,
        id: &Name,
        key: &AdapterKey,
        ignore_ejections: bool,
    ) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            let newest = self.versions.get(key).map_or(0, |named| named.version);
            let held = upstream.adapters.get(key).is_some_and(|r| r.ready && r.version >= newest);
            let ejected = !ignore_ejections && upstream.health.is_ejected(now);
            let avoided = self.avoids_loads(upstream);
            upstream.holder_active && upstream.is_usable(now) && !held && !ejected && !avoided
        })
    }

    /// Returns whether so many upstreams of `service` are ejected that ejections are ignored.
    pub(super) fn should_ignore_ejections(&mut self, now: Time, service: &Name) -> bool {
        let Some(service) = self.services.get_mut(service) else { return false };
        let upstreams = &self.upstreams;
        service.ejected.retain(|id| upstreams.get(id).is_some_and(|u| u.health.is_ejected(now)));
        service.ejected.len() as f64 > service.members.len() as f64 * MAX_EJECTED_SHARE
    }

    /// Returns the usable upstreams among `ids` with their costs.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        job: &Job,
        ids: &[Name],
        ignore_ejections: bool,
    ) -> Vec<Candidate> {
        let is_engine = job.model.is_some();
        let unpaced = job.is_exempt_from_pacing(now);
        let service = self.services.get(&job.service);
        let pace = service.and_then(|service| service.pace);
        let work_s = service.map_or(0.0, |service| service.mean_service_time_s);
        let mut candidates = Vec::with_capacity(ids.len());
        for id in ids {
            let noise = self.rng.random::<f64>() * NOISE_MS;
            let Some(upstream) = self.upstreams.get(id) else { continue };
            let ejected = !ignore_ejections && upstream.health.is_ejected(now);
            if !upstream.is_usable(now) || ejected || job.tried.contains(id) {
                continue;
            }
            let zone_cost =
                if upstream.entry.zone == self.settings.zone { 0.0 } else { ZONE_COST_MS };
            let load_cost = match is_engine {
                true => upstream.engine_cost(now, job, pace.as_ref()),
                false => match &pace {
                    Some(pace) => upstream.paced_plain_cost(now, pace, work_s),
                    None => upstream.plain_cost(now),
                },
            };
            let slots = upstream.entry.slots;
            let max_in_flight = match is_engine {
                true => max_in_flight(slots, pace.map(|pace| upstream.base_factor(&pace))),
                false => (f64::from(slots) * PLAIN_OVERCOMMIT).max(1.0),
            };
            let holder_decides = upstream.active_holder(now).is_some();
            let has_capacity = match holder_decides {
                true => !upstream.is_closed(now),
                false => {
                    upstream.is_unlimited()
                        && f64::from(upstream.in_flight(now)) < max_in_flight
                        && (!is_engine || upstream.accepts_prompt(now, job, unpaced, pace.as_ref()))
                }
            };
            let failure_cost = upstream.health.failure_rate() * FAILURE_COST_MS;
            candidates.push(Candidate {
                id: id.clone(),
                cost: load_cost + zone_cost + failure_cost + noise + upstream.limit_cost(now),
                has_capacity,
            });
        }
        candidates
    }

    /// Returns the choice of upstream `id`: via its holder if one is active, directly otherwise.
    fn choice_for(&self, now: Time, id: &Name, version: Option<u64>) -> Choice {
        let upstream = &self.upstreams[id];
        match upstream.active_holder(now) {
            Some(_) => Choice::AskHolder(id.clone()),
            None => Choice::Send { upstream: Arc::clone(&upstream.entry), version },
        }
    }

    /// Returns whether `job` may still be sent to `id` after the holder granted admission.
    pub(super) fn may_still_send(&mut self, now: Time, job: &Job, id: &Name) -> bool {
        let ignore_ejections = self.should_ignore_ejections(now, &job.service);
        let min_version = job.adapter_key().map_or(0, |key| self.version_requirements(now, &key).0);
        self.upstreams.get(id).is_some_and(|upstream| {
            let held = job.adapter_key().is_none_or(|key| upstream.serves(now, &key, min_version));
            held && upstream.is_usable(now)
                && (ignore_ejections || !upstream.health.is_ejected(now))
        })
    }

    /// Returns the adapter version that must serve `job`; `None` if any may.
    pub(super) fn expected_version(&self, now: Time, job: &Job) -> Option<u64> {
        self.version_requirements(now, &job.adapter_key()?).1
    }
}

impl Upstream {
    /// Returns whether the engine may be sent a further prompt, based on the load that this node
    /// knows of.
    fn accepts_prompt(
        &self,
        now: Time,
        job: &Job,
        unpaced: bool,
        pace: Option<&ServicePace>,
    ) -> bool {
        let factor = pace.map(|pace| self.work_factor(now, pace));
        let late = self.late_stream_share(now);
        accepts_prompt(self.backlog(now), late, job.prompt_tokens, unpaced, factor)
    }

    /// Returns whether `job` has a large prompt that should go to a different engine.
    pub(super) fn should_avoid_for(
        &self,
        now: Time,
        job: &Job,
        pace: Option<&ServicePace>,
    ) -> bool {
        match pace {
            Some(pace) => {
                let factor = self.base_factor(pace);
                expected_pause_ms(factor, f64::from(job.prompt_tokens)) > PAUSE_OBJECTIVE_MS
            }
            None => avoids_large_prompt(self.late_stream_share(now), job.prompt_tokens),
        }
    }

    /// Cost of sending `job` to this engine, in ms.
    fn engine_cost(&self, now: Time, job: &Job, pace: Option<&ServicePace>) -> f64 {
        if let Some(pace) = pace {
            return self.paced_engine_cost(now, job, pace);
        }
        let prompt = f64::from(job.prompt_tokens) / 1_000.0;
        let output = f64::from(job.output_tokens);
        let running = f64::from(self.in_flight(now));
        f64::from(self.backlog(now)) * TOKEN_COST_MS
            + running * ENGINE_REQUEST_COST_MS
            + running * prompt * PREFILL_INTERFERENCE_COST_MS
            + self.late_stream_share(now) * (LATE_STREAMS_COST_MS + output * SLOW_TOKEN_COST_MS)
    }

    /// Cost of sending `job` to this engine, which reports its speed, in ms: the expected time to
    /// the first event, and the pauses that its prompt adds to all streams there, now and in a slow
    /// period.
    fn paced_engine_cost(&self, now: Time, job: &Job, pace: &ServicePace) -> f64 {
        let factor = self.work_factor(now, pace);
        let slow_factor = self.base_factor(pace) * pace.slow_ratio;
        let running = f64::from(self.in_flight(now));
        let tokens = f64::from(self.backlog(now)) + f64::from(job.prompt_tokens);
        let margin = PAUSE_OBJECTIVE_MS * PAUSE_MARGIN_SHARE;
        let excess = |factor: f64| (expected_pause_ms(factor, tokens) - margin).max(0.0);
        let expected_excess =
            (1.0 - pace.slow_share) * excess(factor) + pace.slow_share * excess(slow_factor);
        factor * (tokens / PREFILL_TOKENS_PER_MS + running * ENGINE_REQUEST_COST_MS)
            + (running + 1.0) * expected_excess * LATE_PAUSE_COST
            + self.late_stream_share(now) * LATE_STREAMS_COST_MS
    }

    /// Cost of a request to this plain upstream, which reports its speed, in ms: the expected time
    /// until it is complete. `work_s` is the service time at usual speed.
    fn paced_plain_cost(&self, now: Time, pace: &ServicePace, work_s: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let load = f64::from(self.plain_load(now));
        let waiting = (load + 1.0 - slots).max(0.0);
        let factor = self.work_factor(now, pace);
        work_s * 1_000.0 * factor * (1.0 + waiting / slots)
            + load / slots * 6.0 * PLAIN_REQUEST_COST_MS
    }

    /// Cost of a request to this plain upstream, in ms: it grows with the share of slots in use and
    /// with the number of requests that would wait there, this one included.
    fn plain_cost(&self, now: Time) -> f64 {
        let slots = self.entry.slots.max(1);
        let load = self.plain_load(now);
        let excess = load.saturating_sub(slots.saturating_sub(1));
        f64::from(load) / f64::from(slots) * 6.0 * PLAIN_REQUEST_COST_MS + f64::from(excess) * 20.0
    }

    /// Returns the number of requests at this plain upstream.
    fn plain_load(&self, now: Time) -> u32 {
        // The upstream's own report includes requests of nodes whose heartbeats are late. It is
        // used for half a second, at half its value.
        let reported = match self.load_report {
            Some((at, load)) if now.since(at) < Duration::from_millis(500) => {
                load.running.saturating_add(load.waiting)
            }
            Some(_) | None => 0,
        };
        self.in_flight(now).max(reported / 2)
    }
}

/// Returns the cheapest candidate; those with capacity come first.
fn best_candidate(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates
        .iter()
        .min_by(|a, b| b.has_capacity.cmp(&a.has_capacity).then(a.cost.total_cmp(&b.cost)))
}
