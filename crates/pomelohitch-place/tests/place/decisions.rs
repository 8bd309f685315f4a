//! Who goes where, and who makes room.

use std::collections::BTreeSet;
use std::time::Duration;

use pomelohitch_core::record::job::{Job, Resources};
use pomelohitch_place::Worker;

use crate::harness::{TestFleet, job, show, urgent, worker};

/// Urgent work goes first, whatever came before it, and away from where patient work gathers.
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

/// The fleet is full of patient work when a family waits at the turnstile. The smallest task that
/// makes enough room is checkpointed, and the room is kept for the urgent job.
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
    assert!(fleet.decide().place.is_empty(), "the room is promised");
    fleet.finish_checkpoints();
    let decision = fleet.decide();
    assert_eq!(&*decision.place[0].job, "u1");
}

/// One team calls all of its work urgent. It gets room from others up to its share, and beyond
/// that only from whoever has more than it has.
#[test]
fn urgent_work_beyond_its_share_takes_nothing_from_others() {
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

/// Three teams of weights 2, 1 and 1 ask for more than there is.
#[test]
fn shares_decide_when_everything_is_full() {
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

/// Small jobs come all the time, and a job that needs a whole worker never finds one empty. After
/// the stated patience it has one.
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
        // The oldest small job ends, and another one comes.
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
        assert!(seconds <= 660, "twice the patience and a minute are over");
    }
}

/// A job asks for more than any worker has. It waits a minute, since a large worker may only be
/// away, and is then refused; meanwhile it blocks nobody.
#[test]
fn a_job_that_fits_no_worker_is_refused_and_blocks_nobody() {
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

/// A large worker comes back within the minute.
#[test]
fn a_job_set_aside_runs_when_a_large_worker_comes() {
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

/// A worker is drained for maintenance: it gets nothing new, and what would run too long is
/// checkpointed and goes elsewhere.
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

/// A service of several jobs loses few of them with a rack, and few with a zone.
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

/// A job failed on a worker; its neighbours in the rack may share the fault.
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
    let worker = fleet.worker_of("j").expect("there is room");
    assert!(worker >= "w04", "{worker}");
}

/// A planner and its log disagree about one worker: it refuses starts. It is left alone for a
/// while instead of being asked again and again.
#[test]
fn a_worker_that_refuses_starts_is_left_alone_for_a_while() {
    let mut fleet = TestFleet::new(2);
    fleet.team("a", 1, 99);
    fleet.planner.shun(&"w00".into(), fleet.now);
    fleet.submit(job("p1", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @"place p1 on w01 (4000)");
    fleet.advance(Duration::from_secs(6));
    fleet.submit(job("p2", "a", 4));
    insta::assert_snapshot!(show(&fleet.decide()), @"place p2 on w00 (4000)");
}

/// A task uses more than was set aside and its worker is full: it is slowed down first, and
/// checkpointed only if that doesn't help.
#[test]
fn a_task_that_uses_too_much_is_throttled_before_it_is_stopped() {
    let mut fleet = TestFleet::new(1);
    fleet.team("a", 1, 99);
    fleet.submit(job("p1", "a", 8));
    fleet.submit(job("p2", "a", 8));
    fleet.decide();
    let attempt = fleet.entries["p1"].attempt().expect("it runs").attempt;
    let used = Resources {
        cpu_milli: 12_000,
        memory_mib: 8192,
        accelerators: 0,
    };
    fleet.planner.used(&"p1".into(), attempt, &used);
    let decision = fleet.decide();
    assert_eq!(decision.throttle.len(), 1);
    assert!(decision.preempt.is_empty());
    fleet.advance(Duration::from_secs(21));
    insta::assert_snapshot!(show(&fleet.decide()), @"preempt p1");
}
