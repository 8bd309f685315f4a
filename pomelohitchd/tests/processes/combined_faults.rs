//! Several faults at the same time, in a random order given by a seed.

use std::sync::Mutex;

use pomelohitch_standin::runner::{Faults, Mode};
use pomelohitch_standin::{CallFaults, log};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::support::{Fleet, mode, under_load};

/// Number of faults and recoveries in one run.
const STEPS: usize = 10;
/// Number of requests that the runners finish after each step.
const REQUESTS_PER_STEP: u64 = 25;
/// Index of the entry instance that is never paused or killed, so that requests go on.
const ALWAYS_UP: usize = 0;

/// A fault, or the recovery from earlier ones.
#[derive(Debug, Clone, Copy)]
enum Step {
    Runner(Mode),
    RunnerConnections,
    RunnersRecover,
    LogDown,
    LogLosesAnswers,
    LogRecovers,
    Pause,
    Replace,
}

const ALL_STEPS: [Step; 12] = [
    Step::Runner(Mode::Freeze),
    Step::Runner(Mode::CutBody),
    Step::Runner(Mode::Refuse),
    Step::Runner(Mode::SilentAfterRun),
    Step::Runner(Mode::SilentBeforeRun),
    Step::RunnerConnections,
    Step::RunnersRecover,
    Step::LogDown,
    Step::LogLosesAnswers,
    Step::LogRecovers,
    Step::Pause,
    Step::Replace,
];

fn apply(fleet: &mut Fleet, step: Step, rng: &mut StdRng) {
    // Runner 0 has no faults, so that requests keep finishing.
    let runner = &fleet.runners[rng.random_range(1..fleet.runners.len())];
    let log_calls = |calls| log::Faults { calls, keep: None };
    match step {
        Step::Runner(faults) => runner.set_faults(mode(faults)),
        Step::RunnerConnections => runner.set_faults(Faults {
            silence_open: true,
            ..Faults::default()
        }),
        Step::RunnersRecover => recover_runners(fleet),
        Step::LogDown => fleet.log.set_faults(log_calls(CallFaults {
            down: true,
            ..CallFaults::default()
        })),
        Step::LogLosesAnswers => fleet.log.set_faults(log_calls(CallFaults {
            lose_answers: 3,
            ..CallFaults::default()
        })),
        Step::LogRecovers => fleet.log.set_faults(log::Faults::default()),
        Step::Pause => fleet.entries[1].signal(Signal::STOP),
        Step::Replace => {
            fleet.entries[2].signal(Signal::KILL);
            fleet.entries.remove(2);
            fleet.start_entry();
        }
    }
}

fn recover_runners(fleet: &Fleet) {
    for runner in &fleet.runners {
        runner.set_faults(Faults::default());
    }
}

fn run(seed: u64) {
    let mut fleet = Fleet::start(3, 3);
    let mut rng = StdRng::seed_from_u64(seed);
    let entries = Mutex::new(fleet.addresses());
    let calls = under_load(&entries, || {
        for _ in 0..STEPS {
            let step = *ALL_STEPS.choose(&mut rng).expect("the list is not empty");
            apply(&mut fleet, step, &mut rng);
            let mut addresses = fleet.addresses();
            if matches!(step, Step::Pause) {
                // A balancer takes a paused process out of rotation; the requests that it holds are
                // answered once it resumes.
                addresses.remove(1);
            }
            *entries.lock().expect("no thread panics") = addresses;
            fleet.wait_finished(REQUESTS_PER_STEP);
            fleet.entries[1].signal(Signal::CONT);
        }
        recover_runners(&fleet);
        fleet.log.set_faults(log::Faults::default());
        fleet.wait_ready();
        fleet.wait_finished(REQUESTS_PER_STEP);
    });
    let tally = fleet.count(&calls);
    assert!(tally.is_clean() && tally.complete > 0, "{seed}: {tally:?}");
    assert!(fleet.entries[ALWAYS_UP].is_ready());
}

/// Runners fail, the log goes down or loses answers, one entry instance is paused and another one
/// replaced, in any order and several at a time. No request is doubled or lost, and every `ran: no`
/// is true.
#[test]
fn simultaneous_faults_double_and_lose_nothing() {
    run(1);
}

#[test]
fn simultaneous_faults_in_another_order_double_and_lose_nothing() {
    run(2);
}
