//! Which job goes first.
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
/// Jobs are put off only if the work due is so many times what can be done: estimates are rough, and
/// a job that was put off for nothing may be late for nothing.
const OVERLOAD: f64 = 1.6;
/// A late job has its last chance so long before it would be too late to start.
const LAST_CHANCE: Duration = Duration::from_millis(500);
/// Jobs with their last chance take this part of a pool's room at most.
const RESCUED_PART: f64 = 0.2;
/// A step takes so much longer than its work: the record of its starts, the orders, and noticing
/// and recording its ends.
const STEP_OVERHEAD: Duration = Duration::from_millis(80);

/// What a job's place among those that wait for the same service is decided by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
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

/// How well a job can be served, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Hope {
    /// Its tasks last: whatever else waits, they have to be back soon.
    Lasting,
    /// It is late, and of no use if it doesn't start now.
    LastChance,
    /// It can be in time.
    InTime,
    /// It could be, but others that need less go first.
    PutOff,
    /// It will be late.
    Late,
    /// It will be too late to be of use.
    TooLate,
}

impl Claim {
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
pub fn order(claims: &[Claim], room: &Room, now_ms: UnixMs, policy: &Policy) -> Vec<JobId> {
    let mut places: Vec<Place<'_>> = claims.iter().map(|c| place(c, now_ms, policy)).collect();
    if policy.puts_off {
        put_off(&mut places, room, now_ms);
    }
    if policy.rescues {
        rescue(&mut places, room, now_ms);
    }
    places.sort_unstable_by_key(Place::key);
    places.into_iter().map(|p| p.claim.job).collect()
}

/// A job's place in the order.
#[derive(Debug)]
struct Place<'a> {
    claim: &'a Claim,
    hope: Hope,
    start_by_ms: UnixMs,
}

impl Place<'_> {
    /// Lower goes first. What has begun goes before what hasn't among jobs that are late.
    fn key(&self) -> (Hope, u32, bool, UnixMs, JobId) {
        let waits = self.hope >= Hope::Late && !self.claim.has_begun;
        let (priority, job) = (self.claim.priority, self.claim.job);
        (self.hope, priority, waits, self.start_by_ms, job)
    }
}

fn place<'a>(claim: &'a Claim, now_ms: UnixMs, policy: &Policy) -> Place<'a> {
    let in_time = claim.start_by_ms(1.0);
    let of_use = claim.start_by_ms(LATE_TIMES);
    let is_hopeful = now_ms <= claim.start_by_ms(policy.late_after);
    let (hope, start_by_ms) = if claim.is_lasting {
        (Hope::Lasting, claim.from_ms)
    } else if is_hopeful || !policy.late_last {
        (Hope::InTime, in_time)
    } else if now_ms <= of_use {
        (Hope::Late, of_use)
    } else {
        (Hope::TooLate, claim.from_ms)
    };
    Place {
        claim,
        hope,
        start_by_ms: if policy.by_latest_start {
            start_by_ms
        } else {
            claim.from_ms
        },
    }
}

/// Puts off jobs until the others can be in time together. Each time that the work due by some
/// moment is more than can be done by then, it is a job of the workspace that asks for most beside
/// its weight, and of its jobs the one whose work frees most. One workspace that presses is thereby
/// held to its share, and among equals as many as possible are in time. What has begun isn't put
/// off.
fn put_off(places: &mut [Place<'_>], room: &Room, now_ms: UnixMs) {
    let hopeful = places
        .iter()
        .enumerate()
        .filter(|(_, p)| p.hope == Hope::InTime);
    let mut by_end: Vec<usize> = hopeful.map(|(at, _)| at).collect();
    by_end.sort_by_key(|&at| (places[at].claim.objective_ms(), places[at].claim.job));
    let mut due = 0.0;
    let mut owners: BTreeMap<u32, Owner> = BTreeMap::new();
    for at in by_end {
        let claim = places[at].claim;
        due += claim.work_left;
        owners.entry(claim.owner).or_default().add(claim, at);
        let left = as_f64(claim.objective_ms().saturating_sub(now_ms));
        while due > room.within(left) * OVERLOAD {
            let Some(put_off) = next_put_off(&mut owners) else {
                break;
            };
            due -= places[put_off].claim.work_left;
            places[put_off].hope = Hope::PutOff;
        }
    }
}

/// Lets late jobs go first that are of no use if they don't start now. They may take a part of the
/// room at most: where most jobs are late, all would otherwise be served just before it is too late,
/// and none in time.
fn rescue(places: &mut [Place<'_>], room: &Room, now_ms: UnixMs) {
    let is_last = |p: &Place<'_>| {
        p.hope == Hope::Late && p.start_by_ms <= now_ms.saturating_add(millis(LAST_CHANCE))
    };
    let late = places.iter().enumerate().filter(|(_, p)| is_last(p));
    let mut by_start: Vec<usize> = late.map(|(at, _)| at).collect();
    by_start.sort_by_key(|&at| (places[at].start_by_ms, places[at].claim.job));
    let mut left = room.cpu * LAST_CHANCE.as_secs_f64() * 1000.0 * RESCUED_PART;
    for at in by_start {
        left -= places[at].claim.work_left;
        if left < 0.0 {
            return;
        }
        places[at].hope = Hope::LastChance;
    }
}

/// The job that is put off next, by its place.
fn next_put_off(owners: &mut BTreeMap<u32, Owner>) -> Option<usize> {
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

/// A job that hasn't begun; the greatest is put off first: what is less urgent, then what takes
/// more.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fresh {
    priority: u32,
    work: u64,
    at: usize,
}

impl Owner {
    fn add(&mut self, claim: &Claim, at: usize) {
        self.work += claim.work_left;
        self.weight = as_f64(claim.weight.max(1));
        if !claim.has_begun && !claim.is_lasting {
            self.fresh.push(Fresh::new(claim, at));
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
    fn new(claim: &Claim, at: usize) -> Fresh {
        Fresh {
            priority: claim.priority,
            work: claim.work_left as u64,
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
