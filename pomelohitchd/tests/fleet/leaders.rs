//! Who leads next, and what counts as a sign of life.

use std::net::SocketAddr;

use pomelohitchd::fleet::clock;
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::succession::{deference, larger, successor};
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
    let began = shared.view().heard_at;
    let leader = Leader {
        epoch: 7,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
    };
    assert!(shared.follow(&leader, false));
    assert_eq!(shared.view().heard_at, began);
    let later = Leader {
        epoch: 8,
        ..leader.clone()
    };
    assert!(shared.follow(&later, true));
    assert!(
        clock::steady()
            .saturating_sub(shared.view().heard_at)
            .as_millis()
            < 500
    );
    assert!(!shared.follow(&leader, true));
}
