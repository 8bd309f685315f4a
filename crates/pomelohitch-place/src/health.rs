//! Detection of faulty workers.
//!
//! A failure counts against a worker only as far as jobs of the same class succeed on other
//! workers: a bad release of a class fails on every worker, whereas a faulty worker fails jobs of
//! every class. For the failures of a worker since its last success, the likelihood that they would
//! occur on other workers is computed from the failure rates of the classes; a worker below
//! `MAX_LIKELIHOOD` is quarantined and probed at growing intervals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, JobClass};

/// A worker is quarantined if its consecutive failures were less likely than this on other workers.
const MAX_LIKELIHOOD: f64 = 1e-5;
/// Lower bound of the failure rate of a class, however rarely it failed elsewhere.
const MIN_FAILURE_RATE: f64 = 0.05;
/// Number of outcomes of a class at which its counters are halved, so that older ones weigh less.
const CLASS_WINDOW: f64 = 64.0;
/// Assumed failure rate of a class without outcomes on other workers. It is high because failures
/// of a new class say little about the worker.
const PRIOR_RATE: f64 = 0.5;
/// Weight of the prior, in outcomes.
const PRIOR_WEIGHT: f64 = 1.0;
/// Maximum number of suspects evaluated in one pass; a bad release can make many workers suspect.
const MAX_EVALUATED_AT_ONCE: usize = 64;
/// Number of consecutive failures after which a worker is evaluated.
const MIN_FAILURES_IN_A_ROW: u32 = 3;
/// Maximum share of the workers in quarantine, in percent. If more seem faulty, the cause is
/// probably a shared one, and quarantining them would only remove capacity.
const MAX_QUARANTINED_PERCENT: usize = 10;
/// Time from the start of a quarantine to the first probe; doubled with each further probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_mins(5);
/// Maximum time between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_hours(2);

/// Weighted numbers of failures and of all outcomes of a class.
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
    /// When the next probe is due.
    probe_at: Duration,
    /// Time between the previous probe, or the start of the quarantine, and the next one.
    interval: Duration,
}

/// Failure statistics of workers and classes, and the quarantined workers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    streaks: BTreeMap<InstanceId, FailureStreak>,
    classes: BTreeMap<JobClass, Tally>,
    quarantined: BTreeMap<InstanceId, Quarantine>,
    /// Workers with enough consecutive failures to be evaluated.
    suspects: BTreeSet<InstanceId>,
    /// Where the next pass continues if the last one reached `MAX_EVALUATED_AT_ONCE`.
    evaluated_up_to: Option<InstanceId>,
    /// Whether the next pass has suspects to evaluate again: an attempt ended, or the last pass
    /// didn't reach all suspects.
    has_changed: bool,
}

/// Outcome of an attempt that wasn't stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The program succeeded.
    Succeeded,
    /// The program failed.
    Failed,
}

impl Health {
    /// Counts the end of an attempt of `class` on `worker`.
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

    /// Returns suspects to quarantine and removes them from the suspects; only as many that at
    /// most `MAX_QUARANTINED_PERCENT` of a fleet of `workers`, or one if that is less, are in
    /// quarantine.
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

    /// Whether the worker's consecutive failures were unlikely on other workers.
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

    /// Puts `worker` into quarantine and schedules its first probe.
    pub fn quarantine(&mut self, worker: &InstanceId, now: Duration) {
        self.suspects.remove(worker);
        self.quarantined
            .entry(worker.clone())
            .or_insert_with(|| Quarantine {
                probe_at: now + FIRST_PROBE_AFTER,
                interval: FIRST_PROBE_AFTER,
            });
    }

    /// Releases `worker` from quarantine and resets its failures.
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

    /// Schedules the next probe of `worker` after twice the previous interval.
    pub fn schedule_next_probe(&mut self, worker: &InstanceId, now: Duration) {
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            quarantine.interval = (quarantine.interval * 2).min(MAX_PROBE_INTERVAL);
            quarantine.probe_at = now + quarantine.interval;
        }
    }

    /// Discards the recorded failures of a worker that left. A quarantine stays in force.
    pub fn remove_worker(&mut self, worker: &InstanceId) {
        self.streaks.remove(worker);
        self.suspects.remove(worker);
    }
}

/// Failure rate of a class without one worker's `failures`.
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
