//! Progress of jobs, and the durable records of it.
//!
//! A job has two records: its specification, written once, and its [`Progress`], rewritten at each
//! change. When none of its runs exists any more, both are replaced by one short [`EndedJob`],
//! which keeps the amount that a new leader has to read small. A start is recorded before its order
//! is sent, and a completion before it is acknowledged, so that a new leader knows every run that
//! may exist.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::estimates::Expected;
use crate::id::{EndpointId, JobId, RunNumber, TaskId, job_text};
use crate::job::{self, JobSpec, StepSpec};
use crate::loss::Loss;
use crate::suspicion::Suspicion;
use crate::{Steady, UnixMs};

use self::stored::{Settled, Stored};

mod stored;

/// State of a job as reported to callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the job will start no more runs.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// State of the job, or its outcome once final.
    pub state: JobState,
    /// When the state became final; 0 before.
    pub ended_ms: UnixMs,
    /// Whether the job failed because endpoints crashed under one of its tasks.
    pub is_given_up: bool,
    /// Occurrences that have begun and are not done.
    pub open: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to begin.
    pub next: u32,
}

/// One repetition of a job's steps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// Tasks by step.
    pub steps: Vec<Vec<Task>>,
}

/// State of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether one of its runs completed successfully.
    pub is_done: bool,
    /// Number of its newest run; 0 before the first.
    pub last_run: RunNumber,
    /// Number of failed runs.
    pub failures: u32,
    /// Endpoints that were lost while it ran, as evidence that it crashes them.
    pub suspicion: Suspicion,
    /// Checkpoint from which the next run resumes; empty if there is none.
    pub checkpoint: Box<str>,
    /// Runs that may exist: at most one, unless the task has copies.
    pub runs: Vec<Run>,
    /// Endpoints where it failed, so that it is tried elsewhere; not durable.
    pub failed_at: Vec<EndpointId>,
    /// Backoff of its next start after refused starts; not durable.
    pub backoff: Backoff,
    /// How long its first run took on a sound endpoint, once it is done; not durable.
    pub took: Option<Duration>,
}

/// Exponential backoff after starts that were refused for a reason specific to the task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    /// Number of consecutive refused starts.
    consecutive_refusals: u32,
    /// Time before which the task is not started.
    not_before: Steady,
}

/// Backoff after the first refused start; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The backoff doubles at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Backoff {
    /// Records a refused start.
    pub fn record_refusal(&mut self, now: Steady) {
        self.not_before =
            now + FIRST_BACKOFF * 2_u32.pow(self.consecutive_refusals.min(MAX_BACKOFF_DOUBLINGS));
        self.consecutive_refusals += 1;
    }

    /// Whether the next start still has to wait.
    #[must_use]
    pub fn is_waiting(&self, now: Steady) -> bool {
        now < self.not_before
    }
}

/// A run that may exist at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Run number.
    pub number: RunNumber,
    /// Endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub born: u64,
    /// Whether the run of a lasting task was ordered to leave the endpoint. Recorded before the
    /// order is sent, because the endpoint lists the run as running until it is gone.
    pub is_leaving: bool,
    /// Whether the run of a lasting task has been running for so long that the loss of its endpoint
    /// is no evidence against the task. Recorded, since a new leader doesn't know when it began.
    pub is_settled: bool,
    /// Assumed state of the run; not durable.
    pub view: RunView,
}

/// Assumed state of a run, rebuilt after a change of leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunView {
    /// Phase of its start.
    pub phase: Phase,
    /// When its start was decided.
    pub ordered_at: Steady,
    /// When its start was sent.
    pub sent_at: Option<Steady>,
    /// When a poll first listed it as running.
    pub seen_at: Option<Steady>,
    /// When it was first missing from an answer after it had been listed; `None` while it is listed.
    pub missing_since: Option<Steady>,
    /// Percentage that the endpoint reported then.
    pub first_percent: u32,
    /// Last percentage that the endpoint reported.
    pub percent: u32,
    /// When that percentage last changed.
    pub progressed_at: Steady,
    /// When a sample of the endpoint's speed was last taken from it.
    pub sampled_at: Option<Steady>,
    /// Whether it is a copy, started beside another run of its task.
    pub is_copy: bool,
    /// When a stop was last ordered.
    pub stop_sent_at: Option<Steady>,
    /// When a stop was last acknowledged.
    pub stop_acked_at: Option<Steady>,
    /// Time on the clock of the endpoint's incarnation after which its start is void. `None` if the
    /// start was sent before the endpoint restarted: it stays valid in the new incarnation, whose
    /// clock begins at zero.
    pub void_after: Option<Duration>,
    /// Speed that the run is limited to, percent; `None` for full speed.
    pub pace: Option<u32>,
    /// The loss to record if the endpoint's new incarnation does not list it.
    pub loss: Option<Loss>,
}

