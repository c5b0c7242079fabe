//! Base model and adapters of one engine, managed by its holder
//! ([`ownership`](crate::ownership)).
//!
//! Handles skewed popularity with few adapter slots: an adapter that requests wait for is loaded
//! at once and replaces the least popular adapter that no request uses.
//!
//! Orders that are executed late and orders whose reply was lost can't overfill the engine: each
//! order carries the number of orders that the engine must have accepted before, and a slot counts
//! as taken until a report shows that it is free.

mod eviction;
mod load_times;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::message::PlacedAdapter;
use crate::protocol::EngineReport;
use crate::protocol::OrderKind;

pub use self::eviction::OrderInputs;
use self::load_times::LoadTimes;

/// Loads that one engine performs concurrently; the platform's engines accept four.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Time after an order for which reports may not show its effect yet; reports lag by about 100 ms.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Interval between reports while a load or an unload is in progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reports during operations that take long, such as the unload of an adapter
/// whose requests have to end first or a load that has run for seconds.
const REPORT_INTERVAL_SLOW: Duration = Duration::from_millis(300);
/// Time after which a request for an adapter lapses unless it is repeated; nodes repeat it more
/// often.
const REQUEST_TTL: Duration = Duration::from_millis(300);
/// Time for which an outdated version that is in use stays in place while another engine loads
/// the new one.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
/// Time after the removal of an adapter for which the engine loads it faster than others. The
/// platform only says "recently".
const WARM_DURATION: Duration = Duration::from_secs(30);
/// Factor by which the popularity of an adapter falls each second.
const POPULARITY_DECAY_PER_S: f64 = 0.93;

/// State of an adapter in an engine, with the time at which it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdapterState {
    Loading { since: Time },
    Resident { since: Time },
    Unloading { since: Time },
}

/// Adapter that occupies a slot of the engine.
#[derive(Clone, Debug)]
struct AdapterSlot {
    version: u64,
    state: AdapterState,
    /// Requests that use the adapter, over all nodes.
    active_requests: u32,
    /// Decaying sum of request-seconds, at most 8 requests counted at a time; the adapter with the
    /// lowest value is evicted first.
    popularity: f64,
    /// Time at which a request last used the adapter or, before the first use, of its load.
    last_used: Time,
    /// Whether another engine holds the adapter and is to keep it rather than this one.
    is_spare: bool,
    /// Number of orders that the engine had accepted with the one that loads the adapter; the
    /// largest number if unknown.
    load_order: u64,
    /// Time at which a newer version was first seen; `None` if the version is current.
    outdated_since: Option<Time>,
}

/// Adapter that nodes asked for.
#[derive(Clone, Copy, Debug)]
struct RequestedAdapter {
    first_seen: Time,
    last_seen: Time,
    /// Inference requests that wait for the adapter, the highest count that a node reported.
    waiting: u32,
    /// Priority of the most urgent of them; 0 is the most urgent.
    priority: u8,
    /// Time at which another engine was first seen to load the adapter; `None` if none was.
    deferred_since: Option<Time>,
}

/// Next call to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCall {
    /// Fetch a report of the engine's state.
    FetchReport,
    /// Send an order.
    SendOrder {
        /// Operation.
        kind: OrderKind,
        /// Adapter; `None` for the base model.
        adapter: Option<Name>,
        /// Version to load; `None` for the newest, and for an unload.
        version: Option<u64>,
        /// Number of orders that the engine must have accepted before this one.
        precondition: u64,
    },
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine accepted the order and executes it.
    Accepted,
    /// The engine is already in the ordered state.
    AlreadyApplied,
    /// The precondition failed, or another order is in progress.
    Conflict,
    /// The engine rejected the order.
    Rejected,
    /// A different engine listens at the address.
    Misdirected,
    /// No reply was received; the engine may still execute the order.
    Unanswered,
}

/// State of the base model in one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BaseModel {
    Absent,
    Loading { since: Time },
    Present { version: u64 },
}

