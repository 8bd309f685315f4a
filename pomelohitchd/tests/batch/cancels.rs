//! Cancelling one job, and many at once.

use pomelohitch_core::state::jobs::{Outcome, Ran};

use crate::support::{Platform, job, wait_until};

/// A running job that is cancelled ends only after its task has been stopped.
#[test]
fn a_running_job_is_stopped() {
    let platform = Platform::start(4);
    let entry = platform.planner(10);
    let id = entry.submit(&job("settle", false, "run=60000"));
    entry.wait_for(&id, "running");
    entry.cancel(&id);
    let end = entry.end_of(&id);
    assert_eq!((end.outcome, end.ran), (Outcome::Cancelled, Ran::InPart));
}

/// Hundreds of jobs are cancelled at once, some of them running. Every task is stopped, and a job
/// that never started ends with `ran: no`.
#[test]
fn a_wave_of_cancels_ends_everything_once() {
    let platform = Platform::start(4);
    let entry = platform.planner(1000);
    let ids: Vec<_> = (0..200)
        .map(|_| entry.submit(&job("settle", false, "run=60000")))
        .collect();
    wait_until("some run", || {
        ids.iter().any(|id| &*entry.show(id).state == "running")
    });
    std::thread::scope(|scope| {
        for chunk in ids.chunks(50) {
            let entry = entry.clone();
            scope.spawn(move || chunk.iter().for_each(|id| drop(entry.cancel(id))));
        }
    });
    for id in &ids {
        let end = entry.end_of(id);
        assert_eq!(end.outcome, Outcome::Cancelled);
        let began = platform.ledger().jobs.contains_key(id);
        let expected = if began { Ran::InPart } else { Ran::No };
        assert_eq!(end.ran, expected, "{id}");
    }
    assert!(entry.node.state.load().jobs.active.is_empty());
}
