//! State transitions and final outcomes of jobs.

use serde::{Deserialize, Serialize};

use super::{Attempt, Entry, JobState, MAX_ATTEMPTS, MAX_FAILED_WORKERS, StopCause};
use crate::id::InstanceId;
use crate::record::job::{AttemptId, Event};

/// Final result of a job; it never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Outcome.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// How much of the program ran.
    pub ran: Ran,
    /// Worker of the attempt that ended the job; `None` if the job ended while waiting.
    pub worker: Option<InstanceId>,
}

/// Outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The program finished successfully.
    Succeeded,
    /// The program failed or was killed for its memory use, or the attempts are used up.
    Failed,
    /// The team cancelled the job.
    Cancelled,
    /// The planner refused the job because no worker can ever run it.
    Refused,
    /// The job may have run, and isn't idempotent, so it must not be retried.
    Unknown,
}

/// Reason for the outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The program exited on its own.
    Ended,
    /// The program failed on [`MAX_FAILED_WORKERS`] distinct workers that are not quarantined.
    FailedOnSeveralWorkers,
    /// The attempt was killed for its memory use, and the job isn't idempotent.
    MemoryKilled,
    /// The worker stopped the attempt because its lease expired, and the job isn't idempotent.
    LeaseExpired,
    /// The attempt was stopped without a checkpoint, and the job isn't idempotent.
    Stopped,
    /// The result of the last attempt can't be determined, and the job isn't idempotent.
    NoTrace,
    /// [`MAX_ATTEMPTS`] attempts ended without a final result.
    TooManyAttempts,
    /// The team cancelled the job.
    CancelledByTeam,
    /// No worker has enough resources.
    FitsNoWorker,
}

/// How much of a job's program ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// Nothing ran.
    No,
    /// The program started but didn't finish.
    InPart,
    /// The program finished.
    ToItsEnd,
    /// Not known.
    Unknown,
}

/// New state of the job; `None` if it doesn't change.
type NextState = Option<JobState>;

/// Cancels a job. A waiting job ends at once. A placed one may be running, so it is stopped first
/// and ends with what the platform then reports. This gives all readers the same outcome, and the
/// job counts towards the team's limit until it has certainly stopped.
pub(super) fn cancel(entry: &mut Entry) -> NextState {
    match &entry.state {
        JobState::Waiting => {
            let ran = ran_before(entry, entry.attempts);
            Some(JobState::Ended(End {
                outcome: Outcome::Cancelled,
                reason: Reason::CancelledByTeam,
                ran,
                worker: None,
            }))
        }
        JobState::Placed(attempt) | JobState::Running(attempt) | JobState::Stopping(attempt, _) => {
            Some(JobState::Stopping(attempt.clone(), StopCause::Cancel))
        }
        JobState::Ended(_) => None,
    }
}

/// How much of a job ran in its `attempts` earlier attempts.
fn ran_before(entry: &Entry, attempts: u32) -> Ran {
    if entry.checkpointed || !entry.failed_on.is_empty() {
        Ran::InPart
    } else if attempts > 0 {
        Ran::Unknown
    } else {
        Ran::No
    }
}

/// Refuses a waiting job that fits no worker.
pub(super) fn refuse(entry: &mut Entry) -> NextState {
    (entry.state == JobState::Waiting).then(|| {
        JobState::Ended(End {
            outcome: Outcome::Refused,
            reason: Reason::FitsNoWorker,
            ran: ran_before(entry, entry.attempts),
            worker: None,
        })
    })
}

/// Starts to stop `attempt`, if it is the current one of a placed or running job.
pub(super) fn preempt(entry: &mut Entry, attempt: AttemptId) -> NextState {
    match &entry.state {
        JobState::Placed(current) | JobState::Running(current) if current.attempt == attempt => {
            Some(JobState::Stopping(current.clone(), StopCause::Preempt))
        }
        _ => None,
    }
}

