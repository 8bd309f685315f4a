//! What callers are told while the leader is in trouble.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use pomelohitch_route::{Head, head};
use pomelohitchd::fleet::callers;
use pomelohitchd::fleet::shared::{Leading, Shared};
use pomelohitchd::fleet::wire::{self, Leader};
use pomelohitchd::front::Incoming;

use super::site::{nowhere, site};

const ACCEPTED: &str = "HTTP/1.1 200 OK\r\nX-Leader-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}";
const REFUSED: &str =
    "HTTP/1.1 503 Busy\r\nX-Leader-Epoch: 1\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\n{}";
const NO_ROOM: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}";
const NO_KEY: &str = "HTTP/1.1 401 No\r\nX-Leader-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}";
const NO_QUEUE: &str = "HTTP/1.1 404 No\r\nX-Leader-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}";
const MALFORMED: &str = "HTTP/1.1 400 No\r\nX-Leader-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}";
const GONE: &str = "HTTP/1.1 410 Gone\r\nX-Leader-Epoch: 1\r\nContent-Length: 2\r\n\r\n{}";
const UNKNOWN: &str = "HTTP/1.1 504 Unknown\r\nContent-Length: 0\r\n\r\n";

const REFUSED_LATER: &str =
    "HTTP/1.1 503 Busy\r\nX-Leader-Epoch: 2\r\nRetry-After: 2\r\nContent-Length: 2\r\n\r\n{}";
const NO_KEY_LATER: &str = "HTTP/1.1 401 No\r\nX-Leader-Epoch: 2\r\nContent-Length: 2\r\n\r\n{}";

/// A leader that gives these answers one after another, and the last one from then on.
fn leader(answers: &[&'static str]) -> SocketAddr {
    noting_leader(answers).0
}

/// The same, with the methods of the requests that it was sent, and which of them only ask.
fn noting_leader(answers: &[&'static str]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let methods = Arc::new(Mutex::new(Vec::new()));
    let noted = methods.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let answers: Mutex<VecDeque<&str>> = Mutex::new(answers.iter().copied().collect());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a caller connects");
            let mut buf = [0; 4096];
            while stream.read(&mut buf).is_ok_and(|n| n > 0) {
                let text = String::from_utf8_lossy(&buf);
                let (method, _) = text.split_once(' ').unwrap_or_default();
                if text.starts_with('{') {
                    // The body may come after the head.
                    continue;
                }
                let mut noted = noted.lock().expect("no test panics here");
                let asks = text.to_lowercase().contains("x-confirm: 1");
                let has_body = !text.to_lowercase().contains("content-length: 0");
                noted.push(match (asks, has_body) {
                    (true, false) => format!("{method} question"),
                    (true, true) => format!("{method} question with a body"),
                    _ => method.to_owned(),
                });
                buf.fill(0);
                drop(noted);
                let mut answers = answers.lock().expect("no test panics here");
                let answer = answers[0];
                if answers.len() > 1 {
                    answers.pop_front();
                }
                stream
                    .write_all(answer.as_bytes())
                    .expect("the caller reads");
            }
        }
    });
    (addr, methods)
}

fn post() -> Incoming {
    call("POST")
}

fn call(method: &str) -> Incoming {
    call_with(method, "Deadline-Ms: 900\r\n")
}

/// A call with these further header lines.
fn call_with(method: &str, headers: &str) -> Incoming {
    let request = format!(
        "{method} /q/00000000000000a1 HTTP/1.1\r\nHost: h\r\n{headers}\
        Content-Length: 2\r\n\r\n"
    );
    let limits = head::Limits::default();
    let head: Option<Head> = head::parse(request.as_bytes(), &limits).expect("it is HTTP");
    Incoming {
        head: head.expect("it is whole"),
        body: b"{}".to_vec(),
        peer: nowhere(),
        arrived: Instant::now(),
    }
}

/// Lets a member know of this leader.
fn follow(shared: &Shared, epoch: u64, addr: SocketAddr) {
    let leader = Leader {
        epoch,
        member: "front-a-2".into(),
        addr,
        began_ms: 1,
    };
    assert!(shared.follow(&leader, true));
}

