//! How much work is let in while a service is overloaded.
//!
//! Load: for many seconds more work is due than a pool can do in time. Estimates are rough, and
//! tasks don't pack exactly, so what a pool can do in time differs from what its processors and the
//! estimates suggest. If too much is let in, each job ends slightly too late. The amount therefore
//! follows from how the jobs that were let in end: it grows by a constant while they end in time
//! and others are deferred, and shrinks by a factor when they end late. Without overload it returns
//! to that of [`Limits::default`].

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::Steady;
use crate::id::{JobId, ServiceName};

/// Bounds of [`Limits::ratio`].
const RATIOS: std::ops::RangeInclusive<f64> = 0.5..=1.6;
/// Ratio at and below which the limits are strictest: what is due is what can be done.
const STRICT_RATIO: f64 = 1.0;
/// Addend of the ratio when jobs end in time and others are deferred.
const INCREASE: f64 = 0.1;
/// Factor on the ratio when jobs end late.
const DECREASE: f64 = 0.75;
/// Largest share of the jobs let in that may end late.
const MAX_LATE_SHARE: f64 = 0.2;
/// Share of late jobs below which more is let in.
const LOW_LATE_SHARE: f64 = 0.1;
/// Number of ends from which a share is computed.
const MIN_ENDS: u32 = 8;
/// Number of ends after which older ones count half.
const MAX_ENDS: u32 = 24;
/// Work due relative to what can be done from which a service counts as overloaded.
const OVERLOAD_PRESSURE: f64 = 1.0;
/// A service is overloaded for this long after the last pass in which it was.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(2);
/// Time constant with which limits return to normal without overload.
const RETURN_TIME: Duration = Duration::from_secs(30);

/// Which jobs are let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Jobs are deferred when the work due exceeds this multiple of what can be done.
    pub ratio: f64,
    /// How strict the limits are, from 0 (estimates are rough, and jobs that are late by their
    /// estimates may be in time) to 1 (only jobs that end in time almost certainly are let in).
    pub strictness: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits::new(*RATIOS.end())
    }
}

impl Limits {
    fn new(ratio: f64) -> Limits {
        let strictness = (RATIOS.end() - ratio) / (RATIOS.end() - STRICT_RATIO);
        Limits {
            ratio,
            strictness: strictness.clamp(0.0, 1.0),
        }
    }
}

/// What a scheduling pass has seen of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Observation {
    /// Work due relative to what can be done by then, the largest over all due times.
    pub pressure: f64,
    /// Number of jobs deferred.
    pub deferred: usize,
}

/// The limits of each service, and what they follow from.
#[derive(Debug, Clone, Default)]
pub struct Overload {
    services: BTreeMap<ServiceName, Controller>,
    /// Jobs let in that have not ended, with the time at which they began.
    let_in: HashMap<JobId, Steady>,
}

/// Control loop of one service.
#[derive(Debug, Clone, Copy)]
struct Controller {
    ratio: f64,
    /// When the ratio changed. Jobs let in before don't show its effect.
    changed_at: Steady,
    overloaded_at: Option<Steady>,
    deferred_at: Option<Steady>,
    deferred: usize,
    in_time: u32,
    late: u32,
}

impl Overload {
    /// Limits of a service.
    #[must_use]
    pub fn limits(&self, service: &ServiceName, now: Steady) -> Limits {
        let controller = self.services.get(service);
        controller.map_or_else(Limits::default, |c| c.limits(now))
    }

