//! The planner changes while jobs run and start.

use pomelohitch_core::state::jobs::Outcome;
use pomelohitch_standin::CallFaults;
use pomelohitch_standin::workers::Faults;

use crate::support::{Platform, job};

/// The planner is replaced while jobs run. The new one takes over their attempts: none is lost, and
/// none runs twice.
#[test]
fn a_new_planner_takes_over_running_jobs() {
    let platform = Platform::start(4);
    let first = platform.planner(100);
    let second = platform.entry("entry-2");
    let ids: Vec<_> = (0..10)
        .map(|_| first.submit(&job("settle", false, "run=400")))
        .collect();
    first.wait_for(&ids[0], "running");
    second.take_term();
    for id in ids {
        assert_eq!(second.end_of(&id).outcome, Outcome::Succeeded);
        assert_eq!(platform.ledger().jobs[&id].started, 1);
    }
}

/// The planner is replaced after a placement was recorded and before the job was started. Its
/// successor starts the job under the same attempt, so that a late start by the first planner has
/// no effect.
#[test]
fn a_new_planner_starts_jobs_that_were_placed() {
    let platform = Platform::start(4);
    let first = platform.planner(100);
    let second = platform.entry("entry-2");
    first.end_of(&first.submit(&job("settle", true, "run=10")));
    platform.workers.set_faults(Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        ..Faults::default()
    });
    let id = first.submit(&job("settle", false, "run=50"));
    first.wait_for(&id, "placed");
    second.take_term();
    platform.workers.set_faults(Faults::default());
    assert_eq!(second.end_of(&id).outcome, Outcome::Succeeded);
    assert_eq!(platform.ledger().jobs[&id].started, 1);
}
