//! Copies of runs that end too late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::info;

use super::schedule::ready_steps;
use super::speeds::{is_plain, may_resume, observation_of};
use super::{Cell, Job};
use crate::Steady;
use crate::copies::{self, Room, Running};
use crate::endpoint::Endpoint;
use crate::estimates::Expected;
use crate::id::{JobId, RunNumber, ServiceName, TaskId};
use crate::job::{JobSpec, StepSpec};
use crate::place::{Slot, Slots};
use crate::progress::{JobState, Run, Task};
use crate::suspicion::Suspicion;
use crate::urgency::{Candidate, STEP_OVERHEAD};

/// Minimum time between two passes.
const INTERVAL: Duration = Duration::from_millis(100);
/// No end of a run is in sight once its endpoint hasn't answered for this long. A poll that was sent
/// before the run started may be held for 0.7 s.
const SILENT_AFTER: Duration = Duration::from_millis(800);
/// Minimum time between two copies of a task, of which the first wasn't carried out.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Jobs whose runs may be copied, and their copies.
#[derive(Debug, Default)]
pub(super) struct Copies {
    /// Jobs that have begun and have a step that allows copies.
    jobs: BTreeSet<JobId>,
    /// Tasks of which a copy was started, and when last.
    started: BTreeMap<TaskId, Steady>,
    considered_at: Steady,
    counts: CopyCounts,
}

/// Numbers of copies by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Decided starts.
    pub started: u64,
    /// Copies whose end was the one that counted.
    pub won: u64,
    /// Copies that were in vain: the first run ended before, or the copy failed or was lost.
    pub lost: u64,
}

impl Copies {
    /// Updates whether runs of the job may be copied. To be called after any change of it.
    pub(super) fn index(&mut self, job: &Job) {
        let has_begun = job.progress.state == JobState::Running;
        if has_begun && job.spec.steps.iter().any(|s| s.may_copy && is_plain(s)) {
            self.jobs.insert(job.spec.id);
        } else {
            self.jobs.remove(&job.spec.id);
        }
    }
}

impl Cell {
    /// Starts copies of the runs because of which jobs would miss their objectives.
    pub(super) fn copy_stragglers(&mut self) {
        let now = self.now.steady;
        let is_due = now >= self.copies.considered_at + INTERVAL.max(self.housekeeping_interval());
        if !is_due || !self.settings.policy.copies_stragglers || self.is_lagging() {
            return;
        }
        self.copies.considered_at = now;
        let jobs = &self.copies.jobs;
        let is_recent = |at: &Steady| now < *at + RETRY_DELAY;
        self.copies
            .started
            .retain(|task, at| jobs.contains(&task.job) || is_recent(at));
        for (service, running) in self.copyable_by_service() {
            let unlimited = Room {
                free: u64::MAX,
                copies: 0,
            };
            let is_needless = copies::choose(&running, unlimited).is_empty();
            if !is_needless && !self.has_waiting_in_time(&service) {
                self.copy_in_service(&service, &running);
            }
        }
    }

    /// Starts copies within a service.
    fn copy_in_service(&mut self, service: &ServiceName, running: &[Running]) {
        let mut slots = self.slots(service);
        let sound = slots.list.iter().filter(|s| !s.is_slow);
        let copied = running.iter().filter(|r| r.has_copy);
        let room = Room {
            free: sound.map(|s| s.free.cpu).sum(),
            copies: copied.map(|r| r.cpu).sum(),
        };
        for task in copies::choose(running, room) {
            let chosen = running.iter().find(|r| r.task == task);
            if !self.start_window.has_capacity() {
                return;
            }
            if let Some(straggler) = chosen {
                self.start_copy(straggler, &mut slots);
            }
        }
    }

