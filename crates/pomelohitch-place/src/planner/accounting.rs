//! Accounting of workers, teams and jobs.

use super::{
    AttemptEnd, AttemptId, Duration, Entry, Index, InstanceId, JobId, JobState, JobStatus, Layout,
    Machine, Planner, Queue, QueueKey, Resources, Task, Team, TeamId, TeamQuota, Worker,
};
use super::{Job, dominant_share};

impl Planner {
    /// Adds or updates a worker.
    pub fn set_worker(&mut self, worker: Worker, now: Duration) {
        if worker.takes_work {
            self.leaving.remove(&worker.id);
        } else {
            self.leaving.entry(worker.id.clone()).or_insert(now);
        }
        self.has_changed = true;
        let id = worker.id.clone();
        match self.machines.get_mut(&id) {
            Some(known) if known.worker == worker => {}
            Some(known) if has_same_layout(&known.worker, &worker) => self.set_availability(worker),
            Some(known) => {
                known.worker = worker;
                self.is_layout_stale = true;
            }
            None => self.add_machine(worker),
        }
    }

    /// Updates a worker of which only `takes_work` may have changed.
    fn set_availability(&mut self, worker: Worker) {
        let id = worker.id.clone();
        let before = self.schedulable_capacity(&id);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.worker = worker;
        }
        self.update_total(&id, &before);
    }

    /// The capacity that a worker adds to the total: none if it takes no jobs or is quarantined.
    pub(super) fn schedulable_capacity(&self, id: &InstanceId) -> Resources {
        match self.machines.get(id) {
            Some(machine) if machine.worker.takes_work && !self.health.is_quarantined(id) => {
                machine.worker.capacity
            }
            _ => Resources::default(),
        }
    }

    /// Updates the total after a change of a worker whose schedulable capacity was `before`.
    pub(super) fn update_total(&mut self, id: &InstanceId, before: &Resources) {
        self.total = self
            .total
            .minus(before)
            .plus(&self.schedulable_capacity(id));
        self.update_indices(id);
    }

    fn add_machine(&mut self, worker: Worker) {
        let id = worker.id.clone();
        let machine = Machine {
            slot: 0,
            tasks: self.tasks_on(&id),
            allocated: Resources::default(),
            reserved: Resources::default(),
            reclaimable: Resources::default(),
            worker,
        };
        self.machines.insert(id.clone(), machine);
        self.add_existing_tasks(&id);
        self.is_layout_stale = true;
    }

    /// Removes a worker. Its attempts stay in the accounting until [`Planner::set_job`] changes
    /// them.
    pub fn remove_worker(&mut self, id: &InstanceId) {
        if self.machines.remove(id).is_some() {
            self.leaving.remove(id);
            self.health.remove_worker(id);
            let lost = self.reservations.iter().filter(|(_, p)| p.worker == *id);
            for job in lost.map(|(job, _)| job.clone()).collect::<Vec<_>>() {
                self.remove_reservation(&job);
            }
            self.is_layout_stale = true;
            self.has_changed = true;
        }
    }

    /// Ids of the known workers.
    pub fn workers(&self) -> impl Iterator<Item = &InstanceId> {
        self.machines.keys()
    }

    /// Adds a team or updates its share and limit.
    pub fn set_team(&mut self, id: &TeamId, quota: TeamQuota) {
        let team = self.teams.entry(id.clone()).or_default();
        if team.share != quota.share || team.limit != quota.limit {
            team.share = quota.share;
            team.limit = quota.limit;
            self.has_changed = true;
        }
    }

    /// Replaces the set of quarantined workers by that of the replicated log.
    pub fn set_quarantined<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a InstanceId>,
        now: Duration,
    ) {
        let current: std::collections::BTreeSet<_> = workers.cloned().collect();
        for worker in &current {
            if !self.health.is_quarantined(worker) {
                let before = self.schedulable_capacity(worker);
                self.health.quarantine(worker, now);
                self.update_total(worker, &before);
            }
        }
        let is_released = |worker: &&InstanceId| !current.contains(*worker);
        let released = self.health.quarantined().filter(is_released);
        for worker in released.cloned().collect::<Vec<_>>() {
            let before = self.schedulable_capacity(&worker);
            self.health.release(&worker);
            self.update_total(&worker, &before);
            self.has_changed = true;
        }
    }

    /// Applies a job's entry from the replicated log; `None` if the job was removed.
    pub fn set_job(&mut self, id: &JobId, entry: Option<&Entry>, now: Duration) {
        let before = self.jobs.remove(id);
        let task_before = self.detach(id, before.as_ref());
        self.has_changed = true;
        let Some(entry) = entry else {
            self.remove_reservation(id);
            self.probes.remove(id);
            return;
        };
        let mut job = Job {
            entry: entry.clone(),
            waiting_since: before.as_ref().map_or(now, |job| job.waiting_since),
            status: JobStatus::Queued,
        };
        match &entry.state {
            JobState::Waiting => {
                self.probes.remove(id);
                self.enqueue(id, &mut job, before.as_ref(), now);
            }
            JobState::Ended(_) => {
                self.remove_reservation(id);
                self.probes.remove(id);
                return;
            }
            state => {
                self.remove_reservation(id);
                let Some(attempt) = entry.attempt() else {
                    return;
                };
                let new_task = Task {
                    worker: attempt.worker.clone(),
                    allocated: attempt.reserve,
                    since: now,
                    is_stopping: false,
                    throttled_at: None,
                };
                let same_task = task_before.filter(|task| task.worker == attempt.worker);
                let mut task = same_task.unwrap_or(new_task);
                task.allocated = task.allocated.larger(&attempt.reserve);
                task.is_stopping = matches!(state, JobState::Stopping(..));
                self.allocate(id, &mut job, task);
            }
        }
        self.jobs.insert(id.clone(), job);
    }

    fn enqueue(&mut self, id: &JobId, job: &mut Job, before: Option<&Job>, now: Duration) {
        if let Some(JobStatus::Unschedulable { since }) = before.map(|job| &job.status) {
            job.status = JobStatus::Unschedulable { since: *since };
            self.unschedulable.insert(id.clone());
            return;
        }
        let need = self.need(&job.entry);
        let has_workers = !self.is_layout_stale && !self.layout.workers.is_empty();
        if has_workers && !self.fits_some_worker(&need) {
            job.status = JobStatus::Unschedulable { since: now };
            self.unschedulable.insert(id.clone());
            return;
        }
        self.queue_of(job)
            .insert(&job.entry.job.class, queue_key(id, job));
    }

    pub(super) fn queue_of(&mut self, job: &Job) -> &mut Queue {
        let team = self.teams.entry(job.entry.job.team.clone()).or_default();
        if Planner::is_urgent(&job.entry) {
            &mut team.urgent
        } else {
            &mut team.patient
        }
    }

    /// Removes a job from its queue or worker. Returns its task if it had one.
    fn detach(&mut self, id: &JobId, job: Option<&Job>) -> Option<Task> {
        let job = job?;
        match &job.status {
            JobStatus::Queued => self.dequeue(id, job),
            JobStatus::Unschedulable { .. } => {
                self.unschedulable.remove(id);
            }
            JobStatus::Assigned(task) => {
                let task = task.clone();
                self.deallocate(id, job, &task);
                return Some(task);
            }
            JobStatus::Ended => {}
        }
        None
    }

    pub(super) fn dequeue(&mut self, id: &JobId, job: &Job) {
        self.queue_of(job)
            .remove(&job.entry.job.class, &queue_key(id, job));
    }

    /// Adds a task to its worker, team and group.
    pub(super) fn allocate(&mut self, id: &JobId, job: &mut Job, task: Task) {
        let allocated = task.allocated;
        let worker = task.worker.clone();
        let is_urgent = Planner::is_urgent(&job.entry);
        let team = self.teams.entry(job.entry.job.team.clone()).or_default();
        team.active += 1;
        team.used = team.used.plus(&allocated);
        if task.is_stopping {
            team.stopping = team.stopping.plus(&allocated);
        }
        if is_urgent {
            team.urgent_used = team.urgent_used.plus(&allocated);
        }
        self.total_allocated = self.total_allocated.plus(&allocated);
        if let Some(machine) = self.machines.get_mut(&worker) {
            machine.tasks.insert(id.clone());
            machine.allocated = machine.allocated.plus(&allocated);
            if !is_urgent {
                machine.reclaimable = machine.reclaimable.plus(&allocated);
            }
        }
        self.count_group(job, &worker, true);
        job.status = JobStatus::Assigned(task);
        self.update_indices(&worker);
    }

    /// Removes a task from its worker, team and group.
    fn deallocate(&mut self, id: &JobId, job: &Job, task: &Task) {
        let is_urgent = Planner::is_urgent(&job.entry);
        if let Some(team) = self.teams.get_mut(&job.entry.job.team) {
            team.active = team.active.saturating_sub(1);
            team.used = team.used.minus(&task.allocated);
            if task.is_stopping {
                team.stopping = team.stopping.minus(&task.allocated);
            }
            if is_urgent {
                team.urgent_used = team.urgent_used.minus(&task.allocated);
            }
        }
        self.total_allocated = self.total_allocated.minus(&task.allocated);
        if let Some(machine) = self.machines.get_mut(&task.worker) {
            machine.tasks.remove(id);
            machine.allocated = machine.allocated.minus(&task.allocated);
            if !is_urgent {
                machine.reclaimable = machine.reclaimable.minus(&task.allocated);
            }
        }
        self.count_group(job, &task.worker, false);
        self.update_indices(&task.worker);
    }

    fn count_group(&mut self, job: &Job, worker: &InstanceId, is_added: bool) {
        let Some(group) = &job.entry.job.group else {
            return;
        };
        let Some(machine) = self.machines.get(worker) else {
            return;
        };
        let key = (job.entry.job.team.clone(), group.clone());
        let zone = machine.worker.zone.clone();
        let rack = (zone.clone(), machine.worker.rack.clone());
        let counts = self.groups.entry(key).or_default();
        let in_zone = counts.zones.entry(zone).or_default();
        let in_rack = counts.racks.entry(rack).or_default();
        if is_added {
            *in_zone += 1;
            *in_rack += 1;
        } else {
            *in_zone = in_zone.saturating_sub(1);
            *in_rack = in_rack.saturating_sub(1);
        }
    }

    /// Applies a usage report of an attempt, and raises its allocation if it used more. Ignored if
    /// the attempt is no longer current.
    pub fn observe_usage(&mut self, id: &JobId, attempt: AttemptId, used: &Resources) {
        let Some(mut job) = self.jobs.remove(id) else {
            return;
        };
        let is_current = job.entry.attempt().is_some_and(|a| a.attempt == attempt);
        if is_current && let JobStatus::Assigned(task) = job.status.clone() {
            self.sizes.observe_usage(&job.entry.job.class, used);
            let allocated = task.allocated.larger(used);
            if allocated != task.allocated {
                self.deallocate(id, &job, &task);
                self.allocate(id, &mut job, Task { allocated, ..task });
                self.overusing.push(id.clone());
            }
        }
        self.jobs.insert(id.clone(), job);
    }

    /// Applies the end of an attempt that wasn't stopped; ignored if it is no longer current.
    pub fn observe_end(&mut self, id: &JobId, attempt: AttemptId, end: AttemptEnd, now: Duration) {
        let Some(job) = self.jobs.get(id) else { return };
        let JobStatus::Assigned(task) = &job.status else {
            return;
        };
        if job.entry.attempt().is_none_or(|a| a.attempt != attempt) {
            return;
        }
        let class = job.entry.job.class.clone();
        let worker = task.worker.clone();
        let ran_for = now.saturating_sub(task.since);
        if end == AttemptEnd::Succeeded && !job.entry.checkpointed {
            self.sizes.observe_run_time(&class, ran_for);
        }
        self.health.observe_end(&worker, &class, end);
        if self.probes.remove(id).is_some() && end == AttemptEnd::Succeeded {
            self.released.insert(worker);
        }
    }

    /// Raises the need of a job's class after the job was killed for its memory use, in mebibytes.
    pub fn observe_memory_kill(&mut self, id: &JobId, memory_mib: u64) {
        if let Some(job) = self.jobs.get(id) {
            self.sizes
                .observe_memory_kill(&job.entry.job.class, memory_mib);
        }
    }

    /// Applies the memory use, in mebibytes, at which the replicated log has jobs of `class` as
    /// killed.
    pub fn set_killed_at(&mut self, class: &pomelohitch_core::id::JobClass, memory_mib: u64) {
        self.sizes.observe_memory_kill(class, memory_mib);
    }

    fn tasks_on(&self, worker: &InstanceId) -> std::collections::BTreeSet<JobId> {
        let on_worker =
            |job: &Job| matches!(&job.status, JobStatus::Assigned(task) if task.worker == *worker);
        let tasks = self.jobs.iter().filter(|(_, job)| on_worker(job));
        tasks.map(|(id, _)| id.clone()).collect()
    }

    /// Updates the free and reclaimable capacity of a worker in the indices.
    pub(super) fn update_indices(&mut self, worker: &InstanceId) {
        if self.reservations_on.contains_key(worker) {
            self.changed_workers.insert(worker.clone());
        }
        let Some(machine) = self.machines.get(worker) else {
            return;
        };
        if self.is_layout_stale {
            return;
        }
        let slot = machine.slot;
        let is_available = machine.worker.takes_work
            && !self.health.is_quarantined(worker)
            && !self.backing_off.contains_key(worker);
        let (free, reclaimable) = if is_available {
            (machine.free(), machine.free_after_preemption())
        } else {
            Default::default()
        };
        self.free.set(slot, free);
        self.reclaimable.set(slot, reclaimable);
    }

    /// Rebuilds the order of the workers and the indices if workers were added, removed or moved.
    /// This is rare enough for a full rebuild.
    pub(super) fn rebuild_layout(&mut self) {
        if !std::mem::take(&mut self.is_layout_stale) {
            return;
        }
        let mut order: Vec<_> = self.machines.values().map(|m| m.worker.clone()).collect();
        // Workers with accelerators come last, so that jobs that need none fill them last.
        order.sort_by(|a, b| layout_key(a).cmp(&layout_key(b)));
        self.layout = Layout::new(&order);
        self.free = Index::new(order.len());
        self.reclaimable = Index::new(order.len());
        self.capacity = Index::new(order.len());
        self.total = Resources::default();
        for (slot, worker) in order.iter().enumerate() {
            self.capacity.set(slot, worker.capacity);
            self.total = self.total.plus(&self.schedulable_capacity(&worker.id));
            if let Some(machine) = self.machines.get_mut(&worker.id) {
                machine.slot = slot;
            }
            self.update_indices(&worker.id);
        }
        for id in std::mem::take(&mut self.unschedulable) {
            self.retry_unschedulable(&id);
        }
    }

    /// Adds the attempts that were placed on a worker before the planner knew it.
    fn add_existing_tasks(&mut self, id: &InstanceId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for task_id in &machine.tasks {
            let Some(job) = self.jobs.get(task_id) else {
                continue;
            };
            let JobStatus::Assigned(task) = &job.status else {
                continue;
            };
            machine.allocated = machine.allocated.plus(&task.allocated);
            if !Planner::is_urgent(&job.entry) {
                machine.reclaimable = machine.reclaimable.plus(&task.allocated);
            }
        }
    }

    /// The team's dominant share, in billionths, divided by its weight; the team with the lowest is
    /// next.
    pub(super) fn weighted_share(&self, team: &Team) -> u64 {
        dominant_share(&team.used, &self.total) / u64::from(team.share.max(1))
    }

    /// The team's weighted share with its reservations and `more` added, and without the tasks
    /// that are being stopped.
    pub(super) fn weighted_share_after(&self, team: &Team, more: &Resources) -> u64 {
        let used = team.used.plus(&team.reserved).plus(more);
        dominant_share(&used.minus(&team.stopping), &self.total) / u64::from(team.share.max(1))
    }
}

