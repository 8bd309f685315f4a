//! Removes dead members, and proposes the next planner.
//!
//! A member that crashed would otherwise stay the planner, and the home of permits, forever. A
//! member that got no heartbeat from it for a lease proposes its leave. If the removed member is
//! alive and was only partitioned, it sees the record and joins again as a new incarnation. A
//! false positive therefore costs work but violates no guarantee; the rules here keep them rare.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{Incarnation, MemberId};
use pomelohitch_core::record::{Body, Leave, TakeTerm};
use pomelohitch_core::state::Members;
use pomelohitch_core::{State, Verdict};
use tracing::{info, warn};

use crate::node::{Node, PeerSeen};

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// A member that has lost more than half of the members is probably partitioned itself. It waits
/// this many leases before it treats them as dead.
const ISOLATED_LEASES: u32 = 5;

/// Tracks for how long each member has been silent.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Each member's incarnation, and when it was first seen in the state.
    known: BTreeMap<MemberId, (Incarnation, Instant)>,
    last_call: Option<Instant>,
    /// End of the last pause of this process; silence is counted from here at the earliest.
    silent_from: Option<Instant>,
}

impl Tracker {
    /// The members to remove: those of `members`, except `own`, that were silent for too long.
    ///
    /// Call it every few hundred milliseconds. `lease` is the longest allowed silence of a member.
    pub fn dead(
        &mut self,
        now: Instant,
        lease: Duration,
        own: &str,
        members: &Members,
        peers: &BTreeMap<MemberId, PeerSeen>,
    ) -> Vec<Leave> {
        self.update(now, lease, members);
        let others = members.by_id.iter().filter(|(id, _)| &***id != own);
        let silent: Vec<_> = others
            .map(|(id, member)| {
                let silence = self.silence(now, id, member.incarnation, peers.get(id));
                let leave = Leave {
                    member: id.clone(),
                    incarnation: member.incarnation,
                };
                (leave, silence)
            })
            .collect();
        let lost = silent
            .iter()
            .filter(|(_, silence)| *silence >= lease)
            .count();
        let limit = if 2 * lost > members.by_id.len() {
            lease * ISOLATED_LEASES
        } else {
            lease
        };
        let dead = silent.into_iter().filter(|(_, silence)| *silence >= limit);
        dead.map(|(leave, _)| leave).collect()
    }

    /// Updates the known members, and restarts the count of silence after a pause of this process.
    ///
    /// A process that was paused has received no heartbeats meanwhile and would treat all members
    /// as dead when it resumes. A long gap between two calls reveals the pause.
    fn update(&mut self, now: Instant, lease: Duration, members: &Members) {
        let was_paused = self.last_call.is_some_and(|last| now - last >= lease / 2);
        if was_paused {
            self.silent_from = Some(now);
        }
        self.last_call = Some(now);
        self.known.retain(|id, _| members.by_id.contains_key(id));
        for (id, member) in &members.by_id {
            let known = self
                .known
                .entry(id.clone())
                .or_insert((member.incarnation, now));
            if known.0 != member.incarnation {
                *known = (member.incarnation, now);
            }
        }
    }

    fn silence(
        &self,
        now: Instant,
        id: &MemberId,
        incarnation: Incarnation,
        seen: Option<&PeerSeen>,
    ) -> Duration {
        let known = self.known.get(id).map_or(now, |(_, since)| *since);
        let heard = seen
            .filter(|seen| seen.incarnation == incarnation)
            .map(|seen| seen.at);
        let latest = [Some(known), heard, self.silent_from]
            .into_iter()
            .flatten()
            .max();
        now.saturating_duration_since(latest.unwrap_or(now))
    }
}

/// Checks members forever.
pub fn run(node: &Arc<Node>) {
    let mut tracker = Tracker::default();
    loop {
        std::thread::sleep(CHECK_INTERVAL);
        let state = node.state.load_full();
        let lease = node.settings.member_lease();
        let own = &node.settings.member;
        let dead = tracker.dead(Instant::now(), lease, own, &state.members, &node.peers());
        if !node.is_ready() {
            continue;
        }
        for leave in dead {
            remove(node, leave);
        }
        if state.members.planner.is_none() {
            take_term(node, &state);
        }
    }
}

fn remove(node: &Node, leave: Leave) {
    let member = leave.member.clone();
    if let Ok(decided) = node.propose(Body::Leave(leave), PROPOSE_TIMEOUT)
        && decided.verdict == Verdict::Accepted
    {
        info!(%member, "removed a member that sent no heartbeats");
    }
}

fn take_term(node: &Node, state: &State) {
    // One proposer is enough: the fold would reject the other proposals.
    let first = state.members.by_id.keys().next();
    if first != Some(&node.settings.member) {
        return;
    }
    let take = TakeTerm {
        member: node.settings.member.clone(),
        incarnation: node.incarnation.load(Ordering::Acquire),
        term: state.members.term + 1,
    };
    match node.propose(Body::TakeTerm(take), PROPOSE_TIMEOUT) {
        Ok(decided) => info!(verdict = ?decided.verdict, "proposed this member as planner"),
        Err(error) => warn!(%error, "could not propose this member as planner"),
    }
}
