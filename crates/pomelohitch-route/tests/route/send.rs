//! One attempt of a request at a runner.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_route::send::patience::{Patience, Wait};
use pomelohitch_route::send::{Connection, Error, Options, Outgoing, Sender};
use pomelohitch_route::suspension::{MAX_GAP, Monitor};

const SECOND: Duration = Duration::from_secs(1);

fn patience(timeout: Duration) -> Patience {
    Patience {
        timeout,
        abandon: None,
    }
}

/// Guards against sending after a pause what was allowed before it: the request is withheld after
/// the connection is made, and the runner receives no byte of it.
#[test]
fn a_request_that_the_gate_refuses_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let received = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the sender connects");
        let mut received = Vec::new();
        stream
            .read_to_end(&mut received)
            .expect("the sender closes the connection");
        received
    });
    let req = Outgoing {
        method: "POST".into(),
        target: "/".into(),
        ..Outgoing::default()
    };
    let suspensions = Arc::new(Monitor::new(Instant::now()));
    let sender = Sender::new(Options::default(), suspensions);
    let gate = Box::new(|| false);
    let answered = sender.send(addr, &req, Connection::New, patience(SECOND), gate);
    assert!(matches!(answered, Err(Error::Withheld)), "{answered:?}");
    let received = received.join().expect("no thread panics");
    assert_eq!(received, b"");
}

/// Guards against giving up answers at the end of a suspension: the runner has the whole timeout
/// while this process runs.
#[test]
fn time_during_which_the_process_was_suspended_does_not_count() {
    let start = Instant::now();
    let monitor = Arc::new(Monitor::new(start));
    let mut wait = Wait::new(patience(2 * SECOND), monitor.clone(), start);
    monitor.tick(start + MAX_GAP);
    let resumed = start + 3 * SECOND;
    let left = (2 * SECOND).saturating_sub(MAX_GAP);
    assert_eq!(wait.time_left(resumed), Some(left));
    monitor.tick(resumed);
    assert_eq!(wait.time_left(resumed), Some(left));
    monitor.tick(resumed + MAX_GAP);
    let mut now = resumed + MAX_GAP;
    while now < resumed + left {
        monitor.tick(now);
        now += MAX_GAP;
    }
    assert_eq!(wait.time_left(resumed + left), None);
}

/// Guards against giving up a request long before its timeout because no other attempt is allowed.
#[test]
fn a_call_is_abandoned_only_for_another_attempt() {
    for may_abandon in [false, true] {
        let start = Instant::now();
        let monitor = Arc::new(Monitor::new(start));
        let patience = Patience {
            timeout: 2 * MAX_GAP,
            abandon: Some((MAX_GAP, Box::new(move || may_abandon))),
        };
        let mut wait = Wait::new(patience, monitor, start);
        assert_eq!(wait.time_left(start), Some(MAX_GAP));
        let left = (!may_abandon).then_some(MAX_GAP);
        assert_eq!(wait.time_left(start + MAX_GAP), left);
        assert_eq!(wait.time_left(start + MAX_GAP), left);
    }
}
