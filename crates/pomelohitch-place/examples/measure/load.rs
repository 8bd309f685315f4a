//! Generates loads with fixed seeds: the jobs of each team, with their declared and actual needs.

use std::time::Duration;

use pomelohitch_core::id::{JobClass, TeamId};
use pomelohitch_core::record::job::{Job, Resources, Urgency};
use pomelohitch_place::Worker;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Size of a fleet, and duration, tick and seed of its simulation.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Name for the output and the `FLEET` argument.
    pub name: &'static str,
    pub workers: usize,
    pub cores: u64,
    pub teams: usize,
    pub zones: usize,
    pub duration: Duration,
    pub tick: Duration,
    pub seed: u64,
}

/// A job as declared, with its actual usage and run time.
#[derive(Debug, Clone)]
pub struct SimulatedJob {
    pub at: Duration,
    pub job: Job,
    pub usage: Resources,
    pub run_time: Duration,
}

/// Input of a simulation.
#[derive(Debug, Clone)]
pub struct Load {
    pub workers: Vec<Worker>,
    /// Weight of each team.
    pub shares: Vec<(TeamId, u32)>,
    pub jobs: Vec<SimulatedJob>,
    /// Workers that fail all jobs from this time on.
    pub faulty: Vec<(Duration, Box<str>)>,
    /// Workers that leave at this time and return later.
    pub leaving: Vec<(Duration, Box<str>)>,
    /// When a fifth of the waiting patient jobs are cancelled.
    pub cancel_at: Duration,
}

struct Class {
    name: JobClass,
    usage: Resources,
    declared: Resources,
    run_time: Duration,
    declared_run_time: Duration,
}

/// Work of patient jobs as a fraction of the fleet's processor time.
const PATIENT_DEMAND: f64 = 1.25;
/// Work of urgent jobs as a fraction of the fleet's processor time.
const URGENT_DEMAND: f64 = 0.04;
/// One patient job in this many needs more memory than any worker has.
const JOBS_PER_IMPOSSIBLE: u32 = 500;
const MEMORY_MIB_PER_WORKER: u64 = 65_536;

impl Load {
    pub fn new(fleet: &Fleet) -> Load {
        let mut rng = StdRng::seed_from_u64(fleet.seed);
        let workers: Vec<_> = (0..fleet.workers).map(|i| worker(fleet, i)).collect();
        let shares: Vec<_> = (0..fleet.teams)
            .map(|i| (format!("team-{i:03}").into(), [4, 2, 1, 1, 1, 1][i % 6]))
            .collect();
        let patient = classes("patient", 24, fleet, &mut rng);
        let urgent = classes("urgent", 6, fleet, &mut rng);
        let mut jobs = Vec::new();
        submit(
            fleet,
            &shares,
            &patient,
            PATIENT_DEMAND,
            &mut rng,
            &mut jobs,
        );
        submit(fleet, &shares, &urgent, URGENT_DEMAND, &mut rng, &mut jobs);
        jobs.sort_by(|a, b| a.at.cmp(&b.at).then(a.job.id.cmp(&b.job.id)));
        let random_worker =
            |rng: &mut StdRng| workers[rng.random_range(0..workers.len())].id.clone();
        let faulty = (0..2.max(fleet.workers / 500))
            .map(|_| (fleet.duration / 4, random_worker(&mut rng)))
            .collect();
        let leaving = (0..fleet.workers / 12)
            .map(|i| {
                let at = fleet
                    .duration
                    .mul_f64(0.3 + 0.6 * i as f64 / (fleet.workers / 12) as f64);
                (at, random_worker(&mut rng))
            })
            .collect();
        Load {
            workers,
            shares,
            jobs,
            faulty,
            leaving,
            cancel_at: fleet.duration.mul_f64(0.6),
        }
    }

    pub fn total(&self) -> Resources {
        self.workers
            .iter()
            .fold(Resources::default(), |sum, w| sum.plus(&w.capacity))
    }
}

fn worker(fleet: &Fleet, number: usize) -> Worker {
    let rack = number / 4;
    let has_accelerators = rack % 4 == 3;
    Worker {
        id: format!("w{number:05}").into(),
        zone: format!("zone-{}", rack % fleet.zones).into(),
        rack: format!("rack-{rack:04}").into(),
        capacity: Resources {
            cpu_milli: fleet.cores * 1000,
            memory_mib: MEMORY_MIB_PER_WORKER,
            accelerators: if has_accelerators { 4 } else { 0 },
        },
        takes_work: true,
    }
}

