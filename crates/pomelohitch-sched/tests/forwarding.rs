//! Tests of the window on forwarded requests.

use std::collections::VecDeque;
use std::time::Duration;

use pomelohitch_sched::forwarding::Window;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: usize = 100;
/// Timeout of a forwarded request.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Outcome of the requests.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    refused: usize,
    /// Timed out after they were forwarded.
    given_up: usize,
}

/// Simulates `members` that each submit `per_s` new requests per second for `seconds`, and a leader
/// that answers `served_per_s`. Refused requests are retried after `retry_after`, timed-out ones
/// after a second.
fn simulate(members: usize, per_s: usize, served_per_s: usize, seconds: u32) -> Outcome {
    let mut windows = vec![Window::default(); members];
    let mut queue: VecDeque<(Duration, usize, bool)> = VecDeque::new();
    let mut retries: VecDeque<(Duration, usize)> = VecDeque::new();
    let mut outcome = Outcome::default();
    let (mut due, mut served) = (0, 0);
    let steps = seconds * 100;
    for now in (1..=steps).map(|n| STEP * n) {
        due += per_s;
        let mut arrivals: Vec<usize> = Vec::new();
        while due >= STEPS_PER_S {
            due -= STEPS_PER_S;
            arrivals.extend(0..members);
        }
        while let Some((_, member)) = retries.pop_front_if(|(at, _)| *at <= now) {
            arrivals.push(member);
        }
        for member in arrivals {
            if windows[member].try_acquire() {
                queue.push_back((now, member, true));
            } else {
                outcome.refused += 1;
                retries.push_back((now + windows[member].retry_after(), member));
            }
        }
        for (sent_at, member, is_pending) in &mut queue {
            if *is_pending && now >= *sent_at + TIMEOUT {
                *is_pending = false;
                windows[*member].timed_out(now, TIMEOUT);
                outcome.given_up += 1;
                retries.push_back((now + Duration::from_secs(1), *member));
            }
        }
        served = (served + served_per_s).min(served_per_s * STEPS_PER_S);
        while served >= STEPS_PER_S
            && let Some((sent_at, member, is_pending)) = queue.pop_front()
        {
            served -= STEPS_PER_S;
            if is_pending {
                windows[member].answered(now, now.saturating_sub(sent_at));
                outcome.answered += 1;
            }
        }
    }
    outcome
}

/// Guards against members that overload the leader's link with requests that have timed out.
#[test]
fn an_overloaded_leader_answers_at_its_capacity() {
    let outcome = simulate(16, 8, 80, 30);
    insta::assert_debug_snapshot!(outcome);
    let capacity = 80 * 30;
    assert!(outcome.answered * 10 >= capacity * 8, "{outcome:?}");
    assert!(outcome.given_up * 20 <= outcome.answered, "{outcome:?}");
}

/// Guards against refusals while the leader has free capacity.
#[test]
fn nothing_is_refused_while_the_leader_answers_promptly() {
    let outcome = simulate(16, 8, 400, 20);
    assert_eq!((outcome.refused, outcome.given_up), (0, 0));
}

/// Guards against a window that stays small after the leader did not answer for a while.
#[test]
fn the_window_grows_again_after_timeouts() {
    let mut window = Window::default();
    let second = Duration::from_secs(1);
    for n in 0..8 {
        while window.try_acquire() {}
        for _ in 0..64 {
            window.timed_out(second * (10 + 2 * n), TIMEOUT);
        }
    }
    let smallest = std::iter::repeat_with(|| window.try_acquire()).take_while(|is_taken| *is_taken);
    let smallest = smallest.count();
    assert_eq!(smallest, 4);
    for _ in 0..smallest {
        window.cancelled();
    }
    let mut answered = 0;
    for n in 0..400 {
        let mut taken = 0;
        while window.try_acquire() {
            taken += 1;
        }
        for _ in 0..taken {
            window.answered(second * 60 + STEP * n, STEP);
            answered += 1;
        }
    }
    assert!(answered > 400 * 16, "{answered}");
}

#[test]
fn retry_after_grows_with_the_answer_time() {
    let mut window = Window::default();
    assert_eq!(window.retry_after(), Duration::from_secs(1));
    for n in 0..40 {
        assert!(window.try_acquire());
        window.answered(Duration::from_secs(n), Duration::from_millis(580));
    }
    assert!(window.retry_after() > Duration::from_secs(2));
}
