//! Cost of the control state on a node: applying records, loading a snapshot, planning.

use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::{KeyHash, RecordId};
use pomelohitch_core::record::{
    Body, FileChange, MaintainOrder, Publish, Record, WaveLimits, WithdrawKey,
};
use pomelohitch_core::snapshot::{CHUNK_BYTES, newest_complete, split};
use pomelohitch_core::{Verdict, key};
use pomelohitch_maintain::Planner;

use crate::simulation::{Simulation, pool, service};

const CHANGES_A_DAY: f64 = 21_000.0;
const DAY_SECONDS: f64 = 86_400.0;
const TEAMS: usize = 240;
const POOLS: usize = 37;

/// Prints the tables.
pub fn print() {
    fold();
    join();
    decide();
}

fn team(n: usize, limit: u32) -> Team {
    let keys: Vec<KeyHash> = (0..2).map(|k| key::hash(&format!("{n}-{k}"))).collect();
    Team {
        id: format!("team-{n:03}").into(),
        share: 10,
        limit,
        keys,
    }
}

/// Creates a fleet with this number of instances, at most 37 pools, and 240 teams with a file each.
fn fleet(instances: usize) -> Simulation {
    let pools = POOLS.min(instances / 10).max(1);
    let ids: Vec<String> = (0..pools).map(|n| format!("pool-{n:02}")).collect();
    let size = instances / pools;
    let keep = u32::try_from(size * 9 / 10).expect("a pool is small");
    let file = FleetFile {
        pools: ids.iter().map(|id| pool(id, false, 0)).collect(),
        services: ids
            .iter()
            .map(|id| service(&format!("of-{id}"), id, keep))
            .collect(),
        ..FleetFile::default()
    };
    let mut sim = Simulation::new(Planner::default(), file);
    for n in 0..TEAMS {
        let body = publish(&sim.state, n, 100);
        sim.accept(body);
    }
    for n in 0..instances {
        sim.add_instances(&ids[n % pools], 1);
    }
    sim.run_planner();
    sim
}

fn publish(state: &State, n: usize, limit: u32) -> Body {
    let path = format!("team-{n:03}/pomelohitch.toml");
    let base = state.config.files.get(&*path).map(|file| file.version);
    let file = FleetFile {
        teams: vec![team(n, limit)],
        ..FleetFile::default()
    };
    let change = FileChange {
        base,
        file: Some(file),
    };
    Body::Publish(Publish {
        changes: [(path.into(), change)].into(),
    })
}

/// Applies `count` records and returns the total time and bytes.
///
/// As in a reader that publishes its state after each read, a shared copy of the state is alive
/// while a record is applied, so the record copies the parts that it changes.
fn cost_of(
    sim: &mut Simulation,
    count: usize,
    body: impl Fn(&State, usize) -> Body,
) -> (Duration, usize) {
    let mut total = Duration::ZERO;
    let mut bytes = 0;
    for n in 0..count {
        let offset = sim.state.next;
        let record = Record {
            id: RecordId::new_v4(),
            after: offset,
            at: Duration::ZERO,
            by: "operator".into(),
            body: body(&sim.state, n),
        };
        let text = record.encode();
        bytes += text.len();
        let shared_copy = sim.state.clone();
        let begun = Instant::now();
        let record = Record::decode(&text).expect("it was just encoded");
        let verdict = sim.state.apply(offset, &record);
        total += begun.elapsed();
        assert_eq!(verdict, Verdict::Accepted);
        drop(shared_copy);
    }
    (total, bytes)
}

