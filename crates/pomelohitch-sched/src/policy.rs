//! Which mechanisms decide. All of them do as shipped; an experiment switches one off to learn
//! what it is worth.

/// Which mechanisms decide.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent mechanisms, each of which decides or doesn't"
)]
pub struct Policy {
    /// Jobs whose objective is out of reach wait for those that can still be in time.
    pub late_last: bool,
    /// A job's objective counts as out of reach when it can't be done within so many times of it.
    /// Estimates are rough: taken at their word, they make jobs wait that would be in time.
    pub late_after: f64,
    /// Jobs go by the latest moment at which they have to start, not by when they came.
    pub by_latest_start: bool,
    /// Where not all can be in time, those wait whose work frees most for others.
    pub puts_off: bool,
    /// Late jobs go first when it is their last chance to be of use.
    pub rescues: bool,
    /// How demand is foreseen.
    pub demand: Foresight,
    /// What waits for a place counts as wanted.
    pub provides_backlog: bool,
    /// Instances that no pool will want soon are switched off.
    pub switches_off: bool,
    /// A surplus has to last before anything is switched off.
    pub surplus_lasts: bool,
    /// Tasks go to the fullest endpoints, so that others stay empty.
    pub packs: bool,
    /// An endpoint that left a start unanswered gets no work until it answers something.
    pub doubts_silent: bool,
}

/// How demand is foreseen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Foresight {
    /// By the period in which it repeats.
    pub uses_period: bool,
    /// By its rise of late.
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
            puts_off: true,
            rescues: true,
            demand: Foresight::default(),
            provides_backlog: true,
            switches_off: true,
            surplus_lasts: true,
            packs: true,
            doubts_silent: true,
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
