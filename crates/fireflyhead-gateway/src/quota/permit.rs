//! Tokens of a request until it is known whether it ran.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::quota::borrower::TakenTokens;

use crate::clock;
use crate::state::Shared;

/// Tokens that a request has taken. Dropping it without [`QuotaPermit::consumed`] returns them.
pub struct QuotaPermit {
    shared: Arc<Shared>,
    /// Account and tokens; `None` if the account has no quota.
    taken: Option<(Name, TakenTokens)>,
    consumed: AtomicBool,
}

impl QuotaPermit {
    pub(super) fn new(shared: &Arc<Shared>, account: &Name, taken: TakenTokens) -> QuotaPermit {
        let taken = Some((account.clone(), taken));
        QuotaPermit { shared: Arc::clone(shared), taken, consumed: AtomicBool::new(false) }
    }

    /// Returns the permit of a request without a quota.
    pub(super) fn unlimited(shared: &Arc<Shared>) -> QuotaPermit {
        QuotaPermit { shared: Arc::clone(shared), taken: None, consumed: AtomicBool::new(false) }
    }

    /// Records that the request is being sent to an upstream, which may run it.
    pub fn consumed(&self) {
        self.consumed.store(true, Ordering::Relaxed);
    }

    /// Records that no upstream has run the request, although it was sent.
    pub fn not_run(&self) {
        self.consumed.store(false, Ordering::Relaxed);
    }

    /// Returns the number of tokens; 0 if the account has no quota.
    pub fn tokens(&self) -> u64 {
        self.taken.as_ref().map_or(0, |(_, taken)| taken.tokens)
    }

    /// Returns the age that the oldest grant had when the request took its tokens.
    pub fn grant_age(&self) -> Option<Duration> {
        self.taken.as_ref().map(|(_, taken)| taken.age)
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if self.consumed.load(Ordering::Relaxed) {
            return;
        }
        let Some((account, taken)) = &self.taken else { return };
        let Some(mut state) = self.shared.quota.lock() else { return };
        let label = state.label(account);
        state.node.borrower.give_back(clock::now(), account.as_str(), *taken);
        drop(state);
        self.shared.metrics.record_quota_tokens(&label, "returned", taken.tokens);
        self.shared.quota.wake.notify_one();
    }
}
