//! What a run of the demo shows at its end.

use std::io;
use std::io::Write;
use std::time::Duration;

use fireflyhead_core::types::Rank;
use serde::Serialize;

use crate::ops::demo::fleet::Fleet;
use crate::ops::demo::workload::Ended;
use crate::ops::demo::workload::Record;
use crate::ops::output;

/// Figures of one rank.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct RankReport {
    /// Name of the rank.
    pub rank: &'static str,
    /// Requests sent.
    pub offered: usize,
    /// Of these, answered.
    pub answered: usize,
    /// Of these, rejected without having run.
    pub not_run: usize,
    /// Of these, with an unknown outcome.
    pub outcome_unknown: usize,
    /// Of these, without any outcome.
    pub without_outcome: usize,
    /// Median time to the first token or response, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the same.
    pub p95_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Duration of the offered load, in seconds.
    pub load_seconds: f64,
    /// Duration of the whole run, in seconds.
    pub total_seconds: f64,
    /// Figures by rank, most urgent first.
    pub ranks: Vec<RankReport>,
    /// Completions whose adapter was loaded nowhere when they were sent.
    pub load_stalls: usize,
    /// Slots of each engine that held popular adapters at the start.
    pub warm_slots: usize,
    /// Adapters loaded.
    pub loads: u64,
    /// Loads that exceeded the weight store's rate.
    pub loads_over_rate: u64,
    /// Mean number of sequences in a decoding step.
    pub mean_batch: f64,
    /// Orders executed more than once, counted at the service.
    pub duplicate_orders: u64,
    /// Answers of another adapter, another request, or incomplete ones.
    pub wrong_answers: usize,
    /// Error codes with their counts.
    pub codes: std::collections::BTreeMap<String, usize>,
    /// Broken invariants; empty in a good run.
    pub violations: Vec<String>,
}

/// Value below which the fraction `q` of `sorted` lies.
pub fn percentile(sorted: &[Duration], q: f64) -> Duration {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index into a short list"
    )]
    let index = (q * sorted.len() as f64).ceil() as usize;
    sorted.get(index.max(1) - 1).copied().unwrap_or_default()
}

fn rank_report(rank: Rank, records: &[Record]) -> RankReport {
    let of_rank: Vec<&Record> = records.iter().filter(|record| record.rank == rank).collect();
    let count = |ended| of_rank.iter().filter(|record| record.ended == ended).count();
    let mut times: Vec<Duration> = of_rank.iter().filter_map(|record| record.first).collect();
    times.sort_unstable();
    let millis = |q| percentile(&times, q).as_secs_f64() * 1e3;
    RankReport {
        rank: rank.as_str(),
        offered: of_rank.len(),
        answered: count(Ended::Answered),
        not_run: count(Ended::NotRun),
        outcome_unknown: count(Ended::Unknown),
        without_outcome: count(Ended::Nothing),
        p50_ms: millis(0.5),
        p95_ms: millis(0.95),
        p99_ms: millis(0.99),
    }
}

impl Report {
    /// Report of a run with the requests `records` against `fleet`.
    pub fn new(deployment: &'static str, records: &[Record], fleet: &Fleet) -> Report {
        let mut codes = std::collections::BTreeMap::new();
        for code in records.iter().filter_map(|record| record.code.clone()) {
            *codes.entry(code).or_default() += 1;
        }
        let weights = fleet.weights.counters();
        Report {
            deployment,
            ranks: Rank::ALL.map(|rank| rank_report(rank, records)).to_vec(),
            load_stalls: records.iter().filter(|record| record.stalled).count(),
            loads: weights.loads,
            loads_over_rate: weights.over_rate,
            mean_batch: fleet.mean_batch(),
            duplicate_orders: fleet.ledger.duplicates(),
            wrong_answers: records.iter().filter(|record| record.wrong.is_some()).count(),
            codes,
            violations: violations(records, fleet),
            ..Report::default()
        }
    }

    /// Writes the report for people.
    ///
    /// # Errors
    /// A failed write.
    pub fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let header = [
            "rank",
            "offered",
            "answered",
            "not run",
            "unknown",
            "no outcome",
            "p50 ms",
            "p95 ms",
            "p99 ms",
        ];
        let rows: Vec<Vec<String>> = self.ranks.iter().map(RankReport::cells).collect();
        output::write_columns(out, &header, &rows)?;
        writeln!(out)?;
        writeln!(
            out,
            "completions whose adapter was loaded nowhere when sent: {}; loads: {} ({} delayed by the weight store's rate)",
            self.load_stalls, self.loads, self.loads_over_rate
        )?;
        writeln!(
            out,
            "slots of each engine that held popular adapters at the start: {}",
            self.warm_slots
        )?;
        writeln!(out, "mean batch: {:.2}", self.mean_batch)?;
        writeln!(out, "duplicate orders, counted at the service: {}", self.duplicate_orders)?;
        writeln!(out, "wrong adapter or wrong answer: {}", self.wrong_answers)?;
        for (code, count) in &self.codes {
            writeln!(out, "error code {code}: {count}")?;
        }
        writeln!(
            out,
            "{}: {:.1} s of load, {:.1} s in all",
            self.deployment, self.load_seconds, self.total_seconds
        )?;
        for violation in &self.violations {
            writeln!(out, "BROKEN INVARIANT: {violation}")?;
        }
        Ok(())
    }
}

impl RankReport {
    fn cells(&self) -> Vec<String> {
        let counts =
            [self.offered, self.answered, self.not_run, self.outcome_unknown, self.without_outcome];
        let times = [self.p50_ms, self.p95_ms, self.p99_ms];
        std::iter::once(self.rank.to_owned())
            .chain(counts.iter().map(ToString::to_string))
            .chain(times.iter().map(|time| format!("{time:.0}")))
            .collect()
    }
}

/// Invariants that the run broke, one line each.
pub fn violations(records: &[Record], fleet: &Fleet) -> Vec<String> {
    let mut found = Vec::new();
    for record in records {
        let runs = record.order.as_ref().map(|order| (order, fleet.ledger.runs(order)));
        match (record.ended, runs) {
            (_, Some((order, runs))) if runs > 1 => {
                found.push(format!("order {order} ran {runs} times"));
            }
            (Ended::NotRun, Some((order, 1))) => {
                found.push(format!("order {order} was reported as not run, but it ran"));
            }
            (Ended::Answered, Some((order, 0))) => {
                found.push(format!("order {order} was answered, but it never ran"));
            }
            (Ended::Nothing, _) => {
                let detail = record.detail.clone().unwrap_or_default();
                found
                    .push(format!("a {} request ended without an outcome: {detail}", record.class));
            }
            _ => {}
        }
        if let Some(wrong) = &record.wrong {
            found.push(format!("a {} request got a wrong answer: {wrong}", record.class));
        }
    }
    let unloaded = fleet.unloaded_while_serving();
    if unloaded > 0 {
        found.push(format!("{unloaded} adapters were unloaded while they served a request"));
    }
    found
}
