//! Load and experiment tool of the serving layer.

use std::process::ExitCode;

fn main() -> anyhow::Result<ExitCode> {
    fireflyhead_measure::commands::exec()
}
