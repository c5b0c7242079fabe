//! Control of the engines that this node owns.
//!
//! The actor runs the state machines of [`ownership`](fireflyhead_policy::ownership), which decides
//! which node owns an engine, and of [`residency`](fireflyhead_policy::residency), which decides
//! which adapters an engine loads. It makes the calls to the store and to the engines that they
//! decide on, at most one call at a time to each engine.

mod engine_calls;
mod load_limits;
pub mod membership;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::fleet::UpstreamState;
use fireflyhead_policy::message::AdapterRequest;
use fireflyhead_policy::message::Placement;
use fireflyhead_policy::ownership::Claim;
use fireflyhead_policy::ownership::Ownership;
use fireflyhead_policy::ownership::OwnershipRecord;
use fireflyhead_policy::ownership::OwnershipSettings;
use fireflyhead_policy::protocol::EngineReport;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::Order;
use fireflyhead_policy::residency::EngineCall;
use fireflyhead_policy::residency::LoadPermission;
use fireflyhead_policy::residency::OrderReply;
use fireflyhead_policy::residency::Residency;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use reqwest::Client;
use tokio::time::sleep;

use crate::clock;
use crate::protocol_versions::Announcement;
use crate::state::Shared;
use crate::store::StoreClient;

use self::membership::MEMBER_PREFIX;
use self::membership::OWNERSHIP_PREFIX;
use self::membership::PROTOCOL_PREFIX;

/// Interval at which the next call to each engine is decided.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The same while no owned engine loads an adapter or is asked to.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the number of requests per adapter is passed from admission to residency.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the node checks for engines to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of claimed records, and of removed ones, in one transaction. The store accepts
/// up to 32 entries in a transaction.
const MAX_RECORDS_PER_TRANSACTION: usize = 8;
/// Number of consecutive calls without a reply after which this node no longer counts as the active
/// holder of an engine, so that other engines load the adapters. A crashed engine stays listed for
/// some seconds.
const MAX_FAILED_CALLS: u32 = 2;
/// Time for which an engine must not be listed before its ownership record is removed.
const ORPHAN_TTL: Duration = Duration::from_secs(15);

/// What a node knows of the store with some items.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// The items are all that existed; further changes may have been made during the read.
    Snapshot,
    /// The items are changes, and the store may have further ones.
    Partial,
    /// The items are changes, and the node knows the present state.
    Complete,
}

/// Message to the [`EngineController`].
#[derive(Debug)]
pub enum ControllerMsg {
    /// Adapters that nodes need at this node's engines.
    AdapterRequests(Vec<AdapterRequest>),
    /// Membership entries and ownership records, as read from the store.
    StoreItems {
        /// Items that were read or that changed.
        items: Vec<Item>,
        /// Era of the store.
        era: Era,
        /// What the node knows with these items.
        view: View,
        /// Time of that view.
        viewed: Time,
    },
    /// The node's lease was granted or renewed.
    LeaseRenewed {
        /// Id of the lease.
        lease: u64,
        /// Era of the store in which it was.
        era: Era,
        /// Time at which the call to the store was sent, from which the lease counts.
        sent: Time,
    },
    /// The node's lease has expired, or a restore has lost it.
    LeaseLost {
        /// Newest known era of the store.
        era: Era,
    },
    /// Periodic message that makes the controller decide on the next calls.
    Tick,
    /// A transaction with claims of engines ended.
    ClaimsWritten {
        /// Claims of the transaction; empty if it failed.
        claims: Vec<Claim>,
        /// Revision of the written records; `None` if the transaction failed.
        revision: Option<u64>,
        /// Era of the store for which the claims were made.
        era: Era,
    },
    /// A call with an order ended.
    OrderReplied {
        /// Engine to which the order was sent.
        upstream: Name,
        /// Start time of the engine as listed when the order was sent.
        incarnation: u64,
        /// Call that carried the order.
        call: EngineCall,
        /// Reply of the engine.
        reply: OrderReply,
    },
    /// A call for a report ended.
    ReportReceived {
        /// Engine that was asked.
        upstream: Name,
        /// Start time of the engine as listed when the call was sent.
        incarnation: u64,
        /// Time at which the call was sent.
        sent: Time,
        /// Report; `None` if the call failed.
        report: Option<EngineReport>,
    },
}

