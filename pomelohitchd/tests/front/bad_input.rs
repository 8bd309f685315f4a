//! Invalid requests are refused with a status, and the entry instance keeps serving others.

use std::io::{Read, Write};
use std::time::Duration;

use pomelohitch_route::head;
use pomelohitchd::front::Limits;

use crate::entry::{Entry, KEY, problem, status};
use crate::runner::Runner;

fn limits() -> Limits {
    Limits {
        request: head::Limits {
            head_bytes: 2048,
            body_bytes: 4096,
        },
        head_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        ..Limits::default()
    }
}

/// Sends `bytes`, expects the status and `ran: no`, and that the next caller is served.
fn assert_refused(bytes: &[u8], expected: u16) {
    let runner = Runner::answering("pass");
    let entry = Entry::start(&[runner.addr], limits());
    let answer = entry.send(bytes);
    assert_eq!(status(&answer), expected, "{answer}");
    assert_eq!(problem(&answer)["ran"], "no");
    assert_eq!(runner.count(), 0, "the runner must not see it");
    let next = entry.call("GET", "/s/passes/", &[]);
    assert!(next.ends_with("pass"), "{next}");
}

fn request(line: &str, headers: &str) -> Vec<u8> {
    format!("{line}\r\nHost: entry\r\n{headers}\r\n").into_bytes()
}

/// An endless request head must not be buffered: one faulty client could exhaust the memory of the
/// entry instance.
#[test]
fn an_endless_request_head_is_refused_at_the_limit() {
    let mut bytes = b"GET /s/passes/ HTTP/1.1\r\nHost: entry\r\n".to_vec();
    bytes.extend(b"X-Filler: ".iter());
    bytes.extend(std::iter::repeat_n(b'a', 100_000));
    assert_refused(&bytes, 431);
}

#[test]
fn too_many_headers_are_refused() {
    let headers = "a: 1\r\n".repeat(head::MAX_HEADERS + 1);
    assert_refused(&request("GET /s/passes/ HTTP/1.1", &headers), 431);
}

/// A body above the limit is refused by its declared length, before memory is allocated for it.
#[test]
fn a_body_beyond_the_limit_is_refused_before_it_is_read() {
    let headers = format!("Authorization: Bearer {KEY}\r\nContent-Length: 5000\r\n");
    assert_refused(&request("POST /s/passes/ HTTP/1.1", &headers), 413);
    let headers = format!("Content-Length: {}\r\n", "9".repeat(40));
    assert_refused(&request("POST /s/passes/ HTTP/1.1", &headers), 413);
}

/// Conflicting body lengths let two parsers split the same bytes into different requests (request
/// smuggling). A request hidden in another one's body would run under that one's key.
#[test]
fn conflicting_body_lengths_are_refused() {
    let line = "POST /s/passes/ HTTP/1.1";
    let both = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
    assert_refused(&request(line, both), 400);
    let twice = "Content-Length: 5\r\nContent-Length: 6\r\n";
    assert_refused(&request(line, twice), 400);
    assert_refused(&request(line, "Content-Length: +5\r\n"), 400);
    assert_refused(&request(line, "Transfer-Encoding: chunked\r\n"), 411);
}

#[test]
fn bytes_that_are_not_http_are_refused() {
    assert_refused(b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400);
    assert_refused(b"GET http://else/where HTTP/1.1\r\nHost: x\r\n\r\n", 400);
    assert_refused(b"GET /s/passes/ HTTP/1.1\r\n\r\n", 400);
    assert_refused(&request("GET /s/passes/ HTTP/1.1", "Name : x\r\n"), 400);
    assert_refused(&request("POST /s/passes/ HTTP/1.1", "Expect: tea\r\n"), 417);
}

/// A client sends its head or body slowly, or stops half-way. It occupies a connection and a
/// thread; enough such clients would leave none for others.
#[test]
fn slow_senders_get_408_and_are_disconnected() {
    assert_refused(b"GET /s/passes/ HTTP/1.1\r\nHost: en", 408);
    let headers = format!("Authorization: Bearer {KEY}\r\nContent-Length: 5\r\n");
    let mut bytes = request("POST /s/passes/ HTTP/1.1", &headers);
    bytes.extend(b"ab");
    assert_refused(&bytes, 408);
}

#[test]
fn an_unknown_service_or_path_is_not_found() {
    let entry = Entry::start(&[], limits());
    for path in ["/s/sleighs/x", "/s/", "/", "/v2/passes"] {
        let answer = entry.call("GET", path, &[]);
        assert_eq!(status(&answer), 404, "{path}");
        assert_eq!(problem(&answer)["ran"], "no");
    }
}

#[test]
fn a_missing_or_wrong_key_is_refused() {
    let headers = "Connection: close\r\n";
    assert_refused(&request("GET /s/passes/ HTTP/1.1", headers), 401);
    let headers = "Connection: close\r\nAuthorization: Bearer guessed\r\n";
    assert_refused(&request("GET /s/passes/ HTTP/1.1", headers), 401);
    let headers = "Connection: close\r\nAuthorization: Basic Zm9v\r\n";
    assert_refused(&request("GET /s/passes/ HTTP/1.1", headers), 401);
}

