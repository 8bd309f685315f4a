//! Scheduling passes: which tasks start on which endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::sharing::PassState;
use super::{Cell, Job, isolation};
use crate::Steady;
use crate::UnixMs;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, JobId, ServiceName, TaskId, WorkspaceName};
use crate::job::{JobSpec, StepSpec};
use crate::place::{self, Allowed, PlacementRequest, Slot, Slots};
use crate::progress::Task;
use crate::resources::Resources;
use crate::urgency::{self, Candidate, Capacity, Feasibility, RankedJob, Ranking};

/// Tasks that fit on no endpoint in this pass of a service.
#[derive(Debug, Default)]
pub(super) struct Unplaced {
    /// Resources that no endpoint has free. Tasks that need as much or more are skipped.
    needs: Vec<Resources>,
    /// Whether one of these tasks waits for room that runs of the service will leave.
    waits_for_room: bool,
    /// Requirements of the first task that found no place but would fit on an empty endpoint.
    first: Option<Requirements>,
    /// Whether that task belongs to a late job.
    is_first_late: bool,
    /// Whether the job whose tasks are being placed is late.
    is_late: bool,
}

/// What a task requires of an instance besides free capacity.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Requirements {
    /// A label that the instance has to carry.
    pub(super) label: Option<Box<str>>,
}

/// A shortage of a service: some of its tasks fit on none of its endpoints.
#[derive(Debug, Clone)]
pub(super) struct Shortage {
    /// Time since which every pass has left such a task.
    pub(super) since: Steady,
    /// Requirements of the first of these tasks in the last pass.
    pub(super) requirements: Requirements,
    /// Whether only late jobs had such tasks in the last pass.
    pub(super) is_late: bool,
}

impl Unplaced {
    /// Whether a task that needs no more than this has found no place in this pass.
    fn rules_out(&self, need: &Resources) -> bool {
        self.needs.iter().any(|m| need.holds(m))
    }

    /// Records that a task of `step` found no place. It counts as a shortage if it would fit on
    /// some empty endpoint (`fits`).
    pub(super) fn note_unplaced(&mut self, step: &StepSpec, fits: bool) {
        if fits && self.first.is_none() {
            self.is_first_late = self.is_late;
            self.first = Some(Requirements {
                label: step.requires.clone(),
            });
        }
    }

    /// Records that no endpoint has the resources that a task of `step` needs, and whether one will
    /// have them once its runs have ended (`will_fit`). Tasks that require a label or are limited per
    /// endpoint don't count: others with the same needs may still fit.
    fn add(&mut self, step: &StepSpec, will_fit: bool) {
        let is_plain = step.requires.is_none() && step.per_endpoint == 0;
        if is_plain {
            self.needs.push(step.task_resources());
            self.waits_for_room |= will_fit;
        }
    }
}

impl Cell {
    /// Starts the tasks that can start, by urgency of their jobs within each service.
    ///
    /// All services share the window on starts, so each pass begins with another service.
    pub(super) fn schedule(&mut self) {
        self.update_held_tasks();
        let mut services: Vec<ServiceName> = self
            .ready_jobs
            .iter()
            .filter(|(_, jobs)| !jobs.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        self.shortages
            .retain(|service, _| services.contains(service));
        self.backlogs.retain(&services);
        self.idle_rooms
            .retain(|service, _| services.contains(service));
        if !services.is_empty() {
            self.passes = self.passes.wrapping_add(1);
            let first = self.passes % services.len();
            services.rotate_left(first);
        }
        let mut slots = self.slots_of(&services);
        for service in services {
            let slots = slots.remove(&service).unwrap_or_default();
            self.schedule_service(&service, slots);
        }
    }

    fn schedule_service(&mut self, service: &ServiceName, mut slots: Slots) {
        let mut unplaced = Unplaced::default();
        let ranking = self.ranking(service, &slots);
        self.observe_overload(service, &ranking);
        let (suspected, others): (Vec<RankedJob>, Vec<RankedJob>) = ranking
            .jobs
            .into_iter()
            .partition(|ranked| self.suspected.contains_key(&ranked.job));
        let suspected: Vec<JobId> = suspected.into_iter().map(|r| r.job).collect();
        let load = isolation::ServiceLoad {
            service,
            others_wait: !others.is_empty(),
        };
        self.start_suspected(&suspected, &load, &mut slots, &mut unplaced);
        let mut pass = PassState::default();
        let mut passed_over = Vec::new();
        for ranked in others {
            pass.others_wait = unplaced.waits_for_room;
            if self.gives_way(service, &ranked, pass) {
                passed_over.push(ranked);
                continue;
            }
            let has_started = self.start_ranked(&ranked, &mut slots, &mut unplaced);
            pass.has_begun_late |= has_started && !ranked.has_begun && unplaced.is_late;
        }
        if self.is_room_offered(service, &passed_over, &slots) {
            for ranked in passed_over {
                self.start_ranked(&ranked, &mut slots, &mut unplaced);
            }
        }
        if let Some(requirements) = unplaced.first {
            let since = self.shortages.get(service).map(|s| s.since);
            let since = since.unwrap_or(self.now.steady);
            let shortage = Shortage {
                since,
                requirements,
                is_late: unplaced.is_first_late,
            };
            self.shortages.insert(service.clone(), shortage);
        } else {
            self.shortages.remove(service);
        }
    }

    /// Starts the tasks of a job that can start; returns whether there are any.
    fn start_ranked(
        &mut self,
        ranked: &RankedJob,
        slots: &mut Slots,
        unplaced: &mut Unplaced,
    ) -> bool {
        unplaced.is_late = ranked.feasibility >= Feasibility::Late;
        if self.start_ready(ranked.job, slots, unplaced) == 0 {
            return false;
        }
        self.index(ranked.job);
        if !ranked.has_begun {
            self.observe_begin(ranked.job, ranked.feasibility);
        }
        true
    }

    /// Starts the tasks of a job's ready steps that can start; returns their number.
    pub(super) fn start_ready(
        &mut self,
        id: JobId,
        slots: &mut Slots,
        unplaced: &mut Unplaced,
    ) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let decided = self.after_commit.len();
        for (step, occurrence) in ready_steps(job) {
            let first = TaskId {
                job: id,
                occurrence,
                step,
                index: 0,
            };
            self.start_step(&spec, first, slots, unplaced);
        }
        self.after_commit.len() - decided
    }