/// State of an engine that this node owns.
struct EngineState {
    residency: Residency,
    /// Whether a call to the engine is in progress.
    busy: bool,
    /// Number of consecutive calls without a reply.
    failures: u32,
}

impl EngineState {
    /// Records whether the engine replied to a call.
    fn record_call(&mut self, replied: bool) {
        self.failures = if replied { 0 } else { self.failures + 1 };
    }
}

/// Actor that claims engines and controls which adapters they load.
#[derive(Actor)]
pub struct EngineController {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    http: Client,
    ownership: Ownership,
    engines: HashMap<Name, EngineState>,
    /// Lease of the node in the store; `None` while it has none.
    lease: Option<u64>,
    /// Whether a transaction with claims is in progress.
    claim_in_progress: bool,
    /// Number of listed engines at the last check for engines to claim.
    engine_count: usize,
    /// Time of the last check for engines to claim.
    last_claim_check: Time,
    /// Time at which the adapter usage was last passed on.
    last_usage_update: Time,
    /// Time of the last order to load a base model.
    last_model_load: Time,
    /// Whether the store lists the node's own membership entry.
    own_entry_listed: bool,
    /// Engines that are not listed but have an ownership record of this node, with the time at
    /// which that was first noticed.
    orphaned_since: HashMap<Name, Time>,
}

impl EngineController {
    /// Creates a controller that owns no engine yet.
    pub fn new(shared: Arc<Shared>, store: Arc<StoreClient>, http: Client) -> EngineController {
        let settings = &shared.settings;
        let ownership = Ownership::new(
            settings.node.clone(),
            OwnershipSettings { lease_ttl: settings.lease_ttl, order_turn: settings.turn },
        );
        EngineController {
            shared,
            store,
            http,
            ownership,
            engines: HashMap::new(),
            lease: None,
            claim_in_progress: false,
            engine_count: 0,
            last_claim_check: Time::default(),
            last_usage_update: Time::default(),
            last_model_load: Time::default(),
            own_entry_listed: false,
            orphaned_since: HashMap::new(),
        }
    }

    /// Makes the state follow the store into `era`; returns `false` if that era is over.
    fn enter_era(&mut self, now: Time, era: Era) -> bool {
        if era > self.ownership.era() {
            self.lease = None;
            self.orphaned_since.clear();
            self.ownership.begin_era(now, era);
        }
        era == self.ownership.era()
    }

    /// Applies membership entries and ownership records. With a snapshot, members without an item are
    /// removed.
    fn apply_store_items(&mut self, now: Time, items: Vec<Item>, view: View, viewed: Time) {
        if view == View::Complete {
            self.ownership.record_complete_view(viewed);
        }
        if view == View::Snapshot {
            let listed: HashSet<Name> = items.iter().map(|item| item.key.clone()).collect();
            let gone: Vec<Name> = self
                .shared
                .members()
                .keys()
                .filter(|node| !listed.contains(&Name::from(format!("{MEMBER_PREFIX}{node}"))))
                .cloned()
                .collect();
            for node in gone {
                self.apply_member(now, &node, None);
            }
        }
        for item in items {
            let key = item.key.as_str();
            if let Some(node) = key.strip_prefix(MEMBER_PREFIX) {
                self.apply_member(now, &Name::from(node), item.value.as_deref());
            } else if let Some(upstream) = key.strip_prefix(OWNERSHIP_PREFIX) {
                let record = item.value.as_deref().and_then(OwnershipRecord::decode);
                self.ownership.apply_record(&Name::from(upstream), record, item.revision);
            } else if let Some(node) = key.strip_prefix(PROTOCOL_PREFIX)
                && let Some(value) = item.value.as_deref()
            {
                match Announcement::decode(value) {
                    Some(announcement) => {
                        self.shared.protocol_versions.announce(&Name::from(node), announcement)
                    }
                    None => tracing::warn!(event = "announcement_ignored", node),
                }
            }
        }
    }

