//! Evacuation of availability zones.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::info;

use super::Cell;
use crate::endpoint::Endpoint;
use crate::evacuations::Evacuations;
use crate::id::ZoneName;
use crate::instances::Instance;
use crate::order::Answer;

/// Retry-After while every zone is evacuated. Operators decide how long an evacuation lasts.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Cell {
    /// Begins the evacuation of a zone, which lasts until operators withdraw it.
    pub fn evacuate(&mut self, zone: &ZoneName) {
        let (endpoints, runs) = self.occupancy(zone);
        if self.evacuations.begin(zone.clone(), self.now.steady) {
            info!(%zone, endpoints, runs, "evacuation started");
        }
    }

    /// Ends the evacuation of a zone, which operators have withdrawn.
    pub fn evacuation_withdrawn(&mut self, zone: &str) {
        let (endpoints, runs) = self.occupancy(zone);
        if let Some(since) = self.evacuations.end(zone) {
            let lasted_ms = self.now.steady.saturating_sub(since).as_millis();
            info!(zone, endpoints, runs, lasted_ms, "evacuation withdrawn");
        }
    }

    /// Replaces the evacuations in force by the given set. An evacuation that isn't in it has been
    /// withdrawn; its removal isn't seen separately if the store's history was compacted.
    pub fn evacuations_read(&mut self, zones: BTreeSet<ZoneName>) {
        let in_force = self.evacuations.zones();
        let ended: Vec<_> = in_force.filter(|z| !zones.contains(*z)).cloned().collect();
        for zone in ended {
            self.evacuation_withdrawn(&zone);
        }
        for zone in zones {
            self.evacuate(&zone);
        }
    }

    /// The evacuations in force.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether the endpoint's zone is evacuated, so that nothing may start on it.
    pub(super) fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        let report = endpoint.report.as_ref();
        report.is_some_and(|r| self.evacuations.contains(&r.zone))
    }

    /// Whether the instance's zone is evacuated.
    pub(super) fn is_instance_evacuated(&self, instance: &Instance) -> bool {
        self.evacuations.contains(&instance.zone)
    }

    /// Refuses a new job while every zone that has instances or endpoints is evacuated.
    ///
    /// It could not start: no endpoint may run it, and no instance can be moved to become one.
    pub(super) fn refuse_evacuated(&self) -> Option<Answer> {
        if self.evacuations.is_empty() {
            return None;
        }
        let mut listed = self.endpoints.values().filter(|e| e.is_listed);
        let mut instances = self.instances.list().values();
        let is_evacuated = listed.all(|e| self.is_evacuated(e))
            && instances.all(|i| self.is_instance_evacuated(i));
        is_evacuated.then_some(Answer::Refused {
            retry_after: EVACUATED_RETRY_AFTER,
            is_for_queue: false,
            reason: "every availability zone is being evacuated",
        })
    }

    /// Numbers of endpoints in a zone, and of runs on them.
    fn occupancy(&self, zone: &str) -> (usize, usize) {
        let in_zone = |e: &&Endpoint| e.report.as_ref().is_some_and(|r| &*r.zone == zone);
        let endpoints = self.endpoints.values().filter(in_zone);
        endpoints.fold((0, 0), |(count, runs), e| (count + 1, runs + e.runs.len()))
    }
}
