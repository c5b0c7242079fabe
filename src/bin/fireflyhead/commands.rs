//! Commands of `fireflyhead`: in each module, `cli()` returns the command line and `exec()` runs it.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

mod accounts;
mod completions;
mod demo;
mod explain;
mod nodes;
mod standin;
mod table;
mod upstreams;

/// Returns the command lines of all commands.
pub(crate) fn all() -> Vec<Command> {
    vec![
        table::cli(),
        accounts::cli(),
        nodes::cli(),
        upstreams::cli(),
        explain::cli(),
        demo::cli(),
        standin::cli(),
        completions::cli(),
    ]
}

/// Runs the command that `matches` names and returns the exit status of the process.
pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (name, matches) = matches.subcommand().expect("the parser requires a command");
    match name {
        "table" => table::exec(matches).await,
        "accounts" => accounts::exec(matches).await,
        "nodes" => nodes::exec(matches).await,
        "upstreams" => upstreams::exec(matches).await,
        "explain" => explain::exec(matches).await,
        "demo" => demo::exec(matches).await,
        "standin" => standin::exec(matches).await,
        "completions" => completions::exec(matches),
        name => unreachable!("the parser accepts no command `{name}`"),
    }
}
