//! Batch jobs: the state of each job and its final outcome.
//!
//! ```text
//!             place                started
//!   Waiting ────────▶ Placed ───────────────▶ Running ──▶ Ended
//!      ▲                │    cancel, preempt     │          ▲
//!      │                └──────▶ Stopping ◀──────┘          │
//!      └────────────────────────────┴───────────────────────┘
//! ```
//!
//! A report on the attempt, which may also arrive in `Placed`, ends the job or sends it back to
//! `Waiting`. A waiting job ends directly if it is cancelled or refused.
//!
//! * [`outcome`]: state transitions and final outcomes.
//! * [`table`]: the job table, in chunks shared between copies of the state.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Rejection, Result, State};
use crate::id::{InstanceId, JobClass, JobId, Offset, TeamId};
use crate::record::job::{
    AttemptId, Event, Job, JobDecision, JobRecord, MAX_PLACEMENTS, Placement, Report, Resources,
    attempt_id,
};

pub mod outcome;
pub mod table;

pub use outcome::{End, Outcome, Ran, Reason};
pub use table::Table;

/// Minimum number of ended jobs that are kept with their full entry.
pub const ENDED_ENTRIES_KEPT: u64 = 8_192;
/// Minimum number of ended jobs whose ids are kept, so that a repeated submit doesn't create a
/// second job.
pub const ENDED_IDS_KEPT: u64 = 131_072;
/// An idempotent job ends as failed once it has failed on this many distinct workers that are not
/// quarantined: the cause is then the job and not a worker.
pub const MAX_FAILED_WORKERS: usize = 3;
/// Maximum number of attempts of an idempotent job. Bounds the retries of a job that makes its
/// workers crash.
pub const MAX_ATTEMPTS: u32 = 16;

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Waits for a worker.
    Waiting,
    /// The planner assigned a worker; the platform hasn't reported the start yet.
    Placed(Attempt),
    /// The platform reported that the attempt started.
    Running(Attempt),
    /// The attempt is being stopped. It may still run, so it counts towards the team's limit.
    Stopping(Attempt, StopCause),
    /// Final state.
    Ended(End),
}

/// Why an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// Its team cancelled the job.
    Cancel,
    /// The planner preempted it to free capacity, or because its worker is leaving.
    Preempt,
}

/// One attempt to run a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Id of the attempt. Requests to the platform use it as idempotency key.
    pub attempt: AttemptId,
    /// Worker that runs the attempt.
    pub worker: InstanceId,
    /// Resources reserved on the worker.
    pub reserve: Resources,
}

/// A job and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The job as submitted.
    pub job: Arc<Job>,
    /// Offset of the record that submitted it.
    pub submitted: Offset,
    /// Current state.
    pub state: JobState,
    /// Number of placements, not counting attempts that never started or were checkpointed.
    pub attempts: u32,
    /// Whether the platform holds a checkpoint from which the job resumes.
    pub checkpointed: bool,
    /// Distinct workers on which the job failed.
    pub failed_on: Vec<InstanceId>,
    /// Minimum memory to reserve, in mebibytes, derived from attempts that were killed for their
    /// memory use; 0 if none was.
    pub memory_floor_mib: u64,
}

impl Entry {
    /// Attempt that is running or may be running, if any.
    #[must_use]
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            JobState::Placed(attempt)
            | JobState::Running(attempt)
            | JobState::Stopping(attempt, _) => Some(attempt),
            JobState::Waiting | JobState::Ended(_) => None,
        }
    }
}

/// All batch jobs and the data derived from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Jobs {
    /// Jobs that wait, run or ended recently.
    pub table: Table,
    /// Number of attempts per team that are running or may be running. Teams with none are absent.
    pub active: BTreeMap<TeamId, u32>,
    /// Quarantined workers, with the offset at which the quarantine began.
    pub quarantined: BTreeMap<InstanceId, Offset>,
    /// Highest memory use, in mebibytes, at which a job of each class was killed.
    pub killed_at: BTreeMap<JobClass, u64>,
    /// Offset of the last accepted decision about jobs; 0 if there was none.
    pub decided: Offset,
    /// Position in the platform's report stream below which all reports have been handled.
    pub reports_next: u64,
}

impl State {
    pub(super) fn apply_job_record(&mut self, offset: Offset, record: &JobRecord) -> Result<()> {
        match record {
            JobRecord::Submit(jobs) => {
                self.submit(offset, jobs);
                Ok(())
            }
            JobRecord::Cancel(ids) => {
                let jobs = Arc::make_mut(&mut self.jobs);
                for id in ids {
                    jobs.transition(id, outcome::cancel);
                }
                Ok(())
            }
            JobRecord::Decide(decision) => self.decide(offset, decision),
            JobRecord::Report { next, reports } => {
                let jobs = Arc::make_mut(&mut self.jobs);
                jobs.reports_next = jobs.reports_next.max(*next);
                for report in reports {
                    jobs.report(report);
                }
                Ok(())
            }
        }
    }

