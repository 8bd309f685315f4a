//! Bookkeeping of jobs and runs, and of the capacity and workspace limits that runs use.

use std::sync::Arc;
use std::time::Duration;

use tracing::info;

use super::{Cell, Job, SiblingTimes};
use crate::demand::StepTimes;
use crate::endpoint::{Allocation, Endpoint};
use crate::id::{EndpointId, JobId, RunNumber, ServiceName, TaskId, job_text};
use crate::job::{JobSpec, StepSpec};
use crate::order::{Action, Due, Order, STOP_RESEND_INTERVAL};
use crate::progress::{JobState, Occurrence, Phase, Progress, Run, RunView, Task};
use crate::resources::Resources;

/// Maximum number of tasks of a job's open occurrences, unless there is only one. Their states are one
/// record, of which the platform accepts 256 KiB, and a task's takes some 40 bytes, or 100 with a
/// checkpoint.
const MAX_OPEN_TASKS: usize = 2_000;

impl Cell {
    /// Adds a job that was just accepted, or one restored from a former leader's records.
    pub(super) fn add_job(&mut self, spec: Arc<JobSpec>, mut progress: Progress) {
        let id = spec.id;
        let is_new = progress.next == 0 && progress.state == JobState::Queued;
        let durable_state = progress.state;
        if progress.state.is_final() {
            self.ended_jobs.insert(Due {
                at_ms: progress.ended_ms,
                job: id,
            });
        }
        // The former leader's stop may not have arrived. With this time set, the stop is sent again
        // if a poll lists the run.
        for run in progress.runs_mut().filter(|r| r.is_leaving) {
            run.view.stop_sent_at = Some(self.now.steady);
        }
        let runs: Vec<_> = progress.runs(id).map(|(t, r)| (t, r.clone())).collect();
        if spec.repeat.is_none() {
            let service = self.service_of(&spec);
            let times = |step: &StepSpec| StepTimes {
                task: self.estimates.expect(&spec.queue, step).time,
                all: self
                    .estimates
                    .expect_step(&spec.queue, step, step.count)
                    .time,
            };
            self.demand
                .add(&service, &spec.steps, spec.accepted_ms, times);
            self.record_arrival(&service, &spec);
        }
        self.jobs.insert(
            id,
            Job {
                spec,
                progress,
                durable_state,
                candidate: None,
                sibling_times: SiblingTimes::default(),
                is_archived: false,
            },
        );
        for (task, run) in runs {
            self.allocate(task, &run.endpoint, run.born, run.number);
        }
        if is_new {
            self.begin_next(id);
        } else {
            self.schedule_next(id);
        }
        self.index(id);
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_due_occurrences(&mut self) {
        let early = u64::try_from(self.settings.early_start.as_millis()).unwrap_or(0);
        while let Some(&due) = self.due_occurrences.first()
            && due.at_ms <= self.now.unix_ms + early
        {
            self.due_occurrences.pop_first();
            self.begin_next(due.job);
            self.index(due.job);
        }
    }

    /// Begins the next occurrence if it is due, and schedules the one after it. While too many tasks of
    /// the job are open, it is held back until an occurrence has ended.
    fn begin_next(&mut self, id: JobId) {
        let early = u64::try_from(self.settings.early_start.as_millis()).unwrap_or(0);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let next = job.progress.next;
        if job.progress.state.is_final() || next >= job.spec.occurrences() {
            return;
        }
        if job.spec.repeat.is_none() || job.spec.due_ms(next) <= self.now.unix_ms + early {
            let open = job.progress.open.len();
            if open > 0 && (open + 1) * job.spec.task_count() > MAX_OPEN_TASKS {
                info!(job = %job_text(id), occurrence = next, open,
                    "occurrence held back: too many tasks of its job are open");
                return;
            }
            let occurrence = Occurrence::new(&job.spec.steps);
            job.progress.open.insert(next, occurrence);
            job.progress.next = next + 1;
            self.dirty.insert(id);
        }
        self.schedule_next(id);
    }

    /// Adds the job's next occurrence, if it has one, to those waiting for their due time.
    pub(super) fn schedule_next(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let next = job.progress.next;
        if !job.progress.state.is_final() && next < job.spec.occurrences() {
            self.due_occurrences.insert(Due {
                at_ms: job.spec.due_ms(next),
                job: id,
            });
        }
    }

    /// The service that runs a job's tasks: that of its queue, or the recorded one if the queue was
    /// removed.
    pub(super) fn service_of(&self, spec: &JobSpec) -> ServiceName {
        self.queue(&spec.queue)
            .map_or_else(|| spec.service.clone(), |q| q.service.clone())
    }

    pub(super) fn step(&self, task: TaskId) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(usize::from(task.step))
    }

