//! Cost of one dispatch decision by queue length, with 3,000 rows.
//!
//! A decision is one input and everything that follows from it. The queue
//! keeps its length: a job that ends is replaced by a new one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fireflyhead_core::dispatch::DispatchEffect;
use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::Dispatcher;
use fireflyhead_core::dispatch::DispatcherConfig;
use fireflyhead_core::dispatch::LoadReport;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::table::RowKind;
use fireflyhead_core::table::Table;
use fireflyhead_core::table::row_id;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Job;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Rank;
use fireflyhead_core::types::RowId;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamKind;

/// Adapter rows of the table.
const ROWS: u64 = 3_000;

/// Adapter slots of the engine.
const SLOTS: u64 = 8;

/// Jobs that run at once.
const IN_FLIGHT: u64 = 32;

/// Engine with a full queue whose surroundings answer each effect at once.
struct Bench {
    dispatcher: Dispatcher,
    now: Time,
    next: u64,
    rows: Vec<(RowId, AdapterKey)>,
    running: Vec<JobId>,
    /// Jobs that wait for a load, oldest first.
    waiting: VecDeque<JobId>,
    row_of: HashMap<JobId, u64>,
    effects: Vec<DispatchEffect>,
}

impl Bench {
    fn new(queued: usize) -> Bench {
        let mut csv = String::from(
            "kind,name,class,service,match,version,rank,weight,floor,rate,in_flight,target_ms,\
             deadline_ms,retry_budget,idempotent\n\
             class,drafts,,models,,,standard,1,0.2,,,,,,\n",
        );
        for i in 0..ROWS {
            csv.push_str(&format!("adapter,a{i},drafts,,,v1,,{},,,,,,,\n", 1 + i % 4));
        }
        let table = Table::from_csv(1, &csv).expect("the table is valid");
        let cfg = DispatcherConfig {
            service: Name::from("models"),
            kind: UpstreamKind::Engine { slots: SLOTS as usize },
            max_in_flight: IN_FLIGHT as usize,
            max_queue: 3 * (queued + 1_000),
            ..DispatcherConfig::default()
        };
        let name = |i: u64| Name::from(format!("a{i}"));
        let row = |i: u64| (row_id(RowKind::Adapter, &name(i)), AdapterKey::new(name(i), "v1"));
        let mut bench = Bench {
            dispatcher: Dispatcher::new(cfg, Arc::new(table), 1),
            now: Time::from_millis(1_000),
            next: 0,
            rows: (0..ROWS).map(row).collect(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            row_of: HashMap::new(),
            effects: Vec::new(),
        };
        let loaded = bench.rows[..SLOTS as usize].iter().map(|row| row.1.clone()).collect();
        bench.input(DispatchInput::Report(LoadReport { boot_id: 1, loaded, ..Default::default() }));
        for n in 0..queued as u64 + IN_FLIGHT {
            let loaded = n % 2 == 0 || n < 2 * IN_FLIGHT;
            let i = scatter(n);
            bench.submit(if loaded { i % SLOTS } else { SLOTS + i % (ROWS - SLOTS) });
            if !loaded {
                bench.waiting.push_back(JobId(bench.next));
            }
        }
        bench
    }

    /// Submits a job of row `i` with properties that vary from job to job.
    fn submit(&mut self, i: u64) {
        self.next += 1;
        let n = scatter(self.next);
        let (row, adapter) = self.rows[i as usize].clone();
        self.row_of.insert(JobId(self.next), i);
        self.input(DispatchInput::Submit(Job {
            id: JobId(self.next),
            row,
            rank: if n.is_multiple_of(3) { Rank::Background } else { Rank::Standard },
            adapter: Some(adapter),
            prompt_tokens: 100,
            output_tokens: 200,
            deadline: Duration::from_secs(1_000_000),
            retry: n.is_multiple_of(10),
            idempotent: true,
        }));
    }

    fn input(&mut self, input: DispatchInput) {
        self.now = self.now + Duration::from_micros(100);
        self.dispatcher.handle(self.now, input, &mut self.effects);
        for effect in self.effects.drain(..) {
            match effect {
                DispatchEffect::Run { job } => self.running.push(job),
                DispatchEffect::Refuse { reason, .. } => panic!("the queue shrinks: {reason:?}"),
                _ => {}
            }
        }
    }

    /// One job ends, which starts the next, and another of the started job's row arrives.
    fn replace_running(&mut self) {
        let at = scatter(self.next) as usize % self.running.len();
        let job = self.running.swap_remove(at);
        self.input(DispatchInput::Finished { job, result: RunResult::Ok });
        self.row_of.remove(&job);
        let started = self.running.last().expect("jobs of loaded adapters are queued");
        let i = self.row_of.get(started).copied().expect("each job has a row");
        self.submit(i);
    }

    /// One job that waits for a load is cancelled and another arrives.
    fn replace_waiting(&mut self) {
        let job = self.waiting.pop_front().expect("jobs without an adapter are queued");
        self.input(DispatchInput::Cancel(job));
        let i = SLOTS + scatter(self.next) % (ROWS - SLOTS);
        self.submit(i);
        self.waiting.push_back(JobId(self.next));
    }
}

/// Well mixed function of a counter.
fn scatter(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}

/// Each iteration holds two decisions.
fn decisions(cx: &mut Criterion) {
    type Step = fn(&mut Bench);
    let cases: [(&str, Step); 2] = [
        ("finished_and_submit", Bench::replace_running),
        ("cancel_and_submit", Bench::replace_waiting),
    ];
    for (name, step) in cases {
        let mut group = cx.benchmark_group(name);
        for queued in [100, 1_000, 10_000] {
            let mut bench = Bench::new(queued);
            group.bench_function(BenchmarkId::from_parameter(queued), |b| {
                b.iter(|| step(black_box(&mut bench)));
            });
            let advert = bench.dispatcher.advert(bench.now);
            assert_eq!(u64::from(advert.in_flight), IN_FLIGHT, "all places are in use");
            assert_eq!(advert.queued as usize, queued, "the queue keeps its length");
        }
        group.finish();
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
