//! Invariants that must hold in every state.

use pomelohitch_core::Verdict;
use pomelohitch_core::state::Phase;

use crate::proposal::{Change, FILE, KEY, Payload, SPARE, WEB, instance};
use crate::scenario::Scenario;
use crate::world::{Answer, Entry, NODES, World};

/// An invariant that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// The log and the platform have each instance in the same pool, except while it moves or after
    /// it failed.
    OnePool,
    /// No accepted drain leaves a service fewer instances than its availability budget, neither in
    /// the log nor at the platform.
    Budget,
    /// Accepted configuration never reverts: neither by a later publish based on an older version,
    /// nor at an entry instance that restarts or resumes.
    NeverReverts,
    /// No entry instance accepts a withdrawn key after the propagation bound.
    KeyWithdrawn,
    /// Only effects of accepted records are requested from the platform.
    EffectsAccepted,
    /// The answer to an operator's publish is true and stays true.
    TrueAnswer,
    /// A reader's state equals the fold of all records below its offset.
    SameState,
}

/// All promises.
pub const ALL: [Promise; 7] = [
    Promise::OnePool,
    Promise::Budget,
    Promise::NeverReverts,
    Promise::KeyWithdrawn,
    Promise::EffectsAccepted,
    Promise::TrueAnswer,
    Promise::SameState,
];

/// Returns the first promise that `world` breaks, except those that steps check themselves.
#[must_use]
pub fn first_broken(scenario: &Scenario, world: &World) -> Option<Promise> {
    let checks = [
        (Promise::OnePool, one_pool_holds(world)),
        (Promise::Budget, budget_holds(scenario, world)),
        (Promise::NeverReverts, never_reverts_holds(world)),
        (Promise::KeyWithdrawn, key_withdrawn_holds(world)),
        (Promise::TrueAnswer, true_answer_holds(world)),
    ];
    let first = checks.into_iter().find(|(_, holds)| !holds);
    first.map(|(promise, _)| promise)
}

fn one_pool_holds(world: &World) -> bool {
    let state = world.head();
    (0..).zip(&world.platform).all(|(i, platform)| {
        let logged = &state.fleet.instances[&instance(i)];
        let has = if platform.is_moved { SPARE } else { WEB };
        match &logged.phase {
            Phase::Failed => true,
            Phase::Drained(_) => {
                *logged.pool == *has || logged.phase.moving_to().is_some_and(|to| **to == *has)
            }
            _ => *logged.pool == *has,
        }
    })
}

fn budget_holds(scenario: &Scenario, world: &World) -> bool {
    if scenario.instances == 0 {
        return true;
    }
    let min = scenario.min_available;
    let checks_platform = scenario.checks_call_window || !scenario.cancels_drains;
    let drains_leave_enough = world.log.iter().all(|entry| {
        let is_drain = matches!(
            entry.proposal.what,
            Payload::Fleet {
                change: Change::Drain,
                ..
            }
        );
        let is_planned = is_drain && entry.verdict == Verdict::Accepted;
        !is_planned || entry.state.fleet.active_in(WEB) >= min
    });
    drains_leave_enough && (!checks_platform || platform_keeps_budget(world, min as usize))
}

/// Whether planned drains leave enough instances at the platform.
///
/// Failed instances count as available here, because the planner did not take them out.
fn platform_keeps_budget(world: &World, min: usize) -> bool {
    let in_web = || world.platform.iter().filter(|p| !p.is_moved);
    let live = in_web().filter(|p| !p.is_drained && !p.is_down).count();
    let down = in_web().filter(|p| p.is_down).count();
    live + down >= min
}

fn never_reverts_holds(world: &World) -> bool {
    let bases_match = (0..)
        .zip(world.log.iter())
        .all(|(n, entry): (usize, &Entry)| {
            let Payload::Publish { base, .. } = entry.proposal.what else {
                return true;
            };
            let before = world.state_after(n).config.files[FILE].version;
            entry.verdict != Verdict::Accepted || base == before
        });
    let are_current = (0..NODES)
        .all(|node| !world.is_accepting(node) || world.nodes[node].applied >= Some(world.settled));
    bases_match && are_current
}

fn key_withdrawn_holds(world: &World) -> bool {
    !world.is_withdrawal_settled
        || (0..NODES).all(|node| !world.is_accepting(node) || refuses_key(world, node))
}

/// Whether a node refuses [`KEY`], by its state or because it knows of the withdrawal.
#[must_use]
pub fn refuses_key(world: &World, node: usize) -> bool {
    let withdrawn = world
        .view(node)
        .is_none_or(|state| state.team_of_key(KEY).is_none());
    withdrawn || world.nodes[node].knows_withdrawal
}

fn true_answer_holds(world: &World) -> bool {
    world.operators.iter().all(|operator| {
        let is_accepted = world.accepted(&operator.proposal).is_some();
        match operator.received {
            None => true,
            Some(Answer::InForce) => is_accepted,
            Some(Answer::NotInForce) => !is_accepted,
        }
    })
}