    /// Rebuilds the index of ready jobs after a change of the configuration, which may have moved
    /// queues to other services.
    pub(super) fn reindex_jobs(&mut self) {
        self.ready_jobs.clear();
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.index(id);
        }
    }

    /// Updates the indexes of a job and the inputs of its ranking. To be called after any change.
    pub(super) fn index(&mut self, id: JobId) {
        self.index_suspected(id);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let candidate = self.candidate_of(job);
        let service = self.service_of(&job.spec);
        let is_queued = job.progress.state == JobState::Queued && job.spec.repeat.is_none();
        let waiting = self.queued_jobs.entry(job.spec.queue.clone()).or_default();
        if is_queued {
            waiting.insert(id);
        } else {
            waiting.remove(&id);
        }
        let has_waiting = !job.progress.state.is_final() && has_waiting_task(job);
        self.copies.index(job);
        let ready = self.ready_jobs.entry(service).or_default();
        if has_waiting {
            ready.insert(id);
        } else {
            ready.remove(&id);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.candidate = candidate;
        }
    }

    /// Counts a run's resources as used at its endpoint and by its workspace.
    pub(super) fn allocate(
        &mut self,
        task: TaskId,
        endpoint: &EndpointId,
        born: u64,
        number: RunNumber,
    ) {
        let Some(resources) = self.step(task).map(StepSpec::task_resources) else {
            return;
        };
        let need = self.step(task).map(|s| s.need).unwrap_or_default();
        let is_lasting = self.step(task).is_some_and(|s| s.is_lasting);
        let work = self.run_work(task);
        self.endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| Endpoint::new(born))
            .allocate(
                task,
                number,
                Allocation {
                    resources,
                    is_lasting,
                    work,
                },
            );
        if let Some(workspace) = self.workspace_of(task.job) {
            *self.workspace_usage.entry(workspace).or_default() += &need;
        }
    }

    fn workspace_of(&self, id: JobId) -> Option<crate::WorkspaceName> {
        self.jobs.get(&id)?.spec.workspace.clone()
    }

    /// Whether the resource limit of the job's workspace allows `need` more.
    pub(super) fn is_within_limit(&self, spec: &JobSpec, need: &Resources) -> bool {
        let Some(workspace) = &spec.workspace else {
            return true;
        };
        let bound = self.cfg.as_ref().and_then(|c| c.workspace(workspace));
        let mut total = self
            .workspace_usage
            .get(workspace)
            .copied()
            .unwrap_or_default();
        total += need;
        bound.is_none_or(|w| w.bound.allows(&total))
    }

    /// Decides a start. The order is sent once its record is durable.
    pub(super) fn start(&mut self, task: TaskId, endpoint: &EndpointId, ticket: Option<Box<str>>) {
        let (now, fleet_ms) = (self.now.steady, self.fleet_ms());
        let Some(target) = self.target(endpoint) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(t) = job.progress.task_mut(task) else {
            return;
        };
        t.last_run += 1;
        let (run, checkpoint) = (t.last_run, t.checkpoint.clone());
        t.runs.push(Run {
            number: run,
            endpoint: endpoint.clone(),
            born: target.born,
            is_leaving: false,
            is_settled: false,
            view: RunView {
                phase: Phase::Ordered,
                ordered_at: now,
                progressed_at: now,
                ..RunView::default()
            },
        });
        job.progress.state = JobState::Running;
        info!(%task, run, endpoint = %endpoint, queue = %spec.queue,
            waited_ms = fleet_ms.saturating_sub(spec.accepted_ms),
            resumed = !checkpoint.is_empty(), "start decided");
        self.dirty.insert(task.job);
        self.start_window.start_decided();
        self.allocate(task, endpoint, target.born, run);
        self.after_commit.push(Action::Order {
            target,
            order: Order::Start {
                task,
                run,
                spec,
                deadline: Duration::ZERO,
                checkpoint,
                ticket,
            },
            epoch: self.epoch,
            at: now,
        });
    }

    /// Orders a stop of a run, at most once per [`STOP_RESEND_INTERVAL`].
    pub(super) fn stop(&mut self, task: TaskId, run: RunNumber, why: &'static str) {
        let now = self.now.steady;
        let Some(r) = self.run_mut(task, run) else {
            return;
        };
        let is_recent = r
            .view
            .stop_sent_at
            .is_some_and(|at| now.saturating_sub(at) < STOP_RESEND_INTERVAL);
        if is_recent {
            return;
        }
        r.view.stop_sent_at = Some(now);
        let endpoint = r.endpoint.clone();
        info!(%task, run, endpoint = %endpoint, why, "stop decided");
        self.send_stop(&endpoint, task, run);
    }

    /// Sends a stop of a run to an endpoint.
    pub(super) fn send_stop(&mut self, id: &EndpointId, task: TaskId, run: RunNumber) {
        if let Some(target) = self.target(id) {
            self.outbox.push(Action::Order {
                target,
                order: Order::Stop { task, run },
                epoch: self.epoch,
                at: self.now.steady,
            });
        }
    }

    /// Stops a lasting task's run so that it starts on another endpoint. The order is sent once its
    /// record is durable: a leader that takes over without the record would count the task as
    /// working and stop another one of its step too.
    pub(super) fn stop_for_eviction(&mut self, task: TaskId, run: RunNumber) {
        let (now, epoch) = (self.now.steady, self.epoch);
        let Some(r) = self.run_mut(task, run) else {
            return;
        };
        r.is_leaving = true;
        let endpoint = r.endpoint.clone();
        let why = "its endpoint has to be emptied";
        info!(%task, run, endpoint = %endpoint, why, "stop decided");
        self.dirty.insert(task.job);
        let target = self.target(&endpoint);
        self.after_commit.extend(target.map(|target| Action::Order {
            target,
            order: Order::Stop { task, run },
            epoch,
            at: now,
        }));
    }

    pub(super) fn run_mut(&mut self, task: TaskId, run: RunNumber) -> Option<&mut Run> {
        let job = self.jobs.get_mut(&task.job)?;
        let runs = &mut job.progress.task_mut(task)?.runs;
        runs.iter_mut().find(|r| r.number == run)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&task.job)?.progress.task_mut(task)
    }

    pub(super) fn run(&self, task: TaskId, run: RunNumber) -> Option<&Run> {
        let job = self.jobs.get(&task.job)?;
        let runs = &job.progress.task(task)?.runs;
        runs.iter().find(|r| r.number == run)
    }

    /// Removes a run that certainly doesn't exist any more, and releases its resources.
    ///
    /// Returns whether there was such a run.
    pub(super) fn remove_run(&mut self, task: TaskId, run: RunNumber) -> bool {
        let Some(need) = self.step(task).map(|s| s.need) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let workspace = job.spec.workspace.clone();
        let Some(t) = job.progress.task_mut(task) else {
            return false;
        };
        let Some(at) = t.runs.iter().position(|r| r.number == run) else {
            return false;
        };
        let removed = t.runs.remove(at);
        if let Some(endpoint) = self.endpoints.get_mut(&removed.endpoint) {
            endpoint.release(task, run);
        }
        if let Some(used) = workspace.and_then(|w| self.workspace_usage.get_mut(&w)) {
            *used -= &need;
        }
        self.dirty.insert(task.job);
        true
    }
}

/// Whether a ready step has a task that is neither running nor done.
fn has_waiting_task(job: &Job) -> bool {
    job.progress.open.values().any(|o| {
        let steps = o.steps.iter().zip(&job.spec.steps);
        steps.into_iter().any(|(tasks, spec)| {
            tasks.iter().any(|t| !t.is_done && t.runs.is_empty()) && o.is_step_ready(spec)
        })
    })
}
