//! Adapters of one engine, decided by the node that has custody of it.
//!
//! Answers skewed popularity with few adapter slots: an adapter with waiting requests is
//! loaded at once in place of the coldest one that nobody uses. Loads that were carried out
//! late or whose reply was lost can't overfill the engine, because every order carries the
//! number of orders that the engine must have accepted before, and a slot is counted as
//! taken until a report shows that it is free.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::PlacedAdapter;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;

/// Loads that one engine carries out at once; the platform's engines accept four.
const MAX_COMING: usize = 4;
/// Age of a report up to which it may predate an order; engines report with a lag of some 100 ms.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Time after which the first report on a load from the store is asked for; no deployment loads one
/// in less than 250 ms.
const FIRST_REPORT: Duration = Duration::from_millis(200);
/// Time after which the first report on a load of a recently held adapter is asked for.
const FIRST_REPORT_WARM: Duration = Duration::from_millis(30);
/// Time between reports while a load or an unload is under way.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time between reports while an old version waits for its requests to end.
const REPORT_INTERVAL_SLOW: Duration = Duration::from_millis(300);
/// Time for which a want holds after it was last stated; nodes repeat them more often.
const WANT_TTL: Duration = Duration::from_millis(300);
/// Shortest stay of an adapter, so that two wants don't evict each other in turn.
const MIN_STAY: Duration = Duration::from_millis(400);
/// Time for which an old version in use is left in place while another engine loads the new one.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
/// Factor by which the heat of an adapter falls each second.
const HEAT_DECAY_PER_S: f64 = 0.93;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Coming { since: Time },
    Present { since: Time },
    Leaving { since: Time },
}

#[derive(Clone, Debug)]
struct Slot {
    version: u64,
    state: State,
    used: u32,
    heat: f64,
    /// Time at which a newer version was first seen.
    outdated: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Want {
    first: Time,
    last: Time,
    waiting: u32,
    priority: u8,
}

/// Next call to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCall {
    /// Ask for its state.
    Report,
    /// Give an order.
    Order {
        /// Operation.
        kind: OrderKind,
        /// Adapter; `None` for the base model.
        adapter: Option<Name>,
        /// Version to load.
        version: Option<u64>,
        /// Number of orders that the engine must have accepted before.
        precondition: u64,
    },
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The order is carried out.
    Accepted,
    /// What was ordered holds already.
    AlreadyApplied,
    /// Another order came before, or one is under way.
    Conflict,
    /// The engine rejects the order.
    Rejected,
    /// Another engine has the address.
    Misdirected,
    /// No reply came; the order may be carried out later.
    Unanswered,
}

/// Base model of one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Base {
    Absent,
    Coming { since: Time },
    Present { version: u64 },
}

/// What the caller of [`Residency::next_call`] allows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadPermission {
    /// Another adapter may come from the store.
    pub adapter_loads: bool,
    /// A base model may come from the weight store.
    pub model_loads: bool,
}

/// Base model and adapters of one engine.
#[derive(Debug)]
pub struct Residency {
    model: Name,
    slots: usize,
    incarnation: u64,
    base: Base,
    orders: Option<u64>,
    adapters: HashMap<Name, Slot>,
    wants: HashMap<Name, Want>,
    warm: HashMap<Name, Time>,
    unanswered: Option<EngineCall>,
    report_sent: Time,
    decayed: Time,
    blocked_until: Time,
}

impl Residency {
    /// Engine for `model` with `slots` adapter slots, whose content is not known yet.
    pub fn new(model: Name, slots: usize, incarnation: u64) -> Residency {
        Residency {
            model,
            slots,
            incarnation,
            base: Base::Absent,
            orders: None,
            adapters: HashMap::new(),
            wants: HashMap::new(),
            warm: HashMap::new(),
            unanswered: None,
            report_sent: Time::default(),
            decayed: Time::default(),
            blocked_until: Time::default(),
        }
    }

    /// Base model that the engine should hold.
    pub fn model(&self) -> &Name {
        &self.model
    }

