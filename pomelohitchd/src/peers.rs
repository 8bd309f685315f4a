//! Links to the other entry instances.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelohitch_core::id::Offset;
use pomelohitch_peer::{Command, Handlers, Heartbeat, Links, Peer, ReceivedHeartbeat, Settings};

use crate::node::{Node, PeerSeen};
use crate::permits;

/// Maximum number of withdrawn keys, and of leaving instances, in a heartbeat. The log carries the
/// rest.
const MAX_PER_HEARTBEAT: usize = 200;

/// Starts the links on `listener`.
///
/// # Errors
/// If the links' thread can't be started.
pub fn start(node: &Arc<Node>, listener: TcpListener) -> pomelohitch_peer::links::Result<Links> {
    let interval = Duration::from_millis(node.settings.heartbeat_ms);
    let settings = Settings {
        interval,
        ..Settings::default()
    };
    let node = node.clone();
    Links::start(listener, settings, move || handlers(&node))
}

/// The address at which the other entry instances reach this one.
#[must_use]
pub fn advertised(node: &Node, bound: SocketAddr) -> SocketAddr {
    let ip = node.settings.peer_advertise.unwrap_or(bound.ip());
    SocketAddr::new(ip, bound.port())
}

/// Sets the peers to the other members of the current state if the epoch isn't `followed`; returns
/// the epoch of that state.
#[must_use]
pub fn follow_members(node: &Node, links: &Links, followed: Option<Offset>) -> Option<Offset> {
    let state = node.state.load();
    let epoch = Some(state.members.epoch);
    if epoch == followed {
        return followed;
    }
    let others = state
        .members
        .by_id
        .iter()
        .filter(|(id, _)| **id != node.settings.member);
    let peers = others
        .map(|(id, member)| Peer {
            member: id.clone(),
            addr: member.peer_addr,
        })
        .collect();
    // The send fails only during shutdown, when the links' thread has ended.
    let _ = links.commands.send(Command::Peers(peers));
    epoch
}

fn handlers(node: &Arc<Node>) -> Handlers {
    let (sender_node, receiver_node) = (node.clone(), node.clone());
    let (batch_node, claim_node) = (node.clone(), node.clone());
    Handlers {
        own_heartbeat: Box::new(move || own_heartbeat(&sender_node)),
        on_heartbeat: Box::new(move |received| on_heartbeat(&receiver_node, received)),
        on_batch: Box::new(move |batch| permits::on_batch(&batch_node, batch)),
        on_claim: Box::new(move |claim| permits::keys::on_claim(&claim_node, &claim)),
        on_error: Box::new(|_, _| metrics::counter!("peer_link_errors").increment(1)),
    }
}

fn own_heartbeat(node: &Node) -> Heartbeat {
    let withdrawals = node.known_withdrawals.load();
    Heartbeat {
        member: node.settings.member.clone(),
        incarnation: node.incarnation.load(Ordering::Acquire),
        next: node.state.load().next,
        leaving: node.is_leaving(),
        withdrawn_keys: withdrawals
            .withdrawn_keys
            .iter()
            .take(MAX_PER_HEARTBEAT)
            .cloned()
            .collect(),
        leaving_instances: node
            .own_sightings()
            .into_iter()
            .take(MAX_PER_HEARTBEAT)
            .collect(),
        ..Heartbeat::default()
    }
}

fn on_heartbeat(node: &Node, received: ReceivedHeartbeat) {
    let ReceivedHeartbeat {
        heartbeat,
        sent_after,
    } = received;
    node.add_withdrawn(&heartbeat.withdrawn_keys);
    node.record_leaving(
        &heartbeat.member,
        heartbeat.leaving_instances.into_iter().collect(),
    );
    let seen = PeerSeen {
        incarnation: heartbeat.incarnation,
        next: heartbeat.next,
        leaving: heartbeat.leaving,
        at: Instant::now(),
        sent_after,
    };
    node.record_peer(heartbeat.member, seen);
}
