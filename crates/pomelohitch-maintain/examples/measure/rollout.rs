//! Duration of a maintenance wave, compared with the lower bound that the budgets permit.

use std::time::Duration;

use pomelohitch_core::config::FleetFile;
use pomelohitch_core::record::{Body, MaintainOrder, WaveLimits};
use pomelohitch_maintain::Planner;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::simulation::{Simulation, pool, service};

const SEED: u64 = 1;
const TICK: Duration = Duration::from_secs(1);
const MAX_WAVE_TIME: Duration = Duration::from_hours(24 * 5);

/// A fleet in which all pools are maintained at the same time.
struct Fleet {
    name: &'static str,
    pools: usize,
    instances: usize,
    /// Percentage of each pool that must stay active.
    stay: u32,
    /// Failures per day over the whole fleet.
    failures: f64,
}

const FLEETS: [Fleet; 5] = [
    Fleet {
        name: "users: 5 pools, 50 instances, 80 % stay",
        pools: 5,
        instances: 50,
        stay: 80,
        failures: 0.0,
    },
    Fleet {
        name: "users: 1 pool, 50 instances, 80 % stay",
        pools: 1,
        instances: 50,
        stay: 80,
        failures: 0.0,
    },
    Fleet {
        name: "letter: 37 pools, 6,800 instances, 90 % stay",
        pools: 37,
        instances: 6800,
        stay: 90,
        failures: 0.0,
    },
    Fleet {
        name: "the same with 36 failures a day",
        pools: 37,
        instances: 6800,
        stay: 90,
        failures: 36.0,
    },
    Fleet {
        name: "the same with 360 failures a day",
        pools: 37,
        instances: 6800,
        stay: 90,
        failures: 360.0,
    },
];

/// Prints the table.
pub fn print() {
    println!("### Roll-out time of a wave over every pool\n");
    println!("| Fleet | least | ours | ours / least | 10 % surge | one at a time | failed |");
    println!("|---|---|---|---|---|---|---|");
    for fleet in &FLEETS {
        let (sim, began) = start(fleet);
        let least = longest(&sim, fleet, lower_bound);
        let surge = longest(&sim, fleet, |times, _| surge_time(times));
        let single = longest(&sim, fleet, |times, _| times.iter().sum());
        let (ours, failed) = run(sim, fleet, began);
        println!(
            "| {} | {} | {} | {:.2} | {} | {} | {failed} |",
            fleet.name,
            minutes(least),
            minutes(ours),
            ours.as_secs_f64() / least.as_secs_f64(),
            minutes(surge),
            minutes(single),
        );
    }
    println!();
}

fn minutes(time: Duration) -> String {
    format!("{:.1} min", time.as_secs_f64() / 60.0)
}

fn pool_id(n: usize) -> String {
    format!("pool-{n:02}")
}

fn size(fleet: &Fleet, n: usize) -> usize {
    fleet.instances / fleet.pools + usize::from(n < fleet.instances % fleet.pools)
}

fn min_available(fleet: &Fleet, n: usize) -> u32 {
    let size = u32::try_from(size(fleet, n)).expect("a pool is small");
    (size * fleet.stay).div_ceil(100)
}

/// Creates the fleet, lets the planner adopt every instance and starts a wave in each pool.
fn start(fleet: &Fleet) -> (Simulation, Duration) {
    let ids = || (0..fleet.pools).map(|n| (n, pool_id(n)));
    let file = FleetFile {
        pools: ids().map(|(_, id)| pool(&id, false, 0)).collect(),
        services: ids()
            .map(|(n, id)| service(&format!("service-{n:02}"), &id, min_available(fleet, n)))
            .collect(),
        ..FleetFile::default()
    };
    let mut sim = Simulation::new(Planner::default(), file);
    let mut rng = StdRng::seed_from_u64(SEED);
    for (n, id) in ids() {
        sim.add_instances(&id, size(fleet, n));
    }
    for id in sim.platform.keys() {
        let drain = Duration::from_secs(rng.random_range(5..=60));
        sim.drain_times.insert(id.clone(), drain);
    }
    sim.run_planner();
    for (_, id) in ids() {
        sim.accept(Body::Maintain(MaintainOrder::Start {
            pool: id.as_str().into(),
            limits: WaveLimits::default(),
        }));
    }
    let began = sim.now;
    (sim, began)
}

fn run(mut sim: Simulation, fleet: &Fleet, began: Duration) -> (Duration, usize) {
    let mut rng = StdRng::seed_from_u64(SEED + 1);
    let failures_per_tick = fleet.failures * TICK.as_secs_f64() / 86_400.0;
    let mut failed = 0;
    while !sim.state.waves.by_pool.is_empty() {
        assert!(sim.now < MAX_WAVE_TIME, "a wave did not end in time");
        if rng.random::<f64>() < failures_per_tick {
            fail_one(&mut sim, &mut rng);
            failed += 1;
        }
        sim.run_planner();
        sim.now += TICK;
    }
    (sim.now.saturating_sub(began), failed)
}

fn fail_one(sim: &mut Simulation, rng: &mut StdRng) {
    let victim = rng.random_range(0..sim.platform.len());
    let listed = sim.platform.values_mut().nth(victim);
    listed.expect("the index is in range").state =
        pomelohitch_platform::instances::ListedState::Down;
}

/// Longest time over all pools, which are maintained in parallel.
fn longest(
    sim: &Simulation,
    fleet: &Fleet,
    time: impl Fn(&[Duration], u32) -> Duration,
) -> Duration {
    let of_pool = |n: usize| {
        let id = pool_id(n);
        let members = sim.platform.values().filter(|i| *i.pool == *id);
        let times: Vec<_> = members
            .map(|i| sim.drain_times[&i.id] + sim.times.reboot)
            .collect();
        let size = u32::try_from(times.len()).expect("a pool is small");
        time(&times, size - min_available(fleet, n))
    };
    (0..fleet.pools).map(of_pool).max().unwrap_or_default()
}

/// Lower bound of a wave's duration with at most `max_down` instances in maintenance at a time: the
/// sum of all times divided by `max_down`, but at least the time of the slowest instance.
fn lower_bound(times: &[Duration], max_down: u32) -> Duration {
    let work: Duration = times.iter().sum();
    let slowest = times.iter().copied().max().unwrap_or_default();
    (work / max_down).max(slowest)
}

/// Duration with fixed batches of a tenth of the pool, at least one instance, where each batch
/// starts when the previous one is complete.
fn surge_time(times: &[Duration]) -> Duration {
    let batches = times.chunks((times.len() / 10).max(1));
    batches.filter_map(|batch| batch.iter().max()).sum()
}