    /// Adds jobs. The jobs of one record come from several callers, so each is handled on its own:
    /// a job that is already known, or whose team no longer exists, is skipped.
    fn submit(&mut self, offset: Offset, new: &[Job]) {
        let jobs = Arc::make_mut(&mut self.jobs);
        for job in new {
            if self.config.teams.contains_key(&job.team) {
                jobs.table.submit(offset, job);
            }
        }
    }

    /// Applies a decision of the planner. An append that seemed lost can land seconds later, when
    /// the planner has already made another decision, and applying both would overcommit workers.
    /// So each decision names its predecessor, and is rejected if another one was accepted since.
    fn decide(&mut self, offset: Offset, decision: &JobDecision) -> Result<()> {
        self.members.check_term(decision.term)?;
        if decision.after != self.jobs.decided {
            return Err(Rejection::DecisionOvertaken(self.jobs.decided));
        }
        let (config, limits) = (self.config.clone(), self.limits.clone());
        let jobs = Arc::make_mut(&mut self.jobs);
        jobs.decided = offset;
        for worker in &decision.quarantine {
            jobs.quarantined.entry(worker.clone()).or_insert(offset);
        }
        for worker in &decision.release {
            jobs.quarantined.remove(worker);
        }
        for id in &decision.refuse {
            jobs.transition(id, outcome::refuse);
        }
        for preemption in &decision.preempt {
            jobs.transition(&preemption.job, |entry| {
                outcome::preempt(entry, preemption.attempt)
            });
        }
        let limit_of = |team: &str| {
            config
                .teams
                .get(team)
                .map_or(0, |team| limits.jobs_of(team))
        };
        let numbered = decision.place.iter().enumerate();
        for (index, placement) in numbered.take(MAX_PLACEMENTS) {
            jobs.place(attempt_id(offset, index), placement, &limit_of);
        }
        Ok(())
    }
}

impl Jobs {
    /// Job with this id. `None` if it is unknown, or its entry has been dropped since it ended.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.table.get(id)
    }

    /// Number of attempts of `team` that are running or may be running.
    #[must_use]
    pub fn active_of(&self, team: &str) -> u32 {
        self.active.get(team).copied().unwrap_or(0)
    }

    /// Places a job if it is waiting and its team is below its limit for jobs. Other placements are
    /// ignored: one that raced a cancel or another placement, which keeps a job from having two
    /// attempts at once, and one that the planner based on an outdated count of active jobs.
    fn place(&mut self, attempt: AttemptId, placement: &Placement, limit_of: &dyn Fn(&str) -> u32) {
        let Some(entry) = self.table.get(&placement.job) else {
            return;
        };
        let team = &entry.job.team;
        if entry.state != JobState::Waiting || self.active_of(team) >= limit_of(team) {
            return;
        }
        let attempt = Attempt {
            attempt,
            worker: placement.worker.clone(),
            reserve: placement.reserve,
        };
        self.transition(&placement.job, |entry| {
            entry.attempts += 1;
            Some(JobState::Placed(attempt))
        });
    }

    fn report(&mut self, report: &Report) {
        let Some(entry) = self.table.get(&report.job) else {
            return;
        };
        if entry.attempt().map(|a| a.attempt) != Some(report.attempt) {
            return;
        }
        if let Event::MemoryKilled { memory_mib } = report.event {
            let class = entry.job.class.clone();
            let killed_at = self.killed_at.entry(class).or_default();
            *killed_at = memory_mib.max(*killed_at);
        }
        // Taken out during the transition, which borrows `self` mutably.
        let quarantined = std::mem::take(&mut self.quarantined);
        let is_quarantined = |worker: &InstanceId| quarantined.contains_key(worker);
        self.transition(&report.job, |entry| {
            outcome::report(entry, report.event, &is_quarantined)
        });
        self.quarantined = quarantined;
    }

    /// Sets a job to the state that `next` returns, if any, and updates the team's active count.
    fn transition(&mut self, id: &JobId, next: impl FnOnce(&mut Entry) -> Option<JobState>) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        let was_active = entry.attempt().is_some();
        let Some(state) = next(entry) else { return };
        entry.state = state;
        let is_active = entry.attempt().is_some();
        let has_ended = matches!(entry.state, JobState::Ended(_));
        let team = entry.job.team.clone();
        if has_ended {
            self.table.record_end(id);
        }
        match (was_active, is_active) {
            (false, true) => *self.active.entry(team).or_default() += 1,
            (true, false) => self.decrement_active(&team),
            _ => {}
        }
    }

    fn decrement_active(&mut self, team: &TeamId) {
        let Some(active) = self.active.get_mut(team) else {
            return;
        };
        *active = active.saturating_sub(1);
        if *active == 0 {
            self.active.remove(team);
        }
    }
}
