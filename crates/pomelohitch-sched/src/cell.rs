//! The scheduler's state of all jobs and endpoints, and the decisions made from it.
//!
//! * [`calls`]: API requests of callers.
//! * `admit`: refusal of jobs that can't be of use any more.
//! * `archive`: records of jobs that have ended.
//! * [`accounting`]: jobs, runs, and the capacity and workspace limits that runs use.
//! * [`commits`]: actions that wait until their records are durable.
//! * [`completions`]: ends of runs and jobs.
//! * `isolation`: endpoints of their own for jobs suspected of crashing endpoints.
//! * [`losses`]: lost runs, most of them lost with their endpoints.
//! * [`lifecycle`]: endpoints that are listed, restart and disappear.
//! * [`polls`]: polls of endpoints and their answers.
//! * [`orders`]: results of orders to endpoints.
//! * `run_times`: learning of run times, and what jobs are expected to take.
//! * [`schedule`]: which tasks start on which endpoints.
//! * [`gangs`]: gangs and rack-local steps.
//! * [`advice`]: which endpoints a queue's placement policy allows.
//! * [`stalled`]: runs that make no progress.
//! * `speeds`: endpoints on which runs are slow.
//! * `copies`: copies of runs that end too late.
//! * [`evacuate`]: evacuation of availability zones.
//! * [`evict`]: moving lasting tasks to other endpoints, and pacing of fillers.
//! * [`autoscaling`]: moving instances between pools by demand.
//! * [`sharing`]: sharing of room among workspaces over all pools.
//! * [`operations`]: the list of instances, and operations on them.
//! * [`waves`]: maintenance in waves.
//!
//! A [`Batch`] holds the records of what was decided since the last one, and the actions that may
//! be carried out once these records are durable. Several batches may be in flight; they become
//! durable in the order in which they were taken.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tracing::info;

use crate::avoidance::Avoidance;
use crate::config::{FleetConfig, Queue, Terms};
use crate::demand::Demand;
use crate::endpoint::Endpoint;
use crate::estimates::{self, Estimates};
use crate::evacuations::Evacuations;
use crate::flow::StartWindow;
use crate::id::{EndpointId, Epoch, JobId, QueueName, ServiceName, WorkspaceName};
use crate::instances::{Instance, Instances};
use crate::job::JobSpec;
use crate::loss::LossCounts;
use crate::order::{Action, Answer, Due, Target};
use crate::overload::Overload;
use crate::policy::Policy;
use crate::progress::{self, Entry, JobState, Progress, Record};
use crate::rate::RateLimiter;
use crate::resources::Resources;
use crate::sharing::RecentWork;
use crate::strays::Strays;
use crate::unanswered::UnansweredStarts;
use crate::urgency::Candidate;
use crate::withdrawn::{self, WithdrawnJobs};
use crate::{Now, Steady, UnixMs};

use self::copies::Copies;
pub use self::copies::CopyCounts;
pub use self::speeds::SiblingTimes;
use self::speeds::SlowEndpoints;

pub mod accounting;
mod admit;
pub mod advice;
mod archive;
pub mod autoscaling;
pub mod calls;
pub mod commits;
pub mod completions;
mod copies;
pub mod evacuate;
pub mod evict;
pub mod gangs;
mod isolation;
pub mod lifecycle;
pub mod losses;
pub mod operations;
pub mod orders;
pub mod polls;
mod run_times;
pub mod schedule;
pub mod sharing;
mod speeds;
pub mod stalled;
pub mod waves;

/// Minimum time between two housekeeping passes over instances, leases and lasting tasks. The
/// changes that they wait for take a second or more.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum time between two housekeeping passes per endpoint, for large fleets.
const HOUSEKEEPING_PER_ENDPOINT: Duration = Duration::from_micros(50);
/// Minimum time between two scheduling passes. Starts wait for the next append to the log in any
/// case, and appends are at least 15 ms apart.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two passes as a multiple of the average duration of a tick.
const PASS_INTERVAL_FACTOR: u32 = 4;
/// Upper limit of the time between two passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(150);
/// Weight of the newest tick in the moving average of tick durations.
const TICK_DURATION_WEIGHT: f64 = 0.1;

