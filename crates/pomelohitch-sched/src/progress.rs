//! How far a job is, and the durable records of it.
//!
//! A job has two records: what was asked for, written once, and its [`Progress`], written anew
//! at each change. One short [`EndedJob`] takes their place once nothing of it runs any more, so
//! that a successor has little to read. A start stands in the progress before its order goes out, and an end before
//! it is acknowledged, so that whoever takes over knows every run that may exist.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::id::{EndpointId, JobId, RunNumber, TaskId, job_text};
use crate::job::{self, JobSpec, StepSpec};
use crate::loss::Loss;
use crate::suspicion::Suspicion;
use crate::{Steady, UnixMs};

use self::stored::Stored;

mod stored;

/// What callers are told of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    #[default]
    Queued,
    /// Some task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job will start any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How far a job is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// What it comes to.
    pub state: JobState,
    /// When the state became final; 0 before.
    pub ended_ms: UnixMs,
    /// Whether it failed because endpoints crash under one of its tasks.
    pub is_given_up: bool,
    /// Occurrences that have begun and aren't done.
    pub open: BTreeMap<u32, Occurrence>,
    /// The next one that is to begin.
    pub next: u32,
}

/// One repetition of a job's steps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Occurrence {
    /// Tasks by step.
    pub steps: Vec<Vec<Task>>,
}

/// One task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether a run of it ended well.
    pub is_done: bool,
    /// The number of its newest run; 0 before the first.
    pub last_run: RunNumber,
    /// Runs that failed.
    pub failures: u32,
    /// What the endpoints that were lost under it say of it.
    pub suspicion: Suspicion,
    /// Where the next run goes on; empty at the start.
    pub checkpoint: Box<str>,
    /// Runs that may exist: at most one, but for copies.
    pub runs: Vec<Run>,
    /// Where it failed, so that it is tried elsewhere; not durable.
    pub failed_at: Vec<EndpointId>,
    /// Its next start waits after starts that were refused; not durable.
    pub backoff: Backoff,
}

/// How long a task waits after starts that were refused for a reason of their own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    /// Starts refused one after another.
    refused: u32,
    /// Not started before.
    until: Steady,
}

/// The wait after the first refused start; each further one doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The wait is doubled so often at most.
const BACKOFF_DOUBLINGS: u32 = 5;

impl Backoff {
    /// Takes in that a start was refused.
    pub fn refused(&mut self, now: Steady) {
        self.until = now + FIRST_BACKOFF * 2_u32.pow(self.refused.min(BACKOFF_DOUBLINGS));
        self.refused += 1;
    }

    /// Whether the next start still waits.
    #[must_use]
    pub fn holds(&self, now: Steady) -> bool {
        now < self.until
    }
}

/// A run that may exist at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Its number.
    pub number: RunNumber,
    /// Where it is.
    pub endpoint: EndpointId,
    /// Which life of the endpoint.
    pub born: u64,
    /// Whether its lasting task was told to leave the endpoint. Durable before the order goes out,
    /// since the endpoint lists it as at work until it is gone.
    pub is_leaving: bool,
    /// What is believed of it; not durable.
    pub view: RunView,
}

/// What is believed of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunView {
    /// How far its start is.
    pub phase: Phase,
    /// When its start was decided.
    pub ordered_at: Steady,
    /// When its start was sent.
    pub sent_at: Option<Steady>,
    /// When it was first seen at work.
    pub seen_at: Option<Steady>,
    /// The percentage the endpoint gave last.
    pub percent: u32,
    /// When that percentage last changed.
    pub moved_at: Steady,
    /// When a stop was last ordered.
    pub stop_sent_at: Option<Steady>,
    /// When a stop was last acknowledged.
    pub stop_acked_at: Option<Steady>,
    /// Its start is void after this point of the endpoint's clock.
    pub void_after: Option<Duration>,
    /// The share that it is paced to; `None` for all.
    pub pace: Option<u32>,
    /// How it is lost if the endpoint's new incarnation doesn't list it.
    pub loss: Option<Loss>,
}

/// How far a start is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Known from the records only: a look decides.
    #[default]
    Recorded,
    /// The order is on its way.
    Ordered,
    /// The order's answer was lost.
    Unanswered,
    /// The endpoint has taken it.
    Taken {
        /// When its answer came.
        at: Steady,
    },
}

impl RunView {
    /// Whether a stop was ordered.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_sent_at.is_some()
    }
}

impl Occurrence {
    /// A fresh occurrence of `steps`.
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

    /// Whether a step's turn has come.
    #[must_use]
    pub fn is_step_ready(&self, spec: &StepSpec) -> bool {
        spec.after.iter().all(|&a| self.is_step_done(a))
    }