fn told(addr: SocketAddr) -> (u16, bool) {
    told_of(addr, &post())
}

fn told_of(addr: SocketAddr, incoming: &Incoming) -> (u16, bool) {
    let shared = Shared::new(site());
    follow(&shared, 1, addr);
    let response = callers::answer(&shared, incoming);
    let has_retry = response
        .headers
        .iter()
        .any(|(name, _)| name == "Retry-After");
    (response.status_code, has_retry)
}

#[test]
fn the_answer_of_the_leader_is_passed_back() {
    assert_eq!(told(leader(&[ACCEPTED])), (200, false));
    assert_eq!(told(leader(&[REFUSED])), (503, true));
}

#[test]
fn without_a_leader_callers_are_told_when_to_come_back() {
    assert_eq!(told(nowhere()), (503, true));
}

/// The first try reaches a leader that may have written the job, and its answer is lost. The next
/// try is refused. Passed on, the refusal would say that the job doesn't run, though it may.
#[test]
fn a_refusal_after_a_try_that_may_have_worked_is_not_passed_back() {
    assert_eq!(told(leader(&[UNKNOWN, REFUSED])), (504, false));
    assert_eq!(told(leader(&[UNKNOWN, NO_ROOM])), (504, false));
    assert_eq!(told(leader(&[UNKNOWN, ACCEPTED])), (200, false));
}

/// The first try hands the job in and its answer is lost; then the caller's key is withdrawn, or
/// its queue removed. Passed on, the next try's refusal would say that the job was never taken,
/// while its tasks run and are charged.
#[test]
fn no_refusal_is_passed_back_after_a_try_that_may_have_worked() {
    for refusal in [NO_KEY, NO_QUEUE, MALFORMED] {
        assert_eq!(told(leader(&[UNKNOWN, refusal])), (504, false));
        let cancel = call("DELETE");
        assert_eq!(told_of(leader(&[UNKNOWN, refusal]), &cancel), (504, false));
    }
    assert_eq!(
        told_of(leader(&[UNKNOWN, GONE]), &call("DELETE")),
        (410, false)
    );
}

/// Guards against jobs that are sent whole, over a full link, to be refused.
#[test]
fn jobs_of_a_queue_that_the_leader_refuses_are_only_asked_about() {
    const QUEUE_REFUSED: &str = "HTTP/1.1 503 Busy\r\nX-Leader-Epoch: 1\r\nRetry-After: 9\r\n\
        X-Queue-Refused-Ms: 9000\r\nContent-Length: 2\r\n\r\n{}";
    let (addr, methods) = noting_leader(&[QUEUE_REFUSED, GONE, ACCEPTED]);
    let shared = Shared::new(site());
    follow(&shared, 1, addr);
    let told = [(); 3].map(|()| callers::answer(&shared, &post()).status_code);
    assert_eq!(told, [503, 503, 200]);
    let methods = methods.lock().expect("no test panics here");
    assert_eq!(*methods, ["POST", "POST question", "POST question"]);
}

/// Guards against a 504 for a request of which a later leader knows that it hasn't run.
#[test]
fn a_later_leader_settles_what_became_of_an_unanswered_try() {
    for (later, answer) in [
        (REFUSED_LATER, (503, true)),
        (NO_KEY_LATER, (401, false)),
        (ACCEPTED, (200, false)),
    ] {
        assert_eq!(told(leader(&[UNKNOWN, later])), answer);
    }
}

/// Guards against a try that arrives late, after a later leadership of the same process has answered.
#[test]
fn a_request_for_another_leadership_is_not_taken() {
    let shared = Shared::new(site());
    let (events, taken) = std::sync::mpsc::channel();
    shared.set_leading(Some(Leading { epoch: 7, events }));
    let incoming = call_with("POST", &format!("{}: 6\r\n", wire::FOR_EPOCH));
    let response = callers::answer_passed_on(&shared, &incoming, "/q/00000000000000a1");
    assert_eq!(response.status_code, 421);
    assert!(taken.try_recv().is_err());
}

