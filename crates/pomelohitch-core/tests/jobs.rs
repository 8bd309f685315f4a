//! Tests of the fold: batch jobs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::job::{
    AttemptId, Event, Job, JobDecision, JobRecord, Placement, Preemption, Report, Resources,
    Urgency, attempt_id,
};
use pomelohitch_core::record::{FileChange, Join, Publish, TakeTerm};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::{ENDED_ENTRIES_KEPT, ENDED_IDS_KEPT, MAX_FAILED_WORKERS};
use pomelohitch_core::{Body, Record, Rejection, State, Verdict};

/// State of a log with one team and a planner.
struct Log {
    state: State,
}

impl Log {
    /// Sets the team's limit to twice `jobs`, so that by the default split `jobs` jobs may run at
    /// once.
    fn new(jobs: u32) -> Log {
        let mut log = Log {
            state: State::default(),
        };
        let team = Team {
            id: "choir".into(),
            share: 1,
            limit: jobs.saturating_mul(2),
            keys: vec![],
        };
        let file = FleetFile {
            teams: vec![team],
            ..FleetFile::default()
        };
        let change = FileChange {
            base: None,
            file: Some(file),
        };
        let changes = BTreeMap::from([("teams".into(), change)]);
        log.append(Body::Publish(Publish { changes }));
        log.append(Body::Join(Join {
            member: "e1".into(),
            zone: "a".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        }));
        log.take_term(1);
        log
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

    fn take_term(&mut self, term: u64) {
        let take = TakeTerm {
            member: "e1".into(),
            incarnation: 1,
            term,
        };
        self.append(Body::TakeTerm(take));
    }

    fn job(&mut self, record: JobRecord) -> Verdict {
        self.append(Body::Job(record))
    }

    fn submit(&mut self, ids: &[&str], is_idempotent: bool) {
        let jobs = ids.iter().map(|id| job(id, is_idempotent)).collect();
        self.job(JobRecord::Submit(jobs));
    }

    fn cancel(&mut self, id: &str) {
        self.job(JobRecord::Cancel(vec![id.into()]));
    }

    fn decide(&mut self, decision: JobDecision) -> Verdict {
        let decision = JobDecision {
            term: 1,
            after: self.state.jobs.decided,
            ..decision
        };
        self.job(JobRecord::Decide(decision))
    }

    fn place(&mut self, id: &str, worker: &str) -> AttemptId {
        let attempt = attempt_id(self.state.next, 0);
        self.decide(JobDecision {
            place: vec![placement(id, worker)],
            ..JobDecision::default()
        });
        attempt
    }

    fn report(&mut self, id: &str, attempt: AttemptId, event: Event) {
        let report = Report {
            job: id.into(),
            attempt,
            event,
        };
        self.job(JobRecord::Report {
            next: 0,
            reports: vec![report],
        });
    }

    fn preempt(&mut self, id: &str, attempt: AttemptId) {
        let preemption = Preemption {
            job: id.into(),
            attempt,
        };
        self.decide(JobDecision {
            preempt: vec![preemption],
            ..JobDecision::default()
        });
    }

    fn state_of(&self, id: &str) -> String {
        match self.state.jobs.get(id).map(|entry| &entry.state) {
            None => "none".into(),
            Some(JobState::Waiting) => "waiting".into(),
            Some(JobState::Placed(_)) => "placed".into(),
            Some(JobState::Running(_)) => "running".into(),
            Some(JobState::Stopping(_, cause)) => format!("stopping: {cause:?}"),
            Some(JobState::Ended(end)) => {
                format!("{:?}: {:?}, ran: {:?}", end.outcome, end.reason, end.ran)
            }
        }
    }
}

fn job(id: &str, idempotent: bool) -> Job {
    Job {
        id: id.into(),
        team: "choir".into(),
        class: "settle".into(),
        urgency: Urgency::Patient,
        need: Resources {
            cpu_milli: 1000,
            memory_mib: 512,
            accelerators: 0,
        },
        run_time: Duration::from_mins(1),
        idempotent,
        command: "true".into(),
        group: None,
    }
}

fn placement(id: &str, worker: &str) -> Placement {
    Placement {
        job: id.into(),
        worker: worker.into(),
        reserve: job(id, true).need,
    }
}

const EVENTS: [Event; 9] = [
    Event::Started,
    Event::Succeeded,
    Event::Failed,
    Event::MemoryKilled { memory_mib: 600 },
    Event::Checkpointed,
    Event::Stopped,
    Event::LeaseExpired,
    Event::NotStarted,
    Event::Unknown,
];

/// Every event on a placed job, for idempotent and other jobs, with and without an earlier cancel.
#[test]
fn every_event_has_one_outcome_that_says_what_ran() {
    let mut table = String::new();
    for event in EVENTS {
        for (is_idempotent, is_cancelled) in
            [(true, false), (false, false), (true, true), (false, true)]
        {
            let mut log = Log::new(9);
            log.submit(&["j"], is_idempotent);
            let attempt = log.place("j", "w1");
            if is_cancelled {
                log.cancel("j");
            }
            log.report("j", attempt, event);
            let idempotent = if is_idempotent { "idempotent" } else { "once" };
            let cancelled = if is_cancelled { ", cancelled" } else { "" };
            let state = log.state_of("j");
            writeln!(table, "{event:?}, {idempotent}{cancelled} -> {state}")
                .expect("writing to a string cannot fail");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against two outcomes for one job. Entry instances learn of a cancel and a start in either
/// order; if each decided by what it saw first, one caller would get "cancelled" and another
/// "succeeded".
#[test]
fn a_cancel_that_races_a_start_has_one_outcome() {
    let mut cancel_first = Log::new(9);
    cancel_first.submit(&["j"], false);
    cancel_first.cancel("j");
    cancel_first.place("j", "w1");
    let end = "Cancelled: CancelledByTeam, ran: No";
    assert_eq!(cancel_first.state_of("j"), end);

    let mut start_first = Log::new(9);
    start_first.submit(&["j"], false);
    let attempt = start_first.place("j", "w1");
    start_first.cancel("j");
    start_first.report("j", attempt, Event::Started);
    assert_eq!(start_first.state_of("j"), "stopping: Cancel");
    start_first.report("j", attempt, Event::Succeeded);
    let end = "Succeeded: Ended, ran: ToItsEnd";
    assert_eq!(start_first.state_of("j"), end);
    start_first.report("j", attempt, Event::Stopped);
    start_first.cancel("j");
    assert_eq!(start_first.state_of("j"), end);
}

/// Guards against exceeding a team's limit: a cancelled job still runs until its worker has stopped
/// it, so another job must not be placed before that.
#[test]
fn a_job_that_is_being_stopped_counts_for_the_limit() {
    let mut log = Log::new(1);
    log.submit(&["a", "b"], true);
    let first = log.place("a", "w1");
    log.cancel("a");
    log.place("b", "w2");
    assert_eq!(log.state_of("b"), "waiting");
    log.report("a", first, Event::Stopped);
    log.place("b", "w2");
    assert_eq!(log.state_of("b"), "placed");
    assert_eq!(log.state.jobs.active_of("choir"), 1);
}

/// Guards against overcommitted workers: the append of a decision seems lost, the planner makes
/// another decision, and then the first one lands too.
#[test]
fn a_decision_that_lands_late_changes_nothing() {
    let mut log = Log::new(9);
    log.submit(&["a", "b"], true);
    let late = JobDecision {
        term: 1,
        after: log.state.jobs.decided,
        place: vec![placement("a", "w1")],
        ..JobDecision::default()
    };
    log.place("b", "w1");
    let overtaken = Rejection::DecisionOvertaken(log.state.jobs.decided);
    let verdict = log.job(JobRecord::Decide(late));
    assert_eq!(verdict, Verdict::Rejected(overtaken));
    assert_eq!(log.state_of("a"), "waiting");
}

/// Guards against a planner that was suspended and then decides in a term that has ended.
#[test]
fn a_decision_of_an_earlier_term_is_rejected() {
    let mut log = Log::new(9);
    log.submit(&["a"], true);
    log.take_term(2);
    log.place("a", "w1");
    assert_eq!(log.state_of("a"), "waiting");
}

/// Guards against a faulty worker that makes good jobs end as failed: failures on quarantined
/// workers don't count. A job that fails on enough other workers does end.
#[test]
fn failures_on_quarantined_workers_do_not_end_a_job() {
    let mut log = Log::new(9);
    log.submit(&["j"], true);
    log.decide(JobDecision {
        quarantine: vec!["bad".into()],
        ..JobDecision::default()
    });
    for worker in ["bad", "w1", "w2"] {
        let attempt = log.place("j", worker);
        log.report("j", attempt, Event::Failed);
        assert_eq!(log.state_of("j"), "waiting");
    }
    let attempt = log.place("j", "w3");
    log.report("j", attempt, Event::Failed);
    let end = "Failed: FailedOnSeveralWorkers, ran: ToItsEnd";
    assert_eq!(log.state_of("j"), end);
    assert_eq!(MAX_FAILED_WORKERS, 3);
}

/// Guards against the limit on attempts ending a job that is merely preempted often: patient jobs
/// can be checkpointed for urgent ones many times a day.
#[test]
fn checkpoints_do_not_use_up_the_attempts() {
    let mut log = Log::new(9);
    log.submit(&["j"], false);
    for _ in 0..100 {
        let attempt = log.place("j", "w1");
        log.report("j", attempt, Event::Started);
        log.preempt("j", attempt);
        log.report("j", attempt, Event::Checkpointed);
    }
    assert_eq!(log.state_of("j"), "waiting");
}

/// Guards against running a job twice when a caller whose answer was lost submits it again minutes
/// later, after its entry has been dropped. The id is kept until enough other jobs have ended.
#[test]
fn ended_jobs_are_dropped_but_not_run_again() {
    const BATCH: u64 = 4096;
    let mut log = Log::new(u32::MAX);
    log.submit(&["first"], false);
    let attempt = log.place("first", "w1");
    log.report("first", attempt, Event::Succeeded);
    let mut number = 0;
    let mut end_some = |log: &mut Log, count: u64| {
        for _ in 0..count.div_ceil(BATCH) {
            let numbers = number..number + BATCH;
            let ids: Vec<Box<str>> = numbers.map(|i| i.to_string().into()).collect();
            number += BATCH;
            let new = ids.iter().map(|id| job(id, true)).collect();
            log.job(JobRecord::Submit(new));
            log.job(JobRecord::Cancel(ids));
        }
    };
    end_some(&mut log, 2 * ENDED_ENTRIES_KEPT);
    assert_eq!(log.state_of("first"), "none");
    log.submit(&["first"], false);
    assert_eq!(log.state_of("first"), "none");
    assert!(log.state.jobs.table.is_remembered("first"));
    assert!(
        log.state.jobs.table.len()
            < 3 * usize::try_from(ENDED_ENTRIES_KEPT).expect("the constant fits into usize")
    );

    end_some(&mut log, 2 * ENDED_IDS_KEPT);
    log.submit(&["first"], false);
    assert_eq!(log.state_of("first"), "waiting");
}

/// Readers determine the changed jobs between two states without comparing all jobs.
#[test]
fn changes_between_two_states_are_found() {
    let mut log = Log::new(9);
    log.submit(&["a", "b", "c"], true);
    let before = log.state.clone();
    log.place("b", "w1");
    let changed = log.state.jobs.table.changed_since(&before.jobs.table);
    assert_eq!(changed, vec!["b".into()]);
}

/// For any sequence of records, the team stays within its limit, the active count matches the jobs,
/// and final states never change.
#[test]
fn any_records_keep_the_limit_the_counts_and_the_ends() {
    pomelohitch_property::check(|steps: &Vec<(u8, u8, u8)>| {
        let mut log = Log::new(LIMIT);
        let mut ends = BTreeMap::new();
        for &(kind, which, detail) in steps {
            let id = format!("j{}", which % 6);
            take_step(&mut log, kind, &id, detail);
            check(&log.state, &mut ends);
        }
    });
}

const LIMIT: u32 = 3;

fn take_step(log: &mut Log, kind: u8, id: &str, detail: u8) {
    let entry = log.state.jobs.get(id);
    let attempt = entry.and_then(|entry| Some(entry.attempt()?.attempt));
    let attempt = attempt.unwrap_or(detail.into());
    let event = EVENTS[usize::from(detail) % EVENTS.len()];
    match kind % 5 {
        0 => log.submit(&[id], detail.is_multiple_of(2)),
        1 => drop(log.place(id, &format!("w{}", detail % 4))),
        2 => log.cancel(id),
        3 => log.preempt(id, attempt),
        _ => log.report(id, attempt, event),
    }
}

fn check(state: &State, ends: &mut BTreeMap<Box<str>, JobState>) {
    let entries = state.jobs.table.iter();
    let active = entries.filter(|(_, entry)| entry.attempt().is_some());
    let active = u32::try_from(active.count()).expect("at most six jobs are submitted");
    assert_eq!(active, state.jobs.active_of("choir"));
    assert!(active <= LIMIT);
    for (id, entry) in state.jobs.table.iter() {
        if let Some(end) = ends.get(id) {
            assert_eq!(*end, entry.state);
        } else if matches!(entry.state, JobState::Ended(_)) {
            ends.insert(id.clone(), entry.state.clone());
        }
    }
}

/// Guards against a second start of a job that isn't idempotent, for example a payment. It may only
/// wait again after `NotStarted` or a checkpoint.
#[test]
fn a_job_that_is_not_idempotent_never_begins_twice() {
    pomelohitch_property::check(|events: &Vec<u8>| {
        let mut log = Log::new(9);
        log.submit(&["j"], false);
        for &which in events {
            let attempt = log.place("j", "w1");
            let event = EVENTS[usize::from(which) % EVENTS.len()];
            log.report("j", attempt, event);
            if !matches!(event, Event::NotStarted | Event::Checkpointed) {
                assert_ne!(log.state_of("j"), "waiting", "{event:?}");
            }
        }
    });
}
