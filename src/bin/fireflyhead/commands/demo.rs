//! `fireflyhead demo`: runs a small deployment in this process under a few seconds of load.

use std::process::ExitCode;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead::ops::demo;
use fireflyhead::ops::demo::deployments;
use fireflyhead::ops::demo::deployments::Deployment;
use fireflyhead::ops::output::Format;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("demo")
        .about(
            "Run three nodes and simulated upstreams in this process under load of all priorities",
        )
        .arg(
            Arg::new("deployment")
                .value_parser(deployments::NAMES)
                .default_value(deployments::NAMES[0])
                .help("Deployment to run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the random load"),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let name = cli::text_arg(matches, "deployment");
    let deployment = Deployment::from_name(name).expect("the parser accepts only known names");
    let seed: u64 = *matches.get_one("seed").expect("the argument has a default");
    let report = demo::run(&deployment, seed).await?;
    let header = ["CLASS", "SENT", "ANSWERED", "NOT RUN", "UNKNOWN", "P50 MS", "P95 MS"];
    cli::print(matches, &report, &header, || {
        let row = |class: &demo::ClassReport| {
            let counts = [class.sent, class.answered, class.not_run, class.unknown];
            let latencies = [class.p50_ms, class.p95_ms];
            let mut row = vec![class.class.to_owned()];
            row.extend(counts.iter().map(ToString::to_string));
            row.extend(latencies.iter().map(ToString::to_string));
            row
        };
        report.classes.iter().map(row).collect()
    })?;
    if cli::output_format(matches) == Format::Human {
        println!(
            "{}: {:.1} s, {} duplicate runs, {} false rejections, {} wrong responses, {} overfull engines",
            report.deployment,
            report.seconds,
            report.duplicates,
            report.untrue,
            report.wrong,
            report.overfull
        );
    }
    Ok(if report.passed() { ExitCode::SUCCESS } else { ExitCode::from(cli::EXIT_FAILED) })
}
