//! `pomelohitch diff`: shows what a publish would change.

use std::fmt::Write as _;
use std::path::Path;

use pomelohitch_config::plan::lock_of;
use pomelohitch_config::{Change, ChangeKind, Lock, Plan, Tree};
use pomelohitch_core::config::Config;
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::exit::Exit;
use crate::output::Output;

/// The tree can't be compared with the files in force.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The tree can't be read, or has faults.
    #[snafu(display("{source}; run `pomelohitch check`"))]
    Tree {
        /// The error of the tree.
        source: pomelohitch_config::tree::Error,
    },
    /// The lock can't be read or written.
    #[snafu(display("{source}"))]
    Lock {
        /// The error of the lock.
        source: pomelohitch_config::lock::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The differences between a tree and the files in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Files that a publish would change.
    pub changes: Vec<Change>,
    /// Whether the versions in force were written to the lock.
    pub rebased: bool,
}

/// Compares the tree at `root` with `in_force`; with `rebase` also writes the versions in force to
/// the lock.
///
/// # Errors
/// If the tree or the lock can't be read, or the lock can't be written.
pub fn diff(root: &Path, in_force: &Config, rebase: bool) -> Result<Outcome> {
    let tree = Tree::load(root).context(TreeSnafu)?;
    let lock = Lock::load(root).context(LockSnafu)?;
    let plan = Plan::new(&tree, &lock, in_force);
    if rebase {
        let mut new = lock_of(&tree, in_force);
        // Files missing from the tree stay in the lock, so that a publish still removes them.
        for change in &plan.changes {
            if let (ChangeKind::Remove, Some(version)) = (change.kind, change.in_force) {
                new.files.insert(change.path.clone(), version);
            }
        }
        new.store(root).context(LockSnafu)?;
    }
    Ok(Outcome {
        changes: plan.changes,
        rebased: rebase,
    })
}

/// Renders the differences.
#[must_use]
pub fn show(outcome: &Outcome) -> Output {
    let mut text = changes(&outcome.changes);
    if outcome.changes.is_empty() {
        text += "no differences\n";
    }
    if outcome.rebased {
        text += "pomelohitch.lock holds the versions in force; commit it\n";
    }
    Output::new(Exit::Done, text, outcome)
}

/// Renders `changes`, one line for each file and each field.
#[must_use]
pub fn changes(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        let verb = match change.kind {
            ChangeKind::Add => "add",
            ChangeKind::Change => "change",
            ChangeKind::Remove => "remove",
        };
        let _ = write!(text, "{verb} {}", change.path);
        if change.is_stale() {
            let base = version(change.base);
            let in_force = version(change.in_force);
            let _ = write!(text, " (you started from {base}, in force is {in_force})");
        }
        text.push('\n');
        for line in &change.lines {
            let _ = writeln!(text, "  {line}");
        }
    }
    text
}

fn version(version: Option<u64>) -> String {
    version.map_or_else(|| "no version".to_owned(), |offset| offset.to_string())
}
