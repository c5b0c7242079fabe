//! Guaranteed shares of the lower ranks, by deficit counters.
//!
//! While a rank has work, it earns its share of everything that is served and
//! pays for what it is served itself. A rank with credit goes first. Work
//! beyond the share never turns into debt larger than one job, and a rank
//! without work earns nothing, so unused shares go to the other ranks.

use crate::table::Table;
use crate::types::Name;
use crate::types::Rank;

/// Upper bound of the sum of all floors; the rest is served in rank order.
const MAX_TOTAL_FLOOR: f64 = 0.9;

/// Deficit counters of the ranks for one resource.
#[derive(Clone, Debug)]
pub(super) struct Floors {
    share: [f64; 3],
    credit: [f64; 3],
}

impl Floors {
    /// Counters without credit; see [`floor_shares`].
    pub(super) fn new(share: [f64; 3]) -> Floors {
        Floors { share, credit: [0.0; 3] }
    }

    /// Puts other shares in force.
    pub(super) fn set_shares(&mut self, share: [f64; 3]) {
        self.share = share;
    }

    /// Share of a rank.
    pub(super) fn share(&self, rank: Rank) -> f64 {
        self.share[rank.index()]
    }

    /// Rank that is below its share; `ready` says which ranks have work that can run.
    pub(super) fn due(&self, ready: [bool; 3]) -> Option<Rank> {
        let is_due = |rank: &Rank| {
            let i = rank.index();
            ready[i] && self.share[i] > 0.0 && self.credit[i] >= 0.0
        };
        let by_credit = |a: &Rank, b: &Rank| {
            self.credit[a.index()].total_cmp(&self.credit[b.index()]).then(b.cmp(a))
        };
        Rank::ALL.into_iter().filter(is_due).max_by(by_credit)
    }

    /// Counts work of `cost` that `rank` was given.
    pub(super) fn charge(&mut self, rank: Rank, cost: f64, ready: [bool; 3]) {
        for ((credit, share), ready) in self.credit.iter_mut().zip(self.share).zip(ready) {
            *credit = if ready { *credit + share * cost } else { credit.min(0.0) };
        }
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit - cost).max(-cost);
    }
}

/// Floors of the ranks from the class rows of `service`, or of all class rows if it is empty.
pub(super) fn floor_shares(table: &Table, service: &Name, min_floor: f64) -> [f64; 3] {
    let mut share = [0.0; 3];
    let here = |row: &Name| service.as_str().is_empty() || row == service;
    for row in table.classes().filter(|row| here(&row.service)) {
        share[row.terms.rank.index()] += row.terms.floor;
    }
    for rank in [Rank::Standard, Rank::Background] {
        share[rank.index()] = f64::max(share[rank.index()], min_floor);
    }
    let total: f64 = share.iter().sum();
    if total > MAX_TOTAL_FLOOR {
        share = share.map(|part| part * MAX_TOTAL_FLOOR / total);
    }
    // The top rank goes first anyway.
    share[Rank::Urgent.index()] = 0.0;
    share
}
