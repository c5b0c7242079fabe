//! Admission of requests to engines, decided by the node that has custody of an engine.
//!
//! Answers prompts of many nodes that meet at one engine: the holder knows every request there,
//! so it can pace prompts and order waiting requests over all nodes. Figures that nodes tell
//! each other are too old for that when there are many nodes. A node that gets no answer decides
//! by itself, so a lost holder costs a timeout and pacing, not requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::dispatch::FULL_FOR;
use crate::dispatch::Job;
use crate::dispatch::JobId;
use crate::dispatch::RETURN_AFTER;
use crate::dispatch::load::EngineLoad;
use crate::dispatch::load::places;
use crate::dispatch::load::takes_prompt;
use crate::dispatch::queue::Queue;
use crate::dispatch::queue::Shares;
use crate::message::AdmissionDecision;
use crate::message::AdmissionRequest;
use crate::message::AdmissionResponse;
use crate::message::ProgressEvent;
use crate::message::ProgressReport;
use crate::message::UpstreamLoad;

/// Requests that wait for one engine before further ones are rejected.
const MAX_WAITING: usize = 500;
/// Weight of the newest sample in the mean time that a request takes.
const RUN_TIME_ALPHA: f64 = 0.05;
/// Time that a request takes before the first sample, in seconds.
const RUN_TIME_FIRST_S: f64 = 1.0;
/// Time after which a prompt counts as read although no output was reported: the report may be
/// lost. Slow engines read a full window in half of that.
const UNREAD_FOR: Duration = Duration::from_millis(1_000);
/// Time past the deadline after which a request counts as ended. Its node reports the end
/// earlier, but reports can be lost.
const EXPIRE_AFTER: Duration = Duration::from_secs(1);

/// Answer for a node.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedResponse {
    /// Node.
    pub node: Name,
    /// Answer.
    pub response: AdmissionResponse,
}

/// Node and its number of the request.
type Origin = (Name, JobId);

#[derive(Debug)]
enum Place {
    /// In the queue under a number of the ledger; numbers of nodes may coincide.
    Waiting(JobId),
    Running {
        tokens: u32,
        output: bool,
        since: Time,
    },
}

#[derive(Debug)]
struct Entry {
    place: Place,
    adapter: Option<Name>,
    expires: Time,
}

/// Requests at one engine.
#[derive(Debug)]
struct Ledger {
    upstream: Name,
    born: u64,
    slots: u32,
    load: EngineLoad,
    queue: Queue,
    shares: Shares,
    entries: HashMap<Origin, Entry>,
    origins: HashMap<JobId, Origin>,
    next_local: u64,
    full_until: Time,
    run_time_s: f64,
    idle_places: u32,
}

/// Admission to the engines in custody.
#[derive(Debug, Default)]
pub struct AdmissionController {
    ledgers: HashMap<Name, Ledger>,
}

impl AdmissionController {
    /// Opens the engine, or starts anew after it started anew.
    pub fn open_engine(&mut self, upstream: &Name, slots: u32, born: u64) {
        match self.ledgers.get_mut(upstream) {
            Some(ledger) if ledger.born == born => ledger.slots = slots,
            Some(_) | None => {
                self.ledgers.insert(upstream.clone(), Ledger::new(upstream.clone(), slots, born));
            }
        }
    }

    /// Records how many adapter slots of an engine another adapter can take.
    pub fn set_available_adapter_slots(&mut self, upstream: &Name, places: u32) {
        if let Some(ledger) = self.ledgers.get_mut(upstream) {
            ledger.idle_places = places;
        }
    }

    /// Closes the engines that `keep` denies.
    pub fn retain_engines(&mut self, keep: impl Fn(&Name) -> bool) {
        self.ledgers.retain(|upstream, _| keep(upstream));
    }

    /// Takes the request of `node` for a place and answers it at once.
    pub fn handle_request(
        &mut self,
        now: Time,
        node: &Name,
        ask: &AdmissionRequest,
    ) -> AddressedResponse {
        let answer = match self.ledgers.get_mut(&ask.upstream) {
            Some(ledger) => ledger.ask(now, node, ask),
            None => AdmissionResponse {
                job: ask.job,
                decision: AdmissionDecision::NotHolder,
                load: UpstreamLoad { upstream: ask.upstream.clone(), ..UpstreamLoad::default() },
            },
        };
        AddressedResponse { node: node.clone(), response: answer }
    }

    /// Takes what `node` tells of a request.
    pub fn handle_progress(&mut self, now: Time, node: &Name, progress: &ProgressReport) {
        if let Some(ledger) = self.ledgers.get_mut(&progress.upstream) {
            ledger.progress(now, node, &progress.event);
        }
    }

