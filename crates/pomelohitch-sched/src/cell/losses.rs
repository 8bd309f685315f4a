//! Lost runs, which ended without an end being reported, most of them together with their
//! endpoints.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, JobId, RunNumber, TaskId};
use crate::job::StepSpec;
use crate::loss::{Loss, LossCause, LossCounts};
use crate::progress::{JobState, Phase, Run, RunView};
use crate::strays::StrayCounts;
use crate::suspicion::Suspicion;
use crate::unanswered::Start;

/// Evidence of the loss of a run.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    view: RunView,
    answers: Answers,
    /// Age of the newest list of instances, counted from its request.
    listed: Option<Duration>,
}

/// What the answers of an endpoint to polls said last.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Answers {
    /// Age of the newest answered poll, counted from its sending.
    pub(super) polled: Option<Duration>,
    /// The same, counted from its answer.
    pub(super) answered: Option<Duration>,
    /// The endpoint's clock in that answer.
    pub(super) clock: Option<Duration>,
    /// Latest end of a lease that was requested, on that clock.
    pub(super) lease_end: Duration,
}

impl Cell {
    /// Handles the loss of a run that certainly doesn't exist any more.
    pub(super) fn run_lost(&mut self, task: TaskId, run: RunNumber, loss: Loss) {
        let Some(endpoint) = self.run(task, run).map(|r| r.endpoint.clone()) else {
            return;
        };
        let Some(evidence) = self.evidence(task, run) else {
            return;
        };
        self.count_copy_end(task, run, false);
        if !self.remove_run(task, run) {
            return;
        }
        let Loss {
            cause, why, born, ..
        } = loss;
        let counts = self.record_loss(task, &loss);
        let suspicion = self.task_mut(task).map(|t| t.suspicion);
        let suspicion = suspicion.unwrap_or_default();
        let Evidence {
            view,
            answers,
            listed,
        } = evidence;
        warn!(%task, run, endpoint = %endpoint, born, ?cause, why, beside = loss.other_runs,
            is_sole = loss.is_sole, worked_ms = loss.ran_for.as_millis(), lost = suspicion.lost,
            certain = suspicion.certain, alone = suspicion.alone, phase = ?view.phase,
            sent_ms = self.age(view.sent_at).map(millis),
            stop_acked_ms = self.age(view.stop_acked_at).map(millis),
            void_after_ms = view.void_after.map(millis), polled_ms = answers.polled.map(millis),
            answered_ms = answers.answered.map(millis), clock_ms = answers.clock.map(millis),
            lease_end_ms = millis(answers.lease_end), listed_ms = listed.map(millis), "run lost");
        *self.loss_counts.entry(cause).or_default() += 1;
        if counts && cause == LossCause::Silence {
            self.presume_lost(task, endpoint, born);
        }
        self.give_up(task, suspicion);
        if let Some(since) = self.suspected.get_mut(&task.job) {
            *since = self.now.steady;
        }
        self.close_done(task.job);
        self.index(task.job);
    }

    /// What the leader knows of a run and its endpoint at this moment.
    fn evidence(&self, task: TaskId, run: RunNumber) -> Option<Evidence> {
        let run = self.run(task, run)?;
        let endpoint = self.endpoints.get(&run.endpoint);
        Some(Evidence {
            view: run.view,
            answers: endpoint.map(|e| self.answers_of(e)).unwrap_or_default(),
            listed: self.age(self.instances.listed_at()),
        })
    }

    /// How old the answers of an endpoint are, and what they said.
    pub(super) fn answers_of(&self, endpoint: &Endpoint) -> Answers {
        Answers {
            polled: self.age(endpoint.polled_at),
            answered: self.age(endpoint.answered_at),
            clock: endpoint.last_clock(),
            lease_end: endpoint.lease_end(),
        }
    }

    /// Time since `at`.
    pub(super) fn age(&self, at: Option<Steady>) -> Option<Duration> {
        at.map(|at| self.now.steady.saturating_sub(at))
    }

    /// Remembers the start of a run that is given up, if it may still be carried out by another
    /// incarnation of its endpoint than `rejected_by`.
    pub(super) fn remember_unanswered(&mut self, task: TaskId, run: RunNumber, rejected_by: u64) {
        let Some(r) = self.run(task, run) else {
            return;
        };
        if let Some(sent_at) = self.undecided_since(r) {
            let start = Start {
                task,
                run,
                sent_at,
                rejected_by,
                held_until: sent_at + self.start_hold(task, r),
            };
            let endpoint = r.endpoint.clone();
            self.unanswered.add(endpoint, start);
        }
    }

