//! The planner's input for a worker.

use pomelohitch_core::id::{InstanceId, RackId, ZoneId};
use pomelohitch_core::record::job::Resources;

/// An instance that runs batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Rack within the zone.
    pub rack: RackId,
    /// Resources of the worker that are available to jobs.
    pub capacity: Resources,
    /// Whether the worker takes new jobs; `false` while it drains or leaves.
    pub takes_work: bool,
}
