//! State that the actors of one node share as snapshots.
//!
//! Each snapshot has one writer, named at its field. Readers borrow the newest
//! value or wait for a change.

use std::collections::HashMap;
use std::sync::Arc;

use fireflyhead_core::table::Table;
use fireflyhead_core::types::Member;
use fireflyhead_core::types::Name;
use fireflyhead_core::types::NodeRef;
use fireflyhead_core::types::OwnerRecord;
use fireflyhead_core::types::Role;
use fireflyhead_core::types::UpstreamAdvert;
use fireflyhead_core::types::UpstreamInfo;
use fireflyhead_schema::NodeSettings;
use tokio::sync::watch;

use crate::clock::Clock;

/// Owner of an upstream and what this node may do with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ownership {
    /// Owner by the newest record known; `None` if no node owns it.
    pub record: Option<OwnerRecord>,
    /// Role of this node.
    pub role: Role,
}

/// Reachability of the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreState {
    /// The last calls were answered.
    Reachable,
    /// Calls fail or time out.
    Unreachable,
}

/// Snapshots and settings that every actor of a node holds.
#[derive(Clone)]
pub struct NodeContext {
    /// Clock of the process.
    pub clock: Clock,
    /// Settings.
    pub settings: Arc<NodeSettings>,
    /// This node and its incarnation.
    pub me: NodeRef,
    /// Table in force; version 0 until the first was read. Written by `tables`.
    pub table: Arc<watch::Sender<Arc<Table>>>,
    /// Upstreams by name. Written by `hosts`.
    pub upstreams: Arc<watch::Sender<Arc<HashMap<Name, UpstreamInfo>>>>,
    /// All known nodes, this one included. Written by `members`.
    pub members: Arc<watch::Sender<Arc<Vec<Member>>>>,
    /// Owners by upstream. Written by `owners`.
    pub owners: Arc<watch::Sender<Arc<HashMap<Name, Ownership>>>>,
    /// Load figures by upstream. Written by `members` for remote and `dispatchers` for own upstreams.
    pub adverts: Arc<watch::Sender<Arc<HashMap<Name, UpstreamAdvert>>>>,
    /// Reachability of the key-value service. Written by `owners`.
    pub store: Arc<watch::Sender<StoreState>>,
    /// Whether the node is stopping. Written by `node`.
    pub draining: Arc<watch::Sender<bool>>,
}

impl NodeContext {
    /// Context of a node that knows nothing yet.
    pub fn new(settings: NodeSettings, incarnation: u64) -> NodeContext {
        let me = NodeRef { id: Name::from(settings.node_id.as_str()), incarnation };
        NodeContext {
            clock: Clock::start(),
            settings: Arc::new(settings),
            me,
            table: Arc::new(watch::Sender::default()),
            upstreams: Arc::new(watch::Sender::default()),
            members: Arc::new(watch::Sender::default()),
            owners: Arc::new(watch::Sender::default()),
            adverts: Arc::new(watch::Sender::default()),
            store: Arc::new(watch::Sender::new(StoreState::Unreachable)),
            draining: Arc::new(watch::Sender::new(false)),
        }
    }
}
