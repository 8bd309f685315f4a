//! Maintenance in waves.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::Resources;
use pomelohitch_sched::instances::{Instance, InstanceState, Instances, Wave};
use pomelohitch_sched::order::OperationOutcome;

use super::fleet::{Endpoint, Fleet, job, step};

fn wave(instances: &[&str], at_once: usize) -> Wave {
    Wave {
        number: 1,
        instances: instances.iter().map(|i| Arc::from(*i)).collect(),
        within: Duration::from_secs(20),
        max_down: at_once,
    }
}

fn operated(fleet: &Fleet) -> Vec<&str> {
    fleet.operations.iter().map(|(id, _)| &**id).collect()
}

#[test]
fn a_wave_takes_down_no_more_at_once_than_it_may() {
    let mut fleet = Fleet::new(4);
    fleet.carries_out = true;
    fleet.cell.wave(wave(&["m0", "m1", "m2", "m3"], 2));
    for _ in 0..1_000 {
        fleet.pass(1);
        let is_down = |i: &&Instance| i.state == InstanceState::Maintenance;
        let down = fleet.instances.values().filter(is_down).count();
        assert!(down <= 2);
    }
    assert_eq!(operated(&fleet).len(), 4);
    assert!(fleet.statuses.contains(&(1, true)));
}

#[test]
fn a_wave_waits_until_nothing_runs_on_an_instance() {
    let mut fleet = Fleet::new(1);
    fleet.submit("00000000000000a1", job(vec![step(1, 500, 6_000)]));
    fleet.pass(20);
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(500);
    assert!(fleet.operations.is_empty());
    fleet.pass(200);
    assert_eq!(operated(&fleet), ["m0"]);
}

/// A wave comes before the list of instances was ever read, while a lasting task is at work. Taken
/// for empty, its instance would be taken down under it, beyond what its step may miss.
#[test]
fn before_the_list_is_known_no_instance_counts_as_empty() {
    let mut fleet = Fleet::new(1);
    fleet.hides_instances = true;
    let mut lasting = step(1, 500, 100);
    lasting.is_lasting = true;
    fleet.submit("00000000000000a1", job(vec![lasting]));
    fleet.pass(400);
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(100);
    assert!(fleet.operations.is_empty());
}

/// An endpoint goes dark without a word. By what it said last its lasting task is at work, and
/// stopping another beside it would take away two where one may be.
#[test]
fn what_a_dark_endpoint_said_last_does_not_count_as_at_work() {
    let mut fleet = Fleet::new(3);
    let mut lasting = step(2, 500, 100);
    lasting.is_lasting = true;
    lasting.may_miss = 1;
    lasting.per_endpoint = 1;
    fleet.submit("00000000000000a1", job(vec![lasting]));
    fleet.pass(400);
    let (dark, other) = (fleet.starts[0].2.clone(), fleet.starts[1].2.clone());
    fleet.endpoint(&dark).is_silent = true;
    fleet.pass(150);
    let due = format!("m{}", &other[1..]);
    fleet.cell.wave(wave(&[&due], 1));
    fleet.pass(300);
    assert_eq!(fleet.endpoint(&other).running().len(), 1);
}

/// The former leader has just maintained an instance, and a wave of the new one asks for it again.
/// Two holders that give orders for one instance in turns within its lease would each undo what
/// the other ordered.
#[test]
fn a_new_leader_leaves_an_instance_alone_that_the_former_one_just_operated_on() {
    let mut fleet = Fleet::new(2);
    fleet.carries_out = true;
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(450);
    assert_eq!(operated(&fleet), ["m0"]);
    fleet.change_leader();
    fleet.cell.wave(Wave {
        number: 2,
        ..wave(&["m0", "m1"], 2)
    });
    fleet.pass(250);
    assert_eq!(operated(&fleet), ["m0", "m1"]);
    fleet.pass(300);
    assert_eq!(operated(&fleet), ["m0", "m1", "m0"]);
}

/// Lasting tasks leave an instance one after another, which changes which instance has most of
/// them. Chosen anew each time, the instances take turns at being emptied, and the tasks go to and
/// fro between them for as long as the wave lasts.
#[test]
fn an_instance_that_is_being_emptied_stays_chosen() {
    let mut fleet = Fleet::new(4);
    fleet.carries_out = true;
    for id in 1..=3_u64 {
        let mut lasting = step(8, 300, 100);
        lasting.is_lasting = true;
        lasting.may_miss = 1;
        lasting.per_endpoint = 3;
        fleet.submit(&format!("{id:016x}"), job(vec![lasting]));
    }
    fleet.pass(400);
    let began = fleet.starts.len();
    fleet.cell.wave(Wave {
        within: Duration::from_mins(1),
        ..wave(&["m0", "m1", "m2"], 1)
    });
    fleet.pass(4_000);
    let moved = fleet.starts.len() - began;
    assert!(moved <= 48, "24 tasks were started {moved} times more");
    assert_eq!(operated(&fleet).len(), 3);
    fleet.assert_sound();
}

