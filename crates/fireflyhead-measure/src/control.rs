//! `fireflyhead-measure control`: slopes of the control plane.
//!
//! Each section drives one state machine at growing sizes in one thread and
//! reports processor time, memory and message sizes. A slope is the difference
//! of the largest and the smallest size, divided by the difference of the
//! sizes, so that constant costs drop out. `docs/CAPACITY.md` is worked out from
//! these figures. Memory comes from a counting allocator, times from the
//! monotonic clock.

mod dispatchers;
mod members;
mod once;
mod placements;
mod report;
mod tables;

use std::process::ExitCode;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::control::report::Report;

/// Names of the sections, in the order of the report.
const SECTIONS: [&str; 5] = ["table", "placement", "dispatch", "membership", "once"];

/// Arguments of the command.
pub(crate) fn cli() -> Command {
    Command::new("control")
        .about("Measure the slopes of the control plane")
        .arg(
            Arg::new("section")
                .long("section")
                .value_parser(SECTIONS)
                .help("Measure one section only"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_parser(["human", "json"])
                .default_value("human")
                .help("Format of the report"),
        )
}

/// Runs the sections and prints their figures.
pub(crate) fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let only = matches.get_one::<String>("section");
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    let mut report = Report::default();
    for section in SECTIONS.into_iter().filter(|name| wanted(name)) {
        match section {
            "table" => tables::measure(&mut report),
            "placement" => placements::measure(&mut report),
            "dispatch" => dispatchers::measure(&mut report),
            "membership" => members::measure(&mut report),
            "once" => once::measure(&mut report),
            name => unreachable!("the parser accepts no section `{name}`"),
        }
    }
    match matches.get_one::<String>("report").map(String::as_str) {
        Some("json") => println!("{}", serde_json::to_string_pretty(&report)?),
        _ => report.print(),
    }
    Ok(ExitCode::SUCCESS)
}
