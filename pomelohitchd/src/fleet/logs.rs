//! Log output that is bounded and doesn't block.

use std::io::{BufWriter, Write};
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::{Subscriber, warn};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::util::SubscriberInitExt;

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
pub const MAX_BUFFERED_LINES: usize = 8_192;
/// Size of the write buffer in bytes. Waiting lines are written together, which saves a system call
/// for each.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;
/// Minimum interval between two lines that report dropped ones.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Handle to the log output; when dropped, it writes the waiting lines and ends the output.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
    /// Number of dropped lines that were reported.
    reported: usize,
    reported_at: Option<Steady>,
}

impl Logs {
    /// Number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Logs and counts the lines that were dropped since the last report, if there are any, at most
    /// once per [`REPORT_INTERVAL`].
    pub fn report_dropped(&mut self, now: Steady) {
        let total = self.dropped();
        let is_due = |at: Steady| now >= at + REPORT_INTERVAL;
        if total <= self.reported || !self.reported_at.is_none_or(is_due) {
            return;
        }
        let lines = total - self.reported;
        self.reported = total;
        self.reported_at = Some(now);
        metrics::counter!("log_lines_dropped").increment(lines as u64);
        // The output may drop this line too. It is counted then, so that another report follows,
        // whose total includes all lines.
        warn!(lines, total, "log lines dropped");
    }
}

/// Starts writing log lines to standard output, one JSON object each.
///
/// The environment variable `POMELOHITCH_LOG_LEVEL` selects the lines, as `tracing` directives; the
/// default is `info`.
#[must_use]
pub fn start() -> Logs {
    let (logs, subscriber) = to(std::io::stdout());
    subscriber.init();
    logs
}

/// A subscriber that writes log lines to `target` on a thread of its own, and the handle to this
/// output.
#[must_use]
pub fn to(target: impl Write + Send + 'static) -> (Logs, impl Subscriber + Send + Sync) {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(BufWriter::with_capacity(WRITE_BUFFER_BYTES, target));
    let dropped = writer.error_counter();
    let level = std::env::var("POMELOHITCH_LOG_LEVEL").unwrap_or_else(|_| "info".to_owned());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_writer(writer)
        .finish();
    let logs = Logs {
        _guard: guard,
        dropped,
        reported: 0,
        reported_at: None,
    };
    (logs, subscriber)
}
