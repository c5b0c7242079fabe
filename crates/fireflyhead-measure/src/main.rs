//! Load and experiment tool.

mod control;

use std::process::ExitCode;

use anyhow::Result;
use clap::Command;
use fireflyhead_measure::commands::policy;

fn main() -> Result<ExitCode> {
    let matches = Command::new("fireflyhead-measure")
        .about("Load and experiment tool of fireflyhead")
        .subcommand_required(true)
        .subcommand(control::cli())
        .subcommand(policy::cli())
        .get_matches();
    match matches.subcommand() {
        Some(("control", matches)) => control::exec(matches),
        Some(("policy", matches)) => policy::exec(matches),
        _ => unreachable!("the parser requires a known command"),
    }
}
