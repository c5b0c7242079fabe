//! Fault cases.

use std::time::Duration;

use crate::dispatch::DispatchEffect;
use crate::dispatch::DispatchInput;
use crate::dispatch::LoadReport;
use crate::dispatch::RunResult;
use crate::types::Job;
use crate::types::JobId;
use crate::types::Rank;
use crate::types::RefuseReason;
use crate::types::Role;
use crate::types::RowId;
use crate::types::Time;

use super::model::End;
use super::model::Model;
use super::model::adapter;
use super::model::engine;
use super::model::service;

/// Engine with adapter 1 loaded and a job running on it.
fn running(change: impl FnOnce(&mut Job)) -> (Model, JobId) {
    let mut model = engine(1, 4);
    let job = model.submit(|job| {
        job.adapter = Some(adapter(1));
        change(job);
    });
    model.settle_loads();
    (model, job)
}

// Guards against work that is lost or repeated when an engine restarts empty.
#[test]
fn restart_repeats_only_what_is_safe() {
    struct Case {
        name: &'static str,
        idempotent: bool,
        started: bool,
        cancelled: bool,
        repeated: bool,
    }
    let base =
        Case { name: "safe", idempotent: true, started: false, cancelled: false, repeated: true };
    let cases = [
        Case { name: "output began", started: true, repeated: false, ..base },
        Case { name: "not idempotent", idempotent: false, repeated: false, ..base },
        Case { name: "given up", cancelled: true, repeated: false, ..base },
        base,
    ];
    for case in cases {
        let (mut model, job) = running(|job| job.idempotent = case.idempotent);
        if !case.idempotent {
            model.permit(job, true);
        }
        if case.started {
            model.send(DispatchInput::Started { job });
        }
        if case.cancelled {
            model.cancel(job);
        }
        model.restart();
        assert_eq!(model.dispatcher.advert(model.now).in_flight, 0, "{}", case.name);
        model.finish(job, RunResult::Cancelled);
        model.settle_loads();
        assert_eq!(model.ran.len(), 1 + usize::from(case.repeated), "{}", case.name);
        assert_eq!(model.ends.contains_key(&job), !case.repeated, "{}", case.name);
    }
}

// Guards against a run on an adapter that an order from before the restart loaded.
#[test]
fn load_answered_after_a_restart_does_not_count() {
    let mut model = engine(2, 4);
    model.submit(|job| job.adapter = Some(adapter(1)));
    model.requested.clear();
    model.send(DispatchInput::LoadGranted { adapter: adapter(1) });
    model.boot_id += 1;
    model.report();
    model.loading.clear();
    model.send(DispatchInput::LoadDone { adapter: adapter(1), ok: true });
    assert!(model.ran.is_empty());
    assert!(model.requested.contains(&adapter(1)), "the load is requested again");
}

// Guards against a failed load that blocks others or is repeated without a pause.
#[test]
fn failed_load_concerns_one_adapter() {
    let mut model = engine(2, 4);
    let patient = model.submit_for(1);
    let hasty = model.submit(|job| {
        job.adapter = Some(adapter(1));
        job.deadline = Duration::from_millis(400);
    });
    let other = model.submit_for(2);
    model.requested.clear();
    for i in [1, 2] {
        model.send(DispatchInput::LoadGranted { adapter: adapter(i) });
    }
    model.load_done(adapter(1), false);
    model.load_done(adapter(2), true);
    assert_eq!(model.ends.get(&hasty), Some(&End::Refused(RefuseReason::LoadFailed)));
    assert!(model.running.contains(&other) && !model.ends.contains_key(&patient));
    assert!(model.requested.is_empty());
    model.wait(Duration::from_secs(1));
    model.settle_loads();
    assert!(model.running.contains(&patient));
}

// Guards against endless loads of an adapter that can't be loaded.
#[test]
fn repeated_failures_refuse_new_jobs_during_the_backoff() {
    let mut model = engine(2, 4);
    for _ in 0..3 {
        model.submit_for(1);
        model.wait(Duration::from_secs(4));
        model.requested.clear();
        model.send(DispatchInput::LoadGranted { adapter: adapter(1) });
        model.load_done(adapter(1), false);
    }
    let job = model.submit_for(1);
    assert_eq!(model.ends.get(&job), Some(&End::Refused(RefuseReason::LoadFailed)));
}

// Guards against the end of a job by each answer, or missing answer, to its permit request.
#[test]
fn permit_answers() {
    type Act = fn(&mut Model, JobId);
    let cases: [(&str, Act, Option<End>); 4] = [
        ("granted", |m, job| m.permit(job, true), None),
        ("denied", |m, job| m.permit(job, false), Some(End::Cancelled)),
        ("given up", |m, job| m.cancel(job), Some(End::Cancelled)),
        ("no answer", |m, _| m.wait(Duration::from_secs(6)), Some(End::Redirected)),
    ];
    for (name, act, end) in cases {
        let mut model = service(1, "");
        let job = model.submit(|job| job.idempotent = false);
        let next = model.submit(|_| {});
        act(&mut model, job);
        assert_eq!(model.ends.get(&job).copied(), end, "{name}");
        assert_eq!(model.running.contains(&next), end.is_some(), "{name}");
        if end.is_some() {
            model.send(DispatchInput::Permit { job, granted: true });
            assert!(!model.running.contains(&job), "{name}: a late permit has no effect");
        }
    }
}

