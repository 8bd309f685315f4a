//! One look, from state and list to decisions and effects.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{Body, FleetDecision, FleetStep, MaintainOrder};

use crate::effects::Wanted;
use crate::memory::Lasting;
use crate::observe::{Now, Observation};
use crate::{effects, moves, pools, reconcile, waves};

/// Times and limits of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How long the list has to say the same before it counts; longer than the list lags.
    pub settle: Duration,
    /// An instance listed in another pool or at another address for longer than this is lost.
    pub mismatch: Duration,
    /// An instance that recent lists show away for a reboot or move for longer than this is lost.
    pub return_limit: Duration,
    /// A drain that isn't done within this is taken back: some request never ends.
    pub drain_limit: Duration,
    /// Minimum time from a drain that was taken back so to the next of the same instance.
    pub drain_again_after: Duration,
    /// Minimum time from a failure in a pool to the next drain for maintenance there.
    pub hold_after_failure: Duration,
    /// A wave that has lost this many instances in maintenance is paused.
    pub lost_limit: u32,
    /// A pool gets a wave once its least recently maintained instance has waited this long.
    pub maintain_after: Duration,
    /// How many pools have a wave at once, of those that the planner starts.
    pub waves_at_once: usize,
    /// Age from which entry instances surely know an accepted record.
    pub known_after: Duration,
    /// Times and limits of moves.
    pub moves: moves::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            settle: Duration::from_secs(3),
            mismatch: Duration::from_secs(30),
            return_limit: Duration::from_mins(10),
            drain_limit: Duration::from_mins(30),
            drain_again_after: Duration::from_hours(3),
            hold_after_failure: Duration::from_mins(1),
            lost_limit: 2,
            // A week before the five that an instance may go without.
            maintain_after: Duration::from_hours(4 * 7 * 24),
            waves_at_once: 3,
            known_after: Duration::from_secs(5),
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
pub(crate) struct Fact {
    pub instance: InstanceId,
    pub kind: FactKind,
}

/// What is so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FactKind {
    /// It is in the phase that began at this offset.
    InPhase(u64),
    /// It is listed as down.
    Down,
    /// It is away for a reboot or a move, by a list that is recent.
    Away,
    /// It is not listed at all.
    Missing,
    /// It is listed in another pool or at another address than the log has.
    Elsewhere,
    /// The log has it at work, and it is listed as drained or draining.
    StillDrained,
}

/// A planner: what it remembers from look to look. A new one begins with nothing, and only waits
/// a little longer.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// Times and limits.
    pub options: Options,
    pub(crate) facts: Lasting<Fact>,
    /// Instances that didn't get idle, and when their drain was taken back.
    pub(crate) busy: BTreeMap<InstanceId, Now>,
    pub(crate) moves: moves::Memory,
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
    pub fn plan(&mut self, state: &State, seen: &Observation) -> Plan {
        self.facts.begin();
        let again = self.options.drain_again_after;
        self.busy.retain(|_, since| seen.now < *since + again);
        let mut pools = pools::index(state);
        let mut decisions = Vec::new();
        let known = reconcile::decide(self, state, seen, &mut decisions);
        pools::note_busy(&mut pools, &self.busy);
        pools::note_decided(&mut pools, state, &decisions);
        waves::take_back(&pools, &mut decisions);
        // A stale list hides failures, so nothing new is started by it.
        if seen.listed.is_some() {
            waves::decide(
                &self.options,
                state,
                seen,
                &known,
                &mut pools,
                &mut decisions,
            );
            moves::decide(
                &self.options.moves,
                &mut self.moves,
                state,
                seen,
                &mut pools,
                &mut decisions,
            );
        }
        let effects = effects::wanted(&self.options, state, seen, &known);
        Plan { decisions, effects }
    }
}
