//! Endpoints, instances, a log and callers in virtual time, with the faults that are asked for.
//!
//! Each start is checked against the promises: room, one run of a task at a time, steps in order,
//! none after a noted end, none in an evacuated zone, and few of a task that crashes its endpoints.

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
use pomelohitch_sched::{Cell, EndpointId, Now, Resources, Settings, Steady, TaskId, ZoneName};

pub use self::crashes::Crashes;
pub use self::endpoint::Endpoint;
pub use self::faults::Faults;
use self::faults::{Delayed, Luck};
pub use self::link::Link;

mod crashes;
mod endpoint;
pub(crate) mod faults;
mod instances;
mod link;
mod log;
mod looks;
mod orders;

/// Time from one step to the next.
pub const STEP: Duration = Duration::from_millis(10);
/// Unix time at which every test begins.
pub const BEGAN_MS: u64 = 1_000_000;
/// Appends behind others begin at least so far apart.
const APPEND_GAP: Duration = Duration::from_millis(120);
/// An order without an answer by then is taken for lost.
const ORDER_WITHIN: Duration = Duration::from_millis(150);
/// A start that was on its way when its zone was evacuated may take effect until then.
const EVACUATED_WITHIN: Duration = Duration::from_secs(1);
/// Room that has shrunk counts from then on.
const SHRUNK_AFTER: Duration = Duration::from_millis(4_500);
/// A look may take so much longer than it was told to wait.
const LOOK_MARGIN: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct WaitingLook {
    sent_at: Duration,
    order: PollOrder,
    /// Where it ends on the link.
    end: link::Place,
    gives_up_at: Duration,
    arrived_at: Option<Duration>,
    /// Its answer, and where that ends on the link.
    answer: Option<(link::Place, Result<PollReply, PollFailure>)>,
    /// It has no effect and no answer.
    is_lost: bool,
}

/// A fleet with its scheduler.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct Fleet {
    /// The scheduler.
    pub cell: Cell,
    /// What it runs with, also after a change of leader.
    pub settings: Settings,
    /// The time.
    pub now: Now,
    /// Every endpoint that lives.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Every instance.
    pub instances: BTreeMap<Arc<str>, Instance>,
    /// The newest record of each key.
    pub log: BTreeMap<Box<str>, Box<[u8]>>,
    /// While false, nothing becomes durable.
    pub is_log_up: bool,
    /// How long the log takes for an append.
    pub log_delay: Duration,
    /// So many appends may be on their way.
    pub appends_at_once: usize,
    /// Evacuated zones, and since when.
    pub evacuated: BTreeMap<ZoneName, Steady>,
    /// Whether entries of endpoints are read while the log is up.
    pub reads_entries: bool,
    /// While true, the list of instances can't be read.
    pub hides_instances: bool,
    /// Whether operations take effect after their time.
    pub carries_out: bool,
    returning: Vec<(Duration, Arc<str>, Arc<str>)>,
    lives: u16,
    /// While true, calls about instances have no effect and no answer.
    pub loses_operations: bool,
    /// Faults that strike at random.
    pub faults: Faults,
    /// Tasks that crash their endpoints.
    pub crashes: Crashes,
    /// Answers by the call's number.
    pub replies: BTreeMap<u64, Answer>,
    /// What was told of waves: number, and whether it is completed.
    pub statuses: Vec<(u64, bool)>,
    /// Operations on instances, in order.
    pub operations: Vec<(Arc<str>, Operation)>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Runs that endpoints started: task, number, where.
    pub starts: Vec<(TaskId, u32, EndpointId)>,
    /// The configuration in force.
    pub cfg: Arc<FleetConfig>,
    /// Processor time that decisions took.
    pub spent: Duration,
    /// Looks that went out.
    pub looks_sent: usize,
    /// Starts that were left unanswered.
    pub starts_lost: usize,
    /// Room of endpoints that are added, or that come back from a move.
    pub capacity: Resources,
    /// Whether a new leader was told the fleet's time; it isn't if all members were killed.
    pub knows_fleet_time: bool,
    /// What calls to endpoints go over; `None` carries everything at once.
    pub link: Option<Link>,
    looks: Vec<WaitingLook>,
    delayed: Vec<Delayed>,
    luck: Luck,
    /// Batches on their way to the log, and when each is there.
    pending: VecDeque<(Steady, Batch)>,
    taken_at: Steady,
    done: BTreeSet<TaskId>,
    calls: u64,
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

