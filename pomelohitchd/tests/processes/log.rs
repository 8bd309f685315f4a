//! The log is down, slow, or loses answers.

use std::time::Duration;

use pomelohitch_core::Record;
use pomelohitch_core::record::{Body, FLEET_STREAM};
use pomelohitch_standin::caller::Outcome;
use pomelohitch_standin::config::{self, SERVICE};
use pomelohitch_standin::{CallFaults, Daemon, log};
use rustix::process::Signal;

use crate::support::{Fleet, wait_until};

fn call_faults(calls: CallFaults) -> log::Faults {
    log::Faults { calls, keep: None }
}

/// During an outage of the log, keys, services and runners in force stay in force at every entry
/// instance, also past the age at which an entry instance that hears no peer would refuse requests.
#[test]
fn while_the_log_is_down_what_is_in_force_stays_and_requests_are_served() {
    let fleet = Fleet::start(3, 2);
    let before = fleet.state();
    fleet.log.set_faults(call_faults(CallFaults {
        down: true,
        ..CallFaults::default()
    }));
    let errors = || fleet.entries.iter().all(|entry| read_errors(entry) >= 30);
    wait_until("every entry instance failed to read for seconds", errors);
    for (index, entry) in fleet.entries.iter().enumerate() {
        assert!(entry.is_ready());
        assert_eq!(fleet.probe(index), Outcome::Complete);
        assert_eq!(
            entry.state().expect("the entry instance is ready").config,
            before.config
        );
    }
    fleet.log.set_faults(log::Faults::default());
    let base = before.config.files[config::PATH].version;
    let mut file = config::small();
    file.services[0].queue = 77;
    config::publish(&fleet.client, file, Some(base)).expect("the log is up");
    wait_in_force(&fleet, 77);
}

fn read_errors(entry: &Daemon) -> u64 {
    let metrics = entry.metrics().unwrap_or_default();
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("log_read_errors "));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn wait_in_force(fleet: &Fleet, queue: u32) {
    wait_until("the publish is in force everywhere", || {
        fleet.entries.iter().all(|entry| {
            let state = entry.state();
            state.is_some_and(|state| state.config.services[SERVICE].queue == queue)
        })
    });
}

/// The log answers later than every timeout, so that appends that take effect look failed. Requests
/// are still served, and a publish takes effect once it is read.
#[test]
fn while_the_log_is_slow_requests_are_served_and_a_publish_comes_into_force() {
    let fleet = Fleet::start(3, 2);
    let base = fleet.state().config.files[config::PATH].version;
    fleet.log.set_faults(call_faults(CallFaults {
        delay: Duration::from_secs(3),
        ..CallFaults::default()
    }));
    let errors = || fleet.entries.iter().all(|entry| read_errors(entry) >= 3);
    wait_until("every entry instance failed to read", errors);
    for index in 0..fleet.entries.len() {
        assert_eq!(fleet.probe(index), Outcome::Complete);
    }
    let mut file = config::small();
    file.services[0].queue = 78;
    config::publish(&fleet.client, file, Some(base))
        .expect("the client's timeout is longer than the delay");
    for index in 0..fleet.entries.len() {
        assert_eq!(fleet.probe(index), Outcome::Complete);
    }
    fleet.log.set_faults(log::Faults::default());
    wait_in_force(&fleet, 78);
}

/// The answer to the append of a join is lost, so that the entry instance appends the same record
/// again. It is one member, with the incarnation of the first record.
#[test]
fn a_join_whose_answer_is_lost_counts_once() {
    let mut fleet = Fleet::start_empty(1);
    config::publish(&fleet.client, config::small(), None).expect("the log is up");
    fleet.log.set_faults(call_faults(CallFaults {
        lose_answers: 2,
        ..CallFaults::default()
    }));
    fleet.start_entry();
    fleet.wait_ready();
    let records = fleet.log.records(FLEET_STREAM);
    let joins = (0_u64..).zip(&records).filter_map(|(offset, data)| {
        let record = Record::decode(data).ok()?;
        matches!(record.body, Body::Join(_)).then_some((offset, record.id))
    });
    let joins: Vec<_> = joins.collect();
    let state = fleet.state();
    assert_eq!(state.members.by_id.len(), 1);
    assert_eq!(state.members.by_id["entry-0"].incarnation, joins[0].0);
    assert!(joins.iter().all(|(_, id)| *id == joins[0].1), "{joins:?}");
    assert_eq!(fleet.probe(0), Outcome::Complete);
}

/// The log has trimmed the record that holds the configuration, and all entry instances are
/// replaced at once. The new ones start from a snapshot, with the same configuration and instances
/// in force.
#[test]
fn all_entry_instances_are_replaced_at_once_after_the_log_was_trimmed() {
    let mut fleet = Fleet::start(2, 2);
    fleet.log.set_faults(log::Faults {
        keep: Some(100),
        ..log::Faults::default()
    });
    let mut queue = 1000;
    while fleet.log.first(FLEET_STREAM) < 20 {
        queue += 1;
        let base = fleet.state().config.files[config::PATH].version;
        let mut file = config::small();
        file.services[0].queue = queue;
        config::publish(&fleet.client, file, Some(base)).expect("the log is up");
        wait_in_force(&fleet, queue);
    }
    let before = fleet.state();
    for entry in fleet.entries.drain(..) {
        entry.signal(Signal::KILL);
    }
    fleet.start_entry();
    fleet.start_entry();
    wait_until("both serve", || {
        let is_complete = |entry| fleet.probe(entry) == Outcome::Complete;
        fleet.entries.iter().all(Daemon::is_ready) && is_complete(0) && is_complete(1)
    });
    for entry in &fleet.entries {
        let state = entry.state().expect("the entry instance is ready");
        assert_eq!(state.config, before.config);
        assert_eq!(state.fleet.instances, before.fleet.instances);
        assert!(state.next >= before.next);
    }
}
