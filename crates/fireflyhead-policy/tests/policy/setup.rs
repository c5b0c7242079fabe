//! Fixtures that several test modules share.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::accounts::KeyDigest;
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

/// Name of the node under test.
pub(crate) const NODE_ID: &str = "node-1";
/// Base model of all engines.
pub(crate) const MODEL: &str = "base";
/// Service whose upstreams are engines.
pub(crate) const ENGINE_SERVICE: &str = "models";
/// Service whose upstreams are not engines.
pub(crate) const PLAIN_SERVICE: &str = "desk";

/// Returns the time `millis` milliseconds after the start of the clock.
pub(crate) fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns the entry of a ready upstream in `zone-1`.
pub(crate) fn upstream_entry(id: &str, service: &str, slots: u32) -> UpstreamEntry {
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

/// Returns an account with these keys, the priority of the route and no limit.
pub(crate) fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        name: Name::from(name),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: None,
        quota: None,
    }
}

/// Node that is the holder of all engines: its dispatcher and its admission controller, with the
/// messages between the two delivered at once.
pub(crate) struct TestNode {
    dispatcher: Dispatcher,
    pub(crate) admission: AdmissionController,
}

impl Deref for TestNode {
    type Target = Dispatcher;

    fn deref(&self) -> &Dispatcher {
        &self.dispatcher
    }
}

impl DerefMut for TestNode {
    fn deref_mut(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }
}

impl TestNode {
    /// Submits `job` and returns the decision on it, if it is decided at once.
    pub(crate) fn submit(&mut self, now: Time, job: Job) -> Option<DispatchDecision> {
        let id = job.id;
        let decision = self.dispatcher.submit(now, job);
        let decided = self.deliver_messages(now);
        assert!(
            decided.iter().all(|(other, _)| *other == id),
            "decision on a request other than {id:?}"
        );
        decision.or_else(|| decided.into_iter().next().map(|(_, decision)| decision))
    }

    /// Runs one pass of the dispatcher and one of the admission controller.
    pub(crate) fn dispatch_waiting(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decided = self.dispatcher.dispatch_waiting(now);
        decided.extend(self.deliver_messages(now));
        let responses = self.admission.admit_waiting(now);
        decided.extend(self.deliver_responses(now, responses));
        decided.extend(self.deliver_messages(now));
        decided
    }

    /// Returns the number of requests for each adapter of `engine`.
    pub(crate) fn adapter_usage(&mut self, now: Time, engine: &str) -> BTreeMap<Name, u32> {
        self.deliver_messages(now);
        self.admission.adapter_usage(engine)
    }

    /// Applies a placement that this node reports as the holder.
    pub(crate) fn apply_placement(&mut self, placement: &Placement) {
        self.dispatcher.apply_placement(ms(0), &Name::from(NODE_ID), placement);
    }

    /// Delivers the dispatcher's messages to the admission controller, and its responses back,
    /// until there are none. Returns the decisions that follow.
    fn deliver_messages(&mut self, now: Time) -> Vec<(JobId, DispatchDecision)> {
        let mut decided = Vec::new();
        loop {
            let outbox = self.dispatcher.take_holder_messages();
            if outbox.is_empty() {
                return decided;
            }
            for (holder, message) in outbox {
                assert_eq!(holder.as_str(), NODE_ID);
                let responses = match message {
                    HolderMessage::AdmissionRequest(request) => {
                        vec![self.admission.handle_request(now, &holder, &request)]
                    }
                    HolderMessage::ProgressReport(report) => {
                        self.admission.handle_progress(now, &holder, &report);
                        Vec::new()
                    }
                };
                decided.extend(self.deliver_responses(now, responses));
            }
        }
    }

    /// Delivers `responses` to the dispatcher and returns the decisions that follow.
    fn deliver_responses(
        &mut self,
        now: Time,
        responses: Vec<AddressedResponse>,
    ) -> Vec<(JobId, DispatchDecision)> {
        let dispatcher = &mut self.dispatcher;
        responses
            .into_iter()
            .filter_map(|AddressedResponse { node, response }| {
                dispatcher.handle_admission_response(now, &node, response)
            })
            .collect()
    }
}

/// Returns a node in `zone-1` that is the holder of `engines` engines without adapters and knows
/// `plain_upstreams` plain upstreams.
pub(crate) fn test_node(engines: usize, plain_upstreams: usize) -> TestNode {
    let settings = DispatchSettings { zone: Name::from("zone-1"), ..DispatchSettings::default() };
    let mut node = TestNode {
        dispatcher: Dispatcher::new(settings),
        admission: AdmissionController::default(),
    };
    for n in 0..engines {
        let entry = upstream_entry(&format!("engine-{n}"), ENGINE_SERVICE, 64);
        node.upsert_upstream(&Arc::new(entry));
        node.admission.upsert_engine(&Name::from(format!("engine-{n}")), 64, 1);
        place_adapters(&mut node, &format!("engine-{n}"), &[]);
    }
    for n in 0..plain_upstreams {
        node.upsert_upstream(&Arc::new(upstream_entry(&format!("desk-{n}"), PLAIN_SERVICE, 6)));
    }
    node
}

/// Applies a placement in which `engine` has `adapters`, all at version 1 and ready.
pub(crate) fn place_adapters(node: &mut TestNode, engine: &str, adapters: &[&str]) {
    node.apply_placement(&placement(engine, adapters, 1));
}

/// Returns the placement of an engine that has `adapters`, all at `version` and ready.
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

/// Returns a request for an adapter with an objective of 1 s and a deadline of 15 s, whose caller
/// leaves after 4 s without output.
pub(crate) fn adapter_job(id: u64, now: Time, adapter: &str, prompt_tokens: u32) -> Job {
    Job {
        id: JobId(id),
        route: Name::from("draft"),
        weight: 1.0,
        floor: 0.0,
        service: Name::from(ENGINE_SERVICE),
        model: Some(ModelRef { model: Name::from(MODEL), adapter: Some(Name::from(adapter)) }),
        priority: 1,
        arrived: now,
        objective: now + Duration::from_secs(1),
        first_output_deadline: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(15),
        prompt_tokens,
        output_tokens: 170,
        tried: Vec::new(),
        possibly_executed: false,
        give_up: None,
    }
}

/// Returns a request for the plain service with an objective of 300 ms and a deadline of 4 s.
pub(crate) fn plain_job(id: u64, now: Time, priority: u8) -> Job {
    Job {
        id: JobId(id),
        route: Name::from(format!("order-{priority}")),
        weight: 1.0,
        floor: 0.0,
        service: Name::from(PLAIN_SERVICE),
        model: None,
        priority,
        arrived: now,
        objective: now + Duration::from_millis(300),
        first_output_deadline: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(4),
        prompt_tokens: 0,
        output_tokens: 0,
        tried: Vec::new(),
        possibly_executed: false,
        give_up: None,
    }
}
