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
//! State of other nodes comes from their beats and ages out with them.

mod choice;
mod upstreams;
mod wants;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Name;
use crate::Time;
use crate::dialect::LoadReport;
use crate::dialect::ModelRef;
use crate::fleet::UpstreamEntry;
use crate::health::Failure;
use crate::message::Placement;
use crate::message::UpstreamLoad;
use crate::message::Want;

use self::choice::Choice;
use self::upstreams::Upstream;
use self::wants::Wants;

/// Requests that wait in one node before further ones are rejected.
const MAX_WAITING: usize = 2_000;
/// Waiting requests that one pass looks at, so that a pass stays short in a flood.
const PASS_LIMIT: usize = 256;
/// Share of the time up to the deadline for which a request waits at most.
const WAIT_SHARE: f64 = 0.4;
/// Time from a send to the first output of an engine without a backlog.
const FIRST_OUTPUT_TIME: Duration = Duration::from_millis(200);
/// Share of the time up to the deadline for which a request waits for a service without upstreams.
const ABSENT_WAIT_SHARE: f64 = 0.1;
/// Weight of the newest sample in the mean service time.
const SERVICE_TIME_ALPHA: f64 = 0.05;
/// Factor by which older requests lose weight in the shares of routes with each new one; about
/// the last hundred requests count.
const SHARE_DECAY: f64 = 0.99;
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
    /// Moment after which nobody waits for the response.
    pub deadline: Time,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the output.
    pub output_tokens: u32,
    /// Upstreams that failed this request.
    pub tried: Vec<Name>,
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
pub enum Verdict {
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
    Abandoned,
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
    /// Requests sent lately, by route.
    sent: HashMap<Name, f64>,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            members: Vec::new(),
            time_s: SERVICE_TIME_FIRST_S,
            ejected: Vec::new(),
            sent: HashMap::new(),
        }
    }
}

impl Service {
    /// Counts a request of `route` that was sent.
    fn count(&mut self, route: &Name) {
        for sent in self.sent.values_mut() {
            *sent *= SHARE_DECAY;
        }
        self.sent.retain(|_, sent| *sent > 0.01);
        *self.sent.entry(route.clone()).or_insert(0.0) += 1.0;
    }

