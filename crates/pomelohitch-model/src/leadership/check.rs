//! Breadth-first search through all reachable states.

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

use super::rules::Rules;
use super::scenario::Scenario;
use super::step::{Step, successors};
use super::world::{Promise, World};
use crate::check::{Counterexample, Outcome};

/// Explores every reachable state of `scenario` under `rules`, breadth first, and stops at the first
/// broken promise.
#[must_use]
pub fn check(scenario: &Scenario, rules: &Rules) -> Outcome<Promise, Step> {
    let (states, path) = search(scenario, rules, |world| world.broken.is_some());
    Outcome {
        states,
        counterexample: path.and_then(|path| counterexample(scenario, rules, &path)),
    }
}

/// Whether a leader can conclude that no former leadership is confirmed any more.
#[must_use]
pub fn can_take_over(scenario: &Scenario, rules: &Rules) -> bool {
    search(scenario, rules, World::is_taken_over).1.is_some()
}

/// Returns the number of states expanded, and a shortest path to a state in which `is_goal` holds.
fn search(
    scenario: &Scenario,
    rules: &Rules,
    is_goal: impl FnMut(&World) -> bool,
) -> (usize, Option<Vec<World>>) {
    let states = Cell::new(0);
    let expand = |world: &World| {
        states.set(states.get() + 1);
        let next = successors(scenario, rules, world);
        next.into_iter().map(|(_, world)| world)
    };
    let mut is_goal = is_goal;
    let path = bfs(&World::new(scenario, rules), expand, &mut is_goal);
    (states.get(), path)
}

fn counterexample(
    scenario: &Scenario,
    rules: &Rules,
    path: &[World],
) -> Option<Counterexample<Promise, Step>> {
    let promise = path.last()?.broken?;
    let steps = path.windows(2).filter_map(|pair| {
        let mut next = successors(scenario, rules, &pair[0]).into_iter();
        next.find(|(_, world)| *world == pair[1])
            .map(|(step, _)| step)
    });
    Some(Counterexample {
        promise,
        steps: steps.collect(),
    })
}
