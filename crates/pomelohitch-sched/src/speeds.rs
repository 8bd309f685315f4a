//! How slow an endpoint is, from the progress of the runs there.
//!
//! Answers the load of uneven endpoints: some of a pool are several times slower than the others,
//! while their health checks pass. Tasks are packed onto the fullest endpoints, so a job that gets
//! there is late as a whole.
//!
//! A sample is the ratio of a run's time, projected from its progress, to the time that it should
//! take. Single samples say little, since the tasks of a step differ and declared times are rough:
//! the median of several runs counts.

use std::time::Duration;

use crate::Steady;
use crate::id::{JobId, RunNumber, TaskId};

/// Number of newest samples that count.
const MAX_SAMPLES: usize = 8;
/// Fewest samples from which anything follows.
const MIN_SAMPLES: usize = 3;
/// Time after which a sample is forgotten, so that an endpoint without work is tried again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// From this median on an endpoint is slow. Jobs have an objective of one to two times their
/// critical path, which a task that takes longer than that exceeds by itself.
const SLOW_FROM: f64 = 2.5;
/// Below this median a slow endpoint has recovered.
const SOUND_BELOW: f64 = 1.5;
/// Ratio that stands for no progress at all.
const MAX_RATIO: f64 = 100.0;
/// Shortest time of observation from which a pace follows; polls are up to 0.2 s apart.
const MIN_OBSERVATION: Duration = Duration::from_millis(300);
/// The same as a share of the expected time, since progress is reported in whole percent.
const MIN_OBSERVED_SHARE: f64 = 0.2;

/// Progress of a run between two polls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// Percentage at the first poll that listed the run.
    pub first_percent: u32,
    /// Percentage at the last one.
    pub percent: u32,
    /// Time between the two.
    pub observed_for: Duration,
}

impl Observation {
    /// Time that the whole run takes at this pace, at most `MAX_RATIO` times the expected one;
    /// `None` if it was observed for too short a time.
    #[must_use]
    pub fn run_time(&self, expected: Duration) -> Option<Duration> {
        let needed = MIN_OBSERVATION.max(expected.mul_f64(MIN_OBSERVED_SHARE));
        if self.observed_for < needed {
            return None;
        }
        let longest = expected.mul_f64(MAX_RATIO);
        let progress = self.percent.saturating_sub(self.first_percent);
        if progress == 0 {
            return Some(longest);
        }
        let run_time = self.observed_for.mul_f64(100.0 / f64::from(progress));
        Some(run_time.min(longest))
    }

    /// Time from the last poll to the end of the run at this pace.
    #[must_use]
    pub fn time_left(&self, expected: Duration) -> Option<Duration> {
        let left = 100_u32.saturating_sub(self.percent);
        Some(self.run_time(expected)?.mul_f64(f64::from(left) / 100.0))
    }
}

/// Time of one run in relation to what it should take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Task of the run.
    pub task: TaskId,
    /// Its number.
    pub run: RunNumber,
    /// When it was first observed.
    pub since: Steady,
    /// When the sample was taken.
    pub at: Steady,
    /// The ratio.
    pub ratio: f64,
    /// Whether the time is compared with those of siblings on other endpoints, and not only with an
    /// estimate, which may be wrong for all tasks of a job.
    pub is_compared: bool,
}

/// Ratio of a run's time to the expected one, within bounds.
#[must_use]
pub fn ratio(run_time: Duration, expected: Duration) -> f64 {
    let ratio = run_time.as_secs_f64() / expected.as_secs_f64().max(0.001);
    ratio.min(MAX_RATIO)
}

/// What is known of an endpoint's speed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Speed {
    samples: Vec<Sample>,
    is_slow: bool,
}

impl Speed {
    /// Records a sample. It replaces an earlier one of the same run, or else the oldest.
    pub fn record(&mut self, sample: Sample) {
        let is_same = |s: &Sample| s.task == sample.task && s.run == sample.run;
        self.samples.retain(|s| !is_same(s));
        if self.samples.len() >= MAX_SAMPLES {
            let oldest = self.samples.iter().enumerate().min_by_key(|(_, s)| s.at);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.samples.remove(index);
            }
        }
        self.samples.push(sample);
    }

    /// Median ratio of the recent runs; `None` if there are too few, or if all are of one job and
    /// nothing but its estimate may be wrong.
    #[must_use]
    pub fn slowness(&self, now: Steady) -> Option<f64> {
        self.slowness_of_runs_since(now.saturating_sub(FORGOTTEN_AFTER))
    }

    /// The same, of runs that were observed at `since` or later.
    #[must_use]
    pub fn slowness_of_runs_since(&self, since: Steady) -> Option<f64> {
        let recent: Vec<&Sample> = self.samples.iter().filter(|s| s.at >= since).collect();
        let compared = recent.iter().filter(|s| s.is_compared).count();
        let first: Option<JobId> = recent.first().map(|s| s.task.job);
        let has_several_jobs = recent.iter().any(|s| Some(s.task.job) != first);
        if recent.len() < MIN_SAMPLES || !(has_several_jobs || compared >= MIN_SAMPLES) {
            return None;
        }
        median(recent.iter().map(|s| s.ratio).collect())
    }

    /// Whether the endpoint counts as slow.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Whether the endpoint should count as slow by its samples. Without any it doesn't.
    #[must_use]
    pub fn seems_slow(&self, now: Steady) -> bool {
        let bound = if self.is_slow { SOUND_BELOW } else { SLOW_FROM };
        self.slowness(now).is_some_and(|median| median >= bound)
    }

    /// Sets whether the endpoint counts as slow. Samples from before are dropped when it recovers.
    pub fn set_slow(&mut self, is_slow: bool) {
        self.is_slow = is_slow;
        if !is_slow {
            self.samples.clear();
        }
    }
}

/// The median, or the lower of the two in the middle; `None` without any.
#[must_use]
pub fn median(mut ratios: Vec<f64>) -> Option<f64> {
    ratios.sort_by(f64::total_cmp);
    let middle = ratios.len().checked_sub(1)? / 2;
    ratios.get(middle).copied()
}
