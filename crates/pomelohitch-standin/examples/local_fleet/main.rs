//! A small fleet on this machine: stand-ins and three entry instances as separate processes under
//! mixed load, while one entry instance is replaced and one runner is frozen for a while.
//!
//! Started by `scripts/local-fleet`. Prints a table at the end, and exits with 0 only if nothing was
//! lost or doubled, no refusal was false, and the shutdown of the replaced instance was graceful.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Parser;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

mod batch;
mod fleet;
mod report;
mod run;

/// Exit code after a signal.
const EXIT_CODE_INTERRUPTED: u8 = 130;

/// Runs a small fleet on this machine under load.
#[derive(Debug, Parser)]
struct Args {
    /// How long the load lasts, seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Requests a second
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
    /// Decides when each request leaves, and what it is
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the built binaries are
    #[arg(long, default_value = "target/debug")]
    bin_dir: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM, SIGHUP] {
        signal_hook::flag::register(signal, stop.clone()).expect("these signals can be handled");
    }
    let mut fleet = fleet::Fleet::start(&args.bin_dir);
    if !fleet.wait_ready(&stop) {
        return end(&stop, "the fleet never became ready; see its logs");
    }
    fleet.print_addresses();
    let time = Duration::from_secs(args.seconds);
    let outcome = run::run(&mut fleet, args.rate, time, args.seed, &stop);
    if stop.load(Ordering::Acquire) {
        return end(&stop, "interrupted");
    }
    report::print(&fleet, &outcome)
}

fn end(stop: &AtomicBool, why: &str) -> ExitCode {
    eprintln!("local-fleet: {why}");
    if stop.load(Ordering::Acquire) {
        ExitCode::from(EXIT_CODE_INTERRUPTED)
    } else {
        ExitCode::FAILURE
    }
}
