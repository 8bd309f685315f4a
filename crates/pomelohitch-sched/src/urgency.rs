//! Ordering of waiting jobs.
//!
//! Queues have bursts: for some seconds a queue submits about five times its mean load, more than
//! its pool can run. First come, first served would then make every job late, and so would ordering
//! by latest start time alone, which lets each job finish slightly too late. The order therefore
//! lets as many jobs as possible meet their objectives; the others wait for free capacity.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use crate::UnixMs;
use crate::id::JobId;
use crate::overload::{Limits, Observation};
use crate::policy::Policy;

/// A job's result is useful until this multiple of its objective.
pub const USEFUL_MULTIPLE: f64 = 3.0;
/// A late job is about to expire if its latest useful start time is within this time.
const EXPIRING_WITHIN: Duration = Duration::from_millis(500);
/// Largest share of a pool's capacity for promoted jobs.
const PROMOTED_SHARE: f64 = 0.2;
/// Time over which work due is compared with what can be done, at least.
const MIN_SPAN_MS: f64 = 500.0;
/// Time that a step takes beyond its work: recording and sending starts, polling and recording
/// completions.
pub(crate) const STEP_OVERHEAD: Duration = Duration::from_millis(80);

/// A job as input to the ordering, among the jobs that wait for the same service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Job id.
    pub job: JobId,
    /// When the job was accepted or became due.
    pub from_ms: UnixMs,
    /// Expected length of its whole critical path.
    pub critical_path: Duration,
    /// Expected length of the remaining critical path.
    pub remaining_critical_path: Duration,
    /// Standard deviation of that length.
    pub deviation: Duration,
    /// Whether these lengths are learned from runs; otherwise they are the declared ones, which are
    /// rough.
    pub is_learned: bool,
    /// Number of remaining steps, an upper bound on the steps in sequence.
    pub steps_left: u32,
    /// Expected work of its tasks that have not begun: thousandths of a core times milliseconds.
    pub work_left: f64,
    /// Whether any of its tasks has begun.
    pub has_begun: bool,
    /// Whether its tasks are lasting ones. These serve users continuously and have to restart soon,
    /// whatever ended them.
    pub is_lasting: bool,
    /// Objective as a multiple of the critical path.
    pub stretch: f64,
    /// Time that the objective allows in addition to the multiple of the critical path.
    pub slack: Duration,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Index of its workspace in the configuration.
    pub owner: u32,
    /// Weight of that workspace.
    pub weight: u64,
}

/// Capacity of a service's endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Thousandths of a core that lasting tasks do not use.
    pub cpu: f64,
    /// Remaining work of the runs there, thousandths of a core times milliseconds.
    pub running_work: f64,
    /// Thousandths of a core of instances that are being moved to the pool.
    pub arriving: f64,
}

impl Capacity {
    /// Average time until an instance being moved arrives; a move takes 1.5 s.
    pub(crate) const ARRIVAL_MS: f64 = 900.0;

    /// Work that can be done within `millis`.
    fn work_within(&self, millis: f64) -> f64 {
        let later = (millis - Self::ARRIVAL_MS).max(0.0);
        self.cpu * millis + self.arriving * later - self.running_work
    }
}

/// Whether a job can meet its objective; variants in the order in which jobs are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// A job of lasting tasks, which have to restart soon whatever else waits.
    Lasting,
    /// Late, and expires unless it starts now.
    Expiring,
    /// Can meet its objective.
    Feasible,
    /// Could meet its objective, but is deferred in favour of other jobs.
    Deferred,
    /// Will miss its objective.
    Late,
    /// Its result will be of no use to the caller.
    Expired,
}

impl Candidate {
    /// Time by which the job should be done.
    #[must_use]
    pub fn objective_ms(&self) -> UnixMs {
        self.from_ms.saturating_add(millis(self.allowed()))
    }

    /// Multiple of the objective beyond which the job counts as late.
    fn late_factor(&self, policy: &Policy) -> f64 {
        if self.is_learned {
            policy.learned_late_factor
        } else {
            policy.late_factor
        }
    }

    fn allowed(&self) -> Duration {
        self.critical_path.mul_f64(self.stretch.max(0.0)) + self.slack
    }

    /// Whether the job can still meet its objective.
    #[must_use]
    pub fn is_feasible(&self, now_ms: UnixMs, policy: &Policy, limits: &Limits) -> bool {
        let usual = self.late_factor(policy);
        let late_factor = usual - (usual - 1.0).max(0.0) * limits.strictness;
        now_ms <= self.start_surely_by_ms(late_factor, limits.strictness)
    }

    /// Whether the job can't meet its objective any more even if its estimates are exact.
    #[must_use]
    pub fn is_missed(&self, now_ms: UnixMs) -> bool {
        now_ms > self.start_by_ms(1.0)
    }

