//! Admission of requests to engines, decided by the node that owns an engine, its holder.
//!
//! Handles prompts from many nodes that arrive at one engine at once. The holder knows all requests
//! there, so it can pace prompts and order the waiting requests of all nodes. The load figures that
//! nodes exchange are too old for that when there are many nodes.
//!
//! A node that gets no response decides by itself, so a lost holder costs a timeout and the pacing,
//! not requests.
//!
//! An upstream that names a limit on the requests of all nodes gets them only with admission. For one
//! without a holder, such as a plain upstream, its coordinator admits them
//! ([`dispatch`](crate::dispatch)).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::dispatch::FULL_BACKOFF;
use crate::dispatch::GIVEN_UP_RETRY_AFTER;
use crate::dispatch::Job;
use crate::dispatch::JobId;
use crate::dispatch::LimitedUpstream;
use crate::dispatch::load::EngineLoad;
use crate::dispatch::load::accepts_prompt;
use crate::dispatch::load::max_in_flight;
use crate::dispatch::pace::Pace;
use crate::dispatch::pace::USABLE_PERCENT;
use crate::dispatch::queue::Queue;
use crate::dispatch::queue::RouteShares;
use crate::fleet::UpstreamEntry;
use crate::message::AdmissionDecision;
use crate::message::AdmissionRequest;
use crate::message::AdmissionResponse;
use crate::message::EngineModel;
use crate::message::ProgressEvent;
use crate::message::ProgressReport;
use crate::message::UpstreamLoad;
use crate::request_limit::LimitBucket;
use crate::request_limit::RequestRate;

/// Number of requests that wait for one engine before further ones are denied.
const MAX_WAITING_REQUESTS: usize = 500;
/// Weight of the newest sample in the exponential moving average of the service time.
const SERVICE_TIME_ALPHA: f64 = 0.05;
/// Mean service time of a request before the first sample, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 1.0;
/// Share of an engine's KV cache that admitted requests may take together. The rest is for requests
/// that nodes send without admission while the holder does not respond.
const KV_FILL_SHARE: f64 = 0.95;
/// Weight of the newest request in the moving average of the tokens that a request takes.
const KV_ALPHA: f64 = 0.05;
/// Predicted wait, relative to the time until a request is given up, from which it is denied on
/// arrival. Above 1, because predictions are rough: with 1, the replay of long prompts beside short
/// ones serves 1% fewer.
const GIVE_UP_MARGIN: f64 = 1.5;
/// Time after which a prompt counts as processed although no output was reported: the report may
/// have been lost. Slow engines process a full prefill window in half of that.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time past its deadline after which a request counts as ended. Its node reports the end earlier,
/// but reports can be lost.
const EXPIRY_GRACE: Duration = Duration::from_secs(1);

/// A response and the node that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedResponse {
    /// Node that sent the request.
    pub node: Name,
    /// Response.
    pub response: AdmissionResponse,
}

/// Node that sent a request, and the id of the request there.
type Origin = (Name, JobId);

/// State of a request at the holder.
#[derive(Debug)]
enum RequestState {
    /// Queued under an id of the holder, since the ids of different nodes may coincide.
    Waiting(JobId),
    /// Admitted to the engine, and not known to have ended.
    Running {
        prompt_tokens: u32,
        /// Tokens that the request takes in the KV cache; 0 if its node doesn't name its output.
        kv_tokens: u64,
        /// Whether the prompt counts as processed.
        has_output: bool,
        started_at: Time,
    },
}

/// A request that waits for the engine or runs there.
#[derive(Debug)]
struct RequestEntry {
    state: RequestState,
    adapter: Option<Name>,
    /// Time at which the request counts as ended without a report.
    expires_at: Time,
}