/// Parameters of the site, and time-outs and limits of the scheduler.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Length of a lease. Has to outlast a change of leader, which takes about 2 s. It is no longer
    /// than that needs, since the tasks of a silent endpoint can't be started elsewhere before its
    /// lease has expired.
    pub lease: Duration,
    /// Longest lease that endpoints grant, whatever is requested. An order for a former incarnation
    /// grants it to the next one, for whose clock the requested end lies far ahead.
    pub max_lease: Duration,
    /// Validity of a start order by the endpoint's clock, from the commit of its record.
    pub start_validity: Duration,
    /// Time after its decision at which a start order that wasn't sent is dropped.
    pub start_send_timeout: Duration,
    /// Maximum time for which an endpoint holds a poll until a run ends.
    pub poll_wait: Duration,
    /// The limit instead of `poll_wait` where tasks run that end by themselves. A lost poll hides
    /// their ends until it expires, and the next steps of their jobs wait.
    pub poll_wait_for_ends: Duration,
    /// The limit instead of `poll_wait` where tasks have a latency target, since their latency is
    /// known only from polls, and where lasting tasks run while some of them start or have to move.
    pub poll_wait_for_latency: Duration,
    /// Minimum time between two polls of an endpoint, so that runs that end close together are
    /// reported by one poll.
    pub min_poll_interval: Duration,
    /// Delay of the next poll while ends can't be acknowledged, and unit of the delay after failed
    /// polls, which grows with their number. The first failed poll is repeated at once unless the
    /// link is congested.
    pub poll_retry_delay: Duration,
    /// Maximum age of the endpoint entries and operator requests read from the store. With older
    /// ones nothing is started: capacity may have shrunk, endpoints may be draining, zones may be
    /// evacuated.
    pub max_entry_age: Duration,
    /// An endpoint that hasn't answered a poll for this long receives no new tasks.
    pub max_silence: Duration,
    /// Leases end at most `lease` plus this after the leadership was last confirmed.
    pub confirmation_grace: Duration,
    /// Time by which every lease of former leaders has expired, from the moment when none of them can
    /// be confirmed any more: `lease` plus `confirmation_grace`, by the slowest clock.
    pub former_lease_expiry: Duration,
    /// Retention of ended jobs.
    pub job_retention: Duration,
    /// An occurrence may begin this long before its due time.
    pub early_start: Duration,
    /// Minimum time between operations that two successive leaders order on one instance.
    pub operation_gap: Duration,
    /// Time after a change of leader for which the former leader may still send operations: its
    /// leadership was confirmed at most 1.5 s before.
    pub former_leader_timeout: Duration,
    /// Rate limit of the platform for operations on instances, per second.
    pub operations_per_s: f64,
    /// Bandwidth of this member's link, bytes a second, if it is known.
    pub link_bytes_per_s: Option<f64>,
    /// Maximum number of jobs held at once, limited by the memory of an entry instance.
    pub max_jobs: usize,
    /// The fleet's time at the start of this leadership, milliseconds since 1970. It is carried
    /// from leader to leader by steady clocks. `None` if no member knows it because all have
    /// restarted; the time of day is used instead.
    pub fleet_ms: Option<UnixMs>,
    /// Lower bound of the fleet's time at the start of this leadership, from the last liveness
    /// record of the former leader. Used where `fleet_ms` isn't known, to tell how old the former
    /// leader's operations are.
    pub fleet_ms_at_least: Option<UnixMs>,
    /// Which scheduling mechanisms are on, and their limits.
    pub policy: Policy,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Duration::from_secs(6),
            max_lease: Duration::from_secs(6),
            confirmation_grace: Duration::from_millis(1500),
            start_validity: Duration::from_millis(700),
            start_send_timeout: Duration::from_millis(800),
            poll_wait: Duration::from_millis(700),
            poll_wait_for_ends: Duration::from_millis(200),
            poll_wait_for_latency: Duration::from_millis(300),
            min_poll_interval: Duration::from_millis(25),
            poll_retry_delay: Duration::from_millis(200),
            max_entry_age: Duration::from_secs(3),
            max_silence: Duration::from_millis(1800),
            former_lease_expiry: Duration::from_secs(10),
            job_retention: Duration::from_secs(150),
            early_start: Duration::ZERO,
            operation_gap: Duration::from_millis(3500),
            former_leader_timeout: Duration::from_millis(1800),
            operations_per_s: 64.0,
            link_bytes_per_s: None,
            max_jobs: 50_000,
            fleet_ms: None,
            fleet_ms_at_least: None,
            policy: Policy::default(),
        }
    }
}

