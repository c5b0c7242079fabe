//! Membership in the store, custody of engines and orders to them.
//!
//! The actor owns the state machines of [`ownership`](fireflyhead_policy::ownership) and
//! [`residency`](fireflyhead_policy::residency) and carries out what they decide. One call at
//! a time is under way to each engine.

pub mod membership;
mod orders;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
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
use crate::state::Shared;
use crate::store::StoreClient;

use self::membership::CUSTODY;
use self::membership::MEMBERS;

/// Interval of the work on engines.
const TICK: Duration = Duration::from_millis(20);
/// Interval at which the usage of adapters is read.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which claims are looked at.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of records in one transaction; the store takes up to 32 entries.
const CLAIMS_PER_CALL: usize = 8;
/// Adapter loads from the store over all nodes that are under way at least, and for each engine.
/// More of them take longer in proportion; the platform names no figure, and its deployments
/// carry 0.44 to 0.9 for each engine.
const LOADS_AT_ONCE: u32 = 8;
/// See [`LOADS_AT_ONCE`].
const LOADS_PER_ENGINE: f64 = 0.5;
/// Calls in a row without an answer from which other engines are asked to load adapters. A
/// crashed engine stays listed for some seconds.
const FAILURES_CLOSED: u32 = 2;
/// Time after which an engine's record without an engine is removed.
const ORPHAN_AFTER: Duration = Duration::from_secs(15);

/// Message to the keeper.
#[derive(Debug)]
pub enum KeeperMsg {
    /// Adapters that nodes need.
    Wants(Vec<AdapterRequest>),
    /// Items of the product from the store.
    Store {
        /// Items.
        items: Vec<Item>,
        /// Whether they are all there are.
        full: bool,
    },
    /// The lease was granted or renewed by a call sent at this time.
    Lease {
        /// Lease.
        lease: u64,
        /// Time of the call.
        sent: Time,
    },
    /// The lease has ended.
    LeaseLost,
    /// Time passed.
    Tick,
    /// A claim was decided: the revision, or `None` if it failed.
    Claimed {
        /// Claims of one transaction.
        claims: Vec<Claim>,
        /// Revision of the records.
        revision: Option<u64>,
    },
    /// An order was answered.
    Ordered {
        /// Engine.
        upstream: Name,
        /// Start of the engine.
        incarnation: u64,
        /// Order.
        step: EngineCall,
        /// Reply.
        reply: OrderReply,
    },
    /// A report came, or `None`.
    Reported {
        /// Engine.
        upstream: Name,
        /// Start of the engine as listed.
        incarnation: u64,
        /// Time of the call.
        sent: Time,
        /// Report.
        report: Option<EngineReport>,
    },
}

struct EngineState {
    residency: Residency,
    busy: bool,
    /// Calls without an answer, since the last one with an answer.
    failures: u32,
}

impl EngineState {
    /// Counts a call by whether it had an answer.
    fn answered(&mut self, answered: bool) {
        self.failures = if answered { 0 } else { self.failures + 1 };
    }
}

/// Actor that gives orders.
#[derive(Actor)]
pub struct Keeper {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    http: Client,
    ownership: Ownership,
    engines: HashMap<Name, EngineState>,
    lease: Option<u64>,
    claiming: bool,
    claims_at: Time,
    usage_at: Time,
    model_load_at: Time,
    own_key_seen: bool,
    orphan_since: HashMap<Name, Time>,
}

impl Keeper {
    /// Keeper without custody of any engine.
    pub fn new(shared: Arc<Shared>, store: Arc<StoreClient>, http: Client) -> Keeper {
        let settings = &shared.settings;
        let ownership = Ownership::new(
            settings.node.clone(),
            OwnershipSettings { lease_ttl: settings.lease_ttl, order_turn: settings.turn },
        );
        Keeper {
            shared,
            store,
            http,
            ownership,
            engines: HashMap::new(),
            lease: None,
            claiming: false,
            claims_at: Time::default(),
            usage_at: Time::default(),
            model_load_at: Time::default(),
            own_key_seen: false,
            orphan_since: HashMap::new(),
        }
    }

