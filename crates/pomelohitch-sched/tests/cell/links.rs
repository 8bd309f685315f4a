//! The leader's network link at and beyond its bandwidth.

use std::collections::BTreeSet;
use std::time::Duration;

use pomelohitch_sched::Settings;
use pomelohitch_sched::cell::calls::{Draft, Verb};
use pomelohitch_sched::endpoint::EndReason;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, Link, job, step};

/// Link bandwidth in bytes per second.
const RATE: f64 = 100_000.0;
const STEPS_PER_SECOND: u32 = 100;

/// A fleet of 20 endpoints each of `pricing` and `issuing` behind a link, with a lasting job.
fn fleet(bytes_per_s: f64) -> Fleet {
    let settings = Settings {
        link_bytes_per_s: Some(bytes_per_s),
        ..Settings::default()
    };
    let mut fleet = Fleet::with(0, settings);
    for index in 0..20 {
        fleet.add_to("pricing", &format!("p{index}"), index);
        fleet.add_to("issuing", &format!("i{index}"), 20 + index);
    }
    fleet.list_endpoints();
    fleet.link = Some(Link::new(bytes_per_s));
    fleet.advance(5 * STEPS_PER_SECOND);
    fleet.submit("00000000000000aa", lasting_job());
    fleet.advance(2 * STEPS_PER_SECOND);
    fleet
}

fn lasting_job() -> Draft {
    job(vec![StepSpec {
        is_lasting: true,
        per_endpoint: 1,
        may_miss: 1,
        ..step(10, 300, 500)
    }])
}

fn wide_job() -> Draft {
    let text = "t".repeat(300).into();
    let steps = vec![step(16, 400, 600)];
    Draft { text, ..job(steps) }
}

/// Submits more jobs to both queues than the link has bandwidth to start; returns their paths.
fn submit_overload(fleet: &mut Fleet, seconds: u32) -> Vec<String> {
    let mut paths = Vec::new();
    for round in 0..seconds * 4 {
        for (queue, ids) in [("q", 0x1000), ("i", 0x2000)] {
            for index in 0..2 {
                let path = format!("/{queue}/{:016x}", ids + round * 2 + index);
                fleet.call(&path, Verb::Submit(Ok(wide_job())));
                paths.push(path);
            }
        }
        fleet.advance(STEPS_PER_SECOND / 4);
    }
    paths
}

fn lapsed_runs(fleet: &Fleet) -> usize {
    fleet
        .end_reasons()
        .filter(|reason| *reason == EndReason::Lapsed)
        .count()
}

/// Number of accepted jobs without the lasting one.
fn accepted_jobs(fleet: &Fleet) -> usize {
    let answers = fleet.replies.values();
    answers.filter(|a| **a == Answer::Accepted).count() - 1
}

fn completed_jobs(fleet: &mut Fleet, paths: &[String]) -> usize {
    let calls: Vec<_> = paths.iter().map(|p| fleet.call(p, Verb::Read)).collect();
    let answers = calls.into_iter().map(|call| fleet.reply_to(call));
    answers
        .filter(|answer| *answer == Answer::State(JobState::Completed))
        .count()
}

/// Guards against leases that lapse because polls queue behind starts on the link.
#[test]
fn leases_hold_while_starts_fill_the_link() {
    let mut fleet = fleet(RATE);
    let paths = submit_overload(&mut fleet, 20);
    assert_eq!(lapsed_runs(&fleet), 0);
    let accepted = accepted_jobs(&fleet);
    fleet.advance(60 * STEPS_PER_SECOND);
    assert_eq!(completed_jobs(&mut fleet, &paths), accepted);
    assert_eq!(lapsed_runs(&fleet), 0);
    fleet.assert_invariants();
}

/// Guards against leases that lapse on all endpoints because renewal ends with the first lost poll.
#[test]
fn leases_survive_seconds_of_very_low_bandwidth() {
    let mut fleet = fleet(RATE);
    let paths = submit_overload(&mut fleet, 4);
    let set_rate = |fleet: &mut Fleet, rate| {
        fleet
            .link
            .as_mut()
            .expect("the fleet has a link")
            .set_rate(rate);
    };
    set_rate(&mut fleet, RATE / 10.0);
    fleet.advance(4 * STEPS_PER_SECOND);
    set_rate(&mut fleet, RATE);
    fleet.advance(40 * STEPS_PER_SECOND);
    assert_eq!(lapsed_runs(&fleet), 0);
    assert_eq!(completed_jobs(&mut fleet, &paths), paths.len());
    fleet.assert_invariants();
}

