//! Drains leaving workers, throttles tasks that exceed their worker's capacity, probes quarantined
//! workers, and refuses jobs that fit no worker.

use super::{Decision, Duration, InstanceId, JobId, JobStatus, Planner, Resources, Task, Throttle};

/// Maximum number of waiting jobs that are tried as the probe of a worker.
const MAX_PROBE_CANDIDATES: usize = 64;

impl Planner {
    /// Preempts the tasks on leaving workers: immediately, or after `drain_grace` if they are
    /// expected to end within it.
    pub(super) fn drain(&mut self, now: Duration, decision: &mut Decision) {
        let grace = self.options.drain_grace;
        let mut tasks = Vec::new();
        for (worker, since) in &self.leaving {
            let Some(machine) = self.machines.get(worker) else {
                continue;
            };
            let is_overdue = now.saturating_sub(*since) >= grace;
            tasks.extend(machine.tasks.iter().filter(|id| {
                let Some(job) = self.jobs.get(*id) else {
                    return false;
                };
                let JobStatus::Assigned(task) = &job.status else {
                    return false;
                };
                let ends = task.since + self.sizes.run_time(&job.entry);
                !task.is_stopping && (is_overdue || ends > *since + grace)
            }));
        }
        let tasks: Vec<JobId> = tasks.into_iter().cloned().collect();
        self.preempt(&tasks, decision);
    }

    /// Limits tasks whose usage exceeds their allocation on a worker that is over capacity, before
    /// the worker runs out and kills a task: throttles such a task first, and preempts it if the
    /// worker is still over capacity after `throttle_grace`.
    pub(super) fn limit_overuse(&mut self, now: Duration, decision: &mut Decision) {
        for id in std::mem::take(&mut self.overusing) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let JobStatus::Assigned(task) = &mut job.status else {
                continue;
            };
            let Some(machine) = self.machines.get(&task.worker) else {
                continue;
            };
            if machine.worker.capacity.covers(&machine.allocated) || task.is_stopping {
                continue;
            }
            let Some(attempt) = job.entry.attempt().map(|a| a.attempt) else {
                continue;
            };
            let Some(throttled_at) = task.throttled_at else {
                task.throttled_at = Some(now);
                decision.throttle.push(Throttle {
                    job: id.clone(),
                    worker: task.worker.clone(),
                    attempt,
                });
                self.overusing.push(id);
                continue;
            };
            if now.saturating_sub(throttled_at) < self.options.throttle_grace {
                self.overusing.push(id);
            } else {
                self.preempt(&[id], decision);
            }
        }
    }

    /// Places no job on `worker` for `refusal_backoff`, after it refused to start one although the
    /// accounting has enough free capacity there.
    pub fn observe_start_refusal(&mut self, worker: &InstanceId, now: Duration) {
        let until = now + self.options.refusal_backoff;
        self.backing_off.insert(worker.clone(), until);
        self.update_indices(worker);
    }

    fn end_backoffs(&mut self, now: Duration) {
        let over = self.backing_off.iter().filter(|(_, until)| **until <= now);
        for worker in over.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.backing_off.remove(&worker);
            self.update_indices(&worker);
            self.has_changed = true;
        }
    }

    /// Ends backoffs that are over, quarantines faulty workers, releases those whose probe
    /// succeeded, and starts probes that are due.
    pub(super) fn check_worker_health(&mut self, now: Duration, decision: &mut Decision) {
        self.end_backoffs(now);
        for worker in self.health.take_suspects(self.machines.len()) {
            let before = self.schedulable_capacity(&worker);
            self.health.quarantine(&worker, now);
            self.update_total(&worker, &before);
            decision.quarantine.push(worker);
        }
        decision.release.extend(std::mem::take(&mut self.released));
        for worker in self.health.due_probes(now) {
            if self.probe(&worker, now, decision) {
                self.health.schedule_next_probe(&worker, now);
            }
        }
    }

    /// Places one idempotent job on a quarantined worker, to find out whether the worker has
    /// recovered. Returns whether a suitable job was found.
    fn probe(&mut self, worker: &InstanceId, now: Duration, decision: &mut Decision) -> bool {
        let Some(machine) = self.machines.get(worker) else {
            return false;
        };
        if !machine.worker.takes_work {
            return false;
        }
        let free = machine.free();
        let waiting = self.teams.values().filter(|team| team.active < team.limit);
        let waiting = waiting.flat_map(|team| team.patient.first_of_each_class(|_| false));
        let waiting = waiting.take(MAX_PROBE_CANDIDATES);
        let may_probe = |id: &JobId| {
            let entry = &self.jobs.get(id)?.entry;
            let need = self.need(entry);
            let is_safe = entry.job.idempotent && entry.failed_on.is_empty();
            (is_safe && free.covers(&need)).then_some(need)
        };
        let found = waiting.filter_map(|id| Some((id.clone(), may_probe(id)?)));
        let Some((id, need)) = found.into_iter().next() else {
            return false;
        };
        self.place(&id, worker, need, now, decision);
        self.probes.insert(id, worker.clone());
        true
    }

    /// Whether `need` is within the total capacity of any worker.
    pub(super) fn fits_some_worker(&self, need: &Resources) -> bool {
        let len = self.layout.workers.len();
        self.capacity.first(0, len, need).is_some()
    }

    /// Takes a job that fits no worker out of its queue, so that it doesn't block other jobs.
    /// Returns whether it did.
    pub(super) fn mark_if_unschedulable(
        &mut self,
        id: &JobId,
        need: &Resources,
        now: Duration,
    ) -> bool {
        if self.fits_some_worker(need) {
            return false;
        }
        let Some(mut job) = self.jobs.remove(id) else {
            return false;
        };
        self.dequeue(id, &job);
        job.status = JobStatus::Unschedulable { since: now };
        self.jobs.insert(id.clone(), job);
        self.unschedulable.insert(id.clone());
        true
    }

    /// Queues an unschedulable job again if it fits a worker after a change of the workers.
    pub(super) fn retry_unschedulable(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let entry = job.entry.clone();
        let JobStatus::Unschedulable { .. } = job.status else {
            return;
        };
        let need = self.need(&entry);
        if !self.fits_some_worker(&need) {
            self.unschedulable.insert(id.clone());
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.status = JobStatus::Queued;
        let job = job.clone();
        let key = super::accounting::queue_key(id, &job);
        self.queue_of(&job).insert(&entry.job.class, key);
        self.has_changed = true;
    }

    /// Refuses jobs that have been unschedulable for `unschedulable_grace`; not earlier, since a
    /// large worker may only be rebooting.
    pub(super) fn refuse_unschedulable(&mut self, now: Duration, decision: &mut Decision) {
        let grace = self.options.unschedulable_grace;
        if self.layout.workers.is_empty() {
            return;
        }
        let is_due = |id: &&JobId| match self.jobs.get(*id).map(|job| &job.status) {
            Some(JobStatus::Unschedulable { since }) => now.saturating_sub(*since) >= grace,
            _ => false,
        };
        let due: Vec<_> = self.unschedulable.iter().filter(is_due).cloned().collect();
        for id in &due {
            self.unschedulable.remove(id);
            if let Some(job) = self.jobs.get_mut(id) {
                job.status = JobStatus::Ended;
            }
        }
        decision.refuse.extend(due);
    }

    /// Number of tasks on workers, for the metrics.
    #[must_use]
    pub fn task_count(&self) -> usize {
        let is_on = |job: &&super::Job| matches!(job.status, JobStatus::Assigned(Task { .. }));
        self.jobs.values().filter(is_on).count()
    }
}
