//! What is explored: how much may happen, and which mechanism is left out.

/// How much may happen, and which mechanism is left out.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// How many records the log takes at the most.
    pub records: usize,
    /// How many proposals are on their way at once at the most.
    pub in_flight: usize,
    /// How many appends land although their answer is lost, so that they are sent again.
    pub lost_answers: usize,
    /// How many terms may be taken.
    pub terms: u64,
    /// How many instances there are in the pool with a budget; 0 for no planning at all.
    pub instances: usize,
    /// How many of them the service has to keep.
    pub min_available: u32,
    /// How many instances may fail.
    pub failures: usize,
    /// Whether a planner takes drains back.
    pub cancels_drains: bool,
    /// Whether the platform's budget is checked although drains are taken back: it is known to break
    /// then, in the time between a planner's check and its call.
    pub checks_call_window: bool,
    /// How many publishes operators send.
    pub publishes: usize,
    /// Whether the key is withdrawn, urgently, at some entry instance.
    pub withdraws: bool,
    /// How often an entry instance is replaced.
    pub restarts: usize,
    /// How often an entry instance is paused.
    pub pauses: usize,
    /// How many snapshots are written; the log is trimmed only below a whole one.
    pub snapshots: usize,
    /// How often the log goes down.
    pub outages: usize,
    /// The mechanism that is left out.
    pub mutant: Option<Mutant>,
}

/// A mechanism that is left out, to show that the check would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The fold doesn't compare the phase that was judged with the one in force.
    FoldSkipsSince,
    /// The fold doesn't count what a drain leaves.
    FoldSkipsBudget,
    /// The fold doesn't compare base versions.
    FoldSkipsBase,
    /// The fold judges a repeat as if it were new.
    FoldCountsRepeats,
    /// The fold accepts any planner's decisions, whatever the term.
    FoldSkipsTerm,
    /// A planner asks the platform for an effect as soon as it has sent the proposal.
    EffectBeforeVerdict,
    /// An entry instance serves as soon as it has started.
    ServesBeforeHead,
    /// An entry instance that was paused goes on as if nothing had happened.
    ServesAfterPause,
    /// An entry instance serves before it heard a peer.
    ServesUnheard,
    /// An operator whose answer was lost is told that nothing happened.
    GuessesNotInForce,
    /// A reader whose next record was trimmed goes on with the oldest one kept.
    SkipsTrimmed,
    /// A reader takes the newest snapshot, whole or not.
    TakesTornSnapshot,
}

/// The scenarios of the check, without a mutant.
#[must_use]
pub fn all() -> Vec<Scenario> {
    vec![
        planning(),
        taking_back(),
        publishing(),
        joining(),
        outage(),
        withdrawing(),
    ]
}

/// Two planners move instances away from a pool with a budget, and instances fail.
#[must_use]
pub fn planning() -> Scenario {
    Scenario {
        name: "planning",
        records: 4,
        in_flight: 2,
        lost_answers: 1,
        terms: 2,
        instances: 2,
        min_available: 1,
        failures: 1,
        ..Scenario::default()
    }
}

/// The same with fewer instances, and drains that are taken back.
#[must_use]
pub fn taking_back() -> Scenario {
    Scenario {
        name: "taking back",
        records: 4,
        in_flight: 2,
        lost_answers: 1,
        terms: 2,
        instances: 2,
        min_available: 1,
        cancels_drains: true,
        ..Scenario::default()
    }
}

/// Operators race on one file, at two entry instances.
#[must_use]
pub fn publishing() -> Scenario {
    Scenario {
        name: "publishing",
        records: 4,
        in_flight: 2,
        lost_answers: 2,
        publishes: 2,
        outages: 1,
        ..Scenario::default()
    }
}

/// Entry instances are replaced while the log is trimmed.
#[must_use]
pub fn joining() -> Scenario {
    Scenario {
        name: "joining",
        records: 2,
        in_flight: 1,
        publishes: 2,
        restarts: 2,
        snapshots: 2,
        ..Scenario::default()
    }
}

/// Entry instances are replaced and paused while the log goes down.
#[must_use]
pub fn outage() -> Scenario {
    Scenario {
        name: "outage",
        records: 2,
        in_flight: 1,
        publishes: 2,
        restarts: 2,
        pauses: 1,
        outages: 1,
        ..Scenario::default()
    }
}

/// A key is withdrawn with the log up or down, while entry instances are replaced and paused.
#[must_use]
pub fn withdrawing() -> Scenario {
    Scenario {
        name: "withdrawing",
        records: 2,
        in_flight: 2,
        lost_answers: 1,
        withdraws: true,
        restarts: 2,
        pauses: 1,
        outages: 2,
        ..Scenario::default()
    }
}
