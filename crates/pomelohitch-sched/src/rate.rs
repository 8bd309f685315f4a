//! Rate limit for calls.
//!
//! The platform accepts a limited number of operations on instances per second from all members
//! together and refuses the rest. A burst in a large fleet can need some hundred moves at once: if
//! all were decided together, they would queue for seconds and be carried out on outdated
//! decisions.

use std::time::Duration;

use crate::Steady;

/// Share of the allowed rate that is refilled evenly; the rest is the size of a burst.
const REFILL_SHARE: f64 = 0.75;

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Steady,
}

impl RateLimiter {
    /// Creates a limiter for at most `per_second` calls in any second.
    #[must_use]
    pub fn new(per_second: f64) -> RateLimiter {
        let burst = (per_second * (1.0 - REFILL_SHARE)).max(1.0);
        RateLimiter {
            per_second: per_second * REFILL_SHARE,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes a token; returns false if no call may be sent at `now`.
    pub fn try_acquire(&mut self, now: Steady) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
