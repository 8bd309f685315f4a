//! Workers that run tasks under leases and report with a delay.
//!
//! The command of a task overrides its declared sizes, so that these can be wrong: the words
//! `run=MS`, `cpu=MILLI` and `memory=MIB` set what it really takes, and `fail` makes it fail.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pomelohitch_core::id::{InstanceId, JobId, Offset};
use pomelohitch_core::record::job::Resources;
use pomelohitch_platform::workers::{Event, List, Listed, Report, Reports, Start, TaskState};
use serde::{Deserialize, Serialize};

use crate::faults::{self, CallFaults, Shared};
use crate::runner;
use crate::server::{self, Answer, Request, Server};

/// Factor by which throttling extends the remaining run time of a task.
const THROTTLE_FACTOR: u32 = 2;

/// Faults of the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of calls.
    pub calls: CallFaults,
    /// This many of the next starts take effect, and their connections are closed without an answer.
    pub lose_starts: u32,
    /// Workers whose tasks all fail.
    pub failing: BTreeSet<InstanceId>,
}

/// Settings of the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The workers, as listed.
    pub workers: Vec<Listed>,
    /// Delay of the reports.
    pub lag: Duration,
    /// Interval at which a running task reports its usage.
    pub usage_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            workers: Vec::new(),
            lag: Duration::from_millis(200),
            usage_interval: Duration::from_millis(200),
        }
    }
}

/// Runs of a job, as the workers counted them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of starts.
    pub started: u64,
    /// Number of successful runs.
    pub succeeded: u64,
    /// Maximum number of its tasks that ran at the same time.
    pub most_at_once: usize,
    /// Time of the first start, milliseconds since the Unix epoch.
    pub first_start_ms: u64,
}

/// Counts of the workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs of each job that was started.
    pub jobs: BTreeMap<JobId, Runs>,
}

#[derive(Debug)]
struct Task {
    worker: InstanceId,
    start: Start,
    used: Resources,
    fails: bool,
    /// When it completes, unless it is throttled or ends early.
    end: Instant,
    lease_until: Instant,
    next_usage: Instant,
    is_running: bool,
}

#[derive(Debug)]
struct Fleet {
    options: Options,
    tasks: BTreeMap<Offset, Task>,
    /// Starts that are refused, because a lookup has answered that they never happened.
    fenced: BTreeSet<Offset>,
    /// Remaining run time of each job at its checkpoint.
    remaining: BTreeMap<JobId, Duration>,
    reports: Vec<(Instant, Report)>,
    ledger: Ledger,
}

#[derive(Deserialize)]
struct TaskCall {
    op: Offset,
    #[serde(default, rename = "lease_ms", with = "pomelohitch_core::millis")]
    lease: Duration,
}

/// Running workers.
#[derive(Debug)]
pub struct Workers {
    server: Server,
    control: Server,
    faults: Shared<Faults>,
    fleet: Shared<Fleet>,
}

impl Workers {
    /// Starts the workers.
    #[must_use]
    pub fn start(options: &Options) -> Workers {
        let fleet = Shared::new(Fleet {
            options: options.clone(),
            tasks: BTreeMap::new(),
            fenced: BTreeSet::new(),
            remaining: BTreeMap::new(),
            reports: Vec::new(),
            ledger: Ledger::default(),
        });
        let faults = Shared::<Faults>::default();
        let (call_faults, call_fleet) = (faults.clone(), fleet.clone());
        let handler = move |req: &Request| {
            let act = || answer(&call_fleet, &call_faults, req);
            faults::with_call_faults(&call_faults, |f| &mut f.calls, req, act)
        };
        let server = Server::start(&server::Options::default(), Box::new(handler));
        let (control_faults, control_fleet) = (faults.clone(), fleet.clone());
        let control = faults::start_control(
            move |faults| *control_faults.lock() = faults,
            move || control_fleet.lock().ledger_now(),
        );
        Workers {
            server,
            control,
            faults,
            fleet,
        }
    }

    /// URL of the workers' service.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// URL of the control address.
    #[must_use]
    pub fn control_url(&self) -> String {
        self.control.url()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// The current faults; the numbers in them are what remains.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.lock().clone()
    }

