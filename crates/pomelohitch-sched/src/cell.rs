//! The state of all jobs and endpoints, and what is decided from it.
//!
//! * [`calls`]: what callers ask.
//! * `archive`: records of jobs that have ended.
//! * [`books`]: jobs, runs, and the room and bounds that runs take up.
//! * [`commits`]: what may be carried out once its records are durable.
//! * [`ends`]: ends of runs and jobs.
//! * `isolation`: suspected jobs run apart from others.
//! * [`losses`]: runs that are lost, most of them with their endpoints.
//! * [`lives`]: endpoints come, restart and go.
//! * [`looks`]: what endpoints say.
//! * [`orders`]: how orders to endpoints ended.
//! * [`schedule`]: which tasks start where.
//! * [`together`]: gangs, and steps that want one rack.
//! * [`advice`]: which endpoints the policy allows.
//! * [`stalls`]: runs that stand still.
//! * [`evacuate`]: evacuation of availability zones.
//! * [`evict`]: lasting tasks that have to go elsewhere, and pacing of fillers.
//! * [`follow`]: pools follow demand.
//! * [`upkeep`]: the list of instances, and operations on them.
//! * [`waves`]: maintenance in waves.
//!
//! A [`Batch`] holds the records of what was decided since the last one, and the actions that may
//! be carried out once these records are durable. Several batches may be on their way; they become
//! durable in the order in which they were taken.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::config::{FleetConfig, Queue};
use crate::demand::Demand;
use crate::endpoint::Endpoint;
use crate::evacuations::Evacuations;
use crate::flow::StartWindow;
use crate::id::{EndpointId, Epoch, JobId, QueueName, ServiceName, WorkspaceName};
use crate::instances::Instances;
use crate::job::JobSpec;
use crate::loss::LossCounts;
use crate::order::{Action, Due, Target};
use crate::policy::Policy;
use crate::progress::{self, Entry, JobState, Progress, Record};
use crate::rate::RateLimiter;
use crate::resources::Resources;
use crate::urgency::Candidate;
use crate::{Now, Steady, UnixMs};

pub mod advice;
mod archive;
pub mod books;
pub mod calls;
pub mod commits;
pub mod ends;
pub mod evacuate;
pub mod evict;
pub mod follow;
mod isolation;
pub mod lives;
pub mod looks;
pub mod losses;
pub mod orders;
pub mod schedule;
pub mod stalls;
pub mod together;
pub mod upkeep;
pub mod waves;

/// Least time between two passes over instances, leases and lasting tasks. What these wait for takes a
/// second or more.
const TEND_EVERY: Duration = Duration::from_millis(30);
/// The same for each endpoint, in large fleets.
const TEND_PER_ENDPOINT: Duration = Duration::from_micros(50);
/// Least time from one pass over the waiting tasks to the next. Starts wait for the next append in
/// any case, and these are at least 15 ms apart.
const SCHEDULE_EVERY: Duration = Duration::from_millis(10);

/// Passes are this many times their own length apart.
const PASSES_REST: u32 = 4;
/// But no more than this.
const LONGEST_GAP: Duration = Duration::from_millis(150);
/// Weight of a new tick in the average of their length.
const COST_WEIGHT: f64 = 0.1;

