//! Tests of confirmations of a leadership by the members.

use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::confirmation::{Confirmations, majority};

fn at(millis: u64) -> Steady {
    Duration::from_millis(millis)
}

/// Guards against a leader that takes the answers of a minority on its side of a cut for consent.
#[test]
fn a_minority_does_not_confirm() {
    let mut answers = Confirmations::default();
    answers.set_members(0..6, 0);
    answers.acknowledged(&0, at(1_000), true);
    answers.acknowledged(&1, at(1_100), true);
    assert_eq!(answers.confirmed_at(at(2_000)), None);
    answers.acknowledged(&2, at(900), true);
    assert_eq!(answers.confirmed_at(at(2_000)), Some(at(900)));
    answers.acknowledged(&3, at(1_200), true);
    assert_eq!(answers.confirmed_at(at(2_000)), Some(at(1_000)));
}

/// Guards against a member that restarted, has forgotten a later leader and counts for an earlier one.
#[test]
fn a_member_that_has_not_read_the_record_of_the_leader_does_not_confirm() {
    let mut answers = Confirmations::default();
    answers.set_members(0..2, 0);
    answers.acknowledged(&0, at(1_000), false);
    assert_eq!(answers.confirmed_at(at(1_000)), None);
    assert_eq!(answers.unacknowledged(), 1);
    answers.acknowledged(&0, at(1_200), true);
    assert_eq!(answers.confirmed_at(at(1_300)), Some(at(1_200)));
}

/// Guards against a quorum that shrinks with the known members while its record still counts more.
#[test]
fn the_quorum_never_falls() {
    let mut answers = Confirmations::default();
    answers.set_members(0..6, 0);
    assert_eq!(answers.quorum(), 4);
    answers.set_members(0..2, 0);
    assert_eq!(answers.quorum(), 4);
    answers.acknowledged(&0, at(1_000), true);
    answers.acknowledged(&1, at(1_000), true);
    assert_eq!(answers.confirmed_at(at(1_000)), None);
}

/// Guards against a member whose record another version has written and that is taken for absent.
#[test]
fn a_member_whose_record_can_not_be_read_counts() {
    let mut answers = Confirmations::default();
    answers.set_members(0..2, 1);
    answers.acknowledged(&0, at(1_000), true);
    assert_eq!(answers.confirmed_at(at(1_000)), None);
    answers.acknowledged(&1, at(1_000), true);
    assert_eq!(answers.confirmed_at(at(1_000)), Some(at(1_000)));
    assert_eq!(answers.unacknowledged(), 1);
}

#[test]
fn a_leader_without_other_members_confirms_itself() {
    let answers = Confirmations::<u32>::default();
    assert_eq!(answers.confirmed_at(at(5)), Some(at(5)));
    assert_eq!(answers.unacknowledged(), 0);
}

/// Guards against two leaders of which one is confirmed while the other counts it as over: whichever
/// members acknowledge the later one, and whichever join meanwhile.
#[test]
fn no_earlier_leader_is_confirmed_once_a_later_one_counts_it_as_over() {
    for (known, registered) in
        (1..=4).flat_map(|known| (known.max(2)..=known + 3).map(move |r| (known, r)))
    {
        for acknowledging in 0..1 << registered {
            assert_not_both(known, registered, acknowledging);
        }
    }
}

/// Member 0 leads first and knows `known` members. Member 1 leads later and knows all registered ones,
/// of which those in the set `acknowledging` know it. All others confirm member 0.
fn assert_not_both(known: u32, registered: u32, acknowledging: u32) {
    let acknowledges = |member: &u32| acknowledging >> member & 1 == 1;
    let mut earlier = Confirmations::default();
    earlier.set_members(1..known, 0);
    let mut later = Confirmations::default();
    later.set_members((0..registered).filter(|m| *m != 1), 0);
    for member in (0..registered).filter(|m| *m != 1) {
        if acknowledges(&member) {
            later.acknowledged(&member, at(1_000), true);
        } else {
            earlier.acknowledged(&member, at(1_000), true);
        }
    }
    let is_over = later.unacknowledged() < earlier.quorum();
    let is_confirmed = !acknowledges(&0) && earlier.confirmed_at(at(1_000)).is_some();
    assert!(
        !(is_over && is_confirmed),
        "{known} of {registered} known, {acknowledging:b} acknowledge"
    );
}

#[test]
fn two_majorities_share_a_member() {
    for members in 1..=600 {
        assert!(2 * majority(members) > members);
    }
}
