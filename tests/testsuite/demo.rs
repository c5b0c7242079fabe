//! The demo on both deployments.

use fireflyhead::ops::demo;
use fireflyhead::ops::demo::deployments;
use fireflyhead::ops::demo::deployments::Deployment;

/// Guards against doubled orders, untrue rejections, wrong answers and overfull engines under
/// a load of all classes, and against a deployment that is not served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_deployments_are_served_and_nothing_is_broken() {
    for name in deployments::NAMES {
        let deployment = Deployment::from_name(name).expect("a known name");
        let report = demo::run(&deployment, 1).await.expect("the demo runs");
        assert!(report.good(), "{report:?}");
    }
    assert_eq!(Deployment::from_name("elsewhere"), None);
}
