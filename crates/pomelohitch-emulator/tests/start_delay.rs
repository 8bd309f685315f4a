//! Endpoints that list a run some time after they checked its start.

use std::time::Duration;

use pomelohitch_emulator::fleet::{Fleet, job, step};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

const ID: &str = "00000000000000a1";
/// Longer than a start is valid.
const START_DELAY: Duration = Duration::from_millis(900);

/// A fleet that runs a job of nine such tasks, one of whose endpoints lists runs late.
fn play(task: StepSpec) -> Fleet {
    let mut fleet = Fleet::new(3);
    fleet.endpoint("e0").start_delay = START_DELAY;
    fleet.submit(ID, job(vec![task]));
    fleet.advance(900);
    let is_tried = fleet.starts.iter().any(|(.., at)| &**at == "e0");
    assert!(is_tried, "{:?}", fleet.starts);
    fleet
}

/// Guards against a second run of a task whose first one is listed after its start's deadline.
#[test]
fn a_run_that_is_listed_late_has_no_second_one_beside_it() {
    let mut fleet = play(step(9, 1000, 2_000));
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_invariants();
}

/// Guards against a second run of a lasting task, which isn't stopped while its start may become void.
#[test]
fn a_lasting_run_that_is_listed_late_has_no_second_one_beside_it() {
    let fleet = play(StepSpec {
        is_lasting: true,
        ..step(9, 1000, 100)
    });
    fleet.assert_invariants();
}
