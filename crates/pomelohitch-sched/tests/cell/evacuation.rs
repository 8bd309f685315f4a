//! Evacuation of availability zones.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::config::{FleetConfig, Service};
use pomelohitch_sched::instances::Wave;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{Answer, Operation};
use pomelohitch_sched::progress::JobState;

use super::fleet::{self, Fleet, job, step};

/// A fleet with endpoints of `pricing`, assigned round-robin to three zones.
fn fleet(endpoints: u16) -> Fleet {
    let mut fleet = Fleet::new(endpoints);
    assign_zones(&mut fleet, endpoints);
    fleet.advance(40);
    fleet
}

fn assign_zones(fleet: &mut Fleet, endpoints: u16) {
    for index in 0..endpoints {
        let zone = ["a", "b", "c"][usize::from(index % 3)];
        fleet.put_in_zone(&format!("e{index}"), zone);
    }
    fleet.list_endpoints();
}

/// Guards against starts by outdated evacuations while operator records can't be read.
#[test]
fn nothing_starts_until_operator_records_are_read_again() {
    let mut fleet = fleet(3);
    fleet.reads_entries = false;
    fleet.advance(400);
    fleet.submit("00000000000000a1", job(vec![step(2, 500, 50)]));
    fleet.advance(50);
    assert!(fleet.starts.is_empty());
    fleet.reads_entries = true;
    fleet.advance(50);
    let state = fleet.state("00000000000000a1");
    assert_eq!(state, Answer::State(JobState::Completed));
}

/// Like [`fleet`], with additional instances in a pool that is switched off; operations take
/// effect.
fn with_spares(endpoints: u16, spares: u16) -> Fleet {
    let mut fleet = Fleet::new(endpoints);
    let mut cfg = fleet::config(2);
    let spare = Service {
        is_spare: true,
        ..Service::default()
    };
    cfg.services.insert("spare".into(), spare);
    configure(&mut fleet, cfg);
    for index in 0..spares {
        let id = format!("s{index}");
        fleet.add_to("spare", &id, 60 + index);
        fleet.put_in_zone(&id, ["a", "b", "c"][usize::from(index % 3)]);
    }
    let off = fleet.instances.values_mut().filter(|i| &*i.pool == "spare");
    for instance in off {
        instance.endpoint = None;
    }
    fleet.endpoints.retain(|id, _| !id.starts_with('s'));
    assign_zones(&mut fleet, endpoints);
    fleet.applies_operations = true;
    fleet.advance(450);
    fleet
}

fn configure(fleet: &mut Fleet, cfg: FleetConfig) {
    fleet.cfg = Arc::new(cfg);
    fleet.cell.configure(fleet.cfg.clone());
}

fn submit(fleet: &mut Fleet, ids: std::ops::RangeInclusive<u64>, step: &StepSpec) {
    for id in ids {
        fleet.submit(&format!("{id:016x}"), job(vec![step.clone()]));
    }
}

/// Number of starts in a zone since the start with index `from`.
fn starts_in(fleet: &Fleet, from: usize, zone: &str) -> usize {
    let starts = fleet.starts[from..].iter();
    let zones = starts.filter_map(|(.., at)| fleet.endpoints.get(at));
    zones.filter(|e| &*e.report.zone == zone).count()
}

fn lasting(count: u32, may_miss: u32) -> StepSpec {
    StepSpec {
        is_lasting: true,
        may_miss,
        ..step(count, 500, 100)
    }
}

/// Number of runs in a zone.
fn running_in(fleet: &Fleet, zone: &str) -> usize {
    let endpoints = fleet.endpoints.values();
    let of_zone = endpoints.filter(|e| &*e.report.zone == zone);
    of_zone.map(|e| e.running().len()).sum()
}

/// Guards against starts in a zone that is being evacuated.
#[test]
fn nothing_starts_in_an_evacuated_zone_until_it_is_withdrawn() {
    let mut fleet = fleet(6);
    fleet.evacuate("b");
    let from = fleet.starts.len();
    submit(&mut fleet, 1..=6, &step(2, 900, 300));
    fleet.advance(200);
    assert_eq!(starts_in(&fleet, from, "b"), 0);
    assert_eq!(fleet.starts.len() - from, 12);
    fleet.withdraw_evacuation("b");
    submit(&mut fleet, 7..=14, &step(3, 1000, 300));
    fleet.advance(20);
    assert!(starts_in(&fleet, from, "b") > 0);
    fleet.assert_invariants();
}

