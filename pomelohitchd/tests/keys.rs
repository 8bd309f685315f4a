//! Homes of idempotency keys while the set of members changes, in virtual time.

use std::time::Duration;

use pomelohitch_core::id::{Incarnation, MemberId};
use pomelohitch_peer::permits::{Claim, ClaimStep, Verdict};
use pomelohitch_permits::home::Epoch;
use pomelohitchd::permits::keys::KeyHome;
use pomelohitchd::permits::keys::home::Gone;

const START: Duration = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn own() -> MemberId {
    "own".into()
}

/// The set of these members, as of `offset`.
fn epoch(offset: u64, members: &[(&str, Incarnation)]) -> Epoch {
    let members = members
        .iter()
        .map(|(id, incarnation)| ((*id).into(), *incarnation));
    Epoch {
        offset,
        members: members.collect(),
        has_ended: false,
    }
}

fn claim(attempt: &str, since: Incarnation) -> Claim {
    Claim {
        member: "own".into(),
        key: "k".into(),
        attempt: attempt.into(),
        step: ClaimStep::Begin,
        asks_all: true,
        since,
        ..Claim::default()
    }
}

/// Guards against refusing every key for the whole window because a process read the log before the
/// first member joined, or after all had been removed.
#[test]
fn a_time_without_members_does_not_make_keys_unknown() {
    let mut home = KeyHome::default();
    home.enter(&own(), 0, &epoch(1, &[]), START);
    assert_eq!(home.homes("k", START), Err(None));
    home.enter(&own(), 2, &epoch(2, &[("own", 2)]), START);
    assert_eq!(home.homes("k", START), Ok([(own(), 2)].into()));
    home.enter(&own(), 2, &epoch(3, &[]), START);
    home.enter(&own(), 4, &epoch(4, &[("own", 4)]), START);
    assert_eq!(home.homes("k", START), Ok([(own(), 2)].into()));
    let unaided = Claim {
        asks_all: false,
        ..claim("first", 2)
    };
    let verdict = home.on_claim(&own(), &unaided, START);
    assert_eq!(verdict, Verdict::Granted);
}

/// Guards against refusing the keys of a home that was removed while it was paused and has joined
/// again: its process still has its records. A process that was started anew has not.
#[test]
fn a_home_that_joined_again_knows_its_keys_unless_its_process_is_new() {
    let mut resumed = KeyHome::default();
    resumed.enter(&own(), 2, &epoch(2, &[("own", 2)]), START);
    resumed.enter(&own(), 2, &epoch(3, &[]), START);
    resumed.enter(&own(), 4, &epoch(4, &[("own", 4)]), START);
    let verdict = resumed.on_claim(&own(), &claim("first", 2), START);
    assert_eq!(verdict, Verdict::Granted);

    let mut restarted = KeyHome::default();
    restarted.enter(&own(), 4, &epoch(4, &[("own", 4)]), START);
    let verdict = restarted.on_claim(&own(), &claim("first", 2), START);
    assert_eq!(verdict, Verdict::Unknown);
}

/// Guards against refusing a key at once while its home may join again, and against waiting for one
/// that won't.
#[test]
fn a_home_that_ended_may_join_again_only_for_a_short_time() {
    let mut home = KeyHome::default();
    home.enter(&own(), 1, &epoch(1, &[("own", 1)]), START);
    home.enter(&own(), 1, &epoch(2, &[("other", 2)]), START);
    let gone = |may_rejoin| {
        Err(Some(Gone {
            home: own(),
            may_rejoin,
        }))
    };
    assert_eq!(home.homes("k", START + SECOND), gone(true));
    assert_eq!(home.homes("k", START + 10 * SECOND), gone(false));
}

/// Guards against telling a caller to wait for a request whose member has ended with its key.
#[test]
fn a_key_of_an_ended_member_is_unknown_after_a_short_time() {
    let mut home = KeyHome::default();
    let both = epoch(2, &[("own", 1), ("other", 2)]);
    home.enter(&own(), 1, &both, START);
    let from_other = Claim {
        member: "other".into(),
        ..claim("first", 1)
    };
    assert_eq!(home.on_claim(&own(), &from_other, START), Verdict::Granted);
    let second = claim("second", 1);
    assert_eq!(home.on_claim(&own(), &second, START), Verdict::Pending);
    home.enter(&own(), 1, &epoch(3, &[("own", 1)]), START);
    assert_eq!(home.on_claim(&own(), &second, START), Verdict::Pending);
    let later = START + 10 * SECOND;
    assert_eq!(home.on_claim(&own(), &second, later), Verdict::Unknown);
}
