//! `fireflyhead status`: state of one node.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;
use fireflyhead_node::operators::api::StatusBody;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("status").about("Show the state of one node").arg(cli::operator_url())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let status = cli::client(matches).status().await?;
    cli::print(matches, &status, &["FIELD", "VALUE"], || rows(&status))?;
    Ok(ExitCode::SUCCESS)
}

fn rows(status: &StatusBody) -> Vec<Vec<String>> {
    let fields = [
        ("node", format!("{} (incarnation {})", status.id, status.incarnation)),
        ("zone", status.zone.clone()),
        ("ready", status.ready.to_string()),
        ("draining", status.draining.to_string()),
        ("key-value service reachable", status.store_reachable.to_string()),
        ("table version", status.table_version.to_string()),
        ("owned upstreams", status.owned_upstreams.to_string()),
        ("accepted", status.accepted.to_string()),
        ("answered", status.answered.to_string()),
        ("not run", status.not_run.to_string()),
        ("outcome unknown", status.outcome_unknown.to_string()),
        ("in flight", status.in_flight.to_string()),
    ];
    fields.map(|(name, value)| vec![name.to_owned(), value]).to_vec()
}