    /// Whether the content of the engine is known.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Start of the engine that this state belongs to, in milliseconds of Unix time.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes a want of a node.
    pub fn request_adapter(&mut self, now: Time, adapter: &Name, waiting: u32, priority: u8) {
        let want = self.wants.entry(adapter.clone()).or_insert(Want {
            first: now,
            last: now,
            waiting,
            priority,
        });
        want.last = now;
        want.waiting = want.waiting.max(waiting);
        want.priority = want.priority.min(priority);
    }

    /// Takes the number of requests that use each adapter, over all nodes.
    pub fn update_usage(&mut self, now: Time, used: &HashMap<Name, u32>) {
        let decay = HEAT_DECAY_PER_S.powf(now.since(self.decayed).as_secs_f64());
        let span = now.since(self.decayed).as_secs_f64().min(1.0);
        self.decayed = now;
        for (adapter, slot) in &mut self.adapters {
            slot.used = used.get(adapter).copied().unwrap_or(0);
            slot.heat = slot.heat * decay + f64::from(slot.used.min(8)) * span;
        }
    }

    /// Next call, if one is due. `newest` gives the version that an adapter, or without one the
    /// base model, must have.
    pub fn next_call(
        &mut self,
        now: Time,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
        allowed: LoadPermission,
    ) -> Option<EngineCall> {
        self.wants.retain(|_, want| now.since(want.last) < WANT_TTL);
        let Some(orders) = self.orders else {
            return self.report_due(now, REPORT_INTERVAL).then_some(EngineCall::Report);
        };
        if now < self.blocked_until {
            return None;
        }
        if let Some(step) = &self.unanswered {
            // The same order with the same precondition can take effect only once.
            return Some(step.clone());
        }
        for (adapter, slot) in &mut self.adapters {
            match newest(Some(adapter)) {
                Some(version) if version > slot.version => {
                    slot.outdated.get_or_insert(now);
                }
                Some(_) | None => slot.outdated = None,
            }
        }
        match self.base {
            Base::Present { version } if newest(None).is_none_or(|newest| newest <= version) => {
                self.replacement(now, orders, &newest)
                    .or_else(|| self.load(now, orders, &newest, allowed))
                    .or_else(|| self.report_step(now))
            }
            Base::Present { .. } | Base::Absent if allowed.model_loads => {
                Some(order(OrderKind::Load, None, newest(None), orders))
            }
            Base::Present { .. } | Base::Absent => self.report_step(now),
            Base::Coming { .. } => {
                self.report_due(now, REPORT_INTERVAL_SLOW).then_some(EngineCall::Report)
            }
        }
    }

    /// Records that a report was asked for.
    pub fn record_report_sent(&mut self, now: Time) {
        self.report_sent = now;
    }

    /// Takes the reply to an order.
    pub fn handle_order_reply(&mut self, now: Time, step: &EngineCall, reply: OrderReply) {
        let EngineCall::Order { kind, adapter, version, .. } = step else { return };
        self.unanswered = None;
        let Some(adapter) = adapter else {
            self.base_replied(now, step, reply);
            return;
        };
        match (reply, kind) {
            (OrderReply::Unanswered, _) => {
                self.unanswered = Some(step.clone());
                self.blocked_until = now + REPORT_INTERVAL;
            }
            (OrderReply::Conflict | OrderReply::Misdirected, _) => self.orders = None,
            (OrderReply::Rejected, _) => {
                // An adapter that does not exist; its want lapses when its callers are rejected.
                self.wants.remove(adapter);
                self.orders = None;
                self.blocked_until = now + REPORT_INTERVAL_SLOW;
            }
            (OrderReply::Accepted, OrderKind::Load) => {
                self.count_order();
                let heat = self.adapters.get(adapter).map_or(0.0, |slot| slot.heat);
                let slot = Slot {
                    version: version.unwrap_or(0),
                    state: State::Coming { since: now },
                    used: 0,
                    heat,
                    outdated: None,
                };
                self.adapters.insert(adapter.clone(), slot);
            }
            (OrderReply::Accepted, OrderKind::Unload) => {
                self.count_order();
                if let Some(slot) = self.adapters.get_mut(adapter) {
                    slot.state = State::Leaving { since: now };
                }
            }
            (OrderReply::AlreadyApplied, OrderKind::Load) => {
                // Whether the count of orders moved is told by the next report.
                self.orders = None;
            }
            (OrderReply::AlreadyApplied, OrderKind::Unload) => {
                self.count_order();
                self.adapters.remove(adapter);
                self.warm.insert(adapter.clone(), now);
            }
        }
    }