    fn take_items(&mut self, now: Time, items: Vec<Item>, full: bool) {
        self.ownership.record_view(now);
        if full {
            let listed: HashSet<Name> = items.iter().map(|item| item.key.clone()).collect();
            let gone: Vec<Name> = self
                .shared
                .members()
                .keys()
                .filter(|node| !listed.contains(&Name::from(format!("{MEMBERS}{node}"))))
                .cloned()
                .collect();
            for node in gone {
                self.take_member(now, &node, None);
            }
        }
        for item in items {
            let key = item.key.as_str();
            if let Some(node) = key.strip_prefix(MEMBERS) {
                self.take_member(now, &Name::from(node), item.value.as_deref());
            } else if let Some(upstream) = key.strip_prefix(CUSTODY) {
                let record = item.value.as_deref().and_then(OwnershipRecord::decode);
                self.ownership.apply_record(&Name::from(upstream), record, item.revision);
            }
        }
    }

    fn take_member(&mut self, now: Time, node: &Name, value: Option<&[u8]>) {
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
            self.own_key_seen = address.is_some();
        }
    }

    /// Engines that are listed, with their entries.
    fn listed(&self) -> Vec<Arc<UpstreamEntry>> {
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

    fn tick(&mut self, now: Time, me: &ActorRef<Keeper>) {
        let listed = self.listed();
        self.engines.retain(|id, _| listed.iter().any(|entry| entry.id == *id));
        if now.since(self.claims_at) >= CLAIM_INTERVAL {
            self.claims_at = now;
            self.claim(now, &listed, me);
        }
        let usage_due = now.since(self.usage_at) >= USAGE_INTERVAL;
        if usage_due {
            self.usage_at = now;
        }
        for entry in &listed {
            if self.ownership.fencing_token(entry.id.as_str()).is_none() {
                self.engines.remove(&entry.id);
                continue;
            }
            self.ensure(entry);
            self.shared.admission().open_engine(&entry.id, entry.slots, entry.incarnation);
            if usage_due {
                let used = self.shared.admission().adapter_usage(entry.id.as_str());
                if let Some(engine) = self.engines.get_mut(&entry.id) {
                    engine.residency.update_usage(now, &used);
                    let idle = engine.residency.available_slots();
                    self.shared.admission().set_available_adapter_slots(&entry.id, idle);
                }
            }
            self.work(now, entry, listed.len(), me);
        }
        let engines = &self.engines;
        self.shared.admission().retain_engines(|upstream| engines.contains_key(upstream));
        self.publish(now);
    }

    /// State of an engine in custody; new if the engine started anew.
    fn ensure(&mut self, entry: &UpstreamEntry) {
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

    /// Gives the next order to one of the `listed` engines.
    fn work(&mut self, now: Time, entry: &UpstreamEntry, listed: usize, me: &ActorRef<Keeper>) {
        let Some(fencing_token) = self.ownership.order_fencing_token(now, entry.id.as_str()) else {
            return;
        };
        if entry.state != UpstreamState::Ready {
            return;
        }
        let loading = self.loading(now);
        let at_once = LOADS_AT_ONCE.max((listed as f64 * LOADS_PER_ENGINE) as u32);
        let model_gap = self.model_load_gap();
        let Some(engine) = self.engines.get_mut(&entry.id) else { return };
        if engine.busy {
            return;
        }
        let allowed = LoadPermission {
            adapter_loads: loading < at_once || engine.residency.loads_in_progress() == 0,
            model_loads: now.since(self.model_load_at) >= model_gap,
        };
        let dispatcher = self.shared.dispatcher();
        let model = engine.residency.model().clone();
        let base = Name::from("");
        let newest =
            |adapter: Option<&Name>| dispatcher.newest_version(&model, adapter.unwrap_or(&base));
        let step = engine.residency.next_call(now, newest, allowed);
        drop(dispatcher);
        let Some(step) = step else { return };
        engine.busy = true;
        match &step {
            EngineCall::Report => {
                engine.residency.record_report_sent(now);
                tokio::spawn(orders::report(
                    Arc::clone(&self.shared),
                    self.http.clone(),
                    entry.id.clone(),
                    entry.address,
                    entry.incarnation,
                    me.clone(),
                ));
            }
            EngineCall::Order { kind, adapter, version, precondition } => {
                if adapter.is_none() {
                    self.model_load_at = now;
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
                tokio::spawn(orders::give_order(
                    Arc::clone(&self.shared),
                    self.http.clone(),
                    entry.id.clone(),
                    entry.address,
                    entry.incarnation,
                    order,
                    step,
                    me.clone(),
                ));
            }
        }
    }

    /// Adapter loads from the store that are under way over all nodes.
    fn loading(&self, now: Time) -> u32 {
        let own: u32 =
            self.engines.values().map(|engine| engine.residency.loads_in_progress()).sum();
        let peers: u32 = self
            .shared
            .peers()
            .live(now)
            .map(|peer| peer.heartbeat.adapter_loads_in_progress)
            .sum();
        own + peers
    }

    /// Time between two base model loads of this node that keeps all nodes within the weight store's rate.
    fn model_load_gap(&self) -> Duration {
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

    /// Makes the adapters known to this node and the others.
    fn publish(&mut self, now: Time) {
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
                        && engine.failures < FAILURES_CLOSED,
                    adapters: engine.residency.placed_adapters(),
                })
            })
            .collect();
        placements.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        for placement in &mut placements {
            placement.adapters.sort_by(|a, b| a.adapter.cmp(&b.adapter));
        }
        let loading: u32 =
            self.engines.values().map(|engine| engine.residency.loads_in_progress()).sum();
        self.shared.set_loading(usize::try_from(loading).unwrap_or(usize::MAX));
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
        self.shared.pump(now);
        self.shared.beat_now.notify_one();
    }

    fn claim(&mut self, now: Time, listed: &[Arc<UpstreamEntry>], me: &ActorRef<Keeper>) {
        if self.claiming || self.lease.is_none() {
            return;
        }
        let ids: Vec<Name> = listed.iter().map(|entry| entry.id.clone()).collect();
        let peers = self.shared.peers();
        let mut claims = self.ownership.due_claims(now, &ids, |node| peers.is_alive(now, node));
        drop(peers);
        claims.truncate(CLAIMS_PER_CALL);
        let orphans = self.orphans(now, &ids);
        if claims.is_empty() && orphans.is_empty() {
            return;
        }
        self.claiming = true;
        tokio::spawn(membership::claim(Arc::clone(&self.store), claims, orphans, me.clone()));
    }

    /// Records of this node whose engines have been gone for long.
    fn orphans(&mut self, now: Time, ids: &[Name]) -> Vec<(Name, u64)> {
        let orphans =
            self.ownership.unlisted_records(|id| ids.iter().any(|listed| listed.as_str() == id));
        self.orphan_since.retain(|id, _| orphans.iter().any(|(orphan, _)| orphan == id));
        let mut due = Vec::new();
        for (id, revision) in orphans {
            let since = *self.orphan_since.entry(id.clone()).or_insert(now);
            if now.since(since) >= ORPHAN_AFTER && due.len() < CLAIMS_PER_CALL {
                due.push((id, revision));
            }
        }
        due
    }
}

