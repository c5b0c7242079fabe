//! Orders to one engine that answers late, not at all, or restarts.

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

const SLOTS: usize = 4;
const ALL: LoadPermission = LoadPermission { adapter_loads: true, model_loads: true };

/// Engine as the platform's pages describe it.
#[derive(Default)]
struct Engine {
    orders: u64,
    held: HashMap<Name, (u64, u64)>,
    used: HashMap<Name, u32>,
    late: Vec<(u64, EngineCall)>,
    overfull: bool,
}

impl Engine {
    /// Carries out an order if its precondition holds.
    fn order(&mut self, now: u64, step: &EngineCall) -> OrderReply {
        let EngineCall::Order { kind, adapter, version, precondition } = step else {
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

    fn carry_out_late(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        let due: Vec<(u64, EngineCall)> = due;
        for (_, step) in due {
            self.order(now, &step);
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

fn drive(
    residency: &mut Residency,
    engine: &mut Engine,
    now: u64,
    lose: Option<u64>,
    newest: &dyn Fn(Option<&Name>) -> Option<u64>,
) {
    engine.carry_out_late(now);
    residency.update_usage(ms(now), &engine.used);
    match residency.next_call(ms(now), newest, ALL) {
        Some(EngineCall::Report) => {
            residency.record_report_sent(ms(now));
            residency.handle_report(ms(now), ms(now), &engine.report(now));
        }
        Some(step) => {
            let reply = match lose {
                Some(delay) => {
                    engine.late.push((now + delay, step.clone()));
                    OrderReply::Unanswered
                }
                None => engine.order(now, &step),
            };
            residency.handle_order_reply(ms(now), &step, reply);
        }
        None => {}
    }
}

proptest! {
    /// Guards against an engine that crashes because it was ordered to load more than its
    /// slots hold: orders that are lost and carried out seconds later, in any order, never
    /// overfill it.
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
            let lose = (fault == 0).then_some(delay);
            drive(&mut residency, &mut engine, now, lose, &|_| None);
            prop_assert!(!engine.overfull);
            prop_assert!(residency.occupied_slots() <= SLOTS + 1);
        }
        for _ in 0..400 {
            now += 50;
            drive(&mut residency, &mut engine, now, None, &|_| None);
            prop_assert!(!engine.overfull);
        }
    }
}

/// Event between two steps of the holder.
#[derive(Clone, Copy, Debug)]
enum Event {
    None,
    /// The next order is carried out after this time, in milliseconds, and not answered.
    Late(u64),
    /// Another node takes custody and knows nothing of the orders before.
    Takeover,
    /// The engine starts anew under its id; orders that it had not carried out end with it.
    Restart,
    /// A newer version of all adapters is named.
    Version,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => Just(Event::None),
        3 => (0_u64..12_000).prop_map(Event::Late),
        1 => Just(Event::Takeover),
        1 => Just(Event::Restart),
        1 => Just(Event::Version),
    ]
}

proptest! {
    /// Guards against engines that are overfilled, or keep an old version, when holders change
    /// while orders are late and engines restart. Custody keeps the holders apart in time; what
    /// the former one ordered may still take effect seconds later.
    #[test]
    fn holders_in_turn_never_overfill_the_engine(
        steps in proptest::collection::vec((0_u8..12, event()), 1..400),
    ) {
        let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
        let mut engine = Engine::default();
        let (mut now, mut version) = (1_000, 1);
        for (adapter, event) in steps {
            now += 50;
            let mut lose = None;
            match event {
                Event::None => {}
                Event::Late(delay) => lose = Some(delay),
                Event::Takeover => residency = Residency::new(Name::from(MODEL), SLOTS, 1),
                Event::Restart => {
                    engine = Engine::default();
                    residency = Residency::new(Name::from(MODEL), SLOTS, 1);
                }
                Event::Version => version += 1,
            }
            residency.request_adapter(ms(now), &Name::from(format!("a{adapter}")), 1, 1);
            drive(&mut residency, &mut engine, now, lose, &|adapter| adapter.map(|_| version));
            prop_assert!(!engine.overfull);
        }
        // All late orders have come, and the last holder has brought the engine up to date.
        for _ in 0..400 {
            now += 50;
            drive(&mut residency, &mut engine, now, None, &|adapter| adapter.map(|_| version));
            prop_assert!(!engine.overfull);
        }
        for (adapter, (held, _)) in &engine.held {
            prop_assert_eq!(*held, version, "{} is at an old version", adapter);
        }
    }
}

fn settled(wants: &[&str], used: &[&str]) -> (Residency, Engine, u64) {
    let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
    let used = used.iter().map(|name| (Name::from(*name), 1)).collect();
    let mut engine = Engine { used, ..Engine::default() };
    let mut now = 1_000;
    for want in wants {
        for _ in 0..60 {
            now += 20;
            residency.request_adapter(ms(now), &Name::from(*want), 1, 1);
            drive(&mut residency, &mut engine, now, None, &|_| None);
        }
    }
    (residency, engine, now)
}

/// Guards against a wanted adapter that is not loaded, and against evicting one in use.
#[test]
fn the_coldest_unused_adapter_makes_place() {
    let (_, engine, _) = settled(&["a1", "a2", "a3", "a4", "a5"], &["a1", "a2", "a4"]);
    let mut held: Vec<String> = engine.held.keys().map(ToString::to_string).collect();
    held.sort();
    assert_eq!(held, ["a1", "a2", "a4", "a5"]);
}

/// Guards against an eviction of an adapter that serves requests.
#[test]
fn nothing_is_evicted_while_all_are_in_use() {
    let (_, engine, _) = settled(&["a1", "a2", "a3", "a4", "a5"], &["a1", "a2", "a3", "a4"]);
    assert!(!engine.held.contains_key("a5"));
    assert_eq!(engine.held.len(), SLOTS);
}

/// Guards against an old version that stays in place.
#[test]
fn a_newer_version_replaces_an_idle_one_at_once_and_a_used_one_soon() {
    let newest = |adapter: Option<&Name>| adapter.map(|_| 2);
    for (used, bound) in [(&[][..], 100), (&["a1"][..], 1_700)] {
        let (mut residency, mut engine, mut now) = settled(&["a1"], used);
        let start = now;
        while engine.held.get("a1").is_some_and(|(version, _)| *version == 1) {
            now += 20;
            drive(&mut residency, &mut engine, now, None, &newest);
            assert!(now - start <= bound, "used {used:?}: not replaced after {bound} ms");
        }
    }
}

/// Guards against an order that is repeated for ever: an engine loaded the newest version
/// before this node learned of it, and answers that the order holds already.
#[test]
fn a_version_that_is_in_place_is_not_ordered_again() {
    let (mut residency, _, now) = settled(&["a1"], &[]);
    let newest = |adapter: Option<&Name>| adapter.map(|_| 2);
    let Some(step) = residency.next_call(ms(now), newest, ALL) else { panic!("no order") };
    residency.handle_order_reply(ms(now), &step, OrderReply::AlreadyApplied);
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
        assert_eq!(residency.next_call(ms(now + later), newest, ALL), None, "after {later} ms");
    }
}

/// Guards against an engine that restarted empty and never gets its base model back.
#[test]
fn an_absent_base_model_is_ordered_first() {
    let mut residency = Residency::new(Name::from(MODEL), SLOTS, 1);
    assert_eq!(residency.next_call(ms(1_000), |_| None, ALL), Some(EngineCall::Report));
    residency.handle_report(
        ms(1_001),
        ms(1_000),
        &EngineReport { born: 1, ..EngineReport::default() },
    );
    residency.request_adapter(ms(1_002), &Name::from("a1"), 1, 1);
    let step = residency.next_call(ms(1_002), |_| None, ALL);
    let load =
        EngineCall::Order { kind: OrderKind::Load, adapter: None, version: None, precondition: 0 };
    assert_eq!(step, Some(load));
    let held = LoadPermission { model_loads: false, ..ALL };
    assert_eq!(
        residency.next_call(ms(1_002), |_| None, held),
        None,
        "the weight store's rate is used up"
    );
}
