//! Tests of the refusal of jobs that can't be of use any more.

use std::time::Duration;

use pomelohitch_sched::admission::{Backlog, Request, Room, refuse};
use pomelohitch_sched::urgency::{Candidate, Capacity};

const NOW: u64 = 1_000_000;

/// Ten cores, and nothing that can be got from elsewhere.
const FULL_POOL: Room = Room {
    capacity: Capacity {
        cpu: 10_000.0,
        running_work: 5_000_000.0,
        arriving: 0.0,
    },
    obtainable: 0.0,
};

/// A waiting job of a workspace, of two core seconds and a path of one second. It was accepted
/// `waited_ms` ago.
fn waiting(owner: u32, waited_ms: u64) -> Candidate {
    Candidate {
        job: 1,
        from_ms: NOW - waited_ms,
        critical_path: Duration::from_secs(1),
        remaining_critical_path: Duration::from_secs(1),
        deviation: Duration::from_millis(400),
        is_learned: false,
        steps_left: 1,
        work_left: 2_000_000.0,
        has_begun: false,
        is_lasting: false,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        priority: 0,
        owner,
        weight: 1,
    }
}

/// A job like the waiting ones.
fn request(owner: u32) -> Request {
    Request {
        job: 7,
        owner,
        weight: 1,
        priority: 0,
        critical_path: Duration::from_millis(1080),
        deviation: Duration::from_millis(400),
        stretch: 1.6,
        slack: Duration::from_millis(600),
    }
}

fn backlog(room: Room, jobs: impl IntoIterator<Item = Candidate>) -> Backlog {
    let mut backlog = Backlog::new(room);
    for job in jobs {
        backlog.add(&job, NOW);
    }
    backlog
}

/// The work of `seconds` at seven times what the pool can do, accepted evenly over this time.
fn pressing(owner: u32, seconds: u64) -> impl Iterator<Item = Candidate> {
    (0..seconds * 35).map(move |index| waiting(owner, index * 1000 / 35))
}

/// Load: a workspace sends seven times its usual into a full pool. Soon its jobs would end beyond
/// three times their objective; those of another workspace have the room of their share.
#[test]
fn a_pressing_workspace_is_refused_and_the_others_are_not() {
    let others = [waiting(1, 0), waiting(2, 300)];
    let jobs = pressing(0, 3).chain(others);
    let backlog = backlog(FULL_POOL, jobs);
    let refused = refuse(&request(0), &backlog).expect("its jobs wait for 20 s");
    assert!(refused.wait > refused.latest_start);
    for owner in [1, 2, 3] {
        assert_eq!(refuse(&request(owner), &backlog), None);
    }
}

/// Load: the same, with weights. What is a workspace's share is in proportion to its weight.
#[test]
fn a_heavier_workspace_is_refused_later() {
    let with_weight = |owner, weight| {
        let jobs = (0..28).map(move |_| waiting(owner, 0));
        jobs.map(move |job| Candidate { weight, ..job })
    };
    let jobs = with_weight(0, 1).chain(with_weight(1, 9));
    let backlog = backlog(FULL_POOL, jobs);
    let heavy = Request {
        weight: 9,
        ..request(1)
    };
    assert!(refuse(&request(0), &backlog).is_some());
    assert_eq!(refuse(&heavy, &backlog), None);
}

/// What is late but of use is accepted: the work before the job takes two seconds more than it can
/// wait to be in time.
#[test]
fn a_job_that_will_be_late_is_accepted() {
    let jobs = (0..15).map(|_| waiting(0, 0));
    assert_eq!(refuse(&request(0), &backlog(FULL_POOL, jobs)), None);
}

/// Guards against refusing a job for work that doesn't delay it: jobs that are late already are
/// ranked behind those that can be in time.
#[test]
fn late_jobs_are_not_before_a_new_one() {
    let late = (0..500).map(|_| waiting(0, 3_000));
    assert_eq!(refuse(&request(0), &backlog(FULL_POOL, late)), None);
}

/// Guards against refusing jobs while the pool grows.
#[test]
fn room_that_the_pool_can_get_counts() {
    let with_spare = Room {
        obtainable: 60_000.0,
        ..FULL_POOL
    };
    let with_arriving = Room {
        capacity: Capacity {
            arriving: 60_000.0,
            ..FULL_POOL.capacity
        },
        ..FULL_POOL
    };
    assert!(refuse(&request(0), &backlog(FULL_POOL, pressing(0, 3))).is_some());
    for room in [with_spare, with_arriving] {
        assert_eq!(refuse(&request(0), &backlog(room, pressing(0, 3))), None);
    }
}

/// Guards against refusing, or a leader that panics, when a pool has lost all its endpoints.
#[test]
fn without_any_room_nothing_is_refused() {
    let none = Room::default();
    assert_eq!(refuse(&request(0), &backlog(none, pressing(0, 3))), None);
    assert_eq!(refuse(&request(0), &backlog(none, [])), None);
    let elsewhere = Room {
        obtainable: 10_000.0,
        ..none
    };
    assert_eq!(refuse(&request(0), &backlog(elsewhere, [])), None);
    let refusal = refuse(&request(0), &backlog(elsewhere, pressing(0, 3)));
    assert!(refusal.is_some_and(|r| r.wait < Duration::from_mins(1)));
}

/// Guards against a refusal that rests on rough estimates: with the same mean, work that may be far
/// less doesn't refuse a job.
#[test]
fn uncertain_work_refuses_less() {
    let jobs = |deviation| {
        let one = Candidate {
            work_left: 80_000_000.0,
            deviation,
            ..waiting(0, 0)
        };
        backlog(FULL_POOL, [one])
    };
    let certain = jobs(Duration::ZERO);
    let uncertain = jobs(Duration::from_millis(600));
    let exact = Request {
        deviation: Duration::ZERO,
        ..request(0)
    };
    assert!(refuse(&exact, &certain).is_some());
    assert_eq!(refuse(&exact, &uncertain), None);
}

#[test]
fn work_of_a_higher_priority_is_before_a_job_and_that_of_a_lower_one_is_not() {
    let with_priority = |priority| {
        let jobs = pressing(1, 3);
        backlog(
            FULL_POOL,
            jobs.map(move |job| Candidate { priority, ..job }),
        )
    };
    let job = Request {
        priority: 1,
        ..request(0)
    };
    assert!(refuse(&job, &with_priority(0)).is_some());
    assert_eq!(refuse(&job, &with_priority(1)), None);
    assert_eq!(refuse(&job, &with_priority(2)), None);
}

/// Guards against callers that are refused together and come back together.
#[test]
fn the_refused_come_back_spread_and_not_too_early() {
    let jobs: Vec<Candidate> = pressing(0, 3).collect();
    let backlog = backlog(FULL_POOL, jobs);
    let mut seconds = std::collections::BTreeMap::new();
    for job in 0..400 {
        let request = Request { job, ..request(0) };
        let refusal = refuse(&request, &backlog).expect("its jobs wait for 20 s");
        let in_time = Duration::from_millis(1250);
        let earliest = refusal
            .wait
            .saturating_sub(in_time)
            .min(Duration::from_secs(10));
        assert!(refusal.retry_after >= earliest, "{refusal:?}");
        assert!(
            refusal.retry_after <= Duration::from_secs(15),
            "{refusal:?}"
        );
        assert_eq!(refuse(&request, &backlog), Some(refusal));
        *seconds.entry(refusal.retry_after.as_secs()).or_insert(0) += 1;
    }
    assert!(seconds.len() >= 4, "{seconds:?}");
    assert!(seconds.values().all(|count| *count < 200), "{seconds:?}");
}
