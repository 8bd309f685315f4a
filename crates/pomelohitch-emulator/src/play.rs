//! Plays a load and computes how its jobs were served.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use pomelohitch_sched::cell::CopyCounts;
use pomelohitch_sched::cell::calls::{Draft, Verb};
use pomelohitch_sched::config::{FleetConfig, Queue, Service, Workspace};
use pomelohitch_sched::id::job_text;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{Answer, Operation};
use pomelohitch_sched::progress::JobState;
use pomelohitch_sched::{Resources, Settings, TaskId};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::arrivals::{self, Arrival};
use crate::fleet::{self, Faults, Fleet, STEP};
use crate::load::Load;

/// Multiple of the objective after which a completed job has no worth.
const LATE_FACTOR: f64 = 3.0;
/// Worth of a late job relative to one in time.
const LATE_WORTH: f64 = 0.07;
/// Part of a job's worth that doesn't depend on its amount of work.
const FIXED_WORTH: f64 = 0.3;
/// Largest amount of work that counts towards the worth, as a multiple of the queue's mean.
const MAX_WORK: f64 = 4.0;
/// Jobs are grouped into windows of this length by arrival.
const WINDOW: Duration = Duration::from_secs(2);
/// Number of windows averaged into `worst_windows`.
const WORST_WINDOWS: usize = 2;
/// Time played after the last arrival, so that jobs can complete.
const DRAIN_TIME: Duration = Duration::from_secs(14);
/// Duration in milliseconds recorded for a job that didn't complete.
const INCOMPLETE_MS: u128 = 600_000;
/// Downtime of an instance after a random crash.
const CRASH_DOWNTIME: Duration = Duration::from_secs(3);
/// One endpoint in this many can be slow, by its port, which it keeps while it runs.
const SLOW_ONE_IN: u16 = 10;
/// Network round-trip time of a caller.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(10);

/// Results of one play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Number of submitted jobs without those that crash endpoints. These are left out of all
    /// figures about jobs.
    pub jobs: usize,
    /// Worth of the completed jobs as a fraction of the worth of all jobs.
    pub worth: f64,
    /// Mean of that fraction in the two worst windows of 2 s.
    pub worst_windows: f64,
    /// That fraction for the worst queue.
    pub worst_queue: f64,
    /// That fraction for the worst of the workspaces that don't overload the fleet.
    pub worst_workspace: f64,
    /// Fraction of the jobs that completed within their objective.
    pub in_time: f64,
    /// Fraction that completed within their objective, by queue in the order of the load.
    pub in_time_by_queue: Vec<f64>,
    /// Fraction that completed late, but early enough to have some worth.
    pub late: f64,
    /// Fraction that was refused at least once.
    pub refused: f64,
    /// Median duration of a job in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the duration in milliseconds.
    pub p99_ms: u64,
    /// Instance seconds in pools that are not switched off.
    pub pool_s: f64,
    /// Number of moves of instances between pools.
    pub moves: usize,
    /// Number of starts without an answer.
    pub starts_lost: usize,
    /// Number of polls of endpoints.
    #[serde(rename = "looks")]
    pub polls: usize,
    /// Number of crashes of endpoints that ran a task that crashes endpoints, counted for each such
    /// task.
    pub crashes: u32,
    /// Number of copies of runs.
    pub copies: usize,
    /// Number of copies that ended before the first run.
    pub copies_won: usize,
    /// Number of jobs that were given up although their tasks don't crash endpoints.
    pub given_up: usize,
    /// Descriptions of violated invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

struct SentJob {
    arrival: Arrival,
    objective: Duration,
    worth: f64,
    call: u64,
    is_accepted: bool,
    was_refused: bool,
    retry_at: Duration,
    duration: Option<Duration>,
}

/// Plays a load with one seed. The same arguments give the same result.
#[must_use]
pub fn play(load: &Load, settings: &Settings, seed: u64) -> Outcome {
    let mut playback = Playback::new(load, settings.clone(), seed);
    playback.run_idle();
    playback.submit_lasting_jobs();
    let end = Duration::from_secs_f64(load.seconds) + DRAIN_TIME;
    while playback.elapsed < end {
        playback.step();
    }
    playback.outcome()
}

