//! Commands of the tool, one module each with `cli()` and `exec()`.

pub mod policy;

use std::process::ExitCode;

use clap::Command;

/// Command line of the tool.
pub fn cli() -> Command {
    Command::new("fireflyhead-measure")
        .about("Measures the serving layer and experiments with its policies")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(policy::cli())
}

/// Runs the chosen command.
///
/// # Errors
/// Errors of the command.
pub fn exec() -> anyhow::Result<ExitCode> {
    match cli().get_matches().subcommand() {
        Some(("policy", args)) => policy::exec(args),
        _ => unreachable!("the command line requires a known subcommand"),
    }
}
