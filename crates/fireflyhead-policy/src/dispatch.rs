//! Worker choice, waiting and rejection of one node.
//!
//! Load patterns that it answers:
//!
//! - a burst of all kinds: requests wait in the node by rank and objective once every
//!   upstream has its window full, and are rejected at once when the predicted wait passes
//!   their deadline;
//! - a hot adapter: further replicas are asked for when the best one has a prefill backlog;
//! - rare adapters at once: a request for an absent adapter waits while its home engine loads
//!   it, without holding back requests behind it;
//! - lost, slow or failing upstreams: they cost more, are ejected for a while, never more
//!   than a share of a service.
//!
//! The requests of all nodes at an engine meet at its holder, which admits them
//! ([`admission`](crate::admission)); without a holder that answers, a node decides by its own
//! requests alone.

mod adapter_requests;
mod choice;
pub(crate) mod load;
mod pending_admissions;
pub(crate) mod queue;
mod upstreams;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Name;
use crate::Time;
use crate::fleet::UpstreamEntry;
use crate::health::Failure;
use crate::message::AdapterRequest;
use crate::message::Placement;
use crate::message::ProgressEvent;
use crate::message::UpstreamLoad;
use crate::protocol::LoadReport;
use crate::protocol::ModelRef;

use self::adapter_requests::Wants;
use self::choice::Choice;
use self::pending_admissions::Asked;
pub use self::pending_admissions::UnresponsiveHolder;
use self::queue::Queue;
use self::queue::Shares;
use self::upstreams::Upstream;

/// Requests that wait in one node before further ones are rejected.
const MAX_WAITING: usize = 2_000;
/// Share of the time for which its caller stays that a request waits at most.
const WAIT_SHARE: f64 = 0.8;
/// Share of the objective for which a request waits for a small backlog.
const PREFILL_WAIT_SHARE: f64 = 0.45;
/// Time for which an upstream that said it was full gets no request.
pub(crate) const FULL_FOR: Duration = Duration::from_millis(60);
/// Time after which a caller is asked to return when its request waited for too long.
pub(crate) const RETURN_AFTER: Duration = Duration::from_millis(500);
/// Time after which a caller is asked to return when nothing can take its request now.
const RETURN_LATER: Duration = Duration::from_secs(1);
/// Share of the time up to the deadline for which a request waits for a service without upstreams.
const ABSENT_WAIT_SHARE: f64 = 0.1;
/// Weight of the newest sample in the mean service time.
const SERVICE_TIME_ALPHA: f64 = 0.05;
/// Service time before the first sample, in seconds.
const SERVICE_TIME_FIRST_S: f64 = 0.1;
/// Shortest and longest time after which a caller is asked to return.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// Number of a request within one node.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Request that needs an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Number.
    pub id: JobId,
    /// Route.
    pub route: Name,
    /// Weight among the routes of its rank, above 0.
    pub weight: f64,
    /// Share of the service's requests that its route is served with before more urgent work.
    pub floor: f64,
    /// Service.
    pub service: Name,
    /// Model and adapter; `None` for a plain service.
    pub model: Option<ModelRef>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Arrival at the node.
    pub arrived: Time,
    /// Moment up to which the response is on time.
    pub objective: Time,
    /// Moment at which the caller leaves if there is no output.
    pub first_output_deadline: Time,
    /// Moment after which nobody waits for the response.
    pub deadline: Time,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the output.
    pub output_tokens: u32,
    /// Upstreams that failed this request.
    pub tried: Vec<Name>,
}

impl Job {
    /// Adapter that the request needs.
    pub fn adapter(&self) -> Option<&Name> {
        self.model.as_ref()?.adapter.as_ref()
    }

    /// Whether the request has waited for so long that it is given up.
    pub(crate) fn is_given_up(&self, now: Time) -> bool {
        let total = self.first_output_deadline.since(self.arrived);
        now.since(self.arrived) >= total.mul_f64(WAIT_SHARE)
    }

    /// Whether the request has waited for so long that its prompt is not paced any more.
    pub(crate) fn is_hurried(&self, now: Time) -> bool {
        let objective = self.objective.since(self.arrived);
        now.since(self.arrived) >= objective.mul_f64(PREFILL_WAIT_SHARE)
    }

