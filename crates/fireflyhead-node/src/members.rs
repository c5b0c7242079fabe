//! Members of the cluster at this node: probes, rumors and snapshots.
//!
//! The actor publishes the members and the adverts of remote upstreams. It
//! announces the table version and the reachability of the key-value service by
//! itself; owners of upstreams announce their adverts with [`Announce`].
//!
//! If other nodes declared this node dead, its own entry among the members shows
//! `Dead`: the node must stop as planned and start again.

#[cfg(test)]
pub(crate) mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::membership::Membership;
use fireflyhead_core::membership::MembershipConfig;
use fireflyhead_core::membership::MembershipEffect;
use fireflyhead_core::membership::MembershipInput;
use fireflyhead_core::membership::Message as PeerMessage;
use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::membership::StoreViews;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::Time;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::context::NodeContext;
use crate::context::StoreState;
use crate::probe;

/// Ticks of the state machine in one probe interval.
const TICKS_PER_INTERVAL: u32 = 5;
/// Probe intervals after which the view of another node is out of date.
const VIEW_AGE_INTERVALS: u32 = 8;

/// Starts the actor that probes other nodes over `socket`, which is bound to the peer address.
pub fn spawn(cx: NodeContext, socket: UdpSocket) -> ActorRef<Members> {
    let (sender, receiver) = {
        let key = cx.settings.peer_key.expose().as_bytes();
        probe::split(socket, key, cx.me.clone())
    };
    let me = member_of(&cx);
    let cfg = MembershipConfig::with_interval(cx.settings.probe_interval);
    let seed = rand::random();
    let members = Members {
        machine: Membership::new(cfg, me, seed),
        sender,
        table_version: watch::Sender::new(0),
        adverts: HashMap::new(),
        cx,
    };
    let actor = Members::spawn(members);
    tokio::spawn(receive(actor.clone(), receiver));
    actor
}

/// This node as a member.
pub(crate) fn member_of(cx: &NodeContext) -> Member {
    Member {
        node: cx.me.clone(),
        zone: Name::from(cx.settings.zone.as_str()),
        caller_address: Name::from(cx.settings.caller_address.to_string()),
        peer_address: Name::from(cx.settings.peer_address.to_string()),
        state: MemberState::Alive,
    }
}

/// Actor of the membership.
pub struct Members {
    cx: NodeContext,
    machine: Membership,
    sender: probe::Sender,
    /// Highest table version that any node announced.
    table_version: watch::Sender<u64>,
    /// Node whose advert of an upstream is published, for remote upstreams.
    adverts: HashMap<Name, NodeRef>,
}

/// Disseminates a value of this node, for example the advert of an owned upstream.
#[derive(Clone, Debug)]
pub struct Announce(pub RumorBody);

/// Members that the key-value service lists.
#[derive(Clone, Debug)]
pub struct Seed(pub Vec<Member>);

/// The lease of a node ended in the key-value service.
#[derive(Clone, Debug)]
pub struct LeaseEnded(pub NodeRef);

/// Begins a planned stop: other nodes see this one as leaving.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Asks for the contact to other nodes.
#[derive(Clone, Copy, Debug)]
pub struct GetContact;

/// Contact to other nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(kameo::Reply)]
pub struct Contact {
    /// Whether more than half of the members answer.
    pub majority: bool,
    /// Whether other members are known and none answers.
    pub isolated: bool,
    /// Views of the key-value service by other nodes.
    pub views: StoreViews,
}

/// Asks for the last clock value of a node in milliseconds, for placement tokens.
#[derive(Clone, Debug)]
pub struct TickOf(pub NodeRef);

/// Asks for the highest table version that any node announced, and its changes.
#[derive(Clone, Copy, Debug)]
pub struct WatchTableVersion;

/// Message from another node.
struct Received(NodeRef, PeerMessage);

/// Time passed.
struct Tick;

impl Actor for Members {
    type Args = Members;
    type Error = Infallible;

    async fn on_start(mut state: Members, me: ActorRef<Members>) -> Result<Members, Infallible> {
        let contacts = state.cx.settings.seeds.iter().map(|seed| Name::from(seed.as_str()));
        state.run(MembershipInput::Contacts(contacts.collect()));
        state.publish_members();
        let interval = state.cx.settings.probe_interval / TICKS_PER_INTERVAL;
        tokio::spawn(tick(me, interval));
        Ok(state)
    }
}

impl Members {
    fn now(&self) -> Time {
        self.cx.clock.now()
    }

    /// Gives an input to the state machine and carries out its effects.
    fn run(&mut self, input: MembershipInput) {
        let mut effects = Vec::new();
        self.machine.handle(self.now(), input, &mut effects);
        let mut changed = false;
        for effect in effects {
            match effect {
                MembershipEffect::Send { to, message } => self.sender.send(to.as_str(), &message),
                MembershipEffect::Changed(member) => {
                    changed = true;
                    self.changed(&member);
                }
                MembershipEffect::Rumor(rumor) => self.learned(rumor.from, rumor.body),
            }
        }
        if changed {
            self.publish_members();
        }
    }

