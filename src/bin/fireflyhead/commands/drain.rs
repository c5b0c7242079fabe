//! `fireflyhead drain`: planned stop of one node.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("drain")
        .about("Stop one node after it has finished its requests")
        .arg(cli::operator_url())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    cli::client(matches).drain().await?;
    println!("the node takes no new requests and stops when the running ones are finished");
    Ok(ExitCode::SUCCESS)
}