/// A job and its progress.
#[derive(Debug, Clone)]
pub struct Job {
    /// The job as its caller submitted it.
    pub spec: Arc<JobSpec>,
    /// State of the job, its occurrences, tasks and runs.
    pub progress: Progress,
    /// The last durable state. Callers see this one.
    pub durable_state: JobState,
    /// Inputs of the urgency ranking, while an occurrence is open.
    pub candidate: Option<Candidate>,
    /// Times that runs of its steps took.
    pub sibling_times: SiblingTimes,
    /// Whether its records were replaced by the short one of an ended job.
    pub is_archived: bool,
}

/// Records that are appended together, and the actions that wait for them.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records to make durable.
    pub records: Vec<Record>,
    /// Actions to carry out once the records are durable.
    pub actions: Vec<Action>,
    /// Job states in the records, shown to callers once these are durable.
    job_states: Vec<(JobId, JobState)>,
    /// Endpoint, its incarnation, and the number of the last end that the records cover.
    last_ends: Vec<(EndpointId, u64, u64)>,
}

impl Batch {
    /// Whether its actions need proof that the leadership lasts, so that it waits for an append also
    /// without records: one tells a caller that a job doesn't exist.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        let gone = Answer::Gone;
        let denies =
            |action: &Action| matches!(action, Action::Reply { answer, .. } if *answer == gone);
        self.actions.iter().any(denies)
    }
}