/// Phase of a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Known only from the records; the next poll shows whether it exists.
    #[default]
    Recorded,
    /// The order is in flight.
    Ordered,
    /// The answer to the order was lost.
    Unanswered,
    /// The endpoint has accepted the start.
    Taken {
        /// When its answer arrived.
        at: Steady,
    },
}

impl RunView {
    /// Whether a stop was ordered.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_sent_at.is_some()
    }

    /// Drops what was proven by the endpoint's former incarnation and doesn't hold for the new one.
    pub fn endpoint_restarted(&mut self) {
        self.void_after = None;
        self.stop_acked_at = None;
    }
}

impl Occurrence {
    /// Creates an occurrence in which no task has run.
    #[must_use]
    pub fn new(steps: &[StepSpec]) -> Occurrence {
        let tasks = |s: &StepSpec| vec![Task::default(); s.count as usize];
        Occurrence {
            steps: steps.iter().map(tasks).collect(),
        }
    }

    /// Whether every task of a step is done.
    #[must_use]
    pub fn is_step_done(&self, step: u16) -> bool {
        self.steps[usize::from(step)].iter().all(|t| t.is_done)
    }

    /// Whether all steps that this one depends on are done.
    #[must_use]
    pub fn is_step_ready(&self, spec: &StepSpec) -> bool {
        spec.after.iter().all(|&a| self.is_step_done(a))
    }

    /// Whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|t| t.is_done)
    }

    /// Number of steps with tasks that are not done.
    #[must_use]
    pub fn steps_left(&self) -> u32 {
        let left = self
            .steps
            .iter()
            .filter(|tasks| tasks.iter().any(|t| !t.is_done));
        u32::try_from(left.count()).unwrap_or(u32::MAX)
    }

    /// Expected work of the tasks that are neither running nor done, given the expected run time of
    /// a task of each step: thousandths of a core times milliseconds.
    #[must_use]
    pub fn waiting_work(
        &self,
        steps: &[StepSpec],
        run_time: impl Fn(&StepSpec) -> Duration,
    ) -> f64 {
        let work = self.steps.iter().zip(steps).map(|(tasks, step)| {
            let waiting = tasks.iter().filter(|t| !t.is_done && t.runs.is_empty());
            let count = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
            let cpu = u32::try_from(step.task_resources().cpu).unwrap_or(u32::MAX);
            f64::from(count) * f64::from(cpu) * run_time(step).as_secs_f64() * 1000.0
        });
        work.sum()
    }

    /// Whether any task has been started.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.steps.iter().flatten().any(|t| t.last_run > 0)
    }

    /// Expected length of the critical path over the tasks that are not done, given that of a
    /// number of tasks of a step.
    #[must_use]
    pub fn remaining_critical_path(
        &self,
        steps: &[StepSpec],
        length: impl Fn(&StepSpec, u32) -> Expected,
    ) -> Expected {
        job::critical_path(steps, |index| {
            let left = self.steps[index].iter().filter(|t| !t.is_done).count();
            length(&steps[index], u32::try_from(left).unwrap_or(u32::MAX))
        })
    }
}

impl Progress {
    /// The task, if its occurrence is open.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let steps = &self.open.get(&id.occurrence)?.steps;
        steps.get(usize::from(id.step))?.get(id.index as usize)
    }

    /// The task for modification, if its occurrence is open.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let steps = &mut self.open.get_mut(&id.occurrence)?.steps;
        steps
            .get_mut(usize::from(id.step))?
            .get_mut(id.index as usize)
    }

    /// Every run that may exist, for modification.
    pub fn runs_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        let steps = self.open.values_mut().flat_map(|o| &mut o.steps);
        steps.flatten().flat_map(|task| &mut task.runs)
    }

    /// Every run that may exist, with its task.
    pub fn runs(&self, job: JobId) -> impl Iterator<Item = (TaskId, &Run)> {
        self.open.iter().flat_map(move |(&occurrence, o)| {
            o.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let id = TaskId {
                        job,
                        occurrence,
                        step: u16::try_from(step).unwrap_or(u16::MAX),
                        index: u32::try_from(index).unwrap_or(u32::MAX),
                    };
                    task.runs.iter().map(move |r| (id, r))
                })
            })
        })
    }
}