struct Playback<'a> {
    load: &'a Load,
    fleet: Fleet,
    /// Time since the start of arrivals.
    elapsed: Duration,
    /// Jobs not yet submitted, in order of arrival.
    upcoming: std::iter::Peekable<std::vec::IntoIter<Arrival>>,
    /// Mean work of the jobs of each queue.
    mean_work: Vec<f64>,
    pending: Vec<SentJob>,
    finished: Vec<SentJob>,
    leader_changes: usize,
    pool_time: Duration,
    rng: ChaCha8Rng,
    is_shrunk: bool,
    copies: CopyCounts,
}

impl<'a> Playback<'a> {
    fn new(load: &'a Load, settings: Settings, seed: u64) -> Playback<'a> {
        let mut fleet = Fleet::with(0, settings);
        fleet.capacity = Resources {
            cpu: load.instance.cpu,
            mem_mb: load.instance.mem_mb,
            gpu: 0,
        };
        fleet.applies_operations = true;
        fleet.appends_at_once = load.appends_at_once;
        fleet.faults = Faults {
            unevenness: load.faults.unevenness,
            seed,
            ..Faults::default()
        };
        let mut index = 0;
        for service in &load.services {
            for _ in 0..service.instances {
                index += 1;
                fleet.add_to(&service.name, &format!("{}-{index}", service.name), index);
            }
        }
        fleet.cfg = Arc::new(config(load));
        fleet.cell.configure(fleet.cfg.clone());
        fleet.list_endpoints();
        let arrivals = arrivals::generate(load, seed);
        Playback {
            load,
            fleet,
            elapsed: Duration::ZERO,
            mean_work: mean_work(load, &arrivals),
            upcoming: arrivals.into_iter().peekable(),
            pending: Vec::new(),
            finished: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            is_shrunk: false,
            copies: CopyCounts::default(),
            leader_changes: 0,
            pool_time: Duration::ZERO,
        }
    }

    fn run_idle(&mut self) {
        let steps = Duration::from_secs_f64(self.load.lead_s).as_millis() / STEP.as_millis();
        self.fleet.advance(u32::try_from(steps).unwrap_or(u32::MAX));
    }

    fn submit_lasting_jobs(&mut self) {
        let mut id = 1_u64;
        for service in &self.load.services {
            for _ in 0..service.lasting_jobs {
                let draft = lasting_job(self.load.instance.cpu);
                let path = format!("/lasting-{}/{}", service.name, job_text(id));
                self.fleet.call(&path, Verb::Submit(Ok(draft)));
                id += 1;
            }
        }
    }

    fn step(&mut self) {
        self.apply_faults();
        while let Some(arrival) = self.upcoming.next_if(|a| a.at <= self.elapsed) {
            let sent = self.submit_arrival(arrival);
            self.pending.push(sent);
        }
        self.fleet.advance(1);
        self.elapsed += STEP;
        self.fleet.starts.clear();
        let is_off = |pool: &str| {
            self.fleet
                .cfg
                .services
                .get(pool)
                .is_some_and(|s| s.is_spare)
        };
        let billed = self
            .fleet
            .instances
            .values()
            .filter(|i| !is_off(&i.pool))
            .count();
        self.pool_time += STEP * u32::try_from(billed).unwrap_or(u32::MAX);
        self.process_answers();
        let copies = self.fleet.cell.take_copies();
        self.copies.started += copies.started;
        self.copies.won += copies.won;
        self.copies.lost += copies.lost;
    }

    /// Starts and ends the faults that are due now.
    fn apply_faults(&mut self) {
        let now = self.elapsed;
        let faults = &self.load.faults;
        let lost = faults.orders_lost.iter().filter(|span| span.contains(now));
        self.fleet.faults.orders_lost = lost.map(|span| span.strength).fold(0.0, f64::max);
        let is_down = faults.log_away.iter().any(|span| span.contains(now));
        if is_down == self.fleet.is_log_up {
            self.fleet.is_log_up = !is_down;
            self.fleet.cell.set_log_down(is_down);
        }
        let slow_log = faults.log_slow.iter().find(|span| span.contains(now));
        let delay = slow_log.map_or(0.0, |span| span.strength.max(0.0));
        self.fleet.log_delay = Duration::from_secs_f64(delay);
        let slow = faults.slow.iter().find(|span| span.contains(now));
        let slowness = slow.map_or(1.0, |span| span.strength.max(1.0));
        for endpoint in self.fleet.endpoints.values_mut() {
            let is_slow = endpoint.report.addr.port() % SLOW_ONE_IN == 0;
            endpoint.slowness = if is_slow { slowness } else { 1.0 };
        }
        self.crash_at_random();
        self.update_capacities();
        let due = faults
            .leader_changes_s
            .iter()
            .filter(|at| **at <= now.as_secs_f64())
            .count();
        while self.leader_changes < due {
            self.leader_changes += 1;
            self.fleet.change_leader();
        }
    }

    /// Crashes an endpoint at random, independently of its tasks.
    fn crash_at_random(&mut self) {
        let spans = &self.load.faults.crashes;
        let Some(span) = spans.iter().find(|span| span.contains(self.elapsed)) else {
            return;
        };
        if self.rng.random_range(0.0..1.0) < span.strength * STEP.as_secs_f64() {
            let index = self.rng.random_range(0..self.fleet.endpoints.len().max(1));
            let id = self.fleet.endpoints.keys().nth(index).cloned();
            if let Some(id) = id {
                self.fleet.crash_for(&id, CRASH_DOWNTIME);
            }
        }
    }

    /// Shrinks the capacity of every fifth endpoint, or restores it.
    fn update_capacities(&mut self) {
        let spans = &self.load.faults.shrinks;
        let span = spans.iter().find(|span| span.contains(self.elapsed));
        if span.is_some() == self.is_shrunk {
            return;
        }
        self.is_shrunk = span.is_some();
        let fraction = span.map_or(1.0, |span| span.strength);
        let ids: Vec<_> = self.fleet.endpoints.keys().step_by(5).cloned().collect();
        for id in ids {
            let full_capacity = self.fleet.capacity;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss,
                reason = "a fraction of an amount far below 2^52"
            )]
            let cpu = (full_capacity.cpu as f64 * fraction) as u64;
            self.fleet.resize(
                &id,
                Resources {
                    cpu,
                    ..full_capacity
                },
            );
        }
    }

    fn submit_arrival(&mut self, arrival: Arrival) -> SentJob {
        let crashing = &self.load.faults.crashing;
        if let Some(span) = crashing.iter().find(|span| span.contains(self.elapsed))
            && self.rng.random_range(0.0..1.0) < span.strength
        {
            self.fleet.crashes.add_first_task_of(arrival.id);
        }
        let queue = &self.load.queues[arrival.queue];
        self.fleet
            .durations
            .insert(arrival.id, arrival.durations.clone());
        let critical_path = critical_path(&self.fleet, &arrival);
        let objective =
            critical_path.mul_f64(queue.stretch) + Duration::from_millis(queue.slack_ms);
        let work = work(&arrival) / self.mean_work[arrival.queue].max(1.0);
        let mut sent = SentJob {
            objective,
            worth: FIXED_WORTH + (1.0 - FIXED_WORTH) * work.min(MAX_WORK),
            call: 0,
            is_accepted: false,
            was_refused: false,
            retry_at: Duration::ZERO,
            duration: None,
            arrival,
        };
        self.submit(&mut sent);
        sent
    }

    fn submit(&mut self, sent: &mut SentJob) {
        let queue = &self.load.queues[sent.arrival.queue];
        let path = format!("/{}/{}", queue.name, job_text(sent.arrival.id));
        let workspace = self.load.workspaces.get(sent.arrival.workspace);
        let key = workspace.map_or("key", |w| &w.name);
        let verb = Verb::Submit(Ok(sent.arrival.draft.clone()));
        sent.call = self.fleet.call_with(&path, Some(key), verb);
        sent.retry_at = Duration::MAX;
    }

    /// Processes answers to callers, submits refused jobs again after their retry time, and records
    /// completed jobs.
    fn process_answers(&mut self) {
        let mut pending = std::mem::take(&mut self.pending);
        for sent in &mut pending {
            match self.fleet.replies.remove(&sent.call) {
                Some(Answer::Accepted) => sent.is_accepted = true,
                Some(Answer::Refused { retry_after, .. }) => {
                    sent.was_refused = true;
                    sent.retry_at = self.elapsed + retry_after;
                }
                _ => {}
            }
            if !sent.is_accepted && self.elapsed >= sent.retry_at {
                self.submit(sent);
            }
            let job = self.fleet.cell.job(sent.arrival.id);
            let is_done = job.is_some_and(|j| j.durable_state == JobState::Completed);
            if is_done {
                sent.duration =
                    Some((self.elapsed + ROUND_TRIP_TIME).saturating_sub(sent.arrival.at));
            }
        }
        let (finished, pending) = pending
            .into_iter()
            .partition(|sent: &SentJob| sent.duration.is_some());
        let finished: Vec<SentJob> = finished;
        self.finished.extend(finished);
        self.pending = pending;
    }

    fn outcome(mut self) -> Outcome {
        self.finished.append(&mut self.pending);
        let crashes = &self.fleet.crashes;
        let is_healthy = |sent: &&SentJob| !crashes.has_task_of(sent.arrival.id);
        let all: Vec<&SentJob> = self.finished.iter().filter(is_healthy).collect();
        let fraction = |predicate: fn(&SentJob) -> bool| {
            let matching = all.iter().filter(|sent| predicate(sent)).count();
            ratio(as_f64(matching), as_f64(all.len()))
        };
        let mut durations =
            Histogram::<u64>::new(3).expect("3 significant digits are within 0 to 5");
        for sent in &all {
            let millis = sent.duration.map_or(INCOMPLETE_MS, |t| t.as_millis());
            let recorded = durations.record(u64::try_from(millis).unwrap_or(u64::MAX));
            recorded.expect("a histogram made by `new` resizes itself");
        }
        let is_overloading = |sent: &SentJob| {
            let workspace = self.load.workspaces.get(sent.arrival.workspace);
            workspace.is_some_and(|w| w.overload.is_some())
        };
        let others = all.iter().copied().filter(|sent| !is_overloading(sent));
        let windows = worth_by_group(&all, |sent| {
            sent.arrival.at.as_millis() / WINDOW.as_millis()
        });
        let operations = self.fleet.operations.iter();
        Outcome {
            jobs: all.len(),
            worth: worth(all.iter().copied()),
            worst_windows: mean_of_worst(windows, WORST_WINDOWS),
            worst_queue: mean_of_worst(worth_by_group(&all, |sent| sent.arrival.queue), 1),
            worst_workspace: mean_of_worst(
                worth_by_group(&others.collect::<Vec<_>>(), |sent| sent.arrival.workspace),
                1,
            ),
            in_time: fraction(SentJob::is_in_time),
            in_time_by_queue: in_time_by_queue(self.load.queues.len(), &all),
            late: fraction(SentJob::is_late),
            refused: fraction(|sent| sent.was_refused),
            p50_ms: durations.value_at_quantile(0.5),
            p99_ms: durations.value_at_quantile(0.99),
            pool_s: self.pool_time.as_secs_f64(),
            moves: operations
                .filter(|(_, o)| matches!(o, Operation::Move { .. }))
                .count(),
            starts_lost: self.fleet.starts_lost,
            polls: self.fleet.polls_sent,
            crashes: crashes.count(),
            copies: usize::try_from(self.copies.started).unwrap_or(usize::MAX),
            copies_won: usize::try_from(self.copies.won).unwrap_or(usize::MAX),
            given_up: all.iter().filter(|sent| self.is_given_up(sent)).count(),
            violations: self.fleet.violations,
        }
    }

    fn is_given_up(&self, sent: &SentJob) -> bool {
        let job = self.fleet.cell.job(sent.arrival.id);
        job.is_some_and(|j| j.progress.is_given_up)
    }
}

