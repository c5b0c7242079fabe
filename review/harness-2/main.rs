//! Stand-ins and checks of the cases of `REPORT-2.md` that are scripts. Run from the repository's
//! root as `harness CASE FOLDER`; `TROUBLE=0` leaves out the disruption. Exit status: 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run.

mod config_cut;
mod deployment;
mod http;
mod json;
mod large_answer;
mod last_streams;
mod link;
mod slow_client;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let record = deployment::Record::create(&folder.join("record.txt"));
    let verdict = match case.as_str() {
        "config-cut" => config_cut::run(&record, &temporary, trouble),
        "large-answer" => large_answer::run(&record, &temporary, trouble),
        "slow-client" => slow_client::run(&record, &temporary, trouble),
        "last-streams" => last_streams::run(&record, &temporary, trouble),
        case => Verdict::NotRun(format!("there is no case {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match verdict {
        Verdict::Held => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.line("the rule was broken");
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.line(&format!("not run: {reason}"));
            println!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
