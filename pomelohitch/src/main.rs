//! `pomelohitch`, the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use pomelohitch::{Cli, run};

fn main() -> ExitCode {
    run::main(&Cli::parse())
}
