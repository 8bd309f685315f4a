use std::time::Duration;

use pomelohitch_route::budget::RetryBudget;
use pomelohitch_route::once::{Answer, Keys, WINDOW};

const START: Duration = Duration::from_secs(100);

/// Asks for the key `k` on behalf of a member of the same name as the attempt.
fn grant(keys: &mut Keys, attempt: &str, now: Duration) -> Answer {
    keys.grant("k", attempt, &attempt.into(), now)
}

/// A caller that gets no answer sends the same request again. Both reach the home of the key, and
/// only the first may run within the window.
#[test]
fn a_key_is_granted_to_one_request_within_the_window() {
    let mut keys = Keys::default();
    assert_eq!(grant(&mut keys, "first", START), Answer::Granted);
    assert_eq!(grant(&mut keys, "first", START), Answer::Granted);
    keys.record_use("k", "first");
    let late = (START + WINDOW).saturating_sub(Duration::from_millis(1));
    assert_eq!(grant(&mut keys, "second", late), Answer::Taken);
    assert_eq!(grant(&mut keys, "second", START + WINDOW), Answer::Granted);
}

/// Guards against refusing a request as a repeat of one that never runs.
#[test]
fn a_key_is_taken_only_once_its_request_is_sent() {
    let mut keys = Keys::default();
    assert_eq!(grant(&mut keys, "first", START), Answer::Granted);
    let pending = Answer::Pending("first".into());
    assert_eq!(grant(&mut keys, "second", START), pending);
    keys.record_use("k", "second");
    assert_eq!(grant(&mut keys, "second", START), pending);
    keys.record_use("k", "first");
    assert_eq!(grant(&mut keys, "second", START), Answer::Taken);
}

#[test]
fn a_check_grants_nothing() {
    let mut keys = Keys::default();
    assert_eq!(keys.check("k", "first", START), Answer::Granted);
    assert_eq!(grant(&mut keys, "second", START), Answer::Granted);
    let pending = Answer::Pending("second".into());
    assert_eq!(keys.check("k", "first", START), pending);
}

#[test]
fn only_the_request_that_was_granted_can_release_its_key() {
    let mut keys = Keys::default();
    assert_eq!(grant(&mut keys, "first", START), Answer::Granted);
    keys.release("k", "second", START);
    let pending = Answer::Pending("first".into());
    assert_eq!(grant(&mut keys, "third", START), pending);
    keys.release("k", "first", START);
    assert_eq!(grant(&mut keys, "third", START), Answer::Granted);
}

/// Guards against a key that is granted to nobody: a claim waits in the buffers of a paused home
/// while its release arrives over a newer connection.
#[test]
fn a_claim_that_arrives_after_its_release_is_not_granted() {
    let mut keys = Keys::default();
    keys.release("k", "first", START);
    assert_eq!(grant(&mut keys, "first", START), Answer::Released);
    assert_eq!(grant(&mut keys, "second", START), Answer::Granted);
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
