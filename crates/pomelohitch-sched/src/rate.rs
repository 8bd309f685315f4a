//! Rate limit for calls.
//!
//! The platform accepts a limited number of operations on instances per second from all members
//! together and refuses the rest. A burst in a large fleet can need some hundred moves at once: if
//! all were decided together, they would queue for seconds and be carried out on outdated
//! decisions.

use std::time::Duration;

use crate::Steady;

/// Share of the allowed rate that is refilled evenly; the rest is the size of a burst.
const EVEN: f64 = 0.75;

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    per_second: f64,
    most: f64,
    left: f64,
    at: Steady,
}

impl Rate {
    /// Creates a limiter for at most `per_second` calls in any second.
    #[must_use]
    pub fn new(per_second: f64) -> Rate {
        let most = (per_second * (1.0 - EVEN)).max(1.0);
        Rate {
            per_second: per_second * EVEN,
            most,
            left: most,
            at: Duration::ZERO,
        }
    }

    /// Takes a token; returns false if no call may be sent at `now`.
    pub fn take(&mut self, now: Steady) -> bool {
        let passed = now.saturating_sub(self.at);
        self.left = (self.left + passed.as_secs_f64() * self.per_second).min(self.most);
        self.at = now;
        let may = self.left >= 1.0;
        if may {
            self.left -= 1.0;
        }
        may
    }
}