    fn adapter_key(&self) -> Option<AdapterKey> {
        let model = self.model.as_ref()?;
        Some((model.model.clone(), model.adapter.clone()?))
    }
}

/// Reason for a rejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The predicted wait passes the deadline.
    Overload,
    /// No upstream of the service is listed.
    NoUpstream,
    /// The adapter could not be loaded in time.
    AdapterUnavailable,
    /// Too many requests wait.
    QueueFull,
}

impl RejectReason {
    /// Stable code for logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            RejectReason::Overload => "overload",
            RejectReason::NoUpstream => "no_upstream",
            RejectReason::AdapterUnavailable => "adapter_unavailable",
            RejectReason::QueueFull => "queue_full",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send it to this upstream.
    Send {
        /// Upstream.
        upstream: Arc<UpstreamEntry>,
        /// Version of the adapter that must answer.
        version: Option<u64>,
    },
    /// Answer that it has not run.
    Reject {
        /// Reason.
        reason: RejectReason,
        /// Time after which a place is likely.
        retry_after: Duration,
    },
}

/// End of a send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream answered.
    Served,
    /// The send failed.
    Failed(Failure),
    /// The upstream states that it was full.
    Full,
    /// The upstream does not hold the adapter.
    AdapterAbsent,
    /// Another upstream has the address.
    Misdirected,
    /// The caller left.
    CallerLeft,
}

/// Settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Zone of the node.
    pub zone: Name,
    /// Time after which requests must not begin on an older adapter version.
    pub version_bound: Duration,
    /// Seed of the tie-breaking noise.
    pub seed: u64,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings { zone: Name::from(""), version_bound: Duration::from_secs(5), seed: 0 }
    }
}

/// Key of an adapter: model and adapter name.
type AdapterKey = (Name, Name);

#[derive(Debug)]
struct Service {
    members: Vec<Name>,
    time_s: f64,
    /// Members that were ejected, so that a decision looks at these few only.
    ejected: Vec<Name>,
    shares: Shares,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            members: Vec::new(),
            time_s: SERVICE_TIME_FIRST_S,
            ejected: Vec::new(),
            shares: Shares::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct NewVersion {
    version: u64,
    seen: Time,
}

/// Send in progress.
#[derive(Debug)]
struct Flight {
    upstream: Name,
    service: Name,
    adapter: Option<Name>,
    tokens: u32,
    sent: Time,
    deadline: Time,
    output: bool,
}

impl Flight {
    /// What a holder learns that did not admit the request.
    fn running(&self, now: Time, job: JobId) -> ProgressEvent {
        let left = self.deadline.since(now);
        ProgressEvent::Running { job, adapter: self.adapter.clone(), time_left: left }
    }
}

/// Decisions of one node on its requests.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    rng: ChaCha8Rng,
    upstreams: HashMap<Name, Upstream>,
    services: HashMap<Name, Service>,
    replicas: HashMap<AdapterKey, Vec<Name>>,
    versions: HashMap<AdapterKey, NewVersion>,
    waiting: Queue,
    asked: Asked,
    flights: HashMap<JobId, Flight>,
    wants: Wants,
    peer_loads: HashMap<Name, Vec<UpstreamLoad>>,
    nodes: usize,
}

