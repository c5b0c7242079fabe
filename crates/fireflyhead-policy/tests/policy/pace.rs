//! Selection by the speed that upstreams report.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::dispatch::DispatchDecision;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::dispatch::SelectionInputs;
use fireflyhead_policy::dispatch::SendOutcome;
use fireflyhead_policy::message::EngineModel;
use fireflyhead_policy::protocol::LoadReport;

use crate::setup::PLAIN_SERVICE;
use crate::setup::TestNode;
use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::place_adapters;
use crate::setup::plain_job;
use crate::setup::test_node;
use crate::setup::upstream_entry;

fn report(node: &mut TestNode, now: Time, upstream: &str, percent: u32) {
    let load = LoadReport { pace: Some(percent), ..LoadReport::default() };
    node.record_load_report(now, upstream, load);
}

fn inputs(node: &TestNode, now: Time, upstream: &str) -> SelectionInputs {
    node.selection_inputs(now, &Name::from(upstream)).expect("an upstream that reports its speed")
}

/// Guards against a slow period that is taken for the lasting speed of an engine, and against a
/// value that is used after the period has passed.
#[test]
fn a_slow_period_does_not_change_the_base_factor() {
    let mut node = test_node(1, 0);
    report(&mut node, ms(0), "engine-0", 160);
    for at in [1_000, 1_200, 1_400, 1_550] {
        report(&mut node, ms(at), "engine-0", 400);
    }
    assert_eq!(inputs(&node, ms(1_550), "engine-0").expected_percent, 400);
    assert_eq!(inputs(&node, ms(1_850), "engine-0").expected_percent, 280);
    let after = inputs(&node, ms(2_150), "engine-0");
    assert_eq!((after.base_percent, after.expected_percent), (160, 160));
    assert_eq!(after.pace_age, Some(Duration::from_millis(600)));
}

/// Guards against an engine that is treated by its former speed for more than a second after it
/// became slower or faster for good.
#[test]
fn a_lasting_change_is_learned_within_a_second() {
    let mut node = test_node(1, 0);
    report(&mut node, ms(0), "engine-0", 60);
    for at in [1_000, 1_300, 1_600, 1_900] {
        report(&mut node, ms(at), "engine-0", 100);
    }
    assert_eq!(inputs(&node, ms(1_900), "engine-0").base_percent, 100);
    report(&mut node, ms(2_000), "engine-0", 60);
    assert_eq!(inputs(&node, ms(2_000), "engine-0").base_percent, 60);
}

/// Guards against an engine that is taken for a usual one before its first response, although all
/// others of its service are slow.
#[test]
fn a_new_engine_starts_with_the_median_of_its_service() {
    let mut node = test_node(4, 0);
    for (engine, percent) in [("engine-0", 60), ("engine-1", 160), ("engine-2", 160)] {
        report(&mut node, ms(0), engine, percent);
    }
    let new = inputs(&node, ms(0), "engine-3");
    assert_eq!((new.base_percent, new.pace_age), (160, None));
}

/// Guards against values of other nodes that are ignored, belong to a former start of the engine or
/// are out of range.
#[test]
fn the_speed_that_a_holder_knows_is_taken_over() {
    let mut node = test_node(1, 0);
    let model = |incarnation, base_percent, newest_percent| EngineModel {
        upstream: Name::from("engine-0"),
        incarnation,
        base_percent,
        newest_percent,
        age: Duration::from_millis(100),
    };
    assert!(node.apply_engine_model(ms(1_000), &model(1, 160, 400)));
    let known = inputs(&node, ms(1_000), "engine-0");
    assert_eq!((known.base_percent, known.expected_percent), (160, 360));
    assert!(node.apply_engine_model(ms(1_000), &model(9, 60, 60)));
    for percent in [0, 10_001, u32::MAX] {
        assert!(!node.apply_engine_model(ms(1_000), &model(1, percent, 100)));
        assert!(!node.apply_engine_model(ms(1_000), &model(1, 100, percent)));
    }
    assert_eq!(inputs(&node, ms(1_000), "engine-0").base_percent, 160);
}

