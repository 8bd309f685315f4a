//! Random sequences of faults: every invariant holds and every job ends.

use std::time::Duration;

use pomelohitch_sched::Resources;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Endpoint, Fleet, job, step};

const ENDPOINTS: u8 = 4;

/// Applies one fault and advances the time. `what` selects the fault; `which` selects the endpoint,
/// the fault's parameter and the duration.
fn disturb(fleet: &mut Fleet, what: u8, which: u8) {
    let id = format!("e{}", which % ENDPOINTS);
    match what % 9 {
        0 => fleet.endpoint(&id).is_silent = true,
        1 => fleet.endpoint(&id).is_silent = false,
        2 => fleet.endpoint(&id).loses_answers = which < 128,
        3 => fleet.restart(&id),
        4 => fleet.change_leader(),
        5 => fleet.is_log_up = which < 128,
        6 => fleet.list_endpoints(),
        7 => fleet.log_delay = Duration::from_millis(u64::from(which % 4) * 130),
        _ => {}
    }
    fleet.advance(u32::from(which % 64) + 1);
}

fn check_faults(faults: &[(u8, u8)]) {
    let mut fleet = Fleet::new(u16::from(ENDPOINTS));
    let second = StepSpec {
        after: vec![0],
        ..step(3, 1500, 300)
    };
    let first = job(vec![step(6, 900, 400), second.clone()]);
    fleet.submit("00000000000000a1", first);
    fleet.submit("00000000000000a2", job(vec![step(2, 2500, 900), second]));
    for &(what, which) in faults.iter().take(40) {
        disturb(&mut fleet, what, which);
    }
    fleet.is_log_up = true;
    fleet.log_delay = Duration::ZERO;
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.is_silent = false;
        endpoint.loses_answers = false;
    }
    fleet.list_endpoints();
    fleet.advance(2_500);
    assert!(
        fleet.violations.is_empty(),
        "{faults:?}: {:?}",
        fleet.violations
    );
    for id in ["00000000000000a1", "00000000000000a2"] {
        let state = fleet.state(id);
        let is_known = state != Answer::Gone;
        let is_done = state == Answer::State(JobState::Completed);
        let job = u64::from_str_radix(id, 16).expect("the id is hexadecimal");
        // The scheduler may give up a task during whose runs two endpoints have crashed.
        let may_fail = state == Answer::GivenUp && fleet.max_crashes_per_task(job) >= 2;
        assert!(
            !is_known || is_done || may_fail,
            "{faults:?}: {id}: {state:?}"
        );
    }
}

#[test]
fn faults_in_any_order_break_no_promise() {
    pomelohitch_property::check(|faults: &Vec<(u8, u8)>| check_faults(faults));
}

/// Like [`disturb`], with crashes of endpoints and changes of capacity.
fn disturb_capacity(fleet: &mut Fleet, what: u8, which: u8) {
    let ids: Vec<_> = fleet.endpoints.keys().cloned().collect();
    let Some(id) = ids.get(usize::from(which) % ids.len().max(1)) else {
        return fleet.advance(100);
    };
    match what % 8 {
        0 => {
            let capacity = Resources {
                cpu: 1000 * u64::from(what % 5),
                mem_mb: 4000,
                gpu: 0,
            };
            fleet.resize(id, capacity);
        }
        1 => fleet.change_leader(),
        2 => fleet.is_log_up = which < 128,
        3 => fleet.log_delay = Duration::from_millis(u64::from(which % 4) * 700),
        4 => fleet.crash_for(id, Duration::from_millis(500)),
        5 => fleet.endpoint(id).is_silent = true,
        6 => fleet.endpoint(id).is_silent = false,
        _ => fleet.crashes.delay = Duration::from_millis(u64::from(which)),
    }
    fleet.advance(u32::from(which % 64) + 1);
}

fn check_crashes(faults: &[(u8, u8)]) {
    let jobs = 0xa1..0xa7_u64;
    let crashing = [0xa2, 0xa5];
    let mut fleet = Fleet::new(u16::from(ENDPOINTS) + 2);
    fleet.advance(20);
    for id in jobs.clone() {
        let second = StepSpec {
            after: vec![0],
            ..step(2, 700, 300)
        };
        let draft = job(vec![step(2, 500, 400), second]);
        fleet.submit(&format!("{id:016x}"), draft);
    }
    for id in crashing {
        fleet.crashes.add_first_task_of(id);
    }
    for &(what, which) in faults.iter().take(40) {
        disturb_capacity(&mut fleet, what, which);
    }
    fleet.is_log_up = true;
    fleet.log_delay = Duration::ZERO;
    let ids: Vec<_> = fleet.endpoints.keys().cloned().collect();
    for id in ids {
        fleet.endpoint(&id).is_silent = false;
        fleet.resize(&id, fleet.capacity);
    }
    fleet.list_endpoints();
    fleet.advance(6_000);
    assert!(
        fleet.violations.is_empty(),
        "{faults:?}: {:?}",
        fleet.violations
    );
    for id in jobs {
        let state = fleet.state(&format!("{id:016x}"));
        let may_fail = state == Answer::GivenUp && fleet.max_crashes_per_task(id) >= 2;
        let has_ended = if crashing.contains(&id) {
            may_fail
        } else {
            may_fail || state == Answer::State(JobState::Completed)
        };
        let is_known = state != Answer::Gone;
        assert!(!is_known || has_ended, "{faults:?}: {id:x}: {state:?}");
    }
}

