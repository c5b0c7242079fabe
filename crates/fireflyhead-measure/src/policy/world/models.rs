//! Engines, plain services and the weight store of a run.

use std::time::Duration;

use rand::Rng;

use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::loads::LoadInput;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Time;

use crate::policy::deployment::LOAD_TIME;
use crate::policy::deployment::MAX_LOADS_IN_FLIGHT;
use crate::policy::deployment::SLOTS;
use crate::policy::engine::EngineModel;
use crate::policy::engine::Run;
use crate::policy::scenario::EVENT_AT;
use crate::policy::scenario::MEASURE_UNTIL;
use crate::policy::service::ServiceModel;
use crate::policy::world::ATTEMPT_BITS;
use crate::policy::world::DOWN;
use crate::policy::world::Event;
use crate::policy::world::Model;
use crate::policy::world::NOTICE;
use crate::policy::world::State;
use crate::policy::world::World;
use crate::policy::world::request_of;
use crate::policy::world::secs;

impl World {
    /// A job reaches its upstream.
    pub(super) fn reach(&mut self, up: usize, job: JobId) {
        let req = request_of(job);
        let rank = self.dep.classes[self.requests[req].class].rank;
        match &mut self.upstreams[up].model {
            Model::Engine(engine) => {
                let Some(adapter) = self.requests[req].adapter.clone() else { return };
                if !engine.loaded.contains(&adapter) && !engine.down {
                    self.counters.violations += 1;
                }
                let left = (self.requests[req].work as u32).max(1);
                engine.push(Run { req, rank, adapter, left, unreported: 0, started: false });
                let boot = engine.boot;
                if !engine.stepping {
                    self.next_step(up, boot);
                }
            }
            Model::Service(service) => {
                service.waiting.push_back(req);
                self.start_services(up);
            }
        }
    }

    fn next_step(&mut self, up: usize, boot: u64) {
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        let Some(duration) = engine.begin_step() else { return };
        let batch = engine.batch.len() as u64;
        if self.in_window() {
            self.counters.steps += 1;
            self.counters.batch_sum += batch;
        }
        self.after(duration, Event::Step(up, boot));
    }

    /// One step of an engine ends: each request of the batch has one more token.
    pub(super) fn step(&mut self, up: usize, boot: u64) {
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        if engine.boot != boot {
            return;
        }
        let (mut started, mut progressed, mut ended) = (Vec::new(), Vec::new(), Vec::new());
        for run in &mut engine.batch {
            run.left -= 1;
            run.unreported += 1;
            if !run.started {
                run.started = true;
                started.push(run.req);
            }
            if run.left == 0 {
                ended.push(run.req);
            } else if run.unreported >= EngineModel::REPORT_TOKENS {
                progressed.push((run.req, run.unreported));
                run.unreported = 0;
            }
        }
        engine.batch.retain(|run| run.left > 0);
        self.next_step(up, boot);
        for req in started {
            self.started(up, req);
        }
        for (req, tokens) in progressed {
            let job = self.job(req);
            self.input(up, DispatchInput::Progress { job, tokens });
        }
        for req in ended {
            self.answered(up, req);
        }
    }

    /// Id of the request's current attempt.
    fn job(&self, req: usize) -> JobId {
        let attempt = self.requests[req].attempt & ((1 << ATTEMPT_BITS) - 1);
        JobId((req as u64) << ATTEMPT_BITS | attempt)
    }

    fn started(&mut self, up: usize, req: usize) {
        let now = self.now;
        self.requests[req].first.get_or_insert(now);
        let job = self.job(req);
        self.input(up, DispatchInput::Started { job });
    }

    fn answered(&mut self, up: usize, req: usize) {
        self.release(req);
        self.requests[req].state = State::Answered;
        self.requests[req].ended = self.now;
        let job = self.job(req);
        self.input(up, DispatchInput::Finished { job, result: RunResult::Ok });
    }

    fn start_services(&mut self, up: usize) {
        loop {
            let Model::Service(service) = &mut self.upstreams[up].model else { return };
            if service.running.len() >= ServiceModel::CONCURRENCY {
                return;
            }
            let Some(req) = service.waiting.pop_front() else { return };
            let run = self.requests[req].runs;
            service.running.insert(req, run);
            let duration = Duration::from_secs_f64(self.requests[req].work / 1e3);
            self.after(duration, Event::ServiceEnd(up, req, run));
        }
    }

    pub(super) fn service_end(&mut self, up: usize, req: usize, run: u32) {
        let Model::Service(service) = &mut self.upstreams[up].model else { return };
        if service.running.get(&req) != Some(&run) {
            return;
        }
        service.running.remove(&req);
        self.start_services(up);
        self.started(up, req);
        self.answered(up, req);
    }

    /// Removes a request from its upstream without an answer.
    pub(super) fn remove_run(&mut self, up: usize, req: usize) {
        match &mut self.upstreams[up].model {
            Model::Engine(engine) => engine.remove(req),
            Model::Service(service) => {
                service.running.remove(&req);
                service.waiting.retain(|waiting| *waiting != req);
            }
        }
    }

    /// The engine fetches weights: slower in proportion beyond the weight store's limit.
    pub(super) fn begin_load(&mut self, up: usize, adapter: AdapterKey) {
        self.loads_in_flight += 1;
        let in_flight = self.loads_in_flight;
        self.counters.max_loads_in_flight = self.counters.max_loads_in_flight.max(in_flight);
        self.counters.load_orders.push(self.now);
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        engine.loading += 1;
        let boot = engine.boot;
        let slowdown = (in_flight as f64 / MAX_LOADS_IN_FLIGHT as f64).max(1.0);
        self.after(LOAD_TIME.mul_f64(slowdown), Event::LoadEnd(up, adapter, boot));
    }

    pub(super) fn load_end(&mut self, up: usize, adapter: AdapterKey, boot: u64) {
        self.loads_in_flight -= 1;
        let failing = self.scenario.load_failures > 0.0 && self.now >= secs(EVENT_AT);
        let failed = failing && self.rng.random_bool(self.scenario.load_failures);
        let window = self.in_window();
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        let current = engine.boot == boot;
        if current {
            engine.loading -= 1;
        }
        let ok = current && !failed && engine.loaded.len() < SLOTS;
        if ok {
            engine.loaded.insert(adapter.clone());
        }
        if window {
            self.counters.loads += 1;
            self.counters.failed_loads += u64::from(!ok);
        }
        let owner = self.upstreams[up].name.clone();
        self.load_request(LoadInput::Done { owner, adapter: adapter.clone(), ok });
        self.input(up, DispatchInput::LoadDone { adapter, ok });
    }

    /// The engine loses its adapters and its requests; its owner notices a little later.
    pub(super) fn restart(&mut self, up: usize) {
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        let boot = engine.boot + 1;
        *engine = EngineModel { boot, down: true, ..EngineModel::default() };
        let report = self.report(up);
        self.after(NOTICE, Event::Input(up, DispatchInput::Report(report)));
        self.after(DOWN, Event::Up(up));
    }

    pub(super) fn engine_up(&mut self, up: usize) {
        let Model::Engine(engine) = &mut self.upstreams[up].model else { return };
        engine.down = false;
        let boot = engine.boot;
        if !engine.stepping {
            self.next_step(up, boot);
        }
    }

    /// Whether a request that arrived at `at` counts.
    pub fn counts(at: Time) -> bool {
        at >= secs(EVENT_AT) && at < secs(MEASURE_UNTIL)
    }
}
