//! Compares the instances in the log with the platform's list: adopts new instances, and records
//! those that failed, leave, recovered or are listed elsewhere than in the log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::InstanceId;
use pomelohitch_core::record::{DrainPurpose, FleetStep};
use pomelohitch_core::state::{Instance, Phase};
use pomelohitch_platform::instances::{Listed, ListedState};

use crate::observe::Observation;
use crate::planner::{ConditionKind, Decision, InstanceCondition, Planner};

/// Findings about instances in the log that later steps of the planning pass use.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// Time each instance has been in its phase, as observed by this planner.
    pub phase_ages: BTreeMap<InstanceId, Duration>,
    /// Instances active in the log that the platform has listed as draining or drained for at least
    /// `confirm_after`.
    pub drained_at_platform: BTreeSet<InstanceId>,
}

/// Decides on records that bring the log in line with the platform's list.
pub(crate) fn decide(
    planner: &mut Planner,
    state: &State,
    observation: &Observation,
    decisions: &mut Vec<Decision>,
) -> Findings {
    let mut findings = Findings::default();
    for (id, instance) in &state.fleet.instances {
        let age = planner.condition_age(observation, id, ConditionKind::InPhase(instance.since));
        findings.phase_ages.insert(id.clone(), age);
        let step = match &observation.listed {
            Some(listed) => planner.evaluate_listing(
                observation,
                id,
                instance,
                age,
                listed.get(id),
                &mut findings,
            ),
            None => None,
        };
        let step = step.or_else(|| planner.cancel_overdue_drain(observation, id, instance, age));
        decisions.extend(step.map(Decision::Fleet));
    }
    for listed in observation.listed.iter().flat_map(BTreeMap::values) {
        decisions.extend(adopt(state, listed).map(Decision::Fleet));
    }
    findings
}

fn adopt(state: &State, listed: &Listed) -> Option<FleetStep> {
    let is_new = !state.fleet.instances.contains_key(&listed.id);
    let is_configured = state.config.pools.contains_key(&listed.pool);
    (listed.state == ListedState::Live && is_new && is_configured).then(|| FleetStep::Adopt {
        instance: listed.id.clone(),
        pool: listed.pool.clone(),
        zone: listed.zone.clone(),
        rack: listed.rack.clone(),
        addr: listed.addr,
    })
}

impl Planner {
    fn condition_age(
        &mut self,
        observation: &Observation,
        id: &InstanceId,
        kind: ConditionKind,
    ) -> Duration {
        let condition = InstanceCondition {
            instance: id.clone(),
            kind,
        };
        self.conditions.observe(condition, observation.now)
    }

    fn evaluate_listing(
        &mut self,
        observation: &Observation,
        id: &InstanceId,
        instance: &Instance,
        age: Duration,
        listed: Option<&Listed>,
        findings: &mut Findings,
    ) -> Option<FleetStep> {
        let Some(listed) = listed else {
            return self.evaluate_unlisted(observation, id, instance);
        };
        match (&instance.phase, listed.state) {
            (Phase::Failed, ListedState::Live) => {
                // It has recovered. Once forgotten, it is adopted in the next pass into the pool
                // that the platform lists.
                (age >= self.options.confirm_after).then(|| forget(id, instance))
            }
            (Phase::Failed, _) => None,
            (_, ListedState::Down) => {
                self.fail_if_persistent(observation, id, instance, ConditionKind::Down)
            }
            (Phase::Drained(DrainPurpose::Maintain | DrainPurpose::MoveTo(_)), _) => {
                self.fail_if_persistent(observation, id, instance, ConditionKind::NotReturned)
            }
            (Phase::Active, ListedState::Leaving) => Some(FleetStep::Drain {
                instance: id.clone(),
                since: instance.since,
                purpose: DrainPurpose::Leaving,
            }),
            (Phase::Active, ListedState::Draining | ListedState::Drained) => {
                let condition_age =
                    self.condition_age(observation, id, ConditionKind::DrainedAtPlatform);
                if condition_age >= self.options.confirm_after {
                    findings.drained_at_platform.insert(id.clone());
                }
                None
            }
            (Phase::Active, _) if listed.pool != instance.pool || listed.addr != instance.addr => {
                self.fail_if_persistent(observation, id, instance, ConditionKind::Mismatched)
            }
            _ => None,
        }
    }

    /// Cancels a drain that exceeds `drain_timeout`: a request that never ends would otherwise
    /// occupy part of the availability budget and block the wave for ever.
    fn cancel_overdue_drain(
        &mut self,
        observation: &Observation,
        id: &InstanceId,
        instance: &Instance,
        age: Duration,
    ) -> Option<FleetStep> {
        let is_cancellable = matches!(
            instance.phase,
            Phase::Draining(DrainPurpose::Maintain | DrainPurpose::MoveTo(_))
        );
        if !is_cancellable || age < self.options.drain_timeout {
            return None;
        }
        self.drain_backoff.insert(id.clone(), observation.now);
        Some(FleetStep::Return {
            instance: id.clone(),
            since: instance.since,
        })
    }

    fn evaluate_unlisted(
        &mut self,
        observation: &Observation,
        id: &InstanceId,
        instance: &Instance,
    ) -> Option<FleetStep> {
        let condition_age = self.condition_age(observation, id, ConditionKind::Unlisted);
        if condition_age < self.options.mismatch_timeout {
            return None;
        }
        Some(match &instance.phase {
            Phase::Failed
            | Phase::Draining(DrainPurpose::Leaving)
            | Phase::Drained(DrainPurpose::Leaving) => forget(id, instance),
            _ => fail(id, instance),
        })
    }

    fn fail_if_persistent(
        &mut self,
        observation: &Observation,
        id: &InstanceId,
        instance: &Instance,
        kind: ConditionKind,
    ) -> Option<FleetStep> {
        let limit = match kind {
            ConditionKind::Down => self.options.confirm_after,
            ConditionKind::NotReturned => self.options.return_timeout,
            _ => self.options.mismatch_timeout,
        };
        (self.condition_age(observation, id, kind) >= limit).then(|| fail(id, instance))
    }
}

fn fail(id: &InstanceId, instance: &Instance) -> FleetStep {
    FleetStep::Fail {
        instance: id.clone(),
        since: instance.since,
    }
}

fn forget(id: &InstanceId, instance: &Instance) -> FleetStep {
    FleetStep::Forget {
        instance: id.clone(),
        since: instance.since,
    }
}