/// A leader that takes connections and answers nothing, and how many it took.
fn silent_leader() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        let streams = listener.incoming().inspect(|_| {
            count.fetch_add(1, Ordering::SeqCst);
        });
        let kept: Vec<_> = streams.collect();
        drop(kept);
    });
    (addr, accepted)
}

/// Callers at the same time, each of whose requests has one try. They are told these statuses.
fn call_at_once(shared: &Arc<Shared>, count: usize) -> Vec<JoinHandle<u16>> {
    let one = |_| {
        let shared = shared.clone();
        std::thread::spawn(move || {
            let incoming = call_with("POST", "Deadline-Ms: 1600\r\n");
            callers::answer(&shared, &incoming).status_code
        })
    };
    (0..count).map(one).collect()
}

/// Guards against a member that goes on passing requests on to a leader whose answers don't come.
#[test]
fn requests_beyond_the_window_are_refused_unsent() {
    let (addr, accepted) = silent_leader();
    let shared = Arc::new(Shared::new(site()));
    follow(&shared, 1, addr);
    let callers = call_at_once(&shared, 24);
    let told: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("it is answered"))
        .collect();
    let refused = told.iter().filter(|status| **status == 503).count();
    assert_eq!(refused, 8, "{told:?}");
    assert_eq!(accepted.load(Ordering::SeqCst), 16);
}

/// Guards against places that are lost for good when the leader changes while requests wait for one.
#[test]
fn every_place_in_the_window_is_given_back_when_the_leader_changes() {
    let (addr, _) = silent_leader();
    let shared = Arc::new(Shared::new(site()));
    follow(&shared, 1, addr);
    let callers = call_at_once(&shared, 24);
    std::thread::sleep(Duration::from_millis(100));
    follow(&shared, 2, leader(&[REFUSED_LATER]));
    assert_eq!(callers::answer(&shared, &post()).status_code, 503);
    for caller in callers {
        caller.join().expect("it is answered");
    }
    assert_eq!(shared.forwarding.in_flight(), 0);
}

/// A read has no effect, so that it can always be repeated: callers are told when.
#[test]
fn a_read_without_an_answer_was_not_done() {
    assert_eq!(told_of(leader(&[UNKNOWN]), &call("GET")), (503, true));
    assert_eq!(
        told_of(leader(&[UNKNOWN, NO_KEY]), &call("GET")),
        (401, false)
    );
    assert_eq!(
        told_of(leader(&[UNKNOWN, GONE]), &call("GET")),
        (410, false)
    );
}

/// A leader that shuts down turns connections away before it reads a request. That isn't the
/// leader's word on the request, which may still be taken by the next leader.
#[test]
fn a_process_that_turns_connections_away_did_not_answer() {
    assert_eq!(told(leader(&[NO_ROOM, ACCEPTED])), (200, false));
}

/// Each connection of a caller had a connection to the leader of its own, kept for as long. With
/// some thousand callers of many entry instances the leader had no room for another connection,
/// and refused new jobs and reads of states with processors to spare.
#[test]
fn callers_share_the_connections_to_the_leader() {
    const CALLERS: usize = 24;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a caller connects");
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let mut buf = [0; 4096];
                // The body may come after the head: answered twice, the connection isn't used again.
                while let Ok(count) = stream.read(&mut buf)
                    && count > 0
                {
                    if buf[..count].ends_with(b"{}") {
                        let _ = stream.write_all(ACCEPTED.as_bytes());
                    }
                }
            });
        }
    });
    let shared = Arc::new(Shared::new(site()));
    follow(&shared, 1, addr);
    for _ in 0..CALLERS {
        let shared = shared.clone();
        let caller = std::thread::spawn(move || callers::answer(&shared, &post()).status_code);
        assert_eq!(caller.join().expect("it is answered"), 200);
    }
    let accepted = accepted.load(Ordering::SeqCst);
    assert!(
        accepted <= 4,
        "{accepted} connections for one call at a time"
    );
}
