//! Endpoints, instances, a log and callers in virtual time, with the faults that are asked for.
//!
//! Each start is checked against the promises: room, one run of a task at a time, steps in order,
//! none after a noted end.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::cell::calls::{Call, Draft, Verb};
use pomelohitch_sched::config::{FleetConfig, Queue, Service, Workspace};
use pomelohitch_sched::endpoint::Report;
use pomelohitch_sched::instances::{Instance, InstanceState};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{
    Action, Answer, LookFailure, LookOrder, Operation, OperationOutcome, Order, Outcome, Refusal,
    Target,
};
use pomelohitch_sched::{Cell, EndpointId, Now, Resources, Settings, Steady, TaskId};

pub use self::endpoint::Endpoint;
pub use self::faults::Faults;
use self::faults::{Delayed, Luck};

mod endpoint;
pub(crate) mod faults;

/// Time from one step to the next.
pub const STEP: Duration = Duration::from_millis(10);
/// Unix time at which every test begins.
pub const BEGAN_MS: u64 = 1_000_000;
/// Appends behind others begin at least so far apart.
const APPEND_GAP: Duration = Duration::from_millis(120);
/// An order without an answer by then is taken for lost.
const ORDER_WITHIN: Duration = Duration::from_millis(150);
/// A look may take so much longer than it was told to wait.
const LOOK_MARGIN: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct WaitingLook {
    sent_at: Duration,
    order: LookOrder,
    has_arrived: bool,
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
            hides_instances: false,
            carries_out: false,
            returning: Vec::new(),
            lives: 100,
            loses_operations: false,
            faults: Faults::default(),
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
            self.cell.looked(target, Err(LookFailure::Failed));
        }
    }

    /// The instance of an endpoint loses power: nothing runs there, and the platform lists it as
    /// down.
    pub fn crash(&mut self, id: &str) {
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

    /// Tells the cell every endpoint's entry.
    pub fn list(&mut self) {
        for endpoint in self.endpoints.values() {
            self.cell.endpoint_listed(endpoint.report.clone());
        }
    }

    /// Another leader takes over from the records.
    pub fn change_leader(&mut self) {
        let records: Vec<_> = self.log.clone().into_iter().collect();
        let epoch = self.cell.epoch() + 1;
        let (cell, faults) = Cell::restore(self.settings.clone(), epoch, self.now, &records);
        let faults = faults.iter().map(|fault| format!("a record: {fault}"));
        self.broken.extend(faults);
        self.cell = cell;
        self.pending.clear();
        self.looks.clear();
        self.cell.configure(self.cfg.clone());
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
            self.return_instances();
            self.end_delayed();
            self.answer_looks();
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

    fn commit(&mut self) {
        if !self.is_log_up {
            return;
        }
        let now = self.now.steady;
        while let Some((_, batch)) = self.pending.pop_front_if(|(due, _)| *due <= now) {
            for record in &batch.records {
                match &record.value {
                    Some(value) => self.log.insert(record.key.clone(), value.clone()),
                    None => self.log.remove(&record.key),
                };
            }
            let actions = self.decide(|cell, _| cell.committed(batch));
            self.carry_out(actions);
        }
        let is_behind = !self.pending.is_empty();
        let is_early = is_behind && now < self.taken_at + APPEND_GAP;
        if is_early || self.pending.len() >= self.appends_at_once {
            return;
        }
        let batch = self.decide(|cell, _| cell.take_batch());
        if let Some(batch) = batch.expect("records can be encoded") {
            self.taken_at = now;
            self.pending.push_back((now + self.log_delay, batch));
        }
    }

    fn answer_looks(&mut self) {
        let now = self.now.steady;
        let mut waiting = Vec::new();
        for mut look in std::mem::take(&mut self.looks) {
            let order = look.order.clone();
            let waited = now.saturating_sub(look.sent_at);
            let endpoint = self.endpoints.get_mut(&order.target.id);
            let reachable = endpoint
                .filter(|e| !look.is_lost && !e.is_silent && e.report.addr == order.target.addr);
            let Some(endpoint) = reachable else {
                if waited < order.wait + LOOK_MARGIN {
                    waiting.push(look);
                } else {
                    self.cell.looked(&order.target, Err(LookFailure::Failed));
                }
                continue;
            };
            // Lease and acknowledgement count from the arrival of the look.
            if !look.has_arrived && order.epoch >= endpoint.epoch {
                look.has_arrived = true;
                endpoint.lease = endpoint.lease.max(order.lease.unwrap_or_default());
                self.done.extend(endpoint.acknowledge(order.noted));
            }
            if !endpoint.ended.is_empty() || waited >= order.wait {
                let mut answer = endpoint.look(&order);
                if let Ok(answer) = &mut answer {
                    answer.sent_at = look.sent_at;
                    answer.answered_at = now;
                }
                self.decide(|cell, _| cell.looked(&order.target, answer));
            } else {
                waiting.push(look);
            }
        }
        self.looks.extend(waiting);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Look(look) => {
                    self.looks_sent += 1;
                    self.looks.push(WaitingLook {
                        sent_at: self.now.steady,
                        order: look,
                        has_arrived: false,
                        is_lost: self.luck.strikes(self.faults.orders_lost),
                    });
                }
                Action::Order {
                    target,
                    order,
                    epoch,
                    ..
                } => {
                    self.send(&target, &order, epoch);
                }
                Action::Reply { call, answer } => {
                    self.replies.insert(call, answer);
                }
                Action::WaveStatus { wave, is_completed } => {
                    self.statuses.push((wave, is_completed));
                }
                Action::ListInstances if self.hides_instances => self.cell.instances_unlisted(),
                Action::ListInstances => {
                    let list = self.instances.values().cloned().collect();
                    self.decide(|cell, now| cell.instances_listed(list, now.steady));
                }
                Action::Operate {
                    instance,
                    operation,
                    ..
                } => self.operate(&instance, &operation),
                Action::Advise { step, endpoints } => {
                    let tickets = endpoints.into_iter().map(|e| (e, "ticket".into()));
                    let valid = Duration::from_secs(3);
                    self.cell.advised_of(step, tickets.collect(), valid);
                }
            }
        }
    }

    fn operate(&mut self, id: &Arc<str>, operation: &Operation) {
        self.operations.push((id.clone(), operation.clone()));
        let outcome = if self.loses_operations {
            OperationOutcome::Unanswered
        } else {
            OperationOutcome::Taken
        };
        if self.carries_out && !self.loses_operations {
            self.take_down(id, operation);
        }
        self.cell.operated(id, operation, outcome);
    }

    fn take_down(&mut self, id: &Arc<str>, operation: &Operation) {
        let instance = self.instances.get_mut(id).expect("it is listed");
        if let Some(endpoint) = instance.endpoint.take() {
            self.endpoints.remove(&endpoint);
        }
        let (state, pool, millis) = match operation {
            Operation::Move { pool } => (InstanceState::Moving, pool.clone(), 1500),
            Operation::Maintain { .. } => (InstanceState::Maintenance, instance.pool.clone(), 2000),
        };
        instance.state = state;
        instance.pool = pool.clone();
        let back_at = self.now.steady + Duration::from_millis(millis);
        self.returning.push((back_at, id.clone(), pool));
    }

    fn return_instances(&mut self) {
        let now = self.now.steady;
        let back: Vec<_> = self
            .returning
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, id, pool) in back {
            self.lives += 1;
            let mut report = report(&format!("e{}", self.lives), self.lives);
            report.service = pool;
            report.capacity = self.capacity;
            let instance = self.instances.get_mut(&id).expect("it is listed");
            instance.state = InstanceState::Up;
            report.labels = instance.labels.clone();
            instance.endpoint = Some(report.id.clone());
            self.cell.endpoint_listed(report.clone());
            let mut endpoint = Endpoint::new(report);
            endpoint.clock = Duration::ZERO;
            let id = endpoint.report.id.clone();
            self.endpoints.insert(id, endpoint);
        }
    }

    fn send(&mut self, target: &Target, order: &Order, epoch: u64) {
        if self.luck.strikes(self.faults.orders_lost) {
            self.starts_lost += usize::from(matches!(order, Order::Start { .. }));
            self.delayed
                .extend(self.luck.late(target, order, epoch, self.now.steady));
            return;
        }
        let outcome = self.order(target, order, epoch);
        self.decide(|cell, _| cell.ordered(target, order, &outcome));
    }

    /// Orders that were left unanswered count as lost after a while, and are carried out later.
    fn end_delayed(&mut self) {
        let now = self.now.steady;
        let due = self.delayed.extract_if(.., |d| d.at <= now);
        for delayed in due.collect::<Vec<_>>() {
            let Delayed {
                target,
                order,
                epoch,
                is_carried_out,
                ..
            } = delayed;
            if is_carried_out && self.endpoints.contains_key(&target.id) {
                self.order(&target, &order, epoch);
            } else if !is_carried_out {
                self.decide(|cell, _| cell.ordered(&target, &order, &Outcome::Unanswered));
            }
        }
    }

    fn order(&mut self, target: &Target, order: &Order, epoch: u64) -> Outcome {
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            let is_start = matches!(order, Order::Start { .. });
            self.broken
                .extend(is_start.then(|| format!("a start for {}, which was moved", target.id)));
            return Outcome::Refused(Refusal::Elsewhere);
        };
        if endpoint.is_silent {
            return Outcome::Unanswered;
        }
        let whole = match order {
            Order::Start { task, spec, .. } => {
                let estimate = spec.steps[usize::from(task.step)].estimate;
                self.faults.duration(*task, estimate)
            }
            _ => Duration::ZERO,
        };
        let outcome = endpoint.take(order, epoch, whole);
        let loses_answers = endpoint.loses_answers;
        if let Order::Start {
            task, run, spec, ..
        } = order
            && outcome == Outcome::Taken
        {
            self.starts.push((*task, *run, target.id.clone()));
            self.check_start(*task, &target.id, &spec.steps[usize::from(task.step)]);
        }
        if loses_answers {
            Outcome::Unanswered
        } else {
            outcome
        }
    }

    fn check_start(&mut self, task: TaskId, at: &EndpointId, step: &StepSpec) {
        let elsewhere = self
            .endpoints
            .values()
            .flat_map(|e| e.runs.keys())
            .filter(|(t, _)| *t == task)
            .count();
        if elsewhere > 1 {
            self.broken.push(format!("{task} runs {elsewhere} times"));
        }
        if self.done.contains(&task) {
            self.broken.push(format!("{task} starts after it was done"));
        }
        let endpoint = &self.endpoints[at];
        let mut used = Resources::default();
        for run in endpoint.runs.values() {
            used += &run.room;
        }
        if !endpoint.report.capacity.holds(&used) {
            self.broken.push(format!("{at} is over its room"));
        }
        for &after in &step.after {
            let is_done = self.cell.job(task.job).is_some_and(|j| {
                let open = j.progress.open.get(&task.occurrence);
                open.is_some_and(|o| o.is_step_done(after))
            });
            if !is_done {
                self.broken
                    .push(format!("{task} starts before step {after}"));
            }
        }
    }

    /// Fails if a promise was broken.
    ///
    /// # Panics
    /// If one was.
    pub fn assert_sound(&self) {
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }
}
