//! Values that several tests build.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dialect::ModelRef;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::message::Placed;
use fireflyhead_policy::message::Placement;

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
        born: 1,
        models: vec![(Name::from(MODEL), 1)],
        adapters: Vec::new(),
    }
}

/// Dispatcher of a node in `zone-1` with `engines` engines and `desks` plain upstreams.
pub(crate) fn dispatcher(engines: usize, desks: usize) -> Dispatcher {
    let settings = DispatchSettings { zone: Name::from("zone-1"), ..DispatchSettings::default() };
    let mut dispatcher = Dispatcher::new(settings);
    for n in 0..engines {
        dispatcher.listed(&Arc::new(entry(&format!("engine-{n}"), ENGINES, 64)));
        place(&mut dispatcher, &format!("engine-{n}"), &[]);
    }
    for n in 0..desks {
        dispatcher.listed(&Arc::new(entry(&format!("desk-{n}"), DESK, 6)));
    }
    dispatcher
}

/// States that an engine holds `adapters`, all at version 1 and ready.
pub(crate) fn place(dispatcher: &mut Dispatcher, engine: &str, adapters: &[&str]) {
    dispatcher.placement(&placement(engine, adapters, 1));
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

/// Request for an adapter with an objective of 1 s and a deadline of 15 s.
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
        deadline: now + Duration::from_secs(4),
        prompt_tokens: 0,
        output_tokens: 0,
        tried: Vec::new(),
    }
}
