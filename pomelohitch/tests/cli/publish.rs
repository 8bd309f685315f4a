use std::fs;
use std::path::Path;

use pomelohitch::output::Format;
use pomelohitch::publish::{Options, Outcome, publish, show};
use pomelohitch::{Exit, check, diff, propose};
use pomelohitch_config::{Lock, Plan, Tree};
use pomelohitch_core::{Body, Record};
use pomelohitch_platform::Log;

use super::memory_log::{Fault, NOT_POISONED, Store, memory_log, virtual_time};

const SALES: &str = "[pool.sales]\n[service.passes]\npool = \"sales\"\nmin_available = 2\n";

fn write(root: &Path, dir: &str, text: &str) {
    fs::create_dir_all(root.join(dir)).expect("the directory can be made");
    fs::write(root.join(dir).join("pomelohitch.toml"), text).expect("the file can be written");
}

fn options() -> Options {
    Options {
        base: None,
        propose: virtual_time(),
    }
}

fn publish_now(root: &Path, log: &std::sync::Arc<Log>) -> Outcome {
    publish(root, log, &options()).expect("the tree and the log can be read")
}

fn offset(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::InForce { offset, .. } => *offset,
        other => panic!("not in force: {other:?}"),
    }
}

fn encode(body: Body) -> Box<str> {
    Record {
        id: uuid::Uuid::from_u128(7),
        after: 0,
        at: std::time::Duration::ZERO,
        by: "other".into(),
        body,
    }
    .encode()
}

#[test]
fn publishing_a_tree_again_has_no_differences() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (_, log) = memory_log();
    write(root.path(), "a", SALES);
    assert_eq!(offset(&publish_now(root.path(), &log)), 0);
    assert_eq!(publish_now(root.path(), &log), Outcome::NoDifferences);
    write(root.path(), "a", &SALES.replace('2', "3"));
    assert_eq!(offset(&publish_now(root.path(), &log)), 1);
}

/// One of two edited files has a fault. Publishing only the other would put a combination in force
/// that no operator wrote.
#[test]
fn a_fault_in_one_file_publishes_nothing() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (store, log) = memory_log();
    write(root.path(), "a", SALES);
    write(
        root.path(),
        "b",
        "[service.x]\npool = \"gone\"\nmin_available = 1\n",
    );
    let outcome = publish_now(root.path(), &log);
    assert_eq!(show(&outcome).exit, Exit::Refused);
    assert!(store.lock().expect(NOT_POISONED).records.is_empty());
}

/// Two operators publish from the same base version. The second publish would undo the first one's
/// change, so it is refused, with the offset of that change.
#[test]
fn the_loser_of_a_race_is_told_which_offset_beat_it() {
    let (ann, ben) = (tempfile::tempdir(), tempfile::tempdir());
    let (ann, ben) = (ann.expect("a directory"), ben.expect("a directory"));
    let (store, log) = memory_log();
    write(ann.path(), "a", SALES);
    publish_now(ann.path(), &log);
    let lock = Lock::load(ann.path()).expect("the publish stored the lock");
    lock.store(ben.path()).expect("the lock can be written");

    write(ann.path(), "a", &SALES.replace('2', "3"));
    write(ben.path(), "a", &SALES.replace('2', "4"));
    assert_eq!(offset(&publish_now(ann.path(), &log)), 1);
    let refused = show(&publish_now(ben.path(), &log));
    insta::assert_snapshot!(refused.render(Format::Table), @r##"
    not in force: a/pomelohitch.toml was changed at offset 1 since you started; run `pomelohitch diff`, take that change over, then `pomelohitch diff --rebase`
    "##);
    assert_eq!(refused.exit, Exit::Refused);
    assert_eq!(store.lock().expect(NOT_POISONED).records.len(), 2);
}

/// Another operator's record is appended between the comparison and the append. Nothing was stale
/// at the comparison, so only the fold can reject the record, at its own offset.
#[test]
fn a_race_that_is_lost_inside_the_log_is_not_in_force() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (store, log) = memory_log();
    write(root.path(), "a", SALES);
    let tree = Tree::load(root.path()).expect("the tree is valid");
    let nothing = pomelohitch_core::Config::default();
    let theirs = Plan::new(&tree, &Lock::default(), &nothing).publish();
    store.lock().expect(NOT_POISONED).concurrent_records = vec![encode(Body::Publish(theirs))];
    write(root.path(), "a", &SALES.replace('2', "9"));
    let refused = show(&publish_now(root.path(), &log));
    assert_eq!(refused.exit, Exit::Refused);
    insta::assert_snapshot!(refused.render(Format::Json), @r##"
    {
      "offset": 1,
      "outcome": "not-in-force",
      "reason": "a/pomelohitch.toml was changed at offset 0 since you started; run `pomelohitch diff`, take that change over, then `pomelohitch diff --rebase`",
      "rejection": {
        "base-changed": {
          "path": "a/pomelohitch.toml",
          "version": 0
        }
      }
    }
    "##);
    assert_eq!(
        Lock::load(root.path()).expect("a missing lock is read as an empty one"),
        Lock::default()
    );
}

#[test]
fn a_publish_whose_response_is_lost_is_in_force_and_stores_the_lock() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (store, log) = memory_log();
    store.lock().expect(NOT_POISONED).append_faults = [Fault::ResponseLost].into();
    write(root.path(), "a", SALES);
    assert_eq!(offset(&publish_now(root.path(), &log)), 0);
    let lock = Lock::load(root.path()).expect("the publish stored the lock");
    assert_eq!(lock.files.values().copied().collect::<Vec<_>>(), [0]);
}

