//! Virtual-time run of one deployment under one scenario and one policy.
//!
//! Assumptions: entries see each other's load only through adverts, every 250 ms. A message
//! between an entry and an owner takes 0.5 ms, a permit 2 ms, and an exchange with the load
//! scheduler 1 ms each way. Entries apply the retry budgets of the table's rows, each by its own
//! counts; no row has a limit of rate. Every entry places with its own state. No message is lost. Requests go to random
//! entries. Engines report their load every second, 0.5 s late; a restart is
//! noticed within 50 ms and the engine is down for 2 s. The first start of an engine
//! does not count as a restart.

mod effects;
mod entries;
mod models;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::Dispatcher;
use fireflyhead_core::dispatch::DispatcherConfig;
use fireflyhead_core::dispatch::LoadReport;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::limits::LimitsConfig;
use fireflyhead_core::limits::RowLimits;
use fireflyhead_core::loads::LoadConfig;
use fireflyhead_core::loads::LoadInput;
use fireflyhead_core::loads::LoadScheduler;
use fireflyhead_core::placement::Placement;
use fireflyhead_core::placement::PlacementConfig;
use fireflyhead_core::table::Policy;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::RefuseReason;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_core::types::UpstreamKind;

use crate::policy::baseline::Baseline;
use crate::policy::capacity::Capacity;
use crate::policy::deployment::ClassSpec;
use crate::policy::deployment::Deployment;
use crate::policy::deployment::MAX_LOADS_IN_FLIGHT;
use crate::policy::deployment::SLOTS;
use crate::policy::deployment::ZONES;
use crate::policy::deployment::adapter_name;
use crate::policy::engine::EngineModel;
use crate::policy::scenario::END;
use crate::policy::scenario::EVENT_AT;
use crate::policy::scenario::MEASURE_UNTIL;
use crate::policy::scenario::RESTART_EVERY;
use crate::policy::scenario::Scenario;
use crate::policy::service::ServiceModel;
use crate::policy::workload::Popularity;
use crate::policy::workload::Source;

/// Time between two adverts of an upstream.
const ADVERT_EVERY: Duration = Duration::from_millis(250);
/// One way between an entry and an owner, or between an owner and an upstream.
const HOP: Duration = Duration::from_micros(500);
/// Time between two load reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Age of a load report on arrival.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time until a restart is noticed.
const NOTICE: Duration = Duration::from_millis(50);
/// Duration of a restart.
const DOWN: Duration = Duration::from_secs(2);
/// Upstreams tried for one attempt of a caller.
const MAX_UPSTREAMS: usize = 3;
/// Requests that may wait inside an upstream, one for each higher rank, so that the places that
/// a dispatcher keeps for them do not leave the upstream idle.
const HEADROOM: usize = 2;
/// Bits of a job id that number the attempts.
const ATTEMPT_BITS: u32 = 6;

/// Policy under test or baseline.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PolicyKind {
    /// The project's own placement, dispatcher and load scheduler.
    Core,
    /// First in, first out; least-loaded worker; least recently used adapter evicted.
    Fifo,
    /// Strict priority without floors, with the project's placement.
    Strict,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 3] = [PolicyKind::Core, PolicyKind::Fifo, PolicyKind::Strict];

    /// Name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Core => "core",
            PolicyKind::Fifo => "fifo-lru",
            PolicyKind::Strict => "strict",
        }
    }
}

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Queued, running, or waiting to be tried again.
    Open,
    /// The response is complete.
    Answered,
    /// Refused for the last time.
    Refused(RefuseReason),
}

/// Request of a caller with all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the class.
    pub class: usize,
    /// Adapter.
    pub adapter: Option<AdapterKey>,
    /// Whether this is steady demand: neither a synthetic retry nor part of a flood.
    pub fresh: bool,
    /// Work: tokens, or milliseconds for plain services.
    pub work: f64,
    /// First arrival at an entry.
    pub arrived: Time,
    /// First token.
    pub first: Option<Time>,
    /// End.
    pub ended: Time,
    /// State.
    pub state: State,
    /// Time for which the adapter was missing while the request was queued.
    pub stall: Duration,
    /// Whether the adapter was missing at any attempt.
    pub stalled: bool,
    /// Refusals so far.
    pub refusals: u8,
    /// Whether the caller's first attempt is a retry of a request that it gave up on.
    pub retry: bool,
    /// Adapter whose row governs the request; otherwise that of the class does.
    row: Option<usize>,
    /// Entry whose limits count the request as running.
    admitted: bool,
    entry: usize,
    attempt: u64,
    submitted: Time,
    stalled_since: Option<Time>,
    /// Upstreams still to try in this attempt, best last.
    candidates: Vec<usize>,
    /// Runs at upstreams that may have done work.
    runs: u32,
}

