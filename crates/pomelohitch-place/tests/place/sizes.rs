//! Sizes that are declared far off.

use std::time::Duration;

use pomelohitch_core::id::JobId;

use pomelohitch_core::record::job::Resources;
use pomelohitch_core::state::JobState;
use pomelohitch_place::health::AttemptEnd;

use crate::harness::{TestFleet, job};

fn used(memory_mib: u64) -> Resources {
    Resources {
        cpu_milli: 1000,
        memory_mib,
        accelerators: 0,
    }
}

/// Runs one job of the class to its end, using this much memory.
fn run_one(fleet: &mut TestFleet, number: usize, memory_mib: u64) {
    let id: JobId = format!("j{number}").into();
    fleet.submit(job(&id, "a", 8));
    fleet.decide();
    let attempt = fleet.entries[&id].attempt().expect("there is room").attempt;
    fleet.planner.used(&id, attempt, &used(memory_mib));
    fleet.advance(Duration::from_secs(10));
    let (end, now) = (AttemptEnd::Succeeded, fleet.now);
    fleet.planner.ended(&id, attempt, end, now);
    fleet.end(&id);
}

fn need_of_next(fleet: &mut TestFleet) -> Resources {
    fleet.submit(job("next", "a", 8));
    let entry = fleet.entries["next"].clone();
    let need = fleet.planner.need(&entry);
    fleet.end(&"next".into());
    need
}

/// Jobs that declare eight processors use one. After a few, one is set aside.
#[test]
fn what_is_declared_too_large_is_learned() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    for number in 0..4 {
        run_one(&mut fleet, number, 512);
    }
    assert_eq!(need_of_next(&mut fleet).cpu_milli, 8000);
    run_one(&mut fleet, 4, 512);
    let need = need_of_next(&mut fleet);
    assert_eq!(need.cpu_milli, 1000);
    assert!(need.memory_mib >= 512 && need.memory_mib < 640);
}

/// One of the class needed much more than the others. Less than that is never set aside again,
/// because it would be killed for it.
#[test]
fn no_less_is_set_aside_than_was_seen() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    run_one(&mut fleet, 0, 9000);
    for number in 1..30 {
        run_one(&mut fleet, number, 512);
    }
    assert!(need_of_next(&mut fleet).memory_mib >= 9000);
}

/// A job was killed for its memory: it gets half as much again, and its class what the kill
/// showed to be too little, with a margin.
#[test]
fn a_kill_raises_the_job_and_its_class() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    fleet.submit(job("j", "a", 8));
    fleet.decide();
    fleet.planner.memory_killed(&"j".into(), 10_000);
    fleet.update(&"j".into(), |entry| {
        entry.memory_floor_mib = 15_001;
        entry.state = JobState::Waiting;
    });
    let entry = fleet.entries["j"].clone();
    assert_eq!(fleet.planner.need(&entry).memory_mib, 15_001);
    assert!(need_of_next(&mut fleet).memory_mib > 10_000);
}

/// A job was killed at 50 GiB. Half as much again is more than any worker has, but the largest
/// one has more than 50 GiB: refusing the job would be wrong.
#[test]
fn a_raised_job_gets_the_largest_worker_before_it_is_refused() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    fleet.decide();
    fleet.submit(job("j", "a", 8));
    fleet.update(&"j".into(), |entry| entry.memory_floor_mib = 51_200 / 2 * 3);
    let entry = fleet.entries["j"].clone();
    assert_eq!(fleet.planner.need(&entry).memory_mib, 65_536);
    fleet.decide();
    assert_eq!(fleet.worker_of("j"), Some("w00"));
}
