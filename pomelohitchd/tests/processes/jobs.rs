//! Jobs while the platform loses answers and the planner dies, and repeated idempotency keys.

use std::time::Duration;

use pomelohitch_standin::caller;
use pomelohitch_standin::config::TEAMS;
use pomelohitch_standin::jobs::{self, Job, Submission, SubmittedJob};
use pomelohitch_standin::{CallFaults, Daemon, log, workers};
use rustix::process::Signal;

use crate::support::{Fleet, wait_for, wait_until};

fn job(index: usize) -> Job {
    Job {
        idempotency_key: format!("job-{index}").into(),
        key: TEAMS[index % TEAMS.len()].1.into(),
        urgent: index.is_multiple_of(3),
        idempotent: index.is_multiple_of(2),
        declared: Duration::from_millis(100),
        command: if index.is_multiple_of(5) {
            "run=1500".into()
        } else {
            "run=300".into()
        },
    }
}

/// Submits a job at one entry instance after the other until one accepts it.
fn submit_until_accepted(fleet: &Fleet, index: usize) -> SubmittedJob {
    let agent = caller::agent();
    let job = job(index);
    let mut attempts = index..;
    let submission = wait_for("a job is accepted", || {
        let entry = &fleet.entries[attempts.next()? % fleet.entries.len()];
        let submission = jobs::submit(&agent, entry.callers, &job);
        matches!(submission, Submission::Accepted(_)).then_some(submission)
    });
    SubmittedJob {
        job,
        submission,
        last: None,
    }
}

/// Waits until every job has ended, asking `fleet`'s entry instances in turn.
fn wait_ended(fleet: &Fleet, all: &mut [SubmittedJob]) {
    let agent = caller::agent();
    for (index, done) in all.iter_mut().enumerate() {
        let Submission::Accepted(id) = &done.submission else {
            continue;
        };
        let entry = fleet.entries[index % fleet.entries.len()].callers;
        let key = &done.job.key;
        done.last = Some(wait_for("a job ends", || {
            jobs::view(&agent, entry, key, id).filter(|view| &*view.state == "ended")
        }));
    }
}

/// Workers start tasks whose answers are lost, the log has an outage, and the planner dies. A
/// non-idempotent job is started at most once, and every accepted job ends.
#[test]
fn lost_answers_and_a_dead_planner_neither_double_nor_lose_a_job() {
    let mut fleet = Fleet::start(3, 1);
    let planner = fleet.planner();
    let mut all: Vec<SubmittedJob> = (0..10)
        .map(|index| submit_until_accepted(&fleet, index))
        .collect();
    fleet.workers.set_faults(workers::Faults {
        lose_starts: 5,
        ..workers::Faults::default()
    });
    all.extend((10..20).map(|index| submit_until_accepted(&fleet, index)));
    wait_until("answers are lost", || {
        fleet.workers.faults().lose_starts < 5
    });
    fleet.entries[planner].signal(Signal::KILL);
    fleet.entries.remove(planner);
    let calls = CallFaults {
        down: true,
        ..CallFaults::default()
    };
    fleet.log.set_faults(log::Faults { calls, keep: None });
    wait_until("both entry instances failed to read the log", || {
        let metrics = fleet.entries.iter().map(Daemon::metrics);
        let mut metrics = metrics.map(Option::unwrap_or_default);
        metrics.all(|text| text.contains("log_read_errors "))
    });
    fleet.log.set_faults(log::Faults::default());
    all.extend((20..30).map(|index| submit_until_accepted(&fleet, index)));
    wait_ended(&fleet, &mut all);
    let tally = jobs::Tally::count(&all, &fleet.workers.ledger());
    assert!(tally.is_clean(), "{tally:?}");
    assert_eq!(tally.ended + tally.unknown, 30, "{tally:?}");
}

/// A caller that got no answer submits the same job again, at every entry instance at the same
/// moment. All submits return one job, which runs once.
#[test]
fn a_job_handed_in_everywhere_at_once_runs_once() {
    let fleet = Fleet::start(3, 1);
    let job = job(1);
    let ids = std::thread::scope(|scope| {
        let submits: Vec<_> = (0..9)
            .map(|index| {
                let entry = fleet.entries[index % 3].callers;
                let job = &job;
                scope.spawn(move || jobs::submit(&caller::agent(), entry, job))
            })
            .collect();
        let submission = submits
            .into_iter()
            .map(|one| one.join().expect("no thread panics"));
        submission.collect::<Vec<_>>()
    });
    assert!(matches!(ids[0], Submission::Accepted(_)), "{ids:?}");
    assert!(
        ids.iter().all(|submission| *submission == ids[0]),
        "{ids:?}"
    );
    let mut all = [SubmittedJob {
        job,
        submission: ids[0].clone(),
        last: None,
    }];
    wait_ended(&fleet, &mut all);
    let ledger = fleet.workers.ledger();
    let started: Vec<_> = ledger.jobs.values().map(|runs| runs.started).collect();
    assert_eq!(started, [1]);
}