    /// Share of the requests sent lately that were of `route`.
    fn share(&self, route: &Name) -> f64 {
        let total: f64 = self.sent.values().sum();
        let own = self.sent.get(route).copied().unwrap_or(0.0);
        if total > 0.0 { own / total } else { 1.0 }
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
    output: bool,
}

/// Order in which waiting requests are looked at: rank, weighted objective, arrival number.
type QueueKey = (u8, Time, JobId);

fn queue_key(job: &Job) -> QueueKey {
    let slack = job.objective.since(job.arrived).as_secs_f64() / job.weight.max(0.001);
    let weighted = Duration::try_from_secs_f64(slack).unwrap_or(Duration::MAX);
    (job.priority, job.arrived + weighted, job.id)
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
    waiting: BTreeMap<QueueKey, Job>,
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
            waiting: BTreeMap::new(),
            flights: HashMap::new(),
            wants: Wants::default(),
            peer_loads: HashMap::new(),
            nodes: 1,
        }
    }

    /// Adds a request; its verdict comes from [`Dispatcher::pump`] or at once.
    pub fn submit(&mut self, now: Time, job: Job) -> Option<Verdict> {
        match self.choose(now, &job) {
            Choice::Send { upstream, version } => Some(self.send(now, &job, &upstream, version)),
            Choice::Wait(_) if self.waiting.len() >= MAX_WAITING => {
                Some(Dispatcher::reject(RejectReason::QueueFull, Duration::from_secs(1)))
            }
            Choice::Wait(blocked) => match self.rejection(now, &job, blocked) {
                Some(verdict) => Some(verdict),
                None => {
                    self.waiting.insert(queue_key(&job), job);
                    None
                }
            },
        }
    }

    /// Looks at the waiting requests in their order and returns those that are decided.
    pub fn pump(&mut self, now: Time) -> Vec<(JobId, Verdict)> {
        let mut decided = Vec::new();
        let mut blocked: Vec<(Name, Option<ModelRef>)> = Vec::new();
        for key in self.queue_order(now) {
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
                    let verdict = self.send(now, &job, &upstream, version);
                    decided.push((job.id, verdict));
                }
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
                            self.waiting.insert(key, job);
                        }
                    }
                }
            }
        }
        decided
    }

    /// Waiting requests in the order in which they are looked at.
    ///
    /// Routes below their floor come first. Within a rank, those that can still be on time come before those that are late already:
    /// in an overload the oldest-first order would make every request late.
    fn queue_order(&self, now: Time) -> Vec<QueueKey> {
        let timely = now + FIRST_OUTPUT_TIME;
        let below_floor = |job: &Job| {
            let service = self.services.get(&job.service);
            service.is_some_and(|service| service.share(&job.route) < job.floor)
        };
        let mut order: Vec<(u8, bool, QueueKey)> = self
            .waiting
            .iter()
            .map(|(key, job)| match below_floor(job) {
                true => (0, false, *key),
                false => (job.priority.saturating_add(1), job.objective < timely, *key),
            })
            .collect();
        order.sort_unstable();
        order.truncate(PASS_LIMIT);
        order.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|key, _| key.2 != id);
    }

    /// Records that the first output of a request arrived.
    pub fn output(&mut self, id: JobId) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        if flight.output {
            return;
        }
        flight.output = true;
        if let Some(upstream) = self.upstreams.get_mut(&flight.upstream) {
            upstream.pending_tokens = upstream.pending_tokens.saturating_sub(flight.tokens);
        }
    }

    /// Records the end of a send.
    pub fn done(&mut self, now: Time, id: JobId, outcome: SendOutcome) {
        self.output(id);
        let Some(flight) = self.flights.remove(&id) else { return };
        let Flight { upstream: name, service, adapter, sent, .. } = flight;
        if outcome == SendOutcome::Served {
            let sample = now.since(sent).as_secs_f64();
            let service = self.services.entry(service.clone()).or_default();
            service.time_s += SERVICE_TIME_ALPHA * (sample - service.time_s);
        }
        let Some(upstream) = self.upstreams.get_mut(&name) else { return };
        upstream.landed(adapter.as_ref());
        match outcome {
            SendOutcome::Served => upstream.health.success(),
            SendOutcome::Failed(kind) => {
                if upstream.health.failure(now, kind).is_some() {
                    let ejected = &mut self.services.entry(service).or_default().ejected;
                    if !ejected.contains(&name) {
                        ejected.push(name);
                    }
                }
            }
            SendOutcome::Full => upstream.full(now),
            SendOutcome::AdapterAbsent => upstream.absent(now, adapter.as_ref()),
            SendOutcome::Misdirected => upstream.misdirected = true,
            SendOutcome::Abandoned => {}
        }
    }

    /// Records whether a stream of `upstream` paused for longer than its objective.
    pub fn paused(&mut self, upstream: &str, late: bool) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.paused(late);
        }
    }

    /// Takes the load that an upstream reported with a response.
    pub fn load_reported(&mut self, now: Time, upstream: &str, load: LoadReport) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.reported = Some((now, load));
        }
    }

    /// Adds or updates an upstream.
    pub fn listed(&mut self, entry: &Arc<UpstreamEntry>) {
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream) if upstream.entry.born == entry.born => {
                upstream.entry = Arc::clone(entry);
            }
            Some(_) | None => {
                self.gone(&entry.id);
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
    pub fn gone(&mut self, id: &Name) {
        let Some(upstream) = self.upstreams.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&upstream.entry.service) {
            service.members.retain(|member| member != id);
        }
        for key in upstream.adapters.keys() {
            if let Some(replicas) = self.replicas.get_mut(key) {
                replicas.retain(|replica| replica != id);
            }
        }
    }

    /// Takes what the holder of an engine states about its adapters.
    pub fn placement(&mut self, placement: &Placement) {
        let model = &placement.model;
        let Some(upstream) = self.upstreams.get_mut(&placement.upstream) else { return };
        if placement.fence < upstream.fence || placement.born != upstream.entry.born {
            return;
        }
        upstream.fence = placement.fence;
        upstream.open = placement.open;
        let stale: Vec<AdapterKey> = upstream
            .adapters
            .keys()
            .filter(|(_, adapter)| !placement.adapters.iter().any(|p| p.adapter == *adapter))
            .cloned()
            .collect();
        for key in stale {
            upstream.adapters.remove(&key);
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

    /// Takes the load of a peer; an empty list clears it.
    pub fn peer_load(&mut self, node: &Name, loads: Vec<UpstreamLoad>) {
        let old = self.peer_loads.remove(node).unwrap_or_default();
        for load in &old {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.remove_peer(load);
            }
        }
        for load in &loads {
            if let Some(upstream) = self.upstreams.get_mut(&load.upstream) {
                upstream.add_peer(load);
            }
        }
        if !loads.is_empty() {
            self.peer_loads.insert(node.clone(), loads);
        }
    }

    /// Sets the number of nodes that share the upstreams.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Takes the newest version of an adapter that operators named.
    pub fn version(&mut self, now: Time, model: &Name, adapter: &Name, version: u64) {
        let key = (model.clone(), adapter.clone());
        match self.versions.get(&key) {
            Some(known) if known.version >= version => {}
            Some(_) | None => {
                self.versions.insert(key, NewVersion { version, seen: now });
            }
        }
    }

    /// Newest version of an adapter, if operators named one.
    pub fn newest(&self, model: &Name, adapter: &Name) -> Option<u64> {
        self.versions.get(&(model.clone(), adapter.clone())).map(|news| news.version)
    }

    /// Load of this node on each upstream.
    pub fn loads(&self, now: Time) -> Vec<UpstreamLoad> {
        self.upstreams.values().filter_map(|upstream| upstream.load(now)).collect()
    }

    /// Requests of all nodes for each adapter of an engine.
    pub fn usage(&self, now: Time, upstream: &str) -> HashMap<Name, u32> {
        let own = self.upstreams.get(upstream).and_then(|upstream| upstream.load(now));
        let peers =
            self.peer_loads.values().flatten().filter(|load| load.upstream.as_str() == upstream);
        let mut usage = HashMap::new();
        for (adapter, count) in own.iter().chain(peers).flat_map(|load| &load.adapters) {
            *usage.entry(adapter.clone()).or_insert(0) += count;
        }
        usage
    }

    /// Adapters that should be loaded, stated again at intervals until they are in place.
    pub fn wants(&mut self, now: Time, node: &Name) -> Vec<Want> {
        self.wants.due(now, node)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
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

    fn send(
        &mut self,
        now: Time,
        job: &Job,
        upstream: &Arc<UpstreamEntry>,
        version: Option<u64>,
    ) -> Verdict {
        let adapter = job.model.as_ref().and_then(|model| model.adapter.clone());
        let tokens = job.prompt_tokens;
        if let Some(upstream) = self.upstreams.get_mut(&upstream.id) {
            upstream.departed(now, adapter.as_ref(), tokens);
        }
        let flight = Flight {
            upstream: upstream.id.clone(),
            service: job.service.clone(),
            adapter,
            tokens,
            sent: now,
            output: false,
        };
        self.flights.insert(job.id, flight);
        self.services.entry(job.service.clone()).or_default().count(&job.route);
        Verdict::Send { upstream: Arc::clone(upstream), version }
    }

    fn reject(reason: RejectReason, wait: Duration) -> Verdict {
        let (least, most) = RETRY_AFTER;
        Verdict::Reject { reason, retry_after: wait.clamp(least, most) }
    }

    /// Rejection of a request that can't be sent now, if waiting is pointless.
    fn rejection(&self, now: Time, job: &Job, blocked: choice::Blocked) -> Option<Verdict> {
        let total = job.deadline.since(job.arrived).as_secs_f64();
        let waited = now.since(job.arrived).as_secs_f64();
        match blocked {
            choice::Blocked::NoUpstream if waited >= total * ABSENT_WAIT_SHARE => {
                Some(Dispatcher::reject(RejectReason::NoUpstream, Duration::from_secs(1)))
            }
            choice::Blocked::NoUpstream => None,
            choice::Blocked::Adapter if waited >= total * WAIT_SHARE => Some(Dispatcher::reject(
                RejectReason::AdapterUnavailable,
                Duration::from_millis(500),
            )),
            choice::Blocked::Adapter => None,
            choice::Blocked::Full if waited >= total * WAIT_SHARE => {
                Some(Dispatcher::reject(RejectReason::Overload, Duration::from_millis(500)))
            }
            choice::Blocked::Full => {
                let wait = self.predicted_wait(job);
                let left = job.deadline.since(now);
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
        let before = self.waiting.range(..queue_key(job)).map(|(_, other)| other);
        let mut ahead = 0;
        let mut ahead_of_route = 0;
        for other in before.filter(|other| other.service == job.service) {
            ahead += 1;
            ahead_of_route += usize::from(other.route == job.route);
        }
        let wait = (ahead + 1) as f64 * service.time_s / places;
        // A route with a floor gets its share whatever waits before it.
        let wait_by_floor = (ahead_of_route + 1) as f64 * service.time_s / (places * job.floor);
        Duration::try_from_secs_f64(wait.min(wait_by_floor)).unwrap_or(Duration::MAX)
    }
}
