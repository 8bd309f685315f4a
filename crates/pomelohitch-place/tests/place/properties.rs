//! Invariants of the planner under random sequences of events.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::JobId;
use pomelohitch_core::record::job::Resources;
use pomelohitch_core::state::JobState;
use pomelohitch_place::{Decision, Worker};

use crate::harness::{TestFleet, job, urgent, worker};

const WORKERS: usize = 6;
const LIMIT: u32 = 7;

/// A random event: its kind, a number that selects the job or worker, and a size.
type Step = (u8, u8, u8);

fn apply(fleet: &mut TestFleet, (kind, which, size): Step) -> Decision {
    let team = ["a", "b", "c"][usize::from(which) % 3];
    let id: JobId = format!("j{}", fleet.entries.len() + usize::from(which) * 1000).into();
    let processors = u64::from(size % 16) + 1;
    let running = |fleet: &TestFleet| {
        let ids = fleet
            .entries
            .keys()
            .filter(|id| fleet.worker_of(id).is_some());
        let ids: Vec<JobId> = ids.cloned().collect();
        ids.get(usize::from(which) % ids.len().max(1)).cloned()
    };
    match kind % 8 {
        0..=2 if !fleet.entries.contains_key(&id) => fleet.submit(job(&id, team, processors)),
        3 if !fleet.entries.contains_key(&id) => fleet.submit(urgent(&id, team, processors)),
        4 => {
            if let Some(id) = running(fleet) {
                fleet.end(&id);
            }
        }
        5 => {
            if let Some(id) = running(fleet) {
                fleet.update(&id, |entry| {
                    entry.failed_on.push(format!("w0{}", which % 6).into());
                    entry.state = JobState::Waiting;
                });
            }
        }
        6 => {
            let worker = Worker {
                takes_work: size % 2 == 0,
                ..worker(usize::from(which) % WORKERS)
            };
            fleet.planner.set_worker(worker, fleet.now);
        }
        _ => fleet.finish_checkpoints(),
    }
    fleet.advance(Duration::from_secs(u64::from(size)));
    fleet.decide()
}

fn new_fleet() -> TestFleet {
    let mut fleet = TestFleet::new(WORKERS);
    for (team, share) in [("a", 1), ("b", 2), ("c", 5)] {
        fleet.team(team, share, LIMIT);
    }
    fleet
}

/// The planner never allocates more than a worker's capacity or exceeds a team's limit, and its
/// accounting matches the entries. The same inputs give the same decisions on every entry
/// instance.
#[test]
fn capacity_and_limits_hold_and_decisions_are_repeatable() {
    pomelohitch_property::check(|steps: &Vec<Step>| {
        let (mut first, mut second) = (new_fleet(), new_fleet());
        for step in steps {
            let decision = apply(&mut first, *step);
            assert_eq!(decision, apply(&mut second, *step));
            check(&first);
        }
    });
}

fn check(fleet: &TestFleet) {
    let mut allocated: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut active: BTreeMap<&str, u32> = BTreeMap::new();
    for entry in fleet.entries.values() {
        let Some(attempt) = entry.attempt() else {
            continue;
        };
        let sum = allocated.entry(&attempt.worker).or_default();
        *sum = sum.plus(&attempt.reserve);
        *active.entry(&entry.job.team).or_default() += 1;
    }
    for (worker, allocated) in allocated {
        let (reported, capacity) = fleet
            .planner
            .load_of(worker)
            .expect("allocated workers are known");
        assert!(capacity.covers(&allocated), "{worker}: {allocated:?}");
        assert_eq!(reported, allocated, "{worker}");
    }
    assert!(active.values().all(|&active| active <= LIMIT));
}
