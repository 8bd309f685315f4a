//! Tests of the rate limit for calls.

use std::time::Duration;

use pomelohitch_sched::rate::RateLimiter;

fn count_calls(rate: &mut RateLimiter, from_ms: u64, until_ms: u64) -> usize {
    let times = (from_ms..until_ms).map(Duration::from_millis);
    times.filter(|&now| rate.try_acquire(now)).count()
}

#[test]
fn no_second_has_more_calls_than_allowed() {
    let mut rate = RateLimiter::new(64.0);
    for second in 0..5 {
        let count = count_calls(&mut rate, second * 1_000, (second + 1) * 1_000);
        assert!((48..=64).contains(&count), "{count} in second {second}");
    }
}

#[test]
fn calls_after_a_pause_are_limited_to_the_burst() {
    let mut rate = RateLimiter::new(50.0);
    count_calls(&mut rate, 0, 1_000);
    let at_once = (0..100).filter(|_| rate.try_acquire(Duration::from_mins(1)));
    assert_eq!(at_once.count(), 12);
}
