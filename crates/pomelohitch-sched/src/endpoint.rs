//! What is known of one endpoint, its clock and its lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Steady;
use crate::id::{EndpointId, RunNumber, ServiceName, TaskId, ZoneName};
use crate::resources::Resources;

/// How much slower than ours an endpoint's clock may run; the platform's own bound.
const SLOW_CLOCK: f64 = 0.02;
/// A lease counts as lapsed only so long after its end, for the endpoint's own timers.
const LAPSE_MARGIN: Duration = Duration::from_millis(200);

/// An endpoint that answered within this time hasn't restarted, run a task and ended it since.
/// Tasks take some hundred milliseconds, and a record of ends is durable within 40.
const SURE_FOR: Duration = Duration::from_millis(80);

/// What an endpoint says of itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Which endpoint.
    pub id: EndpointId,
    /// Which life of it, milliseconds since 1970.
    pub born: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes calls, IP:PORT.
    pub addr: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Room for tasks.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Arc<[Box<str>]>,
}

/// What an endpoint answered to a look.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Look {
    /// Which life of it answered.
    pub born: u64,
    /// Its clock.
    pub clock: Duration,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and isn't acknowledged yet.
    pub ended: Vec<Ended>,
    /// When the call went out.
    pub sent_at: Steady,
    /// When the answer came.
    pub answered_at: Steady,
    /// Whether the look asked for a lease.
    pub renewed: bool,
}

/// A run that is at work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Whose run.
    pub task: TaskId,
    /// Which run.
    pub number: RunNumber,
    /// The newest checkpoint.
    pub checkpoint: Box<str>,
    /// How far it is; a lasting task is at work at 100.
    pub percent: u32,
    /// Of a task with a target its tail latency in milliseconds, of others the processors in use.
    pub load: u32,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Counts the ends of this life of the endpoint.
    pub number: u64,
    /// Whose run.
    pub task: TaskId,
    /// Which run.
    pub run: RunNumber,
    /// How it ended.
    pub how: How,
    /// Where a next run can go on.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// Well.
    Done,
    /// By its own fault or the endpoint's.
    Failed,
    /// By an order.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come.
    Alone,
}

/// A reading of the endpoint's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reading {
    clock: Duration,
    sent_at: Steady,
    answered_at: Steady,
}

/// When an endpoint is looked at next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LookPlan {
    /// Not before then.
    pub due: Steady,
    /// Whether a look hasn't ended yet.
    pub is_under_way: bool,
    /// How many looks have failed since the last that was answered.
    pub failures: u32,
}

impl LookPlan {
    /// Brings the next look forward to `now`.
    pub fn hurry(&mut self, now: Steady) {
        self.due = self.due.min(now);
    }
}

/// What a run takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Booked {
    /// Room.
    pub room: Resources,
    /// Whether its task lasts.
    pub is_lasting: bool,
}

/// One endpoint.
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its newest entry in the platform's list, if it ever had one.
    pub report: Option<Report>,
    /// Which life of it is meant.
    pub born: u64,
    /// Whether the list holds it now.
    pub is_listed: bool,
    /// Room taken, also by what is being stopped or may be running.
    pub used: Resources,
    /// How many runs are of lasting tasks.
    pub lasting: usize,
    /// Runs that may be there, with what each takes up.
    pub runs: BTreeMap<(TaskId, RunNumber), Booked>,
    /// The last end that was taken in.
    pub noted: u64,
    /// The last end that is durably noted, and so may be acknowledged.
    pub noted_durably: u64,
    /// Whether the last look that was answered listed ends, which are to be acknowledged.
    pub lists_ends: bool,
    /// When the newest look that was answered went out.
    pub looked_at: Option<Steady>,
    /// When it last answered a look.
    pub heard_at: Option<Steady>,
    /// Whether a look that asked for a lease was answered: until then only starts hold one, and a
    /// short one.
    pub lease_confirmed: bool,
    /// Not used for new work until then.
    pub avoided_until: Steady,
    /// Whether it has answered nothing since it left a start unanswered. Such an endpoint gets no
    /// work: it may be gone. One that has answered since only lost that order, and where one order
    /// in some is lost, leaving it out for a fixed time would idle most of a busy pool.
    pub is_doubted: bool,
    /// Failed and done runs of late, for telling a broken endpoint; fades.
    pub failures: f64,
    /// Runs that ended well of late; fades.
    pub successes: f64,
    /// Kept free because its instance is to move or to be maintained.
    pub is_reserved: bool,
    /// Whether its instance is due for maintenance, so that what lasts had better be elsewhere.
    pub is_due: bool,
    /// The share that fillers work at there, percent.
    pub filler_pace: u32,
    /// When that share was last changed.
    pub paced_at: Steady,
    /// When it is looked at next.
    pub look: LookPlan,
    reading: Option<Reading>,
    /// The latest end of a lease that was ever asked for, on the endpoint's clock.
    lease_end: Duration,
}

