//! Tests of the control loop on how much work is let in.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::ServiceName;
use pomelohitch_sched::overload::{Limits, Observation, Overload};

const OVERLOADED: Observation = Observation {
    pressure: 3.0,
    deferred: 5,
};

fn service(name: &str) -> ServiceName {
    Arc::from(name)
}

/// Twenty jobs a second begin and end two seconds later; `is_in_time` tells by the ratio in force
/// when a job began whether it is in time.
fn play(
    overload: &mut Overload,
    seconds: std::ops::Range<u64>,
    seen: Observation,
    is_in_time: impl Fn(f64) -> bool,
) {
    let desk = service("desk");
    let mut running = std::collections::VecDeque::new();
    for at_ms in (seconds.start * 1_000..seconds.end * 1_000).step_by(50) {
        let now = Duration::from_millis(at_ms);
        overload.observe(&desk, seen, now);
        running.push_back((at_ms, overload.limits(&desk, now).ratio));
        overload.began(at_ms, now);
        while let Some(&(job, ratio)) = running.front()
            && job + 2_000 <= at_ms
        {
            running.pop_front();
            overload.ended(&desk, job, is_in_time(ratio), now);
        }
    }
}

fn ratio(overload: &Overload, name: &str, second: u64) -> f64 {
    overload
        .limits(&service(name), Duration::from_secs(second))
        .ratio
}

#[test]
fn without_overload_limits_are_the_default() {
    let mut overload = Overload::default();
    let calm = Observation {
        pressure: 0.5,
        deferred: 0,
    };
    play(&mut overload, 100..120, calm, |_| false);
    let limits = overload.limits(&service("desk"), Duration::from_mins(2));
    assert_eq!(limits, Limits::default());
}

/// Load: a pool that does 0.8 of what its processors suggest, with three times the work that it can
/// do, for half a minute. What is let in settles around 0.8.
#[test]
fn what_is_let_in_follows_what_ends_in_time() {
    let mut overload = Overload::default();
    play(&mut overload, 100..130, OVERLOADED, |ratio| ratio <= 0.8);
    let settled = ratio(&overload, "desk", 130);
    assert!((0.55..=0.95).contains(&settled), "{settled}");
}

/// Load: as above, but the pool does more than its processors suggest, since estimates are too long.
#[test]
fn nothing_is_withheld_while_jobs_end_in_time() {
    let mut overload = Overload::default();
    play(&mut overload, 100..130, OVERLOADED, |_| true);
    let settled = ratio(&overload, "desk", 130);
    assert!(
        (settled - Limits::default().ratio).abs() < 0.01,
        "{settled}"
    );
}

/// Guards against one burst of late ends that shrinks the ratio to its minimum: jobs that began
/// before a change don't show its effect.
#[test]
fn a_change_waits_for_the_effect_of_the_one_before() {
    let mut overload = Overload::default();
    let (desk, now) = (service("desk"), Duration::from_secs(100));
    overload.observe(&desk, OVERLOADED, now);
    for job in 0..200 {
        overload.began(job, now);
    }
    let later = Duration::from_secs(102);
    overload.observe(&desk, OVERLOADED, later);
    for job in 0..200 {
        overload.ended(&desk, job, false, later);
    }
    assert!((ratio(&overload, "desk", 102) - 1.2).abs() < 0.01);
}

#[test]
fn limits_return_to_normal_after_an_overload() {
    let mut overload = Overload::default();
    play(&mut overload, 100..120, OVERLOADED, |_| false);
    assert!(ratio(&overload, "desk", 120) < 0.7);
    assert!(ratio(&overload, "desk", 300) > 1.55);
}

/// Load: one service after another is overloaded. The second starts where the first one is.
#[test]
fn a_service_starts_from_what_others_have_learned() {
    let mut overload = Overload::default();
    play(&mut overload, 100..120, OVERLOADED, |_| false);
    let now = Duration::from_mins(2);
    overload.observe(&service("lab"), OVERLOADED, now);
    assert!(ratio(&overload, "lab", 120) < 0.7);
    assert!(ratio(&overload, "gate", 120) > 1.55);
}
