//! The planner fails in the middle of a maintenance wave.

use std::sync::Mutex;

use pomelohitch_core::record::{Body, FLEET_STREAM, MaintainOrder, WaveLimits};
use pomelohitch_core::state::Phase;
use pomelohitch_core::{Record, State};
use pomelohitch_standin::config::{self, PATH, POOL, SERVICE};
use rustix::process::Signal;

use crate::support::{Fleet, under_load, wait_until};

/// Number of runners of the service.
const RUNNERS: usize = 6;
/// Number of runners that must stay active.
const MIN_AVAILABLE: u32 = 4;

/// A fleet whose service tolerates two of its six runners being down.
fn fleet() -> Fleet {
    let fleet = Fleet::start(3, RUNNERS);
    let base = fleet.state().config.files[PATH].version;
    let mut file = config::small();
    file.services[0].min_available = MIN_AVAILABLE;
    config::publish(&fleet.client, file, Some(base)).expect("the log is up");
    wait_until("the budget is in force", || {
        fleet.state().config.services[SERVICE].min_available == MIN_AVAILABLE
    });
    fleet
}

fn start_wave(fleet: &Fleet) {
    let order = MaintainOrder::Start {
        pool: POOL.into(),
        limits: WaveLimits {
            racks: None,
            zones: None,
        },
    };
    config::append(&fleet.client, Body::Maintain(order)).expect("the log is up");
    wait_until("the first reboot", || !reboots(fleet).is_empty());
}

/// Which instances were rebooted, in order.
fn reboots(fleet: &Fleet) -> Vec<Box<str>> {
    let effects = fleet.instances.ledger().effects.into_iter();
    let reboots = effects.filter(|effect| &*effect.action == "reboot");
    reboots.map(|effect| effect.instance).collect()
}

fn wait_end(fleet: &Fleet) {
    wait_until("the wave ends", || {
        let state = fleet.state();
        let mut instances = state.fleet.instances.values();
        state.waves.by_pool.is_empty() && instances.all(|i| i.phase == Phase::Active)
    });
}

/// Checks that every instance was rebooted once, with nothing running on it, and that no record in
/// the log left the service fewer active instances than its budget.
fn check_wave(fleet: &Fleet) {
    let mut rebooted = reboots(fleet);
    rebooted.sort();
    let all: Vec<_> = fleet.state().fleet.instances.keys().cloned().collect();
    assert_eq!(rebooted, all);
    assert_eq!(fleet.instances.ledger().cut, 0);
    let mut state = State::default();
    for (offset, data) in (0..).zip(fleet.log.records(FLEET_STREAM)) {
        let record = Record::decode(&data).expect("every record is of this version");
        state.apply(offset, &record);
        let has_budget = state
            .config
            .services
            .get(SERVICE)
            .is_some_and(|service| service.min_available == MIN_AVAILABLE);
        let active = state.fleet.active_in(POOL);
        assert!(
            !has_budget || active >= MIN_AVAILABLE,
            "{active} at {offset}"
        );
    }
}

/// The planner is killed during a wave. The next one continues it: no instance is rebooted twice or
/// left out, the budget holds, and the only effect on callers is that of the dead entry instance.
#[test]
fn when_the_planner_dies_in_a_wave_another_finishes_it_within_the_budget() {
    let mut fleet = fleet();
    let planner = fleet.planner();
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        start_wave(&fleet);
        fleet.entries[planner].signal(Signal::KILL);
        entries.lock().expect("no thread panics").remove(planner);
        fleet.entries.remove(planner);
        wait_end(&fleet);
    });
    check_wave(&fleet);
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
}

/// The planner is paused during a wave and resumes after another one has finished it. Its pending
/// requests to the platform are outdated and must not be sent.
#[test]
fn a_planner_that_resumes_after_its_wave_has_ended_sends_no_orders() {
    let mut fleet = fleet();
    let planner = fleet.planner();
    start_wave(&fleet);
    let paused = fleet.entries.remove(planner);
    paused.signal(Signal::STOP);
    wait_end(&fleet);
    let before = fleet.instances.ledger();
    paused.signal(Signal::CONT);
    fleet.entries.push(paused);
    fleet.wait_ready();
    wait_end(&fleet);
    assert_eq!(fleet.instances.ledger(), before);
    check_wave(&fleet);
}
