//! Which requests a node admits with the tokens that it has borrowed, and which tokens it asks for.
//!
//! Handles accounts whose requests arrive at any number of nodes, at any ratio. A node borrows what
//! its waiting requests need, and before that what it expects to need while the account is below
//! its quota. Borrowed tokens expire, so that a node that freezes or is cut off can't use them later.

mod account;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::hash_map::Entry;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::accounts::Quota;
use crate::quota;
use crate::quota::QuotaDemand;
use crate::quota::QuotaGrant;
use crate::quota::QuotaRequest;
use crate::quota::QuotaSettings;
use crate::quota::SLOT_COUNT;
use crate::quota::Slot;

use self::account::AccountState;
use self::account::Resolution;
use self::account::Waiter;

/// Longest time for which a request waits for tokens; a large one waits for up to 50 ms more.
pub const MAX_WAIT: Duration = Duration::from_millis(150);
/// Time for which a request waits in addition if no owner has replied. Its caller would return after
/// [`UNKNOWN_RETRY_AFTER`] all the same, and owners that were restarted are back in that time.
pub const EXTRA_UNKNOWN_WAIT: Duration = Duration::from_millis(350);
/// Largest number of requests of an account that wait: more of them only wait if no owner replies.
const MAX_WAITERS: usize = 1_000;
/// Shortest interval of datagrams to one owner.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a reply after which another owner is asked: a round trip between zones with a
/// loaded host at each end, and short enough for two further owners within [`MAX_WAIT`].
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Number of requests without a reply from which on an owner isn't asked for a time. One may be lost,
/// and a small account has no other owner.
const MAX_OVERDUE: u32 = 2;
/// Time for which an owner that didn't reply isn't asked.
const SILENCE_TIME: Duration = Duration::from_millis(200);
/// Time without requests after which the state of an account is dropped.
const ACCOUNT_TTL: Duration = Duration::from_secs(30);
/// `Retry-After` of a request if no owner replied. Another node may reach the owners.
pub const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(u64);

/// Tokens that a request has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TakenTokens {
    /// Number of tokens.
    pub tokens: u64,
    /// Earliest time at which some of them expire.
    pub expires: Time,
    /// Longest time since some of them were asked for.
    pub age: Duration,
}

/// Reason why a request gets no tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDenial {
    /// The account is at its quota.
    Exceeded {
        /// Time after which the tokens are available.
        retry_after: Duration,
    },
    /// No owner replied.
    Unknown,
    /// The request is larger than the burst.
    TooLarge,
}

/// Result of asking for the tokens of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryTake {
    /// The request has its tokens.
    Granted(TakenTokens),
    /// The request waits; [`QuotaBorrower::take_resolved`] returns the result.
    Wait(Ticket),
    /// The request gets no tokens.
    Denied(QuotaDenial),
}

/// Which process grants the tokens of a slot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OwnerState {
    /// No node, as far as known.
    #[default]
    Absent,
    /// This node, which replies at once.
    Local,
    /// Another node.
    Remote,
}

/// Request for tokens that was sent.
#[derive(Debug)]
struct SentRequest {
    slot: Slot,
    sent: Time,
    demands: Vec<QuotaDemand>,
    /// Whether the owner counts as silent since no reply has arrived.
    overdue: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerView {
    state: OwnerState,
    next_send: Time,
    silent_until: Time,
    /// Number of requests without a reply since the last reply.
    overdue: u32,
}

/// Tokens that this node has borrowed, and the requests that wait for some.
#[derive(Debug)]
pub struct QuotaBorrower {
    settings: QuotaSettings,
    node: Name,
    incarnation: u64,
    next_seq: u64,
    next_ticket: u64,
    accounts: HashMap<Name, AccountState>,
    /// Accounts for which tokens may have to be asked for.
    active: HashSet<Name>,
    sent: HashMap<u64, SentRequest>,
    owners: [OwnerView; SLOT_COUNT],
    resolved: Vec<Resolution>,
    swept_at: Time,
}

impl QuotaBorrower {
    /// Creates a borrower without tokens. `first_seq` must differ between the starts of the process:
    /// a reply to an earlier process must not be taken for one to this process.
    pub fn new(
        settings: QuotaSettings,
        node: Name,
        incarnation: u64,
        first_seq: u64,
    ) -> QuotaBorrower {
        QuotaBorrower {
            settings,
            node,
            incarnation,
            next_seq: first_seq,
            next_ticket: 0,
            accounts: HashMap::new(),
            active: HashSet::new(),
            sent: HashMap::new(),
            owners: [OwnerView::default(); SLOT_COUNT],
            resolved: Vec::new(),
            swept_at: Time::default(),
        }
    }

    /// Sets which process grants the tokens of `slot`. To be called when the owner changes.
    pub fn set_owner(&mut self, slot: Slot, state: OwnerState) {
        self.owners[slot.index()] = OwnerView { state, ..OwnerView::default() };
    }

