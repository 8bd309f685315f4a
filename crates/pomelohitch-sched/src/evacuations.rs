//! Evacuations of availability zones.
//!
//! An evacuation lasts until operators withdraw it. Meanwhile nothing starts in its zone; runs
//! there complete or are moved.

use std::collections::BTreeMap;

use crate::Steady;
use crate::id::ZoneName;

/// Evacuations in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// When each was first seen, by zone.
    zones: BTreeMap<ZoneName, Steady>,
}

impl Evacuations {
    /// Whether `zone` is being evacuated, so that nothing may start there.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether no evacuation is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Number of zones being evacuated.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Zones being evacuated, for logs and tests.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Begins the evacuation of a zone; returns false if it was in force already.
    pub fn begin(&mut self, zone: ZoneName, now: Steady) -> bool {
        let is_new = !self.contains(&zone);
        self.zones.entry(zone).or_insert(now);
        is_new
    }

    /// Ends the evacuation of a zone; returns when it was first seen, if it was in force.
    pub fn end(&mut self, zone: &str) -> Option<Steady> {
        self.zones.remove(zone)
    }
}
