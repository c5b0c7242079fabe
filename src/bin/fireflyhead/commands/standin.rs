//! `fireflyhead standin`: one stand-in, to be used by hand.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead_standin::engine;
use fireflyhead_standin::engine::EngineConfig;
use fireflyhead_standin::hosts;
use fireflyhead_standin::kv;
use fireflyhead_standin::kv::KvConfig;
use fireflyhead_standin::service;
use fireflyhead_standin::service::ServiceConfig;
use fireflyhead_standin::weights;
use fireflyhead_standin::weights::WeightsConfig;

use crate::cli;

pub(crate) fn cli() -> Command {
    let port = Arg::new("port")
        .long("port")
        .value_parser(value_parser!(u16))
        .default_value("0")
        .help("Port on 127.0.0.1; 0 picks a free one");
    let name =
        |default| Arg::new("name").long("name").default_value(default).help("Name of the instance");
    let command =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(port.clone());
    Command::new("standin")
        .about("Run a stand-in for an outside system until interrupted")
        .after_help("POST /faults changes the fault switches that GET /faults shows; GET /counters shows the counters.")
        .subcommand_required(true)
        .subcommand(command("kv", "Key-value service"))
        .subcommand(command("hosts", "Host list; add hosts with POST /hosts"))
        .subcommand(
            command("weights", "Weight store").arg(
                Arg::new("rate")
                    .long("rate")
                    .value_parser(value_parser!(f64))
                    .default_value("4")
                    .help("Loads per second"),
            ),
        )
        .subcommand(command("service", "Plain service").arg(name("service-1")))
        .subcommand(
            command("engine", "Model engine")
                .arg(name("worker-1"))
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .value_parser(value_parser!(usize))
                        .default_value("8")
                        .help("Adapter slots"),
                )
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address of the weight store; without one a load takes 0.25 s"),
                ),
        )
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).expect("the argument has a default").clone()
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (kind, matches) = matches.subcommand().expect("the parser requires a stand-in");
    let port: u16 = value(matches, "port");
    match kind {
        "kv" => {
            let kv = kv::start(KvConfig { port, ..KvConfig::default() }).await;
            serve(kv.context("cannot start the key-value service")?, |kv| kv.address()).await
        }
        "hosts" => {
            let list = hosts::start(port, Vec::new()).await;
            serve(list.context("cannot start the host list")?, |list| list.address()).await
        }
        "weights" => {
            let loads_per_second = value(matches, "rate");
            let cfg = WeightsConfig { port, loads_per_second, ..WeightsConfig::default() };
            let store = weights::start(cfg).await.context("cannot start the weight store")?;
            serve(store, |store| store.address()).await
        }
        "service" => {
            let name = cli::text(matches, "name").to_owned();
            let service = service::start(ServiceConfig { port, name, ..ServiceConfig::default() });
            serve(service.await.context("cannot start the service")?, |s| s.address()).await
        }
        "engine" => {
            let name = cli::text(matches, "name").to_owned();
            let slots = value(matches, "slots");
            let weights = matches.get_one::<SocketAddr>("weights").copied();
            let cfg = EngineConfig { port, name, slots, weights, ..EngineConfig::default() };
            let engine = engine::start(cfg).await.context("cannot start the engine")?;
            serve(engine, |engine| engine.address()).await
        }
        kind => unreachable!("the parser accepts no stand-in `{kind}`"),
    }
}

/// Keeps the stand-in until the process is interrupted.
async fn serve<T>(standin: T, address: impl Fn(&T) -> SocketAddr) -> Result<ExitCode> {
    println!("listening on http://{}", address(&standin));
    tokio::signal::ctrl_c().await.context("cannot wait for the interrupt")?;
    drop(standin);
    Ok(ExitCode::SUCCESS)
}
