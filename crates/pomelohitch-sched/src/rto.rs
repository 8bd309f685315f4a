//! Adaptive timeout of calls.
//!
//! While a link or a processor is overloaded, answers come late. Calls that time out too early are
//! repeated and add to the load. The timeout is estimated like the retransmission timeout of TCP
//! (RFC 6298).

use std::time::Duration;

/// Weight of a new sample in the smoothed time (alpha in the RFC).
const ALPHA: f64 = 0.125;
/// Weight of a new sample in the variation (beta in the RFC).
const BETA: f64 = 0.25;
/// Multiple of the variation that is added to the smoothed time (K in the RFC).
const VARIATIONS: u32 = 4;

/// Bounds of the timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Smallest timeout.
    pub shortest: Duration,
    /// Largest timeout.
    pub longest: Duration,
}

/// Estimator of a timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rto {
    limits: Limits,
    smoothed: Option<Duration>,
    variation: Duration,
}

impl Rto {
    /// Creates an estimator without samples.
    #[must_use]
    pub fn new(limits: Limits) -> Rto {
        Rto {
            limits,
            smoothed: None,
            variation: Duration::ZERO,
        }
    }

    /// Adds a sample: the time an answer took, or the time after which a call timed out.
    pub fn add_sample(&mut self, took: Duration) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(took);
            self.variation = took / 2;
            return;
        };
        self.variation = self.variation.mul_f64(1.0 - BETA) + smoothed.abs_diff(took).mul_f64(BETA);
        self.smoothed = Some(smoothed.mul_f64(1.0 - ALPHA) + took.mul_f64(ALPHA));
    }

    /// Timeout of the next call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Limits { shortest, longest } = self.limits;
        let estimate = self.smoothed.unwrap_or_default() + self.variation * VARIATIONS;
        estimate.clamp(shortest, longest)
    }
}
