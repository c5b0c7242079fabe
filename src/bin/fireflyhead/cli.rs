//! Global arguments and what commands share in parsing them.

use std::io;
use std::io::Write;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::client::OperatorClient;
use fireflyhead::ops::output;
use fireflyhead::ops::output::Format;
use fireflyhead_schema::settings::Secret;
use serde::Serialize;

use crate::commands;

/// Exit status of a command that failed.
pub(crate) const EXIT_FAILED: u8 = 1;
/// Exit status of invalid arguments or input.
pub(crate) const EXIT_USAGE: u8 = 2;
/// Exit status of an edit that conflicts with another one.
pub(crate) const EXIT_CONFLICT: u8 = 3;
/// Exit status of a wait that ended before its condition held.
pub(crate) const EXIT_TIMEOUT: u8 = 4;

const AFTER_HELP: &str = "Exit status: 0 success, 1 failure, 2 invalid arguments or input, \
3 conflict with another edit, 4 a wait ended too early.";

/// The whole command line.
pub(crate) fn cli() -> Command {
    Command::new("fireflyhead")
        .about("Client of the fireflyhead serving layer")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("format")
                .long("format")
                .global(true)
                .value_parser(["human", "json"])
                .default_value("human")
                .help("Format of the output"),
        )
        .subcommands(commands::all())
}

/// Argument `--operator-url`, for commands that talk to an operator listener.
pub(crate) fn operator_url() -> Arg {
    Arg::new("operator-url")
        .long("operator-url")
        .env("FIREFLYHEAD_OPERATOR_URL")
        .default_value("http://127.0.0.1:8081")
        .help("Operator listener of any node; the token comes from FIREFLYHEAD_OPERATOR_TOKEN")
}

/// Argument `--url`, for commands that act as a caller.
pub(crate) fn caller_url() -> Arg {
    Arg::new("url")
        .long("url")
        .env("FIREFLYHEAD_URL")
        .default_value("http://127.0.0.1:8080")
        .help("Caller listener of any node")
}

/// Client that the arguments name.
pub(crate) fn client(matches: &ArgMatches) -> OperatorClient {
    let url: &String = matches.get_one("operator-url").expect("the argument has a default");
    let token = std::env::var("FIREFLYHEAD_OPERATOR_TOKEN").unwrap_or_default();
    OperatorClient::new(url, Secret::from(token))
}

/// Value of an argument that has a default or is required.
pub(crate) fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument has a default or is required")
}

/// Format that the arguments name.
pub(crate) fn format(matches: &ArgMatches) -> Format {
    Format::from_name(text(matches, "format")).expect("the parser accepts only known formats")
}

/// Prints `value` as JSON, or as the columns that `rows` gives.
pub(crate) fn print(
    matches: &ArgMatches,
    value: &impl Serialize,
    header: &[&str],
    rows: impl FnOnce() -> Vec<Vec<String>>,
) -> Result<()> {
    let mut out = io::stdout().lock();
    match format(matches) {
        Format::Json => output::write_json(&mut out, value)?,
        Format::Human => output::write_columns(&mut out, header, &rows())?,
    }
    out.flush()?;
    Ok(())
}
