//! Accounting of accepted requests.
//!
//! Every accepted request ends in exactly one outcome: accepted = answered +
//! not_run + outcome_unknown + in flight holds at every moment.

use std::sync::Arc;
use std::sync::Mutex;

use fireflyhead_core::types::Name;
use fireflyhead_core::types::Outcome;
use fireflyhead_core::types::Rank;
use tokio::sync::watch;

use crate::telemetry::Metrics;

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests whose upstream's answer was passed on.
    pub answered: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub outcome_unknown: u64,
    /// Requests without an outcome so far.
    pub in_flight: u64,
}

impl Counts {
    /// Difference between the accepted requests and those with an outcome or in flight.
    pub fn unaccounted(&self) -> u64 {
        let accounted = self.answered + self.not_run + self.outcome_unknown + self.in_flight;
        self.accepted.abs_diff(accounted)
    }

    /// Whether every accepted request has exactly one outcome or is in flight.
    pub fn balanced(&self) -> bool {
        self.unaccounted() == 0
    }
}

/// Counts the requests of one entry.
pub struct Accounting {
    counts: Mutex<Counts>,
    in_flight: watch::Sender<u64>,
    metrics: Metrics,
}

impl Accounting {
    /// Accounting without requests.
    pub fn new(metrics: Metrics) -> Arc<Accounting> {
        let (counts, in_flight) = (Mutex::default(), watch::Sender::new(0));
        Arc::new(Accounting { counts, in_flight, metrics })
    }

    /// Counts a request as accepted.
    pub fn accept(self: &Arc<Self>, rank: Rank, class: Name) -> Accepted {
        self.change(|counts| {
            counts.accepted += 1;
            counts.in_flight += 1;
        });
        self.metrics.accepted(rank, &class);
        Accepted {
            accounting: self.clone(),
            rank,
            class,
            outcome: Outcome::NotRun,
            started: std::time::Instant::now(),
        }
    }

    /// Counts now.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().expect("no holder of this lock panics")
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        let _closed = in_flight.wait_for(|&count| count == 0).await;
    }

    fn change(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        change(&mut counts);
        debug_assert!(counts.balanced(), "each request has one outcome: {counts:?}");
        self.in_flight.send_replace(counts.in_flight);
    }
}

/// Accepted request; dropping it counts its outcome.
pub struct Accepted {
    accounting: Arc<Accounting>,
    rank: Rank,
    class: Name,
    outcome: Outcome,
    started: std::time::Instant,
}

impl Accepted {
    /// Takes note that the request was passed on and may run.
    pub fn may_run(&mut self) {
        self.outcome = Outcome::OutcomeUnknown;
    }

    /// Takes note of the first output.
    pub fn first_output(&self) {
        self.accounting.metrics.first_output(self.rank, &self.class, self.started.elapsed());
    }

    /// Ends the request with `outcome`.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Accepted {
    fn drop(&mut self) {
        self.accounting.change(|counts| {
            counts.in_flight -= 1;
            match self.outcome {
                Outcome::Answered => counts.answered += 1,
                Outcome::NotRun => counts.not_run += 1,
                Outcome::OutcomeUnknown => counts.outcome_unknown += 1,
            }
        });
        self.accounting.metrics.finished(self.rank, &self.class, self.outcome);
    }
}
