//! Which members are declared dead, in virtual time.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{Incarnation, MemberId};
use pomelohitch_core::state::{Member, Members};
use pomelohitchd::liveness::Tracker;
use pomelohitchd::node::PeerSeen;

const LEASE: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(250);
/// One tick less than the lease.
const ALMOST: Duration = Duration::from_millis(2750);

/// Member `a` in a group of `a`, `b`, `c` and `d`, with a virtual clock.
struct World {
    now: Instant,
    tracker: Tracker,
    members: Members,
    peers: BTreeMap<MemberId, PeerSeen>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: Instant::now(),
            tracker: Tracker::default(),
            members: Members::default(),
            peers: BTreeMap::new(),
        };
        for (incarnation, id) in (1..).zip(["a", "b", "c", "d"]) {
            world.join(id, incarnation);
        }
        world
    }

    fn join(&mut self, id: &str, incarnation: Incarnation) {
        let member = Member {
            incarnation,
            zone: "z1".into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
        };
        self.members.by_id.insert(id.into(), member);
    }

    fn receive_heartbeat(&mut self, id: &str) {
        let seen = PeerSeen {
            incarnation: self.members.by_id[id].incarnation,
            next: 0,
            leaving: false,
            at: self.now,
            sent_after: None,
        };
        self.peers.insert(id.into(), seen);
    }

    fn check(&mut self) -> Vec<MemberId> {
        let dead = self
            .tracker
            .dead(self.now, LEASE, "a", &self.members, &self.peers);
        dead.into_iter().map(|leave| leave.member).collect()
    }

    /// Advances the clock while only `heard` send heartbeats; returns the members declared dead.
    fn advance(&mut self, time: Duration, heard: &[&str]) -> Vec<MemberId> {
        let end = self.now + time;
        let mut dead = Vec::new();
        while self.now < end {
            self.now += TICK;
            for id in heard {
                self.receive_heartbeat(id);
            }
            dead.extend(self.check());
        }
        dead.sort();
        dead.dedup();
        dead
    }
}

#[test]
fn a_silent_member_is_dead_after_its_lease() {
    let mut world = World::new();
    assert!(world.advance(LEASE, &["b", "c", "d"]).is_empty());
    assert!(world.advance(ALMOST, &["b", "c"]).is_empty());
    assert_eq!(world.advance(TICK, &["b", "c"]), [MemberId::from("d")]);
}

/// A new member needs a moment after its join until its connections are up. If silence counted from
/// before the join, every replacement would be removed at once and join again, until the others
/// reach it.
#[test]
fn a_member_that_just_joined_has_a_whole_lease() {
    let mut world = World::new();
    world.advance(Duration::from_mins(1), &["b", "c", "d"]);
    world.join("e", 9);
    assert!(world.advance(ALMOST, &["b", "c", "d"]).is_empty());
    world.join("b", 10);
    assert!(world.advance(TICK, &["c", "d", "e"]).is_empty());
}

/// A process is paused for a minute, for example by its hypervisor, and receives no heartbeats
/// meanwhile. If it took that for the silence of its peers, it would remove every other member, and
/// all permits would have to be granted anew.
#[test]
fn a_member_that_was_paused_removes_nobody() {
    let mut world = World::new();
    world.advance(LEASE, &["b", "c", "d"]);
    world.now += Duration::from_mins(1);
    assert!(world.check().is_empty());
    assert!(world.advance(LEASE, &["b", "c", "d"]).is_empty());
}

/// One entry instance loses its connections to all others and still reads the log. The others are
/// alive; they remove it meanwhile, and it joins again.
#[test]
fn a_member_that_hears_less_than_half_of_the_members_waits_longer() {
    let mut world = World::new();
    world.advance(LEASE, &["b", "c", "d"]);
    assert!(world.advance(4 * LEASE, &[]).is_empty());
    assert_eq!(world.advance(LEASE, &[]).len(), 3);
}
