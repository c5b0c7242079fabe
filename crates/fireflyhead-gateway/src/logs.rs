//! Logging as JSON lines to standard output.
//!
//! A background thread writes the lines. When its queue is full, lines are dropped and counted, so
//! that a slow reader of the log never blocks a request.

use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Capacity of the writer's queue, in lines; about 1 MB at 300 bytes per line.
const MAX_QUEUED_LINES: usize = 4_096;

/// Log writer of the process. Dropping it flushes the queued lines.
pub struct Logs {
    error_counter: ErrorCounter,
    _guard: WorkerGuard,
}

impl Logs {
    /// Starts the writer and installs it as the global subscriber.
    pub fn init() -> Logs {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .finish(std::io::stdout());
        let error_counter = writer.error_counter();
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_env_filter(filter)
            .with_writer(writer)
            .finish();
        if tracing::subscriber::set_global_default(subscriber).is_err() {
            eprintln!("a global log subscriber is already installed");
        }
        Logs { error_counter, _guard: guard }
    }

    /// Returns the counter of dropped lines.
    pub fn error_counter(&self) -> ErrorCounter {
        self.error_counter.clone()
    }
}
