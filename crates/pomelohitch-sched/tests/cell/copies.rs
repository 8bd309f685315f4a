//! Copies of runs, and failures while a task has two runs.

use std::time::Duration;

use pomelohitch_sched::cell::CopyCounts;
use pomelohitch_sched::cell::calls::Verb;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::{JobState, Task};

use super::fleet::{self, Fleet, job, step};

const ID: &str = "00000000000000a1";

fn copyable(count: u32, millis: u64) -> StepSpec {
    StepSpec {
        may_copy: true,
        ..step(count, 500, millis)
    }
}

/// A fleet of four endpoints on two racks, of which `e0` is eight times slower. The first task of a
/// job of these steps starts there.
fn uneven_fleet(steps: Vec<StepSpec>) -> Fleet {
    let mut fleet = Fleet::new(4);
    fleet.endpoint("e0").slowness = 8.0;
    fleet.advance(20);
    fleet.submit(ID, job(steps));
    fleet
}

/// The same, once the copy of the first task has started. Without a copy the task takes 3.2 s.
fn fleet_with_copy(steps: Vec<StepSpec>) -> Fleet {
    let mut fleet = uneven_fleet(steps);
    advance_until(&mut fleet, 120, |fleet| fleet.starts.len() == 2);
    assert_eq!(&*fleet.starts[0].2, "e0");
    fleet
}

fn advance_until(fleet: &mut Fleet, max_steps: u32, is_reached: impl Fn(&Fleet) -> bool) {
    for _ in 0..max_steps {
        fleet.advance(1);
        if is_reached(fleet) {
            return;
        }
    }
    panic!("not reached within {max_steps} steps");
}

fn first_task(fleet: &Fleet) -> Option<&Task> {
    let job = fleet.cell.job(0xa1)?;
    Some(&job.progress.open.get(&0)?.steps[0][0])
}

fn is_idle(fleet: &Fleet) -> bool {
    fleet.endpoints.values().all(|e| e.running().is_empty())
}

/// Load: a step of eight tasks, each of which fills an endpoint. One endpoint is eight times slower.
#[test]
fn the_straggler_of_a_step_is_copied_to_another_rack() {
    let mut fleet = Fleet::new(10);
    fleet.endpoint("e0").slowness = 8.0;
    fleet.advance(20);
    let step = StepSpec {
        may_copy: true,
        ..step(8, 4_000, 400)
    };
    fleet.submit(ID, job(vec![step]));
    fleet.advance(130);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 9);
    let (task, run, endpoint) = &fleet.starts[8];
    assert_eq!((task.index, *run), (0, 2));
    assert!(!["e0", "e1"].contains(&&**endpoint), "{endpoint}");
    let counts = CopyCounts {
        started: 1,
        won: 1,
        lost: 0,
    };
    assert_eq!(fleet.cell.take_copies(), counts);
    fleet.advance(20);
    assert!(is_idle(&fleet), "the first run is stopped");
    fleet.assert_invariants();
}

/// Guards against a second run of a task that may have only one.
#[test]
fn a_step_that_allows_no_copies_has_none() {
    let mut fleet = uneven_fleet(vec![step(1, 500, 400)]);
    fleet.advance(340);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 1);
    fleet.assert_invariants();
}

/// Guards against a new leader that starts a third run, or takes one of two runs for the task's only
/// one.
#[test]
fn a_new_leader_keeps_both_runs_of_a_task() {
    let mut fleet = fleet_with_copy(vec![copyable(1, 400)]);
    fleet.change_leader();
    fleet.advance(10);
    assert_eq!(first_task(&fleet).map(|t| t.runs.len()), Some(2));
    fleet.advance(80);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
    fleet.advance(20);
    assert!(is_idle(&fleet));
    fleet.assert_invariants();
}