/// Requests of all nodes at one engine.
#[derive(Debug)]
struct EngineAdmission {
    upstream: Name,
    /// Start of the engine in milliseconds of Unix time.
    incarnation: u64,
    /// Number of requests that the engine runs at once.
    slots: u32,
    load: EngineLoad,
    /// Speed that the engine reported.
    pace: Pace,
    /// Base factor in percent, and whether the engine was slow, as the other nodes know it.
    published_pace: Option<(u32, bool)>,
    /// Waiting requests, under ids of the holder.
    queue: Queue,
    /// Shares of the routes in the requests admitted recently.
    route_shares: RouteShares,
    /// Waiting and running requests.
    requests: BTreeMap<Origin, RequestEntry>,
    /// Origins of the waiting requests by their id at the holder.
    origins: HashMap<JobId, Origin>,
    /// Id assigned to the newest request.
    last_local_id: u64,
    /// Time before which no request is admitted, because the engine reported being full.
    full_until: Time,
    /// Exponential moving average of the service time of a request, in seconds.
    mean_service_time_s: f64,
    /// Adapter slots that a different adapter can take now.
    available_adapter_slots: u32,
    /// Tokens that fit into the KV cache; `None` if that is not known.
    kv_capacity: Option<u64>,
    /// Tokens of the prompts and expected outputs of the running requests.
    kv_tokens: u64,
    /// Moving average of the tokens that a request takes, for those of unknown size.
    mean_kv_tokens: f64,
    /// Whether this node owns the engine; otherwise it only coordinates a limited upstream.
    is_owned: bool,
    /// Requests and calls that the upstream takes, if it names a limit.
    limit: Option<LimitBucket>,
}

/// Admits requests to the engines that this node owns, and to limited upstreams without a holder.
#[derive(Debug, Default)]
pub struct AdmissionController {
    engines: BTreeMap<Name, EngineAdmission>,
}

impl AdmissionController {
    /// Adds an engine or updates its slots. One that restarted is removed with its requests and
    /// added anew.
    pub fn upsert_engine(&mut self, upstream: &Name, slots: u32, incarnation: u64) {
        match self.engines.get_mut(upstream) {
            Some(engine) if engine.incarnation == incarnation => {
                engine.slots = slots;
                engine.is_owned = true;
            }
            Some(_) | None => {
                let engine = EngineAdmission::new(upstream.clone(), slots, incarnation);
                self.engines.insert(upstream.clone(), EngineAdmission { is_owned: true, ..engine });
            }
        }
    }

    /// Adds a limited upstream that this node doesn't own, unless it exists.
    pub fn coordinate(&mut self, now: Time, upstream: &LimitedUpstream) {
        let UpstreamEntry { id, slots, incarnation, .. } = upstream.entry.as_ref();
        if self.engines.get(id).is_none_or(|engine| engine.incarnation != *incarnation) {
            let limit = Some(LimitBucket::new(now, upstream.rate));
            let engine = EngineAdmission::new(id.clone(), *slots, *incarnation);
            self.engines.insert(id.clone(), EngineAdmission { limit, ..engine });
        }
    }

    /// Sets the limit that an upstream names; `None` if it names none.
    pub fn set_request_limit(&mut self, now: Time, upstream: &Name, rate: Option<RequestRate>) {
        let Some(engine) = self.engines.get_mut(upstream) else { return };
        match (&mut engine.limit, rate) {
            (Some(bucket), Some(rate)) => bucket.set_limit(now, rate),
            (limit, rate) => *limit = rate.map(|rate| LimitBucket::new(now, rate)),
        }
    }

    /// Returns whether the limit of an engine allows an order or a call for a report now.
    pub fn allows_call(&self, now: Time, upstream: &str) -> bool {
        let limit = self.engines.get(upstream).and_then(|engine| engine.limit.as_ref());
        limit.is_none_or(|limit| limit.allows_call(now))
    }

    /// Counts an order or a call for a report against the limit of an engine.
    pub fn record_call(&mut self, now: Time, upstream: &Name) {
        let limit = self.engines.get_mut(upstream).and_then(|engine| engine.limit.as_mut());
        if let Some(limit) = limit {
            limit.take(now);
        }
    }

