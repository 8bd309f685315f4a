//! One look, from state and list to decisions and effects.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{Body, FleetDecision, FleetStep, MaintainOrder};

use crate::conditions::ConditionTracker;
use crate::effects::Wanted;
use crate::observe::{Now, Observation};
use crate::{effects, moves, pools, reconcile, waves};

/// Times and limits of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How long the list has to say the same before it counts; longer than the list lags.
    pub confirm_after: Duration,
    /// An instance listed in another pool or at another address for longer than this is lost.
    pub mismatch_timeout: Duration,
    /// An instance that recent lists show away for a reboot or move for longer than this is lost.
    pub return_timeout: Duration,
    /// A drain that isn't done within this is taken back: some request never ends.
    pub drain_timeout: Duration,
    /// Minimum time from a drain that was taken back so to the next of the same instance.
    pub drain_retry_delay: Duration,
    /// Minimum time from a failure in a pool to the next drain for maintenance there.
    pub hold_after_failure: Duration,
    /// A wave that has lost this many instances in maintenance is paused.
    pub lost_limit: u32,
    /// A pool gets a wave once its least recently maintained instance has waited this long.
    pub maintain_after: Duration,
    /// How many pools have a wave at once, of those that the planner starts.
    pub max_waves: usize,
    /// Age from which entry instances surely know an accepted record.
    pub propagation_timeout: Duration,
    /// Times and limits of moves.
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
            // A week before the five that an instance may go without.
            maintain_after: Duration::from_hours(4 * 7 * 24),
            max_waves: 3,
            propagation_timeout: Duration::from_secs(5),
            moves: moves::Options::default(),
        }
    }
}

/// Something to propose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// About an instance or the end of a wave.
    Fleet(FleetStep),
    /// A wave begins or is paused.
    Maintain(MaintainOrder),
}

impl Decision {
    /// The record's body, decided in the state's term.
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

/// What one look gives.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// What to propose, in this order.
    pub decisions: Vec<Decision>,
    /// What to ask the platform for.
    pub effects: Vec<Wanted>,
}

/// A fact about an instance that has to last before it counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InstanceCondition {
    pub instance: InstanceId,
    pub kind: ConditionKind,
}

/// What is so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConditionKind {
    /// It is in the phase that began at this offset.
    InPhase(u64),
    /// It is listed as down.
    Down,
    /// It is away for a reboot or a move, by a list that is recent.
    NotReturned,
    /// It is not listed at all.
    Unlisted,
    /// It is listed in another pool or at another address than the log has.
    Mismatched,
    /// The log has it at work, and it is listed as drained or draining.
    DrainedAtPlatform,
}

/// A planner: what it remembers from look to look. A new one begins with nothing, and only waits
/// a little longer.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// Times and limits.
    pub options: Options,
    pub(crate) conditions: ConditionTracker<InstanceCondition>,
    /// Instances that didn't get idle, and when their drain was taken back.
    pub(crate) drain_backoff: BTreeMap<InstanceId, Now>,
    pub(crate) moves: moves::Imbalances,
}

impl Planner {
    /// A planner with these times and limits.
    #[must_use]
    pub fn new(options: Options) -> Planner {
        Planner {
            options,
            ..Planner::default()
        }
    }

    /// Looks once.
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
        // A stale list hides failures, so nothing new is started by it.
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
