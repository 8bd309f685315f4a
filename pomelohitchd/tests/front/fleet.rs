//! Two entry instances behind one balancer.

use std::time::Instant;

use pomelohitch_core::record::{Body, Leave};
use pomelohitch_peer::Command;
use pomelohitch_permits::Resource;
use pomelohitchd::front::Limits;
use pomelohitchd::permits::keys;
use pomelohitchd::{freshness, peers, permits};

use crate::entry::{Entry, WAIT_TIMEOUT, problem, status, wait_until};
use crate::runner::Runner;

/// Whether all of them have heard from their peers and hold permits.
fn are_ready<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> bool {
    entries.into_iter().all(|entry| {
        let (held, _) = permits::permit_counts(&entry.node, &Resource::Team("valley".into()));
        held > 0 && freshness::is_fresh(&entry.node)
    })
}

/// A caller repeats a request, and the balancer sends the repetition to the other entry instance.
/// The request runs once, whichever of the two is its idempotency key's home.
#[test]
fn a_key_runs_once_over_both_entries() {
    let runner = Runner::answering("booked");
    let [(one, one_links), (two, two_links)] = Entry::pair(&[runner.addr]);
    let entries = [one, two];
    wait_until("permits arrive", || are_ready(&entries));
    for booking in 0..8 {
        let key = format!("Idempotency-Key: booking-{booking}");
        let first = entries[booking % 2].call("POST", "/s/passes/", &[&key]);
        assert!(first.ends_with("booked"), "{first}");
        let second = entries[(booking + 1) % 2].call("POST", "/s/passes/", &[&key]);
        assert_eq!(status(&second), 409, "{second}");
        assert_eq!(problem(&second)["ran"], "unknown");
    }
    assert_eq!(runner.count(), 8);
    drop((one_links, two_links));
}

/// Guards against refusing a request as a repeat while the request that was granted the key isn't
/// sent, and against losing the key with it.
#[test]
fn a_key_that_is_granted_but_not_used_refuses_nobody_as_a_repeat() {
    let runner = Runner::answering("booked");
    let [(one, one_links), (two, two_links)] = Entry::pair(&[runner.addr]);
    let entries = [one, two];
    wait_until("permits arrive", || are_ready(&entries));
    for booking in 0..4 {
        let key = format!("passes/valley/booking-{booking}");
        let granted = keys::claim(&entries[0].node, &key, Instant::now() + WAIT_TIMEOUT);
        let granted = granted.expect("nobody has the key");
        let header = format!("Idempotency-Key: booking-{booking}");
        let call = |timeout: &str| entries[1].call("POST", "/s/passes/", &[&header, timeout]);
        let waited = call("Request-Timeout-Ms: 200");
        assert_eq!(status(&waited), 503, "{waited}");
        assert_eq!(problem(&waited)["ran"], "no");
        keys::release(&entries[0].node, &granted);
        let served = call("Request-Timeout-Ms: 5000");
        assert!(served.ends_with("booked"), "{served}");
    }
    assert_eq!(runner.count(), 4);
    drop((one_links, two_links));
}

/// Guards against a key that stays taken because its release was sent while the home couldn't be
/// reached.
#[test]
fn a_release_reaches_a_home_that_was_away() {
    let runner = Runner::answering("booked");
    let [(one, one_links), (two, two_links)] = Entry::pair(&[runner.addr]);
    let entries = [one, two];
    wait_until("permits arrive", || are_ready(&entries));
    let deadline = || Instant::now() + WAIT_TIMEOUT;
    let granted: Vec<_> = (0..8)
        .map(|booking| keys::claim(&entries[0].node, &format!("booking-{booking}"), deadline()))
        .map(|granted| granted.expect("nobody has the key"))
        .collect();
    let commands = &one_links.commands;
    let disconnected = commands.send(Command::Peers(Vec::new()));
    disconnected.expect("the links run");
    for granted in &granted {
        keys::release(&entries[0].node, granted);
    }
    let _ = peers::follow_members(&entries[0].node, &one_links, None);
    wait_until("every key is free again", || {
        (0..8).all(|booking| {
            let key = format!("booking-{booking}");
            keys::check(&entries[1].node, &key, deadline()).is_ok()
        })
    });
    drop((one_links, two_links));
}

/// The other entry instance has left, and its record of granted keys is lost. Whether its keys have
/// run is unknown, so they are refused; keys of the remaining entry instance are served.
#[test]
fn keys_of_a_home_that_is_gone_are_refused_and_others_served() {
    let runner = Runner::answering("booked");
    let [(one, _one_links), (two, two_links)] = Entry::pair(&[runner.addr]);
    let entries = [one, two];
    wait_until("permits arrive", || are_ready(&entries));
    entries[1].node.permits.drop_links();
    two_links.stop();
    entries[0].apply(Body::Leave(Leave {
        member: "entry-2".into(),
        incarnation: 1,
    }));
    let mut refused = 0;
    for booking in 0..16 {
        let key = format!("Idempotency-Key: booking-{booking}");
        let answer = entries[0].call("POST", "/s/passes/", &[&key]);
        if status(&answer) == 503 {
            assert_eq!(problem(&answer)["step"], "check repeat", "{answer}");
            assert_eq!(problem(&answer)["ran"], "no");
            refused += 1;
        } else {
            assert!(answer.ends_with("booked"), "{answer}");
        }
    }
    assert!((1..16).contains(&refused), "{refused} of 16 refused");
    assert_eq!(runner.count(), 16 - refused);
}

/// One team sends more requests through both entry instances than the runner's 8 slots; together
/// they never exceed the slots.
#[test]
fn two_entries_share_the_slots_of_a_runner() {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicUsize, Ordering};
    let (now, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (running, seen_most) = (now.clone(), most.clone());
    let runner = Runner::start(move |_| {
        let at_once = running.fetch_add(1, Ordering::AcqRel) + 1;
        seen_most.fetch_max(at_once, Ordering::AcqRel);
        std::thread::sleep(std::time::Duration::from_millis(5));
        running.fetch_sub(1, Ordering::AcqRel);
        Some(crate::runner::ok("whole"))
    });
    let pair = Entry::pair(&[runner.addr]);
    wait_until("permits arrive", || {
        are_ready(pair.iter().map(|(entry, _)| entry))
    });
    std::thread::scope(|scope| {
        for caller in 0..32 {
            let entry = &pair[caller % 2].0;
            scope.spawn(move || {
                for _ in 0..5 {
                    let answer = entry.call("GET", "/s/passes/", &[]);
                    assert!(answer.ends_with("whole"), "{answer}");
                }
            });
        }
    });
    let most = most.load(Ordering::Acquire);
    assert!((2..=8).contains(&most), "{most} at once");
}

/// An entry instance was removed as dead and reads its removal in the log, while callers still
/// reach it. Other members may hold its permits by then; if it kept sending, the limits would be
/// exceeded.
#[test]
fn an_entry_that_was_ended_sends_nothing_until_it_joins_again() {
    let runner = Runner::answering("whole");
    let entry = Entry::start(&[runner.addr], Limits::default());
    let answer = entry.call("GET", "/s/passes/", &[]);
    assert!(answer.ends_with("whole"), "{answer}");
    entry.apply(Body::Leave(Leave {
        member: "entry-1".into(),
        incarnation: 0,
    }));
    entry.node.record_log_read(std::time::Instant::now());
    let answer = entry.call("GET", "/s/passes/", &["Request-Timeout-Ms: 300"]);
    assert_eq!(problem(&answer)["ran"], "no", "{answer}");
    assert_eq!(runner.count(), 1);
}
