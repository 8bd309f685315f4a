//! Changes of leader.

use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const ID: &str = "00000000000000a1";

#[test]
fn a_new_leader_goes_on_with_what_runs() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(4, 1000, 1_000)]));
    fleet.pass(30);
    fleet.change_leader();
    fleet.pass(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 4);
    fleet.assert_sound();
}

/// A leader ends between writing a start and ordering it. The next one knows the start from the
/// record, looks, finds nothing and starts the task; without the look it would wait for ever.
#[test]
fn a_recorded_start_that_was_never_ordered_is_made_good() {
    let mut fleet = Fleet::new(2);
    fleet.endpoint("e0").is_silent = true;
    fleet.endpoint("e1").is_silent = true;
    fleet.submit(ID, job(vec![step(2, 1000, 200)]));
    fleet.pass(30);
    fleet.change_leader();
    fleet.endpoint("e0").is_silent = false;
    fleet.endpoint("e1").is_silent = false;
    fleet.pass(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_sound();
}

/// The leader changes while an endpoint is silent that runs a task. The new leader never read the
/// endpoint's clock, so that it has to wait out the longest lease that may be in force.
#[test]
fn a_new_leader_waits_for_leases_that_it_does_not_know() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(1, 500, 30_000)]));
    fleet.pass(20);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).is_silent = true;
    fleet.change_leader();
    fleet.pass(900);
    assert_eq!(fleet.starts.len(), 1);
    fleet.pass(300);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_sound();
}

/// Everything is accepted and durable, then all entry instances lose power before anything runs.
#[test]
fn an_accepted_job_outlives_every_leader() {
    let mut fleet = Fleet::new(2);
    let call = fleet.submit(ID, job(vec![step(3, 1000, 100)]));
    fleet.pass(2);
    assert_eq!(fleet.replies.get(&call), Some(&Answer::Accepted));
    fleet.change_leader();
    fleet.change_leader();
    fleet.pass(200);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_sound();
}