/// What a cell is told about the site, and its own limits.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Length of a lease. Long enough to outlive a change of leader, which takes about 2 s, and as
    /// short as that allows: what a silent endpoint ran can't be started elsewhere before it lapses.
    pub lease: Duration,
    /// Validity of a start order, counted by the endpoint's clock from the commit of its record.
    pub start_valid: Duration,
    /// Age from its decision at which a start order is dropped unsent.
    pub start_stale: Duration,
    /// Time for which an endpoint holds a poll until a run ends.
    pub look_wait: Duration,
    /// The same where tasks run that end by themselves. A lost poll hides their ends until it expires,
    /// and the next steps of their jobs wait.
    pub look_wait_ends: Duration,
    /// The same where tasks have a latency target, which only polls show.
    pub look_wait_target: Duration,
    /// Least time between two polls of an endpoint, so that ends close together share one.
    pub look_gap: Duration,
    /// The same after a failed poll, or while ends can't be acknowledged.
    pub look_retry: Duration,
    /// Nothing starts by what endpoints and operators wrote if that was read longer ago: room may have
    /// shrunk, endpoints may be about to leave, zones to be evacuated.
    pub written_fresh: Duration,
    /// Silence after which an endpoint receives no new tasks.
    pub fresh: Duration,
    /// Time after a change of leader by which every lease of the former one has lapsed: its last
    /// renewal without the store, the longest lease and the slowest clock.
    pub unread_lapse: Duration,
    /// Retention of ended jobs.
    pub keep_ended: Duration,
    /// Time before its due time at which an occurrence may begin.
    pub early: Duration,
    /// Least time between the orders of two leaders for one instance.
    pub holder_gap: Duration,
    /// Time after a change of leader for which the former one may still send operations: its
    /// leadership was confirmed at most 1.5 s before.
    pub former_holder: Duration,
    /// Rate limit of the platform for operations on instances.
    pub operations_per_s: f64,
    /// Bandwidth of this member's link, bytes a second, if it is known.
    pub link_bytes_per_s: Option<f64>,
    /// Most jobs held at once, by the memory of an entry instance.
    pub max_jobs: usize,
    /// The fleet's time when the leadership begins, milliseconds since 1970: kept by steady clocks
    /// from leader to leader. `None` if no member knows it, since all have restarted; the time of day
    /// stands in then.
    pub fleet_ms: Option<UnixMs>,
    /// The fleet's time then at the least, by the last sign of life of the former leader; decides
    /// about its orders where `fleet_ms` isn't known.
    pub fleet_ms_at_least: Option<UnixMs>,
    /// Which mechanisms decide.
    pub policy: Policy,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Duration::from_secs(6),
            start_valid: Duration::from_millis(700),
            start_stale: Duration::from_millis(800),
            look_wait: Duration::from_millis(700),
            look_wait_ends: Duration::from_millis(200),
            look_wait_target: Duration::from_millis(300),
            look_gap: Duration::from_millis(25),
            look_retry: Duration::from_millis(200),
            written_fresh: Duration::from_secs(3),
            fresh: Duration::from_millis(1800),
            unread_lapse: Duration::from_secs(10),
            keep_ended: Duration::from_secs(150),
            early: Duration::ZERO,
            holder_gap: Duration::from_millis(3500),
            former_holder: Duration::from_millis(1800),
            operations_per_s: 64.0,
            link_bytes_per_s: None,
            max_jobs: 50_000,
            fleet_ms: None,
            fleet_ms_at_least: None,
            policy: Policy::default(),
        }
    }
}

/// A job and how far it is.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// How far it is.
    pub progress: Progress,
    /// The state that is durable, which is what callers are told.
    pub shown: JobState,
    /// What it is ranked by, while an occurrence is open.
    pub candidate: Option<Candidate>,
    /// Whether its record is that of a job that has ended.
    pub is_archived: bool,
}

/// Records that belong together, and what may follow once they are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// What has to be durable.
    pub records: Vec<Record>,
    /// What may be carried out then.
    pub actions: Vec<Action>,
    shown: Vec<(JobId, JobState)>,
    noted: Vec<(EndpointId, u64, u64)>,
}

/// All jobs and endpoints.
#[derive(Debug)]
pub struct Cell {
    settings: Settings,
    epoch: Epoch,
    cfg: Option<Arc<FleetConfig>>,
    /// Where each queue stands in the configuration: it is asked for at each change of a job, and
    /// there may be thousands.
    queues: HashMap<QueueName, usize>,
    /// The same of workspaces.
    workspaces: HashMap<WorkspaceName, usize>,
    tended_at: Steady,
    scheduled_at: Steady,
    /// Moving average of the time that a tick takes.
    tick_cost: Duration,
    /// Passes over the waiting tasks so far; decides which service goes first.
    passes: usize,
    now: Now,
    began: Steady,
    /// The fleet's time then.
    began_ms: UnixMs,
    jobs: BTreeMap<JobId, Job>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    used: BTreeMap<WorkspaceName, Resources>,
    ready: BTreeMap<ServiceName, BTreeSet<JobId>>,
    unbegun: BTreeMap<QueueName, BTreeSet<JobId>>,
    due: BTreeSet<Due>,
    ended: BTreeSet<Due>,
    instances: Instances,
    evacuations: Evacuations,
    operations: RateLimiter,
    /// From then on the former leader surely sends no more orders for instances.
    operates_from: Steady,
    demand: Demand,
    flow: StartWindow,
    /// Moving average of the time from an endpoint's answer to its taking in.
    lag: Duration,
    emptying: BTreeSet<EndpointId>,
    unplaced: BTreeMap<ServiceName, schedule::Unplaced>,
    /// Services whose lasting tasks find no endpoint to leave for, and since when.
    blocked: BTreeMap<ServiceName, Steady>,
    followed_at: Steady,
    surplus_since: Option<Steady>,
    advice: BTreeMap<crate::TaskId, advice::Advice>,
    dirty: BTreeSet<JobId>,
    fresh_specs: BTreeSet<JobId>,
    /// Jobs to forget, and whether they are archived.
    dropped: BTreeMap<JobId, bool>,
    extra_records: Vec<Record>,
    noted: BTreeSet<EndpointId>,
    /// As of when the entries of endpoints are known.
    endpoints_as_of: Steady,
    /// The same of what operators wrote.
    operators_as_of: Steady,
    /// Since when nothing starts because one of these lies too far back.
    held_back_since: Option<Steady>,
    loss_counts: LossCounts,
    given_up: u64,
    /// Jobs that run apart from others, and since when they wait for it: since their last start or loss.
    suspected: BTreeMap<JobId, Steady>,
    /// Tasks whose runs were lost with a silent endpoint, and its incarnation.
    presumed: BTreeMap<EndpointId, (u64, Vec<crate::TaskId>)>,
    outbox: Vec<Action>,
    gated: Vec<Action>,
    is_fenced: bool,
    is_evicting: bool,
    is_log_down: bool,
}

