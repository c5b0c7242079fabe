//! Enforces the quotas of client accounts over all nodes.
//!
//! The decisions are in [`fireflyhead_policy::quota`]. A request takes the tokens of its account
//! from those that this node has borrowed, or waits for some ([`acquire`]). This module exchanges
//! requests for tokens and grants with the owners of the quota slots; [`slots`] keeps the leases and
//! keys of the slots that this node owns. Nothing of it is active while no account has a quota.

mod permit;
pub mod slots;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::message::Datagram;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::quota::QuotaGrant;
use fireflyhead_policy::quota::QuotaRequest;
use fireflyhead_policy::quota::QuotaSettings;
use fireflyhead_policy::quota::Slot;
use fireflyhead_policy::quota::borrower::QuotaDenial;
use fireflyhead_policy::quota::borrower::TakenTokens;
use fireflyhead_policy::quota::borrower::Ticket;
use fireflyhead_policy::quota::borrower::TryTake;
use fireflyhead_policy::quota::borrower::UNKNOWN_RETRY_AFTER;
use fireflyhead_policy::quota::node::QuotaNode;
use fireflyhead_policy::quota::node::SlotChange;
use fireflyhead_policy::quota::owner::AccountQuotas;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::clock;
use crate::settings::GatewaySettings;
use crate::state::Shared;

pub use self::permit::QuotaPermit;

/// Key prefix of the quota slots.
const SLOT_PREFIX: &str = "fireflyhead/quota/";
/// Interval at which tokens are asked for while requests wait or the stock of an account is low. It
/// adds to the time for which a request waits for the reply of a second owner.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of the checks for a changed configuration and changed owners.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of accounts with metrics of their own. The others are counted together, which bounds the
/// number of time series.
const MAX_LABELED_ACCOUNTS: usize = 50;
/// Longest `Retry-After`, for quotas with tiny rates.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);
/// Largest random addition to `Retry-After`, as a fraction, so that clients don't return at once.
const RETRY_SPREAD: f64 = 0.5;

/// Reason why a request is not admitted by the quota of its account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaRefusal {
    /// The account is at its quota.
    Exceeded {
        /// Time after which the client should retry.
        retry_after: Duration,
        /// Quota of the account.
        quota: Quota,
    },
    /// No owner of the account's tokens replied.
    Unknown {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
    /// The request is larger than the burst of the account.
    TooLarge,
}

impl QuotaRefusal {
    /// Returns the reason's name in logs and metrics.
    pub const fn reason(&self) -> &'static str {
        match self {
            QuotaRefusal::Exceeded { .. } => "quota",
            QuotaRefusal::Unknown { .. } => "quota_unknown",
            QuotaRefusal::TooLarge => "quota_too_large",
        }
    }
}

/// Request that waits for tokens.
struct PendingRequest {
    account: Name,
    result: oneshot::Sender<Result<TakenTokens, QuotaDenial>>,
}

struct State {
    node: QuotaNode,
    pending: HashMap<Ticket, PendingRequest>,
    /// Version of the configuration whose accounts are in effect.
    config_version: Option<u64>,
    /// Accounts that have metrics of their own.
    labeled: HashSet<Name>,
}

/// Quotas on this node.
pub struct QuotaState {
    /// `None` if the settings enforce no quotas.
    state: Option<Mutex<State>>,
    /// Wakes the task that asks for tokens.
    wake: Notify,
}

impl QuotaState {
    /// Creates the state of a node that owns no slot and has no tokens.
    pub fn new(settings: &GatewaySettings, incarnation: u64) -> QuotaState {
        let state = |quota: QuotaSettings| {
            let GatewaySettings { node, peer, .. } = settings;
            // Random, so that a late reply to an earlier process is not taken for one to this.
            let first_seq = u64::from(rand::random::<u32>()) << 24;
            Mutex::new(State {
                node: QuotaNode::new(quota, node, *peer, incarnation, first_seq),
                pending: HashMap::new(),
                config_version: None,
                labeled: HashSet::new(),
            })
        };
        QuotaState { state: settings.quota.map(state), wake: Notify::new() }
    }

