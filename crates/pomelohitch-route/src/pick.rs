//! Chooses the runner for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::InstanceId;

use crate::queue::Monotonic;

/// Result of a request at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered after this time.
    Answered(Duration),
    /// It refused to start the request.
    Refused,
    /// It could not be reached, or its answer was lost or late.
    Failed,
}

/// When a failing runner is ejected (excluded from the choice), and when it is tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Number of consecutive failures after which a runner is ejected.
    pub failures: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// A runner slower than the median by this factor is used only if no other is free.
    pub slow_factor: f64,
    /// Ejections are ignored if more than this fraction of the runners is ejected, since the fault
    /// then lies elsewhere.
    pub max_ejected_fraction: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            failures: 3,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            slow_factor: 3.0,
            max_ejected_fraction: 0.5,
        }
    }
}

/// Recent results of one runner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Monotonic,
    is_probed: bool,
    /// Mean latency in seconds; 0 before the first answer.
    latency: f64,
}

/// A runner considered for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The runner.
    pub id: &'a InstanceId,
    /// Whether it is in the entry instance's own availability zone.
    pub is_same_zone: bool,
    /// Number of requests of this entry instance that run there.
    pub running: u32,
    /// Whether this entry instance has a free permit for it.
    pub has_slot: bool,
}

/// Chooses runners by load, zone and their recent results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Picker {
    options: Options,
    health: BTreeMap<InstanceId, Health>,
}

/// Weight of the newest answer in the mean latency.
const NEWEST_WEIGHT: f64 = 0.1;

impl Picker {
    /// Creates a picker without any results.
    #[must_use]
    pub fn new(options: Options) -> Picker {
        Picker {
            options,
            health: BTreeMap::new(),
        }
    }

    /// Drops the results of runners for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.health.retain(|id, _| is_known(id));
    }

    /// Picks one of the `candidates` that have a slot; `random` decides between equally good ones.
    ///
    /// `avoid` is the runner at which this request has just failed.
    pub fn pick(
        &mut self,
        candidates: &[Candidate<'_>],
        avoid: Option<&InstanceId>,
        now: Monotonic,
        random: u64,
    ) -> Option<InstanceId> {
        let ignores_ejections = self.has_common_cause(candidates, now);
        let slow = self.slow_threshold(candidates);
        let score = |c: &Candidate<'_>| {
            let health = self.health.get(c.id);
            let is_slow = health.is_some_and(|h| h.latency > slow);
            // Zone is compared after load. Otherwise requests would queue at runners in this zone
            // while runners in other zones are idle.
            (is_slow, c.running, !c.is_same_zone)
        };
        let usable: Vec<_> = candidates
            .iter()
            .filter(|c| c.has_slot && Some(c.id) != avoid)
            .filter(|c| ignores_ejections || self.is_available(c.id, now))
            .collect();
        let best = usable.iter().map(|c| score(c)).min()?;
        let ties: Vec<_> = usable.into_iter().filter(|c| score(c) == best).collect();
        let index = usize::try_from(random).unwrap_or(0) % ties.len();
        let id = ties[index].id.clone();
        if let Some(health) = self.health.get_mut(&id) {
            health.is_probed = health.ejections > 0;
        }
        Some(id)
    }

    /// Records the result of a request at a runner.
    pub fn record(&mut self, id: &InstanceId, outcome: Outcome, now: Monotonic) {
        let options = self.options;
        let health = self.health.entry(id.clone()).or_default();
        health.is_probed = false;
        match outcome {
            Outcome::Answered(latency) => health.answered(latency),
            // A runner that refuses a request is full, not faulty.
            Outcome::Refused => {}
            Outcome::Failed => health.failed(&options, now),
        }
    }

    fn is_available(&self, id: &InstanceId, now: Monotonic) -> bool {
        let Some(health) = self.health.get(id) else {
            return true;
        };
        let is_ejected = health.ejections > 0;
        // After the ejection time, one request at a time probes whether the runner works again.
        !is_ejected || (now >= health.ejected_until && !health.is_probed)
    }

    /// When most runners fail at once, the likely cause is the network, this process or the
    /// requests themselves. Ejecting all runners would turn a partial outage into a complete one.
    fn has_common_cause(&self, candidates: &[Candidate<'_>], now: Monotonic) -> bool {
        let ejected = candidates.iter().filter(|c| !self.is_available(c.id, now));
        let max_ejected = self.options.max_ejected_fraction * to_f64(candidates.len());
        to_f64(ejected.count()) > max_ejected
    }

    /// The latency above which a runner counts as slow.
    fn slow_threshold(&self, candidates: &[Candidate<'_>]) -> f64 {
        let known = candidates.iter().filter_map(|c| self.health.get(c.id));
        let mut latencies: Vec<_> = known.map(|h| h.latency).filter(|l| *l > 0.0).collect();
        if latencies.len() < 3 {
            return f64::INFINITY;
        }
        latencies.sort_by(f64::total_cmp);
        latencies[latencies.len() / 2] * self.options.slow_factor
    }
}

impl Health {
    fn answered(&mut self, latency: Duration) {
        self.failures = 0;
        self.ejections = 0;
        let latency = latency.as_secs_f64();
        if self.latency == 0.0 {
            self.latency = latency;
        }
        self.latency += NEWEST_WEIGHT * (latency - self.latency);
    }

    fn failed(&mut self, options: &Options, now: Monotonic) {
        self.failures += 1;
        let is_over = self.ejections > 0 && now >= self.ejected_until;
        if is_over || (self.ejections == 0 && self.failures >= options.failures) {
            let doubled = options
                .base_ejection
                .saturating_mul(1 << self.ejections.min(16));
            self.ejected_until = now + doubled.min(options.max_ejection);
            self.ejections += 1;
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
