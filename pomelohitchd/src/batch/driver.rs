//! The planning loop for batch jobs: applies changes of the state and reports of workers, decides,
//! and calls workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use pomelohitch_core::id::{InstanceId, JobId, TeamId};
use pomelohitch_core::record::Body;
use pomelohitch_core::record::job::{AttemptId, Event, JobDecision, JobRecord, Report};
use pomelohitch_core::state::jobs::{Attempt, Entry, StopCause};
use pomelohitch_core::state::{JobState, Phase};
use pomelohitch_core::{State, Verdict};
use pomelohitch_place::health::AttemptEnd;
use pomelohitch_place::planner::TeamQuota;
use pomelohitch_place::{Decision, Options, Planner, Worker};
use pomelohitch_platform::workers::{self as platform, Action, Listed, Reports, Start};
use tracing::{info, warn};

use super::effects::{Call, CallRequest, CallResult, Effects, Outcome};
use super::polls::{self, Update};
use crate::node::{KnownWithdrawals, Node};

/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// A lease is renewed after its length divided by this.
const RENEW_DIVISOR: u32 = 3;
/// Delay before a call without a usable answer is repeated.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout for the reports of an attempt that has ended; afterwards its outcome is unknown.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of reports in one record.
const MAX_REPORTS: usize = 1024;

/// Plans batch jobs during one term of this member.
#[derive(Debug)]
pub struct Driver {
    options: super::Options,
    node: Arc<Node>,
    planner: Planner,
    /// The state that the planner's accounting reflects.
    known: Arc<State>,
    known_withdrawals: Arc<KnownWithdrawals>,
    has_list: bool,
    listed: Vec<Listed>,
    updates: mpsc::Receiver<Update>,
    effects: Effects,
    started_at: Instant,
    /// Position in the platform's reports after which to continue once `pending` is in the log.
    reports_next: u64,
    reports_read_at: Duration,
    pending: Vec<Report>,
    renewals: BTreeSet<(Duration, JobId, AttemptId)>,
    retries: BTreeSet<(Duration, JobId, AttemptId)>,
    /// Attempts that have ended without a report so far, with the time at which that was detected.
    unexplained: BTreeMap<JobId, (AttemptId, Duration)>,
}

impl Driver {
    /// Starts from the state in the log.
    #[must_use]
    pub fn start(node: &Arc<Node>, options: super::Options) -> Driver {
        let state = node.state.load_full();
        let reports_next = state.jobs.reports_next;
        Driver {
            options,
            node: node.clone(),
            planner: Planner::new(Options::default()),
            known: Arc::new(State::default()),
            known_withdrawals: Arc::default(),
            has_list: false,
            listed: Vec::new(),
            updates: polls::start(node, reports_next),
            effects: Effects::start(node),
            started_at: Instant::now(),
            reports_next,
            reports_read_at: Duration::ZERO,
            pending: Vec::new(),
            renewals: BTreeSet::new(),
            retries: BTreeSet::new(),
            unexplained: BTreeMap::new(),
        }
    }

    /// Runs one step. Blocks only on proposals to the log.
    pub fn step(&mut self) {
        let now = self.started_at.elapsed();
        self.take_updates(now);
        if !self.has_list {
            return;
        }
        self.sync(now);
        self.process_outcomes(now);
        self.report_unexplained();
        self.report();
        self.sync(now);
        self.decide(now);
        self.sync(now);
        self.renew_leases(now);
        self.retry_calls(now);
    }

    fn take_updates(&mut self, now: Duration) {
        while let Ok(update) = self.updates.try_recv() {
            match update {
                Update::List(list) => {
                    self.has_list = true;
                    if self.listed != list.workers {
                        self.listed = list.workers;
                        self.set_workers(now);
                    }
                }
                Update::Reports(reports) => self.take_reports(reports, now),
            }
        }
    }

