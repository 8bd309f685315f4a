//! Changes of leader.

use std::sync::Arc;

use pomelohitch_sched::config::Service;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const ID: &str = "00000000000000a1";

#[test]
fn a_new_leader_goes_on_with_what_runs() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(4, 1000, 1_000)]));
    fleet.pass(30);
    fleet.change_leader();
    fleet.pass(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 4);
    fleet.assert_sound();
}

/// A leader ends between writing a start and ordering it. The next one knows the start from the
/// record, looks, finds nothing and starts the task; without the look it would wait for ever.
#[test]
fn a_recorded_start_that_was_never_ordered_is_made_good() {
    let mut fleet = Fleet::new(2);
    fleet.endpoint("e0").is_silent = true;
    fleet.endpoint("e1").is_silent = true;
    fleet.submit(ID, job(vec![step(2, 1000, 200)]));
    fleet.pass(30);
    fleet.change_leader();
    fleet.endpoint("e0").is_silent = false;
    fleet.endpoint("e1").is_silent = false;
    fleet.pass(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_sound();
}

/// The leader changes while an endpoint is silent that runs a task. The new leader never read the
/// endpoint's clock, so that it has to wait out the longest lease that may be in force.
#[test]
fn a_new_leader_waits_for_leases_that_it_does_not_know() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(1, 500, 30_000)]));
    fleet.pass(20);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).is_silent = true;
    fleet.change_leader();
    fleet.pass(900);
    assert_eq!(fleet.starts.len(), 1);
    fleet.pass(300);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_sound();
}

/// Everything is accepted and durable, then all entry instances lose power before anything runs.
#[test]
fn an_accepted_job_outlives_every_leader() {
    let mut fleet = Fleet::new(2);
    let call = fleet.submit(ID, job(vec![step(3, 1000, 100)]));
    fleet.pass(2);
    assert_eq!(fleet.replies.get(&call), Some(&Answer::Accepted));
    fleet.change_leader();
    fleet.change_leader();
    fleet.pass(200);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_sound();
}

/// Everybody loses power in the middle of a turn. The pool needs instances that have been off for
/// long; a new leader that leaves them alone for seconds, as if they had just been switched off,
/// makes callers wait for the whole of the turn.
#[test]
fn a_new_leader_switches_on_what_has_been_off_for_long() {
    let mut fleet = spare_fleet();
    fleet.pass(1_000);
    fleet.change_leader();
    fleet.pass(1);
    fleet.cell.former_is_gone();
    ask_for_much(&mut fleet);
    fleet.pass(120);
    assert!(!fleet.operations.is_empty());
    fleet.assert_sound();
}

/// The former leader has just ordered an instance off. An order of the new one for it could meet
/// the former one's, which may still be on its way.
#[test]
fn a_new_leader_leaves_alone_what_the_former_one_has_just_ordered() {
    let mut fleet = spare_fleet();
    ask_for_much(&mut fleet);
    while fleet.operations.is_empty() {
        fleet.pass(1);
    }
    let ordered: Vec<_> = fleet.operations.iter().map(|(id, _)| id.clone()).collect();
    fleet.change_leader();
    fleet.cell.former_is_gone();
    let before = fleet.operations.len();
    fleet.pass(300);
    let again = fleet.operations[before..].iter();
    assert_eq!(again.filter(|(id, _)| ordered.contains(id)).count(), 0);
}

/// One instance at work, and four in a pool that is off.
fn spare_fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    for index in 0..4 {
        fleet.add_to("issuing", &format!("i{index}"), 50 + index);
    }
    let mut cfg = super::fleet::config(2);
    let off = Service {
        is_spare: true,
        ..Service::default()
    };
    cfg.services.insert("issuing".into(), off);
    for instance in fleet.instances.values_mut() {
        if &*instance.pool == "issuing" {
            let endpoint = instance.endpoint.take();
            fleet.endpoints.remove(&endpoint.expect("one lives there"));
        }
    }
    fleet.cfg = Arc::new(cfg);
    fleet.cell.configure(fleet.cfg.clone());
    fleet.cell.endpoint_unlisted(&"i0".into());
    fleet.carries_out = true;
    fleet.list();
    fleet.pass(250);
    fleet
}

fn ask_for_much(fleet: &mut Fleet) {
    for id in 1..=8_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(6, 1000, 3_000)]));
    }
}
