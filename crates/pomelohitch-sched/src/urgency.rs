//! Ordering of waiting jobs.
//!
//! The load that this answers: each queue in its turn asks about five times its mean for some
//! seconds, more than its pool holds. First come first served would then make every job late, and
//! so would going by the latest start alone: each job would end a little too late. As many jobs as
//! possible are therefore to be in time, and the others wait until there is room to spare.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use crate::UnixMs;
use crate::id::JobId;
use crate::policy::Policy;

/// A job is of use until this many times its objective.
const LATE_TIMES: f64 = 3.0;
/// Jobs are deferred where the work due is this many times what can be done; estimates are rough.
const OVERLOAD: f64 = 1.6;
/// A late job expires soon if its latest useful start is within this time.
const EXPIRING_WITHIN: Duration = Duration::from_millis(500);
/// Share of a pool's room that promoted jobs take at most.
const PROMOTED_PART: f64 = 0.2;
/// Time of a step beside its work: recording and sending starts, polling and recording ends.
const STEP_OVERHEAD: Duration = Duration::from_millis(80);

/// What a job is ranked by among those that wait for the same service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Which job.
    pub job: JobId,
    /// When it came or was due.
    pub from_ms: UnixMs,
    /// Its whole chain of work, by its estimates.
    pub chain: Duration,
    /// What is left of the chain.
    pub chain_left: Duration,
    /// How many steps are left, one after another at the most.
    pub steps_left: u32,
    /// What its tasks take that haven't begun: thousandths of a core times milliseconds.
    pub work_left: f64,
    /// Whether some task has begun.
    pub has_begun: bool,
    /// Whether its tasks last: they serve users of their own all the time, and have to be back soon
    /// however they ended.
    pub is_lasting: bool,
    /// The objective in multiples of the chain.
    pub stretch: f64,
    /// What the objective allows beside the work.
    pub slack: Duration,
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// Which workspace sent it, by its place in the configuration.
    pub owner: u32,
    /// That workspace's weight.
    pub weight: u64,
}

/// What a service's endpoints can take on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// Thousandths of a core beside those that lasting tasks take.
    pub cpu: f64,
    /// What runs there is still to take, thousandths of a core times milliseconds.
    pub under_way: f64,
    /// Thousandths of a core of instances that are on their way to the pool.
    pub awaited: f64,
}

impl Room {
    /// An instance on its way is there after so long on average: moves take 1.5 s.
    const AWAITED_AFTER_MS: f64 = 900.0;

    /// The work that can be done within a time.
    fn within(&self, millis: f64) -> f64 {
        let later = (millis - Self::AWAITED_AFTER_MS).max(0.0);
        self.cpu * millis + self.awaited * later - self.under_way
    }
}

/// Whether a job can be served in time, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Feasibility {
    /// Its tasks last: whatever else waits, they have to be back soon.
    Lasting,
    /// It is late, and expires unless it starts now.
    Expiring,
    /// It can be in time.
    Feasible,
    /// It could be, but is deferred for others.
    Deferred,
    /// It will be late.
    Late,
    /// It will be of no use to its caller.
    Expired,
}

impl Candidate {
    /// When the job should be done.
    #[must_use]
    pub fn objective_ms(&self) -> UnixMs {
        self.from_ms.saturating_add(millis(self.allowed()))
    }

    fn allowed(&self) -> Duration {
        self.chain.mul_f64(self.stretch.max(0.0)) + self.slack
    }

    /// When its next step has to start at the latest for it to be done in so many times its
    /// objective.
    fn start_by_ms(&self, times: f64) -> UnixMs {
        let allowed = millis(self.allowed().mul_f64(times));
        let takes = self.chain_left + STEP_OVERHEAD * self.steps_left;
        let end_by = self.from_ms.saturating_add(allowed);
        end_by.saturating_sub(millis(takes))
    }
}

/// The jobs in the order in which they should be given room.
#[must_use]
pub fn order(candidates: &[Candidate], room: &Room, now_ms: UnixMs, policy: &Policy) -> Vec<JobId> {
    let mut ranked: Vec<Ranked<'_>> = candidates.iter().map(|c| rank(c, now_ms, policy)).collect();
    if policy.defers {
        defer(&mut ranked, room, now_ms);
    }
    if policy.promotes_expiring {
        promote_expiring(&mut ranked, room, now_ms);
    }
    ranked.sort_unstable_by_key(Ranked::key);
    ranked.into_iter().map(|p| p.candidate.job).collect()
}

/// A job with its rank.
#[derive(Debug)]
struct Ranked<'a> {
    candidate: &'a Candidate,
    feasibility: Feasibility,
    start_by_ms: UnixMs,
}

impl Ranked<'_> {
    /// Lower goes first. What has begun goes before what hasn't among jobs that are late.
    fn key(&self) -> (Feasibility, u32, bool, UnixMs, JobId) {
        let waits = self.feasibility >= Feasibility::Late && !self.candidate.has_begun;
        let (priority, job) = (self.candidate.priority, self.candidate.job);
        (self.feasibility, priority, waits, self.start_by_ms, job)
    }
}