    /// Number of jobs deferred in the last pass of a service.
    #[must_use]
    pub fn deferred(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |c| c.deferred)
    }

    /// Whether a service is overloaded, or was a short time ago.
    #[must_use]
    pub fn is_overloaded(&self, service: &ServiceName, now: Steady) -> bool {
        let controller = self.services.get(service);
        controller.is_some_and(|c| is_recent(c.overloaded_at, now))
    }

    /// Records what a scheduling pass has seen.
    pub fn observe(&mut self, service: &ServiceName, seen: Observation, now: Steady) {
        let is_overloaded = seen.pressure >= OVERLOAD_PRESSURE || seen.deferred > 0;
        if !is_overloaded && !self.services.contains_key(service) {
            return;
        }
        let initial = self.usual_ratio(now);
        let controller = self
            .services
            .entry(service.clone())
            .or_insert_with(|| Controller::new(initial, now));
        controller.deferred = seen.deferred;
        if is_overloaded {
            controller.ratio = controller.ratio_at(now);
            controller.overloaded_at = Some(now);
        }
        if seen.deferred > 0 || seen.pressure > controller.ratio {
            controller.deferred_at = Some(now);
        }
    }

    /// Records that the first tasks of a job that can be in time were started.
    pub fn began(&mut self, job: JobId, now: Steady) {
        self.let_in.insert(job, now);
    }

    /// Records that a job ended, or that it can't be in time any more. Only the first record of a
    /// job counts, and only jobs that were let in.
    pub fn ended(&mut self, service: &ServiceName, job: JobId, is_in_time: bool, now: Steady) {
        let Some(began_at) = self.let_in.remove(&job) else {
            return;
        };
        if let Some(controller) = self.services.get_mut(service) {
            controller.count(began_at, is_in_time, now);
        }
    }

    /// Forgets a job that ended for another reason than its work.
    pub fn forget(&mut self, job: JobId) {
        self.let_in.remove(&job);
    }

    /// Ratio of a service of which nothing is known: the mean of those that are overloaded.
    fn usual_ratio(&self, now: Steady) -> f64 {
        let known = self.services.values();
        let known = known.filter(|c| is_recent(c.overloaded_at, now));
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), c| (sum + c.ratio, count + 1.0));
        if count > 0.0 {
            sum / count
        } else {
            *RATIOS.end()
        }
    }
}

impl Controller {
    fn new(ratio: f64, now: Steady) -> Controller {
        Controller {
            ratio,
            changed_at: now,
            overloaded_at: None,
            deferred_at: None,
            deferred: 0,
            in_time: 0,
            late: 0,
        }
    }

    fn ratio_at(&self, now: Steady) -> f64 {
        let idle = self.overloaded_at.map_or(Duration::ZERO, |at| {
            now.saturating_sub(at).saturating_sub(OVERLOAD_MEMORY)
        });
        let kept = (-idle.div_duration_f64(RETURN_TIME)).exp();
        RATIOS.end() - (RATIOS.end() - self.ratio) * kept
    }

    /// While jobs have to be deferred, those are let in that end in time most certainly.
    fn limits(&self, now: Steady) -> Limits {
        let limits = Limits::new(self.ratio_at(now));
        if is_recent(self.deferred_at, now) {
            return Limits {
                strictness: 1.0,
                ..limits
            };
        }
        limits
    }

    fn count(&mut self, began_at: Steady, is_in_time: bool, now: Steady) {
        if began_at < self.changed_at {
            return;
        }
        if is_in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        let ends = self.in_time + self.late;
        if ends < MIN_ENDS {
            return;
        }
        let late_share = f64::from(self.late) / f64::from(ends);
        if late_share > MAX_LATE_SHARE && is_recent(self.overloaded_at, now) {
            self.change(self.ratio * DECREASE, now);
        } else if late_share < LOW_LATE_SHARE && is_recent(self.deferred_at, now) {
            self.change(self.ratio + INCREASE, now);
        } else if ends >= MAX_ENDS {
            self.in_time /= 2;
            self.late /= 2;
        }
    }

    fn change(&mut self, ratio: f64, now: Steady) {
        self.ratio = ratio.clamp(*RATIOS.start(), *RATIOS.end());
        self.changed_at = now;
        self.in_time = 0;
        self.late = 0;
    }
}

fn is_recent(at: Option<Steady>, now: Steady) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) <= OVERLOAD_MEMORY)
}