    /// Updates the planner's accounting to the newest state, and calls workers for jobs that
    /// changed.
    fn sync(&mut self, now: Duration) {
        let state = self.node.state.load_full();
        let known = std::mem::replace(&mut self.known, state.clone());
        let is_same =
            Arc::ptr_eq(&known.config, &state.config) && Arc::ptr_eq(&known.limits, &state.limits);
        if !is_same {
            for (id, team) in &state.config.teams {
                let quota = TeamQuota {
                    share: team.share,
                    limit: state.limits.jobs_of(team),
                };
                self.planner.set_team(id, quota);
            }
            // The fold rejects placements for a team that was removed; without this, the planner
            // would append a useless decision in every step.
            let is_gone = |id: &&TeamId| !state.config.teams.contains_key(*id);
            for id in known.config.teams.keys().filter(is_gone) {
                self.planner.set_team(id, TeamQuota { share: 1, limit: 0 });
            }
        }
        let withdrawals = self.node.known_withdrawals.load_full();
        if !Arc::ptr_eq(&known.fleet, &state.fleet)
            || !Arc::ptr_eq(&withdrawals, &self.known_withdrawals)
        {
            self.known_withdrawals = withdrawals;
            self.set_workers(now);
        }
        if Arc::ptr_eq(&known.jobs, &state.jobs) {
            return;
        }
        if known.jobs.quarantined != state.jobs.quarantined {
            let workers = state.jobs.quarantined.keys();
            self.planner.set_quarantined(workers, now);
        }
        for (class, &memory_mib) in &state.jobs.killed_at {
            if known.jobs.killed_at.get(class) != Some(&memory_mib) {
                self.planner.set_killed_at(class, memory_mib);
            }
        }
        for id in state.jobs.table.changed_since(&known.jobs.table) {
            let entry = state.jobs.get(&id);
            self.planner.set_job(&id, entry, now);
            if let Some(entry) = entry {
                self.call_worker(entry, known.jobs.get(&id), now);
            }
        }
    }

    /// Makes the worker calls that the job's state requires. A new planner does this for every job
    /// and thereby takes over the attempts of its predecessor.
    fn call_worker(&mut self, entry: &Entry, before: Option<&Entry>, now: Duration) {
        let Some(attempt) = entry.attempt() else {
            return;
        };
        let id = &entry.job.id;
        let is_new = before.and_then(Entry::attempt) != Some(attempt);
        if is_new {
            let due = now + self.lease(id) / RENEW_DIVISOR;
            // The age of a lease that an earlier planner granted isn't known, so renew it at once.
            let due = if matches!(entry.state, JobState::Placed(_)) {
                due
            } else {
                now
            };
            self.renewals.insert((due, id.clone(), attempt.attempt));
        }
        if let Some(call) = self.call_for(entry) {
            self.submit_call(id, attempt, call);
        }
    }

    /// The worker call that a job in this state requires, if any.
    fn call_for(&self, entry: &Entry) -> Option<Call> {
        match &entry.state {
            JobState::Placed(attempt) => Some(Call::Start(Start {
                op: attempt.attempt,
                job: entry.job.id.clone(),
                command: entry.job.command.clone(),
                run: entry.job.run_time,
                reserve: attempt.reserve,
                lease: self.lease(&entry.job.id),
            })),
            JobState::Stopping(_, StopCause::Cancel) => {
                Some(Call::Act(Action::Stop, Duration::ZERO))
            }
            JobState::Stopping(_, StopCause::Preempt) => {
                Some(Call::Act(Action::Checkpoint, Duration::ZERO))
            }
            JobState::Waiting | JobState::Running(_) | JobState::Ended(_) => None,
        }
    }

    fn submit_call(&self, id: &JobId, attempt: &Attempt, call: Call) {
        self.effects.submit(CallRequest {
            job: id.clone(),
            attempt: attempt.clone(),
            call,
        });
    }

    /// Length of a lease: twice the expected run time, so that most jobs need few renewals.
    fn lease(&self, id: &JobId) -> Duration {
        let run_time = self.planner.run_time(id).unwrap_or_default();
        run_time
            .saturating_mul(2)
            .clamp(self.options.shortest_lease, self.options.longest_lease)
    }

    /// The job's entry and attempt, if `attempt` is still the current one.
    fn current(&self, id: &JobId, attempt: AttemptId) -> Option<(&Entry, &Attempt)> {
        let entry = self.known.jobs.get(id)?;
        let current = entry.attempt()?;
        (current.attempt == attempt).then_some((entry, current))
    }

