//! The admin API of running entry instances.

use std::path::Path;
use std::time::Duration;

use pomelohitch_core::key;
use pomelohitch_standin::caller::{self, Call, Outcome};
use pomelohitch_standin::config::TEAMS;
use pomelohitch_standin::daemon::{ADMIN_KEY, Daemon};
use pomelohitch_standin::{CallFaults, log};
use serde_json::{Value, json};

use crate::support::{Fleet, WAIT_TIMEOUT, next_id, wait_until};

fn post(entry: &Daemon, path: &str, body: &Value) -> (u16, String) {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(20)))
        .http_status_as_error(false)
        .build()
        .new_agent();
    let req = agent.post(format!("http://{}{path}", entry.admin));
    let req = req.header("Authorization", format!("Bearer {ADMIN_KEY}"));
    let mut answer = req.send(body.to_string()).expect("the port answers");
    let text = answer
        .body_mut()
        .read_to_string()
        .expect("the body is UTF-8");
    (answer.status().as_u16(), text)
}

fn is_accepted(fleet: &Fleet, entry: usize, key: &str) -> bool {
    let call = Call {
        id: next_id(),
        key: key.into(),
        ..Call::default()
    };
    caller::send(&caller::agent(), fleet.entries[entry].callers, &call) == Outcome::Complete
}

/// A key is withdrawn while the log is down, so that nothing can be published. It must still be
/// refused everywhere within seconds.
#[test]
fn a_key_is_withdrawn_everywhere_while_the_log_is_down() {
    let fleet = Fleet::start(3, 2);
    let (_, leaked) = TEAMS[0];
    assert!(is_accepted(&fleet, 2, leaked));
    fleet.log.set_faults(log::Faults {
        calls: CallFaults {
            down: true,
            ..CallFaults::default()
        },
        keep: None,
    });
    let hash = json!({ "hash": key::hash(leaked) });
    let (status, _) = post(&fleet.entries[0], "/v1/admin/keys/withdraw", &hash);
    assert_eq!(status, 503);
    wait_until("the key is refused everywhere", || {
        (0..3).all(|entry| !is_accepted(&fleet, entry, leaked))
    });
    assert!((0..3).all(|entry| is_accepted(&fleet, entry, TEAMS[1].1)));

    fleet.log.set_faults(log::Faults::default());
    let (status, _) = post(&fleet.entries[0], "/v1/admin/keys/withdraw", &hash);
    assert_eq!(status, 200);
    wait_until("the withdrawal is recorded", || {
        !fleet.state().withdrawn.is_empty()
    });
}

#[test]
fn a_repeated_drain_over_the_api_is_a_graceful_shutdown() {
    let mut fleet = Fleet::start(2, 1);
    for _ in 0..2 {
        assert_eq!(
            post(&fleet.entries[0], "/v1/admin/drain", &json!({})).0,
            202
        );
    }
    assert_eq!(fleet.entries[0].wait(WAIT_TIMEOUT), Some(0));
}

#[test]
fn maintenance_is_paused_and_resumed_over_the_api() {
    let fleet = Fleet::start(1, 2);
    let (status, _) = post(
        &fleet.entries[0],
        "/v1/admin/maintain",
        &json!({"pause": {"pool": null}}),
    );
    assert_eq!(status, 200);
    wait_until("maintenance is paused", || fleet.state().waves.all_paused);
    let unknown = json!({"pause": {"pool": "gone"}});
    let (status, text) = post(&fleet.entries[0], "/v1/admin/maintain", &unknown);
    assert_eq!(
        (status, text.contains("unknown-pool")),
        (409, true),
        "{text}"
    );
}

/// Logs are kept for long, and more people read them than may know a key: a key in a log is a
/// leaked key.
#[test]
fn the_logs_of_a_run_hold_no_key() {
    let mut fleet = Fleet::start(1, 1);
    assert!(is_accepted(&fleet, 0, TEAMS[0].1));
    assert!(!is_accepted(&fleet, 0, "pmh_unknown_key"));
    let hash = json!({ "hash": key::hash(TEAMS[0].1) });
    post(&fleet.entries[0], "/v1/admin/keys/withdraw", &hash);
    post(&fleet.entries[0], "/v1/admin/drain", &json!({}));
    assert_eq!(fleet.entries[0].wait(WAIT_TIMEOUT), Some(0));

    let url = fleet.log.url().replace([':', '/'], "-");
    let name = format!("{url}-{}.log", fleet.entries[0].member);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = std::fs::read_to_string(path).expect("the process wrote its log there");
    assert!(text.contains("an operator withdrew a key"), "{text}");
    for key in [TEAMS[0].1, TEAMS[1].1, ADMIN_KEY, "pmh_unknown_key"] {
        assert!(!text.contains(key), "a key is in the log: {text}");
    }
}