fn classes(name: &str, count: usize, fleet: &Fleet, rng: &mut StdRng) -> Vec<Class> {
    (0..count)
        .map(|number| {
            let is_urgent = name == "urgent";
            // Some classes take a whole worker.
            let is_large = !is_urgent && number % 12 == 0;
            let cores = if is_large {
                fleet.cores
            } else {
                rng.random_range(1..=4)
            };
            let memory = if is_large {
                MEMORY_MIB_PER_WORKER * 3 / 4
            } else {
                cores * rng.random_range(512..=4096)
            };
            let usage = Resources {
                cpu_milli: cores * 1000,
                memory_mib: memory,
                accelerators: u64::from(number % 12 == 5),
            };
            let secs = if is_urgent {
                rng.random_range(5..=40)
            } else {
                rng.random_range(40..=400)
            };
            let run_time = Duration::from_secs(secs);
            // Half of the classes declare too much, a third too little.
            let factor = [2.0, 0.5, 3.0, 1.0, 1.5, 0.7][number % 6];
            let scale = |value: u64, most: u64| ((value as f64 * factor) as u64).clamp(1, most);
            Class {
                name: format!("{name}-{number:02}").into(),
                usage,
                declared: Resources {
                    cpu_milli: scale(usage.cpu_milli, fleet.cores * 1000),
                    memory_mib: scale(usage.memory_mib, MEMORY_MIB_PER_WORKER),
                    accelerators: usage.accelerators,
                },
                run_time,
                declared_run_time: run_time.mul_f64(rng.random_range(0.2..5.0)),
            }
        })
        .collect()
}

fn submit(
    fleet: &Fleet,
    shares: &[(TeamId, u32)],
    classes: &[Class],
    demand: f64,
    rng: &mut StdRng,
    jobs: &mut Vec<SimulatedJob>,
) {
    let all: u32 = shares.iter().map(|(_, share)| share).sum();
    let cores = (fleet.workers as u64 * fleet.cores) as f64;
    let is_urgent = classes[0].name.starts_with("urgent");
    for (team, share) in shares {
        let share_fraction = f64::from(*share) / f64::from(all);
        let mut remaining_work = cores * share_fraction * demand * fleet.duration.as_secs_f64();
        // A quarter of the patient jobs are submitted at the start, so that the fleet is full.
        let backlog = if is_urgent { 0.0 } else { 0.25 };
        while remaining_work > 0.0 {
            let class = &classes[rng.random_range(0..classes.len())];
            let run_time_factor = rng.random_range(0.6..1.4);
            let run_time = class.run_time.mul_f64(run_time_factor);
            remaining_work -= cores_worth(&class.usage, fleet.cores) * run_time.as_secs_f64();
            let at = if rng.random_range(0.0..1.0) < backlog {
                Duration::ZERO
            } else {
                fleet.duration.mul_f64(rng.random_range(0.0..1.0))
            };
            let is_impossible = !is_urgent && rng.random_range(0..JOBS_PER_IMPOSSIBLE) == 0;
            jobs.push(simulated_job(
                jobs.len(),
                team,
                class,
                at,
                run_time,
                is_impossible,
                rng,
            ));
        }
    }
}

/// Size of a job in processors, by the larger of its fractions of a worker's processors and memory.
pub fn cores_worth(usage: &Resources, cores: u64) -> f64 {
    let memory = usage.memory_mib as f64 / MEMORY_MIB_PER_WORKER as f64;
    let cpu = usage.cpu_milli as f64 / 1000.0 / cores as f64;
    cpu.max(memory) * cores as f64
}

fn simulated_job(
    number: usize,
    team: &TeamId,
    class: &Class,
    at: Duration,
    run_time: Duration,
    is_impossible: bool,
    rng: &mut StdRng,
) -> SimulatedJob {
    let mut need = class.declared;
    let mut name = class.name.clone();
    if is_impossible {
        need.memory_mib = MEMORY_MIB_PER_WORKER * 4;
        name = "impossible".into();
    }
    let is_urgent = name.starts_with("urgent");
    let mut usage = class.usage;
    usage.memory_mib = (usage.memory_mib as f64 * rng.random_range(0.7..1.0)) as u64;
    SimulatedJob {
        at,
        job: Job {
            id: format!("j{number:07}").into(),
            team: team.clone(),
            class: name,
            urgency: if is_urgent {
                Urgency::Urgent
            } else {
                Urgency::Patient
            },
            need,
            run_time: class.declared_run_time,
            idempotent: true,
            command: "".into(),
            group: None,
        },
        usage,
        run_time,
    }
}
