//! The accounting of workers, teams and jobs, and the placement decisions.
//!
//! The accounting holds the allocated resources of every worker and team. [`Planner::decide`]
//! applies its own placements to it immediately, so that the next decision builds on them;
//! [`Planner::set_job`] then corrects it with the job's entry from the replicated log.
//!
//! * `accounting`: applies changes of workers, teams and jobs.
//! * `queue`: the waiting jobs of a team.
//! * `urgent_jobs`, `patient_jobs`: choose the next job of each urgency and place it.
//! * `search`: finds a worker with enough free capacity for a job.
//! * `reservations`: reserves capacity on a worker for a job until it can be placed, and preempts
//!   other tasks to free it.
//! * `maintenance`: drains leaving workers, throttles tasks, probes quarantined workers, and
//!   refuses jobs that fit no worker.

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

/// Settings of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of placements in one decision.
    pub max_placements: usize,
    /// Number of job classes of a team that are tried in one pass when no worker has enough free
    /// capacity for the first ones.
    pub lookahead: usize,
    /// How long a patient job with a reservation waits for running tasks to end; afterwards
    /// patient tasks on the reserved worker are preempted.
    pub reservation_timeout: Duration,
    /// Share of the workers without accelerators, in thousandths, that is kept free of patient
    /// jobs if urgent jobs were waiting within the last `headroom_period`.
    pub headroom_permille: usize,
    /// How long the headroom is kept after the last urgent job waited.
    pub headroom_period: Duration,
    /// How long tasks on a leaving worker may continue before they are preempted.
    pub drain_grace: Duration,
    /// How long a job may be unschedulable before it is refused.
    pub unschedulable_grace: Duration,
    /// How long no job is placed on a worker after it refused to start one.
    pub refusal_backoff: Duration,
    /// How long a throttled task may keep its worker over capacity before it is preempted.
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

/// Placements, preemptions and other actions to carry out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decision {
    /// Jobs to start, with worker and resources.
    pub place: Vec<Placement>,
    /// Attempts to stop with a checkpoint.
    pub preempt: Vec<Preemption>,
    /// Jobs to end because they fit no worker.
    pub refuse: Vec<JobId>,
    /// Workers to put into quarantine.
    pub quarantine: Vec<InstanceId>,
    /// Workers to release from quarantine.
    pub release: Vec<InstanceId>,
    /// Tasks to slow down because they exceed their worker's capacity; not recorded in the log.
    pub throttle: Vec<Throttle>,
}

impl Decision {
    /// Whether the decision has nothing to record in the log; `throttle` does not count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.place.is_empty()
            && self.preempt.is_empty()
            && self.refuse.is_empty()
            && self.quarantine.is_empty()
            && self.release.is_empty()
    }
}

/// Request to slow down a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Throttle {
    /// Id of the job.
    pub job: JobId,
    /// Id of the worker that runs it.
    pub worker: InstanceId,
    /// Id of the job's current attempt.
    pub attempt: AttemptId,
}

/// Share and limit of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamQuota {
    /// Weight relative to other teams.
    pub share: u32,
    /// Maximum number of concurrent attempts, including those being stopped.
    pub limit: u32,
}

/// Sort key of a team's waiting jobs: the offset of the submission, then the id.
type QueueKey = (Offset, JobId);
/// Position of a worker in the indices.
type Slot = usize;

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Team {
    share: u32,
    limit: u32,
    /// Number of attempts that are placed, running or being stopped.
    active: u32,
    /// Number of jobs with a reservation.
    reservation_count: u32,
    /// Sum of the reservations.
    reserved: Resources,
    /// Allocated resources.
    used: Resources,
    /// The part of `used` whose tasks are being stopped.
    stopping: Resources,
    /// Allocated and reserved resources of urgent jobs.
    urgent_used: Resources,
    urgent: Queue,
    patient: Queue,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Job {
    entry: Entry,
    /// When the planner first received the job.
    waiting_since: Duration,
    status: JobStatus,
}

/// State of a job in the accounting.
#[derive(Debug, Clone, PartialEq, Eq)]
enum JobStatus {
    /// Waits in its team's queue.
    Queued,
    /// Fits no worker, even an empty one; not in the queue.
    Unschedulable { since: Duration },
    /// Has resources allocated on a worker.
    Assigned(Task),
    /// Refused or ended.
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Task {
    worker: InstanceId,
    /// The resources reserved by the placement, raised to the reported usage where that is higher.
    allocated: Resources,
    since: Duration,
    is_stopping: bool,
    throttled_at: Option<Duration>,
}

/// A worker with the resources that are allocated and reserved on it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Machine {
    worker: Worker,
    slot: Slot,
    tasks: BTreeSet<JobId>,
    allocated: Resources,
    reserved: Resources,
    /// Allocated resources of patient tasks, which preemption would free.
    reclaimable: Resources,
}

/// Capacity that is kept on a worker for a waiting job until enough of it is free.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reservation {
    team: TeamId,
    is_urgent: bool,
    worker: InstanceId,
    need: Resources,
    since: Duration,
    has_preempted: bool,
}

/// Order of the workers in the indices, with the bounds of racks and zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Layout {
    workers: Vec<InstanceId>,
    /// For each slot, the end (exclusive) of its rack.
    rack_end: Vec<Slot>,
    /// Start and end (exclusive) of each zone. A zone has one entry for its workers without
    /// accelerators and one for those with.
    zones: Vec<(Slot, Slot)>,
    /// End (exclusive) of the workers without accelerators.
    cpu_only_end: Slot,
    /// Number of racks; one that has workers with and without accelerators counts twice.
    racks: usize,
}