/// Figures that are not kept by request.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Loads that ended in the window.
    pub loads: u64,
    /// Loads that failed in the window.
    pub failed_loads: u64,
    /// Times of load orders.
    pub load_orders: Vec<Time>,
    /// Largest number of loads in flight.
    pub max_loads_in_flight: usize,
    /// Engine steps in the window.
    pub steps: u64,
    /// Sum of their batches.
    pub batch_sum: u64,
    /// Runs on an engine without the adapter, unloads of an adapter in use, and second
    /// runs of requests that may run only once.
    pub violations: u64,
    /// Inputs processed by all schedulers.
    pub decisions: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Retry(usize),
    Input(usize, DispatchInput),
    Reach(usize, JobId),
    Step(usize, u64),
    ServiceEnd(usize, usize, u32),
    LoadEnd(usize, AdapterKey, u64),
    LoadAnswer(usize, DispatchInput),
    LoadRequest(LoadInput),
    Tick(usize, Time),
    LoadTick(Time),
    Adverts,
    Reports,
    Report(usize, LoadReport),
    Shift,
    Restart(usize),
    Up(usize),
}

struct Scheduled(Time, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

enum Controller {
    Core(Box<Dispatcher>),
    Base(Box<Baseline>),
}

impl Controller {
    fn advert(&self, now: Time) -> UpstreamAdvert {
        match self {
            Controller::Core(dispatcher) => dispatcher.advert(now),
            Controller::Base(base) => base.advert(),
        }
    }

    fn next_tick(&self) -> Option<Time> {
        match self {
            Controller::Core(dispatcher) => dispatcher.next_tick(),
            Controller::Base(base) => base.next_tick(),
        }
    }
}

enum Model {
    Engine(EngineModel),
    Service(ServiceModel),
}

struct Upstream {
    name: Name,
    engine: bool,
    controller: Controller,
    model: Model,
    tick_at: Option<Time>,
}

/// Run in progress.
pub struct World {
    dep: Arc<Deployment>,
    scenario: Scenario,
    policy: PolicyKind,
    now: Time,
    seq: u64,
    heap: BinaryHeap<Reverse<Scheduled>>,
    sources: Vec<Source>,
    popularity: Popularity,
    seed: u64,
    rng: ChaCha8Rng,
    adapters: Vec<AdapterKey>,
    /// Policies by adapter, and by class.
    adapter_policies: Vec<Policy>,
    class_policies: Vec<Policy>,
    limits: Vec<RowLimits>,
    services: [Name; 2],
    upstreams: Vec<Upstream>,
    entries: Vec<Placement>,
    loads: LoadScheduler,
    load_tick: Option<Time>,
    loads_in_flight: usize,
    /// Requests of the run.
    pub requests: Vec<Request>,
    /// Figures of the run.
    pub counters: Counters,
}

impl World {
    /// Empty deployment at time zero.
    pub fn new(
        dep: Arc<Deployment>,
        table: &Arc<Table>,
        cap: &Capacity,
        scenario: &Scenario,
        policy: PolicyKind,
        seed: u64,
    ) -> World {
        let class_policies = dep.classes.iter().map(|class| class_policy(&dep, table, class));
        let adapters: Vec<AdapterKey> = (0..crate::policy::deployment::ADAPTERS)
            .map(|i| AdapterKey::new(adapter_name(i), "v1"))
            .collect();
        let by_adapter =
            adapters.iter().filter_map(|key| table.find_adapter(&key.to_string(), None).ok());
        let mut world = World {
            scenario: scenario.clone(),
            policy,
            now: Time::default(),
            seq: 0,
            heap: BinaryHeap::new(),
            sources: scenario.sources(&dep, cap, seed),
            popularity: Popularity::new(cap.exponent, seed),
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            adapter_policies: by_adapter.collect(),
            adapters,
            class_policies: class_policies.collect(),
            limits: limits(&dep),
            services: [Name::from(dep.plain_service), Name::from(dep.model_service)],
            upstreams: upstreams(&dep, table, policy, seed),
            entries: entries(&dep, seed),
            loads: LoadScheduler::new(load_config(&dep, table, policy)),
            load_tick: None,
            loads_in_flight: 0,
            requests: Vec::new(),
            counters: Counters::default(),
            dep,
        };
        world.plan();
        world
    }

    /// Schedules the first arrivals and the events of the scenario.
    fn plan(&mut self) {
        for i in 0..self.sources.len() {
            let at = secs(self.sources[i].span.0) + self.sources[i].gap();
            self.schedule(at, Event::Arrive(i));
        }
        self.schedule(Time::default(), Event::Adverts);
        self.schedule(Time::default(), Event::Reports);
        if self.scenario.shift {
            self.schedule(secs(EVENT_AT), Event::Shift);
        }
        if self.scenario.restarts {
            for up in 0..self.dep.workers {
                let at = EVENT_AT + up as f64 * RESTART_EVERY;
                if at < MEASURE_UNTIL {
                    self.schedule(secs(at), Event::Restart(up));
                }
            }
        }
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        while let Some(Reverse(Scheduled(at, _, event))) = self.heap.pop() {
            if at > secs(END) {
                return;
            }
            self.now = at;
            self.event(event);
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse(Scheduled(at, self.seq, event)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Arrive(source) => self.arrive(source),
            Event::Retry(req) => self.attempt(req),
            Event::Input(up, input) => self.input(up, input),
            Event::Reach(up, job) => self.reach(up, job),
            Event::Step(up, boot) => self.step(up, boot),
            Event::ServiceEnd(up, req, run) => self.service_end(up, req, run),
            Event::LoadEnd(up, adapter, boot) => self.load_end(up, adapter, boot),
            Event::LoadAnswer(up, input) => self.input(up, input),
            Event::LoadRequest(input) => self.load_request(input),
            Event::Tick(up, at) => self.tick(up, at),
            Event::LoadTick(at) => self.load_tick(at),
            Event::Adverts => self.adverts(),
            Event::Reports => self.reports(),
            Event::Report(up, report) => self.deliver_report(up, report),
            Event::Shift => self.popularity.shuffle(self.seed ^ 0x5417),
            Event::Restart(up) => self.restart(up),
            Event::Up(up) => self.engine_up(up),
        }
    }

    fn arrive(&mut self, source: usize) {
        let src = &mut self.sources[source];
        if self.now > secs(src.span.1) {
            return;
        }
        let class = &self.dep.classes[src.class];
        let work = src.work(class.work);
        let adapter = class.engine.then(|| src.adapter(&self.popularity));
        let row = adapter.filter(|_| class.by_adapter);
        let req = Request {
            class: src.class,
            adapter: adapter.map(|i| self.adapters[i].clone()),
            fresh: !src.flood,
            work,
            arrived: self.now,
            first: None,
            ended: self.now,
            state: State::Open,
            stall: Duration::ZERO,
            stalled: false,
            refusals: 0,
            retry: src.retry,
            row,
            admitted: false,
            entry: 0,
            attempt: 0,
            submitted: self.now,
            stalled_since: None,
            candidates: Vec::new(),
            runs: 0,
        };
        let gap = src.gap();
        self.after(gap, Event::Arrive(source));
        self.requests.push(req);
        self.attempt(self.requests.len() - 1);
    }

    fn upstream_index(&self, name: &Name) -> Option<usize> {
        self.upstreams.iter().position(|up| up.name == *name)
    }

    fn adverts(&mut self) {
        for up in 0..self.upstreams.len() {
            let advert = self.upstreams[up].controller.advert(self.now);
            for entry in &mut self.entries {
                entry.update_advert(self.now, &self.upstreams[up].name, advert.clone());
            }
        }
        self.after(ADVERT_EVERY, Event::Adverts);
    }

    fn reports(&mut self) {
        for up in 0..self.upstreams.len() {
            let report = self.report(up);
            self.after(REPORT_LAG, Event::Report(up, report));
        }
        self.after(REPORT_EVERY, Event::Reports);
    }

    /// A report from before a restart that is already known is not delivered.
    fn deliver_report(&mut self, up: usize, report: LoadReport) {
        match &self.upstreams[up].model {
            Model::Engine(engine) if engine.boot != report.boot_id => {}
            _ => self.input(up, DispatchInput::Report(report)),
        }
    }

    fn report(&self, up: usize) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        match &self.upstreams[up].model {
            Model::Engine(engine) => LoadReport {
                boot_id: engine.boot,
                loaded: engine.loaded.iter().cloned().collect(),
                running: count(engine.batch.len()),
                waiting: count(engine.waiting.len()),
            },
            Model::Service(service) => LoadReport {
                running: count(service.running.len()),
                waiting: count(service.waiting.len()),
                ..LoadReport::default()
            },
        }
    }

    fn in_window(&self) -> bool {
        self.now >= secs(EVENT_AT) && self.now < secs(MEASURE_UNTIL)
    }
}

/// Point of virtual time, in seconds.
pub fn secs(at: f64) -> Time {
    Time::from_micros((at * 1e6) as u64)
}

/// Request of a job.
fn request_of(job: JobId) -> usize {
    usize::try_from(job.0 >> ATTEMPT_BITS).unwrap_or(usize::MAX)
}

fn load_config(dep: &Deployment, table: &Table, policy: PolicyKind) -> LoadConfig {
    let cfg = LoadConfig {
        loads_per_second: dep.loads_per_second,
        max_in_flight: MAX_LOADS_IN_FLIGHT,
        floors: table.floors(&Name::from(dep.model_service)),
        ..LoadConfig::default()
    };
    match policy {
        PolicyKind::Core => cfg,
        PolicyKind::Fifo | PolicyKind::Strict => LoadConfig { floors: [0.0; 3], ..cfg },
    }
}

fn infos(dep: &Deployment, engine: bool) -> Vec<UpstreamInfo> {
    let (service, count) = match engine {
        true => (dep.model_service, dep.workers),
        false => (dep.plain_service, dep.instances),
    };
    let kind = if engine { UpstreamKind::Engine { slots: SLOTS } } else { UpstreamKind::Service };
    let info = |i: usize| UpstreamInfo {
        name: Name::from(format!("{service}-{i}")),
        service: Name::from(service),
        zone: Name::from(format!("zone-{}", i % ZONES)),
        address: Name::from(format!("127.0.0.1:{}", 10_000 + i)),
        kind,
        fencing: true,
        leaving: false,
    };
    (0..count).map(info).collect()
}

/// Engines first, then the instances of the plain service.
fn upstreams(dep: &Deployment, table: &Arc<Table>, policy: PolicyKind, seed: u64) -> Vec<Upstream> {
    let infos = [infos(dep, true), infos(dep, false)].concat();
    let mut upstreams = Vec::new();
    for (i, info) in infos.into_iter().enumerate() {
        let engine = matches!(info.kind, UpstreamKind::Engine { .. });
        let concurrency = if engine { EngineModel::MAX_BATCH } else { ServiceModel::CONCURRENCY };
        let max_in_flight = concurrency + HEADROOM;
        let controller = match policy {
            PolicyKind::Core => {
                let cfg = DispatcherConfig {
                    upstream: info.name.clone(),
                    service: info.service.clone(),
                    kind: info.kind,
                    max_in_flight,
                    ..DispatcherConfig::default()
                };
                let seed = seed.wrapping_add(i as u64);
                Controller::Core(Box::new(Dispatcher::new(cfg, Arc::clone(table), seed)))
            }
            PolicyKind::Fifo | PolicyKind::Strict => {
                let strict = policy == PolicyKind::Strict;
                Controller::Base(Box::new(Baseline::new(strict, SLOTS, max_in_flight)))
            }
        };
        let model = match engine {
            true => Model::Engine(EngineModel { boot: 1, ..EngineModel::default() }),
            false => Model::Service(ServiceModel::default()),
        };
        upstreams.push(Upstream { name: info.name, engine, controller, model, tick_at: None });
    }
    upstreams
}

fn entries(dep: &Deployment, seed: u64) -> Vec<Placement> {
    let entry = |i: usize| {
        let zone = Some(Name::from(format!("zone-{}", i % ZONES)));
        let cfg = PlacementConfig { zone, ..PlacementConfig::default() };
        let mut placement = Placement::new(cfg, seed.wrapping_add(i as u64));
        placement.set_upstreams(&Name::from(dep.model_service), infos(dep, true));
        placement.set_upstreams(&Name::from(dep.plain_service), infos(dep, false));
        placement
    };
    (0..dep.entries).map(entry).collect()
}

/// Row limits of the entries, which know each other.
fn limits(dep: &Deployment) -> Vec<RowLimits> {
    let names: Vec<Name> = (0..dep.entries).map(|i| Name::from(format!("entry-{i}"))).collect();
    let limit = |me: &Name| {
        let mut limits = RowLimits::new(LimitsConfig::default(), me.clone());
        limits.set_nodes(names.clone());
        limits
    };
    names.iter().map(limit).collect()
}

/// Policy of the class's row.
fn class_policy(dep: &Deployment, table: &Table, class: &ClassSpec) -> Policy {
    let row = table.classes().find(|row| row.name.as_str() == class.name);
    Policy {
        row: row.map(|row| row.id()).unwrap_or_default(),
        class: row.map(|row| row.id()).unwrap_or_default(),
        service: Name::from(dep.service_of(class)),
        adapter: None,
        terms: row.map(|row| row.terms).unwrap_or_default(),
    }
}

/// Result of a run that was cut off by a restart.
const CUT_OFF: RunResult = RunResult::Cancelled;