/// Guards against a slow period that the other nodes are not told of, against a datagram for each
/// response, and against a new holder that tells them of a slow period as the lasting speed.
#[test]
fn a_holder_publishes_only_changes() {
    let mut node = test_node(1, 0);
    let published = |node: &mut TestNode, at: u64, percent: u32| {
        report(node, ms(at), "engine-0", percent);
        node.adapter_usage(ms(at), "engine-0");
        let models = node.admission.take_changed_models(ms(at));
        models.iter().map(|m| (m.base_percent, m.newest_percent)).collect::<Vec<_>>()
    };
    assert_eq!(published(&mut node, 0, 150), []);
    assert_eq!(published(&mut node, 500, 150), []);
    assert_eq!(published(&mut node, 700, 60), []);
    assert_eq!(published(&mut node, 900, 60), [(60, 60)]);
    assert_eq!(published(&mut node, 1_000, 60), []);
    assert_eq!(published(&mut node, 1_100, 150), [(60, 150)]);
    assert_eq!(published(&mut node, 1_200, 150), []);
    assert_eq!(published(&mut node, 1_300, 60), [(60, 60)]);
}

/// Returns the plain upstream that each of 100 requests in a row is sent to.
fn plain_targets(node: &mut TestNode, now: Time) -> Vec<Name> {
    let mut targets = Vec::new();
    for id in 0..100 {
        let Some(DispatchDecision::Send { upstream, .. }) = node.submit(now, plain_job(id, now, 0))
        else {
            panic!("request {id} is not sent");
        };
        targets.push(upstream.id.clone());
        node.record_outcome(now, JobId(id), SendOutcome::Served);
    }
    targets
}

/// Guards against requests to a plain upstream in a slow period while others are free, and against
/// one that is avoided after its slow period.
#[test]
fn a_plain_upstream_gets_few_requests_in_a_slow_period() {
    let mut node = test_node(0, 4);
    for n in 0..4 {
        report(&mut node, ms(0), &format!("desk-{n}"), 100);
    }
    report(&mut node, ms(1_000), "desk-2", 250);
    let slow = |targets: &[Name]| targets.iter().filter(|id| id.as_str() == "desk-2").count();
    assert_eq!(slow(&plain_targets(&mut node, ms(1_050))), 0);
    assert!(slow(&plain_targets(&mut node, ms(1_700))) > 10);
}

/// Guards against a selection that changes although no upstream reports its speed: three values in
/// the load header must lead to the same decisions as before. The expected sequence was recorded
/// before speeds were used.
#[test]
fn without_reported_speeds_decisions_are_as_before() {
    let mut node = test_node(6, 3);
    for n in 0..6 {
        place_adapters(&mut node, &format!("engine-{n}"), &["a1", &format!("b{n}")]);
    }
    let slow = upstream_entry("desk-9", PLAIN_SERVICE, 2);
    node.upsert_upstream(&Arc::new(slow));
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for id in 0..600_u64 {
        let now = ms(id * 7);
        let adapter = format!("{}{}", ["a", "b", "absent"][(id % 3) as usize], 1 + id % 4);
        let engine_job = adapter_job(id * 2, now, &adapter, 200 + (id as u32 * 37) % 3_000);
        let decisions =
            [node.submit(now, engine_job), node.submit(now, plain_job(id * 2 + 1, now, 1))];
        let sent = |decision: &DispatchDecision| match decision {
            DispatchDecision::Send { upstream, .. } => upstream.id.to_string(),
            DispatchDecision::Reject { reason, .. } => reason.code().to_owned(),
        };
        let requests = node.due_adapter_requests(now, &Name::from("node-1"));
        let mut targets: Vec<String> =
            requests.iter().map(|r| format!("{}@{}", r.adapter, r.upstream)).collect();
        targets.sort();
        let text = format!("{:?} {targets:?}", decisions.map(|d| d.as_ref().map(sent)));
        for byte in text.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        if let Some(done) = id.checked_sub(40) {
            node.record_first_output(now, JobId(done * 2));
            let permille = (done as u32 * 31) % 1_300;
            node.record_pause(now, &Name::from(format!("engine-{}", done % 6)), permille);
            node.record_outcome(now, JobId(done * 2), SendOutcome::Served);
            node.record_outcome(now, JobId(done * 2 + 1), SendOutcome::Served);
            let load = LoadReport { running: 4, waiting: 1, slots: 6, ..LoadReport::default() };
            node.record_load_report(now, "desk-1", load);
        }
    }
    assert_eq!(hash, RECORDED_DECISIONS, "{hash:#x}");
}

