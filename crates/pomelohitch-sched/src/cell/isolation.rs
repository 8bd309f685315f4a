//! Isolation of jobs that are suspected of crashing endpoints.
//!
//! A few jobs have a task that crashes every endpoint on which it starts. Since waiting jobs are
//! packed together, each crash also ends the runs of other jobs. A suspected job therefore gets an
//! endpoint on which all other runs are proven, that is, have worked for long enough to rule out
//! that they crash it, and nothing is added there until its own runs are proven too. All of its
//! waiting tasks start there together, because they are lost together if one of them is at fault,
//! and so a job puts one endpoint at risk at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tracing::info;

use super::schedule::{Unplaced, ready_steps};
use super::{Cell, Job};
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, JobId, ServiceName, TaskId, job_text};
use crate::job::{JobSpec, StepSpec};
use crate::place::{Allowed, Slot, Slots};

/// Younger incarnations are avoided: their instance may be one that crashes repeatedly by itself,
/// and its next crash would count against the job.
const MIN_AGE: Duration = Duration::from_secs(10);

/// The service on whose endpoints suspected jobs start, and whether other jobs compete for them.
pub(super) struct ServiceLoad<'a> {
    /// The service.
    pub(super) service: &'a ServiceName,
    /// Whether other, unsuspected jobs of the service wait.
    pub(super) others_wait: bool,
}

/// Rank of an endpoint for a suspected job; the lowest is best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    has_unproven: bool,
    has_lasting: bool,
    is_young: bool,
    runs: usize,
}

impl Cell {
    /// Updates whether a job counts as suspected. To be called after any change of it.
    pub(super) fn index_suspected(&mut self, id: JobId) {
        let job = self.jobs.get(&id);
        let is_suspected = self.settings.policy.crashes.isolates
            && job.is_some_and(|j| !j.progress.state.is_final() && has_suspect(j));
        if !is_suspected {
            self.suspected.remove(&id);
            return;
        }
        let now = self.now.steady;
        self.suspected.entry(id).or_insert(now);
    }

    /// Endpoints with unproven runs of suspected jobs.
    pub(super) fn isolated(&self) -> BTreeMap<EndpointId, JobId> {
        let runs = self.suspected.keys().filter_map(|&id| {
            let job = self.jobs.get(&id)?;
            Some(job.progress.runs(id))
        });
        let unproven = runs.flatten().filter(|(task, run)| {
            let endpoint = self.endpoints.get(&run.endpoint);
            endpoint.is_some_and(|e| !self.is_proven(*task, run, e))
        });
        unproven
            .map(|(task, run)| (run.endpoint.clone(), task.job))
            .collect()
    }

    /// Starts suspected jobs on endpoints of their own, and removes these from `slots`.
    pub(super) fn start_suspected(
        &mut self,
        ids: &[JobId],
        load: &ServiceLoad<'_>,
        slots: &mut Slots,
        unplaced: &mut Unplaced,
    ) {
        if ids.is_empty() {
            return;
        }
        let isolated = self.isolated();
        let is_of_service = |id: &&EndpointId| {
            let report = self.endpoints.get(*id).and_then(|e| e.report.as_ref());
            report.is_some_and(|r| r.service == *load.service)
        };
        let mut isolated_count = isolated.keys().filter(is_of_service).count();
        let jobs_at_risk: BTreeSet<JobId> = isolated.into_values().collect();
        let all = slots.list.len() + isolated_count;
        let max_isolated = if load.others_wait {
            share_of(all, self.settings.policy.crashes.max_isolated_share).max(1)
        } else {
            all
        };
        let timeout = self.isolation_timeout(slots);
        for id in ids {
            let since = self.suspected.get(id).copied().unwrap_or_default();
            let waited = self.now.steady.saturating_sub(since);
            let may_wait = waited < timeout;
            if may_wait && (jobs_at_risk.contains(id) || isolated_count >= max_isolated) {
                continue;
            }
            // With many suspected jobs others would never start.
            if load.others_wait && all > 1 && slots.list.len() <= 1 {
                return;
            }
            isolated_count += usize::from(self.start_isolated(*id, may_wait, slots, unplaced));
        }
    }

    /// Time for which suspected jobs wait for an endpoint of their own: longer while more than half
    /// of the CPU is in use, since a free endpoint is rarer and other jobs need the capacity.
    fn isolation_timeout(&self, slots: &Slots) -> Duration {
        let limits = &self.settings.policy.crashes;
        let endpoints = slots.list.iter().filter_map(|s| self.endpoints.get(&s.id));
        let (mut used, mut all) = (0, 0);
        for endpoint in endpoints {
            used += endpoint.used.cpu;
            all += endpoint.report.as_ref().map_or(0, |r| r.capacity.cpu);
        }
        if used * 2 > all {
            limits.busy_isolation_timeout
        } else {
            limits.isolation_timeout
        }
    }