/// The scheduler's state: all jobs, endpoints and instances.
#[derive(Debug)]
pub struct Cell {
    settings: Settings,
    epoch: Epoch,
    cfg: Option<Arc<FleetConfig>>,
    /// Index of each queue in the configuration. It is looked up at each change of a job, and there
    /// may be thousands of queues.
    queues: HashMap<QueueName, usize>,
    /// Index of each workspace in the configuration.
    workspaces: HashMap<WorkspaceName, usize>,
    /// Number of records that couldn't be decoded when the leader took over.
    skipped_records: usize,
    /// Jobs of which a record couldn't be decoded then.
    skipped_jobs: BTreeSet<JobId>,
    housekeeping_at: Steady,
    scheduled_at: Steady,
    /// Moving average of the duration of a tick.
    tick_duration: Duration,
    /// Number of scheduling passes so far; determines which service goes first.
    passes: usize,
    now: Now,
    /// Start of this leadership.
    leader_since: Steady,
    /// As of when the leadership is known to be the only one, if it was ever confirmed.
    confirmed_at: Option<Steady>,
    /// Since when no former leader can be confirmed, if that is known.
    formers_bounded_at: Option<Steady>,
    /// The fleet's time at the start of this leadership.
    leader_since_ms: UnixMs,
    jobs: BTreeMap<JobId, Job>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that ended since the last call of [`Cell::take_ended_endpoints`].
    ended_endpoints: Vec<EndpointId>,
    /// Number of entries visited by passes over all endpoints or all instances.
    visits: std::cell::Cell<u64>,
    /// Resources that each workspace's runs use, checked against its limit.
    workspace_usage: BTreeMap<WorkspaceName, Resources>,
    /// Jobs with a waiting task whose earlier steps are done, by service.
    ready_jobs: BTreeMap<ServiceName, BTreeSet<JobId>>,
    /// Jobs of which no task has started, by queue. Repeating jobs aren't counted.
    queued_jobs: BTreeMap<QueueName, BTreeSet<JobId>>,
    /// The next occurrence of each job, by due time.
    due_occurrences: BTreeSet<Due>,
    /// Ended jobs by end, to be dropped after the retention.
    ended_jobs: BTreeSet<Due>,
    instances: Instances,
    /// Endpoints with runs that the newest lists of instances lack.
    absences: BTreeMap<EndpointId, operations::Absence>,
    /// Endpoints whose instances were taken down by operations, with their incarnations and when the
    /// platform accepted the operations.
    taken_down: BTreeMap<EndpointId, (u64, Steady)>,
    /// Plan of each open wave.
    wave_plans: BTreeMap<u64, waves::WavePlan>,
    evacuations: Evacuations,
    avoidance: Avoidance,
    slow_endpoints: SlowEndpoints,
    copies: Copies,
    /// Rate limiter of operations on instances.
    operation_limiter: RateLimiter,
    /// Time from which the former leader sends no more operations on instances.
    operations_allowed_from: Steady,
    demand: Demand,
    /// Recent work of each workspace, by service.
    recent_work: RecentWork,
    /// How much is let in where there is more work than can be done.
    overload: Overload,
    /// Room and claims of all pools as of the last decision about moves.
    shares: sharing::Shares,
    /// Room of each service that late jobs could use and leave to others.
    idle_rooms: BTreeMap<ServiceName, sharing::IdleRoom>,
    /// Pools that are held to less than they want.
    held_pools: BTreeSet<ServiceName>,
    /// Expected run times of tasks.
    estimates: Estimates,
    /// Work that waits for each service.
    backlogs: admit::Backlogs,
    /// Window on starts in flight.
    start_window: StartWindow,
    /// Moving average of the time from the arrival of an endpoint's answer to its processing.
    answer_lag: Duration,
    /// Endpoints to be emptied so that their instances can move to another pool.
    emptying: BTreeSet<EndpointId>,
    shortages: BTreeMap<ServiceName, schedule::Shortage>,
    /// Services with lasting tasks that have to move but fit on no other endpoint, and since when.
    blocked_services: BTreeMap<ServiceName, evict::Blocked>,
    /// Room kept for such tasks, by service.
    kept_rooms: BTreeMap<ServiceName, evict::KeptRoom>,
    autoscaled_at: Steady,
    surplus_since: Option<Steady>,
    /// What placement policies have said about steps.
    advice: BTreeMap<crate::TaskId, advice::Advice>,
    /// Steps about which a placement policy was asked and hasn't answered.
    open_queries: BTreeSet<crate::TaskId>,
    /// Jobs that were cancelled before they were submitted.
    withdrawn: WithdrawnJobs,
    /// Jobs whose progress changed since the last batch.
    dirty: BTreeSet<JobId>,
    /// Jobs whose spec isn't in a batch yet.
    unsaved_specs: BTreeSet<JobId>,
    /// Jobs whose spec has changed since it was recorded.
    changed_specs: BTreeSet<JobId>,
    /// Jobs whose records are to be deleted, and whether they are archived.
    dropped_jobs: BTreeMap<JobId, bool>,
    /// Records of waves and operations for the next batch.
    extra_records: Vec<Record>,
    /// Endpoints that have reported ends since the last batch.
    new_ends: BTreeSet<EndpointId>,
    /// Time as of which the entries of endpoints are known.
    endpoints_as_of: Steady,
    /// Time as of which the requests of operators are known.
    operators_as_of: Steady,
    /// Time since which nothing starts because `endpoints_as_of` or `operators_as_of` is too old.
    held_back_since: Option<Steady>,
    loss_counts: LossCounts,
    strays: Strays,
    /// Number of jobs given up since the last call of [`Cell::take_given_up`].
    given_up_count: u64,
    /// Jobs that have to run isolated from others, and the time of their last start or loss, from
    /// which their wait for an endpoint is counted.
    suspected: BTreeMap<JobId, Steady>,
    /// Tasks whose runs were lost with a silent endpoint, and its incarnation.
    presumed_lost: BTreeMap<EndpointId, (u64, Vec<crate::TaskId>)>,
    /// Starts that were given up without an answer.
    unanswered: UnansweredStarts,
    /// Actions that need no record.
    outbox: Vec<Action>,
    /// Actions that wait until the records of the next batch are durable.
    after_commit: Vec<Action>,
    is_fenced: bool,
    is_evicting: bool,
    is_log_down: bool,
}

