//! Eras of the store.
//!
//! A store that is restored from a copy loses what it acknowledged since the copy was made, and
//! gives out the same revisions and leases again. Each restore begins a new era. Revisions and
//! leases can be compared within one era only, and a reply of an older era says nothing about the
//! store of the current one.

use std::fmt;

/// Number of bits of a fencing token that hold the revision.
const REVISION_BITS: u32 = 40;
/// Number of bits of a configuration's version below those that hold the era.
const CONFIG_BITS: u32 = 32;

/// Era of the store; it rises by one with each restore.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(u64);

impl Era {
    /// Era of a store that has never been restored.
    pub const FIRST: Era = Era(1);

    /// Returns the era with this number. A store counts its eras from 1; one that doesn't count them is
    /// in the first one.
    pub fn new(number: u64) -> Era {
        Era(number).max(Era::FIRST)
    }

    /// Returns the number of the era.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns the fencing token of a record that was written in this era at `revision`. Tokens rise
    /// with the revision and the era. In the first era they are the revisions.
    pub const fn fencing_token(self, revision: u64) -> u64 {
        ((self.0 - Era::FIRST.0) << REVISION_BITS) | revision
    }

    /// Returns the lowest version for a configuration that is derived from the one in the store. It
    /// is above all versions of earlier eras, of which the store may have lost the newest.
    pub const fn min_config_version(self) -> u64 {
        (self.0 - Era::FIRST.0) << CONFIG_BITS
    }
}

impl Default for Era {
    fn default() -> Era {
        Era::FIRST
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Point in the history of the store, up to which a node knows it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Era.
    pub era: Era,
    /// Revision within the era.
    pub revision: u64,
}
