//! `fireflyhead table`: read, check and edit the operators' table.

use std::fs;
use std::io;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::anyhow;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::client::ClientError;
use fireflyhead::ops::client::OperatorClient;
use fireflyhead::ops::output;
use fireflyhead::ops::output::Format;
use fireflyhead::ops::table;
use fireflyhead::ops::table::InForce;
use fireflyhead_core::table::RowError;
use fireflyhead_core::table::Table;
use fireflyhead_node::operators::api::EditBody;
use serde::Serialize;

use crate::cli;

pub(crate) fn cli() -> Command {
    let file = || Arg::new("file").required(true).help("CSV file");
    let base = Arg::new("base").long("base").help(
        "CSV file as it was read before editing; with it, rows that others changed are conflicts [default: the table in force]",
    );
    let summary =
        Arg::new("summary").long("summary").default_value("").help("One line for the history");
    let wait = Arg::new("wait")
        .long("wait")
        .help("Time to wait until the edit is in force on all nodes, such as 20s");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show the difference and change nothing");
    let set = Arg::new("set")
        .required(true)
        .num_args(1..)
        .help("New cells, such as weight=3; an empty value inherits");
    let online = |name: &'static str| Command::new(name).arg(cli::operator_url());
    Command::new("table")
        .about("Read, check and edit the table")
        .subcommand_required(true)
        .subcommand(online("get").about("Print the table in force as CSV"))
        .subcommand(Command::new("check").about("Check a CSV file").arg(file()))
        .subcommand(online("apply").about("Put a CSV file into force").args([
            file(),
            base,
            summary.clone(),
            wait.clone(),
            dry_run,
        ]))
        .subcommand(
            online("edit")
                .about("Change cells of one row")
                .arg(Arg::new("kind").required(true).value_parser(["class", "adapter"]))
                .arg(Arg::new("name").required(true).help("Name of the row"))
                .args([set, summary, wait]),
        )
        .subcommand(online("history").about("List recent edits"))
        .subcommand(online("status").about("Show on how many nodes the table is in force"))
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (name, matches) = matches.subcommand().expect("the parser requires a subcommand");
    match name {
        "get" => get(matches).await,
        "check" => check(matches),
        "apply" => apply(matches).await,
        "edit" => edit(matches).await,
        "history" => history(matches).await,
        "status" => status(matches).await,
        name => unreachable!("the parser accepts no subcommand `{name}`"),
    }
}

async fn get(matches: &ArgMatches) -> Result<ExitCode> {
    let body = cli::client(matches).table().await?;
    match cli::format(matches) {
        Format::Json => output::write_json(&mut io::stdout(), &body)?,
        Format::Human => print!("{}", body.csv),
    }
    Ok(ExitCode::SUCCESS)
}

