//! Command-line client for operators of the serving layer.

use std::process::ExitCode;

mod cli;
mod commands;

fn main() -> ExitCode {
    let matches = cli::cli().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("error: cannot start the runtime: {e}");
            return ExitCode::from(cli::EXIT_FAILED);
        }
    };
    match runtime.block_on(commands::exec(&matches)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(cli::EXIT_FAILED)
        }
    }
}
