//! Starts and ends of runs, with endpoints that fail.

use std::time::Duration;

use pomelohitch_sched::cell::calls::Verb;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const ID: &str = "00000000000000a1";

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut fleet = Fleet::new(1);
    fleet.endpoint("e0").fails = true;
    fleet.submit(ID, job(vec![step(1, 500, 50)]));
    fleet.advance(200);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Failed));
    assert_eq!(fleet.starts.len(), 3);
}

/// Guards against recording and sending a start again at every pass while all endpoints refuse it.
#[test]
fn a_task_that_is_refused_everywhere_is_tried_again_less_and_less_often() {
    let mut fleet = Fleet::new(2);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.refuses_starts = true;
    }
    fleet.submit(ID, job(vec![step(1, 500, 50)]));
    fleet.advance(1_000);
    let task = &fleet
        .cell
        .job(0xa1)
        .expect("the job is known")
        .progress
        .open[&0]
        .steps[0][0];
    assert!(task.last_run < 12, "{}", task.last_run);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.refuses_starts = false;
    }
    fleet.advance(400);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

#[test]
fn a_task_that_failed_is_retried_elsewhere() {
    let mut fleet = Fleet::new(2);
    fleet.endpoint("e0").fails = true;
    fleet.submit(ID, job(vec![step(4, 500, 50)]));
    fleet.advance(200);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

/// Guards against acknowledging a completion before it is durable: the endpoint would drop it, a
/// new leader would not know it, and the task would run twice.
#[test]
fn completions_are_acknowledged_only_when_durable() {
    let mut fleet = Fleet::new(1);
    fleet.submit(ID, job(vec![step(1, 500, 100)]));
    fleet.advance(8);
    fleet.is_log_up = false;
    fleet.advance(100);
    assert_eq!(fleet.endpoint("e0").unacknowledged(), 1);
    fleet.is_log_up = true;
    fleet.advance(60);
    assert_eq!(fleet.endpoint("e0").unacknowledged(), 0);
}

/// An endpoint stops answering while it runs a task. The task must not start elsewhere until the
/// lease has certainly expired, and must start then.
#[test]
fn tasks_of_a_silent_endpoint_start_elsewhere_after_its_lease() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(1, 500, 20_000)]));
    fleet.advance(20);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).is_silent = true;
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1);
    fleet.advance(400);
    assert_eq!(fleet.starts.len(), 2);
    assert_ne!(fleet.starts[1].2, at);
    fleet.assert_invariants();
}

/// An instance crashes. The platform lists it as down, so that its tasks start elsewhere within
/// about two seconds rather than after the lease.
#[test]
fn tasks_of_an_instance_that_is_down_start_elsewhere_soon() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(1, 500, 20_000)]));
    fleet.advance(20);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.cut_power(&at);
    fleet.advance(220);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// An instance crashes, and the leader changes before the tasks start elsewhere. Guards against a
/// new leader that waits for leases to expire because it never had an answer of the endpoint.
#[test]
fn a_new_leader_learns_from_the_list_which_instances_are_down() {
    let mut fleet = Fleet::new(2);
    fleet.submit(ID, job(vec![step(1, 500, 20_000)]));
    fleet.advance(20);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.cut_power(&at);
    fleet.change_leader();
    fleet.advance(220);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// The poll that requests an endpoint's first lease is lost. Tasks have to wait until a lease is
/// confirmed; with only the short lease of a start, their runs would lapse.
#[test]
fn starts_wait_for_a_confirmed_lease() {
    let mut fleet = Fleet::new(1);
    fleet.advance(2);
    fleet.endpoint("e0").is_silent = true;
    fleet.submit(ID, job(vec![step(1, 500, 4_000)]));
    fleet.advance(20);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Queued));
    fleet.endpoint("e0").is_silent = false;
    fleet.advance(600);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 1);
}

#[test]
fn tasks_of_a_restarted_endpoint_start_again() {
    let mut fleet = Fleet::new(1);
    fleet.submit(ID, job(vec![step(1, 500, 1_000)]));
    fleet.advance(20);
    fleet.restart("e0");
    fleet.list_endpoints();
    fleet.advance(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// An endpoint executes a start, but its answer is lost. The run is found by a poll or stopped; two
/// runs of the task never coexist.
#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let mut fleet = Fleet::new(3);
    fleet.endpoint("e0").loses_answers = true;
    fleet.submit(ID, job(vec![step(9, 1000, 300)]));
    fleet.advance(400);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_invariants();
}

/// An endpoint answers polls and accepts starts, but its runs make no progress. Guards against jobs
/// that never end, and against more and more tasks on that endpoint because it is the fullest.
#[test]
fn stalled_runs_start_elsewhere() {
    let mut fleet = Fleet::new(4);
    fleet.endpoint("e0").is_stalled = true;
    fleet.submit(ID, job(vec![step(8, 1000, 600)]));
    fleet.advance(450);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    fleet.assert_invariants();
}

/// Guards against restarting a task again and again that makes no progress on any endpoint: each
/// restart would keep new tasks away from another endpoint.
#[test]
fn a_task_that_stalls_everywhere_is_not_restarted_again_and_again() {
    let mut fleet = Fleet::new(4);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.is_stalled = true;
    }
    fleet.submit(ID, job(vec![step(1, 1000, 600)]));
    fleet.advance(2_000);
    assert!(fleet.starts.len() <= 3, "{}", fleet.starts.len());
}

