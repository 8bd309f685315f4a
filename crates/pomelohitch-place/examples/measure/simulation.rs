//! Simulation in virtual time: the real fold, with delays in place of workers and the log.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::{InstanceId, JobId, RecordId};
use pomelohitch_core::record::job::{
    AttemptId, Event, JobDecision, JobRecord, Report, Resources, Urgency,
};
use pomelohitch_core::record::{FileChange, Join, Publish, TakeTerm};
use pomelohitch_core::state::JobState;
use pomelohitch_core::{Body, Record, State, Verdict};
use pomelohitch_place::health::AttemptEnd;
use pomelohitch_place::{Decision, Worker};

use crate::load::{Fleet, Load, SimulatedJob, cores_worth};

/// Delay from a decision to the start of its tasks, for the append and the call to the worker.
const START_DELAY: Duration = Duration::from_millis(60);
/// Delay from a decision to the end of its checkpoints, including the append.
const CHECKPOINT_DELAY: Duration = Duration::from_millis(1500);
/// Run time that a task repeats when it resumes from a checkpoint.
const REDONE_AFTER_RESUME: Duration = Duration::from_secs(2);
/// Delay of the workers' reports.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Run time after which a task reports its usage.
const USAGE_REPORT_AFTER: Duration = Duration::from_secs(5);
/// Time for which a leaving worker is absent.
const ABSENCE: Duration = Duration::from_mins(5);
/// Fraction of the run at its start that is left out of the averages and the urgent waits.
const WARM_UP_FRACTION: f64 = 0.2;

/// Callbacks of a placement policy.
#[allow(clippy::type_complexity, reason = "each closure is named by its field")]
pub struct Policy<'a> {
    pub set_worker: Box<dyn FnMut(&Worker, Duration) + 'a>,
    pub set_job: Box<dyn FnMut(&JobId, &State, Duration) + 'a>,
    pub observe_usage: Box<dyn FnMut(&JobId, AttemptId, &Resources) + 'a>,
    pub observe_end: Box<dyn FnMut(&JobId, AttemptId, AttemptEnd, Duration) + 'a>,
    pub observe_memory_kill: Box<dyn FnMut(&JobId, u64) + 'a>,
    pub decide: Box<dyn FnMut(Duration) -> Decision + 'a>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Submit(usize),
    Start(JobId, AttemptId),
    Usage(JobId, AttemptId),
    End(JobId, AttemptId, AttemptOutcome),
    EndReported(JobId, AttemptId, AttemptOutcome),
    Leave(InstanceId),
    Return(InstanceId),
    Break(InstanceId),
    CancelSome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptOutcome {
    Succeeded,
    Failed,
    Killed,
    Checkpointed,
}

/// Progress of a job, in addition to the fold's entry.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Run time completed by earlier attempts and kept by checkpoints.
    done: Duration,
    running_since: Option<(AttemptId, Duration)>,
    first_start: Option<Duration>,
    /// Upper bound of the wait; see [`Simulation::bound`].
    bound: Duration,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Results {
    pub urgent_waits: Vec<Duration>,
    pub urgent_unstarted: usize,
    pub patient_waits: Vec<Duration>,
    /// Number of patient jobs that waited longer than their bound.
    pub beyond_bound: usize,
    /// Number of patient jobs with a wait that is compared with the bound.
    pub patient_counted: usize,
    /// Maximum ratio of a wait to its bound.
    pub max_wait_to_bound: f64,
    /// Average allocated fraction of the fleet's processors or memory, whichever is larger.
    pub allocated: f64,
    /// Average fraction that tasks actually use, likewise.
    pub actually_used: f64,
    /// Maximum deviation of a team's usage from its share, as a fraction of the share.
    pub max_share_deviation: f64,
    pub checkpoints: usize,
    /// Work lost to checkpoints: processor seconds during the run, at the end divided by the work
    /// done after the warm-up.
    pub lost_to_checkpoints: f64,
    /// Work lost to memory kills, likewise.
    pub lost_to_kills: f64,
    pub kills: usize,
    /// Time from each worker's fault to its quarantine.
    pub quarantined_after: Vec<Duration>,
    pub wrongly_quarantined: usize,
    pub refused: usize,
    pub impossible: usize,
    pub decide_times: Vec<Duration>,
    /// Number of job changes passed to the policy.
    pub changes: u32,
    /// Number of times that the allocations on a worker exceeded its capacity.
    pub oversubscribed: usize,
    pub ended: usize,
}

