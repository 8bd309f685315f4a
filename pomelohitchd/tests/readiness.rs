//! When a member that has joined may serve, and when a snapshot is due.

use std::time::Duration;

use pomelohitchd::readiness::Evidence;
use pomelohitchd::snapshots::View;

/// A member that has just joined, has read to the head of the log and has heard both peers.
fn caught_up() -> Evidence {
    Evidence {
        next: 10,
        is_at_head: true,
        log_is_down: false,
        others: 2,
        heard: 2,
        highest: 10,
        since_join: Duration::ZERO,
        lease: Duration::from_secs(3),
    }
}

#[test]
fn a_member_at_the_head_that_heard_a_peer_serves() {
    assert!(caught_up().may_serve());
    let first = Evidence {
        others: 0,
        heard: 0,
        highest: 0,
        ..caught_up()
    };
    assert!(first.may_serve());
}

#[test]
fn a_member_that_is_behind_its_peers_does_not_serve() {
    // The log was read to its head a moment ago, and the peers have read further since. Callers
    // would get a limit or a key from before the last publish.
    let behind = Evidence {
        highest: 11,
        ..caught_up()
    };
    assert!(!behind.may_serve());
}

#[test]
fn while_the_log_is_down_the_peers_stand_in_for_its_head() {
    let outage = Evidence {
        is_at_head: false,
        log_is_down: true,
        ..caught_up()
    };
    assert!(outage.may_serve());
    let behind = Evidence {
        highest: 11,
        ..outage
    };
    assert!(!behind.may_serve());
    let alone = Evidence {
        heard: 0,
        highest: 0,
        since_join: Duration::from_mins(1),
        ..outage
    };
    assert!(!alone.may_serve());
}

#[test]
fn a_member_waits_for_a_peer_but_not_for_dead_ones() {
    // A key that is withdrawn while the log is down is known to the peers only. An entry instance
    // that starts reads to the head of the log, where the withdrawal is not recorded yet.
    let unheard = Evidence {
        heard: 0,
        highest: 0,
        ..caught_up()
    };
    assert!(!unheard.may_serve());
    let after_a_lease = Evidence {
        since_join: Duration::from_secs(3),
        ..unheard
    };
    assert!(after_a_lease.may_serve());
}

/// A snapshot that was written a minute ago, in a log that has trimmed nothing.
fn view() -> View {
    View {
        snapshot: 1000,
        age: Duration::from_mins(1),
        interval: Duration::from_mins(30),
        first: 0,
        next: 1500,
    }
}

#[test]
fn a_snapshot_is_due_by_time_and_by_records() {
    assert!(!view().is_due());
    let is_old = View {
        age: Duration::from_mins(30),
        ..view()
    };
    assert!(is_old.is_due());
    let nothing_new = View {
        next: 1000,
        ..is_old
    };
    assert!(!nothing_new.is_due());
    let many_records = View {
        next: 1000 + 4096,
        ..view()
    };
    assert!(many_records.is_due());
}

#[test]
fn a_snapshot_is_due_before_the_records_after_the_last_one_are_trimmed() {
    // The log may keep records for less time than operators expect. Once the record after the
    // newest snapshot is trimmed, no entry instance can start.
    let half_gone = View {
        first: 600,
        ..view()
    };
    assert!(half_gone.is_due());
    let recent = View {
        first: 400,
        ..view()
    };
    assert!(!recent.is_due());
}