    fn lock(&self) -> Option<MutexGuard<'_, State>> {
        let state = self.state.as_ref()?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Takes `cost` tokens of `account` for the request `id`. Waits a short time if this node has none.
///
/// # Errors
/// The account has no tokens for the request, or they can't be obtained.
pub async fn acquire(
    shared: &Arc<Shared>,
    id: &Name,
    account: &Arc<ClientAccount>,
    cost: u64,
) -> Result<QuotaPermit, QuotaRefusal> {
    let Some(quota) = &account.quota else { return Ok(QuotaPermit::unlimited(shared)) };
    let started = clock::now();
    let Some((label, begun)) = begin(shared, started, account, quota, cost) else {
        return Ok(QuotaPermit::unlimited(shared));
    };
    let result = match begun {
        Begun::Known(result) => result,
        // Can't fail: the sender is dropped only after it has sent.
        Begun::Waiting(mut wait) => (&mut wait.rx).await.unwrap_or(Err(QuotaDenial::Unknown)),
    };
    let now = clock::now();
    let waited_ms = now.since(started).as_millis() as u64;
    match result {
        Ok(taken) => {
            shared.metrics.record_quota_tokens(&label, "admitted", cost);
            Ok(QuotaPermit::new(shared, &account.name, taken))
        }
        Err(denial) => {
            let refusal = refusal(denial, quota);
            let reason = refusal.reason();
            shared.metrics.record_rejection(reason);
            shared.metrics.record_quota_tokens(&label, reason, cost);
            let retry_ms = refusal.retry_after().as_millis() as u64;
            tracing::info!(
                event = "quota_refused",
                %id,
                account = %account.name,
                tokens = cost,
                reason,
                retry_ms,
                waited_ms
            );
            Err(refusal)
        }
    }
}

/// Begin of a request's wait for tokens, or its result.
enum Begun<'a> {
    Known(Result<TakenTokens, QuotaDenial>),
    Waiting(TokenWait<'a>),
}

/// Takes tokens or begins to wait for some. Returns that with the name under which the account is
/// counted; `None` if the settings enforce no quotas.
fn begin<'a>(
    shared: &'a Shared,
    now: Time,
    account: &'a ClientAccount,
    quota: &Quota,
    cost: u64,
) -> Option<(Name, Begun<'a>)> {
    let mut state = shared.quota.lock()?;
    let label = state.label(&account.name);
    shared.metrics.record_quota_tokens(&label, "requested", cost);
    let begun = match state.node.borrower.try_take(now, &account.name, quota, cost) {
        TryTake::Granted(taken) => Begun::Known(Ok(taken)),
        TryTake::Denied(denial) => Begun::Known(Err(denial)),
        TryTake::Wait(ticket) => {
            let (tx, rx) = oneshot::channel();
            let pending = PendingRequest { account: account.name.clone(), result: tx };
            state.pending.insert(ticket, pending);
            exchange_tokens(shared, &mut state, now);
            Begun::Waiting(TokenWait { shared, account: &account.name, ticket, rx })
        }
    };
    if state.node.borrower.is_active() {
        shared.quota.wake.notify_one();
    }
    Some((label, begun))
}

impl QuotaRefusal {
    /// Returns the time after which the client should retry; zero if it should not.
    pub fn retry_after(&self) -> Duration {
        match self {
            QuotaRefusal::Exceeded { retry_after, .. } | QuotaRefusal::Unknown { retry_after } => {
                *retry_after
            }
            QuotaRefusal::TooLarge => Duration::ZERO,
        }
    }
}

/// Returns the refusal for a denial, with a random addition to the time after which to retry.
fn refusal(denial: QuotaDenial, quota: &Quota) -> QuotaRefusal {
    let spread = |time: Duration| {
        time.min(MAX_RETRY_AFTER).mul_f64(1.0 + RETRY_SPREAD * rand::random::<f64>())
    };
    match denial {
        QuotaDenial::Exceeded { retry_after } => {
            QuotaRefusal::Exceeded { retry_after: spread(retry_after), quota: *quota }
        }
        QuotaDenial::Unknown => QuotaRefusal::Unknown { retry_after: spread(UNKNOWN_RETRY_AFTER) },
        QuotaDenial::TooLarge => QuotaRefusal::TooLarge,
    }
}

/// Wait of a request for tokens. Dropping it returns tokens that arrived too late.
struct TokenWait<'a> {
    shared: &'a Shared,
    account: &'a Name,
    ticket: Ticket,
    rx: oneshot::Receiver<Result<TakenTokens, QuotaDenial>>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let Some(mut state) = self.shared.quota.lock() else { return };
        // Tokens that were granted but not delivered are returned below.
        state.deliver(clock::now());
        if state.pending.remove(&self.ticket).is_some() {
            state.node.borrower.cancel(self.account.as_str(), self.ticket);
        } else if let Ok(Ok(taken)) = self.rx.try_recv() {
            state.node.borrower.give_back(clock::now(), self.account.as_str(), taken);
        }
    }
}

impl State {
    /// Returns the name under which an account is counted in metrics.
    fn label(&mut self, account: &Name) -> Name {
        if !self.labeled.contains(account) {
            if self.labeled.len() >= MAX_LABELED_ACCOUNTS {
                return Name::from("other");
            }
            self.labeled.insert(account.clone());
        }
        account.clone()
    }

