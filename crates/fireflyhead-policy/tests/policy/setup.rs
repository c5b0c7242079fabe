//! Values that several tests build.

use std::collections::HashMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::AddressedResponse;
use fireflyhead_policy::admission::AdmissionController;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::message::HolderMessage;
use fireflyhead_policy::message::PlacedAdapter;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::protocol::ModelRef;

pub(crate) const NODE: &str = "node-1";
pub(crate) const MODEL: &str = "base";
pub(crate) const ENGINES: &str = "models";
pub(crate) const DESK: &str = "desk";

pub(crate) fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) fn entry(id: &str, service: &str, slots: u32) -> UpstreamEntry {
    UpstreamEntry {
        id: Name::from(id),
        service: Name::from(service),
        address: "127.0.0.1:9000".parse().expect("a socket address"),
        zone: Name::from("zone-1"),
        slots,
        state: UpstreamState::Ready,
        incarnation: 1,
        models: vec![(Name::from(MODEL), 1)],
        adapters: Vec::new(),
    }
}

/// Node that has custody of all engines: its decisions on requests and on admission.
pub(crate) struct Node {
    dispatcher: Dispatcher,
    pub(crate) admission: AdmissionController,
}

impl Deref for Node {
    type Target = Dispatcher;

    fn deref(&self) -> &Dispatcher {
        &self.dispatcher
    }
}

impl DerefMut for Node {
    fn deref_mut(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }
}

impl Node {
    pub(crate) fn submit(&mut self, now: Time, job: Job) -> Option<DispatchDecision> {
        let id = job.id;
        let verdict = self.dispatcher.submit(now, job);
        let decided = self.flush(now);
        assert!(decided.iter().all(|(other, _)| *other == id), "only {id:?} was asked about");
        verdict.or_else(|| decided.into_iter().next().map(|(_, verdict)| verdict))
    }

    pub(crate) fn pump(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decided = self.dispatcher.dispatch_waiting(now);
        decided.extend(self.flush(now));
        let answers = self.admission.admit_waiting(now);
        decided.extend(self.take(now, answers));
        decided.extend(self.flush(now));
        decided
    }

    pub(crate) fn usage(&mut self, now: Time, engine: &str) -> HashMap<Name, u32> {
        self.flush(now);
        self.admission.adapter_usage(engine)
    }

    pub(crate) fn place(&mut self, placement: &Placement) {
        self.dispatcher.apply_placement(ms(0), &Name::from(NODE), placement);
    }

    /// Passes messages between the two until there are none.
    fn flush(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decided = Vec::new();
        loop {
            let outbox = self.dispatcher.take_holder_messages();
            if outbox.is_empty() {
                return decided;
            }
            for (holder, message) in outbox {
                assert_eq!(holder.as_str(), NODE);
                let answers = match message {
                    HolderMessage::AdmissionRequest(ask) => {
                        vec![self.admission.handle_request(now, &holder, &ask)]
                    }
                    HolderMessage::ProgressReport(progress) => {
                        self.admission.handle_progress(now, &holder, &progress);
                        Vec::new()
                    }
                };
                decided.extend(self.take(now, answers));
            }
        }
    }

    fn take(
        &mut self,
        now: Time,
        answers: Vec<AddressedResponse>,
    ) -> Vec<(JobId, DispatchDecision)> {
        let dispatcher = &mut self.dispatcher;
        answers
            .into_iter()
            .filter_map(|AddressedResponse { node, response: answer }| {
                dispatcher.handle_admission_response(now, &node, answer)
            })
            .collect()
    }
}

/// Node in `zone-1` with `engines` engines in its custody and `desks` plain upstreams.
pub(crate) fn node(engines: usize, desks: usize) -> Node {
    let settings = DispatchSettings { zone: Name::from("zone-1"), ..DispatchSettings::default() };
    let mut node =
        Node { dispatcher: Dispatcher::new(settings), admission: AdmissionController::default() };
    for n in 0..engines {
        let entry = entry(&format!("engine-{n}"), ENGINES, 64);
        node.upsert_upstream(&Arc::new(entry));
        node.admission.open_engine(&Name::from(format!("engine-{n}")), 64, 1);
        place(&mut node, &format!("engine-{n}"), &[]);
    }
    for n in 0..desks {
        node.upsert_upstream(&Arc::new(entry(&format!("desk-{n}"), DESK, 6)));
    }
    node
}

/// States that an engine holds `adapters`, all at version 1 and ready.
pub(crate) fn place(node: &mut Node, engine: &str, adapters: &[&str]) {
    node.place(&placement(engine, adapters, 1));
}

pub(crate) fn placement(engine: &str, adapters: &[&str], version: u64) -> Placement {
    Placement {
        upstream: Name::from(engine),
        model: Name::from(MODEL),
        incarnation: 1,
        fencing_token: 1,
        holder_active: true,
        adapters: adapters
            .iter()
            .map(|adapter| PlacedAdapter { adapter: Name::from(*adapter), version, ready: true })
            .collect(),
    }
}

/// Request for an adapter with an objective of 1 s and a deadline of 15 s, whose caller leaves
/// after 4 s without output.
pub(crate) fn job(id: u64, now: Time, adapter: &str, prompt_tokens: u32) -> Job {
    Job {
        id: JobId(id),
        route: Name::from("draft"),
        weight: 1.0,
        floor: 0.0,
        service: Name::from(ENGINES),
        model: Some(ModelRef { model: Name::from(MODEL), adapter: Some(Name::from(adapter)) }),
        priority: 1,
        arrived: now,
        objective: now + Duration::from_secs(1),
        first_output_deadline: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(15),
        prompt_tokens,
        output_tokens: 170,
        tried: Vec::new(),
    }
}

/// Request for the plain service with an objective of 300 ms and a deadline of 4 s.
pub(crate) fn order(id: u64, now: Time, priority: u8) -> Job {
    Job {
        id: JobId(id),
        route: Name::from(format!("order-{priority}")),
        weight: 1.0,
        floor: 0.0,
        service: Name::from(DESK),
        model: None,
        priority,
        arrived: now,
        objective: now + Duration::from_millis(300),
        first_output_deadline: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(4),
        prompt_tokens: 0,
        output_tokens: 0,
        tried: Vec::new(),
    }
}