    /// Starts a copy of a task if there is a place for it.
    fn start_copy(&mut self, straggler: &Running, slots: &mut Slots) {
        let task = straggler.task;
        let first = TaskId { index: 0, ..task };
        let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        let step = &spec.steps[usize::from(task.step)];
        let Some(from) = self.only_endpoint(task) else {
            return;
        };
        if !self.is_within_limit(&spec, &step.need) {
            return;
        }
        let Some(allowed) = self.allowed_endpoints(&spec, first, &slots.list) else {
            return;
        };
        let siblings = slots.siblings(&self.siblings(first));
        let place = self.place(step, task, &allowed, slots, &siblings, Some(&from));
        let Some(place) = place else {
            return;
        };
        let slot = &mut slots.list[place];
        slot.allocate(step);
        let endpoint = slot.id.clone();
        let ticket = self.ticket(first, &endpoint);
        info!(%task, endpoint = %endpoint, beside = %from.id, is_slow = from.is_slow,
            left_ms = straggler.time_left.map(|t| t.as_millis()),
            copy_ms = straggler.copy_time.as_millis(), due_ms = straggler.due_in.as_millis(),
            "copy decided");
        self.start(task, &endpoint, ticket);
        self.copies.counts.started += 1;
        self.copies.started.insert(task, self.now.steady);
        if let Some(run) = self.task_mut(task).and_then(|t| t.runs.last_mut()) {
            run.view.is_copy = true;
        }
        self.index(task.job);
    }

    /// The endpoint of a task's only run.
    fn only_endpoint(&self, task: TaskId) -> Option<Slot> {
        let t = self.jobs.get(&task.job)?.progress.task(task)?;
        let [run] = &t.runs[..] else {
            return None;
        };
        Some(Slot::new(&run.endpoint, self.endpoints.get(&run.endpoint)?))
    }

    /// Running tasks of steps that allow copies, by service.
    fn copyable_by_service(&self) -> BTreeMap<ServiceName, Vec<Running>> {
        let mut by_service: BTreeMap<ServiceName, Vec<Running>> = BTreeMap::new();
        let jobs = self.copies.jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in jobs {
            let running = self.copyable_of(job);
            if !running.is_empty() {
                let service = self.service_of(&job.spec);
                by_service.entry(service).or_default().extend(running);
            }
        }
        by_service
    }

    /// Running tasks of a job's steps that allow copies, of its first open occurrence.
    fn copyable_of(&self, job: &Job) -> Vec<Running> {
        let first_open = job.progress.open.first_key_value();
        let Some((candidate, (&occurrence, open))) = job.candidate.as_ref().zip(first_open) else {
            return Vec::new();
        };
        if self.suspected.contains_key(&job.spec.id) {
            return Vec::new();
        }
        let mut running = Vec::new();
        for (index, step) in job.spec.steps.iter().enumerate() {
            if !step.may_copy || !is_plain(step) {
                continue;
            }
            let in_time = self.times_left(candidate, step, &job.spec);
            for (position, t) in open.steps[index].iter().enumerate() {
                let task = TaskId {
                    job: job.spec.id,
                    occurrence,
                    step: u16::try_from(index).unwrap_or(u16::MAX),
                    index: u32::try_from(position).unwrap_or(u32::MAX),
                };
                running.extend(self.running_task(task, t, step, in_time));
            }
        }
        running
    }

    /// Time until a step has to end for its job to meet its objective, and for it not to count as
    /// late.
    fn times_left(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        spec: &JobSpec,
    ) -> (Duration, Duration) {
        let own = self.estimates.expect_step(&spec.queue, step, step.count);
        let later = candidate.remaining_critical_path.saturating_sub(own.time)
            + STEP_OVERHEAD * candidate.steps_left.saturating_sub(1);
        let from = Duration::from_millis(candidate.from_ms);
        let allowed = Duration::from_millis(candidate.objective_ms()).saturating_sub(from);
        let passed = Duration::from_millis(self.fleet_ms()).saturating_sub(from) + later;
        let late = allowed.mul_f64(self.settings.policy.late_factor);
        (allowed.saturating_sub(passed), late.saturating_sub(passed))
    }

    fn running_task(
        &self,
        task: TaskId,
        t: &Task,
        step: &StepSpec,
        (due_in, late_in): (Duration, Duration),
    ) -> Option<Running> {
        let run = t.runs.first().filter(|_| !t.is_done)?;
        let endpoint = self.endpoints.get(&run.endpoint)?;
        let (expected, _) = self.expected_run(task, &run.endpoint);
        Some(Running {
            task,
            cpu: step.task_resources().cpu,
            time_left: self.time_left(run, step, endpoint, expected),
            copy_time: copy_time(run, endpoint, expected, self.now.steady),
            due_in,
            late_in,
            has_copy: t.runs.len() > 1,
            may_start: self.may_copy(task, t, run, endpoint),
        })
    }

