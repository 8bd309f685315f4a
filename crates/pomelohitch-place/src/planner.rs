//! The books, and the decisions.
//!
//! The books hold what every worker has set aside and what every team has. [`Planner::decide`]
//! enters its own placements into them at once, so that the next decision builds on them; what
//! the log then says of a job ([`Planner::set_job`]) corrects them.
//!
//! * [`books`](self): workers, teams and jobs.
//! * `urgent`, `patient`: who is placed next, and where.
//! * `promise`: room that is being made for a job.
//! * `upkeep`: leaving workers, quarantine, jobs that fit nowhere.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, JobClass, JobId, Offset, RackId, TeamId, ZoneId};
use pomelohitch_core::record::job::{AttemptId, Placement, Preemption, Resources, Urgency};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::Entry;

use crate::health::{AttemptEnd, Health};
use crate::index::Index;
use crate::sizes::Sizes;
use crate::worker::Worker;
use queue::Queue;

mod accounting;
mod maintenance;
mod patient_jobs;
mod queue;
mod reservations;
mod search;
mod urgent_jobs;

/// How the planner decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The most placements of one decision.
    pub max_placements: usize,
    /// Of how many classes of a team a waiting job is tried when the first one finds no room.
    pub lookahead: usize,
    /// How long a patient job that fits nowhere waits for room to be made by jobs that end;
    /// afterwards it is made by checkpoints.
    pub reservation_timeout: Duration,
    /// The share of workers that patient work leaves to urgent work, in thousandths, while
    /// there was urgent work lately.
    pub headroom_permille: usize,
    /// How long ago "lately" is.
    pub headroom_period: Duration,
    /// How long a leaving worker's tasks may go on before they are checkpointed.
    pub drain_grace: Duration,
    /// How long a job may fit no worker before it is refused.
    pub unschedulable_grace: Duration,
    /// How long a worker that refused a start gets none.
    pub refusal_backoff: Duration,
    /// How long a throttled task may use too much before it is checkpointed.
    pub throttle_grace: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_placements: pomelohitch_core::record::job::MAX_PLACEMENTS,
            lookahead: 32,
            reservation_timeout: Duration::from_mins(5),
            headroom_permille: 20,
            headroom_period: Duration::from_mins(30),
            drain_grace: Duration::from_secs(20),
            unschedulable_grace: Duration::from_mins(1),
            refusal_backoff: Duration::from_secs(5),
            throttle_grace: Duration::from_secs(20),
        }
    }
}

/// What to do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decision {
    /// Which job goes where.
    pub place: Vec<Placement>,
    /// Attempts that are checkpointed.
    pub preempt: Vec<Preemption>,
    /// Jobs that can never run.
    pub refuse: Vec<JobId>,
    /// Workers that go into quarantine.
    pub quarantine: Vec<InstanceId>,
    /// Workers that come out of it.
    pub release: Vec<InstanceId>,
    /// Tasks that use more than their worker can bear; no record is needed for these.
    pub throttle: Vec<Throttle>,
}

impl Decision {
    /// Whether nothing has to be recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.place.is_empty()
            && self.preempt.is_empty()
            && self.refuse.is_empty()
            && self.quarantine.is_empty()
            && self.release.is_empty()
    }
}

/// A task to slow down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Throttle {
    /// The job.
    pub job: JobId,
    /// Where it runs.
    pub worker: InstanceId,
    /// Its attempt.
    pub attempt: AttemptId,
}

/// A team as the planner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamTerms {
    /// Its weight when everything is full.
    pub share: u32,
    /// The most attempts that it may have.
    pub limit: u32,
}

