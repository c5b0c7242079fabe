//! The operators' table at this node: reading, publishing and editing.
//!
//! The actor publishes the table in force as a snapshot and accepts only rising
//! versions, from the key-value service or from peers. A watch on the head and
//! slow polling bring new versions; edits run in tasks of their own, so that a
//! slow service does not delay newer tables.

mod pages;
mod service;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use fireflyhead_core::table::Table;
use fireflyhead_core::types::MemberState;
use fireflyhead_schema::messages::TableEdit;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use kameo::reply::DelegatedReply;

use crate::context::NodeContext;
use crate::context::StoreState;
use crate::kv::Store;
use crate::kv::WatchEvent;
use crate::tables::service::Stored;

pub use service::Edit;
pub use service::EditError;
pub use service::HEAD_KEY;
pub use service::ReadError;

/// Time between two reads of the head while a table is in force.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two attempts to get a first table.
const FIRST_TABLE_INTERVAL: Duration = Duration::from_millis(500);
/// Nodes of each availability zone that watch the head; a pending watch counts as a call.
const WATCHERS_PER_ZONE: usize = 2;

/// Table of another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerTable {
    /// Version.
    pub version: u64,
    /// CSV text.
    pub csv: String,
}

/// Access to the tables of other nodes.
pub trait TablePeers: Send + Sync + 'static {
    /// Asks several nodes; the tables with a higher version than `known`.
    fn fetch(&self, known: u64) -> BoxFuture<'_, Vec<PeerTable>>;
}

/// No other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl TablePeers for NoPeers {
    fn fetch(&self, _known: u64) -> BoxFuture<'_, Vec<PeerTable>> {
        std::future::ready(Vec::new()).boxed()
    }
}

/// Starts the actor that publishes and edits the table of `cx`.
pub fn spawn(
    cx: NodeContext,
    store: Arc<dyn Store>,
    peers: Arc<dyn TablePeers>,
) -> ActorRef<Tables> {
    Tables::spawn(Tables {
        cx,
        store,
        peers,
        stored: None,
        announced: 0,
        reading: false,
        read_again: false,
    })
}

/// Actor of the table.
pub struct Tables {
    cx: NodeContext,
    store: Arc<dyn Store>,
    peers: Arc<dyn TablePeers>,
    /// Newest state read from or written to the service.
    stored: Option<Arc<Stored>>,
    /// Highest version that a peer announced.
    announced: u64,
    reading: bool,
    read_again: bool,
}

/// Reads the service and, without a table, the peers.
#[derive(Clone, Copy, Debug)]
pub struct Refresh;

/// A peer has this version; its table is fetched if it is newer.
#[derive(Clone, Copy, Debug)]
pub struct Announced {
    /// Version in force at the peer.
    pub version: u64,
}

/// Table received from a peer.
#[derive(Clone, Debug)]
pub struct Learned(pub PeerTable);

/// Asks for the recent edits, the newest last.
#[derive(Clone, Copy, Debug)]
pub struct History;

/// Result of a read of the service.
struct Read(Result<Stored, ReadError>);

/// Edit that took effect.
struct Committed(Stored);

impl Actor for Tables {
    type Args = Tables;
    type Error = Infallible;

    async fn on_start(state: Tables, me: ActorRef<Tables>) -> Result<Tables, Infallible> {
        tokio::spawn(watch_head(me.clone(), state.cx.clone(), state.store.clone()));
        tokio::spawn(poll(me, state.cx.clone()));
        Ok(state)
    }
}

impl Tables {
    fn version(&self) -> u64 {
        self.cx.table.borrow().version
    }

    /// Publishes `table` if it is newer than the one in force.
    fn accept(&self, table: Arc<Table>) {
        self.cx.table.send_if_modified(|current| {
            let newer = table.version > current.version;
            if newer {
                tracing::info!(version = table.version, "a new table is in force");
                *current = table;
            }
            newer
        });
    }

    fn accept_stored(&mut self, stored: Stored) {
        self.accept(stored.table.clone());
        let newer = self.stored.as_ref().is_none_or(|known| known.revision < stored.revision);
        if newer && stored.revision > 0 {
            self.stored = Some(Arc::new(stored));
        }
    }

    fn accept_from_peer(&self, peer: &PeerTable) {
        if peer.version <= self.version() {
            return;
        }
        match Table::from_csv(peer.version, &peer.csv) {
            Ok(table) => self.accept(Arc::new(table)),
            Err(errors) => {
                tracing::warn!(version = peer.version, ?errors, "a peer sent an invalid table");
            }
        }
    }

    fn read_service(&mut self, me: &ActorRef<Tables>) {
        if self.reading {
            self.read_again = true;
            return;
        }
        self.reading = true;
        let (store, known, me) = (self.store.clone(), self.stored.clone(), me.clone());
        tokio::spawn(async move {
            let result = service::read(store.as_ref(), known.as_deref()).await;
            // The actor is gone only when the node stops.
            let _ = me.tell(Read(result)).await;
        });
    }