    /// Delivers the results of waits.
    fn deliver(&mut self, now: Time) {
        for (ticket, result) in self.node.borrower.take_resolved(now) {
            let Some(PendingRequest { account, result: tx }) = self.pending.remove(&ticket) else {
                continue;
            };
            if let Err(Ok(taken)) = tx.send(result) {
                // The caller disconnected meanwhile.
                self.node.borrower.give_back(now, account.as_str(), taken);
            }
        }
    }

    /// Makes borrower and owner follow the view of the slots.
    fn update_owners(&mut self, shared: &Shared) {
        let peers = shared.peers();
        for change in self.node.update_owners(clock::now(), |node| peers.incarnation(node)) {
            match change {
                SlotChange::Taken(slot) => tracing::info!(event = "quota_slot_taken", %slot),
                SlotChange::Lost(slot) => tracing::info!(event = "quota_slot_lost", %slot),
            }
        }
    }

    /// Applies the accounts of the configuration if it has changed.
    fn update_accounts(&mut self, shared: &Shared, now: Time) {
        let Some(config) = shared.config() else { return };
        if self.config_version == Some(config.version) {
            return;
        }
        self.config_version = Some(config.version);
        let accounts: AccountQuotas = config
            .accounts
            .iter()
            .flat_map(|accounts| accounts.iter())
            .map(|account| (account.name.clone(), account.quota))
            .collect();
        let needed = accounts.values().any(Option::is_some);
        if needed != self.node.slots.is_needed() {
            tracing::info!(event = "quotas", needed, accounts = accounts.len());
        }
        self.node.slots.set_needed(now, needed);
        self.node.owner.set_accounts(now, Arc::new(accounts));
    }
}

/// Asks the owners of slots for the tokens that are needed, and delivers the results of waits.
fn exchange_tokens(shared: &Shared, state: &mut State, now: Time) {
    for (address, request) in state.node.exchange(now) {
        shared.datagrams().send(address, &Datagram::QuotaRequest(request));
    }
    state.deliver(now);
}

/// Asks for tokens and keeps the accounts and owners up to date until the process ends.
pub async fn run(shared: Arc<Shared>) {
    if shared.settings.quota.is_none() {
        return;
    }
    loop {
        let interval = {
            let Some(mut state) = shared.quota.lock() else { return };
            let now = clock::now();
            state.update_accounts(&shared, now);
            state.update_owners(&shared);
            if state.node.slots.is_needed() {
                let absent = Slot::all().filter(|slot| state.node.slots.owner(*slot).is_none());
                shared.metrics.set_quota_slots_without_owner(absent.count());
            }
            exchange_tokens(&shared, &mut state, now);
            if state.node.borrower.is_active() { ACTIVE_INTERVAL } else { IDLE_INTERVAL }
        };
        // Requests ask for tokens themselves, so that a notification only shortens a long sleep.
        tokio::select! {
            () = sleep(interval) => {}
            () = shared.quota.wake.notified(), if interval == IDLE_INTERVAL => {}
        }
    }
}

/// Handles the request of another node for tokens.
pub fn handle_request(shared: &Shared, request: &QuotaRequest) {
    let Some(mut state) = shared.quota.lock() else { return };
    let grant = state.node.grant(clock::now(), request);
    drop(state);
    match grant {
        Some(grant) => shared.send_to_node(&request.node, &Datagram::QuotaGrant(grant)),
        None => {
            tracing::debug!(event = "quota_not_granted", slot = %request.slot, node = %request.node)
        }
    }
}

/// Handles the grants of another node.
pub fn handle_grant(shared: &Shared, grant: &QuotaGrant) {
    let Some(mut state) = shared.quota.lock() else { return };
    let now = clock::now();
    state.node.borrower.handle_grant(now, grant);
    exchange_tokens(shared, &mut state, now);
}

/// Applies items of the store that concern quota slots. If `full`, the items are all that exist.
pub fn apply_store_items(shared: &Shared, items: &[Item], era: Era, full: bool) {
    let Some(mut state) = shared.quota.lock() else { return };
    let now = clock::now();
    if !state.node.slots.enter_era(now, era) {
        return;
    }
    let slot = |item: &Item| Slot::new(item.key.as_str().strip_prefix(SLOT_PREFIX)?.parse().ok()?);
    if full {
        let listed: Vec<_> = items
            .iter()
            .filter_map(|item| {
                Some((slot(item)?, item.value.as_deref()?, item.revision, item.lease))
            })
            .collect();
        state.node.slots.apply_snapshot(now, &listed);
    } else {
        for item in items {
            if let Some(slot) = slot(item) {
                state.node.slots.apply(now, slot, item.value.as_deref(), item.revision, item.lease);
            }
        }
    }
    state.update_owners(shared);
}