    /// Sets the number of tokens that fit into the KV cache of an engine.
    pub fn set_kv_capacity(&mut self, upstream: &Name, tokens: u64) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.kv_capacity = (tokens > 0).then_some(tokens);
        }
    }

    /// Sets the number of adapter slots of an engine that a different adapter can take.
    pub fn set_available_adapter_slots(&mut self, upstream: &Name, slots: u32) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.available_adapter_slots = slots;
        }
    }

    /// Removes the engines that this node owned and for which `is_owned` returns `false`, and the
    /// coordinated upstreams without a limit.
    pub fn retain_engines(&mut self, is_owned: impl Fn(&Name) -> bool) {
        self.engines.retain(|upstream, engine| {
            is_owned(upstream) || !engine.is_owned && engine.limit.is_some()
        });
    }

    /// Admits, queues or denies a request of `node`.
    pub fn handle_request(
        &mut self,
        now: Time,
        node: &Name,
        request: &AdmissionRequest,
    ) -> AddressedResponse {
        let response = match self.engines.get_mut(&request.upstream) {
            Some(engine) => engine.handle_request(now, node, request),
            None => AdmissionResponse {
                job: request.job,
                decision: AdmissionDecision::NotHolder,
                load: UpstreamLoad {
                    upstream: request.upstream.clone(),
                    ..UpstreamLoad::default()
                },
            },
        };
        AddressedResponse { node: node.clone(), response }
    }

    /// Handles a progress report of `node`.
    pub fn handle_progress(&mut self, now: Time, node: &Name, progress: &ProgressReport) {
        if let Some(engine) = self.engines.get_mut(&progress.upstream) {
            engine.handle_progress(now, node, &progress.event);
        }
    }

    /// Returns the speeds of the engines whose base factor has changed, or which have entered or left
    /// a slow period, since the last call.
    pub fn take_changed_models(&mut self, now: Time) -> Vec<EngineModel> {
        self.engines.values_mut().filter_map(|engine| engine.take_changed_model(now)).collect()
    }

    /// Admits waiting requests that the engines can take now, and denies those that have waited for
    /// too long.
    pub fn admit_waiting(&mut self, now: Time) -> Vec<AddressedResponse> {
        self.engines.values_mut().flat_map(|engine| engine.admit_waiting(now)).collect()
    }

    /// Removes the requests of a node that became unreachable.
    pub fn remove_node(&mut self, node: &Name) {
        for engine in self.engines.values_mut() {
            let origins: Vec<Origin> =
                engine.requests.keys().filter(|origin| origin.0 == *node).cloned().collect();
            origins.iter().for_each(|origin| engine.end_request(origin, None));
        }
    }

    /// Returns the load of all engines that this node owns.
    pub fn engine_loads(&self, now: Time) -> Vec<UpstreamLoad> {
        self.engines
            .values()
            .filter(|engine| engine.is_owned)
            .map(|engine| UpstreamLoad {
                adapters: engine.adapter_usage().into_iter().collect(),
                ..engine.load_summary(now)
            })
            .collect()
    }

    /// Returns the number of requests of all nodes per adapter of an engine. Waiting requests are
    /// included, because their adapter must stay loaded.
    pub fn adapter_usage(&self, upstream: &str) -> BTreeMap<Name, u32> {
        self.engines.get(upstream).map(EngineAdmission::adapter_usage).unwrap_or_default()
    }

    /// Returns the number of requests that wait here.
    pub fn waiting(&self) -> usize {
        self.engines.values().map(|engine| engine.queue.len()).sum()
    }
}

impl EngineAdmission {
    fn new(upstream: Name, slots: u32, incarnation: u64) -> EngineAdmission {
        EngineAdmission {
            upstream,
            incarnation,
            slots,
            load: EngineLoad::default(),
            pace: Pace::default(),
            published_pace: None,
            queue: Queue::default(),
            route_shares: RouteShares::default(),
            requests: BTreeMap::new(),
            origins: HashMap::new(),
            last_local_id: 0,
            full_until: Time::default(),
            mean_service_time_s: INITIAL_SERVICE_TIME_S,
            available_adapter_slots: slots,
            kv_capacity: None,
            kv_tokens: 0,
            mean_kv_tokens: 0.0,
            is_owned: false,
            limit: None,
        }
    }

