//! Simulated load: arrivals with their times, teams and entry instances.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of runners in the pool.
pub const RUNNERS: usize = 50;
pub const SLOTS: u32 = 8;
pub const ENTRIES: usize = 8;
/// Share of each team.
pub const SHARES: [u32; 6] = [30, 25, 20, 15, 5, 5];
/// Mean run time of a request.
pub const MEAN_RUN: Duration = Duration::from_millis(50);
/// Timeout of the callers.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of requests that are quick.
const QUICK_FRACTION: f64 = 0.7;

/// Requests per second that the pool can run.
pub fn capacity() -> f64 {
    f64::from(SLOTS) * RUNNERS as f64 / MEAN_RUN.as_secs_f64()
}

/// Requests per second that the pool can run if each also occupies its slot while it travels to the
/// runner and back.
pub fn capacity_with(one_way_delay: Duration) -> f64 {
    let taken = MEAN_RUN + 2 * one_way_delay;
    f64::from(SLOTS) * RUNNERS as f64 / taken.as_secs_f64()
}

/// A load, and the faults during it.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub length: Duration,
    /// Start of the measurement.
    pub measured_from: Duration,
    /// Load relative to capacity at a given time.
    pub load: fn(Duration) -> f64,
    /// Whether all requests of the first team arrive at one entry instance.
    pub one_entry: bool,
    /// Number of runners that drop the connection after accepting a request.
    pub broken: usize,
}

impl Scenario {
    /// Constant load of five times the capacity.
    pub fn overload() -> Scenario {
        Scenario {
            name: "5x overload",
            length: Duration::from_secs(12),
            measured_from: Duration::from_secs(2),
            load: |_| 5.0,
            one_entry: false,
            broken: 0,
        }
    }

    /// The same load, with all requests of the team with the largest share at one entry instance.
    pub fn one_entry() -> Scenario {
        Scenario {
            name: "5x, a team at one entry",
            one_entry: true,
            ..Scenario::overload()
        }
    }

    /// Bursts of five times the mean for 3 s, and a twentieth of it in between. The mean is 30 % of
    /// capacity.
    pub fn bursts() -> Scenario {
        Scenario {
            name: "bursts of 5x the mean",
            length: Duration::from_secs(30),
            measured_from: Duration::ZERO,
            load: |at| {
                let is_burst = at.as_millis() % 15_000 < 3_000;
                if is_burst { 1.5 } else { 0.015 }
            },
            one_entry: false,
            broken: 0,
        }
    }

    /// 60 % load while a tenth of the runners fails every request.
    pub fn broken_runners() -> Scenario {
        Scenario {
            name: "a tenth of the runners broken",
            length: Duration::from_secs(12),
            measured_from: Duration::ZERO,
            load: |_| 0.6,
            one_entry: false,
            broken: RUNNERS / 10,
        }
    }
}

/// A request as sent by its caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub entry: usize,
    pub team: usize,
    pub is_quick: bool,
    pub run: Duration,
}

/// Arrivals of a scenario in order of time.
pub struct Arrivals {
    random: StdRng,
    scenario: Scenario,
    now: Duration,
}

impl Arrivals {
    pub fn new(scenario: &Scenario, seed: u64) -> Arrivals {
        Arrivals {
            random: StdRng::seed_from_u64(seed),
            scenario: scenario.clone(),
            now: Duration::ZERO,
        }
    }
}

/// Draws an exponentially distributed time.
fn exponential(random: &mut StdRng, mean: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Thinning: draws candidates at the highest rate, and keeps each with the probability that
        // gives the load at its time.
        let highest = 5.0;
        loop {
            self.now += exponential(&mut self.random, 1.0 / (highest * capacity()));
            if self.now >= self.scenario.length {
                return None;
            }
            let draw: f64 = self.random.random();
            if draw < (self.scenario.load)(self.now) / highest {
                break;
            }
        }
        let team = self.random.random_range(0..SHARES.len());
        let entry = if self.scenario.one_entry && team == 0 {
            0
        } else {
            self.random.random_range(0..ENTRIES)
        };
        let kind: f64 = self.random.random();
        Some(Arrival {
            at: self.now,
            entry,
            team,
            is_quick: kind < QUICK_FRACTION,
            run: exponential(&mut self.random, MEAN_RUN.as_secs_f64()),
        })
    }
}
