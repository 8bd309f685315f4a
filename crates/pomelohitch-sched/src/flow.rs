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
const INITIAL: f64 = 160.0;
/// Smallest window.
const FEWEST: f64 = 8.0;
/// Largest window.
const MOST: f64 = 4096.0;
/// The window grows while the average answer takes less than this.
const PROMPT: Duration = Duration::from_millis(50);
/// The window shrinks while the average answer takes more than this.
const LATE: Duration = Duration::from_millis(100);
/// Factor by which the window shrinks.
const SHRINK: f64 = 0.7;
/// Weight of a new answer in the moving average.
const WEIGHT: f64 = 0.125;
/// The initial window is at most what the link carries in this time.
const INITIAL_TIME: Duration = Duration::from_millis(50);
/// Size of a start on the link, bytes.
const START_BYTES: f64 = 700.0;
/// The average is reset this long after the newest answer.
const FORGET: Duration = Duration::from_secs(2);

/// The rate of answers is computed over spans of at least this length.
const SPAN: Duration = Duration::from_millis(500);
/// Weight of the previous rate in the moving average of the rate.
const RATE_FADE: f64 = 0.5;
/// Once the window has been full for this long, it is what waiting tasks wait for, not free
/// capacity at endpoints.
const SURELY_FULL: Duration = Duration::from_secs(2);

/// Window on the starts in flight.
#[derive(Debug, Clone)]
pub struct Flow {
    under_way: usize,
    window: f64,
    /// Average time from sending a start to its answer.
    delay: Duration,
    answered_at: Steady,
    shrunk_at: Steady,
    /// Start of the series of scheduling passes that all ended with a full window.
    full_since: Option<Steady>,
    span_began: Steady,
    answered: u32,
    /// Answers per second.
    rate: f64,
}

impl Default for Flow {
    fn default() -> Flow {
        Flow {
            under_way: 0,
            window: INITIAL,
            delay: Duration::ZERO,
            answered_at: Steady::ZERO,
            shrunk_at: Steady::ZERO,
            full_since: None,
            span_began: Steady::ZERO,
            answered: 0,
            rate: 0.0,
        }
    }
}

impl Flow {
    /// Creates a window for a link with this rate, bytes per second.
    #[must_use]
    pub fn of_link(bytes_per_s: f64) -> Flow {
        let carried = bytes_per_s * INITIAL_TIME.as_secs_f64() / START_BYTES;
        Flow {
            window: carried.clamp(FEWEST, INITIAL),
            ..Flow::default()
        }
    }

    /// Records that a start was decided.
    pub fn decided(&mut self) {
        self.under_way += 1;
    }

    /// Records that a start was dropped before it was sent.
    pub fn unsent(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Records that a start was answered, or timed out, `took` after it was sent.
    pub fn answered(&mut self, now: Steady, took: Duration) {
        let is_used = float(self.under_way) * 2.0 >= self.window;
        self.under_way = self.under_way.saturating_sub(1);
        self.delay = if self.is_idle(now) {
            took
        } else {
            self.delay.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT)
        };
        self.answered_at = now;
        self.count(now);
        if self.delay > LATE && now >= self.shrunk_at + self.delay {
            self.window = (self.window * SHRINK).max(FEWEST);
            self.shrunk_at = now;
        } else if self.delay < PROMPT && is_used {
            self.window = (self.window + 1.0).min(MOST);
        }
    }

    fn count(&mut self, now: Steady) {
        self.answered += 1;
        let span = now.saturating_sub(self.span_began);
        if span >= SPAN {
            let rate = f64::from(self.answered) / span.as_secs_f64();
            self.rate = self.rate * RATE_FADE + rate * (1.0 - RATE_FADE);
            self.answered = 0;
            self.span_began = now;
        }
    }

    /// Records the end of a scheduling pass over the waiting tasks.
    pub fn passed(&mut self, now: Steady) {
        if self.has_room() {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// Time needed to start `tasks` waiting tasks; `None` unless they wait for the window.
    #[must_use]
    pub fn wait_of(&self, now: Steady, tasks: usize) -> Option<Duration> {
        let full_for = now.saturating_sub(self.full_since?);
        if full_for < SURELY_FULL || self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(float(tasks) / self.rate).ok()
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
    pub fn has_room(&self) -> bool {
        float(self.under_way) < self.window
    }

    fn is_idle(&self, now: Steady) -> bool {
        now >= self.answered_at + FORGET
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a count of some thousand at most"
)]
fn float(count: usize) -> f64 {
    count as f64
}
