//! Which job goes first.
//!
//! The load that this answers: each queue in its turn asks about five times its mean for some
//! seconds, more than its pool holds. First come first served would then make every job late.
//! Jobs that can still meet their objective go first, by the latest moment at which their next
//! step has to start; those that can't, wait until there is room to spare.

use std::cmp::Ordering;
use std::time::Duration;

use crate::UnixMs;
use crate::id::JobId;

/// A job's place among those that wait for the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Whether its objective is out of reach.
    pub is_late: bool,
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// When its next step has to start at the latest, or, if it is late, when it came.
    pub start_by_ms: UnixMs,
    /// Decides between equals, so that all leaders decide alike.
    pub job: JobId,
}

/// What the order of jobs is decided by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Which job.
    pub job: JobId,
    /// When it came or was due.
    pub from_ms: UnixMs,
    /// Its whole chain of work, by its estimates.
    pub chain: Duration,
    /// What is left of the chain.
    pub chain_left: Duration,
    /// The objective in multiples of the chain.
    pub stretch: f64,
    /// What the objective allows beside the work.
    pub slack: Duration,
    /// Priority of its queue.
    pub priority: u32,
}

impl Claim {
    /// When the job should be done.
    #[must_use]
    pub fn objective_ms(&self) -> UnixMs {
        let allowed = self.chain.mul_f64(self.stretch.max(0.0)) + self.slack;
        self.from_ms.saturating_add(millis(allowed))
    }

    /// The place of this job at `now_ms`.
    #[must_use]
    pub fn urgency(&self, now_ms: UnixMs) -> Urgency {
        let left = millis(self.chain_left);
        let start_by_ms = self.objective_ms().saturating_sub(left);
        let is_late = now_ms > start_by_ms;
        Urgency {
            is_late,
            priority: self.priority,
            start_by_ms: if is_late { self.from_ms } else { start_by_ms },
            job: self.job,
        }
    }
}

impl Ord for Urgency {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |u: &Self| (u.is_late, u.priority, u.start_by_ms, u.job);
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
