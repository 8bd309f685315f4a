//! Which tasks are suspected of crashing the endpoints that start them.
//!
//! A crash takes all runs of an endpoint with it, and nothing says which of them caused it. A run that
//! had been seen at work for a while is taken for sound. Jobs with other runs are suspected: their
//! tasks run apart from those of other jobs until they have been at work for that while, so that a
//! second crash tells.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::loss::{Loss, LossCause};

/// When a task is suspected, and when it is given up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashLimits {
    /// Endpoints lost under a task, by which it is given up if only its job can have caused `alone` of
    /// these crashes.
    pub lost_alone: u32,
    /// See [`CrashLimits::lost_alone`].
    pub alone: u32,
    /// Endpoints lost under a task, by which it is given up if `certain` of them surely crashed under
    /// it, whatever ran beside.
    pub lost_certain: u32,
    /// See [`CrashLimits::lost_certain`].
    pub certain: u32,
    /// Endpoints lost under a task, by which it is given up in any case. The platform allows no more.
    pub lost: u32,
    /// A run seen at work for so long doesn't crash its endpoint.
    pub proven_after: Duration,
    /// The same for a task under which an endpoint was lost before.
    pub proven_again_after: Duration,
    /// What was lost before is forgotten of a task that has been at work for so long.
    pub cleared_after: Duration,
    /// Whether suspected jobs run apart from others.
    pub isolates: bool,
    /// The part of a service's endpoints that is kept for suspected jobs at most while others wait; one
    /// at least.
    pub most_isolated: f64,
    /// A suspected job that waited so long to run apart starts beside others.
    pub patience: Duration,
    /// The same while more than half of the service's processors are in use.
    pub busy_patience: Duration,
}

impl Default for CrashLimits {
    fn default() -> Self {
        CrashLimits {
            lost_alone: 3,
            alone: 2,
            lost_certain: 4,
            certain: 2,
            lost: 5,
            proven_after: Duration::from_millis(150),
            proven_again_after: Duration::from_secs(2),
            cleared_after: Duration::from_secs(10),
            isolates: true,
            most_isolated: 0.2,
            patience: Duration::from_millis(1500),
            busy_patience: Duration::from_secs(4),
        }
    }
}

/// What the endpoints that were lost under a task say of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Endpoints that were lost under its runs, or may have been.
    pub lost: u32,
    /// Those of them that surely crashed under it.
    pub certain: u32,
    /// Those of these that only its job can have caused.
    pub alone: u32,
    /// Whether it runs apart from other jobs.
    pub is_suspect: bool,
}

impl Suspicion {
    /// Takes in how a run of the task was lost. Returns whether that counts.
    pub fn note(&mut self, loss: &Loss) -> bool {
        if !matches!(loss.cause, LossCause::Crash | LossCause::Silence) {
            return false;
        }
        self.lost += 1;
        self.is_suspect |= !loss.is_proven || self.lost > 1;
        let is_certain = loss.cause == LossCause::Crash && loss.was_at_work;
        self.certain += u32::from(is_certain);
        self.alone += u32::from(is_certain && loss.is_sole && !loss.is_proven);
        true
    }

    /// Takes back a loss: the endpoint had only been cut off.
    pub fn retract(&mut self) {
        self.lost = self.lost.saturating_sub(1);
        if self.lost == 0 {
            *self = Suspicion::default();
        }
    }

    /// Whether the task is to be given up.
    #[must_use]
    pub fn is_over(&self, limits: &CrashLimits) -> bool {
        let is_alone = self.alone >= limits.alone && self.lost >= limits.lost_alone;
        let is_certain = self.certain >= limits.certain && self.lost >= limits.lost_certain;
        is_alone || is_certain || self.lost >= limits.lost
    }

    /// Whether a run of the task that has been seen at work for so long is taken for sound.
    #[must_use]
    pub fn is_proven(&self, worked: Duration, limits: &CrashLimits) -> bool {
        let needed = if self.lost == 0 {
            limits.proven_after
        } else {
            limits.proven_again_after
        };
        worked >= needed
    }
}
