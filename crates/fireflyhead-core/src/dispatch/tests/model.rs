//! Model of one upstream and its callers that checks every effect.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::DispatchEffect;
use crate::dispatch::DispatchInput;
use crate::dispatch::Dispatcher;
use crate::dispatch::DispatcherConfig;
use crate::dispatch::LoadReport;
use crate::dispatch::RunResult;
use crate::table::Table;
use crate::types::AdapterKey;
use crate::types::Job;
use crate::types::JobId;
use crate::types::Name;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::RowId;
use crate::types::Time;
use crate::types::UpstreamKind;

/// Final outcome of a job as its entry sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    Finished(RunResult),
    Refused(RefuseReason),
    Redirected,
    Cancelled,
}

/// Dispatcher under test with the state of its surroundings.
pub(super) struct Model {
    pub(super) dispatcher: Dispatcher,
    pub(super) now: Time,
    pub(super) boot_id: u64,
    slots: usize,
    next_id: u64,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) ends: BTreeMap<JobId, End>,
    pub(super) running: BTreeSet<JobId>,
    pub(super) asked: BTreeSet<JobId>,
    given_up: BTreeSet<JobId>,
    /// Jobs that ran or were granted when the engine restarted; they use nothing on it now.
    lost: BTreeSet<JobId>,
    to_cancel: BTreeSet<JobId>,
    pub(super) requested: BTreeSet<AdapterKey>,
    pub(super) loading: BTreeSet<AdapterKey>,
    pub(super) loaded: BTreeSet<AdapterKey>,
    pub(super) unloading: BTreeSet<AdapterKey>,
    /// Loads ordered.
    pub(super) loads: usize,
    /// Jobs in the order in which they ran.
    pub(super) ran: Vec<JobId>,
}

/// Name of the adapter with a number.
pub(super) fn adapter(i: u64) -> AdapterKey {
    AdapterKey::new(format!("a{i}"), "v1")
}

/// Model of an engine with `slots` slots and `max_in_flight` jobs at once.
pub(super) fn engine(slots: usize, max_in_flight: usize) -> Model {
    engine_with(slots, max_in_flight, "")
}

/// Model of an engine of the service `svc` whose table has the class rows `rows`.
pub(super) fn engine_with(slots: usize, max_in_flight: usize, rows: &str) -> Model {
    let (service, kind) = (Name::from("svc"), UpstreamKind::Engine { slots });
    Model::new(
        DispatcherConfig { service, kind, max_in_flight, ..DispatcherConfig::default() },
        rows,
    )
}

/// Model of a plain service.
pub(super) fn service(max_in_flight: usize, rows: &str) -> Model {
    let service = Name::from("svc");
    Model::new(DispatcherConfig { service, max_in_flight, ..DispatcherConfig::default() }, rows)
}

impl Model {
    /// Model whose table has the class rows `rows`.
    pub(super) fn new(cfg: DispatcherConfig, rows: &str) -> Model {
        let header = "kind,name,class,service,match,version,rank,weight,floor,rate,in_flight,\
            target_ms,deadline_ms,retry_budget,idempotent\n";
        let table = match rows {
            "" => Table::default(),
            _ => Table::from_csv(1, &format!("{header}{rows}")).unwrap(),
        };
        let slots = match cfg.kind {
            UpstreamKind::Engine { slots } => slots,
            UpstreamKind::Service => 0,
        };
        let mut model = Model {
            dispatcher: Dispatcher::new(cfg, Arc::new(table), 1),
            now: Time::from_millis(1_000),
            boot_id: 1,
            slots,
            next_id: 0,
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            running: BTreeSet::new(),
            asked: BTreeSet::new(),
            given_up: BTreeSet::new(),
            lost: BTreeSet::new(),
            to_cancel: BTreeSet::new(),
            requested: BTreeSet::new(),
            loading: BTreeSet::new(),
            loaded: BTreeSet::new(),
            unloading: BTreeSet::new(),
            loads: 0,
            ran: Vec::new(),
        };
        model.report();
        model
    }

    /// Delivers an input and checks the effects.
    pub(super) fn send(&mut self, input: DispatchInput) -> Vec<DispatchEffect> {
        let mut effects = Vec::new();
        self.dispatcher.handle(self.now, input, &mut effects);
        effects.iter().for_each(|effect| self.check(effect));
        effects
    }

    /// Submits a job made from the default by `change`.
    pub(super) fn submit(&mut self, change: impl FnOnce(&mut Job)) -> JobId {
        self.next_id += 1;
        let id = JobId(self.next_id);
        let mut job = Job {
            id,
            row: RowId(1),
            rank: Rank::Standard,
            adapter: None,
            prompt_tokens: 10,
            output_tokens: 10,
            deadline: Duration::from_secs(60),
            retry: false,
            idempotent: true,
        };
        change(&mut job);
        self.jobs.insert(id, job.clone());
        self.send(DispatchInput::Submit(job));
        id
    }

    /// Submits a job for an adapter.
    pub(super) fn submit_for(&mut self, i: u64) -> JobId {
        self.submit(|job| job.adapter = Some(adapter(i)))
    }

