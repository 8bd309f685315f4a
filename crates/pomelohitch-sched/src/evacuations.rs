//! Availability zones that are being evacuated.
//!
//! An evacuation lasts until operators withdraw it. Nothing starts in its zone meanwhile; what runs
//! there ends by itself or leaves.

use std::collections::BTreeMap;

use crate::Steady;
use crate::id::ZoneName;

/// The evacuations in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// When each was first seen.
    zones: BTreeMap<ZoneName, Steady>,
}

impl Evacuations {
    /// Whether nothing may start in a zone.
    #[must_use]
    pub fn cover(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// How many zones are evacuated.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// The zones, for logs and tests.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Begins the evacuation of a zone; returns whether that is news.
    pub fn begin(&mut self, zone: ZoneName, now: Steady) -> bool {
        let is_news = !self.cover(&zone);
        self.zones.entry(zone).or_insert(now);
        is_news
    }

    /// Ends the evacuation of a zone; returns when it was first seen, if it was in force.
    pub fn end(&mut self, zone: &str) -> Option<Steady> {
        self.zones.remove(zone)
    }
}
