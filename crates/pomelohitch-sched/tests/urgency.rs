//! Tests of the ordering of waiting jobs.

use std::time::Duration;

use pomelohitch_sched::policy::Policy;
use pomelohitch_sched::urgency::{Candidate, Capacity, order};

const NOW: u64 = 1_000_000;

/// A job accepted at `NOW`; `work` is in core seconds, and its critical path takes one second.
fn candidate(job: u64, work: f64) -> Candidate {
    Candidate {
        job,
        from_ms: NOW,
        critical_path: Duration::from_secs(1),
        remaining_critical_path: Duration::from_secs(1),
        deviation: Duration::ZERO,
        is_learned: false,
        steps_left: 1,
        work_left: work * 1_000_000.0,
        has_begun: false,
        is_lasting: false,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        priority: 0,
        owner: 0,
        weight: 1,
    }
}

/// A pool with this many idle cores.
fn cores(count: f64) -> Capacity {
    Capacity {
        cpu: count * 1000.0,
        ..Capacity::default()
    }
}

fn ordered(candidates: &[Candidate], capacity: &Capacity) -> Vec<u64> {
    order(candidates, capacity, NOW, &Policy::default())
}

#[test]
fn with_capacity_for_all_jobs_go_by_latest_start() {
    let mut candidates = [candidate(1, 8.0), candidate(2, 1.0), candidate(3, 1.0)];
    candidates[0].from_ms -= 300;
    candidates[2].from_ms -= 200;
    assert_eq!(ordered(&candidates, &cores(100.0)), [1, 3, 2]);
}

/// The pool can do little more than half of the work of five jobs in time. Ordered by latest start
/// alone, the largest job would go first and make all others late.
#[test]
fn the_job_with_the_most_work_is_deferred() {
    let mut candidates = [4.0, 2.0, 2.0, 12.0, 2.0].map(|work| candidate(0, work));
    for (job, candidate) in (1..).zip(&mut candidates) {
        candidate.job = job;
    }
    candidates[3].from_ms -= 50;
    assert_eq!(ordered(&candidates, &cores(3.0)), [1, 2, 3, 5, 4]);
}

/// One workspace submits three times as many jobs as another. Its own jobs wait, although each of
/// them is smaller.
#[test]
fn jobs_of_an_overloading_workspace_are_deferred() {
    let mut candidates: Vec<Candidate> = (1..=16).map(|job| candidate(job, 1.0)).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let is_overloading = index >= 4;
        candidate.owner = u32::from(is_overloading);
        candidate.work_left = if is_overloading {
            900_000.0
        } else {
            1_000_000.0
        };
    }
    let first: Vec<u64> = ordered(&candidates, &cores(2.0))
        .into_iter()
        .take(8)
        .collect();
    let of_other = first.iter().filter(|job| **job <= 4).count();
    assert_eq!(of_other, 4, "{first:?}");
}

/// Under overload a workspace with four times the weight gets four times the share.
#[test]
fn shares_of_workspaces_follow_their_weights() {
    let mut candidates: Vec<Candidate> = (1..=15).map(|job| candidate(job, 1.0)).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let is_large = index < 12;
        candidate.owner = u32::from(is_large);
        candidate.weight = if is_large { 4 } else { 1 };
    }
    let capacity = cores(2.0);
    let order = ordered(&candidates, &capacity);
    let in_time = 7;
    let small = order[..in_time].iter().filter(|job| **job > 12).count();
    assert!((1..=2).contains(&small), "{order:?}");
}

/// Deferring a job that has begun would waste the work already done.
#[test]
fn a_job_that_has_begun_is_not_deferred() {
    let mut candidates = [candidate(1, 12.0), candidate(2, 2.0), candidate(3, 2.0)];
    candidates[0].has_begun = true;
    let order = ordered(&candidates, &cores(2.0));
    assert_eq!(order.iter().position(|job| *job == 1), Some(0));
}

/// Jobs that can still meet their objective go first, then late jobs, then those whose result is of
/// no use any more.
#[test]
fn late_jobs_go_last() {
    let mut candidates = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 1.0)];
    candidates[0].from_ms -= 9_000;
    candidates[1].from_ms -= 3_500;
    assert_eq!(ordered(&candidates, &cores(100.0)), [3, 2, 1]);
}

/// Estimates are rough: a job that is slightly late by its estimates may still meet its objective.
#[test]
fn a_slightly_late_job_counts_as_feasible() {
    let mut candidates = [candidate(1, 1.0), candidate(2, 1.0)];
    candidates[0].from_ms -= 1_400;
    assert_eq!(ordered(&candidates, &cores(100.0)), [1, 2]);
}

/// Instances that are being moved to the pool count as capacity for jobs that are due after they
/// arrive.
#[test]
fn instances_being_moved_count_as_capacity() {
    let mut candidates = [candidate(1, 3.0), candidate(2, 3.0), candidate(3, 3.0)];
    candidates[2].work_left = 4_000_000.0;
    candidates[2].from_ms -= 100;
    let capacity = Capacity {
        arriving: 8_000.0,
        ..cores(1.0)
    };
    assert_eq!(ordered(&candidates, &capacity), [3, 1, 2]);
    assert_eq!(ordered(&candidates, &cores(1.0)), [1, 3, 2]);
}

/// Guards against lasting tasks that wait behind all other jobs while the pool is full: their job
/// was accepted long ago and would count as late.
#[test]
fn lasting_tasks_come_first() {
    let mut candidates = [candidate(1, 1.0), candidate(2, 1.0)];
    candidates[1].from_ms -= 60_000;
    candidates[1].is_lasting = true;
    assert_eq!(ordered(&candidates, &cores(0.1)), [2, 1]);
}

/// Guards against starvation of late jobs by a continuous stream of jobs that can meet their
/// objective: a job about to expire goes first.
#[test]
fn a_late_job_about_to_expire_goes_first() {
    let mut candidates = [candidate(1, 1.0), candidate(2, 1.0), candidate(3, 1.0)];
    candidates[1].from_ms -= 5_400;
    candidates[2].from_ms -= 3_500;
    assert_eq!(ordered(&candidates, &cores(100.0)), [2, 1, 3]);
}

/// Guards against an overload in which each job is promoted and served just before it expires, so
/// that none meets its objective.
#[test]
fn promoted_jobs_get_a_limited_share_of_capacity() {
    let mut candidates: Vec<Candidate> = (1..=40).map(|job| candidate(job, 1.0)).collect();
    for candidate in &mut candidates[..30] {
        candidate.from_ms -= 5_400;
    }
    let order = ordered(&candidates, &cores(30.0));
    let first = order.iter().position(|job| *job > 30);
    assert!(first.is_some_and(|at| at <= 4), "{order:?}");
}

/// Guards against lasting tasks of a low-priority queue that wait while urgent jobs keep arriving.
#[test]
fn lasting_tasks_come_first_whatever_their_priority() {
    let mut candidates: Vec<Candidate> = (1..=10).map(|job| candidate(job, 1.0)).collect();
    candidates[7].is_lasting = true;
    candidates[7].priority = 2;
    let order = ordered(&candidates, &cores(100.0));
    assert_eq!(order.first(), Some(&8), "{order:?}");
}