/// An append takes effect and the log is down until the limit, so the outcome is "not known".
/// Publishing again when the log is back finds the record.
#[test]
fn publishing_again_after_an_unknown_outcome_finds_the_record() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (store, log) = memory_log();
    write(root.path(), "a", SALES);
    let mut options = options();
    let store_in_sleep = store.clone();
    let sleep = options.propose.clock.sleep;
    options.propose.clock.sleep = Box::new(move |time| {
        store_in_sleep.lock().expect(NOT_POISONED).appends_down = true;
        sleep(time);
    });
    store.lock().expect(NOT_POISONED).append_faults = [Fault::ResponseLost].into();
    let reading = pomelohitch_platform::Log {
        append: {
            let (store, log) = (store.clone(), log.clone());
            Box::new(move |stream, records| {
                let appended = (log.append)(stream, records);
                store.lock().expect(NOT_POISONED).reads_down = true;
                appended
            })
        },
        read: {
            let log = log.clone();
            Box::new(move |read| (log.read)(read))
        },
    };
    let outcome = publish(root.path(), &std::sync::Arc::new(reading), &options);
    let shown = show(&outcome.expect("the log could be read at first"));
    assert_eq!(shown.exit, Exit::NotKnown);
    assert!(shown.text.contains("publish"), "{}", shown.text);

    let records = store.lock().expect(NOT_POISONED).records.clone();
    *store.lock().expect(NOT_POISONED) = Store {
        records,
        ..Store::default()
    };
    assert_eq!(publish_now(root.path(), &log), Outcome::NoDifferences);
}

#[test]
fn a_log_that_is_down_from_the_start_publishes_nothing() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (store, log) = memory_log();
    store.lock().expect(NOT_POISONED).reads_down = true;
    write(root.path(), "a", SALES);
    let error = publish(root.path(), &log, &options()).expect_err("the log is down");
    let message = error.to_string();
    assert!(message.contains("nothing was published"), "{message}");
    assert!(store.lock().expect(NOT_POISONED).records.is_empty());
}

/// A checkout without a lock, or with an outdated one, must not overwrite newer changes, unless
/// `--base` gives the offset from which the operator started.
#[test]
fn a_base_offset_replaces_the_lock() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (_, log) = memory_log();
    write(root.path(), "a", SALES);
    publish_now(root.path(), &log);
    write(root.path(), "a", &SALES.replace('2', "3"));
    publish_now(root.path(), &log);

    let fresh = tempfile::tempdir().expect("a temporary directory");
    write(fresh.path(), "a", &SALES.replace('2', "5"));
    for (base, is_in_force) in [(None, false), (Some(0), false), (Some(1), true)] {
        let options = Options { base, ..options() };
        let outcome = publish(fresh.path(), &log, &options).expect("the log works");
        let was_published = matches!(outcome, Outcome::InForce { .. });
        assert_eq!(was_published, is_in_force, "base {base:?}: {outcome:?}");
    }
}

