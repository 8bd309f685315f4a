//! Jobs from their submit to their end.

use std::sync::Barrier;

use pomelohitch_core::state::jobs::{Outcome, Ran, Reason};

use pomelohitchd::jobs_api;

use crate::support::{Platform, job, wait_until};

/// A job is submitted, placed and run, and the API returns its end.
#[test]
fn a_job_goes_from_submit_to_its_end() {
    let platform = Platform::start(4);
    let entry = platform.planner(10);
    let id = entry.submit(&job("settle", false, "run=50"));
    let end = entry.end_of(&id);
    assert_eq!(end.outcome, Outcome::Succeeded);
    assert_eq!(end.ran, Ran::ToItsEnd);
    assert_eq!(platform.ledger().jobs[&id].succeeded, 1);
}

/// The answer to a submit is lost, and the caller repeats it at another entry instance. Two jobs
/// would pay a settlement twice.
#[test]
fn the_same_key_at_two_entry_instances_is_one_job() {
    let platform = Platform::start(4);
    let first = platform.planner(10);
    let second = platform.entry("entry-2");
    let body = job("settle", false, "run=50");
    let a = first.call("POST", "/v1/jobs", Some("night-1"), &body);
    let b = second.call("POST", "/v1/jobs", Some("night-1"), &body);
    assert_eq!(a.status, 201);
    assert!(b.status == 200 || b.status == 201);
    assert_eq!(a.view().id, b.view().id);
    first.end_of(&a.view().id);
    assert_eq!(platform.ledger().jobs[&a.view().id].started, 1);

    let other = job("another", false, "run=50");
    let conflict = first.call("POST", "/v1/jobs", Some("night-1"), &other);
    assert_eq!(conflict.status, 422);
    assert!(conflict.body.contains(r#""ran":"no""#));
}

/// Submits that arrive at the same time share appends. With an append for each, a burst would use
/// up the few hundred appends per second that the log accepts.
#[test]
fn concurrent_submits_share_appends() {
    const CALLERS: usize = 48;
    let platform = Platform::start(16);
    let entry = platform.planner(1000);
    let slow = pomelohitch_standin::CallFaults {
        delay: std::time::Duration::from_millis(100),
        ..Default::default()
    };
    platform.log.set_faults(pomelohitch_standin::log::Faults {
        calls: slow,
        keep: None,
    });
    let before = platform.log.ledger().appends;
    let barrier = Barrier::new(CALLERS);
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                barrier.wait();
                entry.submit(&job("settle", true, "run=10"))
            });
        }
    });
    let appends = platform.log.ledger().appends - before;
    assert!(appends < CALLERS as u64 / 2, "{appends} appends");
}

/// A job that fits on no worker does not hold up others. The planner refuses it only after a grace
/// of one minute; the planner's own tests cover that with a virtual clock.
#[test]
fn a_job_that_fits_no_worker_does_not_block_others() {
    let platform = Platform::start(4);
    let entry = platform.planner(10);
    let giant = serde_json::json!({
        "class": "giant", "cpu_milli": 64_000, "memory_mib": 512, "run_ms": 100, "command": "x",
    });
    let giant = entry.submit(&giant.to_string());
    let id = entry.submit(&job("settle", true, "run=50"));
    assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
    assert_eq!(&*entry.show(&giant).state, "waiting");
}

/// A class declares too little memory. Its job is killed and runs again with more, and the next job
/// of the class gets enough at once.
#[test]
fn memory_is_raised_after_a_kill() {
    let platform = Platform::start(4);
    let entry = platform.planner(10);
    let id = entry.submit(&job("print", true, "run=50 memory=2000"));
    let end = entry.end_of(&id);
    assert_eq!(
        (end.outcome, end.reason),
        (Outcome::Succeeded, Reason::Ended)
    );
    assert_eq!(platform.ledger().jobs[&id].started, 2);
    let next = entry.submit(&job("print", true, "run=50 memory=2000"));
    entry.end_of(&next);
    assert_eq!(platform.ledger().jobs[&next].started, 1);
}

/// The limit of a team holds, however many jobs wait and however much capacity is free.
#[test]
fn no_team_has_more_running_than_its_limit() {
    let platform = Platform::start(4);
    let entry = platform.planner(2);
    let ids: Vec<_> = (0..8)
        .map(|_| entry.submit(&job("settle", true, "run=100")))
        .collect();
    let max_running = std::cell::Cell::new(0);
    wait_until("all ended", || {
        let states = ids.iter().map(|id| entry.show(id).state);
        let running = states.filter(|state| &**state == "running").count();
        max_running.set(max_running.get().max(running));
        ids.iter().all(|id| entry.show(id).end.is_some())
    });
    assert!(max_running.get() <= 2);
    assert!(entry.node.state.load().jobs.active.is_empty());
}

/// Every entry instance keeps every job in memory. A faulty script that submits without end is
/// refused with `ran: no` before memory runs out.
#[test]
fn submits_are_refused_when_too_many_jobs_are_stored() {
    let platform = Platform::start(1);
    let entry = platform.entry("entry-1");
    entry.publish(10);
    entry.fill(jobs_api::MAX_KEPT_JOBS - 1);
    entry.submit(&job("settle", true, ""));
    let answer = entry.call("POST", "/v1/jobs", None, &job("settle", true, ""));
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains(r#""ran":"no""#));
}
