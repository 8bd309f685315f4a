//! Decisions of the planner: placement, preemption, refusal, drains and throttling.

use std::collections::BTreeSet;
use std::time::Duration;

use pomelohitch_core::record::job::{Job, Resources};
use pomelohitch_place::Worker;

use crate::harness::{TestFleet, job, show, urgent, worker};

/// An urgent job is placed before patient jobs that were submitted earlier, and at the other end
/// of the fleet.
#[test]
fn urgent_work_is_placed_before_patient_work() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet.submit(job("p1", "a", 4));
    fleet.submit(job("p2", "a", 4));
    fleet.submit(urgent("u1", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @r"
    place u1 on w01 (4000)
    place p1 on w00 (4000)
    place p2 on w00 (4000)
    ");
}

/// Guards against an urgent job that waits, or loses its place, in a fleet full of patient tasks:
/// the smallest sufficient task is preempted, and its capacity is reserved for the urgent job.
#[test]
fn a_full_fleet_makes_room_for_urgent_work() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    for (id, processors) in [("p1", 8), ("p2", 4), ("p3", 4)] {
        fleet.submit(job(id, "a", processors));
    }
    fleet.decide();
    fleet.submit(urgent("u1", "a", 3));
    insta::assert_snapshot!(show(&fleet.decide()), @"preempt p3");
    fleet.submit(job("p4", "a", 1));
    assert!(fleet.decide().place.is_empty(), "the capacity is reserved");
    fleet.finish_checkpoints();
    let decision = fleet.decide();
    assert_eq!(&*decision.place[0].job, "u1");
}

/// Guards against a team that gets the whole fleet by marking all of its jobs as urgent. It
/// preempts tasks of others up to its fair share, and beyond that only those of teams with a
/// higher weighted share.
#[test]
fn urgent_jobs_beyond_the_fair_share_preempt_no_team_below_its_own() {
    let mut fleet = TestFleet::new(4);
    fleet.team("greedy", 1, 999);
    fleet.team("modest", 1, 999);
    for number in 0..16 {
        fleet.submit(job(&format!("p{number:02}"), "modest", 4));
    }
    fleet.decide();
    for number in 0..16 {
        fleet.submit(urgent(&format!("u{number:02}"), "greedy", 4));
    }
    for _ in 0..20 {
        fleet.decide();
        fleet.finish_checkpoints();
        fleet.advance(Duration::from_secs(2));
    }
    let runs = |prefix: &str| {
        let ids = fleet.entries.keys().filter(|id| id.starts_with(prefix));
        ids.filter(|id| fleet.worker_of(id).is_some()).count()
    };
    assert_eq!((runs("u"), runs("p")), (8, 8));
}

/// Three teams of weights 2, 1 and 1 submit more jobs than the fleet has capacity for.
#[test]
fn a_full_fleet_is_divided_by_shares() {
    let mut fleet = TestFleet::new(8);
    for (team, share) in [("a", 2), ("b", 1), ("c", 1)] {
        fleet.team(team, share, 999);
        for number in 0..200 {
            fleet.submit(job(&format!("{team}{number:03}"), team, 1));
        }
    }
    fleet.decide();
    let has = |team: &str| fleet.planner.used_by(team).cpu_milli / 1000;
    assert_eq!((has("a"), has("b"), has("c")), (64, 32, 32));
}

/// Guards against starvation of a job that needs a whole worker: with a steady arrival of small
/// jobs no worker is ever empty. A reservation gets it one.
#[test]
fn a_large_job_is_not_starved_by_small_ones() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 999);
    let mut number = 0;
    let mut next_small = |fleet: &mut TestFleet| {
        number += 1;
        fleet.submit(job(&format!("s{number:04}"), "a", 4));
    };
    for _ in 0..8 {
        next_small(&mut fleet);
    }
    fleet.decide();
    fleet.submit(job("z-large", "a", 16));
    let mut seconds = 0;
    while fleet.worker_of("z-large").is_none() {
        // Every 30 s a running small job ends; a new one is submitted every second.
        let oldest = fleet
            .entries
            .keys()
            .find(|id| fleet.worker_of(id).is_some());
        if seconds % 30 == 0
            && let Some(oldest) = oldest.cloned()
        {
            fleet.end(&oldest);
        }
        next_small(&mut fleet);
        fleet.decide();
        fleet.finish_checkpoints();
        fleet.advance(Duration::from_secs(1));
        seconds += 1;
        assert!(
            seconds <= 660,
            "not placed within twice the reservation timeout and a minute"
        );
    }
}

/// A job that needs more than any worker has is refused after a minute, since a large worker may
/// only be rebooting. Guards against head-of-line blocking by it in the meantime.
#[test]
fn a_job_that_fits_no_worker_is_refused_and_blocks_no_other_job() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet.submit(job("giant", "a", 64));
    fleet.submit(job("p1", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @"place p1 on w00 (4000)");
    fleet.advance(Duration::from_secs(59));
    assert!(fleet.decide().refuse.is_empty());
    fleet.advance(Duration::from_secs(2));
    insta::assert_snapshot!(show(&fleet.decide()), @"refuse giant");
}

