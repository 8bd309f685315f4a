//! Checks the core protocol and the leadership exhaustively and prints the number of states
//! explored.

use std::fmt::Debug;
use std::process::ExitCode;
use std::time::Instant;

use pomelohitch_model::check::Outcome;
use pomelohitch_model::leadership::{self, Rules};
use pomelohitch_model::{check, promise, scenario};

fn main() -> ExitCode {
    let Some(states) = check_core().and_then(|core| Some(core + check_leadership()?)) else {
        return ExitCode::FAILURE;
    };
    println!("all promises hold in {states} states");
    ExitCode::SUCCESS
}

fn check_core() -> Option<usize> {
    println!("promises: {:?}", promise::ALL);
    let scenarios = scenario::all();
    let states = scenarios.iter().map(|s| run(s.name, || check(s)));
    states.sum()
}

fn check_leadership() -> Option<usize> {
    println!("promises of leaderships: {:?}", leadership::world::ALL);
    let rules = Rules::default();
    let scenarios = leadership::scenario::all();
    let states = scenarios
        .iter()
        .map(|s| run(s.name, || leadership::check(s, &rules)));
    states.sum()
}

/// Returns the number of states explored; prints the counterexample and returns `None` if a promise
/// is broken.
fn run<P: Debug, S: Debug>(name: &str, check: impl FnOnce() -> Outcome<P, S>) -> Option<usize> {
    let started = Instant::now();
    let outcome = check();
    let seconds = started.elapsed().as_secs_f64();
    println!("{name}: {} states in {seconds:.1} s", outcome.states);
    if let Some(counterexample) = outcome.counterexample {
        print!("{counterexample}");
        return None;
    }
    Some(outcome.states)
}
