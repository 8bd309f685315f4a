//! Shutdown and death of entry instances.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;

use pomelohitch_standin::caller::{self, Call, Outcome};
use pomelohitch_standin::config::TEAMS;
use pomelohitchd::front::Limits;
use rustix::process::Signal;

use crate::support::{Fleet, WAIT_TIMEOUT, call, under_load, wait_until};

/// An entry instance gets SIGTERM under load. Its requests are finished and their callers get
/// complete answers; no connection is cut.
#[test]
fn sigterm_under_load_cuts_nothing_and_exits_with_0() {
    let mut fleet = Fleet::start(3, 4);
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        fleet.wait_finished(100);
        fleet.entries[0].terminate();
        // A balancer that checks readiness does the same.
        wait_until("it isn't ready", || !fleet.entries[0].is_ready());
        entries.lock().expect("no thread panics").remove(0);
        fleet.wait_finished(100);
    });
    let tally = fleet.count(&calls);
    let exit = fleet.entries[0].wait(WAIT_TIMEOUT);
    assert_eq!(exit, Some(0));
    assert!(tally.is_clean(), "{tally:?}");
    assert_eq!(tally.unknown, 0, "{:?}", unknown(&calls));
}

fn unknown(calls: &[caller::FinishedCall]) -> Vec<&Outcome> {
    let outcomes = calls.iter().map(|done| &done.outcome);
    outcomes
        .filter(|outcome| matches!(outcome, Outcome::Unknown(_)))
        .collect()
}

/// Guards against closing a kept connection right after a suspension during the shutdown, while its
/// caller, who had no time to notice the shutdown, sends a request.
#[test]
fn a_request_after_a_suspension_during_the_shutdown_is_answered() {
    let fleet = Fleet::start(1, 1);
    let entry = &fleet.entries[0];
    let mut kept = TcpStream::connect(entry.callers).expect("the entry instance listens");
    let timeout = Some(Duration::from_secs(10));
    kept.set_read_timeout(timeout)
        .expect("the timeout isn't zero");
    let mut send = || {
        let key = TEAMS[0].1;
        let request =
            format!("GET /s/passes/ HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {key}\r\n\r\n");
        let mut answer = [0; 1024];
        let sent = kept.write_all(request.as_bytes());
        let count = sent.and_then(|()| kept.read(&mut answer)).unwrap_or(0);
        String::from_utf8_lossy(&answer[..count]).into_owned()
    };
    assert!(send().starts_with("HTTP/1.1 200"));
    entry.terminate();
    wait_until("it isn't ready", || !entry.is_ready());
    // Connections look for a shutdown at intervals.
    std::thread::sleep(2 * Limits::default().idle_check_interval);
    entry.signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(1_500));
    entry.signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(50));
    let answer = send();
    assert!(answer.starts_with("HTTP/1.1"), "{answer:?}");
}

/// A second SIGTERM during a long request ends the process at once; exit code 3 tells this from a
/// graceful shutdown.
#[test]
fn a_second_sigterm_exits_with_3() {
    let mut fleet = Fleet::start(1, 1);
    let entry = fleet.entries[0].callers;
    let long = Call {
        run: Duration::from_secs(4),
        ..call("long")
    };
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| caller::send(&caller::agent(), entry, &long));
        let runner = &fleet.runners[0];
        wait_until("the request runs", || runner.ledger().running == 1);
        fleet.entries[0].terminate();
        wait_until("it shuts down", || !fleet.entries[0].is_ready());
        fleet.entries[0].terminate();
        assert_eq!(fleet.entries[0].wait(WAIT_TIMEOUT), Some(3));
        sent.join().expect("no thread panics")
    });
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
}

/// An entry instance is killed while it handles requests. Their callers see a cut connection, which
/// leaves the outcome unknown, and no refusal that claims that the request did not run.
#[test]
fn an_entry_instance_that_dies_cuts_its_callers_and_tells_nobody_not_run_falsely() {
    let fleet = Fleet::start(2, 2);
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        fleet.wait_finished(50);
        fleet.entries[0].signal(Signal::KILL);
        fleet.wait_finished(50);
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
    assert!(
        tally.refused > 0,
        "the dead entry instance refuses connections"
    );
}
