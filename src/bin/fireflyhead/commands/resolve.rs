//! `fireflyhead resolve`: addresses that a caller may use.

use std::process::ExitCode;

use anyhow::Result;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::call;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("resolve").about("Show the addresses that callers get").arg(cli::caller_url())
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let resolved = call::resolve(cli::text(matches, "url")).await?;
    cli::print(matches, &resolved, &["URL", "ZONE", "PLACEMENT"], || {
        let row = |address: &call::Address| {
            vec![address.url.clone(), address.zone.clone(), address.placement.clone()]
        };
        resolved.addresses.iter().map(row).collect()
    })?;
    Ok(ExitCode::SUCCESS)
}
