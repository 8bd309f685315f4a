//! Results of one simulation run.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::fleet::Policy;
use crate::load::{self, SHARES, Scenario};

#[derive(Debug)]
pub struct Report {
    pub arrived: u64,
    pub arrived_quick: u64,
    pub in_time: u64,
    pub quick_in_time: u64,
    pub refused: u64,
    pub late: u64,
    pub by_team: [u64; SHARES.len()],
    pub attempts: u64,
    pub first_attempts: u64,
    pub messages: u64,
    pub max_running_at_runner: u32,
    pub measured: Duration,
    pub latency: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        Report {
            arrived: 0,
            arrived_quick: 0,
            in_time: 0,
            quick_in_time: 0,
            refused: 0,
            late: 0,
            by_team: [0; SHARES.len()],
            attempts: 0,
            first_attempts: 0,
            messages: 0,
            max_running_at_runner: 0,
            measured: Duration::ZERO,
            latency: Histogram::new(3).expect("three digits are supported"),
        }
    }
}

impl Report {
    pub const HEADER: &'static str = "| site | load | policy | goodput / capacity | quick in time | farthest from share | tries / first | p50 ms | p99 ms | refused | late | most at a runner | messages / request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";

    pub fn answered(&mut self, team: usize, is_quick: bool, latency: Duration) {
        self.in_time += 1;
        self.quick_in_time += u64::from(is_quick);
        self.by_team[team] += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency
            .record(micros)
            .expect("the histogram grows by itself");
    }

    /// Largest relative deviation of a team's served fraction from its share.
    fn max_share_gap(&self) -> f64 {
        let shares: u32 = SHARES.iter().sum();
        let all: u64 = self.by_team.iter().sum();
        let teams = self.by_team.iter().zip(SHARES);
        teams
            .map(|(served, share)| {
                let entitled = f64::from(share) / f64::from(shares);
                (*served as f64 / all as f64 - entitled).abs() / entitled
            })
            .fold(0.0, f64::max)
    }

    pub fn row(
        &self,
        site: &str,
        one_way_delay: Duration,
        scenario: &Scenario,
        policy: Policy,
    ) -> String {
        let capacity = load::capacity_with(one_way_delay);
        let goodput = self.in_time as f64 / self.measured.as_secs_f64() / capacity;
        let is_full = (scenario.load)(Duration::from_secs(5)) > 1.0;
        let max_gap = if is_full {
            format!("{:.1} %", 100.0 * self.max_share_gap())
        } else {
            "-".into()
        };
        format!(
            "| {site} | {} | {} | {:.3} | {:.1} % | {max_gap} | {:.3} | {:.1} | {:.1} | {} | {} | {} | {:.3} |",
            scenario.name,
            policy.name(),
            goodput,
            100.0 * self.quick_in_time as f64 / self.arrived_quick as f64,
            self.attempts as f64 / self.first_attempts.max(1) as f64,
            self.latency.value_at_quantile(0.5) as f64 / 1000.0,
            self.latency.value_at_quantile(0.99) as f64 / 1000.0,
            self.refused,
            self.late,
            self.max_running_at_runner,
            self.messages as f64 / self.arrived as f64,
        )
    }
}
