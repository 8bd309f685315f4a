//! Log lines, bounded and without blocking.

use std::io::BufWriter;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait to be written; more are dropped and counted rather than waited for.
const BUFFERED_LINES: usize = 8_192;
/// Lines that wait are written together up to so many bytes, which saves a call of the system for
/// each line.
const WRITTEN_AT_ONCE: usize = 4 * 1024;

/// Ends the writing of lines when dropped, after what waits was written.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts writing lines to standard output, one JSON object each.
///
/// Which lines are written follows the environment variable `POMELOHITCH_LOG_LEVEL`, as `tracing`
/// directives; `info` without it.
#[must_use]
pub fn start() -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(BufWriter::with_capacity(WRITTEN_AT_ONCE, std::io::stdout()));
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
