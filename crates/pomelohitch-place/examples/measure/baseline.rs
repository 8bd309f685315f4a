//! Baseline policies: first come, first served, with or without priority for urgent jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, JobId};
use pomelohitch_core::record::job::{Placement, Preemption, Resources, Urgency};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::Entry;
use pomelohitch_place::{Decision, Worker};

/// Maximum number of waiting jobs that are tried in one pass.
const MAX_JOBS_TRIED: usize = 256;

/// Places jobs in order of arrival, each on the first worker with free capacity for its declared
/// need.
#[derive(Debug, Default)]
pub struct Baseline {
    /// Whether urgent jobs are placed first and preempt patient ones.
    pub has_priority: bool,
    pub workers: BTreeMap<InstanceId, Worker>,
    pub allocated: BTreeMap<InstanceId, Resources>,
    pub waiting: BTreeSet<(Urgency, u64, JobId)>,
    pub jobs: BTreeMap<JobId, Entry>,
    pub tasks_on: BTreeMap<InstanceId, BTreeSet<JobId>>,
    /// Worker on which tasks were preempted for a waiting urgent job. Nothing is reserved there;
    /// the entry keeps the job from preempting again, and from being skipped for an unmet need.
    pub preempted_on: BTreeMap<JobId, InstanceId>,
}

impl Baseline {
    pub fn set_job(&mut self, id: &JobId, entry: Option<&Entry>) {
        if let Some(before) = self.jobs.remove(id) {
            self.waiting.remove(&self.order(&before));
            if let Some(attempt) = before.attempt() {
                let allocated = self.allocated.entry(attempt.worker.clone()).or_default();
                *allocated = allocated.minus(&attempt.reserve);
                self.tasks_on
                    .entry(attempt.worker.clone())
                    .or_default()
                    .remove(id);
            }
        }
        let Some(entry) = entry else { return };
        match &entry.state {
            JobState::Waiting => {
                self.waiting.insert(self.order(entry));
            }
            JobState::Ended(_) => return,
            _ => {}
        }
        if let Some(attempt) = entry.attempt() {
            self.preempted_on.remove(id);
            let allocated = self.allocated.entry(attempt.worker.clone()).or_default();
            *allocated = allocated.plus(&attempt.reserve);
            self.tasks_on
                .entry(attempt.worker.clone())
                .or_default()
                .insert(id.clone());
        }
        self.jobs.insert(id.clone(), entry.clone());
    }

    fn order(&self, entry: &Entry) -> (Urgency, u64, JobId) {
        let urgency = if self.has_priority {
            entry.job.urgency
        } else {
            Urgency::Patient
        };
        (urgency, entry.submitted, entry.job.id.clone())
    }

    pub fn decide(&mut self, _now: Duration) -> Decision {
        let mut decision = Decision::default();
        let tried: Vec<JobId> = self
            .waiting
            .iter()
            .take(MAX_JOBS_TRIED)
            .map(|(_, _, id)| id.clone())
            .collect();
        let mut taken: BTreeMap<InstanceId, Resources> = BTreeMap::new();
        let mut unmet: Vec<Resources> = Vec::new();
        for id in tried {
            let entry = &self.jobs[&id];
            let mut need = entry.job.need;
            need.memory_mib = need.memory_mib.max(entry.memory_floor_mib);
            if unmet.iter().any(|unmet| need.covers(unmet)) && !self.preempted_on.contains_key(&id)
            {
                continue;
            }
            let found = self.workers.values().find(|worker| {
                let allocated = self.allocated.get(&worker.id).copied().unwrap_or_default();
                let taken = taken.get(&worker.id).copied().unwrap_or_default();
                worker.takes_work && worker.capacity.covers(&allocated.plus(&taken).plus(&need))
            });
            if let Some(worker) = found {
                let taken = taken.entry(worker.id.clone()).or_default();
                *taken = taken.plus(&need);
                decision.place.push(Placement {
                    job: id.clone(),
                    worker: worker.id.clone(),
                    reserve: need,
                });
                self.preempted_on.remove(&id);
            } else if self.has_priority
                && entry.job.urgency == Urgency::Urgent
                && !self.preempted_on.contains_key(&id)
            {
                self.preempt(&id, &need, &mut decision);
            } else {
                unmet.push(need);
            }
        }
        decision
    }

    fn preempt(&mut self, id: &JobId, need: &Resources, decision: &mut Decision) {
        for (worker, tasks) in &self.tasks_on {
            let Some(known) = self.workers.get(worker).filter(|worker| worker.takes_work) else {
                continue;
            };
            let mut allocated = self.allocated[worker];
            let mut victims = Vec::new();
            for task in tasks {
                let entry = &self.jobs[task];
                let JobState::Running(attempt) = &entry.state else {
                    continue;
                };
                let is_preempted = decision.preempt.iter().any(|p| p.job == *task);
                if entry.job.urgency == Urgency::Urgent || is_preempted {
                    continue;
                }
                allocated = allocated.minus(&attempt.reserve);
                victims.push(Preemption {
                    job: task.clone(),
                    attempt: attempt.attempt,
                });
                if known.capacity.covers(&allocated.plus(need)) {
                    decision.preempt.extend(victims);
                    self.preempted_on.insert(id.clone(), worker.clone());
                    return;
                }
            }
        }
    }
}