/// Loads that [`Residency::next_call`] may order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadPermission {
    /// Whether another adapter may be loaded from the adapter store. Adapters that the engine held
    /// before may be loaded in any case.
    pub adapter_loads: bool,
    /// Whether a base model may be loaded from the weight store.
    pub model_loads: bool,
}

/// Base model and adapters of one engine.
#[derive(Debug)]
pub struct Residency {
    model: Name,
    slots: usize,
    incarnation: u64,
    base: BaseModel,
    /// Orders that the engine has accepted since its start; `None` if unknown.
    accepted_orders: Option<u64>,
    adapters: BTreeMap<Name, AdapterSlot>,
    requested_adapters: BTreeMap<Name, RequestedAdapter>,
    /// Adapters that the engine held before, with the time of their removal; it loads them faster
    /// than others.
    previously_held: HashMap<Name, Time>,
    /// Order without a reply, which is sent again unchanged.
    unanswered_order: Option<EngineCall>,
    report_sent_at: Time,
    popularity_updated_at: Time,
    /// Time before which no order is sent.
    blocked_until: Time,
    /// Whether the decisions for insufficient capacity are in effect.
    pressure: bool,
    /// Time that loads from the adapter store take.
    load_times: LoadTimes,
}

impl Residency {
    /// Creates the state of an engine for `model` with `slots` adapter slots, whose content is
    /// unknown until the first report.
    pub fn new(model: Name, slots: usize, incarnation: u64) -> Residency {
        Residency {
            model,
            slots,
            incarnation,
            base: BaseModel::Absent,
            accepted_orders: None,
            adapters: BTreeMap::new(),
            requested_adapters: BTreeMap::new(),
            previously_held: HashMap::new(),
            unanswered_order: None,
            report_sent_at: Time::default(),
            popularity_updated_at: Time::default(),
            blocked_until: Time::default(),
            pressure: false,
            load_times: LoadTimes::default(),
        }
    }

    /// Returns the base model that the engine should hold.
    pub fn model(&self) -> &Name {
        &self.model
    }

    /// Returns whether the content of the engine is known from a report.
    pub fn is_known(&self) -> bool {
        self.accepted_orders.is_some()
    }

    /// Returns the start time of the engine process that this state belongs to, in milliseconds
    /// of Unix time.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Sets whether the decisions for insufficient capacity are in effect.
    pub fn set_pressure(&mut self, pressure: bool) {
        self.pressure = pressure;
    }

    /// Records that a node has `waiting` requests for `adapter`, the most urgent of which has
    /// `priority`.
    pub fn request_adapter(&mut self, now: Time, adapter: &Name, waiting: u32, priority: u8) {
        let request = self.requested_adapters.entry(adapter.clone()).or_insert(RequestedAdapter {
            first_seen: now,
            last_seen: now,
            waiting,
            priority,
            deferred_since: None,
        });
        request.last_seen = now;
        request.waiting = request.waiting.max(waiting);
        request.priority = request.priority.min(priority);
    }

    /// Sets the number of requests that use each adapter, over all nodes.
    pub fn update_usage(&mut self, now: Time, usage: &BTreeMap<Name, u32>) {
        let decay =
            POPULARITY_DECAY_PER_S.powf(now.since(self.popularity_updated_at).as_secs_f64());
        let span = now.since(self.popularity_updated_at).as_secs_f64().min(1.0);
        self.popularity_updated_at = now;
        for (adapter, slot) in &mut self.adapters {
            slot.active_requests = usage.get(adapter).copied().unwrap_or(0);
            if slot.active_requests > 0 {
                slot.last_used = now;
            }
            slot.popularity =
                slot.popularity * decay + f64::from(slot.active_requests.min(8)) * span;
        }
    }