fn rank<'a>(candidate: &'a Candidate, now_ms: UnixMs, policy: &Policy) -> Ranked<'a> {
    let in_time = candidate.start_by_ms(1.0);
    let of_use = candidate.start_by_ms(LATE_TIMES);
    let is_feasible = now_ms <= candidate.start_by_ms(policy.late_after);
    let (feasibility, start_by_ms) = if candidate.is_lasting {
        (Feasibility::Lasting, candidate.from_ms)
    } else if is_feasible || !policy.late_last {
        (Feasibility::Feasible, in_time)
    } else if now_ms <= of_use {
        (Feasibility::Late, of_use)
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

/// Defers jobs until the others can be in time together, as Moore and Hodgson's rule for the least
/// number of late jobs does: by due time, and each time that the work due is more than can be done by
/// then, one job is taken out. It is one of the workspace that asks for most beside its weight, and of
/// its jobs the one that takes most work, so that a workspace that presses is held to its weighted
/// fair share. What has begun isn't deferred.
fn defer(ranked: &mut [Ranked<'_>], room: &Room, now_ms: UnixMs) {
    let feasible = ranked
        .iter()
        .enumerate()
        .filter(|(_, p)| p.feasibility == Feasibility::Feasible);
    let mut by_end: Vec<usize> = feasible.map(|(at, _)| at).collect();
    by_end.sort_by_key(|&at| {
        (
            ranked[at].candidate.objective_ms(),
            ranked[at].candidate.job,
        )
    });
    let mut due = 0.0;
    let mut owners: BTreeMap<u32, Owner> = BTreeMap::new();
    for at in by_end {
        let candidate = ranked[at].candidate;
        due += candidate.work_left;
        owners
            .entry(candidate.owner)
            .or_default()
            .add(candidate, at);
        let left = as_f64(candidate.objective_ms().saturating_sub(now_ms));
        while due > room.within(left) * OVERLOAD {
            let Some(deferred) = next_deferred(&mut owners) else {
                break;
            };
            due -= ranked[deferred].candidate.work_left;
            ranked[deferred].feasibility = Feasibility::Deferred;
        }
    }
}

/// Ranks late jobs first that are of no use unless they start now, up to a part of the room: without
/// that bound an overload would have every job served just before it expires, and none in time.
fn promote_expiring(ranked: &mut [Ranked<'_>], room: &Room, now_ms: UnixMs) {
    let is_last = |p: &Ranked<'_>| {
        p.feasibility == Feasibility::Late
            && p.start_by_ms <= now_ms.saturating_add(millis(EXPIRING_WITHIN))
    };
    let late = ranked.iter().enumerate().filter(|(_, p)| is_last(p));
    let mut by_start: Vec<usize> = late.map(|(at, _)| at).collect();
    by_start.sort_by_key(|&at| (ranked[at].start_by_ms, ranked[at].candidate.job));
    let mut left = room.cpu * EXPIRING_WITHIN.as_secs_f64() * 1000.0 * PROMOTED_PART;
    for at in by_start {
        left -= ranked[at].candidate.work_left;
        if left < 0.0 {
            return;
        }
        ranked[at].feasibility = Feasibility::Expiring;
    }
}

/// The job that is deferred next, by its index.
fn next_deferred(owners: &mut BTreeMap<u32, Owner>) -> Option<usize> {
    let asking = owners.values_mut().filter(|o| !o.fresh.is_empty());
    let most = asking.max_by(|a, b| a.compare(b))?;
    let fresh = most.fresh.pop()?;
    most.work -= fresh.work();
    Some(fresh.at)
}

/// What a workspace asks for.
#[derive(Debug, Default)]
struct Owner {
    work: f64,
    weight: f64,
    fresh: BinaryHeap<Fresh>,
}

/// A job that hasn't begun; the greatest is deferred first: what is less urgent, then what takes
/// more work.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fresh {
    priority: u32,
    work: u64,
    at: usize,
}

impl Owner {
    fn add(&mut self, candidate: &Candidate, at: usize) {
        self.work += candidate.work_left;
        self.weight = as_f64(candidate.weight.max(1));
        if !candidate.has_begun && !candidate.is_lasting {
            self.fresh.push(Fresh::new(candidate, at));
        }
    }

    fn compare(&self, other: &Owner) -> Ordering {
        let priority = |o: &Owner| o.fresh.peek().map(|f| f.priority);
        let asked = |o: &Owner| o.work / o.weight;
        let by_priority = priority(self).cmp(&priority(other));
        by_priority.then(asked(self).total_cmp(&asked(other)))
    }
}

impl Fresh {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "work is positive, and a fraction of its unit doesn't matter"
    )]
    fn new(candidate: &Candidate, at: usize) -> Fresh {
        Fresh {
            priority: candidate.priority,
            work: candidate.work_left as u64,
            at,
        }
    }

    fn work(&self) -> f64 {
        as_f64(self.work)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Times of day in milliseconds are far below the numbers that a float can't hold.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