impl Endpoint {
    /// An endpoint of which only its id and life are known.
    #[must_use]
    pub fn new(born: u64) -> Endpoint {
        Endpoint {
            report: None,
            born,
            is_listed: false,
            used: Resources::default(),
            lasting: 0,
            runs: BTreeMap::new(),
            noted: 0,
            noted_durably: 0,
            lists_ends: false,
            looked_at: None,
            heard_at: None,
            lease_confirmed: false,
            avoided_until: Steady::ZERO,
            is_doubted: false,
            failures: 0.0,
            successes: 0.0,
            is_reserved: false,
            is_due: false,
            filler_pace: 100,
            paced_at: Steady::ZERO,
            look: LookPlan::default(),
            reading: None,
            lease_end: Duration::ZERO,
        }
    }

    /// Takes in a reading of the endpoint's clock.
    pub fn read_clock(&mut self, look: &Look) {
        self.reading = Some(Reading {
            clock: look.clock,
            sent_at: look.sent_at,
            answered_at: look.answered_at,
        });
    }

    /// The end up to which a look acknowledges that goes out at `now`; 0 for none.
    ///
    /// Numbers of ends begin anew when the endpoint restarts under its id. A look that carries one
    /// of the former life would make the new one forget ends that nobody has read, and their tasks
    /// would run again. It is therefore sent only right after the same life has listed ends: what
    /// starts in a new life doesn't end so soon.
    #[must_use]
    pub fn acknowledges(&self, now: Steady) -> u64 {
        let is_sure = self.look.failures == 0 && self.is_heard(now, SURE_FOR);
        if self.lists_ends && is_sure {
            self.noted_durably
        } else {
            0
        }
    }

    /// The least that the endpoint's clock can show by now.
    #[must_use]
    pub fn clock_at_least(&self, now: Steady) -> Option<Duration> {
        let reading = self.reading?;
        let passed = now.saturating_sub(reading.answered_at);
        Some(reading.clock + passed.mul_f64(1.0 - SLOW_CLOCK))
    }

    /// A point `ahead` of the endpoint's clock, by the best guess.
    #[must_use]
    pub fn clock_ahead(&self, now: Steady, ahead: Duration) -> Option<Duration> {
        let reading = self.reading?;
        let middle = reading.sent_at + reading.answered_at.saturating_sub(reading.sent_at) / 2;
        Some(reading.clock + now.saturating_sub(middle) + ahead)
    }

    /// Remembers that a lease up to `end` may be in force, whether the call is answered or not.
    pub fn lease_asked(&mut self, end: Duration) {
        self.lease_end = self.lease_end.max(end);
    }

    /// Whether every lease has surely run out, so that nothing runs there.
    ///
    /// `unread_until` stands in where the clock was never read: a former leader may have asked
    /// for leases that this one doesn't know.
    #[must_use]
    pub fn is_lapsed(&self, now: Steady, unread_until: Steady) -> bool {
        match self.clock_at_least(now) {
            Some(clock) => clock > self.lease_end + LAPSE_MARGIN,
            None => now > unread_until,
        }
    }

    /// Whether a look was answered within `window`.
    #[must_use]
    pub fn is_fresh(&self, now: Steady, window: Duration) -> bool {
        self.looked_at
            .is_some_and(|at| now.saturating_sub(at) <= window)
    }

    /// Whether a look was answered within the last `window`.
    #[must_use]
    pub fn is_heard(&self, now: Steady, window: Duration) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_sub(at) <= window)
    }

    /// Its rack: the label that isn't its kind.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.report.as_ref()?.labels.get(1).map(|l| &**l)
    }

    /// Whether it carries `label`.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.report
            .as_ref()
            .is_some_and(|r| r.labels.iter().any(|l| &**l == label))
    }

    /// Room that is left.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.report
            .as_ref()
            .map_or_else(Resources::default, |r| r.capacity.less(&self.used))
    }

    /// Whether more is taken than there is: its room has shrunk.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let capacity = self.report.as_ref().map(|r| r.capacity);
        capacity.is_some_and(|c| !c.holds(&self.used))
    }

    /// Takes room for a run.
    pub fn occupy(&mut self, task: TaskId, number: RunNumber, booked: Booked) {
        if self.runs.insert((task, number), booked).is_none() {
            self.used += &booked.room;
            self.lasting += usize::from(booked.is_lasting);
        }
    }

    /// Gives back a run's room; whether there was such a run.
    pub fn vacate(&mut self, task: TaskId, number: RunNumber) -> bool {
        let Some(booked) = self.runs.remove(&(task, number)) else {
            return false;
        };
        self.used -= &booked.room;
        self.lasting -= usize::from(booked.is_lasting);
        true
    }
}