    /// Returns the next call to the engine, if one is due.
    ///
    /// `newest` returns the version that the given adapter must have, or the base model for `None`.
    pub fn next_call(
        &mut self,
        now: Time,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
        permission: LoadPermission,
    ) -> Option<EngineCall> {
        self.requested_adapters.retain(|_, request| now.since(request.last_seen) < REQUEST_TTL);
        let Some(accepted_orders) = self.accepted_orders else {
            return self.is_report_due(now, REPORT_INTERVAL).then_some(EngineCall::FetchReport);
        };
        if now < self.blocked_until {
            return None;
        }
        if let Some(call) = &self.unanswered_order {
            // Safe to repeat: with the same precondition the order takes effect at most once.
            return Some(call.clone());
        }
        for (adapter, slot) in &mut self.adapters {
            match newest(Some(adapter)) {
                Some(version) if version > slot.version => {
                    slot.outdated_since.get_or_insert(now);
                }
                Some(_) | None => slot.outdated_since = None,
            }
        }
        match self.base {
            BaseModel::Present { version }
                if newest(None).is_none_or(|newest| newest <= version) =>
            {
                self.replacement_order(now, accepted_orders, &newest)
                    .or_else(|| self.load_order(now, accepted_orders, &newest, permission))
                    .or_else(|| self.due_report(now))
            }
            BaseModel::Present { .. } | BaseModel::Absent if permission.model_loads => {
                Some(order_call(OrderKind::Load, None, newest(None), accepted_orders))
            }
            BaseModel::Present { .. } | BaseModel::Absent => self.due_report(now),
            BaseModel::Loading { .. } => {
                self.is_report_due(now, REPORT_INTERVAL_SLOW).then_some(EngineCall::FetchReport)
            }
        }
    }

    /// Records that a report was requested at `now`.
    pub fn record_report_sent(&mut self, now: Time) {
        self.report_sent_at = now;
    }

    /// Updates the state from the engine's reply to the order `call`.
    pub fn handle_order_reply(&mut self, now: Time, call: &EngineCall, reply: OrderReply) {
        let EngineCall::SendOrder { kind, adapter, version, .. } = call else { return };
        self.unanswered_order = None;
        let Some(adapter) = adapter else {
            self.handle_base_order_reply(now, call, reply);
            return;
        };
        match (reply, kind) {
            (OrderReply::Unanswered, _) => {
                self.unanswered_order = Some(call.clone());
                self.blocked_until = now + REPORT_INTERVAL;
            }
            (OrderReply::Conflict | OrderReply::Misdirected, _) => self.accepted_orders = None,
            (OrderReply::Rejected, _) => {
                // The adapter does not exist. Further requests for it lapse once its callers are
                // rejected.
                self.requested_adapters.remove(adapter);
                self.accepted_orders = None;
                self.blocked_until = now + REPORT_INTERVAL_SLOW;
            }
            (OrderReply::Accepted, OrderKind::Load) => {
                self.count_accepted_order();
                let popularity = self.adapters.get(adapter).map_or(0.0, |slot| slot.popularity);
                let slot = AdapterSlot {
                    version: version.unwrap_or(0),
                    state: AdapterState::Loading { since: now },
                    active_requests: 0,
                    popularity,
                    last_used: now,
                    is_spare: false,
                    load_order: self.accepted_orders.unwrap_or(u64::MAX),
                    outdated_since: None,
                };
                self.adapters.insert(adapter.clone(), slot);
            }
            (OrderReply::Accepted, OrderKind::Unload) => {
                self.count_accepted_order();
                if let Some(slot) = self.adapters.get_mut(adapter) {
                    slot.state = AdapterState::Unloading { since: now };
                }
            }
            (OrderReply::AlreadyApplied, OrderKind::Load) => {
                // Only the next report shows whether the engine counted this order.
                self.accepted_orders = None;
            }
            (OrderReply::AlreadyApplied, OrderKind::Unload) => {
                self.count_accepted_order();
                self.adapters.remove(adapter);
                self.previously_held.insert(adapter.clone(), now);
            }
        }
    }

