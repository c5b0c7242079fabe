//! `fireflyhead table`: checks the operators' table, compares two tables and applies one.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::accounts;
use fireflyhead::ops::store::Listing;
use fireflyhead::ops::store::OperatorError;
use fireflyhead_platform::operator::AccountList;
use fireflyhead_policy::Name;
use fireflyhead_policy::config::EngineSpec;
use fireflyhead_policy::config::ModelSpec;
use fireflyhead_policy::config::Service;
use fireflyhead_policy::era::Position;
use fireflyhead_policy::table::RowError;
use fireflyhead_policy::table::Table;
use serde::Serialize;

use crate::cli;

/// Connection limit of each upstream; the command line has no option for it.
const MAX_CONNECTIONS: u32 = 256;

/// Configuration that `table apply` wrote to the store.
#[derive(Serialize)]
struct Applied {
    version: u64,
    routes: usize,
    adapters: usize,
}

pub(crate) fn cli() -> Command {
    let file = || Arg::new("file").required(true).help("CSV file of the table");
    Command::new("table")
        .about("Check, compare and apply tables of classes and adapters")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Check a table without applying it").arg(file()))
        .subcommand(
            Command::new("diff")
                .about("Show the rows in which two tables differ")
                .arg(Arg::new("old").required(true).help("CSV file before the edit"))
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Write a table to the store as the new configuration")
                .args([
                    file(),
                    cli::store_arg(),
                    Arg::new("engine")
                        .long("engine")
                        .action(ArgAction::Append)
                        .value_name("SERVICE=MODEL:SLOTS")
                        .help("Service of engines with base model and adapter slots (repeatable)"),
                ]),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (name, matches) = matches.subcommand().expect("the parser requires a subcommand");
    match name {
        "check" => check(matches),
        "diff" => diff(matches),
        "apply" => apply(matches).await,
        name => unreachable!("the parser accepts no subcommand `{name}`"),
    }
}

fn check(matches: &ArgMatches) -> Result<ExitCode> {
    match Table::from_csv(0, &read_file(matches, "file")?) {
        Ok(table) => {
            println!("valid: {} rows", table.rows().count());
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => Ok(print_row_errors(&errors)),
    }
}

/// Prints the rows that differ; the exit status does not depend on whether there are any.
fn diff(matches: &ArgMatches) -> Result<ExitCode> {
    let old = Table::from_csv(0, &read_file(matches, "old")?);
    let new = Table::from_csv(0, &read_file(matches, "file")?);
    let (old, new) = match (old, new) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(errors), _) | (_, Err(errors)) => return Ok(print_row_errors(&errors)),
    };
    let changes = old.diff(&new);
    let cells = |cells: &Option<Vec<String>>| cells.as_ref().map_or(String::new(), |c| c.join(","));
    cli::print(matches, &changes, &["KIND", "NAME", "BEFORE", "AFTER"], || {
        changes
            .iter()
            .map(|change| {
                let (kind, name) = (change.kind.clone(), change.name.clone());
                vec![kind, name, cells(&change.before), cells(&change.after)]
            })
            .collect()
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Writes the table to the store as the next version of the configuration.
///
/// The exit status is [`cli::EXIT_CONFLICT`] if the configuration changed after it was read.
async fn apply(matches: &ArgMatches) -> Result<ExitCode> {
    let operator = cli::operator_client(matches)?;
    let Listing { era, config: current, config_value, .. } = operator.list().await?;
    let (next_version, revision) = match &current {
        Some((config, revision)) => (config.version + 1, *revision),
        None => (1, 0),
    };
    let version = next_version.max(era.min_config_version());
    let table = match Table::from_csv(version, &read_file(matches, "file")?) {
        Ok(table) => table,
        Err(errors) => return Ok(print_row_errors(&errors)),
    };
    let account_list = match &current {
        Some(_) => AccountList::read(&config_value)?,
        None => AccountList::default(),
    };
    let directory = Path::new(cli::text_arg(matches, "file")).parent().unwrap_or(Path::new(""));
    let account_list = match accounts::table_account_list(&table, directory, &account_list) {
        Ok(account_list) => account_list,
        Err(e) => {
            eprintln!("error: {e}");
            return Ok(ExitCode::from(cli::EXIT_USAGE));
        }
    };
    let config = table.config(services(matches, &table)?);
    let versions = table.adapter_versions();
    match operator.write_config(&config, &account_list, &versions, Position { era, revision }).await
    {
        Ok(()) => {}
        Err(e @ OperatorError::Conflict) => {
            eprintln!("error: {e}");
            return Ok(ExitCode::from(cli::EXIT_CONFLICT));
        }
        Err(e) => return Err(e.into()),
    }
    let applied = Applied { version, routes: config.route_count(), adapters: versions.len() };
    cli::print(matches, &applied, &["VERSION", "ROUTES", "ADAPTERS"], || {
        vec![vec![version.to_string(), applied.routes.to_string(), applied.adapters.to_string()]]
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the services of the table; the upstreams of those that `--engine` names are engines.
///
/// # Errors
/// Returns an error if a value of `--engine` is malformed.
fn services(matches: &ArgMatches, table: &Table) -> Result<Vec<Service>> {
    let mut engines = Vec::new();
    for text in matches.get_many::<String>("engine").into_iter().flatten() {
        let parsed = text.split_once('=').and_then(|(service, rest)| {
            let (model, slots) = rest.split_once(':')?;
            Some((service, model, slots.parse().ok()?))
        });
        match parsed {
            Some(engine) => engines.push(engine),
            None => bail!("`{text}` is not of the form SERVICE=MODEL:SLOTS"),
        }
    }
    let mut names: Vec<&Name> = table.classes().map(|row| &row.service).collect();
    names.sort();
    names.dedup();
    let service = |name: &Name| Service {
        name: name.clone(),
        health_path: Name::from("/healthz"),
        max_connections: MAX_CONNECTIONS,
        engine: engines.iter().find(|(service, ..)| *service == name.as_str()).map(
            |(_, model, slots)| EngineSpec {
                models: vec![ModelSpec {
                    name: Name::from(*model),
                    weights_mb: 0.0,
                    adapter_mb: 0.0,
                    load_time: Duration::ZERO,
                }],
                adapter_slots: *slots,
                ..EngineSpec::default()
            },
        ),
    };
    Ok(names.into_iter().map(service).collect())
}

/// Prints the errors of a table and returns the exit status for invalid input.
fn print_row_errors(errors: &[RowError]) -> ExitCode {
    for error in errors {
        eprintln!("error: {error}");
    }
    ExitCode::from(cli::EXIT_USAGE)
}

fn read_file(matches: &ArgMatches, name: &str) -> Result<String> {
    let path = cli::text_arg(matches, name);
    fs::read_to_string(path).with_context(|| format!("cannot read the table {path}"))
}
