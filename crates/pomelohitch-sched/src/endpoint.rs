//! State of an endpoint as the leader knows it: clock, lease and allocated resources.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Steady;
use crate::id::{EndpointId, RunNumber, ServiceName, TaskId, ZoneName};
use crate::resources::Resources;
use crate::speeds::Speed;

/// Largest fraction by which an endpoint's clock may run slower than ours, as specified by the
/// platform.
const MAX_CLOCK_SLOWDOWN: f64 = 0.02;
/// A lease counts as lapsed only this long after its end, to allow for the endpoint's own timers.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// An answer whose clock lies this far before that of the known incarnation comes from a later one.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// The longest time from the arrival of a call until a lease of `max_lease` that it grants counts as
/// expired, by the slowest clock.
#[must_use]
pub fn lease_expiry(max_lease: Duration) -> Duration {
    max_lease.div_f64(1.0 - MAX_CLOCK_SLOWDOWN) + LEASE_EXPIRY_MARGIN
}

/// An endpoint that answered within this time cannot have restarted, run a task and ended it since:
/// tasks take hundreds of milliseconds, and a record of completions is durable within 40 ms.
const SAME_INCARNATION_WINDOW: Duration = Duration::from_millis(80);

/// An endpoint's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Endpoint id.
    pub id: EndpointId,
    /// Incarnation: start time in milliseconds since 1970.
    pub born: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub addr: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Machine kind and rack, in this order.
    pub labels: Arc<[Box<str>]>,
}

/// An endpoint's answer to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PollReply {
    /// Incarnation that answered.
    pub born: u64,
    /// Endpoint's clock at the time of the answer.
    pub clock: Duration,
    /// Runs that are running.
    pub running: Vec<Running>,
    /// Completions that are not acknowledged yet.
    pub ended: Vec<Ended>,
    /// When the poll was sent.
    pub sent_at: Steady,
    /// When the answer arrived.
    pub answered_at: Steady,
    /// Whether the poll requested a lease.
    pub lease_requested: bool,
}

/// A run that an endpoint lists as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task of the run.
    pub task: TaskId,
    /// Run number.
    pub number: RunNumber,
    /// Newest checkpoint.
    pub checkpoint: Box<str>,
    /// Progress in percent; a lasting task is in service at 100.
    pub percent: u32,
    /// Tail latency in milliseconds for tasks with a latency target, processors in use for others.
    pub load: u32,
}

/// A completed run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number of the completion within this incarnation of the endpoint.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Run number.
    pub run: RunNumber,
    /// Why it ended.
    pub how: EndReason,
    /// Checkpoint from which the next run can resume.
    pub checkpoint: Box<str>,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Completed successfully.
    Done,
    /// Failed because of the task or of the endpoint.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive.
    Alone,
}

/// A reading of the endpoint's clock, with our time before and after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ClockReading {
    clock: Duration,
    sent_at: Steady,
    answered_at: Steady,
}

/// When an endpoint is polled next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollSchedule {
    /// Earliest time of the next poll.
    pub due: Steady,
    /// Whether a poll is in flight.
    pub is_in_flight: bool,
    /// Polls that failed since the last successful one.
    pub failures: u32,
}

impl PollSchedule {
    /// Makes the next poll due at `now` if it is due later.
    pub fn expedite(&mut self, now: Steady) {
        self.due = self.due.min(now);
    }
}

/// Resources that a run takes on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// Allocated amounts.
    pub resources: Resources,
    /// Whether the run belongs to a lasting task.
    pub is_lasting: bool,
    /// Expected work of the run, thousandths of a core times milliseconds; 0 for lasting tasks.
    pub work: u64,
}

