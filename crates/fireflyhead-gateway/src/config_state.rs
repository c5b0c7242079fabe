//! How far the configuration of this node can be relied on.

use std::sync::PoisonError;

use fireflyhead_policy::Time;
use fireflyhead_policy::authentication::ConfigState;

use crate::clock;
use crate::state::Shared;

impl Shared {
    /// Returns how far the configuration in effect can be relied on.
    pub fn config_state(&self, now: Time) -> ConfigState {
        let version = self.config().map_or(0, |config| config.version);
        let view = *self.config_view.lock().unwrap_or_else(PoisonError::into_inner);
        view.state(now, version, self.settings.apply_bound)
    }

    /// Records that `version` of the configuration exists, as another node says.
    pub fn note_config_version(&self, version: u64) {
        let own = self.config().map_or(0, |config| config.version);
        let mut view = self.config_view.lock().unwrap_or_else(PoisonError::into_inner);
        view.note_version(clock::now(), version, own);
    }

    /// Returns the newest version of the configuration that this node knows to exist; 0 if it was
    /// told of none.
    pub fn newest_known_config_version(&self) -> u64 {
        let view = self.config_view.lock().unwrap_or_else(PoisonError::into_inner);
        view.newest_known_version()
    }

    /// Records that the store, or a feed, has confirmed the view of the store at `now`.
    pub fn confirm_config(&self, now: Time) {
        let mut view = self.config_view.lock().unwrap_or_else(PoisonError::into_inner);
        view.confirm(now);
    }
}