/// A record that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(display("record {key}: {source}"))]
pub struct Error {
    key: Box<str>,
    source: postcard::Error,
}

/// Result of encoding and decoding records.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A durable record. The newest record of a key is valid; one without a value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: Box<str>,
    /// Encoded value; `None` deletes the key.
    pub value: Option<Box<[u8]>>,
}

/// Key of a job's specification.
#[must_use]
pub fn spec_key(id: JobId) -> Box<str> {
    format!("j{}", job_text(id)).into()
}

/// Key of a job's progress.
#[must_use]
pub fn progress_key(id: JobId) -> Box<str> {
    format!("p{}", job_text(id)).into()
}

/// Key of an ended job, which replaces the other two records.
#[must_use]
pub fn ended_key(id: JobId) -> Box<str> {
    format!("e{}", job_text(id)).into()
}

/// Encodes `value` as a record.
///
/// # Errors
///
/// If encoding fails, which does not happen for the types of this crate.
pub fn encode(key: Box<str>, value: &impl Serialize) -> Result<Record> {
    let bytes = postcard::to_allocvec(value).context(Snafu { key: key.clone() })?;
    Ok(Record {
        key,
        value: Some(bytes.into()),
    })
}

/// The error for a record whose key isn't a valid one.
pub(crate) fn undecodable(key: &str) -> Error {
    Error {
        key: key.into(),
        source: postcard::Error::DeserializeBadEncoding,
    }
}

/// Decodes the value of a record.
pub(crate) fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    postcard::from_bytes(value).context(Snafu { key })
}

/// Encodes the specification of a job as a record. The terms of its queue follow the specification;
/// versions that don't know them skip them.
///
/// # Errors
///
/// If encoding fails, which does not happen for this type.
pub fn encode_spec(spec: &JobSpec) -> Result<Record> {
    encode(spec_key(spec.id), &(spec, spec.terms))
}

/// Encodes the progress of a job as a record.
///
/// # Errors
///
/// If encoding fails, which does not happen for this type.
pub fn encode_progress(id: JobId, progress: &Progress) -> Result<Record> {
    let settled = Settled::of(progress);
    if settled.is_empty() {
        return encode(progress_key(id), &Stored::of(progress));
    }
    encode(progress_key(id), &(Stored::of(progress), settled))
}

/// A job that has ended and of which no run exists any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    /// Final state.
    pub state: JobState,
    /// When it ended.
    pub ended_ms: UnixMs,
    /// Whether it failed because endpoints crashed under one of its tasks.
    pub is_given_up: bool,
    /// Specification without the text.
    pub spec: JobSpec,
}

impl EndedJob {
    /// The progress that corresponds to this final state.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress {
            state: self.state,
            ended_ms: self.ended_ms,
            is_given_up: self.is_given_up,
            next: self.spec.occurrences(),
            ..Progress::default()
        }
    }
}

/// A decoded record.
#[derive(Debug)]
pub enum Entry {
    /// Specification of a job.
    Spec(Arc<JobSpec>),
    /// Progress of a job.
    Progress(JobId, Progress),
    /// Summary of an ended job.
    Ended(EndedJob),
}

/// Decodes a record.
///
/// # Errors
///
/// If key or value are not those of a job's record.
pub fn decode(key: &str, value: &[u8]) -> Result<Entry> {
    let failed = || Snafu { key };
    let (kind, id) = key.split_at_checked(1).unwrap_or_default();
    let id = crate::id::parse_job(id)
        .map_err(|_| postcard::Error::DeserializeBadEncoding)
        .context(failed())?;
    match kind {
        "j" => {
            let (mut spec, rest) = postcard::take_from_bytes::<JobSpec>(value).context(failed())?;
            if !rest.is_empty() {
                spec.terms = postcard::from_bytes(rest).context(failed())?;
            }
            Ok(Entry::Spec(Arc::new(spec)))
        }
        "p" => {
            let (stored, rest) = postcard::take_from_bytes::<Stored>(value).context(failed())?;
            let mut progress = stored
                .progress()
                .ok_or(postcard::Error::DeserializeBadEncoding)
                .context(failed())?;
            if !rest.is_empty() {
                let settled: Settled = postcard::from_bytes(rest).context(failed())?;
                settled.apply(&mut progress);
            }
            Ok(Entry::Progress(id, progress))
        }
        "e" => {
            let ended = postcard::from_bytes(value).context(failed())?;
            Ok(Entry::Ended(ended))
        }
        _ => Err(postcard::Error::DeserializeBadEncoding).context(failed()),
    }
}