impl SentJob {
    fn is_in_time(&self) -> bool {
        self.duration
            .is_some_and(|duration| duration <= self.objective)
    }

    fn is_late(&self) -> bool {
        let longest = self.objective.mul_f64(LATE_FACTOR);
        !self.is_in_time() && self.duration.is_some_and(|duration| duration <= longest)
    }

    fn earned_worth(&self) -> f64 {
        match (self.is_in_time(), self.is_late()) {
            (true, _) => self.worth,
            (_, true) => self.worth * LATE_WORTH,
            _ => 0.0,
        }
    }
}

fn worth<'a>(sent: impl Iterator<Item = &'a SentJob> + Clone) -> f64 {
    let earned_worth: f64 = sent.clone().map(SentJob::earned_worth).sum();
    ratio(earned_worth, sent.map(|s| s.worth).sum())
}

fn worth_by_group<K: Ord>(all: &[&SentJob], by: impl Fn(&SentJob) -> K) -> Vec<f64> {
    let mut groups: BTreeMap<K, Vec<&SentJob>> = BTreeMap::new();
    for sent in all {
        groups.entry(by(sent)).or_default().push(sent);
    }
    let worths = groups.into_values().map(|group| worth(group.into_iter()));
    worths.collect()
}

fn in_time_by_queue(queues: usize, all: &[&SentJob]) -> Vec<f64> {
    let fraction = |queue| {
        let own = all.iter().filter(|sent| sent.arrival.queue == queue);
        let in_time = own.clone().filter(|sent| sent.is_in_time());
        ratio(as_f64(in_time.count()), as_f64(own.count()))
    };
    (0..queues).map(fraction).collect()
}