impl Cell {
    /// A cell of the leader with `epoch`, made from the records of former leaders.
    ///
    /// Records that can't be read are returned with the reason; they change nothing else.
    #[must_use]
    pub fn restore(
        settings: Settings,
        epoch: Epoch,
        now: Now,
        records: &[(Box<str>, Box<[u8]>)],
    ) -> (Cell, Vec<progress::Error>) {
        let mut cell = Cell::new(settings, epoch, now);
        let mut faults = Vec::new();
        let mut specs = BTreeMap::new();
        let mut progresses = BTreeMap::new();
        let mut ended = Vec::new();
        for (key, value) in records {
            if key.starts_with(['w', 'o']) {
                cell.instances.restore(key, value);
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
                Err(error) => faults.push(error),
            }
        }
        for job in ended {
            let progress = job.progress();
            let id = job.spec.id;
            cell.adopt(Arc::new(job.spec), progress);
            if let Some(job) = cell.jobs.get_mut(&id) {
                job.is_archived = true;
            }
        }
        for (id, spec) in specs {
            let progress = progresses.remove(&id).unwrap_or_default();
            if !cell.jobs.contains_key(&id) {
                cell.adopt(spec, progress);
            }
        }
        // By the time of day a leadership could begin before what is recorded.
        let recorded = cell.jobs.values();
        let newest = recorded.map(|j| j.spec.accepted_ms.max(j.progress.ended_ms));
        cell.began_ms = cell.began_ms.max(newest.max().unwrap_or(0));
        (cell, faults)
    }

    fn new(settings: Settings, epoch: Epoch, now: Now) -> Cell {
        Cell {
            operations: RateLimiter::new(settings.operations_per_s),
            operates_from: now.steady + settings.former_holder,
            demand: Demand::new(settings.policy.demand, settings.policy.margins),
            epoch,
            cfg: None,
            queues: HashMap::new(),
            workspaces: HashMap::new(),
            tended_at: Steady::ZERO,
            scheduled_at: Steady::ZERO,
            tick_cost: Duration::ZERO,
            passes: 0,
            now,
            began: now.steady,
            began_ms: settings.fleet_ms.unwrap_or(now.unix_ms),
            jobs: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            used: BTreeMap::new(),
            ready: BTreeMap::new(),
            unbegun: BTreeMap::new(),
            due: BTreeSet::new(),
            ended: BTreeSet::new(),
            instances: Instances::default(),
            evacuations: Evacuations::default(),
            flow: settings
                .link_bytes_per_s
                .map_or_else(StartWindow::default, StartWindow::for_link),
            lag: Duration::ZERO,
            settings,
            emptying: BTreeSet::new(),
            unplaced: BTreeMap::new(),
            blocked: BTreeMap::new(),
            followed_at: Steady::ZERO,
            surplus_since: None,
            advice: BTreeMap::new(),
            dirty: BTreeSet::new(),
            fresh_specs: BTreeSet::new(),
            dropped: BTreeMap::new(),
            extra_records: Vec::new(),
            noted: BTreeSet::new(),
            endpoints_as_of: now.steady,
            operators_as_of: now.steady,
            held_back_since: None,
            loss_counts: LossCounts::new(),
            given_up: 0,
            suspected: BTreeMap::new(),
            presumed: BTreeMap::new(),
            outbox: Vec::new(),
            gated: Vec::new(),
            is_fenced: false,
            is_evicting: false,
            is_log_down: false,
        }
    }

    /// The fleet's time: milliseconds since 1970 that pass as the steady clock does, from leader to
    /// leader. The time of day may jump, and differs between members.
    #[must_use]
    pub fn fleet_ms(&self) -> UnixMs {
        let passed = self.now.steady.saturating_sub(self.began).as_millis();
        self.began_ms + u64::try_from(passed).unwrap_or(0)
    }

