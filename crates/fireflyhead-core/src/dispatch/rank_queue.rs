//! Jobs of one rank: fresh requests before retries.
//!
//! Retries are queued apart from fresh requests, so that retries of one row do
//! not displace fresh requests of another. They get what fresh requests leave,
//! and a small share in any case.

use std::time::Duration;

use crate::types::JobId;
use crate::types::RowId;
use crate::types::Time;

use super::queue::FairQueue;
use super::queue::LaneId;
use super::queue::Ticket;

/// Share of a rank's service that retries get while fresh requests wait. The
/// bound for fresh requests under retries at twice their number is a loss of 5%.
const RETRY_SHARE: f64 = 0.04;

/// Jobs of one rank.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    fresh: FairQueue,
    retries: FairQueue,
    /// Cost that retries may be served before fresh requests.
    retry_credit: f64,
}

impl RankQueue {
    /// Queued jobs.
    pub(super) fn len(&self) -> usize {
        self.fresh.len() + self.retries.len()
    }

    /// Queued retries.
    pub(super) fn retries(&self) -> usize {
        self.retries.len()
    }

    /// Whether a job could run now.
    pub(super) fn has_ready(&self) -> bool {
        self.fresh.has_ready() || self.retries.has_ready()
    }

    /// Cost of all jobs that could run now.
    pub(super) fn ready_cost(&self) -> u64 {
        self.fresh.ready_cost() + self.retries.ready_cost()
    }

    /// Cost served before a new job of `row` starts, under fair shares of the active rows.
    pub(super) fn cost_ahead(&self, row: RowId, weight: f64, retry: bool) -> f64 {
        match retry {
            false => self.fresh.cost_ahead(row, weight),
            true => self.fresh.ready_cost() as f64 + self.retries.cost_ahead(row, weight),
        }
    }

    /// Adds a job; `ready` says whether its lane can run.
    pub(super) fn insert(&mut self, ticket: &Ticket, weight: f64, ready: bool) {
        self.part(ticket).insert(ticket, weight, ready);
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, ticket: &Ticket) {
        self.part(ticket).remove(ticket);
    }

    /// Marks a lane as able or unable to run.
    pub(super) fn set_ready(&mut self, row: RowId, lane: LaneId, ready: bool) {
        self.fresh.set_ready(row, lane, ready);
        self.retries.set_ready(row, lane, ready);
    }

    /// Job to run next.
    pub(super) fn peek(&self, now: Time, age_bound: Duration) -> Option<JobId> {
        let retry_due = self.retry_credit >= 0.0 && self.retries.has_ready();
        match self.fresh.has_ready() && !retry_due {
            true => self.fresh.peek(now, age_bound),
            false => self.retries.peek(now, age_bound).or_else(|| self.fresh.peek(now, age_bound)),
        }
    }

    /// Whether a job of a class could run now.
    pub(super) fn has_ready_class(&self, class: RowId) -> bool {
        self.fresh.has_ready_class(class) || self.retries.has_ready_class(class)
    }

    /// Job of a class to run next.
    pub(super) fn peek_class(&self, class: RowId, now: Time, age_bound: Duration) -> Option<JobId> {
        let fresh = self.fresh.peek_class(class, now, age_bound);
        fresh.or_else(|| self.retries.peek_class(class, now, age_bound))
    }

    /// Charges a job that is about to start; call before [`RankQueue::remove`].
    pub(super) fn charge(&mut self, ticket: &Ticket) {
        let cost = f64::from(ticket.cost);
        self.retry_credit = match self.retries.has_ready() {
            true => self.retry_credit + RETRY_SHARE * cost,
            false => self.retry_credit.min(0.0),
        };
        if ticket.retry {
            self.retry_credit = (self.retry_credit - cost).max(-cost);
        }
        self.part(ticket).charge(ticket.row, ticket.cost);
    }

    /// Puts other weights in force.
    pub(super) fn reweigh(&mut self, weight_of: impl Fn(RowId) -> f64) {
        self.fresh.reweigh(&weight_of);
        self.retries.reweigh(&weight_of);
    }

    fn part(&mut self, ticket: &Ticket) -> &mut FairQueue {
        match ticket.retry {
            false => &mut self.fresh,
            true => &mut self.retries,
        }
    }
}
