//! Renewal and expiry of leases.

use std::time::Duration;

use pomelohitch_core::state::jobs::{Outcome, Ran, Reason};
use pomelohitch_standin::CallFaults;
use pomelohitch_standin::workers::Faults;

use crate::support::{Entry, Platform, job, wait_until};

const LEASE: Duration = Duration::from_millis(900);

/// A job runs for longer than several leases. Each lease is renewed in time, and the job is not
/// stopped.
#[test]
fn a_job_longer_than_its_lease_runs_to_its_end() {
    let platform = Platform::start(4);
    let entry = platform.planner_with_leases(LEASE);
    let id = entry.submit(&job("settle", false, "run=3000"));
    assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
    assert_eq!(platform.ledger().jobs[&id].started, 1);
}

/// The holder of the leases can't reach the workers for longer than a lease, as if it had been
/// paused, and the workers stop its tasks. An idempotent job runs again; any other ends, and its
/// end says that it ran in part.
#[test]
fn only_idempotent_jobs_rerun_after_an_expired_lease() {
    let platform = Platform::start(4);
    let entry = platform.planner_with_leases(LEASE);
    let again = entry.submit(&job("print", true, "run=2500"));
    let once = entry.submit(&job("settle", false, "run=2500"));
    entry.wait_for(&again, "running");
    entry.wait_for(&once, "running");
    disconnect_until_leases_expire(&platform, &entry);
    let end = entry.end_of(&once);
    let expected = (Outcome::Unknown, Reason::LeaseExpired, Ran::InPart);
    assert_eq!((end.outcome, end.reason, end.ran), expected);
    assert_eq!(platform.ledger().jobs[&once].started, 1);
    assert_eq!(entry.end_of(&again).outcome, Outcome::Succeeded);
    let runs = &platform.ledger().jobs[&again];
    assert_eq!((runs.started, runs.most_at_once), (2, 1));
}

/// Makes the workers unreachable until every lease has expired.
fn disconnect_until_leases_expire(platform: &Platform, entry: &Entry) {
    platform.workers.set_faults(Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        ..Faults::default()
    });
    let began = std::time::Instant::now();
    wait_until("every lease has expired", || began.elapsed() > 2 * LEASE);
    assert_eq!(entry.node.state.load().jobs.active_of("choir"), 2);
    platform.workers.set_faults(Faults::default());
}
