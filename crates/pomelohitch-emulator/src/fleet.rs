//! Endpoints, instances, a log and callers around one scheduler in virtual time, with faults.
//!
//! Each start is checked against the scheduler's invariants: it fits the endpoint's capacity, a
//! task has one run at a time (two if its step allows copies) and none after its acknowledged
//! completion, steps run in order,
//! nothing starts in an evacuated zone, and a task that crashes its endpoints is started only a few
//! times.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::cell::calls::{Call, Draft, Verb};
use pomelohitch_sched::config::{FleetConfig, Queue, Service, Workspace};
use pomelohitch_sched::endpoint::{EndReason, PollReply, Report};
use pomelohitch_sched::instances::{Instance, InstanceState};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{Answer, Operation, PollFailure, PollOrder};
use pomelohitch_sched::{
    Cell, EndpointId, JobId, Now, Resources, Settings, Steady, TaskId, ZoneName,
};

pub use self::advice::PolicyService;
pub use self::crashes::Crashes;
pub use self::endpoint::Endpoint;
pub use self::faults::Faults;
use self::faults::{Delayed, FaultRng};
pub use self::link::Link;

mod advice;
mod crashes;
mod endpoint;
pub(crate) mod faults;
mod instances;
mod link;
mod log;
mod orders;
mod polls;

/// Length of a time step.
pub const STEP: Duration = Duration::from_millis(10);
/// Wall clock at the start of every play, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_000_000;
/// Shortest time between the starts of two appends while another one is in flight.
const APPEND_GAP: Duration = Duration::from_millis(120);
/// Timeout of orders.
const ORDER_TIMEOUT: Duration = Duration::from_millis(150);
/// A start in flight when its zone is evacuated may take effect for this long.
const EVACUATION_GRACE: Duration = Duration::from_secs(1);
/// A start that fits only the capacity before a change is allowed for this long after the change.
const SHRINK_GRACE: Duration = Duration::from_millis(4_500);
/// A copy whose start was sent before may take effect for this long after the completion of its
/// task was acknowledged.
const COPY_GRACE: Duration = Duration::from_secs(1);
/// Time within which a caller's request is answered while the log is available.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a poll beyond its wait.
const POLL_MARGIN: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct PendingPoll {
    sent_at: Duration,
    order: PollOrder,
    /// Position of the last byte of the request on the link.
    end: link::Position,
    times_out_at: Duration,
    arrived_at: Option<Duration>,
    /// The answer, and the position of its last byte on the link.
    answer: Option<(link::Position, Result<PollReply, PollFailure>)>,
    /// Whether the poll is lost: it has no effect and no answer.
    is_lost: bool,
}

