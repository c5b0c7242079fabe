//! `fireflyhead demo`: a whole deployment in one process under a bounded workload.

use std::io;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead::ops::demo::deployment::Deployment;
use fireflyhead::ops::demo::run;
use fireflyhead::ops::output;

use crate::cli;

/// Longest load that can be asked for, in seconds.
const MAX_SECONDS: u64 = 600;

pub(crate) fn cli() -> Command {
    Command::new("demo")
        .about("Run three nodes against stand-ins and check every answer")
        .after_help("Exit status 1 if an invariant was broken.")
        .arg(
            Arg::new("deployment")
                .value_parser(Deployment::NAMES)
                .default_value(Deployment::NAMES[0])
                .help("Deployment whose sizes and traffic are used"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..=MAX_SECONDS))
                .default_value("12")
                .help("Duration of the offered load"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Form of the report"),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let deployment = Deployment::from_name(cli::text(matches, "deployment"));
    let deployment = deployment.expect("the parser accepts only known deployments");
    let seconds = *matches.get_one::<u64>("seconds").expect("the argument has a default");
    let json = cli::text(matches, "report") == "json";
    let report = run::run(deployment, Duration::from_secs(seconds), !json).await?;
    let mut out = io::stdout().lock();
    match json {
        true => output::write_json(&mut out, &report)?,
        false => report.write(&mut out)?,
    }
    out.flush()?;
    match report.violations.as_slice() {
        [] => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(cli::EXIT_FAILED)),
    }
}
