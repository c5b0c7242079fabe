//! Daemon of one node.
//!
//! Exit status: 0 after a planned stop without interrupted requests, 1 if the node
//! can't start, requests were interrupted or the other nodes declared it dead, 2 if settings are invalid.

use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use fireflyhead_node::node::Node;
use fireflyhead_node::node::StopReport;
use fireflyhead_node::telemetry;
use fireflyhead_schema::NodeSettings;
use fireflyhead_schema::settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit status for invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn cli() -> Command {
    Command::new("fireflyhead-node")
        .about("Serves callers and dispatches to upstreams as one node of the serving layer")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print them and exit"),
        )
        .args(settings::args())
}

fn main() -> ExitCode {
    let matches = cli().get_matches();
    let settings = match read(&matches) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("fireflyhead-node: {error}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        for (name, value) in settings.show() {
            println!("{name} = {value}");
        }
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(report) if report.interrupted == 0 && !report.declared_dead => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("fireflyhead-node: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Settings of the command line and the environment, or every error in them.
fn read(matches: &clap::ArgMatches) -> Result<NodeSettings, Vec<String>> {
    let (settings, mut errors) = match settings::from_matches(matches) {
        Ok(settings) => (Some(settings), Vec::new()),
        Err(errors) => (None, errors.iter().map(ToString::to_string).collect()),
    };
    let key_missing = match &settings {
        Some(settings) => settings.peer_key.expose().is_empty(),
        None => std::env::var("FIREFLYHEAD_PEER_KEY").unwrap_or_default().is_empty(),
    };
    if key_missing {
        // Without a key everybody could speak for a node.
        errors.push("setting `peer-key` is missing: set FIREFLYHEAD_PEER_KEY".to_owned());
    }
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

fn run(settings: NodeSettings) -> anyhow::Result<StopReport> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let telemetry = telemetry::init(&settings)?;
    let report = runtime.block_on(serve(settings));
    telemetry.shutdown();
    report
}

async fn serve(settings: NodeSettings) -> anyhow::Result<StopReport> {
    let mut signals = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let node = Node::start(settings).await?;
    let addresses = node.addresses();
    tracing::info!(
        caller = %addresses.caller,
        operator = %addresses.operator,
        peer = %addresses.peer,
        "the node is running"
    );
    tokio::select! {
        () = any(&mut signals) => {}
        () = node.drain_requested() => {}
    }
    let report = tokio::select! {
        report = node.shutdown() => report,
        () = any(&mut signals) => {
            tracing::warn!("stopping at once after a second signal");
            node.kill()
        }
    };
    tracing::info!(
        interrupted = report.interrupted,
        accepted = report.counts.accepted,
        answered = report.counts.answered,
        not_run = report.counts.not_run,
        outcome_unknown = report.counts.outcome_unknown,
        "the node has stopped"
    );
    Ok(report)
}

async fn any((terminate, interrupt): &mut (Signal, Signal)) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
