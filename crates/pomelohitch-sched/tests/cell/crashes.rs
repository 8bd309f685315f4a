//! Tasks that crash the endpoints that start them.

use std::time::Duration;

use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;
use pomelohitch_sched::{Settings, TaskId};

use super::fleet::{Fleet, job, step};

const GUILTY: u64 = 0xa1;

fn id(job: u64) -> String {
    format!("{job:016x}")
}

fn first_task(job: u64) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn lost(fleet: &Fleet, job: u64) -> u32 {
    let job = fleet.cell.job(job).expect("it is held");
    let task = job.progress.task(first_task(job.spec.id));
    task.expect("its occurrence is open").suspicion.lost
}

/// Guards against restarting without limit a task that crashes each endpoint that starts it.
#[test]
fn a_task_that_crashes_its_endpoints_is_given_up() {
    let mut fleet = Fleet::new(6);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.pass(20);
    fleet.submit(&id(GUILTY), job(vec![step(3, 500, 600)]));
    fleet.pass(3_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp);
}

/// Guards against a count of crashes that a new leader doesn't know.
#[test]
fn crashes_are_counted_across_changes_of_leader() {
    for every in [7, 23, 61, 110, 190] {
        let mut fleet = Fleet::new(8);
        fleet.crashes.by_first_task_of(GUILTY);
        fleet.pass(20);
        fleet.submit(&id(GUILTY), job(vec![step(3, 500, 600)]));
        for _ in 0..6_000 / every {
            fleet.pass(every);
            fleet.change_leader();
        }
        fleet.pass(3_000);
        fleet.assert_sound();
        assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp, "{every}");
    }
}

/// Guards against crashes that go unnoticed while the list of instances is unavailable.
#[test]
fn a_task_whose_endpoints_fall_silent_is_given_up() {
    let mut fleet = Fleet::new(8);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.hides_instances = true;
    fleet.pass(20);
    fleet.submit(&id(GUILTY), job(vec![step(2, 500, 600)]));
    fleet.pass(8_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp);
}

/// Guards against crashes that aren't counted because the endpoint restarts under the same id, with
/// or without lost answers.
#[test]
fn a_task_whose_endpoints_restart_under_their_ids_is_given_up() {
    for loses_answers in [false, true] {
        let mut fleet = Fleet::new(6);
        fleet.crashes.by_first_task_of(GUILTY);
        fleet.crashes.keeps_ids = true;
        fleet.pass(20);
        fleet.submit(&id(GUILTY), job(vec![step(2, 500, 600)]));
        for _ in 0..400 {
            for endpoint in fleet.endpoints.values_mut() {
                endpoint.loses_answers = loses_answers;
            }
            fleet.pass(10);
            fleet.list();
        }
        fleet.assert_sound();
        let state = fleet.state(&id(GUILTY));
        assert_eq!(state, Answer::GivenUp, "{loses_answers}");
    }
}

/// Guards against unlimited crashes of lasting tasks, which have no limit on attempts.
#[test]
fn a_lasting_task_that_crashes_its_endpoints_is_given_up() {
    let mut fleet = Fleet::new(6);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.pass(20);
    let lasting = StepSpec {
        is_lasting: true,
        may_miss: 1,
        ..step(2, 500, 300)
    };
    fleet.submit(&id(GUILTY), job(vec![lasting]));
    fleet.pass(4_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp);
}

/// Guards against missing crashes that happen some time after the start of their task.
#[test]
fn a_task_that_crashes_its_endpoints_later_is_given_up() {
    for after_ms in [150, 500, 1_200] {
        let mut fleet = Fleet::new(6);
        fleet.crashes.by_first_task_of(GUILTY);
        fleet.crashes.after = Duration::from_millis(after_ms);
        fleet.pass(20);
        fleet.submit(&id(GUILTY), job(vec![step(3, 500, 3_000)]));
        fleet.pass(4_000);
        fleet.assert_sound();
        assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp, "{after_ms}");
    }
}

/// Guards against a healthy job that fails because it shared endpoints with one that crashes them.
#[test]
fn jobs_beside_a_task_that_crashes_endpoints_complete() {
    let mut fleet = Fleet::new(6);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.crashes.by_first_task_of(GUILTY + 7);
    fleet.pass(20);
    let jobs = GUILTY..GUILTY + 12;
    for job_id in jobs.clone() {
        fleet.submit(&id(job_id), job(vec![step(2, 500, 600)]));
    }
    fleet.pass(4_000);
    fleet.assert_sound();
    let failed: Vec<u64> = jobs
        .filter(|&job| fleet.state(&id(job)) != Answer::State(JobState::Completed))
        .collect();
    assert_eq!(failed, [GUILTY, GUILTY + 7]);
}

/// Guards against counting a crash for an endpoint that was only unreachable.
#[test]
fn a_cut_endpoint_is_not_held_against_its_tasks() {
    let mut fleet = Fleet::new(2);
    fleet.submit(&id(GUILTY), job(vec![step(1, 500, 30_000)]));
    fleet.pass(60);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).is_silent = true;
    fleet.pass(900);
    assert_eq!(lost(&fleet, GUILTY), 1);
    fleet.endpoint(&at).is_silent = false;
    fleet.pass(100);
    assert_eq!(lost(&fleet, GUILTY), 0);
    fleet.assert_sound();
}