    /// Admits, queues or denies a request of `node`.
    fn handle_request(
        &mut self,
        now: Time,
        node: &Name,
        request: &AdmissionRequest,
    ) -> AdmissionResponse {
        self.update_work_factor(now);
        let origin = (node.clone(), request.job);
        let decision = match self.requests.get(&origin).map(|entry| &entry.state) {
            // The node asks again because the response was lost or is late.
            Some(RequestState::Running { .. }) => AdmissionDecision::Granted,
            Some(RequestState::Waiting(_)) => AdmissionDecision::Queued,
            None => {
                self.last_local_id += 1;
                let local_id = JobId(self.last_local_id);
                let job = request.to_job(now, local_id);
                match self.can_admit(now, &job) {
                    true => {
                        self.grant(now, origin, &job);
                        AdmissionDecision::Granted
                    }
                    // A plain upstream has others beside it, which take the request now.
                    false if request.is_for_plain_upstream() => self.defer(now),
                    false => self.enqueue(now, origin, job),
                }
            }
        };
        AdmissionResponse { job: request.job, decision, load: self.load_summary(now) }
    }

    /// Returns the speed of the engine if the other nodes should know it.
    fn take_changed_model(&mut self, now: Time) -> Option<EngineModel> {
        let base_percent = (self.pace.base()? * 100.0).round() as u32;
        let (newest, age) = self.pace.newest(now)?;
        let published = Some((base_percent, self.pace.is_slow()));
        if self.published_pace == published || !self.pace.is_settled(now) {
            return None;
        }
        self.published_pace = published;
        Some(EngineModel {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            base_percent,
            newest_percent: (newest * 100.0).round() as u32,
            age,
        })
    }

    /// Applies the expected speed of the engine, if it reports one.
    fn update_work_factor(&mut self, now: Time) {
        if let Some(factor) = self.pace.expected(now) {
            self.load.set_work_factor(now, factor);
        }
    }

    /// Denies a request and returns when to ask again.
    fn defer(&mut self, now: Time) -> AdmissionDecision {
        let retry_after = match &mut self.limit {
            Some(limit) if !limit.allows_request(now) => limit.defer(now),
            Some(_) | None => FULL_BACKOFF,
        };
        AdmissionDecision::Denied { retry_after }
    }

    /// Queues a request, or denies it if its predicted wait is too long or the queue is full.
    fn enqueue(&mut self, now: Time, origin: Origin, job: Job) -> AdmissionDecision {
        let wait = self.predicted_wait(now, &job);
        let left = match job.give_up {
            Some(at) => at.since(now).mul_f64(GIVE_UP_MARGIN),
            None => job.first_output_deadline.since(now),
        };
        if wait > left || self.queue.len() >= MAX_WAITING_REQUESTS {
            return AdmissionDecision::Denied { retry_after: wait.saturating_sub(left) };
        }
        self.origins.insert(job.id, origin.clone());
        self.insert_request(origin, RequestState::Waiting(job.id), job.adapter(), job.deadline);
        self.queue.insert(job);
        AdmissionDecision::Queued
    }

    /// Records a request and the time at which it expires.
    fn insert_request(
        &mut self,
        origin: Origin,
        state: RequestState,
        adapter: Option<&Name>,
        deadline: Time,
    ) {
        let expires_at = deadline + EXPIRY_GRACE;
        self.requests.insert(origin, RequestEntry { state, adapter: adapter.cloned(), expires_at });
    }

    /// Returns whether the engine has a free slot for `job` and time to process its prompt.
    fn can_admit(&self, now: Time, job: &Job) -> bool {
        let unpaced = job.is_exempt_from_pacing(now);
        // A request that has waited for a long time is no longer paced: a pause in other streams
        // costs less than a late response.
        let backlog = match unpaced {
            true => self.load.pending_prompt_tokens(),
            false => self.load.paced_backlog(now),
        };
        now >= self.full_until
            && self.limit.as_ref().is_none_or(|limit| limit.allows_request(now))
            && self.fits_memory(kv_tokens(job))
            && f64::from(self.load.in_flight()) < max_in_flight(self.slots, self.pace.base())
            && accepts_prompt(
                backlog,
                self.load.late_stream_share(),
                job.prompt_tokens,
                unpaced,
                self.load.work_factor(),
            )
    }

