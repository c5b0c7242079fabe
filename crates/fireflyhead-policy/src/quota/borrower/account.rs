//! Stock, waiting requests and demands of one account at a borrower.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Name;
use crate::Time;
use crate::accounts::Quota;
use crate::quota;
use crate::quota::GrantedTokens;
use crate::quota::QuotaDemand;
use crate::quota::QuotaSettings;
use crate::quota::QuotaTerms;
use crate::quota::SLOT_COUNT;
use crate::quota::Slot;

use super::EXTRA_UNKNOWN_WAIT;
use super::MAX_WAIT;
use super::OwnerView;
use super::QuotaDenial;
use super::REPLY_TIMEOUT;
use super::TakenTokens;
use super::Ticket;

/// Tokens are asked for ahead if the stock is below the expected use in this time.
const STOCK_TIME: Duration = Duration::from_millis(150);
/// Time whose expected use is asked for ahead. Half of the lifetime of a grant, so that most of it
/// is used.
const AHEAD_TIME: Duration = Duration::from_millis(250);
/// Time constant of the moving rate of use.
const USE_TIME_CONSTANT_S: f64 = 1.0;
/// Time for which no tokens are asked for ahead after an owner granted none.
const AHEAD_PAUSE: Duration = Duration::from_millis(200);
/// Longest time in addition for which a large request waits once it is the first in the queue. Without
/// it, a large request of an account at its quota reaches that place just before its time is over;
/// with 150 ms, all sizes are served alike, and more of the small ones are rejected.
const MAX_SIZE_WAIT: Duration = Duration::from_millis(50);
/// Time for which a refusal of an owner tells the level of its bucket.
const REFUSAL_TTL: Duration = Duration::from_millis(500);
/// Largest number of waiting requests of an account in one datagram, which bounds its size.
const MAX_WAITING_ENTRIES: usize = 32;
/// Largest number of accounts in one datagram, which bounds its size.
const MAX_DEMANDS: usize = 128;
/// Result of a wait.
pub(super) type Resolution = (Ticket, Result<TakenTokens, QuotaDenial>);

/// Borrowed tokens that expire together.
#[derive(Clone, Copy, Debug)]
struct Stock {
    tokens: u64,
    expires: Time,
}

/// Last refusal of an owner: its bucket has `cost` tokens at `until` if nobody takes any.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Time,
    cost: f64,
    received: Time,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) cost: u64,
    pub(super) deadline: Time,
    /// Time from the arrival to the deadline.
    pub(super) max_wait: Duration,
    /// Slots that were asked and haven't replied yet, by their index.
    pub(super) asked: [bool; SLOT_COUNT],
}

#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) quota: Quota,
    terms: QuotaTerms,
    parts: Vec<Slot>,
    /// Stock, in the order in which it expires.
    stock: VecDeque<Stock>,
    pub(super) waiters: VecDeque<Waiter>,
    refusals: [Option<Refusal>; SLOT_COUNT],
    /// Tokens used per second.
    use_rate: f64,
    /// Mean tokens of a request.
    mean_cost: f64,
    pub(super) used_at: Time,
    /// Time of the last reply of an owner.
    replied_at: Option<Time>,
    /// Position among the parts at which the search for an owner starts.
    next_part: usize,
    /// Time before which nothing is asked for ahead.
    pub(super) ahead_after: Time,
}

impl AccountState {
    pub(super) fn new(
        now: Time,
        account: &Name,
        quota: &Quota,
        settings: &QuotaSettings,
    ) -> AccountState {
        AccountState {
            quota: *quota,
            terms: settings.terms(quota),
            parts: quota::parts(account, quota),
            stock: VecDeque::new(),
            waiters: VecDeque::new(),
            refusals: [None; SLOT_COUNT],
            use_rate: 0.0,
            mean_cost: 0.0,
            used_at: now,
            replied_at: None,
            next_part: 0,
            ahead_after: now,
        }
    }

    /// Applies a changed quota. Stock that was granted on other terms is dropped.
    pub(super) fn set_quota(&mut self, account: &Name, quota: &Quota, settings: &QuotaSettings) {
        self.quota = *quota;
        self.terms = settings.terms(quota);
        self.parts = quota::parts(account, quota);
        self.stock.clear();
        self.refusals = [None; SLOT_COUNT];
    }