#[test]
fn a_lasting_task_restarts_however_it_ends() {
    let mut fleet = Fleet::new(2);
    let mut lasting = step(2, 500, 100);
    lasting.is_lasting = true;
    fleet.submit(ID, job(vec![lasting]));
    fleet.advance(30);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.fails = true;
    }
    fleet.advance(10);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.fails = false;
    }
    fleet.advance(100);
    let running: usize = fleet.endpoints.values().map(|e| e.running().len()).sum();
    assert_eq!(running, 2);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Running));
    fleet.assert_invariants();
}

#[test]
fn nothing_starts_on_an_endpoint_that_drains() {
    let mut fleet = Fleet::new(2);
    fleet.endpoint("e0").report.is_draining = true;
    fleet.list_endpoints();
    fleet.submit(ID, job(vec![step(4, 1000, 300)]));
    fleet.advance(30);
    assert!(fleet.starts.iter().all(|(_, _, at)| &**at == "e1"));
}

#[test]
fn a_lasting_task_leaves_an_endpoint_that_drains() {
    let mut fleet = Fleet::new(2);
    let mut lasting = step(1, 500, 100);
    lasting.is_lasting = true;
    fleet.submit(ID, job(vec![lasting]));
    fleet.advance(30);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).report.is_draining = true;
    fleet.list_endpoints();
    fleet.advance(150);
    assert!(fleet.endpoint(&at).running().is_empty());
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

#[test]
fn the_limit_of_a_workspace_is_kept() {
    let mut fleet = Fleet::new(3);
    let mut cfg = super::fleet::config(2);
    cfg.workspaces[0].bound.cpu = 2500;
    fleet.cell.configure(cfg.into());
    fleet.submit(ID, job(vec![step(9, 1000, 2_000)]));
    fleet.advance(100);
    let running: usize = fleet.endpoints.values().map(|e| e.running().len()).sum();
    assert_eq!(running, 2);
    let cancelled = fleet.call(&format!("/q/{ID}"), Verb::Cancel);
    fleet.advance(50);
    assert_eq!(fleet.replies[&cancelled], Answer::Cancelled);
}

/// An endpoint starts a run, but its answer is lost. Guards against stopping such a run, which
/// would have to begin again elsewhere and make its job late.
#[test]
fn a_run_whose_start_went_unanswered_continues() {
    let mut fleet = Fleet::new(1);
    fleet.endpoint("e0").loses_answers = true;
    fleet.submit(ID, job(vec![step(3, 1000, 600)]));
    fleet.advance(300);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
    assert_eq!(fleet.starts.len(), 3);
    fleet.assert_invariants();
}

/// One order in ten gets no answer and is executed seconds later. Guards against jobs that take
/// seconds longer because each unanswered order leaves its endpoint without work for a while, which
/// idles most of a busy pool, or because a task waits for a stop and a poll that may be lost too.
#[test]
fn jobs_complete_in_time_while_some_orders_are_lost() {
    let mut fleet = Fleet::new(6);
    fleet.faults.orders_lost = 0.1;
    for id in 1..=12_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(6, 500, 300)]));
        fleet.advance(20);
    }
    fleet.advance(150);
    let completed = (1..=12_u64).filter(|id| {
        let state = fleet.state(&format!("{id:016x}"));
        state == Answer::State(JobState::Completed)
    });
    assert_eq!(completed.count(), 12);
    fleet.advance(1_200);
    fleet.assert_invariants();
}

/// Guards against recording a start again and again because appends to the log are slow.
#[test]
fn a_start_whose_record_took_long_is_sent_if_it_still_fits() {
    let mut fleet = Fleet::new(2);
    fleet.log_delay = Duration::from_millis(1_200);
    fleet.submit(ID, job(vec![step(4, 500, 50)]));
    fleet.advance(300);
    let runs: Vec<_> = fleet.starts.iter().map(|(_, run, _)| *run).collect();
    assert_eq!(runs, [1, 1, 1, 1]);
    fleet.assert_invariants();
}

/// Guards against a start on an endpoint that began to drain while the record was appended.
#[test]
fn a_start_whose_record_took_long_is_dropped_if_its_endpoint_drains() {
    let mut fleet = Fleet::new(1);
    fleet.log_delay = Duration::from_millis(1_200);
    fleet.submit(ID, job(vec![step(4, 500, 50)]));
    fleet.advance(60);
    fleet.endpoint("e0").report.is_draining = true;
    fleet.list_endpoints();
    fleet.advance(300);
    assert!(fleet.starts.is_empty());
    fleet.assert_invariants();
}
