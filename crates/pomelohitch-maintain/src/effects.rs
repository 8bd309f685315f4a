//! What the platform is asked for, and what its answer means.

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{DrainPurpose, FleetStep};
use pomelohitch_core::state::{Instance, Phase};
use pomelohitch_platform::instances::{Action, Effect};

use crate::observe::Observation;
use crate::planner::Options;
use crate::reconcile::Findings;

/// An effect, and what to record once the platform says that it is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The effect, keyed by the offset of the accepted record that asks for it.
    pub effect: Effect,
    /// What to propose once it is complete.
    pub then: Option<FleetStep>,
}

impl Wanted {
    /// Whether `state` still has the instance in the phase that asks for the effect.
    #[must_use]
    pub fn is_current(&self, state: &State) -> bool {
        let instance = state.fleet.instances.get(&self.effect.instance);
        instance.is_some_and(|instance| instance.since == self.effect.op)
    }
}

/// Every effect that the state asks for and that isn't known to be complete.
pub(crate) fn pending(
    options: &Options,
    state: &State,
    observation: &Observation,
    findings: &Findings,
) -> Vec<Wanted> {
    let instances = state.fleet.instances.iter();
    instances
        .filter_map(|(id, instance)| pending_effect(options, observation, findings, id, instance))
        .collect()
}

fn pending_effect(
    options: &Options,
    observation: &Observation,
    findings: &Findings,
    id: &InstanceId,
    instance: &Instance,
) -> Option<Wanted> {
    let since = instance.since;
    let (action, then) = match &instance.phase {
        Phase::Draining(_)
            if !is_known_to_entries(options, observation, findings, id, instance) =>
        {
            return None;
        }
        Phase::Draining(_) => (
            Action::Drain,
            Some(FleetStep::Drained {
                instance: id.clone(),
                since,
            }),
        ),
        Phase::Drained(DrainPurpose::Maintain) => (Action::Reboot, Some(return_step(id, instance))),
        Phase::Drained(DrainPurpose::MoveTo(to)) => {
            (Action::Move(to.clone()), Some(return_step(id, instance)))
        }
        Phase::Active if findings.drained_at_platform.contains(id) => (Action::Undrain, None),
        _ => return None,
    };
    let effect = Effect {
        instance: id.clone(),
        op: since,
        action,
    };
    Some(Wanted { effect, then })
}

/// Whether every entry instance has stopped sending to the instance.
///
/// An instance that is idle for a moment counts as drained for the platform. If some entry instance
/// didn't know yet, it would go on sending, and the reboot would cut its requests.
fn is_known_to_entries(
    options: &Options,
    observation: &Observation,
    findings: &Findings,
    id: &InstanceId,
    instance: &Instance,
) -> bool {
    let age = findings.phase_ages.get(id).copied().unwrap_or_default();
    age >= options.propagation_timeout || observation.known_by_all > instance.since
}

fn return_step(id: &InstanceId, instance: &Instance) -> FleetStep {
    FleetStep::Return {
        instance: id.clone(),
        since: instance.since,
    }
}