    /// Updates the state from a report that was requested at `sent`.
    pub fn handle_report(&mut self, now: Time, sent: Time, report: &EngineReport) {
        match (self.accepted_orders, report.orders) {
            // The report is older than the last accepted order.
            (Some(known), reported) if reported < known => {
                if self.pressure {
                    self.complete_earlier_loads(now, sent, report);
                }
                return;
            }
            (Some(_), _) | (None, _) => self.accepted_orders = Some(report.orders),
        }
        let base = report.models.iter().find(|(model, _)| *model == self.model);
        self.base = match (self.base, base) {
            (BaseModel::Loading { since }, _) if report.busy || since + REPORT_LAG > sent => {
                self.base
            }
            (_, Some((_, version))) => BaseModel::Present { version: *version },
            (_, None) if report.busy => BaseModel::Loading { since: now },
            (_, None) => BaseModel::Absent,
        };
        for held in &report.adapters {
            let slot = self.adapters.entry(held.adapter.clone()).or_insert(AdapterSlot {
                version: held.version,
                state: AdapterState::Resident { since: now },
                active_requests: 0,
                popularity: 0.0,
                last_used: now,
                is_spare: false,
                load_order: u64::MAX,
                outdated_since: None,
            });
            match slot.state {
                AdapterState::Loading { since } if slot.version <= held.version => {
                    if !held_before(&self.previously_held, self.pressure, since, &held.adapter) {
                        self.load_times.record(sent.since(since));
                    }
                    slot.complete_load(now, since, held.version, self.pressure);
                }
                AdapterState::Loading { .. } | AdapterState::Unloading { .. } => {}
                AdapterState::Resident { .. } => slot.version = held.version,
            }
        }
        for held in &report.coming {
            self.adapters.entry(held.adapter.clone()).or_insert(AdapterSlot {
                version: held.version,
                state: AdapterState::Loading { since: now },
                active_requests: 0,
                popularity: 0.0,
                last_used: now,
                is_spare: false,
                load_order: u64::MAX,
                outdated_since: None,
            });
        }
        let listed = |adapter: &Name| {
            report.adapters.iter().chain(&report.coming).any(|held| held.adapter == *adapter)
        };
        let previously_held = &mut self.previously_held;
        self.adapters.retain(|adapter, slot| {
            let changed = match slot.state {
                AdapterState::Loading { since } | AdapterState::Unloading { since } => since,
                AdapterState::Resident { since } => since,
            };
            let keep = listed(adapter) || changed + REPORT_LAG > sent;
            if !keep {
                previously_held.insert(adapter.clone(), now);
            }
            keep
        });
    }

    /// Returns the adapters that are loaded or being loaded, to be announced to the other nodes.
    pub fn placed_adapters(&self) -> Vec<PlacedAdapter> {
        self.adapters
            .iter()
            .filter(|(_, slot)| !matches!(slot.state, AdapterState::Unloading { .. }))
            .map(|(adapter, slot)| PlacedAdapter {
                adapter: adapter.clone(),
                version: slot.version,
                ready: matches!(slot.state, AdapterState::Resident { .. }),
            })
            .collect()
    }

    /// Returns the number of occupied adapter slots, including loads and unloads in progress.
    pub fn occupied_slots(&self) -> usize {
        self.adapters.len()
    }

    /// Returns whether the engine loads something, or is asked to or unsure whether it does.
    pub fn has_pending_loads(&self) -> bool {
        self.loads_in_progress() > 0
            || !self.requested_adapters.is_empty()
            || self.unanswered_order.is_some()
            || !self.is_known()
    }

    /// Returns the number of loads from the adapter store in progress; loads of adapters that the
    /// engine held before don't count.
    pub fn loads_in_progress(&self) -> u32 {
        let loading = self
            .adapters
            .iter()
            .filter(|(adapter, slot)| {
                matches!(slot.state, AdapterState::Loading { .. })
                    && !self.previously_held.contains_key(*adapter)
            })
            .count();
        u32::try_from(loading).unwrap_or(u32::MAX)
    }

    /// Updates the state from the reply to an order on the base model.
    fn handle_base_order_reply(&mut self, now: Time, call: &EngineCall, reply: OrderReply) {
        match reply {
            OrderReply::Accepted => {
                self.count_accepted_order();
                self.base = BaseModel::Loading { since: now };
            }
            OrderReply::Unanswered => {
                self.unanswered_order = Some(call.clone());
                self.blocked_until = now + REPORT_INTERVAL;
            }
            OrderReply::AlreadyApplied | OrderReply::Conflict | OrderReply::Misdirected => {
                self.accepted_orders = None;
            }
            OrderReply::Rejected => {
                self.accepted_orders = None;
                self.blocked_until = now + REPORT_INTERVAL_SLOW;
            }
        }
    }

