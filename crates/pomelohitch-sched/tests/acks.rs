//! Tests of which members get heartbeats over connections.

use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::acks::Acks;

const INTERVAL: Duration = Duration::from_millis(250);
const MAX_CALLS: usize = 64;

/// Calls in 40 intervals to members of which every `silent`th acknowledges no datagrams, and whether
/// these answer calls.
fn calls(members: u32, silent: u32, answers_calls: bool) -> Vec<Vec<u32>> {
    let mut acks = Acks::default();
    let mut now = Steady::ZERO;
    let rounds = (0..40).map(|_| {
        now += INTERVAL;
        acks.set_members(0..members, now);
        let called = acks.take_overdue(now, MAX_CALLS);
        for member in (0..members).filter(|m| m % silent != 0) {
            acks.acknowledged(&member, now);
        }
        if answers_calls {
            for member in &called {
                acks.answered(member, now);
            }
        }
        called
    });
    rounds.collect()
}

/// Guards against a connection and a thread for each member.
#[test]
fn members_that_acknowledge_datagrams_are_not_called() {
    for members in [588, 1_176] {
        let called: usize = calls(members, members + 1, true).iter().map(Vec::len).sum();
        // Member 0 is the only one that doesn't acknowledge.
        assert_eq!(called, 38, "{members} members");
    }
}

/// Guards against calls to all members of a lost availability zone at a time.
#[test]
fn calls_are_bounded_while_many_members_are_silent() {
    for members in [588, 1_176] {
        let called = calls(members, 6, false);
        assert!(called.iter().all(|c| c.len() <= MAX_CALLS));
    }
}

/// Guards against members behind a lossy link that wait for those that are cut off.
#[test]
fn members_that_answer_calls_are_called_first() {
    let mut acks = Acks::default();
    acks.set_members(0..10, Steady::ZERO);
    let mut now = INTERVAL * 2;
    for _ in 0..10 {
        for member in acks.take_overdue(now, 3) {
            if member == 7 {
                acks.answered(&member, now);
            }
        }
        now += INTERVAL;
    }
    assert!(acks.take_overdue(now, 3).contains(&7));
}

#[test]
fn members_that_joined_just_now_are_not_overdue() {
    let mut acks = Acks::default();
    acks.set_members(0..4, Steady::ZERO);
    acks.set_members(0..5, INTERVAL * 2);
    assert_eq!(acks.take_overdue(INTERVAL * 2, 10), [0, 1, 2, 3]);
}