/// One task of a step has to leave an instance that is due, another one an endpoint that drains, at
/// the same time. The second stop may arrive before the first, which then takes away two where one
/// may be away.
#[test]
fn a_drain_beside_a_wave_takes_away_no_more_than_may_miss() {
    let mut fleet = Fleet::new(6);
    let mut lasting = step(3, 500, 100);
    lasting.is_lasting = true;
    lasting.may_miss = 1;
    lasting.per_endpoint = 1;
    fleet.submit("00000000000000a1", job(vec![lasting]));
    fleet.pass(400);
    let (due, draining) = (fleet.starts[0].2.clone(), fleet.starts[1].2.clone());
    fleet.cell.wave(wave(&[&format!("m{}", &due[1..])], 1));
    fleet.endpoint(&draining).report.is_draining = true;
    fleet.list();
    for _ in 0..300 {
        fleet.pass(1);
        let running = fleet.endpoints.values().map(|e| e.running().len());
        assert!(running.sum::<usize>() >= 2);
    }
    assert!(fleet.endpoint(&draining).running().is_empty());
    assert_eq!(operated(&fleet).len(), 1);
}

/// The leader stops a lasting task whose endpoint has to be empty, and ends. Until the task is gone
/// its endpoint lists it as at work, and the next leader stops another one beside it: two are away
/// where one may be.
#[test]
fn a_task_that_a_former_leader_is_stopping_does_not_count_as_at_work() {
    for steps_between in 1..30 {
        let mut fleet = Fleet::new(6);
        let mut lasting = step(3, 500, 100);
        lasting.is_lasting = true;
        lasting.may_miss = 1;
        lasting.per_endpoint = 1;
        fleet.submit("00000000000000a1", job(vec![lasting]));
        fleet.pass(400);
        for endpoint in fleet.endpoints.values_mut() {
            endpoint.stop_grace = Duration::from_millis(900);
        }
        // The next leader looks at the first endpoint first.
        let [first, second] = [0, 1].map(|at| fleet.starts[at].2.clone());
        fleet.endpoint(&second).report.is_draining = true;
        fleet.list();
        fleet.pass(steps_between);
        fleet.endpoint(&first).report.is_draining = true;
        fleet.change_leader();
        for _ in 0..400 {
            fleet.pass(1);
            let staying: usize = fleet.endpoints.values().map(Endpoint::staying).sum();
            assert!(staying >= 2, "after {steps_between} steps");
        }
    }
}

/// An order to take an instance down is lost, and its leader ends before it knows. Counted as
/// done, the instance would be left out while the wave is told as completed.
#[test]
fn an_order_that_was_lost_with_its_leader_is_made_again() {
    let mut fleet = Fleet::new(1);
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.loses_operations = true;
    fleet.pass(220);
    assert_eq!(operated(&fleet), ["m0"]);
    fleet.change_leader();
    fleet.loses_operations = false;
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(100);
    assert!(!fleet.statuses.contains(&(1, true)));
    fleet.pass(500);
    assert_eq!(operated(&fleet), ["m0", "m0"]);
    assert!(fleet.statuses.contains(&(1, true)));
}

/// An instance that crashed is missing from the list for some seconds. It stays due.
#[test]
fn an_instance_that_is_missing_for_a_while_stays_due() {
    let mut fleet = Fleet::new(1);
    let instance = fleet.instances.remove("m0").expect("it is there");
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(1_000);
    assert!(!fleet.statuses.contains(&(1, true)));
    fleet.instances.insert("m0".into(), instance);
    fleet.pass(500);
    assert_eq!(operated(&fleet), ["m0"]);
    assert!(fleet.statuses.contains(&(1, true)));
}

/// All members lose power, and the next leader comes up a moment later. Waiting for orders that a
/// process which is gone might still send, it moved nothing for two seconds, in which work piled up.
#[test]
fn a_leader_whose_former_one_is_gone_operates_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.pass(400);
    fleet.change_leader();
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(100);
    assert!(fleet.operations.is_empty());
    fleet.change_leader();
    fleet.cell.former_leader_ended();
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(100);
    assert_eq!(operated(&fleet), ["m0"]);
}

