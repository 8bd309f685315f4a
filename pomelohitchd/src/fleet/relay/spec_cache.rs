//! Cache of job specifications. Each is sent over a connection once, and again only after its
//! eviction.
//!
//! Both ends keep the same number and evict the oldest first, so that the sender knows which ones
//! the receiver has.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use pomelohitch_sched::JobId;
use pomelohitch_sched::job::JobSpec;

/// Number of specifications kept at each end.
const CAPACITY: usize = 2_000;

/// The most recently sent job specifications.
#[derive(Debug, Default)]
pub struct SpecCache {
    by_id: HashMap<JobId, Arc<JobSpec>>,
    insertion_order: VecDeque<JobId>,
}

impl SpecCache {
    /// Adds a specification; returns whether it is new.
    pub fn insert(&mut self, spec: &Arc<JobSpec>) -> bool {
        if self.by_id.contains_key(&spec.id) {
            return false;
        }
        if self.insertion_order.len() >= CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        self.by_id.insert(spec.id, spec.clone());
        self.insertion_order.push_back(spec.id);
        true
    }

    /// The specification of a job, if it is cached.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<Arc<JobSpec>> {
        self.by_id.get(&id).cloned()
    }
}
