use pomelohitch_config::{LOCK_NAME, Lock};

#[test]
fn a_lock_reads_back_as_it_was_written() {
    let root = tempfile::tempdir().expect("a temporary directory");
    assert_eq!(
        Lock::load(root.path()).expect("none is there"),
        Lock::default()
    );
    let lock = Lock {
        files: [("a/pomelohitch.toml".into(), 17)].into(),
    };
    lock.store(root.path()).expect("it can be written");
    assert_eq!(Lock::load(root.path()).expect("it is there"), lock);
}

/// A merge of two branches leaves conflict marks in the lock file. Reading it as empty would plan
/// every file as an addition, so loading fails with an error that says how to recover.
#[test]
fn a_lock_with_conflict_marks_is_refused() {
    let root = tempfile::tempdir().expect("a temporary directory");
    std::fs::write(root.path().join(LOCK_NAME), "<<<<<<< mine\n[files]\n").expect("written");
    let told = Lock::load(root.path())
        .expect_err("it is broken")
        .to_string();
    assert!(told.contains("--rebase"), "{told}");
}