fn check(matches: &ArgMatches) -> Result<ExitCode> {
    match table::check(&read_file(matches, "file")?) {
        Ok(table) => {
            println!("valid: {} rows", table.rows().count());
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => Ok(report_rows(&errors)),
    }
}

fn report_rows(errors: &[RowError]) -> ExitCode {
    for error in errors {
        eprintln!("error: {error}");
    }
    ExitCode::from(cli::EXIT_USAGE)
}

async fn apply(matches: &ArgMatches) -> Result<ExitCode> {
    let client = cli::client(matches);
    let new = match table::check(&read_file(matches, "file")?) {
        Ok(table) => table,
        Err(errors) => return Ok(report_rows(&errors)),
    };
    let base = match matches.contains_id("base") {
        true => match table::check(&read_file(matches, "base")?) {
            Ok(base) => base,
            Err(errors) => return Ok(report_rows(&errors)),
        },
        false => in_force(&client).await?,
    };
    let edit = table::plan(&base, &new, edit_id(), cli::text(matches, "summary").to_owned());
    if cli::format(matches) == Format::Human {
        table::write_changes(&mut io::stdout(), &edit.changes)?;
    }
    if matches.get_flag("dry-run") {
        return Ok(ExitCode::SUCCESS);
    }
    submit(matches, &client, &edit).await
}

/// Table in force; an empty one if there is none yet.
async fn in_force(client: &OperatorClient) -> Result<Table> {
    let body = client.table().await?;
    match body.version {
        0 => Ok(Table::default()),
        version => Table::from_csv(version, &body.csv)
            .map_err(|_| anyhow!("the table of the node is invalid; is its version the same?")),
    }
}

async fn edit(matches: &ArgMatches) -> Result<ExitCode> {
    let client = cli::client(matches);
    let sets = matches.get_many::<String>("set").expect("the argument is required");
    let sets: Vec<&str> = sets.map(String::as_str).collect();
    let base = in_force(&client).await?;
    let change =
        table::change_cells(&base, cli::text(matches, "kind"), cli::text(matches, "name"), &sets)?;
    let edit = EditBody {
        id: edit_id(),
        summary: cli::text(matches, "summary").to_owned(),
        changes: vec![change],
    };
    if cli::format(matches) == Format::Human {
        table::write_changes(&mut io::stdout(), &edit.changes)?;
    }
    submit(matches, &client, &edit).await
}

/// What an accepted edit gave.
#[derive(Serialize)]
struct Applied {
    version: u64,
    changes: usize,
    in_force: InForce,
}

async fn submit(
    matches: &ArgMatches,
    client: &OperatorClient,
    edit: &EditBody,
) -> Result<ExitCode> {
    if edit.changes.is_empty() {
        println!("nothing to change");
        return Ok(ExitCode::SUCCESS);
    }
    let wait = matches.get_one::<String>("wait");
    let wait = wait.map(|text| humantime::parse_duration(text)).transpose().context("--wait")?;
    let version = match table::apply(client, edit).await {
        Ok(accepted) => accepted.version,
        Err(ClientError::Refused(refused)) => {
            eprintln!("error: the edit was refused: {refused}");
            let conflict = !refused.conflicts.is_empty();
            return Ok(ExitCode::from(match refused.code.as_str() {
                _ if conflict => cli::EXIT_CONFLICT,
                "invalid_table" => cli::EXIT_USAGE,
                _ => cli::EXIT_FAILED,
            }));
        }
        Err(e) => return Err(e.into()),
    };
    let limit = wait.unwrap_or(Duration::ZERO);
    let in_force = table::wait_in_force(client, version, limit).await?;
    let applied = Applied { version, changes: edit.changes.len(), in_force };
    cli::print(matches, &applied, &["VERSION", "CHANGED ROWS", "IN FORCE ON"], || {
        let nodes = format!("{} of {} nodes", in_force.nodes, in_force.of);
        vec![vec![version.to_string(), applied.changes.to_string(), nodes]]
    })?;
    match wait {
        Some(_) if !in_force.everywhere() => Ok(ExitCode::from(cli::EXIT_TIMEOUT)),
        _ => Ok(ExitCode::SUCCESS),
    }
}

async fn history(matches: &ArgMatches) -> Result<ExitCode> {
    let edits = cli::client(matches).history().await?;
    cli::print(matches, &edits, &["VERSION", "ID", "SUMMARY"], || {
        let rows = edits.iter();
        rows.map(|edit| vec![edit.version.to_string(), edit.id.clone(), edit.summary.clone()])
            .collect()
    })?;
    Ok(ExitCode::SUCCESS)
}

async fn status(matches: &ArgMatches) -> Result<ExitCode> {
    let client = cli::client(matches);
    let version = client.table().await?.version;
    let in_force = table::in_force(&client, version).await?;
    cli::print(matches, &in_force, &["VERSION", "IN FORCE ON"], || {
        vec![vec![version.to_string(), format!("{} of {} nodes", in_force.nodes, in_force.of)]]
    })?;
    Ok(ExitCode::SUCCESS)
}

fn read_file(matches: &ArgMatches, name: &str) -> Result<String> {
    let path = cli::text(matches, name);
    fs::read_to_string(path).with_context(|| format!("cannot read {path}"))
}

fn edit_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