    fn part_rate(&self) -> f64 {
        self.terms.rate / self.parts.len() as f64
    }

    /// Returns whether a piece of a request of `cost` is larger than the bucket of a part, so that no
    /// owner could ever grant it.
    pub(super) fn exceeds_part(&self, cost: u64) -> bool {
        let parts = self.parts.len();
        cost.div_ceil(parts as u64) as f64 > self.quota.burst / parts as f64
    }

    /// Adds tokens that expire at `expires`, unless that is over.
    pub(super) fn add_stock(&mut self, now: Time, tokens: u64, expires: Time) {
        if tokens == 0 || now >= expires {
            return;
        }
        let at = self.stock.partition_point(|stock| stock.expires <= expires);
        self.stock.insert(at, Stock { tokens, expires });
    }

    fn drop_expired(&mut self, now: Time) {
        while self.stock.front().is_some_and(|stock| now >= stock.expires) {
            self.stock.pop_front();
        }
    }

    pub(super) fn stock_total(&self, now: Time) -> u64 {
        self.stock.iter().filter(|stock| now < stock.expires).map(|stock| stock.tokens).sum()
    }

    /// Takes `cost` tokens, those that expire first.
    pub(super) fn take(&mut self, now: Time, cost: u64) -> Option<TakenTokens> {
        self.drop_expired(now);
        let total: u64 = self.stock.iter().map(|stock| stock.tokens).sum();
        if total < cost {
            return None;
        }
        let expires = self.stock.front().map_or(now, |stock| stock.expires);
        let mut left = cost;
        while left > 0 {
            // Can't fail: the sum of all entries is at least `cost`.
            let Some(front) = self.stock.front_mut() else { break };
            let part = left.min(front.tokens);
            front.tokens -= part;
            left -= part;
            if front.tokens == 0 {
                self.stock.pop_front();
            }
        }
        self.record_use(now, cost);
        let lifetime_left = expires.since(now);
        let age = self.terms.lifetime.saturating_sub(lifetime_left);
        Some(TakenTokens { tokens: cost, expires, age })
    }

    fn record_use(&mut self, now: Time, cost: u64) {
        self.use_rate = self.current_use_rate(now) + cost as f64 / USE_TIME_CONSTANT_S;
        self.mean_cost = match self.mean_cost {
            0.0 => cost as f64,
            mean => mean + (cost as f64 - mean) / 8.0,
        };
        self.used_at = now;
    }

    fn current_use_rate(&self, now: Time) -> f64 {
        let idle = now.since(self.used_at).as_secs_f64();
        self.use_rate * (-idle / USE_TIME_CONSTANT_S).exp()
    }

    /// Returns how many tokens should be asked for ahead of requests.
    pub(super) fn ahead(&self, now: Time) -> u64 {
        let rate = self.current_use_rate(now);
        let expected = rate * AHEAD_TIME.as_secs_f64();
        let stock = self.stock_total(now) as f64;
        // Tokens for less than one request are likely to expire.
        if expected < self.mean_cost || stock >= rate * STOCK_TIME.as_secs_f64() {
            return 0;
        }
        (expected - stock) as u64
    }

    /// Gives tokens to waiting requests, in their order.
    pub(super) fn serve(&mut self, now: Time, resolved: &mut Vec<Resolution>) {
        while let Some(waiter) = self.waiters.front().copied() {
            let Some(taken) = self.take(now, waiter.cost) else { return };
            self.waiters.pop_front();
            resolved.push((waiter.ticket, Ok(taken)));
        }
    }

    /// Ends the waits that took too long.
    pub(super) fn end_waits(&mut self, now: Time, resolved: &mut Vec<Resolution>) {
        while let Some(waiter) = self.waiters.front().copied() {
            let has_reply =
                self.replied_at.is_some_and(|at| at + waiter.max_wait >= waiter.deadline);
            let extra = if has_reply { Duration::ZERO } else { EXTRA_UNKNOWN_WAIT };
            if now < waiter.deadline + extra {
                return;
            }
            self.waiters.pop_front();
            let denial = match has_reply {
                true => QuotaDenial::Exceeded { retry_after: self.retry_after(now, waiter.cost) },
                false => QuotaDenial::Unknown,
            };
            resolved.push((waiter.ticket, Err(denial)));
        }
    }

