//! Endpoints, a log and callers in virtual time, with the faults that tests ask for.
//!
//! Endpoints do what the platform says of them: runs hold a lease, a lower epoch is refused, ends
//! stay listed until they are acknowledged, and a stopped run can't come later. Each start is
//! checked against the promises: room, one run of a task at a time, steps in order, none after a
//! noted end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::cell::calls::{Call, Draft, Verb};
use pomelohitch_sched::config::{FleetConfig, Queue, Service, Workspace};
use pomelohitch_sched::endpoint::{Ended, How, Look, Report, Running};
use pomelohitch_sched::instances::{Instance, InstanceState};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{
    Action, Answer, LookFailure, LookOrder, Operation, OperationOutcome, Order, Outcome, Refusal,
    Target,
};
use pomelohitch_sched::{Cell, EndpointId, Now, Resources, Settings, TaskId};

/// Time from one step to the next.
pub const STEP: Duration = Duration::from_millis(10);
/// Unix time at which every test begins.
pub const BEGAN_MS: u64 = 1_000_000;

#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct Endpoint {
    pub report: Report,
    pub is_silent: bool,
    /// Orders are carried out, but their answers are lost.
    pub loses_answers: bool,
    /// Every run fails.
    pub fails: bool,
    /// Runs make no progress.
    pub stands_still: bool,
    /// How long a run that is stopped goes on.
    pub stop_grace: Duration,
    clock: Duration,
    epoch: u64,
    lease: Duration,
    runs: BTreeMap<(TaskId, u32), Run>,
    ended: Vec<Ended>,
    next_end: u64,
    /// Ends up to this one were listed when the lease ran out. Noted after that they don't count
    /// as noted, by the platform's rules.
    lapsed_end: u64,
    over: BTreeMap<TaskId, u32>,
}

struct Run {
    whole: Duration,
    left: Duration,
    room: Resources,
    is_lasting: bool,
    /// When it ends by a stop, on the endpoint's clock.
    stops_at: Option<Duration>,
}

struct WaitingLook {
    sent_at: Duration,
    order: LookOrder,
    has_arrived: bool,
}

#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct Fleet {
    pub cell: Cell,
    pub now: Now,
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub instances: BTreeMap<Arc<str>, Instance>,
    pub log: BTreeMap<Box<str>, Box<[u8]>>,
    /// While false, nothing becomes durable.
    pub is_log_up: bool,
    /// While true, the list of instances can't be read.
    pub hides_instances: bool,
    /// Whether operations take effect after their time.
    pub carries_out: bool,
    returning: Vec<(Duration, Arc<str>, Arc<str>)>,
    lives: u16,
    /// While true, calls about instances have no effect and no answer.
    pub loses_operations: bool,
    pub replies: BTreeMap<u64, Answer>,
    pub statuses: Vec<(u64, bool)>,
    pub operations: Vec<(Arc<str>, Operation)>,
    pub broken: Vec<String>,
    pub starts: Vec<(TaskId, u32, EndpointId)>,
    pub cfg: Arc<FleetConfig>,
    /// Processor time that decisions took.
    pub spent: Duration,
    pub looks_sent: usize,
    /// Room of endpoints that are added, or that come back from a move.
    pub capacity: Resources,
    looks: Vec<WaitingLook>,
    pending: Option<Batch>,
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

impl Endpoint {
    fn new(report: Report) -> Endpoint {
        Endpoint {
            report,
            is_silent: false,
            loses_answers: false,
            fails: false,
            stands_still: false,
            stop_grace: Duration::ZERO,
            clock: Duration::from_secs(5),
            epoch: 0,
            lease: Duration::ZERO,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapsed_end: 0,
            over: BTreeMap::new(),
        }
    }

    /// What runs there.
    pub fn running(&self) -> Vec<TaskId> {
        self.runs.keys().map(|(task, _)| *task).collect()
    }

