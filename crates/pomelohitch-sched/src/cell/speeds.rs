//! Endpoints on which runs are slow: samples of their speed from polls and ends, and how long tasks
//! wait for others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::avoidance::Avoidance;
use crate::endpoint::EndReason;
use crate::estimates::Expected;
use crate::id::{EndpointId, JobId, RunNumber, ServiceName, TaskId};
use crate::job::StepSpec;
use crate::progress::{Run, RunView};
use crate::speeds::{self, Observation, Sample};
use crate::{Steady, UnixMs};

/// Minimum time between two samples of a run.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a task that can be in time elsewhere doesn't start on a slow endpoint.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time after which the wait of a job is forgotten.
const WAIT_KEPT: Duration = Duration::from_secs(10);
/// Number of siblings on each side of a task with which its run is compared.
const SIBLINGS_EACH_SIDE: u32 = 8;
/// Fewest siblings from which an expected time follows.
const MIN_SIBLINGS: usize = 3;
/// Relative deviation of the time of a task from the median of its siblings.
const SIBLING_DEVIATION: f64 = 0.25;

/// Slow endpoints, and jobs that wait for others.
#[derive(Debug, Default)]
pub(super) struct SlowEndpoints {
    marked: BTreeSet<EndpointId>,
    /// Limit on their number.
    avoidance: Avoidance,
    /// Jobs of which a task waits for an endpoint that isn't slow, and since when.
    waiting: BTreeMap<JobId, Steady>,
}

/// Times of the first runs of each step of a job that succeeded.
#[derive(Debug, Clone, Default)]
pub struct SiblingTimes {
    /// Endpoint and time, by occurrence and step.
    by_step: BTreeMap<(u32, u16), Vec<(EndpointId, Duration)>>,
}

impl SiblingTimes {
    /// Maximum number of times that are kept of a step.
    const MAX_TIMES: usize = 8;

    fn add(&mut self, task: TaskId, endpoint: &EndpointId, time: Duration) {
        let times = self
            .by_step
            .entry((task.occurrence, task.step))
            .or_default();
        if times.len() < Self::MAX_TIMES {
            times.push((endpoint.clone(), time));
        }
    }

    /// Times of the task's step on other endpoints than `endpoint`.
    fn elsewhere<'a>(
        &'a self,
        task: TaskId,
        endpoint: &'a EndpointId,
    ) -> impl Iterator<Item = Duration> + 'a {
        let times = self.by_step.get(&(task.occurrence, task.step));
        let times = times.into_iter().flatten();
        times.filter(move |(at, _)| at != endpoint).map(|(_, t)| *t)
    }
}

impl Cell {
    /// Whether speeds are sampled now.
    fn samples_speeds(&self) -> bool {
        self.settings.policy.avoids_slow && !self.is_lagging()
    }

    /// Takes a sample of an endpoint's speed from the progress of a run there.
    pub(super) fn sample_progress(&mut self, task: TaskId, number: RunNumber, at: Steady) {
        if !self.samples_speeds() {
            return;
        }
        let Some(run) = self.run(task, number).filter(|r| is_due(&r.view, at)) else {
            return;
        };
        let endpoint = run.endpoint.clone();
        let observation = observation_of(run, at);
        if !self.is_comparable(task, run) {
            return;
        }
        let (expected, is_compared) = self.expected_run(task, &endpoint);
        let Some(run_time) = observation.run_time(expected.time) else {
            return;
        };
        let since = at.saturating_sub(observation.observed_for);
        if let Some(run) = self.run_mut(task, number) {
            run.view.sampled_at = Some(at);
        }
        let sample = Sample {
            task,
            run: number,
            since,
            at,
            ratio: ratio_to(expected, is_compared, run_time),
            is_compared,
        };
        self.record_sample(&endpoint, sample);
    }

