use assert_cmd::Command;

fn pomelohitch(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pomelohitch"));
    command.args(args).env_clear();
    command
}

fn stdout(command: &mut Command) -> String {
    let output = command.output().expect("the binary can be run");
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

#[test]
fn a_new_key_is_shown_with_the_hash_that_the_daemon_compares() {
    let text = stdout(&mut pomelohitch(&["keys", "new", "--format", "json"]));
    let new: serde_json::Value = serde_json::from_str(&text).expect("the output is JSON");
    let (key, hash) = (new["key"].as_str(), new["hash"].as_str());
    let (key, hash) = (
        key.expect("the key is a string"),
        hash.expect("the hash is a string"),
    );
    assert!(pomelohitch_core::key::matches(key, hash));
}

#[test]
fn a_missing_flag_is_named_and_exits_with_2() {
    let output = pomelohitch(&["publish", "."])
        .output()
        .expect("the binary can be run");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("--log-url"), "{message}");
}

/// The log's address is wrong, or the log is down: the message and the exit code say that nothing
/// changed.
#[test]
fn an_unreachable_log_exits_with_4() {
    let root = tempfile::tempdir().expect("a temporary directory");
    std::fs::write(root.path().join("pomelohitch.toml"), "[pool.a]\n")
        .expect("the file can be written");
    let tree = root.path().to_str().expect("the path is UTF-8");
    // Nothing listens on the discard port of the loopback address.
    let args = [
        "--limit-s",
        "0",
        "--log-url",
        "http://127.0.0.1:9",
        "publish",
        tree,
    ];
    let output = pomelohitch(&args).output().expect("the binary can be run");
    assert_eq!(output.status.code(), Some(4));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("nothing was published"), "{message}");
}

#[test]
fn completions_and_man_pages_are_written() {
    let bash = stdout(&mut pomelohitch(&["completions", "bash"]));
    assert!(bash.contains("publish"));
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().to_str().expect("the path is UTF-8");
    stdout(&mut pomelohitch(&["man", path]));
    assert!(dir.path().join("pomelohitch-publish.1").exists());
}

/// An operator passes a leaked key as `--hash`. Withdrawing that text as a hash would succeed and
/// leave the key working. The error message must not contain the key.
#[test]
fn a_key_passed_as_a_hash_is_refused() {
    let args = [
        "--log-url",
        "http://127.0.0.1:9",
        "keys",
        "withdraw",
        "--hash",
        "pmh_secret",
    ];
    let output = pomelohitch(&args).output().expect("the binary can be run");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("hexadecimal") && !message.contains("secret"),
        "{message}"
    );
}
