//! Lasting tasks that have to go elsewhere, and pacing of fillers.

use std::collections::BTreeSet;
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

/// A lasting task is at work when its endpoint says so of all of it.
const AT_WORK: u32 = 100;
/// An endpoint that answered within this time is taken to be as it said. Looks wait at most 0.3 s
/// for an answer while tasks have to be moved away.
const HEARD_WITHIN: Duration = Duration::from_millis(700);
/// Above this part of its target a task's tail is about to miss it: fillers beside it slow down.
const SLOW_DOWN_ABOVE: f64 = 0.85;
/// Below this part of the target fillers may speed up again. The gap to the other threshold keeps
/// the pace from swinging.
const SPEED_UP_BELOW: f64 = 0.6;
/// A pace takes 100 ms to act and shows in the tail of the last half second, so another change
/// before that would answer to old news.
const PACE_GAP: Duration = Duration::from_millis(600);
/// How much fillers speed up at a time, percent.
const PACE_STEP: u32 = 20;
/// Below this percentage fillers are halted rather than halved again.
const PACE_FLOOR: u32 = 15;

impl Cell {
    /// Moves lasting tasks away from endpoints that leave, have to be empty soon or lie in an
    /// evacuated zone, no faster than their steps allow and only while there is room elsewhere.
    pub(super) fn tend_lasting(&mut self) {
        let is_draining = |e: &Endpoint| e.report.as_ref().is_some_and(|r| r.is_draining);
        let with_lasting = self.endpoints.iter().filter(|(_, e)| e.lasting_runs > 0);
        let (leaving, rest): (Vec<_>, Vec<_>) = with_lasting
            .partition(|(_, e)| is_draining(e) || e.is_reserved || self.is_evacuated(e));
        let due = rest.into_iter().filter(|(_, e)| e.is_maintenance_due);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        let leaving: Vec<EndpointId> = leaving.into_iter().map(|(id, _)| id.clone()).collect();
        self.is_evicting = !leaving.is_empty() || !due.is_empty();
        let mut blocked = BTreeSet::new();
        for id in leaving {
            self.evict(&id, &mut blocked);
        }
        for id in due {
            self.evict_early(&id);
        }
        self.blocked.retain(|service, _| blocked.contains(service));
        for service in blocked {
            let now = self.now.steady;
            self.blocked.entry(service).or_insert(now);
        }
    }

