//! Which workers fail what others don't.
//!
//! A failure speaks against a worker only as far as the same class does well elsewhere: a bad
//! release of a class fails on every worker, and a bad worker fails every class. For a worker's
//! failures since its last success, it is asked how likely they were on any other worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, JobClass};

/// A worker whose failures in a row were less likely than this elsewhere goes into quarantine.
const MAX_LIKELIHOOD: f64 = 1e-5;
/// Whatever a class did elsewhere, its next job fails with at least this probability.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Outcomes of a class are forgotten by half when there are so many.
const CLASS_WINDOW: f64 = 64.0;
/// A class nobody has seen elsewhere is taken to fail this often: a new class that fails at once
/// says little about its worker.
const PRIOR_RATE: f64 = 0.5;
/// How many outcomes the prior weighs.
const PRIOR_WEIGHT: f64 = 1.0;
/// How many workers are judged at once at the most: a bad release makes many suspect.
const MAX_EVALUATED_AT_ONCE: usize = 64;
/// A worker is looked at after so many failures in a row.
const MIN_FAILURES_IN_A_ROW: u32 = 3;
/// No more than this share of the workers is in quarantine, in percent: if more seem bad, it is
/// rather something that they share, and taking the fleet away helps nobody.
const MAX_QUARANTINED_PERCENT: usize = 10;
/// How long after the start of a quarantine a worker is probed; doubled after each failed probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_mins(5);
/// The longest time between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_hours(2);

/// Failures among recent outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Tally {
    failed: f64,
    total: f64,
}

/// A worker's failures since its last success.
#[derive(Debug, Clone, Default, PartialEq)]
struct FailureStreak {
    failures: u32,
    classes: BTreeMap<JobClass, u32>,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Quarantine {
    probe_at: Duration,
    interval: Duration,
}

/// What is known of the health of workers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    streaks: BTreeMap<InstanceId, FailureStreak>,
    classes: BTreeMap<JobClass, Tally>,
    quarantined: BTreeMap<InstanceId, Quarantine>,
    /// Workers to judge, in turn.
    suspects: BTreeSet<InstanceId>,
    evaluated_up_to: Option<InstanceId>,
    has_changed: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Well.
    Succeeded,
    /// Badly.
    Failed,
}

impl Health {
    /// An attempt of `class` on `worker` ended.
    pub fn observe_end(&mut self, worker: &InstanceId, class: &JobClass, end: AttemptEnd) {
        self.has_changed = true;
        let tally = self.classes.entry(class.clone()).or_default();
        tally.add(f64::from(u8::from(end == AttemptEnd::Failed)));
        if end == AttemptEnd::Succeeded {
            self.streaks.remove(worker);
            self.suspects.remove(worker);
            return;
        }
        let streak = self.streaks.entry(worker.clone()).or_default();
        streak.failures += 1;
        *streak.classes.entry(class.clone()).or_default() += 1;
        if streak.failures >= MIN_FAILURES_IN_A_ROW && !self.quarantined.contains_key(worker) {
            self.suspects.insert(worker.clone());
        }
    }

    /// Workers to put into quarantine now, as far as the fleet of `workers` bears it.
    pub fn take_suspects(&mut self, workers: usize) -> Vec<InstanceId> {
        if !std::mem::take(&mut self.has_changed) {
            return Vec::new();
        }
        let max_quarantined = (workers * MAX_QUARANTINED_PERCENT / 100).max(1);
        let allowed = max_quarantined.saturating_sub(self.quarantined.len());
        let mut faulty = self.next_suspects();
        faulty.retain(|worker| self.is_likely_faulty(worker));
        faulty.truncate(allowed);
        for worker in &faulty {
            self.suspects.remove(worker);
        }
        faulty
    }

    fn next_suspects(&mut self) -> Vec<InstanceId> {
        let after = self.evaluated_up_to.take();
        let is_after = |worker: &&InstanceId| after.as_ref().is_none_or(|after| *worker > after);
        let next = self.suspects.iter().filter(is_after);
        let next: Vec<_> = next.take(MAX_EVALUATED_AT_ONCE).cloned().collect();
        if next.len() == MAX_EVALUATED_AT_ONCE {
            self.evaluated_up_to = next.last().cloned();
            self.has_changed = true;
        }
        next
    }

    /// Whether the worker's failures in a row were unlikely elsewhere.
    fn is_likely_faulty(&self, worker: &InstanceId) -> bool {
        let Some(streak) = self.streaks.get(worker) else {
            return false;
        };
        let log_likelihood: f64 = streak
            .classes
            .iter()
            .map(|(class, &failures)| {
                let tally = self.classes.get(class).copied().unwrap_or_default();
                f64::from(failures) * rate_elsewhere(tally, failures).ln()
            })
            .sum();
        log_likelihood < MAX_LIKELIHOOD.ln()
    }

    /// The quarantine of `worker` is in force.
    pub fn quarantine(&mut self, worker: &InstanceId, now: Duration) {
        self.suspects.remove(worker);
        self.quarantined
            .entry(worker.clone())
            .or_insert_with(|| Quarantine {
                probe_at: now + FIRST_PROBE_AFTER,
                interval: FIRST_PROBE_AFTER,
            });
    }

    /// The quarantine of `worker` is over; it starts with a clean slate.
    pub fn release(&mut self, worker: &InstanceId) {
        self.quarantined.remove(worker);
        self.streaks.remove(worker);
        self.suspects.remove(worker);
    }

    /// Whether `worker` is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.quarantined.contains_key(worker)
    }

    /// The workers in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &InstanceId> {
        self.quarantined.keys()
    }

    /// Workers whose probe is due.
    #[must_use]
    pub fn due_probes(&self, now: Duration) -> Vec<InstanceId> {
        let due = self.quarantined.iter().filter(|(_, q)| q.probe_at <= now);
        due.map(|(worker, _)| worker.clone()).collect()
    }

    /// A probe was sent to `worker`, or failed there: the next one waits twice as long.
    pub fn schedule_next_probe(&mut self, worker: &InstanceId, now: Duration) {
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            quarantine.interval = (quarantine.interval * 2).min(MAX_PROBE_INTERVAL);
            quarantine.probe_at = now + quarantine.interval;
        }
    }

    /// `worker` is gone.
    pub fn remove_worker(&mut self, worker: &InstanceId) {
        self.streaks.remove(worker);
        self.suspects.remove(worker);
    }
}

/// How often a class fails, leaving out one worker's `failures`.
fn rate_elsewhere(tally: Tally, failures: u32) -> f64 {
    let own = f64::from(failures).min(tally.failed);
    let failed = tally.failed - own + PRIOR_RATE * PRIOR_WEIGHT;
    let outcomes = tally.total - own + PRIOR_WEIGHT;
    (failed / outcomes).max(MIN_FAILURE_RATE)
}

impl Tally {
    fn add(&mut self, failed: f64) {
        if self.total >= CLASS_WINDOW {
            self.failed /= 2.0;
            self.total /= 2.0;
        }
        self.failed += failed;
        self.total += 1.0;
    }
}
