//! Ownership of upstreams at this node, and its lease in the key-value service.
//!
//! The actor keeps the lease, registers the node under it, follows the owners'
//! records and publishes owners, roles and the reachability of the service.
//! Calls to the service run in tasks of their own and end in inputs of the state
//! machine. Roles in the snapshot may be out of date after a pause of the process,
//! so whoever gives a load or unload order must ask [`MayOrder`] right before it.

mod calls;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::ownership::Ownership as Machine;
use fireflyhead_core::ownership::OwnershipConfig;
use fireflyhead_core::ownership::OwnershipEffect;
use fireflyhead_core::ownership::OwnershipInput;
use fireflyhead_core::ownership::Revision;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::Time;
use fireflyhead_core::types::UpstreamInfo;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use kameo::reply::DelegatedReply;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::context::NodeContext;
use crate::context::Ownership;
use crate::context::StoreState;
use crate::kv::Store;
use crate::kv::WatchEvent;
use crate::members::Contact;
use crate::members::GetContact;
use crate::members::LeaseEnded;
use crate::members::Members;
use crate::members::Seed;
use crate::members::member_of;
use crate::owners::calls::Calls;

/// Prefix of the owners' records.
pub const OWNER_PREFIX: &str = "/fireflyhead/owner/";
/// Prefix of the nodes' entries.
pub const NODE_PREFIX: &str = "/fireflyhead/node/";

/// Ticks of the state machine in the time to live of the lease.
const TICKS_PER_LEASE: u32 = 40;
/// Time between two reads of the node list while something is uncertain.
const NODES_FAST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of the node list otherwise.
const NODES_SLOW_INTERVAL: Duration = Duration::from_secs(30);
/// Time before an ended watch is opened again.
const WATCH_RETRY: Duration = Duration::from_millis(500);
/// Outgoing handovers that a slow subscriber may lag behind.
const HANDOVER_BUFFER: usize = 256;

/// Starts the actor that owns upstreams by records in `store`.
pub fn spawn(
    cx: NodeContext,
    store: Arc<dyn Store>,
    members: ActorRef<Members>,
) -> ActorRef<Owners> {
    let cfg = OwnershipConfig {
        pin_for: cx.settings.request_timeout + cx.settings.connect_timeout,
        ..OwnershipConfig::with_ttl(cx.settings.lease_ttl)
    };
    spawn_with(cx, cfg, store, members)
}

/// Starts the actor with timing of its own.
pub(crate) fn spawn_with(
    cx: NodeContext,
    cfg: OwnershipConfig,
    store: Arc<dyn Store>,
    members: ActorRef<Members>,
) -> ActorRef<Owners> {
    let (handovers, _) = broadcast::channel(HANDOVER_BUFFER);
    let interval = cfg.lease_ttl / TICKS_PER_LEASE;
    let actor = Owners::spawn(Owners {
        calls: Calls::new(store.clone(), &cfg, cx.clock, member_of(&cx)),
        machine: Machine::new(cfg, cx.me.clone()),
        handovers,
        members: members.clone(),
        members_seen: cx.members.subscribe(),
        upstreams_seen: cx.upstreams.subscribe(),
        next_nodes: Time::default(),
        reading_nodes: false,
        published: Revision::default(),
        cx,
    });
    tokio::spawn(tick(actor.clone(), members, interval));
    tokio::spawn(follow(actor.clone(), store));
    actor
}

/// Actor of the ownership.
pub struct Owners {
    cx: NodeContext,
    calls: Calls,
    machine: Machine,
    handovers: broadcast::Sender<OutgoingHandover>,
    members: ActorRef<Members>,
    members_seen: watch::Receiver<Arc<Vec<Member>>>,
    upstreams_seen: watch::Receiver<Arc<HashMap<Name, UpstreamInfo>>>,
    next_nodes: Time,
    reading_nodes: bool,
    /// State at the last publication.
    published: Revision,
}

/// Handover that must be sent to the next owner with the adapters in use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingHandover {
    /// Next owner.
    pub to: NodeRef,
    /// Upstream.
    pub upstream: Name,
    /// Fencing number of this node.
    pub fencing: u64,
}

/// Handover that another node sent to this one.
#[derive(Clone, Debug)]
pub struct HandoverReceived {
    /// Node that hands over.
    pub from: NodeRef,
    /// Upstream.
    pub upstream: Name,
    /// Fencing number of that node.
    pub fencing: u64,
    /// Whether adapters are in use by its running requests.
    pub in_use: bool,
}

/// Asks whether a load or unload order may be given now; the fencing number if so.
#[derive(Clone, Debug)]
pub struct MayOrder(pub Name);

/// Begins a planned stop: hands over all upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

/// Asks whether all upstreams were handed over.
#[derive(Clone, Copy, Debug)]
pub struct IsReleased;

/// Ends the lease at the end of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Revoke;

