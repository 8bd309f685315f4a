//! Tests of the choice of runs that get a copy.

use std::time::Duration;

use pomelohitch_sched::TaskId;
use pomelohitch_sched::copies::{Room, Running, choose, is_within_attempts};

const ROOM: Room = Room {
    free: 100_000,
    copies: 0,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A run of a step that has to end within 1.5 s, or within 2 s not to be late, where a copy takes
/// 0.8 s.
fn running(job: u64, index: u32, left_ms: u64) -> Running {
    Running {
        task: TaskId {
            job,
            occurrence: 0,
            step: 0,
            index,
        },
        cpu: 1_000,
        time_left: Some(millis(left_ms)),
        copy_time: millis(800),
        due_in: millis(1_500),
        late_in: millis(2_000),
        has_copy: false,
        may_start: true,
    }
}

fn indices(chosen: &[TaskId]) -> Vec<u32> {
    chosen.iter().map(|task| task.index).collect()
}

/// Load: a step of eight tasks of which one straggles. It alone gets a copy.
#[test]
fn the_straggler_of_a_step_is_copied() {
    let mut step: Vec<Running> = (0..8).map(|index| running(1, index, 300)).collect();
    step[5].time_left = Some(millis(3_500));
    assert_eq!(indices(&choose(&step, ROOM)), [5]);
    step[5].time_left = None;
    assert_eq!(indices(&choose(&step, ROOM)), [5], "no end in sight");
}

/// Load: one endpoint in ten is six times slower, and a step of 24 tasks has two of them there.
#[test]
fn all_stragglers_of_a_step_are_copied_or_none() {
    let mut step: Vec<Running> = (0..24).map(|index| running(1, index, 400)).collect();
    for index in [3, 17] {
        step[index].time_left = Some(millis(3_600));
    }
    assert_eq!(indices(&choose(&step, ROOM)), [3, 17]);
    step[17].may_start = false;
    assert!(choose(&step, ROOM).is_empty());
    step[17].may_start = true;
    let full = Room {
        free: 9_000,
        copies: 0,
    };
    assert!(choose(&step, full).is_empty());
}

/// Guards against copies that change nothing: the run is in time, the copy is late, or the copy
/// ends hardly sooner.
#[test]
fn only_what_a_copy_saves_is_copied() {
    let in_time = running(1, 0, 1_400);
    let copy_late = Running {
        copy_time: millis(2_100),
        ..running(1, 0, 9_000)
    };
    let no_gain = Running {
        copy_time: millis(1_200),
        ..running(1, 0, 1_800)
    };
    let late_job = Running {
        due_in: Duration::ZERO,
        late_in: Duration::ZERO,
        ..running(1, 0, 9_000)
    };
    for run in [in_time, copy_late, no_gain, late_job] {
        assert!(choose(&[run], ROOM).is_empty(), "{run:?}");
    }
}

/// Guards against copies that crowd out other work: they use a fifth of the free room, and the most
/// urgent steps go first.
#[test]
fn copies_use_a_share_of_the_free_room() {
    let stragglers: Vec<Running> = (0..50)
        .map(|job| Running {
            late_in: millis(2_000 + (job * 7) % 50),
            ..running(job, 0, 5_000)
        })
        .collect();
    let room = Room {
        free: 50_000,
        copies: 0,
    };
    let chosen = choose(&stragglers, room);
    let most_urgent: Vec<u64> = (0..10).collect();
    let mut urgencies: Vec<u64> = chosen.iter().map(|t| (t.job * 7) % 50).collect();
    urgencies.sort_unstable();
    assert_eq!(urgencies, most_urgent);
    let used = Room {
        free: 40_000,
        copies: 10_000,
    };
    assert!(choose(&stragglers, used).is_empty());
    let small = Room {
        free: 3_000,
        copies: 0,
    };
    assert_eq!(choose(&stragglers, small).len(), 1, "one may start anyway");
}

/// Guards against a start after the last attempt has failed, and against three runs of a task.
#[test]
fn a_task_has_at_most_one_copy_and_no_more_runs_than_attempts() {
    let copied = Running {
        has_copy: true,
        ..running(1, 0, 9_000)
    };
    assert!(choose(&[copied], ROOM).is_empty());
    let allowed = |failures| is_within_attempts(failures, 1, 3);
    assert_eq!([0, 1, 2, 3].map(allowed), [true, true, false, false]);
}