    /// The counts up to now.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.fleet.lock().ledger_now()
    }
}

impl Fleet {
    fn ledger_now(&mut self) -> Ledger {
        self.advance();
        self.ledger.clone()
    }

    /// Advances every task to the present.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut events = Vec::new();
        for task in self.tasks.values_mut().filter(|task| task.is_running) {
            task.advance(now, self.options.usage_interval, &mut events);
        }
        events.sort_by_key(|(at, _)| *at);
        for (_, report) in &events {
            if report.event == Event::Succeeded {
                self.ledger
                    .jobs
                    .entry(report.job.clone())
                    .or_default()
                    .succeeded += 1;
            }
        }
        self.reports.extend(events);
    }

    fn start(&mut self, worker: &str, start: Start, is_failing: bool) -> Answer {
        if self.tasks.contains_key(&start.op) {
            return Answer::json(200, &serde_json::json!({"started": true}));
        }
        let is_known = self
            .options
            .workers
            .iter()
            .any(|known| *known.id == *worker);
        if !is_known || self.fenced.contains(&start.op) || !self.fits(worker, &start.reserve) {
            return Answer::text(409, "not started");
        }
        let mut task = Task::new(worker, start, is_failing);
        if let Some(remaining) = self.remaining.remove(&task.start.job) {
            task.end = Instant::now() + remaining;
        }
        let running = self.tasks.values().filter(|known| known.is_running);
        let at_once = 1 + running
            .filter(|known| known.start.job == task.start.job)
            .count();
        let runs = self.ledger.jobs.entry(task.start.job.clone()).or_default();
        if runs.started == 0 {
            runs.first_start_ms = runner::epoch_ms();
        }
        runs.started += 1;
        runs.most_at_once = runs.most_at_once.max(at_once);
        self.reports
            .push((Instant::now(), task.report(Event::Started)));
        self.tasks.insert(task.start.op, task);
        Answer::json(200, &serde_json::json!({"started": true}))
    }

    fn fits(&self, worker: &str, reserve: &Resources) -> bool {
        let listed = self
            .options
            .workers
            .iter()
            .find(|known| *known.id == *worker);
        let on_worker = |task: &&Task| task.is_running && *task.worker == *worker;
        let reserved = self
            .tasks
            .values()
            .filter(on_worker)
            .map(|task| task.start.reserve);
        let total = reserved.fold(*reserve, |sum, task_reserve| Resources {
            cpu_milli: sum.cpu_milli + task_reserve.cpu_milli,
            memory_mib: sum.memory_mib + task_reserve.memory_mib,
            accelerators: sum.accelerators + task_reserve.accelerators,
        });
        listed.is_some_and(|Listed { capacity, .. }| {
            total.cpu_milli <= capacity.cpu_milli
                && total.memory_mib <= capacity.memory_mib
                && total.accelerators <= capacity.accelerators
        })
    }

    fn change(&mut self, action: &str, call: &TaskCall) -> Answer {
        let now = Instant::now();
        let Some(task) = self.tasks.get_mut(&call.op).filter(|task| task.is_running) else {
            return Answer::text(404, "no such task");
        };
        let remaining = task.end.saturating_duration_since(now);
        let ended = match action {
            "renew" => {
                task.lease_until = now + call.lease;
                None
            }
            "throttle" => {
                task.end = now + remaining * THROTTLE_FACTOR;
                None
            }
            "stop" => Some(Event::Stopped),
            "checkpoint" => {
                self.remaining.insert(task.start.job.clone(), remaining);
                Some(Event::Checkpointed)
            }
            _ => return Answer::text(404, "not found"),
        };
        if let Some(event) = ended {
            task.is_running = false;
            self.reports.push((now, task.report(event)));
        }
        Answer::json(200, &serde_json::json!({"done": true}))
    }

    fn reports(&self, from: u64) -> Reports {
        let skip = usize::try_from(from).unwrap_or(usize::MAX);
        let shown = self.reports.iter().skip(skip);
        let shown = shown.take_while(|(at, _)| at.elapsed() >= self.options.lag);
        let reports: Vec<Report> = shown.map(|(_, report)| report.clone()).collect();
        Reports {
            next: from + reports.len() as u64,
            reports,
        }
    }

    fn look_up(&mut self, op: Offset) -> TaskState {
        match self.tasks.get(&op) {
            Some(task) if task.is_running => TaskState::Running,
            Some(_) => TaskState::Ended,
            None => {
                self.fenced.insert(op);
                TaskState::Never
            }
        }
    }
}