/// Subscribes to the handovers that this node must send.
#[derive(Clone, Copy, Debug)]
pub struct SubscribeHandovers;

/// Handovers that this node must send.
#[derive(Debug)]
#[derive(kameo::Reply)]
pub struct Handovers(pub broadcast::Receiver<OutgoingHandover>);

/// Results of a call to the service.
pub(crate) struct Inputs(Vec<OwnershipInput>);

/// Time passed.
struct Tick(Contact);

/// The list of nodes was read; `None` if the read failed.
struct Nodes(Option<Vec<Member>>);

impl Actor for Owners {
    type Args = Owners;
    type Error = Infallible;

    async fn on_start(mut state: Owners, me: ActorRef<Owners>) -> Result<Owners, Infallible> {
        state.members_seen.mark_changed();
        state.upstreams_seen.mark_changed();
        state.run(&me, OwnershipInput::Tick);
        Ok(state)
    }
}

impl Owners {
    /// Gives an input to the state machine and carries out its effects.
    fn run(&mut self, me: &ActorRef<Owners>, input: OwnershipInput) {
        let mut effects = Vec::new();
        self.machine.handle(self.cx.clock.now(), input, &mut effects);
        for effect in effects {
            match effect {
                OwnershipEffect::Start { upstream } => {
                    tracing::info!(%upstream, "this node owns an upstream");
                }
                OwnershipEffect::Stop { upstream } => {
                    tracing::info!(%upstream, "this node does not own an upstream any more");
                }
                OwnershipEffect::SendHandover { to, upstream, fencing } => {
                    // Without a subscriber the next owner keeps the adapters pinned for longer.
                    let _ = self.handovers.send(OutgoingHandover { to, upstream, fencing });
                }
                call => self.call(me, call),
            }
        }
    }

    /// Runs a call to the service; its results come back as inputs.
    fn call(&self, me: &ActorRef<Owners>, effect: OwnershipEffect) {
        let (calls, me) = (self.calls.clone(), me.clone());
        tokio::spawn(async move {
            let inputs = calls.run(effect).await;
            // The actor is gone only when the node stops.
            let _ = me.tell(Inputs(inputs)).await;
        });
    }

    /// Passes on what other actors published since the last tick.
    fn observe(&mut self, me: &ActorRef<Owners>) {
        if self.members_seen.has_changed().unwrap_or(false) {
            let members = self.members_seen.borrow_and_update().to_vec();
            self.run(me, OwnershipInput::Members(members));
        }
        if self.upstreams_seen.has_changed().unwrap_or(false) {
            let upstreams = self.upstreams_seen.borrow_and_update().values().cloned().collect();
            self.run(me, OwnershipInput::Upstreams(upstreams));
        }
    }

    /// Publishes owners, roles and the state of the service if they may have changed.
    fn publish(&mut self) {
        let now = self.cx.clock.now();
        let revision = self.machine.revision(now);
        if std::mem::replace(&mut self.published, revision) == revision {
            return;
        }
        let owners: HashMap<Name, Ownership> = self
            .cx
            .upstreams
            .borrow()
            .keys()
            .map(|upstream| {
                let record = self.machine.owner_of(upstream).cloned();
                let role = self.machine.role(now, upstream);
                (upstream.clone(), Ownership { record, role })
            })
            .collect();
        self.cx.owners.send_if_modified(|published| {
            let changed = **published != owners;
            if changed {
                *published = Arc::new(owners);
            }
            changed
        });
        let store = match self.machine.store_reachable() {
            true => StoreState::Reachable,
            false => StoreState::Unreachable,
        };
        self.cx.store.send_if_modified(|published| {
            let changed = *published != store;
            if changed {
                tracing::info!(?store, "the state of the key-value service changed");
            }
            *published = store;
            changed
        });
    }

    /// Reads the list of nodes now and then, and often while a member is uncertain.
    fn read_nodes(&mut self, me: &ActorRef<Owners>) {
        let now = self.cx.clock.now();
        if self.reading_nodes || now < self.next_nodes {
            return;
        }
        self.reading_nodes = true;
        let (calls, me) = (self.calls.clone(), me.clone());
        tokio::spawn(async move {
            let nodes = calls.nodes().await;
            let _ = me.tell(Nodes(nodes)).await;
        });
    }

    /// Suspects whose entry is gone from the list.
    fn ended_leases(&self, listed: &[Member]) -> Vec<NodeRef> {
        let members = self.cx.members.borrow();
        let suspects = members.iter().filter(|member| member.state == MemberState::Suspect);
        let gone = suspects.filter(|member| listed.iter().all(|entry| entry.node != member.node));
        gone.map(|member| member.node.clone()).collect()
    }

