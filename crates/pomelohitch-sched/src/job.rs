//! Job specifications and their validation.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::UnixMs;
use crate::config::Terms;
use crate::estimates::Expected;
use crate::id::{JobId, QueueName, ServiceName, WorkspaceName};
use crate::resources::Resources;

/// Longest text that is passed to each task, in bytes; a limit of the platform.
pub const SPEC_BYTES: usize = 4_000;
/// Most steps of a job; jobs usually have at most 5.
pub const MAX_STEPS: usize = 256;
/// Most tasks of a job over all its steps. Jobs usually have at most a few hundred; more would let
/// one caller fill the memory of an entry instance.
pub const MAX_TASKS: u64 = 10_000;
/// Most repetitions of a job.
pub const MAX_REPEATS: u32 = 1_000_000;

/// Specification of an accepted job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Queue that accepted the job.
    pub queue: QueueName,
    /// Service of the queue, as last configured while the job was held; used if the queue is removed.
    pub service: ServiceName,
    /// Terms of the queue, likewise. Recorded after the specification, see
    /// [`encode_spec`](crate::progress::encode_spec).
    #[serde(skip)]
    pub terms: Terms,
    /// Workspace that submitted the job; `None` for a public queue.
    pub workspace: Option<WorkspaceName>,
    /// Text that is passed to each task.
    pub text: Box<str>,
    /// Steps; a step can depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Set if the steps run several times.
    pub repeat: Option<Repeat>,
    /// When the job was accepted.
    pub accepted_ms: UnixMs,
}

/// A step: a number of tasks of the same kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent options set by the caller"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task while it runs.
    pub need: Resources,
    /// Rough estimate of the run time of one task.
    pub estimate: Duration,
    /// Earlier steps whose tasks all have to be done before this step starts.
    pub after: Vec<u16>,
    /// Whether stopped tasks can resume from a checkpoint.
    pub has_checkpoints: bool,
    /// Whether the tasks run as a gang: all at the same time or not at all.
    pub is_gang: bool,
    /// Whether the tasks are slow when spread over several racks.
    pub is_rack_local: bool,
    /// Label that the endpoint must have.
    pub requires: Option<Box<str>>,
    /// Rack of the input data; tasks are slow on others.
    pub near: Option<Box<str>>,
    /// Most tasks of the step on one endpoint; 0 for no limit.
    pub per_endpoint: u32,
    /// Whether several runs of a task may exist at the same time.
    pub may_copy: bool,
    /// Whether the tasks run until the job is cancelled (lasting tasks).
    pub is_lasting: bool,
    /// Image that the tasks run.
    pub image: Box<str>,
    /// Tail latency that a lasting task has to keep.
    pub target: Option<Duration>,
    /// Whether the tasks use only processors that other tasks leave idle (filler tasks).
    pub is_filler: bool,
    /// Number of tasks that the scheduler may take out of service at the same time.
    pub may_miss: u32,
}

/// Repetition of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of repetitions.
    pub count: u32,
    /// When the first one is due.
    pub first_due_ms: UnixMs,
    /// Time from one due time to the next.
    pub interval: Duration,
}

/// Why a job specification is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text for the tasks is too long.
    #[snafu(display("the text for the tasks is over {SPEC_BYTES} bytes"))]
    Text,
    /// There are no steps, or too many.
    #[snafu(display("{count} steps, but 1 to {MAX_STEPS} are allowed"))]
    Steps {
        /// Number of steps.
        count: usize,
    },
    /// A step has no tasks, or the job has too many.
    #[snafu(display("step {step}: no tasks, or over {MAX_TASKS} in the job"))]
    Tasks {
        /// Index of the step.
        step: usize,
    },
    /// A step depends on itself, on a later step or on one that does not exist.
    #[snafu(display("step {step} waits for step {after}, which isn't an earlier one"))]
    After {
        /// Index of the step.
        step: usize,
        /// Step that it depends on.
        after: u16,
    },
    /// There are too many repetitions, or the interval between them is zero.
    #[snafu(display("over {MAX_REPEATS} repetitions, or no time between them"))]
    Repeat,
}

/// Result of the checks in this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl JobSpec {
    /// Validates what the types do not enforce.
    ///
    /// # Errors
    ///
    /// If the job could never run as specified, or would take too much memory.
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
        let is_repeat_valid = self
            .repeat
            .is_none_or(|r| r.count <= MAX_REPEATS && (r.count == 1 || !r.interval.is_zero()));
        ensure!(is_repeat_valid, RepeatSnafu);
        Ok(())
    }

    /// Number of tasks of all steps.
    #[must_use]
    pub fn task_count(&self) -> usize {
        let counts = self.steps.iter().map(|s| s.count as usize);
        counts.sum()
    }

    /// Number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |r| r.count)
    }

    /// Due time of an occurrence.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> UnixMs {
        self.repeat.map_or(self.accepted_ms, |r| {
            let interval = u64::try_from(r.interval.as_millis()).unwrap_or(u64::MAX);
            r.first_due_ms
                .saturating_add(interval.saturating_mul(u64::from(occurrence)))
        })
    }
}

/// Expected length of the critical path, given that of each step by its index.
#[must_use]
pub fn critical_path(steps: &[StepSpec], length: impl Fn(usize) -> Expected) -> Expected {
    let longer = |a: Expected, b: Expected| if b.time > a.time { b } else { a };
    let mut ends: Vec<Expected> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let begins = step.after.iter().map(|&a| ends[usize::from(a)]);
        let begins = begins.reduce(longer).unwrap_or_default();
        ends.push(begins.then(length(index)));
    }
    ends.into_iter().reduce(longer).unwrap_or_default()
}

impl StepSpec {
    /// Resources that one task allocates on an endpoint. A filler task allocates no processors.
    #[must_use]
    pub fn task_resources(&self) -> Resources {
        Resources {
            cpu: if self.is_filler { 0 } else { self.need.cpu },
            ..self.need
        }
    }
}
