//! Window on the starts in flight.
//!
//! A new leader can find thousands of waiting tasks, and a burst can need more starts than this
//! member's link or processor carries. If all were sent at once, they would queue up until they are
//! void, and the polls that renew leases would queue behind them.
//!
//! The window follows delay-based congestion control (TCP Vegas): it grows while endpoints answer
//! promptly and shrinks while their answers are late.

use std::time::Duration;

use crate::Steady;

/// Initial window, unless the link is slower.
const INITIAL_WINDOW: f64 = 160.0;
/// Smallest window.
const MIN_WINDOW: f64 = 8.0;
/// Largest window.
const MAX_WINDOW: f64 = 4096.0;
/// The window grows while the average answer takes less than this.
const GROW_BELOW: Duration = Duration::from_millis(50);
/// The window shrinks while the average answer takes more than this.
const SHRINK_ABOVE: Duration = Duration::from_millis(100);
/// Factor by which the window shrinks.
const SHRINK_FACTOR: f64 = 0.7;
/// Weight of a new answer in the moving average.
const SAMPLE_WEIGHT: f64 = 0.125;
/// The initial window is at most what the link carries in this time.
const INITIAL_TIME: Duration = Duration::from_millis(50);
/// Size of a start on the link, bytes.
const START_BYTES: f64 = 700.0;
/// The average is reset this long after the newest answer.
const DELAY_VALIDITY: Duration = Duration::from_secs(2);

/// The rate of answers is computed over spans of at least this length.
const RATE_SPAN: Duration = Duration::from_millis(500);
/// Weight of the previous rate in the moving average of the rate.
const RATE_DECAY: f64 = 0.5;
/// Once the window has been full for this long, it is what waiting tasks wait for, not free
/// capacity at endpoints.
const SATURATED_AFTER: Duration = Duration::from_secs(2);

/// Window on the starts in flight.
#[derive(Debug, Clone)]
pub struct StartWindow {
    in_flight: usize,
    window: f64,
    /// Average time from sending a start to its answer.
    delay: Duration,
    answered_at: Steady,
    shrunk_at: Steady,
    /// Start of the series of scheduling passes that all ended with a full window.
    full_since: Option<Steady>,
    span_started_at: Steady,
    span_answers: u32,
    /// Answers per second.
    rate: f64,
}

impl Default for StartWindow {
    fn default() -> StartWindow {
        StartWindow {
            in_flight: 0,
            window: INITIAL_WINDOW,
            delay: Duration::ZERO,
            answered_at: Steady::ZERO,
            shrunk_at: Steady::ZERO,
            full_since: None,
            span_started_at: Steady::ZERO,
            span_answers: 0,
            rate: 0.0,
        }
    }
}

impl StartWindow {
    /// Creates a window for a link with this rate, bytes per second.
    #[must_use]
    pub fn for_link(bytes_per_s: f64) -> StartWindow {
        let carried = bytes_per_s * INITIAL_TIME.as_secs_f64() / START_BYTES;
        StartWindow {
            window: carried.clamp(MIN_WINDOW, INITIAL_WINDOW),
            ..StartWindow::default()
        }
    }

    /// Records that a start was decided.
    pub fn start_decided(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a start was dropped before it was sent.
    pub fn start_dropped(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a start was answered, or timed out, `took` after it was sent.
    pub fn start_answered(&mut self, now: Steady, took: Duration) {
        let is_used = as_f64(self.in_flight) * 2.0 >= self.window;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.delay = if self.is_idle(now) {
            took
        } else {
            self.delay.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT)
        };
        self.answered_at = now;
        self.count_answer(now);
        if self.delay > SHRINK_ABOVE && now >= self.shrunk_at + self.delay {
            self.window = (self.window * SHRINK_FACTOR).max(MIN_WINDOW);
            self.shrunk_at = now;
        } else if self.delay < GROW_BELOW && is_used {
            self.window = (self.window + 1.0).min(MAX_WINDOW);
        }
    }

    fn count_answer(&mut self, now: Steady) {
        self.span_answers += 1;
        let span = now.saturating_sub(self.span_started_at);
        if span >= RATE_SPAN {
            let rate = f64::from(self.span_answers) / span.as_secs_f64();
            self.rate = self.rate * RATE_DECAY + rate * (1.0 - RATE_DECAY);
            self.span_answers = 0;
            self.span_started_at = now;
        }
    }

    /// Records the end of a scheduling pass over the waiting tasks.
    pub fn pass_ended(&mut self, now: Steady) {
        if self.has_capacity() {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// Time needed to start `tasks` waiting tasks; `None` unless they wait for the window.
    #[must_use]
    pub fn wait_time(&self, now: Steady, tasks: usize) -> Option<Duration> {
        let full_for = now.saturating_sub(self.full_since?);
        if full_for < SATURATED_AFTER || self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(as_f64(tasks) / self.rate).ok()
    }

    /// Average time from sending a start to its answer; zero if there is no recent answer.
    #[must_use]
    pub fn delay(&self, now: Steady) -> Duration {
        if self.is_idle(now) {
            Duration::ZERO
        } else {
            self.delay
        }
    }

    /// Whether another start may be sent.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        as_f64(self.in_flight) < self.window
    }

    fn is_idle(&self, now: Steady) -> bool {
        now >= self.answered_at + DELAY_VALIDITY
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a count of some thousand at most"
)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
