//! Properties under random sequences of inputs.

use std::time::Duration;

use proptest::prelude::*;

use crate::dispatch::DispatchInput;
use crate::dispatch::RunResult;
use crate::table::RowKind;
use crate::table::row_id;
use crate::types::AdapterKey;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RowId;

use super::model::End;
use super::model::Model;
use super::model::adapter;
use super::model::engine;
use super::model::engine_with;
use super::model::service;

/// One step of the surroundings; numbers select among what is possible.
#[derive(Clone, Debug)]
enum Step {
    Submit { adapter: u64, rank: usize, deadline_ms: u64, retry: bool, idempotent: bool },
    Finish(usize, RunResult),
    Start(usize),
    Permit(usize, bool),
    Cancel(u64),
    Grant(usize, bool),
    Loaded(usize, bool),
    Unloaded(usize),
    Wait(u64),
    Report,
    Restart,
    Orders(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let result = prop_oneof![
        4 => Just(RunResult::Ok),
        1 => Just(RunResult::Failed { sent: true }),
        1 => Just(RunResult::Cancelled),
    ];
    let submit = (0..12u64, 0..3usize, 1..20_000u64, any::<bool>(), any::<bool>());
    prop_oneof![
        10 => submit.prop_map(|(adapter, rank, deadline_ms, retry, idempotent)| {
            Step::Submit { adapter, rank, deadline_ms, retry, idempotent }
        }),
        8 => (any::<usize>(), result).prop_map(|(i, result)| Step::Finish(i, result)),
        4 => any::<usize>().prop_map(Step::Start),
        6 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(|(i, ok)| Step::Permit(i, ok)),
        1 => (0..40u64).prop_map(Step::Cancel),
        6 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(|(i, ok)| Step::Grant(i, ok)),
        6 => (any::<usize>(), prop::bool::weighted(0.8)).prop_map(|(i, ok)| Step::Loaded(i, ok)),
        5 => any::<usize>().prop_map(Step::Unloaded),
        5 => (1..4_000u64).prop_map(Step::Wait),
        2 => Just(Step::Report),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Orders),
    ]
}

fn nth<T: Clone>(items: impl IntoIterator<Item = T>, i: usize) -> Option<T> {
    let items: Vec<T> = items.into_iter().collect();
    items.get(i % items.len().max(1)).cloned()
}

fn apply(model: &mut Model, step: &Step) {
    match *step {
        Step::Submit { adapter: i, rank, deadline_ms, retry, idempotent } => {
            model.submit(|job| {
                job.adapter = (i > 0).then(|| adapter(i));
                job.row = RowId(i / 2);
                job.rank = Rank::ALL[rank];
                job.deadline = Duration::from_millis(deadline_ms);
                (job.retry, job.idempotent) = (retry, idempotent);
            });
        }
        Step::Finish(i, result) => {
            if let Some(job) = nth(model.running.clone(), i) {
                model.finish(job, result);
            }
        }
        Step::Start(i) => {
            if let Some(job) = nth(model.running.clone(), i) {
                model.send(DispatchInput::Started { job });
            }
        }
        Step::Permit(i, granted) => {
            if let Some(job) = nth(model.asked.clone(), i) {
                model.permit(job, granted);
            }
        }
        Step::Cancel(i) if model.jobs.contains_key(&JobId(i)) => model.cancel(JobId(i)),
        Step::Cancel(_) => {}
        Step::Grant(i, granted) => grant(model, nth(model.requested.clone(), i), granted),
        Step::Loaded(i, ok) => {
            if let Some(adapter) = nth(model.loading.clone(), i) {
                model.load_done(adapter, ok);
            }
        }
        Step::Unloaded(i) => {
            if let Some(adapter) = nth(model.unloading.clone(), i) {
                model.unloaded(adapter);
            }
        }
        Step::Wait(ms) => model.wait(Duration::from_millis(ms)),
        Step::Report => model.report(),
        Step::Restart => {
            // A load that the engine finishes after its restart is covered by the fault tests.
            while let Some(adapter) = model.loading.first().cloned() {
                model.load_done(adapter, false);
            }
            model.restart();
        }
        Step::Orders(allowed) => {
            model.send(DispatchInput::OrdersAllowed(allowed));
        }
    }
}

fn grant(model: &mut Model, adapter: Option<AdapterKey>, granted: bool) {
    let Some(adapter) = adapter else { return };
    model.requested.remove(&adapter);
    let retry_after = Duration::from_millis(100);
    model.send(match granted {
        true => DispatchInput::LoadGranted { adapter },
        false => DispatchInput::LoadDenied { adapter, retry_after },
    });
}

/// Lets everything come to its end: answers what is open until all deadlines have passed.
fn finish_all(model: &mut Model) {
    model.send(DispatchInput::OrdersAllowed(true));
    for _ in 0..40 {
        model.settle_loads();
        while let Some(job) = model.asked.first().copied() {
            model.permit(job, true);
        }
        while let Some(job) = model.running.first().copied() {
            model.finish(job, RunResult::Ok);
        }
        model.wait(Duration::from_secs(1));
    }
}

