//! Tests of the model itself: determinism, capacity and the baselines.

use crate::policy::Selection;
use crate::policy::capacity::Capacity;
use crate::policy::deployment::Deployment;
use crate::policy::run;

/// Guards against figures that can't be reproduced from a seed.
#[test]
fn runs_are_deterministic() {
    let selection = Selection {
        scenario: Some("restarts".to_owned()),
        deployment: Some("magnolia".to_owned()),
        exponent: Some(1.3),
        seed: 3,
    };
    let figures = || {
        let report = run(&selection).expect("the selection names known scenarios");
        let text = |run: &crate::policy::RunResult| format!("{:?}", run.figures);
        report.runs.iter().map(text).collect::<Vec<_>>()
    };
    assert_eq!(figures(), figures());
}

/// Guards against a capacity that does not follow from the Zipf law and the weight store's rate.
#[test]
fn load_capacity_follows_from_the_miss_ratio() {
    for (dep, slots, miss) in Deployment::all()
        .iter()
        .zip([144, 72])
        .zip([0.354, 0.434])
        .map(|((dep, slots), miss)| (dep, slots, miss))
    {
        let cap = Capacity::new(dep, 1.0);
        assert_eq!(cap.slots, slots);
        assert!((cap.miss_ratio - miss).abs() < 0.01, "{}: {}", dep.name, cap.miss_ratio);
        assert!((cap.load_rps - dep.loads_per_second / cap.miss_ratio).abs() < 1e-9);
        assert!(cap.batched_load_rps > cap.load_rps);
    }
}

/// Guards against an unknown name that silently runs nothing.
#[test]
fn unknown_names_are_errors() {
    for (scenario, deployment) in [(Some("stead"), None), (None, Some("magnoli"))] {
        let selection = Selection {
            scenario: scenario.map(str::to_owned),
            deployment: deployment.map(str::to_owned),
            ..Selection::default()
        };
        assert!(run(&selection).is_err());
    }
}