    /// Remembers a loss caused by silence. It is retracted if that incarnation answers again.
    fn presume_lost(&mut self, task: TaskId, endpoint: EndpointId, born: u64) {
        let presumed = self
            .presumed_lost
            .entry(endpoint)
            .or_insert((born, Vec::new()));
        if presumed.0 != born {
            *presumed = (born, Vec::new());
        }
        presumed.1.push(task);
    }

    /// Counts a loss against its task, and has the job's record written again if it counts. Returns
    /// whether it does.
    fn record_loss(&mut self, task: TaskId, loss: &Loss) -> bool {
        let limits = self.settings.policy.crashes;
        let Some(t) = self.task_mut(task) else {
            return false;
        };
        let counts = !t.is_done && t.suspicion.record_loss(loss, &limits);
        if counts {
            self.dirty.insert(task.job);
        }
        counts
    }

    /// Fails the job if too many endpoints crashed while running the task. Other lasting tasks of
    /// the job continue, see [`Cell::outlasts_job`].
    fn give_up(&mut self, task: TaskId, suspicion: Suspicion) {
        let is_over = suspicion.is_conclusive(&self.settings.policy.crashes);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !is_over || job.progress.state.is_final() {
            return;
        }
        job.progress.is_given_up = true;
        let Suspicion {
            lost,
            certain,
            alone,
            ..
        } = suspicion;
        warn!(%task, lost, certain, alone,
            "task given up: too many endpoints crashed while running it");
        self.given_up_count += 1;
        self.finish(task.job, JobState::Failed);
    }

    /// Retracts losses caused by an endpoint's silence if the same incarnation answers again.
    pub(super) fn retract_losses(&mut self, id: &EndpointId) {
        let Some((born, tasks)) = self.presumed_lost.remove(id) else {
            return;
        };
        if self.endpoints.get(id).is_none_or(|e| e.born != born) {
            return;
        }
        for task in tasks {
            if let Some(t) = self.task_mut(task) {
                t.suspicion.withdraw_loss();
                info!(%task, endpoint = %id, born, lost = t.suspicion.lost,
                    "loss retracted: endpoint answers again");
                self.dirty.insert(task.job);
                self.index_suspected(task.job);
            }
        }
    }

    /// Drops retractable losses of jobs that have ended or aren't held any more.
    pub(super) fn prune_presumed_lost(&mut self) {
        let jobs = &self.jobs;
        self.presumed_lost.retain(|_, (_, tasks)| {
            tasks.retain(|task| {
                jobs.get(&task.job)
                    .is_some_and(|j| !j.progress.state.is_final())
            });
            !tasks.is_empty()
        });
    }

    /// Clears the suspicion of a task that has run for `cleared_after`.
    pub(super) fn clear_suspicion(&mut self, task: TaskId, ran_for: Duration) {
        if ran_for < self.settings.policy.crashes.cleared_after {
            return;
        }
        if let Some(t) = self.task_mut(task)
            && t.suspicion != Suspicion::default()
        {
            info!(%task, lost = t.suspicion.lost, "suspicion cleared");
            t.suspicion = Suspicion::default();
            self.dirty.insert(task.job);
            self.index_suspected(task.job);
        }
    }

    /// Marks the run of a lasting task as settled once it has run for `proven_again_after`.
    pub(super) fn settle(&mut self, task: TaskId, run: RunNumber, ran_for: Duration) {
        let is_lasting = self.step(task).is_some_and(|s| s.is_lasting);
        if !is_lasting || ran_for < self.settings.policy.crashes.proven_again_after {
            return;
        }
        if let Some(r) = self.run_mut(task, run)
            && !r.is_settled
        {
            r.is_settled = true;
            self.dirty.insert(task.job);
        }
    }

    /// How long the run is known to have been running when its endpoint last answered.
    fn known_to_run_for(&self, run: &Run, endpoint: &Endpoint) -> Duration {
        let settled = if run.is_settled {
            self.settings.policy.crashes.proven_again_after
        } else {
            Duration::ZERO
        };
        ran_for(run, endpoint).max(settled)
    }

    /// Handles that a run isn't at its endpoint. `cause` and `why` apply if the endpoint hasn't
    /// restarted since the run's start; else the run was lost with the former incarnation, and the
    /// loss noted at the restart applies.
    pub(super) fn run_missing(
        &mut self,
        task: TaskId,
        run: RunNumber,
        cause: LossCause,
        why: &'static str,
    ) {
        let Some(r) = self.run(task, run) else {
            return;
        };
        let loss = r.view.loss;
        let loss = loss.unwrap_or(Loss::of_run(cause, why, r.born));
        self.run_lost(task, run, loss);
    }

