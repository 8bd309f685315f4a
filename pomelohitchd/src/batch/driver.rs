//! One step after the other: what changed, what happened, what to do, and doing it.

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

use super::effects::{Ask, Call, Effects, Learned, Outcome};
use super::polls::{self, News};
use crate::node::{BadNews, Node};

/// How long one proposal may take.
const PROPOSE_LIMIT: Duration = Duration::from_secs(4);
/// A lease is renewed when this part of it is over.
const RENEW_PART: u32 = 3;
/// How long to wait before a call that taught nothing is made again.
const CALL_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// How long the reports of an attempt that has ended may take before it is given up on.
const REPORTS_WITHIN: Duration = Duration::from_secs(30);
/// The most reports in one record.
const MAX_REPORTS: usize = 1024;

/// Drives batch work while this member plans.
#[derive(Debug)]
pub struct Driver {
    options: super::Options,
    node: Arc<Node>,
    planner: Planner,
    /// The state that the planner's books follow.
    known: Arc<State>,
    known_news: Arc<BadNews>,
    has_list: bool,
    listed: Vec<Listed>,
    news: mpsc::Receiver<News>,
    effects: Effects,
    began: Instant,
    /// Where the platform's reports are dealt with up to, once `pending` is in the log.
    reports_next: u64,
    reports_read: Duration,
    pending: Vec<Report>,
    renew: BTreeSet<(Duration, JobId, AttemptId)>,
    again: BTreeSet<(Duration, JobId, AttemptId)>,
    /// Attempts that have ended and whose reports haven't come, with the time that was found.
    unexplained: BTreeMap<JobId, (AttemptId, Duration)>,
}

impl Driver {
    /// Takes batch work over as the log has it.
    #[must_use]
    pub fn start(node: &Arc<Node>, options: super::Options) -> Driver {
        let state = node.state.load_full();
        let reports_next = state.jobs.reports_next;
        Driver {
            options,
            node: node.clone(),
            planner: Planner::new(Options::default()),
            known: Arc::new(State::default()),
            known_news: Arc::default(),
            has_list: false,
            listed: Vec::new(),
            news: polls::start(node, reports_next),
            effects: Effects::start(node),
            began: Instant::now(),
            reports_next,
            reports_read: Duration::ZERO,
            pending: Vec::new(),
            renew: BTreeSet::new(),
            again: BTreeSet::new(),
            unexplained: BTreeMap::new(),
        }
    }

    /// Does what is to be done now. Waits for the log at the most.
    pub fn step(&mut self) {
        let now = self.began.elapsed();
        self.take_news(now);
        if !self.has_list {
            return;
        }
        self.follow(now);
        self.take_outcomes(now);
        self.give_up();
        self.report();
        self.follow(now);
        self.decide(now);
        self.follow(now);
        self.renew(now);
        self.call_again(now);
    }

    fn take_news(&mut self, now: Duration) {
        while let Ok(news) = self.news.try_recv() {
            match news {
                News::List(list) => {
                    self.has_list = true;
                    if self.listed != list.workers {
                        self.listed = list.workers;
                        self.set_workers(now);
                    }
                }
                News::Reports(reports) => self.take_reports(reports, now),
            }
        }
    }