    /// Returns the time after which the tokens for a request and those that wait are available.
    fn retry_after(&self, now: Time, cost: u64) -> Duration {
        let rate = self.part_rate();
        let soonest = self
            .parts
            .iter()
            .filter_map(|slot| self.refusals[slot.index()])
            .map(|refusal| refusal.available_at(cost as f64, rate).since(now))
            .min()
            .unwrap_or_default();
        let waiting: u64 = self.waiters.iter().map(|waiter| waiter.cost).sum();
        let at_rate = Duration::try_from_secs_f64((waiting + cost) as f64 / self.terms.rate)
            .unwrap_or(Duration::MAX);
        soonest.max(at_rate)
    }

    /// Returns when to retry if no owner can be expected to grant `cost` tokens within the longest
    /// wait, as far as their last replies tell.
    pub(super) fn hopeless(
        &self,
        now: Time,
        cost: u64,
        owners: &[OwnerView; SLOT_COUNT],
    ) -> Option<Duration> {
        let rate = self.part_rate();
        let (mut gained, mut fits, mut is_known) = (0.0, false, false);
        for slot in &self.parts {
            if !owners[slot.index()].is_responsive(now) {
                continue;
            }
            let refusal = self.refusals[slot.index()].filter(|refusal| refusal.is_recent(now))?;
            is_known = true;
            let level = refusal.cost - refusal.until.since(now).as_secs_f64() * rate;
            let at_end = level.max(0.0) + rate * MAX_WAIT.as_secs_f64();
            gained += at_end;
            fits |= refusal.available_at(cost as f64, rate) <= now + MAX_WAIT;
        }
        let waiting: u64 = self.waiters.iter().map(|waiter| waiter.cost).sum();
        // The tokens that the node uses in the longest wait.
        let queue_limit = self.current_use_rate(now) * MAX_WAIT.as_secs_f64();
        let has_room = self.waiters.is_empty() || (waiting + cost) as f64 <= queue_limit;
        let has_time = fits && has_room && (waiting + cost) as f64 <= gained;
        (is_known && !has_time).then(|| self.retry_after(now, cost))
    }

    /// Returns the longest time for which a request of `cost` waits: a large one may need much of it
    /// once it is the first of those that wait here.
    pub(super) fn max_wait(&self, now: Time, cost: u64) -> Duration {
        let own_time = cost as f64 / self.current_use_rate(now).max(1.0);
        MAX_WAIT + Duration::try_from_secs_f64(own_time).unwrap_or(MAX_WAIT).min(MAX_SIZE_WAIT)
    }

    /// Adds what the account needs to the `demands` at each slot.
    pub(super) fn add_demands(
        &mut self,
        now: Time,
        account: &Name,
        owners: &[OwnerView; SLOT_COUNT],
        demands: &mut [Vec<QuotaDemand>; SLOT_COUNT],
    ) {
        self.drop_expired(now);
        let mut added: [Option<QuotaDemand>; SLOT_COUNT] = [const { None }; SLOT_COUNT];
        let mut credit = self.stock_total(now);
        let part_size = self.quota.burst / self.parts.len() as f64;
        for at in 0..self.waiters.len().min(MAX_WAITING_ENTRIES) {
            let Waiter { cost, asked, .. } = self.waiters[at];
            if credit >= cost {
                credit -= cost;
                continue;
            }
            let mut need = cost - std::mem::take(&mut credit);
            // A request that is larger than a part needs tokens of several.
            let is_split = need as f64 > part_size;
            let piece = match is_split {
                true => cost.div_ceil(self.parts.len() as u64),
                false => need,
            };
            if asked.contains(&true) {
                if !is_split {
                    continue;
                }
                let pending = asked.iter().filter(|asked| **asked).count() as u64;
                need = need.saturating_sub(pending * piece);
            }
            while need > 0 {
                let size = piece.min(need);
                let asked = self.waiters[at].asked;
                let Some(slot) = self.choose_slot(now, size, &asked, owners, demands) else {
                    break;
                };
                self.waiters[at].asked[slot.index()] = true;
                let demand = added[slot.index()].get_or_insert_with(|| new_demand(account));
                demand.waiting.push(size);
                need -= size;
            }
        }
        let ahead = self.ahead(now).min((part_size / 2.0) as u64);
        if self.waiters.is_empty()
            && ahead > 0
            && now >= self.ahead_after
            && let Some(slot) = self.choose_slot(now, 0, &[false; SLOT_COUNT], owners, demands)
        {
            self.ahead_after = now + REPLY_TIMEOUT;
            added[slot.index()].get_or_insert_with(|| new_demand(account)).expected = ahead;
        }
        for (slot, demand) in Slot::all().zip(added) {
            demands[slot.index()].extend(demand);
        }
    }

