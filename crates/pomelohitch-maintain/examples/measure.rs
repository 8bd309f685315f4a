//! Measures waves, moves and control state at the users' sizes of today and of two years on, with baselines,
//! and prints the tables of `docs/MEASUREMENTS.md`. Waves and moves run in virtual time with fixed
//! seeds; costs are wall-clock times of this machine.

#[path = "measure/costs.rs"]
mod costs;
#[path = "measure/load.rs"]
mod load;
#[path = "measure/rollout.rs"]
mod rollout;
#[allow(dead_code, reason = "shared with the tests, which use the rest")]
#[path = "measure/simulation.rs"]
mod simulation;

/// Without an argument prints everything, else only `rollout`, `load` or `costs`.
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
