//! `pomelohitch publish`: puts a tree of fleet files in force, either all of them or none.

use std::path::Path;
use std::sync::Arc;

use pomelohitch_config::{Change, Fault, Lock, Plan, Tree};
use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::{Body, Rejection, State};
use pomelohitch_platform::{Follower, Log};
use serde::Serialize;
use snafu::{ResultExt, Snafu};

use crate::exit::Exit;
use crate::output::Output;
use crate::propose::{self, explain, propose};
use crate::{check, diff, history};

/// Options of a publish.
#[derive(Debug, Default)]
pub struct Options {
    /// Bases the changes on the versions in force at this offset instead of those in the lock.
    pub base: Option<Offset>,
    /// Options of the proposal.
    pub propose: propose::Options,
}

/// The publish failed. Nothing was appended, unless it is the lock that can't be written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The tree can't be read.
    #[snafu(display("{source}"))]
    Tree {
        /// The error of the tree.
        source: pomelohitch_config::tree::Error,
    },
    /// The lock can't be read before the append, or can't be written after it.
    #[snafu(display("{source}"))]
    Lock {
        /// The error of the lock.
        source: pomelohitch_config::lock::Error,
    },
    /// The files in force can't be read from the log.
    #[snafu(display("{source}; nothing was published: try again when the log is back"))]
    Log {
        /// The error of the log.
        source: pomelohitch_platform::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The tree equals the files in force; nothing was appended.
    NoDifferences,
    /// The files have faults; nothing was appended.
    Faults {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// All changes are in force.
    InForce {
        /// Offset of the record.
        offset: Offset,
        /// The changes that were published.
        changes: Vec<Change>,
    },
    /// No change is in force.
    NotInForce {
        /// Offset of the rejected record, if it was appended.
        offset: Option<Offset>,
        /// Why the fold rejects the record; `None` if the log refused the append.
        rejection: Option<Rejection>,
        /// Why, and what to do.
        reason: Box<str>,
    },
    /// The changes may or may not come into force.
    NotKnown {
        /// Id of the record that may have been appended.
        record: RecordId,
        /// Why the outcome is unknown.
        reason: Box<str>,
    },
}

/// Publishes the tree at `root`.
///
/// # Errors
/// If the tree, the lock or the log can't be read, in which case nothing was appended, or if the
/// lock can't be written.
pub fn publish(root: &Path, log: &Arc<Log>, options: &Options) -> Result<Outcome> {
    let (tree, mut lock) = match load(root)? {
        Ok(loaded) => loaded,
        Err(faults) => return Ok(Outcome::Faults { faults }),
    };
    let mut follower = propose::fleet_follower(log);
    if let Some(base) = options.base {
        lock = lock_at(&tree, &lock, &mut follower, base, &options.propose)?;
    }
    propose::catch_up(&mut follower, &options.propose).context(LogSnafu)?;
    let seen = follower.state().clone();
    let plan = Plan::new(&tree, &lock, &seen.config);
    if let Err(faults) = tree.check(&plan.others) {
        return Ok(Outcome::Faults { faults });
    }
    if plan.changes.is_empty() {
        store(&lock_in_force(&tree, &seen), root)?;
        return Ok(Outcome::NoDifferences);
    }
    if let Some(refused) = refuse_if_stale(&plan, log) {
        return Ok(refused);
    }
    let body = Body::Publish(plan.publish());
    let proposed = propose(log, &mut follower, body, &options.propose);
    if let propose::Outcome::InForce { offset } = proposed {
        store(&plan.lock_after(&tree, &seen.config, offset), root)?;
    }
    Ok(outcome(proposed, plan.changes, log))
}

/// A tree and its lock, or the faults of the tree.
type Loaded = std::result::Result<(Tree, Lock), Vec<Fault>>;

fn load(root: &Path) -> Result<Loaded> {
    match Tree::load(root) {
        Ok(tree) => Ok(Ok((tree, Lock::load(root).context(LockSnafu)?))),
        Err(pomelohitch_config::tree::Error::Faults { faults }) => Ok(Err(faults)),
        Err(source) => Err(Error::Tree { source }),
    }
}

/// Returns a lock with the versions that were in force when `base` was the newest offset.
fn lock_at(
    tree: &Tree,
    lock: &Lock,
    follower: &mut Follower,
    base: Offset,
    options: &propose::Options,
) -> Result<Lock> {
    propose::catch_up_to(follower, base + 1, options).context(LogSnafu)?;
    let files = &follower.state().config.files;
    let paths = tree.files.keys().chain(lock.files.keys());
    let versions = paths.filter_map(|path| Some((path.clone(), files.get(path)?.version)));
    Ok(Lock {
        files: versions.collect(),
    })
}

fn lock_in_force(tree: &Tree, seen: &State) -> Lock {
    pomelohitch_config::plan::lock_of(tree, &seen.config)
}

fn store(lock: &Lock, root: &Path) -> Result<()> {
    lock.store(root).context(LockSnafu)
}

/// Returns the refusal of a plan with a stale change. Such a plan is not appended, since the fold
/// would reject it.
fn refuse_if_stale(plan: &Plan, log: &Log) -> Option<Outcome> {
    let change = plan.changes.iter().find(|change| change.is_stale())?;
    let rejection = Rejection::BaseChanged {
        path: change.path.clone(),
        version: change.in_force,
    };
    Some(Outcome::NotInForce {
        offset: None,
        reason: explain_with_removal(&rejection, log).into(),
        rejection: Some(rejection),
    })
}

/// Explains `rejection`, and adds the offset of a removal, which the state does not keep.
fn explain_with_removal(rejection: &Rejection, log: &Log) -> String {
    let explanation = explain(rejection);
    let Rejection::BaseChanged {
        path,
        version: None,
    } = rejection
    else {
        return explanation;
    };
    match history::removed_at(log, path) {
        Some(offset) => format!("{explanation} (removed at offset {offset})"),
        None => explanation,
    }
}

fn outcome(proposed: propose::Outcome, changes: Vec<Change>, log: &Log) -> Outcome {
    match proposed {
        propose::Outcome::InForce { offset } => Outcome::InForce { offset, changes },
        propose::Outcome::Rejected { offset, rejection } => Outcome::NotInForce {
            offset: Some(offset),
            reason: explain_with_removal(&rejection, log).into(),
            rejection: Some(rejection),
        },
        propose::Outcome::NotAppended { error } => Outcome::NotInForce {
            offset: None,
            rejection: None,
            reason: format!("{error}; publish again when the log is back").into(),
        },
        propose::Outcome::NotKnown { id, error } => Outcome::NotKnown {
            record: id,
            reason: error.map_or_else(
                || "the log took the record and didn't show it in time".into(),
                |error| error.to_string().into(),
            ),
        },
    }
}

/// Renders the outcome of a publish.
#[must_use]
pub fn show(outcome: &Outcome) -> Output {
    Output::new(exit(outcome), text(outcome), outcome)
}

fn exit(outcome: &Outcome) -> Exit {
    match outcome {
        Outcome::NoDifferences | Outcome::InForce { .. } => Exit::Done,
        Outcome::Faults { .. }
        | Outcome::NotInForce {
            rejection: Some(_), ..
        } => Exit::Refused,
        Outcome::NotInForce {
            rejection: None, ..
        } => Exit::Unreachable,
        Outcome::NotKnown { .. } => Exit::NotKnown,
    }
}

fn text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::NoDifferences => "in force: no differences\n".to_owned(),
        Outcome::Faults { faults } => {
            check::show(&check::Outcome {
                files: 0,
                with_others: true,
                faults: faults.clone(),
            })
            .text
        }
        Outcome::InForce { offset, changes } => {
            let changes_text = diff::changes(changes);
            format!("{changes_text}in force since offset {offset}; commit pomelohitch.lock\n")
        }
        Outcome::NotInForce { offset, reason, .. } => {
            let at = offset.map_or_else(String::new, |offset| format!(" (offset {offset})"));
            format!("not in force{at}: {reason}\n")
        }
        Outcome::NotKnown { record, reason } => format!(
            "not known: {reason}\n\
             The record {record} may still come into force. When the log is back, run the same \
             `pomelohitch publish` again: it says `in force` if the record landed, and publishes \
             it otherwise. Until then change nothing in these files.\n"
        ),
    }
}