    /// `blocked` collects services whose lasting tasks find no room elsewhere: their pools have to
    /// grow before the instance can be empty.
    fn evict(&mut self, id: &EndpointId, blocked: &mut BTreeSet<ServiceName>) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let runs: Vec<_> = endpoint.runs.keys().copied().collect();
        for (task, run) in runs {
            let step = self.step(task).filter(|s| s.is_lasting);
            let Some(step) = step.filter(|s| self.may_evict(task, run, s)) else {
                continue;
            };
            if self.has_room_elsewhere(task, step) {
                self.send_away(task, run);
            } else if let Some(job) = self.jobs.get(&task.job) {
                blocked.insert(self.service_of(&job.spec));
            }
        }
    }

    /// Lets lasting tasks leave an instance that is due, before its turn comes, for endpoints that
    /// aren't. Tasks of a step leave one after another, at two seconds each: begun only with their
    /// instance's turn, those of a step of 24 tasks took longer than the wave.
    fn evict_early(&mut self, id: &EndpointId) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let lasting = endpoint.runs.iter().filter(|(_, b)| b.is_lasting);
        let runs: Vec<_> = lasting.map(|(key, _)| *key).collect();
        for (task, run) in runs {
            let step = self.step(task).filter(|s| self.may_evict(task, run, s));
            if step.is_some_and(|step| self.has_lasting_room(task, step)) {
                self.send_away(task, run);
            }
        }
    }

    fn may_evict(&self, task: TaskId, run: RunNumber, step: &StepSpec) -> bool {
        let is_settled = self
            .run(task, run)
            .is_some_and(|r| !is_ending(r) && r.view.seen_at.is_some());
        let is_sparable = self.away_beside(task) < step.may_miss.max(1);
        is_settled && is_sparable
    }

    /// How many other tasks of the step aren't at work.
    fn away_beside(&self, task: TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let occurrence = job.and_then(|j| j.progress.open.get(&task.occurrence));
        let Some(tasks) = occurrence.map(|o| &o.steps[usize::from(task.step)]) else {
            return 0;
        };
        let others = tasks
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != task.index as usize);
        let away = others.filter(|(_, t)| !self.is_at_work(t)).count();
        u32::try_from(away).unwrap_or(u32::MAX)
    }

    /// Whether a lasting task is surely at work: its endpoint said so just now. An endpoint that has
    /// gone dark still looks at work by what it said last, and stopping another task beside it
    /// would take away more than the step may miss.
    fn is_at_work(&self, task: &Task) -> bool {
        let now = self.now.steady;
        task.runs.iter().any(|r| {
            let endpoint = self.endpoints.get(&r.endpoint);
            let is_heard = endpoint.is_some_and(|e| e.has_answered_within(now, HEARD_WITHIN));
            is_heard && r.view.percent >= AT_WORK && !is_ending(r)
        })
    }

    /// Whether the task could start on another endpoint now.
    fn has_room_elsewhere(&self, task: TaskId, step: &StepSpec) -> bool {
        self.has_room(task, step, |_| true)
    }

    /// Whether it could start on one that it needn't leave soon.
    fn has_lasting_room(&self, task: TaskId, step: &StepSpec) -> bool {
        self.has_room(task, step, |slot| !slot.is_maintenance_due)
    }

    fn has_room(&self, task: TaskId, step: &StepSpec, is_good: impl Fn(&Slot) -> bool) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let service = self.service_of(&job.spec);
        let mut slots = self.slots(&service).list.into_iter();
        slots.any(|slot| is_good(&slot) && slot.may_take(step, self.siblings_at(task, &slot.id)))
    }

    fn siblings_at(&self, task: TaskId, id: &EndpointId) -> u32 {
        let Some(endpoint) = self.endpoints.get(id) else {
            return 0;
        };
        let is_sibling =
            |t: &TaskId| (t.job, t.occurrence, t.step) == (task.job, task.occurrence, task.step);
        let count = endpoint.runs.keys().filter(|(t, _)| is_sibling(t)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Paces the fillers at an endpoint so that the serving tasks beside them keep their targets.
    pub(super) fn pace(&mut self, id: &EndpointId, look: &PollReply) {
        let mut worst: Option<f64> = None;
        let mut fillers = Vec::new();
        for running in &look.running {
            let Some(step) = self.step(running.task) else {
                continue;
            };
            if step.is_filler {
                fillers.push((running.task, running.number));
            }
            if let Some(target) = step.target
                && running.percent >= AT_WORK
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
            info!(endpoint = %id, pace, wanted, worst, fillers = fillers.len(), "fillers paced");
        }
        for (task, run) in fillers {
            self.pace_run(id, task, run, wanted);
        }
    }

    fn pace_run(&mut self, id: &EndpointId, task: TaskId, run: RunNumber, percent: u32) {
        let (now, epoch): (Steady, _) = (self.now.steady, self.epoch);
        let target = self.target(id);
        let Some(r) = self.run_mut(task, run) else {
            return;
        };
        if r.view.pace.unwrap_or(AT_WORK) == percent {
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

/// Whether a run was told to end, or is about to be.
fn is_ending(run: &Run) -> bool {
    run.is_leaving || run.view.is_stopping()
}

/// The pace of fillers after a look at how near the worst serving task is to its target.
///
/// Halving reaches a harmless pace within two or three looks, well before harm counts; speeding
/// up goes by small steps.
#[must_use]
pub fn next_pace(pace: u32, worst: Option<f64>, since_change: Duration) -> u32 {
    if since_change < PACE_GAP {
        return pace;
    }
    match worst {
        Some(part) if part > SLOW_DOWN_ABOVE && pace < PACE_FLOOR => 0,
        Some(part) if part > SLOW_DOWN_ABOVE => pace / 2,
        Some(part) if part > SPEED_UP_BELOW => pace,
        _ => (pace + PACE_STEP).min(100),
    }
}
