//! Estimates of the resources and run times of job classes, learned from usage.
//!
//! Declared resources and run times are often far off. Usage is reported with a delay, so a class
//! counts as learned only after several of its jobs have ended. Memory estimates are never lower
//! than the observed peak.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::JobClass;
use pomelohitch_core::record::job::Resources;
use pomelohitch_core::state::jobs::Entry;

/// Number of observed run times of a class after which observed values replace the declared ones.
const MIN_ENDED: u32 = 5;
/// Memory reserved above the observed peak, in percent, since a job that exceeds it is killed.
const MEMORY_MARGIN_PERCENT: u64 = 8;
/// Weight of the latest run time in the moving average, in percent.
const NEWEST_WEIGHT_PERCENT: u32 = 20;

/// Observations of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Observed {
    peak: Resources,
    /// Number of run times in the average.
    ended: u32,
    /// Moving average.
    run_time: Duration,
    /// Highest memory use at which a job was killed; 0 if none was.
    killed_at_mib: u64,
}

/// Observations of all classes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sizes {
    classes: BTreeMap<JobClass, Observed>,
}

impl Sizes {
    /// Raises the peak usage of `class` to `used`.
    pub fn observe_usage(&mut self, class: &JobClass, used: &Resources) {
        let observed = self.classes.entry(class.clone()).or_default();
        observed.peak = observed.peak.larger(used);
    }

    /// Adds the run time of a job of `class` that succeeded without resuming from a checkpoint.
    pub fn observe_run_time(&mut self, class: &JobClass, run_time: Duration) {
        let observed = self.classes.entry(class.clone()).or_default();
        observed.run_time = if observed.ended == 0 {
            run_time
        } else {
            (observed.run_time * (100 - NEWEST_WEIGHT_PERCENT) + run_time * NEWEST_WEIGHT_PERCENT)
                / 100
        };
        observed.ended = observed.ended.saturating_add(1);
    }

    /// Adds a kill of a job of `class` at this memory use, in mebibytes.
    pub fn observe_memory_kill(&mut self, class: &JobClass, memory_mib: u64) {
        let observed = self.classes.entry(class.clone()).or_default();
        observed.killed_at_mib = observed.killed_at_mib.max(memory_mib);
    }

    /// Resources to reserve for a job: by the observed peak of its class and the memory at which
    /// jobs of the class were killed, or as declared for a class without observations. `largest` is
    /// the maximum of each resource over the workers. Memory is capped at it unless jobs of the
    /// class used more or were killed at that much, processors unless more are declared.
    #[must_use]
    pub fn need(&self, entry: &Entry, largest: &Resources) -> Resources {
        let declared = entry.job.need;
        let floor = Resources {
            memory_mib: cap_floor(entry.memory_floor_mib, largest.memory_mib),
            ..Resources::default()
        };
        let Some(observed) = self.classes.get(&entry.job.class) else {
            return declared.larger(&floor);
        };
        let mut need = if self.is_learned(&entry.job.class) {
            Resources {
                cpu_milli: observed.peak.cpu_milli,
                memory_mib: with_margin(observed.peak.memory_mib).max(1),
                accelerators: declared.accelerators,
            }
        } else {
            declared.larger(&observed.peak)
        };
        // Only the killed job itself certainly needs much more, which its memory floor covers; the
        // other jobs of the class get the margin above the kill level.
        let kill_level = with_margin(observed.killed_at_mib);
        need.memory_mib = need.memory_mib.max(kill_level);
        let exceeds_largest = need.memory_mib > largest.memory_mib;
        if exceeds_largest && largest.memory_mib > observed.killed_at_mib {
            need.memory_mib = largest.memory_mib.max(observed.peak.memory_mib);
        }
        if need.cpu_milli > largest.cpu_milli && declared.cpu_milli <= largest.cpu_milli {
            need.cpu_milli = largest.cpu_milli;
        }
        need.larger(&floor)
    }

    /// Whether the needs of a class are taken from observations instead of declarations.
    #[must_use]
    pub fn is_learned(&self, class: &JobClass) -> bool {
        let observed = self.classes.get(class);
        observed.is_some_and(|observed| observed.ended >= MIN_ENDED && observed.peak.cpu_milli > 0)
    }

    /// Expected run time of a job: the average of its class, or else the declared one.
    #[must_use]
    pub fn run_time(&self, entry: &Entry) -> Duration {
        match self.classes.get(&entry.job.class) {
            Some(observed) if observed.ended > 0 => observed.run_time,
            _ => entry.job.run_time,
        }
    }
}

/// Caps a memory floor, which is 1.5 times the memory at which the job was killed, at the largest
/// worker if that has more than the job was killed at. Otherwise the job would be refused although
/// it may fit.
fn cap_floor(floor: u64, largest: u64) -> u64 {
    let killed_at = floor / 3 * 2;
    if killed_at < largest {
        floor.min(largest)
    } else {
        floor
    }
}

fn with_margin(memory_mib: u64) -> u64 {
    memory_mib.saturating_add(memory_mib / 100 * MEMORY_MARGIN_PERCENT)
}
