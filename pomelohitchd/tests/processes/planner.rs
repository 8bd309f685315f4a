//! The planner dies or is paused.

use pomelohitch_standin::caller::Outcome;
use rustix::process::Signal;

use crate::support::{Fleet, wait_until};

/// The planner is killed. Another entry instance detects it, removes it from the members and takes
/// the next term, so that planning goes on.
#[test]
fn when_the_planner_is_killed_another_entry_instance_takes_the_term() {
    let mut fleet = Fleet::start(3, 2);
    let term = fleet.state().members.term;
    let planner = fleet.planner();
    fleet.entries[planner].signal(Signal::KILL);
    let dead = fleet.entries.remove(planner);
    wait_until("another entry instance is the planner", || {
        let members = fleet.state().members;
        members.term > term
            && !members.by_id.contains_key(&dead.member)
            && members.planner.is_some()
    });
    assert_eq!(fleet.probe(0), Outcome::Complete);
    assert_eq!(fleet.probe(1), Outcome::Complete);
}

/// The planner is paused until the others remove it, and resumes with outdated state. Its decisions
/// in the old term have no effect, and it joins again as a new incarnation.
#[test]
fn a_paused_planner_decides_nothing_in_its_old_term_and_joins_again() {
    let fleet = Fleet::start(3, 2);
    let planner = fleet.planner();
    let paused = &fleet.entries[planner];
    let before = fleet.state();
    let incarnation = before.members.by_id[&paused.member].incarnation;
    paused.signal(Signal::STOP);
    let others = fleet.entries.iter().filter(|e| e.member != paused.member);
    let others: Vec<_> = others.collect();
    wait_until("the others go on without it", || {
        others.iter().all(|entry| {
            let members = entry.state().map(|state| state.members);
            members.is_some_and(|members| {
                members.term > before.members.term && !members.by_id.contains_key(&paused.member)
            })
        })
    });
    let term = others[0]
        .state()
        .expect("the entry instance is running")
        .members
        .term;
    paused.signal(Signal::CONT);
    wait_until("the paused entry instance joins again", || {
        fleet.entries.iter().all(|entry| {
            let members = entry.state().map(|state| state.members);
            let member = members.and_then(|members| members.by_id.get(&paused.member).cloned());
            member.is_some_and(|member| member.incarnation > incarnation)
        })
    });
    wait_until("it serves requests", || {
        paused.is_ready() && fleet.probe(planner) == Outcome::Complete
    });
    let after = fleet.state();
    assert_eq!(after.config, before.config);
    assert_eq!(after.fleet.instances, before.fleet.instances);
    assert!(after.members.term >= term);
}
