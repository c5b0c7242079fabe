//! `fireflyhead explain`: shows what a node would do with a request, and why.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use anyhow::Result;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use fireflyhead::ops::explain;
use fireflyhead::ops::explain::ExplainError;
use fireflyhead::ops::explain::Flags;
use fireflyhead::ops::output;
use fireflyhead::ops::output::Format;
use fireflyhead_gateway::explain::CandidateRow;
use fireflyhead_gateway::explain::DecisionReport;
use fireflyhead_gateway::explain::ExplainReport;

use crate::cli;

pub(crate) fn cli() -> Command {
    // Required flags are checked by the operation, so that an error is one line.
    let flag = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("explain")
        .about("Show what a node would do with a request now, without sending one")
        .args([
            flag("node", "ADDR", "Metrics address of the node"),
            flag("route", "NAME", "Route of the request"),
            flag("model", "BASE[/ADAPTER]", "Base model and adapter"),
            flag("tokens", "PROMPT,OUTPUT", "Tokens of the prompt and of the output"),
            flag("prefix", "ID,...", "Parts of the prompt that other requests share"),
            flag("account", "NAME", "Client account"),
        ])
}

pub(crate) async fn exec(matches: &ArgMatches) -> Result<ExitCode> {
    let text = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    let flags = Flags {
        node: text("node"),
        route: text("route"),
        model: text("model"),
        tokens: text("tokens"),
        prefix: text("prefix"),
        account: text("account"),
    };
    let (address, query) = match explain::parse(flags) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("error: {error}");
            return Ok(ExitCode::from(cli::EXIT_USAGE));
        }
    };
    let report = match explain::fetch(address, &query).await {
        Ok(report) => report,
        Err(error @ (ExplainError::Absent(..) | ExplainError::NotExplained(..))) => {
            eprintln!("error: {error}");
            return Ok(ExitCode::from(cli::EXIT_FAILED));
        }
        Err(error @ ExplainError::InvalidFlag(_)) => return Err(error.into()),
    };
    let mut out = io::stdout().lock();
    match cli::output_format(matches) {
        Format::Json => output::write_json(&mut out, &report)?,
        Format::Human => write_report(&mut out, &report)?,
    }
    out.flush()?;
    match report.state == "starting" {
        true => Ok(ExitCode::from(cli::EXIT_FAILED)),
        false => Ok(ExitCode::SUCCESS),
    }
}

fn write_report(out: &mut impl Write, report: &ExplainReport) -> io::Result<()> {
    let ExplainReport { node, state, config_state, .. } = report;
    let Some(version) = report.config_version else {
        return writeln!(out, "node      {node} is {state}: it has no configuration yet");
    };
    writeln!(out, "node      {node}, {state}, configuration {version} ({config_state})")?;
    if let Some(route) = &report.route {
        writeln!(
            out,
            "route     {}, service {}, priority {}, objective {} ms, timeout {} ms",
            route.name, route.service, route.priority, route.objective_ms, route.timeout_ms
        )?;
    }
    if let Some(account) = &report.account {
        write!(out, "account   {}", account.name)?;
        match (account.cost, account.rate, account.burst) {
            (Some(cost), Some(rate), Some(burst)) => {
                write!(out, ", costs {cost}, quota {rate}/s, burst {burst}")?;
            }
            _ => write!(out, ", no quota")?,
        }
        match account.remaining {
            Some(remaining) => writeln!(out, ", {remaining} left here")?,
            None => writeln!(out)?,
        }
    }
    if let Some(version) = report.newest_version {
        writeln!(out, "adapter   newest version {version}")?;
    }
    writeln!(out, "waiting   {} requests", report.waiting)?;
    let header =
        ["UPSTREAM", "ZONE", "MS", "RUNNING", "BACKLOG", "LATE", "HOLDER", "AGE", "EXCLUDED"];
    let rows: Vec<Vec<String>> = report.candidates.iter().map(row).collect();
    output::write_columns(out, &header, &rows)?;
    writeln!(out, "decision  {}", describe(&report.decision))
}

fn row(row: &CandidateRow) -> Vec<String> {
    let age = row.holder_age_ms.or(row.report_age_ms);
    vec![
        row.upstream.clone(),
        row.zone.clone(),
        row.expected_ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.1}")),
        format!("{}/{}", row.in_flight, row.slots),
        row.backlog_tokens.to_string(),
        format!("{:.2}", row.late_share),
        row.holder.clone().unwrap_or_else(|| "-".to_owned()),
        age.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms")),
        row.excluded.clone().unwrap_or_default(),
    ]
}

fn describe(decision: &DecisionReport) -> String {
    let upstream = decision.upstream.as_deref().unwrap_or("no upstream");
    let reason = decision.reason.as_deref().unwrap_or_default();
    match decision.action.as_str() {
        "send" => match decision.version {
            Some(version) => format!("send to {upstream}, adapter version {version}"),
            None => format!("send to {upstream}"),
        },
        "ask_holder" => format!("ask the holder of {upstream} to admit it"),
        "wait" => match &decision.upstream {
            Some(upstream) => format!("wait: {reason} at {upstream}"),
            None => format!("wait: {reason}"),
        },
        _ => {
            let status = decision.status.map_or_else(String::new, |status| status.to_string());
            let retry_after = decision
                .retry_after_ms
                .map_or_else(String::new, |ms| format!(", Retry-After {:.2}", ms as f64 / 1_000.0));
            format!("refuse with {status}: {reason}{retry_after}")
        }
    }
}
