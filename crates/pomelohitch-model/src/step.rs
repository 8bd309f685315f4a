//! Transitions of the model; those of the log are defined here.

use std::sync::Arc;

use pomelohitch_core::record::{Body, Record};
use pomelohitch_core::{State, Verdict};

use crate::promise;
use crate::proposal::{FILE, Payload, Proposal, pools};
use crate::scenario::{Mutant, Scenario};
use crate::world::{Entry, World};
use crate::{planning, publishing, reading};

/// A transition between two states of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A node sends a proposal to the log.
    Propose(Proposal),
    /// An append succeeds and is acknowledged.
    Land(Proposal),
    /// An append succeeds, its acknowledgement is lost, and the proposal will be sent again.
    LandUnanswered(Proposal),
    /// An append fails definitively.
    Refuse(Proposal),
    /// The log becomes unavailable.
    LogDown,
    /// The log becomes available again.
    LogUp,
    /// A transition of a planner or of the platform.
    Planning(planning::Step),
    /// A transition of a reader.
    Reading(reading::Step),
    /// A transition of an operator.
    Publishing(publishing::Step),
}

/// Returns all states that can follow `world`.
#[must_use]
pub fn successors(scenario: &Scenario, world: &World) -> Vec<World> {
    let mut next = Vec::new();
    log_steps(scenario, world, &mut next);
    planning::steps(scenario, world, &mut next);
    reading::steps(scenario, world, &mut next);
    publishing::steps(scenario, world, &mut next);
    for world in &mut next {
        if world.broken.is_none() {
            world.broken = promise::first_broken(scenario, world);
        }
    }
    next
}

/// Returns a copy of `world` with `change` applied and `step` recorded as the last transition.
pub(crate) fn after(world: &World, step: Step, change: impl FnOnce(&mut World)) -> World {
    let mut next = world.clone();
    next.last = Some(step);
    change(&mut next);
    next
}

/// Adds the transition that sends `proposal`, unless it is already in flight or in the log, or the
/// bounds permit no further proposal.
pub(crate) fn propose(
    scenario: &Scenario,
    world: &World,
    proposal: Proposal,
    next: &mut Vec<World>,
) {
    let is_duplicate = world.in_flight.contains(&proposal)
        || world.log.iter().any(|entry| entry.proposal == proposal);
    if is_duplicate || !may_propose(scenario, world) {
        return;
    }
    next.push(after(world, Step::Propose(proposal), |world| {
        world.in_flight.insert(proposal);
    }));
}

/// Whether the scenario's bounds permit another proposal.
pub(crate) fn may_propose(scenario: &Scenario, world: &World) -> bool {
    world.in_flight.len() < scenario.in_flight
        && world.log.len() + world.in_flight.len() < scenario.records
}

fn log_steps(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    for &proposal in &world.in_flight {
        if world.log_is_up && world.log.len() < scenario.records {
            next.push(after(world, Step::Land(proposal), |world| {
                world.in_flight.remove(&proposal);
                append(scenario, world, proposal);
            }));
        }
        if world.log_is_up
            && world.log.len() < scenario.records
            && world.event_counts.lost_answers < scenario.lost_answers
        {
            next.push(after(world, Step::LandUnanswered(proposal), |world| {
                world.event_counts.lost_answers += 1;
                append(scenario, world, proposal);
            }));
        }
        next.push(after(world, Step::Refuse(proposal), |world| {
            world.in_flight.remove(&proposal);
        }));
    }
    if world.log_is_up && world.event_counts.outages < scenario.outages {
        next.push(after(world, Step::LogDown, |world| {
            world.event_counts.outages += 1;
            world.log_is_up = false;
        }));
    }
    if !world.log_is_up {
        next.push(after(world, Step::LogUp, |world| world.log_is_up = true));
    }
}

fn append(scenario: &Scenario, world: &mut World, proposal: Proposal) {
    let mut state = State::clone(world.head());
    let verdict = fold(scenario, &mut state, &proposal);
    let entry = Entry {
        proposal,
        verdict,
        state: Arc::new(state),
    };
    Arc::make_mut(&mut world.log).push(entry);
}

/// Applies a proposal with the real fold. For a mutant that weakens the fold, the state or the
/// record is changed first so that the fold cannot detect the conflict.
fn fold(scenario: &Scenario, state: &mut State, proposal: &Proposal) -> Verdict {
    let offset = state.next;
    let mut record = proposal.record();
    match scenario.mutant {
        Some(Mutant::FoldSkipsBudget) => return apply_without_budget(scenario, state, &record),
        Some(Mutant::FoldAppliesRepeats) => {
            record.id = pomelohitch_core::id::RecordId::from_u128(u128::from(offset) << 64);
        }
        Some(Mutant::FoldSkipsSince) => match_current_phase(state, proposal, &mut record),
        Some(Mutant::FoldSkipsBase) => {
            let version = state.config.files[FILE].version;
            if let Body::Publish(publish) = &mut record.body {
                for change in publish.changes.values_mut() {
                    change.base = Some(version);
                }
            }
        }
        Some(Mutant::FoldSkipsTerm) => {
            if let Body::Fleet(decision) = &mut record.body {
                decision.term = state.members.term;
            }
        }
        _ => {}
    }
    state.apply(offset, &record)
}

fn apply_without_budget(scenario: &Scenario, state: &mut State, record: &Record) -> Verdict {
    let config = state.config.clone();
    for service in Arc::make_mut(&mut state.config).services.values_mut() {
        service.min_available = 0;
    }
    let verdict = state.apply(state.next, record);
    state.config = config;
    debug_assert_eq!(
        state.config.services.len(),
        pools(scenario.min_available).services.len()
    );
    verdict
}

fn match_current_phase(state: &State, proposal: &Proposal, record: &mut Record) {
    let Payload::Fleet {
        instance, change, ..
    } = proposal.what
    else {
        return;
    };
    let since = state.fleet.instances[&crate::proposal::instance(instance)].since;
    let what = match proposal.what {
        Payload::Fleet { term, .. } => Payload::Fleet {
            term,
            instance,
            since,
            change,
        },
        other => other,
    };
    record.body = Proposal { what, ..*proposal }.record().body;
}