pub struct Simulation<'a> {
    fleet: &'a Fleet,
    load: &'a Load,
    policy: Policy<'a>,
    state: State,
    job_numbers: BTreeMap<JobId, usize>,
    progress: BTreeMap<JobId, Progress>,
    queue: BinaryHeap<Reverse<(Duration, u64, SimulationEvent)>>,
    /// Number of events scheduled; orders events that are due at the same time.
    next_number: u64,
    /// Faulty workers, with the time since which they fail all jobs.
    faulty: BTreeMap<InstanceId, Duration>,
    /// Allocated resources of each worker.
    allocated: BTreeMap<InstanceId, Resources>,
    capacity: BTreeMap<InstanceId, Resources>,
    /// Work of waiting and running patient jobs by team, in processor seconds.
    backlog: BTreeMap<Box<str>, f64>,
    /// Allocated resources of each team.
    team_used: BTreeMap<Box<str>, Resources>,
    /// Dominant share of each team, integrated over time in seconds.
    team_sum: BTreeMap<Box<str>, f64>,
    /// Capacity of the fleet.
    total: Resources,
    /// Allocated resources of the fleet.
    total_used: Resources,
    /// Allocated fraction of the fleet, integrated over time in seconds.
    allocated_sum: f64,
    /// Resources that running tasks actually use.
    actual_usage: Resources,
    /// Actually used fraction of the fleet, integrated over time in seconds.
    actual_usage_sum: f64,
    sampled_at: Duration,
    results: Results,
    has_changed: bool,
}