    /// What runs there and wasn't told to stop.
    pub fn staying(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.stops_at.is_none()).count()
    }

    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    fn end(&mut self, key: (TaskId, u32), how: How) {
        self.runs.remove(&key);
        let (task, run) = key;
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run);
        self.ended.push(Ended {
            number: self.next_end,
            task,
            run,
            how,
            checkpoint: Box::default(),
        });
        self.next_end += 1;
    }

    fn pass(&mut self, time: Duration) {
        self.clock += time;
        if self.clock > self.lease {
            self.lapsed_end = self.next_end - 1;
            let lapsed: Vec<_> = self.runs.keys().copied().collect();
            for key in lapsed {
                self.end(key, How::Lapsed);
            }
        }
        let clock = self.clock;
        let stopped = self
            .runs
            .extract_if(.., |_, run| run.stops_at.is_some_and(|at| at <= clock));
        let stopped: Vec<_> = stopped.map(|(key, _)| key).collect();
        for key in stopped {
            self.end(key, How::Stopped);
        }
        let how = if self.fails { How::Failed } else { How::Done };
        let mut over = Vec::new();
        for (key, run) in &mut self.runs {
            if !self.stands_still {
                run.left = run.left.saturating_sub(time);
            }
            if run.left.is_zero() && (!run.is_lasting || self.fails) {
                over.push(*key);
            }
        }
        for key in over {
            self.end(key, how);
        }
    }

    /// Forgets ends up to `noted`, and returns the tasks that count as done by that.
    fn acknowledge(&mut self, noted: u64) -> Vec<TaskId> {
        let (old, listed) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|e| e.number <= noted);
        self.ended = listed;
        let old: Vec<Ended> = old;
        let counts = |e: &Ended| e.how == How::Done && e.number > self.lapsed_end;
        let done = old.into_iter().filter(counts);
        done.map(|e| e.task).collect()
    }

    fn look(&mut self, look: &LookOrder) -> Result<Look, LookFailure> {
        if look.epoch < self.epoch {
            return Err(LookFailure::Fenced);
        }
        self.epoch = look.epoch;
        self.lease = self.lease.max(look.lease.unwrap_or_default());
        Ok(Look {
            born: self.report.born,
            clock: self.clock,
            running: self
                .runs
                .iter()
                .map(|(key, run)| running(key, run))
                .collect(),
            ended: self.ended.clone(),
            renewed: look.lease.is_some(),
            ..Look::default()
        })
    }
}

fn running(key: &(TaskId, u32), run: &Run) -> Running {
    let whole = run.whole.as_millis().max(1);
    let done = 100 - run.left.as_millis() * 100 / whole;
    Running {
        task: key.0,
        number: key.1,
        checkpoint: Box::default(),
        percent: if run.is_lasting {
            100
        } else {
            u32::try_from(done).expect("it is a percentage")
        },
        load: 0,
    }
}