    fn changed(&mut self, member: &Member) {
        let Member { node, state, .. } = member;
        match state {
            MemberState::Dead if *node == self.cx.me => {
                tracing::error!("other nodes declared this node dead; it must start again");
            }
            _ => tracing::info!(%node.id, node.incarnation, ?state, "a member changed"),
        }
        if *state == MemberState::Dead {
            self.drop_adverts(node);
        }
    }

    fn learned(&mut self, from: NodeRef, body: RumorBody) {
        match body {
            RumorBody::TableVersion(version) => {
                self.table_version.send_if_modified(|known| {
                    let newer = version > *known;
                    *known = version.max(*known);
                    newer
                });
            }
            RumorBody::Advert { upstream, advert } => {
                self.adverts.insert(upstream.clone(), from);
                self.cx.adverts.send_modify(|adverts| {
                    Arc::make_mut(adverts).insert(upstream, advert);
                });
            }
            RumorBody::StoreReachable(_) => {}
        }
    }

    /// Removes the load figures that a dead node announced.
    fn drop_adverts(&mut self, node: &NodeRef) {
        let (dropped, kept) =
            self.adverts.drain().partition::<HashMap<_, _>, _>(|(_, from)| from == node);
        self.adverts = kept;
        if !dropped.is_empty() {
            self.cx.adverts.send_modify(|adverts| {
                Arc::make_mut(adverts).retain(|upstream, _| !dropped.contains_key(upstream));
            });
        }
    }

    fn publish_members(&self) {
        let members: Vec<Member> = self.machine.members().cloned().collect();
        self.cx.members.send_replace(Arc::new(members));
    }

    /// Announces what other actors published.
    fn announce_own(&mut self) {
        let version = self.cx.table.borrow().version;
        let reachable = *self.cx.store.borrow() == StoreState::Reachable;
        self.run(MembershipInput::Announce(RumorBody::TableVersion(version)));
        // Before the first answer of the service, silence says nothing about it.
        if reachable || self.now().since(Time::default()) >= self.cx.settings.lease_ttl {
            self.run(MembershipInput::Announce(RumorBody::StoreReachable(reachable)));
        }
    }

    fn contact(&self) -> Contact {
        let now = self.now();
        let age = self.cx.settings.probe_interval * VIEW_AGE_INTERVALS;
        Contact {
            majority: self.machine.in_contact(now),
            isolated: self.machine.is_isolated(now),
            views: self.machine.store_views(now, age),
        }
    }
}

impl Message<Received> for Members {
    type Reply = ();

    async fn handle(&mut self, Received(from, message): Received, _: &mut Context<Self, ()>) {
        self.run(MembershipInput::Received { from, message });
    }
}

impl Message<Tick> for Members {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.announce_own();
        self.run(MembershipInput::Tick);
    }
}

impl Message<Announce> for Members {
    type Reply = ();

    async fn handle(&mut self, Announce(body): Announce, _: &mut Context<Self, ()>) {
        if let RumorBody::Advert { upstream, .. } = &body {
            self.adverts.remove(upstream);
        }
        self.run(MembershipInput::Announce(body));
    }
}

impl Message<Seed> for Members {
    type Reply = ();

    async fn handle(&mut self, Seed(members): Seed, _: &mut Context<Self, ()>) {
        self.run(MembershipInput::Seed(members));
    }
}

impl Message<LeaseEnded> for Members {
    type Reply = ();

    async fn handle(&mut self, LeaseEnded(node): LeaseEnded, _: &mut Context<Self, ()>) {
        self.run(MembershipInput::LeaseEnded(node));
    }
}

impl Message<Leave> for Members {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.run(MembershipInput::Leave);
    }
}

impl Message<GetContact> for Members {
    type Reply = Contact;

    async fn handle(&mut self, _: GetContact, _: &mut Context<Self, Contact>) -> Contact {
        self.contact()
    }
}

impl Message<TickOf> for Members {
    type Reply = Option<u64>;

    async fn handle(
        &mut self,
        TickOf(node): TickOf,
        _: &mut Context<Self, Option<u64>>,
    ) -> Option<u64> {
        self.machine.tick_of(&node)
    }
}

impl Message<WatchTableVersion> for Members {
    type Reply = TableVersions;

    async fn handle(
        &mut self,
        _: WatchTableVersion,
        _: &mut Context<Self, TableVersions>,
    ) -> TableVersions {
        TableVersions(self.table_version.subscribe())
    }
}

/// Highest table version that any node announced.
#[derive(Clone, Debug)]
#[derive(kameo::Reply)]
pub struct TableVersions(pub watch::Receiver<u64>);

/// Passes valid datagrams to the actor until it stops.
async fn receive(actor: ActorRef<Members>, mut receiver: probe::Receiver) {
    loop {
        let received = tokio::select! {
            received = receiver.recv() => received,
            () = actor.wait_for_shutdown() => return,
        };
        match received {
            Ok((from, message)) => {
                let _ = actor.tell(Received(from, message)).await;
            }
            // Refused datagrams show as errors of the socket and don't end it.
            Err(error) => tracing::debug!(%error, "the probe socket reported an error"),
        }
    }
}

/// Ticks until the actor stops.
async fn tick(actor: ActorRef<Members>, interval: Duration) {
    let mut timer = tokio::time::interval(interval);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}
