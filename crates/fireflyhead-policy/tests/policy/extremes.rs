//! Numbers of other parties that are as large as their types allow: from callers, upstreams, other
//! nodes and other writers of the store.

use std::sync::Arc;

use fireflyhead_policy::Name;
use fireflyhead_policy::dispatch::JobId;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::message::UpstreamLoad;
use fireflyhead_policy::protocol::EngineReport;
use fireflyhead_policy::protocol::LoadReport;
use fireflyhead_policy::protocol::OrderKind;
use fireflyhead_policy::residency::EngineCall;
use fireflyhead_policy::residency::OrderReply;
use fireflyhead_policy::residency::Residency;

use crate::setup::PLAIN_SERVICE;
use crate::setup::adapter_job;
use crate::setup::ms;
use crate::setup::place_adapters;
use crate::setup::plain_job;
use crate::setup::test_node;
use crate::setup::upstream_entry;

/// Guards against sums that overflow: in a build without checks the wait of a request would be
/// predicted as far too long or too short.
#[test]
fn the_largest_numbers_of_slots_and_loads_do_not_overflow() {
    let mut node = test_node(0, 2);
    for id in ["huge-0", "huge-1"] {
        let entry =
            UpstreamEntry { zone: Name::from("z"), ..upstream_entry(id, PLAIN_SERVICE, u32::MAX) };
        node.upsert_upstream(&Arc::new(entry));
    }
    let max = u32::MAX;
    let load = LoadReport { running: max, waiting: max, slots: max, pace: Some(max) };
    for id in ["desk-0", "huge-0"] {
        node.record_load_report(ms(0), id, load);
        for peer in ["node-2", "node-3"] {
            let load = UpstreamLoad {
                upstream: Name::from(id),
                in_flight: max,
                pending_prompt_tokens: max,
                queued_prompt_tokens: max,
                ..UpstreamLoad::default()
            };
            node.set_peer_loads(ms(0), &Name::from(peer), vec![load]);
        }
    }
    for n in 0..40 {
        node.submit(ms(1), plain_job(n, ms(1), 1));
    }
    node.dispatch_waiting(ms(2));
    for peer in ["node-2", "node-3"] {
        node.set_peer_loads(ms(3), &Name::from(peer), Vec::new());
    }
    assert!(node.submit(ms(4), plain_job(50, ms(4), 1)).is_some());
}

/// Guards against a caller that states so many prompt tokens that the sums overflow.
#[test]
fn the_largest_numbers_of_prompt_tokens_do_not_overflow() {
    let mut node = test_node(2, 0);
    place_adapters(&mut node, "engine-0", &["a1"]);
    for n in 0..6 {
        node.submit(ms(n), adapter_job(n, ms(n), "a1", u32::MAX));
    }
    let holder_load = UpstreamLoad {
        upstream: Name::from("engine-0"),
        all_nodes: true,
        in_flight: u32::MAX,
        pending_prompt_tokens: u32::MAX,
        queued_prompt_tokens: u32::MAX,
        adapters: vec![(Name::from("a1"), u32::MAX), (Name::from("a1"), u32::MAX)],
        ..UpstreamLoad::default()
    };
    node.set_peer_loads(ms(10), &Name::from("node-1"), vec![holder_load]);
    place_adapters(&mut node, "engine-1", &["a1"]);
    node.dispatch_waiting(ms(20));
    node.admission.engine_loads(ms(20));
    for n in 0..6 {
        node.cancel(JobId(n));
    }
    node.dispatch_waiting(ms(2_000));
}

/// Guards against an engine that reports the largest number of accepted orders.
#[test]
fn the_largest_number_of_orders_does_not_overflow() {
    let mut residency = Residency::new(Name::from("base"), 4, 1);
    let report = EngineReport {
        born: 1,
        orders: u64::MAX,
        models: vec![(Name::from("base"), 1)],
        ..EngineReport::default()
    };
    residency.handle_report(ms(10), ms(5), &report);
    let call = EngineCall::SendOrder {
        kind: OrderKind::Load,
        adapter: Some(Name::from("a1")),
        version: Some(u64::MAX),
        precondition: u64::MAX,
    };
    residency.handle_order_reply(ms(20), &call, OrderReply::Accepted);
    assert_eq!(residency.occupied_slots(), 1);
}
