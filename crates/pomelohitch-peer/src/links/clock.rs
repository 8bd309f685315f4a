//! Bounds the time at which a heartbeat was sent, independent of its arrival.
//!
//! A process that was paused finds old heartbeats in its socket buffers. Their arrival time would
//! make their content look recent. Each side therefore echoes the latest clock value that it
//! received from the other: a heartbeat that echoes a value was sent after that value was read.

use std::time::{Duration, Instant};

/// The clock whose values this process sends in heartbeats and peers echo.
///
/// It starts at a random value, so that echoes of the clock of an earlier process with the same
/// member id are recognised and ignored.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: u64,
    started: Instant,
}

impl Clock {
    /// Creates a clock whose value at `started` is derived from `base`. The value is never 0, which
    /// stands for "no clock received" in heartbeats.
    #[must_use]
    pub fn new(base: u32, started: Instant) -> Clock {
        let base = (u64::from(base) + 1) << 31;
        Clock { base, started }
    }

    /// Current value, in milliseconds.
    #[must_use]
    pub fn now(&self) -> u64 {
        let elapsed = u64::try_from(self.started.elapsed().as_millis());
        self.base + elapsed.unwrap_or(u64::MAX / 2)
    }

    /// The time at which the clock had `value`; `None` if the value is from another clock or in the
    /// future.
    #[must_use]
    pub fn time_of(&self, value: u64) -> Option<Instant> {
        let elapsed = Duration::from_millis(value.checked_sub(self.base)?);
        let time = self.started.checked_add(elapsed)?;
        (time <= Instant::now()).then_some(time)
    }
}