    /// Starts one suspected job, or keeps an endpoint free for it. Returns whether it has an
    /// endpoint.
    fn start_isolated(
        &mut self,
        id: JobId,
        may_wait: bool,
        slots: &mut Slots,
        unplaced: &mut Unplaced,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let spec = job.spec.clone();
        let Some((first, allowed)) = self.first_allowed(&spec, ready_steps(job), slots) else {
            return false;
        };
        let step = &spec.steps[usize::from(first.step)];
        let Some(at) = self.choose_isolated(step, first, &allowed, slots) else {
            unplaced.note_unplaced(step, self.fits_somewhere(step));
            return false;
        };
        let chosen = slots.list[at].clone();
        let is_clean = !self.rank(&chosen).has_unproven;
        if may_wait && !(is_clean && chosen.may_take(step, 0)) {
            slots.remove(&chosen.id);
            return true;
        }
        let mut own = if step.is_gang || step.is_rack_local {
            self.group_slots(may_wait, slots)
        } else {
            Slots::new(vec![chosen.clone()])
        };
        slots.remove(&chosen.id);
        let starts = self.start_ready(id, &mut own, &mut Unplaced::default());
        if starts > 0 {
            info!(job = %job_text(id), endpoint = %chosen.id, starts, is_clean,
                "suspected job isolated");
            for id in self.isolated().into_keys() {
                slots.remove(&id);
            }
            self.suspected.insert(id, self.now.steady);
            self.index(id);
        }
        true
    }

    /// The first ready step that the workspace's limit and the placement policy allow, and the
    /// endpoints that may run it.
    fn first_allowed(
        &mut self,
        spec: &Arc<JobSpec>,
        ready: Vec<(u16, u32)>,
        slots: &Slots,
    ) -> Option<(TaskId, Allowed)> {
        ready.into_iter().find_map(|(step, occurrence)| {
            let first = TaskId {
                job: spec.id,
                occurrence,
                step,
                index: 0,
            };
            let need = &spec.steps[usize::from(step)].need;
            if !self.is_within_limit(spec, need) {
                return None;
            }
            let allowed = self.allowed_endpoints(spec, first, &slots.list)?;
            Some((first, allowed))
        })
    }

    /// The index of the best endpoint for a suspected job; if none has capacity, of the one to keep
    /// free.
    fn choose_isolated(
        &self,
        step: &StepSpec,
        first: TaskId,
        allowed: &Allowed,
        slots: &Slots,
    ) -> Option<usize> {
        let siblings = slots.siblings(&self.siblings(first));
        let may_run = |(at, slot): &(usize, &Slot)| {
            let is_spread = step.per_endpoint == 0 || siblings[*at] < step.per_endpoint;
            let label = step.requires.as_deref();
            let has_label = label.is_none_or(|l| slot.labels.iter().any(|own| &**own == l));
            is_spread && has_label && allowed.has(&slot.id)
        };
        let candidates = slots.list.iter().enumerate().filter(may_run);
        let best = candidates.min_by_key(|(at, slot)| {
            let has_room = slot.may_take(step, siblings[*at]);
            (!has_room, self.rank(slot))
        });
        best.map(|(at, _)| at)
    }

    /// Endpoints for a step whose tasks start together on several of them.
    fn group_slots(&self, may_wait: bool, slots: &Slots) -> Slots {
        let mut list: Vec<Slot> = slots.list.clone();
        if may_wait {
            list.retain(|slot| !self.rank(slot).has_unproven);
        }
        list.sort_by_key(|slot| self.rank(slot));
        Slots::new(list)
    }

    fn rank(&self, slot: &Slot) -> Rank {
        let Some(endpoint) = self.endpoints.get(&slot.id) else {
            return Rank {
                has_unproven: true,
                has_lasting: false,
                is_young: true,
                runs: 0,
            };
        };
        let age = endpoint.clock_at_least(self.now.steady);
        Rank {
            has_unproven: self.has_unproven(endpoint),
            has_lasting: endpoint.lasting_runs > 0,
            is_young: age.is_none_or(|age| age < MIN_AGE),
            runs: endpoint.runs.len(),
        }
    }

    /// Whether the endpoint has an unproven run, including those whose start isn't sent yet.
    fn has_unproven(&self, endpoint: &Endpoint) -> bool {
        endpoint.runs.keys().any(|&(task, number)| {
            let run = self.run(task, number);
            run.is_some_and(|r| !self.is_proven(task, r, endpoint))
        })
    }
}

/// Whether the job has a suspected task that isn't done.
fn has_suspect(job: &Job) -> bool {
    let steps = job.progress.open.values().flat_map(|o| &o.steps);
    steps
        .flatten()
        .any(|t| !t.is_done && t.suspicion.is_suspect)
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a number of endpoints"
)]
fn share_of(count: usize, part: f64) -> usize {
    (count as f64 * part.clamp(0.0, 1.0)) as usize
}
