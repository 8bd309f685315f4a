//! Tests of links between entry instances, over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use pomelohitch_peer::links::{Clock, Error, is_due};
use pomelohitch_peer::{Command, Handlers, Heartbeat, Links, Peer, Settings};

/// Far above what any step here takes; a test that reaches it has failed.
const CAP: Duration = Duration::from_secs(30);

/// An event that a member's handlers received.
#[derive(Debug, PartialEq, Eq)]
enum Noticed {
    Beat(Heartbeat),
    Silent,
    Broken,
}

struct Member {
    links: Links,
    addr: SocketAddr,
    noticed: Receiver<Noticed>,
}

fn beat_of(member: &str) -> Heartbeat {
    Heartbeat {
        member: member.into(),
        incarnation: 7,
        next: 42,
        leaving: true,
        withdrawn_keys: vec!["aa".into(), "bb".into()],
        leaving_instances: vec!["runner-1".into()],
        ..Heartbeat::default()
    }
}

fn start(member: &'static str) -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, noticed) = channel();
    let settings = Settings {
        interval: Duration::from_millis(10),
        timeout: Duration::from_millis(100),
    };
    let links = Links::start(listener, settings, move || handlers(member, &tx)).unwrap();
    Member {
        links,
        addr,
        noticed,
    }
}

fn handlers(member: &'static str, tx: &Sender<Noticed>) -> Handlers {
    let (beats, errors) = (tx.clone(), tx.clone());
    Handlers {
        own_beat: Box::new(move || beat_of(member)),
        on_beat: Box::new(move |heard| {
            // The links set these two fields; the tests of the clock cover them.
            let beat = Heartbeat {
                clock: 0,
                echo: 0,
                ..heard.beat
            };
            let _ = beats.send(Noticed::Beat(beat));
        }),
        on_error: Box::new(move |_, error| {
            let noticed = match error {
                Error::Silent { .. } => Noticed::Silent,
                _ => Noticed::Broken,
            };
            let _ = errors.send(noticed);
        }),
        ..Handlers::default()
    }
}

fn follow(member: &Member, peer: &str, addr: SocketAddr) {
    let peers = vec![Peer {
        member: peer.into(),
        addr,
    }];
    member.links.commands.send(Command::Peers(peers)).unwrap();
}

fn wait_for(member: &Member, wanted: &Noticed) {
    while member
        .noticed
        .recv_timeout(CAP)
        .expect("noticed within the cap")
        != *wanted
    {}
}

#[test]
fn a_heartbeat_arrives_whole_in_both_directions() {
    let (one, two) = (start("one"), start("two"));
    follow(&one, "two", two.addr);
    wait_for(&one, &Noticed::Beat(beat_of("two")));
    wait_for(&two, &Noticed::Beat(beat_of("one")));
    one.links.stop();
    two.links.stop();
}

/// A connection between two entry instances stays open but stops delivering data, while a new
/// connection works. Without detection the member would get no permits, and the limits of teams
/// would stay fixed on it.
#[test]
fn a_connection_gone_silent_is_noticed_and_made_anew() {
    let one = start("one");
    let middle = TcpListener::bind("127.0.0.1:0").unwrap();
    follow(&one, "two", middle.local_addr().unwrap());
    let (silent, _) = middle.accept().unwrap();
    wait_for(&one, &Noticed::Silent);

    let (anew, _) = middle.accept().unwrap();
    let two = start("two");
    let beyond = TcpStream::connect(two.addr).unwrap();
    let forwarding = [
        (anew.try_clone(), beyond.try_clone()),
        (Ok(beyond), Ok(anew)),
    ];
    for (from, to) in forwarding {
        let (mut from, mut to) = (from.unwrap(), to.unwrap());
        std::thread::spawn(move || std::io::copy(&mut from, &mut to));
    }
    wait_for(&one, &Noticed::Beat(beat_of("two")));
    drop(silent);
    one.links.stop();
    two.links.stop();
}

/// A peer's process dies and another one takes over its address, which breaks the link. Members
/// that don't reconnect would regard the new process as dead and remove it.
#[test]
fn a_peer_that_was_replaced_is_connected_again() {
    let one = start("one");
    let two = start("two");
    let addr = two.addr;
    follow(&one, "two", addr);
    wait_for(&one, &Noticed::Beat(beat_of("two")));
    two.links.stop();
    wait_for(&one, &Noticed::Broken);

    let listener = TcpListener::bind(addr).expect("the address is free again");
    let (tx, _noticed) = channel();
    let again = Links::start(listener, Settings::default(), move || {
        handlers("again", &tx)
    });
    wait_for(&one, &Noticed::Beat(beat_of("again")));
    one.links.stop();
    again.unwrap().stop();
}

/// Two entry instances have links to each other, and the answer to a heartbeat carries the peer's
/// own state. If both sent at the full rate, an entry instance in a fleet of eight would use up its
/// budget for control traffic on redundant heartbeats.
#[test]
fn a_pair_shares_its_heartbeats() {
    const INTERVAL: Duration = Duration::from_secs(1);
    const ROUNDS: u32 = 800;
    let (mut left_out, mut exchanges) = ([0; 2], 0);
    let mut heard_at = Duration::ZERO;
    for half in 0..2 * ROUNDS {
        let now = INTERVAL * half / 2;
        let end = &mut left_out[half as usize % 2];
        if is_due(*end, Some(now.saturating_sub(heard_at)), INTERVAL) {
            (*end, heard_at) = (0, now);
            exchanges += 1;
        } else {
            *end += 1;
        }
    }
    assert!(
        (ROUNDS..=ROUNDS * 9 / 8).contains(&exchanges),
        "{exchanges}"
    );
}

/// Once no heartbeat of the peer arrives for an interval, the link sends its own again, so that a
/// dead peer is detected.
#[test]
fn a_silent_peer_is_asked() {
    let interval = Duration::from_secs(1);
    assert!(is_due(0, None, interval));
    assert!(is_due(0, Some(interval), interval));
    assert!(!is_due(0, Some(interval / 2), interval));
}

/// A heartbeat waits in a socket buffer while its receiver is paused. By its arrival time it would
/// look recent; the echoed value of the receiver's clock bounds its true age.
#[test]
fn an_echo_tells_when_the_clock_showed_it() {
    let started = Instant::now()
        .checked_sub(Duration::from_secs(9))
        .expect("the machine is up for longer");
    let clock = Clock::new(7, started);
    let shown_at_start = Clock::new(7, Instant::now()).now();
    let at = clock.time_of(shown_at_start).expect("it showed that");
    assert!(at.duration_since(started) < Duration::from_secs(1));
    assert!(clock.time_of(clock.now()).is_some());
}

/// A peer echoes the clock of an earlier process with the same member id, or has received no clock
/// yet. Neither bounds the age of its heartbeat.
#[test]
fn an_echo_of_another_clock_or_of_the_future_tells_nothing() {
    let clock = Clock::new(7, Instant::now());
    let before = Clock::new(6, Instant::now());
    let after = Clock::new(8, Instant::now());
    for echo in [0, before.now(), after.now(), clock.now() + 60_000] {
        assert_eq!(clock.time_of(echo), None);
    }
}
