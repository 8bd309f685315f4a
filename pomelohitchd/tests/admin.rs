//! Who may administer an entry instance.

use clap::Parser as _;
use pomelohitch_core::key;
use pomelohitchd::admin::operator::is_known;
use pomelohitchd::settings::Settings;
use rouille::Request;

fn settings(hashes: &str) -> Settings {
    let fixed = [
        "pomelohitchd",
        "--member=a",
        "--zone=z",
        "--log-url=http://127.0.0.1:1",
        "--instances-url=http://127.0.0.1:1",
        "--workers-url=http://127.0.0.1:1",
        "--admin-key-hash",
    ];
    Settings::try_parse_from(fixed.into_iter().chain([hashes])).expect("the flags are valid")
}

fn request(authorization: &str) -> Request {
    let headers = vec![("Authorization".into(), authorization.into())];
    Request::fake_http("GET", "/v1/admin/status", headers, Vec::new())
}

/// While a key is replaced, operators and pipelines still use the old one. If only one key worked
/// at a time, there would be a moment without access.
#[test]
fn the_old_and_the_new_key_work_while_both_hashes_are_set() {
    let both = settings(&format!("{},{}", key::hash("old"), key::hash("new")));
    both.check().expect("two hashes are valid");
    let new = settings(&key::hash("new"));
    for (shown, by_both, by_new) in [
        ("old", true, false),
        ("new", true, true),
        ("x", false, false),
    ] {
        let req = request(&format!("Bearer {shown}"));
        assert_eq!(is_known(&both, &req), by_both, "{shown}");
        assert_eq!(is_known(&new, &req), by_new, "{shown}");
    }
}

#[test]
fn a_hash_shown_as_a_key_and_a_request_without_one_are_unknown() {
    let hash = key::hash("old");
    let settings = settings(&hash);
    assert!(!is_known(&settings, &request(&format!("Bearer {hash}"))));
    assert!(!is_known(&settings, &request("")));
    let without = Request::fake_http("GET", "/", Vec::new(), Vec::new());
    assert!(!is_known(&settings, &without));
}

/// A key that is set in place of its hash makes the start fail. The error message ends up in logs
/// and must not contain the key.
#[test]
fn a_key_in_place_of_its_hash_is_refused_and_not_shown() {
    let err = settings("pmh_secret")
        .check()
        .expect_err("the value is not a hash");
    assert!(!err.to_string().contains("secret"), "{err}");
}
