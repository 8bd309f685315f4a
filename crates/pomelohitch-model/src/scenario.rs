//! Bounds of the exploration, and the mechanism that a mutant disables.

/// Bounds of the exploration, and the mechanism that is disabled, if any.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Name in reports.
    pub name: &'static str,
    /// Maximum number of records appended to the log.
    pub records: usize,
    /// Maximum number of proposals in flight at the same time.
    pub in_flight: usize,
    /// Maximum number of appends that succeed but whose acknowledgement is lost, so that they are
    /// sent again.
    pub lost_answers: usize,
    /// Highest planner term that may be taken.
    pub terms: u64,
    /// Number of instances in the pool with an availability budget; 0 disables planning.
    pub instances: usize,
    /// The service's availability budget.
    pub min_available: u32,
    /// Maximum number of instance failures.
    pub failures: usize,
    /// Whether planners cancel drains.
    pub cancels_drains: bool,
    /// Whether the budget at the platform is checked although drains are cancelled. It is known to
    /// break in this case, between a planner's check and its call.
    pub checks_call_window: bool,
    /// Maximum number of publishes by operators.
    pub publishes: usize,
    /// Whether an operator withdraws the key at an entry instance.
    pub withdraws: bool,
    /// Maximum number of entry instance replacements.
    pub restarts: usize,
    /// Maximum number of entry instance pauses.
    pub pauses: usize,
    /// Maximum number of snapshots; the log is trimmed only below a complete one.
    pub snapshots: usize,
    /// Maximum number of log outages.
    pub outages: usize,
    /// The mechanism that is disabled.
    pub mutant: Option<Mutant>,
}

/// A mechanism that is disabled, to verify that the check finds the resulting fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// The fold does not compare the phase that the decision is based on with the current one.
    FoldSkipsSince,
    /// The fold does not check whether a drain leaves enough instances for the budget.
    FoldSkipsBudget,
    /// The fold does not compare the base version of a publish with the current one.
    FoldSkipsBase,
    /// The fold applies a repeated record as if it were new.
    FoldAppliesRepeats,
    /// The fold accepts planner decisions of any term.
    FoldSkipsTerm,
    /// A planner requests an effect from the platform once it has sent the proposal, without
    /// waiting for the verdict.
    EffectBeforeVerdict,
    /// An entry instance serves requests once it has started, before it has read to the head.
    ServesBeforeHead,
    /// An entry instance serves requests after a pause without reading to the head first.
    ServesAfterPause,
    /// An entry instance serves requests before it has exchanged heartbeats with a peer.
    ServesBeforeHeartbeat,
    /// An operator gets the answer that a publish is not in force before its outcome is known.
    AnswersBeforeOutcome,
    /// A reader whose next record was trimmed continues with the oldest record that is kept.
    SkipsTrimmed,
    /// A reader loads the newest snapshot even if it is incomplete.
    LoadsTornSnapshot,
}

/// Returns all scenarios, without mutants.
#[must_use]
pub fn all() -> Vec<Scenario> {
    vec![
        planning(),
        cancelling_drains(),
        publishing(),
        joining(),
        outage(),
        withdrawing(),
    ]
}

/// Two planners move instances out of a pool with an availability budget while instances fail.
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

/// Two planners move instances out of a pool with an availability budget and cancel drains.
#[must_use]
pub fn cancelling_drains() -> Scenario {
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

/// Operators publish the same file concurrently at two entry instances.
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

/// Entry instances are replaced and paused during log outages.
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

/// A key is withdrawn with or without a log outage while entry instances are replaced and paused.
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
