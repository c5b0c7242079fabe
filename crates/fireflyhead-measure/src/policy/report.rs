//! Text report of the policy scenarios.

use std::io;
use std::io::Write;

use crate::policy::Report;
use crate::policy::RunResult;
use crate::policy::capacity::Capacity;
use crate::policy::figures::Figures;

/// Writes the report as text.
///
/// # Errors
/// Errors of the writer.
pub fn write_text(out: &mut impl Write, report: &Report) -> io::Result<()> {
    writeln!(out, "seed {}", report.seed)?;
    for (deployment, capacity) in &report.capacities {
        write_capacity(out, deployment, capacity)?;
    }
    for run in &report.runs {
        write_run(out, run)?;
    }
    writeln!(out, "\nbounds")?;
    for bound in &report.bounds {
        let verdict = if bound.holds() { "PASS" } else { "FAIL" };
        let relation = if bound.at_least { ">=" } else { "<=" };
        writeln!(
            out,
            "{verdict} {:10} s={:.1} {:24} {}: {:.3} {relation} {:.3}",
            bound.deployment, bound.exponent, bound.scenario, bound.what, bound.figure, bound.limit
        )?;
    }
    let failed = report.bounds.iter().filter(|bound| !bound.holds()).count();
    writeln!(out, "{failed} of {} bounds fail", report.bounds.len())
}

fn write_capacity(out: &mut impl Write, deployment: &str, cap: &Capacity) -> io::Result<()> {
    writeln!(
        out,
        "{deployment}: exponent {:.1}, {} slots, token capacity {:.1}/s, miss ratio {:.3}, \
         load capacity {:.1}/s, with batched waiters {:.1}/s, capacity {:.1}/s, plain {:.0}/s",
        cap.exponent,
        cap.slots,
        cap.token_rps,
        cap.miss_ratio,
        cap.load_rps,
        cap.batched_load_rps,
        cap.engine_rps(),
        cap.plain_rps
    )
}

fn write_run(out: &mut impl Write, run: &RunResult) -> io::Result<()> {
    let figures = &run.figures;
    writeln!(
        out,
        "\n{} s={:.1} {} [{}]: mean batch {:.2}, loads {:.2}/s ({:.0}% failed), {} decisions, {:.2} us each",
        run.deployment,
        run.exponent,
        run.scenario,
        run.policy,
        figures.mean_batch,
        figures.loads_per_second,
        figures.failed_loads * 100.0,
        figures.decisions,
        run.wall_secs * 1e6 / figures.decisions.max(1) as f64
    )?;
    writeln!(
        out,
        "  {:20} {:10} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8} {:>8} {:>7} {:>8} {:>6} {:>6}",
        "class",
        "rank",
        "offered",
        "goodput",
        "fresh",
        "answ%",
        "refus%",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "stall%",
        "stall ms",
        "share",
        "/floor"
    )?;
    for class in &figures.classes {
        let rank = class.rank.as_str();
        let tail = format!("{:>6.3} {:>6.2}", class.share, class.against_floor);
        write_row(out, class.class, rank, &class.figures, &tail)?;
    }
    write_row(out, "all engines", "", &figures.engines, "")?;
    write_row(out, "all plain", "", &figures.plain, "")
}

fn write_row(
    out: &mut impl Write,
    name: &str,
    rank: &str,
    figures: &Figures,
    tail: &str,
) -> io::Result<()> {
    let [p50, p95, p99] = figures.ttft_ms;
    writeln!(
        out,
        "  {name:20} {rank:10} {:>8} {:>8.2} {:>8.2} {:>7.1} {:>7.1} {p50:>8.0} {p95:>8.0} {p99:>8.0} {:>7.1} {:>8.0} {tail}",
        figures.offered,
        figures.goodput,
        figures.fresh_goodput,
        figures.fresh_answered * 100.0,
        figures.refused * 100.0,
        figures.stalled * 100.0,
        figures.stall_ms
    )
}
