//! Endpoints on which runs are slow.

use pomelohitch_sched::Settings;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::policy::Policy;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

/// A fleet of ten endpoints of which `e0` is six times slower, after jobs have shown that.
fn uneven_fleet() -> Fleet {
    let mut fleet = Fleet::new(10);
    fleet.endpoint("e0").slowness = 6.0;
    fleet.advance(20);
    for id in 1..=4_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(9, 1_000, 500)]));
        fleet.advance(20);
    }
    fleet.advance(60);
    assert_eq!(fleet.cell.slow_endpoint_count(), 1);
    fleet.advance(400);
    fleet
}

/// Load: one endpoint in ten is six times slower, and the others have room.
#[test]
fn a_slow_endpoint_gets_no_work_while_others_have_room() {
    let mut fleet = uneven_fleet();
    fleet.starts.clear();
    for id in 11..=20_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(6, 1_000, 500)]));
        fleet.advance(20);
    }
    fleet.advance(60);
    assert_eq!(fleet.starts.len(), 60);
    assert!(fleet.starts.iter().all(|(_, _, at)| &**at != "e0"));
    fleet.assert_invariants();
}

/// Guards against tasks that wait for good because only a slow endpoint can take them.
#[test]
fn a_task_that_fits_only_on_a_slow_endpoint_starts_there_after_a_second() {
    let mut fleet = uneven_fleet();
    fleet.starts.clear();
    let only_there = StepSpec {
        requires: Some("only".into()),
        ..step(1, 1_000, 3_000)
    };
    fleet.endpoint("e0").report.labels = ["only".into(), "r0".into()].into();
    fleet.list_endpoints();
    fleet.submit("00000000000000a1", job(vec![only_there]));
    fleet.advance(90);
    assert!(fleet.starts.is_empty());
    fleet.advance(30);
    assert_eq!(fleet.starts.len(), 1);
    fleet.assert_invariants();
}

/// Guards against a mark that outlasts the incarnation, or the cause.
#[test]
fn a_slow_endpoint_is_forgotten_with_its_incarnation_and_with_time() {
    let mut fleet = uneven_fleet();
    fleet.restart("e0");
    fleet.list_endpoints();
    fleet.advance(20);
    assert_eq!(fleet.cell.slow_endpoint_count(), 0);
    let mut fleet = uneven_fleet();
    fleet.endpoint("e0").slowness = 1.0;
    fleet.advance(1_000);
    assert_eq!(fleet.cell.slow_endpoint_count(), 0);
}

/// All endpoints become slow, as when callers declare run times that are far too low and these aren't
/// corrected. Guards against a service without endpoints.
#[test]
fn few_endpoints_of_a_service_are_marked() {
    let settings = Settings {
        policy: Policy {
            learns_run_times: false,
            ..Policy::default()
        },
        ..Settings::default()
    };
    let mut fleet = Fleet::with(10, settings);
    for endpoint in fleet.endpoints.values_mut() {
        endpoint.slowness = 6.0;
    }
    fleet.advance(20);
    for id in 1..=40_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(1, 1_000, 300)]));
    }
    fleet.advance(250);
    assert_eq!(fleet.cell.slow_endpoint_count(), 4);
    fleet.advance(1_000);
    for id in 1..=40_u64 {
        let state = fleet.state(&format!("{id:016x}"));
        assert_eq!(state, Answer::State(JobState::Completed));
    }
    fleet.assert_invariants();
}