    /// Applies the membership entry of `node`, whose value is the node's peer address. Without a
    /// value or a valid address, the node is not a member.
    fn apply_member(&mut self, now: Time, node: &Name, value: Option<&[u8]>) {
        let address: Option<SocketAddr> =
            value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        self.ownership.set_member(now, node, address.is_some());
        let known = match address {
            Some(address) => self.shared.members().insert(node.clone(), address).is_some(),
            None => self.shared.members().remove(node).is_some(),
        };
        if known != address.is_some() {
            tracing::info!(event = "member", %node, present = address.is_some());
        }
        if *node == self.shared.settings.node {
            self.own_entry_listed = address.is_some();
        }
    }

    /// Returns the entries of all listed upstreams that are engines.
    fn listed_engines(&self) -> Vec<Arc<UpstreamEntry>> {
        let Some(config) = self.shared.config() else { return Vec::new() };
        let fleet = self.shared.fleet();
        fleet
            .entries()
            .filter(|entry| {
                config.service(entry.service.as_str()).is_some_and(|s| s.engine.is_some())
            })
            .cloned()
            .collect()
    }

    /// Returns the entries of the listed upstreams that are engines and owned by this node.
    fn owned_engines(&self) -> Vec<Arc<UpstreamEntry>> {
        let Some(config) = self.shared.config() else { return Vec::new() };
        let fleet = self.shared.fleet();
        self.ownership
            .owned()
            .filter_map(|id| fleet.get(id.as_str()))
            .filter(|entry| {
                config.service(entry.service.as_str()).is_some_and(|s| s.engine.is_some())
            })
            .cloned()
            .collect()
    }

    /// Claims engines, decides on the next call to each owned engine and publishes the placements.
    fn tick(&mut self, now: Time, actor_ref: &ActorRef<EngineController>) {
        if now.since(self.last_claim_check) >= CLAIM_INTERVAL {
            self.last_claim_check = now;
            let listed = self.listed_engines();
            self.engine_count = listed.len();
            self.start_claims(now, &listed, actor_ref);
        }
        let owned = self.owned_engines();
        self.engines.retain(|id, _| owned.iter().any(|entry| entry.id == *id));
        let usage_due = now.since(self.last_usage_update) >= USAGE_INTERVAL;
        if usage_due {
            self.last_usage_update = now;
        }
        for entry in &owned {
            self.ensure_engine(entry);
            self.shared.admission().upsert_engine(&entry.id, entry.slots, entry.incarnation);
            let limit = self.shared.dispatcher().request_limit(entry.id.as_str());
            self.shared.admission().set_request_limit(now, &entry.id, limit);
            if let Some(tokens) = self.kv_capacity(entry) {
                self.shared.admission().set_kv_capacity(&entry.id, tokens);
            }
            if usage_due {
                let used = self.shared.admission().adapter_usage(entry.id.as_str());
                if let Some(engine) = self.engines.get_mut(&entry.id) {
                    engine.residency.update_usage(now, &used);
                    load_limits::update_pressure(&self.shared, now, entry, &mut engine.residency);
                    let available = engine.residency.available_slots(now);
                    self.shared.admission().set_available_adapter_slots(&entry.id, available);
                    if entry.state == UpstreamState::Draining {
                        let model = engine.residency.model();
                        let adapters = engine.residency.popular_adapters();
                        let mut dispatcher = self.shared.dispatcher();
                        dispatcher.relocate_adapters(now, &entry.id, model, &adapters);
                    }
                }
            }
            self.start_next_call(now, entry, actor_ref);
        }
        let has_work = self.engines.values().any(|engine| engine.residency.has_pending_loads());
        self.shared.set_controller_interval(match has_work {
            true => TICK_INTERVAL,
            false => IDLE_TICK_INTERVAL,
        });
        let engines = &self.engines;
        self.shared.admission().retain_engines(|upstream| engines.contains_key(upstream));
        self.publish_placements(now);
    }