    /// Time until a run ends by its progress; `None` if no end is in sight.
    fn time_left(
        &self,
        run: &Run,
        step: &StepSpec,
        endpoint: &Endpoint,
        expected: Expected,
    ) -> Option<Duration> {
        let now = self.now.steady;
        if self.is_silent(endpoint) {
            return None;
        }
        let answered_at = endpoint.answered_at.unwrap_or(now);
        let observation = observation_of(run, answered_at);
        let by_pace = observation
            .time_left(expected.time)
            .filter(|_| !may_resume(step, run.number));
        let left = by_pace.unwrap_or_else(|| {
            let slowness = endpoint.speed.slowness(now).unwrap_or(1.0).max(1.0);
            let run_time = expected.time.mul_f64(slowness);
            run_time.saturating_sub(observation.observed_for)
        });
        Some(left.saturating_sub(now.saturating_sub(answered_at)))
    }

    /// Whether the endpoint has left polls of this leader unanswered.
    fn is_silent(&self, endpoint: &Endpoint) -> bool {
        let now = self.now.steady;
        let heard_at = endpoint.answered_at.unwrap_or(self.leader_since);
        now.saturating_sub(heard_at) > SILENT_AFTER
    }

    /// Whether a task may get a second run now.
    fn may_copy(&self, task: TaskId, t: &Task, run: &Run, endpoint: &Endpoint) -> bool {
        let now = self.now.steady;
        let is_recent = |at: &Steady| now < *at + RETRY_DELAY;
        let is_blameless = !self.is_silent(endpoint) || self.is_proven(task, run, endpoint);
        t.runs.len() == 1
            && !run.view.is_stopping()
            && is_blameless
            && t.suspicion == Suspicion::default()
            && !t.backoff.is_waiting(now)
            && !self.copies.started.get(&task).is_some_and(is_recent)
            && copies::is_within_attempts(t.failures, t.runs.len(), self.attempts(task.job))
    }

    /// Whether a job of the service that can be in time waits for capacity.
    fn has_waiting_in_time(&self, service: &ServiceName) -> bool {
        let now_ms = self.fleet_ms();
        let late_factor = self.settings.policy.late_factor;
        let can_be_in_time = |c: &Candidate| {
            let allowed = Duration::from_millis(c.objective_ms().saturating_sub(c.from_ms));
            let passed = Duration::from_millis(now_ms.saturating_sub(c.from_ms));
            c.is_lasting || passed + c.remaining_critical_path <= allowed.mul_f64(late_factor)
        };
        if !self.shortages.contains_key(service) {
            return false;
        }
        let waiting = self.ready_jobs.get(service).into_iter().flatten();
        let waiting = waiting.filter_map(|id| self.jobs.get(id));
        waiting
            .filter(|job| !ready_steps(job).is_empty())
            .filter_map(|job| job.candidate.as_ref())
            .any(can_be_in_time)
    }

    /// Counts what became of a copy, if the run is one. To be called before the run is removed.
    pub(super) fn count_copy_end(&mut self, task: TaskId, run: RunNumber, is_success: bool) {
        let is_copy = self.run(task, run).is_some_and(|r| r.view.is_copy);
        if !is_copy {
            return;
        }
        let is_first_end = self.task_mut(task).is_some_and(|t| !t.is_done);
        let counts = &mut self.copies.counts;
        if is_success && is_first_end {
            counts.won += 1;
        } else {
            counts.lost += 1;
        }
    }

    /// Numbers of copies since the last call.
    pub fn take_copies(&mut self) -> CopyCounts {
        std::mem::take(&mut self.copies.counts)
    }
}

/// Time that a copy takes, with its deviation. If the other runs at the endpoint since the start of
/// this one were fast, its task takes long by itself, and would elsewhere.
fn copy_time(run: &Run, endpoint: &Endpoint, expected: Expected, now: Steady) -> Duration {
    let usual = expected.time + expected.deviation;
    let answered_at = endpoint.answered_at.unwrap_or(now);
    let observation = observation_of(run, answered_at);
    let began = answered_at.saturating_sub(observation.observed_for);
    let slowness = endpoint.speed.slowness_of_runs_since(began);
    let own = observation.run_time(expected.time).zip(slowness);
    own.map_or(usual, |(run_time, slowness)| {
        usual.max(run_time.div_f64(slowness.max(1.0)))
    })
}
