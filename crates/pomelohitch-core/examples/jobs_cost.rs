//! Measures the cost of applying a record about one job while a reader holds the previous state,
//! compared with a single map of all jobs that is copied for each record.
//!
//! `cargo run --release -p pomelohitch-core --example jobs_cost`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::{JobId, RecordId};
use pomelohitch_core::record::job::{Job, JobRecord, Resources, Urgency};
use pomelohitch_core::record::{FileChange, Publish};
use pomelohitch_core::state::jobs::Entry;
use pomelohitch_core::{Body, Record, State};

const RECORDS: u32 = 2000;

fn main() {
    println!("jobs, us per record, us to find changes, us per record with one map, KiB resident");
    for count in [1_000, 10_000, 100_000] {
        let before = resident_kib();
        let state = state_with_jobs(count);
        let resident = resident_kib().saturating_sub(before);
        drop(state);
        let (chunked, changed) = time_chunked(count);
        let single_map = time_single_map(count);
        println!(
            "{count}, {:.1}, {:.1}, {:.1}, {resident}",
            micros_per_record(chunked),
            micros_per_record(changed),
            micros_per_record(single_map)
        );
    }
}

/// Resident memory of this process in KiB; 0 if `/proc` isn't available.
fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}

/// Microseconds per record, from the time for [`RECORDS`] records.
fn micros_per_record(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6 / f64::from(RECORDS)
}

/// Total time to apply all records, and to find the jobs that each one changed.
fn time_chunked(count: u32) -> (Duration, Duration) {
    let mut state = state_with_jobs(count);
    let (mut applying, mut finding) = (Duration::ZERO, Duration::ZERO);
    for number in 0..RECORDS {
        let reader = state.clone();
        let began = Instant::now();
        append(&mut state, submit(count + number, 1));
        applying += began.elapsed();
        let began = Instant::now();
        black_box(state.jobs.table.changed_since(&reader.jobs.table));
        finding += began.elapsed();
    }
    (applying, finding)
}

/// Time to apply all records to a single map, extrapolated from a tenth of them.
fn time_single_map(count: u32) -> Duration {
    let state = state_with_jobs(count);
    let entries = state.jobs.table.iter();
    let entries: BTreeMap<JobId, Entry> = entries.map(|(id, e)| (id.clone(), e.clone())).collect();
    let template = entries
        .values()
        .next()
        .expect("the state has at least one job")
        .clone();
    let mut all = Arc::new(entries);
    let began = Instant::now();
    // Only a tenth of the records, because each one copies the whole map.
    for number in 0..RECORDS / 10 {
        let reader = all.clone();
        let id = format!("new-{number}").into();
        Arc::make_mut(&mut all).insert(id, template.clone());
        black_box(reader);
    }
    began.elapsed() * 10
}

fn state_with_jobs(count: u32) -> State {
    let mut state = State::default();
    let team = Team {
        id: "team".into(),
        share: 1,
        limit: 1,
        keys: vec![],
    };
    let file = FleetFile {
        teams: vec![team],
        ..FleetFile::default()
    };
    let change = FileChange {
        base: None,
        file: Some(file),
    };
    let changes = BTreeMap::from([("teams".into(), change)]);
    append(&mut state, Body::Publish(Publish { changes }));
    append(&mut state, submit(0, count));
    state
}

fn submit(first: u32, count: u32) -> Body {
    Body::Job(JobRecord::Submit((first..first + count).map(job).collect()))
}

fn job(number: u32) -> Job {
    Job {
        id: format!("job-{number}").into(),
        team: "team".into(),
        class: "class".into(),
        urgency: Urgency::Patient,
        need: Resources::default(),
        run_time: Duration::ZERO,
        idempotent: true,
        command: "true".into(),
        group: None,
    }
}

fn append(state: &mut State, body: Body) {
    let offset = state.next;
    let record = Record {
        id: RecordId::from_u128(u128::from(offset)),
        after: offset,
        at: Duration::ZERO,
        by: "example".into(),
        body,
    };
    state.apply(offset, &record);
}
