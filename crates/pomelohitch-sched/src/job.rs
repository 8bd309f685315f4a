//! What a caller asks for, and the check of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::UnixMs;
use crate::id::{JobId, QueueName, ServiceName, WorkspaceName};
use crate::resources::Resources;

/// Longest text that goes to each task, bytes; the platform's own limit.
pub const SPEC_BYTES: usize = 4_000;
/// Most steps of a job. Jobs of today have at most 5.
pub const MAX_STEPS: usize = 256;
/// Most tasks of a job, over its steps. Jobs of today have at most some hundred; more would let
/// one caller fill the memory of an entry instance.
pub const MAX_TASKS: u64 = 10_000;
/// Most repetitions of a job.
pub const MAX_REPEATS: u32 = 1_000_000;

/// A job as accepted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Chosen by the caller.
    pub id: JobId,
    /// The queue that took it.
    pub queue: QueueName,
    /// The service that the queue sent to when the job came; used if the queue is removed.
    pub service: ServiceName,
    /// Who sent it; nobody for a public queue.
    pub workspace: Option<WorkspaceName>,
    /// What each task is given.
    pub text: Box<str>,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Present if the steps run several times.
    pub repeat: Option<Repeat>,
    /// When the job came.
    pub accepted_ms: UnixMs,
}

/// A step: tasks of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent traits, each of which a caller sets or not"
)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each takes up while it runs.
    pub need: Resources,
    /// Rough length of one task.
    pub estimate: Duration,
    /// Earlier steps, all of whose tasks have to be done first.
    pub after: Vec<u16>,
    /// Whether stopped tasks can go on from a checkpoint.
    pub has_checkpoints: bool,
    /// Whether the tasks work only all together.
    pub is_gang: bool,
    /// Whether the tasks are slow when spread over racks.
    pub is_rack_local: bool,
    /// A label that the endpoint needs.
    pub requires: Option<Box<str>>,
    /// The rack where the data lie; tasks are slow on others.
    pub near: Option<Box<str>>,
    /// Most tasks of the step on one endpoint; 0 is no limit.
    pub per_endpoint: u32,
    /// Whether copies of a task may run side by side.
    pub may_copy: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// What the tasks run.
    pub image: Box<str>,
    /// The tail latency that a lasting task has to keep.
    pub target: Option<Duration>,
    /// Whether the tasks take only processors that others leave.
    pub is_filler: bool,
    /// How many tasks may be away at once by our own doing.
    pub may_miss: u32,
}

/// A job that repeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// How many times.
    pub count: u32,
    /// When the first is due.
    pub first_due_ms: UnixMs,
    /// From one to the next.
    pub interval: Duration,
}

/// Why something isn't a job.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text for the tasks is too long.
    #[snafu(display("the text for the tasks is over {SPEC_BYTES} bytes"))]
    Text,
    /// There are no steps, or too many.
    #[snafu(display("{count} steps, but 1 to {MAX_STEPS} are allowed"))]
    Steps {
        /// How many there are.
        count: usize,
    },
    /// A step has no tasks, or the job too many.
    #[snafu(display("step {step}: no tasks, or over {MAX_TASKS} in the job"))]
    Tasks {
        /// Which step.
        step: usize,
    },
    /// A step waits for itself, a later one or one that isn't there.
    #[snafu(display("step {step} waits for step {after}, which isn't an earlier one"))]
    After {
        /// Which step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
    /// Too many repetitions, or no time between them.
    #[snafu(display("over {MAX_REPEATS} repetitions, or no time between them"))]
    Repeat,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl JobSpec {
    /// Checks what the types alone don't say.
    ///
    /// # Errors
    /// If the job could never be run as it stands, or would take too much memory.
    pub fn check(&self) -> Result<()> {
        ensure!(self.text.len() <= SPEC_BYTES, TextSnafu);
        let count = self.steps.len();
        ensure!((1..=MAX_STEPS).contains(&count), StepsSnafu { count });
        let mut tasks = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            tasks += u64::from(spec.count);
            ensure!(spec.count > 0 && tasks <= MAX_TASKS, TasksSnafu { step });
            if let Some(&after) = spec.after.iter().find(|&&a| usize::from(a) >= step) {
                return AfterSnafu { step, after }.fail();
            }
        }
        let is_repeat_sound = self
            .repeat
            .is_none_or(|r| r.count <= MAX_REPEATS && (r.count == 1 || !r.interval.is_zero()));
        ensure!(is_repeat_sound, RepeatSnafu);
        Ok(())
    }

    /// How many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |r| r.count)
    }

    /// When an occurrence is due.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> UnixMs {
        self.repeat.map_or(self.accepted_ms, |r| {
            let interval = u64::try_from(r.interval.as_millis()).unwrap_or(u64::MAX);
            r.first_due_ms
                .saturating_add(interval.saturating_mul(u64::from(occurrence)))
        })
    }
}

/// The longest chain of estimates among the steps that are left.
#[must_use]
pub fn chain(steps: &[StepSpec], is_left: impl Fn(usize) -> bool) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let begins = step.after.iter().map(|&a| ends[usize::from(a)]).max();
        let own = if is_left(index) {
            step.estimate
        } else {
            Duration::ZERO
        };
        ends.push(begins.unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}

impl StepSpec {
    /// What one task takes of an endpoint's room. A filler's processors aren't counted.
    #[must_use]
    pub fn room(&self) -> Resources {
        Resources {
            cpu: if self.is_filler { 0 } else { self.need.cpu },
            ..self.need
        }
    }
}
