//! Detection of faulty workers, as opposed to bad releases of jobs.

use std::time::Duration;

use pomelohitch_place::health::{AttemptEnd, Health};

const FLEET: usize = 50;

fn outcome(health: &mut Health, worker: usize, class: &str, is_good: bool) {
    let end = if is_good {
        AttemptEnd::Succeeded
    } else {
        AttemptEnd::Failed
    };
    health.observe_end(&format!("w{worker:02}").into(), &class.into(), end);
}

/// Guards against a faulty worker that fails every job: jobs there end within a second, so it would
/// receive and fail one after the other.
#[test]
fn a_worker_that_fails_jobs_that_succeed_elsewhere_is_quarantined() {
    let mut health = Health::default();
    for round in 0..4 {
        for worker in 0..FLEET {
            outcome(&mut health, worker, "settle", worker != 7);
        }
        if round < 2 {
            assert!(health.take_suspects(FLEET).is_empty(), "round {round}");
        }
    }
    assert_eq!(health.take_suspects(FLEET), vec!["w07".into()]);
}

/// A bad release of one class fails on every worker. Guards against quarantining workers for it.
#[test]
fn a_bad_release_of_one_class_quarantines_no_worker() {
    let mut health = Health::default();
    for _ in 0..20 {
        for worker in 0..FLEET {
            outcome(&mut health, worker, "broken", false);
            if worker % 5 == 0 {
                outcome(&mut health, worker, "fine", true);
            }
        }
        assert!(health.take_suspects(FLEET).is_empty());
    }
}

/// A worker fails jobs of a class before the class has outcomes elsewhere. It becomes suspect once
/// other workers report successes.
#[test]
fn later_successes_elsewhere_count_against_a_failing_worker() {
    let mut health = Health::default();
    for _ in 0..4 {
        outcome(&mut health, 7, "settle", false);
    }
    assert!(health.take_suspects(FLEET).is_empty());
    for worker in 10..40 {
        outcome(&mut health, worker, "settle", true);
    }
    assert_eq!(health.take_suspects(FLEET), vec!["w07".into()]);
}

/// Guards against quarantining too much of the fleet: if half of it fails at once, the cause is
/// probably a shared one.
#[test]
fn no_more_than_a_tenth_of_the_fleet_is_quarantined() {
    let mut health = Health::default();
    let mut quarantined = 0;
    for _ in 0..20 {
        for worker in 0..FLEET {
            outcome(&mut health, worker, "settle", worker % 2 == 0);
        }
        for worker in health.take_suspects(FLEET) {
            health.quarantine(&worker, Duration::ZERO);
            quarantined += 1;
        }
    }
    assert!(quarantined <= FLEET / 10, "{quarantined}");
}

/// A quarantined worker is probed at intervals that double, until it is released.
#[test]
fn the_interval_between_probes_doubles() {
    let mut health = Health::default();
    let worker = "w07".into();
    health.quarantine(&worker, Duration::ZERO);
    let mut times = Vec::new();
    for minute in 0..120 {
        let now = Duration::from_mins(minute);
        if !health.due_probes(now).is_empty() {
            times.push(minute);
            health.schedule_next_probe(&worker, now);
        }
    }
    assert_eq!(times, vec![5, 15, 35, 75]);
    health.release(&worker);
    assert!(!health.is_quarantined("w07"));
}