/// State of an endpoint.
#[expect(clippy::struct_excessive_bools, reason = "independent flags")]
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Newest entry in the platform's list, if there ever was one.
    pub report: Option<Report>,
    /// Current incarnation.
    pub born: u64,
    /// When the leader learned of this incarnation, if it replaced another one under the same id.
    pub restarted_at: Option<Steady>,
    /// Until when a later incarnation, which has answered an order but no poll yet, may hold a lease.
    pub later_lease_until: Option<Steady>,
    /// Since when no instance runs it, while it is kept for the starts that it has left unanswered.
    pub gone_since: Option<Steady>,
    /// Whether the platform's list contains it now.
    pub is_listed: bool,
    /// Allocated resources, including those of runs that are being stopped or may be running.
    pub used: Resources,
    /// Expected work of all runs, thousandths of a core times milliseconds.
    pub work: u64,
    /// Number of runs of lasting tasks.
    pub lasting_runs: usize,
    /// Runs that may exist there, with their allocations.
    pub runs: BTreeMap<(TaskId, RunNumber), Allocation>,
    /// Sequence number of the last completion that was processed.
    pub last_processed: u64,
    /// Sequence number of the last completion that is durably recorded and may be acknowledged.
    pub last_durable: u64,
    /// Whether the last answered poll listed completions, which have to be acknowledged.
    pub lists_completions: bool,
    /// When the newest answered poll was sent.
    pub polled_at: Option<Steady>,
    /// When it last answered a poll.
    pub answered_at: Option<Steady>,
    /// When it last answered an order.
    pub order_answered_at: Option<Steady>,
    /// When this incarnation first answered a poll of this leader.
    pub known_since: Option<Steady>,
    /// Whether a poll that requested a lease was answered. Before that, only starts hold a lease,
    /// and a short one.
    pub lease_confirmed: bool,
    /// Gets no new work before this time.
    pub avoided_until: Steady,
    /// Whether it has answered nothing since it left a start unanswered. Such an endpoint may be
    /// gone and gets no new work until it answers again. Excluding it for a fixed time instead
    /// would idle most of a busy pool when a fraction of the orders is lost.
    pub is_unresponsive: bool,
    /// Failed runs, decaying over time; used to detect a broken endpoint.
    pub failures: f64,
    /// Successful runs, decaying over time.
    pub successes: f64,
    /// What is known of its speed.
    pub speed: Speed,
    /// Gets no new work because its instance is to be moved or maintained.
    pub is_reserved: bool,
    /// Whether its instance is due for maintenance, so that lasting tasks should be placed
    /// elsewhere.
    pub is_maintenance_due: bool,
    /// Whether it takes only lasting tasks for now, which have no room elsewhere.
    pub is_kept_for_lasting: bool,
    /// Speed of filler tasks there, percent.
    pub filler_pace: u32,
    /// When `filler_pace` last changed.
    pub pace_set_at: Steady,
    /// Schedule of polls.
    pub poll: PollSchedule,
    reading: Option<ClockReading>,
    /// Latest end of any lease that was requested, on the endpoint's clock.
    lease_end: Duration,
}

impl Endpoint {
    /// Creates an endpoint of which only the incarnation is known.
    #[must_use]
    pub fn new(born: u64) -> Endpoint {
        Endpoint {
            report: None,
            born,
            restarted_at: None,
            later_lease_until: None,
            gone_since: None,
            is_listed: false,
            used: Resources::default(),
            work: 0,
            lasting_runs: 0,
            runs: BTreeMap::new(),
            last_processed: 0,
            last_durable: 0,
            lists_completions: false,
            polled_at: None,
            answered_at: None,
            order_answered_at: None,
            known_since: None,
            lease_confirmed: false,
            avoided_until: Steady::ZERO,
            is_unresponsive: false,
            failures: 0.0,
            successes: 0.0,
            speed: Speed::default(),
            is_reserved: false,
            is_maintenance_due: false,
            is_kept_for_lasting: false,
            filler_pace: 100,
            pace_set_at: Steady::ZERO,
            poll: PollSchedule::default(),
            reading: None,
            lease_end: Duration::ZERO,
        }
    }

    /// Stores the clock reading of a poll's answer.
    pub fn update_clock(&mut self, reply: &PollReply) {
        self.reading = Some(ClockReading {
            clock: reply.clock,
            sent_at: reply.sent_at,
            answered_at: reply.answered_at,
        });
    }

    /// The last completion that a poll sent at `now` may acknowledge; 0 for none.
    ///
    /// Completions are numbered from the start again when the endpoint restarts under its id.
    /// Acknowledging a number of the previous incarnation would make the new one drop completions
    /// that were never read, and their tasks would run again. The number is therefore sent only
    /// shortly after the same incarnation has listed completions: a run that starts in a new
    /// incarnation does not end that soon.
    #[must_use]
    pub fn acknowledgeable(&self, now: Steady) -> u64 {
        let is_same_incarnation =
            self.poll.failures == 0 && self.has_answered_within(now, SAME_INCARNATION_WINDOW);
        if self.lists_completions && is_same_incarnation {
            self.last_durable
        } else {
            0
        }
    }

    /// Lower bound of the endpoint's clock at `now`; `None` if it was never read.
    #[must_use]
    pub fn clock_at_least(&self, now: Steady) -> Option<Duration> {
        let reading = self.reading?;
        let passed = now.saturating_sub(reading.answered_at);
        Some(reading.clock + passed.mul_f64(1.0 - MAX_CLOCK_SLOWDOWN))
    }

    /// Lower bound of the endpoint's clock at a past moment; `None` if it wasn't read before.
    #[must_use]
    pub fn clock_at_least_at(&self, past: Steady) -> Option<Duration> {
        let reading = self.reading.filter(|r| r.answered_at <= past)?;
        let passed = past.saturating_sub(reading.answered_at);
        Some(reading.clock + passed.mul_f64(1.0 - MAX_CLOCK_SLOWDOWN))
    }

    /// Best estimate of the endpoint's clock at `now` plus `ahead`; `None` if it was never read.
    #[must_use]
    pub fn clock_ahead(&self, now: Steady, ahead: Duration) -> Option<Duration> {
        let reading = self.reading?;
        let read_at = reading.sent_at + reading.answered_at.saturating_sub(reading.sent_at) / 2;
        Some(reading.clock + now.saturating_sub(read_at) + ahead)
    }

