//! Load and experiment tool.

mod control;

use std::process::ExitCode;

use anyhow::Result;
use clap::Command;

fn main() -> Result<ExitCode> {
    let matches = Command::new("fireflyhead-measure")
        .about("Load and experiment tool of fireflyhead")
        .subcommand_required(true)
        .subcommand(control::cli())
        .get_matches();
    match matches.subcommand() {
        Some(("control", matches)) => control::exec(matches),
        _ => unreachable!("the parser requires a known command"),
    }
}
