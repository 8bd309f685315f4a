//! Behaviour while the store doesn't answer.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use pomelohitchd::fleet::leader::append_timeout::AppendTimeout;
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
    let timeout = wire::STORE_PROBE_TIMEOUT;
    let answers = peers::ask_all_within::<ProbeReply>(&members, wire::PROBE_PATH, &probe, timeout);
    assert_eq!(answers.len(), 2);
    assert!(answers.iter().all(|(_, answer)| !answer.has_store));
}

fn timeouts(timeout: &AppendTimeout) -> Vec<u128> {
    (0..10)
        .map(|failed_attempts| timeout.for_attempt(failed_attempts).as_millis())
        .collect()
}

/// A call sent while the store is silent isn't answered after it recovers; work resumes with the
/// next attempt. Timeouts of more than half a second would delay callers after each such outage.
#[test]
fn a_recovered_store_is_used_soon() {
    let timeouts = timeouts(&AppendTimeout::default());
    assert_eq!(
        timeouts,
        [120, 240, 480, 480, 480, 480, 480, 480, 1200, 1200]
    );
}

/// A slow store answers none of several attempts that are all given up early.
#[test]
fn the_timeout_grows_with_a_slow_store() {
    let mut timeout = AppendTimeout::default();
    for _ in 0..40 {
        timeout.add_sample(Duration::from_millis(150));
    }
    assert!(timeout.for_attempt(0) >= Duration::from_millis(880));
    assert!(timeout.for_attempt(5) >= timeout.for_attempt(0));
    assert_eq!(timeout.for_attempt(9), Duration::from_millis(1200));
}