    /// Endpoints of a service on which tasks may start, without those kept for suspected jobs.
    pub(super) fn slots(&self, service: &ServiceName) -> Slots {
        let mut slots = self.slots_of(std::slice::from_ref(service));
        slots.remove(service).unwrap_or_default()
    }

    /// The same for several services, in one pass over the endpoints.
    fn slots_of(&self, services: &[ServiceName]) -> BTreeMap<ServiceName, Slots> {
        let isolated = self.isolated();
        let unfilled = services.iter().map(|service| (service, Vec::new()));
        let mut slots: BTreeMap<&ServiceName, Vec<Slot>> = unfilled.collect();
        for (id, endpoint) in self.all_endpoints() {
            let service = endpoint.report.as_ref().map(|r| &r.service);
            if let Some(service) = service
                && let Some(of_service) = slots.get_mut(service)
                && self.is_usable(endpoint, service)
                && !isolated.contains_key(id)
            {
                of_service.push(Slot::new(id, endpoint));
            }
        }
        let slots = slots.into_iter();
        slots
            .map(|(service, list)| (service.clone(), Slots::new(list)))
            .collect()
    }

    /// Whether tasks of `service` may start on the endpoint.
    pub(super) fn is_usable(&self, endpoint: &Endpoint, service: &ServiceName) -> bool {
        let now = self.now.steady;
        let report = endpoint.report.as_ref();
        endpoint.is_listed
            && endpoint.gone_since.is_none()
            && !endpoint.is_reserved
            && !endpoint.is_overcommitted()
            && !self.is_evacuated(endpoint)
            && endpoint.lease_confirmed
            && (!endpoint.is_unresponsive || !self.settings.policy.avoids_unresponsive)
            && endpoint.avoided_until <= now
            && endpoint.is_polled_within(now, self.settings.max_silence)
            && report.is_some_and(|r| r.service == *service && !r.is_draining)
    }

    fn ranking(&mut self, service: &ServiceName, slots: &Slots) -> Ranking {
        let Some(ids) = self.ready_jobs.get(service) else {
            return Ranking::default();
        };
        let candidates: Vec<Candidate> = ids
            .iter()
            .filter_map(|id| self.jobs.get(id)?.candidate)
            .collect();
        let capacity = self.capacity_of(service, slots);
        self.note_backlog(service, &candidates, capacity);
        urgency::rank(
            &candidates,
            &capacity,
            self.fleet_ms(),
            &self.settings.policy,
            &self.limits(service),
        )
    }

