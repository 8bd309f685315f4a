//! Learning of run times from the runs that end, and what jobs are expected to take.

use std::time::Duration;

use tracing::info;

use super::{Cell, Job};
use crate::Steady;
use crate::endpoint::{EndReason, Ended, Endpoint, PollReply};
use crate::estimates::{Expected, Learned};
use crate::id::{EndpointId, QueueName, TaskId};
use crate::job::{self, StepSpec};
use crate::progress::{Occurrence, Phase, Run, Task};

/// Longest time from sending a start to its answer for which the begin of the run is known well
/// enough.
const MAX_START_TIME: Duration = Duration::from_millis(200);
/// Longest time between two answered polls for which the end of a run is known well enough. Polls
/// wait at the endpoint for up to 0.2 s.
const MAX_POLL_GAP: Duration = Duration::from_millis(500);

/// When an endpoint answered polls: the times that tell when its runs ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct PollTimes {
    /// When the poll before the last one was answered.
    before: Option<Steady>,
    /// When the last poll was sent.
    sent_at: Steady,
    /// When the last poll was answered.
    answered_at: Steady,
}

impl PollTimes {
    pub(super) fn new(endpoint: &Endpoint, answer: &PollReply) -> PollTimes {
        PollTimes {
            before: endpoint.answered_at,
            sent_at: answer.sent_at,
            answered_at: answer.answered_at,
        }
    }

    /// When the runs ended that the last answer lists; `None` if that isn't known well enough.
    ///
    /// A poll that had to wait was answered at the end of a run. One that was answered at once lists
    /// runs that ended some time since the answer before.
    fn ended_at(&self) -> Option<Steady> {
        let before = self.before?;
        let idle = self.sent_at.saturating_sub(before);
        let waited = self.answered_at.saturating_sub(self.sent_at);
        let lag = if waited < idle {
            idle / 2
        } else {
            Duration::ZERO
        };
        let is_known = self.answered_at.saturating_sub(before) <= MAX_POLL_GAP;
        is_known.then(|| self.answered_at.saturating_sub(lag))
    }
}

impl Cell {
    /// Notes how long a run took that has ended, if it tells how long its task takes on a sound
    /// endpoint. To be called before the end is applied.
    pub(super) fn note_run_time(&mut self, id: &EndpointId, end: &Ended, polls: PollTimes) {
        let took = self.run_time(id, end, polls);
        if let Some(took) = took
            && let Some(task) = self.task_mut(end.task)
        {
            task.took = Some(took);
        }
    }

    fn run_time(&self, id: &EndpointId, end: &Ended, polls: PollTimes) -> Option<Duration> {
        if end.how != EndReason::Done || !self.settings.policy.learns_run_times {
            return None;
        }
        let step = self.step(end.task)?;
        let task = self.jobs.get(&end.task.job)?.progress.task(end.task)?;
        let run = self.run(end.task, end.run)?;
        let endpoint = self.endpoints.get(id)?;
        let is_first = run.number == 1 && !task.is_done && task.checkpoint.is_empty();
        let is_telling = is_telling(step) && is_first;
        if !is_telling || run.view.pace.is_some() || !self.is_sound(endpoint, step) {
            return None;
        }
        Some(polls.ended_at()?.saturating_sub(began_at(run)?))
    }

    /// Whether a task of the step takes as long at the endpoint as its work does.
    fn is_sound(&self, endpoint: &Endpoint, step: &StepSpec) -> bool {
        let is_avoided = endpoint.is_unresponsive || endpoint.avoided_until > self.now.steady;
        let is_near = step.near.as_deref().is_none_or(|l| endpoint.has_label(l));
        !is_avoided && !endpoint.speed.is_slow() && is_near
    }

    /// Learns from a step of which all tasks are done.
    pub(super) fn learn_step(&mut self, task: TaskId) {
        let now = self.fleet_ms();
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else {
            return;
        };
        let open = job.progress.open.get(&task.occurrence);
        let Some(open) = open.filter(|o| o.is_step_done(task.step)) else {
            return;
        };
        let tasks = &open.steps[usize::from(task.step)];
        let took: Vec<Duration> = tasks.iter().filter_map(|t| t.took).collect();
        let queue = &job.spec.queue;
        self.estimates.record(queue, step, &took, now);
        if let Some(learned) = self.estimates.take_change(queue) {
            info!(%queue, factor = learned.factor, deviation = learned.deviation,
                steps = learned.steps, "run times learned");
        }
    }

    /// Expected work of a run of the task, thousandths of a core times milliseconds; 0 for lasting
    /// tasks.
    pub(super) fn run_work(&self, task: TaskId) -> u64 {
        let queue = self.jobs.get(&task.job).map(|j| &j.spec.queue);
        let step = self.step(task).filter(|s| !s.is_lasting);
        queue.zip(step).map_or(0, |(queue, step)| {
            let time = self.estimates.expect(queue, step).time.as_millis();
            let time = u64::try_from(time).unwrap_or(u64::MAX);
            step.task_resources().cpu.saturating_mul(time)
        })
    }

    /// What was learned of the run times of each queue.
    pub fn learned_run_times(&self) -> impl Iterator<Item = (&QueueName, Learned)> {
        self.estimates.learned()
    }

    /// Expected length of a job's whole critical path. Steps that are done count with the time that
    /// they took.
    pub(super) fn expected_path(&self, job: &Job, open: &Occurrence) -> Expected {
        let steps = &job.spec.steps;
        job::critical_path(steps, |index| {
            let (tasks, step) = (&open.steps[index], &steps[index]);
            let took = longest(tasks).map(|time| Expected {
                time,
                deviation: Duration::ZERO,
            });
            took.unwrap_or_else(|| {
                self.estimates
                    .expect_step(&job.spec.queue, step, step.count)
            })
        })
    }
}

/// Whether how long a task of the step runs depends on its work alone.
fn is_telling(step: &StepSpec) -> bool {
    !step.is_lasting && !step.is_gang && !step.is_rack_local && !step.is_filler
}

/// When a run began; `None` if that isn't known well enough: the leader didn't start it itself, or
/// had no timely answer.
fn began_at(run: &Run) -> Option<Steady> {
    let Phase::Taken { at } = run.view.phase else {
        return None;
    };
    let sent_at = run.view.sent_at?;
    (at.saturating_sub(sent_at) <= MAX_START_TIME).then_some(at)
}

/// Longest run time of the tasks of a step, if all are known.
fn longest(tasks: &[Task]) -> Option<Duration> {
    let took: Option<Vec<Duration>> = tasks.iter().map(|t| t.took).collect();
    took?.into_iter().max()
}
