//! Entries of a run: limits, placement, refusals and retries.

use std::time::Duration;

use rand::Rng;

use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::limits::Attempt;
use fireflyhead_core::limits::LimitRefusal;
use fireflyhead_core::placement::Observation;
use fireflyhead_core::placement::PlaceRequest;
use fireflyhead_core::table::Policy;
use fireflyhead_core::types::Job;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::RefuseReason;

use crate::policy::engine::EngineModel;
use crate::policy::scenario::ARRIVALS_UNTIL;
use crate::policy::workload::MAX_RETRIES;
use crate::policy::world::ATTEMPT_BITS;
use crate::policy::world::Event;
use crate::policy::world::HOP;
use crate::policy::world::MAX_UPSTREAMS;
use crate::policy::world::PolicyKind;
use crate::policy::world::State;
use crate::policy::world::Upstream;
use crate::policy::world::World;
use crate::policy::world::secs;

impl World {
    /// A caller sends the request to a random entry, which places it.
    pub(super) fn attempt(&mut self, req: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.requests[req].entry = entry;
        if let Err(refusal) = self.admit(req, entry) {
            return self.refused(req, refusal.reason, refusal.retry_after);
        }
        let class = &self.dep.classes[self.requests[req].class];
        let place = PlaceRequest {
            service: self.services[usize::from(class.engine)].clone(),
            adapter: self.requests[req].adapter.clone(),
            rank: class.rank,
            prefix: None,
        };
        let mut candidates = match self.policy {
            PolicyKind::Fifo => vec![self.least_loaded(class.engine)],
            PolicyKind::Core | PolicyKind::Strict => {
                let names = self.entries[entry].choose(self.now, &place);
                names.iter().filter_map(|name| self.upstream_index(name)).collect()
            }
        };
        candidates.truncate(MAX_UPSTREAMS);
        candidates.reverse();
        self.requests[req].candidates = candidates;
        self.submit(req);
    }

    /// Applies the limits of the table row at the entry; the baselines have none.
    pub(super) fn admit(&mut self, req: usize, entry: usize) -> Result<(), LimitRefusal> {
        if self.policy != PolicyKind::Core {
            return Ok(());
        }
        let request = &self.requests[req];
        let attempt = match request.retry || request.refusals > 0 {
            true => Attempt::CallerRetry,
            false => Attempt::Fresh,
        };
        let policy = self.policy_of(req).clone();
        self.limits[entry].admit(self.now, &policy, attempt)?;
        self.requests[req].admitted = true;
        Ok(())
    }

    /// The entry no longer counts the request as running.
    pub(super) fn release(&mut self, req: usize) {
        if std::mem::take(&mut self.requests[req].admitted) {
            let row = self.policy_of(req).row;
            self.limits[self.requests[req].entry].release(row);
        }
    }

    pub(super) fn policy_of(&self, req: usize) -> &Policy {
        let request = &self.requests[req];
        match request.row {
            Some(adapter) => &self.adapter_policies[adapter],
            None => &self.class_policies[request.class],
        }
    }

    /// Sends the request to the next upstream of this attempt.
    pub(super) fn submit(&mut self, req: usize) {
        let Some(up) = self.requests[req].candidates.pop() else {
            return self.refused(req, RefuseReason::NoUpstream, Duration::from_secs(1));
        };
        let class = &self.dep.classes[self.requests[req].class];
        let deadline = Duration::from_millis(class.deadline_ms);
        let (rank, idempotent, engine) = (class.rank, class.idempotent, class.engine);
        let output_tokens = if engine { class.work as u32 } else { 0 };
        let row_id = self.policy_of(req).row;
        let request = &mut self.requests[req];
        request.attempt += 1;
        request.submitted = self.now;
        let id = (req as u64) << ATTEMPT_BITS | (request.attempt & ((1 << ATTEMPT_BITS) - 1));
        let job = Job {
            id: JobId(id),
            row: row_id,
            rank,
            adapter: request.adapter.clone(),
            prompt_tokens: if engine { EngineModel::PROMPT_TOKENS as u32 } else { 0 },
            output_tokens,
            deadline,
            retry: request.retry || request.refusals > 0,
            idempotent,
        };
        self.after(HOP, Event::Input(up, DispatchInput::Submit(job)));
    }

    pub(super) fn refused(&mut self, req: usize, reason: RefuseReason, retry_after: Duration) {
        self.release(req);
        let request = &mut self.requests[req];
        request.refusals += 1;
        if request.refusals > MAX_RETRIES || self.now > secs(ARRIVALS_UNTIL) {
            request.state = State::Refused(reason);
            request.ended = self.now;
            return;
        }
        self.after(retry_after.max(Duration::from_millis(1)), Event::Retry(req));
    }

    /// Upstream of the service with the fewest requests, by exact counts.
    pub(super) fn least_loaded(&self, engine: bool) -> usize {
        let load = |up: &Upstream| {
            let advert = up.controller.advert(self.now);
            advert.in_flight + advert.queued
        };
        let ups = self.upstreams.iter().enumerate().filter(|(_, up)| up.engine == engine);
        ups.min_by_key(|(_, up)| load(up)).map_or(0, |(i, _)| i)
    }

    pub(super) fn observe(&mut self, req: usize, up: usize, seen: Observation) {
        let request = &self.requests[req];
        let entry = &mut self.entries[request.entry];
        entry.observe(self.now, &self.upstreams[up].name, request.adapter.as_ref(), seen);
    }
}
