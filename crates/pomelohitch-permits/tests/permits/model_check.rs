//! Explores all reachable states within a scope: the limit holds in all of them, and each broken
//! rule is detected.

use pathfinding::directed::bfs::bfs;

use crate::model::{Fault, Scope, World};

/// Teams of which the first member gets the remainder of a division; their homes are the first and
/// the second of two members.
const HOMED_AT_FIRST: &str = "hotel";
const HOMED_AT_SECOND: &str = "villa";

/// No change of members; covers loss, duplication and reordering of messages.
fn messages(fault: Fault) -> Scope {
    Scope {
        members: 2,
        limit: 1,
        team: HOMED_AT_FIRST,
        last_tick: 1,
        last_offset: 2,
        last_sequence: 4,
        has_old_packets: true,
        fault,
    }
}

/// One change of members, read by the processes in every possible order.
fn changes(fault: Fault) -> Scope {
    Scope {
        members: 2,
        limit: 1,
        team: HOMED_AT_FIRST,
        last_tick: 3,
        last_offset: 3,
        last_sequence: 3,
        has_old_packets: false,
        fault,
    }
}

/// Upper limit of explored states; more do not fit the memory of the machine that runs the check.
const MAX_STATES: usize = 400_000;

/// Returns the number of states explored, and the shortest path to a state in which more requests
/// run than the limit allows.
fn explore(scope: &Scope) -> (usize, Option<Vec<World>>) {
    let mut reached = 0;
    let path = bfs(
        &World::start(scope),
        |world| {
            reached += 1;
            assert!(reached < MAX_STATES, "the scope is too large");
            world.next(scope)
        },
        |world| world.running() > scope.limit,
    );
    (reached, path)
}

fn assert_detected(scope: &Scope) {
    let (reached, path) = explore(scope);
    let (fault, steps) = (scope.fault, path.as_ref().map(Vec::len));
    println!("{fault:?}: {steps:?} steps, {reached} states");
    assert!(path.is_some(), "fault not detected in {reached} states");
}

fn assert_limit_holds(scope: &Scope, at_least: usize) {
    let (reached, path) = explore(scope);
    println!("{reached} states");
    for world in path.iter().flatten() {
        println!("{world:?}");
    }
    assert_eq!(path.map(|path| path.len()), None, "the limit was exceeded");
    assert!(reached > at_least, "only {reached} states");
}

/// Messages between members are lost, duplicated and reordered while callers give up and their
/// requests continue. In no reachable state does a team exceed its limit.
#[test]
fn the_limit_holds_whatever_the_network_does() {
    assert_limit_holds(&messages(Fault::None), 1000);
}

/// Members end, are declared dead while alive, come back, pause and are cut off. In no reachable
/// state does a team exceed its limit.
#[test]
fn the_limit_holds_through_a_change_of_members() {
    assert_limit_holds(&changes(Fault::None), 10_000);
}

#[test]
fn applying_a_late_reply_is_detected() {
    assert_detected(&Scope {
        last_sequence: 6,
        ..messages(Fault::AppliesLateReply)
    });
}

#[test]
fn accepting_an_old_ask_is_detected() {
    assert_detected(&messages(Fault::AcceptsOldAsk));
}

#[test]
fn reporting_before_releasing_is_detected() {
    assert_detected(&messages(Fault::ReportsBeforeReleasing));
}

#[test]
fn granting_before_all_have_reported_is_detected() {
    assert_detected(&changes(Fault::GrantsBeforeAllReported));
}

#[test]
fn not_waiting_for_ended_members_is_detected() {
    assert_detected(&changes(Fault::DoesNotWait));
}

#[test]
fn waiting_for_the_lease_only_is_detected() {
    assert_detected(&changes(Fault::WaitsForLeaseOnly));
}

#[test]
fn releasing_a_running_permit_is_detected() {
    assert_detected(&messages(Fault::ReleasesRunningPermit));
}

#[test]
fn ignoring_the_lease_is_detected() {
    assert_detected(&changes(Fault::IgnoresLease));
}

/// A member is ended and joins again, as the same process or as another one.
fn resumption(fault: Fault) -> Scope {
    Scope {
        members: 2,
        limit: 1,
        team: HOMED_AT_FIRST,
        last_tick: 2,
        last_offset: 4,
        last_sequence: 2,
        has_old_packets: false,
        fault,
    }
}

/// A process that was ended joins again and accounts for what it still runs. In no reachable state
/// does a team exceed its limit.
#[test]
fn the_limit_holds_when_a_process_joins_again() {
    for team in [HOMED_AT_FIRST, HOMED_AT_SECOND] {
        let scope = Scope {
            team,
            ..resumption(Fault::None)
        };
        assert_limit_holds(&scope, 10_000);
    }
}

#[test]
fn forgetting_runs_on_resume_is_detected() {
    assert_detected(&resumption(Fault::ForgetsRunsOnResume));
}

#[test]
fn accounting_for_another_process_is_detected() {
    assert_detected(&Scope {
        team: HOMED_AT_SECOND,
        ..resumption(Fault::AccountsForOtherProcess)
    });
}