/// Guards against a run that goes on because the stop that its task's other end caused was lost, and
/// the leader with it.
#[test]
fn a_new_leader_stops_the_other_run_of_a_task_that_is_done() {
    let never_ready = StepSpec {
        after: vec![0],
        requires: Some("nowhere".into()),
        ..step(1, 500, 100)
    };
    let mut fleet = fleet_with_copy(vec![copyable(1, 400), never_ready]);
    fleet.endpoint("e0").is_silent = true;
    advance_until(&mut fleet, 100, |fleet| {
        first_task(fleet).is_some_and(|t| t.is_done)
    });
    fleet.advance(10);
    fleet.change_leader();
    fleet.endpoint("e0").is_silent = false;
    fleet.advance(30);
    assert!(fleet.endpoint("e0").running().is_empty());
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
    fleet.assert_invariants();
}

/// Guards against a task that starts anew, or is suspected, when one of its two runs is lost.
#[test]
fn a_task_goes_on_when_its_copys_endpoint_is_lost() {
    let mut fleet = fleet_with_copy(vec![copyable(1, 400)]);
    let (_, _, at) = fleet.starts[1].clone();
    fleet.cut_power(&at);
    fleet.advance(100);
    let t = first_task(&fleet).expect("the job is open");
    assert!(t.runs.iter().any(|r| r.number == 1), "the first run stays");
    fleet.advance(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_invariants();
}

/// Guards against a task that waits for the lease of its first run's endpoint although a copy is
/// done.
#[test]
fn a_task_goes_on_when_its_first_endpoint_is_lost() {
    let mut fleet = fleet_with_copy(vec![copyable(1, 400)]);
    fleet.endpoint("e0").is_silent = true;
    fleet.advance(80);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// An endpoint stops answering. A task that may have two runs needs not wait for its lease.
#[test]
fn a_run_at_a_silent_endpoint_is_copied() {
    let mut fleet = Fleet::new(4);
    fleet.advance(20);
    fleet.submit(ID, job(vec![copyable(1, 2_000)]));
    fleet.advance(100);
    fleet.endpoint("e0").is_silent = true;
    fleet.advance(400);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// Both runs end while neither endpoint can be reached, and are reported at the same time. Guards
/// against a second completion of the job, or a second end of the task.
#[test]
fn two_ends_reported_together_complete_a_job_once() {
    let mut fleet = fleet_with_copy(vec![copyable(1, 400)]);
    let (_, _, at) = fleet.starts[1].clone();
    for id in ["e0", &*at] {
        fleet.endpoint(id).is_silent = true;
        fleet.endpoint(id).slowness = 1.0;
    }
    fleet.advance(60);
    assert!(is_idle(&fleet));
    for id in ["e0", &*at] {
        fleet.endpoint(id).is_silent = false;
    }
    fleet.advance(120);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
    let counts = fleet.cell.take_copies();
    assert_eq!((counts.started, counts.won + counts.lost), (1, 1));
    assert_eq!(fleet.log.len(), 1, "one record of the ended job");
    fleet.assert_invariants();
}

/// Guards against a copy that is started again and again, or left behind, since its start wasn't
/// answered.
#[test]
fn a_copy_whose_start_is_not_answered_runs_at_most_once() {
    let mut fleet = uneven_fleet(vec![copyable(1, 400)]);
    for id in ["e1", "e2", "e3"] {
        fleet.endpoint(id).loses_answers = true;
    }
    fleet.advance(340);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
    fleet.advance(20);
    assert!(is_idle(&fleet));
    fleet.assert_invariants();
}

/// Orders go unanswered and are carried out seconds later. Guards against a third run of the task.
#[test]
fn a_copy_that_starts_late_is_stopped() {
    let mut fleet = uneven_fleet(vec![copyable(1, 400)]);
    advance_until(&mut fleet, 120, |fleet| {
        first_task(fleet).is_some_and(|t| t.runs.len() == 2)
    });
    fleet.faults.orders_lost = 1.0;
    fleet.advance(6);
    fleet.faults.orders_lost = 0.0;
    fleet.advance(1_500);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert!(is_idle(&fleet));
    fleet.assert_invariants();
}

/// Guards against more runs of a task than attempts, and against a job that fails while a run of
/// each of its tasks may still succeed.
#[test]
fn copies_that_fail_count_as_attempts() {
    let mut fleet = uneven_fleet(vec![copyable(1, 2_000)]);
    for id in ["e1", "e2", "e3"] {
        fleet.endpoint(id).fails = true;
    }
    fleet.advance(1_500);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
    fleet.advance(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_invariants();
}

/// Guards against a second run that fails after the only attempt has.
#[test]
fn a_task_with_one_attempt_has_no_copy() {
    let mut fleet = Fleet::new(4);
    let mut cfg = fleet::config(2);
    cfg.queues[0].attempts = 1;
    fleet.cell.configure(cfg.into());
    fleet.endpoint("e0").slowness = 8.0;
    fleet.advance(20);
    fleet.submit(ID, job(vec![copyable(1, 400)]));
    fleet.advance(340);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 1);
}

/// Guards against a run that a cancellation leaves behind.
#[test]
fn a_cancelled_job_stops_both_runs() {
    let mut fleet = fleet_with_copy(vec![copyable(1, 400)]);
    fleet.call(&format!("/q/{ID}"), Verb::Cancel);
    fleet.advance(30);
    assert!(is_idle(&fleet));
    assert_eq!(fleet.state(ID), Answer::State(JobState::Cancelled));
    assert_eq!(fleet.starts.len(), 2);
}

/// Sets whether all endpoints but `e0` are silent.
fn set_silent(fleet: &mut Fleet, is_silent: bool) {
    for id in ["e1", "e2", "e3"] {
        fleet.endpoint(id).is_silent = is_silent;
    }
}

/// The record of a copy takes long, its task is done before it is durable, and the stop of the copy
/// is lost. Guards against a start long after the task was done.
#[test]
fn a_copy_whose_record_comes_late_is_not_started() {
    let mut fleet = uneven_fleet(vec![copyable(1, 400)]);
    fleet.advance(20);
    fleet.log_delay = Duration::from_millis(600);
    advance_until(&mut fleet, 120, |fleet| {
        first_task(fleet).is_some_and(|t| t.runs.len() == 2)
    });
    fleet.endpoint("e0").slowness = 0.01;
    set_silent(&mut fleet, true);
    fleet.advance(40);
    set_silent(&mut fleet, false);
    fleet.advance(200);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 1);
    fleet.assert_invariants();
}

/// Applies one fault and advances the time, as in `random.rs`, with endpoints that become slow.
fn disturb(fleet: &mut Fleet, what: u8, which: u8) {
    let id = format!("e{}", which % 4);
    match what % 10 {
        0 => fleet.endpoint(&id).is_silent = true,
        1 => fleet.endpoint(&id).is_silent = false,
        2 => fleet.endpoint(&id).loses_answers = which < 128,
        3 => fleet.restart(&id),
        4 => fleet.change_leader(),
        5 => fleet.is_log_up = which < 128,
        6 => fleet.log_delay = Duration::from_millis(u64::from(which % 4) * 130),
        7 | 8 => fleet.endpoint(&id).slowness = f64::from(which % 8 + 1),
        _ => {}
    }
    fleet.advance(u32::from(which % 64) + 1);
}

/// Guards against sequences of faults in which a task with two runs breaks an invariant or keeps its
/// job from ending.
#[test]
fn faults_in_any_order_break_no_promise_while_tasks_have_copies() {
    pomelohitch_property::check(|faults: &Vec<(u8, u8)>| {
        let mut fleet = Fleet::new(4);
        let second = StepSpec {
            after: vec![0],
            ..copyable(3, 300)
        };
        fleet.submit(ID, job(vec![copyable(4, 500), second]));
        for &(what, which) in faults.iter().take(40) {
            disturb(&mut fleet, what, which);
        }
        fleet.is_log_up = true;
        fleet.log_delay = Duration::ZERO;
        for endpoint in fleet.endpoints.values_mut() {
            endpoint.is_silent = false;
            endpoint.loses_answers = false;
            endpoint.slowness = 1.0;
        }
        fleet.list_endpoints();
        fleet.advance(2_500);
        assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        let state = fleet.state(ID);
        let may_fail = state == Answer::GivenUp && fleet.max_crashes_per_task(0xa1) >= 2;
        let is_done = state == Answer::State(JobState::Completed);
        assert!(
            state == Answer::Gone || is_done || may_fail,
            "{faults:?}: {state:?}"
        );
        assert!(is_idle(&fleet), "{faults:?}");
    });
}