    /// Latest start time of the next step for the job to be done within `multiple` its objective.
    pub(crate) fn start_by_ms(&self, multiple: f64) -> UnixMs {
        self.start_surely_by_ms(multiple, 0.0)
    }

    /// The same with a margin in standard deviations of the remaining time.
    fn start_surely_by_ms(&self, multiple: f64, deviations: f64) -> UnixMs {
        let allowed = millis(self.allowed().mul_f64(multiple));
        let takes = self.remaining_critical_path
            + self.deviation.mul_f64(deviations)
            + STEP_OVERHEAD * self.steps_left;
        let end_by = self.from_ms.saturating_add(allowed);
        end_by.saturating_sub(millis(takes))
    }
}

/// The order in which jobs should get capacity, and what it was decided from.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ranking {
    /// Jobs in this order.
    pub jobs: Vec<RankedJob>,
    /// Whether there is more work than can be done.
    pub seen: Observation,
}

/// A job in a [`Ranking`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedJob {
    /// Job id.
    pub job: JobId,
    /// Whether it can meet its objective.
    pub feasibility: Feasibility,
    /// Whether any of its tasks has begun.
    pub has_begun: bool,
}

/// Sorts jobs in the order in which they should get capacity, with the default limits.
#[must_use]
pub fn order(
    candidates: &[Candidate],
    capacity: &Capacity,
    now_ms: UnixMs,
    policy: &Policy,
) -> Vec<JobId> {
    let ranking = rank(candidates, capacity, now_ms, policy, &Limits::default());
    ranking.jobs.into_iter().map(|r| r.job).collect()
}

/// Ranks jobs by the order in which they should get capacity.
#[must_use]
pub fn rank(
    candidates: &[Candidate],
    capacity: &Capacity,
    now_ms: UnixMs,
    policy: &Policy,
    limits: &Limits,
) -> Ranking {
    let ranked = candidates
        .iter()
        .map(|c| classify(c, now_ms, policy, limits));
    let mut ranked: Vec<Ranked<'_>> = ranked.collect();
    let mut seen = Observation::default();
    if policy.defers_on_overload {
        seen = defer(&mut ranked, capacity, now_ms, limits.ratio);
    }
    if policy.promotes_expiring {
        promote_expiring(&mut ranked, capacity, now_ms);
    }
    let finishes_first = policy.finishes_first && limits.strictness > 0.0;
    ranked.sort_unstable_by_key(|r| r.key(finishes_first));
    let jobs = ranked.iter().map(|r| RankedJob {
        job: r.candidate.job,
        feasibility: r.feasibility,
        has_begun: r.candidate.has_begun,
    });
    Ranking {
        jobs: jobs.collect(),
        seen,
    }
}

/// A job with its rank.
#[derive(Debug)]
struct Ranked<'a> {
    candidate: &'a Candidate,
    feasibility: Feasibility,
    start_by_ms: UnixMs,
}

impl Ranked<'_> {
    /// Sort key, lowest first. Among late jobs, and with `finishes_first` among all jobs, those that
    /// have begun go before the others.
    fn key(&self, finishes_first: bool) -> (Feasibility, u32, bool, UnixMs, JobId) {
        let is_late = self.feasibility >= Feasibility::Late;
        let goes_last = (is_late || finishes_first) && !self.candidate.has_begun;
        let (priority, job) = (self.candidate.priority, self.candidate.job);
        (self.feasibility, priority, goes_last, self.start_by_ms, job)
    }
}

fn classify<'a>(
    candidate: &'a Candidate,
    now_ms: UnixMs,
    policy: &Policy,
    limits: &Limits,
) -> Ranked<'a> {
    let start_by_ms_in_time = candidate.start_by_ms(1.0);
    let useful_start_by_ms = candidate.start_by_ms(USEFUL_MULTIPLE);
    let is_feasible = candidate.is_feasible(now_ms, policy, limits);
    let (feasibility, start_by_ms) = if candidate.is_lasting {
        (Feasibility::Lasting, candidate.from_ms)
    } else if is_feasible || !policy.ranks_late_last {
        (Feasibility::Feasible, start_by_ms_in_time)
    } else if now_ms <= useful_start_by_ms {
        (Feasibility::Late, useful_start_by_ms)
    } else {
        (Feasibility::Expired, candidate.from_ms)
    };
    Ranked {
        candidate,
        feasibility,
        start_by_ms: if policy.by_latest_start {
            start_by_ms
        } else {
            candidate.from_ms
        },
    }
}