proptest! {
    // Guards against lost and doubled jobs, unloads of adapters in use and runs without a
    // loaded adapter or a permit; the model checks each effect.
    #[test]
    fn each_job_ends_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut model = engine(3, 6);
        for step in &steps {
            apply(&mut model, step);
            prop_assert!(model.running.len() + model.asked.len() <= 12);
        }
        finish_all(&mut model);
        for id in model.jobs.keys() {
            prop_assert!(model.ends.contains_key(id), "{id:?} has no outcome");
        }
        let advert = model.dispatcher.advert(model.now);
        prop_assert_eq!((advert.in_flight, advert.queued), (0, 0));
    }

    // Guards against a row that gets more or less than its weight while all rows wait.
    #[test]
    fn rows_share_by_weight(
        weights in prop::collection::vec(1..6u32, 2..6),
        costs in prop::collection::vec(1..100u32, 6..7),
    ) {
        let rows: String = weights.iter().enumerate().map(|(i, w)| {
            format!("class,c{i},,svc,,,standard,{w},,,,,,,\n")
        }).collect();
        let mut model = engine_with(1, 1, &rows);
        let flows: Vec<(RowId, u32, f64)> = weights.iter().zip(&costs).enumerate().map(|(i, (w, c))| {
            (row_id(RowKind::Class, &format!("c{i}").into()), *c, f64::from(*c) / f64::from(*w))
        }).collect();
        for (row, cost, _) in &flows {
            for _ in 0..200 {
                model.submit(|job| {
                    job.row = *row;
                    (job.prompt_tokens, job.output_tokens) = (*cost, 0);
                    job.deadline = Duration::from_secs(100_000);
                });
            }
        }
        let quantum = flows.iter().map(|flow| flow.2).fold(0.0, f64::max);
        let mut served = vec![0.0; flows.len()];
        for _ in 0..150 {
            let job = *model.running.first().unwrap();
            let i = flows.iter().position(|flow| flow.0 == model.jobs[&job].row).unwrap();
            served[i] += flows[i].2;
            model.now = model.now + Duration::from_millis(10);
            model.finish(job, RunResult::Ok);
            if served.iter().zip(&flows).any(|(served, flow)| *served >= 199.0 * flow.2) {
                break; // A row without jobs takes no part.
            }
            let (least, most) = served.iter().fold((f64::MAX, 0.0), |(lo, hi), s| {
                (f64::min(lo, *s), f64::max(hi, *s))
            });
            // One quantum of each of the two rows that differ most.
            prop_assert!(most - least <= 2.0 * quantum + 1e-6, "normalised service {served:?}");
        }
    }

    // Guards against a floor that a flood of higher ranks takes away, and against a floor that
    // keeps capacity from the others.
    #[test]
    fn floors_hold_under_a_flood(standard in 0.05..0.4f64, background in 0.05..0.4f64) {
        let rows = format!(
            "class,u,,svc,GET /u,,urgent,,,,,,,,\n\
             class,s,,svc,GET /s,,standard,,{standard},,,,,,\n\
             class,b,,svc,GET /b,,background,,{background},,,,,,\n");
        let mut model = service(4, &rows);
        for (rank, class) in Rank::ALL.into_iter().zip(["u", "s", "b"]) {
            for _ in 0..600 {
                model.submit(|job| {
                    job.row = row_id(RowKind::Class, &class.into());
                    job.rank = rank;
                    job.deadline = Duration::from_secs(100_000);
                });
            }
        }
        while model.ran.len() < 500 {
            prop_assert_eq!(model.running.len(), 4);
            let job = *model.running.first().unwrap();
            model.now = model.now + Duration::from_millis(10);
            model.finish(job, RunResult::Ok);
        }
        for (rank, floor) in [(Rank::Standard, standard), (Rank::Background, background)] {
            let got = model.ran.iter().filter(|id| model.jobs[id].rank == rank).count() as f64;
            let due = floor * model.ran.len() as f64;
            prop_assert!((got - due).abs() <= 6.0, "{rank:?} ran {got} of {due}");
        }
    }

    // Guards against a retry or a late deadline that younger jobs of the row overtake for ever.
    #[test]
    fn no_job_waits_beyond_the_age_bound(retry in any::<bool>(), burst in 2..5u64) {
        let mut model = service(1, "");
        model.submit(|_| {});
        let old = model.submit(|job| {
            job.retry = retry;
            job.deadline = Duration::from_secs(1_000);
        });
        let submitted = model.now;
        while !model.ran.contains(&old) {
            for _ in 0..burst {
                model.submit(|_| {});
            }
            let job = *model.running.first().unwrap();
            model.now = model.now + Duration::from_millis(500);
            model.finish(job, RunResult::Ok);
            // The age bound of 10 s and the job that runs at that time.
            prop_assert!(model.now.since(submitted) <= Duration::from_millis(10_500));
        }
        prop_assert!(!matches!(model.ends.get(&old), Some(End::Refused(_))));
    }
}
