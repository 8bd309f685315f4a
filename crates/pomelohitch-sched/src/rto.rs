//! How long an answer is waited for.
//!
//! The load that this answers: a link or a processor that is full for a while. Answers come late
//! then, and calls that are given up too early are made again and fill it further. Estimated as the
//! retransmission timeout of TCP is (RFC 6298).

use std::time::Duration;

/// Weight of a new sample in the smoothed time, the RFC's alpha.
const ALPHA: f64 = 0.125;
/// Weight of a new sample in the variation, the RFC's beta.
const BETA: f64 = 0.25;
/// Variations that are added to the smoothed time, the RFC's K.
const VARIATIONS: u32 = 4;

/// The shortest and the longest timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Where answers are prompt.
    pub shortest: Duration,
    /// Where they are late.
    pub longest: Duration,
}

/// The estimate of a timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rto {
    limits: Limits,
    smoothed: Option<Duration>,
    variation: Duration,
}

impl Rto {
    /// An estimate before the first answer.
    #[must_use]
    pub fn new(limits: Limits) -> Rto {
        Rto {
            limits,
            smoothed: None,
            variation: Duration::ZERO,
        }
    }

    /// Takes in how long an answer took, or how long one was waited for in vain.
    pub fn took(&mut self, took: Duration) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(took);
            self.variation = took / 2;
            return;
        };
        self.variation = self.variation.mul_f64(1.0 - BETA) + smoothed.abs_diff(took).mul_f64(BETA);
        self.smoothed = Some(smoothed.mul_f64(1.0 - ALPHA) + took.mul_f64(ALPHA));
    }

    /// How long to wait for the next answer.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Limits { shortest, longest } = self.limits;
        let estimate = self.smoothed.unwrap_or_default() + self.variation * VARIATIONS;
        estimate.clamp(shortest, longest)
    }
}
