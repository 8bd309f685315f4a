//! Runners that freeze, go silent, cut answers, refuse or drain.

use std::sync::Mutex;
use std::time::Duration;

use pomelohitch_core::record::{Body, DrainPurpose, FleetDecision, FleetStep};
use pomelohitch_core::state::Phase;
use pomelohitch_standin::caller::{self, Call, FinishedCall};
use pomelohitch_standin::daemon::Daemon;
use pomelohitch_standin::runner::{Faults, Mode};
use pomelohitch_standin::{CallFaults, Runner, config, instances, log};

use crate::support::{Fleet, call, mode, under_load, wait_until};

/// Each runner in turn freezes, goes silent, refuses or cuts its answers while non-idempotent
/// requests run. Some outcomes are unknown; no request runs twice, and every `ran: no` is true.
#[test]
fn no_fault_of_a_runner_doubles_a_non_idempotent_request() {
    let fleet = Fleet::start(3, 3);
    let entries = Mutex::new(fleet.addresses());
    let faults = [
        mode(Mode::Freeze),
        mode(Mode::CutBody),
        mode(Mode::Refuse),
        mode(Mode::SilentAfterRun),
        mode(Mode::SilentBeforeRun),
        Faults {
            silence_open: true,
            ..Faults::default()
        },
    ];
    let calls = under_load(&entries, || {
        for (index, faults) in faults.iter().enumerate() {
            let runner = &fleet.runners[index % fleet.runners.len()];
            runner.set_faults(faults.clone());
            fleet.wait_finished(60);
            runner.set_faults(Faults::default());
            fleet.wait_finished(20);
        }
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
    assert!(tally.complete > 0 && tally.unknown > 0, "{tally:?}");
}

/// Once an instance drains, its runner gets no new work from any entry instance, and the requests
/// that run there are finished and answered.
#[test]
fn a_runner_that_drains_gets_no_new_work_and_its_requests_finish() {
    let fleet = Fleet::start(3, 3);
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        fleet.wait_finished(60);
        fleet.runners[0].set_faults(Faults {
            delay: Duration::from_millis(500),
            ..Faults::default()
        });
        wait_until("a request runs", || fleet.runners[0].ledger().running > 0);
        drain(&fleet, "runner-0");
        wait_until("every entry instance has read the drain", || {
            fleet.entries.iter().all(|entry| {
                let state = entry.state();
                state.is_some_and(|state| state.fleet.instances["runner-0"].phase != Phase::Active)
            })
        });
        // A request that was sent before may not have started yet.
        wait_until("it is idle", || {
            fleet.entries.iter().all(has_no_draining_requests)
                && fleet.runners[0].ledger().running == 0
        });
        // A runner that is slower than the others would be avoided anyway.
        for runner in &fleet.runners {
            runner.set_faults(Faults {
                delay: Duration::from_millis(200),
                ..Faults::default()
            });
        }
        let started = started(&fleet.runners[0]);
        fleet.wait_finished(200);
        assert_eq!(self::started(&fleet.runners[0]), started);
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
    assert_eq!(tally.unknown, 0, "{tally:?}");
}

/// Whether an entry instance has no request under way at an instance that takes no new work.
fn has_no_draining_requests(entry: &Daemon) -> bool {
    let metrics = entry.metrics().unwrap_or_default();
    let mut lines = metrics.lines();
    lines.any(|line| line == "requests_draining 0")
}

fn started(runner: &Runner) -> u64 {
    runner.ledger().runs.values().map(|runs| runs.started).sum()
}

/// Appends the decision to drain, as the planner would; repeated, since a decision of the planner
/// may be appended first.
fn drain(fleet: &Fleet, instance: &str) {
    wait_until("the instance drains", || {
        let state = fleet.state();
        let known = &state.fleet.instances[instance];
        let step = FleetStep::Drain {
            instance: instance.into(),
            since: known.since,
            purpose: DrainPurpose::Leaving,
        };
        if known.phase == Phase::Active {
            let term = state.members.term;
            let decision = Body::Fleet(FleetDecision { term, step });
            config::append(&fleet.client, decision).expect("the log is up");
        }
        known.phase != Phase::Active
    });
}

/// A caller that timed out repeats a request, through every entry instance at the same moment, with
/// the same idempotency key. It runs once, and no answer falsely says that it did not run.
#[test]
fn one_idempotency_key_at_all_entry_instances_runs_once() {
    let fleet = Fleet::start(3, 3);
    let outcomes = std::thread::scope(|scope| {
        let sending: Vec<_> = (0..9)
            .map(|index| {
                let call = Call {
                    id: format!("purchase-{index}").into(),
                    idempotent: false,
                    idempotency_key: Some("one purchase".into()),
                    ..call("")
                };
                let entry = fleet.entries[index % 3].callers;
                scope.spawn(move || {
                    let outcome = caller::send(&caller::agent(), entry, &call);
                    FinishedCall {
                        call,
                        outcome,
                        latency: Duration::ZERO,
                    }
                })
            })
            .collect();
        let done = sending
            .into_iter()
            .map(|one| one.join().expect("no thread panics"));
        done.collect::<Vec<_>>()
    });
    let ledgers = fleet.ledgers();
    let runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
    let purchases = runs.filter(|(id, _)| id.starts_with("purchase"));
    let started: u64 = purchases.map(|(_, runs)| runs.started).sum();
    assert_eq!(started, 1, "{outcomes:?}");
    let tally = fleet.count(&outcomes);
    assert!(tally.is_clean() && tally.complete == 1, "{tally:?}");
}

/// The platform removes an instance while the log is down, so that no record can say so and the
/// planner can decide nothing. Entry instances that waited for the log would send requests to an
/// instance that is shut down.
#[test]
fn a_runner_that_leaves_while_the_log_is_down_gets_no_new_work() {
    let fleet = Fleet::start(3, 3);
    fleet.log.set_faults(log::Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        keep: None,
    });
    fleet.instances.set_faults(instances::Faults {
        leaving: ["runner-0".into()].into(),
        ..instances::Faults::default()
    });
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        wait_until("the runner gets no new requests", || {
            let started = started(&fleet.runners[0]);
            fleet.wait_finished(100);
            self::started(&fleet.runners[0]) == started
        });
        let started = started(&fleet.runners[0]);
        fleet.wait_finished(200);
        assert_eq!(self::started(&fleet.runners[0]), started);
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean(), "{tally:?}");
}
