//! Refusal of jobs that can't be of use any more, by the work that waits before them.

use std::collections::BTreeMap;
use std::time::Duration;

use tracing::info;

use super::Cell;
use crate::Steady;
use crate::admission::{self, Backlog, Request, Room};
use crate::config::Queue;
use crate::id::{JobId, ServiceName, job_text};
use crate::job::{self, JobSpec};
use crate::order::Answer;
use crate::rate::RateLimiter;
use crate::urgency::{Candidate, Capacity, STEP_OVERHEAD};

/// An older backlog doesn't tell what waits now: passes are at most some tenths of a second apart
/// while anything can start.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(1);
/// Interval at which free room is counted.
const FREE_ROOM_INTERVAL: Duration = Duration::from_millis(200);
/// Most log lines about refused jobs a second.
const LOG_LINES_PER_S: f64 = 20.0;

/// What is known about the work that waits for each service.
#[derive(Debug)]
pub(super) struct Backlogs {
    /// By service, with the time of the scheduling pass.
    services: BTreeMap<ServiceName, (Steady, Backlog)>,
    /// Free room in each pool, thousandths of a core.
    free: BTreeMap<ServiceName, u64>,
    /// Room that is switched off, thousandths of a core.
    off: u64,
    free_as_of: Steady,
    log_limiter: RateLimiter,
}

impl Backlogs {
    pub(super) fn new() -> Backlogs {
        Backlogs {
            services: BTreeMap::new(),
            free: BTreeMap::new(),
            off: 0,
            free_as_of: Steady::ZERO,
            log_limiter: RateLimiter::new(LOG_LINES_PER_S),
        }
    }

    /// Forgets the backlogs of services for which nothing waits.
    pub(super) fn retain(&mut self, services: &[ServiceName]) {
        self.services.retain(|name, _| services.contains(name));
    }

    /// Room outside of a service's pool.
    fn obtainable(&self, service: &ServiceName) -> f64 {
        let others = self.free.iter().filter(|(name, _)| *name != service);
        let free: u64 = others.map(|(_, cpu)| cpu).sum();
        f64::from(u32::try_from(free + self.off).unwrap_or(u32::MAX))
    }
}

impl Cell {
    /// Counts the room that pools can get from others.
    pub(super) fn update_free_room(&mut self) {
        let now = self.now.steady;
        let is_due = now >= self.backlogs.free_as_of + FREE_ROOM_INTERVAL;
        if !is_due || !self.settings.policy.refuses_useless {
            return;
        }
        let mut free: BTreeMap<ServiceName, u64> = BTreeMap::new();
        for (_, endpoint) in self.all_endpoints() {
            let is_present = endpoint.is_listed && endpoint.gone_since.is_none();
            if let Some(report) = endpoint.report.as_ref().filter(|_| is_present) {
                let room = report.capacity.cpu.saturating_sub(endpoint.used.cpu);
                *free.entry(report.service.clone()).or_default() += room;
            }
        }
        let off = self
            .all_instances()
            .filter(|i| i.endpoint.is_none() && self.is_switched_off(&i.pool))
            .map(|i| i.capacity.cpu)
            .sum();
        self.backlogs.free = free;
        self.backlogs.off = off;
        self.backlogs.free_as_of = now;
    }

    /// Notes what waits for a service, as a scheduling pass has found it.
    pub(super) fn note_backlog(
        &mut self,
        service: &ServiceName,
        candidates: &[Candidate],
        capacity: Capacity,
    ) {
        if !self.settings.policy.refuses_useless {
            return;
        }
        let now_ms = self.fleet_ms();
        let mut backlog = Backlog::new(Room {
            capacity,
            obtainable: self.backlogs.obtainable(service),
        });
        for candidate in candidates {
            backlog.add(candidate, now_ms);
        }
        let known = (self.now.steady, backlog);
        self.backlogs.services.insert(service.clone(), known);
    }

    /// Adds a job that was just accepted to what waits.
    pub(super) fn add_to_backlog(&mut self, id: JobId) {
        let now_ms = self.fleet_ms();
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let service = self.service_of(&job.spec);
        if let Some(candidate) = job.candidate
            && let Some((_, backlog)) = self.backlogs.services.get_mut(&service)
        {
            backlog.add(&candidate, now_ms);
        }
    }

    /// Refuses a job that can't be of use any more, by learned run times. Never one with lasting
    /// tasks, which are of use whenever they start, nor a repeating one, which is due later.
    pub(super) fn refuse_useless(&mut self, spec: &JobSpec, queue: &Queue) -> Option<Answer> {
        let ends_once = spec.repeat.is_none() && spec.steps.iter().all(|s| !s.is_lasting);
        if !ends_once || !self.estimates.is_learned(&spec.queue) {
            return None;
        }
        let (as_of, backlog) = self.backlogs.services.get(&queue.service)?;
        if self.now.steady.saturating_sub(*as_of) > MAX_BACKLOG_AGE {
            return None;
        }
        let refusal = admission::refuse(&self.request(spec, queue), backlog)?;
        if self.backlogs.log_limiter.try_acquire(self.now.steady) {
            info!(job = %job_text(spec.id), queue = %queue.name, workspace = ?spec.workspace,
                wait_ms = refusal.wait.as_millis(),
                latest_start_ms = refusal.latest_start.as_millis(),
                retry_after_ms = refusal.retry_after.as_millis(), "job refused");
        }
        Some(Answer::Refused {
            retry_after: refusal.retry_after,
            is_for_queue: false,
            reason: "the job would be done too late to be of use",
        })
    }

    fn request(&self, spec: &JobSpec, queue: &Queue) -> Request {
        let (owner, weight) = self.owner(spec.workspace.as_ref());
        let path = job::critical_path(&spec.steps, |index| {
            let step = &spec.steps[index];
            self.estimates.expect_step(&spec.queue, step, step.count)
        });
        let steps = u32::try_from(spec.steps.len()).unwrap_or(u32::MAX);
        Request {
            job: spec.id,
            owner,
            weight,
            priority: queue.priority,
            critical_path: path.time + STEP_OVERHEAD * steps,
            deviation: path.deviation,
            stretch: queue.stretch,
            slack: queue.objective,
        }
    }
}
