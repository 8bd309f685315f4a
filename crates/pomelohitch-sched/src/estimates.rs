//! Run times that tasks are expected to take, learned from those that have ended.
//!
//! Answers loads whose callers declare run times that are off by half and more: all of a queue by
//! the same factor, or each job by a factor of its own. Order, deferral, pools and admission rest
//! on what is expected here.
//!
//! For each queue, [`Estimates`] keeps a decayed regression of the logarithm of the run time on
//! that of the declared time. Its slope tells how far a declared time can be trusted. Few samples
//! are shrunk towards the declared time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::id::QueueName;
use crate::job::StepSpec;
use crate::progress::{self, Record};

/// Largest number of queues with a model.
const MAX_QUEUES: usize = 512;
/// Number of steps over which a model averages.
const MEMORY_STEPS: f64 = 200.0;
/// Time after which a sample counts half.
const HALF_LIFE: Duration = Duration::from_mins(10);
/// Number of samples that the declared time counts for.
const PRIOR_STEPS: f64 = 4.0;
/// Variance of the logarithm of a run time of which nothing is known but the declared time.
const PRIOR_VARIANCE: f64 = 0.25;
/// Sum of squares of the logarithm of the declared time that a slope of 1 counts for.
const PRIOR_SLOPE_SQUARES: f64 = 2.0;
/// Number of tasks that equal run times within a step count for.
const PRIOR_TASKS: f64 = 4.0;
/// Slope of the regression, as the difference to 1: from ignoring the declared time to trusting it
/// and half more.
const SLOPE_DIFFERENCE: (f64, f64) = (-1.0, 0.5);
/// Largest distance of a task from the median of its step, as a logarithm: a factor of 3. Tasks
/// beyond it were slowed down by their endpoints.
const MAX_DISTANCE: f64 = 1.1;
/// Number of steps from which a queue counts as learned.
const LEARNED_STEPS: f64 = 8.0;
/// Shortest time, in seconds; the logarithm of 0 is undefined.
const MIN_SECONDS: f64 = 0.001;
/// Longest expected time, in seconds.
const MAX_SECONDS: f64 = 1e6;
/// Minimum time between two records of a queue's model.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);
/// Change of the logarithm of the factor, or of the deviation, for which a model is recorded again.
const RECORDED_CHANGE: f64 = 0.05;
/// Change of the logarithm of the factor that is reported: a third.
const REPORTED_CHANGE: f64 = 0.2877;
/// Longest name of a queue whose model is recorded; keys of records have at most 255 bytes.
const MAX_RECORDED_NAME: usize = 200;
/// Prefix of the keys of these records.
const KEY_PREFIX: &str = "t/";

/// What a task, a step or a path of steps is expected to take on sound endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Expected {
    /// Mean.
    pub time: Duration,
    /// Standard deviation.
    pub deviation: Duration,
}

impl Expected {
    /// What two steps are expected to take that run one after the other.
    #[must_use]
    pub fn then(self, next: Expected) -> Expected {
        let (a, b) = (self.deviation.as_secs_f64(), next.deviation.as_secs_f64());
        Expected {
            time: self.time.saturating_add(next.time),
            deviation: Duration::from_secs_f64(a.hypot(b)),
        }
    }
}

/// What was learned of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Learned {
    /// Expected run time as a multiple of the declared one, for an average declared time.
    pub factor: f64,
    /// Standard deviation of a task's run time, relative to the expected one.
    pub deviation: f64,
    /// Number of steps, decayed, from which this was learned.
    pub steps: f64,
}

/// Expected run times of tasks, by queue.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    queues: BTreeMap<QueueName, Entry>,
    /// Queues dropped since the last call of [`Estimates::take_records`].
    dropped: BTreeSet<QueueName>,
}

/// The model of a queue, with what was recorded and reported of it.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    model: Model,
    recorded: Option<Learned>,
    recorded_ms: UnixMs,
    reported_factor: Option<f64>,
}

/// Regression of `d = ln(run time / declared)` on `x = ln(declared)` over steps, in seconds. Sums
/// are decayed, and those of squares are taken around the means.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Model {
    steps: f64,
    mean_x: f64,
    mean_d: f64,
    xx: f64,
    xd: f64,
    dd: f64,
    /// Sum of 1 divided by the number of tasks of the step.
    inverse_tasks: f64,
    /// Sum of squares of the logarithms of the tasks' run times around the mean of their step.
    within: f64,
    /// Degrees of freedom of `within`.
    within_freedom: f64,
    updated_ms: UnixMs,
}

impl Estimates {
    /// Records how long the tasks of a step ran on sound endpoints. No effect without tasks.
    pub fn record(&mut self, queue: &QueueName, step: &StepSpec, took: &[Duration], now: UnixMs) {
        if took.is_empty() {
            return;
        }
        if !self.queues.contains_key(queue) {
            if self.queues.len() >= MAX_QUEUES {
                self.drop_least_recent();
            }
            self.queues.insert(queue.clone(), Entry::default());
            self.dropped.remove(queue);
        }
        if let Some(entry) = self.queues.get_mut(queue) {
            entry.model.add(step.estimate, took, now);
        }
    }

