//! Detection of tasks that crash their endpoints.
//!
//! A crash ends all runs of an endpoint, and nothing shows which of them caused it. A run that had
//! been running for `proven_after` is not blamed. Jobs of the other runs become suspects: their
//! tasks are isolated from those of other jobs until they have been running for
//! `proven_again_after`, so that a second crash shows which job is at fault.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::loss::{Loss, LossCause};

/// Limits for suspecting and giving up a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashLimits {
    /// Number of endpoints lost under a task at which it is given up, if its job is the only
    /// possible cause of at least `min_sole_cause` of the crashes.
    pub max_lost_sole_cause: u32,
    /// See [`CrashLimits::max_lost_sole_cause`].
    pub min_sole_cause: u32,
    /// Number of endpoints lost under a task at which it is given up, if at least `min_certain` of
    /// them certainly crashed under it, whatever else ran there.
    pub max_lost_certain: u32,
    /// See [`CrashLimits::max_lost_certain`].
    pub min_certain: u32,
    /// Number of endpoints lost under a task at which it is given up in any case; the platform
    /// allows no more.
    pub max_lost: u32,
    /// A run that has been running for this long is not blamed for a crash.
    pub proven_after: Duration,
    /// The same for a task under which an endpoint was lost before. The loss of a run that has been
    /// running for this long doesn't count at all: in a large fleet, endpoints crash by themselves
    /// under lasting tasks time and again.
    pub proven_again_after: Duration,
    /// After a task has been running for this long, its earlier losses are forgotten.
    pub cleared_after: Duration,
    /// Whether suspected jobs are isolated from other jobs.
    pub isolates: bool,
    /// Largest share of a service's endpoints that are reserved for suspected jobs while other jobs
    /// wait; at least one endpoint.
    pub max_isolated_share: f64,
    /// A suspected job that has waited this long for an isolated endpoint starts beside other jobs.
    pub isolation_timeout: Duration,
    /// The same while more than half of the service's processors are in use.
    pub busy_isolation_timeout: Duration,
}

impl Default for CrashLimits {
    fn default() -> Self {
        CrashLimits {
            max_lost_sole_cause: 3,
            min_sole_cause: 2,
            max_lost_certain: 4,
            min_certain: 2,
            max_lost: 5,
            proven_after: Duration::from_millis(150),
            proven_again_after: Duration::from_secs(2),
            cleared_after: Duration::from_secs(10),
            isolates: true,
            max_isolated_share: 0.2,
            isolation_timeout: Duration::from_millis(1500),
            busy_isolation_timeout: Duration::from_secs(4),
        }
    }
}

/// Evidence that a task crashes its endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Number of endpoints that were, or may have been, lost under its runs.
    pub lost: u32,
    /// Number of those that certainly crashed under it.
    pub certain: u32,
    /// Number of those crashes that only its job can have caused.
    pub alone: u32,
    /// Whether it is isolated from other jobs.
    pub is_suspect: bool,
}

impl Suspicion {
    /// Records the loss of a run of the task; returns whether the loss counts as evidence.
    pub fn record_loss(&mut self, loss: &Loss, limits: &CrashLimits) -> bool {
        let is_unplanned = matches!(loss.cause, LossCause::Crash | LossCause::Silence);
        if !is_unplanned || loss.ran_for >= limits.proven_again_after {
            return false;
        }
        self.lost += 1;
        self.is_suspect |= !loss.is_proven || self.lost > 1;
        let is_certain = loss.cause == LossCause::Crash && loss.was_running;
        self.certain += u32::from(is_certain);
        self.alone += u32::from(is_certain && loss.is_sole && !loss.is_proven);
        true
    }

    /// Withdraws a loss, because the endpoint had only been disconnected.
    pub fn withdraw_loss(&mut self) {
        self.lost = self.lost.saturating_sub(1);
        if self.lost == 0 {
            *self = Suspicion::default();
        }
    }

    /// Whether the task has to be given up.
    #[must_use]
    pub fn is_conclusive(&self, limits: &CrashLimits) -> bool {
        let is_only_cause =
            self.alone >= limits.min_sole_cause && self.lost >= limits.max_lost_sole_cause;
        let is_certain = self.certain >= limits.min_certain && self.lost >= limits.max_lost_certain;
        is_only_cause || is_certain || self.lost >= limits.max_lost
    }

    /// Whether a run of the task that has been running for `ran_for` is not blamed for a crash.
    #[must_use]
    pub fn is_proven(&self, ran_for: Duration, limits: &CrashLimits) -> bool {
        let needed = if self.lost == 0 {
            limits.proven_after
        } else {
            limits.proven_again_after
        };
        ran_for >= needed
    }
}
