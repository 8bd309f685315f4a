//! Since when something has been so.
//!
//! The platform's list lags, and one look proves little: an instance that just came back is still
//! listed as rebooting. Decisions therefore wait until what they rest on has been so for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::observe::Now;

/// Since when each of several things has been so.
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
    /// Begins a look; what isn't noted until the next one was not so and begins anew.
    pub fn begin_pass(&mut self) {
        let last = self.pass;
        self.entries.retain(|_, entry| entry.pass == last);
        self.pass += 1;
    }

    /// Notes that `key` is so now; returns for how long it has been.
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
