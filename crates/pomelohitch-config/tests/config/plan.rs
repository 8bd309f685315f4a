use std::collections::BTreeMap;

use pomelohitch_config::parse::parse;
use pomelohitch_config::plan::lock_of;
use pomelohitch_config::{ChangeKind, Lock, Plan, Tree};
use pomelohitch_core::config::{Config, VersionedFile};

fn tree(files: &[(&str, &str)]) -> Tree {
    let parsed = files.iter().map(|(path, text)| {
        let parsed = parse(path, text).expect("the text is valid");
        ((*path).into(), parsed)
    });
    Tree {
        files: parsed.collect(),
    }
}

fn in_force(files: &[(&str, u64, &str)]) -> Config {
    let files: BTreeMap<_, _> = files
        .iter()
        .map(|(path, version, text)| {
            let file = parse(path, text).expect("the text is valid").file;
            let version = *version;
            ((*path).into(), VersionedFile { version, file })
        })
        .collect();
    Config::from_files(files).expect("the files satisfy the rules that span files")
}

fn lock(files: &[(&str, u64)]) -> Lock {
    let files = files
        .iter()
        .map(|(path, version)| ((*path).into(), *version));
    Lock {
        files: files.collect(),
    }
}

#[test]
fn only_files_that_differ_are_changed_and_each_field_is_shown() {
    let config = in_force(&[
        ("a", 3, "[pool.one]\nfloor = 1\n"),
        ("b", 5, "[pool.two]\n"),
    ]);
    let tree = tree(&[("a", "[pool.one]\nfloor = 2\n"), ("b", "[pool.two]\n")]);
    let plan = Plan::new(&tree, &lock(&[("a", 3), ("b", 5)]), &config);
    assert_eq!(plan.changes.len(), 1);
    let change = &plan.changes[0];
    assert_eq!((change.kind, change.base), (ChangeKind::Change, Some(3)));
    let lines: Vec<_> = change.lines.iter().map(|line| &**line).collect();
    assert_eq!(lines, ["- pool.one.floor = 1", "+ pool.one.floor = 2"]);
}

/// Two teams publish from separate trees. A publish must remove only files that its own lock lists,
/// or the first publish of one team would remove the pools and services of the other.
#[test]
fn files_of_other_trees_stay_and_deleted_files_of_the_tree_are_removed() {
    let config = in_force(&[("mine", 3, "[pool.one]\n"), ("theirs", 4, "[pool.two]\n")]);
    let tree = tree(&[("new", "[pool.three]\n")]);
    let plan = Plan::new(&tree, &lock(&[("mine", 3)]), &config);
    let kinds: Vec<_> = plan.changes.iter().map(|c| (&*c.path, c.kind)).collect();
    assert_eq!(
        kinds,
        [("mine", ChangeKind::Remove), ("new", ChangeKind::Add)]
    );
    assert!(plan.others.contains_key("theirs"));
}

/// Another operator changes an unrelated file of the tree after the plan was computed. A lock with
/// that newer version would let the next publish revert the change without detection.
#[test]
fn the_lock_after_a_publish_lists_only_versions_that_the_operator_has_seen() {
    let compared = in_force(&[("a", 3, "[pool.one]\n"), ("b", 4, "[pool.two]\n")]);
    let tree = tree(&[("a", "[pool.one]\nfloor = 2\n"), ("b", "[pool.two]\n")]);
    let plan = Plan::new(&tree, &lock_of(&tree, &compared), &compared);
    let after = plan.lock_after(&tree, &compared, 9);
    assert_eq!(after, lock(&[("a", 9), ("b", 4)]));
}