impl Cell {
    /// Restores the state of the leader with `epoch` from the records of former leaders.
    ///
    /// Records that can't be decoded are skipped, and their errors returned.
    #[must_use]
    pub fn restore(
        settings: Settings,
        epoch: Epoch,
        now: Now,
        records: &[(Box<str>, Box<[u8]>)],
    ) -> (Cell, Vec<progress::Error>) {
        let mut cell = Cell::new(settings, epoch, now);
        let mut errors = Vec::new();
        let mut specs = BTreeMap::new();
        let mut progresses = BTreeMap::new();
        let mut ended = Vec::new();
        for (key, value) in records {
            if Instances::has_record(key) {
                cell.instances.restore(key, value);
                continue;
            }
            if estimates::is_key(key) && cell.settings.policy.learns_run_times {
                cell.estimates.restore(key, value);
                continue;
            }
            if withdrawn::is_key(key) {
                if let Err(error) = cell.withdrawn.restore(key, value) {
                    errors.push(error);
                }
                continue;
            }
            if !key.starts_with(['j', 'p', 'e']) {
                continue;
            }
            match progress::decode(key, value) {
                Ok(Entry::Spec(spec)) => {
                    specs.insert(spec.id, spec);
                }
                Ok(Entry::Progress(id, progress)) => {
                    progresses.insert(id, progress);
                }
                Ok(Entry::Ended(job)) => ended.push(job),
                Err(error) => {
                    cell.skipped_jobs.extend(crate::id::job_at_end(key));
                    errors.push(error);
                }
            }
        }
        for job in ended {
            let progress = job.progress();
            let id = job.spec.id;
            cell.add_job(Arc::new(job.spec), progress);
            if let Some(job) = cell.jobs.get_mut(&id) {
                job.is_archived = true;
            }
        }
        for (id, spec) in specs {
            let progress = progresses.remove(&id).unwrap_or_default();
            // Without the record of its progress, a job would begin anew.
            if !cell.is_skipped(id) && !cell.jobs.contains_key(&id) {
                cell.add_job(spec, progress);
            }
        }
        // Where the time of day stands in for the fleet's time, it may be behind the records.
        let recorded = cell.jobs.values();
        let newest = recorded.map(|j| j.spec.accepted_ms.max(j.progress.ended_ms));
        let newest = newest.max().max(cell.instances.newest_request_ms());
        cell.leader_since_ms = cell.leader_since_ms.max(newest.unwrap_or(0));
        cell.skipped_records = errors.len();
        (cell, errors)
    }

