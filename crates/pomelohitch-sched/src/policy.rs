//! Which mechanisms decide, and by which amounts. All of them do as shipped; an experiment switches
//! one off, or sets another amount, to learn what it is worth.

use std::time::Duration;

use crate::suspicion::CrashLimits;

/// Which mechanisms decide.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent mechanisms, each of which decides or doesn't"
)]
pub struct Policy {
    /// Jobs whose objective is out of reach wait for those that can still be in time.
    pub late_last: bool,
    /// Multiple of the objective beyond which it counts as out of reach. Estimates are rough: taken at
    /// their word, they make jobs wait that would be in time.
    pub late_after: f64,
    /// Jobs are ordered by their latest start, not by their arrival.
    pub by_latest_start: bool,
    /// Under overload the jobs are deferred whose work frees most for others.
    pub defers: bool,
    /// Late jobs go first when it is their last chance to be of use.
    pub promotes_expiring: bool,
    /// How demand is forecast.
    pub demand: Foresight,
    /// How much pools provide beside what is wanted.
    pub margins: Margins,
    /// What waits for a place counts as wanted.
    pub provides_backlog: bool,
    /// Instances that no pool will want soon are switched off.
    pub switches_off: bool,
    /// Tasks go to the fullest endpoints, so that others stay empty.
    pub packs: bool,
    /// An endpoint that left a start unanswered gets no work until it answers something.
    pub doubts_silent: bool,
    /// What becomes of tasks under which endpoints crash.
    pub crashes: CrashLimits,
}

/// How much pools provide beside what is wanted, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Margins {
    /// The part of a pool's processors that can be in use: tasks don't fit exactly, and what arrives
    /// varies around what is foreseen.
    pub fill: f64,
    /// Largest backlog that is provided for, as a part of the other demand: it is gone in a second or
    /// two, and an instance takes as long to come.
    pub most_backlog: f64,
    /// Multiple of the demand that is kept at the peak of a turn, for random arrivals.
    pub height: f64,
    /// A rise is carried on to at most this many times the rate on top of it: a few large jobs that
    /// come together look like a steep one.
    pub most_rise: f64,
    /// An instance is kept that will be wanted within this time: switching it off and on again costs
    /// two moves.
    pub soon: Duration,
    /// Time for which a surplus has to last before instances are switched off.
    pub surplus_for: Duration,
}

impl Default for Margins {
    fn default() -> Self {
        Margins {
            fill: 0.85,
            most_backlog: 0.5,
            height: 1.25,
            most_rise: 1.0,
            soon: Duration::from_millis(4500),
            surplus_for: Duration::from_millis(800),
        }
    }
}

/// How demand is forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Foresight {
    /// By the period in which it repeats.
    pub uses_period: bool,
    /// By its recent trend.
    pub uses_rise: bool,
    /// At the height of a turn, by what arrives.
    pub uses_height: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            late_last: true,
            late_after: 1.4,
            by_latest_start: true,
            defers: true,
            promotes_expiring: true,
            demand: Foresight::default(),
            margins: Margins::default(),
            provides_backlog: true,
            switches_off: true,
            packs: true,
            doubts_silent: true,
            crashes: CrashLimits::default(),
        }
    }
}

impl Default for Foresight {
    fn default() -> Self {
        Foresight {
            uses_period: true,
            uses_rise: true,
            uses_height: true,
        }
    }
}