/// Keeps the accounting of batch jobs and decides on placements.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    options: Options,
    machines: BTreeMap<InstanceId, Machine>,
    layout: Layout,
    is_layout_stale: bool,
    /// Free capacity by slot; zero for workers that take no jobs, such as quarantined ones.
    free: Index,
    /// Free capacity by slot if all patient tasks were preempted.
    reclaimable: Index,
    /// Total capacity by slot.
    capacity: Index,
    /// Sum of the capacity of the workers that take jobs.
    total: Resources,
    total_allocated: Resources,
    teams: BTreeMap<TeamId, Team>,
    jobs: BTreeMap<JobId, Job>,
    /// Number of attempts of each job group by zone and by rack.
    groups: BTreeMap<(TeamId, Box<str>), GroupCounts>,
    reservations: BTreeMap<JobId, Reservation>,
    reservations_on: BTreeMap<InstanceId, BTreeSet<JobId>>,
    /// Workers with reservations whose accounting changed since the reservations were checked.
    changed_workers: BTreeSet<InstanceId>,
    /// When each reservation reaches `reservation_timeout`.
    reservation_deadlines: BTreeSet<(Duration, JobId)>,
    unschedulable: BTreeSet<JobId>,
    /// Workers that take no new jobs, each with the time at which that began.
    leaving: BTreeMap<InstanceId, Duration>,
    /// Jobs that probe a quarantined worker.
    probes: BTreeMap<JobId, InstanceId>,
    /// Workers whose probe succeeded, to be released from quarantine by the next decision.
    released: BTreeSet<InstanceId>,
    /// Workers that refused to start a job, with the time until which none is placed there.
    backing_off: BTreeMap<InstanceId, Duration>,
    /// Jobs whose usage exceeded their allocation.
    overusing: Vec<JobId>,
    sizes: Sizes,
    health: Health,
    /// When an urgent job last waited.
    last_urgent: Option<Duration>,
    /// Where the next search for preemption candidates starts, which spreads preemptions over
    /// the workers.
    search_start: Slot,
    /// Whether a change may allow further placements.
    has_changed: bool,
}

/// Number of attempts of a job group by zone and by rack.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct GroupCounts {
    zones: BTreeMap<ZoneId, u32>,
    racks: BTreeMap<(ZoneId, RackId), u32>,
}

/// Next action for the patient jobs of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    /// Place the job on the worker with these resources.
    Place(JobId, InstanceId, Resources),
    /// Reserve these resources for the job on the worker.
    Reserve(JobId, InstanceId, Resources),
    /// Take the job out of its queue, as it fits no worker.
    MarkUnschedulable(JobId, Resources),
    /// No job of the team can be placed in this pass.
    Done,
}

/// Resource needs for which no worker had capacity in this pass. A job that needs at least as much
/// as one of them is not tried.
#[derive(Debug, Default)]
struct UnmetNeeds {
    needs: Vec<Resources>,
    /// Classes of which no job can need less than one of `needs`.
    classes: BTreeSet<JobClass>,
}

impl UnmetNeeds {
    /// Whether `need` is at least as much as one of the unmet needs.
    fn rules_out(&self, need: &Resources) -> bool {
        self.needs.iter().any(|unmet| need.covers(unmet))
    }

    fn add(&mut self, need: Resources) {
        self.needs.retain(|unmet| !unmet.covers(&need));
        self.needs.push(need);
    }
}

impl Planner {
    /// Creates a planner without workers, teams or jobs.
    #[must_use]
    pub fn new(options: Options) -> Planner {
        Planner {
            options,
            has_changed: true,
            ..Planner::default()
        }
    }

    /// Decides on the next actions and applies them to the accounting. `now` is the reading of a
    /// monotonic clock.
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

    /// Number of waiting jobs, including those that fit no worker.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let queues = self.teams.values();
        let queued: usize = queues.map(|t| t.urgent.len() + t.patient.len()).sum();
        queued + self.unschedulable.len()
    }

    /// Resources allocated to `team`.
    #[must_use]
    pub fn used_by(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or_else(Resources::default, |t| t.used)
    }

    /// Allocated resources and capacity of `worker`; `None` if the planner doesn't know it.
    #[must_use]
    pub fn load_of(&self, worker: &str) -> Option<(Resources, Resources)> {
        let machine = self.machines.get(worker)?;
        Some((machine.allocated, machine.worker.capacity))
    }

    /// Expected run time of `job`; `None` if the planner doesn't know it.
    #[must_use]
    pub fn run_time(&self, job: &str) -> Option<Duration> {
        Some(self.sizes.run_time(&self.jobs.get(job)?.entry))
    }

    /// Resources that a placement of this job would reserve at present.
    #[must_use]
    pub fn need(&self, entry: &Entry) -> Resources {
        self.sizes.need(entry, &self.capacity.max())
    }

    fn is_urgent(entry: &Entry) -> bool {
        entry.job.urgency == Urgency::Urgent
    }
}

/// `used / total` in billionths; 0 if `total` is 0.
fn fraction_ppb(used: u64, total: u64) -> u64 {
    const BILLION: u128 = 1_000_000_000;
    if total == 0 {
        return 0;
    }
    let ppb = u128::from(used) * BILLION / u128::from(total);
    u64::try_from(ppb).unwrap_or(u64::MAX)
}

/// Largest fraction of any one resource that is used, in billionths (dominant share).
fn dominant_share(used: &Resources, total: &Resources) -> u64 {
    fraction_ppb(used.cpu_milli, total.cpu_milli)
        .max(fraction_ppb(used.memory_mib, total.memory_mib))
        .max(fraction_ppb(used.accelerators, total.accelerators))
}
