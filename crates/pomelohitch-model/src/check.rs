//! Breadth-first search through all reachable states.

use std::cell::Cell;
use std::fmt;

use pathfinding::directed::bfs::bfs;

use crate::promise::Promise;
use crate::scenario::Scenario;
use crate::step::{Step, successors};
use crate::world::World;

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome<P = Promise, S = Step> {
    /// Number of states expanded.
    pub states: usize,
    /// A shortest sequence of steps to a broken promise, if one was found.
    pub counterexample: Option<Counterexample<P, S>>,
}

/// A shortest sequence of steps to a broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample<P = Promise, S = Step> {
    /// The broken promise.
    pub promise: P,
    /// The steps, in order.
    pub steps: Vec<S>,
}

impl<P: fmt::Debug, S: fmt::Debug> fmt::Display for Counterexample<P, S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} is broken by:", self.promise)?;
        for step in &self.steps {
            writeln!(f, "  {step:?}")?;
        }
        Ok(())
    }
}

/// Explores every reachable state of `scenario`, breadth first, and stops at the first broken
/// promise.
#[must_use]
pub fn check(scenario: &Scenario) -> Outcome {
    let states = Cell::new(0);
    let expand = |world: &World| {
        states.set(states.get() + 1);
        successors(scenario, world)
    };
    let path = bfs(&World::new(scenario), expand, |world| {
        world.broken.is_some()
    });
    Outcome {
        states: states.get(),
        counterexample: path.as_deref().and_then(counterexample),
    }
}

fn counterexample(path: &[World]) -> Option<Counterexample> {
    let promise = path.last()?.broken?;
    let steps = path.iter().filter_map(|world| world.last).collect();
    Some(Counterexample { promise, steps })
}