    /// Counts an order that the engine accepted.
    fn count_accepted_order(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|orders| orders.saturating_add(1));
    }

    /// Returns whether the engine loads `adapter` without the adapter store, because it held it
    /// before.
    fn reloads_fast(&self, now: Time, adapter: &Name) -> bool {
        held_before(&self.previously_held, self.pressure, now, adapter)
    }

    /// Returns the number of adapter loads in progress, including those of adapters that the engine
    /// held before.
    fn loading_count(&self) -> usize {
        self.adapters
            .values()
            .filter(|slot| matches!(slot.state, AdapterState::Loading { .. }))
            .count()
    }

    /// Returns whether the last report was requested at least `interval` ago.
    fn is_report_due(&self, now: Time, interval: Duration) -> bool {
        now.since(self.report_sent_at) >= interval
    }

    /// Returns the order that replaces an outdated version, once no request uses it or after
    /// [`REPLACE_AFTER`].
    fn replacement_order(
        &self,
        now: Time,
        accepted_orders: u64,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
    ) -> Option<EngineCall> {
        if self.loading_count() >= MAX_CONCURRENT_LOADS {
            return None;
        }
        let (adapter, _) = self.adapters.iter().find(|(adapter, slot)| {
            matches!(slot.state, AdapterState::Resident { .. })
                && slot.outdated_since.is_some_and(|since| {
                    slot.active_requests == 0 || now.since(since) >= REPLACE_AFTER
                })
                && (!self.pressure
                    || self.requested_adapters.contains_key(*adapter)
                    || slot.is_replacement_likely_used(now))
        })?;
        Some(order_call(OrderKind::Load, Some(adapter), newest(Some(adapter)), accepted_orders))
    }

    /// Returns the order that loads the most urgently requested adapter, or the one that unloads
    /// another adapter to free a slot for it.
    fn load_order(
        &mut self,
        now: Time,
        accepted_orders: u64,
        newest: impl Fn(Option<&Name>) -> Option<u64>,
        permission: LoadPermission,
    ) -> Option<EngineCall> {
        let is_absent = |adapter: &Name| !self.adapters.contains_key(adapter);
        if !permission.adapter_loads && self.requested_adapters.keys().any(is_absent) {
            self.load_times.record_limited();
        }
        let (adapter, _) = self
            .requested_adapters
            .iter()
            .filter(|(adapter, _)| !self.adapters.contains_key(*adapter))
            .filter(|(_, request)| !request.is_deferred(now))
            .filter(|(adapter, _)| permission.adapter_loads || self.reloads_fast(now, adapter))
            .min_by_key(|(_, request)| {
                (request.priority, u32::MAX - request.waiting, request.first_seen)
            })?;
        if self.loading_count() >= MAX_CONCURRENT_LOADS {
            return None;
        }
        if self.occupied_slots() < self.slots {
            return Some(order_call(
                OrderKind::Load,
                Some(adapter),
                newest(Some(adapter)),
                accepted_orders,
            ));
        }
        let evicted = self.eviction_candidate(now)?;
        Some(order_call(OrderKind::Unload, Some(evicted), None, accepted_orders))
    }
}

/// Returns whether an engine that removed the adapters in `previously_held` can load `adapter`
/// without the adapter store at `now`. Under pressure this lapses after [`WARM_DURATION`].
fn held_before(
    previously_held: &HashMap<Name, Time>,
    pressure: bool,
    now: Time,
    adapter: &Name,
) -> bool {
    previously_held
        .get(adapter)
        .is_some_and(|removed| !pressure || now.since(*removed) < WARM_DURATION)
}

/// Builds the call for an order.
fn order_call(
    kind: OrderKind,
    adapter: Option<&Name>,
    version: Option<u64>,
    precondition: u64,
) -> EngineCall {
    EngineCall::SendOrder { kind, adapter: adapter.cloned(), version, precondition }
}