impl Task {
    fn new(worker: &str, start: Start, fails: bool) -> Task {
        let now = Instant::now();
        let words: Vec<&str> = start.command.split_whitespace().collect();
        let number = |name: &str| {
            let mut values = words.iter().filter_map(|word| word.strip_prefix(name));
            values.next()?.strip_prefix('=')?.parse::<u64>().ok()
        };
        let run = number("run").map_or(start.run, Duration::from_millis);
        let used = Resources {
            cpu_milli: number("cpu").unwrap_or(start.reserve.cpu_milli),
            memory_mib: number("memory").unwrap_or(start.reserve.memory_mib),
            accelerators: start.reserve.accelerators,
        };
        Task {
            worker: worker.into(),
            used,
            fails: fails || words.contains(&"fail"),
            end: now + run,
            lease_until: now + start.lease,
            next_usage: now,
            is_running: true,
            start,
        }
    }

    fn report(&self, event: Event) -> Report {
        Report {
            job: self.start.job.clone(),
            op: self.start.op,
            worker: self.worker.clone(),
            event,
            used: self.used,
        }
    }

    /// Adds the task's events up to `now` to `events`, in order.
    fn advance(
        &mut self,
        now: Instant,
        usage_interval: Duration,
        events: &mut Vec<(Instant, Report)>,
    ) {
        let (last, event) = self.ending();
        while self.next_usage <= now.min(last) {
            events.push((self.next_usage, self.report(Event::Usage)));
            self.next_usage += usage_interval;
        }
        if last <= now {
            self.is_running = false;
            events.push((last, self.report(event)));
        }
    }

    /// When and how the task ends without further calls.
    fn ending(&self) -> (Instant, Event) {
        let begin = self.next_usage;
        if self.used.memory_mib > self.start.reserve.memory_mib {
            return (begin.min(self.end), Event::MemoryKilled);
        }
        if self.fails {
            return (begin.min(self.end), Event::Failed);
        }
        if self.lease_until < self.end {
            return (self.lease_until, Event::LeaseExpired);
        }
        (self.end, Event::Succeeded)
    }
}

fn answer(fleet: &Shared<Fleet>, faults: &Shared<Faults>, req: &Request) -> Answer {
    fleet.lock().advance();
    match (&*req.method, &req.segments()[..]) {
        ("GET", ["workers"]) => Answer::json(200, &list(&fleet.lock())),
        ("GET", ["reports"]) => {
            let from = req.query_number("from").unwrap_or(0);
            Answer::json(200, &fleet.lock().reports(from))
        }
        ("GET", ["tasks", op]) => match op.parse() {
            Ok(op) => {
                let state = fleet.lock().look_up(op);
                Answer::json(200, &serde_json::json!({ "state": state }))
            }
            Err(_) => Answer::text(400, "not an offset"),
        },
        ("POST", ["workers", worker, "start"]) => match req.json::<Start>() {
            Ok(start) => start_task(fleet, faults, worker, start),
            Err(answer) => answer,
        },
        ("POST", ["workers", _, action]) => match req.json::<TaskCall>() {
            Ok(call) => fleet.lock().change(action, &call),
            Err(answer) => answer,
        },
        _ => Answer::text(404, "not found"),
    }
}

fn list(fleet: &Fleet) -> List {
    List {
        as_of: Duration::from_millis(runner::epoch_ms()),
        workers: fleet.options.workers.clone(),
    }
}

fn start_task(
    fleet: &Shared<Fleet>,
    faults: &Shared<Faults>,
    worker: &str,
    start: Start,
) -> Answer {
    let is_failing = faults.lock().failing.contains(worker);
    let answer = fleet.lock().start(worker, start, is_failing);
    let mut faults = faults.lock();
    if faults.lose_starts == 0 {
        return answer;
    }
    faults.lose_starts -= 1;
    Answer::Close
}
