//! Benchmarks of the dispatcher, by the number of engines, and of the encoding of heartbeats.
//!
//! `cargo bench -p fireflyhead-policy` also prints the encoded size of the heartbeats.
//!
//! Recorded results refer to the benchmark ids and to the printed line, so their wording stays.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::DispatchSettings;
use fireflyhead_policy::dispatch::Dispatcher;
use fireflyhead_policy::dispatch::Job;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::message::Heartbeat;
use fireflyhead_policy::message::NodeState;
use fireflyhead_policy::message::PlacedAdapter;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::message::UpstreamLoad;
use fireflyhead_policy::protocol::LoadReport;
use fireflyhead_policy::protocol::ModelRef;
use fireflyhead_schema::codec;
use fireflyhead_schema::messages as wire;

/// Adapter slots of an engine.
const ADAPTER_SLOTS: usize = 18;

/// Returns the placement of engine `n`, all of whose adapter slots are occupied.
fn placement(n: usize) -> Placement {
    Placement {
        upstream: Name::from(format!("i-{n:010}")),
        model: Name::from("base"),
        incarnation: 1,
        fencing_token: 1,
        holder_active: true,
        adapters: (0..ADAPTER_SLOTS)
            .map(|slot| PlacedAdapter {
                adapter: Name::from(format!("a{}", n * ADAPTER_SLOTS + slot)),
                version: 1,
                ready: true,
            })
            .collect(),
    }
}

/// Returns a dispatcher that knows `engines` engines with their placements.
fn dispatcher(engines: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default());
    for n in 0..engines {
        let entry = UpstreamEntry {
            id: Name::from(format!("i-{n:010}")),
            service: Name::from("models"),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: Name::from("zone-1"),
            slots: 64,
            state: UpstreamState::Ready,
            incarnation: 1,
            models: Vec::new(),
            adapters: Vec::new(),
        };
        dispatcher.upsert_upstream(&Arc::new(entry));
        dispatcher.apply_placement(Time::default(), &Name::from("node-1"), &placement(n));
    }
    dispatcher
}

/// Returns a request for `adapter`.
fn job(id: u64, adapter: &str) -> Job {
    let now = Time::from_millis(1_000);
    Job {
        id: JobId(id),
        route: Name::from("draft"),
        weight: 1.0,
        floor: 0.05,
        service: Name::from("models"),
        model: Some(ModelRef { model: Name::from("base"), adapter: Some(Name::from(adapter)) }),
        priority: 1,
        arrived: now,
        objective: now + Duration::from_secs(1),
        first_output_deadline: now + Duration::from_secs(15),
        deadline: now + Duration::from_secs(15),
        prompt_tokens: 500,
        output_tokens: 100,
        tried: Vec::new(),
        possibly_executed: false,
        give_up: None,
    }
}

fn bench_decisions(c: &mut Criterion) {
    let now = Time::from_millis(1_000);
    let mut group = c.benchmark_group("decision");
    for engines in [18, 60, 555, 1_700] {
        let mut dispatcher = dispatcher(engines);
        let mut id = 0;
        group.bench_function(BenchmarkId::new("held adapter", engines), |b| {
            b.iter(|| {
                id += 1;
                black_box(dispatcher.submit(now, job(id, "a7")));
                dispatcher.record_outcome(now, JobId(id), SendOutcome::Abandoned);
            });
        });
        group.bench_function(BenchmarkId::new("absent adapter", engines), |b| {
            b.iter(|| {
                id += 1;
                black_box(dispatcher.submit(now, job(id, "absent")));
                dispatcher.cancel(JobId(id));
            });
        });
    }
    group.finish();
    let mut group = c.benchmark_group("decision with reported speeds");
    for engines in [18, 1_700] {
        let mut dispatcher = dispatcher(engines);
        for n in 0..engines {
            let load = LoadReport { pace: Some([60, 100, 160][n % 3]), ..LoadReport::default() };
            dispatcher.record_load_report(now, &format!("i-{n:010}"), load);
        }
        dispatcher.take_holder_messages();
        let mut id = 0;
        for adapter in ["a7", "absent"] {
            group.bench_function(BenchmarkId::new(adapter, engines), |b| {
                b.iter(|| {
                    id += 1;
                    black_box(dispatcher.submit(now, job(id, adapter)));
                    dispatcher.record_outcome(now, JobId(id), SendOutcome::Abandoned);
                    dispatcher.cancel(JobId(id));
                });
            });
        }
        group.bench_function(BenchmarkId::new("first request for an adapter", engines), |b| {
            b.iter(|| {
                id += 1;
                black_box(dispatcher.submit(now, job(id, &format!("new{id}"))));
                dispatcher.cancel(JobId(id));
            });
        });
    }
    group.finish();
    c.bench_function("pass over 2,000 waiting", |b| {
        b.iter_batched_ref(
            || {
                let mut dispatcher = dispatcher(60);
                for id in 0..2_000 {
                    dispatcher.submit(now, job(id, &format!("absent{}", id % 500)));
                }
                dispatcher
            },
            |dispatcher| black_box(dispatcher.dispatch_waiting(now)),
            BatchSize::LargeInput,
        );
    });
}

/// Returns the heartbeat of a node that is the holder of `engines` engines and reports the load of
/// `loads` upstreams.
fn heartbeat(engines: usize, loads: usize) -> Datagram {
    let address = "10.1.0.1:7380".parse().expect("an address");
    let load = |n: usize| UpstreamLoad {
        upstream: Name::from(format!("i-{n:010}")),
        in_flight: 2,
        pending_prompt_tokens: 700,
        adapters: vec![(Name::from("a1234"), 1), (Name::from("a4321"), 1)],
        ..UpstreamLoad::default()
    };
    Datagram::Heartbeat(Box::new(Heartbeat {
        node: Name::from("edge-zone-a-1"),
        incarnation: 1_773_335_973_543,
        seq: 1_000,
        zone: Name::from("zone-a"),
        caller_address: address,
        peer_address: address,
        state: NodeState::Ready,
        capacity: 250,
        adapter_loads_in_progress: 1,
        upstream_loads: (0..loads).map(load).collect(),
        placements: Some((0..engines).map(placement).collect()),
        activity: None,
    }))
}

fn bench_heartbeats(c: &mut Criterion) {
    for (name, engines, loads) in [("9 nodes", 2, 18), ("79 nodes", 1, 10), ("330 nodes", 6, 60)] {
        let datagram = heartbeat(engines, loads);
        let bytes =
            codec::encode(&wire::Datagram::from(&datagram)).expect("the heartbeat can be encoded");
        println!("beat of a node among {name}: {} bytes", bytes.len());
        c.bench_function(&format!("encode a beat, {name}"), |b| {
            b.iter(|| codec::encode(&wire::Datagram::from(black_box(&datagram))));
        });
        c.bench_function(&format!("decode a beat, {name}"), |b| {
            b.iter(|| {
                let datagram: wire::Datagram =
                    codec::decode(black_box(&bytes)).expect("the heartbeat can be decoded");
                Datagram::try_from(datagram)
            });
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(300));
    targets = bench_decisions, bench_heartbeats
}
criterion_main!(benches);
