//! Record of a run, and its verdict.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Exit status if the rule was broken.
const EXIT_BROKEN: u8 = 1;
/// Exit status if the case could not run.
const EXIT_NOT_RUN: u8 = 2;

/// Lines of a run with the time of each since its start. Clones share the lines.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }
}

impl Record {
    /// Adds a line for the present moment.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line for the moment `at`.
    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((at.saturating_duration_since(self.start), line.into()));
    }

    /// Writes the lines in the order of their times, and a last line with the verdict.
    ///
    /// # Errors
    /// The file can't be written.
    fn write(&self, path: &Path, verdict: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            // Writing to a string can't fail.
            let _written = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        let _written = writeln!(text, "{verdict}");
        std::fs::write(path, text)
    }
}

/// Writes the record of a run to the file that the first argument names, and returns the exit
/// status: `result` holds the violations of the rule, or the reason why the case could not run.
pub fn finish(record: &Record, result: anyhow::Result<Vec<String>>) -> ExitCode {
    let (verdict, status) = match result {
        Ok(violations) if violations.is_empty() => ("held".to_owned(), 0),
        Ok(violations) => (format!("broken\n{}", violations.join("\n")), EXIT_BROKEN),
        Err(e) => (format!("not run: {e:#}"), EXIT_NOT_RUN),
    };
    println!("{verdict}");
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    if let Err(e) = record.write(Path::new(&path), &verdict) {
        eprintln!("cannot write {path}: {e}");
        return ExitCode::from(EXIT_NOT_RUN);
    }
    ExitCode::from(status)
}

/// Returns whether the run has its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
