//! Timeout of an append, after which it is retried.
//!
//! The timeout covers two faults. A store that falls silent for some seconds never answers the
//! calls made meanwhile, so that work resumes only with the next attempt; and a slow store answers
//! none of many attempts that are all given up too early. The store recognizes a repeated append,
//! so that an early retry costs one call at most.

use std::time::Duration;

/// Ratio of the timeout to the average time of recent appends.
const TIMES: f64 = 6.0;
/// Minimum timeout; a working store answers within some milliseconds.
const SHORTEST: Duration = Duration::from_millis(120);
/// Maximum timeout of the early attempts, unless recent appends took longer. It makes a store that
/// has recovered be used soon.
const LONGEST_AT_FIRST: Duration = Duration::from_millis(480);
/// Number of early attempts.
const FIRST_TRIES: u32 = 8;
/// Timeout of later attempts: the store may have become slower than recent appends show.
const LONGEST: Duration = Duration::from_millis(1200);
/// Weight of the previous value in the moving average of append times.
const FADE: f64 = 0.8;

/// Timeout of appends, derived from a moving average of the time that they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    usual: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Patience {
            usual: SHORTEST.div_f64(TIMES),
        }
    }
}

impl Patience {
    /// Adds the time that an append took to the average.
    pub fn took(&mut self, took: Duration) {
        self.usual = self.usual.mul_f64(FADE) + took.mul_f64(1.0 - FADE);
    }

    /// Timeout of an attempt after `tries` failed ones.
    #[must_use]
    pub fn of_try(&self, tries: u32) -> Duration {
        let first = self.usual.mul_f64(TIMES).clamp(SHORTEST, LONGEST);
        if tries >= FIRST_TRIES {
            return LONGEST;
        }
        let doubled = first.saturating_mul(2_u32.saturating_pow(tries));
        doubled.min(LONGEST_AT_FIRST.max(first))
    }
}