/// Guards against starts that are decided before an evacuation and sent after it.
#[test]
fn a_start_that_waits_for_its_record_is_not_sent_to_an_evacuated_zone() {
    for wait in [1, 5, 20, 40, 55, 60] {
        let mut fleet = fleet(3);
        fleet.is_log_up = false;
        submit(&mut fleet, 1..=3, &step(3, 1000, 200));
        fleet.is_log_up = true;
        fleet.log_delay = Duration::from_millis(500);
        fleet.advance(wait);
        let from = fleet.starts.len();
        fleet.evacuate("a");
        fleet.advance(400);
        assert_eq!(starts_in(&fleet, from, "a"), 0, "{wait}");
        assert!(fleet.starts.len() >= 9, "{wait}");
        fleet.assert_invariants();
    }
}

/// Guards against a new leader that doesn't know that an evacuation is in force or has ended.
#[test]
fn an_evacuation_holds_through_changes_of_leader() {
    let mut fleet = fleet(6);
    fleet.evacuate("c");
    for _ in 0..3 {
        fleet.change_leader();
        let from = fleet.starts.len();
        submit(&mut fleet, 1..=6, &step(2, 900, 300));
        fleet.advance(300);
        assert_eq!(starts_in(&fleet, from, "c"), 0);
    }
    fleet.evacuated.clear();
    fleet.change_leader();
    assert!(fleet.cell.evacuations().is_empty());
    fleet.assert_invariants();
}

/// Guards against an evacuation that never ends because the removal of its record was not read.
#[test]
fn evacuations_without_a_record_end() {
    let mut fleet = fleet(3);
    fleet.evacuate("a");
    fleet.evacuate("b");
    fleet.cell.evacuations_read(["b".into(), "c".into()].into());
    let zones: BTreeSet<_> = fleet.cell.evacuations().zones().cloned().collect();
    assert_eq!(zones, ["b".into(), "c".into()].into());
}

/// Guards against lasting tasks that stay in an evacuated zone, or leave it in too large numbers at
/// the same time.
#[test]
fn lasting_tasks_leave_an_evacuated_zone_few_at_a_time() {
    let mut fleet = fleet(9);
    fleet.submit("00000000000000a1", job(vec![lasting(12, 2)]));
    fleet.advance(200);
    assert!(running_in(&fleet, "a") > 0);
    fleet.evacuate("a");
    for _ in 0..800 {
        fleet.advance(1);
        let running: usize = fleet.endpoints.values().map(|e| e.running().len()).sum();
        assert!(running >= 10, "{running} of 12 are running");
    }
    assert_eq!(running_in(&fleet, "a"), 0);
    fleet.assert_invariants();
}

/// Guards against accepting jobs while no zone may run them.
#[test]
fn jobs_are_refused_at_once_while_every_zone_is_evacuated() {
    let mut fleet = fleet(6);
    for zone in ["a", "b", "c"] {
        fleet.evacuate(zone);
    }
    let call = fleet.submit("00000000000000a1", job(vec![step(1, 500, 100)]));
    fleet.advance(1);
    insta::assert_debug_snapshot!(fleet.replies[&call]);
    fleet.withdraw_evacuation("b");
    fleet.submit("00000000000000a1", job(vec![step(1, 500, 100)]));
    fleet.advance(60);
    let done = Answer::State(JobState::Completed);
    assert_eq!(fleet.state("00000000000000a1"), done);
    fleet.assert_invariants();
}

/// Guards against side effects of evacuating a zone that has no endpoints.
#[test]
fn the_evacuation_of_an_unknown_zone_changes_nothing() {
    let mut fleet = fleet(3);
    fleet.evacuate("z");
    submit(&mut fleet, 1..=3, &step(2, 900, 200));
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), 6);
    fleet.assert_invariants();
}

