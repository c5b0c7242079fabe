//! Sends the configuration to nodes that the store refuses, and gets it from other nodes.
//!
//! Notices are sent only while the configuration has accounts: without keys that may be revoked, the
//! bound for changes in the store's outages doesn't matter, and other deployments get no new messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::Accounts;
use fireflyhead_policy::accounts::UnusableAccount;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config_exchange::ConfigExchange;
use fireflyhead_policy::config_exchange::ConfigNotice;
use fireflyhead_policy::config_exchange::ConfigPart;
use fireflyhead_policy::config_exchange::ConfigRequest;
use fireflyhead_policy::config_exchange::ConfigStamp;
use fireflyhead_policy::config_exchange::NOTICE_INTERVAL;
use fireflyhead_policy::config_exchange::NOTICE_NODES;
use fireflyhead_policy::config_exchange::NoticeOutcome;
use fireflyhead_policy::config_exchange::PartOutcome;
use fireflyhead_policy::config_exchange::RequestOutcome;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::message::ACCOUNT_PROTOCOL;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::StoreRecord;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock;
use crate::state::Shared;

/// Number of accounts that can't be used of which a new configuration logs a line each; a file with
/// more has a common fault.
const MAX_LOGGED_ACCOUNTS: usize = 20;

/// Configuration that other nodes have, and the own one as the store has it.
#[derive(Debug)]
pub struct ConfigExchangeState {
    policy: Mutex<ConfigExchange>,
    /// Wakes the task that sends notices and requests.
    wake: Notify,
}

impl ConfigExchangeState {
    /// Creates the state of `node`, which has no configuration.
    pub(crate) fn new(node: Name) -> ConfigExchangeState {
        ConfigExchangeState { policy: Mutex::new(ConfigExchange::new(node)), wake: Notify::new() }
    }

    fn policy(&self) -> MutexGuard<'_, ConfigExchange> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts a configuration into effect if it is newer than the current one. `item` is the item of the
/// store in `era`, and `source` the node that sent it, if it wasn't the store.
pub(crate) fn apply(shared: &Shared, item: &Item, era: Era, config: Config, source: Option<&Name>) {
    let version = config.version;
    let routes = config.route_count();
    if shared.set_config(config) {
        let config = shared.config();
        let accounts = config.as_ref().and_then(|config| config.accounts.as_ref());
        tracing::info!(
            event = "config_in_force",
            version,
            routes,
            accounts = accounts.map(Accounts::len),
            revision = item.revision,
            source = source.map(Name::as_str)
        );
        accounts.into_iter().for_each(log_unusable_accounts);
        match shared.protocol.shareable_item(item.clone()) {
            Some(item) => shared.config_exchange.policy().set_own(version, era, &item),
            None => tracing::warn!(event = "config_not_shared", version),
        }
        shared.config_exchange.wake.notify_one();
    }
}

/// Logs the accounts of a new configuration that can't be used: each of the first ones by name, and
/// the number of all.
fn log_unusable_accounts(accounts: &Accounts) {
    let unusable = accounts.unusable();
    for UnusableAccount { name, keys, reason } in unusable.iter().take(MAX_LOGGED_ACCOUNTS) {
        let (account, keys) = (name.as_ref().map(Name::as_str), keys.len());
        tracing::warn!(event = "account_unusable", account, keys, reason);
    }
    let keys = accounts.unusable_key_count();
    if !unusable.is_empty() || keys > 0 {
        tracing::warn!(event = "accounts_unusable", accounts = unusable.len(), keys);
    }
}

/// Announces the configuration and requests newer ones until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let state = &shared.config_exchange;
    let mut next_notice = clock::now() + NOTICE_INTERVAL;
    loop {
        let now = clock::now();
        let due = state.policy().next_due().map_or(next_notice, |due| due.min(next_notice));
        // Both outcomes have the same consequence: what is due now is sent.
        drop(timeout(due.since(now), state.wake.notified()).await);
        let now = clock::now();
        let is_new = state.policy().take_unannounced();
        if now >= next_notice || is_new {
            next_notice = now + NOTICE_INTERVAL;
            send_notice(&shared);
        }
        let request = state.policy().due_request(now);
        if let Some((node, request)) = request {
            tracing::debug!(event = "config_requested", %node, parts = ?request.parts);
            shared.send_to_node(&node, &Datagram::ConfigRequest(request));
        }
    }
}