    fn process_outcomes(&mut self, now: Duration) {
        let outcomes: Vec<Outcome> = self.effects.outcomes().collect();
        for Outcome { request, result } in outcomes {
            let attempt = request.attempt.attempt;
            if self.current(&request.job, attempt).is_none() {
                continue;
            }
            match result {
                CallResult::Event(event) => {
                    if event == Event::NotStarted {
                        // The worker has less capacity than the accounting shows. Without a
                        // backoff the job would be placed there again at once.
                        self.planner
                            .observe_start_refusal(&request.attempt.worker, now);
                    }
                    self.pending.push(Report {
                        job: request.job,
                        attempt,
                        event,
                    });
                }
                CallResult::Ended => {
                    let found = (attempt, now);
                    self.unexplained.entry(request.job).or_insert(found);
                }
                CallResult::NoAnswer => {
                    let due = now + CALL_RETRY_DELAY;
                    self.retries.insert((due, request.job, attempt));
                }
                CallResult::Done => {}
            }
        }
    }

    /// Reports ended attempts as `Unknown` if no report about them arrived in time. While reports
    /// can't be read, one may still arrive, so the timeout counts as passed only once reports were
    /// read after it.
    fn report_unexplained(&mut self) {
        let mut lost = Vec::new();
        let known = self.known.clone();
        self.unexplained.retain(|id, (attempt, found)| {
            let current = known.jobs.get(id).and_then(|entry| entry.attempt());
            let is_current = current.is_some_and(|current| current.attempt == *attempt);
            let is_late = self.reports_read_at >= *found + REPORTS_TIMEOUT;
            if is_current && is_late {
                lost.push(Report {
                    job: id.clone(),
                    attempt: *attempt,
                    event: Event::Unknown,
                });
            }
            is_current && !is_late
        });
        self.pending.extend(lost);
    }

    fn take_reports(&mut self, reports: Reports, now: Duration) {
        self.reports_read_at = now;
        self.reports_next = reports.next;
        for report in reports.reports {
            self.take_report(&report, now);
        }
    }

    fn take_report(&mut self, report: &platform::Report, now: Duration) {
        let (id, attempt) = (&report.job, report.op);
        let event = match report.event {
            platform::Event::Usage => {
                self.planner.observe_usage(id, attempt, &report.used);
                return;
            }
            platform::Event::Started => Event::Started,
            platform::Event::Succeeded => Event::Succeeded,
            platform::Event::Failed => Event::Failed,
            platform::Event::MemoryKilled => Event::MemoryKilled {
                memory_mib: report.used.memory_mib,
            },
            platform::Event::Checkpointed => Event::Checkpointed,
            platform::Event::Stopped => Event::Stopped,
            platform::Event::LeaseExpired => Event::LeaseExpired,
        };
        match event {
            Event::Succeeded => {
                self.planner
                    .observe_end(id, attempt, AttemptEnd::Succeeded, now);
            }
            Event::Failed => self
                .planner
                .observe_end(id, attempt, AttemptEnd::Failed, now),
            Event::MemoryKilled { memory_mib } => self.planner.observe_memory_kill(id, memory_mib),
            _ => {}
        }
        // The log may be ahead of the state here, so a report is dropped only if it certainly
        // changes nothing: the start of an attempt that the state already shows as running.
        let runs = |entry: &Entry| matches!(entry.state, JobState::Running(_));
        let is_known_to_run = self
            .current(id, attempt)
            .is_some_and(|(entry, _)| runs(entry));
        if event != Event::Started || !is_known_to_run {
            self.pending.push(Report {
                job: id.clone(),
                attempt,
                event,
            });
        }
    }

    /// Appends pending reports to the log; what can't be appended is kept for the next step.
    fn report(&mut self) {
        let state = self.node.state.load_full();
        self.pending.retain(|report| {
            let entry = state.jobs.get(&report.job);
            let current = entry.and_then(Entry::attempt);
            current.is_some_and(|current| current.attempt == report.attempt)
        });
        if self.pending.is_empty() {
            return;
        }
        let count = self.pending.len().min(MAX_REPORTS);
        let next = if count == self.pending.len() {
            self.reports_next
        } else {
            state.jobs.reports_next
        };
        let record = JobRecord::Report {
            next,
            reports: self.pending[..count].to_vec(),
        };
        match self.node.propose(Body::Job(record), PROPOSE_TIMEOUT) {
            Ok(_) => drop(self.pending.drain(..count)),
            Err(_) => metrics::counter!("job_report_errors").increment(1),
        }
    }