    /// The leadership that this cell's orders carry.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether an endpoint has seen a newer leader.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.cfg.as_ref()
    }

    /// Puts a configuration in force; an older version than the one in force changes nothing.
    pub fn configure(&mut self, cfg: Arc<FleetConfig>) {
        if self.cfg.as_ref().is_some_and(|c| c.version >= cfg.version) {
            return;
        }
        let names = cfg.queues.iter().map(|q| q.name.clone());
        self.queues = names.zip(0..).collect();
        let names = cfg.workspaces.iter().map(|w| w.name.clone());
        self.workspaces = names.zip(0..).collect();
        self.cfg = Some(cfg);
        self.index_again();
    }

    /// Moves time on, decides what is to be done, and returns what needs no record.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        self.now = now;
        self.open_due();
        let gap = self.pass_gap();
        if now.steady >= self.tended_at + self.tend_gap().max(gap) {
            self.tended_at = now.steady;
            self.drop_ended();
            self.release_lapsed();
            self.tend_presumed();
            self.tend_instances();
            self.tend_lasting();
        }
        if now.steady >= self.scheduled_at + SCHEDULE_EVERY.max(gap) {
            self.scheduled_at = now.steady;
            self.note_held_back();
            if self.flow.has_capacity() && self.held_back_since.is_none() {
                self.schedule();
            }
            self.flow.pass_ended(now.steady);
        }
        self.plan_looks();
        std::mem::take(&mut self.outbox)
    }

    /// Takes in how long a [`Cell::tick`] took.
    pub fn tick_took(&mut self, took: Duration) {
        self.tick_cost = self.tick_cost.mul_f64(1.0 - COST_WEIGHT) + took.mul_f64(COST_WEIGHT);
    }

    /// The least time between two passes over waiting tasks, or over instances and leases.
    ///
    /// The load that this answers: a small member leads, and hundreds of jobs wait. One pass after
    /// the other would take all of its processor, and answers of endpoints would wait.
    fn pass_gap(&self) -> Duration {
        (self.tick_cost * PASSES_REST).min(LONGEST_GAP)
    }

    /// The least time between two passes over instances and leases, by how many there are.
    fn tend_gap(&self) -> Duration {
        let endpoints = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
        (TEND_PER_ENDPOINT * endpoints).clamp(TEND_EVERY, LONGEST_GAP)
    }

    /// The queue of that name.
    fn queue(&self, name: &str) -> Option<&Queue> {
        self.cfg.as_ref()?.queues.get(*self.queues.get(name)?)
    }

    /// Takes in whether the log takes records; while it doesn't, nothing new is accepted.
    pub fn log_is_down(&mut self, is_down: bool) {
        self.is_log_down = is_down;
    }

    /// Sets the time before facts are told.
    pub fn at(&mut self, now: Now) {
        self.now = now;
    }

    /// What has been decided since the last batch, if anything.
    ///
    /// # Errors
    /// If a record can't be encoded, which for these types doesn't happen.
    pub fn take_batch(&mut self) -> progress::Result<Option<Batch>> {
        let mut batch = Batch {
            records: std::mem::take(&mut self.extra_records),
            actions: std::mem::take(&mut self.gated),
            ..Batch::default()
        };
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let is_fresh = self.fresh_specs.remove(&id);
            batch.shown.push((id, job.progress.state));
            if job.progress.state.is_final() && job.progress.runs(id).next().is_none() {
                batch.records.extend(archive::archive(job, is_fresh)?);
                continue;
            }
            if is_fresh {
                let spec = progress::encode(progress::spec_key(id), &*job.spec)?;
                batch.records.push(spec);
            }
            let record = progress::encode_progress(id, &job.progress)?;
            batch.records.push(record);
        }
        for (id, is_archived) in std::mem::take(&mut self.dropped) {
            let records = if is_archived {
                vec![progress::ended_key(id)]
            } else {
                archive::job_keys(id).into()
            };
            batch
                .records
                .extend(records.into_iter().map(archive::without_value));
        }
        for id in std::mem::take(&mut self.noted) {
            if let Some(endpoint) = self.endpoints.get(&id) {
                batch
                    .noted
                    .push((id, endpoint.born, endpoint.last_processed));
            }
        }
        let is_empty =
            batch.records.is_empty() && batch.actions.is_empty() && batch.noted.is_empty();
        Ok((!is_empty).then_some(batch))
    }

    /// A job, for views and tests.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Every endpoint, for views and tests.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<EndpointId, Endpoint> {
        &self.endpoints
    }

    /// Jobs held, for metrics.
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