/// Announces the own configuration to some random nodes.
fn send_notice(shared: &Shared) {
    if shared.config().is_none_or(|config| config.accounts.is_none()) {
        return;
    }
    let Some(notice) = shared.config_exchange.policy().notice() else { return };
    let mut peers = shared.peers_with_protocol(clock::now(), ACCOUNT_PROTOCOL);
    let (selected, _) = peers.partial_shuffle(&mut rand::rng(), NOTICE_NODES);
    let targets: Vec<SocketAddr> = selected.iter().map(|(_, address)| *address).collect();
    shared.datagrams().send_all(&targets, &Datagram::ConfigNotice(notice));
}

/// Handles the notice of another node.
pub(crate) fn handle_notice(shared: &Shared, notice: &ConfigNotice) {
    let outcome = shared.config_exchange.policy().handle_notice(clock::now(), notice);
    match outcome {
        NoticeOutcome::Newer => {
            let ConfigNotice { node, stamp } = notice;
            tracing::debug!(event = "config_newer", %node, version = stamp.version, era = %stamp.era);
            shared.note_config_version(stamp.version);
            shared.config_exchange.wake.notify_one();
        }
        NoticeOutcome::Older => reply_with_notice(shared, &notice.node),
        NoticeOutcome::Same => {}
    }
}

/// Handles the request of another node.
pub(crate) fn handle_request(shared: &Shared, request: &ConfigRequest) {
    let outcome = shared.config_exchange.policy().handle_request(clock::now(), request);
    match outcome {
        RequestOutcome::Parts(parts) => {
            for part in parts {
                shared.send_to_node(&request.node, &Datagram::ConfigPart(part));
            }
        }
        RequestOutcome::Notice(_) => reply_with_notice(shared, &request.node),
        RequestOutcome::Nothing => {
            tracing::debug!(event = "config_not_sent", node = %request.node);
        }
    }
}

/// Announces the own configuration to a node that has sent a message of the same protocol.
fn reply_with_notice(shared: &Shared, node: &Name) {
    let notice = shared.config_exchange.policy().notice();
    if let Some(notice) = notice {
        shared.send_to_node(node, &Datagram::ConfigNotice(notice));
    }
}

/// Handles a part, and applies the configuration once it is whole.
pub(crate) fn handle_part(shared: &Shared, part: &ConfigPart) {
    let outcome = shared.config_exchange.policy().handle_part(clock::now(), part);
    match outcome {
        PartOutcome::Pending => {}
        PartOutcome::Whole(stamp, item) => apply_received(shared, stamp, &item, &part.node),
        PartOutcome::Corrupt(stamp) => {
            tracing::warn!(event = "config_corrupt", version = stamp.version, node = %part.node);
        }
    }
    shared.config_exchange.wake.notify_one();
}

/// Applies a configuration that another node sent.
fn apply_received(shared: &Shared, stamp: ConfigStamp, item: &Item, node: &Name) {
    match shared.protocol.parse_store_item(item) {
        StoreRecord::Config(Some(config)) if config.version == stamp.version => {
            apply(shared, item, stamp.era, *config, Some(node));
        }
        StoreRecord::Config(_)
        | StoreRecord::Version { .. }
        | StoreRecord::Upstream { .. }
        | StoreRecord::Internal
        | StoreRecord::Unknown => {
            tracing::warn!(event = "config_ignored", version = stamp.version, %node);
            shared.config_exchange.policy().record_unusable(stamp);
        }
    }
}