/// Two services with a queue each, and one workspace.
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

/// A plain step of so many tasks, each with so many thousandths of a core for so long.
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

/// A job of these steps.
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
    /// A fleet of so many endpoints of `pricing`, named `e0` and so on.
    #[must_use]
    pub fn new(endpoints: u16) -> Fleet {
        Fleet::with(endpoints, Settings::default())
    }

    /// The same whose scheduler has these settings.
    #[must_use]
    pub fn with(endpoints: u16, settings: Settings) -> Fleet {
        let now = Now {
            steady: Duration::from_secs(100),
            unix_ms: BEGAN_MS,
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
            log_delay: Duration::ZERO,
            appends_at_once: 4,
            evacuated: BTreeMap::new(),
            reads_entries: true,
            hides_instances: false,
            carries_out: false,
            returning: Vec::new(),
            lives: 100,
            loses_operations: false,
            faults: Faults::default(),
            crashes: Crashes::default(),
            replies: BTreeMap::new(),
            statuses: Vec::new(),
            operations: Vec::new(),
            broken: Vec::new(),
            starts: Vec::new(),
            cfg: cfg.clone(),
            spent: Duration::ZERO,
            looks_sent: 0,
            starts_lost: 0,
            capacity: Resources {
                cpu: 4000,
                mem_mb: 4000,
                gpu: 0,
            },
            knows_fleet_time: true,
            link: None,
            looks: Vec::new(),
            delayed: Vec::new(),
            luck: Luck::new(0),
            pending: VecDeque::new(),
            taken_at: Steady::ZERO,
            done: BTreeSet::new(),
            calls: 0,
        };
        for index in 0..endpoints {
            fleet.add(&format!("e{index}"), index);
        }
        fleet.cell.configure(cfg);
        fleet.list();
        fleet
    }

    /// Adds an endpoint of `pricing` on an instance of its own.
    pub fn add(&mut self, id: &str, index: u16) {
        self.add_to("pricing", id, index);
    }

    /// Adds an endpoint of a service on an instance of its own.
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

    /// The endpoint of that name.
    ///
    /// # Panics
    /// If there is none.
    pub fn endpoint(&mut self, id: &str) -> &mut Endpoint {
        self.endpoints
            .get_mut(id)
            .expect("there is such an endpoint")
    }

    /// The endpoint's process ends and starts again under its id. Calls that wait there break off.
    pub fn restart(&mut self, id: &str) {
        self.note_crash(id);
        let endpoint = self.endpoint(id);
        let mut report = endpoint.report.clone();
        report.born += 1;
        *endpoint = Endpoint::new(report);
        endpoint.clock = Duration::ZERO;
        let broken = self
            .looks
            .extract_if(.., |look| &*look.order.target.id == id);
        for look in broken.collect::<Vec<_>>() {
            let target = &look.order.target;
            self.cell.polled(target, Err(PollFailure::Failed));
        }
    }

    /// The instance of an endpoint loses power: nothing runs there, and the platform lists it as
    /// down.
    pub fn crash(&mut self, id: &str) {
        self.note_crash(id);
        let endpoint = self.endpoint(id);
        endpoint.is_silent = true;
        endpoint.runs.clear();
        for instance in self.instances.values_mut() {
            if instance.endpoint.as_deref() == Some(id) {
                instance.endpoint = None;
                instance.state = InstanceState::Down;
            }
        }
    }

    /// An endpoint's room changes while it runs, and its entry says so.
    pub fn resize(&mut self, id: &str, capacity: Resources) {
        let now = self.now.steady;
        let endpoint = self.endpoint(id);
        endpoint.resized.push((now, endpoint.report.capacity));
        endpoint.report.capacity = capacity;
        self.read_entries();
    }

    /// The leader reads what endpoints say of themselves, if it can.
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

    /// Puts an endpoint and its instance into an availability zone.
    pub fn put_in_zone(&mut self, id: &str, zone: &str) {
        self.endpoint(id).report.zone = zone.into();
        for instance in self.instances.values_mut() {
            if instance.endpoint.as_deref() == Some(id) {
                instance.zone = zone.into();
            }
        }
    }

    /// Operators ask for the evacuation of a zone.
    pub fn evacuate(&mut self, zone: &str) {
        self.evacuated.entry(zone.into()).or_insert(self.now.steady);
        self.cell.evacuate(&zone.into());
    }

    /// Operators withdraw it.
    pub fn withdraw_evacuation(&mut self, zone: &str) {
        self.evacuated.remove(zone);
        self.cell.evacuation_withdrawn(zone);
    }

    /// Tells the cell every endpoint's entry.
    pub fn list(&mut self) {
        for endpoint in self.endpoints.values() {
            self.cell.endpoint_listed(endpoint.report.clone());
        }
    }

    /// Another leader takes over from the records.
    ///
    /// # Panics
    /// If a record can't be read.
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
        self.pending.clear();
        self.looks.clear();
        self.cell.configure(self.cfg.clone());
        let zones = self.evacuated.keys().cloned().collect();
        self.cell.evacuations_read(zones);
        self.list();
    }

    /// Calls with the key of the first workspace; returns the call's number.
    pub fn call(&mut self, path: &str, verb: Verb) -> u64 {
        self.call_with(path, Some("key"), verb)
    }

    /// Calls with this key; returns the call's number.
    pub fn call_with(&mut self, path: &str, key: Option<&str>, verb: Verb) -> u64 {
        self.calls += 1;
        let call = Call {
            id: self.calls,
            host: "h".into(),
            path: path.into(),
            key: key.map(Into::into),
            verb,
        };
        self.decide(|cell, _| cell.call(&call));
        self.calls
    }

    /// Hands a job in to the first queue.
    pub fn submit(&mut self, id: &str, draft: Draft) -> u64 {
        self.call(&format!("/q/{id}"), Verb::Submit(Ok(draft)))
    }

    /// The state that a caller is told.
    ///
    /// # Panics
    /// If there is no answer.
    pub fn state(&mut self, id: &str) -> Answer {
        let call = self.call(&format!("/q/{id}"), Verb::Read);
        self.pass(1);
        self.replies[&call].clone()
    }

    /// How the runs ended that the living endpoints have had.
    pub fn ends(&self) -> impl Iterator<Item = EndReason> {
        self.endpoints.values().flat_map(|e| &e.history).copied()
    }

    /// Lets time pass, and everybody act.
    ///
    /// # Panics
    /// If a record can't be encoded.
    pub fn pass(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now.steady += STEP;
            self.now.unix_ms += u64::try_from(STEP.as_millis()).expect("a step is short");
            for endpoint in self.endpoints.values_mut() {
                endpoint.pass(STEP);
            }
            self.crash_due();
            self.return_instances();
            self.end_delayed();
            self.carry_link();
            self.answer_looks();
            self.read_entries();
            self.commit();
            let actions = self.decide(Cell::tick);
            self.carry_out(actions);
        }
    }

    fn decide<T>(&mut self, decide: impl FnOnce(&mut Cell, Now) -> T) -> T {
        let began = std::time::Instant::now();
        let decided = decide(&mut self.cell, self.now);
        self.spent += began.elapsed();
        decided
    }

    /// Fails if a promise was broken.
    ///
    /// # Panics
    /// If one was.
    pub fn assert_sound(&self) {
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }
}
