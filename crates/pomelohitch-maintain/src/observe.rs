//! Input of a planning pass.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, Offset, PoolId, Timestamp};
use pomelohitch_platform::instances::{List, Listed};

/// A point in time on the planner's monotonic clock.
pub type Now = Duration;

/// Input of one planning pass.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// Time on the planner's monotonic clock.
    pub now: Now,
    /// Wall-clock time, for maintenance intervals of weeks.
    pub wall: Timestamp,
    /// The platform's instances by id; `None` if the list is unavailable or too old.
    pub listed: Option<BTreeMap<InstanceId, Listed>>,
    /// Every entry instance has applied all records below this offset.
    pub applied_by_all: Offset,
    /// Required number of instances by pool; pools without measured demand are absent.
    pub needs: BTreeMap<PoolId, u32>,
}

/// Returns the listed instances by id, or `None` if the list is older than `limit`.
///
/// A list that is no longer updated hides failures. Draining based on it could exceed the
/// availability budget that these failures have already used.
#[must_use]
pub fn recent(
    list: List,
    wall: Timestamp,
    limit: Duration,
) -> Option<BTreeMap<InstanceId, Listed>> {
    let age = wall.saturating_sub(list.as_of);
    let by_id = list.instances.into_iter().map(|i| (i.id.clone(), i));
    (age <= limit).then(|| by_id.collect())
}
