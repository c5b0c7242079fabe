//! Orders to one engine that executes them late, does not reply, or restarts.

use std::collections::BTreeMap;
use std::collections::HashMap;

use fireflyhead_policy::Name;
use fireflyhead_policy::protocol::EngineReport;
use fireflyhead_policy::protocol::HeldAdapter;
use fireflyhead_policy::protocol::OrderKind;
use fireflyhead_policy::residency::EngineCall;
use fireflyhead_policy::residency::LoadPermission;
use fireflyhead_policy::residency::OrderReply;
use fireflyhead_policy::residency::Residency;
use proptest::prelude::*;

use crate::setup::MODEL;
use crate::setup::ms;

/// Adapter slots of the engine.
const SLOTS: usize = 4;
const ALL_LOADS: LoadPermission = LoadPermission { adapter_loads: true, model_loads: true };

/// Engine that behaves as the platform's documentation states. Times are in milliseconds.
#[derive(Default)]
struct Engine {
    /// Number of accepted orders.
    orders: u64,
    /// Version of each adapter and the time at which its load ends.
    held: HashMap<Name, (u64, u64)>,
    /// Requests that use each adapter.
    usage: BTreeMap<Name, u32>,
    /// Orders without a reply, with the time at which they are executed.
    late_orders: Vec<(u64, EngineCall)>,
    /// More adapters than slots were loaded at some time.
    overfull: bool,
}

impl Engine {
    /// Executes an order if its precondition holds.
    fn execute_order(&mut self, now: u64, call: &EngineCall) -> OrderReply {
        let EngineCall::SendOrder { kind, adapter, version, precondition } = call else {
            unreachable!("not an order")
        };
        if *precondition != self.orders {
            return OrderReply::Conflict;
        }
        let Some(adapter) = adapter else { return OrderReply::AlreadyApplied };
        match kind {
            OrderKind::Load => {
                self.orders += 1;
                self.held.insert(adapter.clone(), (version.unwrap_or(1), now + 250));
                self.overfull |= self.held.len() > SLOTS;
                OrderReply::Accepted
            }
            OrderKind::Unload => {
                self.orders += 1;
                self.held.remove(adapter);
                OrderReply::AlreadyApplied
            }
        }
    }

    /// Executes the late orders that are due.
    fn execute_late_orders(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.late_orders).into_iter().partition(|(at, _)| *at <= now);
        self.late_orders = later;
        let due: Vec<(u64, EngineCall)> = due;
        for (_, call) in due {
            self.execute_order(now, &call);
        }
    }

    fn report(&self, now: u64) -> EngineReport {
        let held = |ready: bool| {
            self.held
                .iter()
                .filter(move |(_, (_, at))| (*at <= now) == ready)
                .map(|(adapter, (version, _))| HeldAdapter {
                    model: Name::from(MODEL),
                    adapter: adapter.clone(),
                    version: *version,
                })
                .collect::<Vec<HeldAdapter>>()
        };
        EngineReport {
            born: 1,
            orders: self.orders,
            busy: false,
            models: vec![(Name::from(MODEL), 1)],
            adapters: held(true),
            coming: held(false),
        }
    }
}

/// Executes the late orders and then the next call, if one is due. With `late_by_ms`, an order is
/// executed after this time and gets no reply.
fn run_step(
    residency: &mut Residency,
    engine: &mut Engine,
    now: u64,
    late_by_ms: Option<u64>,
    newest: &dyn Fn(Option<&Name>) -> Option<u64>,
) {
    engine.execute_late_orders(now);
    residency.update_usage(ms(now), &engine.usage);
    match residency.next_call(ms(now), newest, ALL_LOADS) {
        Some(EngineCall::FetchReport) => {
            residency.record_report_sent(ms(now));
            residency.handle_report(ms(now), ms(now), &engine.report(now));
        }
        Some(call) => {
            let reply = match late_by_ms {
                Some(delay) => {
                    engine.late_orders.push((now + delay, call.clone()));
                    OrderReply::Unanswered
                }
                None => engine.execute_order(now, &call),
            };
            residency.handle_order_reply(ms(now), &call, reply);
        }
        None => {}
    }
}

