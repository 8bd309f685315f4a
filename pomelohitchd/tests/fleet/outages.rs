//! Behaviour while the store doesn't answer.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use pomelohitchd::fleet::leader::patience::Patience;
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::wire::{self, Probe, ProbeReply};
use pomelohitchd::fleet::{internal, peers};
use pomelohitchd::front;

use super::site::site;

/// A store that accepts connections and never answers.
fn silent_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    std::thread::spawn(move || {
        let kept: Vec<_> = listener.incoming().collect();
        drop(kept);
    });
    addr
}

/// A member that serves other members and uses `store`.
fn member(store: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let mut site = site();
    site.store = store;
    let service = internal::service(&Arc::new(Shared::new(site)));
    std::thread::spawn(move || front::serve_with(service, &listener, internal::limits()));
    addr
}

/// While the store is silent for all, the leader probes the members. If their answers waited for
/// the store, they would come too late: the leader would take itself for isolated and resign, and
/// there would be no leader when the store recovers.
#[test]
fn members_answer_while_the_store_is_silent() {
    let members = [member(silent_store()), member(silent_store())];
    let probe = Probe { with_store: true };
    let within = wire::STORE_PROBE_WITHIN;
    let answers = peers::ask_all_within::<ProbeReply>(&members, wire::PROBE, &probe, within);
    assert_eq!(answers.len(), 2);
    assert!(answers.iter().all(|(_, answer)| !answer.has_store));
}

fn waits(patience: &Patience) -> Vec<u128> {
    (0..10)
        .map(|tries| patience.of_try(tries).as_millis())
        .collect()
}

/// A call sent while the store is silent isn't answered after it recovers; work resumes with the
/// next attempt. Timeouts of more than half a second would delay callers after each such outage.
#[test]
fn a_store_that_is_back_is_used_soon() {
    let waits = waits(&Patience::default());
    assert_eq!(waits, [120, 240, 480, 480, 480, 480, 480, 480, 1200, 1200]);
}

/// A slow store answers none of several attempts that are all given up early.
#[test]
fn a_slow_store_is_waited_for() {
    let mut patience = Patience::default();
    for _ in 0..40 {
        patience.took(Duration::from_millis(150));
    }
    assert!(patience.of_try(0) >= Duration::from_millis(880));
    assert!(patience.of_try(5) >= patience.of_try(0));
    assert_eq!(patience.of_try(9), Duration::from_millis(1200));
}