/// Hash of the decisions on the sequence above, from the code before speeds were used.
const RECORDED_DECISIONS: u64 = 0x73ef_442d_cda3_7173;

/// Guards against adapters that are placed without regard to the speed of engines, and against an
/// order that moves the adapters of other engines when one is lost.
#[test]
fn adapters_are_placed_in_proportion_to_speed() {
    const SPEEDS: [u32; 3] = [60, 100, 160];
    let place = |lost: Option<usize>| {
        let mut node = test_node(12, 0);
        for n in 0..12 {
            report(&mut node, ms(0), &format!("engine-{n}"), SPEEDS[n % 3]);
        }
        if let Some(lost) = lost {
            node.remove_upstream(&Name::from(format!("engine-{lost}")));
        }
        for id in 0..1_200 {
            node.submit(ms(1), adapter_job(id, ms(1), &format!("a{id}"), 100));
        }
        let requests = node.due_adapter_requests(ms(1), &Name::from("node-1"));
        requests.into_iter().map(|r| (r.adapter, r.upstream)).collect::<HashMap<_, _>>()
    };
    let all = place(None);
    let count = |group: usize| {
        let index = |name: &Name| name.as_str()["engine-".len()..].parse::<usize>().expect("index");
        all.values().filter(|engine| index(engine) % 3 == group).count() as f64
    };
    // The shares are in proportion to the speed to the power of 1.5.
    let (fast, usual, slow) = (count(0) / 1_200.0, count(1) / 1_200.0, count(2) / 1_200.0);
    assert!((0.54..0.65).contains(&fast), "{fast} {usual} {slow}");
    assert!((0.22..0.33).contains(&usual), "{fast} {usual} {slow}");
    assert!((0.09..0.18).contains(&slow), "{fast} {usual} {slow}");
    let without = place(Some(4));
    let moved = all
        .iter()
        .filter(|(_, engine)| engine.as_str() != "engine-4")
        .filter(|(adapter, engine)| without.get(*adapter) != Some(engine));
    assert!(moved.count() < 24);
}

/// Guards against a prompt that no engine accepts because it delays streams everywhere.
#[test]
fn a_prompt_too_long_for_all_engines_is_placed() {
    let mut node = test_node(3, 0);
    for n in 0..3 {
        report(&mut node, ms(0), &format!("engine-{n}"), 160);
    }
    node.submit(ms(1), adapter_job(1, ms(1), "a1", 40_000));
    assert_eq!(node.due_adapter_requests(ms(1), &Name::from("node-1")).len(), 1);
}

/// Guards against a request that waits beyond its objective although its response would be late, and
/// against a stream to be resumed, or a request of a service without reported speeds, that is given
/// up as early. The times that rejections name must be spread.
#[test]
fn a_request_that_would_be_late_is_given_up() {
    let decide = |reports: bool, resumed: bool, id: u64| {
        let mut node = test_node(1, 0);
        if reports {
            report(&mut node, ms(0), "engine-0", 100);
        }
        let mut job = adapter_job(id, ms(0), "a1", 500);
        job.give_up = (!resumed).then_some(job.objective);
        assert_eq!(node.submit(ms(0), job), None);
        assert_eq!(node.dispatch_waiting(ms(990)), []);
        node.dispatch_waiting(ms(1_010)).pop().map(|(_, decision)| decision)
    };
    assert_eq!(decide(false, false, 1), None);
    assert_eq!(decide(true, true, 1), None);
    let Some(DispatchDecision::Reject { reason, retry_after }) = decide(true, false, 1) else {
        panic!("the request waits");
    };
    assert_eq!(reason.code(), "adapter_unavailable");
    let range = Duration::from_millis(500)..Duration::from_millis(750);
    assert!(range.contains(&retry_after), "{retry_after:?}");
}