    fn read_peers(&self, me: &ActorRef<Tables>) {
        let (peers, known, me) = (self.peers.clone(), self.version(), me.clone());
        tokio::spawn(async move {
            for table in peers.fetch(known).await {
                let _ = me.tell(Learned(table)).await;
            }
        });
    }
}

impl Message<Refresh> for Tables {
    type Reply = ();

    async fn handle(&mut self, _: Refresh, cx: &mut Context<Self, ()>) {
        self.read_service(cx.actor_ref());
        if self.version() == 0 {
            self.read_peers(cx.actor_ref());
        }
    }
}

impl Message<Read> for Tables {
    type Reply = ();

    async fn handle(&mut self, Read(result): Read, cx: &mut Context<Self, ()>) {
        self.reading = false;
        match result {
            Ok(stored) => self.accept_stored(stored),
            Err(error) => {
                tracing::warn!(%error, "the table was not read");
                if self.announced > self.version() {
                    self.read_peers(cx.actor_ref());
                }
            }
        }
        if std::mem::take(&mut self.read_again) {
            self.read_service(cx.actor_ref());
        }
    }
}

impl Message<Announced> for Tables {
    type Reply = ();

    async fn handle(&mut self, announced: Announced, cx: &mut Context<Self, ()>) {
        self.announced = self.announced.max(announced.version);
        match self.stored {
            _ if announced.version <= self.version() => {}
            // The service sends the changed pages only, a peer the whole table.
            Some(_) if *self.cx.store.borrow() == StoreState::Reachable => {
                self.read_service(cx.actor_ref());
            }
            _ => self.read_peers(cx.actor_ref()),
        }
    }
}

impl Message<Learned> for Tables {
    type Reply = ();

    async fn handle(&mut self, Learned(table): Learned, _: &mut Context<Self, ()>) {
        self.accept_from_peer(&table);
    }
}

impl Message<History> for Tables {
    type Reply = Vec<TableEdit>;

    async fn handle(&mut self, _: History, _: &mut Context<Self, Vec<TableEdit>>) -> Self::Reply {
        self.stored.as_ref().map(|stored| stored.head.edits.clone()).unwrap_or_default()
    }
}

impl Message<Committed> for Tables {
    type Reply = ();

    async fn handle(&mut self, Committed(stored): Committed, _: &mut Context<Self, ()>) {
        self.accept_stored(stored);
    }
}

impl Message<Edit> for Tables {
    /// Version that contains the edit.
    type Reply = DelegatedReply<Result<u64, EditError>>;

    async fn handle(&mut self, edit: Edit, cx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let (store, floor, me) = (self.store.clone(), self.version(), cx.actor_ref().clone());
        let known = self.stored.clone();
        cx.spawn(async move {
            let stored = service::commit(&store, &edit, floor, known.as_deref()).await?;
            let version = stored.version_of(&edit.id);
            // The answer follows the publication, so that the author sees the edit in force here.
            let _ = me.ask(Committed(stored)).await;
            Ok(version)
        })
    }
}

/// Asks for a refresh at intervals until the actor stops.
async fn poll(me: ActorRef<Tables>, cx: NodeContext) {
    while me.tell(Refresh).await.is_ok() {
        let interval = match cx.table.borrow().version {
            0 => FIRST_TABLE_INTERVAL,
            _ => POLL_INTERVAL,
        };
        // Jitter spreads the reads of the nodes.
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

/// Whether this node is one of the few of its zone that watch the head.
fn watches(cx: &NodeContext) -> bool {
    let members = cx.members.borrow();
    let zone = cx.settings.zone.as_str();
    let before = members.iter().filter(|member| {
        member.zone.as_str() == zone
            && member.state == MemberState::Alive
            && member.node.id < cx.me.id
    });
    before.count() < WATCHERS_PER_ZONE
}

/// Asks for a refresh at each change of the head until the actor stops.
async fn watch_head(me: ActorRef<Tables>, cx: NodeContext, store: Arc<dyn Store>) {
    let mut members = cx.members.subscribe();
    while me.is_alive() {
        if !watches(&cx) {
            tokio::select! {
                _ = members.changed() => {}
                () = me.wait_for_shutdown() => return,
            }
            continue;
        }
        let mut events = store.watch(HEAD_KEY);
        while watches(&cx) {
            tokio::select! {
                event = events.recv() => match event {
                    Some(WatchEvent::Put(_) | WatchEvent::Lost) => {
                        let _ = me.tell(Refresh).await;
                    }
                    Some(WatchEvent::Delete(_)) => {}
                    None => break,
                },
                _ = members.changed() => {}
                () = me.wait_for_shutdown() => return,
            }
        }
    }
}
