//! Learned run times, and refusals by them, over changes of leader.

use std::time::Duration;

use pomelohitch_sched::Settings;
use pomelohitch_sched::cell::calls::{Draft, Verb};
use pomelohitch_sched::id::job_text;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::policy::Policy;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

/// A job that declares half of the second that its tasks take.
fn submit(fleet: &mut Fleet, id: u64) -> u64 {
    fleet.durations.insert(id, vec![Duration::from_secs(1)]);
    fleet.submit(&job_text(id), draft())
}

fn draft() -> Draft {
    job(vec![step(4, 1000, 500)])
}

/// A fleet of eight cores whose leader refuses jobs, and has learned from a dozen.
fn fleet_with_samples() -> Fleet {
    let policy = Policy {
        refuses_useless: true,
        ..Policy::default()
    };
    let settings = Settings {
        policy,
        ..Settings::default()
    };
    let mut fleet = Fleet::with(2, settings);
    for id in 1..=12 {
        submit(&mut fleet, id);
        fleet.advance(150);
    }
    fleet
}

/// The same with as much waiting work as the fleet does in 50 s.
fn full_fleet() -> Fleet {
    let mut fleet = fleet_with_samples();
    for id in 100..200 {
        submit(&mut fleet, id);
    }
    fleet.advance(10);
    fleet
}

fn factor(fleet: &Fleet) -> f64 {
    let learned = fleet.cell.learned_run_times().next();
    learned.map_or(1.0, |(_, learned)| learned.factor)
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    match answer {
        Answer::Refused { retry_after, .. } => Some(*retry_after),
        _ => None,
    }
}

/// Guards against a new leader that begins with the declared times in the middle of a burst.
#[test]
fn a_new_leader_knows_what_was_learned() {
    let mut fleet = fleet_with_samples();
    let before = factor(&fleet);
    assert!((1.6..2.3).contains(&before), "{before}");
    fleet.change_leader();
    let after = factor(&fleet);
    assert!((after / before - 1.0).abs() < 0.2, "{before}, {after}");
}

/// Guards against relying on times that say nothing of the task: a lost start whose run is found
/// later, a lost leader, an endpoint that is silent for a while.
#[test]
fn runs_whose_times_are_not_known_teach_nothing() {
    let mut fleet = Fleet::new(2);
    for id in 1..=12 {
        submit(&mut fleet, id);
        fleet.advance(50);
        fleet.change_leader();
        fleet.advance(100);
    }
    assert_eq!(fleet.cell.learned_run_times().count(), 0);
}

/// Guards against a refusal that isn't true: a job that the leader refused, and that its caller
/// doesn't submit again, is started by none of the next leaders.
#[test]
fn a_refused_job_is_never_started_by_the_next_leader() {
    let mut fleet = full_fleet();
    let call = submit(&mut fleet, 300);
    fleet.advance(2);
    assert!(retry_after(&fleet.replies[&call]).is_some());
    assert!(!fleet.effects_possible.contains(&call));
    for _ in 0..3 {
        fleet.change_leader();
        fleet.advance(2_000);
    }
    assert!(fleet.starts.iter().all(|(task, ..)| task.job != 300));
    assert_eq!(fleet.state(&job_text(300)), Answer::Gone);
    fleet.assert_invariants();
}

/// Guards against a refusal of a job that runs, and against a job that runs twice: the same id is
/// submitted again and again, also to the next leaders, until it is accepted.
#[test]
fn repeated_attempts_at_a_refused_job_run_it_once_it_is_accepted() {
    let mut fleet = full_fleet();
    let mut refusals = 0;
    let accepted = (0..200).any(|attempt| {
        // Others press for a while.
        for id in (0..8).filter(|_| attempt < 40) {
            submit(&mut fleet, 1_000 + attempt * 8 + id);
        }
        let call = submit(&mut fleet, 300);
        fleet.advance(30);
        let is_refused = retry_after(&fleet.replies[&call]).is_some();
        refusals += u32::from(is_refused);
        let has_started = fleet.starts.iter().any(|(task, ..)| task.job == 300);
        assert!(!(is_refused && has_started));
        if attempt % 20 == 19 {
            fleet.change_leader();
        }
        !is_refused
    });
    assert!(accepted && refusals > 10, "{refusals} refusals");
    let again = fleet.call(&format!("/q/{}", job_text(300)), Verb::Submit(Ok(draft())));
    fleet.advance(8_000);
    assert_eq!(fleet.replies[&again], Answer::Accepted);
    assert_eq!(
        fleet.state(&job_text(300)),
        Answer::State(JobState::Completed)
    );
    let starts = fleet.starts.iter().filter(|(task, ..)| task.job == 300);
    assert_eq!(starts.count(), 4);
    fleet.assert_invariants();
}

/// Guards against a Retry-After that isn't true: the job comes back after it, and isn't refused.
#[test]
fn a_refused_job_is_accepted_after_its_retry_time() {
    let mut fleet = full_fleet();
    let mut waited = Duration::ZERO;
    loop {
        let call = submit(&mut fleet, 300);
        fleet.advance(2);
        let Some(retry) = retry_after(&fleet.replies[&call]) else {
            break;
        };
        waited += retry;
        assert!(waited < Duration::from_secs(75), "refused for {waited:?}");
        let steps = retry.as_millis() / 10;
        fleet.advance(u32::try_from(steps).expect("a few seconds"));
    }
    assert!(waited > Duration::from_secs(10));
}

/// Lasting and repeated jobs are of use whenever they start, and held ones have been accepted.
#[test]
fn lasting_jobs_and_held_jobs_are_not_refused() {
    let mut fleet = full_fleet();
    let mut lasting = draft();
    lasting.steps[0].is_lasting = true;
    let mut repeated = draft();
    repeated.repeat = Some(pomelohitch_sched::job::Repeat {
        count: 2,
        first_due_ms: fleet.now.unix_ms + 60_000,
        interval: Duration::from_secs(1),
    });
    let lasting = fleet.submit(&job_text(400), lasting);
    let repeated = fleet.submit(&job_text(401), repeated);
    let held = submit(&mut fleet, 150);
    fleet.advance(5);
    for call in [lasting, repeated, held] {
        assert_eq!(fleet.replies[&call], Answer::Accepted);
    }
}

/// Guards against refusing by the backlog of another time: a new leader doesn't know what waits
/// before its first pass.
#[test]
fn a_leader_that_does_not_know_what_waits_refuses_nothing() {
    let mut fleet = full_fleet();
    fleet.change_leader();
    let call = submit(&mut fleet, 300);
    fleet.advance(5);
    assert_eq!(fleet.replies[&call], Answer::Accepted);
}
