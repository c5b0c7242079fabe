//! Tests of the row limits.

use std::time::Duration;

use proptest::prelude::*;

use super::Attempt;
use super::LimitRefusal;
use super::LimitsConfig;
use super::RowLimits;
use super::share::divide;
use super::share::whole_part;
use crate::table::Policy;
use crate::table::Terms;
use crate::types::Name;
use crate::types::RefuseReason;
use crate::types::RowId;
use crate::types::Time;

fn policy(row: u64, terms: Terms) -> Policy {
    let service = Name::from("svc");
    Policy { row: RowId(row), class: RowId(0), service, adapter: None, terms }
}

fn node(i: usize, of: usize) -> RowLimits {
    let name = |i: usize| Name::from(format!("n{i}"));
    let mut limits = RowLimits::new(LimitsConfig::default(), name(i));
    limits.set_nodes((0..of).map(name).collect());
    limits
}

fn reason(result: Result<(), LimitRefusal>) -> Option<RefuseReason> {
    result.err().map(|refusal| refusal.reason)
}

// Guards against a rate over all nodes that exceeds the limit, and against a lone busy node
// that is held to its even share although the others are idle.
#[test]
fn rate_moves_to_the_node_with_the_demand() {
    let policy = policy(1, Terms { rate: Some(40.0), ..Terms::default() });
    let mut nodes = [node(0, 4), node(1, 4)];
    let mut admitted = Vec::new();
    let mut now = Time::from_millis(1_000);
    for second in 0..40 {
        let mut count = 0;
        for _ in 0..100 {
            now = now + Duration::from_millis(10);
            count += u32::from(nodes[0].admit(now, &policy, Attempt::Fresh).is_ok());
        }
        admitted.push(count);
        if second >= 10 {
            let usage = nodes[1].advertise(now);
            assert!(usage.is_empty());
            for peer in 1..4 {
                nodes[0].update_peer(now, Name::from(format!("n{peer}")), &usage);
            }
            nodes[0].advertise(now);
        }
    }
    assert!((9..=11).contains(&admitted[9]), "an even share of 10/s: {admitted:?}");
    assert!((38..=41).contains(&admitted[39]), "the whole limit of 40/s: {admitted:?}");
}

// Guards against in-flight counts that leak or exceed the limit.
#[test]
fn in_flight_limit() {
    let policy = policy(1, Terms { in_flight: Some(2), ..Terms::default() });
    let (mut limits, now) = (node(0, 1), Time::from_millis(1));
    let admit = |limits: &mut RowLimits| reason(limits.admit(now, &policy, Attempt::Fresh));
    assert_eq!([admit(&mut limits), admit(&mut limits)], [None, None]);
    assert_eq!(admit(&mut limits), Some(RefuseReason::RowLimit));
    limits.release(RowId(1));
    assert_eq!(admit(&mut limits), None);
}

// Guards against retries that exceed their fraction of fresh requests, whoever makes them.
#[test]
fn retry_budget_is_shared_by_callers_and_entries() {
    let budget = 0.2;
    let cases = [
        ("no fresh requests", 1, 0, 0),
        ("many requests of one row", 1, 100, 20),
        ("requests of many rows", 100, 1, 20),
    ];
    for (name, rows, fresh, allowed) in cases {
        let mut limits = node(0, 1);
        let terms = Terms { retry_budget: budget, ..Terms::default() };
        let now = Time::from_millis(5_000);
        for row in 0..rows {
            for _ in 0..fresh {
                limits.admit(now, &policy(row, terms), Attempt::Fresh).unwrap();
            }
        }
        let mut retries = 0;
        for i in 0..200 {
            let kind = [Attempt::CallerRetry, Attempt::EntryRetry][i as usize % 2];
            match limits.admit(now, &policy(i % rows, terms), kind) {
                Ok(()) => retries += 1,
                Err(refusal) => assert_eq!(refusal.reason, RefuseReason::RetryBudget),
            }
        }
        assert_eq!(retries, allowed, "{name}");
        let later = now + Duration::from_secs(11);
        let late = limits.admit(later, &policy(0, terms), Attempt::CallerRetry);
        assert!(late.is_err(), "{name}: fresh requests of an earlier window do not count");
    }
}

proptest! {
    // Guards against shares that add up to more than the limit or leave some of it unused.
    #[test]
    fn shares_add_up(
        limit in 1..1_000u32,
        demands in prop::collection::vec(prop::option::of(0.0..500.0f64), 1..40),
        salt in any::<u64>(),
    ) {
        let shares = divide(f64::from(limit), demands.iter().copied());
        let sum: f64 = shares.iter().sum();
        prop_assert!((sum - f64::from(limit)).abs() < 1e-6);
        let whole: u32 = (0..shares.len()).map(|i| whole_part(&shares, i, salt)).sum();
        prop_assert_eq!(whole, limit);
        let demand: f64 = demands.iter().flatten().sum();
        if demands.iter().all(Option::is_some) && demand <= f64::from(limit) {
            let met = shares.iter().zip(&demands).all(|(share, d)| *share >= d.unwrap() - 1e-6);
            prop_assert!(met, "demand below the limit is met");
        }
    }
}
