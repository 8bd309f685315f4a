//! Answers that callers get for complete, truncated, late and refused requests.

use std::net::TcpListener;

use pomelohitch_core::key;
use pomelohitch_core::record::Body;
use pomelohitch_core::record::job::{Job, JobRecord, Resources, Urgency};
use pomelohitch_route::problem::Ran;
use pomelohitchd::front::Limits;

use crate::entry::{Entry, problem, status};
use crate::runner::{Runner, ok};

/// The team of the key that `Entry::call` shows.
const TEAM: &str = "valley";

#[test]
fn the_complete_answer_is_returned() {
    let runner = Runner::start(|_| {
        Some(
            b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\nX-Pass: 7\r\nConnection: keep-alive\r\n\r\nday pass!"
                .to_vec(),
        )
    });
    let entry = Entry::start(&[runner.addr], Limits::default());
    let answer = entry.call("PUT", "/s/passes/day?who=family", &["X-Desk: 4"]);
    insta::assert_snapshot!(answer.to_lowercase().replace('\r', ""), @r"
    http/1.1 201 created
    x-pass: 7
    content-length: 9
    connection: close

    day pass!
    ");
    let seen = runner.received.lock().unwrap()[0].clone();
    assert_eq!(seen.lines[0], "PUT /day?who=family HTTP/1.1");
    assert_eq!(seen.header("X-Desk"), Some("4"));
    assert_eq!(seen.header("Request-Team"), Some("valley"));
    assert_eq!(seen.header("Request-Service"), Some("passes"));
    assert_eq!(seen.header("Authorization"), None);
    assert!(seen.header("Request-Id").is_some());
    let left: u64 = seen.header("Request-Timeout-Ms").unwrap().parse().unwrap();
    assert!(left <= 10_000);
}

/// A runner that dies while it sends an answer leaves a truncated response. Passed on as complete,
/// it would give the caller an invalid booking; the caller gets 502 with `ran: unknown` instead.
#[test]
fn half_answers_are_never_passed_on() {
    for cut in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf or whole, nobody knows",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"garbage\r\n\r\n",
        b"",
    ] {
        let runner = Runner::start(move |seen| {
            let is_first = seen.header("X-Cut").is_some();
            (!is_first).then(|| ok("whole"))
        });
        let truncating = truncating_runner(cut);
        let entry = Entry::start(&[truncating], Limits::default());
        let answer = entry.call("POST", "/s/passes/", &[]);
        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(problem(&answer)["ran"], "unknown");
        assert!(!answer.contains("Retry-After"), "{answer}");
        drop(runner);
    }
}

/// A runner that reads a request, writes `bytes` and closes.
fn truncating_runner(bytes: &'static [u8]) -> std::net::SocketAddr {
    use std::io::{Read, Write};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(bytes);
        }
    });
    addr
}

/// Nothing listens at the runner's address. No byte of the request was sent, so that `ran: no` is
/// correct.
#[test]
fn a_runner_that_cannot_be_reached_did_not_run_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let entry = Entry::start(&[addr], Limits::default());
    let answer = entry.call("POST", "/s/passes/", &[]);
    assert_eq!(status(&answer), 503, "{answer}");
    assert_eq!(problem(&answer)["ran"], "no");
    assert!(answer.contains("Retry-After: "), "{answer}");
}

/// A 503 from the runner is the endpoint's own answer and is returned unchanged, unless its header
/// `Request-Ran: no` says that the request was not started.
#[test]
fn only_the_runners_own_word_makes_a_refusal_not_run() {
    let runner = Runner::start(|seen| {
        let ran = if seen.lines[0].contains("/full") {
            "Request-Ran: no\r\n"
        } else {
            ""
        };
        Some(format!("HTTP/1.1 503 Busy\r\n{ran}Content-Length: 0\r\n\r\n").into_bytes())
    });
    let entry = Entry::start(&[runner.addr], Limits::default());
    let own = entry.call("POST", "/s/passes/broken", &[]);
    assert_eq!(status(&own), 503);
    assert!(!own.contains("problem+json"), "{own}");
    let refused = entry.call("POST", "/s/passes/full", &[]);
    assert_eq!(problem(&refused)["ran"], "no");
}

/// The runner accepts a request and never answers. The caller gets 504 at its own timeout, with
/// `ran: unknown`, since the runner may have executed the request.
#[test]
fn a_late_answer_is_unknown() {
    let runner = Runner::start(|_| {
        std::thread::sleep(crate::entry::WAIT_TIMEOUT);
        None
    });
    let entry = Entry::start(&[runner.addr], Limits::default());
    let answer = entry.call("POST", "/s/passes/", &["Request-Timeout-Ms: 100"]);
    assert_eq!(status(&answer), 504, "{answer}");
    assert_eq!(problem(&answer)["ran"], "unknown");
    assert_eq!(runner.count(), 1);
}

#[test]
fn the_serialized_values_of_ran_are_stable() {
    let words = serde_json::to_string(&[Ran::No, Ran::Unknown]).unwrap();
    insta::assert_snapshot!(words, @r#"["no","unknown"]"#);
}

/// A job was submitted with an Idempotency-Key, and the caller, who got no answer, repeats that after
/// its API key was withdrawn. Guards against telling it that the job doesn't run.
#[test]
fn a_submit_repeated_with_a_withdrawn_key_does_not_deny_the_job() {
    let entry = Entry::start(&[], Limits::default());
    let id = &key::hash(&format!("{TEAM}\0night-1"))[..32];
    let job = Job {
        id: id.into(),
        team: TEAM.into(),
        class: "settle".into(),
        urgency: Urgency::Patient,
        need: Resources::default(),
        run_time: std::time::Duration::ZERO,
        idempotent: false,
        command: "".into(),
        group: None,
    };
    entry.apply(Body::Job(JobRecord::Submit(vec![job])));
    assert!(entry.node.state.load().jobs.get(id).is_some());
    entry.withdraw_key();
    let headers = ["Idempotency-Key: night-1", "Content-Length: 0"];
    let answer = entry.call("POST", "/v1/jobs", &headers);
    assert_eq!(status(&answer), 401);
    assert_ne!(problem(&answer)["ran"], "no");
}