impl Fleet {
    pub fn new(endpoints: u16) -> Fleet {
        let now = Now {
            steady: Duration::from_secs(100),
            unix_ms: BEGAN_MS,
        };
        let (cell, _) = Cell::restore(Settings::default(), 1, now, &[]);
        let cfg = Arc::new(config(1));
        let mut fleet = Fleet {
            cell,
            now,
            endpoints: BTreeMap::new(),
            instances: BTreeMap::new(),
            log: BTreeMap::new(),
            is_log_up: true,
            hides_instances: false,
            carries_out: false,
            returning: Vec::new(),
            lives: 100,
            loses_operations: false,
            replies: BTreeMap::new(),
            statuses: Vec::new(),
            operations: Vec::new(),
            broken: Vec::new(),
            starts: Vec::new(),
            cfg: cfg.clone(),
            spent: Duration::ZERO,
            looks_sent: 0,
            capacity: Resources {
                cpu: 4000,
                mem_mb: 4000,
                gpu: 0,
            },
            looks: Vec::new(),
            pending: None,
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

    pub fn add(&mut self, id: &str, index: u16) {
        self.add_to("pricing", id, index);
    }

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
        let (cell, faults) = Cell::restore(Settings::default(), epoch, self.now, &records);
        assert!(faults.is_empty(), "{faults:?}");
        self.cell = cell;
        self.pending = None;
        self.looks.clear();
        self.cell.configure(self.cfg.clone());
        self.list();
    }

    pub fn call(&mut self, path: &str, verb: Verb) -> u64 {
        self.call_with(path, Some("key"), verb)
    }

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

    pub fn submit(&mut self, id: &str, draft: Draft) -> u64 {
        self.call(&format!("/q/{id}"), Verb::Submit(Ok(draft)))
    }

    /// The state that a caller is told.
    pub fn state(&mut self, id: &str) -> Answer {
        let call = self.call(&format!("/q/{id}"), Verb::Read);
        self.pass(1);
        self.replies[&call].clone()
    }

    /// Lets time pass, and everybody act.
    pub fn pass(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now.steady += STEP;
            self.now.unix_ms += u64::try_from(STEP.as_millis()).expect("a step is short");
            for endpoint in self.endpoints.values_mut() {
                endpoint.pass(STEP);
            }
            self.return_instances();
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
        if let Some(batch) = self.pending.take() {
            for record in &batch.records {
                match &record.value {
                    Some(value) => self.log.insert(record.key.clone(), value.clone()),
                    None => self.log.remove(&record.key),
                };
            }
            let actions = self.decide(|cell, _| cell.committed(batch));
            self.carry_out(actions);
        }
        let batch = self.decide(|cell, _| cell.take_batch());
        self.pending = batch.expect("records can be encoded");
    }

    fn answer_looks(&mut self) {
        let now = self.now.steady;
        let mut waiting = Vec::new();
        for mut look in std::mem::take(&mut self.looks) {
            let order = look.order.clone();
            let waited = now.saturating_sub(look.sent_at);
            let endpoint = self.endpoints.get_mut(&order.target.id);
            let reachable = endpoint.filter(|e| !e.is_silent && e.report.addr == order.target.addr);
            let Some(endpoint) = reachable else {
                if waited < order.wait + Duration::from_millis(500) {
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
                    });
                }
                Action::Order {
                    target,
                    order,
                    epoch,
                    ..
                } => {
                    let outcome = self.order(&target, &order, epoch);
                    self.decide(|cell, _| cell.ordered(&target, &order, &outcome));
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
        if epoch < endpoint.epoch {
            return Outcome::Refused(Refusal::Fenced);
        }
        endpoint.epoch = epoch;
        let outcome = match order {
            Order::Start {
                task,
                run,
                spec,
                deadline,
                ..
            } => {
                if *deadline < endpoint.clock {
                    return Outcome::Refused(Refusal::Late);
                }
                if endpoint.over.get(task).is_some_and(|over| over >= run) {
                    return Outcome::Refused(Refusal::OldRun);
                }
                let step = &spec.steps[usize::from(task.step)];
                endpoint.lease = endpoint.lease.max(*deadline);
                endpoint.runs.insert(
                    (*task, *run),
                    Run {
                        whole: step.estimate,
                        left: step.estimate,
                        room: step.room(),
                        is_lasting: step.is_lasting,
                        stops_at: None,
                    },
                );
                self.starts.push((*task, *run, target.id.clone()));
                self.check_start(*task, &target.id, step);
                Outcome::Taken
            }
            Order::Stop { task, run } => {
                let over = endpoint.over.entry(*task).or_default();
                *over = (*over).max(*run);
                let stops_at = endpoint.clock + endpoint.stop_grace;
                if let Some(running) = endpoint.runs.get_mut(&(*task, *run)) {
                    running.stops_at.get_or_insert(stops_at);
                }
                if endpoint.stop_grace.is_zero() && endpoint.runs.contains_key(&(*task, *run)) {
                    endpoint.end((*task, *run), How::Stopped);
                }
                Outcome::Taken
            }
            Order::Pace { .. } => Outcome::Taken,
        };
        let loses_answers = self.endpoints[&target.id].loses_answers;
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

    /// Fails the test if a promise was broken.
    pub fn assert_sound(&self) {
        assert!(self.broken.is_empty(), "{:#?}", self.broken);
    }
}
