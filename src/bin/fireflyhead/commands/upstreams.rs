//! `fireflyhead upstreams`: all upstreams with owner and load.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;
use fireflyhead_node::operators::api::UpstreamEntry;

use crate::cli;

const HEADER: [&str; 7] = ["UPSTREAM", "SERVICE", "ZONE", "STATE", "OWNER", "RUNNING", "QUEUED"];

pub(crate) fn cli() -> Command {
    Command::new("upstreams").about("List the upstreams").arg(cli::operator_url())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let upstreams = cli::client(matches).upstreams().await?;
    cli::print(matches, &upstreams, &HEADER, || upstreams.iter().map(row).collect())?;
    Ok(ExitCode::SUCCESS)
}

fn row(upstream: &UpstreamEntry) -> Vec<String> {
    vec![
        upstream.name.clone(),
        upstream.service.clone(),
        upstream.zone.clone(),
        if upstream.leaving { "leaving" } else { "live" }.to_owned(),
        upstream.owner.clone().unwrap_or("-".to_owned()),
        upstream.in_flight.to_string(),
        upstream.queued.to_string(),
    ]
}
