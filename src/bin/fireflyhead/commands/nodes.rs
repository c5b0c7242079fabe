//! `fireflyhead nodes`: all nodes and the table versions in force there.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("nodes").about("List the nodes").arg(cli::operator_url())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let nodes = cli::client(matches).nodes().await?;
    cli::print(matches, &nodes, &["NODE", "ZONE", "STATE", "CALLERS", "TABLE"], || {
        let row = |node: &fireflyhead_node::operators::api::NodeEntry| {
            let version = node.table_version.map_or("-".to_owned(), |version| version.to_string());
            vec![
                node.id.clone(),
                node.zone.clone(),
                node.state.clone(),
                node.caller_address.clone(),
                version,
            ]
        };
        nodes.iter().map(row).collect()
    })?;
    Ok(ExitCode::SUCCESS)
}
