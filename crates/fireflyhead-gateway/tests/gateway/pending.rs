//! Requests whose callers disconnect before the request is sent to an upstream.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_gateway::clock;
use fireflyhead_gateway::metrics::Metrics;
use fireflyhead_gateway::settings::GatewaySettings;
use fireflyhead_gateway::state::Shared;
use fireflyhead_platform::Platform;
use fireflyhead_policy::Name;
use fireflyhead_policy::budget::RetryBudget;
use fireflyhead_policy::budget::RetryBudgetSettings;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;

pub(crate) fn shared_state() -> Arc<Shared> {
    Arc::new(Shared::new(
        GatewaySettings::default(),
        Arc::new(Platform),
        Arc::new(Metrics::new()),
        Dispatcher::new(DispatchSettings::default()),
        RetryBudget::new(RetryBudgetSettings::default()),
    ))
}

fn job(shared: &Shared) -> Job {
    let now = clock::now();
    Job {
        id: shared.new_job_id(),
        route: Name::from("order"),
        weight: 1.0,
        floor: 0.0,
        service: Name::from("desk"),
        model: None,
        priority: 1,
        arrived: now,
        objective: now + Duration::from_secs(1),
        first_output_deadline: now + Duration::from_secs(20),
        deadline: now + Duration::from_secs(20),
        prompt_tokens: 0,
        output_tokens: 0,
        tried: Vec::new(),
        possibly_executed: false,
        give_up: None,
    }
}

fn add_upstream(shared: &Shared) {
    let entry = UpstreamEntry {
        id: Name::from("desk-1"),
        service: Name::from("desk"),
        address: "127.0.0.1:9".parse().expect("valid address"),
        zone: Name::from("zone-1"),
        slots: 6,
        state: UpstreamState::Ready,
        incarnation: 1,
        models: Vec::new(),
        adapters: Vec::new(),
    };
    shared.dispatcher().upsert_upstream(&Arc::new(entry));
}

/// Guards against leaks in the queue and of slots at upstreams: the caller disconnects before an
/// upstream is selected for the request, or after that but before anything is sent.
#[test]
fn dropped_pending_job_leaves_queue_and_frees_slot() {
    let shared = shared_state();
    let waiting = shared.submit(clock::now(), job(&shared));
    assert_eq!(shared.dispatcher().waiting(), 1);
    drop(waiting);
    assert_eq!(shared.dispatcher().waiting(), 0);

    let selected = shared.submit(clock::now(), job(&shared));
    add_upstream(&shared);
    shared.dispatch_waiting(clock::now());
    assert_eq!(shared.dispatcher().in_flight(), 1);
    drop(selected);
    assert_eq!(shared.dispatcher().in_flight(), 0);
}
