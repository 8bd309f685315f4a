//! Number of moves per day and cost of spare capacity under a daily load with bursts.

use std::time::Duration;

use pomelohitch_core::config::FleetFile;
use pomelohitch_maintain::demand::{self, Load, Weighting};
use pomelohitch_maintain::{Options, Planner, moves};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::simulation::{Simulation, pool, service};

const SEED: u64 = 7;
const POOLS: usize = 5;
const INSTANCES: usize = 10;
const SPARES: usize = 8;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_secs(5);
const DAY: Duration = Duration::from_hours(24);
/// Number of steps per round in which a pool bursts to `BURST_FACTOR` times its mean load.
const BURST_STEPS: usize = 4;
const BURST_FACTOR: f64 = 5.0;
const IDLE_FACTOR: f64 = 0.05;
const ROUND_STEPS: usize = BURST_STEPS * POOLS;

struct Policy {
    name: &'static str,
    demand: demand::Options,
    moves: moves::Options,
}

fn policies() -> Vec<Policy> {
    let weighted = |name, weighting| Policy {
        name,
        demand: demand::Options::weighted(weighting),
        moves: moves::Options::weighted(weighting),
    };
    vec![
        Policy {
            name: "baseline: no moves",
            demand: demand::Options::default(),
            moves: moves::Options {
                max_in_transit: 0,
                ..moves::Options::default()
            },
        },
        Policy {
            name: "baseline: no hysteresis",
            demand: demand::Options {
                window: Duration::from_secs(30),
                windows: 1,
                quantile: 1.0,
                ..demand::Options::default()
            },
            moves: moves::Options {
                shortage_delay: Duration::ZERO,
                surplus_delay: Duration::ZERO,
                slack: 0,
                ..moves::Options::default()
            },
        },
        weighted("few moves (Snehopas)", Weighting::FewMoves),
        weighted("small buffer (Siam Noel)", Weighting::SmallBuffer),
    ]
}

/// Prints the table.
pub fn print() {
    println!("### Moves and buffer in a day: 5 pools of 10 instances, 8 spares\n");
    println!(
        "| Policy | moves a day | of them 7 to 10 o'clock | buffer, instance hours | slots short of the load, % of slot time |"
    );
    println!("|---|---|---|---|---|");
    for policy in policies() {
        let day = run(&policy);
        println!(
            "| {} | {} | {} | {:.0} | {:.2} |",
            policy.name,
            day.moves,
            day.morning_moves,
            day.buffer_hours,
            100.0 * day.shortage / day.offered,
        );
    }
    println!();
}

#[derive(Default)]
struct Day {
    moves: u32,
    morning_moves: u32,
    buffer_hours: f64,
    shortage: f64,
    offered: f64,
}

fn pool_id(n: usize) -> Box<str> {
    format!("pool-{n}").into()
}

fn simulation(policy: &Policy) -> Simulation {
    let mut pools: Vec<_> = (0..POOLS).map(|n| pool(&pool_id(n), false, 0)).collect();
    pools.push(pool("staff", true, 2));
    let services = (0..POOLS).map(|n| service(&format!("service-{n}"), &pool_id(n), 4));
    let file = FleetFile {
        pools,
        services: services.collect(),
        ..FleetFile::default()
    };
    let options = Options {
        moves: policy.moves.clone(),
        ..Options::default()
    };
    let mut sim = Simulation::new(Planner::new(options), file);
    for n in 0..POOLS {
        sim.add_instances(&pool_id(n), INSTANCES);
    }
    sim.add_instances("staff", SPARES);
    sim.run_planner();
    sim
}

/// Mean load of a pool in slots at a time of day; each pool peaks at its own hour.
fn mean(n: usize, now: Duration) -> f64 {
    let hour = now.as_secs_f64() / 3600.0 % 24.0;
    let peak = [8.0, 9.0, 12.0, 18.0, 20.0][n];
    let distance = (hour - peak).abs().min(24.0 - (hour - peak).abs());
    20.0 + 45.0 * (-distance * distance / 4.0).exp()
}

/// Load offered to a pool in one step, in slots.
///
/// The pools burst in turn; the factors average to 1 over a round.
fn offered_load(n: usize, step: usize, now: Duration, rng: &mut StdRng) -> f64 {
    let is_burst = step % ROUND_STEPS / BURST_STEPS == n;
    let scale = 1.0 / (BURST_FACTOR + IDLE_FACTOR * 4.0) * 5.0;
    let factor = if is_burst { BURST_FACTOR } else { IDLE_FACTOR } * scale;
    mean(n, now) * factor * rng.random_range(0.8..1.2)
}

fn run(policy: &Policy) -> Day {
    let mut sim = simulation(policy);
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut loads = vec![Load::default(); POOLS];
    let mut day = Day::default();
    let mut step = 0;
    let mut queued = [0.0_f64; POOLS];
    while sim.now < DAY {
        for n in 0..POOLS {
            let busy = offered_load(n, step, sim.now, &mut rng);
            let id = pool_id(n);
            let active = f64::from(sim.state.fleet.active_in(&id));
            record_step(&mut day, &mut queued[n], busy, active, mean(n, sim.now));
            loads[n].measure(&policy.demand, sim.now, busy);
            if let Some(need) = loads[n].need(&policy.demand, SLOTS) {
                sim.needs.insert(id, need);
            }
        }
        let before = sim.moves;
        sim.run_planner();
        if (7..10).contains(&(sim.now.as_secs() / 3600)) {
            day.morning_moves += sim.moves - before;
        }
        sim.now += STEP;
        step += 1;
    }
    day.moves = sim.moves;
    day
}

/// Adds one step to the totals of the day. Load above the capacity queues for the next steps, and
/// queued load counts as a shortage of slots.
fn record_step(day: &mut Day, queued: &mut f64, busy: f64, active: f64, mean: f64) {
    let slots = active * f64::from(SLOTS);
    let wanted = busy + *queued;
    *queued = (wanted - slots).max(0.0);
    // Requests beyond this queue length are refused instead of queued.
    *queued = queued.min(slots * 6.0);
    day.offered += busy;
    day.shortage += *queued / 6.0;
    let used = mean / f64::from(SLOTS);
    day.buffer_hours += (active - used) * STEP.as_secs_f64() / 3600.0;
}
