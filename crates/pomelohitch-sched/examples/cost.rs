//! Processor time of scheduling decisions in a large fleet.
//!
//! Simulates five pools, queues with bursts of about four times their mean load, lasting tasks, a
//! maintenance wave over half of the instances, and 1,400 idle queues. Endpoints, log and instances
//! answer immediately, in virtual time. Prints for each second the starts, the jobs held, and the
//! processor time of the decisions.
//!
//! `cargo run --release -p pomelohitch-sched --example cost -- [ENDPOINTS [JOBS]]`
//!
//! `ENDPOINTS`, 349 by default, is divided among the pools. `JOBS` is the number of jobs per second
//! on average, 80 by default.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::cell::calls::{Draft, Verb};
use pomelohitch_sched::config::{FleetConfig, Queue, Service, Workspace};
use pomelohitch_sched::instances::Wave;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::resources::Resources;

use pomelohitch_emulator::fleet::{self, Fleet};

/// Simulated time in seconds.
const SECONDS: u32 = 24;
/// Length of a queue's burst in seconds.
const BURST_SECONDS: u32 = 4;
/// Steps of virtual time per second.
const STEPS_PER_SECOND: u32 = 100;
/// Number of queues without jobs.
const IDLE_QUEUES: usize = 1_400;
/// Endpoints and jobs per second by default, to which the numbers in [`POOLS`] apply.
const DEFAULT_ENDPOINTS: u32 = 349;
const DEFAULT_JOBS: u32 = 80;
/// Name, instances, jobs per second during a burst, tasks per step, and for each task thousandths
/// of a core and run time in milliseconds.
const POOLS: [(&str, u32, u32, u32, u64, u64); 4] = [
    ("pricing", 61, 118, 8, 1_500, 640),
    ("issuing", 69, 24, 8, 3_300, 1_300),
    ("kiosk", 78, 148, 8, 1_500, 640),
    ("partners", 85, 29, 8, 3_300, 1_300),
];
const SPARE: (&str, u32) = ("backoffice", 56);

/// Size of the simulated fleet and its load.
#[derive(Debug, Clone, Copy)]
struct Size {
    endpoints: u32,
    /// Jobs per second on average.
    jobs: u32,
}

impl Size {
    fn from_args() -> Size {
        let mut numbers = std::env::args().skip(1).map(|arg| {
            arg.parse()
                .unwrap_or_else(|error| panic!("expected a number, found {arg:?}: {error}"))
        });
        Size {
            endpoints: numbers.next().unwrap_or(DEFAULT_ENDPOINTS),
            jobs: numbers.next().unwrap_or(DEFAULT_JOBS),
        }
    }

    /// Instances of a pool that has `count` by default.
    fn instances(self, count: u32) -> u32 {
        count * self.endpoints / DEFAULT_ENDPOINTS
    }
}

fn config() -> FleetConfig {
    let queue = |name: String, service: &str| Queue {
        prefix: format!("/{name}/").into(),
        name: name.into(),
        host: "h".into(),
        service: service.into(),
        attempts: 3,
        stretch: 1.6,
        objective: Duration::from_millis(600),
        ..Queue::default()
    };
    let idle = (0..IDLE_QUEUES).map(|n| queue(format!("idle-{n}"), "pricing"));
    let busy = POOLS.iter().map(|(name, ..)| queue((*name).into(), name));
    let pools = POOLS.iter().map(|(name, ..)| *name);
    let spare = Service {
        is_spare: true,
        ..Service::default()
    };
    FleetConfig {
        version: 2,
        queues: idle.chain(busy).collect(),
        services: pools
            .map(|name| (name.into(), Service::default()))
            .chain([(SPARE.0.into(), spare)])
            .collect(),
        workspaces: vec![Workspace {
            name: "w".into(),
            keys: vec!["key".into()],
            weight: 1,
            bound: Resources::default(),
        }],
    }
}

fn build_fleet(size: Size) -> Fleet {
    let mut fleet = Fleet::new(0);
    fleet.capacity = Resources {
        cpu: 16_000,
        mem_mb: 65_536,
        gpu: 0,
    };
    let mut index = 1;
    let pools = POOLS.iter().map(|(name, count, ..)| (*name, *count));
    for (name, count) in pools.chain([SPARE]) {
        for _ in 0..size.instances(count) {
            fleet.add_to(name, &format!("{name}-{index}"), index);
            index += 1;
        }
    }
    fleet.applies_operations = true;
    fleet.cfg = Arc::new(config());
    fleet.cell.configure(fleet.cfg.clone());
    fleet.list_endpoints();
    fleet.advance(6 * STEPS_PER_SECOND);
    fleet
}

fn lasting_job(cpu: u64) -> Draft {
    fleet::job(vec![StepSpec {
        is_lasting: true,
        per_endpoint: 4,
        may_miss: 2,
        ..fleet::step(24, cpu, 900)
    }])
}

fn two_step_job(count: u32, cpu: u64, millis: u64) -> Draft {
    let second = StepSpec {
        after: vec![0],
        ..fleet::step(count, cpu, millis)
    };
    fleet::job(vec![fleet::step(count, cpu, millis), second])
}

/// Submits the jobs of one step of virtual time.
fn submit_jobs(fleet: &mut Fleet, size: Size, second: u32, step: u32, next_id: &mut u64) {
    for (slot, &(name, _, rate, count, cpu, millis)) in (0..).zip(&POOLS) {
        let is_bursting = second / BURST_SECONDS % 4 == slot;
        let rate = if is_bursting { rate } else { rate / 80 };
        let steps_per_job = STEPS_PER_SECOND * DEFAULT_JOBS;
        let due_by = |step: u32| step * rate * size.jobs / steps_per_job;
        let due = due_by(step + 1) - due_by(step);
        for _ in 0..due {
            *next_id += 1;
            let verb = Verb::Submit(Ok(two_step_job(count, cpu, millis)));
            fleet.call(&format!("/{name}/{next_id:016x}"), verb);
        }
    }
}

fn main() {
    let size = Size::from_args();
    let mut fleet = build_fleet(size);
    let mut next_id = 0;
    for (name, ..) in POOLS {
        for _ in 0..4 {
            next_id += 1;
            let verb = Verb::Submit(Ok(lasting_job(2_300)));
            fleet.call(&format!("/{name}/{next_id:016x}"), verb);
        }
    }
    fleet.advance(2 * STEPS_PER_SECOND);
    let due = fleet.instances.keys().step_by(2).cloned();
    let wave = Wave {
        number: 1,
        instances: due.collect(),
        within: Duration::from_secs(27),
        max_down: 58,
    };
    fleet.cell.wave(wave);
    println!("second  starts  jobs held  moves  polls    decision, ms");
    for second in 0..SECONDS {
        let starts = fleet.starts.len();
        let moves = fleet.operations.len();
        let (spent, polls) = (fleet.decision_time, fleet.polls_sent);
        for step in 0..STEPS_PER_SECOND {
            submit_jobs(&mut fleet, size, second, step, &mut next_id);
            fleet.advance(1);
        }
        println!(
            "{second:6}  {:6}  {:9}  {:5}  {:5}  {:14.1}",
            fleet.starts.len() - starts,
            fleet.cell.job_count(),
            fleet.operations.len() - moves,
            fleet.polls_sent - polls,
            fleet.decision_time.saturating_sub(spent).as_secs_f64() * 1000.0,
        );
    }
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}
