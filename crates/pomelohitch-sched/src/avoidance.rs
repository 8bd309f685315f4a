//! How many endpoints of a service get no new work because runs have stalled there.
//!
//! When a whole availability zone becomes slow, runs stall at hundreds of endpoints at the same
//! time, and each of their polls asks whether one more endpoint may be avoided. The endpoints are
//! therefore not counted for each question.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Steady;
use crate::id::ServiceName;

/// If more than this share of a service's endpoints is avoided, the cause isn't in the endpoints.
const MAX_AVOIDED_SHARE: f64 = 0.3;
/// Interval at which the endpoints are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(200);

/// Counts of avoided endpoints.
#[derive(Debug, Clone, Default)]
pub struct Avoidance {
    counted_at: Option<Steady>,
    counts: BTreeMap<ServiceName, Counts>,
}

/// Endpoints of a service.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    all: u32,
    avoided: u32,
}

impl Avoidance {
    /// Counts the endpoints if that is due. `endpoints` returns the service of each endpoint and
    /// whether it is avoided.
    pub fn update<'a, I>(&mut self, now: Steady, endpoints: impl FnOnce() -> I)
    where
        I: Iterator<Item = (&'a ServiceName, bool)>,
    {
        let is_due = |at: Steady| now >= at + COUNT_INTERVAL;
        if !self.counted_at.is_none_or(is_due) {
            return;
        }
        self.counted_at = Some(now);
        self.counts.clear();
        for (service, is_avoided) in endpoints() {
            let counts = match self.counts.get_mut(service) {
                Some(counts) => counts,
                None => self.counts.entry(service.clone()).or_default(),
            };
            counts.all += 1;
            counts.avoided += u32::from(is_avoided);
        }
    }

    /// Whether an endpoint of the service may be avoided; `is_avoided` says that it is already.
    #[must_use]
    pub fn allows(&self, service: &ServiceName, is_avoided: bool) -> bool {
        let counts = self.counts.get(service).copied().unwrap_or_default();
        let others = counts.avoided.saturating_sub(u32::from(is_avoided));
        f64::from(others) <= f64::from(counts.all) * MAX_AVOIDED_SHARE
    }

    /// Records that another endpoint of the service is avoided.
    pub fn add(&mut self, service: &ServiceName) {
        if let Some(counts) = self.counts.get_mut(service) {
            counts.avoided += 1;
        }
    }
}