    fn decide(&mut self, now: Duration) {
        let decision = self.planner.decide(now);
        for throttle in &decision.throttle {
            self.throttle(throttle);
        }
        if decision.is_empty() {
            return;
        }
        log_and_count(&decision);
        let record = JobDecision {
            term: self.known.members.term,
            after: self.known.jobs.decided,
            preempt: decision.preempt.clone(),
            place: decision.place.clone(),
            refuse: decision.refuse.clone(),
            quarantine: decision.quarantine.clone(),
            release: decision.release.clone(),
        };
        let body = Body::Job(JobRecord::Decide(record));
        match self.node.propose(body, PROPOSE_TIMEOUT) {
            Ok(decided) if decided.verdict == Verdict::Accepted => {}
            Ok(decided) => info!(verdict = ?decided.verdict, "a decision about jobs was rejected"),
            Err(error) => {
                metrics::counter!("job_decision_errors").increment(1);
                warn!(%error, "could not append a decision about jobs");
            }
        }
        self.reconcile(&decision, now);
    }

    /// Resets the planner's accounting to the state for everything in the decision, because the
    /// planner assumed that the log would accept it. Parts that are accepted later reach the
    /// planner with the state in a later step.
    fn reconcile(&mut self, decision: &Decision, now: Duration) {
        let state = self.node.state.load_full();
        let placed = decision.place.iter().map(|placement| &placement.job);
        let preempted = decision.preempt.iter().map(|preemption| &preemption.job);
        for id in placed.chain(preempted).chain(&decision.refuse) {
            self.planner.set_job(id, state.jobs.get(id), now);
        }
        let quarantined = state.jobs.quarantined.keys();
        self.planner.set_quarantined(quarantined, now);
    }

    fn throttle(&self, throttle: &pomelohitch_place::planner::Throttle) {
        let entry = self.known.jobs.get(&throttle.job);
        if let Some(attempt) = entry.and_then(Entry::attempt) {
            self.submit_call(&throttle.job, attempt, Call::Throttle);
        }
    }

    fn renew_leases(&mut self, now: Duration) {
        while self.renewals.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, id, attempt)) = self.renewals.pop_first() else {
                return;
            };
            let Some((_, current)) = self.current(&id, attempt) else {
                continue;
            };
            let lease = self.lease(&id);
            self.submit_call(&id, &current.clone(), Call::Act(Action::Renew, lease));
            self.renewals
                .insert((now + lease / RENEW_DIVISOR, id, attempt));
        }
    }

    fn retry_calls(&mut self, now: Duration) {
        while self.retries.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, id, attempt)) = self.retries.pop_first() else {
                return;
            };
            let Some((entry, current)) = self.current(&id, attempt) else {
                continue;
            };
            // If the state requires no call, the failed call was a renewal; the old lease still
            // runs at the worker.
            let lease = self.lease(&id);
            let call = self.call_for(entry);
            let call = call.unwrap_or(Call::Act(Action::Renew, lease));
            self.submit_call(&id, current, call);
        }
    }

    fn set_workers(&mut self, now: Duration) {
        let state = self.node.state.load_full();
        let withdrawals = self.node.known_withdrawals.load();
        let mut gone: BTreeSet<InstanceId> = self.planner.workers().cloned().collect();
        for listed in &self.listed {
            gone.remove(&listed.id);
            let instance = state.fleet.instances.get(&listed.id);
            let is_active = instance.is_none_or(|instance| instance.phase == Phase::Active);
            let worker = Worker {
                id: listed.id.clone(),
                zone: listed.zone.clone(),
                rack: listed.rack.clone(),
                capacity: listed.capacity,
                takes_work: is_active && !withdrawals.leaving_instances.contains(&listed.id),
            };
            self.planner.set_worker(worker, now);
        }
        for id in gone {
            self.planner.remove_worker(&id);
        }
    }
}

fn log_and_count(decision: &Decision) {
    metrics::counter!("jobs_placed").increment(decision.place.len() as u64);
    metrics::counter!("jobs_preempted").increment(decision.preempt.len() as u64);
    metrics::counter!("jobs_refused").increment(decision.refuse.len() as u64);
    for worker in &decision.quarantine {
        warn!(%worker, "quarantined a worker: attempts fail there that succeed elsewhere");
    }
    for worker in &decision.release {
        info!(%worker, "released a worker from quarantine after a successful probe");
    }
}
