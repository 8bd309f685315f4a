//! Measures the cost per unit of size that docs/CAPACITY.md is based on, on one machine.
//!
//! Each quantity is measured at four sizes. The output is a line fitted through the four values,
//! its residuals, and its value at the design size.
//!
//! With `fill LOG_URL` it writes a snapshot of the design size to a stand-in of the log instead, to
//! measure the memory and processor time of an entry instance that starts from it.

mod cost;
mod fit;
mod fleet;
mod operators;
mod permits;
mod platform;

use fit::{Point, print};
use fleet::{DESIGN_SIZE, Size};

/// Measured sizes, in eighths of the design size.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

/// A cost that grows with the size.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// The dimension of the size that the cost is fitted against.
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
        measure: platform::maintenance_pass,
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
            let size = DESIGN_SIZE.scaled(eighths);
            Point {
                #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
                size: (quantity.by)(&size) as f64,
                value: (quantity.measure)(&size),
            }
        });
        print(quantity.name, quantity.unit, &points);
    }
}
