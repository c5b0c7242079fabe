//! JSON lines on standard output.
//!
//! A background thread writes; when its queue is full, lines are dropped and counted, so a
//! slow reader never blocks a request.

use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Lines that wait for the writer; at some 300 bytes a line about 1 MB.
const QUEUED_LINES: usize = 4_096;

/// Writer of the log; lines are flushed when it is dropped.
pub struct Logs {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl Logs {
    /// Starts the writer and installs it for the process.
    pub fn init() -> Logs {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
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
            eprintln!("a log writer is installed already");
        }
        Logs { dropped, _guard: guard }
    }

    /// Counter of dropped lines.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}
