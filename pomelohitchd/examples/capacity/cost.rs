//! Costs of records, state and snapshots.

use std::hint::black_box;
use std::time::{Duration, Instant};

use pomelohitch_core::record::{FleetStep, Publish};
use pomelohitch_core::{Body, State, snapshot};

use crate::fleet::{
    Changes, DESIGN_SIZE, Fleet, Size, adopt, drain, end, step, submit, team_change,
};

/// Repetitions of each timed step.
const REPEATS: u32 = 200;

/// Size of each kind of record, in bytes.
pub fn record_bytes() -> Vec<(&'static str, usize)> {
    let mut fleet = Fleet::new(&DESIGN_SIZE.scaled(1));
    let bytes = |fleet: &Fleet, body: Body| fleet.record(body).encode().len();
    let publish = Body::Publish(Publish {
        changes: Changes::from([team_change(0)]),
    });
    let mut sizes = vec![
        ("publish of one team's file", bytes(&fleet, publish)),
        ("adopt", bytes(&fleet, step(adopt(1, 1)))),
        ("drain", bytes(&fleet, step(drain(1, fleet.since(1))))),
        ("submit of one job", bytes(&fleet, submit(1, &DESIGN_SIZE))),
    ];
    fleet.accept(submit(1, &DESIGN_SIZE));
    let place = fleet.place(1, &DESIGN_SIZE);
    sizes.push(("placement of one job", bytes(&fleet, place.clone())));
    let placed = fleet.accept(place);
    sizes.push(("end of one job", bytes(&fleet, end(1, placed))));
    sizes
}

/// Memory of a state without jobs, in KiB.
pub fn state_memory(size: &Size) -> f64 {
    memory_of(|| Fleet::new(size))
}

/// Memory of the jobs alone, in KiB.
pub fn jobs_memory(size: &Size) -> f64 {
    let without = Size { jobs: 0, ..*size };
    memory_of(|| Fleet::with_jobs(size)) - memory_of(|| Fleet::new(&without))
}

/// A reader's time to apply a publish that changes one file of a team, in microseconds.
pub fn publish_fold(size: &Size) -> f64 {
    let mut fleet = Fleet::new(size);
    each(|n| {
        let (path, mut change) = team_change(n % size.teams);
        change.base = fleet.state.config.files.get(&path).map(|file| file.version);
        let changes = Changes::from([(path, change)]);
        timed(&mut fleet, Body::Publish(Publish { changes }))
    })
}

/// A reader's time to apply a drain, its completion and the return, in microseconds.
pub fn drain_fold(size: &Size) -> f64 {
    let mut fleet = Fleet::new(size);
    each(|n| {
        // Skips the instances of pool 0, which the drain moves instances to.
        let others = size.pools - 1;
        let n = n / others * size.pools + 1 + n % others;
        let instance = crate::fleet::instance(n);
        let since = fleet.since(n);
        let mut time = timed(&mut fleet, step(drain(n, since)));
        for back in [false, true] {
            let (instance, since) = (instance.clone(), fleet.since(n));
            let next = if back {
                FleetStep::Return { instance, since }
            } else {
                FleetStep::Drained { instance, since }
            };
            time += timed(&mut fleet, step(next));
        }
        time
    })
}

/// A reader's time to apply the three records of a job, in microseconds.
pub fn job_fold(size: &Size) -> f64 {
    let mut fleet = Fleet::with_jobs(size);
    each(|n| {
        let n = n + size.jobs;
        let mut time = timed(&mut fleet, submit(n, size));
        let place = fleet.place(n, size);
        let placed = fleet.state.next;
        time += timed(&mut fleet, place);
        time + timed(&mut fleet, end(n, placed))
    })
}

/// Time to change one instance while a reader holds the previous state, in microseconds. The
/// changed part of the state is copied.
pub fn copy_state(size: &Size) -> f64 {
    let mut fleet = Fleet::with_jobs(size);
    each(|n| {
        let held = fleet.state.clone();
        let time = timed(&mut fleet, step(adopt(size.instances + n, 0)));
        drop(black_box(held));
        time
    })
}

/// Size of a snapshot, in KiB.
pub fn snapshot_bytes(size: &Size) -> f64 {
    let chunks = chunks(&Fleet::with_jobs(size).state);
    let bytes: usize = chunks.iter().map(|chunk| chunk.len()).sum();
    to_f64(bytes) / 1024.0
}

/// Time to write a snapshot, in milliseconds.
pub fn snapshot_write(size: &Size) -> f64 {
    let state = Fleet::with_jobs(size).state;
    let start = Instant::now();
    black_box(chunks(&state));
    start.elapsed().as_secs_f64() * 1e3
}

/// Time to read a snapshot, in milliseconds.
pub fn snapshot_read(size: &Size) -> f64 {
    let chunks = chunks(&Fleet::with_jobs(size).state);
    let start = Instant::now();
    let read = snapshot::newest_complete(chunks.iter().map(|chunk| &**chunk));
    let time = start.elapsed().as_secs_f64() * 1e3;
    assert!(
        read.is_some(),
        "a snapshot that was just written is complete"
    );
    time
}

fn chunks(state: &State) -> Vec<Box<str>> {
    snapshot::split(
        state,
        pomelohitch_core::id::RecordId::nil(),
        snapshot::CHUNK_BYTES,
    )
}

/// Time from the encoded record to the new state, including the decoding that a reader does.
fn timed(fleet: &mut Fleet, body: Body) -> Duration {
    let data = fleet.record(body).encode();
    let start = Instant::now();
    let record = pomelohitch_core::Record::decode(&data).expect("it was just encoded");
    let verdict = fleet.state.apply(fleet.state.next, &record);
    let time = start.elapsed();
    assert_eq!(verdict, pomelohitch_core::Verdict::Accepted, "{record:?}");
    time
}

/// Mean time of [`REPEATS`] steps, in microseconds.
fn each(mut step: impl FnMut(usize) -> Duration) -> f64 {
    let total: Duration = (0..REPEATS).map(|n| step(n as usize)).sum();
    total.as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Number of copies that are measured; several reduce the share of allocator overhead.
const COPIES: u32 = 4;

/// Growth of resident memory per value that `make` returns, in KiB.
///
/// The copies are leaked: the next measurement would reuse freed memory, which would hide its
/// growth.
fn memory_of<T>(make: impl Fn() -> T) -> f64 {
    let before = resident_kib();
    for _ in 0..COPIES {
        std::mem::forget(black_box(make()));
    }
    (resident_kib() - before) / f64::from(COPIES)
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    value.unwrap_or(0.0)
}

fn to_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
    let count = count as f64;
    count
}