impl Dispatcher {
    /// Dispatcher that knows no upstreams yet.
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
            asked: Asked::default(),
            flights: HashMap::new(),
            wants: Wants::default(),
            peer_loads: HashMap::new(),
            nodes: 1,
        }
    }

    /// Adds a request; its verdict comes from [`Dispatcher::pump`] or at once.
    pub fn submit(&mut self, now: Time, job: Job) -> Option<DispatchDecision> {
        match self.choose(now, &job) {
            Choice::Send { upstream, version } => {
                Some(self.send_unasked(now, &job, &upstream, version))
            }
            Choice::AskHolder(_) | Choice::Wait(_) if self.waiting() >= MAX_WAITING => {
                Some(Dispatcher::reject(RejectReason::QueueFull, RETURN_LATER))
            }
            Choice::AskHolder(upstream) => {
                self.ask(now, job, &upstream);
                None
            }
            Choice::Wait(blocked) => match self.rejection(now, &job, blocked) {
                Some(verdict) => Some(verdict),
                None => {
                    self.waiting.insert(job);
                    None
                }
            },
        }
    }

    /// Looks at the waiting requests in their order and returns those that are decided.
    pub fn dispatch_waiting(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decided = self.check_asked(now);
        let mut blocked: Vec<(Name, Option<ModelRef>)> = Vec::new();
        let services = &self.services;
        let shares = |job: &Job| services.get(&job.service).map(|service| &service.shares);
        for key in self.waiting.order(now, shares) {
            let Some(job) = self.waiting.remove(&key) else { continue };
            // What one request can't have, no later request with the same needs can have either.
            let known = blocked
                .iter()
                .any(|(service, model)| *service == job.service && *model == job.model);
            let choice = match known && job.tried.is_empty() {
                true => Choice::Wait(choice::Blocked::Adapter),
                false => self.choose(now, &job),
            };
            match choice {
                Choice::Send { upstream, version } => {
                    let verdict = self.send_unasked(now, &job, &upstream, version);
                    decided.push((job.id, verdict));
                }
                Choice::AskHolder(upstream) => self.ask(now, job, &upstream),
                Choice::Wait(reason) => {
                    if !known && job.tried.is_empty() {
                        blocked.push((job.service.clone(), job.model.clone()));
                    }
                    let reason = if known { self.blocked_reason(&job) } else { reason };
                    match self.rejection(now, &job, reason) {
                        Some(verdict) => decided.push((job.id, verdict)),
                        None => {
                            if known {
                                self.wants.more(&job);
                            }
                            self.waiting.insert(job);
                        }
                    }
                }
            }
        }
        decided
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, id: JobId) {
        match self.asked.remove(id) {
            Some(asked) => self.tell(&asked.upstream, ProgressEvent::Ended(id)),
            None => self.waiting.cancel(id),
        }
    }

    /// Records that the first output of a request arrived.
    pub fn record_first_output(&mut self, now: Time, id: JobId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if flight.output {
            return;
        }
        flight.output = true;
        let name = flight.upstream.clone();
        if let Some(upstream) = self.upstreams.get_mut(&name) {
            upstream.own.output(now, flight.tokens);
        }
        self.tell(&name, ProgressEvent::FirstOutput(id));
    }

    /// Records the end of a send.
    pub fn record_outcome(&mut self, now: Time, id: JobId, outcome: SendOutcome) {
        self.record_first_output(now, id);
        let Some(flight) = self.flights.remove(&id) else { return };
        let Flight { upstream: name, service, adapter, sent, .. } = flight;
        if outcome == SendOutcome::Served {
            let sample = now.since(sent).as_secs_f64();
            let service = self.services.entry(service.clone()).or_default();
            service.time_s += SERVICE_TIME_ALPHA * (sample - service.time_s);
        }
        let event = match outcome {
            SendOutcome::Full => ProgressEvent::EngineFull(id),
            SendOutcome::Served
            | SendOutcome::Failed(_)
            | SendOutcome::AdapterAbsent
            | SendOutcome::Misdirected
            | SendOutcome::CallerLeft => ProgressEvent::Ended(id),
        };
        self.tell(&name, event);
        let Some(upstream) = self.upstreams.get_mut(&name) else { return };
        upstream.own.ended(adapter.as_ref());
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
            SendOutcome::Full => upstream.full(now),
            SendOutcome::AdapterAbsent => upstream.absent(now, adapter.as_ref()),
            SendOutcome::Misdirected => upstream.misdirected = true,
            SendOutcome::CallerLeft => {}
        }
    }

    /// Records the longest pause of a stream of `upstream`, in thousandths of its objective.
    pub fn record_pause(&mut self, now: Time, upstream: &Name, permille: u32) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.own.paused(now, permille, false);
        }
        self.tell(upstream, ProgressEvent::LongestPause { permille });
    }

    /// Takes the load that an upstream reported with a response.
    pub fn record_load_report(&mut self, now: Time, upstream: &str, load: LoadReport) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.reported = Some((now, load));
        }
    }

    /// Adds or updates an upstream.
    pub fn upsert_upstream(&mut self, entry: &Arc<UpstreamEntry>) {
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) if upstream.entry.incarnation == entry.incarnation => {
                upstream.entry = Arc::clone(entry);
            }
            Some(_) | None => {
                self.remove_upstream(&entry.id);
                let service = self.services.entry(entry.service.clone()).or_default();
                service.members.push(entry.id.clone());
                let mut upstream = Upstream::new(Arc::clone(entry));
                for loads in self.peer_loads.values() {
                    loads
                        .iter()
                        .filter(|load| load.upstream == entry.id)
                        .for_each(|load| upstream.add_peer(load));
                }
                self.upstreams.insert(entry.id.clone(), upstream);
                for held in &entry.adapters {
                    self.add_replica(&entry.id, &held.model, &held.adapter, held.version, true);
                }
            }
        }
    }

    /// Removes an upstream.
    pub fn remove_upstream(&mut self, id: &Name) {
        let Some(upstream) = self.upstreams.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&upstream.entry.service) {
            service.members.retain(|member| member != id);
        }
        for key in upstream.adapters.keys() {
            if let Some(replicas) = self.replicas.get_mut(key) {
                replicas.retain(|replica| replica != id);
            }
        }
        self.asked.requeue(id, &mut self.waiting);
    }

    /// Takes what `holder` states about the adapters of an engine in its custody.
    pub fn apply_placement(&mut self, now: Time, holder: &Name, placement: &Placement) {
        let model = &placement.model;
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        if placement.fencing_token < upstream.fence
            || placement.incarnation != upstream.entry.incarnation
        {
            return;
        }
        upstream.fence = placement.fencing_token;
        upstream.open = placement.holder_active;
        match placement.holder_active {
            true if upstream.holder.as_ref() == Some(holder) => {}
            true => {
                upstream.holder = Some(holder.clone());
                self.tell_running(now, &placement.upstream);
            }
            false => {
                upstream.holder = None;
                self.asked.requeue(&placement.upstream, &mut self.waiting);
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
            upstream.dropped(now, &key);
            if let Some(replicas) = self.replicas.get_mut(&key) {
                replicas.retain(|replica| *replica != placement.upstream);
            }
        }
        for placed in &placement.adapters {
            self.add_replica(
                &placement.upstream,
                model,
                &placed.adapter,
                placed.version,
                placed.ready,
            );
        }
    }

    /// Takes the loads that a peer states: its own at plain upstreams, those of all nodes at the
    /// engines in its custody. An empty list clears them.
    pub fn set_peer_loads(&mut self, now: Time, node: &Name, loads: Vec<UpstreamLoad>) {
        let old = self.peer_loads.remove(node).unwrap_or_default();
        for load in &old {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.remove_peer(load);
            }
        }
        let mut plain = Vec::new();
        for load in loads {
            let Some(upstream) = self.upstreams.get_mut(&load.upstream) else { continue };
            match load.all_nodes {
                true if load.adapters.is_empty() => upstream.figures(now, node, load),
                true => upstream.stated_by(now, node, load),
                false => {
                    upstream.add_peer(&load);
                    plain.push(load);
                }
            }
        }
        if !plain.is_empty() {
            self.peer_loads.insert(node.clone(), plain);
        }
    }

    /// Sets the number of nodes that share the upstreams.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Takes the newest version of an adapter that operators named.
    pub fn set_newest_version(&mut self, now: Time, model: &Name, adapter: &Name, version: u64) {
        let key = (model.clone(), adapter.clone());
        match self.versions.get(&key) {
            Some(known) if known.version >= version => {}
            Some(_) | None => {
                self.versions.insert(key, NewVersion { version, seen: now });
            }
        }
    }

    /// Newest version of an adapter, if operators named one.
    pub fn newest_version(&self, model: &Name, adapter: &Name) -> Option<u64> {
        self.versions.get(&(model.clone(), adapter.clone())).map(|news| news.version)
    }

    /// Load of this node on the plain upstreams.
    pub fn plain_upstream_loads(&self) -> Vec<UpstreamLoad> {
        self.upstreams.values().filter_map(Upstream::plain_load).collect()
    }

    /// Adapters that should be loaded, stated again at intervals until they are in place.
    pub fn due_adapter_requests(&mut self, now: Time, node: &Name) -> Vec<AdapterRequest> {
        self.wants.due(now, node)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.asked.len()
    }

    /// Number of sends in progress.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    fn add_replica(&mut self, id: &Name, model: &Name, adapter: &Name, version: u64, ready: bool) {
        let key = (model.clone(), adapter.clone());
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.adapters.insert(key.clone(), upstreams::Replica { version, ready });
        let replicas = self.replicas.entry(key).or_default();
        if !replicas.contains(id) {
            replicas.push(id.clone());
        }
    }

    /// Sends a request that no holder admitted; one that is only slow to answer learns of it.
    fn send_unasked(
        &mut self,
        now: Time,
        job: &Job,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
    ) -> DispatchDecision {
        let verdict = self.send(now, job, upstream, version);
        let running = self.flights[&job.id].running(now, job.id);
        self.tell(&upstream.id, running);
        verdict
    }

    fn send(
        &mut self,
        now: Time,
        job: &Job,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
    ) -> DispatchDecision {
        let adapter = job.adapter().cloned();
        let tokens = job.prompt_tokens;
        if let Some(upstream) = self.upstreams.get_mut(&upstream.id) {
            upstream.own.started(now, adapter.as_ref(), tokens);
        }
        let flight = Flight {
            upstream: upstream.id.clone(),
            service: job.service.clone(),
            adapter,
            tokens,
            sent: now,
            deadline: job.deadline,
            output: false,
        };
        self.flights.insert(job.id, flight);
        self.services.entry(job.service.clone()).or_default().shares.count(&job.route);
        DispatchDecision::Send { upstream: Arc::clone(upstream), version }
    }

    fn reject(reason: RejectReason, wait: Duration) -> DispatchDecision {
        let (least, most) = RETRY_AFTER;
        DispatchDecision::Reject { reason, retry_after: wait.clamp(least, most) }
    }

    /// Rejection of a request that can't be sent now, if waiting is pointless.
    fn rejection(
        &self,
        now: Time,
        job: &Job,
        blocked: choice::Blocked,
    ) -> Option<DispatchDecision> {
        let total = job.deadline.since(job.arrived).as_secs_f64();
        let waited = now.since(job.arrived).as_secs_f64();
        match blocked {
            choice::Blocked::NoUpstream if waited >= total * ABSENT_WAIT_SHARE => {
                Some(Dispatcher::reject(RejectReason::NoUpstream, RETURN_LATER))
            }
            choice::Blocked::NoUpstream => None,
            choice::Blocked::Adapter if job.is_given_up(now) => {
                Some(Dispatcher::reject(RejectReason::AdapterUnavailable, RETURN_AFTER))
            }
            choice::Blocked::Adapter => None,
            choice::Blocked::Full if job.is_given_up(now) => {
                Some(Dispatcher::reject(RejectReason::Overload, RETURN_AFTER))
            }
            choice::Blocked::Full => {
                let wait = self.predicted_wait(job);
                let left = job.first_output_deadline.since(now);
                (wait > left).then(|| Dispatcher::reject(RejectReason::Overload, wait - left))
            }
        }
    }

    /// Time until a place is free for `job`, from the requests before it and the service's pace.
    fn predicted_wait(&self, job: &Job) -> Duration {
        let Some(service) = self.services.get(&job.service) else { return Duration::ZERO };
        let slots: u32 = service
            .members
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .map(|upstream| upstream.entry.slots)
            .sum();
        let places = f64::from(slots.max(1)) / self.nodes as f64;
        let mut ahead = 0;
        let mut ahead_of_route = 0;
        for other in self.waiting.before(job).filter(|other| other.service == job.service) {
            ahead += 1;
            ahead_of_route += usize::from(other.route == job.route);
        }
        let wait = (ahead + 1) as f64 * service.time_s / places;
        // A route with a floor gets its share whatever waits before it.
        let wait_by_floor = (ahead_of_route + 1) as f64 * service.time_s / (places * job.floor);
        Duration::try_from_secs_f64(wait.min(wait_by_floor)).unwrap_or(Duration::MAX)
    }
}
