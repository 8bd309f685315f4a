use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use pomelohitch_config::Tree;
use pomelohitch_config::tree::Error;
use pomelohitch_core::FleetFile;
use pomelohitch_core::config::{Pool, VersionedFile};

fn write(root: &Path, dir: &str, text: &str) {
    fs::create_dir_all(root.join(dir)).expect("the directory can be created");
    fs::write(root.join(dir).join("pomelohitch.toml"), text).expect("the file can be written");
}

fn reported(tree: &Tree, others: &BTreeMap<Box<str>, VersionedFile>) -> String {
    let faults = tree
        .check(others)
        .expect_err("the files violate a rule that spans files");
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn files_are_found_below_the_root_and_hidden_directories_are_skipped() {
    let root = tempfile::tempdir().expect("a temporary directory can be created");
    write(root.path(), "a/b", "[pool.one]\n");
    write(root.path(), ".git", "broken");
    let tree = Tree::load(root.path()).expect("the tree is valid");
    let paths: Vec<_> = tree.files.keys().map(|path| &**path).collect();
    assert_eq!(paths, ["a/b/pomelohitch.toml"]);
}

#[test]
fn faults_of_several_files_are_reported_together() {
    let root = tempfile::tempdir().expect("a temporary directory can be created");
    write(root.path(), "a", "[pool.one]\nflor = 1\n");
    write(root.path(), "b", "[team.two]\nshare = 1\n");
    let Err(Error::Faults { faults }) = Tree::load(root.path()) else {
        panic!("the tree has faults");
    };
    let positions: Vec<_> = faults.iter().map(|f| (&*f.path, f.line)).collect();
    assert_eq!(
        positions,
        [("a/pomelohitch.toml", 2), ("b/pomelohitch.toml", 1)]
    );
}

#[test]
fn violations_across_files_are_reported_at_the_line_to_fix() {
    let root = tempfile::tempdir().expect("a temporary directory can be created");
    write(
        root.path(),
        "a",
        "[pool.one]\n[service.s]\npool = \"gone\"\nmin_available = 1\n",
    );
    write(root.path(), "b", "\n[pool.one]\n[pool.shared]\n");
    let tree = Tree::load(root.path()).expect("each file is valid on its own");
    let shared = FleetFile {
        pools: vec![Pool {
            id: "shared".into(),
            spare: false,
            floor: 0,
        }],
        ..FleetFile::default()
    };
    let others = BTreeMap::from([(
        "c/pomelohitch.toml".into(),
        VersionedFile {
            version: 3,
            file: shared,
        },
    )]);
    insta::assert_snapshot!(reported(&tree, &others), @r##"
    a/pomelohitch.toml:3: service 's' names pool 'gone', which no file declares; declare [pool.gone] or name another
    b/pomelohitch.toml:2: pool 'one' is also declared in a/pomelohitch.toml:1; remove or rename one of the two
    b/pomelohitch.toml:3: pool 'shared' is also declared in c/pomelohitch.toml, in force; remove or rename one of the two
    "##);
}
