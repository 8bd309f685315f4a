//! Costs of operators' views, burn reports and the batch planner.

use std::hint::black_box;
use std::time::{Duration, Instant};

use pomelohitch_burn::counts::Tally;
use pomelohitch_burn::record::Row;
use pomelohitch_burn::{Counts, Ledger, Record};
use pomelohitch_core::record::job::Resources;
use pomelohitch_core::status::Status;
use pomelohitch_place::Planner;
use pomelohitch_place::planner::{Options, TeamQuota};
use pomelohitch_place::worker::Worker;

use crate::fleet::{Fleet, Size, instance};

/// Repetitions of each timed step.
const REPEATS: u32 = 50;
/// Number of answers counted to time a single one.
const ANSWERS: u32 = 1_000_000;
/// Number of services at one entry instance; each team calls one of them in a minute.
const SERVICES: usize = 5;
/// Length of the timed report, in minutes.
const REPORT_MINUTES: u64 = 60;

/// Time to build the view of `pomelohitch status`, in microseconds.
pub fn status(size: &Size) -> f64 {
    let state = Fleet::with_jobs(size).state;
    timed(|| {
        black_box(Status::of(&state));
    })
}

/// Time to count one answer, in nanoseconds.
pub fn count_answer(size: &Size) -> f64 {
    let names: Vec<_> = (0..size.teams).map(|n| format!("team-{n}")).collect();
    let mut counts = Counts::default();
    let start = Instant::now();
    for n in 0..ANSWERS as usize {
        counts.record("service-0", &names[n % names.len()], true, 7);
    }
    let time = start.elapsed();
    black_box(counts);
    time.as_secs_f64() * 1e9 / f64::from(ANSWERS)
}

/// Size of one minute's record in which every team called, in bytes.
pub fn burn_record(size: &Size) -> f64 {
    to_f64(minute(size, 0).encode().len())
}

/// Time to read an hour's records of one entry instance, in milliseconds.
pub fn burn_read(size: &Size) -> f64 {
    let records: Vec<_> = (0..REPORT_MINUTES)
        .map(|n| minute(size, n).encode())
        .collect();
    let start = Instant::now();
    let mut ledger = Ledger::default();
    for data in &records {
        ledger.add(&Record::decode(data).expect("it was just encoded"));
    }
    black_box(ledger);
    start.elapsed().as_secs_f64() * 1e3
}

/// Time of one decision of the batch planner after one job ended, with every other job placed or
/// waiting, in microseconds.
pub fn batch_decision(size: &Size) -> f64 {
    let state = Fleet::with_jobs(size).state;
    let now = Duration::from_secs(1);
    let mut planner = Planner::new(Options::default());
    for (id, team) in &state.config.teams {
        let quota = TeamQuota {
            share: team.share,
            limit: team.limit,
        };
        planner.set_team(id, quota);
    }
    for n in 0..size.instances {
        planner.set_worker(worker(n), now);
    }
    for (id, entry) in state.jobs.table.iter() {
        planner.set_job(id, Some(entry), now);
    }
    // The first decisions place the waiting jobs; later ones represent steady state.
    for _ in 0..20 {
        planner.decide(now);
    }
    let ids: Vec<_> = state.jobs.table.iter().map(|(id, _)| id.clone()).collect();
    let mut n = 0;
    timed(|| {
        planner.set_job(&ids[n % ids.len()], None, now);
        n += 1;
        black_box(planner.decide(now));
    })
}

fn worker(n: usize) -> Worker {
    Worker {
        id: instance(n),
        zone: format!("zone-{}", n % 7).into(),
        rack: format!("rack-{}", n / 4).into(),
        capacity: Resources {
            // Capacity for half of the jobs: the others wait, and each end lets one of them start.
            cpu_milli: 2_000,
            memory_mib: 64 * 1024,
            accelerators: 0,
        },
        takes_work: true,
    }
}

fn minute(size: &Size, n: u64) -> Record {
    let rows = (0..size.teams).map(|team| Row {
        service: format!("service-{}", team % SERVICES).into(),
        team: format!("team-{team}").into(),
        tally: Tally { good: 1000, bad: 1 },
    });
    Record {
        member: "entry-1".into(),
        incarnation: 1,
        seq: n,
        minute: 30_000_000 + n,
        last: false,
        rows: rows.collect(),
    }
}

/// Mean time of [`REPEATS`] steps, in microseconds.
fn timed(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..REPEATS {
        step();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

fn to_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
    let count = count as f64;
    count
}
