//! Whether the configuration of this node is the newest one.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fireflyhead_policy::Time;

use crate::state::Shared;

/// State of the configuration of this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigState {
    /// The store or a reader has confirmed it within the bound for changes.
    Current,
    /// Neither the store nor a reader has confirmed it within the bound for changes.
    Unconfirmed,
    /// Another node has a newer one.
    Behind,
}

/// What this node knows of the newest configuration.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Highest version that another node has named.
    newest_version: AtomicU64,
    /// Time of the last complete view of the store, read by this node or a reader.
    confirmed: Mutex<Option<Time>>,
}

impl Shared {
    /// Records that a node has the configuration with this version.
    pub fn note_config_version(&self, version: u64) {
        self.config_view.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records that this node had a complete view of the store.
    pub fn confirm_config(&self, now: Time) {
        let confirmed = &self.config_view.confirmed;
        *confirmed.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Returns the state of this node's configuration.
    pub fn config_state(&self, now: Time) -> ConfigState {
        let version = self.config().map_or(0, |config| config.version);
        if version < self.config_view.newest_version.load(Ordering::Relaxed) {
            return ConfigState::Behind;
        }
        let confirmed = *self.config_view.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        match confirmed {
            Some(at) if now.since(at) <= self.settings.apply_bound => ConfigState::Current,
            Some(_) | None => ConfigState::Unconfirmed,
        }
    }
}