    /// Takes a sample from the end of a run. To be called before the run is removed.
    pub(super) fn sample_end(&mut self, task: TaskId, number: RunNumber, how: EndReason) {
        if !self.samples_speeds() {
            return;
        }
        let now = self.now.steady;
        let Some(run) = self.run(task, number) else {
            return;
        };
        let Some(sent_at) = run.view.sent_at else {
            return;
        };
        if how != EndReason::Done || !self.is_comparable(task, run) {
            return;
        }
        let endpoint = run.endpoint.clone();
        let run_time = now.saturating_sub(sent_at);
        let (expected, is_compared) = self.expected_run(task, &endpoint);
        let sample = Sample {
            task,
            run: number,
            since: sent_at,
            at: now,
            ratio: ratio_to(expected, is_compared, run_time),
            is_compared,
        };
        self.record_sample(&endpoint, sample);
        let is_slow = self.is_slow(&endpoint);
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job.filter(|j| !is_slow && !j.progress.state.is_final()) {
            job.sibling_times.add(task, &endpoint, run_time);
        }
    }

    /// Whether the time of a run tells the speed of its endpoint. That of a lasting task, a filler or
    /// a member of a gang doesn't, nor that of a run away from its data, of one that restores a
    /// checkpoint first, or of one that is being stopped.
    fn is_comparable(&self, task: TaskId, run: &Run) -> bool {
        let Some(step) = self.step(task) else {
            return false;
        };
        let rack = self.endpoints.get(&run.endpoint).and_then(|e| e.rack());
        let is_near = step.near.is_none() || step.near.as_deref() == rack;
        is_plain(step) && is_near && !run.view.is_stopping() && !may_resume(step, run.number)
    }

    /// The time that a run of a task should take: the median of its siblings elsewhere, or the
    /// estimate if there are too few. The second value says which.
    pub(super) fn expected_run(&self, task: TaskId, endpoint: &EndpointId) -> (Expected, bool) {
        let job = self.jobs.get(&task.job);
        let spec = job.map(|j| &j.spec);
        let step = spec.and_then(|s| s.steps.get(usize::from(task.step)));
        let Some((spec, step)) = spec.zip(step) else {
            return (Expected::default(), false);
        };
        let estimated = self.estimates.expect(&spec.queue, step);
        let mut times = self.sibling_times(task, endpoint, estimated.time);
        if times.len() < MIN_SIBLINGS {
            return (estimated, false);
        }
        times.sort_unstable();
        let time = times[times.len() / 2];
        let deviation = time.mul_f64(SIBLING_DEVIATION);
        (Expected { time, deviation }, true)
    }