#[test]
fn a_rebase_stores_the_versions_in_force_in_the_lock() {
    let root = tempfile::tempdir().expect("a temporary directory");
    let (_, log) = memory_log();
    write(root.path(), "a", SALES);
    publish_now(root.path(), &log);
    fs::remove_file(root.path().join("pomelohitch.lock")).expect("the lock exists");
    write(root.path(), "a", &SALES.replace('2', "4"));

    let mut follower = propose::fleet_follower(&log);
    propose::catch_up(&mut follower, &virtual_time()).expect("the log works");
    let config = follower.state().config.clone();
    let shown = diff::diff(root.path(), &config, true).expect("the tree is valid");
    insta::assert_snapshot!(diff::show(&shown).text, @r##"
    change a/pomelohitch.toml (you started from no version, in force is 0)
      - service.passes.min_available = 2
      + service.passes.min_available = 4
    pomelohitch.lock holds the versions in force; commit it
    "##);
    assert_eq!(offset(&publish_now(root.path(), &log)), 1);
}

#[test]
fn a_file_missing_from_the_tree_is_removed_and_files_of_other_trees_stay() {
    let (ann, ben) = (tempfile::tempdir(), tempfile::tempdir());
    let (ann, ben) = (ann.expect("a directory"), ben.expect("a directory"));
    let (_, log) = memory_log();
    write(ann.path(), "a", SALES);
    write(ann.path(), "old", "[pool.old]\n");
    publish_now(ann.path(), &log);
    write(
        ben.path(),
        "b",
        "[service.seats]\npool = \"sales\"\nmin_available = 1\n",
    );
    publish_now(ben.path(), &log);
    fs::remove_dir_all(ann.path().join("old")).expect("the directory exists");
    publish_now(ann.path(), &log);

    let mut follower = propose::fleet_follower(&log);
    propose::catch_up(&mut follower, &virtual_time()).expect("the log works");
    let files = &follower.state().config.files;
    let paths: Vec<_> = files.keys().map(|path| &**path).collect();
    assert_eq!(paths, ["a/pomelohitch.toml", "b/pomelohitch.toml"]);
}

#[test]
fn a_check_against_the_files_in_force_includes_other_trees() {
    let root = tempfile::tempdir().expect("a temporary directory");
    write(
        root.path(),
        "b",
        "[service.seats]\npool = \"sales\"\nmin_available = 1\n",
    );
    let alone = check::check(root.path(), None).expect("the tree can be read");
    insta::assert_snapshot!(check::show(&alone).text, @r##"
    b/pomelohitch.toml:2: service 'seats' names pool 'sales', which no file declares; declare [pool.sales] or name another
    1 fault(s); nothing published
    "##);

    let theirs = tempfile::tempdir().expect("a temporary directory");
    let (_, log) = memory_log();
    write(theirs.path(), "a", SALES);
    publish_now(theirs.path(), &log);
    let mut follower = propose::fleet_follower(&log);
    propose::catch_up(&mut follower, &virtual_time()).expect("the log works");
    let config = follower.state().config.clone();
    let with_others = check::check(root.path(), Some(&config)).expect("the tree can be read");
    assert_eq!(with_others.faults, []);
}

/// Ann removes a file while Ben edits it. Ben's publish is refused, with the offset of the removal.
#[test]
fn a_publish_refused_after_a_removal_names_its_offset() {
    let (ann, ben) = (tempfile::tempdir(), tempfile::tempdir());
    let (ann, ben) = (ann.expect("a directory"), ben.expect("a directory"));
    let (_, log) = memory_log();
    write(ann.path(), "a", SALES);
    write(ann.path(), "b", "[pool.other]\n");
    publish_now(ann.path(), &log);
    let lock = Lock::load(ann.path()).expect("the publish stored the lock");
    lock.store(ben.path()).expect("the lock can be written");
    fs::remove_dir_all(ann.path().join("b")).expect("the directory exists");
    let removed = offset(&publish_now(ann.path(), &log));

    write(ben.path(), "a", SALES);
    write(ben.path(), "b", "[pool.other]\nfloor = 3\n");
    let refused = show(&publish_now(ben.path(), &log));
    assert_eq!(refused.exit, Exit::Refused);
    let expected = format!("removed at offset {removed}");
    assert!(refused.text.contains(&expected), "{}", refused.text);
}
