//! Clocks: the time of day, the fleet's time, and a steady clock that keeps running while the
//! machine is suspended.
//!
//! The steady clock of the standard library stops during a suspension. A lease checked against it
//! would still appear valid after the machine resumes, long after another process has taken over.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomelohitch_sched::{Epoch, Now, Steady, UnixMs};
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started, suspensions included.
#[must_use]
pub fn steady() -> Steady {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Measures for how long this process waited for a peer. After a suspension, or without processor
/// time, it hasn't yet read what arrived meanwhile, so that time counts only up to [`MAX_STEP`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitClock {
    ticked_at: Steady,
    waited: Duration,
}

/// Most time that counts between two ticks of a [`WaitClock`].
pub const MAX_STEP: Duration = Duration::from_millis(100);

impl WaitClock {
    /// A clock that shows zero at `now`.
    #[must_use]
    pub fn new(now: Steady) -> WaitClock {
        WaitClock {
            ticked_at: now,
            waited: Duration::ZERO,
        }
    }

    /// Records that the process runs. Call it at intervals well below [`MAX_STEP`].
    pub fn tick(&mut self, now: Steady) {
        self.waited = self.at(now);
        self.ticked_at = now;
    }

    /// Time waited until `now`.
    #[must_use]
    pub fn at(&self, now: Steady) -> Duration {
        self.waited + now.saturating_sub(self.ticked_at).min(MAX_STEP)
    }
}

/// Time of day in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// The fleet's time, as received from a leader, and the local steady clock at that moment.
///
/// Each leader continues the fleet's time of the former one by its steady clock, so that changes of
/// the time of day don't affect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetTime {
    /// Epoch of the leader that sent it.
    pub epoch: Epoch,
    /// The fleet's time, milliseconds since 1970.
    pub ms: UnixMs,
    /// The steady clock when it was received.
    pub at: Steady,
}

impl FleetTime {
    /// The fleet's time at `now`.
    #[must_use]
    pub fn at(&self, now: Steady) -> UnixMs {
        let passed = now.saturating_sub(self.at).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        self.ms.saturating_add(passed)
    }

    /// Whether this reading is better than `other`: of a later leader, or less delayed on its way.
    #[must_use]
    pub fn is_better_than(&self, other: &FleetTime) -> bool {
        let now = self.at.max(other.at);
        (self.epoch, self.at(now)) > (other.epoch, other.at(now))
    }
}

/// Returns both clocks.
#[must_use]
pub fn now() -> Now {
    Now {
        steady: steady(),
        unix_ms: unix_ms(),
    }
}
