//! Tracks how long conditions have held without interruption.
//!
//! The platform's list lags: an instance that just returned may still be listed as rebooting.
//! Decisions therefore wait until their condition has held for some time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::observe::Now;

/// Start time of each condition that has held in every pass since.
#[derive(Debug, Clone)]
pub struct ConditionTracker<K> {
    entries: BTreeMap<K, Entry>,
    pass: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    since: Now,
    pass: u64,
}

impl<K> Default for ConditionTracker<K> {
    fn default() -> Self {
        ConditionTracker {
            entries: BTreeMap::new(),
            pass: 0,
        }
    }
}

impl<K: Ord> ConditionTracker<K> {
    /// Begins a pass and drops the conditions that were not observed in the previous one.
    pub fn begin_pass(&mut self) {
        let last = self.pass;
        self.entries.retain(|_, entry| entry.pass == last);
        self.pass += 1;
    }

    /// Records that condition `key` holds at `now` and returns for how long it has held.
    pub fn observe(&mut self, key: K, now: Now) -> Duration {
        let pass = self.pass;
        let entry = self
            .entries
            .entry(key)
            .or_insert(Entry { since: now, pass });
        entry.pass = pass;
        now.saturating_sub(entry.since)
    }
}
