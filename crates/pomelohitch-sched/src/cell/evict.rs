//! Moving lasting tasks to other endpoints, and pacing of fillers.

use std::collections::BTreeMap;
use std::time::Duration;

use tracing::info;

use super::Cell;
use crate::Steady;
use crate::endpoint::{Endpoint, PollReply};
use crate::id::{EndpointId, RunNumber, ServiceName, TaskId};
use crate::job::StepSpec;
use crate::order::{Action, Order};
use crate::place::Slot;
use crate::progress::{Run, Task};

/// Percentage at which a lasting task works, as its endpoint reports it.
const WORKING_PERCENT: u32 = 100;
/// Maximum age of an endpoint's last answer for its tasks to count as working. Endpoints hold polls
/// for at most 0.3 s while lasting tasks have to move.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(700);
/// Lasting tasks leave an instance for others that aren't due for maintenance. After their service
/// has had no room on such instances for this long, they go to any.
const NOT_DUE_TIMEOUT: Duration = Duration::from_secs(3);
/// An endpoint is kept for lasting tasks once they have had no room for this long. Running tasks
/// end all the time, so that some room may appear by itself.
const KEEP_ROOM_AFTER: Duration = Duration::from_millis(300);
/// Time from the decision to move a lasting task to its start elsewhere, for which its room is kept.
const KEEP_ROOM_FOR: Duration = Duration::from_millis(1500);
/// Fillers slow down when the tail latency of a task on the same endpoint exceeds this part of its
/// target.
const SLOW_DOWN_ABOVE: f64 = 0.85;
/// Fillers speed up again below this part of the target. The distance to the other threshold
/// prevents the pace from oscillating.
const SPEED_UP_BELOW: f64 = 0.6;
/// Minimum time between two changes of the pace. A change takes effect after 100 ms and shows in a
/// tail latency over the last 500 ms, so an earlier one would be based on outdated values.
const MIN_PACE_INTERVAL: Duration = Duration::from_millis(600);
/// Step by which fillers speed up, percent.
const PACE_STEP: u32 = 20;
/// Below this percentage fillers are halted rather than slowed down further.
const MIN_PACE: u32 = 15;

/// A service with lasting tasks that have to move and fit on no other endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Blocked {
    pub(super) since: Steady,
    /// One of these tasks.
    task: TaskId,
}

/// An endpoint that takes only lasting tasks. A busy pool would otherwise fill all room with tasks
/// that end by themselves, and its lasting tasks could never move.
#[derive(Debug)]
pub(super) struct KeptRoom {
    pub(super) endpoint: EndpointId,
    until: Steady,
}

impl Cell {
    /// Moves lasting tasks away from endpoints that are draining, reserved, due for maintenance or
    /// in an evacuated zone. At most as many tasks of a step are down at once as the step allows,
    /// and only while other endpoints have capacity.
    pub(super) fn evict_lasting(&mut self) {
        let is_draining = |e: &Endpoint| e.report.as_ref().is_some_and(|r| r.is_draining);
        let with_lasting = self.all_endpoints().filter(|(_, e)| e.lasting_runs > 0);
        let (leaving, rest): (Vec<_>, Vec<_>) = with_lasting
            .partition(|(_, e)| is_draining(e) || e.is_reserved || self.is_evacuated(e));
        let due = rest.into_iter().filter(|(_, e)| e.is_maintenance_due);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        let leaving: Vec<EndpointId> = leaving.into_iter().map(|(id, _)| id.clone()).collect();
        self.is_evicting = !leaving.is_empty() || !due.is_empty();
        let mut blocked = BTreeMap::new();
        for id in leaving {
            self.evict(&id, &mut blocked);
        }
        for id in due {
            self.evict_early(&id, &mut blocked);
        }
        self.blocked_services
            .retain(|service, _| blocked.contains_key(service));
        for (service, task) in blocked {
            let since = self.now.steady;
            let blocked = Blocked { since, task };
            let entry = self.blocked_services.entry(service).or_insert(blocked);
            entry.task = task;
        }
        self.keep_rooms();
    }

