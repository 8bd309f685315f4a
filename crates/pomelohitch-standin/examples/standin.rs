//! Runs stand-ins as a separate process.
//!
//! Prints `listening NAME http://IP:PORT control http://IP:PORT` for each stand-in, and exits when
//! its standard input closes, so that it doesn't outlive the program that started it.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, Subcommand};
use pomelohitch_core::record::job::Resources;
use pomelohitch_platform::instances::{Listed, ListedState};
use pomelohitch_standin::{Instances, Log, Runner, Workers, instances, log, runner, workers};

/// Stand-ins of the platform.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// The append-only log
    Log {
        /// Records that each stream keeps
        #[arg(long, default_value_t = 1_000_000)]
        keep: usize,
    },
    /// Pools of instances and their list
    Instances {
        /// An instance: ID,POOL,ZONE,RACK,ADDR and, with a runner, its control address
        #[arg(long = "instance", value_parser = parse_instance)]
        instances: Vec<instances::Instance>,
        /// How far behind the list is, milliseconds
        #[arg(long, default_value_t = 200)]
        lag_ms: u64,
        /// How long a reboot takes, milliseconds
        #[arg(long, default_value_t = 500)]
        reboot_ms: u64,
    },
    /// Workers that run tasks under leases
    Workers {
        /// How many
        #[arg(long, default_value_t = 8)]
        count: usize,
        /// How far behind the reports are, milliseconds
        #[arg(long, default_value_t = 200)]
        lag_ms: u64,
    },
    /// Runners of an endpoint
    Runners {
        /// How many
        #[arg(long, default_value_t = 6)]
        count: usize,
    },
}

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 4;
/// Number of availability zones.
const ZONE_COUNT: usize = 4;
/// Capacity of a worker.
const WORKER_CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};

fn main() {
    let Args { standin } = Args::parse();
    match standin {
        Standin::Log { keep } => {
            let log = Log::start(&log::Options { keep });
            print_addresses("log", &log.url(), &log.control_url());
            wait_for_stdin_close();
        }
        Standin::Instances {
            instances,
            lag_ms,
            reboot_ms,
        } => {
            let instances = Instances::start(&instances::Options {
                instances,
                lag: Duration::from_millis(lag_ms),
                reboot: Duration::from_millis(reboot_ms),
                ..instances::Options::default()
            });
            print_addresses("instances", &instances.url(), &instances.control_url());
            wait_for_stdin_close();
        }
        Standin::Workers { count, lag_ms } => {
            let workers = Workers::start(&workers::Options {
                workers: (0..count).map(worker).collect(),
                lag: Duration::from_millis(lag_ms),
                ..workers::Options::default()
            });
            print_addresses("workers", &workers.url(), &workers.control_url());
            wait_for_stdin_close();
        }
        Standin::Runners { count } => {
            let start = |_| Runner::start(&runner::Options::default());
            let runners: Vec<Runner> = (0..count).map(start).collect();
            for runner in &runners {
                print_addresses(
                    "runner",
                    &format!("http://{}", runner.addr()),
                    &runner.control_url(),
                );
            }
            wait_for_stdin_close();
        }
    }
}

fn print_addresses(name: &str, url: &str, control: &str) {
    println!("listening {name} {url} control {control}");
}

fn wait_for_stdin_close() {
    // Input is discarded; a read error counts as the end of the input.
    let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
}

fn worker(index: usize) -> pomelohitch_platform::workers::Listed {
    pomelohitch_platform::workers::Listed {
        id: format!("worker-{index}").into(),
        pool: "batch".into(),
        zone: format!("zone-{}", index % ZONE_COUNT).into(),
        rack: format!("rack-{}", index / WORKERS_PER_RACK).into(),
        capacity: WORKER_CAPACITY,
    }
}

fn parse_instance(text: &str) -> Result<instances::Instance, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let (id, pool, zone, rack, addr, control) = match parts[..] {
        [id, pool, zone, rack, addr] => (id, pool, zone, rack, addr, None),
        [id, pool, zone, rack, addr, control] => (id, pool, zone, rack, addr, Some(control)),
        _ => return Err("isn't ID,POOL,ZONE,RACK,ADDR[,CONTROL]".to_owned()),
    };
    let parse = |addr: &str| addr.parse::<SocketAddr>().map_err(|e| e.to_string());
    Ok(instances::Instance {
        listed: Listed {
            id: id.into(),
            pool: pool.into(),
            zone: zone.into(),
            rack: rack.into(),
            addr: parse(addr)?,
            state: ListedState::Live,
        },
        control: control.map(parse).transpose()?,
    })
}
