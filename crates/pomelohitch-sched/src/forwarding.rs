//! Window on the requests that a member has forwarded to the leader and that are not answered yet.
//!
//! When the leader's link or processor is overloaded, answers come late. Members that time out and
//! forward the same requests again add to the load, until the leader handles only repeats and loses
//! contact with the store and with other members. Requests beyond the window are refused before
//! they are sent, so that their callers know that nothing has run.
//!
//! The window uses additive increase and multiplicative decrease, as TCP does (RFC 5681).

use std::time::Duration;

use crate::Steady;

/// Initial window.
const INITIAL_WINDOW: f64 = 16.0;
/// Smallest window.
const MIN_WINDOW: f64 = 4.0;
/// Largest window.
const MAX_WINDOW: f64 = 1024.0;
/// Answers that take less than this let the window grow.
const GROW_BELOW: Duration = Duration::from_millis(250);
/// Answers that take more than this shrink the window.
const SHRINK_ABOVE: Duration = Duration::from_millis(600);
/// The window grows by this much for each window of prompt answers.
const WINDOW_INCREASE: f64 = 4.0;
/// Factor by which the window shrinks.
const SHRINK_FACTOR: f64 = 0.5;
/// Weight of a new answer in the moving average.
const SAMPLE_WEIGHT: f64 = 0.125;
/// `Retry-After` of requests beyond the window: this multiple of the average answer time, within
/// the limits below.
const RETRY_FACTOR: u32 = 4;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Window on the requests forwarded to one leader.
#[derive(Debug, Clone)]
pub struct Window {
    in_flight: usize,
    size: f64,
    /// Average time from forwarding a request to its answer.
    delay: Duration,
    shrunk_at: Option<Steady>,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            in_flight: 0,
            size: INITIAL_WINDOW,
            delay: Duration::ZERO,
            shrunk_at: None,
        }
    }
}

impl Window {
    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Adds a request to those in flight; returns false if the window is full.
    pub fn try_acquire(&mut self) -> bool {
        let has_capacity = as_f64(self.in_flight) < self.size;
        self.in_flight += usize::from(has_capacity);
        has_capacity
    }

    /// Records that a request was answered `took` after it was forwarded.
    pub fn answered(&mut self, now: Steady, took: Duration) {
        let is_used = as_f64(self.in_flight) * 2.0 >= self.size;
        self.release(took);
        if took > SHRINK_ABOVE {
            self.shrink(now, took);
        } else if took < GROW_BELOW && is_used {
            self.size = (self.size + WINDOW_INCREASE / self.size).min(MAX_WINDOW);
        }
    }

    /// Records that a request timed out `waited` after it was forwarded.
    pub fn timed_out(&mut self, now: Steady, waited: Duration) {
        self.release(waited);
        self.shrink(now, waited);
    }

    /// Records that a request was not sent after all.
    pub fn cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// When the caller of a request beyond the window should retry.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        (self.delay * RETRY_FACTOR).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn release(&mut self, took: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.delay = self.delay.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT);
    }

    /// Shrinks the window, once for all requests that were in flight at the same time.
    fn shrink(&mut self, now: Steady, took: Duration) {
        let sent_at = now.saturating_sub(took);
        if self.shrunk_at.is_none_or(|at| sent_at >= at) {
            self.size = (self.size * SHRINK_FACTOR).max(MIN_WINDOW);
            self.shrunk_at = Some(now);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a count of some thousand at most"
)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