    /// Returns the next slot in turn that can be asked for `cost` tokens now.
    fn choose_slot(
        &mut self,
        now: Time,
        cost: u64,
        asked: &[bool; SLOT_COUNT],
        owners: &[OwnerView; SLOT_COUNT],
        demands: &[Vec<QuotaDemand>; SLOT_COUNT],
    ) -> Option<Slot> {
        let rate = self.part_rate();
        let count = self.parts.len();
        let is_available = |slot: Slot| {
            let owner = &owners[slot.index()];
            let refusal = self.refusals[slot.index()];
            owner.is_responsive(now)
                && now >= owner.next_send
                && !asked[slot.index()]
                && demands[slot.index()].len() < MAX_DEMANDS
                && refusal.is_none_or(|refusal| refusal.available_at(cost as f64, rate) <= now)
        };
        let part = (0..count)
            .map(|offset| (self.next_part + offset) % count)
            .filter(|part| is_available(self.parts[*part]))
            // Those without a reply to the last request last. The first of equal ones is chosen.
            .min_by_key(|part| owners[self.parts[*part].index()].overdue > 0)?;
        self.next_part = (part + 1) % count;
        Some(self.parts[part])
    }

    pub(super) fn clear_asked(&mut self, slot: Slot) {
        for waiter in &mut self.waiters {
            waiter.asked[slot.index()] = false;
        }
    }

    /// Applies the reply of the owner of `slot` to a request that was sent at `sent`.
    pub(super) fn handle_grant(
        &mut self,
        now: Time,
        slot: Slot,
        sent: Time,
        demand: &QuotaDemand,
        granted: GrantedTokens,
    ) {
        let wanted = demand.waiting.iter().sum::<u64>().saturating_add(demand.expected);
        let tokens = granted.tokens.min(wanted);
        self.add_stock(now, tokens, sent + self.terms.lifetime);
        self.replied_at = Some(now);
        if demand.expected > 0 {
            self.ahead_after = if tokens == 0 { now + AHEAD_PAUSE } else { now };
        }
        if demand.waiting.is_empty() {
            return;
        }
        let is_refused = !granted.retry_after.is_zero();
        for waiter in self.waiters.iter_mut().filter(|w| w.asked[slot.index()]) {
            waiter.asked[slot.index()] = false;
        }
        self.refusals[slot.index()] = is_refused.then(|| {
            let mut left = tokens;
            let mut entries = demand.waiting.iter();
            let refused = entries.find(|entry| match left.checked_sub(**entry) {
                Some(rest) => {
                    left = rest;
                    false
                }
                None => true,
            });
            let cost = refused.copied().unwrap_or(0) as f64;
            Refusal { until: now + granted.retry_after, cost, received: now }
        });
    }
}

impl Refusal {
    fn is_recent(&self, now: Time) -> bool {
        now < self.until || now.since(self.received) < REFUSAL_TTL
    }

    /// Returns the time at which the bucket has `cost` tokens if it gains `rate` per second.
    fn available_at(&self, cost: f64, rate: f64) -> Time {
        let difference =
            Duration::try_from_secs_f64((cost - self.cost).abs() / rate).unwrap_or(Duration::MAX);
        match cost >= self.cost {
            true => self.until + difference,
            false => self.until - difference,
        }
    }
}

fn new_demand(account: &Name) -> QuotaDemand {
    QuotaDemand { account: account.clone(), waiting: Vec::new(), expected: 0 }
}