    /// Returns whether a request of `tokens` fits into the KV cache beside the running ones. One that
    /// needs more than [`KV_FILL_SHARE`] runs alone.
    fn fits_memory(&self, tokens: u64) -> bool {
        let Some(capacity) = self.kv_capacity.filter(|_| tokens > 0) else { return true };
        let limit = (capacity as f64 * KV_FILL_SHARE) as u64;
        self.kv_tokens.saturating_add(tokens) <= limit
            || tokens <= capacity && self.load.in_flight() == 0
    }

    /// Records that `job` is admitted.
    fn grant(&mut self, now: Time, origin: Origin, job: &Job) {
        let kv_tokens = kv_tokens(job);
        self.kv_tokens += kv_tokens;
        self.mean_kv_tokens += KV_ALPHA * (kv_tokens as f64 - self.mean_kv_tokens);
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        self.load.record_send(now, job.adapter(), job.prompt_tokens);
        self.route_shares.record(&job.route);
        let state = RequestState::Running {
            prompt_tokens: job.prompt_tokens,
            kv_tokens,
            has_output: false,
            started_at: now,
        };
        self.insert_request(origin, state, job.adapter(), job.deadline);
    }

    /// Predicts the time until `job` gets a slot, from the requests ahead of it, the engine's
    /// prefill rate and limit, and the mean service time.
    fn predicted_wait(&self, now: Time, job: &Job) -> Duration {
        let (ahead, tokens) = self.queue.ahead_of(job).fold((0, 0_u32), |(count, sum), other| {
            (count + 1, sum.saturating_add(other.prompt_tokens))
        });
        let backlog = self.load.pending_prompt_tokens();
        let prefill_s = (f64::from(tokens) + f64::from(backlog)) / self.load.prefill_tokens_per_s();
        let max_in_flight = max_in_flight(self.slots, self.pace.base());
        let busy =
            f64::from(self.load.in_flight()) >= max_in_flight || !self.fits_memory(kv_tokens(job));
        let slot_wait_s = match busy {
            true => (ahead + 1) as f64 * self.mean_service_time_s / max_in_flight,
            false => 0.0,
        };
        let wait = Duration::try_from_secs_f64(prefill_s.max(slot_wait_s)).unwrap_or(Duration::MAX);
        self.limit.as_ref().map_or(wait, |limit| limit.wait(now, ahead).max(wait))
    }

    /// Handles an event that `node` reported.
    fn handle_progress(&mut self, now: Time, node: &Name, event: &ProgressEvent) {
        match event {
            ProgressEvent::FirstOutput(job) => {
                let entry = self.requests.get_mut(&(node.clone(), *job));
                if let Some(RequestState::Running { prompt_tokens, has_output, .. }) =
                    entry.map(|entry| &mut entry.state)
                    && !*has_output
                {
                    *has_output = true;
                    self.load.record_first_output(now, *prompt_tokens);
                }
            }
            ProgressEvent::Ended(job) => self.end_request(&(node.clone(), *job), Some(now)),
            ProgressEvent::EngineFull(job) => {
                self.full_until = now + FULL_BACKOFF;
                self.end_request(&(node.clone(), *job), None);
            }
            ProgressEvent::LongestPause { permille } => {
                let waiting = self.queue.len() > 0;
                self.load.record_pause(now, *permille, waiting);
            }
            ProgressEvent::Pace { percent } if USABLE_PERCENT.contains(percent) => {
                self.pace.record(now, f64::from(*percent) / 100.0);
            }
            // The node that received the value logs it.
            ProgressEvent::Pace { .. } => {}
            ProgressEvent::Running { job, adapter, time_left } => {
                let origin = (node.clone(), *job);
                if self.requests.contains_key(&origin) {
                    return;
                }
                if let Some(limit) = &mut self.limit {
                    limit.take(now);
                }
                self.load.add_running(adapter.as_ref());
                let kv_tokens = self.mean_kv_tokens as u64;
                self.kv_tokens += kv_tokens;
                let state = RequestState::Running {
                    prompt_tokens: 0,
                    kv_tokens,
                    has_output: true,
                    started_at: now,
                };
                self.insert_request(origin, state, adapter.as_ref(), now + *time_left);
            }
        }
    }