    /// Returns the number of tokens that fit into the KV cache of an engine.
    fn kv_capacity(&self, entry: &UpstreamEntry) -> Option<u64> {
        let config = self.shared.config()?;
        Some(config.service(entry.service.as_str())?.engine.as_ref()?.kv_capacity)
    }

    /// Creates the state of an owned engine, unless it exists for this run of the engine.
    fn ensure_engine(&mut self, entry: &UpstreamEntry) {
        let known = self.engines.get(&entry.id);
        if known.is_some_and(|engine| engine.residency.incarnation() == entry.incarnation) {
            return;
        }
        let Some(config) = self.shared.config() else { return };
        let Some(service) = config.service(entry.service.as_str()) else { return };
        let Some(engine) = &service.engine else { return };
        let Some(model) = engine.models.first() else { return };
        let slots = usize::try_from(engine.adapter_slots).unwrap_or(0);
        let residency = Residency::new(model.name.clone(), slots, entry.incarnation);
        self.engines.insert(entry.id.clone(), EngineState { residency, busy: false, failures: 0 });
    }

    /// Starts the next call to an engine, if one is due and no other is in progress.
    fn start_next_call(
        &mut self,
        now: Time,
        entry: &UpstreamEntry,
        actor_ref: &ActorRef<EngineController>,
    ) {
        let Some(fencing_token) = self.ownership.order_fencing_token(now, entry.id.as_str()) else {
            return;
        };
        if entry.state != UpstreamState::Ready
            || self.shared.dispatcher().is_away(now, entry.id.as_str())
            || !self.shared.admission().allows_call(now, entry.id.as_str())
        {
            return;
        }
        let loading = self.adapter_loads_in_progress(now);
        let pressure = self.shared.dispatcher().is_under_pressure(entry.service.as_str());
        let model_load_interval = self.model_load_interval();
        let engine_count = self.engine_count;
        let Some(engine) = self.engines.get_mut(&entry.id) else { return };
        if engine.busy {
            return;
        }
        let max_loads =
            load_limits::max_concurrent_loads(engine_count, pressure, &engine.residency);
        let permission = LoadPermission {
            adapter_loads: loading < max_loads || engine.residency.loads_in_store(now) == 0,
            model_loads: now.since(self.last_model_load) >= model_load_interval,
        };
        let dispatcher = self.shared.dispatcher();
        let model = engine.residency.model().clone();
        // The empty name represents the base model itself.
        let base = Name::from("");
        let newest =
            |adapter: Option<&Name>| dispatcher.newest_version(&model, adapter.unwrap_or(&base));
        engine.residency.update_loads_elsewhere(now, |adapter| {
            dispatcher.is_loading_elsewhere(now, &entry.id, &model, adapter)
        });
        let call = engine.residency.next_call(now, newest, permission);
        drop(dispatcher);
        let Some(call) = call else { return };
        if pressure {
            let loads = (loading, max_loads);
            let (shared, residency) = (&self.shared, &engine.residency);
            load_limits::record_adapter_order(shared, now, &entry.id, residency, &call, loads);
        }
        engine.busy = true;
        self.shared.admission().record_call(now, &entry.id);
        match &call {
            EngineCall::FetchReport => {
                engine.residency.record_report_sent(now);
                tokio::spawn(engine_calls::fetch_report(
                    Arc::clone(&self.shared),
                    self.http.clone(),
                    entry.id.clone(),
                    entry.address,
                    entry.incarnation,
                    actor_ref.clone(),
                ));
            }
            EngineCall::SendOrder { kind, adapter, version, precondition } => {
                if adapter.is_none() {
                    self.last_model_load = now;
                }
                let order = Order {
                    kind: *kind,
                    model,
                    adapter: adapter.clone(),
                    version: *version,
                    precondition: *precondition,
                    holder: self.shared.settings.node.clone(),
                    fencing_token,
                };
                tokio::spawn(engine_calls::send_order(
                    Arc::clone(&self.shared),
                    self.http.clone(),
                    entry.id.clone(),
                    entry.address,
                    entry.incarnation,
                    order,
                    call,
                    actor_ref.clone(),
                ));
            }
        }
    }

