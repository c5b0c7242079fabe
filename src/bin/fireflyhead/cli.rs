//! Command line of `fireflyhead`, and helpers for the arguments and the output of commands.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead::ops::output;
use fireflyhead::ops::output::Format;
use fireflyhead::ops::store::OperatorClient;
use serde::Serialize;

use crate::commands;

/// Exit status of a command that failed.
pub(crate) const EXIT_FAILED: u8 = 1;
/// Exit status of invalid arguments or input.
pub(crate) const EXIT_USAGE: u8 = 2;
/// Exit status if another edit changed the configuration first.
pub(crate) const EXIT_CONFLICT: u8 = 3;

const AFTER_HELP: &str = "Exit status: 0 success, 1 failure, 2 invalid arguments or input, \
3 conflict with another edit.";

/// Returns the command line with all commands.
pub(crate) fn cli() -> Command {
    Command::new("fireflyhead")
        .about("Command-line client for operators of the fireflyhead serving layer")
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
                .help("Output format"),
        )
        .subcommands(commands::all())
}

/// Returns the argument `--store`.
pub(crate) fn store_arg() -> Arg {
    Arg::new("store")
        .long("store")
        .env("FIREFLYHEAD_STORE_ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:2379")
        .help("Address of the platform's store")
}

/// Creates the client for the store that `--store` names.
pub(crate) fn operator_client(matches: &ArgMatches) -> Result<OperatorClient> {
    let address: &SocketAddr = matches.get_one("store").expect("the argument has a default");
    Ok(OperatorClient::new(*address)?)
}

/// Returns the text of an argument that is required or has a default.
///
/// # Panics
/// If the argument is neither.
pub(crate) fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument has a default or is required")
}

/// Returns the output format that `--format` names.
pub(crate) fn output_format(matches: &ArgMatches) -> Format {
    Format::from_name(text_arg(matches, "format")).expect("the parser accepts only known formats")
}

/// Prints `value` as JSON, or `header` and the result of `rows` as columns, as `--format` says.
pub(crate) fn print(
    matches: &ArgMatches,
    value: &impl Serialize,
    header: &[&str],
    rows: impl FnOnce() -> Vec<Vec<String>>,
) -> Result<()> {
    let mut out = io::stdout().lock();
    match output_format(matches) {
        Format::Json => output::write_json(&mut out, value)?,
        Format::Human => output::write_columns(&mut out, header, &rows())?,
    }
    out.flush()?;
    Ok(())
}
