//! Tests of the limit on avoided endpoints.

use std::cell::Cell;
use std::time::Duration;

use pomelohitch_sched::ServiceName;
use pomelohitch_sched::avoidance::Avoidance;

/// Endpoints visited during two seconds in which runs stall at a sixth of `endpoints`, each of which
/// is polled five times a second.
fn count_visits(endpoints: u32) -> u32 {
    let services: Vec<ServiceName> = ["a", "b", "c", "d", "e"].map(Into::into).into();
    let visits = Cell::new(0);
    let mut avoidance = Avoidance::default();
    for poll in 0..10 {
        for stalled in 0..endpoints / 6 {
            let now = Duration::from_millis(u64::from(200 * poll + 200 * stalled / endpoints));
            avoidance.update(now, || {
                (0..endpoints).map(|n| {
                    visits.set(visits.get() + 1);
                    (&services[n as usize % services.len()], false)
                })
            });
            let _ = avoidance.allows(&services[stalled as usize % services.len()], false);
        }
    }
    visits.get()
}

/// Guards against a pass over all endpoints for each endpoint at which runs stall.
#[test]
fn stalls_of_a_whole_zone_cause_few_passes_over_the_endpoints() {
    for endpoints in [6_000, 12_000] {
        assert!(count_visits(endpoints) <= 11 * endpoints);
    }
}

/// Guards against avoiding a whole service because of a cause outside of its endpoints.
#[test]
fn only_a_share_of_a_service_is_avoided() {
    let service: ServiceName = "a".into();
    let mut avoidance = Avoidance::default();
    let mut avoided = 0;
    avoidance.update(Duration::ZERO, || (0..100).map(|n| (&service, n < 10)));
    while avoidance.allows(&service, false) {
        avoidance.add(&service);
        avoided += 1;
    }
    assert_eq!(avoided, 21);
    assert!(
        avoidance.allows(&service, true),
        "it is one of those avoided"
    );
}
