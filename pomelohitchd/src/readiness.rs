//! Whether an entry instance that joined has caught up far enough to serve.
//!
//! An entry instance that serves too early uses an outdated configuration: a changed limit reverts,
//! a withdrawn key works again. The three conditions here have to hold at the same time, as model
//! checking showed (`docs/PROTOCOL.md`): a head that was reached before a peer was heard may be
//! outdated by then.

use std::sync::atomic::Ordering;
use std::time::Duration;

use pomelohitch_core::id::Offset;

use crate::freshness::BOUND;
use crate::node::Node;

/// The observations that show whether the process has caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// The offset of the next record to apply.
    pub next: Offset,
    /// Whether the log was read to its head within [`BOUND`].
    pub is_at_head: bool,
    /// Whether the log can't be read.
    pub log_is_down: bool,
    /// Number of other members.
    pub others: usize,
    /// Number of other members heard within [`BOUND`].
    pub heard: usize,
    /// The highest offset that any of these has applied.
    pub highest: Offset,
    /// Time since this member's join took effect.
    pub since_join: Duration,
    /// A peer that isn't heard for this long is treated as dead.
    pub lease: Duration,
}

impl Evidence {
    /// Whether this member may serve.
    ///
    /// While the log is down, the offsets of peers replace its head. If no peer is heard, members
    /// that died at the same time delay a start for no longer than their lease.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        let has_reached = self.is_at_head || (self.log_is_down && self.heard > 0);
        let has_offsets_of_peers = self.next >= self.highest;
        let no_peer_expected =
            self.others == 0 || (self.is_at_head && self.since_join >= self.lease);
        has_reached && has_offsets_of_peers && (self.heard > 0 || no_peer_expected)
    }
}

/// The observations of `node`, whose join took effect `since_join` ago.
#[must_use]
pub fn evidence(node: &Node, since_join: Duration) -> Evidence {
    let state = node.state.load();
    let own = &node.settings.member;
    let peers = node.peers();
    let others = state.members.by_id.iter().filter(|(id, _)| *id != own);
    let heard: Vec<_> = others
        .clone()
        .filter_map(|(id, member)| {
            let seen = peers.get(id)?;
            let is_current = seen.incarnation == member.incarnation && seen.at.elapsed() <= BOUND;
            is_current.then_some(seen.next)
        })
        .collect();
    let log_read = node.last_log_read();
    Evidence {
        next: state.next,
        is_at_head: log_read.is_some_and(|at| at.elapsed() <= BOUND)
            && state.next >= node.head.load(Ordering::Acquire),
        log_is_down: node.log_is_down.load(Ordering::Acquire),
        others: others.count(),
        heard: heard.len(),
        highest: heard.into_iter().max().unwrap_or(0),
        since_join,
        lease: node.settings.member_lease(),
    }
}
