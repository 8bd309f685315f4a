//! Reservations of capacity for jobs that fit no worker at present, and preemption.
//!
//! For an urgent job, patient tasks are preempted immediately. A patient job waits for running
//! tasks to end; after [`Options::reservation_timeout`](super::Options::reservation_timeout),
//! patient tasks are preempted for it too. Reserved resources count as used on the worker and by
//! the team, so that no other job takes them.

use super::{
    Decision, Duration, InstanceId, JobId, JobStatus, Machine, Planner, Preemption, Reservation,
    Resources, Slot, TeamId, dominant_share,
};
use std::collections::BTreeSet;

/// Maximum number of workers that are compared for a preemption or reservation.
const MAX_CANDIDATES: usize = 12;

/// Tasks to preempt on a worker to free enough capacity for a job.
#[derive(Debug)]
struct Victims {
    worker: InstanceId,
    tasks: Vec<JobId>,
    /// Lower is better: freed processors in thousandths, then the summed run time of the tasks so
    /// far.
    cost: (u64, Duration),
}

impl Planner {
    /// Preempts patient tasks for an urgent job on the worker where this costs least, and reserves
    /// the capacity for the job. Returns whether a worker was found.
    pub(super) fn preempt_for_urgent(
        &mut self,
        id: &JobId,
        need: &Resources,
        now: Duration,
        decision: &mut Decision,
    ) -> bool {
        // An empty range to leave out: urgent jobs may use the headroom.
        let candidates = self.preemption_candidates(
            id,
            need,
            self.layout.workers.len(),
            self.layout.workers.len(),
        );
        let team = self.jobs[id].entry.job.team.clone();
        let may_take_all = self.may_preempt_others(&team, need);
        let own_share = self.weighted_share_after(&self.teams[&team], need);
        let nothing = Resources::default();
        let has_higher_share =
            |owner: &TeamId| self.weighted_share_after(&self.teams[owner], &nothing) > own_share;
        let mut best: Option<Victims> = None;
        for slot in candidates {
            let worker = self.layout.workers[slot].clone();
            let machine = &self.machines[&worker];
            let victims = self.victims(machine, need, now, |owner| {
                may_take_all || *owner == team || has_higher_share(owner)
            });
            if let Some(victims) = victims
                && best.as_ref().is_none_or(|best| victims.cost < best.cost)
            {
                best = Some(victims);
            }
        }
        let Some(victims) = best else { return false };
        self.reserve(id, &victims.worker, *need, now);
        if let Some(reservation) = self.reservations.get_mut(id) {
            reservation.has_preempted = true;
        }
        self.preempt(&victims.tasks, decision);
        true
    }

    /// Slots of up to `MAX_CANDIDATES` workers on which preemption could free enough capacity,
    /// beginning at `search_start` and wrapping around, without `headroom_start..headroom_end`.
    fn preemption_candidates(
        &self,
        id: &JobId,
        need: &Resources,
        headroom_start: Slot,
        headroom_end: Slot,
    ) -> Vec<Slot> {
        let entry = &self.jobs[id].entry;
        let mut found = Vec::new();
        for (start, end) in [
            (self.search_start, self.layout.workers.len()),
            (0, self.search_start),
        ] {
            let mut from = start;
            while found.len() < MAX_CANDIDATES {
                let Some(slot) = self.first_allowed(&self.reclaimable, from, end, entry, need)
                else {
                    break;
                };
                from = slot + 1;
                if (headroom_start..headroom_end).contains(&slot) {
                    from = headroom_end;
                } else {
                    found.push(slot);
                }
            }
        }
        found
    }