/// Guards against the refusal of a large job whose worker was only absent for less than a minute.
#[test]
fn an_unschedulable_job_is_placed_once_a_large_worker_joins() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet.submit(job("giant", "a", 64));
    fleet.decide();
    let large = Worker {
        capacity: Resources {
            cpu_milli: 64_000,
            memory_mib: 262_144,
            accelerators: 0,
        },
        ..worker(9)
    };
    fleet.planner.set_worker(large, fleet.now);
    insta::assert_snapshot!(show(&fleet.decide()), @"place giant on w09 (64000)");
}

/// A worker that leaves for maintenance gets no new jobs. A task that would not end within the
/// grace period is preempted and placed elsewhere; one that overruns it is preempted at its end.
#[test]
fn a_leaving_worker_is_emptied_in_time() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet.submit(job("long", "a", 4));
    fleet.submit(Job {
        run_time: Duration::from_secs(10),
        class: "short".into(),
        ..job("short", "a", 4)
    });
    fleet.decide();
    let leaving = Worker {
        takes_work: false,
        ..worker(0)
    };
    fleet.planner.set_worker(leaving, fleet.now);
    insta::assert_snapshot!(show(&fleet.decide()), @"preempt long");
    fleet.finish_checkpoints();
    insta::assert_snapshot!(show(&fleet.decide()), @"place long on w01 (4000)");
    fleet.advance(Duration::from_secs(21));
    insta::assert_snapshot!(show(&fleet.decide()), @"preempt short");
}

/// Guards against the loss of most jobs of a group with one rack or zone.
#[test]
fn jobs_of_a_group_are_spread_over_zones_and_racks() {
    let mut fleet = TestFleet::new(32);
    fleet.team("a", 1, 99);
    for number in 0..8 {
        fleet.submit(Job {
            group: Some("kiosk".into()),
            ..job(&format!("k{number}"), "a", 1)
        });
    }
    let decision = fleet.decide();
    let racks: BTreeSet<_> = decision
        .place
        .iter()
        .map(|placement| {
            placement.worker[1..]
                .parse::<usize>()
                .expect("worker ids end in a number")
                / 4
        })
        .collect();
    assert_eq!(racks.len(), 8);
    let first_zones: BTreeSet<_> = decision.place[..4]
        .iter()
        .map(|placement| {
            placement.worker[1..]
                .parse::<usize>()
                .expect("worker ids end in a number")
                / 4
                % 4
        })
        .collect();
    assert_eq!(first_zones.len(), 4);
}

/// A fault can affect a whole rack. Guards against a job that uses up its attempts on one rack.
#[test]
fn a_job_that_failed_goes_to_another_rack() {
    let mut fleet = TestFleet::new(20);
    fleet.team("a", 1, 99);
    fleet.submit(job("j", "a", 1));
    fleet.decide();
    assert_eq!(fleet.worker_of("j"), Some("w00"));
    fleet.update(&"j".into(), |entry| {
        entry.failed_on.push("w00".into());
        entry.state = pomelohitch_core::state::JobState::Waiting;
    });
    fleet.decide();
    let worker = fleet
        .worker_of("j")
        .expect("a free worker exists in another rack");
    assert!(worker >= "w04", "{worker}");
}

/// A worker refuses a start although the accounting has free capacity there. Guards against
/// placing jobs there again and again.
#[test]
fn a_worker_that_refused_a_start_gets_no_job_during_the_backoff() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet
        .planner
        .observe_start_refusal(&"w00".into(), fleet.now);
    fleet.submit(job("p1", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @"place p1 on w01 (4000)");
    fleet.advance(Duration::from_secs(6));
    fleet.submit(job("p2", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @"place p2 on w00 (4000)");
}

/// A task uses more than its allocation on a full worker. It is throttled first, and preempted only
/// if the worker is still over capacity after the grace period.
#[test]
fn a_task_over_its_allocation_is_throttled_before_it_is_preempted() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    fleet.submit(job("p1", "a", 8));
    fleet.submit(job("p2", "a", 8));
    fleet.decide();
    let attempt = fleet.entries["p1"]
        .attempt()
        .expect("p1 was placed")
        .attempt;
    let used = Resources {
        cpu_milli: 12_000,
        memory_mib: 8192,
        accelerators: 0,
    };
    fleet.planner.observe_usage(&"p1".into(), attempt, &used);
    let decision = fleet.decide();
    assert_eq!(decision.throttle.len(), 1);
    assert!(decision.preempt.is_empty());
    fleet.advance(Duration::from_secs(21));
    insta::assert_snapshot!(show(&fleet.decide()), @"preempt p1");
}
