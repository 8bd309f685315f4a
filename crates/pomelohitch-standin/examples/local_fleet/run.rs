//! Runs the load, and the planned steps on the fleet meanwhile.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use pomelohitch_standin::caller::FinishedCall;
use pomelohitch_standin::config::TEAMS;
use pomelohitch_standin::jobs;
use pomelohitch_standin::load::{self, Load};
use pomelohitch_standin::runner::{Faults, Mode};

use crate::batch;
use crate::fleet::Fleet;

/// Interval at which the simulated load balancer checks which entry instances are ready.
const BALANCER_TICK: Duration = Duration::from_millis(50);
/// Time limit of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(40);
/// Index of the runner that freezes.
const FROZEN_RUNNER: usize = 0;

/// Results of the run.
#[derive(Debug)]
pub struct Outcome {
    /// Every request with its outcome.
    pub calls: Vec<FinishedCall>,
    /// Every job with its outcome.
    pub jobs: Vec<jobs::SubmittedJob>,
    /// Exit code of the replaced entry instance; `None` if it didn't exit in time.
    pub replaced_exit: Option<i32>,
}

/// A planned step: calls `act` on the fleet once `at` has passed since the start.
struct Step {
    at: Duration,
    act: fn(&mut Fleet),
}

/// Sends the load, while an entry instance is replaced and a runner is frozen for a while.
pub fn run(fleet: &mut Fleet, rate: f64, time: Duration, seed: u64, stop: &AtomicBool) -> Outcome {
    let load = Load {
        rate,
        time,
        seed,
        keys: TEAMS.iter().map(|(_, key)| (*key).into()).collect(),
        ..Load::default()
    };
    let ready = Mutex::new(fleet.ready_entries());
    let steps = [
        Step {
            at: time / 4,
            act: |fleet| fleet.entries[0].terminate(),
        },
        Step {
            at: time * 3 / 10,
            act: Fleet::start_entry,
        },
        Step {
            at: time / 2,
            act: |fleet| fleet.set_runner_faults(FROZEN_RUNNER, &mode(Mode::Freeze)),
        },
        Step {
            at: time * 7 / 10,
            act: |fleet| fleet.set_runner_faults(FROZEN_RUNNER, &mode(Mode::Work)),
        },
    ];
    let is_load_done = AtomicBool::new(false);
    let (calls, mut jobs) = std::thread::scope(|scope| {
        let submitting = scope.spawn(|| batch::run(time, &ready, stop));
        let sending = scope.spawn(|| {
            let calls = load::run(&load, &ready, stop);
            is_load_done.store(true, Ordering::Release);
            calls
        });
        run_steps(fleet, &steps, &ready, &is_load_done);
        let calls = sending.join().expect("the load doesn't panic");
        (
            calls,
            submitting.join().expect("submitting jobs doesn't panic"),
        )
    });
    batch::wait_ended(&mut jobs, &fleet.ready_entries(), stop);
    // After an interrupt, the entry instance may never have been asked to terminate.
    let is_interrupted = stop.load(Ordering::Acquire);
    let limit = if is_interrupted {
        Duration::ZERO
    } else {
        SHUTDOWN_TIMEOUT
    };
    let replaced_exit = fleet.entries[0].wait(limit);
    Outcome {
        calls,
        jobs,
        replaced_exit,
    }
}

fn run_steps(
    fleet: &mut Fleet,
    steps: &[Step],
    ready: &Mutex<Vec<SocketAddr>>,
    is_load_done: &AtomicBool,
) {
    let start = Instant::now();
    let mut steps = steps.iter().peekable();
    while !is_load_done.load(Ordering::Acquire) {
        if let Some(step) = steps.next_if(|step| step.at <= start.elapsed()) {
            (step.act)(fleet);
        }
        let entries = fleet.ready_entries();
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = entries;
        std::thread::sleep(BALANCER_TICK);
    }
}

fn mode(mode: Mode) -> Faults {
    Faults {
        mode,
        ..Faults::default()
    }
}