// Guards against orders while ownership is uncertain, and against jobs that wait for them for
// ever once this node only stands in for the owner.
#[test]
fn no_orders_without_certain_ownership() {
    type Stop = fn(&mut Model);
    let stops: [(&str, Stop, bool); 3] = [
        ("orders not allowed", |m| drop(m.send(DispatchInput::OrdersAllowed(false))), false),
        ("caretaker", |m| m.dispatcher.set_role(&Role::Caretaker), true),
        ("drain", |m| drop(m.send(DispatchInput::Drain)), true),
    ];
    for (name, stop, redirected) in stops {
        let (mut model, first) = running(|_| {});
        let waiting = model.submit_for(2);
        stop(&mut model);
        let late = model.submit_for(3);
        model.wait(Duration::from_secs(3));
        assert!(model.requested.is_empty() && model.unloading.is_empty(), "{name}");
        for job in [waiting, late] {
            let end = redirected.then_some(End::Redirected);
            assert_eq!(model.ends.get(&job).copied(), end, "{name}");
        }
        model.finish(first, RunResult::Ok);
        assert!(model.unloading.is_empty() && model.loaded.contains(&adapter(1)), "{name}");
    }
}

// Guards against an unload of adapters that the earlier owner may still use.
#[test]
fn found_adapters_stay_until_the_pin_ends() {
    let mut model = engine(1, 4);
    model.loaded.insert(adapter(9));
    model.report();
    let (fencing, orders_allowed) = (2, true);
    let pinned_until = Time::from_millis(20_000);
    model.dispatcher.set_role(&Role::Owner { fencing, orders_allowed, pinned_until });
    let job = model.submit_for(1);
    model.wait(Duration::from_secs(15));
    assert!(model.requested.is_empty() && model.unloading.is_empty());
    model.wait(pinned_until.since(model.now));
    model.settle_loads();
    assert!(model.running.contains(&job));
}

// Guards against a lagging report that overrules newer knowledge of the dispatcher.
#[test]
fn lagging_reports_do_not_overrule_orders() {
    let (mut model, job) = running(|_| {});
    let report = LoadReport { boot_id: 1, ..LoadReport::default() };
    model.finish(job, RunResult::Ok);
    model.send(DispatchInput::Report(report.clone()));
    let next = model.submit_for(1);
    assert!(model.running.contains(&next), "an old report without the adapter is ignored");
    model.finish(next, RunResult::Ok);
    model.now = model.now + Duration::from_secs(10);
    model.send(DispatchInput::Report(report));
    model.loaded.clear();
    model.submit_for(1);
    assert!(model.requested.contains(&adapter(1)), "a missing adapter is noticed in the end");
}

// Guards against load that this dispatcher did not cause and does not see.
#[test]
fn foreign_load_takes_capacity() {
    let mut model = service(10, "");
    let report = LoadReport { boot_id: 1, running: 6, ..LoadReport::default() };
    model.send(DispatchInput::Report(report));
    for _ in 0..10 {
        model.submit(|_| {});
    }
    assert_eq!(model.running.len(), 4);
    model.wait(Duration::from_secs(10));
    model.report();
    assert_eq!(model.running.len(), 10);
}

// Guards against a flood of one rank that fills the queue of another.
#[test]
fn queue_limit_is_per_rank() {
    let mut model = service(1, "");
    let flood: Vec<_> =
        (0..10_001 + 1).map(|_| model.submit(|job| job.rank = Rank::Background)).collect();
    let last = flood.last().unwrap();
    assert_eq!(model.ends.get(last), Some(&End::Refused(RefuseReason::Overloaded)));
    let standard = model.submit(|_| {});
    assert!(!model.ends.contains_key(&standard));
}

// Guards against jobs that wait although they can't start before their deadline.
#[test]
fn refused_early_when_the_wait_exceeds_the_deadline() {
    let mut model = service(1, "");
    let first = model.submit(|_| {});
    model.now = model.now + Duration::from_secs(1);
    model.finish(first, RunResult::Ok);
    for _ in 0..10 {
        model.submit(|_| {});
    }
    let hasty = Job {
        id: JobId(1_000),
        row: RowId(1),
        rank: Rank::Standard,
        adapter: None,
        prompt_tokens: 0,
        output_tokens: 0,
        deadline: Duration::from_secs(5),
        retry: false,
        idempotent: true,
    };
    let mut effects = Vec::new();
    model.dispatcher.handle(model.now, DispatchInput::Submit(hasty.clone()), &mut effects);
    let refused = |effect: &DispatchEffect| {
        matches!(effect, DispatchEffect::Refuse { reason: RefuseReason::Deadline, retry_after, .. }
            if *retry_after >= Duration::from_secs(1))
    };
    assert!(effects.iter().any(refused), "{effects:?}");
    effects.clear();
    let urgent = Job { rank: Rank::Urgent, ..hasty };
    model.dispatcher.handle(model.now, DispatchInput::Submit(urgent), &mut effects);
    assert!(effects.is_empty(), "an urgent job has no queue before it: {effects:?}");
}

// Guards against one-off adapters that evict the ones in regular use.
#[test]
fn one_off_adapters_share_the_probationary_slot() {
    let mut model = engine(4, 16);
    for i in [1, 2, 3].repeat(5) {
        let job = model.submit_for(i);
        model.settle_loads();
        model.finish(job, RunResult::Ok);
    }
    for i in 10..20 {
        let job = model.submit_for(i);
        model.settle_loads();
        model.finish(job, RunResult::Ok);
        model.wait(Duration::from_secs(1));
    }
    assert_eq!(model.loads, 13);
    assert!([1, 2, 3].iter().all(|i| model.loaded.contains(&adapter(*i))));
}
