//! Admission of jobs: refuses at once what can't be of use to its caller any more.
//!
//! Answers a load in which a workspace sends many times its usual into a pool that is full. Without
//! it, its jobs would be accepted, wait, and be done when nobody needs them. Room is shared by
//! weight, so that a workspace within its share isn't refused because of another's backlog.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UnixMs;
use crate::id::JobId;
use crate::urgency::{Candidate, Capacity, USEFUL_MULTIPLE};

/// Average time until a free instance of another pool takes work: it has to be moved.
const OBTAINED_MS: f64 = 2300.0;
/// Lower limit of Retry-After.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper limit of Retry-After, without its spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Jobs refused together return over this part of their Retry-After, and at least over
/// [`MIN_SPREAD`].
const SPREAD: f64 = 0.5;
/// Callers get Retry-After in whole seconds.
const MIN_SPREAD: Duration = Duration::from_secs(2);

/// Room that a service has for tasks that end by themselves, and what it can get.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// The pool's own capacity.
    pub capacity: Capacity,
    /// Thousandths of a core that are free in other pools or switched off.
    pub obtainable: f64,
}

/// Work that waits for a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Backlog {
    /// By priority and index of the workspace.
    waiting: BTreeMap<(u32, u32), Waiting>,
    room: Room,
}

/// Work of one workspace's waiting jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Waiting {
    weight: f64,
    /// Of jobs that can still be in time.
    in_time: Work,
    /// Of jobs that are still of use.
    useful: Work,
}

/// Uncertain work, thousandths of a core times milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Work {
    mean: f64,
    variance: f64,
}

/// A job that its caller submits.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Request {
    /// Job id.
    pub job: JobId,
    /// Index of its workspace in the configuration.
    pub owner: u32,
    /// Weight of that workspace.
    pub weight: u64,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Expected length of its critical path, with what steps take beyond their work.
    pub critical_path: Duration,
    /// Standard deviation of that length.
    pub deviation: Duration,
    /// Objective as a multiple of the critical path.
    pub stretch: f64,
    /// Time that the objective allows in addition to the multiple of the critical path.
    pub slack: Duration,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the backlog before the job will have been worked off so far that it could be
    /// in time, with its spread.
    pub retry_after: Duration,
    /// Expected wait for room, over the work that is still of use.
    pub wait: Duration,
    /// The job had to begin within this time to be of use.
    pub latest_start: Duration,
}

impl Backlog {
    /// Creates a backlog without waiting work.
    #[must_use]
    pub fn new(room: Room) -> Backlog {
        Backlog {
            room,
            ..Backlog::default()
        }
    }

    /// Adds a waiting job. Lasting tasks don't count: they have room of their own.
    pub fn add(&mut self, candidate: &Candidate, now_ms: UnixMs) {
        if candidate.is_lasting {
            return;
        }
        let key = (candidate.priority, candidate.owner);
        let waiting = self.waiting.entry(key).or_default();
        waiting.weight = weight(candidate.weight);
        let path = candidate.remaining_critical_path.as_secs_f64();
        let relative = candidate.deviation.as_secs_f64() / path.max(f64::MIN_POSITIVE);
        let work = Work {
            mean: candidate.work_left,
            variance: (candidate.work_left * relative.min(1.0)).powi(2),
        };
        if now_ms <= candidate.start_by_ms(USEFUL_MULTIPLE) {
            waiting.useful.add(work);
        }
        if now_ms <= candidate.start_by_ms(1.0) {
            waiting.in_time.add(work);
        }
    }

    /// Work that is done before that of `request` begins: room is shared by weight among the
    /// workspaces of a priority, and those of a higher one go first.
    fn ahead(&self, request: &Request, of: impl Fn(&Waiting) -> Work) -> Work {
        let own = self.waiting.get(&(request.priority, request.owner));
        let own = own.map_or(0.0, |w| of(w).mean) / weight(request.weight);
        let mut ahead = Work::default();
        for (&(priority, _), waiting) in self.waiting.range(..=(request.priority, u32::MAX)) {
            let work = of(waiting);
            if priority < request.priority {
                ahead.add(work);
            } else {
                ahead.add(work.limited(own * waiting.weight));
            }
        }
        ahead
    }
}

