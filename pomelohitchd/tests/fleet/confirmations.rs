//! Confirmations of a leadership by the store and by the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::confirmation::Confirmations;
use pomelohitchd::fleet::internal;
use pomelohitchd::fleet::leader::confirmation::{Confirmation, ConfirmationWatch};
use pomelohitchd::fleet::shared::Shared;
use pomelohitchd::fleet::wire::{CheckedRecord, Heartbeat, HeartbeatAck, Leader, LivenessRecord};

use super::site::{nowhere, site};

fn at(millis: u64) -> Steady {
    Duration::from_millis(millis)
}

fn leader(epoch: u64) -> Leader {
    Leader {
        epoch,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
        quorum: 2,
    }
}

/// Sends a heartbeat to a member; returns the epoch that it knows, the echoed time, and whether it
/// confirms the leader.
fn acknowledgement(member: &Shared, epoch: u64) -> (u64, u64, bool) {
    let heartbeat = Heartbeat {
        leader: leader(epoch),
        fleet_ms: None,
        sent_ms: 1_234,
    };
    let datagram = postcard::to_allocvec(&heartbeat).expect("the heartbeat can be encoded");
    let ack = internal::handle_datagram(member, &datagram).expect("heartbeats are answered");
    let ack: HeartbeatAck = postcard::from_bytes(&ack).expect("the answer can be decoded");
    (ack.epoch, ack.sent_ms, ack.confirms)
}

/// Guards against a restarted member that has forgotten a later leader and counts for an earlier one.
#[test]
fn a_member_confirms_only_the_latest_leader_and_only_once_it_has_read_its_record() {
    let member = Shared::new(site());
    assert_eq!(acknowledgement(&member, 3), (3, 1_234, false));
    member.update(|view| view.is_loaded = true);
    assert_eq!(acknowledgement(&member, 3), (3, 1_234, true));
    assert_eq!(acknowledgement(&member, 4), (4, 1_234, true));
    assert_eq!(acknowledgement(&member, 3), (4, 1_234, false));
}

/// Guards against a late answer that makes a leadership look confirmed earlier or later than it was.
#[test]
fn the_newest_request_counts() {
    let confirmation = Confirmation::new(at(1_000), 1);
    confirmation.confirmed_by_store(at(3_000));
    confirmation.confirmed_by_store(at(2_000));
    assert_eq!(confirmation.at(), at(3_000));
    confirmation.confirmed_by_members(at(2_500));
    assert_eq!(confirmation.at(), at(3_000));
    confirmation.confirmed_by_members(at(4_000));
    assert_eq!(
        (confirmation.store_at(), confirmation.at()),
        (at(3_000), at(4_000))
    );
}

/// Guards against a successor that takes an earlier leader for over, since only the quorum of the
/// last one is recorded.
#[test]
fn the_quorum_of_an_earlier_leader_is_recorded_until_none_can_be_confirmed() {
    let confirmation = Arc::new(Confirmation::new(at(1_000), 2));
    let mut watch = ConfirmationWatch::new(&leader(3), &confirmation);
    let peers: Vec<_> = (1..=6)
        .map(|port| SocketAddr::from(([10, 0, 0, 1], port)))
        .collect();
    let mut answers = Confirmations::default();
    answers.set_members(peers.iter().copied(), 0);
    let mut seen = Vec::new();
    for peer in &peers {
        answers.acknowledged(peer, at(1_500), true);
        let is_over = watch.update(&answers, at(1_600));
        seen.push((is_over, confirmation.quorum(), confirmation.members_at()));
    }
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a fleet without a leader after an upgrade, whose claims the store refuses until they
/// exceed the epoch of the last leader of the former version.
#[test]
fn records_of_the_former_version_are_read() {
    let record = leader(7);
    let former = (record.epoch, &record.member, record.addr, record.began_ms);
    let bytes = postcard::to_allocvec(&former).expect("the record can be encoded");
    let read = Leader::decode(&bytes).expect("it is a record of the former version");
    assert_eq!(
        read,
        Leader {
            quorum: 1,
            ..record
        }
    );
    let former = (7_u64, 3_u64, Some(1_000_u64));
    let bytes = postcard::to_allocvec(&former).expect("the record can be encoded");
    let read = LivenessRecord::decode(&bytes).expect("it is a record of the former version");
    assert_eq!((read.epoch, read.count, read.quorum), (7, 3, 1));
}

/// Guards against the quorum of another leader's liveness record.
#[test]
fn the_recorded_quorum_is_that_of_the_known_leader() {
    let member = Shared::new(site());
    member.observe_leader(&leader(3), false);
    assert_eq!(member.view().leader_quorum(), Some(2));
    let record = LivenessRecord {
        epoch: 3,
        count: 1,
        fleet_ms: None,
        quorum: 4,
    };
    member.update(|view| view.quorum = Some((record.epoch, record.quorum)));
    assert_eq!(member.view().leader_quorum(), Some(4));
    member.observe_leader(&leader(4), false);
    assert_eq!(member.view().leader_quorum(), Some(2));
}

/// Guards against leaders that wait for ever for leases that they don't know, after a record of another
/// writer.
#[test]
fn a_record_without_a_quorum_is_not_usable() {
    let record = LivenessRecord {
        epoch: 3,
        count: 1,
        fleet_ms: None,
        quorum: 0,
    };
    let claim = Leader {
        quorum: 0,
        ..leader(3)
    };
    assert_eq!((record.is_usable(), claim.is_usable()), (false, false));
    let record = LivenessRecord {
        quorum: 1,
        ..record
    };
    let claim = Leader { quorum: 1, ..claim };
    assert_eq!((record.is_usable(), claim.is_usable()), (true, true));
}
