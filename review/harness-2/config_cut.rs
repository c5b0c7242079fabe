//! CONFIG: a host with a link of 10 Mbit/s that was cut off from the store while some versions of a
//! large configuration were written doesn't get the newest one after the cut.
//!
//! The configuration has 17 routes, then 1,617. Four further versions follow; the last one adds
//! a route and drops another. With the disruption, the host is cut off from the store for 7.5 s
//! meanwhile. Requests on both routes go to each node from 7 s after that on.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::deployment::Node;
use crate::deployment::Record;
use crate::deployment::Work;
use crate::deployment::Worker;
use crate::deployment::call;
use crate::http::Connection;
use crate::link::Link;
use crate::store::Store;

const LINK_MBPS: f64 = 10.0;
const FIRST_ROUTES: usize = 17;
/// Routes that are added at once.
const MORE_ROUTES: usize = 1_600;
/// Time from the start of the nodes, and from the large configuration, to what follows.
const CALM: Duration = Duration::from_millis(6_000);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(7_500);
/// Number of versions that are written within the cut, and the time between them.
const VERSIONS: u64 = 4;
const GAP: Duration = Duration::from_millis(1_200);
/// Time from the begin of the cut to the first of them.
const FIRST_AFTER: Duration = Duration::from_millis(500);
/// `contactMs` and `configApplyMs` of the settings: the time without requests after the cut.
const CONTACT: Duration = Duration::from_millis(4_000);
const APPLY_BOUND: Duration = Duration::from_millis(3_000);
/// Time for which requests are sent.
const CHECK_TIME: Duration = Duration::from_millis(5_000);

fn route(name: &str, prefix: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"desk.example","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"order-desk","maxAttempts":2,"sticky":false,"resumable":false,"public":false}}"#
    )
}

/// Returns the configuration of `version`; the last one has the route `/added/` in place of
/// `/dropped/`.
fn config(version: u64, routes: usize, is_last: bool) -> String {
    let mut all: Vec<String> =
        (0..routes).map(|n| route(&format!("r-{n:05}"), &format!("/part{n:05}/pages/"))).collect();
    all.push(route("r-changed", if is_last { "/added/" } else { "/dropped/" }));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"order-desk","healthPath":"/healthz","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        all.join(",")
    )
}

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let (store, address) = Store::start();
    store.write("op/config", &config(3, FIRST_ROUTES, false));
    let _workers: Vec<Arc<Worker>> = (0..3)
        .map(|n| {
            Worker::start(&format!("i-{n}"), "order-desk", "zone-a", &store, record, |_| Work {
                time: Duration::from_millis(15),
                body: b"ok".to_vec(),
            })
        })
        .collect();
    let link = Link::default();
    let slow = link.start(address, LINK_MBPS);
    let mut nodes = [
        Node::new("edge-direct", "zone-a", address, folder),
        Node::new("edge-10mbit", "zone-b", slow, folder),
    ];
    for node in &mut nodes {
        node.is_small = true;
        node.start();
    }
    if !nodes.iter().all(Node::wait_ready) {
        return Verdict::NotRun("a node is not ready".to_owned());
    }
    // The rule holds for machines in touch: contactMs after their start.
    thread::sleep(CALM);
    let routes = FIRST_ROUTES + MORE_ROUTES;
    let large = config(5, routes, false);
    store.write("op/config", &large);
    record.line(&format!("operator's version 5 is acknowledged: {routes} routes, {} bytes", large.len()));
    thread::sleep(CALM);
    for node in &nodes {
        let path = format!("/part{:05}/pages/x", routes - 1);
        if ask(record, node, "before", &path) != Some(200) {
            return Verdict::NotRun(format!("{} doesn't serve the large configuration", node.name));
        }
    }
    let healed_at = Instant::now() + CUT;
    if trouble {
        link.set_cut(true);
        record.line("edge-10mbit is cut off from the store");
    }
    thread::sleep(FIRST_AFTER);
    for n in 1..=VERSIONS {
        store.write("op/config", &config(5 + n * 2, routes, n == VERSIONS));
        record.line(&format!("operator's version {} is acknowledged", 5 + n * 2));
        thread::sleep(GAP);
    }
    thread::sleep(healed_at.saturating_duration_since(Instant::now()));
    link.set_cut(false);
    record.line("end of the cut");
    thread::sleep(CONTACT + APPLY_BOUND);
    let end = Instant::now() + CHECK_TIME;
    let mut old = [0, 0];
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        for (n, node) in nodes.iter().enumerate() {
            let added = ask(record, node, &format!("a{n}{round}"), "/added/x");
            let dropped = ask(record, node, &format!("d{n}{round}"), "/dropped/x");
            old[n] += usize::from(added == Some(404)) + usize::from(dropped == Some(200));
        }
        thread::sleep(Duration::from_millis(250));
    }
    for (n, node) in nodes.iter().enumerate() {
        let name = &node.name;
        record.line(&format!("{name}: {} of {} handled by an older version", old[n], 2 * round));
    }
    if old.iter().any(|n| *n > 0) { Verdict::Broken } else { Verdict::Held }
}

fn ask(record: &Record, node: &Node, id: &str, path: &str) -> Option<u16> {
    record.line(&format!("to {}:", node.name));
    let mut connection = Connection::open(node.front).ok()?;
    call(&mut connection, record, id, "GET", path, 4_000).map(|answer| answer.status())
}
