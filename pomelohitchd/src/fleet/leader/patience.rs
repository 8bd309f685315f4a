//! How long an append is waited for before it is tried again.
//!
//! Pure. The load that this answers: a store that falls silent for some seconds and then serves
//! again, and one that answers slowly. A call that went out in the silence is never answered, so
//! that work goes on only with the next try; a slow store answers no try that is given up too
//! early. A second try is the same append to the store, so that trying early costs a call at most.

use std::time::Duration;

/// An append is tried again after this many times what appends took of late.
const TIMES: f64 = 6.0;
/// But never before this, since a store at work answers within some milliseconds.
const SHORTEST: Duration = Duration::from_millis(120);
/// The first tries wait no longer than this, so that a store that is back is used soon.
const LONGEST_AT_FIRST: Duration = Duration::from_millis(480);
/// So many tries count as the first.
const FIRST_TRIES: u32 = 8;
/// Later ones wait so long: the store may be slower than was seen before.
const LONGEST: Duration = Duration::from_millis(1200);
/// How much of the time that appends took stays at each new one.
const FADE: f64 = 0.8;

/// What is known of the time that appends take.
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
    /// Takes in how long an append took.
    pub fn took(&mut self, took: Duration) {
        self.usual = self.usual.mul_f64(FADE) + took.mul_f64(1.0 - FADE);
    }

    /// How long to wait for an append that was tried `tries` times before.
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
