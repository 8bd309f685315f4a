//! Idempotency keys granted by their home (the member that is responsible for a key).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::queue::Monotonic;

/// Time for which a key is remembered after a request with it was granted.
pub const WINDOW: Duration = Duration::from_mins(2);
/// Maximum number of remembered keys. When it is reached new keys are refused, since forgetting a
/// key within its window could let a request run twice.
pub const MAX_KEYS: usize = 100_000;

/// A home's answer about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The request may run: no other with this key was granted within the window.
    Granted,
    /// Another request with this key was granted within the window.
    Taken,
    /// The maximum number of keys is reached.
    Full,
}

/// Granted keys for which this process is the home.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Keys {
    by_key: BTreeMap<Box<str>, Granted>,
    by_time: BTreeSet<(Monotonic, Box<str>)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Granted {
    request: Box<str>,
    at: Monotonic,
}

impl Keys {
    /// Decides whether `request` may run under `key`. Within the window, the request that was
    /// granted is granted again when the call is repeated.
    pub fn grant(&mut self, key: &str, request: &str, now: Monotonic) -> Answer {
        self.expire(now);
        if let Some(granted) = self.by_key.get(key) {
            return if *granted.request == *request {
                Answer::Granted
            } else {
                Answer::Taken
            };
        }
        if self.by_key.len() >= MAX_KEYS {
            return Answer::Full;
        }
        let granted = Granted {
            request: request.into(),
            at: now,
        };
        self.by_key.insert(key.into(), granted);
        self.by_time.insert((now, key.into()));
        Answer::Granted
    }

    /// Releases `key` because `request` certainly did not and will not run, so that another request
    /// with the key may.
    pub fn release(&mut self, key: &str, request: &str) {
        if let Some(granted) = self.by_key.get(key)
            && *granted.request == *request
        {
            let at = granted.at;
            self.by_key.remove(key);
            self.by_time.remove(&(at, key.into()));
        }
    }

    fn expire(&mut self, now: Monotonic) {
        while let Some((at, key)) = self.by_time.first() {
            if *at + WINDOW > now {
                return;
            }
            self.by_key.remove(key);
            self.by_time.pop_first();
        }
    }
}