    /// Lets time pass in steps of the dispatcher's ticks.
    pub(super) fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.dispatcher.next_tick().filter(|at| *at <= end) {
            assert!(at > self.now, "a tick that is already due would never end");
            self.now = at;
            self.send(DispatchInput::Tick);
        }
        self.now = end;
        self.send(DispatchInput::Tick);
    }

    /// Reports the exact state of the upstream.
    pub(super) fn report(&mut self) {
        let (loaded, running) = (self.loaded.iter().cloned().collect(), self.running.len() as u32);
        let report = LoadReport { boot_id: self.boot_id, loaded, running, waiting: 0 };
        self.send(DispatchInput::Report(report));
    }

    /// The engine restarts empty; its owner learns of it by a report.
    pub(super) fn restart(&mut self) {
        self.boot_id += 1;
        self.loaded.clear();
        self.unloading.clear();
        self.lost.extend(self.running.union(&self.asked));
        self.report();
    }

    /// Ends a run.
    pub(super) fn finish(&mut self, job: JobId, result: RunResult) {
        assert!(self.running.remove(&job));
        let requeued = self.to_cancel.remove(&job)
            && !self.given_up.contains(&job)
            && result == RunResult::Cancelled;
        if !requeued {
            let end = match self.given_up.contains(&job) {
                true => End::Cancelled,
                false => End::Finished(result),
            };
            self.end(job, end);
        }
        self.send(DispatchInput::Finished { job, result });
    }

    /// The caller gives a job up.
    pub(super) fn cancel(&mut self, job: JobId) {
        if self.ends.contains_key(&job) || !self.given_up.insert(job) {
            return;
        }
        if !self.running.contains(&job) {
            self.asked.remove(&job);
            self.end(job, End::Cancelled);
        }
        self.send(DispatchInput::Cancel(job));
    }

    /// The home answers a permit request.
    pub(super) fn permit(&mut self, job: JobId, granted: bool) {
        assert!(self.asked.remove(&job));
        if !granted {
            self.end(job, End::Cancelled);
        }
        self.send(DispatchInput::Permit { job, granted });
    }

    /// Grants and completes all load requests and orders.
    pub(super) fn settle_loads(&mut self) {
        for _ in 0..100 {
            if let Some(adapter) = self.unloading.first().cloned() {
                self.unloaded(adapter);
            } else if let Some(adapter) = self.loading.first().cloned() {
                self.load_done(adapter, true);
            } else if let Some(adapter) = self.requested.pop_first() {
                self.send(DispatchInput::LoadGranted { adapter });
            } else {
                return;
            }
        }
    }

    /// The engine answers a load order.
    pub(super) fn load_done(&mut self, adapter: AdapterKey, ok: bool) {
        self.loading.remove(&adapter);
        if ok {
            self.loaded.insert(adapter.clone());
        }
        self.send(DispatchInput::LoadDone { adapter, ok });
    }

    /// The engine answers an unload order.
    pub(super) fn unloaded(&mut self, adapter: AdapterKey) {
        self.unloading.remove(&adapter);
        self.loaded.remove(&adapter);
        self.send(DispatchInput::UnloadDone { adapter, ok: true });
    }

    fn end(&mut self, job: JobId, end: End) {
        let earlier = self.ends.insert(job, end);
        assert_eq!(earlier, None, "{job:?} has two outcomes, the second is {end:?}");
    }

    fn check(&mut self, effect: &DispatchEffect) {
        match effect {
            DispatchEffect::RequestPermit { job } => {
                assert!(!self.jobs[job].idempotent && self.asked.insert(*job));
            }
            DispatchEffect::Run { job } => self.check_run(*job),
            DispatchEffect::Refuse { job, reason, .. } => {
                self.asked.remove(job);
                self.end(*job, End::Refused(*reason));
            }
            DispatchEffect::Redirect { job } => {
                self.asked.remove(job);
                self.end(*job, End::Redirected);
            }
            DispatchEffect::CancelRun { job } => {
                assert!(self.running.contains(job));
                self.to_cancel.insert(*job);
            }
            DispatchEffect::RequestLoad { adapter, waiting, .. } => {
                assert!(*waiting > 0, "a load without demand");
                self.requested.insert(adapter.clone());
            }
            DispatchEffect::CancelLoadRequest { adapter } => {
                self.requested.remove(adapter);
            }
            DispatchEffect::Load { adapter } => {
                self.loads += 1;
                self.loading.insert(adapter.clone());
                let held = self.loaded.union(&self.loading).count();
                assert!(held <= self.slots, "{held} adapters in {} slots", self.slots);
            }
            DispatchEffect::Unload { adapter } => {
                let uses = |job: &JobId| self.jobs[job].adapter.as_ref() == Some(adapter);
                let busy = self
                    .running
                    .union(&self.asked)
                    .any(|job| !self.lost.contains(job) && uses(job));
                assert!(!busy, "{adapter} is unloaded while it is in use");
                self.unloading.insert(adapter.clone());
            }
        }
    }

    fn check_run(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        assert!(!self.asked.contains(&id), "{id:?} runs without a permit");
        assert!(!self.ends.contains_key(&id), "{id:?} runs after its end");
        if let Some(adapter) = &job.adapter {
            assert!(self.loaded.contains(adapter), "{id:?} runs without its adapter");
            assert!(!self.unloading.contains(adapter), "{id:?} runs on a leaving adapter");
        }
        assert!(self.running.insert(id), "{id:?} runs twice at once");
        self.lost.remove(&id);
        self.ran.push(id);
    }
}
