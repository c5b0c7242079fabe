//! Values that several tests build.

use std::collections::HashMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::admission::Addressed;
use fireflyhead_policy::admission::Admission;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::Verdict;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::message::Placed;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::message::ToHolder;
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
    pub(crate) admission: Admission,
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
    pub(crate) fn submit(&mut self, now: Time, job: Job) -> Option<Verdict> {
        let id = job.id;
        let verdict = self.dispatcher.submit(now, job);
        let decided = self.flush(now);
        assert!(decided.iter().all(|(other, _)| *other == id), "only {id:?} was asked about");
        verdict.or_else(|| decided.into_iter().next().map(|(_, verdict)| verdict))
    }

    pub(crate) fn pump(&mut self, now: Time) -> Vec<(JobId, Verdict)> {
        let mut decided = self.dispatcher.pump(now);
        decided.extend(self.flush(now));
        let answers = self.admission.pump(now);
        decided.extend(self.take(now, answers));
        decided.extend(self.flush(now));
        decided
    }

    pub(crate) fn usage(&mut self, now: Time, engine: &str) -> HashMap<Name, u32> {
        self.flush(now);
        self.admission.usage(engine)
    }

    pub(crate) fn place(&mut self, placement: &Placement) {
        self.dispatcher.placement(ms(0), &Name::from(NODE), placement);
    }

    /// Passes messages between the two until there are none.
    fn flush(&mut self, now: Time) -> Vec<(JobId, Verdict)> {
        let mut decided = Vec::new();
        loop {
            let outbox = self.dispatcher.outbox();
            if outbox.is_empty() {
                return decided;
            }
            for (holder, message) in outbox {
                assert_eq!(holder.as_str(), NODE);
                let answers = match message {
                    ToHolder::Ask(ask) => vec![self.admission.ask(now, &holder, &ask)],
                    ToHolder::Progress(progress) => {
                        self.admission.progress(now, &holder, &progress);
                        Vec::new()
                    }
                };
                decided.extend(self.take(now, answers));
            }
        }
    }

    fn take(&mut self, now: Time, answers: Vec<Addressed>) -> Vec<(JobId, Verdict)> {
        let dispatcher = &mut self.dispatcher;
        answers
            .into_iter()
            .filter_map(|Addressed { node, answer }| dispatcher.answered(now, &node, answer))
            .collect()
    }
}

/// Node in `zone-1` with `engines` engines in its custody and `desks` plain upstreams.
pub(crate) fn node(engines: usize, desks: usize) -> Node {
    let settings = DispatchSettings { zone: Name::from("zone-1"), ..DispatchSettings::default() };
    let mut node = Node { dispatcher: Dispatcher::new(settings), admission: Admission::default() };
    for n in 0..engines {
        let entry = entry(&format!("engine-{n}"), ENGINES, 64);
        node.listed(&Arc::new(entry));
        node.admission.hold(&Name::from(format!("engine-{n}")), 64, 1);
        place(&mut node, &format!("engine-{n}"), &[]);
    }
    for n in 0..desks {
        node.listed(&Arc::new(entry(&format!("desk-{n}"), DESK, 6)));
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
        born: 1,
        fence: 1,
        open: true,
        adapters: adapters
            .iter()
            .map(|adapter| Placed { adapter: Name::from(*adapter), version, ready: true })
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
        leaves: now + Duration::from_secs(4),
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
        leaves: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(4),
        prompt_tokens: 0,
        output_tokens: 0,
        tried: Vec::new(),
    }
}