    /// Capacity of a service's endpoints for tasks that end by themselves, the remaining work of
    /// those that run, and the capacity of instances being moved to the pool.
    fn capacity_of(&self, service: &ServiceName, slots: &Slots) -> Capacity {
        /// Average share of its duration that a running task has left.
        const AVERAGE_LEFT: f64 = 0.5;
        let endpoints = slots.list.iter().filter_map(|s| self.endpoints.get(&s.id));
        let (mut cpu, mut work) = (0, 0_u64);
        for endpoint in endpoints {
            let lasting = endpoint.runs.values().filter(|b| b.is_lasting);
            let lasting: u64 = lasting.map(|b| b.resources.cpu).sum();
            let capacity = endpoint.report.as_ref().map_or(0, |r| r.capacity.cpu);
            cpu += capacity.saturating_sub(lasting);
            work += endpoint.work;
        }
        Capacity {
            cpu: as_f64(cpu),
            running_work: as_f64(work) * AVERAGE_LEFT,
            arriving: as_f64(self.instances.arriving_cpu(service, &self.evacuations)),
        }
    }

    /// Inputs of the urgency ranking for a job; `None` if it has no open occurrence.
    pub(super) fn candidate_of(&self, job: &Job) -> Option<Candidate> {
        let (occurrence, open) = job.progress.open.first_key_value()?;
        let terms = self.terms(&job.spec);
        let (owner, weight) = self.owner(job.spec.workspace.as_ref());
        let steps = &job.spec.steps;
        let (estimates, name) = (&self.estimates, &job.spec.queue);
        let length = |step: &StepSpec, count: u32| estimates.expect_step(name, step, count);
        let whole = self.expected_path(job, open);
        let remaining = open.remaining_critical_path(steps, length);
        Some(Candidate {
            job: job.spec.id,
            from_ms: self.wanted_since_ms(&job.spec, *occurrence),
            critical_path: whole.time,
            remaining_critical_path: remaining.time,
            deviation: remaining.deviation,
            is_learned: estimates.is_learned(name),
            steps_left: open.steps_left(),
            work_left: open.waiting_work(steps, |step| estimates.expect(name, step).time),
            has_begun: open.has_begun(),
            is_lasting: job.spec.steps.iter().any(|s| s.is_lasting),
            stretch: terms.stretch,
            slack: terms.objective,
            priority: terms.priority,
            owner,
            weight,
        })
    }

    /// Time at which an occurrence was accepted or due, in the fleet's time. Due times are given in
    /// the time of day and converted.
    fn wanted_since_ms(&self, spec: &JobSpec, occurrence: u32) -> UnixMs {
        if spec.repeat.is_none() {
            return spec.accepted_ms;
        }
        let due_for = self.now.unix_ms.saturating_sub(spec.due_ms(occurrence));
        let due_ms = self.fleet_ms().saturating_sub(due_for);
        due_ms.max(spec.accepted_ms)
    }

    /// A workspace's index in the configuration and its weight. Jobs sent without a key, or by a
    /// workspace that was removed, share one more workspace of weight 1.
    pub(super) fn owner(&self, workspace: Option<&WorkspaceName>) -> (u32, u64) {
        let index = workspace.and_then(|name| self.workspaces.get(name));
        let weight = index.and_then(|&at| Some(self.cfg.as_ref()?.workspaces.get(at)?.weight));
        let index = index.and_then(|&at| u32::try_from(at).ok());
        (index.unwrap_or(u32::MAX), weight.unwrap_or(1))
    }

    /// Starts the waiting tasks of a step for which there is capacity, within the workspace's limit
    /// and the window on starts.
    fn start_step(
        &mut self,
        spec: &Arc<JobSpec>,
        first: TaskId,
        slots: &mut Slots,
        unplaced: &mut Unplaced,
    ) {
        let step = &spec.steps[usize::from(first.step)];
        if unplaced.rules_out(&step.task_resources()) {
            return;
        }
        let Some(allowed) = self.allowed_endpoints(spec, first, &slots.list) else {
            return;
        };
        if step.is_gang || step.is_rack_local {
            let may_run: Vec<_> = slots.list.iter().filter(|s| allowed.has(&s.id)).collect();
            let is_placed = self.start_group(spec, first, &may_run);
            unplaced.note_unplaced(step, !is_placed && self.fits_somewhere(step));
            slots.refresh(&self.endpoints);
            return;
        }
        let mut siblings = slots.siblings(&self.siblings(first));
        for task in self.waiting_tasks(first) {
            if !self.is_within_limit(spec, &step.need) || !self.start_window.has_capacity() {
                return;
            }
            let place = self.place(step, task, &allowed, slots, &siblings, None);
            let is_slow = place.is_some_and(|at| slots.list[at].is_slow);
            if is_slow && self.waits_for_sound(first.job) {
                unplaced.note_unplaced(step, true);
                return;
            }
            let Some(place) = place else {
                unplaced.add(step, self.will_fit(step, slots));
                unplaced.note_unplaced(step, self.fits_somewhere(step));
                return;
            };
            siblings[place] += 1;
            let slot = &mut slots.list[place];
            slot.allocate(step);
            let endpoint = slot.id.clone();
            let ticket = self.ticket(first, &endpoint);
            self.start(task, &endpoint, ticket);
        }
    }

