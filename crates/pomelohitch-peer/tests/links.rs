//! Tests of links between entry instances, over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use pomelohitch_peer::links::{Clock, Error, is_heartbeat_due};
use pomelohitch_peer::{Command, Handlers, Heartbeat, Links, Peer, Settings};

/// Timeout of each wait, far above the duration of any step.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An event that a member's handlers received.
#[derive(Debug, PartialEq, Eq)]
enum Event {
    Received(Heartbeat),
    Timeout,
    Failed,
}

struct Member {
    links: Links,
    addr: SocketAddr,
    events: Receiver<Event>,
}

fn heartbeat_of(member: &str) -> Heartbeat {
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
    let (tx, events) = channel();
    let settings = Settings {
        interval: Duration::from_millis(10),
        timeout: Duration::from_millis(100),
    };
    let links = Links::start(listener, settings, move || handlers(member, &tx)).unwrap();
    Member {
        links,
        addr,
        events,
    }
}

fn handlers(member: &'static str, tx: &Sender<Event>) -> Handlers {
    let (heartbeats, errors) = (tx.clone(), tx.clone());
    Handlers {
        own_heartbeat: Box::new(move || heartbeat_of(member)),
        on_heartbeat: Box::new(move |received| {
            // The links set these two fields; the tests of the clock cover them.
            let heartbeat = Heartbeat {
                clock: 0,
                echo: 0,
                ..received.heartbeat
            };
            let _ = heartbeats.send(Event::Received(heartbeat));
        }),
        on_error: Box::new(move |_, error| {
            let event = match error {
                Error::Timeout { .. } => Event::Timeout,
                _ => Event::Failed,
            };
            let _ = errors.send(event);
        }),
        ..Handlers::default()
    }
}

fn connect(member: &Member, peer: &str, addr: SocketAddr) {
    let peers = vec![Peer {
        member: peer.into(),
        addr,
    }];
    member.links.commands.send(Command::Peers(peers)).unwrap();
}

fn wait_for(member: &Member, wanted: &Event) {
    while member
        .events
        .recv_timeout(WAIT_TIMEOUT)
        .expect("the event arrives within the timeout")
        != *wanted
    {}
}

#[test]
fn all_fields_of_a_heartbeat_arrive_in_both_directions() {
    let (one, two) = (start("one"), start("two"));
    connect(&one, "two", two.addr);
    wait_for(&one, &Event::Received(heartbeat_of("two")));
    wait_for(&two, &Event::Received(heartbeat_of("one")));
    one.links.stop();
    two.links.stop();
}

/// A connection between two entry instances stays open but stops delivering data, while a new
/// connection works. Without detection the member would get no permits, and its shares of the
/// limits of teams would no longer change.
#[test]
fn an_unresponsive_connection_is_detected_and_replaced() {
    let one = start("one");
    let proxy = TcpListener::bind("127.0.0.1:0").unwrap();
    connect(&one, "two", proxy.local_addr().unwrap());
    let (unresponsive, _) = proxy.accept().unwrap();
    wait_for(&one, &Event::Timeout);

    let (second, _) = proxy.accept().unwrap();
    let two = start("two");
    let upstream = TcpStream::connect(two.addr).unwrap();
    let forwarding = [
        (second.try_clone(), upstream.try_clone()),
        (Ok(upstream), Ok(second)),
    ];
    for (from, to) in forwarding {
        let (mut from, mut to) = (from.unwrap(), to.unwrap());
        std::thread::spawn(move || std::io::copy(&mut from, &mut to));
    }
    wait_for(&one, &Event::Received(heartbeat_of("two")));
    drop(unresponsive);
    one.links.stop();
    two.links.stop();
}

/// A peer's process dies and another one takes over its address, which breaks the link. Members
/// that don't reconnect would regard the new process as dead and remove it.
#[test]
fn a_link_reconnects_to_a_replaced_peer() {
    let one = start("one");
    let two = start("two");
    let addr = two.addr;
    connect(&one, "two", addr);
    wait_for(&one, &Event::Received(heartbeat_of("two")));
    two.links.stop();
    wait_for(&one, &Event::Failed);

    let listener = TcpListener::bind(addr).expect("the address is free again");
    let (tx, _events) = channel();
    let replacement = Links::start(listener, Settings::default(), move || {
        handlers("replacement", &tx)
    });
    wait_for(&one, &Event::Received(heartbeat_of("replacement")));
    one.links.stop();
    replacement.unwrap().stop();
}

/// Two entry instances have links to each other, and the answer to a heartbeat carries the peer's
/// own state. If both sent at the full rate, an entry instance in a fleet of eight would use up its
/// budget for control traffic on redundant heartbeats.
#[test]
fn two_members_together_send_about_one_heartbeat_per_interval() {
    const INTERVAL: Duration = Duration::from_secs(1);
    const ROUNDS: u32 = 800;
    let (mut skipped, mut exchanges) = ([0; 2], 0);
    let mut last_exchange = Duration::ZERO;
    // The two members decide in turn, half an interval apart.
    for half in 0..2 * ROUNDS {
        let now = INTERVAL * half / 2;
        let own_skipped = &mut skipped[half as usize % 2];
        if is_heartbeat_due(
            *own_skipped,
            Some(now.saturating_sub(last_exchange)),
            INTERVAL,
        ) {
            (*own_skipped, last_exchange) = (0, now);
            exchanges += 1;
        } else {
            *own_skipped += 1;
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
fn a_heartbeat_is_due_when_the_peer_is_silent() {
    let interval = Duration::from_secs(1);
    assert!(is_heartbeat_due(0, None, interval));
    assert!(is_heartbeat_due(0, Some(interval), interval));
    assert!(!is_heartbeat_due(0, Some(interval / 2), interval));
}

/// A heartbeat waits in a socket buffer while its receiver is paused. By its arrival time it would
/// look recent; the echoed value of the receiver's clock bounds its true age.
#[test]
fn an_echo_yields_the_time_at_which_the_clock_had_its_value() {
    let started = Instant::now()
        .checked_sub(Duration::from_secs(9))
        .expect("the machine has been up for more than 9 s");
    let clock = Clock::new(7, started);
    let value_at_start = Clock::new(7, Instant::now()).now();
    let at = clock
        .time_of(value_at_start)
        .expect("the clock had this value");
    assert!(at.duration_since(started) < Duration::from_secs(1));
    assert!(clock.time_of(clock.now()).is_some());
}

/// A peer echoes the clock of an earlier process with the same member id, or has received no clock
/// yet. Neither bounds the age of its heartbeat.
#[test]
fn an_echo_of_another_clock_or_of_the_future_yields_no_time() {
    let clock = Clock::new(7, Instant::now());
    let lower = Clock::new(6, Instant::now());
    let higher = Clock::new(8, Instant::now());
    for echo in [0, lower.now(), higher.now(), clock.now() + 60_000] {
        assert_eq!(clock.time_of(echo), None);
    }
}
