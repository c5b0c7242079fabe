//! Upstream selection, queueing and rejection for the requests of one node.
//!
//! The dispatcher handles these load patterns:
//!
//! - Burst on all routes: once every upstream has reached its limit of requests in flight, requests
//!   wait in the node, ordered by priority and objective. A request whose predicted wait exceeds
//!   its deadline is rejected at once.
//! - Hot adapter: further replicas are requested when the best one has a prefill backlog.
//! - Many rare adapters at once: a request for an absent adapter waits while its preferred engine
//!   loads the adapter, without holding back the requests behind it.
//! - Upstreams that want no requests for a time: they get none, and while no upstream of a service
//!   wants any, requests that would be late are rejected at once.
//! - Upstreams that name a limit: the requests of all nodes together stay below it.
//! - Lost, slow or failing upstreams: they cost more in the selection and are ejected for a while,
//!   never more than a fixed share of a service.
//!
//! Each engine has a holder, the node that owns it. The holder admits the requests of all nodes to
//! the engine ([`admission`](crate::admission)). While the holder does not respond, a node decides
//! based on its own requests alone.

mod adapter_requests;
mod away;
mod choice;
pub mod explain;
pub(crate) mod load;
mod load_targets;
pub(crate) mod pace;
mod pending_admissions;
mod placement;
pub(crate) mod queue;
mod relocation;
mod request_limits;
mod stop;
mod upstreams;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;
use crate::health::Failure;
use crate::message::AdapterRequest;
use crate::message::Placement;
use crate::message::ProgressEvent;
use crate::message::UpstreamLoad;
use crate::protocol::LoadReport;
use crate::protocol::ModelRef;

use self::adapter_requests::AdapterRequests;
use self::choice::Choice;
pub use self::load_targets::AdapterPresence;
pub use self::pace::SelectionInputs;
use self::pace::ServicePace;
pub use self::pace::USABLE_PERCENT;
use self::pending_admissions::PendingAdmissions;
pub use self::pending_admissions::UnresponsiveHolder;
use self::placement::PlacementOrder;
use self::queue::Queue;
use self::queue::RouteShares;
pub use self::request_limits::LimitNews;
pub use self::request_limits::LimitedUpstream;
use self::upstreams::Upstream;

/// Number of requests that wait in one node before further ones are rejected.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// Longest wait in the node, as a share of the time from a request's arrival to its first-output
/// deadline.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Share of the time up to the objective during which a request waits for a small paced backlog.
/// After that, the holder no longer paces its prompt, and the request may be sent to an engine with
/// late streams.
const PACED_WAIT_SHARE: f64 = 0.45;
/// Time for which a request waits for the load of its adapter before it is given up; loads take about
/// 290 ms, and one may wait for two others.
const MIN_ADAPTER_WAIT: Duration = Duration::from_millis(900);
/// Time during which an upstream that reported being full receives no request.
pub(crate) const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// `retry_after` of a request that was rejected because it waited for too long.
pub(crate) const GIVEN_UP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `retry_after` of a request that was rejected because no upstream is usable or the node's queue
/// is full.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Share of the time up to the deadline during which a request waits for a service without
/// upstreams.
const NO_UPSTREAM_WAIT_SHARE: f64 = 0.1;
/// Largest addition to the time that the rejection of a given up request names, as a share of it.
const GIVE_UP_SPREAD_SHARE: f64 = 0.5;
/// Weight of the newest sample in the exponential moving average of the service time.
const SERVICE_TIME_ALPHA: f64 = 0.05;
/// Mean service time before the first sample, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 0.1;
/// Shortest and longest `retry_after` that callers are sent.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(4));

