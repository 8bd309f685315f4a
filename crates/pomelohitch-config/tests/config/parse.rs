use std::time::Duration;

use pomelohitch_config::parse::parse;

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn faults(text: &str) -> String {
    let faults = parse("a/pomelohitch.toml", text).expect_err("the text has faults");
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn every_field_is_read_and_defaults_fill_the_rest() {
    let text = format!(
        "[team.lifts]\nshare = 3\nlimit = 4_000\nkeys = [\"{HASH}\"]\n\
         [pool.sales]\n[pool.tools]\nspare = true\nfloor = 2\n\
         [service.passes]\npool = \"sales\"\nmin_available = 6\n\
         [service.passes.objective]\nwithin_ms = 800\ngood_percent = 99.95\n"
    );
    let file = parse("pomelohitch.toml", &text)
        .expect("the text is valid")
        .file;
    assert_eq!(file.teams[0].limit, 4000);
    assert_eq!(&*file.teams[0].keys[0], HASH);
    assert!(file.pools[1].spare);
    let service = &file.services[0];
    assert_eq!(service.timeout, Duration::from_secs(10));
    assert_eq!(
        (service.slots, service.connections, service.queue),
        (8, 64, 200)
    );
    let objective = service
        .objective
        .as_ref()
        .expect("the text sets the objective");
    assert_eq!(objective.good_ppm, 999_500);
    assert_eq!(objective.window, Duration::from_hours(28 * 24));
}

/// Reporting only the first fault would cost the operator one run per fault.
#[test]
fn all_faults_of_a_file_are_reported_with_line_and_fix() {
    let text = "[team.lifts]\nshare = 0\nlimits = 4\n\n[service.passes]\npool = 7\n\
                min_available = -1\ntimeout_ms = 99999999\n[service.passes.objective]\n\
                within_ms = 1\ngood_percent = 100\n[queue.x]\n[pool.\"a b\"]\n";
    insta::assert_snapshot!(faults(text), @r##"
    a/pomelohitch.toml:1: team 'lifts' has no limit; add limit = ... (0 to 1000000)
    a/pomelohitch.toml:2: share = 0 of team 'lifts'; give 1 to 1000000
    a/pomelohitch.toml:3: unknown field 'limits' of team 'lifts'; fields are share, limit, keys
    a/pomelohitch.toml:6: pool = 7 of service 'passes'; give an id
    a/pomelohitch.toml:7: min_available = -1 of service 'passes'; give 0 to 100000
    a/pomelohitch.toml:8: timeout_ms = 99999999 of service 'passes'; give 1 to 3600000
    a/pomelohitch.toml:11: good_percent = 100 of objective 'passes'; give above 0, below 100
    a/pomelohitch.toml:12: unknown section 'queue'; sections are team, pool, service
    a/pomelohitch.toml:13: 'a b' can't be the id of a pool; use 1 to 63 letters, digits, '-' or '_'
    "##);
}

#[test]
fn invalid_toml_and_a_duplicate_table_are_reported_with_their_lines() {
    let text = "[pool.sales]\nfloor = = 2\n[pool.sales]\n[pool.tools]\nspare = maybe\n";
    insta::assert_snapshot!(faults(text), @r##"
    a/pomelohitch.toml:2: extra `=`, expected nothing; write it as TOML
    a/pomelohitch.toml:2: unexpected key or value, expected newline, `#`; write it as TOML
    a/pomelohitch.toml:3: duplicate key; remove or rename one of the two
    a/pomelohitch.toml:5: spare = "maybe" of pool 'tools'; give true or false
    a/pomelohitch.toml:5: string values must be quoted, expected literal string; write it as TOML
    "##);
}

/// An operator pastes a secret key in place of its hash. Faults are printed to terminals and build
/// logs, so their text must not contain the key.
#[test]
fn a_key_in_place_of_its_hash_is_refused_and_not_shown() {
    let text = "[team.lifts]\nshare = 1\nlimit = 1\nkeys = [\"pmh_secret\"]\n";
    let message = faults(text);
    assert!(message.contains("pomelohitch.toml:4:"), "{message}");
    assert!(!message.contains("secret"), "{message}");
}

#[test]
fn a_percentage_keeps_four_decimals_exactly() {
    for (text, ppm) in [("99.9999", 999_999), ("0.0001", 1), ("50", 500_000)] {
        let text = format!(
            "[service.s]\npool = \"p\"\nmin_available = 1\n[service.s.objective]\n\
             within_ms = 5\ngood_percent = {text}\n"
        );
        let parsed = parse("f", &text).expect("the text is valid");
        let objective = parsed.file.services[0].objective.clone();
        assert_eq!(objective.map(|o| o.good_ppm), Some(ppm));
    }
}

#[test]
fn parsing_never_panics_on_any_input() {
    pomelohitch_property::check(|bytes: &Vec<u8>| {
        if let Ok(text) = std::str::from_utf8(bytes) {
            let _ = parse("f", text);
        }
    });
}