    /// Whether all is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|t| t.is_done)
    }

    /// How many steps have tasks that aren't done.
    #[must_use]
    pub fn steps_left(&self) -> u32 {
        let left = self
            .steps
            .iter()
            .filter(|tasks| tasks.iter().any(|t| !t.is_done));
        u32::try_from(left.count()).unwrap_or(u32::MAX)
    }

    /// What the tasks take that neither run nor are done, by their estimates: thousandths of a core
    /// times milliseconds.
    #[must_use]
    pub fn waiting_work(&self, steps: &[StepSpec]) -> f64 {
        let work = self.steps.iter().zip(steps).map(|(tasks, step)| {
            let waiting = tasks.iter().filter(|t| !t.is_done && t.runs.is_empty());
            let count = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
            let cpu = u32::try_from(step.room().cpu).unwrap_or(u32::MAX);
            f64::from(count) * f64::from(cpu) * step.estimate.as_secs_f64() * 1000.0
        });
        work.sum()
    }

    /// Whether some task has run.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.steps.iter().flatten().any(|t| t.last_run > 0)
    }

    /// The longest chain of estimates that is left.
    #[must_use]
    pub fn chain_left(&self, steps: &[StepSpec]) -> Duration {
        job::chain(steps, |step| self.steps[step].iter().any(|t| !t.is_done))
    }
}

impl Progress {
    /// A task, if its occurrence is open.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let steps = &self.open.get(&id.occurrence)?.steps;
        steps.get(usize::from(id.step))?.get(id.index as usize)
    }

    /// A task to change, if its occurrence is open.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let steps = &mut self.open.get_mut(&id.occurrence)?.steps;
        steps
            .get_mut(usize::from(id.step))?
            .get_mut(id.index as usize)
    }

    /// Every run that may exist, to change.
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

/// A record that can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(display("record {key}: {source}"))]
pub struct Error {
    key: Box<str>,
    source: postcard::Error,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A durable record: the newest one of a key counts, and one without a value drops the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// What it is about.
    pub key: Box<str>,
    /// What is so now.
    pub value: Option<Box<[u8]>>,
}

/// The key of what was asked for.
#[must_use]
pub fn spec_key(id: JobId) -> Box<str> {
    format!("j{}", job_text(id)).into()
}

/// The key of how far it is.
#[must_use]
pub fn progress_key(id: JobId) -> Box<str> {
    format!("p{}", job_text(id)).into()
}

/// The key of a job that has ended, in place of the other two.
#[must_use]
pub fn ended_key(id: JobId) -> Box<str> {
    format!("e{}", job_text(id)).into()
}

/// Makes a record of `value`.
///
/// # Errors
/// If it can't be encoded, which for these types doesn't happen.
pub fn encode(key: Box<str>, value: &impl Serialize) -> Result<Record> {
    let bytes = postcard::to_allocvec(value).context(Snafu { key: key.clone() })?;
    Ok(Record {
        key,
        value: Some(bytes.into()),
    })
}

/// The record of how far a job is.
///
/// # Errors
/// If it can't be encoded, which for these types doesn't happen.
pub fn encode_progress(id: JobId, progress: &Progress) -> Result<Record> {
    encode(progress_key(id), &Stored::of(progress))
}

/// A job that has ended and of which nothing runs any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedJob {
    /// What it came to.
    pub state: JobState,
    /// When.
    pub ended_ms: UnixMs,
    /// Whether it failed because endpoints crash under one of its tasks.
    pub is_given_up: bool,
    /// What was asked for, without the text.
    pub spec: JobSpec,
}

impl EndedJob {
    /// How far such a job is.
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

/// A record as read.
#[derive(Debug)]
pub enum Entry {
    /// What was asked for.
    Spec(Arc<JobSpec>),
    /// How far it is.
    Progress(JobId, Progress),
    /// All that is kept of a job that has ended.
    Ended(EndedJob),
}

/// Reads a record.
///
/// # Errors
/// If key or value aren't ones of a job.
pub fn decode(key: &str, value: &[u8]) -> Result<Entry> {
    let failed = || Snafu { key };
    let (kind, id) = key.split_at_checked(1).unwrap_or_default();
    let id = crate::id::parse_job(id)
        .map_err(|_| postcard::Error::DeserializeBadEncoding)
        .context(failed())?;
    match kind {
        "j" => {
            let spec = postcard::from_bytes(value).context(failed())?;
            Ok(Entry::Spec(Arc::new(spec)))
        }
        "p" => {
            let stored: Stored = postcard::from_bytes(value).context(failed())?;
            let progress = stored
                .progress()
                .ok_or(postcard::Error::DeserializeBadEncoding)
                .context(failed())?;
            Ok(Entry::Progress(id, progress))
        }
        "e" => {
            let ended = postcard::from_bytes(value).context(failed())?;
            Ok(Entry::Ended(ended))
        }
        _ => Err(postcard::Error::DeserializeBadEncoding).context(failed()),
    }
}
