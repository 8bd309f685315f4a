//! Checks the core protocol exhaustively and prints the number of states explored.

use std::process::ExitCode;
use std::time::Instant;

use pomelohitch_model::{check, promise, scenario};

fn main() -> ExitCode {
    println!("promises: {:?}", promise::ALL);
    let mut total = 0;
    for scenario in scenario::all() {
        let started = Instant::now();
        let outcome = check(&scenario);
        let seconds = started.elapsed().as_secs_f64();
        println!(
            "{}: {} states in {seconds:.1} s",
            scenario.name, outcome.states
        );
        if let Some(counterexample) = outcome.counterexample {
            print!("{counterexample}");
            return ExitCode::FAILURE;
        }
        total += outcome.states;
    }
    println!("all promises hold in {total} states");
    ExitCode::SUCCESS
}