    /// Takes a report that was asked for at `sent`.
    pub fn handle_report(&mut self, now: Time, sent: Time, report: &EngineReport) {
        match (self.orders, report.orders) {
            // The report predates an order that was accepted since.
            (Some(known), reported) if reported < known => return,
            (Some(_), _) | (None, _) => self.orders = Some(report.orders),
        }
        let base = report.models.iter().find(|(model, _)| *model == self.model);
        self.base = match (self.base, base) {
            (Base::Coming { since }, _) if report.busy || since + REPORT_LAG > sent => self.base,
            (_, Some((_, version))) => Base::Present { version: *version },
            (_, None) if report.busy => Base::Coming { since: now },
            (_, None) => Base::Absent,
        };
        for held in &report.adapters {
            let slot = self.adapters.entry(held.adapter.clone()).or_insert(Slot {
                version: held.version,
                state: State::Present { since: now },
                used: 0,
                heat: 0.0,
                outdated: None,
            });
            match slot.state {
                State::Coming { since } if slot.version <= held.version => {
                    slot.state = State::Present { since };
                    slot.version = held.version;
                }
                State::Coming { .. } | State::Leaving { .. } => {}
                State::Present { .. } => slot.version = held.version,
            }
        }
        for held in &report.coming {
            self.adapters.entry(held.adapter.clone()).or_insert(Slot {
                version: held.version,
                state: State::Coming { since: now },
                used: 0,
                heat: 0.0,
                outdated: None,
            });
        }
        let listed = |adapter: &Name| {
            report.adapters.iter().chain(&report.coming).any(|held| held.adapter == *adapter)
        };
        let warm = &mut self.warm;
        self.adapters.retain(|adapter, slot| {
            let changed = match slot.state {
                State::Coming { since } | State::Leaving { since } => since,
                State::Present { since } => since,
            };
            let keep = listed(adapter) || changed + REPORT_LAG > sent;
            if !keep {
                warm.insert(adapter.clone(), now);
            }
            keep
        });
    }

    /// Adapters for the other nodes.
    pub fn placed_adapters(&self) -> Vec<PlacedAdapter> {
        self.adapters
            .iter()
            .filter(|(_, slot)| !matches!(slot.state, State::Leaving { .. }))
            .map(|(adapter, slot)| PlacedAdapter {
                adapter: adapter.clone(),
                version: slot.version,
                ready: matches!(slot.state, State::Present { .. }),
            })
            .collect()
    }

    /// Number of slots in use, loads under way included.
    pub fn occupied_slots(&self) -> usize {
        self.adapters.len()
    }

    /// Number of slots that another adapter can take now.
    pub fn available_slots(&self) -> u32 {
        let taken = self
            .adapters
            .values()
            .filter(|slot| slot.used > 0 || !matches!(slot.state, State::Present { .. }))
            .count();
        u32::try_from(self.slots.saturating_sub(taken)).unwrap_or(u32::MAX)
    }

    /// Number of loads from the store under way.
    pub fn loads_in_progress(&self) -> u32 {
        let loading = self
            .adapters
            .iter()
            .filter(|(adapter, slot)| {
                matches!(slot.state, State::Coming { .. }) && !self.warm.contains_key(*adapter)
            })
            .count();
        u32::try_from(loading).unwrap_or(u32::MAX)
    }

