//! Endpoints whose answers list a run only some time after its start was accepted.

use std::time::Duration;

use super::fleet::{Fleet, job, step};
use super::restarts::{lasting, ordinary};

const ID: &str = "00000000000000a1";
const JOB: u64 = 0xa1;
/// Durations of short tasks, whose ends let their endpoint answer polls at once, ms.
const SHORT_TASKS_MS: [u64; 9] = [30, 70, 110, 150, 190, 230, 330, 430, 530];
/// Times from the acceptance of a start to the first answer that lists its run.
const LISTING_DELAYS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(650),
];

/// A fleet of three endpoints that list runs late.
fn fleet(listing_delay: Duration) -> Fleet {
    let mut fleet = Fleet::new(3);
    fleet.advance(50);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.listing_delay = listing_delay;
    }
    fleet
}

/// Lets time pass and checks that the task has had one run.
fn assert_started_once(fleet: &mut Fleet, case: &str) {
    fleet.advance(500);
    let starts = fleet.starts.iter().filter(|(task, ..)| task.job == JOB);
    let starts: Vec<_> = starts.collect();
    assert_eq!(starts.len(), 1, "{case}: {starts:?}");
    fleet.assert_invariants();
}

/// Guards against a second run beside one that its endpoint has accepted but doesn't list yet.
#[test]
fn a_run_that_is_accepted_and_listed_later_is_the_only_one() {
    for step in [ordinary(), lasting()] {
        for delay in LISTING_DELAYS {
            let mut fleet = fleet(delay);
            for (number, duration_ms) in (0xb0..).zip(SHORT_TASKS_MS) {
                let short = job(vec![super::fleet::step(1, 100, duration_ms)]);
                fleet.submit(&format!("{number:016x}"), short);
            }
            fleet.submit(ID, job(vec![step.clone()]));
            let case = format!("{delay:?}, lasting: {}", step.is_lasting);
            assert_started_once(&mut fleet, &case);
        }
    }
}

/// Guards against a second run beside one whose start, unanswered, was carried out shortly before its
/// deadline.
#[test]
fn a_run_that_is_listed_after_the_deadline_of_its_start_is_the_only_one() {
    for delay in LISTING_DELAYS {
        let mut fleet = fleet(delay);
        fleet.faults.orders_late = Duration::from_millis(690);
        fleet.submit(ID, job(vec![lasting()]));
        fleet.advance(20);
        fleet.faults.orders_late = Duration::ZERO;
        assert_started_once(&mut fleet, &format!("{delay:?}"));
    }
}

/// Guards against a second run beside one that the former leader started and that isn't listed yet.
#[test]
fn a_run_that_the_former_leader_started_and_that_is_listed_later_is_the_only_one() {
    for step in [ordinary(), lasting()] {
        for delay in LISTING_DELAYS {
            let mut fleet = fleet(delay);
            fleet.submit(ID, job(vec![step.clone()]));
            while fleet.starts.is_empty() {
                fleet.advance(1);
            }
            fleet.change_leader();
            let case = format!("{delay:?}, lasting: {}", step.is_lasting);
            assert_started_once(&mut fleet, &case);
        }
    }
}

/// Guards against a second run of a task whose run has ended while its end isn't listed yet.
#[test]
fn a_task_whose_end_is_listed_late_does_not_run_again() {
    for delay in LISTING_DELAYS {
        let mut fleet = fleet(delay);
        for (number, duration_ms) in (0xb0..).zip(SHORT_TASKS_MS) {
            let short = job(vec![step(1, 100, 500 + duration_ms)]);
            fleet.submit(&format!("{number:016x}"), short);
        }
        fleet.submit(ID, job(vec![step(1, 500, 500)]));
        assert_started_once(&mut fleet, &format!("{delay:?}"));
    }
}
