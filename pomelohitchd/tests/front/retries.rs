//! Which requests are retried, which are not, and the answer after the last attempt.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitch_core::config::Service;
use pomelohitchd::front::Limits;

use crate::entry::{Entry, passes, problem, status, wait_until};
use crate::runner::{ReceivedRequest, Runner, ok};

/// Two runners that share one request counter; `answer` gets the number of the request.
fn pair(
    answer: impl Fn(usize, &ReceivedRequest) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> Vec<Runner> {
    let answer = Arc::new(answer);
    let count = Arc::new(AtomicUsize::new(0));
    let start = || {
        let (answer, count) = (answer.clone(), count.clone());
        Runner::start(move |seen| answer(count.fetch_add(1, Ordering::AcqRel), seen))
    };
    vec![start(), start()]
}

fn addrs(runners: &[Runner]) -> Vec<SocketAddr> {
    runners.iter().map(|runner| runner.addr).collect()
}

fn request_count(runners: &[Runner]) -> usize {
    runners.iter().map(Runner::count).sum()
}

/// A runner dies while it handles a request. An idempotent request is retried at the other runner,
/// and the caller gets its answer.
#[test]
fn an_idempotent_request_is_retried_at_another_runner() {
    let runners = pair(|nth, _| (nth > 0).then(|| ok("whole")));
    let entry = Entry::start(&addrs(&runners), Limits::default());
    let answer = entry.call("GET", "/s/passes/", &[]);
    assert!(answer.ends_with("whole"), "{answer}");
    assert_eq!(request_count(&runners), 2);
}

/// A runner may have executed a non-idempotent request before it died; a retry could charge a card
/// twice.
#[test]
fn a_non_idempotent_request_is_never_sent_twice() {
    let runners = pair(|_, _| None);
    let entry = Entry::start(&addrs(&runners), Limits::default());
    for headers in [&[][..], &["Idempotency-Key: booking-1"]] {
        let before = request_count(&runners);
        let answer = entry.call("POST", "/s/passes/", headers);
        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(problem(&answer)["ran"], "unknown");
        assert_eq!(request_count(&runners), before + 1);
    }
}

/// The first attempt is lost and may have run; the second runner refuses the request. Reporting
/// only the second result, `ran: no`, would be wrong.
#[test]
fn a_refusal_after_a_lost_try_is_still_unknown() {
    let refusal = b"HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nContent-Length: 0\r\n\r\n";
    let runners = pair(|nth, _| (nth > 0).then(|| refusal.to_vec()));
    let entry = Entry::start(&addrs(&runners), Limits::default());
    let answer = entry.call("PUT", "/s/passes/", &[]);
    assert!(request_count(&runners) >= 2);
    assert_eq!(problem(&answer)["ran"], "unknown", "{answer}");
    assert!(!answer.contains("Retry-After"), "{answer}");
}

/// One of two runners accepts no connections. No byte of the request was sent to it, so that even a
/// non-idempotent request may be sent to the other one.
#[test]
fn a_request_that_was_never_sent_is_sent_to_another_runner() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap();
    let gone_addr = gone.local_addr().unwrap();
    drop(gone);
    let runner = Runner::answering("whole");
    let entry = Entry::start(&[gone_addr, runner.addr], Limits::default());
    for _ in 0..4 {
        let answer = entry.call("POST", "/s/passes/", &[]);
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert_eq!(runner.count(), 4);
}

/// A reused connection goes silent while new ones work. An idempotent request is retried over a new
/// connection well before its own timeout.
#[test]
fn a_reused_connection_that_goes_silent_is_abandoned() {
    let runner = Runner::start(|seen| {
        let is_silent = seen.header("X-Then").is_none() && seen.header("X-First").is_none();
        if is_silent && seen.lines[0].contains("/silent") {
            std::thread::sleep(crate::entry::WAIT_TIMEOUT);
        }
        Some(ok("whole"))
    });
    let other = Runner::answering("whole");
    let entry = Entry::start(&[runner.addr, other.addr], Limits::default());
    let begun = std::time::Instant::now();
    let timeout = &["Request-Timeout-Ms: 15000"];
    for _ in 0..2 {
        let answer = entry.call("GET", "/s/passes/silent", timeout);
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert!(
        begun.elapsed() < crate::entry::WAIT_TIMEOUT,
        "waited for the request's timeout"
    );
}

/// Guards against giving up a slow request over a kept connection long before its timeout, although
/// there is no other runner for another attempt.
#[test]
fn a_slow_answer_is_awaited_if_no_other_attempt_is_possible() {
    let runner = Runner::start(|seen| {
        if seen.lines[0].contains("/slow") {
            std::thread::sleep(std::time::Duration::from_millis(1500));
        }
        Some(ok("whole"))
    });
    let entry = Entry::start(&[runner.addr], Limits::default());
    for path in ["/s/passes/quick", "/s/passes/slow"] {
        let answer = entry.call("GET", path, &["Request-Timeout-Ms: 15000"]);
        assert!(answer.ends_with("whole"), "{answer}");
    }
    assert_eq!(runner.count(), 2);
}

/// A caller repeats a request with the same idempotency key because the first answer was lost.
#[test]
fn the_same_idempotency_key_runs_once() {
    let runner = Runner::answering("booked");
    let entry = Entry::start(&[runner.addr], Limits::default());
    let key = &["Idempotency-Key: booking-7"];
    let first = entry.call("POST", "/s/passes/", key);
    assert!(first.ends_with("booked"), "{first}");
    let second = entry.call("POST", "/s/passes/", key);
    assert_eq!(status(&second), 409, "{second}");
    assert_eq!(problem(&second)["ran"], "unknown");
    assert_eq!(runner.count(), 1);
    let other = entry.call("POST", "/s/passes/", &["Idempotency-Key: booking-8"]);
    assert!(other.ends_with("booked"), "{other}");
}

/// A request was refused before it ran. Its idempotency key must be released, or the caller could
/// not repeat the request.
#[test]
fn the_key_of_a_request_that_did_not_run_can_be_reused() {
    let runner = Runner::start(|seen| {
        let is_full = seen.header("X-Full").is_some();
        let refusal = b"HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nContent-Length: 0\r\n\r\n";
        Some(if is_full {
            refusal.to_vec()
        } else {
            ok("booked")
        })
    });
    let entry = Entry::start(&[runner.addr], Limits::default());
    let key = "Idempotency-Key: booking-9";
    let refused = entry.call("POST", "/s/passes/", &[key, "X-Full: 1"]);
    assert_eq!(problem(&refused)["ran"], "no", "{refused}");
    let booked = entry.call("POST", "/s/passes/", &[key]);
    assert!(booked.ends_with("booked"), "{booked}");
}

/// Guards against sending a request so late that its answer misses the deadline: it would end as
/// unknown, although it could be refused as not run.
#[test]
fn a_request_that_waited_too_long_for_a_run_is_not_sent() {
    let runner = Runner::start(|seen| {
        let is_slow = seen.lines[0].contains("/slow");
        std::thread::sleep(Duration::from_millis(if is_slow { 850 } else { 400 }));
        Some(ok("whole"))
    });
    let service = Service {
        slots: 1,
        ..passes()
    };
    let entry = Entry::start_with(&[runner.addr], Limits::default(), service);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| entry.call("POST", "/s/passes/slow", &[]));
        wait_until("the first request runs", || runner.count() == 1);
        let answer = entry.call("POST", "/s/passes/", &["Request-Timeout-Ms: 1000"]);
        assert_eq!(status(&answer), 503, "{answer}");
        assert_eq!(problem(&answer)["ran"], "no", "{answer}");
        assert_eq!(status(&first.join().unwrap()), 200);
    });
    assert_eq!(runner.count(), 1);
}
