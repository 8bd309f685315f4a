//! Shutdown and death of entry instances.

use std::sync::Mutex;
use std::time::Duration;

use pomelohitch_standin::caller::{self, Call, Outcome};

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
        fleet.entries[0].signal(rustix::process::Signal::KILL);
        fleet.wait_finished(50);
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
    assert!(
        tally.refused > 0,
        "the dead entry instance refuses connections"
    );
}