    /// Keeps an endpoint free for the lasting tasks of each service that is blocked.
    fn keep_rooms(&mut self) {
        let now = self.now.steady;
        self.kept_rooms.retain(|_, kept| kept.until > now);
        let is_old = |b: &Blocked| now.saturating_sub(b.since) > KEEP_ROOM_AFTER;
        if !self.blocked_services.values().any(is_old) {
            return;
        }
        let mut best: BTreeMap<ServiceName, (bool, u64, EndpointId)> = BTreeMap::new();
        for (id, endpoint) in self.all_endpoints() {
            let Some(service) = endpoint.report.as_ref().map(|r| &r.service) else {
                continue;
            };
            let blocked = self.blocked_services.get(service).filter(|b| is_old(b));
            let may_take = blocked.is_some_and(|b| self.siblings_at(b.task, id) == 0);
            if !may_take || endpoint.is_maintenance_due || !self.is_usable(endpoint, service) {
                continue;
            }
            let rank = (
                endpoint.is_kept_for_lasting,
                endpoint.free().cpu,
                id.clone(),
            );
            if best.get(service).is_none_or(|known| *known < rank) {
                best.insert(service.clone(), rank);
            }
        }
        let kept = best.into_iter().map(|(service, (_, _, endpoint))| {
            let until = now + KEEP_ROOM_FOR;
            (service, KeptRoom { endpoint, until })
        });
        self.kept_rooms.extend(kept);
    }