    /// The endpoint's clock in its last answer.
    #[must_use]
    pub fn last_clock(&self) -> Option<Duration> {
        self.reading.map(|r| r.clock)
    }

    /// Latest end of any lease that was requested, on the endpoint's clock.
    #[must_use]
    pub fn lease_end(&self) -> Duration {
        self.lease_end
    }

    /// Records that a lease until `end` may be in force, whether or not the call is answered.
    pub fn lease_requested(&mut self, end: Duration) {
        self.lease_end = self.lease_end.max(end);
    }

    /// Whether every lease has certainly expired, so that nothing runs there.
    ///
    /// `unread_until` is the limit if the clock was never read: a former leader may have requested
    /// leases that are unknown to this one. Without a limit, it may still request some.
    #[must_use]
    pub fn is_lapsed(&self, now: Steady, unread_until: Option<Steady>) -> bool {
        match self.clock_at_least(now) {
            Some(clock) => clock > self.lease_end + LEASE_EXPIRY_MARGIN,
            None => unread_until.is_some_and(|limit| now > limit),
        }
    }

    /// Whether an answer to an order sent at `sent_at` whose clock is `clock` comes from a later
    /// incarnation, whose clock began at zero.
    #[must_use]
    pub fn is_later_clock(&self, clock: Duration, sent_at: Steady) -> bool {
        let at_least = self.clock_at_least_at(sent_at);
        at_least.is_some_and(|at_least| clock + CLOCK_MARGIN < at_least)
    }

    /// Whether no later incarnation that hasn't answered a poll may hold a lease.
    #[must_use]
    pub fn is_later_lapsed(&self, now: Steady) -> bool {
        self.later_lease_until.is_none_or(|until| now > until)
    }

    /// Whether this incarnation has been known for longer than `time`.
    #[must_use]
    pub fn is_known_for(&self, now: Steady, time: Duration) -> bool {
        self.restarted_at.is_none_or(|at| now > at + time)
    }

    /// Whether a poll that was sent within the last `window` was answered.
    #[must_use]
    pub fn is_polled_within(&self, now: Steady, window: Duration) -> bool {
        self.polled_at
            .is_some_and(|at| now.saturating_sub(at) <= window)
    }

    /// Whether an answer to a poll arrived within the last `window`.
    #[must_use]
    pub fn has_answered_within(&self, now: Steady, window: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_sub(at) <= window)
    }

    /// When this incarnation last gave a sign of life: the answer to a poll or an order, or the entry
    /// that showed a restart.
    #[must_use]
    pub fn last_heard_at(&self) -> Option<Steady> {
        self.answered_at
            .max(self.order_answered_at)
            .max(self.restarted_at)
    }

    /// Whether this incarnation has given no sign of life since `at`.
    #[must_use]
    pub fn is_silent_since(&self, at: Steady) -> bool {
        self.last_heard_at().is_none_or(|last| last < at)
    }

    /// Rack, the second label.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.report.as_ref()?.labels.get(1).map(|l| &**l)
    }

    /// Whether one of the labels is `label`.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.report
            .as_ref()
            .is_some_and(|r| r.labels.iter().any(|l| &**l == label))
    }

    /// Free capacity.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.report.as_ref().map_or_else(Resources::default, |r| {
            r.capacity.saturating_sub(&self.used)
        })
    }

    /// Capacity that lasting tasks leave to runs that end by themselves.
    #[must_use]
    pub fn room_for_ending(&self) -> Resources {
        let lasting = self.runs.values().filter(|a| a.is_lasting);
        let used = lasting.fold(Resources::default(), |mut sum, a| {
            sum += &a.resources;
            sum
        });
        let capacity = self.report.as_ref().map(|r| r.capacity);
        capacity.unwrap_or_default().saturating_sub(&used)
    }

    /// Whether more is allocated than the capacity, which can shrink.
    #[must_use]
    pub fn is_overcommitted(&self) -> bool {
        let capacity = self.report.as_ref().map(|r| r.capacity);
        capacity.is_some_and(|c| !c.holds(&self.used))
    }

    /// Allocates resources for a run; no effect if it has them already.
    pub fn allocate(&mut self, task: TaskId, number: RunNumber, allocation: Allocation) {
        if self.runs.insert((task, number), allocation).is_none() {
            self.used += &allocation.resources;
            self.work += allocation.work;
            self.lasting_runs += usize::from(allocation.is_lasting);
        }
    }

    /// Releases a run's resources; returns whether it had any.
    pub fn release(&mut self, task: TaskId, number: RunNumber) -> bool {
        let Some(allocation) = self.runs.remove(&(task, number)) else {
            return false;
        };
        self.used -= &allocation.resources;
        self.work -= allocation.work;
        self.lasting_runs -= usize::from(allocation.is_lasting);
        true
    }
}
