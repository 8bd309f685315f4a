//! Whether the state of this process is recent enough to dispatch work.
//!
//! A process that was paused, or partitioned from the log and its peers, would go on accepting
//! withdrawn keys and sending requests to instances that left, for as long as callers reach it. As
//! no message reaches such a process, it checks by itself, on the monotonic clock, right before it
//! sends. Its state is fresh if it read the log within [`BOUND`]. While the log is down, it is also
//! fresh if within [`BOUND`] the process heard more than half of the members, and none of them has
//! applied more of the log. A withdrawal in the heartbeats of more than half of the members has
//! then arrived from one of those heard. Withdrawals by a published configuration aren't in
//! heartbeats, so a member that has applied more may know of one. In all other cases the process
//! refuses requests.
//!
//! If the log goes down right after some members read a record, the members without that record
//! refuse requests until it is up again; the balancer's other entry instances serve meanwhile.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::node::Node;

/// Work isn't dispatched by a state older than this. Withdrawn keys stop working, and leaving
/// instances get no new work, within about this time at every entry instance.
pub const BOUND: Duration = Duration::from_secs(4);

/// The observations that show whether the state is recent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Time since the start of the last successful read of the log; `None` before the first.
    pub log_read: Option<Duration>,
    /// Number of members, including this one.
    pub members: usize,
    /// Number of members heard within [`BOUND`], including this one.
    pub heard: usize,
    /// Whether one of the members heard has applied more of the log.
    pub is_behind: bool,
}

impl Evidence {
    /// Whether the state may be used to dispatch work.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let has_read = self.log_read.is_some_and(|age| age <= BOUND);
        has_read || (!self.is_behind && 2 * self.heard > self.members)
    }
}

/// Whether the state of `node` is recent enough to dispatch work now.
#[must_use]
pub fn is_fresh(node: &Node) -> bool {
    let now = Instant::now();
    let log_read = node
        .last_log_read()
        .map(|at| now.saturating_duration_since(at));
    if log_read.is_some_and(|age| age <= BOUND) {
        return true;
    }
    evidence_of_peers(node, now, log_read).is_fresh()
}

fn evidence_of_peers(node: &Node, now: Instant, log_read: Option<Duration>) -> Evidence {
    let state = node.state.load();
    let peers = node.peers();
    let own = node.incarnation.load(Ordering::Acquire);
    let is_recent = |at| now.saturating_duration_since(at) <= BOUND;
    // Not the arrival time: after a pause, old heartbeats arrive all at once.
    let sent_after = |id: &str| peers.get(id).and_then(|seen| seen.sent_after);
    let is_recent = |id: &str| sent_after(id).is_some_and(is_recent);
    let is_self = |id: &str, incarnation| id == &*node.settings.member && incarnation == own;
    let members = state.members.by_id.iter();
    let heard = members
        .filter(|(id, member)| is_self(id, member.incarnation) || is_recent(id))
        .count();
    let mut recent = peers.iter().filter(|(id, _)| is_recent(id));
    let is_behind = recent.any(|(_, seen)| seen.next > state.next);
    Evidence {
        log_read,
        members: state.members.by_id.len(),
        heard,
        is_behind,
    }
}
