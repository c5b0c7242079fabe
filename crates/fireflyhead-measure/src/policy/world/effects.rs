//! Inputs to the schedulers and the execution of their effects.

use std::time::Duration;

use fireflyhead_core::dispatch::DispatchEffect;
use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::loads::LoadEffect;
use fireflyhead_core::loads::LoadInput;
use fireflyhead_core::placement::Observation;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Time;

use crate::policy::world::CUT_OFF;
use crate::policy::world::Controller;
use crate::policy::world::Event;
use crate::policy::world::HOP;
use crate::policy::world::Model;
use crate::policy::world::World;
use crate::policy::world::request_of;

/// Time between a permit request and its answer.
const PERMIT: Duration = Duration::from_millis(2);
/// One way between an owner and the load scheduler.
const LOAD_HOP: Duration = Duration::from_millis(1);
/// Duration of an unload.
const UNLOAD: Duration = Duration::from_millis(5);

impl World {
    /// Delivers an input to a scheduler and carries out the effects.
    pub(super) fn input(&mut self, up: usize, input: DispatchInput) {
        if let DispatchInput::Submit(job) = &input {
            let missing = job.adapter.as_ref().is_some_and(|key| !self.holds(up, key));
            let request = &mut self.requests[request_of(job.id)];
            request.stalled |= missing;
            request.stalled_since = missing.then_some(self.now);
        }
        let mut effects = Vec::new();
        self.counters.decisions += 1;
        match &mut self.upstreams[up].controller {
            Controller::Core(dispatcher) => dispatcher.handle(self.now, input, &mut effects),
            Controller::Base(base) => base.handle(self.now, input, &mut effects),
        }
        for effect in effects {
            self.effect(up, effect);
        }
        self.plan_tick(up);
    }

    fn plan_tick(&mut self, up: usize) {
        // A tick that is already due must not be delivered at the same time again.
        let earliest = self.now + Duration::from_millis(1);
        let next = self.upstreams[up].controller.next_tick().map(|at| at.max(earliest));
        let planned = self.upstreams[up].tick_at.filter(|at| *at > self.now);
        match (next, planned) {
            (Some(next), Some(planned)) if planned <= next => {}
            (Some(next), _) => {
                self.upstreams[up].tick_at = Some(next);
                self.schedule(next, Event::Tick(up, next));
            }
            (None, _) => self.upstreams[up].tick_at = None,
        }
    }

    pub(super) fn tick(&mut self, up: usize, at: Time) {
        if self.upstreams[up].tick_at == Some(at) {
            self.input(up, DispatchInput::Tick);
        }
    }

    fn effect(&mut self, up: usize, effect: DispatchEffect) {
        match effect {
            DispatchEffect::RequestPermit { job } => {
                let permit = DispatchInput::Permit { job, granted: true };
                self.after(PERMIT, Event::Input(up, permit));
            }
            DispatchEffect::Run { job } => self.run_job(up, job),
            DispatchEffect::Refuse { job, reason, retry_after } => {
                let req = request_of(job);
                self.end_stall(req);
                self.observe(req, up, Observation::Refused);
                self.refused(req, reason, retry_after);
            }
            DispatchEffect::Redirect { job } => {
                let req = request_of(job);
                self.end_stall(req);
                self.observe(req, up, Observation::Redirected);
                self.submit(req);
            }
            DispatchEffect::CancelRun { job } => {
                self.remove_run(up, request_of(job));
                let finished = DispatchInput::Finished { job, result: CUT_OFF };
                self.after(Duration::ZERO, Event::Input(up, finished));
            }
            DispatchEffect::RequestLoad { adapter, rank, waiting } => {
                let owner = self.upstreams[up].name.clone();
                let request = LoadInput::Request { owner, adapter, rank, waiting };
                self.after(LOAD_HOP, Event::LoadRequest(request));
            }
            DispatchEffect::CancelLoadRequest { adapter } => {
                let owner = self.upstreams[up].name.clone();
                self.after(LOAD_HOP, Event::LoadRequest(LoadInput::Cancel { owner, adapter }));
            }
            DispatchEffect::Load { adapter } => self.begin_load(up, adapter),
            DispatchEffect::Unload { adapter } => self.unload(up, adapter),
        }
    }

    fn holds(&self, up: usize, adapter: &AdapterKey) -> bool {
        match &self.upstreams[up].model {
            Model::Engine(engine) => engine.loaded.contains(adapter),
            Model::Service(_) => true,
        }
    }

    fn end_stall(&mut self, req: usize) {
        let now = self.now;
        let request = &mut self.requests[req];
        if let Some(since) = request.stalled_since.take() {
            request.stall += now.since(since);
        }
    }

    fn run_job(&mut self, up: usize, job: JobId) {
        let req = request_of(job);
        self.end_stall(req);
        let waited = self.now.since(self.requests[req].submitted);
        self.observe(req, up, Observation::Delay(waited));
        let request = &mut self.requests[req];
        request.runs += 1;
        let idempotent = self.dep.classes[request.class].idempotent;
        if request.runs > 1 && !idempotent {
            self.counters.violations += 1;
        }
        self.after(HOP, Event::Reach(up, job));
    }

    fn unload(&mut self, up: usize, adapter: AdapterKey) {
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        if engine.uses(&adapter) {
            self.counters.violations += 1;
        }
        engine.loaded.remove(&adapter);
        let done = DispatchInput::UnloadDone { adapter, ok: true };
        self.after(UNLOAD, Event::Input(up, done));
    }

    /// Delivers an input to the load scheduler and its answers to the owners.
    pub(super) fn load_request(&mut self, input: LoadInput) {
        let mut effects = Vec::new();
        self.loads.handle(self.now, input, &mut effects);
        for effect in effects {
            let (owner, input) = match effect {
                LoadEffect::Grant { owner, adapter } => {
                    (owner, DispatchInput::LoadGranted { adapter })
                }
                LoadEffect::Deny { owner, adapter, retry_after } => {
                    (owner, DispatchInput::LoadDenied { adapter, retry_after })
                }
            };
            if let Some(up) = self.upstream_index(&owner) {
                self.after(LOAD_HOP, Event::LoadAnswer(up, input));
            }
        }
        let earliest = self.now + Duration::from_millis(1);
        let next = self.loads.next_tick().map(|at| at.max(earliest));
        match (next, self.load_tick) {
            (Some(next), Some(planned)) if planned <= next && planned > self.now => {}
            (Some(next), _) => {
                self.load_tick = Some(next);
                self.schedule(next, Event::LoadTick(next));
            }
            (None, _) => self.load_tick = None,
        }
    }

    /// An outdated tick does nothing, so that only one is planned at any time.
    pub(super) fn load_tick(&mut self, at: Time) {
        if self.load_tick == Some(at) {
            self.load_request(LoadInput::Tick);
        }
    }
}
