//! Quotas of client accounts over all nodes.
//!
//! Handles accounts that together ask for more than the upstreams can serve: each account may use
//! its rate and its burst, wherever its requests arrive and whatever nodes fail or are cut off. The
//! tokens of an account come from token buckets in the memory of a few nodes, the owners of the
//! [quota slots](Slot). Other nodes borrow tokens for a short time.
//!
//! - [`slots`]: which node owns a slot
//! - [`owner`]: which tokens an owner grants
//! - [`node`]: these three on one node
//! - [`borrower`]: which requests a node admits, and which tokens it asks for
//!
//! In a window W an account with rate r and burst b uses at most r (W + L) + b tokens, where L is
//! the lifetime of a grant: tokens used in the window were issued in it or up to L before, and a
//! bucket issues at most its depth and what it gains. `docs/design/quotas.md` has the proof.

pub mod borrower;
pub mod node;
pub mod owner;
pub mod slots;

use std::cmp::Reverse;
use std::fmt;
use std::time::Duration;

use crate::Name;
use crate::accounts::Quota;
use crate::accounts::QuotaUnit;
use crate::rendezvous;

/// Number of quota slots. A lost owner takes at most this fraction of an account's quota with it.
pub const SLOT_COUNT: usize = 4;
/// Burst, in units of the quota, from which an account has a further part. A part must hold several
/// of the largest requests, which are 1,630 tokens in the deployment with accounts.
const UNITS_PER_PART: f64 = 16_000.0;
/// Longest lifetime of a grant. It bounds the tokens that are lost with a borrower.
const MAX_GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// Shortest lifetime of a grant: two round trips between zones on a loaded host.
const MIN_GRANT_LIFETIME: Duration = Duration::from_millis(50);
/// Share of the permitted excess that grants in use at the begin of a window may take. The rest
/// covers clocks that run at different rates and rounding.
const EXCESS_SHARE: f64 = 0.8;

/// Settings of quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Window in which the quota is binding.
    pub window: Duration,
    /// Permitted excess in a window, as a fraction of the quota.
    pub overage: f64,
    /// Permitted excess in a window in addition, in tokens. Quotas in requests don't have it.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings { window: Duration::from_secs(8), overage: 0.1, slack: 11_000.0 }
    }
}

impl QuotaSettings {
    /// Returns the largest number of units that an account with `quota` may use in a window.
    pub fn bound(&self, quota: &Quota) -> f64 {
        self.nominal(quota) + self.excess(quota)
    }

    /// Returns the terms on which tokens of an account with `quota` are granted.
    pub fn terms(&self, quota: &Quota) -> QuotaTerms {
        let excess = EXCESS_SHARE * self.excess(quota);
        let affordable = Duration::try_from_secs_f64(excess / quota.rate).unwrap_or(Duration::MAX);
        let lifetime = affordable.clamp(MIN_GRANT_LIFETIME, MAX_GRANT_LIFETIME);
        let window = self.window.as_secs_f64();
        let rate = match affordable < MIN_GRANT_LIFETIME {
            true => (quota.rate * window + excess) / (window + lifetime.as_secs_f64()),
            false => quota.rate,
        };
        QuotaTerms { lifetime, rate, burst: quota.burst }
    }

    fn nominal(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    fn excess(&self, quota: &Quota) -> f64 {
        // The slack is in tokens, and says nothing about quotas in requests.
        let slack = match quota.unit {
            QuotaUnit::Tokens { .. } => self.slack,
            QuotaUnit::Requests => 0.0,
        };
        self.overage * self.nominal(quota) + slack
    }
}

/// Terms on which tokens of an account are granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Time for which a grant is valid, from the sending of the request for it.
    pub lifetime: Duration,
    /// Rate over all parts of the account. Below that of the quota if grants as short as possible
    /// would exceed the bound.
    pub rate: f64,
    /// Burst over all parts.
    pub burst: f64,
}

/// Slot to which a node claims the right to grant the parts of accounts there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Slot(u8);

impl Slot {
    /// Returns all slots.
    pub fn all() -> impl Iterator<Item = Slot> {
        (0_u8..).take(SLOT_COUNT).map(Slot)
    }

    /// Returns the slot with this number; `None` if there is none.
    pub fn new(number: u32) -> Option<Slot> {
        Slot::all().find(|slot| slot.number() == number)
    }

    /// Returns the number of the slot.
    pub fn number(self) -> u32 {
        u32::from(self.0)
    }

    /// Returns the position of the slot in an array with one entry a slot.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the slots at which an account with `quota` has a part, each with an equal share of its
/// rate and burst.
pub fn parts(account: &Name, quota: &Quota) -> Vec<Slot> {
    let count = (quota.burst / UNITS_PER_PART).clamp(1.0, SLOT_COUNT as f64) as usize;
    let mut slots: Vec<Slot> = Slot::all().collect();
    slots.sort_by_cached_key(|slot| {
        Reverse(rendezvous::weight(account.as_str(), &slot.to_string()))
    });
    slots.truncate(count);
    slots
}

/// Tokens of one account that a node asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaDemand {
    /// Account.
    pub account: Name,
    /// Tokens for each waiting request, in their order. An owner grants all of an entry or nothing,
    /// since a request can't use a part of its tokens before they expire.
    pub waiting: Vec<u64>,
    /// Tokens for requests that are expected soon.
    pub expected: u64,
}

/// Request of a node for tokens to the owner of a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaRequest {
    /// Node that asks.
    pub node: Name,
    /// Start of its process in milliseconds of Unix time.
    pub incarnation: u64,
    /// Sequence number, which rises within the process and differs between its starts.
    pub seq: u64,
    /// Slot.
    pub slot: Slot,
    /// Tokens for each account.
    pub demands: Vec<QuotaDemand>,
}

/// Reply of an owner for one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantedTokens {
    /// Granted tokens.
    pub tokens: u64,
    /// Time after which the first tokens that were not granted to a waiting request are available;
    /// zero if all were granted.
    pub retry_after: Duration,
}

/// Reply of the owner of a slot to a [`QuotaRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    /// Sequence number of the request.
    pub seq: u64,
    /// Slot.
    pub slot: Slot,
    /// Grants, in the order of the demands of the request.
    pub grants: Vec<GrantedTokens>,
}
