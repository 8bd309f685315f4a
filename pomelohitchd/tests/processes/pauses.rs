//! Entry instances that are paused for a while, as on a busy host, and go on.

use std::time::Duration;

use pomelohitch_standin::caller::{self, Call, Outcome};
use rustix::process::Signal;

use crate::support::{Fleet, call, wait_until};

/// Guards against dropping an answer that arrived while the entry instance was paused over the
/// request's deadline.
#[test]
fn an_answer_that_arrives_during_a_pause_is_delivered() {
    let fleet = Fleet::start(1, 1);
    for idempotent in [false, true] {
        let call = Call {
            idempotent,
            run: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            min_answer_len: 20_000,
            ..call("paused")
        };
        let entry = &fleet.entries[0];
        let runner = &fleet.runners[0];
        let outcome = std::thread::scope(|scope| {
            let sent = scope.spawn(|| caller::send(&caller::agent(), entry.callers, &call));
            wait_until("it runs", || runner.ledger().running == 1);
            entry.signal(Signal::STOP);
            wait_until("it ends", || runner.ledger().running == 0);
            std::thread::sleep(call.timeout);
            entry.signal(Signal::CONT);
            sent.join().expect("no thread panics")
        });
        assert_eq!(outcome, Outcome::Complete, "idempotent: {idempotent}");
    }
}

/// Guards against refusing requests because the home of their idempotency keys answers late.
#[test]
fn keys_of_a_home_that_is_paused_briefly_are_served() {
    let fleet = Fleet::start(3, 3);
    let home = &fleet.entries[1];
    let outcomes = std::thread::scope(|scope| {
        home.signal(Signal::STOP);
        let sending: Vec<_> = (0..12)
            .map(|index| {
                let call = Call {
                    idempotent: false,
                    idempotency_key: Some(format!("purchase {index}").into()),
                    timeout: Duration::from_secs(10),
                    ..call(&format!("purchase-{index}"))
                };
                let entry = fleet.entries[0].callers;
                scope.spawn(move || caller::send(&caller::agent(), entry, &call))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1200));
        home.signal(Signal::CONT);
        let done = sending
            .into_iter()
            .map(|one| one.join().expect("no thread panics"));
        done.collect::<Vec<_>>()
    });
    let is_served = |outcome: &Outcome| *outcome == Outcome::Complete;
    assert!(outcomes.iter().all(is_served), "{outcomes:?}");
}
