//! Instances that the platform removes while the log can't record it.
//!
//! Normally the planner sees that an instance leaves, and drains it by a record. While the log is
//! down no decision is possible, and requests would be sent to an instance that is being removed.
//! Every entry instance then reads the platform's list by itself and reports leaving instances to
//! its peers in heartbeats. This needs no agreement, because it can only reduce the work sent.
//!
//! Each member reports only what it saw itself. If reports were forwarded, members would refresh
//! them for each other forever, and an instance that stays after all would never be used again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{InstanceId, MemberId};
use pomelohitch_platform::instances::ListedState;

use crate::node::Node;

/// Interval between reads of the list while the log is down.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The log counts as down if it wasn't read for this long.
const LOG_DOWN_AFTER: Duration = Duration::from_secs(2);
/// A member's report counts for this long, unless the member replaces it.
pub const SIGHTING_TTL: Duration = Duration::from_secs(10);

/// The instances that each member sees leaving.
#[derive(Debug, Default)]
pub struct Sightings {
    by_member: BTreeMap<MemberId, (Instant, BTreeSet<InstanceId>)>,
}

impl Sightings {
    /// Replaces the report of `member`.
    pub fn record(&mut self, member: &MemberId, instances: BTreeSet<InstanceId>, now: Instant) {
        self.by_member.insert(member.clone(), (now, instances));
    }

    /// The last report of `member`; empty if there is none.
    #[must_use]
    pub fn by(&self, member: &str) -> BTreeSet<InstanceId> {
        let report = self.by_member.get(member);
        report
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default()
    }

    /// All instances that any member reported within [`SIGHTING_TTL`].
    #[must_use]
    pub fn current(&self, now: Instant) -> BTreeSet<InstanceId> {
        let recent = self.by_member.values();
        let recent = recent.filter(|(at, _)| now.saturating_duration_since(*at) < SIGHTING_TTL);
        recent
            .flat_map(|(_, instances)| instances.iter().cloned())
            .collect()
    }
}

/// Reads the platform's list while the log is down, forever.
pub fn run(node: &Arc<Node>) {
    loop {
        std::thread::sleep(LIST_INTERVAL);
        let is_down = node
            .last_log_read()
            .is_none_or(|at| at.elapsed() > LOG_DOWN_AFTER);
        let seen = if is_down {
            list_leaving(node)
        } else {
            Some(BTreeSet::new())
        };
        if let Some(seen) = seen {
            node.record_leaving(&node.settings.member, seen);
        }
    }
}

/// The instances that the platform lists as leaving; `None` if the list can't be read.
fn list_leaving(node: &Node) -> Option<BTreeSet<InstanceId>> {
    let list = (node.instances.list)();
    if list.is_err() {
        metrics::counter!("instance_list_errors").increment(1);
    }
    let leaving = list.ok()?.instances.into_iter();
    let leaving = leaving.filter(|listed| listed.state == ListedState::Leaving);
    Some(leaving.map(|listed| listed.id).collect())
}
