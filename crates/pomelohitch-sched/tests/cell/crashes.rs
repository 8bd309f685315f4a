//! Tasks that crash the endpoints that start them.

use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const GUILTY: u64 = 0xa1;

fn id(job: u64) -> String {
    format!("{job:016x}")
}

/// Guards against starting a task without end that crashes each endpoint that starts it.
#[test]
fn a_task_that_crashes_its_endpoints_is_given_up() {
    let mut fleet = Fleet::new(6);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.pass(20);
    fleet.submit(&id(GUILTY), job(vec![step(3, 500, 600)]));
    fleet.pass(3_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::State(JobState::Failed));
}