proptest! {
    /// Guards against an engine that crashes because it was ordered to load more adapters than it
    /// has slots: orders without a reply may be executed seconds later and in any sequence.
    #[test]
    fn late_orders_never_overfill_the_engine(
        steps in proptest::collection::vec((0_u8..12, 0_u64..4, 0_u64..12_000), 1..500),
    ) {
        let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
        let mut engine = Engine::default();
        let mut now = 1_000;
        for (adapter, fault, delay) in steps {
            now += 50;
            residency.request_adapter(ms(now), &Name::from(format!("a{adapter}")), 1, 1);
            let late_by_ms = (fault == 0).then_some(delay);
            run_step(&mut residency, &mut engine, now, late_by_ms, &|_| None);
            prop_assert!(!engine.overfull);
            prop_assert!(residency.occupied_slots() <= SLOTS + 1);
        }
        for _ in 0..400 {
            now += 50;
            run_step(&mut residency, &mut engine, now, None, &|_| None);
            prop_assert!(!engine.overfull);
        }
    }
}

/// Event before a step of the holder.
#[derive(Clone, Copy, Debug)]
enum Event {
    None,
    /// The order of this step is executed after this time, in milliseconds, and gets no reply.
    LateOrder(u64),
    /// Another node becomes the holder and does not know the earlier orders.
    Takeover,
    /// The engine restarts under its id; orders that it had not executed are lost.
    Restart,
    /// Operators name a newer version of all adapters.
    NewVersion,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => Just(Event::None),
        3 => (0_u64..12_000).prop_map(Event::LateOrder),
        1 => Just(Event::Takeover),
        1 => Just(Event::Restart),
        1 => Just(Event::NewVersion),
    ]
}

proptest! {
    /// Guards against an engine that is overfilled, or keeps an old version, when its holder
    /// changes while orders are late, or when it restarts. Two holders never send orders at the
    /// same time, but an order of the former one may still take effect seconds later.
    #[test]
    fn a_change_of_holder_never_overfills_the_engine(
        steps in proptest::collection::vec((0_u8..12, event()), 1..400),
    ) {
        let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
        let mut engine = Engine::default();
        let (mut now, mut version) = (1_000, 1);
        for (adapter, event) in steps {
            now += 50;
            let mut late_by_ms = None;
            match event {
                Event::None => {}
                Event::LateOrder(delay) => late_by_ms = Some(delay),
                Event::Takeover => residency = Residency::new(Name::from(MODEL), SLOTS, 1),
                Event::Restart => {
                    engine = Engine::default();
                    residency = Residency::new(Name::from(MODEL), SLOTS, 1);
                }
                Event::NewVersion => version += 1,
            }
            residency.request_adapter(ms(now), &Name::from(format!("a{adapter}")), 1, 1);
            run_step(&mut residency, &mut engine, now, late_by_ms, &|adapter| adapter.map(|_| version));
            prop_assert!(!engine.overfull);
        }
        // By then all late orders have been executed, and the last holder has updated the adapters.
        for _ in 0..400 {
            now += 50;
            run_step(&mut residency, &mut engine, now, None, &|adapter| adapter.map(|_| version));
            prop_assert!(!engine.overfull);
        }
        for (adapter, (held, _)) in &engine.held {
            prop_assert_eq!(*held, version, "{} is at an old version", adapter);
        }
    }
}

/// Requests `adapters` one after the other, for 1.2 s each, while requests use those in `used`.
/// Returns the state of the holder, the engine and the time in milliseconds.
fn request_in_turn(adapters: &[&str], used: &[&str]) -> (Residency, Engine, u64) {
    let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
    let usage = used.iter().map(|name| (Name::from(*name), 1)).collect();
    let mut engine = Engine { usage, ..Engine::default() };
    let mut now = 1_000;
    for adapter in adapters {
        for _ in 0..60 {
            now += 20;
            residency.request_adapter(ms(now), &Name::from(*adapter), 1, 1);
            run_step(&mut residency, &mut engine, now, None, &|_| None);
        }
    }
    (residency, engine, now)
}