/// The order in which jobs of a team are tried.
type QueueKey = (Offset, JobId);
/// The place of a worker in the order of the index.
type Slot = usize;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Team {
    share: u32,
    limit: u32,
    active: u32,
    /// For how many jobs room is being made.
    reservation_count: u32,
    reserved: Resources,
    used: Resources,
    /// The part of it whose tasks are being stopped.
    stopping: Resources,
    urgent_used: Resources,
    urgent: Queue,
    patient: Queue,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Job {
    entry: Entry,
    /// When it was first seen to wait.
    waiting_since: Duration,
    status: JobStatus,
}

/// Where the books have a job.
#[derive(Debug, Clone, PartialEq, Eq)]
enum JobStatus {
    /// In its team's queue.
    Queued,
    /// Aside, because it fits no worker.
    Unschedulable { since: Duration },
    /// On a worker.
    Assigned(Task),
    /// Over.
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Task {
    worker: InstanceId,
    /// What counts as used: what is set aside, or more if more was seen.
    allocated: Resources,
    since: Duration,
    is_stopping: bool,
    throttled: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Machine {
    worker: Worker,
    slot: Slot,
    tasks: BTreeSet<JobId>,
    allocated: Resources,
    reserved: Resources,
    /// What checkpoints of patient work would free.
    reclaimable: Resources,
}

/// Room that is being made for a job on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reservation {
    team: TeamId,
    is_urgent: bool,
    worker: InstanceId,
    need: Resources,
    since: Duration,
    has_preempted: bool,
}

/// Workers in the order of the index, and the racks and zones they lie in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Layout {
    workers: Vec<InstanceId>,
    /// For each slot, the slot after the last one of its rack.
    rack_end: Vec<Slot>,
    zones: Vec<(Slot, Slot)>,
    /// The slot after the last worker without accelerators.
    cpu_only_end: Slot,
    racks: usize,
}

/// The books of batch work and the decisions.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    options: Options,
    machines: BTreeMap<InstanceId, Machine>,
    layout: Layout,
    is_layout_stale: bool,
    /// Room for patient work, which keeps away from workers in quarantine.
    free: Index,
    /// Room after every patient task is checkpointed.
    reclaimable: Index,
    capacity: Index,
    total: Resources,
    total_allocated: Resources,
    teams: BTreeMap<TeamId, Team>,
    jobs: BTreeMap<JobId, Job>,
    /// Attempts by group, by zone and by rack.
    groups: BTreeMap<(TeamId, Box<str>), GroupCounts>,
    reservations: BTreeMap<JobId, Reservation>,
    reservations_on: BTreeMap<InstanceId, BTreeSet<JobId>>,
    /// Workers with promises that changed since these were last looked at.
    changed_workers: BTreeSet<InstanceId>,
    /// When patience with promises ends.
    reservation_deadlines: BTreeSet<(Duration, JobId)>,
    unschedulable: BTreeSet<JobId>,
    leaving: BTreeMap<InstanceId, Duration>,
    probes: BTreeMap<JobId, InstanceId>,
    released: BTreeSet<InstanceId>,
    /// Workers that refused a start, and until when they get none.
    backing_off: BTreeMap<InstanceId, Duration>,
    overusing: Vec<JobId>,
    sizes: Sizes,
    health: Health,
    last_urgent: Option<Duration>,
    /// Where the next search for room by checkpoints begins, so that they spread over workers.
    search_start: Slot,
    has_changed: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct GroupCounts {
    zones: BTreeMap<ZoneId, u32>,
    racks: BTreeMap<(ZoneId, RackId), u32>,
}

/// What to do in a team's turn.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    /// This job goes to this worker.
    Place(JobId, InstanceId, Resources),
    /// This job gets room reserved on this worker.
    Reserve(JobId, InstanceId, Resources),
    /// This job fits no worker.
    MarkUnschedulable(JobId, Resources),
    /// Nothing of the team can be placed now.
    Done,
}

/// Shapes that found no room in this pass: whatever needs at least as much finds none either.
#[derive(Debug, Default)]
struct UnmetNeeds {
    needs: Vec<Resources>,
    /// Classes none of whose jobs can need less than what found no room.
    classes: BTreeSet<JobClass>,
}

impl UnmetNeeds {
    fn covers(&self, need: &Resources) -> bool {
        self.needs.iter().any(|unmet| need.covers(unmet))
    }

    fn add(&mut self, need: Resources) {
        self.needs.retain(|unmet| !unmet.covers(&need));
        self.needs.push(need);
    }
}

impl Planner {
    /// A planner that knows of nothing yet.
    #[must_use]
    pub fn new(options: Options) -> Planner {
        Planner {
            options,
            has_changed: true,
            ..Planner::default()
        }
    }

    /// Decides what to do now. `now` is any clock that doesn't go back.
    pub fn decide(&mut self, now: Duration) -> Decision {
        let mut decision = Decision::default();
        self.check_worker_health(now, &mut decision);
        self.rebuild_layout();
        self.drain(now, &mut decision);
        self.limit_overuse(now, &mut decision);
        self.refuse_unschedulable(now, &mut decision);
        self.fulfill_reservations(now, &mut decision);
        if std::mem::take(&mut self.has_changed) {
            self.place_urgent(now, &mut decision);
            self.place_patient(now, &mut decision);
        }
        decision
    }

    /// How many jobs wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let queues = self.teams.values();
        let queued: usize = queues.map(|t| t.urgent.len() + t.patient.len()).sum();
        queued + self.unschedulable.len()
    }

    /// What `team` has set aside.
    #[must_use]
    pub fn used_by(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or_else(Resources::default, |t| t.used)
    }

    /// What is set aside on `worker`, and what it has.
    #[must_use]
    pub fn load_of(&self, worker: &str) -> Option<(Resources, Resources)> {
        let machine = self.machines.get(worker)?;
        Some((machine.allocated, machine.worker.capacity))
    }

    /// How long `job` is expected to run.
    #[must_use]
    pub fn run_time(&self, job: &str) -> Option<Duration> {
        Some(self.sizes.run_time(&self.jobs.get(job)?.entry))
    }

    /// What a job of this shape would get set aside now.
    #[must_use]
    pub fn need(&self, entry: &Entry) -> Resources {
        self.sizes.need(entry, &self.capacity.max())
    }

    fn is_urgent(entry: &Entry) -> bool {
        entry.job.urgency == Urgency::Urgent
    }
}

/// Parts in a billion of a resource; of no resource at all, none.
fn fraction_ppb(used: u64, total: u64) -> u64 {
    const BILLION: u128 = 1_000_000_000;
    if total == 0 {
        return 0;
    }
    let ppb = u128::from(used) * BILLION / u128::from(total);
    u64::try_from(ppb).unwrap_or(u64::MAX)
}

/// The largest part of any resource, in billionths.
fn dominant_share(used: &Resources, total: &Resources) -> u64 {
    fraction_ppb(used.cpu_milli, total.cpu_milli)
        .max(fraction_ppb(used.memory_mib, total.memory_mib))
        .max(fraction_ppb(used.accelerators, total.accelerators))
}