    /// Patient tasks on `machine` whose preemption frees enough for `need`: the smallest single
    /// task that suffices, or else tasks from the largest down. The smallest is preferred because
    /// a large task is hard to place again: it may need a whole worker.
    fn victims(
        &self,
        machine: &Machine,
        need: &Resources,
        now: Duration,
        may_take: impl Fn(&TeamId) -> bool,
    ) -> Option<Victims> {
        let mut tasks: Vec<_> = machine
            .tasks
            .iter()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, job)| !Planner::is_urgent(&job.entry) && may_take(&job.entry.job.team))
            .filter_map(|(id, job)| match &job.status {
                JobStatus::Assigned(task) if !task.is_stopping && job.entry.attempt().is_some() => {
                    Some((id, task))
                }
                _ => None,
            })
            .collect();
        tasks.sort_by(|(a_id, a), (b_id, b)| {
            let size = b.allocated.cpu_milli.cmp(&a.allocated.cpu_milli);
            size.then(b.since.cmp(&a.since)).then(a_id.cmp(b_id))
        });
        // Tasks that are being stopped already free capacity for existing reservations. If they
        // counted as in use, tasks would be preempted twice for the same reservation.
        let in_use = machine.allocated.minus(&self.stopping_on(machine));
        let mut in_use = in_use.plus(&machine.reserved);
        let mut victims = Vec::new();
        let mut freed = 0;
        let mut run_time = Duration::ZERO;
        let is_enough = |in_use: &Resources| machine.worker.capacity.covers(&in_use.plus(need));
        let single = tasks
            .iter()
            .rposition(|(_, task)| is_enough(&in_use.minus(&task.allocated)));
        if let Some(single) = single {
            tasks = vec![tasks.swap_remove(single)];
        }
        for (id, task) in tasks {
            if is_enough(&in_use) {
                break;
            }
            in_use = in_use.minus(&task.allocated);
            freed += task.allocated.cpu_milli;
            run_time += now.saturating_sub(task.since);
            victims.push(id.clone());
        }
        is_enough(&in_use).then(|| Victims {
            worker: machine.worker.id.clone(),
            cost: (freed, run_time),
            tasks: victims,
        })
    }

    /// Allocated resources of the tasks on `machine` that are being stopped.
    fn stopping_on(&self, machine: &Machine) -> Resources {
        let tasks = machine.tasks.iter().filter_map(|id| self.jobs.get(id));
        let stopping = tasks.filter_map(|job| match &job.status {
            JobStatus::Assigned(task) if task.is_stopping => Some(task.allocated),
            _ => None,
        });
        stopping.fold(Resources::default(), |sum, allocated| sum.plus(&allocated))
    }

    /// Adds preemptions to the accounting and the decision.
    pub(super) fn preempt(&mut self, tasks: &[JobId], decision: &mut Decision) {
        for id in tasks {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            // A job placed in this same decision has no attempt yet; it can be preempted once its
            // entry in the log has one.
            let Some(attempt) = job.entry.attempt().map(|a| a.attempt) else {
                continue;
            };
            let JobStatus::Assigned(task) = &mut job.status else {
                continue;
            };
            task.is_stopping = true;
            if let Some(team) = self.teams.get_mut(&job.entry.job.team) {
                team.stopping = team.stopping.plus(&task.allocated);
            }
            decision.preempt.push(Preemption {
                job: id.clone(),
                attempt,
            });
        }
    }

    /// The worker expected to have enough free capacity for a patient job first; `None` if the job
    /// may have no reservation or no worker qualifies.
    pub(super) fn worker_to_reserve(
        &self,
        id: &JobId,
        need: &Resources,
        now: Duration,
    ) -> Option<InstanceId> {
        if !self.may_reserve(id, need, now) {
            return None;
        }
        let [(_, headroom_start), (headroom_end, _)] = self.patient_ranges(now);
        let candidates = self
            .preemption_candidates(id, need, headroom_start, headroom_end)
            .into_iter();
        let earliest = candidates.min_by_key(|&slot| {
            let machine = &self.machines[&self.layout.workers[slot]];
            (self.expected_free_at(machine, need, now), slot)
        });
        Some(self.layout.workers[earliest?].clone())
    }

    /// Whether a patient job may have a reservation. Reserved capacity is partly idle, so
    /// reservations are limited to a twentieth of the workers, or a quarter for jobs that have
    /// waited for `reservation_timeout`, but at least one. A team may have more than one only
    /// within its fair share, with a tolerance of a quarter.
    fn may_reserve(&self, id: &JobId, need: &Resources, now: Duration) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let is_overdue = now.saturating_sub(job.waiting_since) >= self.options.reservation_timeout;
        let workers_per_reservation = if is_overdue { 4 } else { 20 };
        let max_reservations = (self.layout.workers.len() / workers_per_reservation).max(1);
        if self.reservations.len() >= max_reservations {
            return false;
        }
        let team = &self.teams[&job.entry.job.team];
        let wanted = team.used.plus(&team.reserved).plus(need);
        team.reservation_count == 0
            || dominant_share(&wanted, &self.total) <= self.fair_share(team) / 4 * 5
    }

    /// When `machine` is expected to have enough free capacity for `need`, by the expected ends of
    /// its tasks; `Duration::MAX` if it won't have enough even after all of them.
    fn expected_free_at(&self, machine: &Machine, need: &Resources, now: Duration) -> Duration {
        let mut ends: Vec<_> = machine
            .tasks
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter_map(|job| match &job.status {
                JobStatus::Assigned(task) => {
                    Some((task.since + self.sizes.run_time(&job.entry), task.allocated))
                }
                _ => None,
            })
            .collect();
        ends.sort();
        let mut in_use = machine.allocated.plus(&machine.reserved);
        for (end, allocated) in ends {
            if machine.worker.capacity.covers(&in_use.plus(need)) {
                break;
            }
            in_use = in_use.minus(&allocated);
            if machine.worker.capacity.covers(&in_use.plus(need)) {
                return end.max(now);
            }
        }
        if machine.worker.capacity.covers(&in_use.plus(need)) {
            now
        } else {
            Duration::MAX
        }
    }

    /// Reserves `need` on `worker` for a job.
    pub(super) fn reserve(
        &mut self,
        id: &JobId,
        worker: &InstanceId,
        need: Resources,
        now: Duration,
    ) {
        // The next search starts after this worker, which spreads reservations over the workers.
        let slot = self.machines.get(worker).map_or(0, |machine| machine.slot);
        self.search_start = (slot + 1) % self.layout.workers.len().max(1);
        let Some(job) = self.jobs.get(id) else { return };
        let reservation = Reservation {
            team: job.entry.job.team.clone(),
            is_urgent: Planner::is_urgent(&job.entry),
            worker: worker.clone(),
            need,
            since: now,
            has_preempted: false,
        };
        let on_worker = self.reservations_on.entry(worker.clone()).or_default();
        on_worker.insert(id.clone());
        self.reservation_deadlines
            .insert((now + self.options.reservation_timeout, id.clone()));
        self.count_reservation(&reservation, true);
        self.reservations.insert(id.clone(), reservation);
    }

    pub(super) fn remove_reservation(&mut self, id: &JobId) {
        if let Some(reservation) = self.reservations.remove(id) {
            if let Some(on_worker) = self.reservations_on.get_mut(&reservation.worker) {
                on_worker.remove(id);
                if on_worker.is_empty() {
                    self.reservations_on.remove(&reservation.worker);
                }
            }
            let due = reservation.since + self.options.reservation_timeout;
            self.reservation_deadlines.remove(&(due, id.clone()));
            self.count_reservation(&reservation, false);
        }
    }

    /// Adds a reservation to its worker and team, or subtracts it.
    fn count_reservation(&mut self, reservation: &Reservation, is_added: bool) {
        let change = |sum: Resources| {
            if is_added {
                sum.plus(&reservation.need)
            } else {
                sum.minus(&reservation.need)
            }
        };
        if let Some(machine) = self.machines.get_mut(&reservation.worker) {
            machine.reserved = change(machine.reserved);
        }
        let team = self.teams.entry(reservation.team.clone()).or_default();
        team.reserved = change(team.reserved);
        if reservation.is_urgent {
            team.urgent_used = change(team.urgent_used);
        }
        team.reservation_count = if is_added {
            team.reservation_count + 1
        } else {
            team.reservation_count.saturating_sub(1)
        };
        self.update_indices(&reservation.worker);
    }

    /// Places jobs whose reserved capacity is free, and preempts tasks for reservations that have
    /// reached `reservation_timeout`. Checks only reservations that reached it or whose worker
    /// changed.
    pub(super) fn fulfill_reservations(&mut self, now: Duration, decision: &mut Decision) {
        let mut jobs = BTreeSet::new();
        for worker in std::mem::take(&mut self.changed_workers) {
            jobs.extend(
                self.reservations_on
                    .get(&worker)
                    .into_iter()
                    .flatten()
                    .cloned(),
            );
        }
        while self
            .reservation_deadlines
            .first()
            .is_some_and(|(due, _)| *due <= now)
        {
            jobs.extend(self.reservation_deadlines.pop_first().map(|(_, id)| id));
        }
        for id in jobs {
            if let Some(reservation) = self.reservations.get(&id).cloned() {
                self.fulfill_reservation(&id, &reservation, now, decision);
            }
        }
    }

    fn fulfill_reservation(
        &mut self,
        id: &JobId,
        reservation: &Reservation,
        now: Duration,
        decision: &mut Decision,
    ) {
        let Some(job) = self.jobs.get(id) else {
            self.remove_reservation(id);
            return;
        };
        let is_available = self
            .machines
            .get(&reservation.worker)
            .is_some_and(|machine| {
                machine.worker.takes_work && !self.health.is_quarantined(&reservation.worker)
            });
        if !is_available || job.entry.failed_on.contains(&reservation.worker) {
            self.remove_reservation(id);
            self.has_changed = true;
            return;
        }
        let machine = &self.machines[&reservation.worker];
        let team = &self.teams[&job.entry.job.team];
        if machine
            .worker
            .capacity
            .covers(&machine.allocated.plus(&reservation.need))
        {
            let is_below_max_placements = decision.place.len() < self.options.max_placements;
            if team.active < team.limit && is_below_max_placements {
                self.place(id, &reservation.worker, reservation.need, now, decision);
            } else {
                self.changed_workers.insert(reservation.worker.clone());
            }
            return;
        }
        if reservation.has_preempted {
            if !self.is_any_task_stopping(machine) {
                // The preempted tasks are gone, but the capacity is still not free: a remaining
                // task uses more than its allocation. Without a new search, the job would wait
                // for this worker indefinitely.
                self.remove_reservation(id);
                self.has_changed = true;
            }
            return;
        }
        if now.saturating_sub(reservation.since) >= self.options.reservation_timeout {
            self.preempt_after_timeout(id, reservation, now, decision);
        }
    }

    fn is_any_task_stopping(&self, machine: &Machine) -> bool {
        let mut tasks = machine.tasks.iter().filter_map(|id| self.jobs.get(id));
        tasks.any(|job| matches!(&job.status, JobStatus::Assigned(task) if task.is_stopping))
    }

    fn preempt_after_timeout(
        &mut self,
        id: &JobId,
        reservation: &Reservation,
        now: Duration,
        decision: &mut Decision,
    ) {
        let machine = &self.machines[&reservation.worker];
        // The reserved resources of the worker include this reservation.
        let without_own = Machine {
            reserved: machine.reserved.minus(&reservation.need),
            ..machine.clone()
        };
        let Some(victims) = self.victims(&without_own, &reservation.need, now, |_| true) else {
            // Urgent tasks occupy the worker; drop the reservation and search for another one.
            self.remove_reservation(id);
            self.has_changed = true;
            return;
        };
        if let Some(reservation) = self.reservations.get_mut(id) {
            reservation.has_preempted = true;
        }
        self.preempt(&victims.tasks, decision);
    }
}