    /// The index in `slots` of the best endpoint for a task, or for a copy of its run at
    /// `copied_from`, if there is one.
    pub(super) fn place(
        &self,
        step: &StepSpec,
        task: TaskId,
        allowed: &Allowed,
        slots: &Slots,
        siblings: &[u32],
        copied_from: Option<&Slot>,
    ) -> Option<usize> {
        let t = self.jobs.get(&task.job)?.progress.task(task)?;
        let request = PlacementRequest {
            step,
            allowed,
            siblings,
            failed_at: &t.failed_at,
            copied_from,
            packs: self.settings.policy.packs,
        };
        place::choose(&slots.list, &request)
    }

    /// Number of runs of the step on each endpoint.
    pub(super) fn siblings(&self, first: TaskId) -> BTreeMap<EndpointId, u32> {
        let mut counts = BTreeMap::new();
        let job = self.jobs.get(&first.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&first.occurrence));
        let tasks = occurrence.map(|o| &o.steps[usize::from(first.step)]);
        for run in tasks.into_iter().flatten().flat_map(|t| &t.runs) {
            *counts.entry(run.endpoint.clone()).or_default() += 1;
        }
        counts
    }

    /// Tasks of the step that may start: not done, not running, not in backoff and not held.
    pub(super) fn waiting_tasks(&self, first: TaskId) -> Vec<TaskId> {
        let job = self.jobs.get(&first.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&first.occurrence));
        let Some(tasks) = occurrence.map(|o| &o.steps[usize::from(first.step)]) else {
            return Vec::new();
        };
        let now = self.now.steady;
        let may_start = |t: &Task| !t.is_done && t.runs.is_empty() && !t.backoff.is_waiting(now);
        let waiting = tasks.iter().enumerate().filter(|(_, t)| may_start(t));
        waiting
            .map(|(index, _)| TaskId {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                ..first
            })
            .filter(|&task| !self.unanswered.is_held(task))
            .collect()
    }

    /// Whether a task of one of the job's ready steps would fit on one of the slots now.
    pub(super) fn has_room(&self, id: JobId, slots: &Slots) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        ready_steps(job).into_iter().any(|(step, _)| {
            let step = &job.spec.steps[usize::from(step)];
            self.is_within_limit(&job.spec, &step.need)
                && slots.list.iter().any(|slot| slot.may_take(step, 0))
        })
    }

    /// Whether one of the slots will have room for a task of the step once all its runs that end by
    /// themselves have ended.
    fn will_fit(&self, step: &StepSpec, slots: &Slots) -> bool {
        let need = step.task_resources();
        let endpoints = slots.list.iter().filter_map(|s| self.endpoints.get(&s.id));
        endpoints
            .map(Endpoint::room_for_ending)
            .any(|room| room.holds(&need))
    }

    /// Whether a task of the step would fit on some endpoint of the fleet if that were empty.
    pub(super) fn fits_somewhere(&self, step: &StepSpec) -> bool {
        let need = step.task_resources();
        self.all_endpoints().any(|(_, e)| {
            let has_label = step.requires.as_deref().is_none_or(|l| e.has_label(l));
            has_label && e.report.as_ref().is_some_and(|r| r.capacity.holds(&need))
        })
    }
}

/// Converts an amount of CPU, which is far below the integers that an `f64` can't represent.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}

/// Steps with waiting tasks whose earlier steps are done, with their occurrence.
pub(super) fn ready_steps(job: &Job) -> Vec<(u16, u32)> {
    let mut ready = Vec::new();
    for (&occurrence, open) in &job.progress.open {
        for (step, spec) in job.spec.steps.iter().enumerate() {
            let has_waiting = open.steps[step]
                .iter()
                .any(|t| !t.is_done && t.runs.is_empty());
            if has_waiting && open.is_step_ready(spec) {
                ready.push((u16::try_from(step).unwrap_or(u16::MAX), occurrence));
            }
        }
    }
    ready
}

/// CPU that the waiting tasks of a job's ready steps need, in thousandths of a core.
pub(super) fn waiting_cpu(job: &Job) -> u64 {
    let steps = ready_steps(job).into_iter().map(|(step, occurrence)| {
        let tasks = &job.progress.open[&occurrence].steps[usize::from(step)];
        let waiting = tasks.iter().filter(|t| !t.is_done && t.runs.is_empty());
        job.spec.steps[usize::from(step)].task_resources().cpu * waiting.count() as u64
    });
    steps.sum()
}
