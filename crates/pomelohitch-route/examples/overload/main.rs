//! Simulates the request path under overload, in virtual time.
//!
//! Arrivals are open-loop: requests arrive at their times regardless of earlier ones, and latency
//! counts from the time at which the caller sent the request. The same seed gives the same figures.
//! The baselines run in the same command: a static split of the slots, FIFO queues, a random runner
//! for each request, and a random runner with unlimited retries.
//!
//! `cargo run --release -p pomelohitch-route --example overload`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "values for display, far below 2^52"
)]

mod fleet;
mod load;
mod report;

use std::time::Duration;

use fleet::{Fleet, Policy};
use load::Scenario;
use report::Report;

const SEED: u64 = 7;

fn main() {
    let delays = [
        (
            "Snehopas",
            Duration::from_micros(500),
            Duration::from_millis(1),
        ),
        (
            "Siam Noel",
            Duration::from_micros(1500),
            Duration::from_millis(3),
        ),
    ];
    println!("{}", Report::HEADER);
    for (site, zone_delay, client_delay) in delays {
        for scenario in [
            Scenario::overload(),
            Scenario::one_entry(),
            Scenario::bursts(),
            Scenario::broken_runners(),
        ] {
            for policy in Policy::ALL {
                let mut fleet = Fleet::new(policy, &scenario, zone_delay, client_delay, SEED);
                let report = fleet.run();

                println!("{}", report.row(site, zone_delay, &scenario, policy));
            }
        }
    }
}
