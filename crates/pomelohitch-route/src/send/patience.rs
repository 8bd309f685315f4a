//! How long a call waits for its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::suspension::Monitor;

/// A socket's timeout can't be zero.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Decides whether a call is abandoned in favour of another attempt.
pub type MayAbandon = Box<dyn FnOnce() -> bool>;

/// How long a call waits. Time during which the process was suspended doesn't count: answers that
/// arrived meanwhile couldn't be read.
pub struct Patience {
    /// The call fails after this time.
    pub timeout: Duration,
    /// After this time, the function decides whether the call is abandoned. Otherwise it waits
    /// until the timeout, since a late answer is better than none.
    pub abandon: Option<(Duration, MayAbandon)>,
}

/// A call that waits.
pub struct Wait {
    patience: Patience,
    started: Instant,
    monitor: Arc<Monitor>,
    /// Total of the suspensions when the call started.
    suspended_before: Duration,
    is_abandoned: bool,
}

impl Wait {
    /// Starts to wait at `now`.
    #[must_use]
    pub fn new(patience: Patience, monitor: Arc<Monitor>, now: Instant) -> Wait {
        Wait {
            patience,
            started: now,
            suspended_before: monitor.total(now),
            monitor,
            is_abandoned: false,
        }
    }

    /// Time until the next decision about the call; `None` if it has timed out or is abandoned.
    pub fn time_left(&mut self, now: Instant) -> Option<Duration> {
        let suspended = self
            .monitor
            .total(now)
            .saturating_sub(self.suspended_before);
        let waited = now
            .saturating_duration_since(self.started)
            .saturating_sub(suspended);
        let may_abandon = |(after, _): &mut (Duration, MayAbandon)| waited >= *after;
        if let Some((_, may_abandon)) = self.patience.abandon.take_if(may_abandon) {
            self.is_abandoned = may_abandon();
        }
        let timeout = self.patience.timeout;
        let next = match &self.patience.abandon {
            Some((after, _)) => timeout.min(*after),
            None => timeout,
        };
        let left = next.saturating_sub(waited);
        (!self.is_abandoned && !left.is_zero()).then(|| left.max(MIN_WAIT))
    }
}
