//! Needs of jobs whose declared resources are far off.

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

/// Runs one job of the class to its end with this memory use.
fn run_one(fleet: &mut TestFleet, number: usize, memory_mib: u64) {
    let id: JobId = format!("j{number}").into();
    fleet.submit(job(&id, "a", 8));
    fleet.decide();
    let attempt = fleet.entries[&id]
        .attempt()
        .expect("the job was placed")
        .attempt;
    fleet.planner.observe_usage(&id, attempt, &used(memory_mib));
    fleet.advance(Duration::from_secs(10));
    let (end, now) = (AttemptEnd::Succeeded, fleet.now);
    fleet.planner.observe_end(&id, attempt, end, now);
    fleet.end(&id);
}

fn need_of_next(fleet: &mut TestFleet) -> Resources {
    fleet.submit(job("next", "a", 8));
    let entry = fleet.entries["next"].clone();
    let need = fleet.planner.need(&entry);
    fleet.end(&"next".into());
    need
}

/// Jobs declare eight processors and use one. After five of them, one processor is reserved.
#[test]
fn over_declared_needs_are_learned_from_usage() {
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

/// Guards against memory kills of jobs that need as much as the largest one of their class did.
#[test]
fn the_memory_need_never_falls_below_the_observed_peak() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    run_one(&mut fleet, 0, 9000);
    for number in 1..30 {
        run_one(&mut fleet, number, 512);
    }
    assert!(need_of_next(&mut fleet).memory_mib >= 9000);
}

/// After a memory kill, the job's need rises to its memory floor, 1.5 times the memory at the kill.
/// The need of its class rises to the memory at the kill and a margin.
#[test]
fn a_memory_kill_raises_the_need_of_the_job_and_its_class() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    fleet.submit(job("j", "a", 8));
    fleet.decide();
    fleet.planner.observe_memory_kill(&"j".into(), 10_000);
    fleet.update(&"j".into(), |entry| {
        entry.memory_floor_mib = 15_001;
        entry.state = JobState::Waiting;
    });
    let entry = fleet.entries["j"].clone();
    assert_eq!(fleet.planner.need(&entry).memory_mib, 15_001);
    assert!(need_of_next(&mut fleet).memory_mib > 10_000);
}

/// Guards against the refusal of a job killed at 50 GiB: 1.5 times that is more than any worker
/// has, but the largest one has more than 50 GiB.
#[test]
fn a_raised_memory_floor_is_capped_at_the_largest_worker() {
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
