use pomelohitch_config::{LOCK_NAME, Lock};

#[test]
fn a_stored_lock_loads_unchanged() {
    let root = tempfile::tempdir().expect("a temporary directory can be created");
    assert_eq!(
        Lock::load(root.path()).expect("a missing file is an empty lock"),
        Lock::default()
    );
    let lock = Lock {
        files: [("a/pomelohitch.toml".into(), 17)].into(),
    };
    lock.store(root.path()).expect("the directory is writable");
    assert_eq!(Lock::load(root.path()).expect("the file exists"), lock);
}

/// A merge of two branches leaves conflict marks in the lock file. Reading it as empty would plan
/// every file as an addition, so loading fails with an error that says how to recover.
#[test]
fn a_lock_with_conflict_marks_is_refused() {
    let root = tempfile::tempdir().expect("a temporary directory can be created");
    std::fs::write(root.path().join(LOCK_NAME), "<<<<<<< mine\n[files]\n")
        .expect("the directory is writable");
    let message = Lock::load(root.path())
        .expect_err("conflict marks are not TOML")
        .to_string();
    assert!(message.contains("--rebase"), "{message}");
}
