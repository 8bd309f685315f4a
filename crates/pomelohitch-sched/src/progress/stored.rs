//! Stored form of a job's progress.
//!
//! The record is rewritten at each change, which includes every start and completion in a busy
//! fleet, so it is kept compact: tasks that wait, run for the first time or are done have short
//! variants, and endpoints are listed once and referred to by index.

use serde::{Deserialize, Serialize};

use super::{Backoff, JobState, Occurrence, Progress, Run, RunView, Task};
use crate::UnixMs;
use crate::id::{EndpointId, RunNumber};
use crate::suspicion::Suspicion;

/// Index into [`Stored::endpoints`].
type EndpointIndex = u32;

/// Value of a progress record.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stored {
    state: JobState,
    ended_ms: UnixMs,
    is_given_up: bool,
    next: u32,
    /// Endpoints of the runs, with their incarnations.
    endpoints: Vec<(EndpointId, u64)>,
    open: Vec<(u32, Vec<Vec<StoredTask>>)>,
}

/// Extension of a progress record, written after [`Stored`] and skipped by versions that don't know
/// it: the positions of the settled runs among all runs.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Settled(Vec<u32>);

impl Settled {
    pub(super) fn of(progress: &Progress) -> Settled {
        let runs = progress.open.values().flat_map(|o| &o.steps);
        let runs = runs.flatten().flat_map(|task| &task.runs);
        let settled = runs.zip(0..).filter(|(run, _)| run.is_settled);
        Settled(settled.map(|(_, position)| position).collect())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn apply(&self, progress: &mut Progress) {
        for (run, position) in progress.runs_mut().zip(0..) {
            run.is_settled = self.0.binary_search(&position).is_ok();
        }
    }
}

/// State of a task.
#[derive(Debug, Serialize, Deserialize)]
enum StoredTask {
    /// Never started.
    Waiting,
    /// Done, without any remaining run.
    Done(RunNumber),
    /// The newest run is the only one; no earlier run failed, was lost or left a checkpoint.
    Running(RunNumber, EndpointIndex),
    /// Any other state.
    Other {
        is_done: bool,
        last_run: RunNumber,
        failures: u32,
        suspicion: Suspicion,
        checkpoint: Box<str>,
        runs: Vec<StoredRun>,
    },
}

/// A run that may exist.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRun {
    number: RunNumber,
    at: EndpointIndex,
    is_leaving: bool,
}

impl Stored {
    pub(super) fn of(progress: &Progress) -> Stored {
        let mut endpoints = Vec::new();
        let open = progress.open.iter().map(|(&occurrence, open)| {
            let steps = open.steps.iter().map(|tasks| {
                let tasks = tasks.iter().map(|t| store(t, &mut endpoints));
                tasks.collect()
            });
            (occurrence, steps.collect())
        });
        Stored {
            state: progress.state,
            ended_ms: progress.ended_ms,
            is_given_up: progress.is_given_up,
            next: progress.next,
            open: open.collect(),
            endpoints,
        }
    }

    /// Restores the progress; `None` if a run refers to an endpoint that is not listed.
    pub(super) fn progress(self) -> Option<Progress> {
        let endpoints = self.endpoints;
        let open = self.open.into_iter().map(|(occurrence, steps)| {
            let steps = steps.into_iter().map(|tasks| {
                let tasks = tasks.into_iter().map(|t| restore(t, &endpoints));
                tasks.collect::<Option<Vec<_>>>()
            });
            let steps = steps.collect::<Option<_>>()?;
            Some((occurrence, Occurrence { steps }))
        });
        Some(Progress {
            state: self.state,
            ended_ms: self.ended_ms,
            is_given_up: self.is_given_up,
            next: self.next,
            open: open.collect::<Option<_>>()?,
        })
    }
}

fn store(task: &Task, endpoints: &mut Vec<(EndpointId, u64)>) -> StoredTask {
    let mut index = |run: &Run| {
        let is_same = |(id, born): &(EndpointId, u64)| *id == run.endpoint && *born == run.born;
        let index = endpoints.iter().position(is_same).unwrap_or_else(|| {
            endpoints.push((run.endpoint.clone(), run.born));
            endpoints.len() - 1
        });
        EndpointIndex::try_from(index).unwrap_or(EndpointIndex::MAX)
    };
    match &task.runs[..] {
        [] if task.is_done => StoredTask::Done(task.last_run),
        [] if task.last_run == 0 => StoredTask::Waiting,
        [run] if is_first_run(task, run) => StoredTask::Running(run.number, index(run)),
        runs => {
            let runs = runs.iter().map(|run| StoredRun {
                number: run.number,
                at: index(run),
                is_leaving: run.is_leaving,
            });
            StoredTask::Other {
                runs: runs.collect(),
                is_done: task.is_done,
                last_run: task.last_run,
                failures: task.failures,
                suspicion: task.suspicion,
                checkpoint: task.checkpoint.clone(),
            }
        }
    }
}

fn is_first_run(task: &Task, run: &Run) -> bool {
    let has_no_setback = task.failures == 0 && task.suspicion == Suspicion::default();
    let starts_fresh = has_no_setback && task.checkpoint.is_empty();
    starts_fresh && !task.is_done && !run.is_leaving && run.number == task.last_run
}

fn restore(task: StoredTask, endpoints: &[(EndpointId, u64)]) -> Option<Task> {
    let run = |number, at: EndpointIndex, is_leaving| {
        let (endpoint, born) = endpoints.get(usize::try_from(at).ok()?)?;
        Some(Run {
            number,
            endpoint: endpoint.clone(),
            born: *born,
            is_leaving,
            is_settled: false,
            view: RunView::default(),
        })
    };
    Some(match task {
        StoredTask::Waiting => Task::default(),
        StoredTask::Done(last_run) => Task {
            is_done: true,
            last_run,
            ..Task::default()
        },
        StoredTask::Running(number, at) => Task {
            last_run: number,
            runs: vec![run(number, at, false)?],
            ..Task::default()
        },
        StoredTask::Other {
            is_done,
            last_run,
            failures,
            suspicion,
            checkpoint,
            runs,
        } => {
            let runs = runs.into_iter().map(|r| run(r.number, r.at, r.is_leaving));
            Task {
                is_done,
                last_run,
                failures,
                suspicion,
                checkpoint,
                runs: runs.collect::<Option<_>>()?,
                failed_at: Vec::new(),
                backoff: Backoff::default(),
            }
        }
    })
}
