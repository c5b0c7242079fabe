//! Selection of the nodes that read the store on behalf of their zone.
//!
//! The store prices and limits calls, so that not every node can watch it: the
//! [`READERS_PER_ZONE`] readers of a zone watch it and forward the changes to the other nodes. A
//! node that is not a reader watches the store itself only while it receives no changes, so that
//! a reader that is killed, paused or partitioned costs the other nodes one timeout.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Name;
use crate::era::Era;
use crate::era::Position;
use crate::fleet::UpstreamEntry;
use crate::fleet::UpstreamState;
use crate::protocol::Item;

/// Number of changes from which on the reply of a watch may be one that the store has cut short. The
/// store documents no limit; replies of up to some 290 changes were seen.
const MIN_LIMITED_REPLY: usize = 64;

/// Number of readers in one zone; the second one covers the loss of the first.
pub const READERS_PER_ZONE: usize = 2;

/// Node that may become a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderCandidate {
    /// Node name.
    pub node: Name,
    /// Processor share of the host in thousandths of a core.
    pub capacity: u32,
}

/// Returns whether `own` is a reader, given the reachable `others` of its zone.
///
/// Larger hosts are preferred, because a reader sends every change to all other nodes.
pub fn is_reader<'a>(
    own: &ReaderCandidate,
    others: impl Iterator<Item = &'a ReaderCandidate>,
) -> bool {
    let is_preferred = |other: &&ReaderCandidate| {
        (other.capacity, own.node.as_str()) > (own.capacity, other.node.as_str())
    };
    others.filter(is_preferred).count() < READERS_PER_ZONE
}

/// Changes of the store between two revisions, as a reader forwards them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Feed {
    /// Era of the store, to which the revisions belong.
    pub era: Era,
    /// Revision after which the feed contains all changes.
    pub from: u64,
    /// Last revision that the feed covers.
    pub to: u64,
    /// Time since the end of the store's last outage; `None` if there was none recently. For nodes of
    /// earlier builds, which don't find out by themselves.
    pub since_outage: Option<Duration>,
    /// Changes, without the repeated writes of upstream entries that changed nothing.
    pub items: Vec<Item>,
}

/// Result of [`Feed::changes_after`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOutcome {
    /// Changes to apply, and the revision up to which the store is known afterwards.
    Apply(Vec<Item>, u64),
    /// Changes between the known revision and the start of the feed are missing, or the store was
    /// restored between.
    Gap,
    /// The feed is of an older era than the node knows.
    Outdated,
}

impl Feed {
    /// Returns a feed without changes, which makes nodes that don't know the store up to `revision`
    /// watch it themselves.
    pub fn gap(era: Era, revision: u64) -> Feed {
        Feed { era, from: revision, to: revision, since_outage: None, items: Vec::new() }
    }

    /// Returns the changes that a node has to apply if it knows the store up to `known`.
    pub fn changes_after(self, known: Position) -> FeedOutcome {
        let after = known.revision;
        match self.era.cmp(&known.era) {
            Ordering::Less => FeedOutcome::Outdated,
            Ordering::Greater => FeedOutcome::Gap,
            Ordering::Equal if self.from > after => FeedOutcome::Gap,
            Ordering::Equal => {
                let items = self.items.into_iter().filter(|item| item.revision > after).collect();
                FeedOutcome::Apply(items, after.max(self.to))
            }
        }
    }
}

/// Tells whether the reply of a watch holds all changes, or the store has cut it short.
///
/// The store limits the changes in one reply and doesn't say whether there are more. A node that was
/// cut off from a busy store is several replies behind, and must neither wait before the next one nor
/// take the state in between for the present one.
#[derive(Clone, Copy, Debug)]
pub struct WatchProgress {
    /// Whether the node may be several replies behind.
    is_behind: bool,
    /// Number of changes in the largest reply since the node may be behind.
    largest_reply: usize,
}

impl Default for WatchProgress {
    /// Progress after a full read, whose pages are no snapshot.
    fn default() -> WatchProgress {
        WatchProgress { is_behind: true, largest_reply: 0 }
    }
}

impl WatchProgress {
    /// Progress of a node that knows the present state from a feed.
    pub const fn up_to_date() -> WatchProgress {
        WatchProgress { is_behind: false, largest_reply: 0 }
    }

    /// Records that a watch failed or that some time has passed without one.
    pub fn record_gap(&mut self) {
        *self = WatchProgress::default();
    }

    /// Returns whether the node may be several replies behind.
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Records a reply with this number of changes; returns whether the node knows the present state.
    ///
    /// Replies that the store cuts short are of similar size, so that one of less than half the
    /// largest size is whole. Without this rule a node would never catch up with constant writes.
    pub fn record_reply(&mut self, changes: usize) -> bool {
        let is_whole = match self.is_behind {
            true => changes == 0 || changes * 2 < self.largest_reply,
            false => changes < MIN_LIMITED_REPLY,
        };
        self.largest_reply = if is_whole { 0 } else { self.largest_reply.max(changes) };
        self.is_behind = !is_whole;
        is_whole
    }
}

/// Fields of an upstream entry whose changes the other nodes of a zone need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PublishedEntry {
    state: UpstreamState,
    incarnation: u64,
    address: SocketAddr,
}

impl From<&UpstreamEntry> for PublishedEntry {
    fn from(entry: &UpstreamEntry) -> PublishedEntry {
        let UpstreamEntry { state, incarnation, address, .. } = *entry;
        PublishedEntry { state, incarnation, address }
    }
}

/// Selects the changes of upstream entries that a reader forwards.
///
/// Compares an entry with the one that the store listed before. What the reader itself knows of the
/// upstream is no measure: it may have learned of a departure from a response, or keep an upstream
/// whose entry has lapsed, of which the other nodes know nothing.
#[derive(Debug, Default)]
pub struct FeedFilter {
    published: HashMap<Name, PublishedEntry>,
}

impl FeedFilter {
    /// Applies a full read of the store.
    pub fn replace(&mut self, listed: &HashMap<Name, UpstreamEntry>) {
        self.published =
            listed.iter().map(|(id, entry)| (id.clone(), PublishedEntry::from(entry))).collect();
    }

    /// Applies the entry of upstream `id`, or its removal if `entry` is `None`; returns whether the
    /// other nodes need the change.
    pub fn apply(&mut self, id: &Name, entry: Option<&UpstreamEntry>) -> bool {
        match entry.map(PublishedEntry::from) {
            Some(entry) => self.published.insert(id.clone(), entry) != Some(entry),
            None => {
                self.published.remove(id);
                true
            }
        }
    }
}
