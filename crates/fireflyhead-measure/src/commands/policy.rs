//! `policy`: runs the policy scenarios in virtual time and checks their bounds.

use std::io::Write;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::json;

use crate::policy;
use crate::policy::Report;
use crate::policy::Selection;
use crate::policy::deployment::Deployment;
use crate::policy::report::write_text;
use crate::policy::scenario::Scenario;

/// Arguments of the command.
pub fn cli() -> Command {
    let scenarios: Vec<&str> = Scenario::all().iter().map(|scenario| scenario.name).collect();
    let deployments: Vec<&str> = Deployment::all().iter().map(|dep| dep.name).collect();
    Command::new("policy")
        .about("Runs the policy scenarios in virtual time and checks their bounds")
        .arg(Arg::new("scenario").long("scenario").value_name("NAME").value_parser(scenarios))
        .arg(Arg::new("deployment").long("deployment").value_name("NAME").value_parser(deployments))
        .arg(
            Arg::new("exponent")
                .long("exponent")
                .value_name("NUMBER")
                .help("Zipf exponent: 0.9, 1.0, 1.1 or 1.3 [default: all]")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FORMAT")
                .default_value("text")
                .value_parser(["text", "json"]),
        )
}

/// Runs the command; the exit code is 1 if a bound fails.
///
/// # Errors
/// An unknown exponent, an invalid table, or an output that can't be written.
pub fn exec(args: &ArgMatches) -> anyhow::Result<ExitCode> {
    let exponent = args.get_one::<f64>("exponent").copied();
    if let Some(exponent) = exponent {
        anyhow::ensure!(policy::EXPONENTS.contains(&exponent), "unknown exponent {exponent}");
    }
    let report = policy::run(&Selection {
        scenario: args.get_one::<String>("scenario").cloned(),
        deployment: args.get_one::<String>("deployment").cloned(),
        exponent,
        seed: args.get_one::<u64>("seed").copied().unwrap_or_default(),
    })?;
    let mut out = std::io::stdout().lock();
    match args.get_one::<String>("report").map(String::as_str) {
        Some("json") => write_json(&mut out, &report)?,
        _ => write_text(&mut out, &report)?,
    }
    let holds = report.bounds.iter().all(policy::bounds::Bound::holds);
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn write_json(out: &mut impl Write, report: &Report) -> anyhow::Result<()> {
    let capacities = report.capacities.iter().map(|(deployment, cap)| {
        json!({
            "deployment": deployment, "exponent": cap.exponent, "slots": cap.slots,
            "token_rps": cap.token_rps, "miss_ratio": cap.miss_ratio,
            "load_rps": cap.load_rps, "batched_load_rps": cap.batched_load_rps,
            "capacity_rps": cap.engine_rps(), "plain_rps": cap.plain_rps,
        })
    });
    let bounds = report.bounds.iter().map(
        |bound| json!({ "bound": bound, "verdict": if bound.holds() { "PASS" } else { "FAIL" } }),
    );
    let value = json!({
        "seed": report.seed,
        "capacities": capacities.collect::<Vec<_>>(),
        "runs": report.runs,
        "bounds": bounds.collect::<Vec<_>>(),
    });
    serde_json::to_writer_pretty(&mut *out, &value)?;
    writeln!(out)?;
    Ok(())
}
