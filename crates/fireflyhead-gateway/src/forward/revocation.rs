//! Revocation of the key of a request whose response is being streamed.

use std::future::pending;
use std::sync::Arc;

use fireflyhead_policy::authentication::Identity;
use tokio::sync::watch;

use crate::state::Shared;

/// Extension of a response: watches whether the key of a request still exists, if the settings demand that its stream ends
/// otherwise. The stream ends as soon as the configuration without the key is in effect, so that the
/// time to the revocation is that of a change of the configuration.
#[derive(Clone)]
pub(crate) struct KeyWatch {
    shared: Arc<Shared>,
    identity: Identity,
    /// Changes of the configuration; `None` if the stream goes on in any case.
    changes: Option<watch::Receiver<u64>>,
}

impl KeyWatch {
    pub(super) fn new(shared: &Arc<Shared>, identity: &Identity) -> KeyWatch {
        let is_watched =
            shared.settings.revoke_closes_streams.is_some() && identity.account().is_some();
        let mut changes = is_watched.then(|| shared.config_changes());
        if let Some(changes) = &mut changes {
            // The configuration may have changed since the key was checked.
            changes.mark_changed();
        }
        KeyWatch { shared: Arc::clone(shared), identity: identity.clone(), changes }
    }

    /// Returns whether the settings demand that the stream ends with its key.
    pub(super) fn is_watching(&self) -> bool {
        self.changes.is_some()
    }

    /// Returns whether the stream must end.
    pub(crate) fn is_revoked(&self) -> bool {
        let config = self.shared.config();
        let accounts = config.as_ref().and_then(|config| config.accounts.as_ref());
        self.changes.is_some() && self.identity.is_revoked(accounts)
    }

    /// Waits until the stream must end.
    pub(super) async fn revoked(&mut self) {
        while let Some(changes) = &mut self.changes
            && changes.changed().await.is_ok()
        {
            if self.is_revoked() {
                return;
            }
        }
        pending().await
    }
}