/// Applies the platform's report on the current attempt. Failures on quarantined workers don't
/// count towards [`MAX_FAILED_WORKERS`].
pub(super) fn report(
    entry: &mut Entry,
    event: Event,
    is_quarantined: &dyn Fn(&InstanceId) -> bool,
) -> NextState {
    let attempt = entry.attempt()?.clone();
    let is_cancelled = matches!(entry.state, JobState::Stopping(_, StopCause::Cancel));
    let end = |outcome, reason, ran| Some(ended(&attempt, outcome, reason, ran));
    let cancelled = |ran| end(Outcome::Cancelled, Reason::CancelledByTeam, ran);
    match event {
        Event::Started => match entry.state {
            JobState::Placed(_) => Some(JobState::Running(attempt)),
            _ => None,
        },
        Event::Succeeded => end(Outcome::Succeeded, Reason::Ended, Ran::ToItsEnd),
        Event::Failed if is_cancelled || !entry.job.idempotent => {
            end(Outcome::Failed, Reason::Ended, Ran::ToItsEnd)
        }
        Event::Failed => Some(after_failure(entry, &attempt, is_quarantined)),
        Event::NotStarted if is_cancelled => cancelled(ran_before(entry, entry.attempts - 1)),
        // An attempt that never started doesn't count.
        Event::NotStarted => {
            entry.attempts -= 1;
            Some(JobState::Waiting)
        }
        Event::Checkpointed if is_cancelled => cancelled(Ran::InPart),
        // The job resumes from the checkpoint and repeats nothing, so the attempt doesn't count.
        Event::Checkpointed => {
            entry.checkpointed = true;
            entry.attempts -= 1;
            Some(JobState::Waiting)
        }
        Event::MemoryKilled { .. } | Event::Stopped | Event::LeaseExpired if is_cancelled => {
            cancelled(Ran::InPart)
        }
        Event::MemoryKilled { memory_mib } => {
            let killed_at = memory_mib.max(attempt.reserve.memory_mib);
            entry.memory_floor_mib = entry.memory_floor_mib.max(raised_memory_floor(killed_at));
            Some(retry_or_end(
                entry,
                &attempt,
                Reason::MemoryKilled,
                Ran::InPart,
            ))
        }
        Event::Stopped => Some(retry_or_end(entry, &attempt, Reason::Stopped, Ran::InPart)),
        Event::LeaseExpired => Some(retry_or_end(
            entry,
            &attempt,
            Reason::LeaseExpired,
            Ran::InPart,
        )),
        Event::Unknown if is_cancelled => cancelled(Ran::Unknown),
        Event::Unknown => Some(retry_or_end(entry, &attempt, Reason::NoTrace, Ran::Unknown)),
    }
}

/// Memory to reserve, in mebibytes, after an attempt was killed at a use of `killed_at`: half as
/// much again plus 1 MiB, so that it always grows.
#[must_use]
pub fn raised_memory_floor(killed_at: u64) -> u64 {
    killed_at.saturating_add(killed_at / 2).saturating_add(1)
}

fn ended(attempt: &Attempt, outcome: Outcome, reason: Reason, ran: Ran) -> JobState {
    JobState::Ended(End {
        outcome,
        reason,
        ran,
        worker: Some(attempt.worker.clone()),
    })
}

/// Retries a failed idempotent job on another worker, since the cause may be the worker. After
/// [`MAX_FAILED_WORKERS`] distinct workers that are not quarantined, the job ends as failed.
fn after_failure(
    entry: &mut Entry,
    attempt: &Attempt,
    is_quarantined: &dyn Fn(&InstanceId) -> bool,
) -> JobState {
    if !entry.failed_on.contains(&attempt.worker) {
        entry.failed_on.push(attempt.worker.clone());
    }
    let healthy = entry
        .failed_on
        .iter()
        .filter(|worker| !is_quarantined(worker));
    if healthy.count() >= MAX_FAILED_WORKERS {
        let reason = Reason::FailedOnSeveralWorkers;
        return ended(attempt, Outcome::Failed, reason, Ran::ToItsEnd);
    }
    retry_or_end(entry, attempt, Reason::Ended, Ran::ToItsEnd)
}

/// Retries an idempotent job, up to [`MAX_ATTEMPTS`] attempts. A job that isn't idempotent must
/// not run twice, and ends.
fn retry_or_end(entry: &mut Entry, attempt: &Attempt, reason: Reason, ran: Ran) -> JobState {
    if !entry.job.idempotent {
        let outcome = match reason {
            Reason::MemoryKilled => Outcome::Failed,
            _ => Outcome::Unknown,
        };
        return ended(attempt, outcome, reason, ran);
    }
    if entry.attempts >= MAX_ATTEMPTS {
        return ended(attempt, Outcome::Failed, Reason::TooManyAttempts, ran);
    }
    JobState::Waiting
}
