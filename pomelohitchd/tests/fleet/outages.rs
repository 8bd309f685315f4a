//! While the store is silent.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use pomelohitchd::fleet::leader::patience::Patience;
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::wire::{self, Probe, ProbeReply};
use pomelohitchd::fleet::{internal, peers};
use pomelohitchd::front;

use super::site::site;

/// A store that takes connections and answers nothing.
fn silent_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        let kept: Vec<_> = listener.incoming().collect();
        drop(kept);
    });
    addr
}

/// A member that serves others, with this store.
fn member(store: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let mut site = site();
    site.store = store;
    let service = internal::service(&Arc::new(Shared::new(site)));
    std::thread::spawn(move || front::serve_with(service, &listener, internal::limits()));
    addr
}

/// The store is silent for all, and the leader asks the members whether they have it. A member
/// whose answer waits for the silent store comes too late; the leader takes itself for cut off
/// from everybody and resigns, and nobody leads when the store is back.
#[test]
fn members_answer_while_the_store_is_silent() {
    let members = [member(silent_store()), member(silent_store())];
    let probe = Probe { with_store: true };
    let within = wire::STORE_PROBE_TIMEOUT;
    let answers = peers::ask_all_within::<ProbeReply>(&members, wire::PROBE_PATH, &probe, within);
    assert_eq!(answers.len(), 2);
    assert!(answers.iter().all(|(_, answer)| !answer.has_store));
}

fn waits(patience: &Patience) -> Vec<u128> {
    (0..10)
        .map(|tries| patience.of_try(tries).as_millis())
        .collect()
}

/// A call that goes out while the store is silent isn't answered when it is back; work goes on with
/// the next try. Waits of more than half a second would show to callers after each silence.
#[test]
fn a_store_that_is_back_is_used_soon() {
    let waits = waits(&Patience::default());
    assert_eq!(waits, [120, 240, 480, 480, 480, 480, 480, 480, 1200, 1200]);
}

/// A slow store answers none of several tries that are all given up early.
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