/// A fleet and its scheduler.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct Fleet {
    /// The current leader's scheduler.
    pub cell: Cell,
    /// Settings of this scheduler and of those after a change of leader.
    pub settings: Settings,
    /// Virtual time.
    pub now: Now,
    /// All running endpoints.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// All instances.
    pub instances: BTreeMap<Arc<str>, Instance>,
    /// The latest durable record of each key.
    pub log: BTreeMap<Box<str>, Box<[u8]>>,
    /// Whether the log is available; while false, nothing becomes durable.
    pub is_log_up: bool,
    /// Whether the leadership is confirmed at each step, by the store or by a majority of the members.
    pub is_confirmed: bool,
    /// Whether a new leader knows at once that no former one can be confirmed.
    pub bounds_former_leaders: bool,
    /// Duration of an append to the log.
    pub log_delay: Duration,
    /// Largest number of appends in flight.
    pub appends_at_once: usize,
    /// Evacuated zones with the start of the evacuation.
    pub evacuated: BTreeMap<ZoneName, Steady>,
    /// Whether the leader reads the endpoints' entries while the log is available.
    pub reads_entries: bool,
    /// Whether the list of instances is unavailable.
    pub hides_instances: bool,
    /// What the list of instances shows, if it isn't the present.
    pub shown_instances: Option<BTreeMap<Arc<str>, Instance>>,
    /// Number of lists of instances read.
    pub lists_read: usize,
    /// Whether operations on instances take effect; otherwise they are only recorded.
    pub applies_operations: bool,
    /// Whether the answers to operations that take effect are lost.
    pub loses_operation_answers: bool,
    /// Instances that come back up: time, instance, pool.
    returning: Vec<(Duration, Arc<str>, Arc<str>)>,
    /// Index of the last endpoint started on an instance that came back.
    last_index: u16,
    /// Whether operations on instances are lost: they have no effect and no answer.
    pub loses_operations: bool,
    /// Random faults.
    pub faults: Faults,
    /// Mean duration of the tasks of each step of a job, if it isn't the declared one.
    pub durations: BTreeMap<JobId, Vec<Duration>>,
    /// Tasks that crash their endpoints.
    pub crashes: Crashes,
    /// The placement policy's service.
    pub policy: PolicyService,
    /// Answers to callers by call number.
    pub replies: BTreeMap<u64, Answer>,
    /// Calls that may have taken effect by the leader's reply.
    pub effects_possible: BTreeSet<u64>,
    /// Reported status of waves: number, and whether the wave is completed.
    pub statuses: Vec<(u64, bool)>,
    /// Requested operations on instances, in order.
    pub operations: Vec<(Arc<str>, Operation)>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// Runs that endpoints have started: task, run number, endpoint.
    pub starts: Vec<(TaskId, u32, EndpointId)>,
    /// The fleet configuration, also for later leaders.
    pub cfg: Arc<FleetConfig>,
    /// Elapsed real time of the scheduler's decisions.
    pub decision_time: Duration,
    /// Number of polls sent.
    pub polls_sent: usize,
    /// Number of starts without an answer.
    pub starts_lost: usize,
    /// Capacity of endpoints that are added or that start after an operation on their instance.
    pub capacity: Resources,
    /// Whether a new leader knows the fleet time. It doesn't if all members were killed.
    pub knows_fleet_time: bool,
    /// Network link to the endpoints; with `None`, orders and polls arrive immediately.
    pub link: Option<Link>,
    polls: Vec<PendingPoll>,
    delayed: Vec<Delayed>,
    fault_rng: FaultRng,
    /// Batches being appended to the log, with the time when each becomes durable.
    pending: VecDeque<(Steady, Batch)>,
    last_append_at: Steady,
    /// Tasks whose successful completion was acknowledged to an endpoint, and when first.
    acknowledged: BTreeMap<TaskId, Steady>,
    /// Number of the last API call.
    last_call: u64,
}

fn queue(name: &str, prefix: &str, service: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        service: service.into(),
        attempts: 3,
        stretch: 1.6,
        objective: Duration::from_millis(600),
        ..Queue::default()
    }
}

/// A configuration with two services with one queue each, and one workspace.
#[must_use]
pub fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        queues: vec![
            queue("quotes", "/q/", "pricing"),
            queue("issues", "/i/", "issuing"),
        ],
        services: [
            ("pricing".into(), Service::default()),
            ("issuing".into(), Service::default()),
        ]
        .into(),
        workspaces: vec![Workspace {
            name: "ski".into(),
            keys: vec!["key".into()],
            weight: 1,
            bound: Resources::default(),
        }],
    }
}

/// A step of `count` tasks, each of `cpu` thousandths of a core for `millis` milliseconds.
#[must_use]
pub fn step(count: u32, cpu: u64, millis: u64) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu,
            mem_mb: 100,
            gpu: 0,
        },
        estimate: Duration::from_millis(millis),
        ..StepSpec::default()
    }
}

/// A job that runs the given steps once.
#[must_use]
pub fn job(steps: Vec<StepSpec>) -> Draft {
    Draft {
        text: "text".into(),
        steps,
        repeat: None,
    }
}