    /// Removes a request. If it ran to its end, `now` is given, and its service time is recorded.
    fn end_request(&mut self, origin: &Origin, now: Option<Time>) {
        let Some(entry) = self.requests.remove(origin) else { return };
        match entry.state {
            RequestState::Waiting(local_id) => {
                self.origins.remove(&local_id);
                self.queue.cancel(local_id);
            }
            RequestState::Running { prompt_tokens, kv_tokens, has_output, started_at } => {
                self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
                if !has_output {
                    self.load.discard_pending(prompt_tokens);
                }
                self.load.record_end(entry.adapter.as_ref());
                if let Some(now) = now {
                    let sample = now.since(started_at).as_secs_f64();
                    self.mean_service_time_s +=
                        SERVICE_TIME_ALPHA * (sample - self.mean_service_time_s);
                }
            }
        }
    }

    /// Returns the number of running and waiting requests per adapter.
    fn adapter_usage(&self) -> BTreeMap<Name, u32> {
        let mut usage = self.load.adapter_usage().clone();
        for adapter in self.queue.iter().filter_map(Job::adapter) {
            *usage.entry(adapter.clone()).or_insert(0) += 1;
        }
        usage
    }

    /// Admits or denies the waiting requests that can be decided now.
    fn admit_waiting(&mut self, now: Time) -> Vec<AddressedResponse> {
        self.expire_requests(now);
        self.update_work_factor(now);
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for key in self.queue.order(now, |_| Some(&self.route_shares)) {
            let Some(job) = self.queue.remove(&key) else { continue };
            let decision = match self.can_admit(now, &job) {
                true => AdmissionDecision::Granted,
                false if job.has_waited_too_long(now) => {
                    AdmissionDecision::Denied { retry_after: GIVEN_UP_RETRY_AFTER }
                }
                false => {
                    self.queue.insert(job);
                    continue;
                }
            };
            let Some(origin) = self.origins.remove(&job.id) else { continue };
            match decision {
                AdmissionDecision::Granted => self.grant(now, origin.clone(), &job),
                AdmissionDecision::Denied { .. }
                | AdmissionDecision::Queued
                | AdmissionDecision::NotHolder => {
                    self.requests.remove(&origin);
                }
            }
            decisions.push((origin, decision));
        }
        let load = self.load_summary(now);
        decisions
            .into_iter()
            .map(|((node, job), decision)| AddressedResponse {
                node,
                response: AdmissionResponse { job, decision, load: load.clone() },
            })
            .collect()
    }

    /// Removes expired requests and counts prompts as processed whose output is overdue.
    fn expire_requests(&mut self, now: Time) {
        let expired: Vec<Origin> = self
            .requests
            .iter()
            .filter(|(_, entry)| now >= entry.expires_at)
            .map(|(origin, _)| origin.clone())
            .collect();
        expired.iter().for_each(|origin| self.end_request(origin, None));
        for entry in self.requests.values_mut() {
            match &mut entry.state {
                RequestState::Running { prompt_tokens, has_output, started_at, .. }
                    if !*has_output && now.since(*started_at) >= PREFILL_TIMEOUT =>
                {
                    *has_output = true;
                    self.load.discard_pending(*prompt_tokens);
                }
                RequestState::Running { .. } | RequestState::Waiting(_) => {}
            }
        }
    }

    /// Returns the load of the engine without its adapters.
    fn load_summary(&self, now: Time) -> UpstreamLoad {
        UpstreamLoad {
            upstream: self.upstream.clone(),
            all_nodes: true,
            in_flight: self.load.in_flight(),
            pending_prompt_tokens: self.load.paced_backlog(now),
            queued_prompt_tokens: self
                .queue
                .iter()
                .fold(0, |sum, job| sum.saturating_add(job.prompt_tokens)),
            late_streams_permille: (self.load.late_stream_share() * 1_000.0) as u32,
            available_adapter_slots: self.available_adapter_slots,
            adapters: Vec::new(),
        }
    }
}

/// Returns the tokens that `job` takes in the KV cache; 0 if its output is not known.
fn kv_tokens(job: &Job) -> u64 {
    match job.output_tokens {
        0 => 0,
        output => u64::from(job.prompt_tokens) + u64::from(output),
    }
}