    /// Grants the places that became free and rejects what waited for too long.
    pub fn admit_waiting(&mut self, now: Time) -> Vec<AddressedResponse> {
        self.ledgers.values_mut().flat_map(|ledger| ledger.pump(now)).collect()
    }

    /// Forgets the requests of a node that fell silent.
    pub fn remove_node(&mut self, node: &Name) {
        for ledger in self.ledgers.values_mut() {
            let origins: Vec<Origin> =
                ledger.entries.keys().filter(|origin| origin.0 == *node).cloned().collect();
            origins.iter().for_each(|origin| ledger.end(origin, None));
        }
    }

    /// Load of all engines in custody.
    pub fn engine_loads(&self, now: Time) -> Vec<UpstreamLoad> {
        self.ledgers
            .values()
            .map(|ledger| UpstreamLoad {
                adapters: ledger.usage().into_iter().collect(),
                ..ledger.figures(now)
            })
            .collect()
    }

    /// Requests of all nodes for each adapter of an engine, waiting ones included: an adapter that
    /// they wait for must stay.
    pub fn adapter_usage(&self, upstream: &str) -> HashMap<Name, u32> {
        self.ledgers.get(upstream).map(Ledger::usage).unwrap_or_default()
    }

    /// Requests that wait here.
    pub fn waiting(&self) -> usize {
        self.ledgers.values().map(|ledger| ledger.queue.len()).sum()
    }
}

impl Ledger {
    fn new(upstream: Name, slots: u32, born: u64) -> Ledger {
        Ledger {
            upstream,
            born,
            slots,
            load: EngineLoad::default(),
            queue: Queue::default(),
            shares: Shares::default(),
            entries: HashMap::new(),
            origins: HashMap::new(),
            next_local: 0,
            full_until: Time::default(),
            run_time_s: RUN_TIME_FIRST_S,
            idle_places: slots,
        }
    }

    fn ask(&mut self, now: Time, node: &Name, ask: &AdmissionRequest) -> AdmissionResponse {
        let origin = (node.clone(), ask.job);
        let reply = match self.entries.get(&origin).map(|entry| &entry.place) {
            // The node asks again because an answer was lost or is slow to come.
            Some(Place::Running { .. }) => AdmissionDecision::Granted,
            Some(Place::Waiting(_)) => AdmissionDecision::Queued,
            None => {
                self.next_local += 1;
                let local = JobId(self.next_local);
                let job = ask.to_job(now, local);
                match self.takes(now, &job) {
                    true => {
                        self.grant(now, origin, &job);
                        AdmissionDecision::Granted
                    }
                    false => self.enqueue(now, origin, job),
                }
            }
        };
        AdmissionResponse { job: ask.job, decision: reply, load: self.figures(now) }
    }

    fn enqueue(&mut self, now: Time, origin: Origin, job: Job) -> AdmissionDecision {
        let wait = self.predicted_wait(&job);
        let left = job.first_output_deadline.since(now);
        if wait > left || self.queue.len() >= MAX_WAITING {
            return AdmissionDecision::Denied { retry_after: wait.saturating_sub(left) };
        }
        self.origins.insert(job.id, origin.clone());
        self.enter(origin, Place::Waiting(job.id), job.adapter(), job.deadline);
        self.queue.insert(job);
        AdmissionDecision::Queued
    }

    fn enter(&mut self, origin: Origin, place: Place, adapter: Option<&Name>, deadline: Time) {
        let expires = deadline + EXPIRE_AFTER;
        self.entries.insert(origin, Entry { place, adapter: adapter.cloned(), expires });
    }

    /// Whether the engine has a place for `job` and time to read its prompt.
    fn takes(&self, now: Time, job: &Job) -> bool {
        let late = job.is_hurried(now);
        // What waited for long is not paced any more: a late answer is worth less than a pause.
        let backlog = match late {
            true => self.load.pending_tokens(),
            false => self.load.backlog(now),
        };
        now >= self.full_until
            && f64::from(self.load.in_flight()) < places(self.slots)
            && takes_prompt(backlog, self.load.late_pauses(), job.prompt_tokens, late)
    }

    fn grant(&mut self, now: Time, origin: Origin, job: &Job) {
        self.load.started(now, job.adapter(), job.prompt_tokens);
        self.shares.count(&job.route);
        let place = Place::Running { tokens: job.prompt_tokens, output: false, since: now };
        self.enter(origin, place, job.adapter(), job.deadline);
    }

    /// Time until `job` gets a place, from what waits before it and the engine's pace.
    fn predicted_wait(&self, job: &Job) -> Duration {
        let (ahead, tokens) = self
            .queue
            .before(job)
            .fold((0, 0), |(count, sum), other| (count + 1, sum + other.prompt_tokens));
        let backlog = self.load.pending_tokens();
        let reading = f64::from(tokens + backlog) / self.load.reads_per_s();
        let places = places(self.slots);
        let busy = f64::from(self.load.in_flight()) >= places;
        let running = match busy {
            true => f64::from(ahead + 1) * self.run_time_s / places,
            false => 0.0,
        };
        Duration::try_from_secs_f64(reading.max(running)).unwrap_or(Duration::MAX)
    }

