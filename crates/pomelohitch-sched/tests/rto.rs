//! Tests of the adaptive timeout.

use std::time::Duration;

use pomelohitch_sched::rto::{Limits, Rto};

const LIMITS: Limits = Limits {
    shortest: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};

fn timeout_after(samples: impl IntoIterator<Item = u64>) -> Duration {
    let mut rto = Rto::new(LIMITS);
    for millis in samples {
        rto.add_sample(Duration::from_millis(millis));
    }
    rto.timeout()
}

#[test]
fn prompt_answers_give_the_shortest_timeout() {
    assert_eq!(timeout_after([]), LIMITS.shortest);
    assert_eq!(timeout_after([3; 50]), LIMITS.shortest);
}

/// Guards against timing out every call on an overloaded link.
#[test]
fn late_answers_extend_the_timeout() {
    let timeout = timeout_after(std::iter::repeat_n(3, 50).chain([180; 20]));
    assert!(timeout > Duration::from_millis(200), "{timeout:?}");
    assert!(timeout_after([5_000; 20]) == LIMITS.longest);
}

#[test]
fn one_lost_answer_in_twenty_changes_little() {
    let samples = (0..200).map(|n| if n % 20 == 0 { 150 } else { 4 });
    assert!(timeout_after(samples) < Duration::from_millis(200));
}