    fn drop_least_recent(&mut self) {
        let oldest = self.queues.iter().min_by_key(|(_, e)| e.model.updated_ms);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        let entry = self.queues.remove(&name);
        if entry.is_some_and(|e| e.recorded.is_some()) {
            self.dropped.insert(name);
        }
    }

    /// The expected run time of one task.
    #[must_use]
    pub fn expect(&self, queue: &QueueName, step: &StepSpec) -> Expected {
        self.expect_step(queue, step, 1)
    }

    /// The expected time until `count` tasks of a step that start together are all done.
    #[must_use]
    pub fn expect_step(&self, queue: &QueueName, step: &StepSpec, count: u32) -> Expected {
        if count == 0 {
            return Expected::default();
        }
        let model = self.queues.get(queue).map(|e| e.model);
        model.unwrap_or_default().expect(step.estimate, count)
    }

    /// Whether enough runs of a queue were recorded to rely on what is expected.
    #[must_use]
    pub fn is_learned(&self, queue: &QueueName) -> bool {
        let model = self.queues.get(queue).map(|e| e.model);
        model.is_some_and(|m| m.steps >= LEARNED_STEPS)
    }

    /// What was learned of each queue.
    pub fn learned(&self) -> impl Iterator<Item = (&QueueName, Learned)> {
        self.queues
            .iter()
            .map(|(name, e)| (name, e.model.learned()))
    }

    /// What was learned of a queue if its factor has changed by a third since this was last
    /// returned.
    pub fn take_change(&mut self, queue: &QueueName) -> Option<Learned> {
        let entry = self.queues.get_mut(queue)?;
        let learned = entry.model.learned();
        let before = entry.reported_factor.unwrap_or(1.0);
        if (learned.factor / before).ln().abs() < REPORTED_CHANGE {
            return None;
        }
        entry.reported_factor = Some(learned.factor);
        Some(learned)
    }

    /// Restores a model from a former leader's record. A record that can't be decoded is ignored:
    /// the model is learned anew.
    pub fn restore(&mut self, key: &str, value: &[u8]) {
        let Some(name) = key.strip_prefix(KEY_PREFIX) else {
            return;
        };
        let Ok(model) = postcard::from_bytes::<Model>(value) else {
            return;
        };
        if !model.is_valid() {
            return;
        }
        let learned = model.learned();
        let entry = Entry {
            model,
            recorded: Some(learned),
            recorded_ms: model.updated_ms,
            reported_factor: Some(learned.factor),
        };
        self.queues.insert(name.into(), entry);
        if self.queues.len() > MAX_QUEUES {
            self.drop_least_recent();
        }
    }

    /// Takes the records of models that have changed and weren't recorded lately.
    ///
    /// # Errors
    ///
    /// If a record can't be encoded, which doesn't happen for these types.
    pub fn take_records(&mut self, now: UnixMs) -> progress::Result<Vec<Record>> {
        let deleted = std::mem::take(&mut self.dropped).into_iter();
        let mut records: Vec<Record> = deleted
            .map(|name| Record {
                key: key(&name),
                value: None,
            })
            .collect();
        let due = self.queues.iter_mut();
        for (name, entry) in due.filter(|(name, e)| e.is_record_due(name, now)) {
            records.push(progress::encode(key(name), &entry.model)?);
            entry.recorded = Some(entry.model.learned());
            entry.recorded_ms = now;
        }
        Ok(records)
    }
}

/// Whether a key is that of a model.
#[must_use]
pub fn is_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

fn key(queue: &QueueName) -> Box<str> {
    format!("{KEY_PREFIX}{queue}").into()
}

impl Entry {
    fn is_record_due(&self, name: &QueueName, now: UnixMs) -> bool {
        let is_recent = now < self.recorded_ms.saturating_add(millis(RECORD_INTERVAL));
        if is_recent || name.len() > MAX_RECORDED_NAME || self.model.steps < LEARNED_STEPS {
            return false;
        }
        let learned = self.model.learned();
        self.recorded.is_none_or(|recorded| {
            let factor = (learned.factor / recorded.factor).ln().abs();
            let deviation = (learned.deviation - recorded.deviation).abs();
            factor.max(deviation) >= RECORDED_CHANGE
        })
    }
}

