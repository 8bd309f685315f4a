//! Work of the scheduler's passes, which must not grow faster than the fleet.

use std::sync::Arc;

use pomelohitch_sched::cell::calls::Verb;
use pomelohitch_sched::config::{FleetConfig, Queue, Service};

use super::fleet::{Fleet, job, step};

const STEPS_PER_SECOND: u32 = 100;

/// A fleet of `endpoints` endpoints, divided among `services` services with a queue each.
fn fleet(endpoints: u16, services: u16) -> Fleet {
    let mut fleet = Fleet::new(0);
    for index in 0..endpoints {
        let service = format!("s{}", index % services);
        fleet.add_to(&service, &format!("e{index}"), index);
    }
    let names = || (0..services).map(|n| format!("s{n}"));
    let queue = |name: String| Queue {
        prefix: format!("/{name}/").into(),
        service: name.as_str().into(),
        name: name.into(),
        ..fleet.cfg.queues[0].clone()
    };
    let cfg = FleetConfig {
        version: 2,
        queues: names().map(queue).collect(),
        services: names()
            .map(|name| (name.as_str().into(), Service::default()))
            .collect(),
        ..(*fleet.cfg).clone()
    };
    fleet.cfg = Arc::new(cfg);
    fleet.cell.configure(fleet.cfg.clone());
    fleet.applies_operations = true;
    fleet.list_endpoints();
    fleet.advance(STEPS_PER_SECOND);
    fleet
}

/// Entries that passes over all endpoints or instances visit during four seconds in which tasks of
/// every service wait.
fn count_visits(endpoints: u16, services: u16) -> u64 {
    let mut fleet = fleet(endpoints, services);
    let before = fleet.cell.visits();
    for service in 0..services {
        for id in 0..8 {
            let id = u32::from(service) * 100 + id;
            let steps = vec![step(u32::from(endpoints / services), 2_500, 3_000)];
            fleet.call(
                &format!("/s{service}/{id:016x}"),
                Verb::Submit(Ok(job(steps))),
            );
        }
    }
    fleet.advance(4 * STEPS_PER_SECOND);
    assert!(fleet.starts.len() >= usize::from(endpoints));
    fleet.assert_invariants();
    fleet.cell.visits() - before
}

/// Guards against a pass over all endpoints for each service, which is services x endpoints.
#[test]
fn visits_do_not_grow_with_the_number_of_services() {
    let (few, many) = (count_visits(240, 4), count_visits(240, 16));
    assert!(many * 10 <= few * 11, "{many} visits after {few}");
}

/// Guards against work that grows faster than the fleet.
#[test]
fn visits_grow_no_faster_than_the_number_of_endpoints() {
    let (one, two) = (count_visits(240, 4), count_visits(480, 4));
    assert!(two * 10 <= one * 22, "{two} visits after {one}");
}