fn report(id: &str, index: u16) -> Report {
    Report {
        id: id.into(),
        born: 1,
        service: "pricing".into(),
        addr: ([127, 0, 0, 1], 1000 + index).into(),
        zone: "a".into(),
        is_draining: false,
        capacity: Resources {
            cpu: 4000,
            mem_mb: 4000,
            gpu: 0,
        },
        labels: ["k".into(), format!("r{}", index / 2).into()].into(),
    }
}

impl Fleet {
    /// A fleet of `endpoints` endpoints of `pricing`, named `e0`, `e1` and so on.
    #[must_use]
    pub fn new(endpoints: u16) -> Fleet {
        Fleet::with(endpoints, Settings::default())
    }

    /// Like [`Fleet::new`], with settings of the scheduler.
    #[must_use]
    pub fn with(endpoints: u16, settings: Settings) -> Fleet {
        let now = Now {
            steady: Duration::from_secs(100),
            unix_ms: START_UNIX_MS,
        };
        let (cell, _) = Cell::restore(settings.clone(), 1, now, &[]);
        let cfg = Arc::new(config(1));
        let mut fleet = Fleet {
            cell,
            settings,
            now,
            endpoints: BTreeMap::new(),
            instances: BTreeMap::new(),
            log: BTreeMap::new(),
            is_log_up: true,
            is_confirmed: true,
            bounds_former_leaders: true,
            log_delay: Duration::ZERO,
            appends_at_once: 4,
            evacuated: BTreeMap::new(),
            reads_entries: true,
            hides_instances: false,
            shown_instances: None,
            lists_read: 0,
            applies_operations: false,
            loses_operation_answers: false,
            returning: Vec::new(),
            last_index: 100,
            loses_operations: false,
            faults: Faults::default(),
            durations: BTreeMap::new(),
            crashes: Crashes::default(),
            policy: PolicyService::default(),
            replies: BTreeMap::new(),
            effects_possible: BTreeSet::new(),
            statuses: Vec::new(),
            operations: Vec::new(),
            violations: Vec::new(),
            starts: Vec::new(),
            cfg: cfg.clone(),
            decision_time: Duration::ZERO,
            polls_sent: 0,
            starts_lost: 0,
            capacity: Resources {
                cpu: 4000,
                mem_mb: 4000,
                gpu: 0,
            },
            knows_fleet_time: true,
            link: None,
            polls: Vec::new(),
            delayed: Vec::new(),
            fault_rng: FaultRng::new(0),
            pending: VecDeque::new(),
            last_append_at: Steady::ZERO,
            acknowledged: BTreeMap::new(),
            last_call: 0,
        };
        for index in 0..endpoints {
            fleet.add(&format!("e{index}"), index);
        }
        fleet.cell.configure(cfg);
        fleet.list_endpoints();
        fleet
    }

    /// Adds an endpoint of `pricing` on a new instance. `index` determines the id of the instance,
    /// and the port and the labels of the endpoint.
    pub fn add(&mut self, id: &str, index: u16) {
        self.add_to("pricing", id, index);
    }

    /// Like [`Fleet::add`], for any service.
    pub fn add_to(&mut self, service: &str, id: &str, index: u16) {
        let report = Report {
            service: service.into(),
            capacity: self.capacity,
            ..report(id, index)
        };
        let instance: Arc<str> = format!("m{index}").into();
        self.instances.insert(
            instance.clone(),
            Instance {
                id: instance,
                pool: report.service.clone(),
                state: InstanceState::Up,
                zone: report.zone.clone(),
                capacity: report.capacity,
                labels: report.labels.clone(),
                endpoint: Some(report.id.clone()),
            },
        );
        self.endpoints
            .insert(report.id.clone(), Endpoint::new(report));
    }

