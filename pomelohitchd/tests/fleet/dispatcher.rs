//! Calls of the leader to endpoints.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};

use pomelohitch_sched::TaskId;
use pomelohitch_sched::id::RunNumber;
use pomelohitch_sched::order::{Order, Outcome, Target};
use pomelohitchd::fleet::clock;
use pomelohitchd::fleet::leader::core::Event;
use pomelohitchd::fleet::leader::dispatcher::{Dispatcher, Options};

const ACCEPTED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":1}";

/// An endpoint that answers every order except those of the `unanswered` runs.
fn endpoint(unanswered: &'static [RunNumber]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("the connection is accepted");
            std::thread::spawn(move || answer(stream, unanswered));
        }
    });
    addr
}

fn answer(mut stream: TcpStream, unanswered: &[RunNumber]) {
    let mut buf = [0; 4096];
    let mut received = String::new();
    while let Ok(count) = stream.read(&mut buf)
        && count > 0
    {
        received.push_str(&String::from_utf8_lossy(&buf[..count]));
        if !received.ends_with('}') {
            continue;
        }
        let is_order_of = |run: &RunNumber| received.contains(&format!("\"run\":{run},"));
        if !unanswered.iter().any(is_order_of) && stream.write_all(ACCEPTED).is_err() {
            return;
        }
        received.clear();
    }
}

fn stop(run: RunNumber) -> Order {
    let task = TaskId {
        job: 1,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Order::Stop { task, run }
}

/// The runs of the next `count` orders that ended, in order, and their outcomes.
fn outcomes(events: &Receiver<Event>, count: usize) -> Vec<(RunNumber, Outcome)> {
    let ends = events.iter().take(count).map(|event| match event {
        Event::Ordered(_, Order::Stop { run, .. }, outcome) => (run, outcome),
        other => panic!("{other:?}"),
    });
    ends.collect()
}

fn send(runs: std::ops::RangeInclusive<RunNumber>, addr: SocketAddr) -> Vec<(RunNumber, Outcome)> {
    let (tx, rx) = mpsc::channel();
    let dispatcher = Dispatcher::start(tx, Options::default()).expect("the thread starts");
    let target = Target {
        id: Arc::from("e1"),
        born: 1,
        service: "pricing".into(),
        addr,
    };
    let count = runs.clone().count();
    for run in runs {
        dispatcher.order(target.clone(), stop(run), 1, clock::steady());
    }
    outcomes(&rx, count)
}

/// Guards against an unanswered order that blocks the other orders to its endpoint. With one
/// unanswered order in twenty, most starts at a busy endpoint would be late, and the oldest would
/// not be sent at all.
#[test]
fn an_order_without_an_answer_does_not_hold_up_its_endpoint() {
    let ends = send(1..=12, endpoint(&[1]));
    assert_eq!(ends.last(), Some(&(1, Outcome::Unanswered)));
    let accepted = ends
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Taken);
    assert_eq!(accepted.count(), 11);
}

#[test]
fn every_order_ends_once() {
    let mut ends = send(1..=40, endpoint(&[]));
    ends.sort_by_key(|(run, _)| *run);
    let runs: Vec<RunNumber> = ends.iter().map(|(run, _)| *run).collect();
    assert_eq!(runs, (1..=40).collect::<Vec<_>>());
    assert!(ends.iter().all(|(_, outcome)| *outcome == Outcome::Taken));
}