impl Message<KeeperMsg> for Keeper {
    type Reply = ();

    async fn handle(&mut self, msg: KeeperMsg, cx: &mut Context<Self, ()>) {
        let now = clock::now();
        let me = cx.actor_ref().clone();
        match msg {
            KeeperMsg::Wants(wants) => {
                for want in wants {
                    if let Some(engine) = self.engines.get_mut(&want.upstream) {
                        engine.residency.request_adapter(
                            now,
                            &want.adapter,
                            want.waiting,
                            want.priority,
                        );
                    }
                }
                self.tick(now, &me);
            }
            KeeperMsg::Store { items, full } => self.take_items(now, items, full),
            KeeperMsg::Lease { lease, sent } => {
                self.lease = Some(lease);
                self.ownership.record_lease_renewal(sent);
            }
            KeeperMsg::LeaseLost => {
                self.lease = None;
                self.ownership.record_lease_loss();
            }
            KeeperMsg::Tick => self.tick(now, &me),
            KeeperMsg::Claimed { claims, revision } => {
                self.claiming = false;
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
            KeeperMsg::Ordered { upstream, incarnation, step, reply } => {
                if let Some(engine) = self.engines.get_mut(&upstream)
                    && engine.residency.incarnation() == incarnation
                {
                    engine.busy = false;
                    engine.answered(reply != OrderReply::Unanswered);
                    engine.residency.handle_order_reply(now, &step, reply);
                    self.tick(now, &me);
                }
            }
            KeeperMsg::Reported { upstream, incarnation, sent, report } => {
                tracing::debug!(event = "reported", %upstream, born = incarnation, ?report);
                if let Some(engine) = self.engines.get_mut(&upstream)
                    && engine.residency.incarnation() == incarnation
                {
                    engine.busy = false;
                    engine.answered(report.is_some());
                    if let Some(report) = report
                        && (report.born == incarnation || report.born == 0)
                    {
                        engine.residency.handle_report(now, sent, &report);
                    }
                    self.tick(now, &me);
                }
            }
        }
    }
}

/// Sends ticks until the keeper stops.
pub async fn ticks(keeper: ActorRef<Keeper>) {
    while keeper.tell(KeeperMsg::Tick).await.is_ok() {
        sleep(TICK).await;
    }
}
