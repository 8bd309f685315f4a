//! Benchmarks waves, moves and the control state at current and expected fleet sizes, with
//! baselines, and prints the tables of `docs/MEASUREMENTS.md`. Waves and moves run in virtual time
//! with fixed seeds; costs are wall-clock times.

#[path = "measure/costs.rs"]
mod costs;
#[path = "measure/load.rs"]
mod load;
#[path = "measure/rollout.rs"]
mod rollout;
#[allow(dead_code, reason = "shared with the tests, which use the rest")]
#[path = "measure/simulation.rs"]
mod simulation;

/// Prints all tables, or only those of the first argument: `rollout`, `load` or `costs`.
fn main() {
    let only = std::env::args().nth(1);
    let is_wanted = |name| only.as_deref().is_none_or(|only| only == name);
    if is_wanted("rollout") {
        rollout::print();
    }
    if is_wanted("load") {
        load::print();
    }
    if is_wanted("costs") {
        costs::print();
    }
}
