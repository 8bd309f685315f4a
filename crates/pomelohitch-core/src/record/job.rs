//! Records about batch jobs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, JobClass, JobId, Offset, TeamId, Term};

/// Maximum number of placements in one record.
pub const MAX_PLACEMENTS: usize = 1024;

/// Unique id of an attempt to run a job: the offset of the placement's record times
/// [`MAX_PLACEMENTS`], plus the placement's index in the record. Requests to the platform use it as
/// idempotency key.
pub type AttemptId = u64;

/// Id of the attempt that the placement at `index` of the record at `offset` begins.
#[must_use]
pub fn attempt_id(offset: Offset, index: usize) -> AttemptId {
    offset * MAX_PLACEMENTS as u64 + index as u64
}

/// A proposal about jobs. One record can carry many jobs, which keeps the number of appends low.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobRecord {
    /// Submits jobs from callers.
    Submit(Vec<Job>),
    /// Cancels jobs on behalf of their team.
    Cancel(Vec<JobId>),
    /// Decisions of the planner about jobs and workers.
    Decide(JobDecision),
    /// Reports of the platform on attempts.
    Report {
        /// Position in the platform's report stream below which all reports have been handled.
        next: u64,
        /// Reports to apply, in this order.
        reports: Vec<Report>,
    },
}

/// Decisions of the planner about batch jobs. An entry that doesn't fit the state of its job is
/// ignored; the others still apply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobDecision {
    /// Term in which the decision was made.
    pub term: Term,
    /// Offset of the last decision about jobs that the planner knew; 0 if none.
    pub after: Offset,
    /// Attempts to checkpoint or stop, to free capacity or because their worker is leaving.
    #[serde(default)]
    pub preempt: Vec<Preemption>,
    /// Jobs to place on workers, at most [`MAX_PLACEMENTS`]; any beyond that are ignored.
    #[serde(default)]
    pub place: Vec<Placement>,
    /// Waiting jobs to end as refused, because they fit no worker.
    #[serde(default)]
    pub refuse: Vec<JobId>,
    /// Workers to quarantine, because jobs fail there that succeed elsewhere. They get only probe
    /// jobs.
    #[serde(default)]
    pub quarantine: Vec<InstanceId>,
    /// Workers to release from quarantine, because their probe job succeeded.
    #[serde(default)]
    pub release: Vec<InstanceId>,
}

/// Preempts an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preemption {
    /// Id of the job.
    pub job: JobId,
    /// Attempt to preempt; ignored if it is no longer the current one.
    pub attempt: AttemptId,
}

/// How urgently a job should start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Should start within seconds.
    Urgent,
    /// Can wait until its team's share allows it to run.
    Patient,
}

/// Amounts of a worker's resources.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// A job as submitted by its team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job, derived from the team and the idempotency key if the caller gave one.
    pub id: JobId,
    /// Team that submitted the job.
    pub team: TeamId,
    /// Class of the job. Jobs of a class are assumed to have similar resource use and run time.
    pub class: JobClass,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Declared resource needs; often inaccurate.
    pub need: Resources,
    /// Declared run time; often inaccurate.
    #[serde(with = "crate::millis")]
    pub run_time: Duration,
    /// Whether it is safe to run the job more than once.
    pub idempotent: bool,
    /// Command that the worker runs.
    pub command: Box<str>,
    /// Jobs of a team with the same group are spread over availability zones and racks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Box<str>>,
}

impl Resources {
    /// Whether `self` is at least `need` in every resource.
    #[must_use]
    pub fn covers(&self, need: &Resources) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// Maximum of both for each resource.
    #[must_use]
    pub fn larger(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Sum for each resource, saturating.
    #[must_use]
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference for each resource, saturating at 0.
    #[must_use]
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Assigns a job to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Id of the job.
    pub job: JobId,
    /// Id of the worker.
    pub worker: InstanceId,
    /// Resources to reserve on the worker.
    pub reserve: Resources,
}

/// Report of the platform on an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the job.
    pub job: JobId,
    /// Id of the attempt; the report is ignored if it is no longer the current one.
    pub attempt: AttemptId,
    /// Event to apply.
    pub event: Event,
}

/// Event in the life of an attempt, as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The attempt started.
    Started,
    /// The program finished successfully.
    Succeeded,
    /// The program failed.
    Failed,
    /// The attempt was killed because it used more memory than was reserved.
    MemoryKilled {
        /// Memory use at that time, in mebibytes.
        memory_mib: u64,
    },
    /// A checkpoint was saved and the attempt has stopped.
    Checkpointed,
    /// The attempt was stopped without a checkpoint.
    Stopped,
    /// The worker stopped the attempt because its lease expired.
    LeaseExpired,
    /// The attempt has not started and never will.
    NotStarted,
    /// It can't be determined whether the attempt ran or how it ended.
    Unknown,
}