/// Identifier of a [`Job`], unique within one node. Each attempt of a request is a job of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// A request that needs an upstream, as the dispatcher sees it: its requirements, without the HTTP
/// message.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier within the node that received the request.
    pub id: JobId,
    /// Route that the request matched.
    pub route: Name,
    /// Weight among the routes of the same priority, above 0.
    pub weight: f64,
    /// Share of the service's requests that the route is guaranteed, ahead of more urgent work.
    pub floor: f64,
    /// Service that the request is for.
    pub service: Name,
    /// Model and adapter; `None` for a plain service, which has no models.
    pub model: Option<ModelRef>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time of arrival at the node or, for a stream that is resumed, time of its last event.
    pub arrived: Time,
    /// Time up to which the response counts as on time.
    pub objective: Time,
    /// Time at which the caller leaves unless there was output.
    pub first_output_deadline: Time,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Time,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens in the output.
    pub output_tokens: u32,
    /// Upstreams that failed or refused this request; they are not selected again.
    pub tried: Vec<Name>,
    /// Whether an upstream may have executed an earlier attempt.
    pub possibly_executed: bool,
    /// Time at which the request is given up unless it was sent, because its response would be late;
    /// `None` for a stream that is resumed, which is late but whose caller has its beginning.
    /// [`Dispatcher::submit`] clears it for services without such a limit.
    pub give_up: Option<Time>,
}

impl Job {
    /// Returns the adapter that the request needs.
    pub fn adapter(&self) -> Option<&Name> {
        self.model.as_ref()?.adapter.as_ref()
    }

    /// Returns whether the request has waited for so long that it is given up.
    pub(crate) fn has_waited_too_long(&self, now: Time) -> bool {
        let total = self.first_output_deadline.since(self.arrived);
        now.since(self.arrived) >= total.mul_f64(MAX_WAIT_SHARE)
            || self.give_up.is_some_and(|at| now >= at)
    }

    /// Returns whether the request has waited for so long that its prompt is no longer paced.
    pub(crate) fn is_exempt_from_pacing(&self, now: Time) -> bool {
        let objective = self.objective.since(self.arrived);
        now.since(self.arrived) >= objective.mul_f64(PACED_WAIT_SHARE)
    }

    /// Records that the request waits. One whose adapter is loaded for it is given time for the load,
    /// also beyond its objective: rare adapters of a route with a short one would never be served.
    fn record_wait(&mut self, reason: choice::WaitReason) {
        if reason == choice::WaitReason::AdapterAbsent {
            let loaded_at = self.arrived + MIN_ADAPTER_WAIT;
            self.give_up = self.give_up.map(|at| at.max(loaded_at));
        }
    }

    /// Returns the key of the adapter that the request needs; `None` for the base model or a plain
    /// service.
    fn adapter_key(&self) -> Option<AdapterKey> {
        let model = self.model.as_ref()?;
        Some((model.model.clone(), model.adapter.clone()?))
    }
}

/// Reason for rejecting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The predicted or actual wait is too long for the request's deadlines.
    Overload,
    /// The service has no usable upstream.
    NoUpstream,
    /// No upstream of the service wants requests before a known time.
    UpstreamsAway,
    /// No engine loaded the adapter in time.
    AdapterUnavailable,
    /// Too many requests wait in the node.
    QueueFull,
    /// The node is about to stop.
    Stopping,
}

impl RejectReason {
    /// Returns the code that logs, metrics and rejections use; it is stable.
    pub const fn code(self) -> &'static str {
        match self {
            RejectReason::Overload => "overload",
            RejectReason::NoUpstream => "no_upstream",
            RejectReason::UpstreamsAway => "upstreams_away",
            RejectReason::AdapterUnavailable => "adapter_unavailable",
            RejectReason::QueueFull => "queue_full",
            RejectReason::Stopping => "stopping",
        }
    }
}

/// Decision of the dispatcher on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send the request to this upstream.
    Send {
        /// Selected upstream.
        upstream: Arc<UpstreamEntry>,
        /// Adapter version that must serve the request; `None` if any may.
        version: Option<u64>,
    },
    /// Reject the request; it has not run.
    Reject {
        /// Reason.
        reason: RejectReason,
        /// Time after which a retry is likely to succeed.
        retry_after: Duration,
    },
}

