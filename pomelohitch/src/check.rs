//! `pomelohitch check`: checks fleet files for faults.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use pomelohitch_config::tree::Error as TreeError;
use pomelohitch_config::{Fault, Lock, Plan, Tree};
use pomelohitch_core::config::Config;
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::exit::Exit;
use crate::output::Output;

/// The files can't be checked.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The tree can't be read.
    #[snafu(display("{source}"))]
    Tree {
        /// The error of the tree.
        source: TreeError,
    },
    /// The lock can't be read.
    #[snafu(display("{source}"))]
    Lock {
        /// The error of the lock.
        source: pomelohitch_config::lock::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Number of files in the tree; 0 if faults prevent loading it.
    pub files: usize,
    /// Whether files in force from other trees were included in the check.
    pub with_others: bool,
    /// All faults, sorted by file and line.
    pub faults: Vec<Fault>,
}

/// Checks the tree at `root`; with `in_force` also against the files in force from other trees.
///
/// # Errors
/// If the tree or the lock can't be read.
pub fn check(root: &Path, in_force: Option<&Config>) -> Result<Outcome> {
    let with_others = in_force.is_some();
    let tree = match Tree::load(root) {
        Ok(tree) => tree,
        Err(TreeError::Faults { faults }) => {
            return Ok(Outcome {
                files: 0,
                with_others,
                faults,
            });
        }
        Err(source) => return Err(Error::Tree { source }),
    };
    let others = match in_force {
        Some(config) => {
            let lock = Lock::load(root).context(LockSnafu)?;
            Plan::new(&tree, &lock, config).others
        }
        None => BTreeMap::new(),
    };
    Ok(Outcome {
        files: tree.files.len(),
        with_others,
        faults: tree.check(&others).err().unwrap_or_default(),
    })
}

/// Renders the result of a check.
#[must_use]
pub fn show(outcome: &Outcome) -> Output {
    let exit = if outcome.faults.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    };
    Output::new(exit, text(outcome), outcome)
}

fn text(outcome: &Outcome) -> String {
    if outcome.faults.is_empty() {
        return format!("{} file(s), no fault\n", outcome.files);
    }
    let mut text = String::new();
    for fault in &outcome.faults {
        let _ = writeln!(text, "{fault}");
    }
    let _ = writeln!(text, "{} fault(s); nothing published", outcome.faults.len());
    text
}
