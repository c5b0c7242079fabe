//! Runs the demo on both deployments.

use fireflyhead::ops::demo;
use fireflyhead::ops::demo::deployments;
use fireflyhead::ops::demo::deployments::Deployment;

/// Guards against duplicate runs of non-idempotent requests, rejected requests that ran, wrong
/// responses, engines ordered above their adapter slots, and classes with under 90 % of requests
/// answered, under load of all classes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_deployments_are_served_without_violations() {
    for name in deployments::NAMES {
        let deployment = Deployment::from_name(name).expect("the name is known");
        let report = demo::run(&deployment, 1).await.expect("the deployment starts");
        assert!(report.passed(), "{report:?}");
    }
    assert_eq!(Deployment::from_name("elsewhere"), None);
}
