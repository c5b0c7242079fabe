//! Which nodes follow the store for the others of their zone.
//!
//! Answers many nodes before one store, whose calls are priced and limited: [`READERS_PER_ZONE`] nodes
//! of a zone follow it and hand on what changed. The others follow the store themselves only
//! while no hand-on arrives, so a reader that is cut, frozen or killed costs them a timeout.

use std::time::Duration;

use crate::Name;
use crate::protocol::Item;

/// Readers of one zone; a second one covers the loss of the first.
pub const READERS_PER_ZONE: usize = 2;

/// Node that may be a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReaderCandidate {
    /// Node.
    pub node: Name,
    /// Processor share in thousandths of a core.
    pub capacity: u32,
}

/// Whether `own` is a reader beside the `others` of its zone that are alive. Larger hosts come
/// first, because a reader sends to all others.
pub fn is_reader<'a>(
    own: &ReaderCandidate,
    others: impl Iterator<Item = &'a ReaderCandidate>,
) -> bool {
    let before = |other: &&ReaderCandidate| {
        (other.capacity, own.node.as_str()) > (own.capacity, other.node.as_str())
    };
    others.filter(before).count() < READERS_PER_ZONE
}

/// Changes of the store between two revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Feed {
    /// Revision after which the changes are complete.
    pub from: u64,
    /// Revision up to which they are.
    pub to: u64,
    /// Time since the store returned from an outage, if it did lately.
    pub since_outage: Option<Duration>,
    /// Changes; the repeated entries of upstreams that state nothing new are left out.
    pub items: Vec<Item>,
}

/// What a feed means for a node that knows the store up to a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedOutcome {
    /// Apply these changes; then the store is known up to this revision.
    Apply(Vec<Item>, u64),
    /// Changes are missing in between.
    Gap,
}

impl Feed {
    /// Judges the feed for a node that knows the store up to `after`.
    pub fn changes_after(self, after: u64) -> FeedOutcome {
        match self.from > after {
            true => FeedOutcome::Gap,
            false => {
                let items = self.items.into_iter().filter(|item| item.revision > after).collect();
                FeedOutcome::Apply(items, after.max(self.to))
            }
        }
    }
}