/// Guards against losing an evacuation after several requests and withdrawals within a second.
#[test]
fn an_evacuation_that_is_withdrawn_and_requested_again_is_in_force() {
    let mut fleet = fleet(6);
    for _ in 0..4 {
        fleet.evacuate("a");
        fleet.advance(15);
        fleet.withdraw_evacuation("a");
        fleet.advance(15);
    }
    fleet.evacuate("a");
    let from = fleet.starts.len();
    submit(&mut fleet, 1..=6, &step(2, 900, 300));
    fleet.advance(200);
    assert_eq!(starts_in(&fleet, from, "a"), 0);
    fleet.assert_invariants();
}

/// Guards against pools that lack endpoints because they count instances of an evacuated zone.
#[test]
fn pools_are_filled_from_other_zones() {
    let mut fleet = with_spares(9, 9);
    fleet.evacuate("a");
    submit(&mut fleet, 1..=10, &step(4, 1000, 4_000));
    fleet.advance(300);
    let to_pricing = fleet.operations.iter().filter(
        |(_, operation)| matches!(operation, Operation::Move { pool } if &**pool == "pricing"),
    );
    let zones: Vec<_> = to_pricing
        .map(|(id, _)| fleet.instances[id].zone.clone())
        .collect();
    assert_eq!(zones.len(), 6, "{zones:?}");
    assert!(zones.iter().all(|zone| &**zone != "a"), "{zones:?}");
    assert_eq!(fleet.starts.len(), 40);
    fleet.assert_invariants();
}

/// Guards against paying for idle instances of a zone where nothing may start.
#[test]
fn idle_instances_of_an_evacuated_zone_are_switched_off() {
    let mut fleet = with_spares(9, 3);
    submit(&mut fleet, 1..=3, &step(3, 1000, 500));
    fleet.evacuate("a");
    fleet.advance(500);
    let of_zone = fleet.instances.values().filter(|i| &*i.zone == "a");
    assert!(of_zone.clone().count() >= 3);
    let pools: BTreeSet<_> = of_zone.map(|i| &*i.pool).collect();
    assert_eq!(pools, ["spare"].into());
    fleet.assert_invariants();
}

/// Guards against a wave that starts with other zones while one is already being emptied.
#[test]
fn a_wave_begins_with_the_evacuated_zone() {
    let mut fleet = fleet(9);
    fleet.applies_operations = true;
    submit(&mut fleet, 1..=9, &step(2, 1500, 1_500));
    fleet.advance(10);
    fleet.evacuate("c");
    fleet.cell.wave(Wave {
        number: 1,
        instances: (0..9).map(|n| format!("m{n}").into()).collect(),
        within: Duration::from_secs(30),
        max_down: 3,
    });
    fleet.advance(400);
    let first: Vec<_> = fleet.operations.iter().take(3).collect();
    let zones = first.iter().map(|(id, _)| &*fleet.instances[id].zone);
    assert_eq!(zones.collect::<Vec<_>>(), ["c", "c", "c"]);
    fleet.assert_invariants();
}

/// Applies one fault and advances the time. `what` selects the fault; `which` selects the endpoint
/// or zone, the fault's parameter and the duration.
fn disturb(fleet: &mut Fleet, what: u8, which: u8) {
    let id = format!("e{}", which % 6);
    let zone = ["a", "b", "c"][usize::from(which % 3)];
    match what % 8 {
        0 => fleet.evacuate(zone),
        1 => fleet.withdraw_evacuation(zone),
        2 => fleet.change_leader(),
        3 => fleet.is_log_up = which < 128,
        4 => fleet.log_delay = Duration::from_millis(u64::from(which % 4) * 130),
        5 => fleet.endpoint(&id).loses_answers = which < 128,
        6 => fleet.endpoint(&id).is_silent = which < 100,
        _ => {}
    }
    fleet.advance(u32::from(which % 64) + 1);
}

#[test]
fn evacuations_during_faults_violate_no_invariant() {
    pomelohitch_property::check(|faults: &Vec<(u8, u8)>| {
        let mut fleet = fleet(6);
        let second = StepSpec {
            after: vec![0],
            ..step(3, 1500, 300)
        };
        let first = step(6, 900, 400);
        fleet.submit("00000000000000a1", job(vec![first, second]));
        fleet.submit("00000000000000a2", job(vec![lasting(4, 1)]));
        for &(what, which) in faults.iter().take(40) {
            disturb(&mut fleet, what, which);
        }
        assert!(
            fleet.violations.is_empty(),
            "{faults:?}: {:?}",
            fleet.violations
        );
    });
}
