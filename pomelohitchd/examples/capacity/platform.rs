//! Size of what a planner reads from the platform, and the cost of processing it.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::record::job::Resources;
use pomelohitch_maintain::observe::Observation;
use pomelohitch_maintain::planner::{Options, Planner};
use pomelohitch_platform::instances::{List, Listed, ListedState};
use pomelohitch_platform::{Log, snapshots, workers};

use crate::fleet::{DESIGN_SIZE, Fleet, Size, instance};

/// Number of timed planning passes.
const PASSES: u32 = 20;

/// Size of the platform's list of instances, in KiB.
pub fn instance_list(size: &Size) -> f64 {
    kib(&serde_json::to_string(&list(size)).expect("a list is JSON"))
}

/// Size of the platform's list of workers, in KiB.
pub fn worker_list(size: &Size) -> f64 {
    let workers = (0..size.instances).map(|n| workers::Listed {
        id: instance(n),
        pool: "batch".into(),
        zone: format!("zone-{}", n % 7).into(),
        rack: format!("rack-{}", n / 4).into(),
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 64 * 1024,
            accelerators: 0,
        },
    });
    let list = workers::List {
        as_of: Duration::from_secs(1),
        workers: workers.collect(),
    };
    kib(&serde_json::to_string(&list).expect("a list is JSON"))
}

/// Time of a planning pass of the planner of pools and waves that finds nothing to do, from the
/// encoded list to its decisions, in milliseconds.
pub fn maintenance_pass(size: &Size) -> f64 {
    let state = Fleet::new(size).state;
    let text = serde_json::to_string(&list(size)).expect("a list is JSON");
    let mut planner = Planner::new(Options::default());
    let start = Instant::now();
    for pass in 0..PASSES {
        let list: List = serde_json::from_str(&text).expect("it was just written");
        let listed: BTreeMap<_, _> = list
            .instances
            .into_iter()
            .map(|i| (i.id.clone(), i))
            .collect();
        let seen = Observation {
            now: Duration::from_millis(500) * pass,
            listed: Some(listed),
            applied_by_all: state.next,
            ..Observation::default()
        };
        black_box(planner.plan(&state, &seen));
    }
    start.elapsed().as_secs_f64() * 1e3 / f64::from(PASSES)
}

/// Writes a snapshot of the design size to the empty log at `url`.
pub fn fill(url: &str) {
    let log = Log::http(url, Duration::from_secs(20));
    // Without jobs: a stand-in of the workers would end them all at once.
    let state = Fleet::new(&DESIGN_SIZE).state;
    // Readers start from the snapshot and never read these records, but the head of the log must be
    // at the offset at which the snapshot ends.
    let filler = vec![Box::from("-"); FILL_BATCH];
    let mut next = 0;
    while next < state.next {
        let some = FILL_BATCH.min(usize::try_from(state.next - next).unwrap_or(FILL_BATCH));
        let appended = (log.append)(FLEET_STREAM, &filler[..some]).expect("the log is up");
        next = appended.next;
    }
    snapshots::save(&log, &state, RecordId::from_u128(1)).expect("the log is up");
    println!("wrote a snapshot that ends at offset {next}");
}

/// Number of records in one append.
const FILL_BATCH: usize = 1000;

fn list(size: &Size) -> List {
    let fleet = Fleet::new(size).state.fleet;
    let instances = fleet.instances.iter().map(|(id, instance)| Listed {
        id: id.clone(),
        pool: instance.pool.clone(),
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
        addr: instance.addr,
        state: ListedState::Live,
    });
    List {
        as_of: Duration::from_secs(1),
        instances: instances.collect(),
    }
}

fn kib(text: &str) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "lists are far below 2^52 bytes")]
    let bytes = text.len() as f64;
    bytes / 1024.0
}
