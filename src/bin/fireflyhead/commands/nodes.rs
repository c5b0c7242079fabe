//! `fireflyhead nodes`: lists the nodes that hold a lease in the store.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::cli;

/// Row of the output.
#[derive(Serialize)]
struct Node {
    node: String,
    peer_address: String,
}

pub(crate) fn cli() -> Command {
    Command::new("nodes")
        .about("List the nodes that hold a lease in the store")
        .arg(cli::store_arg())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let listing = cli::operator_client(matches)?.list().await?;
    let nodes: Vec<Node> = listing
        .nodes
        .into_iter()
        .map(|(node, peer_address)| Node { node: node.to_string(), peer_address })
        .collect();
    cli::print(matches, &nodes, &["NODE", "PEER ADDRESS"], || {
        nodes.iter().map(|node| vec![node.node.clone(), node.peer_address.clone()]).collect()
    })?;
    Ok(ExitCode::SUCCESS)
}