    fn new(settings: Settings, epoch: Epoch, now: Now) -> Cell {
        Cell {
            operation_limiter: RateLimiter::new(settings.operations_per_s),
            operations_allowed_from: now.steady + settings.former_leader_timeout,
            demand: Demand::new(settings.policy.demand, settings.policy.margins),
            recent_work: RecentWork::default(),
            overload: Overload::default(),
            shares: sharing::Shares::default(),
            idle_rooms: BTreeMap::new(),
            held_pools: BTreeSet::new(),
            estimates: Estimates::default(),
            backlogs: admit::Backlogs::new(),
            epoch,
            cfg: None,
            queues: HashMap::new(),
            workspaces: HashMap::new(),
            skipped_records: 0,
            skipped_jobs: BTreeSet::new(),
            housekeeping_at: Steady::ZERO,
            scheduled_at: Steady::ZERO,
            tick_duration: Duration::ZERO,
            passes: 0,
            now,
            leader_since: now.steady,
            confirmed_at: None,
            formers_bounded_at: None,
            leader_since_ms: settings
                .fleet_ms
                .unwrap_or(now.unix_ms.max(settings.fleet_ms_at_least.unwrap_or(0))),
            jobs: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            ended_endpoints: Vec::new(),
            visits: std::cell::Cell::default(),
            workspace_usage: BTreeMap::new(),
            ready_jobs: BTreeMap::new(),
            queued_jobs: BTreeMap::new(),
            due_occurrences: BTreeSet::new(),
            ended_jobs: BTreeSet::new(),
            instances: Instances::default(),
            absences: BTreeMap::new(),
            taken_down: BTreeMap::new(),
            wave_plans: BTreeMap::new(),
            evacuations: Evacuations::default(),
            avoidance: Avoidance::default(),
            slow_endpoints: SlowEndpoints::default(),
            copies: Copies::default(),
            start_window: settings
                .link_bytes_per_s
                .map_or_else(StartWindow::default, StartWindow::for_link),
            answer_lag: Duration::ZERO,
            settings,
            emptying: BTreeSet::new(),
            shortages: BTreeMap::new(),
            blocked_services: BTreeMap::new(),
            kept_rooms: BTreeMap::new(),
            autoscaled_at: Steady::ZERO,
            surplus_since: None,
            advice: BTreeMap::new(),
            open_queries: BTreeSet::new(),
            withdrawn: WithdrawnJobs::default(),
            dirty: BTreeSet::new(),
            unsaved_specs: BTreeSet::new(),
            changed_specs: BTreeSet::new(),
            dropped_jobs: BTreeMap::new(),
            extra_records: Vec::new(),
            new_ends: BTreeSet::new(),
            endpoints_as_of: now.steady,
            operators_as_of: now.steady,
            held_back_since: None,
            loss_counts: LossCounts::new(),
            strays: Strays::default(),
            given_up_count: 0,
            suspected: BTreeMap::new(),
            presumed_lost: BTreeMap::new(),
            unanswered: UnansweredStarts::default(),
            outbox: Vec::new(),
            after_commit: Vec::new(),
            is_fenced: false,
            is_evicting: false,
            is_log_down: false,
        }
    }

    /// The fleet's time: milliseconds since 1970, advanced by the steady clock across changes of
    /// leader. The time of day may jump, and differs between members.
    #[must_use]
    pub fn fleet_ms(&self) -> UnixMs {
        let passed = self
            .now
            .steady
            .saturating_sub(self.leader_since)
            .as_millis();
        self.leader_since_ms + u64::try_from(passed).unwrap_or(0)
    }

