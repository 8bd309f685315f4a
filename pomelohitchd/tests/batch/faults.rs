//! The platform loses answers, fails, and is down.

use std::collections::BTreeSet;

use pomelohitch_core::state::jobs::Outcome;
use pomelohitch_standin::workers::Faults;
use pomelohitch_standin::{CallFaults, log};

use crate::support::{Platform, job, wait_until};

/// The platform starts tasks, and the answers are lost. If they were started again under another
/// attempt, a settlement would be paid twice.
#[test]
fn a_start_whose_answer_is_lost_happens_once() {
    let platform = Platform::start(4);
    let entry = platform.planner(100);
    platform.workers.set_faults(Faults {
        lose_starts: 10,
        ..Faults::default()
    });
    let ids: Vec<_> = (0..10)
        .map(|_| entry.submit(&job("settle", false, "run=50")))
        .collect();
    for id in ids {
        assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
        assert_eq!(platform.ledger().jobs[&id].started, 1);
    }
}

/// One worker fails every task. Idempotent jobs run again on other workers, and this one is
/// quarantined.
#[test]
fn jobs_that_fail_on_a_bad_worker_end_well_elsewhere() {
    let platform = Platform::start(20);
    let entry = platform.planner(100);
    let bad: BTreeSet<_> = [Box::from("worker-0")].into();
    platform.workers.set_faults(Faults {
        failing: bad,
        ..Faults::default()
    });
    let ids: Vec<_> = (0..40)
        .map(|_| entry.submit(&job("settle", true, "run=50")))
        .collect();
    for id in &ids {
        assert_eq!(entry.end_of(id).outcome, Outcome::Succeeded);
    }
    let quarantined = || entry.node.state.load().jobs.quarantined.clone();
    wait_until("a worker is quarantined", || !quarantined().is_empty());
    assert!(quarantined().keys().eq(["worker-0".into()].iter()));
}

/// During an outage of the log, submits are refused and running jobs go on; their ends are recorded
/// once the log is back.
#[test]
fn an_outage_of_the_log_loses_and_doubles_nothing() {
    let platform = Platform::start(4);
    let entry = platform.planner(100);
    let id = entry.submit(&job("settle", false, "run=300"));
    entry.wait_for(&id, "running");
    platform.log.set_faults(log::Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        keep: None,
    });
    let refused = entry.call("POST", "/v1/jobs", None, &job("settle", false, ""));
    assert!(refused.status == 503 || refused.status == 504);
    let body = refused.body;
    assert!(body.contains(r#""ran":"no""#) || body.contains(r#""ran":"unknown""#));
    wait_until("the job ended at its worker", || {
        platform.ledger().jobs[&id].succeeded == 1
    });
    assert_eq!(&*entry.show(&id).state, "running");
    platform.log.set_faults(log::Faults::default());
    assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
    assert_eq!(platform.ledger().jobs[&id].started, 1);
}

/// A submit was appended but not confirmed in time, and the log refuses the caller's repeat with the
/// same key. Guards against telling the caller that the job doesn't run, after which it would submit
/// the job under another key.
#[test]
fn a_repeat_that_the_log_refuses_does_not_deny_the_job_of_the_first_attempt() {
    let platform = Platform::start(4);
    let entry = platform.planner(100);
    let behind = platform.entry_behind("entry-2");
    let body = job("settle", false, "run=50");
    let first = behind.call("POST", "/v1/jobs", Some("night-1"), &body);
    assert_eq!(first.status, 504, "{}", first.body);
    platform.log.set_faults(log::Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        keep: None,
    });
    let repeat = behind.call("POST", "/v1/jobs", Some("night-1"), &body);
    platform.log.set_faults(log::Faults::default());
    wait_until("the job ran", || {
        platform
            .ledger()
            .jobs
            .values()
            .any(|runs| runs.succeeded == 1)
    });
    drop(entry);
    assert!(
        !repeat.body.contains(r#""ran":"no""#),
        "{} {}",
        repeat.status,
        repeat.body
    );
}

/// The workers are unreachable for some seconds while a job is placed. It starts once they are
/// back, and only once.
#[test]
fn jobs_placed_while_the_workers_cannot_be_reached_start_later() {
    let platform = Platform::start(4);
    let entry = platform.planner(100);
    entry.end_of(&entry.submit(&job("settle", true, "run=10")));
    let down = CallFaults {
        down: true,
        ..CallFaults::default()
    };
    platform.workers.set_faults(Faults {
        calls: down,
        ..Faults::default()
    });
    let id = entry.submit(&job("settle", false, "run=50"));
    entry.wait_for(&id, "placed");
    platform.workers.set_faults(Faults::default());
    assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
    assert_eq!(platform.ledger().jobs[&id].started, 1);
}