impl Model {
    fn add(&mut self, declared: Duration, took: &[Duration], now: UnixMs) {
        self.decay(now);
        let mut logs: Vec<f64> = took.iter().map(|t| ln_seconds(*t)).collect();
        logs.sort_by(f64::total_cmp);
        let median = logs[logs.len() / 2];
        for log in &mut logs {
            *log = log.clamp(median - MAX_DISTANCE, median + MAX_DISTANCE);
        }
        let tasks = f64::from(u32::try_from(logs.len()).unwrap_or(u32::MAX));
        let mean = logs.iter().sum::<f64>() / tasks;
        self.within += logs.iter().map(|log| (log - mean).powi(2)).sum::<f64>();
        self.within_freedom += tasks - 1.0;
        self.inverse_tasks += 1.0 / tasks;
        let x = ln_seconds(declared);
        let (dx, dd) = (x - self.mean_x, mean - x - self.mean_d);
        self.steps += 1.0;
        self.mean_x += dx / self.steps;
        self.mean_d += dd / self.steps;
        let rest = 1.0 - 1.0 / self.steps;
        self.xx += dx * dx * rest;
        self.xd += dx * dd * rest;
        self.dd += dd * dd * rest;
    }

    fn decay(&mut self, now: UnixMs) {
        let passed = Duration::from_millis(now.saturating_sub(self.updated_ms));
        let with_time = (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let kept = with_time * (1.0 - 1.0 / MEMORY_STEPS);
        for sum in [
            &mut self.steps,
            &mut self.xx,
            &mut self.xd,
            &mut self.dd,
            &mut self.inverse_tasks,
            &mut self.within,
            &mut self.within_freedom,
        ] {
            *sum *= kept;
        }
        self.updated_ms = self.updated_ms.max(now);
    }

    /// Part of what is expected that follows from samples, 0 to 1.
    fn trust(&self) -> f64 {
        self.steps / (self.steps + PRIOR_STEPS)
    }

    /// Slope of the regression.
    fn slope(&self) -> f64 {
        let slope = self.xd / (self.xx + PRIOR_SLOPE_SQUARES);
        slope.clamp(SLOPE_DIFFERENCE.0, SLOPE_DIFFERENCE.1)
    }

    /// Variance of the logarithm of run times within a step.
    fn variance_within(&self) -> f64 {
        self.within / (self.within_freedom + PRIOR_TASKS)
    }

    /// Variance of the logarithm that all tasks of a step share and that the regression doesn't
    /// explain.
    fn variance_between(&self) -> f64 {
        let slope = self.slope();
        let squares = self.dd - 2.0 * slope * self.xd + slope * slope * self.xx;
        let of_means = self.variance_within() * self.inverse_tasks;
        let unexplained = (squares - of_means).max(0.0);
        (unexplained + PRIOR_VARIANCE * PRIOR_STEPS) / (self.steps + PRIOR_STEPS)
    }

    fn expect(&self, declared: Duration, count: u32) -> Expected {
        let x = ln_seconds(declared);
        let (between, within) = (self.variance_between(), self.variance_within());
        let largest = Largest::of(count);
        let shift = self.trust() * self.mean_d + self.slope() * (x - self.mean_x);
        let log = x + shift + within.sqrt() * largest.mean;
        let spread = within * largest.variance;
        let time = (log + f64::midpoint(self.trust() * between, spread)).exp();
        let relative = ((between + spread).exp() - 1.0).sqrt();
        Expected {
            time: Duration::from_secs_f64(time.min(MAX_SECONDS)),
            deviation: Duration::from_secs_f64((time * relative).min(MAX_SECONDS)),
        }
    }

    fn learned(&self) -> Learned {
        let declared = Duration::from_secs_f64(self.mean_x.exp().clamp(MIN_SECONDS, MAX_SECONDS));
        let expected = self.expect(declared, 1);
        let time = expected.time.as_secs_f64();
        Learned {
            factor: time / declared.as_secs_f64(),
            deviation: expected.deviation.as_secs_f64() / time,
            steps: self.steps,
        }
    }

    /// Whether a decoded model can be used.
    fn is_valid(&self) -> bool {
        let sums = [
            self.steps,
            self.xx,
            self.dd,
            self.inverse_tasks,
            self.within,
            self.within_freedom,
        ];
        let means = [self.mean_x, self.mean_d, self.xd];
        sums.iter().all(|s| s.is_finite() && *s >= 0.0) && means.iter().all(|m| m.abs() < 1e3)
    }
}

/// The largest of a number of standard normal draws.
#[derive(Debug, Clone, Copy)]
struct Largest {
    mean: f64,
    variance: f64,
}

impl Largest {
    /// Mean by Blom's formula, with Tukey's approximation of the normal quantile. Both figures are
    /// within 0.04 of the exact ones up to 100 draws.
    fn of(count: u32) -> Largest {
        let count = f64::from(count.max(1));
        let rank = (count - 0.375) / (count + 0.25);
        Largest {
            mean: 4.91 * (rank.powf(0.14) - (1.0 - rank).powf(0.14)),
            variance: 1.0 / (1.0 + 0.8 * count.ln()),
        }
    }
}

fn ln_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(MIN_SECONDS).ln()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
