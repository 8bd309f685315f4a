//! Time that also counts while the machine is suspended.
//!
//! The steady clock of the standard library stands still during a suspension. A lease checked on
//! it would still look valid after the machine wakes, long after another process took over.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomelohitch_sched::{Now, Steady, UnixMs};
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started, suspensions included.
#[must_use]
pub fn steady() -> Steady {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> UnixMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Both clocks.
#[must_use]
pub fn now() -> Now {
    Now {
        steady: steady(),
        unix_ms: unix_ms(),
    }
}
