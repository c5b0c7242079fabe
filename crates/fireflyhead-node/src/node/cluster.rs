//! Actors that keep the context of a node up to date, and their connections.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use fireflyhead_core::membership::RumorBody;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::MemberState;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_schema::messages;
use fireflyhead_schema::messages::Handover;
use fireflyhead_schema::messages::TableAnswer;
use fireflyhead_schema::messages::TableFetch;
use fireflyhead_schema::messages::call_answer;
use fireflyhead_schema::messages::call_request;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::broadcast::error::RecvError;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;
use crate::dispatchers::Dispatchers;
use crate::entry::account::Accounting;
use crate::hosts;
use crate::kv::Store;
use crate::members;
use crate::members::Announce;
use crate::members::Leave;
use crate::members::Members;
use crate::members::WatchTableVersion;
use crate::operators;
use crate::operators::NodeView;
use crate::operators::Operators;
use crate::operators::OutcomeCounts;
use crate::owners;
use crate::owners::Drain;
use crate::owners::IsReleased;
use crate::owners::OutgoingHandover;
use crate::owners::Owners;
use crate::owners::Revoke;
use crate::owners::SubscribeHandovers;
use crate::peer::client::Peers;
use crate::tables;
use crate::tables::Announced;
use crate::tables::PeerTable;
use crate::tables::TablePeers;
use crate::tables::Tables;

/// Nodes that are asked for a table.
const TABLE_PEERS: usize = 3;

/// Longest wait for a table or a table version of another node.
const TABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the answer to a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two announcements of load figures.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the release of all upstreams at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two looks at the release of the upstreams.
const RELEASE_POLL: Duration = Duration::from_millis(50);

/// Longest wait for the end of the lease at a planned stop.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Actors of one node.
pub(super) struct Cluster {
    pub(super) members: ActorRef<Members>,
    pub(super) owners: ActorRef<Owners>,
    tables: ActorRef<Tables>,
    hosts: JoinHandle<()>,
}

impl Cluster {
    pub(super) fn start(
        cx: &NodeContext,
        store: &Arc<dyn Store>,
        peers: &Peers,
        socket: UdpSocket,
    ) -> Cluster {
        let members = members::spawn(cx.clone(), socket);
        let owners = owners::spawn(cx.clone(), store.clone(), members.clone());
        let fetch = Arc::new(PeerTables { cx: cx.clone(), peers: peers.clone() });
        let tables = tables::spawn(cx.clone(), store.clone(), fetch);
        Cluster { members, owners, tables, hosts: hosts::spawn(cx.clone()) }
    }

    /// Routes of the listener for operators.
    pub(super) fn operators(
        &self,
        cx: &NodeContext,
        peers: &Peers,
        accounting: Arc<Accounting>,
        drain: Arc<Notify>,
    ) -> Router {
        let view = Arc::new(View { cx: cx.clone(), peers: peers.clone(), accounting });
        operators::router(Operators { cx: cx.clone(), tables: self.tables.clone(), view, drain })
    }

    /// Starts the tasks between the actors.
    pub(super) fn follow(
        &self,
        cx: &NodeContext,
        dispatchers: &Dispatchers,
        peers: &Peers,
        stop: &CancellationToken,
    ) {
        let adverts = announce(cx.clone(), dispatchers.clone(), self.members.clone());
        let versions = follow_versions(self.members.clone(), self.tables.clone());
        let handovers =
            hand_over(cx.clone(), self.owners.clone(), dispatchers.clone(), peers.clone());
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                ((), (), ()) = async { tokio::join!(adverts, versions, handovers) } => {}
            }
        });
    }

    /// Other nodes see this one as leaving and take its upstreams over.
    pub(super) async fn leave(&self) {
        let _stopped = self.members.tell(Leave).await;
        let _stopped = self.owners.tell(Drain).await;
    }

    /// Waits until no record names this node as owner, for a bounded time.
    pub(super) async fn released(&self) {
        let _stopped = self.owners.tell(Drain).await;
        let released = async {
            while let Ok(false) = self.owners.ask(IsReleased).await {
                sleep(RELEASE_POLL).await;
            }
        };
        if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
            tracing::warn!("some upstreams were not handed over; their lease ends by itself");
        }
    }

    /// Ends the lease.
    pub(super) async fn revoke(&self) {
        let _expired = tokio::time::timeout(REVOKE_TIMEOUT, self.owners.ask(Revoke)).await;
    }

    /// Drops all actors.
    pub(super) fn kill(&self) {
        self.owners.kill();
        self.members.kill();
        self.tables.kill();
        self.hosts.abort();
    }
}