impl<'a> Simulation<'a> {
    pub fn new(fleet: &'a Fleet, load: &'a Load, policy: Policy<'a>) -> Simulation<'a> {
        let mut simulation = Simulation {
            fleet,
            load,
            policy,
            state: State::default(),
            job_numbers: BTreeMap::new(),
            progress: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_number: 0,
            faulty: BTreeMap::new(),
            allocated: BTreeMap::new(),
            capacity: BTreeMap::new(),
            backlog: BTreeMap::new(),
            team_used: BTreeMap::new(),
            team_sum: BTreeMap::new(),
            total: load.total(),
            total_used: Resources::default(),
            allocated_sum: 0.0,
            actual_usage: Resources::default(),
            actual_usage_sum: 0.0,
            sampled_at: Duration::ZERO,
            results: Results::default(),
            has_changed: true,
        };
        simulation.initialize();
        simulation
    }

    fn initialize(&mut self) {
        let teams = self.load.shares.iter().map(|(id, share)| Team {
            id: id.clone(),
            share: *share,
            limit: u32::MAX,
            keys: vec![],
        });
        let file = FleetFile {
            teams: teams.collect(),
            ..FleetFile::default()
        };
        let change = FileChange {
            base: None,
            file: Some(file),
        };
        let changes = BTreeMap::from([("teams".into(), change)]);
        self.append(Body::Publish(Publish { changes }));
        self.append(Body::Join(Join {
            member: "e1".into(),
            zone: "a".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        }));
        self.append(Body::TakeTerm(TakeTerm {
            member: "e1".into(),
            incarnation: 1,
            term: 1,
        }));
        for worker in &self.load.workers {
            (self.policy.set_worker)(worker, Duration::ZERO);
            self.capacity.insert(worker.id.clone(), worker.capacity);
            self.allocated
                .insert(worker.id.clone(), Resources::default());
        }
        for (number, job) in self.load.jobs.iter().enumerate() {
            self.job_numbers.insert(job.job.id.clone(), number);
            self.schedule(job.at, SimulationEvent::Submit(number));
        }
        for (at, worker) in &self.load.leaving {
            self.schedule(*at, SimulationEvent::Leave(worker.clone()));
        }
        for (at, worker) in &self.load.faulty {
            self.schedule(*at, SimulationEvent::Break(worker.clone()));
        }
        self.schedule(self.load.cancel_at, SimulationEvent::CancelSome);
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.next_number += 1;
        self.queue.push(Reverse((at, self.next_number, event)));
    }

    fn append(&mut self, body: Body) -> Verdict {
        let offset = self.state.next;
        let record = Record {
            id: RecordId::from_u128(u128::from(offset)),
            after: offset,
            at: Duration::ZERO,
            by: "e1".into(),
            body,
        };
        self.state.apply(offset, &record)
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Results {
        let mut now = Duration::ZERO;
        while now < self.fleet.duration {
            let mut submitted = Vec::new();
            while let Some(Reverse((at, _, _))) = self.queue.peek()
                && *at <= now
            {
                let Some(Reverse((_, _, event))) = self.queue.pop() else {
                    break;
                };
                self.has_changed = true;
                match event {
                    SimulationEvent::Submit(number) => submitted.push(number),
                    other => self.handle(other, now),
                }
            }
            self.submit(&submitted, now);
            self.sample(now);
            self.decide(now);
            now += self.fleet.tick;
        }
        self.finish(now)
    }

    fn job(&self, id: &JobId) -> &'a SimulatedJob {
        &self.load.jobs[self.job_numbers[id]]
    }

    fn submit(&mut self, numbers: &[usize], now: Duration) {
        if numbers.is_empty() {
            return;
        }
        let jobs = numbers.iter().map(|&n| self.load.jobs[n].job.clone());
        let jobs = jobs.collect();
        self.append(Body::Job(JobRecord::Submit(jobs)));
        for &number in numbers {
            let job = &self.load.jobs[number];
            let bound = self.bound(job);
            let progress = Progress {
                bound,
                ..Progress::default()
            };
            self.progress.insert(job.job.id.clone(), progress);
            if &*job.job.class == "impossible" {
                self.results.impossible += 1;
            } else if job.job.urgency == Urgency::Patient {
                *self.backlog.entry(job.job.team.clone()).or_default() += work_of(job, self.fleet);
            }
            (self.policy.set_job)(&job.job.id, &self.state, now);
        }
    }

    /// Upper bound of a patient job's wait: the work ahead of it in its team at the team's share,
    /// plus a quarter for lost work and free capacity; then twice the reservation timeout, as the
    /// job may have to wait for a reservation and then for the preemption, and one minute for
    /// checkpoints and retries.
    fn bound(&self, job: &SimulatedJob) -> Duration {
        let all: u32 = self.load.shares.iter().map(|(_, share)| share).sum();
        let share = self.load.shares.iter().find(|(id, _)| *id == job.job.team);
        let share = share.map_or(1, |(_, share)| *share);
        let cores = self.total.cpu_milli as f64 / 1000.0 * f64::from(share) / f64::from(all);
        let ahead = self.backlog.get(&job.job.team).copied().unwrap_or(0.0);
        Duration::from_secs_f64(ahead / cores * 1.25) + Duration::from_mins(11)
    }

    fn handle(&mut self, event: SimulationEvent, now: Duration) {
        match event {
            // `run` submits all jobs of a tick in one record.
            SimulationEvent::Submit(_) => {}
            SimulationEvent::Start(id, attempt) => self.start(&id, attempt, now),
            SimulationEvent::Usage(id, attempt) => {
                let usage = self.job(&id).usage;
                (self.policy.observe_usage)(&id, attempt, &usage);
            }
            SimulationEvent::End(id, attempt, outcome) => self.end(&id, attempt, outcome, now),
            SimulationEvent::EndReported(id, attempt, outcome) => {
                self.report_end(&id, attempt, outcome, now);
            }
            SimulationEvent::Leave(id) => {
                self.set_worker(&id, false, now);
                self.schedule(now + ABSENCE, SimulationEvent::Return(id));
            }
            SimulationEvent::Return(id) => self.set_worker(&id, true, now),
            SimulationEvent::Break(id) => {
                self.faulty.insert(id, now);
            }
            SimulationEvent::CancelSome => self.cancel_some(now),
        }
    }

    fn set_worker(&mut self, id: &InstanceId, takes_work: bool, now: Duration) {
        let worker = self.load.workers.iter().find(|worker| worker.id == *id);
        if let Some(worker) = worker {
            let worker = Worker {
                takes_work,
                ..worker.clone()
            };
            (self.policy.set_worker)(&worker, now);
        }
    }

    fn cancel_some(&mut self, now: Duration) {
        let waiting = self.state.jobs.table.iter().filter(|(_, entry)| {
            entry.state == JobState::Waiting && entry.job.urgency == Urgency::Patient
        });
        let ids: Vec<JobId> = waiting.map(|(id, _)| id.clone()).step_by(5).collect();
        self.append(Body::Job(JobRecord::Cancel(ids.clone())));
        for id in ids {
            self.remove_from_backlog(&id);
            // Cancelled jobs count neither as started nor as waiting.
            self.progress.remove(&id);
            (self.policy.set_job)(&id, &self.state, now);
        }
    }

    fn remove_from_backlog(&mut self, id: &JobId) {
        let job = self.job(id);
        if let Some(backlog) = self.backlog.get_mut(&job.job.team)
            && job.job.urgency == Urgency::Patient
        {
            *backlog -= work_of(job, self.fleet);
        }
    }

    fn start(&mut self, id: &JobId, attempt: AttemptId, now: Duration) {
        let Some(entry) = self.state.jobs.get(id) else {
            return;
        };
        let JobState::Placed(current) = &entry.state else {
            return;
        };
        if current.attempt != attempt {
            return;
        }
        let current = current.clone();
        let job = self.job(id);
        let Some(progress) = self.progress.get_mut(id) else {
            return;
        };
        progress.running_since = Some((attempt, now));
        self.actual_usage = self.actual_usage.plus(&job.usage);
        if progress.first_start.is_none() {
            progress.first_start = Some(now);
            let wait = now.saturating_sub(job.at);
            let bound = progress.bound;
            self.count_start(job, wait, bound, now);
        }
        let left = job.run_time.saturating_sub(self.progress[id].done);
        let (after, outcome) = if self.faulty.contains_key(&current.worker) {
            (Duration::from_millis(500), AttemptOutcome::Failed)
        } else if job.usage.memory_mib > current.reserve.memory_mib {
            (left.mul_f64(0.4), AttemptOutcome::Killed)
        } else {
            (left, AttemptOutcome::Succeeded)
        };
        self.schedule(
            now + after,
            SimulationEvent::End(id.clone(), attempt, outcome),
        );
        let usage = USAGE_REPORT_AFTER.min(after) + REPORT_LAG;
        self.schedule(now + usage, SimulationEvent::Usage(id.clone(), attempt));
        self.report(id, attempt, Event::Started, now);
    }

    fn count_start(&mut self, job: &SimulatedJob, wait: Duration, bound: Duration, now: Duration) {
        if now < self.fleet.duration.mul_f64(WARM_UP_FRACTION) && job.job.urgency == Urgency::Urgent
        {
            return;
        }
        if job.job.urgency == Urgency::Urgent {
            self.results.urgent_waits.push(wait);
            return;
        }
        self.results.patient_waits.push(wait);
        self.count_wait(wait, bound);
    }

    fn count_wait(&mut self, wait: Duration, bound: Duration) {
        self.results.patient_counted += 1;
        let fraction = wait.as_secs_f64() / bound.as_secs_f64();
        self.results.max_wait_to_bound = self.results.max_wait_to_bound.max(fraction);
        if wait > bound {
            self.results.beyond_bound += 1;
        }
    }

    /// Ends a task on its worker; the report follows after a delay.
    fn end(&mut self, id: &JobId, attempt: AttemptId, outcome: AttemptOutcome, now: Duration) {
        let job = self.job(id);
        let Some(progress) = self.progress.get_mut(id) else {
            return;
        };
        let Some((current, since)) = progress.running_since else {
            // Preempted before it started: the worker reports that it never will.
            if outcome == AttemptOutcome::Checkpointed {
                self.report(id, attempt, Event::NotStarted, now);
            }
            return;
        };
        if current != attempt {
            return;
        }
        progress.running_since = None;
        self.actual_usage = self.actual_usage.minus(&job.usage);
        let ran = now.saturating_sub(since);
        let cores = job.usage.cpu_milli as f64 / 1000.0;
        match outcome {
            AttemptOutcome::Checkpointed => {
                let lost = (REDONE_AFTER_RESUME + CHECKPOINT_DELAY).min(ran);
                progress.done = (progress.done + ran).saturating_sub(lost);
                self.results.lost_to_checkpoints += lost.as_secs_f64() * cores;
                self.results.checkpoints += 1;
            }
            AttemptOutcome::Killed => {
                self.results.kills += 1;
                self.results.lost_to_kills += ran.as_secs_f64() * cores;
            }
            AttemptOutcome::Succeeded | AttemptOutcome::Failed => {}
        }
        // A checkpoint is confirmed by the answer to the call, other ends by delayed reports.
        let lag = if outcome == AttemptOutcome::Checkpointed {
            Duration::ZERO
        } else {
            REPORT_LAG
        };
        let reported = SimulationEvent::EndReported(id.clone(), attempt, outcome);
        self.schedule(now + lag, reported);
    }

    fn report_end(
        &mut self,
        id: &JobId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        let memory_mib = self.job(id).usage.memory_mib;
        let event = match outcome {
            AttemptOutcome::Succeeded => {
                (self.policy.observe_end)(id, attempt, AttemptEnd::Succeeded, now);
                self.remove_from_backlog(id);
                self.results.ended += 1;
                Event::Succeeded
            }
            AttemptOutcome::Failed => {
                (self.policy.observe_end)(id, attempt, AttemptEnd::Failed, now);
                Event::Failed
            }
            AttemptOutcome::Killed => {
                (self.policy.observe_memory_kill)(id, memory_mib);
                Event::MemoryKilled { memory_mib }
            }
            AttemptOutcome::Checkpointed => Event::Checkpointed,
        };
        self.report(id, attempt, event, now);
    }

    fn report(&mut self, id: &JobId, attempt: AttemptId, event: Event, now: Duration) {
        let before = self.attempt_of(id);
        self.append(Body::Job(JobRecord::Report {
            next: 0,
            reports: vec![Report {
                job: id.clone(),
                attempt,
                event,
            }],
        }));
        self.apply_change(id, before, now);
    }

    fn attempt_of(&self, id: &JobId) -> Option<(InstanceId, Resources)> {
        let attempt = self.state.jobs.get(id)?.attempt()?;
        Some((attempt.worker.clone(), attempt.reserve))
    }

    /// Updates the allocations of workers and teams after a change of a job in the fold, and
    /// notifies the policy.
    fn apply_change(&mut self, id: &JobId, before: Option<(InstanceId, Resources)>, now: Duration) {
        let after = self.attempt_of(id);
        let team = self.job(id).job.team.clone();
        let used = self.team_used.entry(team).or_default();
        if let Some((worker, reserve)) = before {
            let allocated = self.allocated.entry(worker).or_default();
            *allocated = allocated.minus(&reserve);
            *used = used.minus(&reserve);
            self.total_used = self.total_used.minus(&reserve);
        }
        if let Some((worker, reserve)) = after {
            let allocated = self.allocated.entry(worker.clone()).or_default();
            *allocated = allocated.plus(&reserve);
            *used = used.plus(&reserve);
            self.total_used = self.total_used.plus(&reserve);
            if !self.capacity[&worker].covers(allocated) {
                self.results.oversubscribed += 1;
            }
        }
        self.results.changes += 1;
        (self.policy.set_job)(id, &self.state, now);
    }

    fn decide(&mut self, now: Duration) {
        let began = Instant::now();
        let decision = (self.policy.decide)(now);
        if self.has_changed {
            self.results.decide_times.push(began.elapsed());
        }
        self.has_changed = false;
        if decision.is_empty() {
            return;
        }
        self.has_changed = true;
        self.count_decision(&decision, now);
        let ids: BTreeSet<JobId> = decision
            .place
            .iter()
            .map(|placement| placement.job.clone())
            .chain(decision.preempt.iter().map(|p| p.job.clone()))
            .chain(decision.refuse.iter().cloned())
            .collect();
        let before: Vec<_> = ids.iter().map(|id| self.attempt_of(id)).collect();
        let verdict = self.append(Body::Job(JobRecord::Decide(JobDecision {
            term: 1,
            after: self.state.jobs.decided,
            preempt: decision.preempt,
            place: decision.place,
            refuse: decision.refuse,
            quarantine: decision.quarantine,
            release: decision.release,
        })));
        assert_eq!(verdict, Verdict::Accepted);
        for (id, before) in ids.iter().zip(before) {
            self.apply_change(id, before, now);
            self.schedule_effects(id, now);
        }
    }

    fn schedule_effects(&mut self, id: &JobId, now: Duration) {
        let Some(entry) = self.state.jobs.get(id) else {
            return;
        };
        let (at, event) = match &entry.state {
            JobState::Placed(attempt) => {
                let start = SimulationEvent::Start(id.clone(), attempt.attempt);
                (now + START_DELAY, start)
            }
            JobState::Stopping(attempt, _) => {
                let outcome = AttemptOutcome::Checkpointed;
                let end = SimulationEvent::End(id.clone(), attempt.attempt, outcome);
                (now + CHECKPOINT_DELAY, end)
            }
            _ => return,
        };
        self.schedule(at, event);
    }

    fn count_decision(&mut self, decision: &Decision, now: Duration) {
        self.results.refused += decision.refuse.len();
        for id in &decision.refuse {
            self.progress.remove(id);
        }
        for worker in &decision.quarantine {
            match self.faulty.get(worker) {
                Some(since) => self
                    .results
                    .quarantined_after
                    .push(now.saturating_sub(*since)),
                None => self.results.wrongly_quarantined += 1,
            }
        }
    }

    fn sample(&mut self, now: Duration) {
        let step = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.sampled_at = now;
        if now < self.fleet.duration.mul_f64(WARM_UP_FRACTION) {
            return;
        }
        let fraction = |used: u64, total: u64| used as f64 / total.max(1) as f64;
        let larger = |used: &Resources| {
            let memory = fraction(used.memory_mib, self.total.memory_mib);
            fraction(used.cpu_milli, self.total.cpu_milli).max(memory)
        };
        self.allocated_sum += larger(&self.total_used) * step;
        self.actual_usage_sum += larger(&self.actual_usage) * step;
        for (team, used) in &self.team_used {
            let cpu = fraction(used.cpu_milli, self.total.cpu_milli);
            let memory = fraction(used.memory_mib, self.total.memory_mib);
            let accelerators = fraction(used.accelerators, self.total.accelerators);
            let dominant = cpu.max(memory).max(accelerators);
            *self.team_sum.entry(team.clone()).or_default() += dominant * step;
        }
    }

    fn finish(mut self, now: Duration) -> Results {
        let counted = self
            .fleet
            .duration
            .mul_f64(1.0 - WARM_UP_FRACTION)
            .as_secs_f64();
        self.results.allocated = self.allocated_sum / counted;
        self.results.actually_used = self.actual_usage_sum / counted;
        let all: u32 = self.load.shares.iter().map(|(_, share)| share).sum();
        let team_total: f64 = self.team_sum.values().sum();
        for (team, share) in &self.load.shares {
            let fair_share = f64::from(*share) / f64::from(all);
            let actual_share = self.team_sum.get(team).copied().unwrap_or(0.0) / team_total;
            self.results.max_share_deviation = self
                .results
                .max_share_deviation
                .max((actual_share / fair_share - 1.0).abs());
        }
        let waiting: Vec<_> = self
            .progress
            .iter()
            .filter(|(_, progress)| progress.first_start.is_none())
            .map(|(id, progress)| (id.clone(), progress.bound))
            .collect();
        for (id, bound) in waiting {
            let job = self.job(&id);
            let wait = now.saturating_sub(job.at);
            if &*job.job.class == "impossible" {
                continue;
            }
            if job.job.urgency == Urgency::Patient {
                self.count_wait(wait, bound);
            } else if wait > Duration::from_millis(4500) {
                self.results.urgent_unstarted += 1;
                self.results.urgent_waits.push(wait);
            }
        }
        let ran: f64 = self.actual_usage_sum * self.total.cpu_milli as f64 / 1000.0;
        self.results.lost_to_checkpoints /= ran;
        self.results.lost_to_kills /= ran;
        self.results
    }
}

/// Work of a job in processor seconds, by its size from `cores_worth`.
fn work_of(job: &SimulatedJob, fleet: &Fleet) -> f64 {
    cores_worth(&job.usage, fleet.cores) * job.run_time.as_secs_f64()
}
