//! `pomelohitchd`, the daemon of an entry instance.

use std::process::ExitCode;

use clap::Parser;
use pomelohitchd::settings::Settings;
use pomelohitchd::{fleet, lifecycle};

fn main() -> ExitCode {
    if let Some(path) = std::env::var_os(pomelohitch_adapter::settings::PATH_VARIABLE) {
        return fleet::lifecycle::run(path.as_ref());
    }
    let settings = Settings::parse();
    lifecycle::run(settings)
}
