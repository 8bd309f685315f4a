//! What jobs of a class really need, learned from usage.
//!
//! Declared sizes and run times are far off. Usage is reported with a lag, so a class is believed
//! only after some of its jobs ended; what was seen is never gone below.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::JobClass;
use pomelohitch_core::record::job::Resources;
use pomelohitch_core::state::jobs::Entry;

/// After so many ended jobs of a class, what was seen replaces what is declared.
const MIN_ENDED: u32 = 5;
/// Memory set aside above the most that was seen, in percent: more than that kills the job.
const MEMORY_MARGIN_PERCENT: u64 = 8;
/// The weight of the newest run time, in percent.
const NEWEST_WEIGHT_PERCENT: u32 = 20;

/// What was seen of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Observed {
    peak: Resources,
    ended: u32,
    run_time: Duration,
    killed_at_mib: u64,
}

/// What was seen of every class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sizes {
    classes: BTreeMap<JobClass, Observed>,
}

impl Sizes {
    /// A job of `class` used this much.
    pub fn observe_usage(&mut self, class: &JobClass, used: &Resources) {
        let observed = self.classes.entry(class.clone()).or_default();
        observed.peak = observed.peak.larger(used);
    }

    /// A job of `class` ran to its end in `run_time`.
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

    /// A job of `class` was killed at this much memory, in mebibytes.
    pub fn observe_memory_kill(&mut self, class: &JobClass, memory_mib: u64) {
        let observed = self.classes.entry(class.clone()).or_default();
        observed.killed_at_mib = observed.killed_at_mib.max(memory_mib);
    }

    /// What to set aside for a job. Never less than its class was seen to use, nor than what a
    /// kill showed to be too little; never more than `largest`, the largest worker, unless even
    /// that was seen to be too little.
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
        // Only the job that was killed is sure to need much more; its class gets the margin.
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

    /// Whether what is set aside for a class follows from what was seen of it.
    #[must_use]
    pub fn is_learned(&self, class: &JobClass) -> bool {
        let observed = self.classes.get(class);
        observed.is_some_and(|observed| observed.ended >= MIN_ENDED && observed.peak.cpu_milli > 0)
    }

    /// How long a job is expected to run.
    #[must_use]
    pub fn run_time(&self, entry: &Entry) -> Duration {
        match self.classes.get(&entry.job.class) {
            Some(observed) if observed.ended > 0 => observed.run_time,
            _ => entry.job.run_time,
        }
    }
}

/// Half as much again may be more than any worker has, although what the job was killed at isn't:
/// it then gets the largest worker, instead of being refused.
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
