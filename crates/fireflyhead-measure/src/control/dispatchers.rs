//! Cost of one request at a dispatcher.

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::dispatch::DispatchEffect;
use fireflyhead_core::dispatch::DispatchInput;
use fireflyhead_core::dispatch::Dispatcher;
use fireflyhead_core::dispatch::DispatcherConfig;
use fireflyhead_core::dispatch::RunResult;
use fireflyhead_core::table::Table;
use fireflyhead_core::types::AdapterKey;
use fireflyhead_core::types::Job;
use fireflyhead_core::types::JobId;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamKind;

use crate::control::report;
use crate::control::report::Figure;
use crate::control::report::Report;
use crate::control::tables;

/// Numbers of queued requests.
const QUEUED: [usize; 3] = [100, 1_000, 3_000];
/// Rows of the table.
const ROWS: usize = 3_000;
/// Requests over which the mean is taken.
const REQUESTS: usize = 2_000;

/// Dispatcher whose upstream finishes every request and load at once when told.
struct Driver {
    dispatcher: Dispatcher,
    table: Arc<Table>,
    running: Vec<JobId>,
    effects: Vec<DispatchEffect>,
    next: u64,
    now: Time,
}

impl Driver {
    fn new(table: Arc<Table>) -> Driver {
        let cfg = DispatcherConfig {
            upstream: Name::from("worker-1"),
            kind: UpstreamKind::Engine { slots: 8 },
            max_queue: 100_000,
            ..DispatcherConfig::default()
        };
        Driver {
            dispatcher: Dispatcher::new(cfg, Arc::clone(&table), 1),
            table,
            running: Vec::new(),
            effects: Vec::new(),
            next: 0,
            now: Time::default(),
        }
    }

    fn submit(&mut self) {
        let name = format!("adapter-{:06}", self.next % 64);
        let policy = self.table.find_adapter(&name, None).expect("the adapter exists");
        let job = Job {
            id: JobId(self.next),
            row: policy.row,
            rank: policy.terms.rank,
            adapter: Some(AdapterKey::new(name, "v1")),
            prompt_tokens: 100,
            output_tokens: 100,
            deadline: Duration::from_secs(3_600),
            retry: false,
            idempotent: true,
        };
        self.next += 1;
        self.handle(DispatchInput::Submit(job));
    }

    fn finish_one(&mut self) {
        if let Some(job) = self.running.pop() {
            self.handle(DispatchInput::Started { job });
            self.handle(DispatchInput::Finished { job, result: RunResult::Ok });
        }
    }

    fn handle(&mut self, input: DispatchInput) {
        self.now = self.now + Duration::from_micros(100);
        let mut pending = vec![input];
        while let Some(input) = pending.pop() {
            self.dispatcher.handle(self.now, input, &mut self.effects);
            for effect in self.effects.drain(..) {
                match effect {
                    DispatchEffect::Run { job } => self.running.push(job),
                    DispatchEffect::RequestLoad { adapter, .. } => {
                        pending.push(DispatchInput::LoadGranted { adapter });
                    }
                    DispatchEffect::Load { adapter } => {
                        pending.push(DispatchInput::LoadDone { adapter, ok: true });
                    }
                    DispatchEffect::Unload { adapter } => {
                        pending.push(DispatchInput::UnloadDone { adapter, ok: true });
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Measures requests at growing queue lengths.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn measure(report: &mut Report) {
    let table = Arc::new(Table::from_csv(1, &tables::text(ROWS)).expect("the table is valid"));
    for queued in QUEUED {
        let (mut driver, bytes, _) = report::build(|| {
            let mut driver = Driver::new(Arc::clone(&table));
            (0..queued).for_each(|_| driver.submit());
            driver
        });
        let request = report::mean_micros(REQUESTS, |_| {
            driver.submit();
            driver.finish_one();
        });
        let mut add = |quantity, value, unit| {
            report.add(Figure {
                section: "dispatch",
                variable: "queued",
                size: queued,
                quantity,
                value,
                unit,
            });
        };
        add("memory", bytes as f64, "B");
        add("one request", request, "us");
    }
}
