use std::time::Duration;

use pomelohitch_route::budget::RetryBudget;
use pomelohitch_route::once::{Answer, Keys, WINDOW};

const START: Duration = Duration::from_secs(100);

/// A caller that gets no answer sends the same request again. Both reach the home of the key, and
/// only the first may run within the window.
#[test]
fn a_key_is_granted_to_one_request_within_the_window() {
    let mut keys = Keys::default();
    assert_eq!(keys.grant("k", "first", START), Answer::Granted);
    assert_eq!(keys.grant("k", "first", START), Answer::Granted);
    let late = (START + WINDOW).saturating_sub(Duration::from_millis(1));
    assert_eq!(keys.grant("k", "second", late), Answer::Taken);
    assert_eq!(keys.grant("k", "second", START + WINDOW), Answer::Granted);
}

#[test]
fn only_the_request_that_was_granted_can_release_its_key() {
    let mut keys = Keys::default();
    assert_eq!(keys.grant("k", "first", START), Answer::Granted);
    keys.release("k", "second");
    assert_eq!(keys.grant("k", "second", START), Answer::Taken);
    keys.release("k", "first");
    assert_eq!(keys.grant("k", "second", START), Answer::Granted);
}

/// If every failed attempt were retried, the load would double just when there is the least
/// capacity for it.
#[test]
fn retries_stay_a_small_share_of_first_tries() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        while budget.try_take() {
            retries += 1;
        }
    }
    assert!(retries <= 510, "{retries} retries for 10000 first attempts");
}
