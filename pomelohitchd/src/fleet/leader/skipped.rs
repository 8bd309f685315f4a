//! Records that are skipped because they can't be read, so that each is logged once.

use std::collections::BTreeSet;

use pomelohitch_adapter::records::Error;

/// Maximum number of keys that are kept. Further records are skipped without a line: a writer of ever
/// new keys would fill the log.
const MAX_KEYS: usize = 1_000;

/// Keys of the records of a topic that were logged as skipped and haven't been readable since.
#[derive(Debug, Default)]
pub struct Skipped {
    keys: BTreeSet<Box<str>>,
}

impl Skipped {
    /// Remembers a record that can't be read. Returns whether it is to be logged, as one that wasn't
    /// skipped before.
    pub fn insert(&mut self, error: &Error) -> bool {
        self.keys.len() < MAX_KEYS && self.keys.insert(error.key().into())
    }

    /// Forgets a record that was read or removed.
    pub fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