#[test]
fn crashes_and_capacity_changes_in_any_order_violate_no_invariant() {
    pomelohitch_property::check(|faults: &Vec<(u8, u8)>| check_crashes(faults));
}

/// Like [`disturb`], with starts that get no answer and are never carried out. Without changes of
/// leader, after which no start counts as unanswered.
fn disturb_starts(fleet: &mut Fleet, what: u8, which: u8) {
    let id = format!("e{}", which % ENDPOINTS);
    match what % 6 {
        0 => fleet.endpoint(&id).is_silent = true,
        1 => fleet.endpoint(&id).is_silent = false,
        2 => fleet.faults.orders_late = Duration::from_secs(10_000),
        3 => fleet.faults.orders_late = Duration::ZERO,
        4 => fleet.restart(&id),
        _ => fleet.list_endpoints(),
    }
    fleet.advance(u32::from(which % 64) + 1);
}

fn check_unanswered_starts(faults: &[(u8, u8)]) {
    let mut fleet = Fleet::new(u16::from(ENDPOINTS));
    fleet.age_endpoints(Duration::from_secs(1_000));
    fleet.advance(20);
    let ids = 0xa1..0xa5_u64;
    let mut next = ids.clone();
    for &(what, which) in faults.iter().take(40) {
        if let Some(id) = next.next() {
            let lasting = StepSpec {
                is_lasting: true,
                may_miss: 1,
                per_endpoint: 1,
                ..step(2, 500, 300)
            };
            fleet.submit(&format!("{id:016x}"), job(vec![lasting]));
        }
        disturb_starts(&mut fleet, what, which);
    }
    fleet.faults.orders_late = Duration::ZERO;
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.is_silent = false;
    }
    fleet.list_endpoints();
    fleet.advance(2_500);
    let violations = &fleet.violations;
    assert!(violations.is_empty(), "{faults:?}: {violations:?}");
    let running: Vec<_> = fleet
        .endpoints
        .values()
        .flat_map(Endpoint::running)
        .collect();
    for id in ids {
        let is_over = fleet
            .cell
            .job(id)
            .is_none_or(|j| j.progress.state.is_final());
        let count = running.iter().filter(|task| task.job == id).count();
        assert!(is_over || count == 2, "{faults:?}: {id:x} has {count} runs");
    }
}

/// Guards against lasting tasks that never run again after starts went unanswered at endpoints that
/// restarted under their ids.
#[test]
fn lasting_tasks_run_again_after_unanswered_starts_and_restarts() {
    pomelohitch_property::check(|faults: &Vec<(u8, u8)>| check_unanswered_starts(faults));
}

/// Regression test: sequences of faults that have violated an invariant.
#[test]
fn recorded_fault_sequences_violate_no_invariant() {
    // An endpoint restarts under its id between the poll that lists completions and the one that
    // acknowledges them. Completion numbers begin anew, so the acknowledgement may drop the
    // completion of a start that was in flight.
    let silence_e0 = |count| vec![(0_u8, 0_u8); count];
    check_faults(
        &[
            &[(103, 62), (15, 70), (7, 200), (43, 40)][..],
            &silence_e0(15),
        ]
        .concat(),
    );
    check_faults(
        &[
            &[
                (122, 149),
                (204, 68),
                (203, 209),
                (140, 192),
                (15, 50),
                (123, 95),
            ][..],
            &silence_e0(8),
        ]
        .concat(),
    );
    check_faults(&[
        (243, 94),
        (121, 70),
        (211, 81),
        (144, 226),
        (178, 144),
        (232, 19),
        (33, 153),
        (187, 14),
        (163, 109),
        (0, 0),
        (0, 0),
    ]);
    // A run completes before its endpoint restarts, but its completion was not polled; it does not
    // count as lost with the endpoint.
    check_faults(&[
        (135, 22),
        (105, 120),
        (54, 160),
        (226, 25),
        (243, 92),
        (198, 14),
        (117, 70),
        (12, 96),
        (238, 179),
        (90, 217),
        (60, 18),
        (237, 185),
        (110, 22),
        (59, 27),
        (165, 92),
    ]);
    // A silent endpoint restarts while orders are in flight, and answers a new leader.
    check_faults(&[
        (165, 163),
        (126, 180),
        (104, 209),
        (226, 86),
        (126, 148),
        (129, 12),
        (211, 233),
        (192, 90),
        (102, 91),
        (163, 179),
        (161, 245),
        (222, 200),
        (128, 58),
        (211, 153),
        (24, 254),
        (193, 235),
        (126, 111),
        (88, 27),
        (88, 56),
        (149, 243),
        (120, 146),
        (94, 53),
        (95, 253),
        (144, 9),
        (194, 16),
        (211, 110),
        (221, 149),
        (231, 178),
    ]);
}
