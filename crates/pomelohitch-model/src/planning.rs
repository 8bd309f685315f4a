//! Transitions of planners and the platform.
//!
//! A planner uses its node's state, which may be outdated, and proposes any decision that this
//! state permits. An effect on the platform takes two transitions, the decision and the call, so
//! that others, such as those of another planner, can occur in between.

use pomelohitch_core::State;
use pomelohitch_core::record::DrainPurpose;
use pomelohitch_core::state::{Instance, Phase};

use crate::promise::Promise;
use crate::proposal::{Change, Payload, Proposal, WEB, instance, member};
use crate::scenario::{Mutant, Scenario};
use crate::step::{Step as AnyStep, after, propose};
use crate::world::{Action, Intent, NODES, World};

/// A transition of a planner or of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A planner that has read to the head decides to request an effect from the platform.
    Intend(usize, Intent),
    /// The call reaches the platform.
    Act(usize, Intent),
    /// An instance fails.
    InstanceFails(usize),
}

/// Adds all transitions of planners and the platform.
pub fn steps(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    if scenario.instances == 0 {
        return;
    }
    for node in 0..NODES {
        if let Some(state) = world.view(node) {
            take_term(scenario, world, node, state, next);
            if state.members.planner == Some(member(node)) {
                decide(scenario, world, node, state, next);
                decide_effects(scenario, world, node, state, next);
            }
            perform_effect(world, node, next);
        }
    }
    fail(scenario, world, next);
}

fn take_term(
    scenario: &Scenario,
    world: &World,
    node: usize,
    state: &State,
    next: &mut Vec<World>,
) {
    let term = state.members.term + 1;
    if state.members.planner == Some(member(node)) || term > scenario.terms {
        return;
    }
    propose(
        scenario,
        world,
        proposal_by(node, state, Payload::TakeTerm { term }),
        next,
    );
}

fn proposal_by(node: usize, state: &State, what: Payload) -> Proposal {
    Proposal {
        by: node,
        after: state.next,
        what,
    }
}

fn decide(scenario: &Scenario, world: &World, node: usize, state: &State, next: &mut Vec<World>) {
    for i in 0..scenario.instances {
        let logged = &state.fleet.instances[&instance(i)];
        for change in possible_changes(scenario, world, i, logged) {
            let what = Payload::Fleet {
                term: state.members.term,
                instance: i,
                since: logged.since,
                change,
            };
            propose(scenario, world, proposal_by(node, state, what), next);
        }
    }
}

/// Returns the decisions that a planner may propose for an instance, given its state in the log and
/// at the platform.
fn possible_changes(
    scenario: &Scenario,
    world: &World,
    i: usize,
    logged: &Instance,
) -> Vec<Change> {
    let platform = &world.platform[i];
    let mut changes = Vec::new();
    if platform.is_down && logged.phase != Phase::Failed {
        changes.push(Change::Fail);
    }
    match &logged.phase {
        Phase::Active if *logged.pool == *WEB => changes.push(Change::Drain),
        Phase::Draining(_) => {
            if platform.is_drained {
                changes.push(Change::Drained);
            }
            if scenario.cancels_drains {
                changes.push(Change::Return);
            }
        }
        Phase::Drained(_) if platform.is_moved && !platform.is_drained => {
            changes.push(Change::Return);
        }
        _ => {}
    }
    changes
}

fn decide_effects(
    scenario: &Scenario,
    world: &World,
    node: usize,
    state: &State,
    next: &mut Vec<World>,
) {
    let is_at_head = world.nodes[node].applied == Some(world.log.len());
    let acts_early = scenario.mutant == Some(Mutant::EffectBeforeVerdict);
    if world.nodes[node].intent.is_some() || !(is_at_head || acts_early) {
        return;
    }
    for i in 0..scenario.instances {
        let logged = &state.fleet.instances[&instance(i)];
        let has_proposed_drain = world.in_flight.iter().any(|p| {
            let is_drain = |what| matches!(what, Payload::Fleet { instance, change: Change::Drain, .. } if instance == i);
            p.by == node && is_drain(p.what)
        });
        let action = match &logged.phase {
            Phase::Draining(_) => Action::Drain,
            Phase::Drained(DrainPurpose::MoveTo(_)) => Action::Move,
            Phase::Active if world.platform[i].is_drained => Action::Undrain,
            Phase::Active if acts_early && has_proposed_drain => Action::Drain,
            _ => continue,
        };
        let intent = Intent {
            instance: i,
            op: logged.since,
            action,
        };
        if world.platform[i].ops.contains(&intent.op) {
            continue;
        }
        next.push(after(
            world,
            AnyStep::Planning(Step::Intend(node, intent)),
            |world| world.nodes[node].intent = Some(intent),
        ));
    }
}

fn perform_effect(world: &World, node: usize, next: &mut Vec<World>) {
    let Some(intent) = world.nodes[node].intent else {
        return;
    };
    next.push(after(
        world,
        AnyStep::Planning(Step::Act(node, intent)),
        |world| {
            world.nodes[node].intent = None;
            if !is_authorised(world, &intent) {
                world.broken = Some(Promise::EffectsAccepted);
            }
            apply(world, &intent);
        },
    ));
}

/// Whether the record at the effect's offset was accepted and requires this effect.
fn is_authorised(world: &World, intent: &Intent) -> bool {
    let index = intent.op.checked_sub(world.base.next);
    let index = index.and_then(|index| usize::try_from(index).ok());
    let entry = index.and_then(|index| world.log.get(index));
    entry.is_some_and(|entry| {
        let logged = &entry.state.fleet.instances[&instance(intent.instance)];
        let requires_effect = match intent.action {
            Action::Drain => matches!(logged.phase, Phase::Draining(_)),
            Action::Undrain => logged.phase == Phase::Active,
            Action::Move => logged.phase.moving_to().is_some(),
        };
        logged.since == intent.op && requires_effect
    })
}

/// Applies an effect at the platform, which performs each effect once and refuses a move of an
/// instance that is not drained.
fn apply(world: &mut World, intent: &Intent) {
    let platform = &mut world.platform[intent.instance];
    if platform.is_down || !platform.ops.insert(intent.op) {
        return;
    }
    match intent.action {
        Action::Drain => platform.is_drained = true,
        Action::Undrain => platform.is_drained = false,
        Action::Move if platform.is_drained => {
            platform.is_moved = true;
            platform.is_drained = false;
        }
        // A refused effect is not remembered, so it can be requested again.
        Action::Move => {
            platform.ops.remove(&intent.op);
        }
    }
}

fn fail(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    if world.event_counts.failures >= scenario.failures {
        return;
    }
    for i in 0..scenario.instances {
        if world.platform[i].is_down {
            continue;
        }
        next.push(after(
            world,
            AnyStep::Planning(Step::InstanceFails(i)),
            |world| {
                world.event_counts.failures += 1;
                world.platform[i].is_down = true;
            },
        ));
    }
}