    fn progress(&mut self, now: Time, node: &Name, event: &ProgressEvent) {
        match event {
            ProgressEvent::FirstOutput(job) => {
                let entry = self.entries.get_mut(&(node.clone(), *job));
                if let Some(Place::Running { tokens, output, .. }) =
                    entry.map(|entry| &mut entry.place)
                    && !*output
                {
                    *output = true;
                    self.load.output(now, *tokens);
                }
            }
            ProgressEvent::Ended(job) => self.end(&(node.clone(), *job), Some(now)),
            ProgressEvent::EngineFull(job) => {
                self.full_until = now + FULL_FOR;
                self.end(&(node.clone(), *job), None);
            }
            ProgressEvent::LongestPause { permille } => {
                let waiting = self.queue.len() > 0;
                self.load.paused(now, *permille, waiting);
            }
            ProgressEvent::Running { job, adapter, time_left: left } => {
                let origin = (node.clone(), *job);
                if self.entries.contains_key(&origin) {
                    return;
                }
                self.load.adopted(adapter.as_ref());
                let place = Place::Running { tokens: 0, output: true, since: now };
                self.enter(origin, place, adapter.as_ref(), now + *left);
            }
        }
    }

    /// Ends a request, at `now` if it ran to its end.
    fn end(&mut self, origin: &Origin, now: Option<Time>) {
        let Some(entry) = self.entries.remove(origin) else { return };
        match entry.place {
            Place::Waiting(local) => {
                self.origins.remove(&local);
                self.queue.cancel(local);
            }
            Place::Running { tokens, output, since } => {
                if !output {
                    self.load.unread(tokens);
                }
                self.load.ended(entry.adapter.as_ref());
                if let Some(now) = now {
                    let sample = now.since(since).as_secs_f64();
                    self.run_time_s += RUN_TIME_ALPHA * (sample - self.run_time_s);
                }
            }
        }
    }

    fn usage(&self) -> HashMap<Name, u32> {
        let mut usage = self.load.in_use().clone();
        for adapter in self.queue.iter().filter_map(Job::adapter) {
            *usage.entry(adapter.clone()).or_insert(0) += 1;
        }
        usage
    }

    fn pump(&mut self, now: Time) -> Vec<AddressedResponse> {
        self.expire(now);
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let mut decided = Vec::new();
        for key in self.queue.order(now, |_| Some(&self.shares)) {
            let Some(job) = self.queue.remove(&key) else { continue };
            let reply = match self.takes(now, &job) {
                true => AdmissionDecision::Granted,
                false if job.is_given_up(now) => {
                    AdmissionDecision::Denied { retry_after: RETURN_AFTER }
                }
                false => {
                    self.queue.insert(job);
                    continue;
                }
            };
            let Some(origin) = self.origins.remove(&job.id) else { continue };
            match reply {
                AdmissionDecision::Granted => self.grant(now, origin.clone(), &job),
                AdmissionDecision::Denied { .. }
                | AdmissionDecision::Queued
                | AdmissionDecision::NotHolder => {
                    self.entries.remove(&origin);
                }
            }
            decided.push((origin, reply));
        }
        let load = self.figures(now);
        decided
            .into_iter()
            .map(|((node, job), reply)| AddressedResponse {
                node,
                response: AdmissionResponse { job, decision: reply, load: load.clone() },
            })
            .collect()
    }

    fn expire(&mut self, now: Time) {
        let expired: Vec<Origin> = self
            .entries
            .iter()
            .filter(|(_, entry)| now >= entry.expires)
            .map(|(origin, _)| origin.clone())
            .collect();
        expired.iter().for_each(|origin| self.end(origin, None));
        for entry in self.entries.values_mut() {
            match &mut entry.place {
                Place::Running { tokens, output, since }
                    if !*output && now.since(*since) >= UNREAD_FOR =>
                {
                    *output = true;
                    self.load.unread(*tokens);
                }
                Place::Running { .. } | Place::Waiting(_) => {}
            }
        }
    }

    /// Load without the adapters.
    fn figures(&self, now: Time) -> UpstreamLoad {
        UpstreamLoad {
            upstream: self.upstream.clone(),
            all_nodes: true,
            in_flight: self.load.in_flight(),
            pending_prompt_tokens: self.load.backlog(now),
            queued_prompt_tokens: self.queue.iter().map(|job| job.prompt_tokens).sum(),
            late_streams_permille: (self.load.late_pauses() * 1_000.0) as u32,
            available_adapter_slots: self.idle_places,
            adapters: Vec::new(),
        }
    }
}
