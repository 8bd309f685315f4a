//! Which tasks start where.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Cell, Job};
use crate::Steady;
use crate::config::Queue;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, JobId, ServiceName, TaskId};
use crate::job::{JobSpec, StepSpec};
use crate::order::Action;
use crate::place::{self, Candidate};
use crate::resources::Resources;
use crate::urgency::{Claim, Urgency};

/// A question to the policy that wasn't answered is asked again after this.
const ADVICE_RETRY: Duration = Duration::from_millis(500);
/// Endpoints asked about at once: each makes the answer later, and a step needs only a few.
const ADVICE_ENDPOINTS: usize = 30;

/// What the policy said about a step.
#[derive(Debug, Clone, Default)]
pub struct Advice {
    asked_at: Steady,
    tickets: BTreeMap<EndpointId, (u64, Box<str>)>,
    valid_until: Steady,
}

/// Needs that found no room in this pass: what is larger finds none either.
#[derive(Debug, Default)]
struct Misfits {
    rooms: Vec<Resources>,
    /// Whether a task found no room that would fit on some empty endpoint.
    found: bool,
}

impl Misfits {
    fn covers(&self, room: &Resources) -> bool {
        self.rooms.iter().any(|m| room.holds(m))
    }

    fn add(&mut self, step: &StepSpec) {
        let is_plain = step.requires.is_none() && step.per_endpoint == 0;
        if is_plain {
            self.rooms.push(step.room());
        }
    }
}

impl Cell {
    /// Starts what can start, the most urgent job first.
    pub(super) fn schedule(&mut self) {
        let services: Vec<ServiceName> = self
            .ready
            .iter()
            .filter(|(_, jobs)| !jobs.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        self.unplaced
            .retain(|service, _| services.contains(service));
        for service in services {
            self.schedule_service(&service);
        }
    }

    fn schedule_service(&mut self, service: &ServiceName) {
        let candidates = self.candidates(service);
        let mut misfits = Misfits::default();
        for id in self.by_urgency(service) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let spec = job.spec.clone();
            for (step, occurrence) in ready_steps(job) {
                let task = TaskId {
                    job: id,
                    occurrence,
                    step,
                    index: 0,
                };
                self.start_step(&spec, task, &candidates, &mut misfits);
            }
            self.index(id);
        }
        if misfits.found {
            let now = self.now.steady;
            self.unplaced.entry(service.clone()).or_insert(now);
        } else {
            self.unplaced.remove(service);
        }
    }

    /// Endpoints of a service that may be given work.
    pub(super) fn candidates(&self, service: &ServiceName) -> Vec<EndpointId> {
        let is_usable = |e: &Endpoint| {
            e.is_listed
                && !e.is_reserved
                && e.lease_confirmed
                && e.shunned_until <= self.now.steady
                && e.is_fresh(self.now.steady, self.settings.fresh)
                && e.report
                    .as_ref()
                    .is_some_and(|r| r.service == *service && !r.is_draining)
        };
        let usable = self.endpoints.iter().filter(|(_, e)| is_usable(e));
        usable.map(|(id, _)| id.clone()).collect()
    }