/// How a send to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream served the request.
    Served,
    /// The send failed.
    Failed(Failure),
    /// The upstream rejected the request because it was full.
    Full,
    /// The engine does not hold the adapter.
    AdapterAbsent,
    /// A different upstream responded at the address.
    Misdirected,
    /// The send ended without a result: the caller left, or nothing was sent. It does not count for
    /// the health of the upstream.
    Abandoned,
}

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Availability zone of the node.
    pub zone: Name,
    /// Time from the naming of a new adapter version after which no request may begin on an older
    /// one.
    pub version_bound: Duration,
    /// Whether the decisions for insufficient capacity are in effect for all services, not only for
    /// those whose upstreams report their pace.
    pub pressure: bool,
    /// Seed of the tie-breaking noise.
    pub seed: u64,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            zone: Name::from(""),
            version_bound: Duration::from_secs(5),
            pressure: false,
            seed: 0,
        }
    }
}

/// Model name and adapter name.
type AdapterKey = (Name, Name);

/// A service with its upstreams and recent statistics.
#[derive(Clone, Debug)]
struct Service {
    /// Ids of its upstreams.
    members: Vec<Name>,
    /// Exponential moving average of the service time, in seconds.
    mean_service_time_s: f64,
    /// Members that were ejected recently. A decision checks only these instead of all members.
    ejected: Vec<Name>,
    /// Members that want no requests for a time.
    away: Vec<Name>,
    /// Shares of the routes in the requests sent recently.
    route_shares: RouteShares,
    /// Speed of its upstreams; `None` if none of them has reported one.
    pace: Option<ServicePace>,
    /// Order in which adapters are placed; `None` if it is not up to date or not used.
    placement_order: Option<PlacementOrder>,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            members: Vec::new(),
            mean_service_time_s: INITIAL_SERVICE_TIME_S,
            ejected: Vec::new(),
            away: Vec::new(),
            route_shares: RouteShares::default(),
            pace: None,
            placement_order: None,
        }
    }
}

/// Newest version that the operators named for an adapter.
#[derive(Clone, Copy, Debug)]
struct NamedVersion {
    version: u64,
    /// Time at which this node first received this version.
    seen_at: Time,
}

/// A send in progress.
#[derive(Clone, Debug)]
struct ActiveSend {
    upstream: Name,
    service: Name,
    adapter: Option<Name>,
    prompt_tokens: u32,
    sent_at: Time,
    deadline: Time,
    /// Whether the first output has arrived.
    has_output: bool,
}

impl ActiveSend {
    /// Returns the event that reports this send to a holder that did not admit it.
    fn running_event(&self, now: Time, job: JobId) -> ProgressEvent {
        let time_left = self.deadline.since(now);
        ProgressEvent::Running { job, adapter: self.adapter.clone(), time_left }
    }
}

/// Result of evaluating a request that arrives.
#[derive(Debug)]
enum Evaluation {
    /// The request is sent, or waits.
    Choice(Choice),
    /// The request is rejected.
    Rejected(DispatchDecision),
}