/// Guards against counting a crash for an endpoint that drained before it ended.
#[test]
fn an_endpoint_that_leaves_is_not_held_against_its_tasks() {
    let mut fleet = Fleet::new(2);
    fleet.submit(&id(GUILTY), job(vec![step(1, 500, 30_000)]));
    fleet.pass(60);
    let (_, _, at) = fleet.starts[0].clone();
    fleet.endpoint(&at).report.is_draining = true;
    fleet.list();
    fleet.pass(10);
    fleet.crash_for(&at, Duration::from_secs(2));
    fleet.pass(200);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(lost(&fleet, GUILTY), 0);
}

/// Guards against giving up a lasting task for crashes that are far apart in time.
#[test]
fn crashes_long_before_are_forgotten_of_a_task_at_work() {
    let settings = Settings::default();
    let cleared_after = settings.policy.crashes.cleared_after;
    let mut fleet = Fleet::with(4, settings);
    let lasting = StepSpec {
        is_lasting: true,
        ..step(1, 500, 300)
    };
    fleet.submit(&id(GUILTY), job(vec![lasting]));
    for crash in 0..6 {
        fleet.pass(300);
        assert_eq!(lost(&fleet, GUILTY), u32::from(crash > 0));
        let steps = cleared_after.as_millis() / 10;
        fleet.pass(u32::try_from(steps).expect("it is short"));
        assert_eq!(lost(&fleet, GUILTY), 0);
        let (_, _, at) = fleet.starts.last().expect("it runs").clone();
        fleet.crash_for(&at, Duration::from_secs(2));
    }
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::State(JobState::Running));
}

/// Guards against kinds of steps whose crashes aren't counted or that aren't isolated.
#[test]
fn whatever_a_step_asks_for_its_crashes_are_counted() {
    let plain = || step(3, 500, 600);
    let shapes = [
        (
            "gang",
            StepSpec {
                is_gang: true,
                ..plain()
            },
        ),
        (
            "rack-local",
            StepSpec {
                is_rack_local: true,
                ..plain()
            },
        ),
        (
            "spread",
            StepSpec {
                per_endpoint: 1,
                ..plain()
            },
        ),
        (
            "labelled",
            StepSpec {
                requires: Some("r1".into()),
                ..plain()
            },
        ),
        (
            "filler",
            StepSpec {
                is_filler: true,
                ..plain()
            },
        ),
        ("as large as an endpoint", step(3, 4000, 600)),
    ];
    for (name, shape) in shapes {
        let mut fleet = Fleet::new(8);
        fleet.crashes.by_first_task_of(GUILTY);
        fleet.pass(20);
        for sound in 1..=3 {
            let draft = job(vec![shape.clone(), plain()]);
            fleet.submit(&id(GUILTY + sound), draft);
        }
        fleet.submit(&id(GUILTY), job(vec![shape]));
        fleet.pass(3_000);
        assert!(fleet.broken.is_empty(), "{name}: {:?}", fleet.broken);
        assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp, "{name}");
        for sound in 1..=3 {
            let state = fleet.state(&id(GUILTY + sound));
            assert_eq!(state, Answer::State(JobState::Completed), "{name}");
        }
    }
}

/// Guards against crashes that aren't counted for tasks of later steps.
#[test]
fn a_task_of_a_later_step_that_crashes_its_endpoints_is_given_up() {
    let mut fleet = Fleet::new(6);
    fleet.crashes.tasks.insert(TaskId {
        step: 1,
        index: 1,
        ..first_task(GUILTY)
    });
    fleet.pass(20);
    let second = StepSpec {
        after: vec![0],
        ..step(2, 500, 600)
    };
    fleet.submit(&id(GUILTY), job(vec![step(3, 500, 100), second]));
    fleet.pass(3_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp);
}

/// Guards against suspected jobs that wait forever for an isolated endpoint in a pool of one.
#[test]
fn suspected_jobs_run_in_a_pool_of_one_endpoint() {
    let mut fleet = Fleet::new(1);
    fleet.crashes.by_first_task_of(GUILTY);
    fleet.pass(20);
    let lasting = StepSpec {
        is_lasting: true,
        ..step(1, 500, 300)
    };
    fleet.submit(&id(GUILTY + 1), job(vec![lasting]));
    fleet.submit(&id(GUILTY), job(vec![step(2, 500, 600)]));
    fleet.submit(&id(GUILTY + 2), job(vec![step(2, 500, 600)]));
    fleet.pass(6_000);
    fleet.assert_sound();
    assert_eq!(fleet.state(&id(GUILTY)), Answer::GivenUp);
    let running = Answer::State(JobState::Running);
    assert_eq!(fleet.state(&id(GUILTY + 1)), running);
    let completed = Answer::State(JobState::Completed);
    assert_eq!(fleet.state(&id(GUILTY + 2)), completed);
}