    fn base_replied(&mut self, now: Time, step: &EngineCall, reply: OrderReply) {
        match reply {
            OrderReply::Accepted => {
                self.count_order();
                self.base = Base::Coming { since: now };
            }
            OrderReply::Unanswered => {
                self.unanswered = Some(step.clone());
                self.blocked_until = now + REPORT_INTERVAL;
            }
            OrderReply::AlreadyApplied | OrderReply::Conflict | OrderReply::Misdirected => {
                self.orders = None;
            }
            OrderReply::Rejected => {
                self.orders = None;
                self.blocked_until = now + REPORT_INTERVAL_SLOW;
            }
        }
    }

    fn count_order(&mut self) {
        self.orders = self.orders.map(|orders| orders + 1);
    }

    fn coming(&self) -> usize {
        self.adapters.values().filter(|slot| matches!(slot.state, State::Coming { .. })).count()
    }

    fn report_due(&self, now: Time, interval: Duration) -> bool {
        now.since(self.report_sent) >= interval
    }

    /// Order that replaces an old version, once nobody uses it or it has been left for long enough.
    fn replacement(
        &self,
        now: Time,
        orders: u64,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
    ) -> Option<EngineCall> {
        if self.coming() >= MAX_COMING {
            return None;
        }
        let (adapter, _) = self.adapters.iter().find(|(_, slot)| {
            matches!(slot.state, State::Present { .. })
                && slot
                    .outdated
                    .is_some_and(|since| slot.used == 0 || now.since(since) >= REPLACE_AFTER)
        })?;
        Some(order(OrderKind::Load, Some(adapter), newest(Some(adapter)), orders))
    }

    /// Load of the most wanted adapter, or the unload that makes place for it.
    fn load(
        &self,
        now: Time,
        orders: u64,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
        allowed: LoadPermission,
    ) -> Option<EngineCall> {
        let (adapter, _) = self
            .wants
            .iter()
            .filter(|(adapter, _)| !self.adapters.contains_key(*adapter))
            .filter(|(adapter, _)| allowed.adapter_loads || self.warm.contains_key(*adapter))
            .min_by_key(|(_, want)| (want.priority, u32::MAX - want.waiting, want.first))?;
        if self.coming() >= MAX_COMING {
            return None;
        }
        if self.occupied_slots() < self.slots {
            return Some(order(OrderKind::Load, Some(adapter), newest(Some(adapter)), orders));
        }
        let victim = self.victim(now)?;
        Some(order(OrderKind::Unload, Some(victim), None, orders))
    }

    /// Coldest adapter that nobody uses or wants.
    fn victim(&self, now: Time) -> Option<&Name> {
        if self.adapters.values().any(|slot| matches!(slot.state, State::Leaving { .. })) {
            return None;
        }
        self.adapters
            .iter()
            .filter(|(adapter, slot)| match slot.state {
                State::Present { since } => {
                    slot.used == 0
                        && !self.wants.contains_key(*adapter)
                        && now.since(since) >= MIN_STAY
                }
                State::Coming { .. } | State::Leaving { .. } => false,
            })
            .min_by(|(_, a), (_, b)| a.heat.total_cmp(&b.heat))
            .map(|(adapter, _)| adapter)
    }

    fn report_step(&self, now: Time) -> Option<EngineCall> {
        let due = self.adapters.iter().any(|(adapter, slot)| match slot.state {
            State::Coming { since } => {
                let (first, interval) = match (self.warm.contains_key(adapter), now.since(since)) {
                    (true, _) => (FIRST_REPORT_WARM, REPORT_INTERVAL),
                    (false, age) if age < Duration::from_secs(2) => (FIRST_REPORT, REPORT_INTERVAL),
                    (false, _) => (FIRST_REPORT, REPORT_INTERVAL_SLOW),
                };
                now.since(since) >= first && self.report_due(now, interval)
            }
            State::Leaving { .. } => self.report_due(now, REPORT_INTERVAL_SLOW),
            State::Present { .. } => false,
        });
        due.then_some(EngineCall::Report)
    }
}

fn order(
    kind: OrderKind,
    adapter: Option<&Name>,
    version: Option<u64>,
    precondition: u64,
) -> EngineCall {
    EngineCall::Order { kind, adapter: adapter.cloned(), version, precondition }
}