    /// The leader's epoch, which every order carries.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether an endpoint has rejected a request because it knows a newer leader.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.cfg.as_ref()
    }

    /// Applies a configuration, unless its version isn't newer than the one in force.
    pub fn configure(&mut self, cfg: Arc<FleetConfig>) {
        if self.cfg.as_ref().is_some_and(|c| c.version >= cfg.version) {
            return;
        }
        self.keep_terms(&cfg);
        let names = cfg.queues.iter().map(|q| q.name.clone());
        self.queues = names.zip(0..).collect();
        let names = cfg.workspaces.iter().map(|w| w.name.clone());
        self.workspaces = names.zip(0..).collect();
        self.cfg = Some(cfg);
        self.reindex_jobs();
    }

    /// Advances time, makes the decisions that are due, and returns the actions that need no
    /// record.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.now = now;
        self.begin_due_occurrences();
        let interval = self.pass_interval();
        if now.steady >= self.housekeeping_at + self.housekeeping_interval().max(interval) {
            self.housekeeping_at = now.steady;
            self.drop_expired_jobs();
            self.forget_withdrawn();
            self.release_expired_leases();
            self.release_held_starts();
            self.prune_presumed_lost();
            self.unanswered.prune(now.steady);
            self.strays.prune(now.steady);
            self.forget_slow_endpoints();
            self.manage_instances();
            self.update_free_room();
            self.evict_lasting();
        }
        if now.steady >= self.scheduled_at + SCHEDULE_INTERVAL.max(interval) {
            self.scheduled_at = now.steady;
            self.update_held_back();
            if self.start_window.has_capacity() && self.held_back_since.is_none() {
                self.schedule();
                self.copy_stragglers();
            }
            self.start_window.pass_ended(now.steady);
        }
        self.send_due_polls();
        std::mem::take(&mut self.outbox)
    }

    /// Records the duration of a [`Cell::tick`], which determines how often passes are made.
    pub fn record_tick_duration(&mut self, took: Duration) {
        self.tick_duration = self.tick_duration.mul_f64(1.0 - TICK_DURATION_WEIGHT)
            + took.mul_f64(TICK_DURATION_WEIGHT);
    }

    /// Minimum time between two scheduling passes, or two housekeeping passes.
    ///
    /// On a small leader with hundreds of waiting jobs, back-to-back passes would use the whole
    /// processor and delay the processing of endpoints' answers.
    fn pass_interval(&self) -> Duration {
        (self.tick_duration * PASS_INTERVAL_FACTOR).min(MAX_PASS_INTERVAL)
    }

    /// Minimum time between two housekeeping passes, by the number of endpoints.
    fn housekeeping_interval(&self) -> Duration {
        let endpoints = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
        (HOUSEKEEPING_PER_ENDPOINT * endpoints).clamp(HOUSEKEEPING_INTERVAL, MAX_PASS_INTERVAL)
    }

    fn queue(&self, name: &str) -> Option<&Queue> {
        self.cfg.as_ref()?.queues.get(*self.queues.get(name)?)
    }

    /// The terms of a job: those of its queue, or the recorded ones if the queue was removed.
    fn terms(&self, spec: &JobSpec) -> Terms {
        self.queue(&spec.queue).map_or(spec.terms, Queue::terms)
    }

    /// Records the terms and the service of the queues that the next configuration lacks, for the
    /// jobs that they leave behind.
    fn keep_terms(&mut self, next: &FleetConfig) {
        let Some(cfg) = self.cfg.clone() else {
            return;
        };
        let kept: BTreeSet<&QueueName> = next.queues.iter().map(|q| &q.name).collect();
        let removed = cfg.queues.iter().filter(|q| !kept.contains(&q.name));
        let removed: BTreeMap<&QueueName, &Queue> = removed.map(|q| (&q.name, q)).collect();
        if removed.is_empty() {
            return;
        }
        for (&id, job) in &mut self.jobs {
            let Some(queue) = removed.get(&job.spec.queue) else {
                continue;
            };
            let terms = queue.terms();
            let is_recorded = job.spec.terms == terms && job.spec.service == queue.service;
            if is_recorded || job.progress.state.is_final() {
                continue;
            }
            let spec = Arc::make_mut(&mut job.spec);
            spec.terms = terms;
            spec.service = queue.service.clone();
            info!(job = %crate::id::job_text(id), queue = %queue.name, "terms of a removed queue kept");
            self.changed_specs.insert(id);
            self.dirty.insert(id);
        }
    }

    /// Handles that the store or a majority of the members has confirmed the leadership, asked at
    /// `at`. Leases are requested only for a limited time after that.
    pub fn leadership_confirmed(&mut self, at: Steady) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Handles that from `at` on no former leader can be confirmed.
    pub fn former_leaders_bounded(&mut self, at: Steady) {
        self.formers_bounded_at.get_or_insert(at);
    }

    /// Latest end of the leases that may be requested now.
    fn lease_limit(&self) -> Option<Steady> {
        Some(self.confirmed_at? + self.settings.lease + self.settings.confirmation_grace)
    }

    /// Sets whether the log rejects records. While it does, no jobs or cancellations are accepted.
    pub fn set_log_down(&mut self, is_down: bool) {
        self.is_log_down = is_down;
    }

    /// Sets the current time, to be called before events are passed in.
    pub fn set_now(&mut self, now: Now) {
        self.now = now;
    }

    /// Takes the records and actions since the last batch; `None` if there are none.
    ///
    /// # Errors
    /// If a record can't be encoded, which doesn't happen for these types.
    pub fn take_batch(&mut self) -> progress::Result<Option<Batch>> {
        let mut batch = Batch {
            records: std::mem::take(&mut self.extra_records),
            actions: std::mem::take(&mut self.after_commit),
            ..Batch::default()
        };
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let is_unsaved = self.unsaved_specs.remove(&id);
            let is_changed = self.changed_specs.remove(&id);
            batch.job_states.push((id, job.progress.state));
            if job.progress.state.is_final() && job.progress.runs(id).next().is_none() {
                batch.records.extend(archive::archive(job, is_unsaved)?);
                continue;
            }
            if is_unsaved || is_changed {
                batch.records.push(progress::encode_spec(&job.spec)?);
            }
            let record = progress::encode_progress(id, &job.progress)?;
            batch.records.push(record);
        }
        // These records alone aren't worth an append.
        if !batch.records.is_empty() {
            let learned = self.estimates.take_records(self.fleet_ms())?;
            batch.records.extend(learned);
        }
        for (id, is_archived) in std::mem::take(&mut self.dropped_jobs) {
            let records = if is_archived {
                vec![progress::ended_key(id)]
            } else {
                archive::job_keys(id).into()
            };
            batch
                .records
                .extend(records.into_iter().map(archive::deletion));
        }
        for id in std::mem::take(&mut self.new_ends) {
            if let Some(endpoint) = self.endpoints.get(&id) {
                batch
                    .last_ends
                    .push((id, endpoint.born, endpoint.last_processed));
            }
        }
        let is_empty =
            batch.records.is_empty() && batch.actions.is_empty() && batch.last_ends.is_empty();
        Ok((!is_empty).then_some(batch))
    }

    /// The job with this id, if it is held.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Every known endpoint, listed or not.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<EndpointId, Endpoint> {
        &self.endpoints
    }

    /// Number of entries that passes over all endpoints or all instances have visited, a measure of
    /// the work that grows with the fleet.
    #[must_use]
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    /// All endpoints, for a pass over them.
    fn all_endpoints(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.endpoints.iter().inspect(|_| self.count_visits(1))
    }

    /// All instances, for a pass over them.
    fn all_instances(&self) -> impl Iterator<Item = &Instance> {
        let instances = self.instances.list().values();
        instances.inspect(|_| self.count_visits(1))
    }

    fn count_visits(&self, entries: usize) {
        let entries = u64::try_from(entries).unwrap_or(u64::MAX);
        self.visits.set(self.visits.get().saturating_add(entries));
    }

    /// Number of jobs held, including ended ones within their retention.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    fn target(&self, id: &EndpointId) -> Option<Target> {
        let endpoint = self.endpoints.get(id)?;
        let report = endpoint.report.as_ref()?;
        Some(Target {
            id: id.clone(),
            born: endpoint.born,
            service: report.service.clone(),
            addr: report.addr,
        })
    }
}