    /// Returns the number of loads from the adapter store in progress over all nodes. A node that
    /// doesn't serve callers hears of most peers too seldom and relies on one that does.
    fn adapter_loads_in_progress(&self, now: Time) -> u32 {
        let own: u32 =
            self.engines.values().map(|engine| engine.residency.loads_in_store(now)).sum();
        let peers = self.shared.peers();
        match peers.fleet_adapter_loads(now) {
            Some(loads) if !self.shared.serving.is_serving() => loads.max(own),
            Some(_) | None => own.saturating_add(peers.adapter_loads_in_progress(now)),
        }
    }

    /// Returns the interval between two base model loads of this node that keeps all nodes
    /// together within the rate of the weight store.
    fn model_load_interval(&self) -> Duration {
        let rate: f64 = self
            .shared
            .config()
            .into_iter()
            .flat_map(|config| {
                config
                    .services()
                    .filter_map(|s| s.engine.as_ref().map(|engine| engine.model_loads_per_s))
                    .collect::<Vec<f64>>()
            })
            .fold(0.0, f64::max);
        match rate > 0.0 {
            true => {
                let nodes = self.shared.members().len().max(1) as f64;
                Duration::from_secs_f64((nodes / rate).min(10.0))
            }
            false => Duration::ZERO,
        }
    }

    /// Publishes the adapters of the owned engines to the dispatcher and to the other nodes, if
    /// they changed.
    fn publish_placements(&mut self, now: Time) {
        let mut placements: Vec<Placement> = self
            .engines
            .iter()
            .filter_map(|(upstream, engine)| {
                Some(Placement {
                    upstream: upstream.clone(),
                    model: engine.residency.model().clone(),
                    incarnation: engine.residency.incarnation(),
                    fencing_token: self.ownership.fencing_token(upstream.as_str())?,
                    holder_active: self
                        .ownership
                        .order_fencing_token(now, upstream.as_str())
                        .is_some()
                        && engine.residency.is_known()
                        && engine.failures < MAX_FAILED_CALLS,
                    adapters: engine.residency.placed_adapters(),
                })
            })
            .collect();
        placements.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        for placement in &mut placements {
            placement.adapters.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        }
        let loading: u32 =
            self.engines.values().map(|engine| engine.residency.loads_in_store(now)).sum();
        self.shared.set_adapter_loads_in_progress(usize::try_from(loading).unwrap_or(usize::MAX));
        let mut published = self.shared.placements();
        if *published == placements {
            return;
        }
        published.clone_from(&placements);
        drop(published);
        let mut dispatcher = self.shared.dispatcher();
        for placement in &placements {
            dispatcher.apply_placement(now, &self.shared.settings.node, placement);
        }
        drop(dispatcher);
        self.shared.dispatch_waiting(now);
        self.shared.send_placements();
    }

    /// Starts a transaction that claims the engines due to this node and removes orphaned records.
    fn start_claims(
        &mut self,
        now: Time,
        listed: &[Arc<UpstreamEntry>],
        actor_ref: &ActorRef<EngineController>,
    ) {
        if self.claim_in_progress || self.lease.is_none() {
            return;
        }
        let ids: Vec<Name> = listed.iter().map(|entry| entry.id.clone()).collect();
        let peers = self.shared.peers();
        let mut claims = self.ownership.due_claims(now, &ids, |node| peers.is_alive(now, node));
        drop(peers);
        claims.truncate(MAX_RECORDS_PER_TRANSACTION);
        let orphans = self.expired_orphans(now, &ids);
        if claims.is_empty() && orphans.is_empty() {
            return;
        }
        self.claim_in_progress = true;
        tokio::spawn(membership::write_claims(
            Arc::clone(&self.store),
            claims,
            orphans,
            self.ownership.era(),
            actor_ref.clone(),
        ));
    }

