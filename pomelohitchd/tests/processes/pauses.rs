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
            timeout: Duration::from_secs(3),
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

/// Guards against refusing all requests for as long as a run may take, because every entry instance
/// was removed while it was paused and joined again without permits.
#[test]
fn entry_instances_that_joined_again_have_permits_at_once() {
    let fleet = Fleet::start(2, 2);
    for paused in &fleet.entries {
        let before = fleet.state().members.by_id[&paused.member].incarnation;
        paused.signal(Signal::STOP);
        let others = fleet.entries.iter().find(|e| e.member != paused.member);
        let other = others.expect("there are two");
        wait_until("it is removed", || {
            let state = other.state();
            state.is_some_and(|state| !state.members.by_id.contains_key(&paused.member))
        });
        paused.signal(Signal::CONT);
        wait_until("it has joined again", || {
            let has_joined = other.state().is_some_and(|state| {
                let member = state.members.by_id.get(&paused.member);
                member.is_some_and(|member| member.incarnation > before)
            });
            has_joined && paused.is_ready()
        });
    }
    for entry in 0..2 {
        assert_eq!(fleet.probe(entry), Outcome::Complete);
    }
}