impl Room {
    /// Whether there is no room, now or soon. How long that lasts isn't known.
    fn is_empty(&self) -> bool {
        self.capacity.cpu + self.capacity.arriving + self.obtainable <= 0.0
    }

    /// Time until `work` can be done, in milliseconds. The room must not be empty.
    fn time_for(&self, work: f64) -> f64 {
        let capacity = &self.capacity;
        let mut left = work + capacity.running_work;
        if left <= 0.0 {
            return 0.0;
        }
        let (mut at, mut rate) = (0.0, capacity.cpu);
        let joining = [
            (Capacity::ARRIVAL_MS, capacity.arriving),
            (OBTAINED_MS, self.obtainable),
        ];
        for (from, joins) in joining {
            let possible = rate * (from - at);
            if possible >= left {
                return at + left / rate;
            }
            left -= possible;
            at = from;
            rate += joins;
        }
        at + left / rate
    }
}

impl Work {
    fn add(&mut self, other: Work) {
        self.mean += other.mean;
        self.variance += other.variance;
    }

    /// The same kind of work, but at most as much.
    fn limited(self, most: f64) -> Work {
        if self.mean <= most {
            return self;
        }
        let part = most / self.mean;
        Work {
            mean: most,
            variance: self.variance * part * part,
        }
    }

    /// What it is at least, one deviation below the mean.
    fn lower(self) -> f64 {
        (self.mean - self.variance.sqrt()).max(0.0)
    }
}

impl Request {
    /// Longest wait after which the job ends within `multiple` of its objective, if its critical
    /// path has this length.
    fn longest_wait_at(&self, critical_path: Duration, multiple: f64) -> f64 {
        let path = critical_path.as_secs_f64();
        let objective = path * self.stretch.max(0.0) + self.slack.as_secs_f64();
        (objective * multiple - path) * 1000.0
    }

    /// The longest such wait by the expected length of the critical path, and by lengths one
    /// deviation off. A longer path has a longer objective.
    fn longest_wait(&self, multiple: f64) -> f64 {
        let longer = self.critical_path.saturating_add(self.deviation);
        let shorter = self.critical_path.saturating_sub(self.deviation);
        let paths = [shorter, self.critical_path, longer].into_iter();
        let waits = paths.map(|path| self.longest_wait_at(path, multiple));
        waits.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Refuses a job that can't be of use any more: even if it is shorter or longer, and the work before
/// it less than expected, it would end after [`USEFUL_MULTIPLE`] times its objective.
#[must_use]
pub fn refuse(request: &Request, backlog: &Backlog) -> Option<Refusal> {
    let room = &backlog.room;
    if room.is_empty() {
        return None;
    }
    let in_time = backlog.ahead(request, |w| w.in_time);
    if room.time_for(in_time.lower()) <= request.longest_wait(1.0) {
        return None;
    }
    let useful = backlog.ahead(request, |w| w.useful);
    let latest_start = request.longest_wait(USEFUL_MULTIPLE);
    if room.time_for(useful.lower()) <= latest_start {
        return None;
    }
    let wait = room.time_for(useful.mean);
    let until_in_time = wait - request.longest_wait_at(request.critical_path, 1.0);
    Some(Refusal {
        retry_after: retry_after(request.job, from_millis(until_in_time)),
        wait: from_millis(wait),
        latest_start: from_millis(latest_start),
    })
}

/// A time between `earliest` and somewhat more, by the job's id.
fn retry_after(job: JobId, earliest: Duration) -> Duration {
    let earliest = earliest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let spread = earliest.mul_f64(SPREAD).max(MIN_SPREAD);
    earliest + spread.mul_f64(fraction(job))
}

/// A number from 0 to 1 that is spread evenly over ids, also over consecutive ones (the finalizer of
/// `SplitMix64`).
fn fraction(job: JobId) -> f64 {
    let mut mixed = job.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let high = u32::try_from((mixed ^ (mixed >> 31)) >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}

/// A time of at most a day.
fn from_millis(millis: f64) -> Duration {
    const DAY_MS: f64 = 86_400_000.0;
    Duration::from_secs_f64(millis.clamp(0.0, DAY_MS) / 1000.0)
}

fn weight(weight: u64) -> f64 {
    f64::from(u32::try_from(weight.max(1)).unwrap_or(u32::MAX))
}