    /// Takes `cost` tokens of `account`, or lets the request wait for them behind earlier ones.
    pub fn try_take(&mut self, now: Time, account: &Name, quota: &Quota, cost: u64) -> TryTake {
        if cost as f64 > quota.burst {
            return TryTake::Denied(QuotaDenial::TooLarge);
        }
        let settings = &self.settings;
        let state = match self.accounts.entry(account.clone()) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(AccountState::new(now, account, quota, settings)),
        };
        if state.quota != *quota {
            state.set_quota(account, quota, settings);
        }
        if state.waiters.is_empty()
            && let Some(taken) = state.take(now, cost)
        {
            if state.ahead(now) > 0 && !self.active.contains(account) {
                self.active.insert(account.clone());
            }
            return TryTake::Granted(taken);
        }
        if state.waiters.len() >= MAX_WAITERS {
            return TryTake::Denied(QuotaDenial::Unknown);
        }
        if state.exceeds_part(cost) {
            return TryTake::Denied(QuotaDenial::TooLarge);
        }
        if let Some(retry_after) = state.hopeless(now, cost, &self.owners) {
            return TryTake::Denied(QuotaDenial::Exceeded { retry_after });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let max_wait = state.max_wait(now, cost);
        state.waiters.push_back(Waiter {
            ticket,
            cost,
            deadline: now + max_wait,
            max_wait,
            asked: [false; SLOT_COUNT],
        });
        self.active.insert(account.clone());
        TryTake::Wait(ticket)
    }

    /// Removes a waiting request whose caller has left. Tokens that it was granted but that were not
    /// delivered are to be returned with [`QuotaBorrower::give_back`].
    pub fn cancel(&mut self, account: &str, ticket: Ticket) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.waiters.retain(|waiter| waiter.ticket != ticket);
        }
    }

    /// Returns tokens of a request that did not run. They can be used until they expire.
    pub fn give_back(&mut self, now: Time, account: &str, taken: TakenTokens) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        state.add_stock(now, taken.tokens, taken.expires);
        state.serve(now, &mut self.resolved);
    }

    /// Returns the requests for tokens that are to be sent now, each to the owner of its slot. The
    /// lifetime of the grants begins at `now`.
    pub fn due_requests(&mut self, now: Time) -> Vec<QuotaRequest> {
        self.expire(now);
        let mut demands: [Vec<QuotaDemand>; SLOT_COUNT] = [const { Vec::new() }; SLOT_COUNT];
        let owners = &self.owners;
        let accounts = &mut self.accounts;
        self.active.retain(|name| {
            let Some(state) = accounts.get_mut(name) else { return false };
            state.add_demands(now, name, owners, &mut demands);
            !state.waiters.is_empty() || state.ahead(now) > 0 || now < state.ahead_after
        });
        let mut requests = Vec::new();
        for (slot, demands) in Slot::all().zip(demands) {
            if demands.is_empty() {
                continue;
            }
            let seq = self.next_seq;
            self.next_seq += 1;
            let owner = &mut self.owners[slot.index()];
            owner.next_send = match owner.state {
                OwnerState::Local => now,
                OwnerState::Absent | OwnerState::Remote => now + MIN_INTERVAL,
            };
            let sent = SentRequest { slot, sent: now, demands: demands.clone(), overdue: false };
            self.sent.insert(seq, sent);
            requests.push(QuotaRequest {
                node: self.node.clone(),
                incarnation: self.incarnation,
                seq,
                slot,
                demands,
            });
        }
        requests
    }

    /// Handles the reply of an owner. A second reply to the same request is ignored.
    pub fn handle_grant(&mut self, now: Time, grant: &QuotaGrant) {
        let Entry::Occupied(entry) = self.sent.entry(grant.seq) else { return };
        if entry.get().slot != grant.slot || entry.get().demands.len() != grant.grants.len() {
            return;
        }
        let SentRequest { slot, sent, demands, .. } = entry.remove();
        let owner = &mut self.owners[slot.index()];
        (owner.silent_until, owner.overdue) = (Time::default(), 0);
        for (demand, granted) in demands.iter().zip(&grant.grants) {
            if let Some(state) = self.accounts.get_mut(&demand.account) {
                state.handle_grant(now, slot, sent, demand, *granted);
                state.serve(now, &mut self.resolved);
            }
        }
    }

    /// Returns the results of waiting requests that are known now.
    pub fn take_resolved(&mut self, now: Time) -> Vec<Resolution> {
        for name in &self.active {
            if let Some(state) = self.accounts.get_mut(name) {
                state.serve(now, &mut self.resolved);
                state.end_waits(now, &mut self.resolved);
            }
        }
        if now.since(self.swept_at) >= ACCOUNT_TTL {
            self.swept_at = now;
            let is_in_use = |state: &AccountState| {
                !state.waiters.is_empty() || now.since(state.used_at) < ACCOUNT_TTL
            };
            self.accounts.retain(|_, state| is_in_use(state));
        }
        std::mem::take(&mut self.resolved)
    }

    /// Returns whether the node has to ask for tokens soon or requests wait.
    pub fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns whether results of waiting requests can be taken.
    pub fn has_resolved(&self) -> bool {
        !self.resolved.is_empty()
    }

    /// Returns the tokens of `account` that can be used now.
    pub fn stock(&self, now: Time, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |state| state.stock_total(now))
    }

    /// Marks owners that didn't reply as silent, and forgets requests whose grants are expired.
    fn expire(&mut self, now: Time) {
        let (owners, accounts) = (&mut self.owners, &mut self.accounts);
        self.sent.retain(|_, request| {
            if !request.overdue && now.since(request.sent) >= REPLY_TIMEOUT {
                request.overdue = true;
                let owner = &mut owners[request.slot.index()];
                owner.overdue += 1;
                if owner.overdue >= MAX_OVERDUE {
                    owner.silent_until = now + SILENCE_TIME;
                }
                for demand in &request.demands {
                    if let Some(state) = accounts.get_mut(&demand.account) {
                        state.clear_asked(request.slot);
                    }
                }
            }
            now.since(request.sent) < quota::MAX_GRANT_LIFETIME
        });
    }
}

impl OwnerView {
    fn is_responsive(&self, now: Time) -> bool {
        match self.state {
            OwnerState::Absent => false,
            OwnerState::Local | OwnerState::Remote => now >= self.silent_until,
        }
    }
}
