//! Who leads next, and what counts as a sign of life.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitchd::fleet::clock::{self, FleetTime};
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::succession::{asked, deference, larger, successor};
use pomelohitchd::fleet::wire::{Leader, Member, ProbeReply};

use super::site::{nowhere, site};

fn member(port: u16, up_ms: u64) -> (SocketAddr, ProbeReply) {
    let reply = ProbeReply {
        epoch: 1,
        heard_ms: 100,
        has_store: true,
        is_leaving: false,
        up_ms,
        power: 250,
    };
    (([127, 0, 0, 1], port).into(), reply)
}

/// Guards against hundreds of members that each ask all others at the same moment.
#[test]
fn few_members_are_asked_about_a_silent_leader() {
    let members: Vec<_> = (1..=300)
        .map(|n| SocketAddr::from(([10, 0, 0, 1], n)))
        .collect();
    let first = asked(members.clone(), 1);
    assert_eq!(first.len(), 24);
    assert_ne!(first, asked(members.clone(), 2));
    assert_eq!(asked(members[..24].to_vec(), 1), members[..24]);
}

/// Members are restarted one after another. Handed to one whose turn is still to come, the
/// leadership changes again two seconds later, and each change holds work back.
#[test]
fn the_member_that_started_last_leads_next() {
    let members = [member(1, 60_000), member(2, 2_000), member(3, 61_000)];
    assert_eq!(successor(&members), Some(members[1].0));
}

#[test]
fn a_member_without_the_store_or_that_leaves_does_not_lead_next() {
    let mut members = [member(1, 60_000), member(2, 2_000), member(3, 1_000)];
    members[1].1.has_store = false;
    members[2].1.is_leaving = true;
    assert_eq!(successor(&members), Some(members[0].0));
    members[0].1.has_store = false;
    assert_eq!(successor(&members), None);
}

/// Entry instances of an eighth of a core were out of processor time as leaders of a fleet of 350
/// endpoints, and every start came late; ones of half a core stood by idle.
#[test]
fn the_largest_member_leads_next() {
    let mut members = [member(1, 60_000), member(2, 2_000), member(3, 61_000)];
    members[0].1.power = 500;
    members[1].1.power = 120;
    members[2].1.power = 500;
    assert_eq!(successor(&members), Some(members[0].0));
    members[0].1.has_store = false;
    assert_eq!(successor(&members), Some(members[2].0));
}

/// Many small members notice a silent leader together with a few large ones. The first claim wins,
/// which would mostly be one of the small ones.
#[test]
fn small_members_leave_the_first_claim_to_large_ones() {
    let sized = |power| Member {
        addr: nowhere(),
        power,
        began_ms: 1,
    };
    let members = [sized(120), sized(250), sized(500)];
    assert!(deference(120, &members) > deference(500, &members));
    assert!(deference(500, &members).is_zero());
    assert!(
        deference(400, &members).is_zero(),
        "the difference is small"
    );
    assert_eq!(larger(200, &members), [members[2].addr]);
}

/// All processes are restarted, and read the record of a leader that is gone. Taken for a sign of
/// life it would keep them waiting for its heartbeats for another second.
#[test]
fn an_old_record_of_a_leader_is_no_sign_of_life() {
    let shared = Shared::new(site());
    let began = shared.view().leader_heard_at;
    let leader = Leader {
        epoch: 7,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
    };
    assert!(shared.observe_leader(&leader, false));
    assert_eq!(shared.view().leader_heard_at, began);
    let later = Leader {
        epoch: 8,
        ..leader.clone()
    };
    assert!(shared.observe_leader(&later, true));
    assert!(
        clock::steady()
            .saturating_sub(shared.view().leader_heard_at)
            .as_millis()
            < 500
    );
    assert!(!shared.observe_leader(&leader, true));
}

fn told(epoch: u64, ms: u64, at_ms: u64) -> FleetTime {
    let at = Duration::from_millis(at_ms);
    FleetTime { epoch, ms, at }
}

#[test]
fn the_least_delayed_reading_of_the_newest_leader_counts() {
    let first = told(1, 50_000, 1_000);
    assert_eq!(first.at(Duration::from_millis(3_500)), 52_500);
    assert!(
        told(1, 51_000, 1_990).is_better_than(&first),
        "less delayed"
    );
    assert!(
        !told(1, 51_000, 2_400).is_better_than(&first),
        "more delayed"
    );
    assert!(
        told(2, 40_000, 2_400).is_better_than(&first),
        "a later leader"
    );
    assert!(
        !told(0, 90_000, 2_400).is_better_than(&first),
        "a former leader"
    );
}

/// Guards against a successor that takes up its own time of day, which differs from its leader's.
#[test]
fn a_member_keeps_the_time_that_its_leader_told() {
    let shared = Shared::new(site());
    assert_eq!(shared.fleet_ms(), None);
    shared.update_fleet_ms(3, Some(7_000));
    let told = shared.fleet_ms().expect("a leader has told it");
    assert!((7_000..8_000).contains(&told), "{told}");
    shared.update_fleet_ms(2, Some(99_000));
    shared.update_fleet_ms(3, None);
    assert!(shared.fleet_ms().is_some_and(|ms| ms < 9_000));
}

/// Guards against taking the age of a sign of life for nothing: it is only a lower bound.
#[test]
fn an_old_sign_of_life_bounds_the_fleets_time() {
    let shared = Shared::new(site());
    shared.update_min_fleet_ms(4, Some(50_000));
    assert_eq!(shared.fleet_ms(), None);
    let least = shared.min_fleet_ms().expect("a sign was read");
    assert!((50_000..51_000).contains(&least), "{least}");
    shared.update_min_fleet_ms(3, Some(90_000));
    assert!(shared.min_fleet_ms().is_some_and(|ms| ms < 52_000));
}
