//! Timeout of an append, after which it is retried.
//!
//! The timeout covers two faults. A store that falls silent for some seconds never answers the
//! calls made meanwhile, so that work resumes only with the next attempt; and a slow store answers
//! none of many attempts that are all given up too early. The store recognizes a repeated append,
//! so that an early retry costs one call at most.

use std::time::Duration;

/// Ratio of the timeout to the average time of recent appends.
const LATENCY_FACTOR: f64 = 6.0;
/// Minimum timeout; a working store answers within some milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum timeout of the early attempts, unless the average of recent appends demands more. Short,
/// so that a store that has recovered is used soon.
const MAX_EARLY_TIMEOUT: Duration = Duration::from_millis(480);
/// Number of early attempts.
const EARLY_ATTEMPTS: u32 = 8;
/// Timeout of later attempts: the store may have become slower than recent appends show.
const MAX_TIMEOUT: Duration = Duration::from_millis(1200);
/// Weight of the previous value in the moving average of append times.
const PREVIOUS_WEIGHT: f64 = 0.8;

/// Timeout of appends, derived from a moving average of the time that they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendTimeout {
    average: Duration,
}

impl Default for AppendTimeout {
    fn default() -> Self {
        AppendTimeout {
            average: MIN_TIMEOUT.div_f64(LATENCY_FACTOR),
        }
    }
}

impl AppendTimeout {
    /// Adds the time that an append took to the average.
    pub fn add_sample(&mut self, took: Duration) {
        self.average = self.average.mul_f64(PREVIOUS_WEIGHT) + took.mul_f64(1.0 - PREVIOUS_WEIGHT);
    }

    /// Timeout of an attempt after `failed_attempts` failed ones.
    #[must_use]
    pub fn for_attempt(&self, failed_attempts: u32) -> Duration {
        let first = self
            .average
            .mul_f64(LATENCY_FACTOR)
            .clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        if failed_attempts >= EARLY_ATTEMPTS {
            return MAX_TIMEOUT;
        }
        let doubled = first.saturating_mul(2_u32.saturating_pow(failed_attempts));
        doubled.min(MAX_EARLY_TIMEOUT.max(first))
    }
}
