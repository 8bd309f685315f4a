//! Placement of patient jobs by weighted dominant shares, with reservations against starvation.

use std::collections::BTreeSet;

use super::{Action, JobStatus, Task, TeamId};
use super::{
    Decision, Duration, Entry, InstanceId, Job, JobId, Placement, Planner, Resources, UnmetNeeds,
};

impl Planner {
    pub(super) fn place_patient(&mut self, now: Duration, decision: &mut Decision) {
        let mut order: BTreeSet<(u64, TeamId)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.patient.is_empty())
            .map(|(id, team)| (self.weighted_share(team), id.clone()))
            .collect();
        let mut unmet = UnmetNeeds::default();
        while let Some((_, team)) = order.pop_first() {
            if decision.place.len() >= self.options.max_placements {
                self.has_changed = true;
                return;
            }
            match self.next_action(&team, now, &mut unmet) {
                Action::Place(id, worker, need) => self.place(&id, &worker, need, now, decision),
                Action::Reserve(id, worker, need) => self.reserve(&id, &worker, need, now),
                Action::MarkUnschedulable(id, need) => {
                    self.mark_if_unschedulable(&id, &need, now);
                }
                Action::Done => continue,
            }
            order.insert((self.weighted_share(&self.teams[&team]), team));
        }
    }

    /// The next action for a team: places the first of its next jobs that fits a worker at
    /// present. If the first job fits none, capacity is reserved for it, so that smaller jobs
    /// can't starve it.
    fn next_action(&self, team: &TeamId, now: Duration, unmet: &mut UnmetNeeds) -> Action {
        let account = &self.teams[team];
        if account.active + account.reservation_count >= account.limit {
            return Action::Done;
        }
        let has_reservation = |id: &JobId| self.reservations.contains_key(id);
        let classes = account.patient.classes().take(self.options.lookahead);
        for (number, class) in classes.enumerate() {
            if number > 0 && unmet.classes.contains(class) {
                continue;
            }
            let Some(id) = account.patient.first_of_class(class, has_reservation) else {
                continue;
            };
            let Some(Job { entry, .. }) = self.jobs.get(id) else {
                continue;
            };
            let need = self.need(entry);
            if !self.fits_some_worker(&need) {
                return Action::MarkUnschedulable(id.clone(), need);
            }
            if !unmet.rules_out(&need) {
                if let Some(worker) = self.find_worker(entry, &need, now) {
                    return Action::Place(id.clone(), worker, need);
                }
                if entry.failed_on.is_empty() && entry.job.group.is_none() {
                    unmet.add(need);
                }
            }
            if unmet.rules_out(&need) && self.is_class_minimum(entry, &need) {
                unmet.classes.insert(class.clone());
            }
            if number == 0
                && let Some(worker) = self.worker_to_reserve(id, &need, now)
            {
                return Action::Reserve(id.clone(), worker, need);
            }
        }
        Action::Done
    }

    /// Whether no job of the class can need less than `need`. For a learned class, the need
    /// depends on the class alone except for a memory floor, which only raises it, and
    /// accelerators; so this holds for a job without either.
    fn is_class_minimum(&self, entry: &Entry, need: &Resources) -> bool {
        self.sizes.is_learned(&entry.job.class)
            && entry.memory_floor_mib == 0
            && need.accelerators == 0
    }

    /// Adds a placement to the accounting and the decision.
    pub(super) fn place(
        &mut self,
        id: &JobId,
        worker: &InstanceId,
        need: Resources,
        now: Duration,
        decision: &mut Decision,
    ) {
        self.remove_reservation(id);
        let Some(mut job) = self.jobs.remove(id) else {
            return;
        };
        self.dequeue(id, &job);
        let task = Task {
            worker: worker.clone(),
            allocated: need,
            since: now,
            is_stopping: false,
            throttled_at: None,
        };
        self.allocate(id, &mut job, task);
        debug_assert!(matches!(job.status, JobStatus::Assigned(_)));
        self.jobs.insert(id.clone(), job);
        decision.place.push(Placement {
            job: id.clone(),
            worker: worker.clone(),
            reserve: need,
        });
    }
}
