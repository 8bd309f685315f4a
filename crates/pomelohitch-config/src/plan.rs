//! Computes the changes that publishing a tree would make.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use pomelohitch_core::FleetFile;
use pomelohitch_core::config::{Config, VersionedFile};
use pomelohitch_core::id::{FilePath, Offset};
use pomelohitch_core::record::{FileChange, Publish};
use serde::Serialize;

use crate::lock::Lock;
use crate::tree::Tree;

/// How a publish changes a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The file is not in force yet.
    Add,
    /// The file is in force with other content.
    Change,
    /// The file is in force and in the lock, but no longer in the tree.
    Remove,
}

/// One file that a publish would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the file, relative to the root of the tree.
    pub path: FilePath,
    /// How the file changes.
    pub kind: ChangeKind,
    /// The version on which the operator's edit is based, from the lock; `None` if it isn't listed.
    pub base: Option<Offset>,
    /// The version in force; `None` if the file is not in force.
    pub in_force: Option<Offset>,
    /// The fields that differ: `- name = value` as in force, `+ name = value` as in the tree.
    pub lines: Vec<Box<str>>,
    #[serde(skip)]
    file: Option<FleetFile>,
}

impl Change {
    /// Whether the version in force differs from the one on which the edit is based.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.base != self.in_force
    }
}

/// The changes that a publish would make, and the files in force that it leaves alone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Files that would change, sorted by path.
    pub changes: Vec<Change>,
    /// Files in force that belong to other trees.
    pub others: BTreeMap<FilePath, VersionedFile>,
}

impl Plan {
    /// Compares `tree` with the configuration in force.
    ///
    /// A file in force that is neither in the tree nor in its lock belongs to another tree and is
    /// kept. Otherwise two teams that publish from separate trees would remove each other's files.
    #[must_use]
    pub fn new(tree: &Tree, lock: &Lock, in_force: &Config) -> Plan {
        let mut plan = Plan::default();
        let locked = lock.files.keys();
        let paths: BTreeSet<_> = tree.files.keys().chain(locked).collect();
        for path in &paths {
            let desired = tree.files.get(*path).map(|parsed| &parsed.file);
            let current = in_force.files.get(*path);
            let base = lock.files.get(*path).copied();
            plan.changes.extend(diff_file(path, desired, current, base));
        }
        plan.others = in_force
            .files
            .iter()
            .filter(|(path, _)| !paths.contains(path))
            .map(|(path, entry)| (path.clone(), entry.clone()))
            .collect();
        plan
    }

    /// The publish record that proposes these changes.
    #[must_use]
    pub fn publish(&self) -> Publish {
        let changes = self.changes.iter().map(|change| {
            let file = FileChange {
                base: change.base,
                file: change.file.clone(),
            };
            (change.path.clone(), file)
        });
        Publish {
            changes: changes.collect(),
        }
    }
}

/// The lock of `tree` once the operator has reviewed its differences from `in_force`: it lists the
/// version in force of each file of the tree.
#[must_use]
pub fn lock_of(tree: &Tree, in_force: &Config) -> Lock {
    let files = tree.files.keys().filter_map(|path| {
        let entry = in_force.files.get(path)?;
        Some((path.clone(), entry.version))
    });
    Lock {
        files: files.collect(),
    }
}

impl Plan {
    /// The lock of `tree` after the changes took effect at `offset` of the log.
    ///
    /// `in_force` must be the configuration from which the plan was computed. Later versions may
    /// contain changes that the operator hasn't seen; locking them would let the next publish
    /// revert these changes without detection.
    #[must_use]
    pub fn lock_after(&self, tree: &Tree, in_force: &Config, offset: Offset) -> Lock {
        let mut lock = lock_of(tree, in_force);
        for change in &self.changes {
            match change.kind {
                ChangeKind::Remove => lock.files.remove(&change.path),
                ChangeKind::Add | ChangeKind::Change => {
                    lock.files.insert(change.path.clone(), offset)
                }
            };
        }
        lock
    }
}

fn diff_file(
    path: &FilePath,
    desired: Option<&FleetFile>,
    current: Option<&VersionedFile>,
    base: Option<Offset>,
) -> Option<Change> {
    let in_force = current.map(|entry| entry.version);
    let kind = match (desired, current) {
        (Some(desired), Some(current)) if *desired == current.file => return None,
        (Some(_), Some(_)) => ChangeKind::Change,
        // If the lock lists the file, another operator has removed it since. The change then states
        // a base, and the fold rejects it as stale.
        (Some(_), None) => ChangeKind::Add,
        (None, Some(_)) => ChangeKind::Remove,
        (None, None) => return None,
    };
    let before = fields(current.map(|entry| &entry.file));
    let after = fields(desired);
    Some(Change {
        path: path.clone(),
        kind,
        base,
        in_force,
        lines: diff_lines(&before, &after),
        file: desired.cloned(),
    })
}

type Fields = BTreeMap<Box<str>, Box<str>>;

fn diff_lines(before: &Fields, after: &Fields) -> Vec<Box<str>> {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let mut lines = Vec::new();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old == new {
            continue;
        }
        lines.extend(old.map(|old| format!("- {name} = {old}").into()));
        lines.extend(new.map(|new| format!("+ {name} = {new}").into()));
    }
    lines
}

/// All fields of a file, as text by their full names.
fn fields(file: Option<&FleetFile>) -> Fields {
    let mut fields = Fields::new();
    let Some(file) = file else { return fields };
    let mut add = |name: String, value: String| {
        fields.insert(name.into(), value.into());
    };
    for team in &file.teams {
        let id = &team.id;
        add(format!("team.{id}.share"), team.share.to_string());
        add(format!("team.{id}.limit"), team.limit.to_string());
        for key in &team.keys {
            add(format!("team.{id}.keys.{key}"), "granted".into());
        }
    }
    for pool in &file.pools {
        let id = &pool.id;
        add(format!("pool.{id}.spare"), pool.spare.to_string());
        add(format!("pool.{id}.floor"), pool.floor.to_string());
    }
    for service in &file.services {
        let id = &service.id;
        add(format!("service.{id}.pool"), service.pool.to_string());
        for (name, value) in [
            ("min_available", service.min_available),
            ("slots", service.slots),
            ("connections", service.connections),
            ("queue", service.queue),
        ] {
            add(format!("service.{id}.{name}"), value.to_string());
        }
        for (name, value) in [
            ("timeout_ms", service.timeout),
            ("longest_run_ms", service.longest_run),
        ] {
            add(
                format!("service.{id}.{name}"),
                value.as_millis().to_string(),
            );
        }
        if let Some(objective) = &service.objective {
            let mut text = String::new();
            let _ = write!(
                text,
                "{} ppm within {} ms over {} s",
                objective.good_ppm,
                objective.within.as_millis(),
                objective.window.as_secs()
            );
            add(format!("service.{id}.objective"), text);
        }
    }
    fields
}
