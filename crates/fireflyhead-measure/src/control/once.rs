//! Cost of at-most-once execution at home and witness.

use std::time::Duration;

use bytes::Bytes;
use fireflyhead_core::once::CallerRef;
use fireflyhead_core::once::Once;
use fireflyhead_core::once::OnceConfig;
use fireflyhead_core::once::OnceInput;
use fireflyhead_core::once::RequestId;
use fireflyhead_core::once::StoredOutcome;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Outcome;
use fireflyhead_core::types::Time;

use crate::control::report;
use crate::control::report::Figure;
use crate::control::report::Report;

/// Numbers of retained ids; 90,000 are 15 minutes of 50 requests a second in two roles.
const IDS: [usize; 3] = [10_000, 45_000, 90_000];
/// Body of an order's answer, in bytes.
const BODY_BYTES: usize = 100;

fn node(name: &str) -> NodeRef {
    NodeRef { id: Name::from(name), incarnation: 1_796_000_000 }
}

fn outcome() -> StoredOutcome {
    StoredOutcome {
        status: 201,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        ..StoredOutcome::bare(Outcome::Answered)
    }
}

/// Measures growing numbers of ids.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn measure(report: &mut Report) {
    for ids in IDS {
        let mut now = Time::default();
        let mut effects = Vec::new();
        let ((mut home, mut witness), bytes, elapsed) = report::build(|| {
            let cfg = OnceConfig::default();
            let mut home = Once::new(cfg.clone(), node("node-001"));
            let mut witness = Once::new(cfg, node("node-002"));
            for i in 0..ids {
                now = now + Duration::from_millis(5);
                let token = home.issue(now, Some((node("node-002"), now.as_millis())));
                let id = RequestId::new(token, &format!("{i:016x}")).expect("a valid suffix");
                run(&mut home, &mut witness, now, &id, i as u64, &mut effects);
            }
            (home, witness)
        });
        let entries = home.entries().0 + witness.entries().1;
        let mut add = |quantity, value, unit| {
            report.add(Figure {
                section: "once",
                variable: "ids",
                size: ids,
                quantity,
                value,
                unit,
            });
        };
        add("memory of both roles", bytes as f64, "B");
        add("entries", entries as f64, "");
        add("one request in both roles", elapsed.as_secs_f64() * 1e6 / ids as f64, "us");
        let tick = report::mean_micros(10, |_| {
            home.handle(now, OnceInput::Tick, &mut effects);
            witness.handle(now, OnceInput::Tick, &mut effects);
            effects.clear();
        });
        add("tick of both roles", tick, "us");
    }
}

/// One request from its arrival to the replicated outcome.
fn run(
    home: &mut Once,
    witness: &mut Once,
    now: Time,
    id: &RequestId,
    caller: u64,
    effects: &mut Vec<fireflyhead_core::once::OnceEffect>,
) {
    let id = || id.clone();
    home.handle(now, OnceInput::Begin { id: id(), caller: CallerRef(caller) }, effects);
    witness.handle(now, OnceInput::Intent { id: id(), from: node("node-001") }, effects);
    home.handle(now, OnceInput::WitnessAck { id: id(), accepted: true }, effects);
    home.handle(now, OnceInput::PermitRequested { id: id(), attempt: 1 }, effects);
    let done = OnceInput::Completed { id: id(), attempt: 1, outcome: outcome() };
    home.handle(now, done, effects);
    witness.handle(now, OnceInput::Outcome { id: id(), outcome: outcome() }, effects);
    effects.clear();
}