    /// Moves lasting tasks away from an endpoint. `blocked` collects the services whose lasting
    /// tasks fit on no other endpoint: their pools have to grow before the instance can be emptied.
    fn evict(&mut self, id: &EndpointId, blocked: &mut BTreeMap<ServiceName, TaskId>) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let is_due = endpoint.is_maintenance_due;
        let runs: Vec<_> = endpoint.runs.keys().copied().collect();
        for (task, run) in runs {
            let step = self.step(task).filter(|s| s.is_lasting);
            let Some(step) = step.filter(|s| self.may_evict(task, run, s)) else {
                continue;
            };
            if self.fits_on_not_due(task, step)
                || ((!is_due || self.is_long_blocked(task)) && self.fits_elsewhere(task, step))
            {
                self.stop_for_eviction(task, run);
            } else if let Some(job) = self.jobs.get(&task.job) {
                blocked.insert(self.service_of(&job.spec), task);
            }
        }
    }

    /// Moves lasting tasks away from an instance that is due for maintenance before the instance is
    /// reserved, to endpoints that aren't due. Tasks of a step move one after another, two seconds
    /// each: if they only began when their instance was reserved, moving the 24 tasks of one step
    /// would take longer than the wave.
    fn evict_early(&mut self, id: &EndpointId, blocked: &mut BTreeMap<ServiceName, TaskId>) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let lasting = endpoint.runs.iter().filter(|(_, b)| b.is_lasting);
        let runs: Vec<_> = lasting.map(|(key, _)| *key).collect();
        for (task, run) in runs {
            let Some(step) = self.step(task).filter(|s| self.may_evict(task, run, s)) else {
                continue;
            };
            if self.fits_on_not_due(task, step) {
                self.stop_for_eviction(task, run);
            } else if let Some(job) = self.jobs.get(&task.job) {
                blocked.insert(self.service_of(&job.spec), task);
            }
        }
    }

    /// Whether a lasting task's run may be stopped now: it was seen by a poll, isn't ending, and
    /// its step allows one more task to be down.
    fn may_evict(&self, task: TaskId, run: RunNumber, step: &StepSpec) -> bool {
        let is_settled = self
            .run(task, run)
            .is_some_and(|r| !is_ending(r) && r.view.seen_at.is_some());
        let may_be_down = self.others_down(task) < step.may_miss.max(1);
        is_settled && may_be_down
    }

    /// Number of other tasks of the step that aren't working.
    fn others_down(&self, task: TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&task.occurrence));
        let Some(tasks) = occurrence.map(|o| &o.steps[usize::from(task.step)]) else {
            return 0;
        };
        let others = tasks
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != task.index as usize);
        let down = others.filter(|(_, t)| !self.is_working(t)).count();
        u32::try_from(down).unwrap_or(u32::MAX)
    }

    /// Whether a lasting task certainly works: its endpoint reported so recently. The tasks of a
    /// silent endpoint don't count by its last report: if they are down, stopping another task of
    /// the step would exceed the number that may be down.
    fn is_working(&self, task: &Task) -> bool {
        let now = self.now.steady;
        task.runs.iter().any(|r| {
            let endpoint = self.endpoints.get(&r.endpoint);
            let has_answered = endpoint.is_some_and(|e| e.has_answered_within(now, MAX_ANSWER_AGE));
            has_answered && r.view.percent >= WORKING_PERCENT && !is_ending(r)
        })
    }

    /// Whether lasting tasks of the task's service have long had no room elsewhere.
    fn is_long_blocked(&self, task: TaskId) -> bool {
        let service = self.jobs.get(&task.job).map(|j| self.service_of(&j.spec));
        let since = service.and_then(|s| self.blocked_services.get(&s));
        since.is_some_and(|b| self.now.steady.saturating_sub(b.since) > NOT_DUE_TIMEOUT)
    }

    /// Whether the task could start on some endpoint now. Its present endpoint doesn't count, since
    /// nothing may start there.
    fn fits_elsewhere(&self, task: TaskId, step: &StepSpec) -> bool {
        self.fits_on_any(task, step, |_| true)
    }

    /// Whether the task could start on an endpoint that isn't due for maintenance.
    fn fits_on_not_due(&self, task: TaskId, step: &StepSpec) -> bool {
        self.fits_on_any(task, step, |slot| !slot.is_maintenance_due)
    }

    /// Whether the task could start on an endpoint for which `is_allowed` holds.
    fn fits_on_any(
        &self,
        task: TaskId,
        step: &StepSpec,
        is_allowed: impl Fn(&Slot) -> bool,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let service = self.service_of(&job.spec);
        let mut slots = self.slots(&service).list.into_iter();
        slots.any(|slot| is_allowed(&slot) && slot.may_take(step, self.siblings_at(task, &slot.id)))
    }

    /// Number of runs of the task's step on an endpoint.
    fn siblings_at(&self, task: TaskId, id: &EndpointId) -> u32 {
        let Some(endpoint) = self.endpoints.get(id) else {
            return 0;
        };
        let is_sibling =
            |t: &TaskId| (t.job, t.occurrence, t.step) == (task.job, task.occurrence, task.step);
        let count = endpoint.runs.keys().filter(|(t, _)| is_sibling(t)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Paces the fillers at an endpoint so that tasks with a latency target meet it.
    pub(super) fn pace(&mut self, id: &EndpointId, answer: &PollReply) {
        let mut worst: Option<f64> = None;
        let mut fillers = Vec::new();
        for running in &answer.running {
            let Some(step) = self.step(running.task) else {
                continue;
            };
            if step.is_filler {
                fillers.push((running.task, running.number));
            }
            if let Some(target) = step.target
                && running.percent >= WORKING_PERCENT
            {
                let part = f64::from(running.load) / (target.as_secs_f64() * 1000.0).max(1.0);
                worst = Some(worst.map_or(part, |w| w.max(part)));
            }
        }
        if fillers.is_empty() {
            return;
        }
        let now = self.now.steady;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let pace = endpoint.filler_pace;
        let wanted = next_pace(pace, worst, now.saturating_sub(endpoint.pace_set_at));
        if wanted != pace {
            endpoint.filler_pace = wanted;
            endpoint.pace_set_at = now;
            info!(endpoint = %id, pace, wanted, worst, fillers = fillers.len(),
                "filler pace changed");
        }
        for (task, run) in fillers {
            self.pace_run(id, task, run, wanted);
        }
    }

    /// Orders a filler to work at this percentage, unless it does already.
    fn pace_run(&mut self, id: &EndpointId, task: TaskId, run: RunNumber, percent: u32) {
        let (now, epoch): (Steady, _) = (self.now.steady, self.epoch);
        let target = self.target(id);
        let Some(r) = self.run_mut(task, run) else {
            return;
        };
        if r.view.pace.unwrap_or(WORKING_PERCENT) == percent {
            return;
        }
        r.view.pace = Some(percent);
        self.outbox.extend(target.map(|target| Action::Order {
            target,
            order: Order::Pace { task, run, percent },
            epoch,
            at: now,
        }));
    }
}

/// Whether a stop of the run was ordered or decided.
fn is_ending(run: &Run) -> bool {
    run.is_leaving || run.view.is_stopping()
}

/// The next pace of fillers in percent. `worst` is the highest latency of a serving task as a part
/// of its target.
///
/// Halving reaches a harmless pace within two or three polls, before targets are missed; speeding
/// up goes in small steps.
#[must_use]
pub fn next_pace(pace: u32, worst: Option<f64>, since_change: Duration) -> u32 {
    if since_change < MIN_PACE_INTERVAL {
        return pace;
    }
    match worst {
        Some(part) if part > SLOW_DOWN_ABOVE && pace < MIN_PACE => 0,
        Some(part) if part > SLOW_DOWN_ABOVE => pace / 2,
        Some(part) if part > SPEED_UP_BELOW => pace,
        _ => (pace + PACE_STEP).min(100),
    }
}
