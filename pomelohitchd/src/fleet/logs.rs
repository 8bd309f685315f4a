//! Log output that is bounded and doesn't block.

use std::io::BufWriter;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 8_192;
/// Size of the write buffer in bytes. Waiting lines are written together, which saves a system call
/// for each.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;

/// Handle to the log output; when dropped, it writes the waiting lines and ends the output.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts writing log lines to standard output, one JSON object each.
///
/// The environment variable `POMELOHITCH_LOG_LEVEL` selects the lines, as `tracing` directives; the
/// default is `info`.
#[must_use]
pub fn start() -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(BufWriter::with_capacity(
            WRITE_BUFFER_BYTES,
            std::io::stdout(),
        ));
    let dropped = writer.error_counter();
    let level = std::env::var("POMELOHITCH_LOG_LEVEL").unwrap_or_else(|_| "info".to_owned());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_writer(writer)
        .init();
    Logs {
        _guard: guard,
        dropped,
    }
}