impl Machine {
    /// Capacity that is neither allocated nor reserved.
    pub(super) fn free(&self) -> Resources {
        self.worker
            .capacity
            .minus(&self.allocated.plus(&self.reserved))
    }

    /// Capacity that would be free if all patient tasks were preempted.
    pub(super) fn free_after_preemption(&self) -> Resources {
        let in_use = self.allocated.minus(&self.reclaimable);
        self.worker.capacity.minus(&in_use.plus(&self.reserved))
    }
}

impl Layout {
    fn new(order: &[Worker]) -> Layout {
        let mut layout = Layout {
            workers: order.iter().map(|worker| worker.id.clone()).collect(),
            rack_end: vec![0; order.len()],
            ..Layout::default()
        };
        let zone_of = |worker: &Worker| (worker.capacity.accelerators > 0, worker.zone.clone());
        let mut start = 0;
        for zone in order.chunk_by(|a, b| zone_of(a) == zone_of(b)) {
            layout.zones.push((start, start + zone.len()));
            if zone[0].capacity.accelerators == 0 {
                layout.cpu_only_end = start + zone.len();
            }
            for rack in zone.chunk_by(|a, b| a.rack == b.rack) {
                let end = start + rack.len();
                layout.rack_end[start..end].fill(end);
                layout.racks += 1;
                start = end;
            }
        }
        layout
    }
}

fn has_same_layout(a: &Worker, b: &Worker) -> bool {
    a.zone == b.zone && a.rack == b.rack && a.capacity == b.capacity
}

type LayoutKey<'a> = (bool, &'a str, &'a str, &'a str);

fn layout_key(worker: &Worker) -> LayoutKey<'_> {
    let has_accelerators = worker.capacity.accelerators > 0;
    (has_accelerators, &worker.zone, &worker.rack, &worker.id)
}

pub(super) fn queue_key(id: &JobId, job: &Job) -> QueueKey {
    (job.entry.submitted, id.clone())
}