    /// The cause of losses when an endpoint's incarnation ends: planned if it was draining or its
    /// instance operated on, else a crash.
    pub(super) fn end_cause(&self, id: &EndpointId) -> LossCause {
        let report = self.endpoints.get(id).and_then(|e| e.report.as_ref());
        let is_draining = report.is_some_and(|r| r.is_draining);
        if is_draining || self.instances.is_endpoint_under_way(id) {
            LossCause::Planned
        } else {
            LossCause::Crash
        }
    }

    /// The losses of all runs at an endpoint that ends by `cause`.
    pub(super) fn losses_at(
        &self,
        id: &EndpointId,
        cause: LossCause,
        why: &'static str,
    ) -> Vec<(TaskId, RunNumber, Loss)> {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Vec::new();
        };
        let other_runs = endpoint.runs.len().saturating_sub(1);
        let unproven = self.unproven_jobs(endpoint);
        let lost = endpoint.runs.keys().filter_map(|&(task, number)| {
            let run = self.run(task, number)?;
            let cause = if is_unsent(run) {
                LossCause::NotStarted
            } else {
                cause
            };
            let loss = Loss {
                cause,
                why,
                born: endpoint.born,
                ran_for: self.known_to_run_for(run, endpoint),
                other_runs,
                was_running: self.was_running(task, run, endpoint),
                is_proven: self.is_proven(task, run, endpoint),
                is_sole: unproven.iter().all(|job| *job == task.job),
            };
            Some((task, number, run.view.loss.unwrap_or(loss)))
        });
        lost.collect()
    }

    /// Whether a run has begun and, by the estimate of its duration, can't have ended by itself
    /// since its endpoint last answered.
    fn was_running(&self, task: TaskId, run: &Run, endpoint: &Endpoint) -> bool {
        let answered_at = endpoint.answered_at.unwrap_or_default();
        let silent_for = self.now.steady.saturating_sub(answered_at);
        let has_begun = matches!(run.view.phase, Phase::Taken { .. });
        let must_still_run =
            |s: &StepSpec| s.is_lasting || ran_for(run, endpoint) + silent_for < s.estimate;
        has_begun && self.step(task).is_some_and(must_still_run)
    }

    /// Jobs with runs at the endpoint that are unproven: they haven't been running for long enough to
    /// rule out that they crash it.
    pub(super) fn unproven_jobs(&self, endpoint: &Endpoint) -> BTreeSet<JobId> {
        let unproven = endpoint.runs.keys().filter(|&&(task, number)| {
            let run = self.run(task, number);
            run.is_some_and(|r| !is_unsent(r) && !self.is_proven(task, r, endpoint))
        });
        unproven.map(|(task, _)| task.job).collect()
    }

    /// Whether a run has been running for long enough to rule out that it crashes its endpoint.
    pub(super) fn is_proven(&self, task: TaskId, run: &Run, endpoint: &Endpoint) -> bool {
        let job = self.jobs.get(&task.job);
        let t = job.and_then(|j| j.progress.task(task));
        t.is_some_and(|t| {
            let ran_for = self.known_to_run_for(run, endpoint);
            t.suspicion
                .is_proven(ran_for, &self.settings.policy.crashes)
        })
    }

    /// Number of jobs given up since the last call because endpoints crash while running them.
    pub fn take_given_up(&mut self) -> u64 {
        std::mem::take(&mut self.given_up_count)
    }

    /// Number of stray runs listed for the first time since the last call.
    pub fn take_strays(&mut self) -> StrayCounts {
        self.strays.take_counts()
    }

    /// Number of runs lost since the last call, by cause.
    pub fn take_losses(&mut self) -> LossCounts {
        std::mem::take(&mut self.loss_counts)
    }
}

/// Whether a run's start is decided but not sent yet.
fn is_unsent(run: &Run) -> bool {
    run.view.phase == Phase::Ordered && run.view.sent_at.is_none()
}

/// Time from the first answer of the endpoint that listed the run to its last answer.
fn ran_for(run: &Run, endpoint: &Endpoint) -> Duration {
    let (seen_at, answered_at) = (run.view.seen_at, endpoint.answered_at);
    let duration = seen_at
        .zip(answered_at)
        .map(|(seen_at, answered_at)| answered_at.saturating_sub(seen_at));
    duration.unwrap_or_default()
}

/// Converts a time to whole milliseconds, for logs.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