    /// Time until the next read of the list of nodes.
    fn nodes_interval(&self) -> Duration {
        let members = self.cx.members.borrow();
        let uncertain = members.iter().any(|member| member.state == MemberState::Suspect);
        match members.len() {
            0 | 1 => NODES_FAST_INTERVAL,
            _ if uncertain => NODES_FAST_INTERVAL,
            _ => NODES_SLOW_INTERVAL,
        }
    }
}

impl Message<Tick> for Owners {
    type Reply = ();

    async fn handle(&mut self, Tick(contact): Tick, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref().clone();
        self.observe(&me);
        let Contact { majority, isolated, views } = contact;
        self.run(&me, OwnershipInput::Contact { majority, isolated, views });
        self.next_nodes = self.next_nodes.min(self.cx.clock.now() + self.nodes_interval());
        self.read_nodes(&me);
        self.publish();
    }
}

impl Message<Inputs> for Owners {
    type Reply = ();

    async fn handle(&mut self, Inputs(inputs): Inputs, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref().clone();
        for input in inputs {
            self.run(&me, input);
        }
        self.publish();
    }
}

impl Message<Nodes> for Owners {
    type Reply = ();

    async fn handle(&mut self, Nodes(nodes): Nodes, _: &mut Context<Self, ()>) {
        self.reading_nodes = false;
        self.next_nodes = self.cx.clock.now() + self.nodes_interval();
        let Some(listed) = nodes else {
            self.next_nodes = self.cx.clock.now() + NODES_FAST_INTERVAL;
            return;
        };
        for node in self.ended_leases(&listed) {
            let _ = self.members.tell(LeaseEnded(node)).await;
        }
        let others = listed.into_iter().filter(|member| member.node != self.cx.me).collect();
        let _ = self.members.tell(Seed(others)).await;
    }
}

impl Message<MayOrder> for Owners {
    type Reply = Option<u64>;

    async fn handle(
        &mut self,
        MayOrder(upstream): MayOrder,
        _: &mut Context<Self, Option<u64>>,
    ) -> Option<u64> {
        match self.machine.role(self.cx.clock.now(), &upstream) {
            Role::Owner { fencing, orders_allowed: true, .. } => Some(fencing),
            Role::Owner { .. } | Role::Caretaker | Role::None => None,
        }
    }
}

impl Message<HandoverReceived> for Owners {
    type Reply = ();

    async fn handle(&mut self, handover: HandoverReceived, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref().clone();
        let HandoverReceived { from, upstream, fencing, in_use } = handover;
        self.run(&me, OwnershipInput::Handover { upstream, from, fencing, in_use });
    }
}

impl Message<Drain> for Owners {
    type Reply = ();

    async fn handle(&mut self, _: Drain, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref().clone();
        // The successors are chosen once, so the newest members count.
        self.observe(&me);
        self.run(&me, OwnershipInput::Drain);
        self.publish();
    }
}

impl Message<IsReleased> for Owners {
    type Reply = bool;

    async fn handle(&mut self, _: IsReleased, _: &mut Context<Self, bool>) -> bool {
        self.machine.released()
    }
}

impl Message<Revoke> for Owners {
    /// Whether the service confirmed it; otherwise the lease ends by itself.
    type Reply = DelegatedReply<bool>;

    async fn handle(&mut self, _: Revoke, cx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (calls, lease) = (self.calls.clone(), self.machine.lease());
        cx.spawn(async move { calls.revoke(lease).await })
    }
}

impl Message<SubscribeHandovers> for Owners {
    type Reply = Handovers;

    async fn handle(
        &mut self,
        _: SubscribeHandovers,
        _: &mut Context<Self, Handovers>,
    ) -> Handovers {
        Handovers(self.handovers.subscribe())
    }
}

/// Ticks with the current contact to other nodes until an actor stops.
async fn tick(actor: ActorRef<Owners>, members: ActorRef<Members>, interval: Duration) {
    let mut timer = tokio::time::interval(interval);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        let Ok(contact) = members.ask(GetContact).await else { return };
        if actor.tell(Tick(contact)).await.is_err() {
            return;
        }
    }
}

/// Passes changes of the owners' records to the actor until it stops.
async fn follow(actor: ActorRef<Owners>, store: Arc<dyn Store>) {
    while actor.is_alive() {
        let mut events = store.watch(OWNER_PREFIX);
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = actor.wait_for_shutdown() => return,
            };
            let input = match event {
                Some(WatchEvent::Put(kv)) => calls::stored_input(&kv, Time::default()),
                Some(WatchEvent::Delete(key)) => calls::deleted_input(&key),
                Some(WatchEvent::Lost) => Some(OwnershipInput::WatchLost),
                None => break,
            };
            let _ = actor.tell(Inputs(input.into_iter().collect())).await;
        }
        let _ = actor.tell(Inputs(vec![OwnershipInput::WatchLost])).await;
        tokio::time::sleep(WATCH_RETRY).await;
    }
}
