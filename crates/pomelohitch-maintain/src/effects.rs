//! Platform calls that accepted records require, and the records that follow on completion.

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{DrainPurpose, FleetStep};
use pomelohitch_core::state::{Instance, Phase};
use pomelohitch_platform::instances::{Action, Effect};

use crate::observe::Observation;
use crate::planner::Options;
use crate::reconcile::Findings;

/// An effect to request, and the step to propose once the platform reports completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingEffect {
    /// The effect, identified by the offset of the accepted record that requires it.
    pub effect: Effect,
    /// Step to propose on completion.
    pub on_complete: Option<FleetStep>,
}

impl PendingEffect {
    /// Whether the instance is still in the phase that requires the effect.
    #[must_use]
    pub fn is_current(&self, state: &State) -> bool {
        let instance = state.fleet.instances.get(&self.effect.instance);
        instance.is_some_and(|instance| instance.since == self.effect.op)
    }
}

/// Returns every effect that the state requires and that is not known to be complete.
pub(crate) fn pending(
    options: &Options,
    state: &State,
    observation: &Observation,
    findings: &Findings,
) -> Vec<PendingEffect> {
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
) -> Option<PendingEffect> {
    let since = instance.since;
    let (action, on_complete) = match &instance.phase {
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
    Some(PendingEffect {
        effect,
        on_complete,
    })
}

/// Whether every entry instance knows of the drain and sends no new requests to the instance, or is
/// assumed to after `propagation_timeout`.
///
/// The platform reports an instance as drained once it is idle for a moment. An entry instance that
/// had not read the drain yet would keep sending requests, which the reboot would cut off.
fn is_known_to_entries(
    options: &Options,
    observation: &Observation,
    findings: &Findings,
    id: &InstanceId,
    instance: &Instance,
) -> bool {
    let age = findings.phase_ages.get(id).copied().unwrap_or_default();
    age >= options.propagation_timeout || observation.applied_by_all > instance.since
}

fn return_step(id: &InstanceId, instance: &Instance) -> FleetStep {
    FleetStep::Return {
        instance: id.clone(),
        since: instance.since,
    }
}
