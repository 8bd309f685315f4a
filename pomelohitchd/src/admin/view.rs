//! Status of this entry instance and of the fleet, as shown to operators.

use std::sync::atomic::Ordering;

use pomelohitch_core::State;
use pomelohitch_core::status::{EntryStatus, NodeStatus, PeerStatus, Status};
use serde::Serialize;

use crate::node::Node;

/// Status of `node`, its peers and the fleet.
#[must_use]
pub fn status(node: &Node) -> NodeStatus {
    let state = node.state.load_full();
    let head = node.head.load(Ordering::Acquire);
    let peers = node.peers().into_iter().map(|(member, seen)| PeerStatus {
        member,
        next: seen.next,
        leaving: seen.leaving,
        heard_ms_ago: u64::try_from(seen.at.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
    NodeStatus {
        entry: EntryStatus {
            member: node.settings.member.clone(),
            zone: node.settings.zone.clone(),
            incarnation: node.joined_incarnation(),
            ready: node.is_ready(),
            leaving: node.is_leaving(),
            next: state.next,
            head,
            lag: head.saturating_sub(state.next),
            peers: peers.collect(),
        },
        fleet: Status::of(&state),
    }
}

/// The complete state, for programs; its size grows with the fleet.
#[derive(Debug, Serialize)]
pub struct FullState<'a> {
    member: &'a str,
    ready: bool,
    leaving: bool,
    state: &'a State,
}

/// The complete state at `node`.
#[must_use]
pub fn full_state<'a>(node: &'a Node, state: &'a State) -> FullState<'a> {
    FullState {
        member: &node.settings.member,
        ready: node.is_ready(),
        leaving: node.is_leaving(),
        state,
    }
}
