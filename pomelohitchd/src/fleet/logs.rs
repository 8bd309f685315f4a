//! Log output that is bounded and doesn't block.

use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::{Level, Metadata, Subscriber, warn};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::writer::OptionalWriter;
use tracing_subscriber::util::SubscriberInitExt;

/// Maximum number of lines that wait to be written; further lines are dropped and counted.
pub const MAX_BUFFERED_LINES: usize = 8_192;
/// Additional room for warnings and errors.
pub const RESERVED_LINES: usize = 1_024;
/// Room for the message that ends the output. Without it, the guard would print an error to an output
/// that may be blocked.
const SHUTDOWN_MESSAGES: usize = 1;
/// Size of the write buffer in bytes. Waiting lines are written together, which saves a system call
/// for each.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;
/// Minimum interval between two lines that report dropped ones.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Handle to the log output; when dropped, it writes the waiting lines and ends the output.
#[derive(Debug)]
pub struct Logs {
    _guard: WorkerGuard,
    counts: Arc<Counts>,
    /// Number of dropped lines that were reported.
    reported: usize,
    reported_at: Option<Steady>,
}

impl Logs {
    /// Number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> usize {
        self.counts.dropped.load(Ordering::Relaxed)
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
    let counts = Arc::<Counts>::default();
    let target = Target {
        inner: BufWriter::with_capacity(WRITE_BUFFER_BYTES, target),
        counts: counts.clone(),
    };
    let (buffer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES + RESERVED_LINES + SHUTDOWN_MESSAGES)
        .finish(target);
    let writer = Admission {
        buffer,
        counts: counts.clone(),
    };
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
        counts,
        reported: 0,
        reported_at: None,
    };
    (logs, subscriber)
}

/// Numbers of lines.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicUsize,
}

impl Counts {
    /// Counts a line of this level as waiting if there is room for it, and else as dropped.
    fn admit(&self, level: Level) -> bool {
        let limit = if level <= Level::WARN {
            MAX_BUFFERED_LINES + RESERVED_LINES
        } else {
            MAX_BUFFERED_LINES
        };
        let next = |waiting| (waiting < limit).then_some(waiting + 1);
        let waiting = &self.waiting;
        let is_admitted = waiting
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok();
        if !is_admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}

/// Passes on the lines for which there is room.
struct Admission {
    buffer: NonBlocking,
    counts: Arc<Counts>,
}

impl<'a> MakeWriter<'a> for Admission {
    type Writer = OptionalWriter<NonBlocking>;

    fn make_writer(&'a self) -> Self::Writer {
        self.admit(Level::INFO)
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Self::Writer {
        self.admit(*meta.level())
    }
}

impl Admission {
    fn admit(&self, level: Level) -> OptionalWriter<NonBlocking> {
        if self.counts.admit(level) {
            OptionalWriter::some(self.buffer.clone())
        } else {
            OptionalWriter::none()
        }
    }
}

/// The output, which takes one line in each call of `write_all`.
struct Target<W: Write> {
    inner: BufWriter<W>,
    counts: Arc<Counts>,
}

impl<W: Write> Write for Target<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.inner.write(buf)
    }

    fn write_all(&mut self, line: &[u8]) -> io::Result<()> {
        self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
        self.inner.write_all(line)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}
