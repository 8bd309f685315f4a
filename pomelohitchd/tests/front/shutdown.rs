//! A graceful shutdown of the callers' port completes the requests in flight.

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use pomelohitchd::front::Limits;

use crate::entry::{Entry, KEY, status, wait_until};
use crate::runner::{Runner, ok};

/// An entry instance shuts down while a request runs and other callers hold idle connections. The
/// request gets its complete answer, and the next answer on an idle connection carries `Connection:
/// close`, so that its caller connects elsewhere.
#[test]
fn requests_in_flight_are_finished_and_kept_connections_told_to_close() {
    let (tx, rx) = mpsc::channel::<()>();
    let rx = std::sync::Mutex::new(rx);
    let runner = Runner::start(move |seen| {
        if seen.lines[0].contains("/slow") {
            let _ = rx.lock().unwrap().recv();
        }
        Some(ok("whole"))
    });
    let limits = Limits {
        shutdown_grace: Duration::from_millis(300),
        ..Limits::default()
    };
    let entry = Entry::start(&[runner.addr], limits);
    let request =
        |path| format!("GET {path} HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let mut kept = entry.connect();
    kept.write_all(request("/s/passes/").as_bytes()).unwrap();
    let mut answer = [0; 1024];
    let length = kept.read(&mut answer).unwrap();
    assert!(!String::from_utf8_lossy(&answer[..length]).contains("Connection: close"));
    let mut slow = entry.connect();
    slow.write_all(request("/s/passes/slow").as_bytes())
        .unwrap();
    wait_until("the slow request runs", || runner.count() == 2);

    entry.node.lifecycle.leaving.store(true, Ordering::Release);
    kept.write_all(request("/s/passes/").as_bytes()).unwrap();
    let mut rest = String::new();
    kept.read_to_string(&mut rest).unwrap();
    assert_eq!(status(&rest), 200);
    assert!(rest.contains("Connection: close"), "{rest}");
    assert!(!entry.serving.is_finished(), "a request is still running");

    tx.send(()).unwrap();
    let mut rest = String::new();
    slow.read_to_string(&mut rest).unwrap();
    assert!(rest.ends_with("whole"), "{rest}");
    wait_until("serving ends", || entry.serving.is_finished());
}
