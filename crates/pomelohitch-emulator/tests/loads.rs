//! Plays of the loads that lie beside the crate.

use std::path::{Path, PathBuf};

use pomelohitch_emulator::compare::{Difference, differences, play_all};
use pomelohitch_emulator::load::{self, Load};
use pomelohitch_emulator::play::{Outcome, play};
use pomelohitch_emulator::policies;
use pomelohitch_sched::Settings;

const SEEDS: [u64; 4] = [1, 2, 3, 4];

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("loads")
        .join(name)
}

fn load(name: &str) -> Load {
    load::read(&path(name)).expect("the load is sound")
}

fn without(names: &str) -> Settings {
    Settings {
        policy: policies::without(names).expect("they are mechanisms"),
        ..Settings::default()
    }
}

fn mean(outcomes: &[Outcome], figure: &str) -> f64 {
    let all = differences(outcomes, outcomes);
    let found = all.iter().find(|d: &&Difference| d.figure == figure);
    found.expect("there is such a figure").after
}

/// Moves that waited for their record while the log was away were made when it came back, and ended
/// what had been started on their instances meanwhile.
#[test]
fn no_load_breaks_a_promise() {
    for name in [
        "turns.toml",
        "orders-lost.toml",
        "one-presses.toml",
        "log-away.toml",
        "log-slow.toml",
        "steady.toml",
        "crashes.toml",
    ] {
        for outcome in play_all(&load(name), &Settings::default(), &SEEDS) {
            assert!(outcome.broken.is_empty(), "{name}: {:?}", outcome.broken);
        }
    }
}

/// Queues in turn ask for more than their pools hold. Almost all callers are to be served in time.
#[test]
fn turns_are_served_in_time() {
    let outcomes = play_all(&load("turns.toml"), &Settings::default(), &SEEDS);
    assert!(mean(&outcomes, "in time") > 0.97);
    assert!(mean(&outcomes, "of no use") < 0.005);
}

/// Some jobs crash the endpoints that start them, others crash by themselves, and room shrinks. No
/// sound job is to be given up, and callers are to be surely better off than without isolation.
#[test]
fn sound_jobs_are_served_beside_jobs_that_crash_endpoints() {
    let seeds: Vec<u64> = (1..=12).collect();
    let crashes = load("crashes.toml");
    let mixed = play_all(&crashes, &without("isolation"), &seeds);
    let apart = play_all(&crashes, &Settings::default(), &seeds);
    assert!(mean(&apart, "given up") < 0.5);
    let gains = differences(&mixed, &apart);
    let worth = gains.iter().find(|d| d.figure == "worth");
    assert!(
        worth.is_some_and(|d| d.is_sure() && d.difference > 0.0),
        "{worth:?}"
    );
}

/// One order in eighteen gets no answer. With eleven tasks a job, half of all jobs lose one.
#[test]
fn callers_are_served_in_time_where_orders_are_lost() {
    let outcomes = play_all(&load("orders-lost.toml"), &Settings::default(), &SEEDS);
    assert!(mean(&outcomes, "in time") > 0.93);
}

/// One workspace sends six times its usual. The worst served of the others is to be surely better off
/// than where nobody is put off, and nobody is to wait for ever.
#[test]
fn a_workspace_that_presses_does_not_take_the_others_service() {
    let seeds: Vec<u64> = (1..=20).collect();
    let pressed = load("one-presses.toml");
    let equal = play_all(&pressed, &without("deferral"), &seeds);
    let shared = play_all(&pressed, &Settings::default(), &seeds);
    let gains = differences(&equal, &shared);
    let worst = gains.iter().find(|d| d.figure == "worst workspace");
    assert!(
        worst.is_some_and(|d| d.is_sure() && d.difference > 0.0),
        "{worst:?}"
    );
    assert!(mean(&shared, "of no use") < 0.005);
}

#[test]
fn the_same_seed_is_the_same_play() {
    let load = load("steady.toml");
    let settings = Settings::default();
    assert_eq!(play(&load, &settings, 7), play(&load, &settings, 7));
}

#[test]
fn a_load_that_cannot_be_played_is_refused_with_the_fix() {
    let text = std::fs::read_to_string(path("steady.toml")).expect("it is there");
    let told = |text: String| {
        let error = load::parse(&text, "a.toml").expect_err("it is refused");
        error.to_string()
    };
    insta::assert_snapshot!(
        told(text.replace("seconds = 24.0", "seconds = 0.0")),
        @"a.toml: seconds: 1 to 600"
    );
    insta::assert_snapshot!(
        told(text.replace("service = \"only\"", "service = \"other\"")),
        @"a.toml: queues.service: the name of a service"
    );
    assert!(told(text.replace("seconds =", "secs =")).contains("unknown field `secs`"));
}

#[test]
fn mechanisms_are_named() {
    assert!(policies::without("nothing-like-it").is_none());
    let policy = policies::without("promotion,late-after=2").expect("both are known");
    assert!(!policy.promotes_expiring);
    assert!((policy.late_factor - 2.0).abs() < f64::EPSILON);
}

/// The log takes a quarter of a second for an append. With one at a time each record waits for up to
/// two of them, and most jobs of a turn are late by that.
#[test]
fn more_callers_are_served_in_time_with_appends_side_by_side() {
    let together = load("log-slow.toml");
    let one_by_one = Load {
        appends_at_once: 1,
        ..together.clone()
    };
    let before = play_all(&one_by_one, &Settings::default(), &SEEDS);
    let after = play_all(&together, &Settings::default(), &SEEDS);
    assert!(mean(&after, "in time") > mean(&before, "in time") + 0.04);
}
