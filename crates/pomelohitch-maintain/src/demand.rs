//! Converts the measured load of a pool into a required number of instances.
//!
//! Queues burst in turn to five times their mean load for some seconds, and fall to a twentieth of
//! it in between. A move takes longer than a burst, so spare capacity absorbs bursts instead of
//! moves. Load is averaged over windows, and the requirement is a quantile of the recent windows.

use std::collections::VecDeque;
use std::time::Duration;

use crate::observe::Now;

/// Trade-off between the number of moves and the amount of spare capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weighting {
    /// Few moves and more spare capacity, for sites where roll-out time and moves cost most.
    FewMoves,
    /// Less spare capacity and more moves, for sites where idle instances cost most.
    SmallBuffer,
}

/// Parameters for computing the required number of instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Length of a window over which load is averaged.
    pub window: Duration,
    /// Number of recent windows that are kept.
    pub windows: usize,
    /// Fraction of the kept windows whose load must fit, from 0 to 1.
    pub quantile: f64,
    /// Planned fraction of busy slots per instance, above 0 and at most 1.
    pub utilisation: f64,
}

impl Options {
    /// Returns the parameters for a trade-off.
    #[must_use]
    pub fn weighted(weighting: Weighting) -> Options {
        let (quantile, utilisation) = match weighting {
            Weighting::FewMoves => (0.98, 0.65),
            Weighting::SmallBuffer => (0.75, 0.9),
        };
        Options {
            quantile,
            utilisation,
            ..Options::default()
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            // Longer than a full round of bursts over the queues, so that a single burst does not
            // dominate a window.
            window: Duration::from_mins(2),
            windows: 30,
            quantile: 0.95,
            utilisation: 0.75,
        }
    }
}

/// Recent load of a pool, averaged per window.
#[derive(Debug, Clone, Default)]
pub struct Load {
    windows: VecDeque<f64>,
    window_start: Option<Now>,
    sum: f64,
    samples: u32,
}

impl Load {
    /// Adds a sample: the number of slots that are busy or requested now.
    pub fn measure(&mut self, options: &Options, now: Now, busy: f64) {
        let window_start = *self.window_start.get_or_insert(now);
        if now.saturating_sub(window_start) >= options.window && self.samples > 0 {
            self.windows.push_back(self.sum / f64::from(self.samples));
            if self.windows.len() > options.windows {
                self.windows.pop_front();
            }
            (self.sum, self.samples, self.window_start) = (0.0, 0, Some(now));
        }
        self.sum += busy;
        self.samples += 1;
    }

    /// Returns the required number of instances with `slots` each.
    ///
    /// Returns `None` while less than a quarter of the windows is filled, or if `slots` is 0.
    #[must_use]
    pub fn need(&self, options: &Options, slots: u32) -> Option<u32> {
        // Too few windows give no reliable quantile; a new planner starts with none.
        if self.windows.len() * 4 < options.windows || slots == 0 {
            return None;
        }
        let mut sorted: Vec<f64> = self.windows.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let load = sorted[rank(sorted.len(), options.quantile)];
        Some(ceil_to_u32(load / (f64::from(slots) * options.utilisation)))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a rank below the number of windows, which is small"
)]
fn rank(len: usize, quantile: f64) -> usize {
    let rank = (len as f64 * quantile.clamp(0.0, 1.0)).ceil() as usize;
    rank.clamp(1, len) - 1
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and loads aren't negative"
)]
fn ceil_to_u32(instances: f64) -> u32 {
    instances.ceil() as u32
}