/// Guards against a requested adapter that is not loaded because all slots are occupied, and
/// against the eviction of an adapter in use to make room for it.
#[test]
fn an_unused_adapter_is_evicted_for_a_requested_one() {
    let (_, engine, _) = request_in_turn(&["a1", "a2", "a3", "a4", "a5"], &["a1", "a2", "a4"]);
    let mut held: Vec<String> = engine.held.keys().map(ToString::to_string).collect();
    held.sort();
    assert_eq!(held, ["a1", "a2", "a4", "a5"]);
}

/// Guards against the eviction of an adapter in use when requests use all adapters.
#[test]
fn no_adapter_is_evicted_while_all_are_in_use() {
    let (_, engine, _) =
        request_in_turn(&["a1", "a2", "a3", "a4", "a5"], &["a1", "a2", "a3", "a4"]);
    assert!(!engine.held.contains_key("a5"));
    assert_eq!(engine.held.len(), SLOTS);
}

/// Guards against an old version that stays loaded after operators named a newer one, also while
/// requests use it all the time.
#[test]
fn a_newer_version_replaces_an_unused_one_at_once_and_a_used_one_soon() {
    let newest = |adapter: Option<&Name>| adapter.map(|_| 2);
    for (used, bound) in [(&[][..], 100), (&["a1"][..], 1_700)] {
        let (mut residency, mut engine, mut now) = request_in_turn(&["a1"], used);
        let start = now;
        while engine.held.get("a1").is_some_and(|(version, _)| *version == 1) {
            now += 20;
            run_step(&mut residency, &mut engine, now, None, &newest);
            assert!(now - start <= bound, "used {used:?}: not replaced after {bound} ms");
        }
    }
}

/// Guards against an order that is repeated forever: the engine loaded the newest version before
/// the operators' choice reached this node, and replies that the order is already applied.
#[test]
fn a_version_that_is_loaded_already_is_not_ordered_again() {
    let (mut residency, _, now) = request_in_turn(&["a1"], &[]);
    let newest = |adapter: Option<&Name>| adapter.map(|_| 2);
    let Some(call) = residency.next_call(ms(now), newest, ALL_LOADS) else { panic!("no order") };
    residency.handle_order_reply(ms(now), &call, OrderReply::AlreadyApplied);
    let held = HeldAdapter { model: Name::from(MODEL), adapter: Name::from("a1"), version: 2 };
    let report = EngineReport {
        born: 1,
        orders: 1,
        models: vec![(Name::from(MODEL), 1)],
        adapters: vec![held],
        ..EngineReport::default()
    };
    residency.handle_report(ms(now + 10), ms(now + 5), &report);
    for later in (20..2_000).step_by(20) {
        assert_eq!(
            residency.next_call(ms(now + later), newest, ALL_LOADS),
            None,
            "after {later} ms"
        );
    }
}

/// Guards against an engine that restarted without its base model and never gets it again because
/// adapters are ordered first, and against base model loads beyond the weight store's rate.
#[test]
fn an_absent_base_model_is_ordered_before_adapters() {
    let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
    assert_eq!(residency.next_call(ms(1_000), |_| None, ALL_LOADS), Some(EngineCall::FetchReport));
    residency.handle_report(
        ms(1_001),
        ms(1_000),
        &EngineReport { born: 1, ..EngineReport::default() },
    );
    residency.request_adapter(ms(1_002), &Name::from("a1"), 1, 1);
    let call = residency.next_call(ms(1_002), |_| None, ALL_LOADS);
    let load = EngineCall::SendOrder {
        kind: OrderKind::Load,
        adapter: None,
        version: None,
        precondition: 0,
    };
    assert_eq!(call, Some(load));
    let no_model_loads = LoadPermission { model_loads: false, ..ALL_LOADS };
    assert_eq!(
        residency.next_call(ms(1_002), |_| None, no_model_loads),
        None,
        "a model load was ordered without permission"
    );
}
