//! `fireflyhead call`: one request as a caller sends it.

use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::call;
use fireflyhead::ops::call::CallRequest;
use reqwest::Method;

use crate::cli;

pub(crate) fn cli() -> Command {
    Command::new("call")
        .about("Resolve an address and send one request to it")
        .arg(cli::caller_url())
        .arg(Arg::new("method").required(true).help("HTTP method"))
        .arg(Arg::new("path").required(true).help("Path, such as /v1/completions"))
        .arg(Arg::new("body").default_value("").help("Body"))
        .arg(
            Arg::new("suffix")
                .long("suffix")
                .help("Unique suffix of the request id [default: random]"),
        )
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let method = cli::text(matches, "method").to_ascii_uppercase();
    let suffix = matches.get_one::<String>("suffix").cloned();
    let request = CallRequest {
        method: Method::from_bytes(method.as_bytes()).context("invalid HTTP method")?,
        path: cli::text(matches, "path").to_owned(),
        body: cli::text(matches, "body").to_owned(),
        suffix: suffix.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
    };
    let answer = call::send(cli::text(matches, "url"), &request).await?;
    cli::print(matches, &answer, &["REQUEST", "STATUS", "BODY"], || {
        vec![vec![answer.request_id.clone(), answer.status.to_string(), answer.body.clone()]]
    })?;
    let success = (200..300).contains(&answer.status);
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::from(cli::EXIT_FAILED) })
}
