//! Measures for how long this process was suspended.
//!
//! A suspended process reads no answers and no clock. What it waited for may be ready when it
//! resumes, and the time that it lost says nothing about its peers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A gap between two ticks that is longer than this counts as a suspension. A process that gets no
/// processor time is as good as suspended.
pub const MAX_GAP: Duration = Duration::from_millis(150);

/// Counts suspensions by the gaps between regular ticks.
#[derive(Debug)]
pub struct Monitor(Mutex<State>);

#[derive(Debug)]
struct State {
    last_tick: Instant,
    total: Duration,
}

impl Monitor {
    /// A monitor whose first tick is at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Monitor {
        Monitor(Mutex::new(State {
            last_tick: now,
            total: Duration::ZERO,
        }))
    }

    /// Records that the process runs. Call it at intervals well below [`MAX_GAP`].
    pub fn tick(&self, now: Instant) {
        let mut state = self.lock();
        state.total = state.total_at(now);
        state.last_tick = state.last_tick.max(now);
    }

    /// Total time of all suspensions, including one that ended just now.
    #[must_use]
    pub fn total(&self, now: Instant) -> Duration {
        self.lock().total_at(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn total_at(&self, now: Instant) -> Duration {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap > MAX_GAP {
            self.total + gap
        } else {
            self.total
        }
    }
}
