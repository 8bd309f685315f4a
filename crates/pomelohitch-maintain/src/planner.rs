//! A planning pass: turns the folded state and the platform's list into decisions and effects.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{Body, FleetDecision, FleetStep, MaintainOrder};

use crate::conditions::ConditionTracker;
use crate::effects::PendingEffect;
use crate::observe::{Now, Observation};
use crate::{effects, moves, pools, reconcile, waves};

/// Timeouts and limits of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How long the list must show a condition before the planner acts on it; longer than the
    /// list's lag.
    pub confirm_after: Duration,
    /// An instance that is unlisted, or listed in another pool or at another address, for this long
    /// is marked as failed.
    pub mismatch_timeout: Duration,
    /// An instance that has not returned from a reboot or move within this time is marked as
    /// failed. Only time covered by recent lists counts.
    pub return_timeout: Duration,
    /// A drain that is not complete within this time is cancelled, because some request may never
    /// end.
    pub drain_timeout: Duration,
    /// Minimum time from such a cancellation to the next drain of the same instance.
    pub drain_retry_delay: Duration,
    /// Minimum time from a failure in a pool to the next drain for maintenance there.
    pub hold_after_failure: Duration,
    /// A wave is paused once this many of its instances have failed during maintenance.
    pub lost_limit: u32,
    /// A wave starts in a pool once its least recently maintained instance has gone this long
    /// without maintenance.
    pub maintain_after: Duration,
    /// The planner starts no further wave while this many pools have one.
    pub max_waves: usize,
    /// After this time an accepted record is assumed to be known to every entry instance.
    pub propagation_timeout: Duration,
    /// Timeouts and limits of moves.
    pub moves: moves::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            confirm_after: Duration::from_secs(3),
            mismatch_timeout: Duration::from_secs(30),
            return_timeout: Duration::from_mins(10),
            drain_timeout: Duration::from_mins(30),
            drain_retry_delay: Duration::from_hours(3),
            hold_after_failure: Duration::from_mins(1),
            lost_limit: 2,
            // One week less than the five weeks that an instance may go without maintenance.
            maintain_after: Duration::from_hours(4 * 7 * 24),
            max_waves: 3,
            propagation_timeout: Duration::from_secs(5),
            moves: moves::Options::default(),
        }
    }
}

/// A record to propose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A step for one instance, or the end of a wave.
    Fleet(FleetStep),
    /// Starts or pauses a wave.
    Maintain(MaintainOrder),
}

impl Decision {
    /// Converts the decision into a record body, with the term of `state`.
    #[must_use]
    pub fn body(self, state: &State) -> Body {
        match self {
            Decision::Fleet(step) => Body::Fleet(FleetDecision {
                term: state.members.term,
                step,
            }),
            Decision::Maintain(order) => Body::Maintain(order),
        }
    }
}

/// Result of a planning pass.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Records to propose, in this order.
    pub decisions: Vec<Decision>,
    /// Effects to request from the platform.
    pub effects: Vec<PendingEffect>,
}

/// A condition of an instance whose duration is tracked.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceCondition {
    pub instance: InstanceId,
    pub kind: ConditionKind,
}

/// Condition of an instance, according to the log and the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConditionKind {
    /// In the phase that began at this offset.
    InPhase(u64),
    /// Listed as down.
    Down,
    /// Drained for maintenance or a move and not yet returned, seen with a recent list.
    NotReturned,
    /// Absent from the list.
    Unlisted,
    /// Listed in another pool or at another address than in the log.
    Mismatched,
    /// Active in the log, but listed as draining or drained.
    DrainedAtPlatform,
}

/// Plans pass by pass and keeps how long conditions have held.
///
/// A new planner starts with empty memory, which only makes it wait longer before it acts.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// Timeouts and limits.
    pub options: Options,
    pub(crate) conditions: ConditionTracker<InstanceCondition>,
    /// Instances whose drain was cancelled for exceeding `drain_timeout`, and when.
    pub(crate) drain_backoff: BTreeMap<InstanceId, Now>,
    pub(crate) moves: moves::Imbalances,
}

impl Planner {
    /// Creates a planner with empty memory.
    #[must_use]
    pub fn new(options: Options) -> Planner {
        Planner {
            options,
            ..Planner::default()
        }
    }

    /// Runs one planning pass.
    ///
    /// Without a recent list, the pass only cancels drains and returns required effects.
    pub fn plan(&mut self, state: &State, observation: &Observation) -> Plan {
        self.conditions.begin_pass();
        let retry_delay = self.options.drain_retry_delay;
        self.drain_backoff
            .retain(|_, since| observation.now < *since + retry_delay);
        let mut pools = pools::index(state);
        let mut decisions = Vec::new();
        let findings = reconcile::decide(self, state, observation, &mut decisions);
        pools::mark_drain_backoff(&mut pools, &self.drain_backoff);
        pools::apply_decisions(&mut pools, state, &decisions);
        waves::cancel_drains(&pools, &mut decisions);
        // A stale list hides failures, so no new wave step or move is based on it.
        if observation.listed.is_some() {
            waves::decide(
                &self.options,
                state,
                observation,
                &findings,
                &mut pools,
                &mut decisions,
            );
            moves::decide(
                &self.options.moves,
                &mut self.moves,
                state,
                observation,
                &mut pools,
                &mut decisions,
            );
        }
        let effects = effects::pending(&self.options, state, observation, &findings);
        Plan { decisions, effects }
    }
}