/// Selects upstreams for the requests of one node, queues and rejects them.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    rng: ChaCha8Rng,
    upstreams: HashMap<Name, Upstream>,
    services: HashMap<Name, Service>,
    /// Engines that hold an adapter or are loading it.
    replicas: HashMap<AdapterKey, Vec<Name>>,
    /// Newest versions that the operators named for adapters.
    versions: HashMap<AdapterKey, NamedVersion>,
    /// Requests that wait in this node.
    waiting: Queue,
    /// Requests for which a holder was asked to admit them.
    pending_admissions: PendingAdmissions,
    active_sends: BTreeMap<JobId, ActiveSend>,
    /// Adapters that this node needs loaded.
    adapter_requests: AdapterRequests,
    /// Loads that each peer reported for plain upstreams.
    peer_loads: BTreeMap<Name, Vec<UpstreamLoad>>,
    /// Number of nodes that share the upstreams, this one included.
    node_count: usize,
    /// Upstreams that name a limit on the requests of all nodes together.
    limited: Vec<Name>,
    /// Live nodes that can admit requests to such upstreams, this one included.
    coordinators: Vec<Name>,
    /// Whether the node is about to stop, so that no request may be sent or wait that has not been
    /// sent before.
    stopped: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub fn new(settings: DispatchSettings) -> Dispatcher {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Dispatcher {
            settings,
            rng,
            upstreams: HashMap::new(),
            services: HashMap::new(),
            replicas: HashMap::new(),
            versions: HashMap::new(),
            waiting: Queue::default(),
            pending_admissions: PendingAdmissions::default(),
            active_sends: BTreeMap::new(),
            adapter_requests: AdapterRequests::default(),
            peer_loads: BTreeMap::new(),
            node_count: 1,
            limited: Vec::new(),
            coordinators: Vec::new(),
            stopped: false,
        }
    }

    /// Adds a request. Returns the decision if it is made at once; otherwise
    /// [`Dispatcher::dispatch_waiting`] or [`Dispatcher::handle_admission_response`] returns it
    /// later.
    pub fn submit(&mut self, now: Time, mut job: Job) -> Option<DispatchDecision> {
        self.clear_unused_give_up(&mut job);
        match self.evaluate(now, &job) {
            Evaluation::Choice(Choice::Send { upstream, version }) => {
                Some(self.send_without_admission(now, &job, &upstream, version))
            }
            Evaluation::Choice(Choice::AskHolder(upstream)) => {
                self.request_admission(now, job, &upstream);
                None
            }
            Evaluation::Choice(Choice::Wait(reason)) => {
                job.record_wait(reason);
                self.waiting.insert(job);
                None
            }
            Evaluation::Rejected(decision) => Some(decision),
        }
    }

    /// Decides on a request that arrives, without recording the decision. Requests a load of its
    /// adapter where that helps.
    fn evaluate(&mut self, now: Time, job: &Job) -> Evaluation {
        if self.stopped && !job.possibly_executed {
            return Evaluation::Rejected(Dispatcher::stopped_rejection());
        }
        let choice = self.choose_upstream(now, job);
        let rejection = match &choice {
            Choice::Send { .. } => None,
            Choice::AskHolder(_) | Choice::Wait(_) if self.waiting() >= MAX_WAITING_REQUESTS => {
                Some(Dispatcher::reject(RejectReason::QueueFull, UNAVAILABLE_RETRY_AFTER))
            }
            Choice::AskHolder(_) => None,
            Choice::Wait(reason) => self.reject_if_futile(now, job, *reason),
        };
        rejection.map_or(Evaluation::Choice(choice), Evaluation::Rejected)
    }

    /// Clears [`Job::give_up`] for services without such a limit, and for a request that an upstream
    /// may have executed.
    fn clear_unused_give_up(&self, job: &mut Job) {
        let is_limited = job.model.is_some() && self.limits_engine_memory(&job.service);
        if !is_limited || job.possibly_executed {
            job.give_up = None;
        }
    }

    /// Goes through the waiting requests in dispatch order and returns the decisions made.
    pub fn dispatch_waiting(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decisions = self.check_pending_admissions(now);
        let mut blocked: Vec<(Name, Option<ModelRef>)> = Vec::new();
        let services = &self.services;
        let shares = |job: &Job| services.get(&job.service).map(|service| &service.route_shares);
        for key in self.waiting.order(now, shares) {
            let Some(mut job) = self.waiting.remove(&key) else { continue };
            // If one request can't be sent now, no later one with the same needs can be sent
            // either.
            let same_needs_blocked = blocked
                .iter()
                .any(|(service, model)| *service == job.service && *model == job.model);
            let choice = match same_needs_blocked && job.tried.is_empty() {
                // The reason is determined below.
                true => Choice::Wait(choice::WaitReason::AdapterAbsent),
                false => self.choose_upstream(now, &job),
            };
            match choice {
                Choice::Send { upstream, version } => {
                    let decision = self.send_without_admission(now, &job, &upstream, version);
                    decisions.push((job.id, decision));
                }
                Choice::AskHolder(upstream) => self.request_admission(now, job, &upstream),
                Choice::Wait(reason) => {
                    let is_away = matches!(reason, choice::WaitReason::Away { .. });
                    if !same_needs_blocked && !is_away && job.tried.is_empty() {
                        blocked.push((job.service.clone(), job.model.clone()));
                    }
                    if !same_needs_blocked {
                        job.record_wait(reason);
                    }
                    let reason = if same_needs_blocked { self.wait_reason(&job) } else { reason };
                    match self.reject_if_futile(now, &job, reason) {
                        Some(decision) => decisions.push((job.id, decision)),
                        None => {
                            if same_needs_blocked {
                                self.adapter_requests.count_job(&job);
                            }
                            self.waiting.insert(job);
                        }
                    }
                }
            }
        }
        decisions
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, id: JobId) {
        match self.pending_admissions.remove(id) {
            Some(pending) => self.report_progress(&pending.upstream, ProgressEvent::Ended(id)),
            None => self.waiting.cancel(id),
        }
    }

    /// Records that the first output of a request arrived. Later calls for the same request have no
    /// effect.
    pub fn record_first_output(&mut self, now: Time, id: JobId) {
        let Some(send) = self.active_sends.get_mut(&id) else { return };
        if send.has_output {
            return;
        }
        send.has_output = true;
        let name = send.upstream.clone();
        if let Some(upstream) = self.upstreams.get_mut(&name) {
            upstream.own_load.record_first_output(now, send.prompt_tokens);
        }
        self.report_progress(&name, ProgressEvent::FirstOutput(id));
    }

    /// Records how the send of a request ended. Its prompt then counts as processed, even if there
    /// was no output.
    pub fn record_outcome(&mut self, now: Time, id: JobId, outcome: SendOutcome) {
        self.record_first_output(now, id);
        let Some(send) = self.active_sends.remove(&id) else { return };
        let ActiveSend { upstream: name, service, adapter, sent_at, .. } = send;
        if outcome == SendOutcome::Served {
            let sample = now.since(sent_at).as_secs_f64();
            let service = self.services.entry(service.clone()).or_default();
            service.mean_service_time_s +=
                SERVICE_TIME_ALPHA * (sample - service.mean_service_time_s);
        }
        let event = match outcome {
            SendOutcome::Full => ProgressEvent::EngineFull(id),
            SendOutcome::Served
            | SendOutcome::Failed(_)
            | SendOutcome::AdapterAbsent
            | SendOutcome::Misdirected
            | SendOutcome::Abandoned => ProgressEvent::Ended(id),
        };
        self.report_progress(&name, event);
        let Some(upstream) = self.upstreams.get_mut(&name) else { return };
        upstream.own_load.record_end(adapter.as_ref());
        match outcome {
            SendOutcome::Served => upstream.health.record_success(),
            SendOutcome::Failed(kind) => {
                if upstream.health.record_failure(now, kind).is_some() {
                    let ejected = &mut self.services.entry(service).or_default().ejected;
                    if !ejected.contains(&name) {
                        ejected.push(name);
                    }
                }
            }
            SendOutcome::Full => upstream.record_full(now),
            SendOutcome::AdapterAbsent => upstream.record_adapter_absent(now, adapter.as_ref()),
            SendOutcome::Misdirected => upstream.misdirected = true,
            SendOutcome::Abandoned => {}
        }
    }

    /// Records the longest pause of a stream of `upstream`, in thousandths of its objective.
    pub fn record_pause(&mut self, now: Time, upstream: &Name, permille: u32) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.own_load.record_pause(now, permille, false);
        }
        self.report_progress(upstream, ProgressEvent::LongestPause { permille });
    }

    /// Records the load that an upstream reported with a response.
    pub fn record_load_report(&mut self, now: Time, upstream: &str, load: LoadReport) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        known.load_report = Some((now, load));
        let name = known.entry.id.clone();
        let has_holder = known.holder.is_some();
        if let Some(percent) = load.pace {
            self.record_pace_report(now, upstream, percent);
            if has_holder {
                self.report_progress(&name, ProgressEvent::Pace { percent });
            }
        }
    }

    /// Returns whether the decisions for insufficient capacity are in effect for `service`.
    pub fn is_under_pressure(&self, service: &str) -> bool {
        self.settings.pressure
            || self.services.get(service).is_some_and(|service| service.pace.is_some())
    }

    /// Adds an upstream or updates its entry. One that restarted is removed and added anew. The
    /// requests that wait for one that drains return to the queue of the node.
    pub fn upsert_upstream(&mut self, entry: &Arc<UpstreamEntry>) {
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) if upstream.entry.incarnation == entry.incarnation => {
                upstream.entry = Arc::clone(entry);
                if entry.state == UpstreamState::Draining {
                    self.withdraw_admissions(&entry.id);
                }
            }
            Some(_) | None => {
                self.remove_upstream(&entry.id);
                let service = self.services.entry(entry.service.clone()).or_default();
                service.members.push(entry.id.clone());
                service.placement_order = None;
                let mut upstream = Upstream::new(Arc::clone(entry));
                for loads in self.peer_loads.values() {
                    loads
                        .iter()
                        .filter(|load| load.upstream == entry.id)
                        .for_each(|load| upstream.add_peer_load(load));
                }
                self.upstreams.insert(entry.id.clone(), upstream);
                for held in &entry.adapters {
                    self.set_replica(&entry.id, &held.model, &held.adapter, held.version, true);
                }
            }
        }
    }

    /// Removes an upstream. The requests that wait for its holder return to the queue of the node.
    pub fn remove_upstream(&mut self, id: &Name) {
        let Some(upstream) = self.upstreams.remove(id) else { return };
        self.limited.retain(|limited| limited != id);
        if let Some(service) = self.services.get_mut(&upstream.entry.service) {
            service.members.retain(|member| member != id);
            service.placement_order = None;
        }
        for key in upstream.adapters.keys() {
            if let Some(replicas) = self.replicas.get_mut(key) {
                replicas.retain(|replica| replica != id);
            }
        }
        self.pending_admissions.requeue(id, &mut self.waiting);
    }

    /// Applies the placement that `holder` reported for an engine that it owns. Stale placements
    /// are ignored.
    pub fn apply_placement(&mut self, now: Time, holder: &Name, placement: &Placement) {
        let model = &placement.model;
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        if placement.fencing_token < upstream.fencing_token
            || placement.incarnation != upstream.entry.incarnation
        {
            return;
        }
        upstream.placement_at = now;
        if upstream.placement.as_ref().is_some_and(|(from, old)| from == holder && old == placement)
        {
            return;
        }
        upstream.placement = Some((holder.clone(), placement.clone()));
        upstream.fencing_token = placement.fencing_token;
        upstream.holder_active = placement.holder_active;
        match placement.holder_active {
            true if upstream.holder.as_ref() == Some(holder) => {}
            true => {
                upstream.holder = Some(holder.clone());
                self.report_running_sends(now, &placement.upstream);
            }
            false => {
                upstream.holder = None;
                self.pending_admissions.requeue(&placement.upstream, &mut self.waiting);
            }
        }
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        let stale: Vec<AdapterKey> = upstream
            .adapters
            .keys()
            .filter(|(_, adapter)| !placement.adapters.iter().any(|p| p.adapter == *adapter))
            .cloned()
            .collect();
        for key in stale {
            upstream.remove_adapter(now, &key);
            if let Some(replicas) = self.replicas.get_mut(&key) {
                replicas.retain(|replica| *replica != placement.upstream);
            }
        }
        for placed in &placement.adapters {
            self.set_replica(
                &placement.upstream,
                model,
                &placed.adapter,
                placed.version,
                placed.ready,
            );
        }
    }

    /// Replaces the loads that a peer reported: its own load on plain upstreams, and the load of
    /// all nodes on the engines that it owns. An empty list clears its load on plain upstreams.
    pub fn set_peer_loads(&mut self, now: Time, node: &Name, loads: Vec<UpstreamLoad>) {
        let old = self.peer_loads.remove(node).unwrap_or_default();
        for load in &old {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.remove_peer_load(load);
            }
        }
        let mut plain = Vec::new();
        for load in loads {
            let Some(upstream) = self.upstreams.get_mut(&load.upstream) else { continue };
            match load.all_nodes {
                true if load.adapters.is_empty() => upstream.update_holder_load(now, node, load),
                true => upstream.set_holder_load(now, node, load),
                false => {
                    upstream.add_peer_load(&load);
                    plain.push(load);
                }
            }
        }
        if !plain.is_empty() {
            self.peer_loads.insert(node.clone(), plain);
        }
    }

    /// Sets the number of nodes that share the upstreams, this one included.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.node_count = nodes.max(1);
    }

    /// Records the newest version that the operators named for an adapter. An older version is
    /// ignored.
    pub fn set_newest_version(&mut self, now: Time, model: &Name, adapter: &Name, version: u64) {
        let key = (model.clone(), adapter.clone());
        match self.versions.get(&key) {
            Some(known) if known.version >= version => {}
            Some(_) | None => {
                self.versions.insert(key, NamedVersion { version, seen_at: now });
            }
        }
    }

    /// Returns the newest version of an adapter, if the operators named one.
    pub fn newest_version(&self, model: &Name, adapter: &Name) -> Option<u64> {
        self.versions.get(&(model.clone(), adapter.clone())).map(|named| named.version)
    }

    /// Returns the load of this node on the plain upstreams.
    pub fn plain_upstream_loads(&self) -> Vec<UpstreamLoad> {
        self.upstreams.values().filter_map(Upstream::own_plain_load).collect()
    }

    /// Returns the adapter requests that are due. They are repeated at intervals until the adapter
    /// is loaded.
    pub fn due_adapter_requests(&mut self, now: Time, node: &Name) -> Vec<AdapterRequest> {
        self.adapter_requests.take_due(now, node)
    }

    /// Returns the number of waiting requests, including those that wait at holders.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.pending_admissions.len()
    }

    /// Returns whether requests wait, or adapters that they need are not loaded yet.
    pub fn has_waiting(&self) -> bool {
        self.waiting() > 0 || !self.adapter_requests.is_empty()
    }

    /// Returns the number of sends in progress.
    pub fn in_flight(&self) -> usize {
        self.active_sends.len()
    }

    /// Records that an engine holds an adapter, or is loading it if not `ready`.
    fn set_replica(&mut self, id: &Name, model: &Name, adapter: &Name, version: u64, ready: bool) {
        let key = (model.clone(), adapter.clone());
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.adapters.insert(key.clone(), upstreams::Replica { version, ready });
        let replicas = self.replicas.entry(key).or_default();
        if !replicas.contains(id) {
            replicas.push(id.clone());
        }
    }

    /// Sends a request that no holder admitted, and reports it to the engine's holder, which may
    /// only be slow to respond.
    fn send_without_admission(
        &mut self,
        now: Time,
        job: &Job,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
    ) -> DispatchDecision {
        let decision = self.send(now, job, upstream, version);
        let running = self.active_sends[&job.id].running_event(now, job.id);
        self.report_progress(&upstream.id, running);
        decision
    }

    /// Records that `job` is sent to `upstream` and returns the decision.
    fn send(
        &mut self,
        now: Time,
        job: &Job,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
    ) -> DispatchDecision {
        let adapter = job.adapter().cloned();
        let prompt_tokens = job.prompt_tokens;
        if let Some(upstream) = self.upstreams.get_mut(&upstream.id) {
            upstream.own_load.record_send(now, adapter.as_ref(), prompt_tokens);
        }
        let send = ActiveSend {
            upstream: upstream.id.clone(),
            service: job.service.clone(),
            adapter,
            prompt_tokens,
            sent_at: now,
            deadline: job.deadline,
            has_output: false,
        };
        self.active_sends.insert(job.id, send);
        self.services.entry(job.service.clone()).or_default().route_shares.record(&job.route);
        DispatchDecision::Send { upstream: Arc::clone(upstream), version }
    }

    /// Returns a rejection whose `retry_after` is `wait`, clamped to [`RETRY_AFTER_RANGE`].
    fn reject(reason: RejectReason, wait: Duration) -> DispatchDecision {
        let (least, most) = RETRY_AFTER_RANGE;
        DispatchDecision::Reject { reason, retry_after: wait.clamp(least, most) }
    }

    /// Returns the rejection of a request that would be late. For a service that gives requests up
    /// early, the time is lengthened by up to half at random, so that the callers don't return
    /// together.
    fn give_up(&mut self, job: &Job, reason: RejectReason, wait: Duration) -> DispatchDecision {
        match job.give_up {
            Some(_) => {
                let spread = self.rng.random_range(0.0..GIVE_UP_SPREAD_SHARE);
                Dispatcher::reject(reason, wait.max(RETRY_AFTER_RANGE.0).mul_f64(1.0 + spread))
            }
            None => Dispatcher::reject(reason, wait),
        }
    }

    /// Returns a rejection if waiting is pointless for a request that can't be sent now.
    fn reject_if_futile(
        &mut self,
        now: Time,
        job: &Job,
        reason: choice::WaitReason,
    ) -> Option<DispatchDecision> {
        let total = job.deadline.since(job.arrived).as_secs_f64();
        let waited = now.since(job.arrived).as_secs_f64();
        match reason {
            choice::WaitReason::NoUpstream if waited >= total * NO_UPSTREAM_WAIT_SHARE => {
                Some(Dispatcher::reject(RejectReason::NoUpstream, UNAVAILABLE_RETRY_AFTER))
            }
            choice::WaitReason::NoUpstream => None,
            choice::WaitReason::Away { until } => {
                (until > job.objective).then(|| self.away_rejection(now, until))
            }
            choice::WaitReason::AdapterAbsent if job.has_waited_too_long(now) => {
                Some(self.give_up(job, RejectReason::AdapterUnavailable, GIVEN_UP_RETRY_AFTER))
            }
            choice::WaitReason::AdapterAbsent => None,
            choice::WaitReason::AllFull if job.has_waited_too_long(now) => {
                Some(self.give_up(job, RejectReason::Overload, GIVEN_UP_RETRY_AFTER))
            }
            choice::WaitReason::AllFull => {
                let wait = self.predicted_wait(now, job);
                let left = job.first_output_deadline.since(now);
                (wait > left).then(|| Dispatcher::reject(RejectReason::Overload, wait - left))
            }
        }
    }

    /// Predicts the time until `job` gets a slot, from the number of requests ahead of it, the mean
    /// service time, and the slots and limits of the upstreams that want requests.
    fn predicted_wait(&self, now: Time, job: &Job) -> Duration {
        let Some(service) = self.services.get(&job.service) else { return Duration::ZERO };
        let mean_s = service.mean_service_time_s;
        let capacity: f64 = service
            .members
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .filter(|upstream| upstream.accepts_requests() && !upstream.is_away(now))
            .map(|upstream| upstream.request_capacity(mean_s))
            .sum();
        let capacity = if capacity > 0.0 { capacity } else { mean_s.recip() };
        let requests_per_s = capacity / self.node_count as f64;
        let mut ahead = 0;
        let mut ahead_of_route = 0;
        for other in self.waiting.ahead_of(job).filter(|other| other.service == job.service) {
            ahead += 1;
            ahead_of_route += usize::from(other.route == job.route);
        }
        let wait = (ahead + 1) as f64 / requests_per_s;
        // A route with a floor gets its share regardless of what waits ahead of it.
        let wait_by_floor = (ahead_of_route + 1) as f64 / (requests_per_s * job.floor);
        Duration::try_from_secs_f64(wait.min(wait_by_floor)).unwrap_or(Duration::MAX)
    }
}
