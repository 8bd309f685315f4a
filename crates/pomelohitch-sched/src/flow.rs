//! How many starts may be under way.
//!
//! The load that this answers: a new leader finds thousands of waiting tasks, or a turn asks for
//! more starts than this member's link or processor carries. Sent all at once, they would wait
//! until they are void, and the polls that renew leases would wait behind them.
//!
//! A window on starts, as in delay-based congestion control (TCP Vegas): it grows while endpoints
//! answer promptly and shrinks while their answers are late.

use std::time::Duration;

use crate::Steady;

/// The window before the first answer, where the link isn't slower.
const INITIAL: f64 = 160.0;
/// The smallest window.
const FEWEST: f64 = 8.0;
/// The largest window.
const MOST: f64 = 4096.0;
/// Answers that take less than this on average let the window grow.
const PROMPT: Duration = Duration::from_millis(50);
/// Answers that take more than this on average shrink the window.
const LATE: Duration = Duration::from_millis(100);
/// The part of the window that stays when it shrinks.
const SHRINK: f64 = 0.7;
/// Weight of a new answer in the average.
const WEIGHT: f64 = 0.125;
/// The initial window holds what the link carries in this time.
const INITIAL_TIME: Duration = Duration::from_millis(50);
/// Bytes of a start on the link.
const START_BYTES: f64 = 700.0;
/// The average is forgotten this long after the newest answer.
const FORGET: Duration = Duration::from_secs(2);

/// Answers are counted over spans of at least this length.
const SPAN: Duration = Duration::from_millis(500);
/// How much of the rate of answers stays from one span to the next.
const RATE_FADE: f64 = 0.5;
/// A window that has been full for this long is what tasks wait for, rather than endpoints.
const SURELY_FULL: Duration = Duration::from_secs(2);

/// The window on starts that are under way.
#[derive(Debug, Clone)]
pub struct Flow {
    under_way: usize,
    window: f64,
    /// Average time from sending a start to its answer.
    delay: Duration,
    answered_at: Steady,
    shrunk_at: Steady,
    /// Since when passes over the waiting tasks have left no room.
    full_since: Option<Steady>,
    span_began: Steady,
    answered: u32,
    /// Answers a second.
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
    /// A window for a link of this rate, bytes a second.
    #[must_use]
    pub fn of_link(bytes_per_s: f64) -> Flow {
        let carried = bytes_per_s * INITIAL_TIME.as_secs_f64() / START_BYTES;
        Flow {
            window: carried.clamp(FEWEST, INITIAL),
            ..Flow::default()
        }
    }

    /// Takes in that a start was decided.
    pub fn decided(&mut self) {
        self.under_way += 1;
    }

    /// Takes in that a start ended before it was sent.
    pub fn unsent(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Takes in that a start was answered, or given up, this long after it was sent.
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

    /// Takes in that a pass over the waiting tasks has ended.
    pub fn passed(&mut self, now: Steady) {
        if self.has_room() {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// How long it takes to start `tasks` waiting tasks, if it is the window that they wait for.
    #[must_use]
    pub fn wait_of(&self, now: Steady, tasks: usize) -> Option<Duration> {
        let full_for = now.saturating_sub(self.full_since?);
        if full_for < SURELY_FULL || self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(float(tasks) / self.rate).ok()
    }

    /// Average time from sending a start to its answer; zero while none is answered.
    #[must_use]
    pub fn delay(&self, now: Steady) -> Duration {
        if self.is_idle(now) {
            Duration::ZERO
        } else {
            self.delay
        }
    }

    /// Whether one more start may go out.
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