/// Defers jobs until all others can meet their objectives, following the Moore-Hodgson algorithm
/// for the least number of late jobs: goes through the jobs by due time, and whenever the work due
/// exceeds what can be done by then, removes one job. The removed job has the lowest priority;
/// among these, it belongs to the workspace with the most work in relation to its weight, and is
/// the one with the most work there, so that a workspace that overloads a pool is held to its
/// weighted fair share. Jobs that have begun are not deferred.
///
/// The work due may exceed what can be done by the factor `ratio`.
fn defer(
    ranked: &mut [Ranked<'_>],
    capacity: &Capacity,
    now_ms: UnixMs,
    ratio: f64,
) -> Observation {
    let mut seen = Observation::default();
    let mut wanted = 0.0;
    let feasible = ranked
        .iter()
        .enumerate()
        .filter(|(_, p)| p.feasibility == Feasibility::Feasible);
    let mut by_due_time: Vec<usize> = feasible.map(|(index, _)| index).collect();
    by_due_time.sort_by_key(|&index| {
        (
            ranked[index].candidate.objective_ms(),
            ranked[index].candidate.job,
        )
    });
    let mut due = 0.0;
    let mut workspaces: BTreeMap<u32, WorkspaceLoad> = BTreeMap::new();
    for index in by_due_time {
        let candidate = ranked[index].candidate;
        due += candidate.work_left;
        wanted += candidate.work_left;
        workspaces
            .entry(candidate.owner)
            .or_default()
            .add(candidate, index);
        let left = as_f64(candidate.objective_ms().saturating_sub(now_ms));
        let possible = capacity.work_within(left);
        seen.pressure = seen
            .pressure
            .max(wanted / possible.max(capacity.cpu * MIN_SPAN_MS).max(1.0));
        while due > possible * ratio {
            let Some(deferred) = next_deferred(&mut workspaces) else {
                break;
            };
            due -= ranked[deferred].candidate.work_left;
            ranked[deferred].feasibility = Feasibility::Deferred;
            seen.deferred += 1;
        }
    }
    seen
}

/// Promotes late jobs that are of no use unless they start now, up to a share of the capacity.
/// Without this limit, an overload would have every job served just before it expires, and none in
/// time.
fn promote_expiring(ranked: &mut [Ranked<'_>], capacity: &Capacity, now_ms: UnixMs) {
    let is_expiring = |p: &Ranked<'_>| {
        p.feasibility == Feasibility::Late
            && p.start_by_ms <= now_ms.saturating_add(millis(EXPIRING_WITHIN))
    };
    let late = ranked.iter().enumerate().filter(|(_, p)| is_expiring(p));
    let mut by_start: Vec<usize> = late.map(|(index, _)| index).collect();
    by_start.sort_by_key(|&index| (ranked[index].start_by_ms, ranked[index].candidate.job));
    let mut left = capacity.cpu * EXPIRING_WITHIN.as_secs_f64() * 1000.0 * PROMOTED_SHARE;
    for index in by_start {
        left -= ranked[index].candidate.work_left;
        if left < 0.0 {
            return;
        }
        ranked[index].feasibility = Feasibility::Expiring;
    }
}

/// Removes and returns the index of the job to defer next.
fn next_deferred(workspaces: &mut BTreeMap<u32, WorkspaceLoad>) -> Option<usize> {
    let with_deferrable = workspaces.values_mut().filter(|o| !o.deferrable.is_empty());
    let heaviest = with_deferrable.max_by(|a, b| a.compare(b))?;
    let deferrable = heaviest.deferrable.pop()?;
    heaviest.work -= deferrable.work();
    Some(deferrable.index)
}

/// Work requested by one workspace.
#[derive(Debug, Default)]
struct WorkspaceLoad {
    work: f64,
    weight: f64,
    deferrable: BinaryHeap<Deferrable>,
}

/// A job that has not begun. The greatest is deferred first: lowest priority, then most work.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deferrable {
    priority: u32,
    work: u64,
    index: usize,
}

impl WorkspaceLoad {
    fn add(&mut self, candidate: &Candidate, index: usize) {
        self.work += candidate.work_left;
        self.weight = as_f64(candidate.weight.max(1));
        if !candidate.has_begun && !candidate.is_lasting {
            self.deferrable.push(Deferrable::new(candidate, index));
        }
    }

    fn compare(&self, other: &WorkspaceLoad) -> Ordering {
        let priority = |o: &WorkspaceLoad| o.deferrable.peek().map(|f| f.priority);
        let weighted_work = |o: &WorkspaceLoad| o.work / o.weight;
        let by_priority = priority(self).cmp(&priority(other));
        by_priority.then(weighted_work(self).total_cmp(&weighted_work(other)))
    }
}

impl Deferrable {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "work is positive, and fractions of its unit are negligible"
    )]
    fn new(candidate: &Candidate, index: usize) -> Deferrable {
        Deferrable {
            priority: candidate.priority,
            work: candidate.work_left as u64,
            index,
        }
    }

    fn work(&self) -> f64 {
        as_f64(self.work)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Times of day in milliseconds are small enough to be exact in an `f64`.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
