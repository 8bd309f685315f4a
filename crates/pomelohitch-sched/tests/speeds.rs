//! Tests of the speeds of endpoints, learned from runs.

use std::time::Duration;

use pomelohitch_sched::TaskId;
use pomelohitch_sched::speeds::{Observation, Sample, Speed, ratio};

const EXPECTED: Duration = Duration::from_millis(640);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn sample(job: u64, index: u32, at: Duration, ratio: f64) -> Sample {
    Sample {
        task: task(job, index),
        run: 1,
        since: at,
        at,
        ratio,
        is_compared: false,
    }
}

/// Load: a hundred endpoints, one in ten of them six times slower. Each runs a task of six jobs,
/// which take 0.5 to 2 times their estimates. All slow endpoints are found, and no other.
#[test]
fn one_slow_endpoint_in_ten_is_found() {
    let now = Duration::from_secs(100);
    let mut found = Vec::new();
    for endpoint in 0..100_u32 {
        let slowness = if endpoint % 10 == 0 { 6.0 } else { 1.0 };
        let mut speed = Speed::default();
        for job in 0..6 {
            let factor = 0.5 + f64::from((endpoint * 29 + job * 37) % 100) * 0.015;
            let run_time = EXPECTED.mul_f64(slowness * factor);
            speed.record(sample(job.into(), 0, now, ratio(run_time, EXPECTED)));
        }
        if speed.seems_slow(now) {
            found.push(endpoint);
        }
    }
    assert_eq!(found, (0..100).step_by(10).collect::<Vec<_>>());
}

/// Guards against an endpoint that is marked because one of its tasks is larger than declared.
#[test]
fn a_single_large_task_marks_no_endpoint() {
    let now = Duration::from_secs(100);
    let mut speed = Speed::default();
    speed.record(sample(1, 0, now, 8.0));
    assert!(!speed.seems_slow(now));
    for job in 2..5 {
        speed.record(sample(job, 0, now, 1.0));
    }
    assert!(!speed.seems_slow(now));
}

/// Guards against an endpoint that is marked because one job's declared times are too low. Compared
/// with siblings elsewhere the same ratios do mark it.
#[test]
fn runs_of_one_job_count_only_beside_siblings_elsewhere() {
    let now = Duration::from_secs(100);
    let mut speed = Speed::default();
    for index in 0..4 {
        speed.record(sample(1, index, now, 4.0));
    }
    assert!(!speed.seems_slow(now));
    for index in 0..4 {
        speed.record(Sample {
            is_compared: true,
            ..sample(1, index, now, 4.0)
        });
    }
    assert!(speed.seems_slow(now));
}

/// Guards against an endpoint that stays marked for good, or that flickers near the bound.
#[test]
fn a_slow_endpoint_recovers_by_faster_runs_or_by_time() {
    let now = Duration::from_secs(100);
    let mut speed = Speed::default();
    for job in 0..4 {
        speed.record(sample(job, 0, now, 4.0));
    }
    speed.set_slow(true);
    let later = now + Duration::from_secs(1);
    for job in 4..12 {
        speed.record(sample(job, 0, later, 2.0));
    }
    assert!(speed.seems_slow(later), "between the two bounds");
    assert!(!speed.seems_slow(later + Duration::from_secs(11)));
    for job in 12..20 {
        speed.record(sample(job, 0, later, 1.1));
    }
    assert!(!speed.seems_slow(later));
}

#[test]
fn a_run_time_follows_from_two_readings() {
    let observed = |percent, ms| Observation {
        first_percent: 10,
        percent,
        observed_for: millis(ms),
    };
    assert_eq!(observed(20, 100).run_time(EXPECTED), None, "too short");
    assert_eq!(observed(20, 400).run_time(EXPECTED), Some(millis(4_000)));
    assert_eq!(observed(20, 400).time_left(EXPECTED), Some(millis(3_200)));
    assert_eq!(
        observed(10, 400).run_time(EXPECTED),
        Some(EXPECTED * 100),
        "no progress"
    );
}
