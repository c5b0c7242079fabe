//! `fireflyhead upstreams`: lists the upstreams registered in the store.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;
use fireflyhead_policy::fleet::UpstreamState;
use serde::Serialize;

use crate::cli;

/// Row of the output.
#[derive(Serialize)]
struct Upstream {
    id: String,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: &'static str,
}

pub(crate) fn cli() -> Command {
    Command::new("upstreams")
        .about("List the upstreams registered in the store")
        .arg(cli::store_arg())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let listing = cli::operator_client(matches)?.list().await?;
    let upstreams: Vec<Upstream> = listing
        .upstreams
        .iter()
        .map(|entry| Upstream {
            id: entry.id.to_string(),
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            zone: entry.zone.to_string(),
            slots: entry.slots,
            state: match entry.state {
                UpstreamState::Ready => "ready",
                UpstreamState::Draining => "draining",
            },
        })
        .collect();
    let header = ["ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE"];
    cli::print(matches, &upstreams, &header, || {
        let row = |u: &Upstream| {
            let (id, service) = (u.id.clone(), u.service.clone());
            let (address, zone) = (u.address.clone(), u.zone.clone());
            vec![id, service, address, zone, u.slots.to_string(), u.state.to_owned()]
        };
        upstreams.iter().map(row).collect()
    })?;
    Ok(ExitCode::SUCCESS)
}
