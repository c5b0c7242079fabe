//! Retry budget of a service.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::budget::RetryBudget;
use fireflyhead_policy::budget::RetryBudgetSettings;
use proptest::prelude::*;

use crate::setup::ms;

proptest! {
    /// Guards against a retry storm, in which a service that fails all requests receives a multiple
    /// of its load: over all nodes, no window has more retries than the ratio and the slack allow.
    #[test]
    fn retries_stay_within_ratio_and_slack(
        nodes in 1_usize..12,
        steps in proptest::collection::vec((0_u64..40, any::<bool>()), 1..600),
    ) {
        let settings = RetryBudgetSettings {
            ratio: 0.2,
            slack: 58.0,
            window: Duration::from_secs(10),
        };
        let service = Name::from("desk");
        let mut budgets: Vec<RetryBudget> =
            (0..nodes).map(|_| RetryBudget::new(settings)).collect();
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (n, (gap, fails)) in steps.iter().enumerate() {
            now += gap;
            let budget = &mut budgets[n % nodes];
            budget.record_request(ms(now), &service);
            requests.push(now);
            // A failed request is retried at three more upstreams.
            for _ in 0..(if *fails { 3 } else { 0 }) {
                if budget.try_take(ms(now), &service, nodes) {
                    retries.push(now);
                }
            }
        }
        for end in &retries {
            let start = end.saturating_sub(10_000);
            let inside = |times: &[u64]| times.iter().filter(|t| **t >= start && *t <= end).count();
            let allowed = 0.2 * inside(&requests) as f64 + 58.0;
            prop_assert!(inside(&retries) as f64 <= allowed);
        }
    }
}

/// Guards against a budget that stays exhausted: retries older than the window must not count.
#[test]
fn the_budget_recovers_after_the_window() {
    let settings = RetryBudgetSettings { ratio: 0.0, slack: 10.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(settings);
    let service = Name::from("desk");
    let taken = (0..20).filter(|_| budget.try_take(ms(0), &service, 1)).count();
    assert_eq!(taken, 7);
    assert!(!budget.try_take(ms(9_999), &service, 1));
    assert!(budget.try_take(ms(10_001), &service, 1));
}
