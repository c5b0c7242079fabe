//! `fireflyhead standin`: runs one stand-in, a simulated store or upstream, for manual tests.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use fireflyhead_platform_standin::store::Store;
use fireflyhead_platform_standin::upstream::EngineConfig;
use fireflyhead_platform_standin::upstream::Upstream;
use fireflyhead_platform_standin::upstream::UpstreamConfig;

use crate::cli;

pub(crate) fn cli() -> Command {
    let port = Arg::new("port")
        .long("port")
        .value_parser(value_parser!(u16))
        .default_value("0")
        .help("Port on 127.0.0.1; 0 selects a free port");
    let upstream = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).args([
            port.clone(),
            cli::store_arg(),
            Arg::new("id").long("id").required(true).help("Id of the upstream"),
            Arg::new("service")
                .long("service")
                .required(true)
                .help("Service that the upstream belongs to"),
        ])
    };
    Command::new("standin")
        .about("Run a stand-in for an external system until interrupted")
        .subcommand_required(true)
        .subcommand(
            Command::new("store")
                .about("Store that also accepts writes from operators and upstreams")
                .arg(port.clone()),
        )
        .subcommand(upstream(
            "service",
            "Upstream of a plain service (without models) that registers itself in the store",
        ))
        .subcommand(
            upstream("engine", "Model engine that registers itself in the store").arg(
                Arg::new("adapter-slots")
                    .long("adapter-slots")
                    .value_parser(value_parser!(usize))
                    .default_value("8")
                    .help("Number of adapters that the engine holds at once"),
            ),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let (kind, matches) = matches.subcommand().expect("the parser requires a stand-in");
    let port: u16 = *matches.get_one("port").expect("the argument has a default");
    match kind {
        "store" => {
            let store = Store::start(port).await.context("cannot start the store")?;
            store.allow_all_writers();
            wait_for_interrupt(store.address()).await
        }
        kind => {
            let engine = (kind == "engine").then(|| EngineConfig {
                adapter_slots: *matches
                    .get_one("adapter-slots")
                    .expect("the argument has a default"),
                ..EngineConfig::default()
            });
            let cfg = UpstreamConfig {
                id: cli::text_arg(matches, "id").to_owned(),
                service: cli::text_arg(matches, "service").to_owned(),
                port,
                slots: if engine.is_some() { 64 } else { 6 },
                engine,
                ..UpstreamConfig::default()
            };
            let upstream = Upstream::start(cfg).await.context("cannot start the upstream")?;
            let store: &SocketAddr = matches.get_one("store").expect("the argument has a default");
            upstream.register(*store).await.context("cannot register the upstream in the store")?;
            wait_for_interrupt(upstream.address()).await
        }
    }
}

/// Prints the listening address and waits until the process is interrupted.
async fn wait_for_interrupt(address: SocketAddr) -> Result<ExitCode> {
    println!("listening on {address}");
    tokio::signal::ctrl_c().await.context("cannot wait for the interrupt signal")?;
    Ok(ExitCode::SUCCESS)
}