    /// Times that siblings of a task took or will take on other endpoints that aren't slow.
    fn sibling_times(&self, task: TaskId, at: &EndpointId, estimate: Duration) -> Vec<Duration> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let mut times: Vec<Duration> = job.sibling_times.elsewhere(task, at).collect();
        let first = task.index.saturating_sub(SIBLINGS_EACH_SIDE);
        let siblings = (first..=task.index + SIBLINGS_EACH_SIDE).filter(|i| *i != task.index);
        for index in siblings {
            let Some(sibling) = job.progress.task(TaskId { index, ..task }) else {
                break;
            };
            let runs = sibling.runs.iter();
            let elsewhere = runs.filter(|r| r.endpoint != *at && !self.is_slow(&r.endpoint));
            times.extend(elsewhere.filter_map(|r| {
                let answered_at = self.endpoints.get(&r.endpoint)?.answered_at?;
                observation_of(r, answered_at).run_time(estimate)
            }));
        }
        times
    }

    /// Whether an endpoint counts as slow.
    pub(super) fn is_slow(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|e| e.speed.is_slow())
    }

    fn record_sample(&mut self, id: &EndpointId, sample: Sample) {
        let now = self.now.steady;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.speed.record(sample);
        let seems_slow = endpoint.speed.seems_slow(now);
        if seems_slow && !endpoint.speed.is_slow() {
            self.mark_slow(id);
        } else if !seems_slow && endpoint.speed.is_slow() {
            self.unmark_slow(id, "its runs are as fast as others");
        }
    }

    /// Marks an endpoint as slow unless too many of its service are.
    fn mark_slow(&mut self, id: &EndpointId) {
        let now = self.now.steady;
        let Some(service) = self
            .service_at(id)
            .filter(|_| self.settings.policy.avoids_slow)
        else {
            return;
        };
        let endpoints = &self.endpoints;
        self.slow_endpoints.avoidance.update(now, || {
            let listed = endpoints.values();
            listed.filter_map(|e| Some((&e.report.as_ref()?.service, e.speed.is_slow())))
        });
        if !self.slow_endpoints.avoidance.allows(&service, false) {
            return;
        }
        self.slow_endpoints.avoidance.add(&service);
        self.slow_endpoints.marked.insert(id.clone());
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let slowness = endpoint.speed.slowness(now).unwrap_or_default();
            endpoint.speed.set_slow(true);
            warn!(endpoint = %id, service = %service, slowness, runs = endpoint.runs.len(),
                "endpoint is slow");
        }
    }

    fn unmark_slow(&mut self, id: &EndpointId, why: &'static str) {
        self.slow_endpoints.marked.remove(id);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.speed.set_slow(false);
            info!(endpoint = %id, why, "endpoint is no longer slow");
        }
    }

    fn service_at(&self, id: &EndpointId) -> Option<ServiceName> {
        let report = self.endpoints.get(id)?.report.as_ref()?;
        Some(report.service.clone())
    }

    /// Unmarks slow endpoints without recent samples, and forgets those that restarted or are gone.
    pub(super) fn forget_slow_endpoints(&mut self) {
        let now = self.now.steady;
        let endpoints = &self.endpoints;
        let is_slow = |id: &EndpointId| endpoints.get(id).is_some_and(|e| e.speed.is_slow());
        let SlowEndpoints {
            marked, waiting, ..
        } = &mut self.slow_endpoints;
        marked.retain(is_slow);
        waiting.retain(|_, since| now.saturating_sub(*since) < WAIT_KEPT);
        let forgotten = marked.iter().filter(|id| {
            let endpoint = endpoints.get(*id);
            endpoint.is_some_and(|e| !e.speed.seems_slow(now))
        });
        for id in forgotten.cloned().collect::<Vec<_>>() {
            self.unmark_slow(&id, "no run was observed there for long");
        }
    }

    /// Whether a task waits for another endpoint rather than starting on a slow one: its job can be
    /// in time, and the wait is short.
    pub(super) fn waits_for_sound(&mut self, id: JobId) -> bool {
        let now = self.now.steady;
        let candidate = self.jobs.get(&id).and_then(|j| j.candidate);
        let can_be_in_time = candidate.is_some_and(|c| {
            let left = c.objective_ms().saturating_sub(self.fleet_ms());
            !c.is_lasting && millis(c.remaining_critical_path) <= left
        });
        if !can_be_in_time {
            return false;
        }
        let since = *self.slow_endpoints.waiting.entry(id).or_insert(now);
        now.saturating_sub(since) < MAX_WAIT
    }

    /// Number of endpoints that count as slow.
    #[must_use]
    pub fn slow_endpoint_count(&self) -> usize {
        self.slow_endpoints.marked.len()
    }
}

/// Whether the run of a step's task ends by itself, independently of others.
pub(super) fn is_plain(step: &StepSpec) -> bool {
    !step.is_lasting && !step.is_gang && !step.is_filler && !step.is_rack_local
}

/// Whether a run may have resumed from a checkpoint, whose restoration takes time without progress.
pub(super) fn may_resume(step: &StepSpec, number: RunNumber) -> bool {
    step.has_checkpoints && number > 1
}

/// Progress of a run as its endpoint last reported it, at `at`: since its start, or since it was
/// first seen if a former leader started it.
pub(super) fn observation_of(run: &Run, at: Steady) -> Observation {
    let Some(seen_at) = run.view.seen_at else {
        return Observation::default();
    };
    let (first_percent, since) = match run.view.sent_at {
        Some(sent_at) => (0, sent_at),
        None => (run.view.first_percent, seen_at),
    };
    Observation {
        first_percent,
        percent: run.view.percent,
        observed_for: at.saturating_sub(since),
    }
}

/// Ratio of a run's time to the expected one. An estimate may be off by its deviation.
fn ratio_to(expected: Expected, is_compared: bool, run_time: Duration) -> f64 {
    let bound = if is_compared {
        expected.time
    } else {
        expected.time + expected.deviation
    };
    speeds::ratio(run_time, bound)
}

/// Whether another sample of a run is due.
fn is_due(view: &RunView, at: Steady) -> bool {
    let is_recent = |sampled_at: Steady| at.saturating_sub(sampled_at) < SAMPLE_INTERVAL;
    view.seen_at.is_some() && !view.sampled_at.is_some_and(is_recent)
}

fn millis(time: Duration) -> UnixMs {
    UnixMs::try_from(time.as_millis()).unwrap_or(UnixMs::MAX)
}