    fn by_urgency(&self, service: &ServiceName) -> Vec<JobId> {
        let Some(ids) = self.ready.get(service) else {
            return Vec::new();
        };
        let mut order: Vec<Urgency> = ids
            .iter()
            .filter_map(|id| Some(self.claim(self.jobs.get(id)?)?.urgency(self.now.unix_ms)))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|u| u.job).collect()
    }

    /// What a job's place is decided by.
    fn claim(&self, job: &Job) -> Option<Claim> {
        let (occurrence, open) = job.progress.open.first_key_value()?;
        let default = Queue::default();
        let queue = self.cfg.as_ref().and_then(|c| c.queue(&job.spec.queue));
        let queue = queue.unwrap_or(&default);
        Some(Claim {
            job: job.spec.id,
            from_ms: job.spec.due_ms(*occurrence).max(job.spec.accepted_ms),
            chain: chain(&job.spec.steps),
            chain_left: open.chain_left(&job.spec.steps),
            stretch: queue.stretch,
            slack: queue.objective,
            priority: queue.priority,
        })
    }

    fn start_step(
        &mut self,
        spec: &Arc<JobSpec>,
        first: TaskId,
        candidates: &[EndpointId],
        misfits: &mut Misfits,
    ) {
        let step = &spec.steps[usize::from(first.step)];
        if misfits.covers(&step.room()) {
            return;
        }
        let Some(allowed) = self.advised(spec, first, candidates) else {
            return;
        };
        if step.is_gang || step.is_rack_local {
            let is_placed = self.start_together(spec, first, &allowed);
            misfits.found |= !is_placed && self.fits_somewhere(step);
            return;
        }
        let mut siblings = self.siblings(first);
        for task in self.waiting_tasks(first) {
            if !self.is_within_bound(spec, &step.need) {
                return;
            }
            let Some(endpoint) = self.place(step, task, &allowed, &siblings) else {
                misfits.add(step);
                misfits.found |= self.fits_somewhere(step);
                return;
            };
            *siblings.entry(endpoint.clone()).or_default() += 1;
            let ticket = self.ticket(first, &endpoint);
            self.start(task, &endpoint, ticket);
        }
    }

    fn place(
        &self,
        step: &StepSpec,
        task: TaskId,
        allowed: &[EndpointId],
        siblings: &BTreeMap<EndpointId, u32>,
    ) -> Option<EndpointId> {
        let t = self.jobs.get(&task.job)?.progress.task(task)?;
        let candidates = allowed.iter().filter_map(|id| {
            Some(Candidate {
                id,
                endpoint: self.endpoints.get(id)?,
                siblings: siblings.get(id).copied().unwrap_or(0),
                failed_before: t.failed_at.contains(id),
            })
        });
        place::choose(step, candidates).cloned()
    }

    /// Tasks of the step that each endpoint has.
    fn siblings(&self, first: TaskId) -> BTreeMap<EndpointId, u32> {
        let mut counts = BTreeMap::new();
        let job = self.jobs.get(&first.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&first.occurrence));
        let tasks = occurrence.map(|o| &o.steps[usize::from(first.step)]);
        for run in tasks.into_iter().flatten().flat_map(|t| &t.runs) {
            *counts.entry(run.endpoint.clone()).or_default() += 1;
        }
        counts
    }

    fn waiting_tasks(&self, first: TaskId) -> Vec<TaskId> {
        let job = self.jobs.get(&first.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&first.occurrence));
        let Some(tasks) = occurrence.map(|o| &o.steps[usize::from(first.step)]) else {
            return Vec::new();
        };
        let waiting = tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| !t.is_done && t.runs.is_empty());
        waiting
            .map(|(index, _)| TaskId {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                ..first
            })
            .collect()
    }

    /// Starts all tasks of a step that work only, or well only, together: a gang as a whole or
    /// not at all, and on one rack where one has the room. Half a gang would hold room idle
    /// until it times out.
    ///
    /// Returns false if there was no room for all.
    fn start_together(
        &mut self,
        spec: &Arc<JobSpec>,
        first: TaskId,
        allowed: &[EndpointId],
    ) -> bool {
        let step = &spec.steps[usize::from(first.step)];
        let waiting = self.waiting_tasks(first);
        let is_whole = waiting.len() == step.count as usize;
        if step.is_gang && !is_whole {
            return true;
        }
        let need = step.need.times(waiting.len() as u64);
        if !self.is_within_bound(spec, &need) {
            return true;
        }
        let Some(places) = self.places_together(step, first, &waiting, allowed) else {
            return false;
        };
        if step.is_gang {
            self.align_runs(first);
        }
        for (task, endpoint) in waiting.into_iter().zip(places) {
            let ticket = self.ticket(first, &endpoint);
            self.start(task, &endpoint, ticket);
        }
        true
    }

    /// Whether some endpoint of the fleet, were it empty, could take a task of the step.
    fn fits_somewhere(&self, step: &StepSpec) -> bool {
        let room = step.room();
        self.endpoints.values().any(|e| {
            let has_label = step.requires.as_deref().is_none_or(|l| e.has_label(l));
            has_label && e.report.as_ref().is_some_and(|r| r.capacity.holds(&room))
        })
    }

    /// Members of a gang share the number of their run and the checkpoint.
    fn align_runs(&mut self, first: TaskId) {
        let Some(job) = self.jobs.get_mut(&first.job) else {
            return;
        };
        let Some(occurrence) = job.progress.open.get_mut(&first.occurrence) else {
            return;
        };
        let tasks = &mut occurrence.steps[usize::from(first.step)];
        let last = tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
        let checkpoint = tasks
            .iter()
            .map(|t| t.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for t in tasks {
            t.last_run = last;
            t.checkpoint = checkpoint.clone();
        }
    }

    fn places_together(
        &self,
        step: &StepSpec,
        first: TaskId,
        waiting: &[TaskId],
        allowed: &[EndpointId],
    ) -> Option<Vec<EndpointId>> {
        let mut racks: BTreeMap<&str, Vec<EndpointId>> = BTreeMap::new();
        for id in allowed {
            let rack = self.endpoints.get(id).and_then(Endpoint::rack);
            racks
                .entry(rack.unwrap_or_default())
                .or_default()
                .push(id.clone());
        }
        let on_one_rack = racks
            .values()
            .find_map(|rack| self.places_on(step, first, waiting, rack));
        on_one_rack.or_else(|| self.places_on(step, first, waiting, allowed))
    }

    /// A place for each task on the given endpoints, if they have room for all.
    fn places_on(
        &self,
        step: &StepSpec,
        first: TaskId,
        waiting: &[TaskId],
        endpoints: &[EndpointId],
    ) -> Option<Vec<EndpointId>> {
        let room = step.room();
        let mut siblings = self.siblings(first);
        let mut places = Vec::with_capacity(waiting.len());
        for id in endpoints {
            let endpoint = self.endpoints.get(id)?;
            let has_label = step
                .requires
                .as_deref()
                .is_none_or(|l| endpoint.has_label(l));
            if !has_label {
                continue;
            }
            let mut free = endpoint.free();
            let count = siblings.entry(id.clone()).or_default();
            while places.len() < waiting.len()
                && free.holds(&room)
                && (step.per_endpoint == 0 || *count < step.per_endpoint)
            {
                free = free.less(&room);
                *count += 1;
                places.push(id.clone());
            }
        }
        (places.len() == waiting.len()).then_some(places)
    }

    /// The endpoints that may run a step: all, or those that the policy gave tickets for. `None`
    /// while its answer is awaited.
    fn advised(
        &mut self,
        spec: &JobSpec,
        first: TaskId,
        candidates: &[EndpointId],
    ) -> Option<Vec<EndpointId>> {
        let queue = self.cfg.as_ref().and_then(|c| c.queue(&spec.queue));
        if queue.is_none_or(|q| q.advice.is_none()) {
            return Some(candidates.to_vec());
        }
        let now = self.now.steady;
        let advice = self.advice.entry(first).or_default();
        if now < advice.valid_until {
            let is_good = |id: &&EndpointId| {
                let born = self.endpoints.get(*id).map(|e| e.born);
                advice.tickets.get(*id).is_some_and(|t| Some(t.0) == born)
            };
            let good: Vec<_> = candidates.iter().filter(is_good).cloned().collect();
            if !good.is_empty() {
                return Some(good);
            }
        }
        let is_asked = advice.asked_at > Steady::ZERO;
        if !is_asked || now >= advice.asked_at + ADVICE_RETRY {
            advice.asked_at = now;
            let mut asked = candidates.to_vec();
            asked.sort_by_key(|id| {
                let free = self.endpoints.get(id).map(|e| e.free().cpu);
                std::cmp::Reverse(free)
            });
            asked.truncate(ADVICE_ENDPOINTS);
            self.outbox.push(Action::Advise {
                step: first,
                endpoints: asked,
            });
        }
        None
    }

    fn ticket(&self, first: TaskId, endpoint: &EndpointId) -> Option<Box<str>> {
        let first = TaskId { index: 0, ..first };
        let (_, ticket) = self.advice.get(&first)?.tickets.get(endpoint)?;
        Some(ticket.clone())
    }

    /// Takes in what the policy said of a step: tickets, and how long they are valid.
    pub fn advised_of(
        &mut self,
        step: TaskId,
        tickets: Vec<(EndpointId, Box<str>)>,
        valid: Duration,
    ) {
        let born = |id: &EndpointId| self.endpoints.get(id).map_or(0, |e| e.born);
        let tickets = tickets
            .into_iter()
            .map(|(id, t)| {
                let born = born(&id);
                (id, (born, t))
            })
            .collect();
        let now = self.now.steady;
        self.advice.insert(
            step,
            Advice {
                asked_at: now,
                tickets,
                valid_until: now + valid,
            },
        );
    }
}

/// Steps whose turn has come and that have tasks waiting, with their occurrence.
fn ready_steps(job: &Job) -> Vec<(u16, u32)> {
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

/// Thousandths of a core that a job's waiting tasks take whose turn has come.
pub(super) fn waiting_cpu(job: &Job) -> u64 {
    let steps = ready_steps(job).into_iter().map(|(step, occurrence)| {
        let tasks = &job.progress.open[&occurrence].steps[usize::from(step)];
        let waiting = tasks.iter().filter(|t| !t.is_done && t.runs.is_empty());
        job.spec.steps[usize::from(step)].room().cpu * waiting.count() as u64
    });
    steps.sum()
}

/// The longest chain of estimates of a job.
fn chain(steps: &[StepSpec]) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(steps.len());
    for spec in steps {
        let begins = spec.after.iter().map(|&a| ends[usize::from(a)]).max();
        ends.push(begins.unwrap_or_default() + spec.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
