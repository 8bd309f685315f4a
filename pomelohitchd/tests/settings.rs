//! Error messages about invalid settings.

use clap::Parser;
use pomelohitchd::settings::Settings;

fn settings(flags: &[&str]) -> Settings {
    let hash = "0".repeat(64);
    let given = [
        "pomelohitchd",
        "--member=entry-1",
        "--zone=zone-1",
        "--log-url=http://127.0.0.1:1",
        "--instances-url=http://127.0.0.1:2",
        "--workers-url=http://127.0.0.1:3",
        "--admin-key-hash",
        &hash,
    ];
    Settings::parse_from(given.iter().chain(flags))
}

#[test]
fn valid_settings_are_accepted() {
    assert!(settings(&[]).check().is_ok());
}

/// An entry instance is started with several invalid settings. If each start reported one of them,
/// fixing all would take as many starts.
#[test]
fn all_invalid_settings_are_reported_at_once() {
    let wrong = settings(&[
        "--heartbeat-ms=5",
        "--member-lease-ms=1",
        "--shutdown-ms=9999999",
    ]);
    let wrong = Settings {
        member: "".into(),
        log_url: "http://log.example:80".into(),
        ..wrong
    };
    let message = wrong
        .check()
        .expect_err("five settings are wrong")
        .to_string();
    insta::assert_snapshot!(message, @r"
    wrong settings:
    --member: is empty; give a name
    --log-url: 'http://log.example:80' isn't http://IP:PORT
    --shutdown-ms: 9999999 isn't 0 to 3600000
    --heartbeat-ms: 5 isn't 10 to 60000
    --member-lease-ms: 1 is below 20
    ");
}