/// Announces changed load figures of own upstreams, and all of them now and then.
async fn announce(cx: NodeContext, dispatchers: Dispatchers, members: ActorRef<Members>) {
    const REFRESH_ROUNDS: u32 = 4;
    let mut sent: HashMap<Name, UpstreamAdvert> = HashMap::new();
    for round in 0_u32.. {
        let adverts = cx.adverts.borrow().clone();
        let own = dispatchers.upstreams();
        sent.retain(|name, _| own.contains(name));
        for name in own {
            let Some(advert) = adverts.get(&name) else { continue };
            if sent.get(&name) == Some(advert) && !round.is_multiple_of(REFRESH_ROUNDS) {
                continue;
            }
            sent.insert(name.clone(), advert.clone());
            let body = RumorBody::Advert { upstream: name, advert: advert.clone() };
            if members.tell(Announce(body)).await.is_err() {
                return;
            }
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Tells the table's actor which versions other nodes have.
async fn follow_versions(members: ActorRef<Members>, tables: ActorRef<Tables>) {
    let Ok(versions) = members.ask(WatchTableVersion).await else { return };
    let mut versions = versions.0;
    loop {
        let version = *versions.borrow_and_update();
        if tables.tell(Announced { version }).await.is_err() || versions.changed().await.is_err() {
            return;
        }
    }
}

/// Sends the handovers that the ownership asks for.
async fn hand_over(
    cx: NodeContext,
    owners: ActorRef<Owners>,
    dispatchers: Dispatchers,
    peers: Peers,
) {
    let Ok(handovers) = owners.ask(SubscribeHandovers).await else { return };
    let mut handovers = handovers.0;
    loop {
        match handovers.recv().await {
            Ok(handover) => {
                let (cx, dispatchers) = (cx.clone(), dispatchers.clone());
                tokio::spawn(send_handover(cx, dispatchers, peers.clone(), handover));
            }
            // A handover that is not sent only delays loads at the next owner.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

async fn send_handover(
    cx: NodeContext,
    dispatchers: Dispatchers,
    peers: Peers,
    handover: OutgoingHandover,
) {
    let pinned = dispatchers.hand_over(&handover.upstream).await;
    let Some(address) = address_of(&cx, &handover.to) else { return };
    let body = call_request::Body::Handover(Handover {
        upstream: handover.upstream.to_string(),
        fencing: handover.fencing,
        pinned: pinned.iter().map(messages::AdapterKey::from).collect(),
    });
    if let Err(e) = peers.call(&address, body, HANDOVER_TIMEOUT).await {
        tracing::warn!(upstream = %handover.upstream, error = %e, "handover not sent");
    }
}

fn address_of(cx: &NodeContext, node: &NodeRef) -> Option<Name> {
    let members = cx.members.borrow();
    let found = members.iter().find(|member| member.node == *node);
    found.map(|member| member.peer_address.clone())
}

/// Tables of other nodes, by short calls.
struct PeerTables {
    cx: NodeContext,
    peers: Peers,
}

impl TablePeers for PeerTables {
    fn fetch(&self, known: u64) -> BoxFuture<'_, Vec<PeerTable>> {
        let members = self.cx.members.borrow().clone();
        let others: Vec<&Member> = members
            .iter()
            .filter(|member| member.state == MemberState::Alive && member.node != self.cx.me)
            .collect();
        let chosen: Vec<Name> = others
            .choose_multiple(&mut rand::rng(), TABLE_PEERS)
            .map(|member| member.peer_address.clone())
            .collect();
        Box::pin(async move {
            let calls = chosen.iter().map(|address| fetch_table(&self.peers, address, known));
            let answers = futures::future::join_all(calls).await.into_iter().flatten();
            answers
                .filter(|answer| answer.version > known && !answer.csv.is_empty())
                .map(|answer| PeerTable { version: answer.version, csv: answer.csv })
                .collect()
        })
    }
}

async fn fetch_table(peers: &Peers, address: &Name, known: u64) -> Option<TableAnswer> {
    let body = call_request::Body::TableFetch(TableFetch { known_version: known });
    match peers.call(address, body, TABLE_TIMEOUT).await {
        Ok(call_answer::Body::Table(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    }
}

/// The node as the listener for operators sees it.
struct View {
    cx: NodeContext,
    peers: Peers,
    accounting: Arc<Accounting>,
}

impl NodeView for View {
    fn counts(&self) -> OutcomeCounts {
        let counts = self.accounting.counts();
        OutcomeCounts {
            accepted: counts.accepted,
            answered: counts.answered,
            not_run: counts.not_run,
            outcome_unknown: counts.outcome_unknown,
        }
    }

    fn table_version(&self, node: NodeRef) -> BoxFuture<'_, Option<u64>> {
        if node == self.cx.me {
            let version = self.cx.table.borrow().version;
            return Box::pin(std::future::ready(Some(version)));
        }
        let address = address_of(&self.cx, &node);
        Box::pin(async move {
            let answer = fetch_table(&self.peers, &address?, u64::MAX).await;
            answer.map(|answer| answer.version)
        })
    }
}
