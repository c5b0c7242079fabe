//! Metrics of client accounts, of which only the busiest have series of their own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use fireflyhead_policy::Name;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::core::Collector;
use prometheus::proto::MetricFamily;

/// Number of accounts with series of their own, as the operators ask for; a monitoring system pays
/// for each series.
const SHOWN_ACCOUNTS: usize = 50;
/// Number of accounts whose requests are counted one by one, above the 20,000 of the largest
/// deployment. Names that are no longer configured stay counted, so that there must be a bound.
const MAX_COUNTED_ACCOUNTS: usize = 32 * 1024;
/// Label of the accounts without series of their own.
const OTHER: &str = "other";

/// Requests of one account by outcome.
type Outcomes = BTreeMap<&'static str, u64>;

/// Requests of all accounts by outcome.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    counted: Mutex<Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    accounts: HashMap<Name, Outcomes>,
    /// Requests of accounts beyond [`MAX_COUNTED_ACCOUNTS`].
    rest: Outcomes,
}

impl AccountMetrics {
    /// Counts a request of `account`.
    pub fn record_request(&self, account: &Name, outcome: &'static str) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let Counted { accounts, rest } = &mut *counted;
        let is_counted = accounts.len() < MAX_COUNTED_ACCOUNTS || accounts.contains_key(account);
        let outcomes = match is_counted {
            true => accounts.entry(account.clone()).or_default(),
            false => rest,
        };
        *outcomes.entry(outcome).or_default() += 1;
    }

    /// Returns the series: those of the accounts with the most requests, and the sum of the others,
    /// which falls when an account gets series of its own.
    ///
    /// # Errors
    /// The name of the metric or a label is not valid, which would be a bug.
    pub fn collect(&self) -> Result<Vec<MetricFamily>, prometheus::Error> {
        let opts = Opts::new("fireflyhead_account_requests_total", "Requests of client accounts");
        let counters = IntCounterVec::new(opts, &["account", "outcome"])?;
        let counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ranked: Vec<(u64, &Name, &Outcomes)> = counted
            .accounts
            .iter()
            .map(|(name, outcomes)| (outcomes.values().sum(), name, outcomes))
            .collect();
        ranked.sort_by(|(n, name, _), (m, other, _)| m.cmp(n).then_with(|| name.cmp(other)));
        let labelled = ranked.iter().enumerate().map(|(rank, (_, name, outcomes))| {
            let label = if rank < SHOWN_ACCOUNTS { name.as_str() } else { OTHER };
            (label, *outcomes)
        });
        for (label, outcomes) in labelled.chain([(OTHER, &counted.rest)]) {
            for (outcome, count) in outcomes {
                counters.get_metric_with_label_values(&[label, outcome])?.inc_by(*count);
            }
        }
        Ok(counters
            .collect()
            .into_iter()
            .filter(|family| !family.get_metric().is_empty())
            .collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a series for each of thousands of accounts, and against requests that no
    /// series counts.
    #[test]
    fn only_the_busiest_accounts_have_series() {
        let metrics = AccountMetrics::default();
        assert!(metrics.collect().expect("valid names").is_empty());
        for n in 0..2_000_usize {
            let account = Name::from(format!("a{n}"));
            for _ in 0..=n / 20 {
                metrics.record_request(&account, if n % 2 == 0 { "answered" } else { "rejected" });
            }
        }
        let families = metrics.collect().expect("valid names");
        let series = families[0].get_metric();
        let accounts: std::collections::HashSet<&str> =
            series.iter().map(|series| series.get_label()[0].value()).collect();
        assert_eq!(accounts.len(), SHOWN_ACCOUNTS + 1);
        assert!(accounts.contains("a1999") && accounts.contains(OTHER) && !accounts.contains("a9"));
        let total: f64 = series.iter().map(|series| series.get_counter().get_value()).sum();
        assert_eq!(total, (0..2_000_usize).map(|n| (n / 20 + 1) as f64).sum::<f64>());
    }

    /// Guards against names of accounts that fill the memory.
    #[test]
    fn the_number_of_counted_accounts_is_bounded() {
        let metrics = AccountMetrics::default();
        for n in 0..MAX_COUNTED_ACCOUNTS + 10 {
            metrics.record_request(&Name::from(format!("a{n}")), "answered");
        }
        let counted = metrics.counted.lock().expect("not poisoned");
        assert_eq!(counted.accounts.len(), MAX_COUNTED_ACCOUNTS);
        assert_eq!(counted.rest["answered"], 10);
    }
}
