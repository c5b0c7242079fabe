//! Whether a request is served for the account of its key, or refused.
//!
//! The load that this handles is a change of the accounts while some nodes can't read it: a key that
//! was added must not be called wrong by a node that has not heard of it, and one that was revoked
//! must not be accepted for long by a node that knows that its configuration is old. A client that
//! gets 401 gives up, one that gets 503 tries another node, so a node answers 401 only while nothing
//! suggests that its accounts are outdated.

use std::sync::Arc;
use std::time::Duration;

use crate::accounts::Accounts;
use crate::accounts::ClientAccount;
use crate::accounts::Credential;
use crate::accounts::KeyDigest;
use crate::accounts::Lookup;
use crate::protocol::CallerAccount;
use crate::types::Time;

/// Time for which a node may take to get a newer version that it knows of before it serves no
/// request with a key: a request to one peer and, if that doesn't reply, to another. A revoked key
/// must be refused 3 s after the change.
const FETCH_TIME: Duration = Duration::from_millis(1_000);

/// How far a node's configuration can be relied on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConfigState {
    /// As far as the node knows, its configuration is the newest.
    #[default]
    Current,
    /// Nothing has confirmed the configuration for longer than changes may take, or the node is
    /// getting a newer version. A key that it doesn't know may have been added.
    Unconfirmed,
    /// The node knows of a newer version that it can't get. Any key may have been revoked.
    Behind,
}

/// What a node knows of the age of its configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigView {
    /// Time at which the store, or a feed, last confirmed the view of the store.
    confirmed: Option<Time>,
    /// Newest version that any node is known to have, and when this node learned of it.
    newest: Option<(u64, Time)>,
}

impl ConfigView {
    /// Records that the view of the store was complete at `now`.
    pub fn confirm(&mut self, now: Time) {
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records that `version` of the configuration exists. While this node already lacks a version
    /// newer than `own`, the time since then goes on.
    pub fn note_version(&mut self, now: Time, version: u64, own: u64) {
        match self.newest {
            Some((newest, _)) if version <= newest => {}
            Some((newest, noted)) if newest > own => self.newest = Some((version, noted)),
            Some(_) | None => self.newest = Some((version, now)),
        }
    }

    /// Returns the newest version that any node is known to have; 0 if none is.
    pub fn newest_known_version(&self) -> u64 {
        self.newest.map_or(0, |(version, _)| version)
    }

    /// Returns the state of a configuration with this version; `bound` is the time within which
    /// changes must be in force.
    pub fn state(&self, now: Time, version: u64, bound: Duration) -> ConfigState {
        match (self.newest, self.confirmed) {
            (Some((newest, noted)), _) if newest > version => match now.since(noted) < FETCH_TIME {
                true => ConfigState::Unconfirmed,
                false => ConfigState::Behind,
            },
            (_, Some(confirmed)) if now.since(confirmed) <= bound => ConfigState::Current,
            (_, Some(_) | None) => ConfigState::Unconfirmed,
        }
    }
}

/// Who a request belongs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Identity {
    /// Requests need no keys.
    #[default]
    Unmanaged,
    /// The route needs no key.
    Public,
    /// The account of this key.
    Account(Arc<ClientAccount>, KeyDigest),
}

impl Identity {
    /// Returns the account; `None` if the request needs no key.
    pub fn account(&self) -> Option<&Arc<ClientAccount>> {
        match self {
            Identity::Account(account, _) => Some(account),
            Identity::Unmanaged | Identity::Public => None,
        }
    }

    /// Returns what upstreams are told.
    pub fn caller_account(&self) -> CallerAccount {
        match self {
            Identity::Unmanaged => CallerAccount::Unmanaged,
            Identity::Public => CallerAccount::Public,
            Identity::Account(account, _) => CallerAccount::Account(account.name.clone()),
        }
    }

    /// Returns the priority of the request on a route with priority `route`.
    pub fn priority(&self, route: u8) -> u8 {
        self.account().and_then(|account| account.priority).unwrap_or(route)
    }

    /// Returns whether `accounts`, those of a newer configuration, no longer have the key.
    pub fn is_revoked(&self, accounts: Option<&Accounts>) -> bool {
        match (self, accounts) {
            (Identity::Account(_, key), Some(accounts)) => accounts.lookup(key) == Lookup::Unknown,
            (Identity::Account(..), None) | (Identity::Unmanaged | Identity::Public, _) => false,
        }
    }
}

/// Reason for which a request is not served for an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AuthenticationError {
    /// The request has several keys.
    SeveralKeys,
    /// The request has no key.
    NoKey,
    /// No account has the key.
    UnknownKey,
    /// Several accounts have the key, or the account that has it can't be used.
    UnusableKey,
    /// No account that this node knows has the key, but its configuration is not confirmed.
    ConfigUnconfirmed,
    /// This node knows of a newer configuration that it can't get.
    ConfigBehind,
}

/// Kind of the response to a request that is not served for an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AuthenticationResponse {
    /// The request is malformed.
    Malformed,
    /// The request needs another key.
    KeyNeeded,
    /// Another node, or this one later, may serve the request.
    Unavailable,
}

impl AuthenticationError {
    /// Returns the name of the reason in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            AuthenticationError::SeveralKeys => "several_keys",
            AuthenticationError::NoKey => "no_key",
            AuthenticationError::UnknownKey => "unknown_key",
            AuthenticationError::UnusableKey => "unusable_key",
            AuthenticationError::ConfigUnconfirmed => "config_unconfirmed",
            AuthenticationError::ConfigBehind => "config_behind",
        }
    }

    /// Returns the kind of the response.
    pub const fn response(self) -> AuthenticationResponse {
        match self {
            AuthenticationError::SeveralKeys => AuthenticationResponse::Malformed,
            AuthenticationError::NoKey | AuthenticationError::UnknownKey => {
                AuthenticationResponse::KeyNeeded
            }
            AuthenticationError::UnusableKey
            | AuthenticationError::ConfigUnconfirmed
            | AuthenticationError::ConfigBehind => AuthenticationResponse::Unavailable,
        }
    }
}

/// Returns who a request belongs to. `accounts` are those of the configuration, which is in `state`;
/// `is_public` tells whether the request's route needs no key.
///
/// # Errors
/// The request is not served.
pub fn authenticate(
    accounts: Option<&Accounts>,
    state: ConfigState,
    is_public: bool,
    credential: Credential,
) -> Result<Identity, AuthenticationError> {
    let Some(accounts) = accounts else { return Ok(Identity::Unmanaged) };
    if is_public {
        return Ok(Identity::Public);
    }
    let (lookup, unknown) = match credential {
        Credential::Ambiguous => return Err(AuthenticationError::SeveralKeys),
        Credential::Absent => (Lookup::Unknown, AuthenticationError::NoKey),
        Credential::Key(None) => (Lookup::Unknown, AuthenticationError::UnknownKey),
        Credential::Key(Some(key)) => (accounts.lookup(&key), AuthenticationError::UnknownKey),
    };
    match (state, lookup, credential) {
        (ConfigState::Behind, _, _) => Err(AuthenticationError::ConfigBehind),
        (_, Lookup::Account(account), Credential::Key(Some(key))) => {
            Ok(Identity::Account(account, key))
        }
        (_, Lookup::Unusable, _) => Err(AuthenticationError::UnusableKey),
        (ConfigState::Unconfirmed, _, _) => Err(AuthenticationError::ConfigUnconfirmed),
        (ConfigState::Current, _, _) => Err(unknown),
    }
}
