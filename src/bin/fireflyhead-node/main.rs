//! Daemon that runs one node of the serving layer; flags and environment variables set it up.
//!
//! Exit status: 0 after a stop by SIGTERM or SIGINT that interrupted no request, 1 if the node
//! can't start or the stop interrupted requests, 2 if a flag or setting is invalid.

use std::process::ExitCode;
use std::sync::Arc;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use fireflyhead_gateway::logs::Logs;
use fireflyhead_gateway::node::Node;
use fireflyhead_gateway::node::StopReport;
use fireflyhead_gateway::settings::GatewaySettings;
use fireflyhead_platform::Platform;
use fireflyhead_schema::settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit status if a setting is invalid.
const EXIT_SETTINGS: u8 = 2;

fn cli() -> Command {
    Command::new("fireflyhead-node")
        .about("Run one node, which forwards requests and orders engines to load adapters")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings, print them and exit"),
        )
        .args(settings::args())
}

fn main() -> ExitCode {
    let matches = cli().get_matches();
    let node_settings = match settings::from_matches(&matches) {
        Ok(node_settings) => node_settings,
        Err(errors) => {
            for error in errors {
                eprintln!("fireflyhead-node: {error}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        for (name, value) in node_settings.format_values() {
            println!("{name} = {value}");
        }
        return ExitCode::SUCCESS;
    }
    let logs = Logs::init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("fireflyhead-node: cannot start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_until_stopped(node_settings.into())) {
        Ok(report) => {
            let dropped_lines = logs.error_counter().dropped_lines();
            tracing::info!(
                event = "stopped",
                interrupted = report.interrupted_requests,
                open_connections = report.open_connections,
                dropped_lines
            );
            if report.interrupted_requests == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("fireflyhead-node: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
/// Returns an error if the signal handlers can't be installed or the node can't start.
async fn run_until_stopped(settings: GatewaySettings) -> anyhow::Result<StopReport> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings, Arc::new(Platform)).await?;
    tracing::info!(event = "started", node = %node.settings().node, callers = %node.settings().caller);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = "stopping");
    Ok(node.stop().await)
}
