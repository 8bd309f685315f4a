//! Measures the slopes on which docs/CAPACITY.md rests, on one machine at several sizes.
//!
//! Each quantity is measured at four sizes, a line is fitted through them, and the line, its
//! residuals and its value at the size to design for are printed.
//!
//! With `fill LOG_URL` it writes a snapshot of that size to a log stand-in instead, so that an
//! entry instance can be started on it and its memory and processor time looked at.

mod cost;
mod fit;
mod fleet;
mod operators;
mod permits;
mod platform;

use fit::{Point, print};
use fleet::{LETTER, Size};

/// Fractions of the size to design for at which is measured, in eighths.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// A quantity that grows with the size.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// What it grows with.
    by: fn(&Size) -> usize,
    measure: fn(&Size) -> f64,
}

const QUANTITIES: [Quantity; 18] = [
    Quantity {
        name: "permits, a second without requests",
        unit: "us",
        by: |size| size.instances,
        measure: permits::idle_second,
    },
    Quantity {
        name: "state, memory",
        unit: "KiB",
        by: |size| size.instances,
        measure: cost::state_memory,
    },
    Quantity {
        name: "waiting and running jobs, memory",
        unit: "KiB",
        by: |size| size.jobs,
        measure: cost::jobs_memory,
    },
    Quantity {
        name: "publish of one file, fold",
        unit: "us",
        by: |size| size.teams,
        measure: cost::publish_fold,
    },
    Quantity {
        name: "drain and return, fold",
        unit: "us",
        by: |size| size.instances,
        measure: cost::drain_fold,
    },
    Quantity {
        name: "job submit to end, fold",
        unit: "us",
        by: |size| size.jobs,
        measure: cost::job_fold,
    },
    Quantity {
        name: "new state put in force",
        unit: "us",
        by: |size| size.instances,
        measure: cost::copy_state,
    },
    Quantity {
        name: "snapshot, bytes",
        unit: "KiB",
        by: |size| size.instances,
        measure: cost::snapshot_bytes,
    },
    Quantity {
        name: "snapshot, written",
        unit: "ms",
        by: |size| size.instances,
        measure: cost::snapshot_write,
    },
    Quantity {
        name: "snapshot, read by a joiner",
        unit: "ms",
        by: |size| size.instances,
        measure: cost::snapshot_read,
    },
    Quantity {
        name: "status, view",
        unit: "us",
        by: |size| size.instances,
        measure: operators::status,
    },
    Quantity {
        name: "burn, one answer counted",
        unit: "ns",
        by: |size| size.teams,
        measure: operators::count_answer,
    },
    Quantity {
        name: "burn, record of a minute in which every team called",
        unit: "bytes",
        by: |size| size.teams,
        measure: operators::burn_record,
    },
    Quantity {
        name: "burn report, reading an hour of one entry instance",
        unit: "ms",
        by: |size| size.teams,
        measure: operators::burn_read,
    },
    Quantity {
        name: "batch planner, decision after one job ended",
        unit: "us",
        by: |size| size.jobs,
        measure: operators::batch_decision,
    },
    Quantity {
        name: "list of instances, bytes",
        unit: "KiB",
        by: |size| size.instances,
        measure: platform::instance_list,
    },
    Quantity {
        name: "list of workers, bytes",
        unit: "KiB",
        by: |size| size.instances,
        measure: platform::worker_list,
    },
    Quantity {
        name: "planner of pools and waves, look when nothing is due",
        unit: "ms",
        by: |size| size.instances,
        measure: platform::maintenance_look,
    },
];

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    if let [command, url] = &args[..]
        && command == "fill"
    {
        platform::fill(url);
        return;
    }
    println!("records, bytes each");
    for (name, bytes) in cost::record_bytes() {
        println!("  {name:32} {bytes:6}");
    }
    for quantity in &QUANTITIES {
        let points = EIGHTHS.map(|eighths| {
            let size = LETTER.scaled(eighths);
            Point {
                #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
                size: (quantity.by)(&size) as f64,
                value: (quantity.measure)(&size),
            }
        });
        print(quantity.name, quantity.unit, &points);
    }
}