/// A key is withdrawn while its user has a connection open. Either the record or a peer's
/// notification is enough to refuse it, also on the open connection.
#[test]
fn a_withdrawn_key_is_refused_on_open_connections_too() {
    let runner = Runner::answering("pass");
    for by_peer in [false, true] {
        let entry = Entry::start(&[runner.addr], limits());
        let headers = format!("Authorization: Bearer {KEY}\r\n");
        let bytes = request("GET /s/passes/ HTTP/1.1", &headers);
        let mut stream = entry.connect();
        stream.write_all(&bytes).unwrap();
        let mut answer = [0; 1024];
        let length = stream.read(&mut answer).unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&answer[..length])), 200);
        if by_peer {
            entry
                .node
                .add_withdrawn(&[pomelohitch_core::key::hash(KEY)]);
        } else {
            entry.withdraw_key();
        }
        stream.write_all(&bytes).unwrap();
        let length = stream.read(&mut answer).unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&answer[..length])), 401);
    }
}

#[test]
fn invalid_request_headers_are_refused() {
    let entry = Entry::start(&[], limits());
    for header in [
        "Request-Idempotent: maybe",
        "Request-Timeout-Ms: -1",
        "Request-Timeout-Ms: 0",
        "Request-Timeout-Ms: 99999999999999999999",
        "Request-Priority: first",
        "Idempotency-Key: ",
        "Request-Idempotent: true\r\nRequest-Idempotent: false",
    ] {
        let answer = entry.call("POST", "/s/passes/", &[header]);
        assert_eq!(status(&answer), 400, "{header}");
    }
}

/// Repeats a submit, of whose body only a part arrives, at an entry instance with these limits. The
/// caller got no answer to the first one, which may have been taken in.
fn assert_repeat_is_not_denied(limits: Limits, expected: u16) {
    let headers =
        format!("Authorization: Bearer {KEY}\r\nIdempotency-Key: night-1\r\nContent-Length: 5\r\n");
    let mut bytes = request("POST /v1/jobs HTTP/1.1", &headers);
    bytes.extend(b"ab");
    let entry = Entry::start(&[], limits);
    let answer = entry.send(&bytes);
    assert_eq!(status(&answer), expected, "{answer}");
    assert_ne!(problem(&answer)["ran"], "no", "{answer}");
}

/// Guards against telling a caller that its job doesn't run, although the head names an
/// Idempotency-Key, because there is no room for the body.
#[test]
fn a_submit_repeated_without_room_for_its_body_does_not_deny_the_job() {
    let limits = Limits {
        total_body_bytes: 4,
        ..limits()
    };
    assert_repeat_is_not_denied(limits, 503);
}

/// The same if the body arrives too slowly.
#[test]
fn a_submit_repeated_with_a_slow_body_does_not_deny_the_job() {
    assert_repeat_is_not_denied(limits(), 408);
}

/// Idle clients use up the limit of connections. A new connection gets 503 at once, and one that
/// closes makes a slot available for the next.
#[test]
fn connections_beyond_the_limit_get_503() {
    let runner = Runner::answering("pass");
    let limits = Limits {
        connections: 2,
        ..limits()
    };
    let entry = Entry::start(&[runner.addr], limits);
    let mut held: Vec<_> = (0..2).map(|_| entry.connect()).collect();
    let headers = format!("Authorization: Bearer {KEY}\r\n");
    let bytes = request("GET /s/passes/ HTTP/1.1", &headers);
    for stream in &mut held {
        stream.write_all(&bytes).unwrap();
        let mut answer = [0; 1024];
        let length = stream.read(&mut answer).unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&answer[..length])), 200);
    }
    let mut refused = entry.connect();
    let mut answer = String::new();
    let _ = refused.read_to_string(&mut answer);
    assert_eq!(status(&answer), 503);
    assert!(answer.contains("Retry-After: "), "{answer}");
    assert_eq!(problem(&answer)["ran"], "no");
    drop(held);
    crate::entry::wait_until("a connection slot is free", || {
        let answer = entry.call("GET", "/s/passes/", &[]);
        answer.ends_with("pass")
    });
}

/// All request bodies that are being received share one memory limit.
#[test]
fn the_total_size_of_request_bodies_is_limited() {
    let limits = Limits {
        total_body_bytes: 4096,
        body_timeout: Duration::from_secs(20),
        ..limits()
    };
    let runner = Runner::answering("pass");
    let entry = Entry::start(&[runner.addr], limits);
    let headers = format!("Authorization: Bearer {KEY}\r\nContent-Length: 4096\r\n");
    let line = "POST /s/passes/ HTTP/1.1";
    let mut first = entry.connect();
    let waiting = request(line, &format!("{headers}Expect: 100-continue\r\n"));
    first.write_all(&waiting).unwrap();
    let mut interim = [0; 25];
    first.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    let second = entry.send(&[&request(line, &headers)[..], &[b'x'; 4096][..]].concat());
    assert_eq!(status(&second), 503);
    assert_eq!(problem(&second)["step"], "accept");
    let answer = entry.call("GET", "/s/passes/", &[]);
    assert!(answer.ends_with("pass"), "{answer}");
}