/// Guards against one service whose starts use the whole bandwidth.
#[test]
fn every_service_starts_while_the_link_is_full() {
    let mut fleet = fleet(RATE);
    submit_overload(&mut fleet, 10);
    let at = |first: char| {
        move |(_, _, id): &&(_, _, pomelohitch_sched::EndpointId)| id.starts_with(first)
    };
    let pricing = fleet.starts.iter().filter(at('p')).count();
    let issuing = fleet.starts.iter().filter(at('i')).count();
    assert!(
        pricing * 2 > issuing && issuing * 2 > pricing,
        "{pricing} and {issuing}"
    );
}

/// Guards against stopping a lasting task that is running because the answer to its start was late.
#[test]
fn a_lasting_start_without_an_answer_is_not_stopped() {
    let mut fleet = Fleet::new(10);
    fleet.advance(STEPS_PER_SECOND);
    fleet.faults.orders_late = Duration::from_millis(600);
    fleet.submit("00000000000000a1", lasting_job());
    fleet.advance(3 * STEPS_PER_SECOND);
    let tasks: BTreeSet<_> = fleet.starts.iter().map(|(task, ..)| *task).collect();
    assert_eq!(fleet.starts.len(), tasks.len(), "each task starts once");
    assert!(
        !fleet
            .end_reasons()
            .any(|reason| reason == EndReason::Stopped)
    );
    fleet.assert_invariants();
}

/// Guards against running a task again whose run was presumed lost but has completed.
#[test]
fn a_run_that_completed_while_unreachable_is_not_repeated() {
    let mut fleet = Fleet::new(1);
    fleet.advance(STEPS_PER_SECOND);
    fleet.submit("00000000000000a1", job(vec![step(1, 500, 500)]));
    fleet.advance(10);
    assert_eq!(fleet.starts.len(), 1);
    fleet.endpoint("e0").is_silent = true;
    fleet.advance(9 * STEPS_PER_SECOND);
    fleet.endpoint("e0").is_silent = false;
    fleet.advance(3 * STEPS_PER_SECOND);
    assert_eq!(
        fleet.state("00000000000000a1"),
        Answer::State(JobState::Completed)
    );
    assert_eq!(fleet.starts.len(), 1);
    fleet.assert_invariants();
}

/// Guards against an initial burst of starts that takes longer to send than the order timeout.
#[test]
fn an_initial_burst_of_starts_fits_the_link() {
    let mut fleet = fleet(RATE);
    fleet.starts.clear();
    let ids = (0..40).map(|n| format!("{:016x}", 0x3000 + n));
    for id in ids {
        fleet.submit(&id, wide_job());
    }
    let before = fleet.starts_lost;
    fleet.advance(2 * STEPS_PER_SECOND);
    assert_eq!(fleet.starts_lost, before);
}

/// Guards against accepting jobs under sustained overload that end too late to be of use.
#[test]
fn jobs_that_a_full_link_cannot_start_in_time_are_refused() {
    let mut fleet = fleet(RATE);
    let paths = submit_overload(&mut fleet, 40);
    let refused = |answer: &&Answer| matches!(answer, Answer::Refused { .. });
    let refusals: Vec<_> = fleet.replies.values().filter(refused).collect();
    assert!(!refusals.is_empty() && refusals.len() < paths.len() / 2);
    for answer in refusals {
        let Answer::Refused { retry_after, .. } = answer else {
            continue;
        };
        assert!((1..=10).contains(&retry_after.as_secs()), "{retry_after:?}");
    }
    let accepted = accepted_jobs(&fleet);
    fleet.advance(15 * STEPS_PER_SECOND);
    assert_eq!(completed_jobs(&mut fleet, &paths), accepted);
    let later = fleet.submit("00000000000000bb", wide_job());
    fleet.advance(STEPS_PER_SECOND);
    assert_eq!(fleet.replies[&later], Answer::Accepted);
    fleet.assert_invariants();
}
