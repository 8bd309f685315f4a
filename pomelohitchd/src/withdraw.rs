//! Withdraws a key at once, even while the log is down.
//!
//! The key is refused here immediately, and by the other entry instances once they get the next
//! heartbeat. The record in the log makes the withdrawal durable. Until that record is read, every
//! entry instance that knows of the withdrawal keeps it, includes it in its heartbeats and tries to
//! append it, so it survives the loss of the entry instance that received the operator's request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{KeyHash, Offset};
use pomelohitch_core::record::{Body, WithdrawKey};
use pomelohitch_core::{State, Verdict};
use tracing::info;

use crate::freshness::BOUND;
use crate::node::Node;

/// Interval between attempts to append withdrawals that aren't in the log.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Progress of a withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withdrawal {
    /// Offset of the record in the log; `None` if it couldn't be appended or wasn't read back in
    /// time. Entry instances retry the append until the record is read.
    pub offset: Option<Offset>,
    /// Number of members, including this one.
    pub members: usize,
    /// Number of members heard within [`BOUND`], including this one. They refuse the key within a
    /// heartbeat; the others learn of it before they send any new work.
    pub reached: usize,
}

/// Withdraws the key with this hash here, and tries to append the withdrawal to the log.
pub fn withdraw_key(node: &Node, key: &KeyHash) -> Withdrawal {
    node.add_withdrawn(std::slice::from_ref(key));
    let offset = append(node, key);
    let state = node.state.load();
    Withdrawal {
        offset,
        members: state.members.by_id.len(),
        reached: reached(node, &state),
    }
}

fn append(node: &Node, key: &KeyHash) -> Option<Offset> {
    let body = Body::WithdrawKey(WithdrawKey { key: key.clone() });
    let decided = node.propose(body, PROPOSE_TIMEOUT).ok()?;
    matches!(decided.verdict, Verdict::Accepted | Verdict::Repeat(_)).then_some(decided.offset)
}

fn reached(node: &Node, state: &State) -> usize {
    let peers = node.peers();
    let is_reached = |id: &str, incarnation| {
        let is_heard = peers
            .get(id)
            .is_some_and(|seen| seen.incarnation == incarnation && seen.at.elapsed() <= BOUND);
        id == &*node.settings.member || is_heard
    };
    let members = state.members.by_id.iter();
    members
        .filter(|(id, member)| is_reached(id, member.incarnation))
        .count()
}

/// The withdrawals known here that aren't in the log as far as `state` shows.
#[must_use]
pub fn unlogged(node: &Node, state: &State) -> Vec<KeyHash> {
    let known = node.known_withdrawals.load();
    let keys = known.withdrawn_keys.iter();
    keys.filter(|key| !state.withdrawn.contains(*key))
        .cloned()
        .collect()
}

/// Appends known withdrawals that aren't in the log, forever.
pub fn run(node: &Arc<Node>) {
    loop {
        std::thread::sleep(RETRY_INTERVAL);
        log_withdrawals(node);
    }
}

/// Appends known withdrawals that aren't in the log, and drops those that are. Every entry
/// instance does so, because any of them may be the last one that knows; duplicate records are
/// harmless.
pub fn log_withdrawals(node: &Node) {
    for key in unlogged(node, &node.state.load()) {
        if append(node, &key).is_none() {
            return;
        }
        info!(%key, "recorded a key withdrawal in the log");
    }
    drop_logged(node);
}

/// Withdrawals in the log needn't be sent in heartbeats any more.
fn drop_logged(node: &Node) {
    let state = node.state.load();
    let known = node.known_withdrawals.load();
    if known
        .withdrawn_keys
        .iter()
        .all(|key| !state.withdrawn.contains(key))
    {
        return;
    }
    node.known_withdrawals.rcu(|known| {
        let mut known = crate::node::KnownWithdrawals::clone(known);
        known
            .withdrawn_keys
            .retain(|key| !state.withdrawn.contains(key));
        known
    });
}

/// Tries for at most `limit` to append all known withdrawals, so that none is lost with this
/// process.
pub fn flush(node: &Node, limit: Duration) {
    let deadline = Instant::now() + limit;
    while !unlogged(node, &node.state.load()).is_empty() && Instant::now() < deadline {
        log_withdrawals(node);
        std::thread::sleep(Duration::from_millis(50));
    }
}