/// A wave over more instances than the platform takes operations for in a second. What is refused
/// would be asked for again only after 1.5 s.
#[test]
fn no_more_operations_are_decided_than_the_platform_takes() {
    let mut fleet = Fleet::new(120);
    let names: Vec<String> = (0..120).map(|n| format!("m{n}")).collect();
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    fleet.pass(400);
    fleet.cell.wave(wave(&names, 120));
    fleet.pass(100);
    let decided = fleet.operations.len();
    assert!((48..=64).contains(&decided), "{decided} in a second");
}

/// A step of many lasting tasks has to leave its instances in the time of a wave, one task after
/// another. Begun only with the turn of their instance, the last of them weren't done in time. Here
/// the first turn never ends, since a long run is on the instance that has most on it.
#[test]
fn lasting_tasks_leave_due_instances_before_their_turn() {
    let mut fleet = Fleet::new(12);
    let mut lasting = step(6, 500, 100);
    lasting.is_lasting = true;
    lasting.may_miss = 1;
    lasting.per_endpoint = 1;
    fleet.submit("00000000000000a1", job(vec![step(1, 500, 120_000)]));
    fleet.pass(20);
    fleet.submit("00000000000000a2", job(vec![lasting]));
    fleet.pass(400);
    fleet.cell.wave(Wave {
        within: Duration::from_mins(5),
        ..wave(&["m0", "m1", "m2", "m3", "m4", "m5"], 1)
    });
    fleet.pass(800);
    let laden = (1..6).filter(|n| !fleet.endpoints[&*format!("e{n}")].running().is_empty());
    assert_eq!(laden.count(), 0);
    fleet.assert_sound();
}

/// An instance of a wave leaves for good: its endpoint drains, and the platform says that it is busy
/// until it is gone. Waited for like one that crashed, it kept the wave from being told as completed
/// for 16 s, long after its time.
#[test]
fn an_instance_that_leaves_for_good_is_not_waited_for() {
    let mut fleet = Fleet::new(2);
    fleet.pass(400);
    fleet.endpoint("e0").report.is_draining = true;
    fleet.list();
    fleet.loses_operations = true;
    fleet.cell.wave(wave(&["m0"], 1));
    fleet.pass(300);
    assert!(!fleet.statuses.contains(&(1, true)));
    fleet.instances.remove("m0");
    fleet.endpoints.remove("e0");
    fleet.pass(300);
    assert!(!fleet.statuses.contains(&(1, true)));
    fleet.pass(400);
    assert!(fleet.statuses.contains(&(1, true)));
}

/// Every instance of a wave has been maintained, and pools that follow demand move some of them all
/// the time. Operators would wait for the word that their wave is done until the load ends.
#[test]
fn a_wave_is_done_while_its_instances_move_between_pools() {
    let mut instances = Instances::default();
    let list: Vec<Instance> = (0..3).map(|n| instance(n, InstanceState::Up)).collect();
    let second = Duration::from_secs(1);
    instances.update_list(list.clone(), second);
    instances.add_wave(
        Wave {
            number: 1,
            instances: list.iter().map(|i| i.id.clone()).collect(),
            within: Duration::from_secs(20),
            max_down: 3,
        },
        second,
    );
    for i in &list {
        instances.operation_started(&i.id, second, None);
        let recorded = instances.operation_ended(&i.id, Some(1), OperationOutcome::Taken, second);
        assert!(recorded.is_ok_and(|record| record.is_some()));
    }
    assert_eq!(told(&mut instances), [(1, false)], "they are down");
    instances.update_list(list.clone(), 5 * second);
    instances.operation_started(&list[0].id, 5 * second, Some("issuing".into()));
    assert_eq!(told(&mut instances), [(1, true)]);
}

/// An instance of a wave moves to another pool before it was maintained. It still has to be.
#[test]
fn a_wave_is_not_done_before_all_of_it_was_maintained() {
    let mut instances = Instances::default();
    let second = Duration::from_secs(1);
    instances.update_list(vec![instance(0, InstanceState::Up)], second);
    instances.add_wave(
        Wave {
            number: 1,
            instances: vec!["m0".into()],
            within: Duration::from_secs(20),
            max_down: 3,
        },
        second,
    );
    instances.operation_started(&"m0".into(), second, Some("issuing".into()));
    assert_eq!(told(&mut instances), [(1, false)]);
}

fn instance(number: u16, state: InstanceState) -> Instance {
    Instance {
        id: format!("m{number}").into(),
        pool: "pricing".into(),
        state,
        zone: "a".into(),
        capacity: Resources::default(),
        labels: Arc::default(),
        endpoint: Some(format!("e{number}").into()),
    }
}

/// What is said of waves now: number, and whether it is done.
fn told(instances: &mut Instances) -> Vec<(u64, bool)> {
    let statuses = instances
        .take_status_changes()
        .expect("records can be encoded");
    statuses
        .into_iter()
        .map(|(number, is_done, _)| (number, is_done))
        .collect()
}