    /// Brings the planner's books to the newest state, and asks for what follows from it.
    fn follow(&mut self, now: Duration) {
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
            // The fold places nothing of a team that is gone; a planner that tried all the same
            // would append a useless decision with every step.
            let is_gone = |id: &&TeamId| !state.config.teams.contains_key(*id);
            for id in known.config.teams.keys().filter(is_gone) {
                self.planner.set_team(id, TeamQuota { share: 1, limit: 0 });
            }
        }
        let news = self.node.bad_news.load_full();
        if !Arc::ptr_eq(&known.fleet, &state.fleet) || !Arc::ptr_eq(&news, &self.known_news) {
            self.known_news = news;
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
                self.act_on(entry, known.jobs.get(&id), now);
            }
        }
    }

    /// Asks workers for what the log accepted. A new planner gets here for every job, and so
    /// takes over the attempts of the one before it.
    fn act_on(&mut self, entry: &Entry, before: Option<&Entry>, now: Duration) {
        let Some(attempt) = entry.attempt() else {
            return;
        };
        let id = &entry.job.id;
        let is_new = before.and_then(Entry::attempt) != Some(attempt);
        if is_new {
            let due = now + self.lease(id) / RENEW_PART;
            // A lease of an earlier planner may be older, so it is renewed soon.
            let due = if matches!(entry.state, JobState::Placed(_)) {
                due
            } else {
                now
            };
            self.renew.insert((due, id.clone(), attempt.attempt));
        }
        if let Some(call) = self.call_for(entry) {
            self.ask(id, attempt, call);
        }
    }

    /// What has to be asked of the worker for a job in this state.
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

    fn ask(&self, id: &JobId, attempt: &Attempt, call: Call) {
        self.effects.ask(Ask {
            job: id.clone(),
            attempt: attempt.clone(),
            call,
        });
    }

    /// A lease that a job of this length rarely has to have renewed.
    fn lease(&self, id: &JobId) -> Duration {
        let run_time = self.planner.run_time(id).unwrap_or_default();
        run_time
            .saturating_mul(2)
            .clamp(self.options.shortest_lease, self.options.longest_lease)
    }

    /// The attempt of a job, if it is still this one.
    fn current(&self, id: &JobId, attempt: AttemptId) -> Option<(&Entry, &Attempt)> {
        let entry = self.known.jobs.get(id)?;
        let current = entry.attempt()?;
        (current.attempt == attempt).then_some((entry, current))
    }

    fn take_outcomes(&mut self, now: Duration) {
        let outcomes: Vec<Outcome> = self.effects.outcomes().collect();
        for Outcome { ask, learned } in outcomes {
            let attempt = ask.attempt.attempt;
            if self.current(&ask.job, attempt).is_none() {
                continue;
            }
            match learned {
                Learned::Event(event) => {
                    if event == Event::NotStarted {
                        // The worker has less room than the books say; asking it again at once
                        // would go round and round.
                        self.planner.observe_start_refusal(&ask.attempt.worker, now);
                    }
                    self.pending.push(Report {
                        job: ask.job,
                        attempt,
                        event,
                    });
                }
                Learned::Ended => {
                    let found = (attempt, now);
                    self.unexplained.entry(ask.job).or_insert(found);
                }
                Learned::Nothing => {
                    let due = now + CALL_AGAIN_AFTER;
                    self.again.insert((due, ask.job, attempt));
                }
                Learned::Done => {}
            }
        }
    }

    /// An attempt has ended, and no report tells how. As long as reports can't be read they may
    /// still come; after that the outcome is unknown, which is said and not guessed.
    fn give_up(&mut self) {
        let mut lost = Vec::new();
        let known = self.known.clone();
        self.unexplained.retain(|id, (attempt, found)| {
            let current = known.jobs.get(id).and_then(|entry| entry.attempt());
            let is_current = current.is_some_and(|current| current.attempt == *attempt);
            let is_late = self.reports_read >= *found + REPORTS_WITHIN;
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
        self.reports_read = now;
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
        // The log may be ahead of the state known here, so that only what certainly changes
        // nothing is left out: an attempt that the log has and knows to run.
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

    /// Puts what happened into the log; what couldn't be put there is kept for the next step.
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
        match self.node.propose(Body::Job(record), PROPOSE_LIMIT) {
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
        count(&decision);
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
        match self.node.propose(body, PROPOSE_LIMIT) {
            Ok(decided) if decided.verdict == Verdict::Accepted => {}
            Ok(decided) => info!(verdict = ?decided.verdict, "a decision about jobs was rejected"),
            Err(error) => {
                metrics::counter!("job_decision_errors").increment(1);
                warn!(%error, "could not decide about jobs");
            }
        }
        self.correct(&decision, now);
    }

    /// The books took the decision for granted. What the log didn't accept, or not yet, is taken
    /// back; should it come into force after all, the next step sees it in the state.
    fn correct(&mut self, decision: &Decision, now: Duration) {
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
        let jobs = self.known.jobs.get(&throttle.job);
        if let Some(attempt) = jobs.and_then(Entry::attempt) {
            self.ask(&throttle.job, attempt, Call::Throttle);
        }
    }

    fn renew(&mut self, now: Duration) {
        while self.renew.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, id, attempt)) = self.renew.pop_first() else {
                return;
            };
            let Some((_, current)) = self.current(&id, attempt) else {
                continue;
            };
            let lease = self.lease(&id);
            self.ask(&id, &current.clone(), Call::Act(Action::Renew, lease));
            self.renew.insert((now + lease / RENEW_PART, id, attempt));
        }
    }

    fn call_again(&mut self, now: Duration) {
        while self.again.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, id, attempt)) = self.again.pop_first() else {
                return;
            };
            let Some((entry, current)) = self.current(&id, attempt) else {
                continue;
            };
            // Without a call a renewal got no answer; the worker counts the old lease on.
            let lease = self.lease(&id);
            let call = self.call_for(entry);
            let call = call.unwrap_or(Call::Act(Action::Renew, lease));
            self.ask(&id, current, call);
        }
    }

    fn set_workers(&mut self, now: Duration) {
        let state = self.node.state.load_full();
        let leaving = self.node.bad_news.load();
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
                takes_work: is_active && !leaving.leaving_instances.contains(&listed.id),
            };
            self.planner.set_worker(worker, now);
        }
        for id in gone {
            self.planner.remove_worker(&id);
        }
    }
}

fn count(decision: &Decision) {
    metrics::counter!("jobs_placed").increment(decision.place.len() as u64);
    metrics::counter!("jobs_preempted").increment(decision.preempt.len() as u64);
    metrics::counter!("jobs_refused").increment(decision.refuse.len() as u64);
    for worker in &decision.quarantine {
        warn!(%worker, "a worker that fails what others don't goes into quarantine");
    }
    for worker in &decision.release {
        info!(%worker, "a probe went well; the worker is out of quarantine");
    }
}
