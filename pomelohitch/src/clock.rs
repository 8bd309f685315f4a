//! The clock that commands use; tests replace it with virtual time.

use std::fmt;
use std::time::{Duration, Instant};

/// Reads the time and sleeps.
pub struct Clock {
    /// Returns the current time.
    pub now: Box<dyn Fn() -> Instant>,
    /// Blocks for the given duration.
    pub sleep: Box<dyn Fn(Duration)>,
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Clock")
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            now: Box::new(Instant::now),
            sleep: Box::new(std::thread::sleep),
        }
    }
}
