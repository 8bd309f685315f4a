//! How many calls a second may go out.
//!
//! The platform takes so many operations on instances a second from all members together and
//! refuses the rest. A turn of a queue in a large fleet wants some hundred moves at once: decided
//! all together they would wait in line for seconds, and be carried out by what was true then.

use std::time::Duration;

use crate::Steady;

/// The part of what is allowed that goes out evenly; the rest is for what comes at once.
const EVEN: f64 = 0.75;

/// Allows calls up to a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    per_second: f64,
    most: f64,
    left: f64,
    at: Steady,
}

impl Rate {
    /// At most `per_second` calls in any second.
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

    /// Whether one more call may go out at `now`; counts it if so.
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
