//! From measured load to instances needed.
//!
//! Queues in turn ask for five times their mean for some seconds, and a twentieth in between. A move
//! takes longer than that, so instances aren't moved for a burst; the buffer is there for it. Load is
//! therefore averaged over windows, and the need is a quantile of the recent windows: what has to be
//! there most of the time, by measurement instead of by a constant.

use std::collections::VecDeque;
use std::time::Duration;

use crate::observe::Now;

/// What is weighed: few moves and short waits, or a small buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weighting {
    /// A larger buffer, and few moves: for whom roll-out time and moves count most.
    FewMoves,
    /// A smaller buffer, and more moves: for whom the cost of the buffer counts most.
    SmallBuffer,
}

/// How the need is worked out.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Load is averaged over windows of this length.
    pub window: Duration,
    /// How many windows are remembered.
    pub windows: usize,
    /// The share of the windows whose load has to fit, 0 to 1.
    pub quantile: f64,
    /// The share of an instance's slots that is planned to be busy, above 0 and up to 1.
    pub utilisation: f64,
}

impl Options {
    /// The options for a weighting.
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
            // Longer than the queues take for their bursts in turn, so that a window holds whole
            // rounds and not a burst.
            window: Duration::from_mins(2),
            windows: 30,
            quantile: 0.95,
            utilisation: 0.75,
        }
    }
}

/// The recent load of a pool.
#[derive(Debug, Clone, Default)]
pub struct Load {
    windows: VecDeque<f64>,
    window_start: Option<Now>,
    sum: f64,
    samples: u32,
}

impl Load {
    /// Adds a measurement: how many slots are busy or asked for now.
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

    /// How many instances with `slots` each are needed; `None` before enough was measured.
    #[must_use]
    pub fn need(&self, options: &Options, slots: u32) -> Option<u32> {
        // Fewer windows say little, and a planner that just took over has none.
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
