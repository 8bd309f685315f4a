//! The choice of the next leader, what counts as a heartbeat of the leader, and the fleet's time.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitchd::fleet::clock::{self, FleetTime};
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::succession::{
    candidates, larger_member_delay, larger_members, probe_sample, successor,
};
use pomelohitchd::fleet::wire::{Claim, Leader, Member, ProbeReply};

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

/// Hundreds of members that notice a silent leader at the same moment must not each ask all others.
#[test]
fn few_members_are_asked_about_a_silent_leader() {
    let members: Vec<_> = (1..=300)
        .map(|n| SocketAddr::from(([10, 0, 0, 1], n)))
        .collect();
    let first = probe_sample(members.clone(), 1);
    assert_eq!(first.len(), 24);
    assert_ne!(first, probe_sample(members.clone(), 2));
    assert_eq!(probe_sample(members[..24].to_vec(), 1), members[..24]);
}

/// Guards against a question to each of hundreds of members whenever a leader has lost the store or
/// shuts down, and against asking none of the small ones when all large ones are lost.
#[test]
fn few_members_are_asked_whether_they_can_lead() {
    let member = |n: u16| Member {
        addr: SocketAddr::from(([10, 0, 0, 1], n)),
        power: if n <= 72 { 1_000 } else { 120 },
        began_ms: 1,
    };
    for count in [588, 1_176] {
        let members: Vec<_> = (1..=count).map(member).collect();
        let asked = candidates(&members, 1);
        let large = asked.iter().filter(|a| a.port() <= 72).count();
        assert_eq!((asked.len(), large), (24, 16), "of {count}");
    }
    let few: Vec<_> = (70..=80).map(member).collect();
    assert_eq!(candidates(&few, 1).len(), few.len());
    let alike: Vec<_> = (100..=200).map(member).collect();
    assert_eq!(candidates(&alike, 1).len(), 24);
}

/// In a rolling restart, a leadership handed to a member that is still to be restarted changes
/// again two seconds later, and each change delays work.
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

/// With 350 endpoints, entry instances of an eighth of a core ran out of processor time as leaders
/// and all starts were late, while instances of half a core were idle.
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

/// Many small members and a few large ones notice a silent leader together. The first claim wins,
/// which would usually be that of a small member.
#[test]
fn small_members_leave_the_first_claim_to_large_ones() {
    let sized = |power| Member {
        addr: nowhere(),
        power,
        began_ms: 1,
    };
    let members = [sized(120), sized(250), sized(500)];
    assert!(larger_member_delay(120, &members) > larger_member_delay(500, &members));
    assert!(larger_member_delay(500, &members).is_zero());
    assert!(
        larger_member_delay(400, &members).is_zero(),
        "the difference is small"
    );
    assert_eq!(larger_members(200, &members), [members[2].addr]);
}

/// After a restart of all processes, the record of the former leader must not count as a heartbeat:
/// members would wait for another second before they claim the leadership.
#[test]
fn an_old_record_of_a_leader_does_not_count_as_a_heartbeat() {
    let shared = Shared::new(site());
    let began = shared.view().leader_heard_at;
    let leader = Leader {
        epoch: 7,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
        quorum: 2,
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

/// Guards against operations of two leaders at a time, where the former one leads before its new process
/// has registered.
#[test]
fn an_older_record_of_its_member_does_not_show_that_a_leader_has_ended() {
    let leader = Leader {
        epoch: 7,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 20,
        quorum: 2,
    };
    let registered = [10, 20, 30].map(|began_ms| Member {
        addr: nowhere(),
        power: 500,
        began_ms,
    });
    let has_ended = registered.map(|member| leader.has_ended(&member));
    assert_eq!(has_ended, [false, false, true]);
}

/// Guards against a claim over a healthy leader, by a request to take over from an earlier one that
/// arrived late or while this member led.
#[test]
fn an_outdated_request_to_take_over_has_no_effect() {
    let shared = Shared::new(site());
    let leader = |epoch| Leader {
        epoch,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
        quorum: 2,
    };
    let request = Claim {
        epoch: 1,
        has_ended: true,
    };
    shared.observe_leader(&leader(1), true);
    shared.request_claim(request);
    assert_eq!(shared.take_claim(), Some(request));
    shared.request_claim(request);
    shared.observe_leader(&leader(2), true);
    assert_eq!(shared.take_claim(), None);
}

fn reading(epoch: u64, ms: u64, at_ms: u64) -> FleetTime {
    let at = Duration::from_millis(at_ms);
    FleetTime { epoch, ms, at }
}

#[test]
fn the_least_delayed_reading_of_the_newest_leader_counts() {
    let first = reading(1, 50_000, 1_000);
    assert_eq!(first.at(Duration::from_millis(3_500)), 52_500);
    assert!(
        reading(1, 51_000, 1_990).is_better_than(&first),
        "less delayed"
    );
    assert!(
        !reading(1, 51_000, 2_400).is_better_than(&first),
        "more delayed"
    );
    assert!(
        reading(2, 40_000, 2_400).is_better_than(&first),
        "a later leader"
    );
    assert!(
        !reading(0, 90_000, 2_400).is_better_than(&first),
        "a former leader"
    );
}

/// A successor must continue the fleet's time of its predecessor instead of its own time of day.
#[test]
fn a_member_keeps_the_time_that_its_leader_sent() {
    let shared = Shared::new(site());
    assert_eq!(shared.fleet_ms(), None);
    shared.update_fleet_ms(3, Some(7_000));
    let reading = shared.fleet_ms().expect("a leader has sent it");
    assert!((7_000..8_000).contains(&reading), "{reading}");
    shared.update_fleet_ms(2, Some(99_000));
    shared.update_fleet_ms(3, None);
    assert!(shared.fleet_ms().is_some_and(|ms| ms < 9_000));
}

/// The fleet's time in a liveness record of unknown age is only a lower bound.
#[test]
fn an_old_liveness_record_bounds_the_fleets_time() {
    let shared = Shared::new(site());
    shared.update_min_fleet_ms(4, Some(50_000));
    assert_eq!(shared.fleet_ms(), None);
    let least = shared.min_fleet_ms().expect("a liveness record was read");
    assert!((50_000..51_000).contains(&least), "{least}");
    shared.update_min_fleet_ms(3, Some(90_000));
    assert!(shared.min_fleet_ms().is_some_and(|ms| ms < 52_000));
}