fn fold() {
    println!("### Fold: one record after the other, 6,800 instances, 240 teams, 37 pools\n");
    println!("| Record | bytes | time each | at 21,000 a day: of a core | bytes a second |");
    println!("|---|---|---|---|---|");
    let mut sim = fleet(6800);
    let count = 2000;
    let publishes = cost_of(&mut sim, count, |state, n| {
        publish(
            state,
            n % TEAMS,
            101 + u32::try_from(n / TEAMS).expect("the number of records is small"),
        )
    });
    print_fold("publish of one team's file", count, publishes);
    let withdrawals = cost_of(&mut sim, count, |_, n| {
        let key = key::hash(&format!("gone-{n}"));
        Body::WithdrawKey(WithdrawKey { key })
    });
    print_fold("withdrawal of a key", count, withdrawals);
    let waves = cost_of(&mut sim, 2 * POOLS, |_, n| {
        let pool = Some(format!("pool-{:02}", n % POOLS).into());
        Body::Maintain(if n < POOLS {
            MaintainOrder::Pause { pool }
        } else {
            MaintainOrder::Resume { pool }
        })
    });
    print_fold("pause or resume of a pool", 2 * POOLS, waves);
    let instance_steps = cost_of(&mut sim, 300, |state, n| {
        let (id, instance) = state
            .fleet
            .instances
            .iter()
            .nth(n)
            .expect("the fleet has more instances");
        Body::Fleet(pomelohitch_core::record::FleetDecision {
            term: 1,
            step: pomelohitch_core::record::FleetStep::Fail {
                instance: id.clone(),
                since: instance.since,
            },
        })
    });
    print_fold("a step about one instance", 300, instance_steps);
    println!();
}

#[expect(clippy::cast_precision_loss, reason = "counts of a measurement")]
fn print_fold(name: &str, count: usize, (total, bytes): (Duration, usize)) {
    let each = total.as_secs_f64() / count as f64;
    let size = bytes as f64 / count as f64;
    println!(
        "| {name} | {size:.0} | {:.0} µs | {:.4} % | {:.0} |",
        each * 1e6,
        100.0 * each * CHANGES_A_DAY / DAY_SECONDS,
        size * CHANGES_A_DAY / DAY_SECONDS,
    );
}

fn join() {
    println!("### Joining from a snapshot\n");
    println!("| Instances | ids remembered | snapshot | chunks | write | load |");
    println!("|---|---|---|---|---|---|");
    for instances in [50, 500, 6800] {
        let mut sim = fleet(instances);
        let ids = 16_384;
        for n in 0..ids {
            let key = if n % 100 == 0 { "once" } else { "again" };
            sim.accept(Body::WithdrawKey(WithdrawKey { key: key.into() }));
        }
        let begun = Instant::now();
        let chunks = split(&sim.state, RecordId::new_v4(), CHUNK_BYTES);
        let written = begun.elapsed();
        let bytes: usize = chunks.iter().map(|chunk| chunk.len()).sum();
        let begun = Instant::now();
        let loaded = newest_complete(chunks.iter().map(|chunk| &**chunk));
        let took = begun.elapsed();
        assert_eq!(loaded.as_ref(), Some(&sim.state));
        println!(
            "| {instances} | {ids} | {} KB | {} | {:.0} ms | {:.0} ms |",
            bytes / 1000,
            chunks.len(),
            written.as_secs_f64() * 1e3,
            took.as_secs_f64() * 1e3,
        );
    }
    println!();
}

fn decide() {
    println!("### Time of one look of the planner, with a wave in every pool\n");
    println!("| Instances | pools | looks | mean | longest |");
    println!("|---|---|---|---|---|");
    for instances in [50, 500, 6800] {
        let mut sim = fleet(instances);
        let pools: Vec<_> = sim.state.config.pools.keys().cloned().collect();
        for pool in &pools {
            sim.accept(Body::Maintain(MaintainOrder::Start {
                pool: pool.clone(),
                limits: WaveLimits::default(),
            }));
        }
        let mut times = Vec::new();
        for _ in 0..200 {
            let observation = sim.observe();
            let begun = Instant::now();
            std::hint::black_box(sim.planner.plan(&sim.state, &observation));
            times.push(begun.elapsed());
            sim.run_planner();
            sim.now += Duration::from_secs(5);
        }
        let total: Duration = times.iter().sum();
        let mean = total / u32::try_from(times.len()).expect("the number of passes is small");
        let longest = times.iter().max().copied().unwrap_or_default();
        println!(
            "| {instances} | {} | {} | {:.2} ms | {:.2} ms |",
            pools.len(),
            times.len(),
            mean.as_secs_f64() * 1e3,
            longest.as_secs_f64() * 1e3,
        );
    }
    println!();
}
