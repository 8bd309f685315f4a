//! Withdrawing a key while the log is down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use pomelohitch_core::key;
use pomelohitch_standin::log::{self, Faults};
use pomelohitch_standin::{CallFaults, Log};
use pomelohitchd::node::Node;
use pomelohitchd::settings::Settings;
use pomelohitchd::{reader, withdraw};

fn node(log: &Log) -> Arc<Node> {
    let settings = Settings::parse_from([
        "pomelohitchd",
        "--member=entry-1",
        "--zone=zone-a",
        &format!("--log-url={}", log.url()),
        "--workers-url=http://127.0.0.1:9",
        "--instances-url=http://127.0.0.1:9",
        "--platform-timeout-ms=500",
        &format!("--admin-key-hash={}", key::hash("operator")),
    ]);
    let node = Arc::new(Node::new(settings));
    let reading = node.clone();
    std::thread::spawn(move || reader::run(&reading));
    node
}

fn set_down(log: &Log, down: bool) {
    let calls = CallFaults {
        down,
        ..CallFaults::default()
    };
    log.set_faults(Faults {
        calls,
        ..Faults::default()
    });
}

/// Upper limit of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_key_withdrawn_while_the_log_is_down_is_refused_at_once_and_recorded_later() {
    // If entry instances did not pass withdrawals to each other, a key that leaks during an outage
    // of the log would be accepted until the log is back.
    let log = Log::start(&log::Options::default());
    let node = node(&log);
    wait_until("the log was read", || node.last_log_read().is_some());
    set_down(&log, true);
    let leaked = key::hash("leaked");

    let withdrawal = withdraw::withdraw_key(&node, &leaked);
    assert_eq!(
        withdrawal.offset, None,
        "the withdrawal is not recorded, and the operator learns that"
    );
    assert!(
        node.known_withdrawals
            .load()
            .withdrawn_keys
            .contains(&leaked)
    );
    withdraw::log_withdrawals(&node);
    assert!(
        node.known_withdrawals
            .load()
            .withdrawn_keys
            .contains(&leaked),
        "kept until it is recorded"
    );

    set_down(&log, false);
    wait_until("it is recorded", || {
        withdraw::log_withdrawals(&node);
        node.state.load().withdrawn.contains(&leaked)
    });
    withdraw::log_withdrawals(&node);
    assert!(
        node.known_withdrawals.load().withdrawn_keys.is_empty(),
        "dropped once the log contains it"
    );
}

#[test]
fn a_withdrawal_reported_by_a_peer_is_recorded_by_its_receiver() {
    // The entry instance that got the request of the operator may be replaced before the log is
    // back, so that every peer it has notified records the withdrawal.
    let log = Log::start(&log::Options::default());
    let node = node(&log);
    wait_until("the log was read", || node.last_log_read().is_some());
    let leaked = key::hash("leaked");
    node.add_withdrawn(std::slice::from_ref(&leaked));
    withdraw::flush(&node, WAIT_TIMEOUT);
    assert!(node.state.load().withdrawn.contains(&leaked));
}
