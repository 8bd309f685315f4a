//! Shell completions and man pages.

use std::path::{Path, PathBuf};

use clap::CommandFactory as _;
use clap_complete::Shell;
use snafu::{ResultExt, Snafu};

use crate::cli::Cli;

/// The man pages can't be written.
#[derive(Debug, Snafu)]
#[snafu(display("write man pages to {}: {source}; check that the directory exists", dir.display()))]
pub struct Error {
    dir: PathBuf,
    source: std::io::Error,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Returns the completion script for `shell`.
///
/// # Panics
/// Never: the generators write UTF-8.
#[must_use]
pub fn completions(shell: Shell) -> String {
    let mut buf = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "pomelohitch", &mut buf);
    String::from_utf8(buf).expect("completions are UTF-8")
}

/// Writes a man page for each command to `dir`.
///
/// # Errors
/// If the directory can't be written to.
pub fn man_pages(dir: &Path) -> Result<()> {
    clap_mangen::generate_to(Cli::command(), dir).context(Snafu { dir })
}