fn mean_of_worst(mut values: Vec<f64>, count: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    values.truncate(count);
    ratio(values.iter().sum(), as_f64(values.len()))
}

/// Returns `part / all`, or 1 if `all` is 0.
fn ratio(part: f64, all: f64) -> f64 {
    if all > 0.0 { part / all } else { 1.0 }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Critical path of a job by the actual durations of its tasks. Its steps run one after another.
fn critical_path(fleet: &Fleet, arrival: &Arrival) -> Duration {
    let steps = arrival.draft.steps.iter().enumerate();
    let longest = |(step_index, step): (usize, &StepSpec)| {
        let durations = (0..step.count).map(|index| {
            let task = TaskId {
                job: arrival.id,
                occurrence: 0,
                step: u16::try_from(step_index).unwrap_or(u16::MAX),
                index,
            };
            fleet.faults.duration(task, arrival.durations[step_index])
        });
        durations.max().unwrap_or_default()
    };
    steps.map(longest).sum()
}

/// Work in core seconds, by the mean durations of the steps.
fn work(arrival: &Arrival) -> f64 {
    let steps = arrival.draft.steps.iter().zip(&arrival.durations);
    let cores = |step: &StepSpec| as_f64(usize::try_from(step.need.cpu).unwrap_or(0)) / 1000.0;
    steps
        .map(|(s, duration)| cores(s) * f64::from(s.count) * duration.as_secs_f64())
        .sum()
}

fn mean_work(load: &Load, arrivals: &[Arrival]) -> Vec<f64> {
    let queues = 0..load.queues.len();
    let mean = |queue| {
        let own = arrivals.iter().filter(|a| a.queue == queue);
        let works: Vec<f64> = own.map(work).collect();
        ratio(works.iter().sum(), as_f64(works.len()))
    };
    queues.map(mean).collect()
}

/// A job of a few lasting tasks, at most two on an endpoint.
fn lasting_job(instance_cpu: u64) -> Draft {
    const TASKS: u32 = 5;
    /// Each task needs the processors of an instance divided by this.
    const TASKS_PER_INSTANCE: u64 = 11;
    fleet::job(vec![StepSpec {
        is_lasting: true,
        per_endpoint: 2,
        may_miss: 1,
        ..fleet::step(TASKS, instance_cpu / TASKS_PER_INSTANCE, 900)
    }])
}

fn config(load: &Load) -> FleetConfig {
    let queue = |name: &str, service: &str| Queue {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        service: service.into(),
        attempts: 3,
        ..Queue::default()
    };
    let queues = load.queues.iter().map(|q| Queue {
        priority: q.priority,
        stretch: q.stretch,
        objective: Duration::from_millis(q.slack_ms),
        ..queue(&q.name, &q.service)
    });
    let names: BTreeSet<&str> = load.services.iter().map(|s| &*s.name).collect();
    let lasting = names
        .iter()
        .map(|name| queue(&format!("lasting-{name}"), name));
    let services = load.services.iter().map(|s| {
        let service = Service {
            is_spare: s.is_spare,
            ..Service::default()
        };
        (s.name.as_ref().into(), service)
    });
    let workspaces = load.workspaces.iter().map(|w| Workspace {
        name: w.name.as_ref().into(),
        keys: vec![w.name.clone()],
        weight: w.weight,
        bound: Resources::default(),
    });
    let operators = Workspace {
        name: "operators".into(),
        keys: vec!["key".into()],
        weight: 1,
        bound: Resources::default(),
    };
    FleetConfig {
        version: 2,
        queues: queues.chain(lasting).collect(),
        services: services.collect(),
        workspaces: workspaces.chain([operators]).collect(),
    }
}
