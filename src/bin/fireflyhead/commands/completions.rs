//! `fireflyhead completions`: prints the completion script for a shell.

use std::io;
use std::process::ExitCode;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("completions")
        .about("Print the completion script for a shell")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}

pub(crate) fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let shell = *matches.get_one::<Shell>("shell").expect("the argument is required");
    clap_complete::generate(shell, &mut cli::cli(), "fireflyhead", &mut io::stdout());
    Ok(ExitCode::SUCCESS)
}
