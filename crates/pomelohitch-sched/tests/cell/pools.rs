//! Autoscaling of pools.

use std::time::Duration;

use pomelohitch_sched::Resources;
use pomelohitch_sched::cell::calls::Verb;
use pomelohitch_sched::instances::Wave;

use super::fleet::{Fleet, job, step};

/// A fleet with `pricing` and `issuing` instances, whose operations take effect.
fn fleet(pricing: u16, issuing: u16) -> Fleet {
    let mut fleet = Fleet::new(pricing);
    for index in 0..issuing {
        fleet.add_to("issuing", &format!("i{index}"), 50 + index);
    }
    fleet.applies_operations = true;
    fleet.list_endpoints();
    fleet.advance(400);
    fleet
}

fn pool_size(fleet: &Fleet, name: &str) -> usize {
    let instances = fleet.instances.values();
    instances.filter(|i| &*i.pool == name).count()
}

#[test]
fn instances_move_to_the_pool_that_needs_them() {
    let mut fleet = fleet(4, 4);
    for id in 1..=8_u64 {
        fleet.submit(&format!("{id:016x}"), job(vec![step(3, 1000, 4_000)]));
    }
    fleet.advance(300);
    assert_eq!(pool_size(&fleet, "pricing"), 6);
    assert_eq!(pool_size(&fleet, "issuing"), 2);
    fleet.assert_invariants();
}

#[test]
fn a_pool_that_has_enough_is_left_alone() {
    let mut fleet = fleet(4, 4);
    fleet.submit("00000000000000a1", job(vec![step(4, 1000, 2_000)]));
    fleet.advance(300);
    assert!(fleet.operations.is_empty());
}

/// Guards against pools that are sized by capacity that their endpoints no longer have.
#[test]
fn a_pool_whose_endpoints_have_shrunk_gets_more() {
    let mut fleet = fleet(4, 4);
    for id in ["e0", "e1", "e2", "e3"] {
        let capacity = Resources {
            cpu: 1000,
            mem_mb: 4000,
            gpu: 0,
        };
        fleet.resize(id, capacity);
    }
    fleet.submit("00000000000000a1", job(vec![step(4, 1000, 2_000)]));
    fleet.advance(300);
    assert!(pool_size(&fleet, "pricing") > 4);
    fleet.assert_invariants();
}

/// Three lasting tasks need an endpoint each, and their pool has two instances with idle
/// processors. Demand for processors alone would not add an instance, and one task would never
/// start.
#[test]
fn a_pool_with_too_few_instances_to_spread_tasks_gets_one_more() {
    let mut fleet = fleet(2, 4);
    let mut lasting = step(3, 500, 100);
    lasting.is_lasting = true;
    lasting.per_endpoint = 1;
    fleet.submit("00000000000000a1", job(vec![lasting]));
    fleet.advance(400);
    assert_eq!(pool_size(&fleet, "pricing"), 3);
    assert_eq!(fleet.starts.len(), 3);
    fleet.assert_invariants();
}

/// Guards against a start that is decided while a move of its instance is in flight: the move ends
/// the endpoint, and the task may then run twice.
#[test]
fn nothing_starts_on_an_instance_that_is_about_to_move() {
    for tick in 0..12 {
        let mut fleet = fleet(4, 4);
        fleet.advance(tick);
        for id in 1..=8_u64 {
            let large = Verb::Submit(Ok(job(vec![step(3, 1000, 4_000)])));
            fleet.call(&format!("/i/{id:016x}"), large);
        }
        for id in 9..=20_u64 {
            fleet.submit(&format!("{id:016x}"), job(vec![step(1, 900, 20)]));
            fleet.advance(1);
        }
        fleet.advance(300);
        fleet.assert_invariants();
    }
}

/// The lasting tasks of an instance due for maintenance may not share an endpoint with those on the
/// only other instance of the pool. Without one more instance the wave would never end.
#[test]
fn a_pool_without_capacity_for_displaced_tasks_gets_one_more() {
    let mut fleet = fleet(2, 4);
    let mut lasting = step(2, 500, 100);
    lasting.is_lasting = true;
    lasting.per_endpoint = 1;
    fleet.submit("00000000000000a1", job(vec![lasting]));
    fleet.advance(50);
    fleet.cell.wave(Wave {
        number: 1,
        instances: vec!["m0".into(), "m1".into()],
        within: Duration::from_secs(20),
        max_down: 1,
    });
    fleet.advance(1_600);
    assert!(fleet.statuses.contains(&(1, true)));
    fleet.assert_invariants();
}

/// Tasks require a label that no instance of their pool has. Guards against moving instances there
/// without that label, which would leave the tasks waiting forever.
#[test]
fn a_pool_is_given_an_instance_of_the_kind_that_its_tasks_need() {
    let mut fleet = fleet(3, 6);
    let has_rare_label = |n: &str| ["i4", "i5"].contains(&n);
    for endpoint in fleet.endpoints.values_mut() {
        if has_rare_label(&endpoint.report.id) {
            endpoint.report.labels = ["rare".into(), "r9".into()].into();
        }
    }
    for instance in fleet.instances.values_mut() {
        if instance.endpoint.as_deref().is_some_and(has_rare_label) {
            instance.labels = ["rare".into(), "r9".into()].into();
        }
    }
    fleet.list_endpoints();
    fleet.advance(450);
    let mut needs = step(2, 1000, 500);
    needs.requires = Some("rare".into());
    fleet.submit("00000000000000a1", job(vec![needs]));
    fleet.advance(600);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_invariants();
}

/// Moves are decided while the log is unavailable. By the time their records are durable, tasks
/// have started on the instances, and the moves would end them.
#[test]
fn a_move_that_waited_long_for_its_record_is_not_made() {
    for outage_steps in [60, 120, 200, 320] {
        let mut fleet = fleet(4, 4);
        for id in 1..=8_u64 {
            let large = Verb::Submit(Ok(job(vec![step(3, 1000, 4_000)])));
            fleet.call(&format!("/i/{id:016x}"), large);
        }
        fleet.advance(2);
        fleet.is_log_up = false;
        fleet.advance(outage_steps);
        fleet.is_log_up = true;
        for id in 9..=20_u64 {
            fleet.submit(&format!("{id:016x}"), job(vec![step(1, 900, 20)]));
            fleet.advance(1);
        }
        fleet.advance(300);
        fleet.assert_invariants();
    }
}
