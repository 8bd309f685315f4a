//! Concurrent publishes, and withdrawn keys.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::{FleetFile, Rejection, State, Verdict, key};
use pomelohitch_platform::Follower;
use pomelohitch_standin::Daemon;
use pomelohitch_standin::caller::{self, Outcome};
use pomelohitch_standin::config::{self, PATH, SERVICE};
use pomelohitchd::freshness::BOUND;
use rustix::process::Signal;

use crate::support::{Fleet, call, next_id, wait_until};

/// [`config::small`] with another queue length.
fn with_queue(queue: u32) -> FleetFile {
    let mut file = config::small();
    file.services[0].queue = queue;
    file
}

/// Two operators publish changes to the same version of a file at the same moment. One takes effect
/// everywhere; the other is rejected, and the rejection names the offset of the first.
#[test]
fn of_two_publishes_at_once_one_comes_into_force_and_the_other_names_its_offset() {
    let fleet = Fleet::start(3, 1);
    let base = fleet.state().config.files[PATH].version;
    let (one, other) = std::thread::scope(|scope| {
        let publish = |queue| config::publish(&fleet.client, with_queue(queue), Some(base));
        let one = scope.spawn(move || publish(11));
        let other = scope.spawn(move || publish(22));
        let first = |handle: std::thread::ScopedJoinHandle<'_, _>| {
            let appended: pomelohitch_platform::Result<pomelohitch_platform::log::Appended> =
                handle.join().expect("no thread panics");
            appended.expect("the log is up").first
        };
        (first(one), first(other))
    });
    let (winner, loser) = (one.min(other), one.max(other));
    let log = pomelohitch_platform::Log::http(&fleet.log.url(), Duration::from_secs(5));
    let mut follower = Follower::new(Arc::new(log), State::default());
    let applied = follower.catch_up().expect("the log is up");
    let verdict = |offset| {
        let found = applied.iter().find(|applied| applied.offset == offset);
        found.and_then(|applied| applied.verdict.clone())
    };
    assert_eq!(verdict(winner), Some(Verdict::Accepted));
    let rejection = Rejection::BaseChanged {
        path: PATH.into(),
        version: Some(winner),
    };
    assert_eq!(verdict(loser), Some(Verdict::Rejected(rejection)));
    let queue = if winner == one { 11 } else { 22 };
    wait_until("every entry instance has read both", || {
        let states = fleet.entries.iter().map(Daemon::state);
        let mut states = states.flatten().filter(|state| state.next > loser);
        states.all(|state| state.config.services[SERVICE].queue == queue)
            && fleet.entries.iter().all(Daemon::is_ready)
    });
}

/// The configuration without the first team's key.
fn without_key() -> FleetFile {
    let mut file = config::small();
    file.teams[0].keys = vec![key::hash("another key")];
    file
}

/// A key that a publish removes is refused at every entry instance without a restart, and the other
/// team is still served.
#[test]
fn a_withdrawn_key_stops_at_every_entry_instance() {
    let fleet = Fleet::start(3, 1);
    let base = fleet.state().config.files[PATH].version;
    assert!((0..3).all(|entry| fleet.probe(entry) == Outcome::Complete));
    config::publish(&fleet.client, without_key(), Some(base)).expect("the log is up");
    for entry in 0..3 {
        wait_until("it is refused", || fleet.probe(entry) != Outcome::Complete);
        let refused = fleet.probe(entry);
        assert!(
            matches!(&refused, Outcome::NotRun(text) if text.starts_with("401")),
            "{refused:?}"
        );
        let mut other = call(&next_id());
        other.key = config::TEAMS[1].1.into();
        let entry = fleet.entries[entry].callers;
        let outcome = caller::send(&caller::agent(), entry, &other);
        assert_eq!(outcome, Outcome::Complete);
    }
}

/// An entry instance is paused while a key is withdrawn, and resumes with queued requests that
/// carry the key. It has not read the withdrawal yet, but finds its state older than the freshness
/// bound and runs none of them.
#[test]
fn an_entry_instance_that_wakes_from_a_pause_accepts_no_key_withdrawn_meanwhile() {
    let fleet = Fleet::start(3, 1);
    let base = fleet.state().config.files[PATH].version;
    let paused = &fleet.entries[2];
    paused.signal(Signal::STOP);
    let since = Instant::now();
    config::publish(&fleet.client, without_key(), Some(base)).expect("the log is up");
    for entry in 0..2 {
        wait_until("it is refused", || fleet.probe(entry) != Outcome::Complete);
    }
    wait_until("the freshness bound has passed", || since.elapsed() > BOUND);
    let outcomes = std::thread::scope(|scope| {
        let waiting: Vec<_> = (0..16).map(|_| scope.spawn(|| fleet.probe(2))).collect();
        // The requests only need to have been sent; some arrive before the pause ends, some after.
        std::thread::sleep(Duration::from_millis(200));
        paused.signal(Signal::CONT);
        let outcomes = waiting
            .into_iter()
            .map(|one| one.join().expect("no thread panics"));
        outcomes.collect::<Vec<_>>()
    });
    assert!(!outcomes.contains(&Outcome::Complete), "{outcomes:?}");
    wait_until(
        "it is refused",
        || matches!(fleet.probe(2), Outcome::NotRun(text) if text.starts_with("401")),
    );
}
