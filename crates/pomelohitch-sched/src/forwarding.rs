//! How many requests of callers a member may have passed on to the leader without an answer.
//!
//! The load that this answers: the leader's link or processor is full, and answers come late. Members
//! that give requests up and pass them on again fill it further, until it carries repeats only and
//! the leader hears neither the store nor the other members. What finds no place is refused before
//! it is sent, so that its caller can be told that it hasn't run.
//!
//! A window with additive increase and multiplicative decrease, as in TCP (RFC 5681).

use std::time::Duration;

use crate::Steady;

/// The window before the first answer.
const INITIAL: f64 = 16.0;
/// The smallest window.
const FEWEST: f64 = 4.0;
/// The largest window.
const MOST: f64 = 1024.0;
/// Answers that take less than this let the window grow.
const PROMPT: Duration = Duration::from_millis(250);
/// Answers that take more than this shrink the window.
const LATE: Duration = Duration::from_millis(600);
/// A window's worth of prompt answers adds this many places.
const INCREASE: f64 = 4.0;
/// The part of the window that stays when it shrinks.
const DECREASE: f64 = 0.5;
/// Weight of a new answer in the average.
const WEIGHT: f64 = 0.125;
/// Retry-After of what finds no place: this many times the average answer, and no sooner or later
/// than these.
const RETRY_ANSWERS: u32 = 4;
const SOONEST_RETRY: Duration = Duration::from_secs(1);
const LATEST_RETRY: Duration = Duration::from_secs(5);

/// The window on requests that were passed on to one leader.
#[derive(Debug, Clone)]
pub struct Window {
    in_flight: usize,
    size: f64,
    /// Average time from passing a request on to its answer.
    delay: Duration,
    shrunk_at: Option<Steady>,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            in_flight: 0,
            size: INITIAL,
            delay: Duration::ZERO,
            shrunk_at: None,
        }
    }
}

impl Window {
    /// How many requests have a place.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Takes a place for a request; whether there was one.
    pub fn take(&mut self) -> bool {
        let has_place = float(self.in_flight) < self.size;
        self.in_flight += usize::from(has_place);
        has_place
    }

    /// Takes in that a request was answered this long after it was passed on.
    pub fn answered(&mut self, now: Steady, took: Duration) {
        let is_used = float(self.in_flight) * 2.0 >= self.size;
        self.free(took);
        if took > LATE {
            self.shrink(now, took);
        } else if took < PROMPT && is_used {
            self.size = (self.size + INCREASE / self.size).min(MOST);
        }
    }

    /// Takes in that a request was given up this long after it was passed on.
    pub fn gave_up(&mut self, now: Steady, waited: Duration) {
        self.free(waited);
        self.shrink(now, waited);
    }

    /// Takes in that a request wasn't sent.
    pub fn unsent(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// When a caller whose request finds no place had best come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        (self.delay * RETRY_ANSWERS).clamp(SOONEST_RETRY, LATEST_RETRY)
    }

    fn free(&mut self, took: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.delay = self.delay.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }

    /// Shrinks once for all requests that were in flight together.
    fn shrink(&mut self, now: Steady, took: Duration) {
        let sent_at = now.saturating_sub(took);
        if self.shrunk_at.is_none_or(|at| sent_at >= at) {
            self.size = (self.size * DECREASE).max(FEWEST);
            self.shrunk_at = Some(now);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a count of some thousand at most"
)]
fn float(count: usize) -> f64 {
    count as f64
}