    /// Returns this node's ownership records, with their revisions, whose engines have not been
    /// listed for [`ORPHAN_TTL`].
    fn expired_orphans(&mut self, now: Time, ids: &[Name]) -> Vec<(Name, u64)> {
        let orphans =
            self.ownership.unlisted_records(|id| ids.iter().any(|listed| listed.as_str() == id));
        self.orphaned_since.retain(|id, _| orphans.iter().any(|(orphan, _)| orphan == id));
        let mut due = Vec::new();
        for (id, revision) in orphans {
            let since = *self.orphaned_since.entry(id.clone()).or_insert(now);
            if now.since(since) >= ORPHAN_TTL && due.len() < MAX_RECORDS_PER_TRANSACTION {
                due.push((id, revision));
            }
        }
        due
    }
}

impl Message<ControllerMsg> for EngineController {
    type Reply = ();

    async fn handle(&mut self, msg: ControllerMsg, cx: &mut Context<Self, ()>) {
        let now = clock::now();
        let actor_ref = cx.actor_ref().clone();
        match msg {
            ControllerMsg::AdapterRequests(requests) => {
                for request in requests {
                    if let Some(engine) = self.engines.get_mut(&request.upstream) {
                        engine.residency.request_adapter(
                            now,
                            &request.adapter,
                            request.waiting,
                            request.priority,
                        );
                    }
                }
                self.tick(now, &actor_ref);
            }
            ControllerMsg::StoreItems { items, era, view, viewed } => {
                if self.enter_era(now, era) {
                    self.apply_store_items(now, items, view, viewed);
                }
            }
            ControllerMsg::LeaseRenewed { lease, era, sent } => {
                if self.enter_era(now, era) {
                    self.lease = Some(lease);
                    self.ownership.record_lease_renewal(sent);
                }
            }
            ControllerMsg::LeaseLost { era } => {
                self.enter_era(now, era);
                self.lease = None;
                self.ownership.record_lease_loss();
            }
            ControllerMsg::Tick => self.tick(now, &actor_ref),
            ControllerMsg::ClaimsWritten { claims, revision, era } => {
                self.claim_in_progress = false;
                let claims = if era == self.ownership.era() { claims } else { Vec::new() };
                for claim in &claims {
                    if let Some(revision) = revision {
                        self.ownership.record_claim(now, claim, revision);
                    }
                    tracing::info!(
                        event = "custody_claim",
                        upstream = %claim.upstream,
                        previous = claim.record.previous.as_ref().map(Name::as_str),
                        fence = revision
                    );
                }
            }
            ControllerMsg::OrderReplied { upstream, incarnation, call, reply } => {
                if let Some(engine) = self.engines.get_mut(&upstream)
                    && engine.residency.incarnation() == incarnation
                {
                    engine.busy = false;
                    engine.record_call(reply != OrderReply::Unanswered);
                    engine.residency.handle_order_reply(now, &call, reply);
                    self.tick(now, &actor_ref);
                }
            }
            ControllerMsg::ReportReceived { upstream, incarnation, sent, report } => {
                tracing::debug!(event = "reported", %upstream, born = incarnation, ?report);
                if let Some(engine) = self.engines.get_mut(&upstream)
                    && engine.residency.incarnation() == incarnation
                {
                    engine.busy = false;
                    engine.record_call(report.is_some());
                    if let Some(report) = report
                        && (report.born == incarnation || report.born == 0)
                    {
                        engine.residency.handle_report(now, sent, &report);
                    }
                    self.tick(now, &actor_ref);
                }
            }
        }
    }
}

/// Sends [`ControllerMsg::Tick`] at an interval until the controller stops.
pub async fn send_ticks(shared: Arc<Shared>, controller: ActorRef<EngineController>) {
    while controller.tell(ControllerMsg::Tick).await.is_ok() {
        sleep(shared.controller_interval()).await;
    }
}
