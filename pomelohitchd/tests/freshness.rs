//! When the state of an entry instance is recent enough to dispatch work.

use std::time::Duration;

use pomelohitchd::freshness::{BOUND, Evidence};

const LONG_AGO: Option<Duration> = Some(Duration::from_mins(1));

#[test]
fn a_recent_read_of_the_log_is_enough() {
    let evidence = Evidence {
        log_read: Some(BOUND),
        members: 8,
        heard: 1,
        is_behind: false,
    };
    assert!(evidence.is_fresh());
}

#[test]
fn while_the_log_is_down_more_than_half_of_the_members_are_enough() {
    let evidence = Evidence {
        log_read: LONG_AGO,
        members: 8,
        heard: 5,
        is_behind: false,
    };
    assert!(evidence.is_fresh());
}

/// An entry instance is cut off from the log and its peers, or was paused for a minute, and a key
/// is withdrawn meanwhile. If it dispatched work by its old state, it would still accept the key.
#[test]
fn a_member_cut_off_from_the_log_and_half_of_the_members_is_not_fresh() {
    let evidence = Evidence {
        log_read: LONG_AGO,
        members: 8,
        heard: 4,
        is_behind: false,
    };
    assert!(!evidence.is_fresh());
}

/// Only one entry instance cannot reach the log, and a published withdrawal of a key is read by the
/// others. It hears from them that they have read further; if it dispatched work by its old state,
/// it would accept the key until the log is back.
#[test]
fn a_member_that_hears_of_records_it_cannot_read_is_not_fresh() {
    let evidence = Evidence {
        log_read: LONG_AGO,
        members: 8,
        heard: 8,
        is_behind: true,
    };
    assert!(!evidence.is_fresh());
}

/// While the log is down, two halves of the members can't reach each other. A withdrawal that only
/// one half knows must not leave the other half accepting the key.
#[test]
fn two_halves_are_never_both_fresh() {
    for members in 1..=9 {
        for heard in 0..=members {
            let one = Evidence {
                log_read: None,
                members,
                heard,
                is_behind: false,
            };
            let other = Evidence {
                log_read: None,
                members,
                heard: members - heard,
                is_behind: false,
            };
            assert!(
                !(one.is_fresh() && other.is_fresh()),
                "{heard} of {members}"
            );
        }
    }
}