    /// Returns the endpoint with this id.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn endpoint(&mut self, id: &str) -> &mut Endpoint {
        self.endpoints
            .get_mut(id)
            .expect("no endpoint with this id")
    }

    /// Lets all endpoints have been up for longer, before anything is polled.
    pub fn age_endpoints(&mut self, by: Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.clock += by;
        }
    }

    /// Restarts an endpoint's process under the same id. Polls that wait there fail.
    pub fn restart(&mut self, id: &str) {
        self.record_crash(id);
        let endpoint = self.endpoint(id);
        let mut report = endpoint.report.clone();
        report.born += 1;
        let (max_lease, clock_rate) = (endpoint.max_lease, endpoint.clock_rate);
        *endpoint = Endpoint::new(report);
        endpoint.max_lease = max_lease;
        endpoint.clock_rate = clock_rate;
        endpoint.clock = Duration::ZERO;
        self.reset_polls(id);
    }

    /// Cuts the power of an endpoint's instance: its runs are gone, and the platform lists the
    /// instance as down.
    pub fn cut_power(&mut self, id: &str) {
        self.record_crash(id);
        let endpoint = self.endpoint(id);
        endpoint.is_silent = true;
        endpoint.drop_runs();
        for instance in self.instances.values_mut() {
            if instance.endpoint.as_deref() == Some(id) {
                instance.endpoint = None;
                instance.state = InstanceState::Down;
            }
        }
    }

    /// Changes an endpoint's capacity and its entry while it runs.
    pub fn resize(&mut self, id: &str, capacity: Resources) {
        let now = self.now.steady;
        let endpoint = self.endpoint(id);
        endpoint.resized.push((now, endpoint.report.capacity));
        endpoint.report.capacity = capacity;
        self.read_entries();
    }

    /// Lets the leader read the endpoints' entries, of which only those of resized endpoints can
    /// change, and the operators' records. Does nothing without `reads_entries` or while the log is
    /// unavailable.
    fn read_entries(&mut self) {
        if !self.reads_entries || !self.is_log_up {
            return;
        }
        for endpoint in self
            .endpoints
            .values_mut()
            .filter(|e| !e.resized.is_empty())
        {
            self.cell.endpoint_listed(endpoint.report.clone());
        }
        self.cell.endpoints_read(self.now.steady);
        self.cell.operators_read(self.now.steady);
    }

    /// Assigns an endpoint and its instance to an availability zone.
    pub fn put_in_zone(&mut self, id: &str, zone: &str) {
        self.endpoint(id).report.zone = zone.into();
        for instance in self.instances.values_mut() {
            if instance.endpoint.as_deref() == Some(id) {
                instance.zone = zone.into();
            }
        }
    }

    /// Requests the evacuation of a zone, as operators do.
    pub fn evacuate(&mut self, zone: &str) {
        self.evacuated.entry(zone.into()).or_insert(self.now.steady);
        self.cell.evacuate(&zone.into());
    }

    /// Withdraws the evacuation of a zone.
    pub fn withdraw_evacuation(&mut self, zone: &str) {
        self.evacuated.remove(zone);
        self.cell.evacuation_withdrawn(zone);
    }

    /// Passes the entries of all endpoints to the scheduler.
    pub fn list_endpoints(&mut self) {
        for endpoint in self.endpoints.values() {
            self.cell.endpoint_listed(endpoint.report.clone());
        }
    }

    /// Replaces the leader by a new one that is restored from the durable records.
    ///
    /// # Panics
    /// If a record cannot be decoded.
    pub fn change_leader(&mut self) {
        let records: Vec<_> = self.log.clone().into_iter().collect();
        let epoch = self.cell.epoch() + 1;
        let settings = Settings {
            fleet_ms: self.knows_fleet_time.then(|| self.cell.fleet_ms()),
            fleet_ms_at_least: Some(self.cell.fleet_ms()),
            ..self.settings.clone()
        };
        let (cell, faults) = Cell::restore(settings, epoch, self.now, &records);
        assert!(faults.is_empty(), "{faults:?}");
        self.cell = cell;
        if self.bounds_former_leaders {
            self.cell.former_leaders_bounded(self.now.steady);
        }
        self.pending.clear();
        self.polls.clear();
        self.cell.configure(self.cfg.clone());
        let zones = self.evacuated.keys().cloned().collect();
        self.cell.evacuations_read(zones);
        self.list_endpoints();
    }

    /// Sends an API call with the key of the first workspace; returns the call number.
    pub fn call(&mut self, path: &str, verb: Verb) -> u64 {
        self.call_with(path, Some("key"), verb)
    }

    /// Sends an API call with the given key; returns the call number.
    pub fn call_with(&mut self, path: &str, key: Option<&str>, verb: Verb) -> u64 {
        self.last_call += 1;
        let call = Call {
            id: self.last_call,
            host: "h".into(),
            path: path.into(),
            key: key.map(Into::into),
            verb,
        };
        self.decide(|cell, _| cell.call(&call));
        self.last_call
    }

    /// Submits a job to the first queue; returns the call number.
    pub fn submit(&mut self, id: &str, draft: Draft) -> u64 {
        self.call(&format!("/q/{id}"), Verb::Submit(Ok(draft)))
    }

    /// Reads the state of a job as a caller does; takes one time step, or more if the answer waits for
    /// an append.
    ///
    /// # Panics
    /// If the call isn't answered in time.
    pub fn state(&mut self, id: &str) -> Answer {
        let call = self.call(&format!("/q/{id}"), Verb::Read);
        self.advance(1);
        self.reply_to(call)
    }

    /// Waits for the answer to an API call.
    ///
    /// # Panics
    /// If the call isn't answered in time.
    pub fn reply_to(&mut self, call: u64) -> Answer {
        let began = self.now.steady;
        while !self.replies.contains_key(&call) {
            let waited = self.now.steady.saturating_sub(began);
            assert!(waited < REPLY_TIMEOUT, "call {call} isn't answered");
            self.advance(1);
        }
        self.replies[&call].clone()
    }

    /// End reasons of all ended runs of the running endpoints.
    pub fn end_reasons(&self) -> impl Iterator<Item = EndReason> {
        self.endpoints.values().flat_map(|e| &e.history).copied()
    }

    /// Advances the time by a number of steps, and with it the scheduler and its whole environment.
    ///
    /// # Panics
    /// If a record cannot be encoded.
    pub fn advance(&mut self, steps: u32) {
        for _ in 0..steps {
            self.pass_step();
            self.apply_due_crashes();
            self.return_instances();
            self.process_delayed_orders();
            self.advance_link();
            self.process_polls();
            self.answer_queries();
            self.read_entries();
            self.advance_log();
            if self.is_confirmed {
                self.cell.leadership_confirmed(self.now.steady);
            }
            let actions = self.decide(Cell::tick);
            self.execute_actions(actions);
        }
    }

    fn pass_step(&mut self) {
        self.now.steady += STEP;
        self.now.unix_ms +=
            u64::try_from(STEP.as_millis()).expect("a time step fits u64 milliseconds");
        for endpoint in self.endpoints.values_mut() {
            endpoint.advance(STEP);
        }
    }

    /// Lets time pass while the leader's process is suspended.
    pub fn suspend_leader(&mut self, steps: u32) {
        for _ in 0..steps {
            self.pass_step();
        }
    }

    fn decide<T>(&mut self, decide: impl FnOnce(&mut Cell, Now) -> T) -> T {
        let began = std::time::Instant::now();
        let decided = decide(&mut self.cell, self.now);
        self.decision_time += began.elapsed();
        decided
    }

    /// Checks that no invariant was violated.
    ///
    /// # Panics
    /// If one was violated.
    pub fn assert_invariants(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }
}
